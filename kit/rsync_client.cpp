#include "kit/rsync_client.hpp"

#include <xxhash.h>

#include <chrono>
#include <utility>

namespace spokewheel::kit {

using namespace wire::rsync;
using namespace std::string_literals;

std::int64_t monotonicUs() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

RsyncClient::RsyncClient(int port, const std::string& path, double seconds) : socket_(port, seconds) {
    socket_.readLine();
    const auto volume = path.substr(0, path.find('/'));
    socket_.send("@RSYNCD: 31.0 md5\n" + volume + "\n");
    if (socket_.readLine() != "@RSYNCD: OK") return;
    std::string hello = "--server\0--sender\0-re.LsfxCIvu\0.\0"s + path + "\0\0"s;
    putVstring(hello, "xxh128 md5");
    socket_.send(hello);
    // The flags (two bytes), the other side's names and the seed, then frames.
    const auto flags = socket_.read(2);
    const auto length = socket_.read(1);
    if (flags.size() < 2 || length.empty()) return;
    socket_.read(static_cast<unsigned char>(length[0]));
    socket_.read(4);
    std::string frame;
    putFrame(frame, Message::Data, std::string(4, '\0'));  // no filter rules
    socket_.send(frame);
    ListReader reader{ListForm{}};
    for (;;) {
        std::string_view in = in_;
        FileEntry e;
        const auto got = reader.next(in, e);
        in_.erase(0, in_.size() - in.size());
        if (got == ListReader::Got::Entry) list_.push_back(std::move(e));
        else if (got == ListReader::Got::End) break;
        else if (got == ListReader::Got::Bad || !more()) return;
    }
    sortList(list_);
    ended_.resize(list_.size());
    ready_ = true;
}

// One read off the socket.
bool RsyncClient::more() {
    const auto bytes = socket_.readSome(256 * 1024);
    return !bytes.empty() && demux_.feed(bytes, in_, beside_);
}

RsyncClient::FetchResult RsyncClient::fetch(std::int32_t index) {
    FetchResult f;
    std::string ask, frame;
    out_.put(ask, index);
    putU16(ask, 0x8000);
    putSumHead(ask, {});
    putFrame(frame, Message::Data, ask);
    f.content.reserve(list_[static_cast<std::size_t>(index)].size);
    f.askedUs = monotonicUs();
    const auto end = [&](FetchResult::Outcome how) {
        f.outcome = how;
        f.endedUs = monotonicUs();
        f.secondEnd = ended_[static_cast<std::size_t>(index)];
        ended_[static_cast<std::size_t>(index)] = true;
        return std::move(f);
    };
    if (!socket_.send(frame)) return end(FetchResult::Outcome::ConnectionLost);
    bool head = false, content = true;
    for (;;) {
        for (const auto& m : std::exchange(beside_, {}))
            if (m.kind == Message::NoSend) return end(FetchResult::Outcome::NotSent);
        std::string_view in = in_;
        Reader r(in);
        if (!head) {
            auto coder = back_;
            const auto got = coder.get(r);
            r.u16();
            getSumHead(r);
            if (r.enough()) {
                if (got != index) return end(FetchResult::Outcome::ConnectionLost);
                back_ = coder;
                in_.erase(0, r.used());
                head = true;
                continue;
            }
        } else if (content) {
            bool any = false;
            for (bool again = true; again && content;) {
                const auto before = in.size();
                const auto t = tokens_.next(in);
                if (t.kind == Token::Kind::Literal) f.content += t.literal;
                if (t.kind == Token::Kind::End) content = false;
                if (t.kind == Token::Kind::Bad || t.kind == Token::Kind::Block)
                    return end(FetchResult::Outcome::ConnectionLost);
                again = t.kind != Token::Kind::More || in.size() != before;
                any = any || again;
            }
            in_.erase(0, in_.size() - in.size());
            if (any && !content) continue;
        } else if (in.size() >= kSumBytes) {
            std::string sum;
            const auto h = XXH3_128bits(f.content.data(), f.content.size());
            for (const auto half : {h.low64, h.high64}) {
                putU32(sum, static_cast<std::uint32_t>(half));
                putU32(sum, static_cast<std::uint32_t>(half >> 32));
            }
            const bool same = in.substr(0, kSumBytes) == sum;
            in_.erase(0, kSumBytes);
            return end(same ? FetchResult::Outcome::Content : FetchResult::Outcome::BadChecksum);
        }
        if (!more()) return end(FetchResult::Outcome::ConnectionLost);
    }
}

}  // namespace spokewheel::kit
