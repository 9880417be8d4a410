// The order in which requests of one key were taken, over all client connections, for classes whose requests
// run in that order. A request is taken when its last byte arrives, but connections are read one after the
// other, and a request may wait on its connection for others or for memory. So each has a place from the
// moment at which it is known, and is passed on once all that arrived before it has been read and no request
// before it has a place. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "io/arrival_clock.hpp"

namespace spokewheel::fronts::http {

// The arrivals of the requests of one connection. They are in the order of the connection, whatever the wall
// clock that the stamps are taken from does: two requests could otherwise wait for each other.
class ConnectionArrivals {
  public:
    // The arrival of the next request, as its stamps tell it; later than those before it.
    io::Arrival next(const io::Arrival& stamped) {
        const bool inOrder = !last_ || !(stamped.latest < *last_);
        const auto arrival = inOrder ? stamped : io::Arrival{*last_, *last_};
        last_ = arrival.latest;
        return arrival;
    }

  private:
    std::optional<io::ArrivalPoint> last_;
};

class KeyOrder {
  public:
    using ConnectionNumber = std::uint64_t;
    // Increases with each place given.
    using PlaceNumber = std::uint64_t;

    struct Request {
        std::int64_t key = 0;
        PlaceNumber number = 0;
        ConnectionNumber connection = 0;
        io::Arrival arrival;
        bool released = false, refused = false;
    };
    // A request's place among those of its key; given up at its end. Must not outlive the KeyOrder.
    class Place {
      public:
        Place() = default;
        ~Place() { giveUp(); }
        Place(Place&& other) noexcept
            : order_(std::exchange(other.order_, nullptr)), request_(other.request_) {}
        Place& operator=(Place&& other) noexcept {
            if (this != &other) {
                giveUp();
                order_ = std::exchange(other.order_, nullptr);
                request_ = other.request_;
            }
            return *this;
        }
        void giveUp() {
            if (auto* order = std::exchange(order_, nullptr)) order->remove(request_);
        }
        explicit operator bool() const { return order_ != nullptr; }

      private:
        friend class KeyOrder;
        Place(KeyOrder* order, std::list<Request>::iterator request) : order_(order), request_(request) {}
        KeyOrder* order_ = nullptr;
        std::list<Request>::iterator request_;
    };
    enum class Turn {
        Wait,   // for requests before it, or until it is known whether there are any
        Pass,   // it is the next one of its key
        Refuse  // when it arrived is not known well enough to tell whether it is
    };

    // `onChange` is called when a request may have become the next one of its key, or has got a place.
    explicit KeyOrder(std::function<void()> onChange) : onChange_(std::move(onChange)) {}
    KeyOrder(const KeyOrder&) = delete;
    KeyOrder& operator=(const KeyOrder&) = delete;

    Place add(std::int64_t key, ConnectionNumber connection, const io::Arrival& arrival);
    Turn turnOf(const Place& place) const;
    bool hasPlaces(std::int64_t key) const { return keys_.count(key) > 0; }
    bool empty() const { return keys_.empty(); }

    // The place given last. To be asked for before what has arrived is read, for release().
    PlaceNumber newest() const { return newest_; }
    // The latest arrival of a request for which what arrived before it has to be read.
    std::optional<io::ArrivalPoint> latestUnsettled() const;
    // All that had arrived on any connection when `newest` was the latest place has been read, except what
    // arrived at `unreadSince` or later.
    void release(PlaceNumber newest, const std::optional<io::ArrivalPoint>& unreadSince);
    // The connections of requests whose turn is not to wait.
    std::vector<ConnectionNumber> connectionsToServe() const;
    // The connections of all requests that have a place.
    std::set<ConnectionNumber> connections() const;

  private:
    using Requests = std::list<Request>;  // by arrival
    void remove(Requests::iterator request);
    static void refuseUnordered(Requests& requests);

    std::map<std::int64_t, Requests> keys_;
    std::map<PlaceNumber, Requests::iterator> unsettled_;  // the requests that are not released
    PlaceNumber newest_ = 0;
    std::function<void()> onChange_;
};

}  // namespace spokewheel::fronts::http
