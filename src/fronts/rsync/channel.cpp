#include "fronts/rsync/channel.hpp"

#include <utility>

#include "wire/rsync/bytes.hpp"

namespace spokewheel::fronts::rsync {

using wire::rsync::MessageTag;

bool Channel::receive(std::string_view bytes) {
    if (!multiplexedIn_) input_ += bytes;
    else if (frameByFrame_) {
        undecoded_ += bytes;
        if (!demuxFrames()) return false;
    } else if (!demux_.feed(bytes, input_, messages_)) {
        error_ = demux_.error();
        return false;
    }
    if (!readingPaused_ && input_.size() - consumed_ + undecoded_.size() > kMaxUnreadBytes) {
        readingPaused_ = true;
        stream_->pauseReading();
    }
    return true;
}

// Decodes complete frames one by one until one of them carries data.
bool Channel::demuxFrames() {
    while (frameByFrame_ && multiplexedIn_ && input_.size() == consumed_ && undecoded_.size() >= 4 &&
           error_.empty()) {
        wire::rsync::Reader r(undecoded_);
        const std::size_t n = 4 + (r.u32() & 0xffffff);
        if (undecoded_.size() < n) break;
        if (!demux_.feed(std::string_view(undecoded_).substr(0, n), input_, messages_))
            error_ = demux_.error();
        undecoded_.erase(0, n);
    }
    return error_.empty();
}

void Channel::suspendMultiplexIn() {
    multiplexedIn_ = false;
    input_ += std::exchange(undecoded_, "");
}

void Channel::resumeMultiplexIn() {
    frameByFrame_ = false;
    startMultiplexIn();
}

void Channel::consume(std::size_t n) {
    consumed_ += n;
    const bool allConsumed = consumed_ == input_.size();
    if (consumed_ == input_.size() || consumed_ > 256 * 1024) {
        input_.erase(0, consumed_);
        consumed_ = 0;
    }
    if (allConsumed && frameByFrame_) demuxFrames();
    if (readingPaused_ && input_.size() - consumed_ + undecoded_.size() < kMaxUnreadBytes / 2) {
        readingPaused_ = false;
        stream_->resumeReading();
    }
}

void Channel::startMultiplexIn() {
    multiplexedIn_ = true;
    const std::string rest(input());
    input_.clear();
    consumed_ = 0;
    if (frameByFrame_) {
        undecoded_ = rest;
        demuxFrames();
    } else if (!demux_.feed(rest, input_, messages_)) error_ = demux_.error();
}

void Channel::writeRaw(std::string_view bytes) { stream_->write(std::string(bytes)); }

void Channel::sendMessage(MessageTag kind, std::string_view payload) {
    flush();
    std::string frame;
    wire::rsync::putFrame(frame, kind, payload);
    stream_->write(std::move(frame));
}

// Each literal token gets a frame of its own. Clients accept literals of any length.
void Channel::writeLiteral(std::string_view bytes) {
    flush();
    while (!bytes.empty()) {
        const auto n = std::min(bytes.size(), kLiteralBytes);
        std::string frame;
        frame.reserve(n + 8);
        wire::rsync::putFrameHeader(frame, MessageTag::Data, n + 4);
        wire::rsync::putU32(frame, static_cast<std::uint32_t>(n));
        frame += bytes.substr(0, n);
        stream_->write(std::move(frame));
        bytes.remove_prefix(n);
    }
}

void Channel::flush() {
    if (output_.empty()) return;
    if (!multiplexedOut_) {
        stream_->write(std::exchange(output_, {}));
        return;
    }
    std::string frames;
    frames.reserve(output_.size() + output_.size() / kFrameBytes * 4 + 8);
    for (std::string_view rest = output_; !rest.empty();) {
        const auto n = std::min(rest.size(), kFrameBytes);
        wire::rsync::putFrame(frames, MessageTag::Data, rest.substr(0, n));
        rest.remove_prefix(n);
    }
    output_.clear();
    stream_->write(std::move(frames));
}

}  // namespace spokewheel::fronts::rsync
