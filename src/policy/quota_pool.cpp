#include "quota_pool.hpp"

#include <algorithm>
#include <iterator>

namespace spokewheel {
namespace {

constexpr double kRetryLeastMs = 20, kRetryMostMs = 500;
constexpr std::size_t kMostPools = 16384;

// The 64-bit finalizer of MurmurHash3: volumes' numbers may be in a row.
std::uint64_t mixed(std::uint64_t x) {
    x = (x ^ (x >> 33)) * 0xff51afd7ed558ccdULL;
    x = (x ^ (x >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return x ^ (x >> 33);
}

}  // namespace

int poolHost(std::int64_t volume, std::size_t pool, int hosts) {
    const auto count = static_cast<std::uint64_t>(hosts);
    const auto first = mixed(static_cast<std::uint64_t>(volume)) % count;
    return static_cast<int>((first + pool) % count);
}

void QuotaPool::Pool::refill(double nowMs) {
    const double filled = part.rate * (nowMs - filledAtMs) / 1000;
    filledAtMs = nowMs;
    while (!leases.empty() && leases.front().countedUntilMs <= nowMs) leases.pop_front();
    double most = part.burst;
    for (const auto& lease : leases) most -= lease.units;
    level = std::min(std::max(0.0, most), level + filled);
}

QuotaPool::Answer QuotaPool::lease(std::int64_t volume, TokenBucket part, Asker asker, double least,
                                   double most, double nowMs) {
    auto found = pools_.find(volume);
    if (found == pools_.end()) {
        if (pools_.size() >= kMostPools) return {0, kRetryMostMs};
        found = pools_.emplace(volume, Pool{part, 0, startedAtMs_, {}}).first;
    }
    auto& pool = found->second;
    pool.part = part;
    pool.refill(nowMs);
    for (const auto& lease : pool.leases)
        if (lease.asker.rank == asker.rank && lease.asker.seq == asker.seq) return {lease.units, 0};
    if (pool.level < least) {
        const double wait = part.rate > 0 ? 1000 * (least - pool.level) / part.rate : kRetryMostMs;
        return {0, std::clamp(wait, kRetryLeastMs, kRetryMostMs)};
    }
    const double units = std::min(pool.level, most);
    pool.level -= units;
    pool.leases.push_back({asker, nowMs + kQuotaCountedMs, units});
    return {units, 0};
}

void QuotaPool::forgetFull(double nowMs) {
    for (auto pool = pools_.begin(); pool != pools_.end();) {
        auto& one = pool->second;
        one.refill(nowMs);
        // One that was asked for sooner than it can have filled since the start is not as one that never was.
        const bool asNew = one.part.rate > 0 && nowMs >= startedAtMs_ + 1000 * one.part.burst / one.part.rate;
        const bool full = one.level >= one.part.burst;
        pool = full && asNew ? pools_.erase(pool) : std::next(pool);
    }
}

}  // namespace spokewheel
