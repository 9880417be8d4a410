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
    wire::http::Parser parser{wire::http::Parser::Kind::Request, {16 * 1024, 64, kMaxBodyBytes}};
    ConnectionState state;
    DecodedRequest decoded;
    std::string body;
    // Bytes received behind the open request, with their arrival times; parsed once that is answered.
    std::deque<std::pair<double, std::string>> pipelined;
    std::size_t pipelinedBytes = 0;
    std::string hostRequestId;          // the host's id of the open request; empty if there is none
    std::size_t dropped = 0;            // bytes discarded while closing or beyond the pipelining limit
    bool flooded = false;               // more bytes came behind the open request than are kept
    double arrivedAt = 0;               // of the bytes being parsed, on io::nowMs()
    bool isReadinessCheck = false;      // the current request is GET /ready
    bool failed = false;                // ended by an error response: later bytes need no answer
    std::optional<CloseReason> reason;  // set once this side has begun to close the connection
};

namespace {

constexpr double kSweepMs = 100;

}  // namespace

Server::Server(host::Host& host, const Settings& settings, const io::Address& address, Caps caps)
    : host_(host),
      settings_(settings),
      caps_(caps),
      maxConnections_(splitDescriptors(caps.descriptors).clients) {
    listener_ = std::make_unique<io::Listener>(
        address, [this](std::shared_ptr<io::Connection> c) { onAccepted(std::move(c)); });
    sweepTimer_.arm(kSweepMs, [this] { sweep(); });
}

Server::~Server() {
    *alive_ = false;
    for (auto& [number, s] : sessions_) s->connection->close();
}

void Server::enterPhase(Session& s, Phase phase) {
    // The time-out of the first request counts from when the connection was made.
    const bool keepsStart = phase == Phase::Receiving && s.state.first;
    s.state.phase = phase;
    if (!keepsStart) s.state.since = io::nowMs();
    s.state.flushedAt = -1;
}

void Server::onAccepted(std::shared_ptr<io::Connection> connection) {
    if (sessions_.size() >= maxConnections_) evictConnection();
    auto s = std::make_shared<Session>();
    s->number = ++nextSession_;
    s->connection = std::move(connection);
    enterPhase(*s, Phase::Silent);
    sessions_[s->number] = s;
    ++counts_.connections;
    counts_.peakConnections = std::max(counts_.peakConnections, sessions_.size());
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

const ConnectionState& Server::updateState(Session& s) {
    auto& state = s.state;
    state.unread = state.phase != Phase::Open && s.connection->readable();
    state.hungUp = state.phase == Phase::Closing && s.connection->hungUp();
    if (state.phase == Phase::Closing && state.flushedAt < 0 && s.connection->queued() == 0)
        state.flushedAt = io::nowMs();
    return state;
}

// Called at the connection limit only, so a scan over all connections is cheap enough. If every connection
// has an open request, new ones wait in the kernel's backlog until one ends.
void Server::evictConnection() {
    SessionPtr victim;
    for (const auto& [number, s] : sessions_)
        if (s->state.phase != Phase::Open && (!victim || evictedBefore(updateState(*s), victim->state)))
            victim = s;
    if (!victim) return listener_->pause();
    ++counts_.gaveWay;
    close(victim, CloseReason::GaveWay);
}

Capacity Server::capacity() const {
    return expectsConnections_ ? capacityOf(sessions_.size(), caps_.descriptors) : Capacity::Ample;
}

void Server::sweep() {
    const double now = io::nowMs();
    listener_->observeBacklog();
    if (!listening_) listener_->acceptPendingThenStop();
    const auto capacity = this->capacity();
    std::vector<std::pair<SessionPtr, Decision>> ending;
    for (const auto& [number, s] : sessions_)
        if (const auto decision = decide(updateState(*s), capacity, draining_, now);
            decision.action != CloseAction::Keep)
            ending.emplace_back(s, decision);
    for (const auto& [s, decision] : ending)
        if (decision.action == CloseAction::ErrorThenShutDown)
            sendError(s, 408, "the request did not come whole in time", decision.reason);
        else if (decision.action == CloseAction::ShutDown) shutDown(s, decision.reason);
        else close(s, decision.reason);
    if (draining_ && onDrained_ && sessions_.empty() && !listener_->hasPending()) {
        listener_->stop();
        return std::exchange(onDrained_, nullptr)();
    }
    sweepTimer_.arm(kSweepMs, [this] { sweep(); });
}

void Server::drain(std::function<void()> done) {
    reportsReady_ = false;
    draining_ = true;
    onDrained_ = std::move(done);
}

void Server::stopListening() {
    listening_ = false;
    listener_->acceptPendingThenStop();
}

void Server::onData(const SessionPtr& s, std::string_view bytes) {
    switch (s->state.phase) {
        case Phase::Open:
            return bufferPipelined(s, bytes);
        case Phase::Closing:
            if ((s->dropped += bytes.size()) > kMaxDiscardedBytes) close(s, CloseReason::Flood);
            return;
        default:
            s->state.lastByteAt = io::nowMs();
            s->arrivedAt = s->connection->arrivedAtMs();
            return parse(s, bytes);
    }
}

// Reading continues, so that the client's end of stream is noticed. Bytes beyond the limit are discarded, and
// the connection ends once the requests before them are answered.
void Server::bufferPipelined(const SessionPtr& s, std::string_view bytes) {
    if (!s->flooded &&
        pipelinedFits(s->pipelinedBytes + bytes.size(), pipelinedBytes_ + bytes.size(), caps_.pipelined)) {
        s->pipelined.emplace_back(s->connection->arrivedAtMs(), bytes);
        s->pipelinedBytes += bytes.size();
        pipelinedBytes_ += bytes.size();
        return;
    }
    s->flooded = true;
    s->dropped += bytes.size();
    if (s->dropped > kMaxFloodBytes) s->connection->pauseReading();  // the open request is still answered
}

void Server::dropPipelined(Session& s) {
    pipelinedBytes_ -= std::exchange(s.pipelinedBytes, 0);
    s.pipelined.clear();
}

void Server::parse(const SessionPtr& s, std::string_view bytes) {
    using Result = wire::http::Parser::Result;
    std::string_view body;
    while (s->connection->open()) {
        if (s->state.phase == Phase::Open) {
            // These bytes arrived with the request that is open now, ahead of any buffered since.
            if (!bytes.empty()) s->pipelined.emplace_front(s->arrivedAt, bytes);
            s->pipelinedBytes += bytes.size();
            pipelinedBytes_ += bytes.size();
            return;
        }
        if (s->state.phase == Phase::Closing) return;
        if (!bytes.empty() && s->state.phase != Phase::Receiving) enterPhase(*s, Phase::Receiving);
        switch (s->parser.next(bytes, body)) {
            case Result::NeedMore:
                return;
            case Result::Head:
                if (!onHead(s)) return;
                break;
            case Result::Body:
                s->body += body;
                break;
            case Result::End:
                onRequest(s);
                break;
            case Result::Invalid:
                return sendError(s, 400, s->parser.error());
        }
    }
}

// Returns false if the request has already been answered with an error.
bool Server::onHead(const SessionPtr& s) {
    const auto& head = s->parser.head();
    s->isReadinessCheck = head.method == "GET" && head.target == "/ready";
    if (s->isReadinessCheck) return true;
    s->decoded = decodeRequest(head, settings_);
    if (s->decoded.status) {
        sendError(s, s->decoded.status, s->decoded.error);
        return false;
    }
    if (const auto* expect = head.find("Expect");
        expect && wire::http::equalsIgnoreCase(*expect, "100-continue")) {
        s->connection->write("HTTP/1.1 100 Continue\r\n\r\n");
        s->connection->flush();
    }
    return true;
}

void Server::onRequest(const SessionPtr& s) {
    const bool last = s->parser.closesConnection();
    s->state.first = false;
    if (s->isReadinessCheck) return sendAnswer(s, reportsReady_ ? 200 : 503, {}, "", last);
    if (s->decoded.work.nodeRequest->method == "GET" && !s->body.empty())
        return sendError(s, 400, "a GET with a body");
    if (!openRequestIds_.insert(s->decoded.id).second)
        return sendError(s, 409, "X-Request-ID is of an open request");
    ++counts_.requests;
    auto work = std::move(s->decoded.work);
    if (work.nodeRequest->method == "PUT") {
        auto nodeRequest = std::make_shared<host::NodeRequest>(*work.nodeRequest);
        nodeRequest->body = std::make_shared<const std::string>(std::exchange(s->body, {}));
        work.nodeRequest = std::move(nodeRequest);
    }
    work.arrivedMs = s->arrivedAt;
    // The loop may be delayed between its poll and an attempt; reading what is pending finds out whether the
    // client has gone meanwhile.
    work.clientWaiting = [connection = s->connection] {
        connection->readPending();
        return connection->open();
    };
    enterPhase(*s, Phase::Open);
    s->hostRequestId = host_.submit(std::move(work), [this, alive = alive_, s](host::Answer a) {
        if (*alive) onAnswer(s, std::move(a));
    });
}

void Server::onAnswer(const SessionPtr& s, host::Answer a) {
    openRequestIds_.erase(s->decoded.id);
    s->hostRequestId.clear();
    const bool last = s->parser.closesConnection();
    wire::http::Fields fields;
    switch (a.kind) {
        case host::Answer::Kind::Served:
            sendAnswer(s, 200, {}, a.body, last);
            break;
        case host::Answer::Kind::Refused:
            if (a.retryAfterMs > 0) {
                char seconds[32];
                std::snprintf(seconds, sizeof seconds, "%.3f", a.retryAfterMs / 1000);
                fields.emplace_back("Retry-After", seconds);
            }
            sendAnswer(s, 503, std::move(fields), "", last);
            break;
        case host::Answer::Kind::Failed:
            sendAnswer(s, 502, {}, "", last);
            break;
    }
    while (s->state.phase != Phase::Open && s->state.phase != Phase::Closing && !s->pipelined.empty()) {
        const auto [at, bytes] = std::move(s->pipelined.front());
        s->pipelined.pop_front();
        s->pipelinedBytes -= bytes.size();
        pipelinedBytes_ -= bytes.size();
        s->arrivedAt = s->state.lastByteAt = at;
        parse(s, bytes);
    }
    if (s->flooded && s->pipelined.empty() && s->state.phase != Phase::Open &&
        s->state.phase != Phase::Closing && s->connection->open())
        sendError(s, 400, "too much behind an open request", CloseReason::Flood);
}

void Server::sendAnswer(const SessionPtr& s, int status, wire::http::Fields fields, const std::string& body,
                        bool last, CloseReason reason) {
    // A connection that this side wants to close is kept while further requests are waiting on it.
    const bool more = !s->pipelined.empty() || s->connection->readable();
    last = last || ((draining_ || capacity() == Capacity::Exhausted) && !more);
    if (last) fields.emplace_back("Connection", "close");
    s->connection->write(wire::http::responseHead(status, fields, body.size()) + body);
    s->connection->flush();
    s->parser.reset();
    s->body.clear();
    s->decoded = {};
    if (last) shutDown(s, reason);
    else enterPhase(*s, Phase::Idle);
}

void Server::sendError(const SessionPtr& s, int status, const std::string& message, CloseReason reason) {
    ++counts_.errors;
    s->failed = true;
    sendAnswer(s, status, {{"Content-Type", "text/plain"}}, message + "\n", true, reason);
}

// Closes in stages (RFC 9112, section 9.6): shuts down the write side once the queue is sent, and closes the
// connection when the peer has ended too or decide() says so. Closing at once with unread bytes would send a
// reset, which could overtake the answer. A request that crosses the close is not read, so that its client
// may send it again. After an error response, what still arrives is read and discarded.
void Server::shutDown(const SessionPtr& s, CloseReason reason) {
    if (!s->reason) s->reason = reason;
    enterPhase(*s, Phase::Closing);
    dropPipelined(*s);
    if (s->failed) s->connection->resumeReading();
    else s->connection->pauseReading();
    s->connection->shutdownWrite();
}

// Checks an invariant: this side never closes a connection on which it has read a request without answering.
void Server::checkClose(const Session& s) {
    using invariants::Violation;
    host_.monitor().check(s.hostRequestId.empty(), Violation::CloseOverOpenRequest, s.decoded.id);
    host_.monitor().check(s.failed || s.dropped == 0, Violation::CloseOverReadRequest, s.decoded.id);
}

void Server::onClosed(const SessionPtr& s) {
    const auto reason = s->reason.value_or(CloseReason::ByClient);
    ++counts_.closes[static_cast<std::size_t>(reason)];
    if (s->reason) checkClose(*s);
    if (onClose_) onClose_(reason, s->hostRequestId.empty() ? std::string() : s->decoded.id);
    if (!s->hostRequestId.empty()) {
        openRequestIds_.erase(s->decoded.id);
        host_.abandon(std::exchange(s->hostRequestId, {}));
    }
    dropPipelined(*s);
    sessions_.erase(s->number);
    listener_->resume();
}

void Server::close(const SessionPtr& s, CloseReason reason) {
    if (!s->reason) s->reason = reason;
    s->connection->close();
    onClosed(s);
}

}  // namespace spokewheel::fronts::http
