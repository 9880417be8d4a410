#include "nodes/node_client.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace spokewheel::nodes {

using host::AttemptResult;
using host::Exchange;

struct NodeClient::Link {
    std::string node;
    std::shared_ptr<io::Connection> connection;
    wire::http::Parser parser{wire::http::Parser::Kind::Response};
    std::uint64_t flight = 0;  // 0: idle
    std::uint64_t wroteBefore = 0;
    bool ready = false;
    io::Timer timer;  // connecting, or idle
};
struct NodeClient::Flight {
    std::string node;
    std::shared_ptr<const Exchange> exchange;
    host::Label label;
    Done done;
    double startedAt = 0;
    LinkPtr link;
    AttemptResult result;
    io::Timer expiry, later;
    bool tooLong = false, wantsDigest = false;
};

namespace {

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
    if (status == 503 || (status == 400 && wantsDigest)) return Outcome::TurnedAway;
    if (status >= 500) return Outcome::ServerError;
    return Outcome::Served;
}

NodeClient::NodeClient(PoolCaps caps, std::string sender) : caps_(caps), sender_(std::move(sender)) {}
NodeClient::~NodeClient() {
    for (auto& [node, links] : links_)
        for (auto& link : links) link->connection->close();
}

std::size_t NodeClient::connections() const {
    std::size_t n = 0;
    for (const auto& [node, links] : links_) n += links.size();
    return n;
}

std::uint64_t NodeClient::send(const std::string& node, std::shared_ptr<const Exchange> exchange,
                               const host::Label& label, double expireInMs, Done done) {
    const auto id = ++nextId_;
    auto& f = flights_[id];
    f = std::make_unique<Flight>();
    f->node = node;
    f->exchange = std::move(exchange);
    f->label = label;
    f->done = std::move(done);
    f->startedAt = io::nowMs();
    f->expiry.arm(expireInMs, [this, id] {
        // Closing the connection is how HTTP/1.1 calls an exchange off. Where nothing of it went out, the
        // node can't have run it.
        const auto& flight = *flights_.at(id);
        const bool sent =
            flight.link && flight.link->ready && flight.link->connection->wrote() > flight.link->wroteBefore;
        end(id, sent ? Outcome::NoAnswer : Outcome::NoConnection, false);
    });
    start(id);
    return id;
}

void NodeClient::start(std::uint64_t id) {
    auto& f = *flights_.at(id);
    auto& links = links_[f.node];
    // The link used last is the least likely to have been closed by the node meanwhile.
    for (auto it = links.rbegin(); it != links.rend(); ++it) {
        const auto link = *it;
        if (link->flight || !link->ready) continue;
        if (link->connection->readable()) {  // closed, or talking out of turn: known before anything is sent
            drop(link);
            return start(id);
        }
        link->flight = id;
        f.link = link;
        return transmit(link);
    }
    io::Address address;
    if (links.size() >= caps_.open || !io::parseAddress(f.node, address)) {
        f.later.arm(0, [this, id] { end(id, Outcome::NoConnection, false); });
        return;
    }
    auto link = std::make_shared<Link>();
    link->node = f.node;
    link->flight = id;
    link->connection = io::Connection::dial(address);
    links.push_back(link);
    f.link = link;
    if (!link->connection->open()) {
        f.later.arm(0, [this, id] { end(id, Outcome::NoConnection, false); });
        return;
    }
    const std::weak_ptr<Link> weak = link;
    const auto with = [this, weak](auto then) {
        if (const auto l = weak.lock()) (this->*then)(l);
    };
    link->connection->handle({[with] { with(&NodeClient::onConnected); },
                              [this, weak](std::string_view bytes) {
                                  if (const auto l = weak.lock()) onData(l, bytes);
                              },
                              {},
                              [this, weak](io::Closed why) {
                                  if (const auto l = weak.lock()) onClosed(l, why);
                              }});
    link->timer.arm(caps_.connectMs, [this, weak] {
        if (const auto l = weak.lock()) onClosed(l, io::Closed::NotConnected);
    });
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
    const auto& x = *f.exchange;
    if (x.method == "HEAD") link->parser.expectNoBody();
    auto fields = x.fields;
    if (!sender_.empty()) fields.emplace_back("Spokewheel-Host", sender_);
    if (!f.label.request.empty())
        fields.emplace_back("Spokewheel-Attempt", "id=" + f.label.request + ";n=" +
                                                      std::to_string(f.label.attempt) + ";" + f.label.text);
    const bool body = x.body != nullptr;
    link->wroteBefore = link->connection->wrote();
    link->connection->write(
        wire::http::writeRequest(x.method, x.target, f.node, fields,
                                 body ? std::optional<std::uint64_t>(x.body->size()) : std::nullopt));
    if (body) link->connection->write(*x.body);
}

void NodeClient::onData(const LinkPtr& link, std::string_view bytes) {
    using Got = wire::http::Parser::Got;
    if (!link->flight) return drop(link);  // an answer that nobody asked for
    const auto id = link->flight;
    auto& f = *flights_.at(id);
    std::string_view body;
    for (;;) switch (link->parser.next(bytes, body)) {
            case Got::More:
                return;
            case Got::Head: {
                const auto& head = link->parser.head();
                if (head.status < 200) {  // interim answers are passed over (RFC 9110, 15.2)
                    link->parser.reset();
                    break;
                }
                f.result.status = head.status;
                f.result.body.reserve(std::min(link->parser.remaining(), f.exchange->mostAnswer));
                f.wantsDigest = head.find("Want-Repr-Digest") != nullptr;
                f.result.usage = figure(head, "Spokewheel-Usage");
                f.result.othersGot = figure(head, "Spokewheel-Others");
                break;
            }
            case Got::Body:
                f.tooLong = f.tooLong || f.result.body.size() + body.size() > f.exchange->mostAnswer;
                if (!f.tooLong) f.result.body += body;
                break;
            case Got::End: {
                const bool early = link->connection->queued() > 0;  // answered before all of it was sent
                const bool keep = !link->parser.closes() && bytes.empty() && !early;
                const auto outcome = outcomeOf(f.result.status, f.wantsDigest);
                return end(id, f.tooLong ? Outcome::ServerError : outcome, keep);
            }
            case Got::Bad:
                return end(id, Outcome::ServerError, false);
        }
}

void NodeClient::onClosed(const LinkPtr& link, io::Closed why) {
    const auto id = link->flight;
    // Not connected, or nothing of the request was taken by the socket: it can't have run. Anything else
    // may have.
    const bool sent = link->ready && link->connection->wrote() > link->wroteBefore;
    if (!id) return drop(link);
    end(id, why == io::Closed::NotConnected || !sent ? Outcome::NoConnection : Outcome::ConnectionLost,
        false);
}

void NodeClient::drop(const LinkPtr& link) {
    const auto keep = link;
    keep->connection->close();
    auto& links = links_[keep->node];
    links.erase(std::remove(links.begin(), links.end(), keep), links.end());
}

void NodeClient::end(std::uint64_t id, Outcome outcome, bool keepLink) {
    const auto found = flights_.find(id);
    if (found == flights_.end()) return;
    const auto flight = std::move(found->second);
    flights_.erase(found);
    if (const auto link = flight->link) {
        link->flight = 0;
        auto& links = links_[link->node];
        const auto idle = std::count_if(links.begin(), links.end(), [](auto& l) { return !l->flight; });
        if (!keepLink || static_cast<std::size_t>(idle) > caps_.idle) drop(link);
        else {
            const std::weak_ptr<Link> weak = link;
            link->timer.arm(caps_.idleMs, [this, weak] {
                if (const auto l = weak.lock(); l && !l->flight) drop(l);
            });
        }
    }
    flight->result.outcome = outcome;
    flight->result.tookMs = io::nowMs() - flight->startedAt;
    if (outcome != Outcome::Served) flight->result.body.clear();
    flight->done(std::move(flight->result));
}

void NodeClient::cancel(std::uint64_t attempt) {
    if (const auto found = flights_.find(attempt); found != flights_.end())
        found->second->later.arm(0, [this, attempt] { end(attempt, Outcome::CalledOff, false); });
}

void NodeClient::probe(const std::string& node, Done done) {
    auto x = std::make_shared<Exchange>();
    x->method = "GET";
    x->target = "/load";
    x->mostAnswer = 4096;
    send(node, std::move(x), {}, 1000, std::move(done));
}

}  // namespace spokewheel::nodes
