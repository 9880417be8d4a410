#include "fronts/http/server.hpp"

#include <cstdio>
#include <optional>
#include <utility>
#include <vector>

namespace spokewheel::fronts::http {

using Phase = ConnectionState::Phase;

struct Server::Session {
    explicit Session(const Settings& settings) : reader(settings) {}
    std::uint64_t number = 0;
    std::shared_ptr<io::Connection> connection;
    RequestReader reader;
    ConnectionState state;
    std::string openId;          // X-Request-ID of the open request
    bool openIsLast = false;     // its client wants the connection closed after the answer
    std::size_t openMemory = 0;  // of the open request without its body
    std::string hostRequestId;   // the host's id of the open request; empty if there is none
    // Read but not parsed, because the request before it waits for memory since `waitsSince` (negative: no).
    std::string held;
    double heldArrivedAt = 0, waitsSince = -1;
    bool inWaitingList = false;
    bool readsOn = false;  // more came behind the open request than an end of stream would be seen behind
    host::MemoryBudget::Lease memory;
    std::uint64_t answers = 0;
    std::size_t unreadAtClose = 0;      // bytes in the socket
    std::size_t discarded = 0;          // bytes discarded while closing
    bool failed = false;                // ended by an error response: later bytes need no answer
    std::optional<CloseReason> reason;  // set once this side has begun to close the connection
    bool waits() const { return waitsSince >= 0; }
    // Requests of it have been read, and none of them is open.
    bool owesAnswers() const { return waits() || !reader.queue().empty(); }
};

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
      memory_(memory) {
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
}

const ConnectionState& Server::updateState(Session& s) {
    auto& state = s.state;
    state.unread = state.phase != Phase::Open && (s.owesAnswers() || s.connection->readable());
    state.unsent = s.connection->queued() > 0;
    state.hungUp = state.phase == Phase::Closing && s.connection->hungUp();
    if (state.phase == Phase::Closing && state.flushedAt < 0 && s.connection->queued() == 0)
        state.flushedAt = io::nowMs();
    return state;
}

// Called at the connection limit only, so a scan over all connections is cheap enough. If every connection
// has a request to be answered, new ones wait in the kernel's backlog until one ends.
void Server::evictConnection() {
    SessionPtr victim;
    for (const auto& [number, s] : sessions_)
        if (s->state.phase != Phase::Open && !s->owesAnswers() &&
            (!victim || evictedBefore(updateState(*s), victim->state)))
            victim = s;
    if (!victim) return listener_->pause();
    ++counts_.gaveWay;
    close(victim, CloseReason::GaveWay);
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
            sendError(s, 408, "the request did not come whole in time", decision.reason);
        else if (decision.action == CloseAction::ShutDown) shutDown(s, decision.reason);
        else close(s, decision.reason);
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

void Server::onData(const SessionPtr& s, std::string_view bytes) {
    if (s->state.phase == Phase::Closing) {
        if ((s->discarded += bytes.size()) > kMaxDiscardedBytes) close(s, CloseReason::Flood);
        return;
    }
    s->state.lastByteAt = io::nowMs();
    receive(s, bytes, s->connection->arrivedAtMs());
    updateMemory(*s);
}

// The client has read enough of its answers.
void Server::onDrained(const SessionPtr& s) {
    if (s->state.phase == Phase::Closing) return;
    serveNext(s);
    if (s->state.phase != Phase::Closing && !s->waits()) s->connection->resumeReading();
    updateMemory(*s);
}

void Server::updateMemory(Session& s) {
    s.memory.resize(s.reader.memory() + s.held.capacity() + s.openMemory + s.connection->queued());
}

// Reading continues while a request is open, so that the client's end of stream is noticed. What comes
// behind it is kept, left in the socket, or refused in its turn.
void Server::receive(const SessionPtr& s, std::string_view bytes, double arrivedAt) {
    using Result = RequestReader::Result;
    while (s->connection->open() && s->state.phase != Phase::Closing) {
        const bool resting = s->state.phase == Phase::Silent || s->state.phase == Phase::Idle;
        if (resting && !bytes.empty() && !s->connection->backlogged()) enterPhase(*s, Phase::Receiving);
        switch (s->reader.next(bytes, arrivedAt)) {
            case Result::NeedMore:
                return;
            case Result::NeedMemory:
                if (!admitCurrent(*s)) return waitForMemory(*s, bytes, arrivedAt);
                break;
            case Result::Complete:
                s->state.first = false;
                serveNext(s);
                break;
        }
    }
}

// Decides on the request whose head was read last. Returns false if it is to wait.
bool Server::admitCurrent(Session& s) {
    const bool behind = s.state.phase == Phase::Open || !s.reader.queue().empty();
    const auto place = behind ? RequestPlace::BehindOpen : RequestPlace::Next;
    const auto needed = behind ? s.reader.requestMemory() : s.reader.bodyMemory();
    const MemoryState memory{memory_.capacity(), memory_.used(), s.reader.queuedMemory()};
    const double waitedMs = s.waits() ? io::nowMs() - s.waitsSince : 0;
    // Once too much is unread all of it is read: the client may still be sending as fast as it is read.
    s.readsOn = behind && (s.readsOn || s.connection->unreadBytes() >= kMaxUnreadBytes);
    const auto admission = admit(place, needed, memory, waitedMs, !s.readsOn);
    if (admission == Admission::Wait) return false;
    counts_.memoryRefusals += admission == Admission::Refuse;
    s.reader.decide(admission == Admission::Admitted);
    if (!behind) sendContinue(s);
    updateMemory(s);
    return true;
}

void Server::sendContinue(Session& s) {
    if (!s.reader.takeExpectsContinue()) return;
    s.connection->write("HTTP/1.1 100 Continue\r\n\r\n");
    s.connection->flush();
}

void Server::waitForMemory(Session& s, std::string_view rest, double arrivedAt) {
    s.held = std::string(rest);
    s.heldArrivedAt = arrivedAt;
    s.waitsSince = io::nowMs();
    s.connection->pauseReading();
    ++counts_.memoryWaits;
    addToWaiting(s);
    if (!pausedTimer_.armed()) pausedTimer_.arm(kPausedCheckMs, [this] { checkPaused(); });
}

void Server::addToWaiting(Session& s) {
    if (!std::exchange(s.inWaitingList, true)) waiting_.push_back(s.number);
}

void Server::retryAdmission(const SessionPtr& s) {
    if (!s->waits() || s->state.phase == Phase::Closing || !admitCurrent(*s)) return;
    s->waitsSince = -1;
    const auto held = std::exchange(s->held, {});
    s->connection->resumeReading();
    receive(s, held, s->heldArrivedAt);
    updateMemory(*s);
}

// In the order in which they began to wait.
void Server::retryAdmissions() {
    for (std::size_t left = waiting_.size(); left > 0; --left) {
        const auto number = waiting_.front();
        waiting_.pop_front();
        const auto found = sessions_.find(number);
        if (found == sessions_.end()) continue;
        const auto s = found->second;
        s->inWaitingList = false;
        retryAdmission(s);
        if (s->waits()) addToWaiting(*s);
    }
}

// Reading is paused on connections that wait for memory, so their clients' going is looked for here.
void Server::checkPaused() {
    for (const auto number : std::deque<std::uint64_t>(waiting_)) {
        const auto found = sessions_.find(number);
        if (found == sessions_.end()) continue;
        const auto s = found->second;
        if (s->waits() && s->state.phase == Phase::Open && s->connection->peerEnded()) clientLeft(s);
        else s->connection->observeUnread();
    }
    retryAdmissions();
    if (!waiting_.empty()) pausedTimer_.arm(kPausedCheckMs, [this] { checkPaused(); });
}

// Whether the client of the open request is still there; called directly before the first byte of each
// attempt. The loop may be delayed between its poll and the attempt, so what is pending is read. If reading
// is paused with so much unread that an end of stream may lie beyond it, the rest is read and refused.
bool Server::clientWaiting(const SessionPtr& s) {
    if (s->waits() && s->connection->peerEnded()) clientLeft(s);
    else if (s->waits()) retryAdmission(s);
    if (s->connection->open()) s->connection->readPending();
    return s->connection->open();
}

void Server::clientLeft(const SessionPtr& s) {
    s->connection->close();
    onClosed(s);
}

// Answers or submits the requests that have been read, until one is open.
void Server::serveNext(const SessionPtr& s) {
    while (s->connection->open() && s->state.phase != Phase::Open && s->state.phase != Phase::Closing &&
           !s->reader.queue().empty()) {
        if (s->connection->backlogged()) {  // until onDrained()
            if (s->state.phase != Phase::Idle) enterPhase(*s, Phase::Idle);
            return s->connection->pauseReading();
        }
        dispatch(s, s->reader.takeFirst());
    }
    if (s->state.phase != Phase::Idle || !s->reader.inMessage()) return;
    enterPhase(*s, Phase::Receiving);
    sendContinue(*s);
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
            return sendError(s, request.status, request.error, CloseReason::Unreadable, request.decoded.id);
    }
}

void Server::submit(const SessionPtr& s, ReceivedRequest request) {
    if (!openRequestIds_.insert(request.decoded.id).second)
        return sendError(s, 409, "X-Request-ID is of an open request", CloseReason::Unreadable,
                         request.decoded.id);
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
    enterPhase(*s, Phase::Open);
    s->hostRequestId = host_.submit(std::move(work), [this, alive = alive_, s](host::Answer a) {
        if (*alive) onAnswer(s, std::move(a));
    });
}

void Server::onAnswer(const SessionPtr& s, host::Answer a) {
    openRequestIds_.erase(s->openId);
    s->hostRequestId.clear();
    s->openMemory = 0;
    s->readsOn = false;
    wire::http::Fields fields;
    switch (a.kind) {
        case host::Answer::Kind::Served:
            sendAnswer(s, 200, {}, a.body, s->openIsLast);
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
    serveNext(s);
    retryAdmission(s);
    if (s->connection->open()) updateMemory(*s);
}

void Server::sendAnswer(const SessionPtr& s, int status, wire::http::Fields fields, const std::string& body,
                        bool last, CloseReason reason) {
    // A connection that this side wants to close is kept while further requests are waiting on it.
    const bool more = !s->reader.queue().empty() || s->reader.inMessage() || s->connection->readable();
    last = last || ((draining_ || capacity() == Capacity::Exhausted) && !more);
    if (last) fields.emplace_back("Connection", "close");
    s->connection->write(wire::http::responseHead(status, fields, body.size()) + body);
    s->connection->flush();
    ++s->answers;
    if (last) shutDown(s, reason);
    else enterPhase(*s, Phase::Idle);
}

void Server::sendError(const SessionPtr& s, int status, const std::string& message, CloseReason reason,
                       const std::string& request) {
    ++counts_.errors;
    if (onRejected_) onRejected_({status, request, message});
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
    if (!s->hostRequestId.empty()) {
        openRequestIds_.erase(s->openId);
        host_.abandon(std::exchange(s->hostRequestId, {}));
    }
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
