// What an attempt sends to a node and what comes of it. The host layer knows nodes only by this edge.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "spokewheel/scheduler.hpp"

namespace spokewheel::host {

// The same bytes for each attempt of a request. The body is shared, never copied.
struct NodeRequest {
    std::string method = "GET", target;
    std::vector<std::pair<std::string, std::string>> fields;
    std::shared_ptr<const std::string> body;
    std::uint64_t maxResponseBytes = 0;  // bytes; a longer answer counts as an error of the node
};

// What the node is told of an attempt, beside what is asked of it: for its records and for who reads them.
struct AttemptLabel {
    std::string request;
    int attempt = 0;
    std::string text;  // class, volume, units and key
};

struct AttemptResult {
    Outcome outcome = Outcome::NoAnswer;
    int status = 0;  // of HTTP; 0 where no answer came
    std::string body;
    double tookMs = 0;
    double usage = 0, othersGot = 0;  // as the node told them
};

class NodeTransport {
  public:
    virtual ~NodeTransport() = default;
    using Done = std::function<void(AttemptResult)>;
    using MayBegin = std::function<bool()>;
    // Starts an attempt. `done` comes once, from the loop and never from within send(). After `expireInMs`
    // the attempt is called off by closing its connection, and ends as NoAnswer. `mayBegin` is asked directly
    // before the first byte, which may be a dial later; false: nothing is sent, and it ends as NotSent.
    virtual std::uint64_t send(const std::string& node, std::shared_ptr<const NodeRequest> exchange,
                               const AttemptLabel& label, double expireInMs, Done done,
                               MayBegin mayBegin) = 0;
    virtual void cancel(std::uint64_t attempt) = 0;  // ends as Cancelled
    // Nobody waits for it any more: it ends as NotSent where it can't have run, at once; else it goes on.
    virtual void withdraw(std::uint64_t attempt) = 0;
    // A probe: done with the time it took.
    virtual void probe(const std::string& node, Done done) = 0;
};

}  // namespace spokewheel::host
