#include "fronts/http/server.hpp"

#include <cstdio>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace spokewheel::fronts::http {

using Phase = ConnectionState::Phase;

struct Server::Session {
    std::uint64_t number = 0;
    std::shared_ptr<io::Connection> connection;
    wire::http::Parser parser{wire::http::Parser::Kind::Request, {16 * 1024, 64, kMostBody}};
    ConnectionState state;
    DecodedRequest decoded;
    std::string body;
    // What came behind the open request, and when: not looked at until that is answered.
    std::deque<std::pair<double, std::string>> ahead;
    std::size_t aheadBytes = 0;
    std::string hostId;                 // of the open request
    std::size_t dropped = 0;            // bytes read while leaving, or of a flood
    bool flooded = false;               // more came behind the open request than is kept
    double arrivedAt = 0;               // of what is parsed now, on io::nowMs()
    bool isReady = false;               // the request is the one for readiness
    bool failed = false;                // an error ended it: what still comes is owed nothing
    std::optional<CloseReason> reason;  // set once this side has begun to end it
};

namespace {

constexpr double kSweepMs = 100;

}  // namespace

Server::Server(host::Host& host, const Settings& settings, const io::Address& at, Caps caps)
    : host_(host), settings_(settings), caps_(caps), most_(sharesOf(caps.descriptors).clients) {
    listener_ = std::make_unique<io::Listener>(
        at, [this](std::shared_ptr<io::Connection> c) { onAccepted(std::move(c)); });
    sweep_.arm(kSweepMs, [this] { sweep(); });
}

Server::~Server() {
    *alive_ = false;
    for (auto& [number, s] : sessions_) s->connection->close();
}

void Server::enter(Session& s, Phase phase) {
    // The time of a first request runs from when its connection was made.
    const bool goesOn = phase == Phase::Speaking && s.state.first;
    s.state.phase = phase;
    if (!goesOn) s.state.since = io::nowMs();
    s.state.flushedAt = -1;
}

void Server::onAccepted(std::shared_ptr<io::Connection> connection) {
    if (sessions_.size() >= most_) makeRoom();
    auto s = std::make_shared<Session>();
    s->number = ++nextSession_;
    s->connection = std::move(connection);
    enter(*s, Phase::Silent);
    sessions_[s->number] = s;
    ++counts_.connections;
    counts_.most = std::max(counts_.most, sessions_.size());
    const std::weak_ptr<Session> weak = s;
    s->connection->setHandler({{},
                               [this, weak](std::string_view bytes) {
                                   if (const auto l = weak.lock()) onData(l, bytes);
                               },
                               {},
                               [this, weak](io::DisconnectReason) {
                                   if (const auto l = weak.lock()) onClosed(l);
                               }});
}

const ConnectionState& Server::observe(Session& s) {
    auto& now = s.state;
    now.unread = now.phase != Phase::Open && s.connection->readable();
    now.ended = now.phase == Phase::Leaving && s.connection->hungUp();
    if (now.phase == Phase::Leaving && now.flushedAt < 0 && s.connection->queued() == 0)
        now.flushedAt = io::nowMs();
    return now;
}

// The connections are few enough to look at each; this happens only at the cap. Where each holds an open
// request, who comes waits in the system's queue until one ends.
void Server::makeRoom() {
    SessionPtr first;
    for (const auto& [number, s] : sessions_)
        if (s->state.phase != Phase::Open && (!first || goesBefore(observe(*s), first->state))) first = s;
    if (!first) return listener_->pause();
    ++counts_.gaveWay;
    close(first, CloseReason::GaveWay);
}

Room Server::room() const { return accepting_ ? roomOf(sessions_.size(), caps_.descriptors) : Room::Plenty; }

void Server::sweep() {
    const double now = io::nowMs();
    listener_->observeQueue();
    if (!listening_) listener_->finish();
    const auto room = this->room();
    std::vector<std::pair<SessionPtr, Decision>> over;
    for (const auto& [number, s] : sessions_)
        if (const auto what = decide(observe(*s), room, draining_, now); what.action != Do::Keep)
            over.emplace_back(s, what);
    for (const auto& [s, what] : over)
        if (what.action == Do::TellAndLeave)
            error(s, 408, "the request did not come whole in time", what.reason);
        else if (what.action == Do::Leave) leave(s, what.reason);
        else close(s, what.reason);
    if (draining_ && drained_ && sessions_.empty() && !listener_->pending()) {
        listener_->stop();
        return std::exchange(drained_, nullptr)();
    }
    sweep_.arm(kSweepMs, [this] { sweep(); });
}

void Server::drain(std::function<void()> done) {
    ready_ = false;
    draining_ = true;
    drained_ = std::move(done);
}

void Server::stopListening() {
    listening_ = false;
    listener_->finish();
}

void Server::onData(const SessionPtr& s, std::string_view bytes) {
    switch (s->state.phase) {
        case Phase::Open:
            return keepAhead(s, bytes);
        case Phase::Leaving:
            if ((s->dropped += bytes.size()) > kLeaveBytes) close(s, CloseReason::Flood);
            return;
        default:
            s->state.lastByteAt = io::nowMs();
            s->arrivedAt = s->connection->arrivedAtMs();
            return parse(s, bytes);
    }
}

// Reading goes on, so that the client's end is seen; what is beyond the bound is dropped, and the connection
// ends once what came before it is answered.
void Server::keepAhead(const SessionPtr& s, std::string_view bytes) {
    if (!s->flooded && aheadFits(s->aheadBytes + bytes.size(), aheadBytes_ + bytes.size(), caps_.ahead)) {
        s->ahead.emplace_back(s->connection->arrivedAtMs(), bytes);
        s->aheadBytes += bytes.size();
        aheadBytes_ += bytes.size();
        return;
    }
    s->flooded = true;
    s->dropped += bytes.size();
    if (s->dropped > kMostFlood)
        s->connection->pauseReading();  // its open request has its answer all the same
}

void Server::forgetAhead(Session& s) {
    aheadBytes_ -= std::exchange(s.aheadBytes, 0);
    s.ahead.clear();
}

void Server::parse(const SessionPtr& s, std::string_view bytes) {
    using Got = wire::http::Parser::Got;
    std::string_view body;
    while (s->connection->open()) {
        if (s->state.phase == Phase::Open) {
            // It came with what is open now, before all that came since.
            if (!bytes.empty()) s->ahead.emplace_front(s->arrivedAt, bytes);
            s->aheadBytes += bytes.size();
            aheadBytes_ += bytes.size();
            return;
        }
        if (s->state.phase == Phase::Leaving) return;
        if (!bytes.empty() && s->state.phase != Phase::Speaking) enter(*s, Phase::Speaking);
        switch (s->parser.next(bytes, body)) {
            case Got::More:
                return;
            case Got::Head:
                if (!onHead(s)) return;
                break;
            case Got::Body:
                s->body += body;
                break;
            case Got::End:
                onWhole(s);
                break;
            case Got::Bad:
                return error(s, 400, s->parser.error());
        }
    }
}

// False where the request has been answered already.
bool Server::onHead(const SessionPtr& s) {
    const auto& head = s->parser.head();
    s->isReady = head.method == "GET" && head.target == "/ready";
    if (s->isReady) return true;
    s->decoded = decodeRequest(head, settings_);
    if (s->decoded.status) {
        error(s, s->decoded.status, s->decoded.error);
        return false;
    }
    if (const auto* expect = head.find("Expect"); expect && wire::http::sameName(*expect, "100-continue")) {
        s->connection->write("HTTP/1.1 100 Continue\r\n\r\n");
        s->connection->flush();
    }
    return true;
}

void Server::onWhole(const SessionPtr& s) {
    const bool last = s->parser.closes();
    s->state.first = false;
    if (s->isReady) return answer(s, ready_ ? 200 : 503, {}, "", last);
    if (s->decoded.work.nodeRequest->method == "GET" && !s->body.empty())
        return error(s, 400, "a GET with a body");
    if (!openIds_.insert(s->decoded.id).second) return error(s, 409, "X-Request-ID is of an open request");
    ++counts_.requests;
    auto work = std::move(s->decoded.work);
    if (work.nodeRequest->method == "PUT") {
        auto exchange = std::make_shared<host::NodeRequest>(*work.nodeRequest);
        exchange->body = std::make_shared<const std::string>(std::exchange(s->body, {}));
        work.nodeRequest = std::move(exchange);
    }
    work.arrivedMs = s->arrivedAt;
    // The loop may be held up between its look at the sockets and an attempt: a client that has gone
    // meanwhile is found by reading what waits.
    work.clientWaiting = [connection = s->connection] {
        connection->readPending();
        return connection->open();
    };
    enter(*s, Phase::Open);
    s->hostId = host_.submit(std::move(work), [this, alive = alive_, s](host::Answer a) {
        if (*alive) onAnswer(s, std::move(a));
    });
}

void Server::onAnswer(const SessionPtr& s, host::Answer a) {
    openIds_.erase(s->decoded.id);
    s->hostId.clear();
    const bool last = s->parser.closes();
    wire::http::Fields fields;
    switch (a.kind) {
        case host::Answer::Kind::Served:
            answer(s, 200, {}, a.body, last);
            break;
        case host::Answer::Kind::Refused:
            if (a.holdOffMs > 0) {
                char seconds[32];
                std::snprintf(seconds, sizeof seconds, "%.3f", a.holdOffMs / 1000);
                fields.emplace_back("Retry-After", seconds);
            }
            answer(s, 503, std::move(fields), "", last);
            break;
        case host::Answer::Kind::Failed:
            answer(s, 502, {}, "", last);
            break;
    }
    while (s->state.phase != Phase::Open && s->state.phase != Phase::Leaving && !s->ahead.empty()) {
        const auto [at, bytes] = std::move(s->ahead.front());
        s->ahead.pop_front();
        s->aheadBytes -= bytes.size();
        aheadBytes_ -= bytes.size();
        s->arrivedAt = s->state.lastByteAt = at;
        parse(s, bytes);
    }
    if (s->flooded && s->ahead.empty() && s->state.phase != Phase::Open && s->state.phase != Phase::Leaving &&
        s->connection->open())
        error(s, 400, "too much behind an open request", CloseReason::Flood);
}

void Server::answer(const SessionPtr& s, int status, wire::http::Fields fields, const std::string& body,
                    bool last, CloseReason reason) {
    // What has come behind it is answered too, before the connection ends by this scheduler's wish.
    const bool more = !s->ahead.empty() || s->connection->readable();
    last = last || ((draining_ || room() == Room::None) && !more);
    if (last) fields.emplace_back("Connection", "close");
    s->connection->write(wire::http::writeResponse(status, fields, body.size()) + body);
    s->connection->flush();
    s->parser.reset();
    s->body.clear();
    s->decoded = {};
    if (last) leave(s, reason);
    else enter(*s, Phase::Idle);
}

void Server::error(const SessionPtr& s, int status, const std::string& words, CloseReason reason) {
    ++counts_.errors;
    s->failed = true;
    answer(s, status, {{"Content-Type", "text/plain"}}, words + "\n", true, reason);
}

// An orderly end (RFC 9112, 9.6): the write side is shut after what is queued, and the connection closed once
// the other side has ended too or decide() says so; a close over unread bytes at once would be a reset, and
// could overtake the answer. A request that crosses the end is not read: then its client may send it again.
// What still comes of one that can't be read is dropped.
void Server::leave(const SessionPtr& s, CloseReason reason) {
    if (!s->reason) s->reason = reason;
    enter(*s, Phase::Leaving);
    forgetAhead(*s);
    if (s->failed) s->connection->resumeReading();
    else s->connection->pauseReading();
    s->connection->shutdownWrite();
}

// The invariant of closing: this side ends no connection over a request that it has read and not answered.
void Server::checkClose(const Session& s) {
    using invariants::Violation;
    host_.monitor().check(s.hostId.empty(), Violation::CloseOverOpenRequest, s.decoded.id);
    host_.monitor().check(s.failed || s.dropped == 0, Violation::CloseOverReadRequest, s.decoded.id);
}

void Server::onClosed(const SessionPtr& s) {
    const auto reason = s->reason.value_or(CloseReason::ByClient);
    ++counts_.closes[static_cast<std::size_t>(reason)];
    if (s->reason) checkClose(*s);
    if (note_) note_(reason, s->hostId.empty() ? std::string() : s->decoded.id);
    if (!s->hostId.empty()) {
        openIds_.erase(s->decoded.id);
        host_.abandon(std::exchange(s->hostId, {}));
    }
    forgetAhead(*s);
    sessions_.erase(s->number);
    listener_->resume();
}

void Server::close(const SessionPtr& s, CloseReason reason) {
    if (!s->reason) s->reason = reason;
    s->connection->close();
    onClosed(s);
}

}  // namespace spokewheel::fronts::http
