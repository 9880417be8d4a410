// The parts of volumes' limits that one host leases to all hosts, in the order of their requests. A pool
// starts empty with its process, since the leases of the previous process are not known (limit_share.hpp).
// Free of I/O and clocks: times are milliseconds on the host's clock, amounts units.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "limit_share.hpp"

namespace spokewheel {

// A host may draw leased units for kQuotaLeaseMs after its request. The pool, which received the request
// later, counts the lease for kQuotaLeaseHoldMs: the units may still be on their way to a node.
constexpr double kQuotaLeaseMs = 1000, kQuotaLeaseHoldMs = 1500;

// The rank of the host that holds one of a volume's pools. The pools of a volume are at different hosts.
int poolHost(std::int64_t volume, std::size_t pool, int hosts);

class QuotaPool {
  public:
    // All pools and their leases take at most `maxBytes`; what would need more is not leased.
    QuotaPool(double startedAtMs, std::size_t maxBytes) : maxBytes_(maxBytes), startedAtMs_(startedAtMs) {}
    // Sets the start of the process. No lease may have been given.
    void start(double nowMs) { startedAtMs_ = nowMs; }
    struct Answer {
        double units = 0;         // leased; 0: refused
        double retryAfterMs = 0;  // of a refusal: until the minimum may be available
    };
    // Identifies a request. A repeat of one whose response was lost gets the same lease.
    struct RequestId {
        int rank = 0;
        std::uint64_t seq = 0;
    };
    // Leases at least `minUnits` or nothing, and at most `maxUnits`. `part`: what this pool holds of the
    // volume's bucket.
    Answer lease(std::int64_t volume, TokenBucket part, RequestId request, double minUnits, double maxUnits,
                 double nowMs);
    // Drops the state of volumes whose pool is full again: it equals that of a volume without requests.
    void removeFull(double nowMs);
    std::size_t size() const { return pools_.size(); }  // volumes with state

  private:
    struct Lease {
        RequestId request;
        double heldUntilMs = 0, units = 0;
    };
    struct Pool {
        TokenBucket part;
        double level = 0, refilledAtMs = 0;  // tokens
        std::vector<Lease> leases;           // in order of their end
    };
    bool hasRoom(std::size_t bytes) const;
    // Refills the pool and drops its leases that are over.
    void refill(Pool& pool, double nowMs);

    std::size_t maxBytes_;
    double startedAtMs_;
    std::size_t leases_ = 0;  // of all pools
    std::map<std::int64_t, Pool> pools_;
};

}  // namespace spokewheel
