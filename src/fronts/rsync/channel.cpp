#include "fronts/rsync/channel.hpp"

#include <utility>

#include "wire/rsync/bytes.hpp"

namespace spokewheel::fronts::rsync {

using wire::rsync::Message;

bool Channel::receive(std::string_view bytes) {
    if (!muxed_) in_ += bytes;
    else if (stepwise_) {
        raw_ += bytes;
        if (!step()) return false;
    } else if (!demux_.feed(bytes, in_, beside_)) {
        error_ = demux_.error();
        return false;
    }
    if (!paused_ && in_.size() - at_ + raw_.size() > kMostUnread) {
        paused_ = true;
        pipe_->pauseReading();
    }
    return true;
}

// Whole frames off what waits, until one brought data.
bool Channel::step() {
    while (stepwise_ && muxed_ && in_.size() == at_ && raw_.size() >= 4 && error_.empty()) {
        wire::rsync::Reader r(raw_);
        const std::size_t n = 4 + (r.u32() & 0xffffff);
        if (raw_.size() < n) break;
        if (!demux_.feed(std::string_view(raw_).substr(0, n), in_, beside_)) error_ = demux_.error();
        raw_.erase(0, n);
    }
    return error_.empty();
}

void Channel::unframe() {
    muxed_ = false;
    in_ += std::exchange(raw_, "");
}

void Channel::reframe() {
    stepwise_ = false;
    startMultiplexIn();
}

void Channel::took(std::size_t n) {
    at_ += n;
    const bool empty = at_ == in_.size();
    if (at_ == in_.size() || at_ > 256 * 1024) {
        in_.erase(0, at_);
        at_ = 0;
    }
    if (empty && stepwise_) step();
    if (paused_ && in_.size() - at_ + raw_.size() < kMostUnread / 2) {
        paused_ = false;
        pipe_->resumeReading();
    }
}

// What came before belongs to the frames already.
void Channel::startMultiplexIn() {
    muxed_ = true;
    const std::string rest(input());
    in_.clear();
    at_ = 0;
    if (stepwise_) {
        raw_ = rest;
        step();
    } else if (!demux_.feed(rest, in_, beside_)) error_ = demux_.error();
}

void Channel::raw(std::string_view bytes) { pipe_->write(std::string(bytes)); }

void Channel::message(Message kind, std::string_view payload) {
    flush();  // messages keep their place among the data
    std::string frame;
    wire::rsync::putFrame(frame, kind, payload);
    pipe_->write(std::move(frame));
}

// A frame a literal: frame head, length of the literal, bytes. The client takes literals of any length.
void Channel::literal(std::string_view bytes) {
    flush();
    while (!bytes.empty()) {
        const auto n = std::min(bytes.size(), kLiteral);
        std::string frame;
        frame.reserve(n + 8);
        wire::rsync::putFrameHead(frame, Message::Data, n + 4);
        wire::rsync::putU32(frame, static_cast<std::uint32_t>(n));
        frame += bytes.substr(0, n);
        pipe_->write(std::move(frame));
        bytes.remove_prefix(n);
    }
}

void Channel::flush() {
    if (out_.empty()) return;
    if (!framed_) {
        pipe_->write(std::exchange(out_, {}));
        return;
    }
    std::string frames;
    frames.reserve(out_.size() + out_.size() / kFrame * 4 + 8);
    for (std::string_view rest = out_; !rest.empty();) {
        const auto n = std::min(rest.size(), kFrame);
        wire::rsync::putFrame(frames, Message::Data, rest.substr(0, n));
        rest.remove_prefix(n);
    }
    out_.clear();
    pipe_->write(std::move(frames));
}

}  // namespace spokewheel::fronts::rsync
