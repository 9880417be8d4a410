// The reading side of the HTTP server: when a connection is read, and what happens to requests that there is
// no memory for.
#include <utility>

#include "fronts/http/decide_memory.hpp"
#include "fronts/http/session.hpp"

namespace spokewheel::fronts::http {

using Phase = ConnectionState::Phase;

void Server::onData(const SessionPtr& s, std::string_view bytes) {
    if (s->state.phase == Phase::Closing) {
        if ((s->discarded += bytes.size()) > kMaxDiscardedBytes) close(s, CloseReason::Flood);
        return;
    }
    s->state.lastByteAt = io::nowMs();
    receive(s, bytes, s->connection->arrivedAtMs(), s->connection->readArrival());
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
void Server::receive(const SessionPtr& s, std::string_view bytes, double arrivedAt,
                     const io::ReadArrival& arrival) {
    using Result = RequestReader::Result;
    while (s->connection->open() && s->state.phase != Phase::Closing) {
        const bool resting = s->state.phase == Phase::Silent || s->state.phase == Phase::Idle;
        if (resting && !bytes.empty() && !s->connection->backlogged()) enterPhase(*s, Phase::Receiving);
        switch (s->reader.next(bytes, arrivedAt)) {
            case Result::NeedMore:
                return;
            case Result::NeedMemory:
                if (!admitCurrent(*s)) return waitForMemory(*s, bytes, arrivedAt, arrival);
                break;
            case Result::Complete:
                s->state.first = false;
                ++s->requestsRead;
                givePlace(*s, s->reader.queue().back(),
                          bytes.empty() ? arrival.lastByte : arrival.earlierBytes);
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

void Server::waitForMemory(Session& s, std::string_view rest, double arrivedAt,
                           const io::ReadArrival& arrival) {
    s.held = std::string(rest);
    s.heldArrivedAt = arrivedAt;
    s.heldArrival = arrival;
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
    receive(s, held, s->heldArrivedAt, io::ReadArrival(s->heldArrival));
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
// attempt. The loop may be delayed between its poll and the attempt, so what is pending is read. With so much
// unread that an end of stream may lie beyond it, the answer is no: the attempt is to be made again once more
// has been read.
bool Server::clientWaiting(const SessionPtr& s) {
    if (s->waits() && s->connection->peerEnded()) clientLeft(s);
    else if (s->waits()) retryAdmission(s);
    if (s->connection->open()) read(s, kShareBeforeAttempt);
    if (s->connection->open() && s->connection->hasUnread() && s->connection->peerEnded()) clientLeft(s);
    return s->connection->open() && !mayHideEnd(*s);
}

// Whether so much is unread that an end of the client's stream may lie beyond it.
bool Server::mayHideEnd(const Session& s) const {
    return s.connection->hasUnread() && s.connection->unreadBytes() >= kMaxUnreadBytes;
}

void Server::clientLeft(const SessionPtr& s) {
    s->connection->close();
    onClosed(s);
}

ReadTurns::Priority Server::priorityOf(const Session& s) {
    return s.state.phase == Phase::Open ? ReadTurns::Priority::ReadsBehindOpen : ReadTurns::Priority::Answers;
}

// In each iteration of the loop in which the connection has something unread.
void Server::onReadable(const SessionPtr& s) {
    if (!turns_.mayServe(s->number, priorityOf(*s), io::loopTurn())) return armTurnTimer();
    serveShare(s);
    settleOrderNow();
}

void Server::armTurnTimer() {
    if (!turnTimer_.armed()) turnTimer_.arm(0, [this] { serveWaiting(); });
}

void Server::serveWaiting() {
    turns_.startTurn();
    while (const auto number = turns_.next()) {
        const auto found = sessions_.find(*number);
        if (found == sessions_.end()) continue;
        const auto s = found->second;  // the session may end while it is served
        serveShare(s);
    }
    if (turns_.anyWaits()) armTurnTimer();
}

// Reads up to that much of what is unread.
void Server::read(const SessionPtr& s, const ReadShare& most) {
    const auto requestsBefore = s->requestsRead;
    for (std::size_t bytes = 0; bytes < most.bytes && s->requestsRead - requestsBefore < most.requests;) {
        const auto received = s->connection->readOnce();
        bytes += received;
        if (received == 0 || !s->connection->open() || !s->connection->hasUnread()) break;
    }
    turns_.onServed(s->requestsRead - requestsBefore);
}

void Server::serveShare(const SessionPtr& s) {
    s->inShare = true;
    if (s->state.phase != Phase::Closing) serveNext(s);
    if (s->connection->open()) read(s, kShareOfTurn);
    if (s->connection->open() && s->state.phase != Phase::Closing) serveNext(s);
    s->inShare = false;
    s->connection->flush();
}

}  // namespace spokewheel::fronts::http
