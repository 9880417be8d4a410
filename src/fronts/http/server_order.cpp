// The part of the HTTP server that passes on requests of one key in the order in which they were taken
// (key_order.hpp). Connections are read one after the other, so before such a request is passed on, all that
// had arrived by the time it was read is read as well, on connections that wait to be accepted too.
#include <vector>

#include "fronts/http/session.hpp"

namespace spokewheel::fronts::http {

using Phase = ConnectionState::Phase;

void Server::givePlace(Session& s, ReceivedRequest& request, const io::Arrival& arrival) {
    if (request.kind != ReceivedRequest::Kind::Valid || !request.decoded.orderedKey || request.place) return;
    request.place = keyOrder_.add(*request.decoded.orderedKey, s.number, s.arrivals.next(arrival));
}

// An upload that waits for memory is read only in part. If the rest of it is in the socket, it was taken all
// the same.
void Server::givePlacesToWaitingUploads() {
    for (const auto number : waiting_) {
        const auto found = sessions_.find(number);
        if (found == sessions_.end() || !found->second->waits()) continue;
        auto& s = *found->second;
        auto& upload = s.reader.current();
        if (!upload.decoded.orderedKey || !keyOrder_.hasPlaces(*upload.decoded.orderedKey)) continue;
        const auto remaining = s.reader.remainingBodyBytes();
        if (!remaining) continue;
        std::optional<io::Arrival> arrival;
        if (*remaining > s.held.size()) arrival = s.connection->arrivalOfUnread(*remaining - s.held.size());
        else if (*remaining == s.held.size()) arrival = s.heldArrival.lastByte;
        else arrival = s.heldArrival.earlierBytes;
        if (arrival) givePlace(s, upload, *arrival);
    }
}

void Server::settleOrder() {
    const auto newest = keyOrder_.newest();
    if (const auto until = keyOrder_.latestUnsettled()) {
        const auto unreadSince = readArrived(*until);
        givePlacesToWaitingUploads();
        keyOrder_.release(newest, unreadSince);
    }
    do {
        orderTimer_.cancel();
        serveOrdered(keyOrder_.connectionsToServe());
    } while (orderTimer_.armed() && !turns_.exhausted());
    if (keyOrder_.latestUnsettled()) settleOrderLater();
}

// Called when a request has got a place or given one up.
void Server::settleOrderLater() {
    if (!orderTimer_.armed()) orderTimer_.arm(0, [this] { settleOrder(); });
}

// Settles it in the same iteration: before the next one the process may be held up.
void Server::settleOrderNow() {
    if (!orderTimer_.armed()) return;
    orderTimer_.cancel();
    settleOrder();
}

// Reads what has arrived up to that point, as far as this iteration of the loop allows. Returns a point that
// nothing that was left unread is before; nothing if none was left.
std::optional<io::ArrivalPoint> Server::readArrived(const io::ArrivalPoint& until) {
    listener_->acceptPending();
    turns_.enterTurn(io::loopTurn());
    std::optional<io::ArrivalPoint> unreadSince;
    for (const auto& s : readableSessions()) {
        for (bool unread = true; unread && !turns_.exhausted(); unread = mustBeReadFurther(*s, until))
            serveShare(s);
        if (!mustBeReadFurther(*s, until)) continue;
        const auto since = s->connection->earliestUnread();
        if (!unreadSince || since < *unreadSince) unreadSince = since;
    }
    return unreadSince;
}

// Those that have unread bytes: one that has only ended brings no request.
std::vector<Server::SessionPtr> Server::readableSessions() {
    std::vector<SessionPtr> out;
    for (const auto& [number, s] : sessions_) {
        if (s->state.phase == Phase::Closing || s->connection->readingPaused()) continue;
        if (s->connection->unreadBytes() > 0) out.push_back(s);
    }
    return out;
}

bool Server::mustBeReadFurther(const Session& s, const io::ArrivalPoint& until) const {
    if (!s.connection->open() || s.state.phase == Phase::Closing || s.connection->readingPaused())
        return false;
    return s.connection->readable() && !(until < s.connection->earliestUnread());
}

void Server::serveOrdered(const std::vector<KeyOrder::ConnectionNumber>& connections) {
    for (const auto number : connections) {
        const auto found = sessions_.find(number);
        if (found == sessions_.end()) continue;
        const auto s = found->second;
        if (s->state.phase != Phase::Open && s->state.phase != Phase::Closing) serveNext(s);
    }
}

// Whether the session's next request has to wait for requests of its key on other connections. Refuses it if
// its place among them is unknown.
bool Server::waitsForOrder(Session& s) {
    const auto& next = s.reader.queue().front();
    if (!next.place) return false;
    const auto turn = keyOrder_.turnOf(next.place);
    if (turn == KeyOrder::Turn::Pass) return false;
    if (turn == KeyOrder::Turn::Refuse) {
        s.reader.refuseFirst();
        ++counts_.unordered;
        return false;
    }
    if (s.state.phase != Phase::Idle) enterPhase(s, Phase::Idle);
    return true;
}

}  // namespace spokewheel::fronts::http
