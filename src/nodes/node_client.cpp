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
    std::uint64_t flight = 0;  // 0: idle
    std::uint64_t wroteBefore = 0;
    bool ready = false, retired = false;
    int interim = 0;       // answers before the answer
    double idleSince = 0;  // where it is idle
    double idled = -1;     // before the exchange that is out; below zero: it is fresh
    io::Timer timer;       // connecting, or idle
};
struct NodeClient::Flight {
    std::string node;
    std::shared_ptr<const NodeRequest> exchange;
    host::AttemptLabel label;
    Done done;
    MayBegin mayBegin;
    double startedAt = 0;
    LinkPtr link;
    AttemptResult result;
    double until = 0;
    io::Timer expiry, later;
};

namespace {

constexpr int kMostInterim = 16;
constexpr std::uint64_t kReserve = 64 * 1024;  // a length is only what the node says

double figure(const wire::http::Head& head, const char* name) {
    const auto* text = head.find(name);
    double value = 0;
    if (!text) return 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    return error == std::errc() && value >= 0 && value < 1e12 ? value : 0;
}

}  // namespace

// A definite answer of the node counts as served, whatever it says of the object: the work was done. What a
// missing object or a failed condition means is for whoever asked.
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
        out.usage = figure(head, "Spokewheel-Usage");
        out.othersGot = figure(head, "Spokewheel-Others");
        return out;
    };
    d.probeTarget = "/load";
    return d;
}

NodeClient::NodeClient(PoolLimits caps, Dialect dialect) : caps_(caps), dialect_(std::move(dialect)) {}
NodeClient::~NodeClient() {
    for (auto& [node, links] : links_)
        for (auto& link : links) link->connection->close();
}

std::size_t NodeClient::connections() const {
    std::size_t n = 0;
    for (const auto& [node, links] : links_) n += links.size();
    return n;
}

std::uint64_t NodeClient::send(const std::string& node, std::shared_ptr<const NodeRequest> exchange,
                               const host::AttemptLabel& label, double expireInMs, Done done,
                               MayBegin mayBegin) {
    const auto id = ++nextId_;
    auto& f = flights_[id];
    f = std::make_unique<Flight>();
    f->node = node;
    f->exchange = std::move(exchange);
    f->label = label;
    f->done = std::move(done);
    f->mayBegin = std::move(mayBegin);
    f->startedAt = io::nowMs();
    f->until = f->startedAt + expireInMs;
    f->expiry.arm(expireInMs, [this, id] {
        // Closing the connection is how HTTP/1.1 calls an exchange off.
        const auto& link = flights_.at(id)->link;
        end(id, link && mayHaveRun(*link) ? Outcome::NoAnswer : Outcome::NoConnection, false);
    });
    start(id);
    return id;
}

// By what the kernel has taken of the request on this connection.
bool NodeClient::mayHaveRun(const Link& link) const {
    if (!link.ready || link.connection->bytesSent() <= link.wroteBefore) return false;
    return !dialect_.runsOnlyWhenComplete ||
           (link.connection->queued() == 0 && !link.connection->droppedUnsentBytes());
}

void NodeClient::start(std::uint64_t id) {
    auto& f = *flights_.at(id);
    auto& links = links_[f.node];
    std::vector<LinkPtr> idle;
    std::vector<double> since;
    for (const auto& link : links)
        if (!link->flight && link->ready && !link->retired) {
            idle.push_back(link);
            since.push_back(link->idleSince);
        }
    if (const auto i = pickLink(since, io::nowMs(), dialect_.reuseDelayMs)) {
        const auto link = idle[*i];
        const double idled = io::nowMs() - link->idleSince;
        const bool distrusted = dialect_.learnsIdleLimit && !trust_.mayReuse(idled);
        if (distrusted ||
            link->connection->readable()) {  // closed, or talking out of turn: known before anything is sent
            drop(link, distrusted ? LinkCloseReason::Distrusted : LinkCloseReason::UsedByNode);
            return start(id);
        }
        link->idled = idled;
        link->flight = id;
        f.link = link;
        return transmit(link);
    }
    io::Address address;
    if (links.size() >= caps_.maxPerNode || !dialect_.resolve(f.node, address)) {
        if (links.empty()) links_.erase(f.node);
        f.later.arm(0, [this, id] { end(id, Outcome::NoConnection, false); });
        return;
    }
    if (connections() >= caps_.maxTotal && !makeRoom()) {
        if (links.empty()) links_.erase(f.node);
        f.later.arm(0, [this, id] { end(id, Outcome::NotSent, false); });
        return;
    }
    auto link = std::make_shared<Link>();
    link->node = f.node;
    link->flight = id;
    link->connection = io::Connection::dial(address);
    if (link->connection->failedLocally()) {
        if (const auto at = links_.find(f.node); at != links_.end() && at->second.empty()) links_.erase(at);
        const bool again = io::nowMs() + kDialAgainMs < f.startedAt + kDialAgainForMs;
        return again ? f.later.arm(kDialAgainMs, [this, id] { start(id); })
                     : f.later.arm(0, [this, id] { end(id, Outcome::NotSent, false); });
    }
    ++dials_;
    links_[f.node].push_back(link);  // making room may have moved the node's list
    f.link = link;
    if (!link->connection->open()) {
        f.later.arm(0, [this, id] { end(id, Outcome::NoConnection, false); });
        return;
    }
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
    link->timer.arm(caps_.connectTimeoutMs, [this, weak] {
        if (const auto l = weak.lock()) onClosed(l, io::DisconnectReason::ConnectFailed);
    });
}

bool NodeClient::makeRoom() {
    LinkPtr first;
    for (const auto& [node, links] : links_)
        for (const auto& link : links)
            if (!link->flight && (!first || link->idleSince < first->idleSince)) first = link;
    if (first) drop(first, LinkCloseReason::MadeRoom);
    return first != nullptr;
}

void NodeClient::onConnected(const LinkPtr& link) {
    link->ready = true;
    link->timer.cancel();
    if (link->flight) transmit(link);
}

void NodeClient::transmit(const LinkPtr& link) {
    link->timer.cancel();
    link->parser.reset();
    auto& f = *flights_.at(link->flight);
    link->wroteBefore = link->connection->bytesSent();  // also where nothing is written: nothing has run then
    // The last moment before its first byte: while it was dialled its client may have left, or the node been
    // told as draining, cold or moved.
    if (link->retired || (f.mayBegin && !f.mayBegin()))
        return f.later.arm(0, [this, id = link->flight] { end(id, Outcome::NotSent, true); });
    const auto& x = *f.exchange;
    if (x.method == "HEAD") link->parser.expectNoBody();
    link->interim = 0;
    auto fields = x.fields;
    dialect_.addFields(f.label, f.until - io::nowMs(), fields);
    const bool body = x.body != nullptr;
    link->connection->write(
        wire::http::writeRequest(x.method, x.target, f.node, fields,
                                 body ? std::optional<std::uint64_t>(x.body->size()) : std::nullopt));
    if (body) link->connection->write(*x.body);
    link->connection->flush();
    if (caps_.writeTimeoutMs <= 0 || link->connection->queued() == 0) return;
    const std::weak_ptr<Link> weak = link;
    link->timer.arm(caps_.writeTimeoutMs, [this, weak, id = link->flight] {
        const auto l = weak.lock();
        if (l && l->flight == id && l->connection->queued() > 0) end(id, Outcome::NoConnection, false);
    });
}

void NodeClient::onData(const LinkPtr& link, std::string_view bytes) {
    using Got = wire::http::Parser::Got;
    if (!link->flight) return drop(link, LinkCloseReason::UsedByNode);  // an answer that nobody asked for
    const auto id = link->flight;
    auto& f = *flights_.at(id);
    std::string_view body;
    for (;;) switch (link->parser.next(bytes, body)) {
            case Got::More:
                return;
            case Got::Head: {
                const auto& head = link->parser.head();
                if (head.status < 200) {  // interim answers are passed over (RFC 9110, 15.2)
                    if (++link->interim > kMostInterim) return end(id, Outcome::ServerError, false);
                    link->parser.reset();
                    break;
                }
                // Before the last byte of the request was written nothing can have run: what says otherwise
                // belongs to no request, or to the one before.
                if (dialect_.runsOnlyWhenComplete && !mayHaveRun(*link) &&
                    dialect_.interpret(head).outcome != Outcome::Rejected)
                    return end(id, Outcome::NotSent, false);
                // One that is longer than it may be is not waited for: it could go on for ever.
                if (link->parser.remaining() > f.exchange->maxResponseBytes)
                    return end(id, Outcome::ServerError, false);
                f.result = dialect_.interpret(head);
                f.result.status = head.status;
                f.result.body.reserve(std::min<std::uint64_t>(link->parser.remaining(), kReserve));
                break;
            }
            case Got::Body:
                if (f.result.body.size() + body.size() > f.exchange->maxResponseBytes ||
                    buffered_ + body.size() > caps_.maxBufferedBytes)
                    return end(id, Outcome::ServerError, false);
                buffered_ += body.size();
                f.result.body += body;
                break;
            case Got::End: {
                const bool early = link->connection->queued() > 0;  // answered before all of it was sent
                const bool keep = !link->parser.closes() && bytes.empty() && !early;
                return end(id, f.result.outcome, keep);
            }
            case Got::Bad:
                return end(id, Outcome::ServerError, false);
        }
}

void NodeClient::onClosed(const LinkPtr& link, io::DisconnectReason why) {
    const auto id = link->flight;
    if (!id) return drop(link, LinkCloseReason::ByNode);
    // An answer without a length ends with its connection, in order; a reset is never its end.
    if (why == io::DisconnectReason::ByPeer && link->parser.ended() == wire::http::Parser::Got::End)
        return end(id, flights_.at(id)->result.outcome, false);
    const bool sent = why != io::DisconnectReason::ConnectFailed && mayHaveRun(*link);
    end(id, sent ? Outcome::ConnectionLost : Outcome::NoConnection, false);
}

void NodeClient::retire(const std::string& node) {
    const auto found = links_.find(node);
    if (found == links_.end()) return;
    const auto links = found->second;
    for (const auto& link : links) {
        link->retired = true;
        if (!link->flight) drop(link, LinkCloseReason::Retired);
    }
}

const char* nameOf(LinkCloseReason reason) {
    static constexpr const char* kNames[] = {"by_node",      "not_reusable", "idle",     "distrusted",
                                             "used_by_node", "retired",      "made_room"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(LinkCloseReason::Count));
    return kNames[static_cast<std::size_t>(reason)];
}

void NodeClient::drop(const LinkPtr& link, LinkCloseReason reason) {
    ++closes_[static_cast<std::size_t>(reason)];
    const auto keep = link;
    keep->connection->close();
    auto& links = links_[keep->node];
    links.erase(std::remove(links.begin(), links.end(), keep), links.end());
    if (links.empty()) links_.erase(keep->node);  // nodes come and go for as long as the host runs
}

void NodeClient::end(std::uint64_t id, Outcome outcome, bool keepLink) {
    const auto found = flights_.find(id);
    if (found == flights_.end()) return;
    const auto flight = std::move(found->second);
    flights_.erase(found);
    if (const auto link = flight->link) {
        if (outcome == Outcome::Served || outcome == Outcome::ConnectionLost)
            trust_.recordExchange(link->idled, outcome == Outcome::ConnectionLost, io::nowMs());
        link->flight = 0;
        link->idleSince = io::nowMs();
        const auto& links = links_[link->node];
        const auto idle = std::count_if(links.begin(), links.end(), [](auto& l) { return !l->flight; });
        if (!keepLink || link->retired)
            drop(link, link->retired ? LinkCloseReason::Retired : LinkCloseReason::NotReusable);
        else if (static_cast<std::size_t>(idle) > caps_.maxIdlePerNode) drop(link, LinkCloseReason::MadeRoom);
        else {
            const std::weak_ptr<Link> weak = link;
            link->timer.arm(caps_.idleTimeoutMs, [this, weak] {
                if (const auto l = weak.lock(); l && !l->flight) drop(l, LinkCloseReason::IdleTooLong);
            });
        }
    }
    buffered_ -= flight->result.body.size();
    flight->result.outcome = outcome;
    flight->result.tookMs = io::nowMs() - flight->startedAt;
    if (outcome != Outcome::Served) flight->result.body.clear();
    flight->done(std::move(flight->result));
}

void NodeClient::cancel(std::uint64_t attempt) {
    if (const auto found = flights_.find(attempt); found != flights_.end())
        found->second->later.arm(0, [this, attempt] { end(attempt, Outcome::Cancelled, false); });
}

void NodeClient::withdraw(std::uint64_t attempt) {
    const auto found = flights_.find(attempt);
    if (found == flights_.end() || (found->second->link && mayHaveRun(*found->second->link))) return;
    found->second->later.arm(0, [this, attempt] {
        // The loop may have written the rest meanwhile.
        const auto again = flights_.find(attempt);
        if (again == flights_.end() || (again->second->link && mayHaveRun(*again->second->link))) return;
        end(attempt, Outcome::NotSent, false);
    });
}

void NodeClient::probe(const std::string& node, Done done) {
    auto x = std::make_shared<NodeRequest>();
    x->method = "GET";
    x->target = dialect_.probeTarget;
    x->maxResponseBytes = 4096;
    send(node, std::move(x), {}, 1000, std::move(done), nullptr);
}

}  // namespace spokewheel::nodes
