// The ids of clients' requests that must not be taken again: those of open requests, those of clients that
// have left while an attempt is still out, and, for a while, those that may have run for a client that got no
// answer. Takes a bounded number of bytes. Free of I/O and clocks; times are milliseconds on one clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>

namespace spokewheel::fronts::http {

// How long an id is kept that may have run without an answer: longer than clients wait for one.
constexpr double kUnansweredIdRetentionMs = 30000;
// What they may take; beyond it the oldest is dropped.
constexpr std::size_t kUnansweredIdBytes = 256 * 1024;

class RequestIds {
  public:
    // Takes the id for a new request. False: it must not be taken.
    bool take(const std::string& id, double nowMs);
    // The request is over and no attempt of it is open. `unanswered`: it may have run, and its client has no
    // answer.
    void release(const std::string& id, bool unanswered, double nowMs);
    std::size_t open() const { return open_.size(); }

  private:
    // Ids are told apart by a hash of 64 bits, so that they take no memory by their length.
    using Digest = std::size_t;
    struct Unanswered {
        Digest digest = 0;
        double untilMs = 0;
    };
    void removeExpired(double nowMs);
    void removeOldest();

    std::unordered_set<std::string> open_;
    std::deque<Unanswered> unanswered_;  // oldest first
    std::unordered_multiset<Digest> unansweredDigests_;
};

}  // namespace spokewheel::fronts::http
