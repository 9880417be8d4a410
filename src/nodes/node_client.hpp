// HTTP/1.1 client for the storage nodes with a pool of persistent connections and one request at a time on
// each. An outcome says no more than is known: whether the request may have run. Never chooses a node.
// Single-threaded; never blocks.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "host/memory_budget.hpp"
#include "host/node_transport.hpp"
#include "io/connection.hpp"
#include "nodes/decide_answer_memory.hpp"
#include "nodes/decide_link.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::nodes {

// The protocol of one kind of nodes beyond HTTP/1.1: the fields of requests and the meaning of responses.
struct Dialect {
    // Gives the address that a node listens on; false if it is not known.
    std::function<bool(const std::string& node, io::Address&)> resolve;
    // Adds the fields that are set for each attempt.
    std::function<void(const host::AttemptLabel&, double expireInMs, wire::http::Fields&)> addFields;
    // Sets the result's outcome, `usage` and `servedElsewhere` from the head of the response.
    std::function<host::AttemptResult(const wire::http::Head&)> interpret;
    std::string probeTarget;
    // Whether only a request that was written completely can have run. If not, any of which a byte was
    // written may have.
    bool runsOnlyWhenComplete = false;
    ReuseRules reuse;              // of idle connections; see pickIdleLink()
    bool learnsIdleLimit = false;  // whether to use IdleReusePolicy
};
// The gateway's own protocol: a node's name is its address, and there are `Spokewheel-*` fields and
// Repr-Digest. `sender` is sent as Spokewheel-Host unless it is empty.
Dialect gatewayDialect(std::string sender);

struct PoolLimits {
    std::size_t maxPerNode = 64;  // connections
    std::size_t maxIdlePerNode = 32;
    double idleTimeoutMs = 15000;
    double connectTimeoutMs = 250;
    double writeTimeoutMs = 0;       // for all of a request from its first byte on; 0: none
    std::size_t maxTotal = 1 << 20;  // to all nodes; at the limit the connection idle for longest is closed
};

// Why a connection to a node was closed.
enum class LinkCloseReason {
    ByNode,       // closed, reset or never established while no request was open on it
    NotReusable,  // its request ended without a complete response, or with "Connection: close"
    IdleTooLong,  // PoolLimits::idleTimeoutMs
    Distrusted,   // refused by IdleReusePolicy
    UsedByNode,   // the node sent something while no request was open on it
    Surplus,      // something came on it that is no response to its request
    Retired,      // its node is gone, draining, moved or restarted
    MadeRoom,     // to stay within the limits on connections
    Count
};
const char* nameOf(LinkCloseReason reason);

class NodeClient : public host::NodeTransport {
  public:
    // `memory` is charged for responses being received and requests not yet sent; nullptr: no limit. It must
    // outlive this object. A response that it has no room for waits in its socket.
    NodeClient(PoolLimits limits, Dialect dialect, host::MemoryBudget* memory = nullptr);
    ~NodeClient() override;

    std::uint64_t send(const std::string& node, std::shared_ptr<const host::NodeRequest> request,
                       const host::AttemptLabel& label, double expireInMs, Done done,
                       MayBegin mayBegin = nullptr) override;
    void cancel(std::uint64_t attempt) override;
    void withdraw(std::uint64_t attempt) override;
    void probe(const std::string& node, Done done) override;

    // Number of attempts that have not ended.
    std::size_t inFlight() const { return pending_.size(); }
    std::size_t connections() const;
    std::uint64_t dials() const { return dials_; }
    // Number of responses that had to wait for memory.
    std::uint64_t memoryWaits() const { return memoryWaits_; }
    const std::array<std::uint64_t, static_cast<std::size_t>(LinkCloseReason::Count)>& closes() const {
        return closes_;
    }
    // The node is gone or has moved: closes its idle connections now and those in use when their requests
    // end.
    void retire(const std::string& node);

  private:
    struct Link;
    struct PendingAttempt;
    using LinkPtr = std::shared_ptr<Link>;
    void start(std::uint64_t id);
    bool reuseLink(std::uint64_t id);
    void dial(std::uint64_t id, const io::Address& address);
    void endLater(std::uint64_t id, Outcome outcome);
    void transmit(const LinkPtr& link);
    void onConnected(const LinkPtr& link);
    void onData(const LinkPtr& link, std::string_view bytes);
    void onClosed(const LinkPtr& link, io::DisconnectReason why);
    void end(std::uint64_t id, Outcome outcome, bool keepLink);
    void drop(const LinkPtr& link, LinkCloseReason reason);
    bool takeMemory(PendingAttempt& pending, std::uint64_t bytes, bool lengthKnown);
    void waitForMemory(const LinkPtr& link, std::string_view rest);
    void retryMemory();
    bool makeRoom();  // false if every connection is in use
    bool mayHaveRun(const Link& link) const;
    bool isSurplus(Link& link);
    void forgetExchanges();
    const NodeExchanges& exchangesWith(const std::string& node) const;

    PoolLimits limits_;
    Dialect dialect_;
    IdleReusePolicy idleReuse_;
    host::MemoryBudget* memory_;
    std::uint64_t nextId_ = 0, dials_ = 0, memoryWaits_ = 0;
    std::deque<std::weak_ptr<Link>> waiting_;  // for memory
    io::Timer memoryTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::array<std::uint64_t, static_cast<std::size_t>(LinkCloseReason::Count)> closes_{};
    std::unordered_map<std::uint64_t, std::unique_ptr<PendingAttempt>> pending_;
    std::map<std::string, std::vector<LinkPtr>> links_;  // by node, idle and in use
    // By node: those that have a connection, or that sent a surplus of late.
    std::map<std::string, NodeExchanges> exchanges_;
};

// The outcome of a response by its status. "Not executed" (Rejected) are 503, and 400 with
// Want-Repr-Digest: the body did not match the digest in the request (RFC 9530, 4), so the node did nothing
// and the same bytes may be sent again.
Outcome outcomeOf(int status, bool wantsDigest);

}  // namespace spokewheel::nodes
