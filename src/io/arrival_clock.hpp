// Puts input in the order in which the kernel received it, by the kernel's receive time stamps. Those are
// taken from the wall clock, which may be stepped at any time; a step is recognised because a stamp no longer
// fits the bounds that the monotonic clock sets. Free of I/O and clocks; times are milliseconds.
#pragma once

#include <compare>
#include <cstdint>

namespace spokewheel::io {

// A point in the order of arrival. Comparable with other points of the same process only.
struct ArrivalPoint {
    std::uint64_t epoch = 0;  // the number of steps of the wall clock before it
    double stampMs = 0;       // on the kernel's wall clock
    friend std::partial_ordering operator<=>(const ArrivalPoint&, const ArrivalPoint&) = default;
};

// When a piece of input arrived: after `earliest` and no later than `latest`; exactly then if they are equal.
struct Arrival {
    ArrivalPoint earliest, latest;
    bool exact() const { return earliest == latest; }
};

class ArrivalClock {
  public:
    // The point of input that the kernel stamped with `stampMs`. By the monotonic clock it arrived no earlier
    // than `earliestMs`, and it has arrived by `nowMs`.
    ArrivalPoint pointOf(double stampMs, double earliestMs, double nowMs);
    // A point that is not after anything that arrives at `monotonicMs` or later, as far as is known.
    ArrivalPoint notAfter(double monotonicMs) const;

  private:
    // Bounds of the wall clock's offset to the monotonic clock.
    struct Offset {
        double leastMs = 0, mostMs = 0;
        double updatedAtMs = 0;  // on the monotonic clock
        bool overlaps(const Offset& other, double slackMs) const {
            return leastMs - slackMs <= other.mostMs && other.leastMs <= mostMs + slackMs;
        }
    };
    double slackMs(double nowMs) const;

    Offset current_, previous_;
    double steppedBeforeMs_ = 0;  // on the monotonic clock: when the latest step was noticed
    std::uint64_t epoch_ = 0;
    bool known_ = false;
};

}  // namespace spokewheel::io
