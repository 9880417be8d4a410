// Turns the bytes that arrive on one client connection into requests, in order. Free of I/O and clocks. Keeps
// what the memory allows (decide_memory.hpp): the body of a request that is refused is discarded as it comes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "fronts/http/decide_memory.hpp"
#include "fronts/http/decode_request.hpp"
#include "fronts/http/key_order.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::fronts::http {

// A request, complete or invalid, that waits for its turn on its connection.
struct ReceivedRequest {
    enum class Kind {
        Valid,
        ReadinessCheck,  // GET /ready
        Refused,         // valid, or a readiness check, but there is no memory for it
        Invalid          // ends its connection; nothing after it is read
    } kind = Kind::Valid;
    DecodedRequest decoded;                                               // of Valid
    std::string body;                                                     // of Valid
    wire::http::RequestRule rule = wire::http::RequestRule::RequestLine;  // of Invalid: what it violates
    bool last = false;      // the client wants the connection closed after the answer
    double arrivedAt = 0;   // of its last byte
    KeyOrder::Place place;  // of a request whose class runs in order
    std::size_t count = 1;  // Refused: this many in a row
    std::size_t memory() const;
};

class RequestReader {
  public:
    enum class Result {
        NeedMore,   // all input was consumed
        Complete,   // a request was added to queue()
        NeedMemory  // the head of a request was read: decide() is to be called before next()
    };
    explicit RequestReader(const Settings& settings) : settings_(settings) {}

    // Consumes input from the front of `bytes`, which arrived at `arrivedAt`, up to the next result.
    Result next(std::string_view& bytes, double arrivedAt);
    // How much of the body of the request being read is still to come; nothing if its head does not say.
    std::optional<std::size_t> remainingBodyBytes() const;
    // The most that the body of the request being read takes, by what its head says.
    std::size_t bodyMemory() const;
    // The same for the request as a whole.
    std::size_t requestMemory() const;
    // After NeedMemory. `admitted`: the body is kept.
    void decide(bool admitted);

    std::deque<ReceivedRequest>& queue() { return queue_; }
    const std::deque<ReceivedRequest>& queue() const { return queue_; }
    // Removes the first request of queue(), which must not be empty; of several refused ones, one.
    ReceivedRequest takeFirst();
    // The first request of queue(), a valid one, is to be refused.
    void refuseFirst();
    // The server has ended: its requests are not served any more.
    void discardQueue();
    // The request whose head was read last, if it is to be admitted; it may be incomplete.
    ReceivedRequest& current() { return current_; }
    // A request has begun to arrive and is not complete.
    bool inMessage() const { return !parser_.atMessageStart() || awaitsDecision_; }
    // An invalid request or one that closes the connection was read: later bytes are discarded.
    bool ended() const { return ended_; }
    // Returns, once, whether the client waits for "100 Continue" before it sends the body.
    bool takeExpectsContinue() { return !awaitsDecision_ && std::exchange(expectsContinue_, false); }
    // Memory of the requests in queue(), and of all that this object holds.
    std::size_t queuedMemory() const { return queuedMemory_; }
    std::size_t memory() const;

  private:
    Result onHead();
    Result finish(ReceivedRequest::Kind kind);
    Result fail(wire::http::RequestRule rule);
    void enqueue(ReceivedRequest request);
    // Of the head that is being received, and of what was decoded of it.
    std::size_t headMemory() const;

    const Settings& settings_;
    wire::http::Parser parser_{wire::http::Parser::Kind::Request, {16 * 1024, 64, kMaxBodyBytes}};
    ReceivedRequest current_;
    bool awaitsDecision_ = false, expectsContinue_ = false, ended_ = false;
    std::deque<ReceivedRequest> queue_;
    std::size_t queuedMemory_ = 0;
};

}  // namespace spokewheel::fronts::http
