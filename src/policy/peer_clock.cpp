#include "peer_clock.hpp"

#include <algorithm>
#include <cmath>

namespace spokewheel {
namespace {

// Hosts whose subperiods differ by less count by one clock, delays of messages apart.
constexpr double kInStepSubperiods = 3;
constexpr double kMostApart = 1e12;               // of subperiods
constexpr std::int64_t kMostLateSubperiods = 40;  // by which a start's first report may have come late

std::int64_t shiftOf(std::uint64_t toldSubperiod, double nowMs) {
    const double apart =
        std::clamp(nowMs / kSubperiodMs - static_cast<double>(toldSubperiod), -kMostApart, kMostApart);
    return std::abs(apart) < kInStepSubperiods ? 0 : static_cast<std::int64_t>(std::floor(apart + 0.5));
}

}  // namespace

std::uint64_t subperiodOf(double nowMs) {
    return static_cast<std::uint64_t>(std::max(0.0, nowMs) / kSubperiodMs);
}

bool PeerClock::meet(std::uint32_t incarnation, std::uint64_t toldSubperiod, double nowMs) {
    if (heard_ && incarnation_ == incarnation) return true;
    if (heard_ && previous_ == incarnation) return false;
    previous_ = heard_ ? incarnation_ : incarnation + 1;
    incarnation_ = incarnation;
    heard_ = true;
    shift_ = shiftOf(toldSubperiod, nowMs);
    return true;
}

std::uint64_t PeerClock::number(std::uint64_t toldSubperiod) const {
    return static_cast<std::uint64_t>(static_cast<std::int64_t>(toldSubperiod) + shift_);
}

std::uint64_t PeerClock::own(std::uint64_t toldSubperiod, std::uint64_t ownSubperiod, double nowMs) {
    const auto shift = shiftOf(toldSubperiod, nowMs);
    if (number(toldSubperiod) > ownSubperiod + 2 && shift_ - shift <= kMostLateSubperiods) shift_ = shift;
    return number(toldSubperiod);
}

}  // namespace spokewheel
