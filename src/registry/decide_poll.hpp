// Decides when the node list registry is polled again and how its index is interpreted. Free of I/O and
// clocks; times are milliseconds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

namespace spokewheel::registry {

// State of a blocking (long-poll) query. Each answer is followed at once by the next query, which carries the
// index of that answer. A smaller index than before means that the registry lost its state: the list counts
// as a full one, and the next query starts at index 0 again. Failed queries back off exponentially with
// jitter, so that hosts which lost the registry at the same time do not all reconnect at once.
class PollState {
  public:
    explicit PollState(std::uint64_t seed) : random_(seed) {}
    std::uint64_t index() const { return index_; }
    // Records a good answer. Returns whether its list is to be taken as a full list (the first one, or the
    // first after a failure or a loss of state) rather than be compared with the previous list.
    bool onAnswer(std::uint64_t index) {
        const bool full = !synced_ || index < index_;
        index_ = index < index_ ? 0 : index;
        synced_ = true;
        failures_ = 0;
        return full;
    }
    // Delay before the next query.
    double nextDelayMs(bool failed) {
        if (!failed) return 0;
        const double most =
            std::min(kMaxRetryMs, kFirstRetryMs * static_cast<double>(1u << std::min(failures_, 6u)));
        ++failures_;
        synced_ = false;  // changes may have been missed, so the next list is a full one
        return most * (0.5 + 0.5 * static_cast<double>(random_() >> 11) / 9007199254740992.0);
    }
    // kBlockMs: how long the registry may hold a query. kAnswerGraceMs: how much later the answer may arrive.
    static constexpr double kFirstRetryMs = 200, kMaxRetryMs = 3000, kBlockMs = 10000, kAnswerGraceMs = 4000;

  private:
    std::mt19937_64 random_;
    std::uint64_t index_ = 0;
    unsigned failures_ = 0;
    bool synced_ = false;
};

}  // namespace spokewheel::registry
