#include "nodes/node_client.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace spokewheel::nodes {

using host::AttemptResult;
using host::NodeRequest;

struct NodeClient::Link {
    std::string node;
    std::shared_ptr<io::Connection> connection;
    wire::http::Parser parser{wire::http::Parser::Kind::Response};
    std::uint64_t attempt = 0;      // that uses it; 0: idle
    std::uint64_t wroteBefore = 0;  // bytes written on it before the current attempt
    bool ready = false, retired = false;
    int interim = 0;          // number of interim responses to the current attempt
    double idleSince = 0;     // valid while idle
    double idledMs = -1;      // before the current attempt; negative: a new connection
    double writtenAt = 0;     // when the request of the current attempt was begun to be written
    double notBeforeMs = 0;   // after that: what comes sooner is no response (Reuse)
    bool responding = false;  // something has come since
    bool surplus = false;     // which was no response to the request
    // Read but not parsed, because the body of the response waits for memory.
    std::string held;
    bool waits = false;
    io::Timer timer;  // of connecting, writing or idling
};
struct NodeClient::PendingAttempt {
    std::string node;
    std::shared_ptr<const NodeRequest> request;
    host::AttemptLabel label;
    Done done;
    MayBegin mayBegin;
    double startedAt = 0;
    LinkPtr link;
    AttemptResult result;
    host::MemoryBudget::Lease memory;
    double expiresAt = 0;
    io::Timer expiry, deferred;
};

namespace {

constexpr int kMaxInterimResponses = 16;
// Most bytes that are allocated ahead: a Content-Length is only what the node claims.
constexpr std::uint64_t kMaxReserveBytes = 64 * 1024;
// Read at a time where memory is limited, so that little is read before the budget is asked.
constexpr std::size_t kReadChunkBytes = 16 * 1024;

double numberField(const wire::http::Head& head, const char* name) {
    const auto* text = head.find(name);
    double value = 0;
    if (!text) return 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    return error == std::errc() && value >= 0 && value < 1e12 ? value : 0;
}

}  // namespace

// Any definite response counts as served, as the node has done the work. What a missing object or a failed
// precondition means is up to the caller.
Outcome outcomeOf(int status, bool wantsDigest) {
    if (status == 503 || (status == 400 && wantsDigest)) return Outcome::Rejected;
    if (status >= 500) return Outcome::ServerError;
    return Outcome::Served;
}

Dialect gatewayDialect(std::string sender) {
    Dialect d;
    d.resolve = [](const std::string& node, io::Address& out) { return io::parseAddress(node, out); };
    d.addFields = [sender = std::move(sender)](const host::AttemptLabel& label, double,
                                               wire::http::Fields& fields) {
        if (!sender.empty()) fields.emplace_back("Spokewheel-Host", sender);
        if (!label.request.empty())
            fields.emplace_back("Spokewheel-Attempt", "id=" + label.request + ";n=" +
                                                          std::to_string(label.attempt) + ";" + label.text);
    };
    d.interpret = [](const wire::http::Head& head) {
        AttemptResult out;
        out.outcome = outcomeOf(head.status, head.find("Want-Repr-Digest") != nullptr);
        out.usage = numberField(head, "Spokewheel-Usage");
        out.servedElsewhere = numberField(head, "Spokewheel-Others");
        return out;
    };
    d.probeTarget = "/load";
    return d;
}

NodeClient::NodeClient(PoolLimits limits, Dialect dialect, host::MemoryBudget* memory)
    : limits_(limits), dialect_(std::move(dialect)), memory_(memory) {
    if (!memory_) return;
    memory_->onRelease([this, alive = alive_] {
        if (*alive && !waiting_.empty() && !memoryTimer_.armed())
            memoryTimer_.arm(0, [this] { retryMemory(); });
    });
}
NodeClient::~NodeClient() {
    *alive_ = false;
    for (auto& [node, links] : links_)
        for (auto& link : links) link->connection->close();
}

std::size_t NodeClient::connections() const {
    std::size_t n = 0;
    for (const auto& [node, links] : links_) n += links.size();
    return n;
}

std::uint64_t NodeClient::send(const std::string& node, std::shared_ptr<const NodeRequest> request,
                               const host::AttemptLabel& label, double expireInMs, Done done,
                               MayBegin mayBegin) {
    const auto id = ++nextId_;
    auto& pending = pending_[id];
    pending = std::make_unique<PendingAttempt>();
    pending->node = node;
    pending->request = std::move(request);
    pending->label = label;
    pending->done = std::move(done);
    pending->mayBegin = std::move(mayBegin);
    pending->startedAt = io::nowMs();
    pending->expiresAt = pending->startedAt + expireInMs;
    if (memory_) pending->memory = memory_->acquire(0);
    pending->expiry.arm(expireInMs, [this, id] {
        // HTTP/1.1 can cancel a request only by closing its connection.
        const auto& link = pending_.at(id)->link;
        end(id, link && mayHaveRun(*link) ? Outcome::NoAnswer : Outcome::NoConnection, false);
    });
    start(id);
    return id;
}

// Decides by how much of the request the kernel has accepted on this connection.
bool NodeClient::mayHaveRun(const Link& link) const {
    if (!link.ready || link.connection->bytesSent() <= link.wroteBefore) return false;
    return !dialect_.runsOnlyWhenComplete ||
           (link.connection->queued() == 0 && !link.connection->droppedUnsentBytes());
}

void NodeClient::start(std::uint64_t id) {
    if (reuseLink(id)) return;
    auto& pending = *pending_.at(id);
    io::Address address;
    const auto links = links_.find(pending.node);
    const bool poolIsFull = links != links_.end() && links->second.size() >= limits_.maxPerNode;
    if (poolIsFull || !dialect_.resolve(pending.node, address)) return endLater(id, Outcome::NoConnection);
    if (connections() >= limits_.maxTotal && !makeRoom()) return endLater(id, Outcome::NotSent);
    dial(id, address);
}

void NodeClient::endLater(std::uint64_t id, Outcome outcome) {
    pending_.at(id)->deferred.arm(0, [this, id, outcome] { end(id, outcome, false); });
}

// Sends the attempt on an idle connection, if there is one to use.
bool NodeClient::reuseLink(std::uint64_t id) {
    auto& pending = *pending_.at(id);
    const bool repeatable = pending.request->method != "PUT";
    for (;;) {
        const auto links = links_.find(pending.node);
        if (links == links_.end()) return false;
        std::vector<LinkPtr> idle;
        std::vector<double> since;
        for (const auto& link : links->second)
            if (!link->attempt && link->ready && !link->retired) {
                idle.push_back(link);
                since.push_back(link->idleSince);
            }
        const double now = io::nowMs();
        const auto reuse = pickIdleLink(since, now, dialect_.reuse, exchangesWith(pending.node), repeatable);
        if (!reuse) return false;
        const auto link = idle[reuse->index];
        const double idledMs = now - link->idleSince;
        const bool distrusted = dialect_.learnsIdleLimit && !idleReuse_.mayReuse(idledMs);
        if (link->connection->unreadBytes() > 0) exchanges_[pending.node].onSurplus(now);
        if (distrusted || link->connection->readable()) {  // closed by the node, or an unexpected response
            drop(link, distrusted ? LinkCloseReason::Distrusted : LinkCloseReason::UsedByNode);
            continue;
        }
        link->idledMs = idledMs;
        link->notBeforeMs = reuse->notBeforeMs;
        link->attempt = id;
        pending.link = link;
        transmit(link);
        return true;
    }
}

void NodeClient::dial(std::uint64_t id, const io::Address& address) {
    auto& pending = *pending_.at(id);
    auto link = std::make_shared<Link>();
    link->node = pending.node;
    link->attempt = id;
    link->connection = io::Connection::dial(address);
    if (link->connection->failedLocally()) {
        const bool again = io::nowMs() + kRedialDelayMs < pending.startedAt + kRedialPeriodMs;
        return again ? pending.deferred.arm(kRedialDelayMs, [this, id] { start(id); })
                     : endLater(id, Outcome::NotSent);
    }
    ++dials_;
    links_[pending.node].push_back(link);
    pending.link = link;
    if (!link->connection->open()) return endLater(id, Outcome::NoConnection);
    if (memory_) link->connection->setReadChunk(kReadChunkBytes);
    const std::weak_ptr<Link> weak = link;
    const auto with = [this, weak](auto then) {
        if (const auto l = weak.lock()) (this->*then)(l);
    };
    link->connection->setHandler({[with] { with(&NodeClient::onConnected); },
                                  [this, weak](std::string_view bytes) {
                                      if (const auto l = weak.lock()) onData(l, bytes);
                                  },
                                  {},
                                  [this, weak](io::DisconnectReason why) {
                                      if (const auto l = weak.lock()) onClosed(l, why);
                                  }});
    link->timer.arm(limits_.connectTimeoutMs, [this, weak] {
        if (const auto l = weak.lock()) onClosed(l, io::DisconnectReason::ConnectFailed);
    });
}

// Closes the connection that has idled for longest.
bool NodeClient::makeRoom() {
    LinkPtr oldest;
    for (const auto& [node, links] : links_)
        for (const auto& link : links)
            if (!link->attempt && (!oldest || link->idleSince < oldest->idleSince)) oldest = link;
    if (oldest) drop(oldest, LinkCloseReason::MadeRoom);
    return oldest != nullptr;
}

void NodeClient::onConnected(const LinkPtr& link) {
    link->ready = true;
    link->timer.cancel();
    if (link->attempt) transmit(link);
}

void NodeClient::transmit(const LinkPtr& link) {
    link->timer.cancel();
    link->parser.reset();
    auto& pending = *pending_.at(link->attempt);
    link->wroteBefore =
        link->connection->bytesSent();  // set first: mayHaveRun() is false if nothing is written
    // The last check before the first byte: while the connection was made the client may have left, or the
    // node may have been listed as draining, restarted or moved.
    if (link->retired || (pending.mayBegin && !pending.mayBegin()))
        return pending.deferred.arm(0, [this, id = link->attempt] { end(id, Outcome::NotSent, true); });
    link->writtenAt = io::nowMs();
    link->responding = false;
    const auto& request = *pending.request;
    if (request.method == "HEAD") link->parser.expectNoBody();
    link->interim = 0;
    auto fields = request.fields;
    dialect_.addFields(pending.label, pending.expiresAt - io::nowMs(), fields);
    const bool body = request.body != nullptr;
    link->connection->write(
        wire::http::requestHead(request.method, request.target, pending.node, fields,
                                body ? std::optional<std::uint64_t>(request.body->size()) : std::nullopt));
    if (body) link->connection->write(*request.body);
    link->connection->flush();
    pending.memory.resize(link->connection->queued());  // until the response begins
    if (limits_.writeTimeoutMs <= 0 || link->connection->queued() == 0) return;
    const std::weak_ptr<Link> weak = link;
    link->timer.arm(limits_.writeTimeoutMs, [this, weak, id = link->attempt] {
        const auto l = weak.lock();
        if (l && l->attempt == id && l->connection->queued() > 0) end(id, Outcome::NoConnection, false);
    });
}

void NodeClient::onData(const LinkPtr& link, std::string_view bytes) {
    using Result = wire::http::Parser::Result;
    if (!link->attempt) {  // a response to no request
        exchanges_[link->node].onSurplus(io::nowMs());
        return drop(link, LinkCloseReason::UsedByNode);
    }
    const auto id = link->attempt;
    if (!std::exchange(link->responding, true) && isSurplus(*link))
        return end(id, mayHaveRun(*link) ? Outcome::ConnectionLost : Outcome::NotSent, false);
    auto& pending = *pending_.at(id);
    std::string_view body;
    for (;;) switch (link->parser.next(bytes, body)) {
            case Result::NeedMore:
                return;
            case Result::Head: {
                const auto& head = link->parser.head();
                if (head.status < 200) {  // interim responses are skipped (RFC 9110, 15.2)
                    if (++link->interim > kMaxInterimResponses) return end(id, Outcome::ServerError, false);
                    link->parser.reset();
                    break;
                }
                // The request can't have run before its last byte was written: a response that says otherwise
                // belongs to the previous request or to none.
                if (dialect_.runsOnlyWhenComplete && !mayHaveRun(*link) &&
                    dialect_.interpret(head).outcome != Outcome::Rejected)
                    return end(id, Outcome::NotSent, false);
                // Too long: fails now, as it could go on for ever.
                if (link->parser.remainingBodyBytes() > pending.request->maxResponseBytes)
                    return end(id, Outcome::ServerError, false);
                pending.result = dialect_.interpret(head);
                pending.result.status = head.status;
                if (!takeMemory(pending, link->parser.remainingBodyBytes(), true))
                    return waitForMemory(link, bytes);
                break;
            }
            case Result::Body:
                // The memory of a body without a known length is taken as it comes.
                if (pending.result.body.size() + body.size() > pending.request->maxResponseBytes ||
                    !takeMemory(pending, pending.result.body.size() + body.size(), false))
                    return end(id, Outcome::ServerError, false);
                pending.result.body += body;
                break;
            case Result::End: {
                const bool early = link->connection->queued() > 0;  // the request is not written completely
                if (!bytes.empty()) exchanges_[link->node].onSurplus(io::nowMs());
                const bool keep = !link->parser.closesConnection() && bytes.empty() && !early;
                return end(id, pending.result.outcome, keep);
            }
            case Result::Invalid:
                return end(id, Outcome::ServerError, false);
        }
}

// Whether the first bytes after a request may have come sooner than a response to it can, and so belong to
// the exchange before.
bool NodeClient::isSurplus(Link& link) {
    auto& exchanges = exchanges_[link.node];
    const double now = io::nowMs();
    if (link.notBeforeMs <= 0) {  // they can't
        exchanges.onResponseBegan(now - link.writtenAt, now);
        return false;
    }
    // After a delay of this process it is only known that they came between two times.
    link.surplus = link.connection->arrivedAtMs() - link.writtenAt < link.notBeforeMs;
    if (link.surplus) exchanges.onSurplus(now);
    return link.surplus;
}

// Makes room for a response body of at least that length; false if there is no memory.
bool NodeClient::takeMemory(PendingAttempt& pending, std::uint64_t bytes, bool lengthKnown) {
    auto& body = pending.result.body;
    if (!memory_) {
        body.reserve(std::min<std::uint64_t>(bytes, kMaxReserveBytes));
        return true;
    }
    if (bytes <= body.capacity()) return true;
    const auto capacity = bodyCapacity(bytes, lengthKnown);
    if (!mayTakeCapacity(capacity, lengthKnown, {memory_->capacity(), memory_->free()})) return false;
    // std::string would grow to twice its capacity.
    std::string grown;
    grown.reserve(capacity);
    grown += body;
    body.swap(grown);
    pending.memory.resize(body.capacity());
    return true;
}

// For a response whose head was read last; `rest` was received with it.
void NodeClient::waitForMemory(const LinkPtr& link, std::string_view rest) {
    link->held = std::string(rest);
    link->waits = true;
    link->connection->pauseReading();
    waiting_.push_back(link);
    ++memoryWaits_;
}

// Continues with the responses that wait for memory, in order.
void NodeClient::retryMemory() {
    while (!waiting_.empty()) {
        const auto link = waiting_.front().lock();
        const auto found = link ? pending_.find(link->attempt) : pending_.end();
        if (found != pending_.end() && link->waits) {
            if (!takeMemory(*found->second, link->parser.remainingBodyBytes(), true)) return;
            link->waits = false;
            link->connection->resumeReading();
            onData(link, std::exchange(link->held, {}));
        }
        waiting_.pop_front();
    }
}

void NodeClient::onClosed(const LinkPtr& link, io::DisconnectReason why) {
    const auto id = link->attempt;
    if (!id) return drop(link, LinkCloseReason::ByNode);
    // A response without a length ends with an orderly end of its connection, never with a reset.
    if (why == io::DisconnectReason::ByPeer &&
        link->parser.onEndOfStream() == wire::http::Parser::Result::End)
        return end(id, pending_.at(id)->result.outcome, false);
    const bool sent = why != io::DisconnectReason::ConnectFailed && mayHaveRun(*link);
    end(id, sent ? Outcome::ConnectionLost : Outcome::NoConnection, false);
}

void NodeClient::retire(const std::string& node) {
    const auto found = links_.find(node);
    if (found == links_.end()) return;
    const auto links = found->second;
    for (const auto& link : links) {
        link->retired = true;
        if (!link->attempt) drop(link, LinkCloseReason::Retired);
    }
}

const char* nameOf(LinkCloseReason reason) {
    static constexpr const char* kNames[] = {"by_node",      "not_reusable", "idle",    "distrusted",
                                             "used_by_node", "surplus",      "retired", "made_room"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(LinkCloseReason::Count));
    return kNames[static_cast<std::size_t>(reason)];
}

void NodeClient::drop(const LinkPtr& link, LinkCloseReason reason) {
    ++closes_[static_cast<std::size_t>(reason)];
    const auto keep = link;
    keep->connection->close();
    auto& links = links_[keep->node];
    links.erase(std::remove(links.begin(), links.end(), keep), links.end());
    if (!links.empty()) return;
    links_.erase(keep->node);  // or the map would grow with every node ever listed
    forgetExchanges();
}

const NodeExchanges& NodeClient::exchangesWith(const std::string& node) const {
    static const NodeExchanges none;
    const auto found = exchanges_.find(node);
    return found == exchanges_.end() ? none : found->second;
}

// Forgets the nodes without a connection, but for those that sent a surplus of late.
void NodeClient::forgetExchanges() {
    constexpr std::size_t kMostWithoutLink = 64;
    if (exchanges_.size() <= links_.size() + kMostWithoutLink) return;
    for (auto entry = exchanges_.begin(); entry != exchanges_.end();) {
        const bool forget =
            !links_.count(entry->first) && !entry->second.surplusIsNew(dialect_.reuse, io::nowMs());
        entry = forget ? exchanges_.erase(entry) : std::next(entry);
    }
}

void NodeClient::end(std::uint64_t id, Outcome outcome, bool keepLink) {
    const auto found = pending_.find(id);
    if (found == pending_.end()) return;
    const auto pending = std::move(found->second);
    pending_.erase(found);
    if (const auto link = pending->link) {
        if (!link->surplus && (outcome == Outcome::Served || outcome == Outcome::ConnectionLost))
            idleReuse_.recordExchange(link->idledMs, outcome == Outcome::ConnectionLost, io::nowMs());
        link->attempt = 0;
        link->idleSince = io::nowMs();
        const auto& links = links_[link->node];
        const auto idle = std::count_if(links.begin(), links.end(), [](auto& l) { return !l->attempt; });
        const bool once = exchangesWith(link->node).surplusIsNew(dialect_.reuse, io::nowMs());
        if (link->surplus || once) drop(link, LinkCloseReason::Surplus);
        else if (!keepLink || link->retired)
            drop(link, link->retired ? LinkCloseReason::Retired : LinkCloseReason::NotReusable);
        else if (static_cast<std::size_t>(idle) > limits_.maxIdlePerNode)
            drop(link, LinkCloseReason::MadeRoom);
        else {
            const std::weak_ptr<Link> weak = link;
            link->timer.arm(limits_.idleTimeoutMs, [this, weak] {
                if (const auto l = weak.lock(); l && !l->attempt) drop(l, LinkCloseReason::IdleTooLong);
            });
        }
    }
    pending->result.outcome = outcome;
    pending->result.durationMs = io::nowMs() - pending->startedAt;
    if (outcome != Outcome::Served) pending->result.body.clear();
    pending->done(std::move(pending->result));
}

void NodeClient::cancel(std::uint64_t attempt) {
    if (const auto found = pending_.find(attempt); found != pending_.end())
        found->second->deferred.arm(0, [this, attempt] { end(attempt, Outcome::Cancelled, false); });
}

void NodeClient::withdraw(std::uint64_t attempt) {
    const auto found = pending_.find(attempt);
    if (found == pending_.end() || (found->second->link && mayHaveRun(*found->second->link))) return;
    found->second->deferred.arm(0, [this, attempt] {
        // The event loop may have written the rest in the meantime.
        const auto again = pending_.find(attempt);
        if (again == pending_.end() || (again->second->link && mayHaveRun(*again->second->link))) return;
        end(attempt, Outcome::NotSent, false);
    });
}

void NodeClient::probe(const std::string& node, Done done) {
    auto request = std::make_shared<NodeRequest>();
    request->method = "GET";
    request->target = dialect_.probeTarget;
    request->maxResponseBytes = 4096;
    send(node, std::move(request), {}, 1000, std::move(done), nullptr);
}

}  // namespace spokewheel::nodes
