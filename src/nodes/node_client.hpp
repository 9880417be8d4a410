// HTTP/1.1 to the storage nodes: kept connections, one exchange at a time on each, outcomes by what is known.
// Never picks a node. Single-threaded; nothing blocks.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "host/node_transport.hpp"
#include "io/connection.hpp"
#include "nodes/decide_link.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::nodes {

// What the nodes of one kind speak beyond HTTP/1.1: what an exchange carries and what an answer's head means.
struct Dialect {
    // Where a node listens; false where that is not known.
    std::function<bool(const std::string& node, io::Address&)> resolve;
    // Fields of an attempt beside those of its exchange.
    std::function<void(const host::AttemptLabel&, double expireInMs, wire::http::Fields&)> addFields;
    // What an answer means, but for its body: outcome, usage, what others got.
    std::function<host::AttemptResult(const wire::http::Head&)> interpret;
    std::string probeTarget;
    // A request that was not written whole can't have run. Otherwise one of which nothing was written.
    bool runsOnlyWhenComplete = false;
    double reuseDelayMs = 0;       // of a connection between two exchanges (decide_link.hpp)
    bool learnsIdleLimit = false;  // whether it is learned how long a kept one may idle
};
// This project's own: node names are addresses, `Spokewheel-*` fields, Repr-Digest.
Dialect gatewayDialect(std::string sender);

struct PoolLimits {
    std::size_t maxPerNode = 64;      // connections to one node
    std::size_t maxIdlePerNode = 32;  // kept of them
    double idleTimeoutMs = 15000;     // a kept connection is closed after this
    double connectTimeoutMs = 250;
    double writeTimeoutMs = 0;       // from its first byte a request has to be written; 0: no bound
    std::size_t maxTotal = 1 << 20;  // connections to all nodes; at it the one idle for longest gives way
    // Bytes of answers that are on their way, all together.
    std::uint64_t maxBufferedBytes = std::uint64_t(1) << 30;
};

// Why a connection to a node was closed; counted in the pulse.
enum class LinkCloseReason {
    ByNode,       // closed, reset or never came up while nothing was out on it
    NotReusable,  // its exchange ended without a whole and orderly answer, or in the node's "close"
    IdleTooLong,  // kept for as long as it may be
    Distrusted,   // idled for longer than this network is known to keep connections
    UsedByNode,   // something unasked came on it
    Retired,      // its node is gone, drains, moved or started anew
    MadeRoom,     // at the cap on connections
    Count
};
const char* nameOf(LinkCloseReason reason);

class NodeClient : public host::NodeTransport {
  public:
    NodeClient(PoolLimits caps, Dialect dialect);
    ~NodeClient() override;

    std::uint64_t send(const std::string& node, std::shared_ptr<const host::NodeRequest> exchange,
                       const host::AttemptLabel& label, double expireInMs, Done done,
                       MayBegin mayBegin = nullptr) override;
    void cancel(std::uint64_t attempt) override;
    void withdraw(std::uint64_t attempt) override;
    void probe(const std::string& node, Done done) override;

    std::size_t out() const { return flights_.size(); }
    std::size_t connections() const;
    std::uint64_t dials() const { return dials_; }  // since the start
    const std::array<std::uint64_t, static_cast<std::size_t>(LinkCloseReason::Count)>& closes() const {
        return closes_;
    }
    // The node is gone or has moved: what is kept to it is closed, what is in use when its exchange ends.
    void retire(const std::string& node);

  private:
    struct Link;
    struct Flight;
    using LinkPtr = std::shared_ptr<Link>;
    void start(std::uint64_t id);
    void transmit(const LinkPtr& link);
    void onConnected(const LinkPtr& link);
    void onData(const LinkPtr& link, std::string_view bytes);
    void onClosed(const LinkPtr& link, io::DisconnectReason why);
    void end(std::uint64_t id, Outcome outcome, bool keepLink);
    void drop(const LinkPtr& link, LinkCloseReason reason);
    bool makeRoom();  // false where each connection is in use
    bool mayHaveRun(const Link& link) const;

    PoolLimits caps_;
    Dialect dialect_;
    IdleReusePolicy trust_;
    std::uint64_t buffered_ = 0;
    std::uint64_t nextId_ = 0, dials_ = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(LinkCloseReason::Count)> closes_{};
    std::unordered_map<std::uint64_t, std::unique_ptr<Flight>> flights_;
    std::map<std::string, std::vector<LinkPtr>> links_;  // by node, idle and in use
};

// What an answer says of an exchange: an answer, an error, or "not executed". That is 503, and 400 with
// Want-Repr-Digest: what came is not what the digest in the request told of (RFC 9530, 4), so the node did
// nothing and the same bytes may be sent again.
Outcome outcomeOf(int status, bool wantsDigest);

}  // namespace spokewheel::nodes
