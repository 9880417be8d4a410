#include "wire/rsync/mux.hpp"

#include <algorithm>

#include "wire/rsync/bytes.hpp"

namespace spokewheel::wire::rsync {
namespace {

constexpr std::uint32_t kBase = 7, kMostFrame = 0xffffff;

bool known(std::uint32_t tag) {
    switch (static_cast<Message>(tag)) {
        case Message::Data:
        case Message::ErrorXfer:
        case Message::Info:
        case Message::Error:
        case Message::Warning:
        case Message::ErrorSocket:
        case Message::Log:
        case Message::Client:
        case Message::ErrorUtf8:
        case Message::Redo:
        case Message::Stats:
        case Message::IoError:
        case Message::IoTimeout:
        case Message::Noop:
        case Message::ErrorExit:
        case Message::Success:
        case Message::Deleted:
        case Message::NoSend:
            return true;
    }
    return false;
}

}  // namespace

void putFrameHead(std::string& out, Message kind, std::size_t length) {
    putU32(out, (kBase + static_cast<std::uint32_t>(kind)) << 24 | static_cast<std::uint32_t>(length));
}

void putFrame(std::string& out, Message kind, std::string_view payload) {
    do {
        const auto n = std::min<std::size_t>(payload.size(), kMostFrame);
        putFrameHead(out, kind, n);
        out += payload.substr(0, n);
        payload.remove_prefix(n);
    } while (!payload.empty());
}

bool Demux::feed(std::string_view in, std::string& data, std::vector<Beside>& beside) {
    while (error_.empty()) {
        if (!inside_) {
            const auto take = std::min(in.size(), 4 - head_.size());
            head_ += in.substr(0, take);
            in.remove_prefix(take);
            if (head_.size() < 4) return true;
            Reader r(head_);
            const auto word = r.u32();
            head_.clear();
            left_ = word & kMostFrame;
            const auto tag = (word >> 24) - kBase;
            if (word >> 24 < kBase || !known(tag)) error_ = "unknown frame tag " + std::to_string(word >> 24);
            else if (kind_ = static_cast<Message>(tag); kind_ != Message::Data && left_ > mostMessage)
                error_ = "message of " + std::to_string(left_) + " bytes";
            inside_ = true;
            continue;
        }
        const auto take = std::min(in.size(), left_);
        (kind_ == Message::Data ? data : payload_) += in.substr(0, take);
        in.remove_prefix(take);
        left_ -= take;
        if (left_ > 0) return true;
        inside_ = false;
        if (kind_ != Message::Data) beside.push_back({kind_, std::move(payload_)});
        payload_.clear();
    }
    return false;
}

}  // namespace spokewheel::wire::rsync
