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
    std::string arguments = "--server\0--sender\0-re.LsfxCIvu\0.\0"s + path + "\0\0"s;
    putVstring(arguments, "xxh128 md5");
    socket_.send(arguments);
    // Compatibility flags (two bytes), the server's checksum names, the checksum seed; frames follow.
    const auto flags = socket_.read(2);
    const auto length = socket_.read(1);
    if (flags.size() < 2 || length.empty()) return;
    socket_.read(static_cast<unsigned char>(length[0]));
    socket_.read(4);
    std::string frame;
    putFrame(frame, Message::Data, std::string(4, '\0'));  // empty filter list
    socket_.send(frame);
    ListReader reader{ListForm{}};
    for (;;) {
        std::string_view in = input_;
        FileEntry entry;
        const auto got = reader.next(in, entry);
        input_.erase(0, input_.size() - in.size());
        if (got == ListReader::Got::Entry) files_.push_back(std::move(entry));
        else if (got == ListReader::Got::End) break;
        else if (got == ListReader::Got::Bad || !receive()) return;
    }
    sortList(files_);
    answered_.resize(files_.size());
    ready_ = true;
}

// Reads from the socket once. Returns false if the connection ended or a frame is invalid.
bool RsyncClient::receive() {
    const auto bytes = socket_.readSome(256 * 1024);
    return !bytes.empty() && demux_.feed(bytes, input_, messages_);
}

RsyncClient::FetchResult RsyncClient::fetch(std::int32_t index) {
    FetchResult result;
    std::string request, frame;
    sentIndexes_.put(request, index);
    putU16(request, 0x8000);  // item flags: transfer the file
    putSumHead(request, {});
    putFrame(frame, Message::Data, request);
    result.content.reserve(files_[static_cast<std::size_t>(index)].size);
    result.requestedUs = monotonicUs();
    const auto finish = [&](FetchResult::Outcome outcome) {
        result.outcome = outcome;
        result.answeredUs = monotonicUs();
        result.fetchedBefore = answered_[static_cast<std::size_t>(index)];
        answered_[static_cast<std::size_t>(index)] = true;
        return std::move(result);
    };
    if (!socket_.send(frame)) return finish(FetchResult::Outcome::ConnectionLost);
    bool headRead = false, inContent = true;
    for (;;) {
        for (const auto& message : std::exchange(messages_, {}))
            if (message.kind == Message::NoSend) return finish(FetchResult::Outcome::NotSent);
        std::string_view in = input_;
        Reader reader(in);
        if (!headRead) {
            auto coder = receivedIndexes_;
            const auto got = coder.get(reader);
            reader.u16();
            getSumHead(reader);
            if (reader.enough()) {
                if (got != index) return finish(FetchResult::Outcome::ConnectionLost);
                receivedIndexes_ = coder;
                input_.erase(0, reader.used());
                headRead = true;
                continue;
            }
        } else if (inContent) {
            bool progressed = false;
            for (bool again = true; again && inContent;) {
                const auto before = in.size();
                const auto token = tokens_.next(in);
                if (token.kind == Token::Kind::Literal) result.content += token.literal;
                if (token.kind == Token::Kind::End) inContent = false;
                if (token.kind == Token::Kind::Bad || token.kind == Token::Kind::Block)
                    return finish(FetchResult::Outcome::ConnectionLost);
                again = token.kind != Token::Kind::More || in.size() != before;
                progressed = progressed || again;
            }
            input_.erase(0, input_.size() - in.size());
            if (progressed && !inContent) continue;
        } else if (in.size() >= kSumBytes) {
            std::string sum;
            const auto hash = XXH3_128bits(result.content.data(), result.content.size());
            for (const auto half : {hash.low64, hash.high64}) {
                putU32(sum, static_cast<std::uint32_t>(half));
                putU32(sum, static_cast<std::uint32_t>(half >> 32));
            }
            const bool matches = in.substr(0, kSumBytes) == sum;
            input_.erase(0, kSumBytes);
            return finish(matches ? FetchResult::Outcome::Content : FetchResult::Outcome::BadChecksum);
        }
        if (!receive()) return finish(FetchResult::Outcome::ConnectionLost);
    }
}

}  // namespace spokewheel::kit
