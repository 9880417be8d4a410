// The interface through which the host layer sends attempts to storage nodes and learns their results.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "spokewheel/scheduler.hpp"

namespace spokewheel::host {

// The HTTP request that is sent to a node, the same for each attempt. The body is shared between attempts and
// never copied.
struct NodeRequest {
    std::string method = "GET", target;
    std::vector<std::pair<std::string, std::string>> fields;
    std::shared_ptr<const std::string> body;
    std::uint64_t maxResponseBytes = 0;  // a longer response counts as a server error
};

// Identifies an attempt to the node, for the node's records.
struct AttemptLabel {
    std::string request;  // the request's id
    int attempt = 0;      // counted from 0
    std::string text;     // class, volume, units and key
};

struct AttemptResult {
    Outcome outcome = Outcome::NoAnswer;
    int status = 0;  // HTTP status; 0 without a response
    std::string body;
    double durationMs = 0;
    double usage = 0, servedElsewhere = 0;  // as reported by the node; see AttemptEnded
};

class NodeTransport {
  public:
    virtual ~NodeTransport() = default;
    using Done = std::function<void(AttemptResult)>;
    using MayBegin = std::function<bool()>;
    // Starts an attempt and returns its id for cancel() and withdraw(). `done` is called exactly once, from
    // the event loop and never from within send(). After `expireInMs` the attempt is cancelled by closing its
    // connection and ends as NoAnswer. `mayBegin` is called directly before the first byte is written, which
    // may be after a connection has been made; if it returns false, nothing is sent and the attempt ends as
    // NotSent.
    virtual std::uint64_t send(const std::string& node, std::shared_ptr<const NodeRequest> request,
                               const AttemptLabel& label, double expireInMs, Done done,
                               MayBegin mayBegin) = 0;
    // Ends the attempt as Cancelled.
    virtual void cancel(std::uint64_t attempt) = 0;
    // The result is no longer wanted: an attempt that can't have run yet ends at once as NotSent, any other
    // continues.
    virtual void withdraw(std::uint64_t attempt) = 0;
    // Probes the node's health; the result carries the time that it took.
    virtual void probe(const std::string& node, Done done) = 0;
};

}  // namespace spokewheel::host
