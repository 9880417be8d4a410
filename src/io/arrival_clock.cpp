#include "io/arrival_clock.hpp"

#include <algorithm>

namespace spokewheel::io {
namespace {

// The stamp is taken a moment before the data is readable.
constexpr double kStampLeadMs = 2;
// How fast the wall clock may be slewed: 500 ppm in either direction, and the same of the monotonic clock.
constexpr double kMaxDriftPerMs = 0.001;

}  // namespace

double ArrivalClock::slackMs(double nowMs) const {
    return kStampLeadMs + kMaxDriftPerMs * std::max(0.0, nowMs - current_.updatedAtMs);
}

ArrivalPoint ArrivalClock::pointOf(double stampMs, double earliestMs, double nowMs) {
    const Offset offset{stampMs - nowMs, stampMs - earliestMs, nowMs};
    const double slack = slackMs(nowMs);
    if (!known_) {
        current_ = offset;
    } else if (current_.overlaps(offset, slack)) {
        const double leastMs = std::max(current_.leastMs - slack, offset.leastMs);
        current_ = {leastMs, std::max(leastMs, std::min(current_.mostMs + slack, offset.mostMs)), nowMs};
    } else {
        const bool beforeStep = epoch_ > 0 && previous_.overlaps(offset, slack) &&
                                stampMs - previous_.mostMs <= steppedBeforeMs_ + kStampLeadMs;
        if (beforeStep) return {epoch_ - 1, stampMs};
        previous_ = current_;
        current_ = offset;
        steppedBeforeMs_ = nowMs;
        ++epoch_;
    }
    known_ = true;
    return {epoch_, stampMs};
}

ArrivalPoint ArrivalClock::notAfter(double monotonicMs) const {
    return {epoch_, monotonicMs + current_.leastMs - kStampLeadMs};
}

}  // namespace spokewheel::io
