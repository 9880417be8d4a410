#include "wire/rsync/mux.hpp"

#include <algorithm>

#include "wire/rsync/bytes.hpp"

namespace spokewheel::wire::rsync {
namespace {

constexpr std::uint32_t kTagBase = 7, kMaxFrameBytes = 0xffffff;

bool isKnown(std::uint32_t tag) {
    switch (static_cast<MessageTag>(tag)) {
        case MessageTag::Data:
        case MessageTag::ErrorXfer:
        case MessageTag::Info:
        case MessageTag::Error:
        case MessageTag::Warning:
        case MessageTag::ErrorSocket:
        case MessageTag::Log:
        case MessageTag::Client:
        case MessageTag::ErrorUtf8:
        case MessageTag::Redo:
        case MessageTag::Stats:
        case MessageTag::IoError:
        case MessageTag::IoTimeout:
        case MessageTag::Noop:
        case MessageTag::ErrorExit:
        case MessageTag::Success:
        case MessageTag::Deleted:
        case MessageTag::NoSend:
            return true;
    }
    return false;
}

}  // namespace

void putFrameHeader(std::string& out, MessageTag tag, std::size_t length) {
    putU32(out, (kTagBase + static_cast<std::uint32_t>(tag)) << 24 | static_cast<std::uint32_t>(length));
}

void putFrame(std::string& out, MessageTag tag, std::string_view payload) {
    do {
        const auto n = std::min<std::size_t>(payload.size(), kMaxFrameBytes);
        putFrameHeader(out, tag, n);
        out += payload.substr(0, n);
        payload.remove_prefix(n);
    } while (!payload.empty());
}

bool Demux::feed(std::string_view in, std::string& data, std::vector<Message>& messages) {
    while (error_.empty()) {
        if (!inPayload_) {
            const auto take = std::min(in.size(), 4 - header_.size());
            header_ += in.substr(0, take);
            in.remove_prefix(take);
            if (header_.size() < 4) return true;
            Reader r(header_);
            const auto word = r.u32();
            header_.clear();
            payloadBytesLeft_ = word & kMaxFrameBytes;
            const auto tag = (word >> 24) - kTagBase;
            if (word >> 24 < kTagBase || !isKnown(tag))
                error_ = "unknown frame tag " + std::to_string(word >> 24);
            else if (tag_ = static_cast<MessageTag>(tag);
                     tag_ != MessageTag::Data && payloadBytesLeft_ > kMaxMessageBytes)
                error_ = "message of " + std::to_string(payloadBytesLeft_) + " bytes";
            inPayload_ = true;
            continue;
        }
        const auto take = std::min(in.size(), payloadBytesLeft_);
        (tag_ == MessageTag::Data ? data : payload_) += in.substr(0, take);
        in.remove_prefix(take);
        payloadBytesLeft_ -= take;
        if (payloadBytesLeft_ > 0) return true;
        inPayload_ = false;
        if (tag_ != MessageTag::Data) messages.push_back({tag_, std::move(payload_)});
        payload_.clear();
    }
    return false;
}

}  // namespace spokewheel::wire::rsync
