#include "fronts/http/request_reader.hpp"

#include <utility>

#include "fronts/http/check_request.hpp"

namespace spokewheel::fronts::http {

std::size_t ReceivedRequest::memory() const {
    const std::size_t bytes = kRequestOverheadBytes + body.capacity();
    return decoded.work.nodeRequest ? bytes + wire::http::memoryOf(decoded.work.nodeRequest->fields) : bytes;
}

std::optional<std::size_t> RequestReader::remainingBodyBytes() const {
    const bool chunked = parser_.head().find("Transfer-Encoding") != nullptr;
    if (chunked) return std::nullopt;
    return static_cast<std::size_t>(parser_.remainingBodyBytes());
}

std::size_t RequestReader::bodyMemory() const { return remainingBodyBytes().value_or(kMaxBodyBytes); }

std::size_t RequestReader::requestMemory() const {
    return kRequestOverheadBytes + headMemory() + bodyMemory();
}

std::size_t RequestReader::headMemory() const {
    const auto& request = current_.decoded.work.nodeRequest;
    return parser_.headMemory() + (request ? wire::http::memoryOf(request->fields) : 0);
}

std::size_t RequestReader::memory() const {
    const std::size_t reading = inMessage() ? kRequestOverheadBytes + headMemory() : 0;
    return reading + current_.body.capacity() + queuedMemory_;
}

RequestReader::Result RequestReader::next(std::string_view& bytes, double arrivedAt) {
    using Parsed = wire::http::Parser::Result;
    std::string_view body;
    if (ended_) {
        bytes = {};
        return Result::NeedMore;
    }
    if (!bytes.empty()) current_.arrivedAt = arrivedAt;
    for (;;) switch (parser_.next(bytes, body)) {
            case Parsed::NeedMore:
                return Result::NeedMore;
            case Parsed::Head:
                return onHead();
            case Parsed::Body:
                if (current_.kind == ReceivedRequest::Kind::Valid) current_.body += body;
                break;
            case Parsed::End:
                return finish(current_.kind);
            case Parsed::Invalid:
                return fail(parser_.rule());
        }
}

RequestReader::Result RequestReader::onHead() {
    const auto& head = parser_.head();
    awaitsDecision_ = true;
    if (head.method == "GET" && head.target == "/ready") {
        if (const auto rule = violatedRule(head)) return fail(*rule);
        current_.kind = ReceivedRequest::Kind::ReadinessCheck;
        return Result::NeedMemory;
    }
    current_.decoded = decodeRequest(head, settings_);
    if (current_.decoded.violated) return fail(*current_.decoded.violated);
    const auto* expect = head.find("Expect");
    expectsContinue_ = expect && wire::http::equalsIgnoreCase(*expect, "100-continue");
    return Result::NeedMemory;
}

void RequestReader::decide(bool admitted) {
    awaitsDecision_ = false;
    if (!admitted) {
        current_.kind = ReceivedRequest::Kind::Refused;
        current_.decoded = {};
    } else if (current_.kind == ReceivedRequest::Kind::Valid) current_.body.reserve(bodyMemory());
}

RequestReader::Result RequestReader::finish(ReceivedRequest::Kind kind) {
    current_.kind = kind;
    current_.last = kind == ReceivedRequest::Kind::Invalid || parser_.closesConnection();
    if (kind != ReceivedRequest::Kind::Valid) {
        auto id = std::move(current_.decoded.id);
        current_.decoded = {};
        current_.decoded.id = std::move(id);
        current_.body = {};
        current_.place.giveUp();
    }
    current_.body.shrink_to_fit();
    ended_ = ended_ || current_.last;
    enqueue(std::exchange(current_, {}));
    parser_.reset();
    awaitsDecision_ = expectsContinue_ = false;
    return Result::Complete;
}

// Refused requests in a row are only counted, so that an endless flood of them takes no memory.
void RequestReader::enqueue(ReceivedRequest request) {
    using Kind = ReceivedRequest::Kind;
    if (request.kind == Kind::Refused && !request.last && !queue_.empty() &&
        queue_.back().kind == Kind::Refused) {
        ++queue_.back().count;
        return;
    }
    queuedMemory_ += request.memory();
    queue_.push_back(std::move(request));
}

RequestReader::Result RequestReader::fail(wire::http::RequestRule rule) {
    current_.rule = rule;
    return finish(ReceivedRequest::Kind::Invalid);
}

void RequestReader::refuseFirst() {
    auto& first = queue_.front();
    queuedMemory_ -= first.memory();
    first.kind = ReceivedRequest::Kind::Refused;
    first.decoded = {};
    first.body = {};
    queuedMemory_ += first.memory();
}

void RequestReader::discardQueue() {
    queue_.clear();
    queuedMemory_ = 0;
    current_.place.giveUp();
}

ReceivedRequest RequestReader::takeFirst() {
    if (queue_.front().count > 1) {
        --queue_.front().count;
        ReceivedRequest refused;
        refused.kind = ReceivedRequest::Kind::Refused;
        return refused;
    }
    auto first = std::move(queue_.front());
    queue_.pop_front();
    queuedMemory_ -= first.memory();
    return first;
}

}  // namespace spokewheel::fronts::http
