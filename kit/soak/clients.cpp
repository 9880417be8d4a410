#include "kit/soak/clients.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "kit/soak/request.hpp"

namespace spokewheel::soak {
namespace {

constexpr std::size_t kMostConnections = 24;
constexpr double kConnectMs = 1500;

}  // namespace

Clients::Clients(Reactor& reactor, Random& random, Record record, SchedulerProcess& process, int rank,
                 const Options& options)
    : reactor_(reactor),
      random_(random),
      record_(std::move(record)),
      process_(process),
      rank_(rank),
      options_(options) {}

Clients::~Clients() {
    *alive_ = false;
    crowdLeaves();
    for (const auto& c : connections_) c->link->close();
}

void Clients::note(EventKind kind, const ConnectionPtr& c, const Asked* asked, int status, bool flag) {
    Event event;
    event.kind = kind;
    event.at = kind == EventKind::RequestSent ? asked->at : reactor_.now();
    event.scheduler = rank_;
    event.process = c->life;
    event.connection = c->number;
    if (asked) {
        event.request = asked->id;
        event.requestClass = asked->requestClass;
        event.timeoutMs = asked->timeoutMs;
        event.cell = asked->cell;
        event.limited = asked->limited;
    }
    event.status = status;
    (kind == EventKind::ConnectionEnded ? event.read : event.genuine) = flag;
    record_(event);
}

void Clients::start() {
    asking_ = true;
    arrive();
}

void Clients::arrive() {
    if (!asking_) return;
    const double gap = -std::log(1 - drawReal(random_)) * 1000 / options_.requestsPerSecond;
    reactor_.after(gap, [this, alive = alive_] {
        if (*alive) arrive();
    });
    if (!process_.running() || process_.startedAt() + 50 > reactor_.now()) return;
    if (!process_.ready() && !process_.stopping()) return;
    const auto c = idleOrNew();
    if (!c) return;
    if (options_.troubles && chance(random_, 0.02)) return malformed(c);
    ask(c, make());
    if (!options_.troubles || c->open.empty() || !chance(random_, 0.05)) return;
    auto behind = make();  // answered after the first, so it has to have as much time
    if (behind.timeoutMs >= c->open.back().timeoutMs) ask(c, std::move(behind));
}

Clients::Asked Clients::make() {
    const auto& plans = options_.setting.classes;
    double draw = drawReal(random_);
    const ClassPlan* plan = &plans.front();
    for (const auto& one : plans) {
        plan = &one;
        if ((draw -= one.share) < 0) break;
    }
    Asked asked;
    char key[20];
    std::snprintf(key, sizeof key, "%016x", 1 + drawBelow(random_, 40));
    asked.id = newRequestId();
    asked.requestClass = plan->name;
    const int little = drawBelow(random_, 50);  // some come with very little time
    asked.timeoutMs = options_.troubles && little == 0
                          ? drawBelow(random_, 20)
                          : std::floor(plan->deadlineMs * (0.5 + 0.5 * drawReal(random_)));
    const bool limited = chance(random_, 0.3);
    const int cell = drawBelow(random_, options_.servers);
    asked.cell = cell;
    asked.limited = limited;
    RequestText text;
    text.method = plan->method;
    if (plan->method == "PUT") text.body.assign(static_cast<std::size_t>(drawBelow(random_, 6000)), 'b');
    text.requestClass = plan->name;
    text.id = asked.id;
    text.plan = limited ? "limited" : "open";
    text.key = key;
    text.timeoutMs = asked.timeoutMs;
    text.volume =
        std::string("00000000000000") + (limited ? "f" : "0") + std::to_string(1 + drawBelow(random_, 2));
    text.units = 1 + drawBelow(random_, 3);
    text.cell = cell;
    text.hosts = options_.schedulers;
    asked.text = textOf(text);
    return asked;
}

Clients::ConnectionPtr Clients::idleOrNew() {
    std::vector<ConnectionPtr> idle;
    for (const auto& c : connections_)
        if (c->ready && c->open.empty() && !c->left && !c->malformed && !c->busyWriting) idle.push_back(c);
    if (!idle.empty() && !chance(random_, 0.1))
        return idle[static_cast<std::size_t>(drawBelow(random_, static_cast<int>(idle.size())))];
    if (process_.stopping() && reactor_.now() > process_.stoppedAt() + kNewWhileStoppingMs) {
        if (idle.empty()) return nullptr;
        return idle[static_cast<std::size_t>(drawBelow(random_, static_cast<int>(idle.size())))];
    }
    return connections_.size() < kMostConnections ? dial() : nullptr;
}

Clients::ConnectionPtr Clients::dial() {
    auto c = std::make_shared<Connection>();
    c->number = newConnectionNumber();
    c->life = process_.life();
    c->link = reactor_.dial(process_.port());
    c->port = c->link->localPort();
    connections_.push_back(c);
    const std::weak_ptr<Connection> weak = c;
    c->link->onConnected = [weak] {
        if (const auto l = weak.lock()) l->ready = true;
    };
    c->link->onData = [this, weak](std::string_view bytes) {
        if (const auto l = weak.lock()) onData(l, bytes);
    };
    c->link->onEnd = [this, weak](Link::End how) {
        if (const auto l = weak.lock()) onEnd(l, how);
    };
    reactor_.after(kConnectMs, [this, alive = alive_, weak] {
        const auto l = weak.lock();
        if (!*alive || !l || l->ready) return;
        l->link->close();
        drop(l);
    });
    return c;
}

void Clients::ask(const ConnectionPtr& c, Asked asked) {
    if (c->busyWriting || c->left) return;
    if (options_.troubles && c->open.empty() && chance(random_, 0.04)) {
        const auto text = asked.text;
        c->busyWriting = true;
        return writeSlowly(c, text, [this, c, asked = std::move(asked)]() mutable {
            c->busyWriting = false;
            c->written -= asked.text.size();  // counted by sent()
            sent(c, std::move(asked));
        });
    }
    c->link->write(asked.text);
    sent(c, std::move(asked));
}

void Clients::writeSlowly(const ConnectionPtr& c, std::string rest, std::function<void()> then) {
    if (!c->link->open() || c->left) return;
    const auto n = std::min<std::size_t>(rest.size(), 1 + static_cast<std::size_t>(drawBelow(random_, 300)));
    c->link->write(rest.substr(0, n));
    c->written += n;
    if (n == rest.size()) return then();
    reactor_.after(drawReal(random_) * 60,
                   [this, alive = alive_, c, rest = rest.substr(n), then = std::move(then)] {
                       if (*alive) writeSlowly(c, rest, then);
                   });
}

void Clients::sent(const ConnectionPtr& c, Asked asked) {
    asked.at = reactor_.now();
    c->written += asked.text.size();
    asked.endOffset = c->written;
    note(EventKind::RequestSent, c, &asked);
    c->open.push_back(std::move(asked));
    if (options_.troubles && chance(random_, 0.06))
        reactor_.after(2 + drawReal(random_) * 400, [this, alive = alive_, c] {
            if (*alive && !c->open.empty()) leave(c);
        });
}

void Clients::onData(const ConnectionPtr& c, std::string_view bytes) {
    using Result = wire::http::Parser::Result;
    if (c->left) return;
    std::string_view part;
    for (;;) switch (c->parser.next(bytes, part)) {
            case Result::NeedMore:
                return;
            case Result::Head:
                c->answering = true;
                break;
            case Result::Body:
                c->body += part;
                break;
            case Result::End:
                onAnswer(c);
                if (bytes.empty()) return;
                break;
            case Result::Invalid:
                return onEnd(c, Link::End::Reset);
        }
}

void Clients::onAnswer(const ConnectionPtr& c) {
    const int status = c->parser.head().status;
    const auto body = std::exchange(c->body, {});
    c->parser.reset();
    c->answering = false;
    if (c->malformed) {
        note(EventKind::MalformedEnded, c, nullptr, status);
        return;
    }
    if (c->open.empty()) return;
    const auto asked = std::move(c->open.front());
    c->open.pop_front();
    ++c->answered;
    note(EventKind::Answered, c, &asked, status, body.rfind("id:" + asked.id + ":", 0) == 0);
}

void Clients::onEnd(const ConnectionPtr& c, Link::End how) {
    if (c->left) return drop(c);
    if (c->malformed) note(EventKind::MalformedEnded, c, nullptr);
    if (c->answering && !c->open.empty()) {
        note(EventKind::AnswerBroken, c, &c->open.front());
        c->open.pop_front();
    }
    const int port = c->port;
    c->left = true;
    const auto open = std::exchange(c->open, {});
    // What the process has read of it is known once it can read no more.
    reactor_.after(kReadSnapshotMs, [this, alive = alive_, c, open, port] {
        if (!*alive) return;
        const auto read = process_.control().readFromPort[port].load();
        for (const auto& asked : open)
            note(EventKind::ConnectionEnded, c, &asked, 0, port > 0 && read >= asked.endOffset);
    });
    // A client that was closed under may go on resting for a while before it ends its own side.
    reactor_.after(how == Link::End::Reset ? 0 : drawReal(random_) * 300, [this, alive = alive_, c] {
        if (*alive) drop(c);
    });
}

void Clients::leave(const ConnectionPtr& c) {
    if (c->left) return;
    c->left = true;
    for (const auto& asked : c->open) note(EventKind::ClientLeft, c, &asked);
    c->open.clear();
    c->link->close();
    drop(c);
}

void Clients::drop(const ConnectionPtr& c) {
    c->link->close();
    connections_.erase(std::remove(connections_.begin(), connections_.end(), c), connections_.end());
}

void Clients::malformed(const ConnectionPtr& c) {
    const auto good = make();
    std::string text;
    switch (drawBelow(random_, 6)) {
        case 0:
            text = "GARBAGE\r\n\r\n";
            break;
        case 1:
            text = "GET /read HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n";
            break;
        case 2:
            text = "PUT /once HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n";
            break;
        case 3:
            text = "GET /nothing/known HTTP/1.1\r\nHost: x\r\nX-Request-ID: bad\r\n\r\n";
            break;
        default:  // half a request, and the client stays
            text = good.text.substr(0, 20 + static_cast<std::size_t>(drawBelow(random_, 60)));
    }
    c->malformed = true;
    c->link->write(text);
    c->written += text.size();
    note(EventKind::Malformed, c, nullptr);
}

void Clients::crowd(int count, double lastsMs) {
    for (int i = 0; i < count; ++i) {
        const auto link = reactor_.dial(process_.port());
        const std::weak_ptr<Link> weak = link;
        // Some rest after a question, the others say nothing.
        if (i % 2)
            link->onConnected = [weak] {
                if (const auto l = weak.lock()) l->write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
            };
        link->onEnd = [weak](Link::End) {
            if (const auto l = weak.lock()) l->close();
        };
        crowd_.push_back(link);
    }
    reactor_.after(lastsMs, [this, alive = alive_] {
        if (*alive) crowdLeaves();
    });
}

void Clients::crowdLeaves() {
    for (const auto& link : crowd_) link->close();
    crowd_.clear();
}

void Clients::malformedBurst(int count) {
    for (int i = 0; i < count && process_.running(); ++i) malformed(dial());
}

}  // namespace spokewheel::soak
