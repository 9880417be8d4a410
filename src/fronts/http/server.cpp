#include "fronts/http/server.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

#include "fronts/http/decide_turn.hpp"
#include "fronts/http/session.hpp"

namespace spokewheel::fronts::http {

using Phase = ConnectionState::Phase;
using wire::http::RequestRule;

namespace {

constexpr double kSweepMs = 100;

// A request body that is charged to the budget for as long as anything refers to it.
struct ChargedBody {
    std::string text;
    host::MemoryBudget::Lease lease;
};
std::shared_ptr<const std::string> chargeBody(host::MemoryBudget& memory, std::string text) {
    auto body = std::make_shared<ChargedBody>();
    body->text = std::move(text);
    body->lease = memory.acquire(body->text.capacity());
    return {body, &body->text};
}

}  // namespace

Server::Server(host::Host& host, const Settings& settings, const io::Address& address,
               std::size_t descriptors, host::MemoryBudget& memory)
    : host_(host),
      settings_(settings),
      descriptors_(descriptors),
      maxConnections_(splitDescriptors(descriptors).clients),
      memory_(memory),
      keyOrder_([this] { settleOrderLater(); }) {
    memory_.onRelease([this, alive = alive_] {
        if (*alive && !waiting_.empty() && !admissionTimer_.armed())
            admissionTimer_.arm(0, [this] { retryAdmissions(); });
    });
    listener_ = std::make_unique<io::Listener>(
        address, [this](std::shared_ptr<io::Connection> c) { onAccepted(std::move(c)); });
    sweepTimer_.arm(kSweepMs, [this] { sweep(); });
}

Server::~Server() {
    *alive_ = false;
    for (auto& [number, s] : sessions_) {
        s->connection->close();
        s->reader.discardQueue();
    }
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
    auto s = std::make_shared<Session>(settings_);
    s->number = ++nextSession_;
    s->connection = std::move(connection);
    s->connection->setReadChunk(kClientReadChunkBytes);
    s->memory = memory_.acquire(0);
    enterPhase(*s, Phase::Silent);
    sessions_[s->number] = s;
    ++counts_.connections;
    counts_.peakConnections = std::max(counts_.peakConnections, sessions_.size());
    const std::weak_ptr<Session> weak = s;
    s->connection->setHandler({{},
                               [this, weak](std::string_view bytes) {
                                   if (const auto l = weak.lock()) onData(l, bytes);
                               },
                               [this, weak] {
                                   if (const auto l = weak.lock()) onDrained(l);
                               },
                               [this, weak](io::DisconnectReason) {
                                   if (const auto l = weak.lock()) onClosed(l);
                               }});
    s->connection->deferReading([this, weak] {
        if (const auto l = weak.lock()) onReadable(l);
    });
}

const ConnectionState& Server::updateState(Session& s) {
    auto& state = s.state;
    state.unread = state.phase != Phase::Open && (s.owesAnswers() || s.connection->readable());
    const bool wasUnsent = std::exchange(state.unsent, s.connection->queued() > 0);
    if (state.unsent) {
        const auto taken = s.connection->bytesAcknowledged();
        if (taken != std::exchange(s.acknowledged, taken) || !wasUnsent) state.progressAt = io::nowMs();
    }
    state.hungUp = state.phase == Phase::Closing && s.connection->hungUp();
    if (state.phase == Phase::Closing && state.flushedAt < 0 && s.connection->queued() == 0)
        state.flushedAt = io::nowMs();
    return state;
}

// Called at the connection limit only, so a scan over all connections is cheap enough. If every connection
// has a request to be answered, or an answer that its client is still reading, new ones wait in the kernel's
// backlog until one ends.
void Server::evictConnection() {
    SessionPtr victim;
    for (const auto& [number, s] : sessions_)
        if (mayBeEvicted(updateState(*s)) && !s->owesAnswers() &&
            (!victim || evictedBefore(s->state, victim->state)))
            victim = s;
    if (!victim) return listener_->pause();
    ++counts_.gaveWay;
    close(victim, CloseReason::GaveWay);
}

// Whether evictConnection() would find one, as far as is known without asking the system.
bool Server::hasEvictable() const {
    return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& entry) {
        const auto& s = *entry.second;
        return s.state.phase != Phase::Open && s.connection->queued() == 0 && !s.owesAnswers();
    });
}

Capacity Server::capacity() const {
    return expectsConnections_ ? capacityOf(sessions_.size(), descriptors_) : Capacity::Ample;
}

void Server::sweep() {
    const double now = io::nowMs();
    listener_->observeBacklog();
    if (!listening_) listener_->acceptPendingThenStop();
    const auto capacity = this->capacity();
    std::vector<std::pair<SessionPtr, Decision>> ending;
    for (const auto& [number, s] : sessions_) {
        updateMemory(*s);
        if (const auto decision = decide(updateState(*s), capacity, draining_, now);
            decision.action != CloseAction::Keep)
            ending.emplace_back(s, decision);
    }
    for (const auto& [s, decision] : ending)
        if (decision.action == CloseAction::ErrorThenShutDown)
            sendError(s, RequestRule::NotWholeInTime, decision.reason);
        else if (decision.action == CloseAction::ShutDown) shutDown(s, decision.reason);
        else close(s, decision.reason);
    if (hasEvictable()) listener_->resume();  // evictConnection() may have paused it
    const auto ordered = keyOrder_.connections();
    serveOrdered({ordered.begin(), ordered.end()});
    if (draining_ && onEmpty_ && sessions_.empty() && !listener_->hasPending()) {
        listener_->stop();
        return std::exchange(onEmpty_, nullptr)();
    }
    sweepTimer_.arm(kSweepMs, [this] { sweep(); });
}

void Server::drain(std::function<void()> done) {
    reportsReady_ = false;
    draining_ = true;
    onEmpty_ = std::move(done);
}

void Server::stopListening() {
    listening_ = false;
    listener_->acceptPendingThenStop();
}

// Answers or submits requests that have been read, until one is open or a share of them is served.
void Server::serveNext(const SessionPtr& s) {
    const auto hasNext = [&s] {
        return s->connection->open() && s->state.phase != Phase::Open && s->state.phase != Phase::Closing &&
               !s->reader.queue().empty();
    };
    std::size_t served = 0, refused = 0;
    bool waits = false;
    while (hasNext() && served < kRequestsPerShare && refused < kRequestsPerTurn) {
        if (s->connection->backlogged()) {  // until onDrained()
            if (s->state.phase != Phase::Idle) enterPhase(*s, Phase::Idle);
            return s->connection->pauseReading();
        }
        if (refuseIfOver(*s)) ++refused;
        else if ((waits = waitsForOrder(*s))) break;
        else if (clientVisible(*s)) ++served;
        else break;
        dispatch(s, s->reader.takeFirst());
    }
    if (s->connection->open() && !s->inShare) s->connection->flush();
    turns_.onServed(served);
    if (waits) return;
    if (hasNext()) {
        turns_.wait(s->number, ReadTurns::Priority::Answers);
        armTurnTimer();
    }
    if (s->state.phase != Phase::Idle || !s->reader.inMessage()) return;
    enterPhase(*s, Phase::Receiving);
    sendContinue(*s);
}

bool Server::refuseIfOver(Session& s) {
    const auto& next = s.reader.queue().front();
    if (next.kind != ReceivedRequest::Kind::Valid ||
        !isOver(next.arrivedAt, next.decoded.work.ttlMs, io::nowMs()))
        return false;
    s.reader.refuseFirst();
    ++counts_.expired;
    return true;
}

// Whether the next request may be dealt with: a client that may have left unnoticed is looked for first. If
// that takes too long, the request is refused.
bool Server::clientVisible(Session& s) {
    auto& next = s.reader.queue().front();
    if (next.kind != ReceivedRequest::Kind::Valid || !mayHideEnd(s)) {
        s.hiddenSince = -1;
        return true;
    }
    if (s.hiddenSince < 0) s.hiddenSince = io::nowMs();
    if (io::nowMs() - s.hiddenSince < kMaxHiddenEndMs) return false;
    s.reader.refuseFirst();
    ++counts_.hiddenEnds;
    return true;
}

void Server::dispatch(const SessionPtr& s, ReceivedRequest request) {
    switch (request.kind) {
        case ReceivedRequest::Kind::Valid:
            return submit(s, std::move(request));
        case ReceivedRequest::Kind::ReadinessCheck:
            return sendAnswer(s, reportsReady_ ? 200 : 503, {}, "", request.last);
        case ReceivedRequest::Kind::Refused:
            return sendAnswer(s, 503, {}, "", request.last);
        case ReceivedRequest::Kind::Invalid:
            return sendError(s, request.rule, CloseReason::Unreadable, request.decoded.id);
    }
}

void Server::submit(const SessionPtr& s, ReceivedRequest request) {
    if (!ids_.take(request.decoded.id, io::nowMs()))
        return sendError(s, RequestRule::IdInUse, CloseReason::Unreadable, request.decoded.id);
    ++counts_.requests;
    s->openId = request.decoded.id;
    s->openIsLast = request.last;
    auto work = std::move(request.decoded.work);
    if (work.nodeRequest->method == "PUT") {
        auto nodeRequest = std::make_shared<host::NodeRequest>(*work.nodeRequest);
        nodeRequest->body = chargeBody(memory_, std::exchange(request.body, {}));
        work.nodeRequest = std::move(nodeRequest);
    }
    request.decoded.work.nodeRequest = work.nodeRequest;
    s->openMemory = request.memory();
    work.arrivedMs = request.arrivedAt;
    work.clientWaiting = [this, alive = alive_, weak = std::weak_ptr<Session>(s)] {
        const auto session = weak.lock();
        return *alive && session && clientWaiting(session);
    };
    work.onRemoved = [this, alive = alive_, id = s->openId](bool answered, bool mayHaveRun) {
        if (*alive) ids_.release(id, !answered && mayHaveRun, io::nowMs());
    };
    enterPhase(*s, Phase::Open);
    // Accepting goes on over the limit only as long as who comes next has a place.
    if (sessions_.size() > maxConnections_ && !hasEvictable()) listener_->pause();
    s->hostRequestId = host_.submit(std::move(work), [this, alive = alive_, s](host::Answer a) {
        if (*alive) onAnswer(s, std::move(a));
    });
}

void Server::onAnswer(const SessionPtr& s, host::Answer a) {
    s->hostRequestId.clear();
    s->openMemory = 0;
    s->readsOn = false;
    wire::http::Fields fields;
    switch (a.kind) {
        case host::Answer::Kind::Served:
            sendAnswer(s, 200, {}, std::move(a.body), s->openIsLast);
            break;
        case host::Answer::Kind::Refused:
            if (a.retryAfterMs > 0) {
                char seconds[32];
                std::snprintf(seconds, sizeof seconds, "%.3f", a.retryAfterMs / 1000);
                fields.emplace_back("Retry-After", seconds);
            }
            sendAnswer(s, 503, std::move(fields), "", s->openIsLast);
            break;
        case host::Answer::Kind::Failed:
            sendAnswer(s, 502, {}, "", s->openIsLast);
            break;
    }
    if (s->state.phase == Phase::Closing) s->connection->flush();
    else serveNext(s);
    retryAdmission(s);
    if (s->connection->open()) updateMemory(*s);
}

void Server::sendAnswer(const SessionPtr& s, int status, wire::http::Fields fields, std::string body,
                        bool last, CloseReason reason) {
    // A connection that this side wants to close is kept while further requests are waiting on it.
    const bool more = !s->reader.queue().empty() || s->reader.inMessage() || s->connection->readable();
    last = last || ((draining_ || capacity() == Capacity::Exhausted) && !more);
    if (last) fields.emplace_back("Connection", "close");
    s->connection->write(wire::http::responseHead(status, fields, body.size()));
    s->connection->write(std::move(body));
    ++s->answers;
    if (last) shutDown(s, reason);
    else enterPhase(*s, Phase::Idle);
}

void Server::sendError(const SessionPtr& s, RequestRule rule, CloseReason reason,
                       const std::string& request) {
    ++counts_.errors;
    ++counts_.rejected[static_cast<std::size_t>(rule)];
    if (onRejected_) onRejected_({rule, request});
    s->failed = true;
    const auto& info = wire::http::infoOf(rule);
    const auto body = std::string(info.words) + " (" + info.source + ")\n";
    sendAnswer(s, info.status, {{"Content-Type", "text/plain"}}, body, true, reason);
}

// Closes in stages (RFC 9112, section 9.6): shuts down the write side once the queue is sent, and closes the
// connection when the peer has ended too or decide() says so. Closing at once with unread bytes would send a
// reset, which could overtake the answer. A request that crosses the close is not read, so that its client
// may send it again. After an error response, what still arrives is read and discarded.
void Server::shutDown(const SessionPtr& s, CloseReason reason) {
    if (!s->reason) s->reason = reason;
    enterPhase(*s, Phase::Closing);
    s->held = {};
    s->waitsSince = -1;
    if (s->failed) s->connection->resumeReading();
    else s->connection->pauseReading();
    s->connection->shutdownWrite();
}

// Checks an invariant: this side never closes a connection on which it has read a request without answering,
// unless the client does not read its answers.
void Server::checkClose(const Session& s) {
    using invariants::Violation;
    host_.monitor().check(s.hostRequestId.empty(), Violation::CloseOverOpenRequest, s.openId);
    const bool excused = s.failed || s.reason == CloseReason::FlushTimeout;
    host_.monitor().check(excused || s.reader.queue().empty(), Violation::CloseOverReadRequest, s.openId);
}

void Server::onClosed(const SessionPtr& s) {
    const auto reason = s->reason.value_or(CloseReason::ByClient);
    ++counts_.closes[static_cast<std::size_t>(reason)];
    if (s->reason) checkClose(*s);
    if (onClose_)
        onClose_({reason, s->hostRequestId.empty() ? std::string() : s->openId, s->answers, s->unreadAtClose,
                  s->reader.queue().size()});
    if (!s->hostRequestId.empty()) host_.abandon(std::exchange(s->hostRequestId, {}));
    s->waitsSince = -1;
    s->memory.release();
    sessions_.erase(s->number);
    listener_->resume();
}

void Server::close(const SessionPtr& s, CloseReason reason) {
    if (!s->reason) s->reason = reason;
    s->unreadAtClose = s->connection->unreadBytes();
    s->connection->close();
    onClosed(s);
}

}  // namespace spokewheel::fronts::http
