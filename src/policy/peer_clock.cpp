#include "peer_clock.hpp"

#include <algorithm>
#include <cmath>

namespace spokewheel {
namespace {

// Hosts whose numbers differ by less use the same clock: the difference is message delay.
constexpr double kSameClockSubperiods = 3;
constexpr double kMaxOffset = 1e12;               // in subperiods
constexpr std::int64_t kMaxDelaySubperiods = 40;  // of the first report of a process

std::int64_t offsetOf(std::uint64_t peerSubperiod, double nowMs) {
    const double difference =
        std::clamp(nowMs / kSubperiodMs - static_cast<double>(peerSubperiod), -kMaxOffset, kMaxOffset);
    return std::abs(difference) < kSameClockSubperiods
               ? 0
               : static_cast<std::int64_t>(std::floor(difference + 0.5));
}

}  // namespace

std::uint64_t subperiodOf(double nowMs) {
    return static_cast<std::uint64_t>(std::max(0.0, nowMs) / kSubperiodMs);
}

bool PeerClock::onReport(std::uint32_t incarnation, std::uint64_t peerSubperiod, double nowMs) {
    if (heard_ && incarnation_ == incarnation) return true;
    if (heard_ && previousIncarnation_ == incarnation) return false;
    previousIncarnation_ = heard_ ? incarnation_ : incarnation + 1;
    incarnation_ = incarnation;
    heard_ = true;
    offset_ = offsetOf(peerSubperiod, nowMs);
    return true;
}

std::uint64_t PeerClock::shifted(std::uint64_t peerSubperiod) const {
    return static_cast<std::uint64_t>(static_cast<std::int64_t>(peerSubperiod) + offset_);
}

std::uint64_t PeerClock::toLocalSubperiod(std::uint64_t peerSubperiod, std::uint64_t ownSubperiod,
                                          double nowMs) {
    const auto offset = offsetOf(peerSubperiod, nowMs);
    if (shifted(peerSubperiod) > ownSubperiod + 2 && offset_ - offset <= kMaxDelaySubperiods)
        offset_ = offset;
    return shifted(peerSubperiod);
}

}  // namespace spokewheel
