#include "quota_pool.hpp"

#include <algorithm>
#include <iterator>

#include "table_limits.hpp"

namespace spokewheel {
namespace {

constexpr double kMinRetryMs = 20, kMaxRetryMs = 500;
template <class Pool>
constexpr std::size_t kPoolBytes = kMapNodeBytes + sizeof(std::pair<const std::int64_t, Pool>);
// A vector may have twice the room that its leases need.
template <class Lease>
constexpr std::size_t kLeaseBytes = 2 * sizeof(Lease) + kAllocationBytes;

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

bool QuotaPool::hasRoom(std::size_t bytes) const {
    return pools_.size() * kPoolBytes<Pool> + leases_ * kLeaseBytes<Lease> + bytes <= maxBytes_;
}

void QuotaPool::refill(Pool& pool, double nowMs) {
    const double refilled = pool.part.rate * (nowMs - pool.refilledAtMs) / 1000;
    pool.refilledAtMs = nowMs;
    const auto over = std::find_if(pool.leases.begin(), pool.leases.end(),
                                   [nowMs](const Lease& lease) { return lease.heldUntilMs > nowMs; });
    leases_ -= static_cast<std::size_t>(over - pool.leases.begin());
    pool.leases.erase(pool.leases.begin(), over);
    double room = pool.part.burst;
    for (const auto& lease : pool.leases) room -= lease.units;
    pool.level = std::min(std::max(0.0, room), pool.level + refilled);
}

QuotaPool::Answer QuotaPool::lease(std::int64_t volume, TokenBucket part, RequestId request, double minUnits,
                                   double maxUnits, double nowMs) {
    auto found = pools_.find(volume);
    if (found == pools_.end()) {
        if (!hasRoom(kPoolBytes<Pool> + kLeaseBytes<Lease>)) return {0, kMaxRetryMs};
        found = pools_.emplace(volume, Pool{part, 0, startedAtMs_, {}}).first;
    }
    auto& pool = found->second;
    pool.part = part;
    refill(pool, nowMs);
    for (const auto& lease : pool.leases)
        if (lease.request.rank == request.rank && lease.request.seq == request.seq) return {lease.units, 0};
    if (pool.level < minUnits) {
        const double wait = part.rate > 0 ? 1000 * (minUnits - pool.level) / part.rate : kMaxRetryMs;
        return {0, std::clamp(wait, kMinRetryMs, kMaxRetryMs)};
    }
    if (!hasRoom(kLeaseBytes<Lease>)) return {0, kMaxRetryMs};
    const double units = std::min(pool.level, maxUnits);
    pool.level -= units;
    pool.leases.push_back({request, nowMs + kQuotaLeaseHoldMs, units});
    ++leases_;
    return {units, 0};
}

void QuotaPool::removeFull(double nowMs) {
    for (auto position = pools_.begin(); position != pools_.end();) {
        auto& pool = position->second;
        refill(pool, nowMs);
        // A pool without state counts as empty at the start of the process: it equals a full one only once it
        // has had the time to fill.
        const bool sameAsNew =
            pool.part.rate > 0 && nowMs >= startedAtMs_ + 1000 * pool.part.burst / pool.part.rate;
        const bool full = pool.level >= pool.part.burst;
        position = full && sameAsNew ? pools_.erase(position) : std::next(position);
    }
}

}  // namespace spokewheel
