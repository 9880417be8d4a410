// When the registry is asked again and what an index means. Free of I/O and clocks.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

namespace spokewheel::registry {

// Blocking queries: an answer is followed by the next query at once, with the index it brought. An index that
// went back means that the registry lost its past: the list is taken whole and the next query starts at 0
// again. Failures wait ever longer, jittered over the whole wait, so that hosts which lost the registry
// together do not come back together.
class Poll {
  public:
    explicit Poll(std::uint64_t seed) : random_(seed) {}
    std::uint64_t index() const { return index_; }
    // Whether the list counts as whole (first, or after a loss) rather than as changes to the last.
    bool answered(std::uint64_t index) {
        const bool whole = !synced_ || index < index_;
        index_ = index < index_ ? 0 : index;
        synced_ = true;
        failures_ = 0;
        return whole;
    }
    double againMs(bool failed) {
        if (!failed) return 0;
        const double most = std::min(kMostMs, kFirstMs * static_cast<double>(1u << std::min(failures_, 6u)));
        ++failures_;
        synced_ = false;  // what was missed is not known: the next list is a whole one
        return most * (0.5 + 0.5 * static_cast<double>(random_() >> 11) / 9007199254740992.0);
    }
    static constexpr double kFirstMs = 200, kMostMs = 3000, kWaitMs = 10000, kLateMs = 4000;

  private:
    std::mt19937_64 random_;
    std::uint64_t index_ = 0;
    unsigned failures_ = 0;
    bool synced_ = false;
};

}  // namespace spokewheel::registry
