#include "quota_pool.hpp"

#include <algorithm>
#include <iterator>

namespace spokewheel {
namespace {

constexpr double kMinRetryMs = 20, kMaxRetryMs = 500;
constexpr std::size_t kMaxPools = 16384;

// The 64-bit finalizer of MurmurHash3: volume numbers may be consecutive.
std::uint64_t mixBits(std::uint64_t x) {
    x = (x ^ (x >> 33)) * 0xff51afd7ed558ccdULL;
    x = (x ^ (x >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return x ^ (x >> 33);
}

}  // namespace

int poolHost(std::int64_t volume, std::size_t pool, int hosts) {
    const auto count = static_cast<std::uint64_t>(hosts);
    const auto first = mixBits(static_cast<std::uint64_t>(volume)) % count;
    return static_cast<int>((first + pool) % count);
}

void QuotaPool::Pool::refill(double nowMs) {
    const double refilled = part.rate * (nowMs - refilledAtMs) / 1000;
    refilledAtMs = nowMs;
    while (!leases.empty() && leases.front().heldUntilMs <= nowMs) leases.pop_front();
    double room = part.burst;
    for (const auto& lease : leases) room -= lease.units;
    level = std::min(std::max(0.0, room), level + refilled);
}

QuotaPool::Answer QuotaPool::lease(std::int64_t volume, TokenBucket part, RequestId request, double minUnits,
                                   double maxUnits, double nowMs) {
    auto found = pools_.find(volume);
    if (found == pools_.end()) {
        if (pools_.size() >= kMaxPools) return {0, kMaxRetryMs};
        found = pools_.emplace(volume, Pool{part, 0, startedAtMs_, {}}).first;
    }
    auto& pool = found->second;
    pool.part = part;
    pool.refill(nowMs);
    for (const auto& lease : pool.leases)
        if (lease.request.rank == request.rank && lease.request.seq == request.seq) return {lease.units, 0};
    if (pool.level < minUnits) {
        const double wait = part.rate > 0 ? 1000 * (minUnits - pool.level) / part.rate : kMaxRetryMs;
        return {0, std::clamp(wait, kMinRetryMs, kMaxRetryMs)};
    }
    const double units = std::min(pool.level, maxUnits);
    pool.level -= units;
    pool.leases.push_back({request, nowMs + kQuotaLeaseHoldMs, units});
    return {units, 0};
}

void QuotaPool::removeFull(double nowMs) {
    for (auto pool = pools_.begin(); pool != pools_.end();) {
        auto& state = pool->second;
        state.refill(nowMs);
        // A pool without state counts as empty at the start of the process: it equals a full one only once it
        // has had the time to fill.
        const bool sameAsNew =
            state.part.rate > 0 && nowMs >= startedAtMs_ + 1000 * state.part.burst / state.part.rate;
        const bool full = state.level >= state.part.burst;
        pool = full && sameAsNew ? pools_.erase(pool) : std::next(pool);
    }
}

}  // namespace spokewheel
