// How a volume's limit is split into parts that are drawn from independently of each other. Free of I/O and
// clocks.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

#include "limit_share.hpp"
#include "spokewheel/scheduler.hpp"

namespace spokewheel {

constexpr std::size_t kPools = 2;  // of each volume: two hosts of all, known from its number

struct LimitParts {
    TokenBucket own;  // of each host that the volume works through
    std::array<TokenBucket, kPools> pools;
};

// Without messages to peers the hosts' own parts are all there is. With them the hosts keep a quarter of the
// rate, which serves usual demand where peers can't be reached, and hold a largest request each where that
// leaves half of the burst to the pools. Where two pools would hold less than a largest request each of its
// own, there is one, so that such a request can be served.
inline LimitParts partsOf(const Plan& plan, int hosts, double maxUnits, bool pooled) {
    LimitParts parts;
    const double even = plan.limitBurst / hosts;
    if (!pooled) {
        parts.own = {plan.limit / hosts, even};
        return parts;
    }
    constexpr double kOwnPart = 0.25;
    constexpr double kOwnBurstS = 0.5;  // of its rate: what comes while a host waits for its next credit
    constexpr std::array<double, kPools> kPoolParts = {2.0 / 3, 1.0 / 3};
    const double ownRate = kOwnPart * plan.limit / hosts;
    const double spare = std::max(0.0, plan.limitBurst - maxUnits);  // beside a largest request
    parts.own = {ownRate, std::min({even / 2, std::max(maxUnits, ownRate * kOwnBurstS), spare / hosts})};
    const double rate = (1 - kOwnPart) * plan.limit;
    const double burst = plan.limitBurst - hosts * parts.own.burst;
    if (kPoolParts[0] * burst < maxUnits) {
        parts.pools[0] = {rate, burst};
        return parts;
    }
    for (std::size_t i = 0; i < kPools; ++i) parts.pools[i] = {kPoolParts[i] * rate, kPoolParts[i] * burst};
    return parts;
}

}  // namespace spokewheel
