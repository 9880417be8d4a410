// The requests of classes that run in order, by key: those of one key are sent one at a time, and after an
// attempt of unknown outcome the key rests. Kept for keys with a request or a rest only, within a number of
// bytes. Free of I/O and clocks: times are milliseconds on the host's clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>

#include "state.hpp"

namespace spokewheel {

class KeyQueues {
  public:
    explicit KeyQueues(std::size_t maxBytes) : maxBytes_(maxBytes) {}

    // Whether a request with this key can be added. If not, it is to be refused: sent without an entry it
    // could overtake others.
    bool hasRoomFor(std::int64_t key) const;
    // Adds the request behind those of its key, which rests until `blockedUntilMs` at the least. Returns the
    // time until which it rests.
    double add(PendingRequest& pending, double blockedUntilMs);
    // The request has ended.
    void remove(PendingRequest& pending, double nowMs);
    // Whether the request is the next one of its key and the key does not rest.
    bool isNext(const PendingRequest& pending, double nowMs) const;
    // The key rests until then at the least. Returns the time until which it rests.
    double block(std::int64_t key, double untilMs);
    void removeIdle(double nowMs);
    std::size_t size() const { return queues_.size(); }

  private:
    struct Queue {
        std::list<PendingRequest*> requests;
        double blockedUntilMs = -1e18;
        bool isIdle(double nowMs) const { return requests.empty() && blockedUntilMs <= nowMs; }
    };
    std::size_t maxBytes_;
    std::map<std::int64_t, Queue> queues_;
};

}  // namespace spokewheel
