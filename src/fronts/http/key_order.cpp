#include "fronts/http/key_order.hpp"

#include <algorithm>
#include <iterator>

namespace spokewheel::fronts::http {
namespace {

// Whether it is unknown which of the two arrived first.
bool overlap(const io::Arrival& a, const io::Arrival& b) {
    const bool known = a.exact() && b.exact();
    return !known && a.earliest < b.latest && b.earliest < a.latest;
}

}  // namespace

KeyOrder::Place KeyOrder::add(std::int64_t key, ConnectionNumber connection, const io::Arrival& arrival) {
    auto& requests = keys_[key];
    auto next = requests.end();
    while (next != requests.begin() && arrival.latest < std::prev(next)->arrival.latest) --next;
    const auto request = requests.insert(next, {key, ++newest_, connection, arrival});
    unsettled_[newest_] = request;
    onChange_();
    return {this, request};
}

KeyOrder::Turn KeyOrder::turnOf(const Place& place) const {
    const auto& request = *place.request_;
    if (request.refused) return Turn::Refuse;
    const bool next = &request == &keys_.at(request.key).front();
    return next && request.released ? Turn::Pass : Turn::Wait;
}

void KeyOrder::remove(Requests::iterator request) {
    unsettled_.erase(request->number);
    const auto ofKey = keys_.find(request->key);
    ofKey->second.erase(request);
    if (ofKey->second.empty()) keys_.erase(ofKey);
    else onChange_();
}

std::optional<io::ArrivalPoint> KeyOrder::latestUnsettled() const {
    std::optional<io::ArrivalPoint> latest;
    for (const auto& [number, request] : unsettled_)
        if (!latest || *latest < request->arrival.latest) latest = request->arrival.latest;
    return latest;
}

void KeyOrder::release(PlaceNumber newest, const std::optional<io::ArrivalPoint>& unreadSince) {
    for (auto next = unsettled_.begin(); next != unsettled_.end() && next->first <= newest;) {
        auto& request = *next->second;
        if (unreadSince && !(request.arrival.latest < *unreadSince)) {
            ++next;
            continue;
        }
        request.released = true;
        refuseUnordered(keys_.at(request.key));
        next = unsettled_.erase(next);
    }
}

// Of two requests of different connections whose order is unknown one is refused: in whatever order they were
// taken, the other one then runs in its place.
void KeyOrder::refuseUnordered(Requests& requests) {
    const auto inexact = [](const Request& request) { return !request.arrival.exact() && !request.refused; };
    if (std::none_of(requests.begin(), requests.end(), inexact)) return;
    for (auto a = requests.begin(); a != requests.end(); ++a)
        for (auto b = std::next(a); b != requests.end(); ++b) {
            if (a->refused || b->refused || a->connection == b->connection) continue;
            if (overlap(a->arrival, b->arrival)) (b->arrival.exact() ? a : b)->refused = true;
        }
}

std::vector<KeyOrder::ConnectionNumber> KeyOrder::connectionsToServe() const {
    std::vector<ConnectionNumber> out;
    for (const auto& [key, requests] : keys_)
        for (const auto& request : requests) {
            const bool next = &request == &requests.front();
            if (request.refused || (next && request.released)) out.push_back(request.connection);
        }
    return out;
}

std::set<KeyOrder::ConnectionNumber> KeyOrder::connections() const {
    std::set<ConnectionNumber> out;
    for (const auto& [key, requests] : keys_)
        for (const auto& request : requests) out.insert(request.connection);
    return out;
}

}  // namespace spokewheel::fronts::http
