// Splits a volume's limit into parts that are drawn from independently. Free of I/O and clocks.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

#include "limit_share.hpp"
#include "spokewheel/scheduler.hpp"

namespace spokewheel {

constexpr std::size_t kPoolsPerVolume = 2;  // held by two hosts, chosen by the volume's number

struct LimitParts {
    TokenBucket own;  // of each host of the volume
    std::array<TokenBucket, kPoolsPerVolume> pools;
};

// Without messages between peers the hosts' own parts are the whole limit. With them the hosts keep a quarter
// of the rate, which serves the usual demand while no peer can be reached, and room for a largest request
// each if that leaves half of the burst to the pools. Where two pools would hold less than a largest request
// each there is one pool, so that such a request can be served.
inline LimitParts splitLimit(const Plan& plan, int hosts, double maxUnits, bool usesPools) {
    LimitParts parts;
    const double evenBurst = plan.limitBurst / hosts;
    if (!usesPools) {
        parts.own = {plan.limit / hosts, evenBurst};
        return parts;
    }
    constexpr double kOwnRateShare = 0.25;
    // In seconds of the own rate: arrivals while a host waits for its next credit.
    constexpr double kOwnBurstS = 0.5;
    constexpr std::array<double, kPoolsPerVolume> kPoolShares = {2.0 / 3, 1.0 / 3};
    const double ownRate = kOwnRateShare * plan.limit / hosts;
    const double burstBeyondLargest = std::max(0.0, plan.limitBurst - maxUnits);
    parts.own = {ownRate, std::min({evenBurst / 2, std::max(maxUnits, ownRate * kOwnBurstS),
                                    burstBeyondLargest / hosts})};
    const double poolRate = (1 - kOwnRateShare) * plan.limit;
    const double poolBurst = plan.limitBurst - hosts * parts.own.burst;
    if (kPoolShares[0] * poolBurst < maxUnits) {
        parts.pools[0] = {poolRate, poolBurst};
        return parts;
    }
    for (std::size_t pool = 0; pool < kPoolsPerVolume; ++pool)
        parts.pools[pool] = {kPoolShares[pool] * poolRate, kPoolShares[pool] * poolBurst};
    return parts;
}

}  // namespace spokewheel
