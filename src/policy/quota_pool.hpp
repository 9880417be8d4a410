// The part of volumes' limits that one host hands out to all hosts, in leases, in the order in which they
// asked. A pool starts empty with its process, for whatever the process before it leased is not known
// (limit_share.hpp). Free of I/O and clocks: times are milliseconds on the host's clock, amounts units.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "limit_share.hpp"

namespace spokewheel {

// A host may draw what it was leased for so long after it asked. Its pool, which heard of the ask later,
// counts the lease for longer: the units may be on their way to a node that long.
constexpr double kQuotaLeaseMs = 1000, kQuotaCountedMs = 1500;

// The host, by rank, that holds one of the pools of a volume; each pool of a volume is at another host.
int poolHost(std::int64_t volume, std::size_t pool, int hosts);

class QuotaPool {
  public:
    explicit QuotaPool(double startedAtMs = 0) : startedAtMs_(startedAtMs) {}
    struct Answer {
        double units = 0;         // leased; 0: none
        double retryAfterMs = 0;  // where none: until as many may be there
    };
    // Who asks, and the number of the ask: one that comes again, for its answer was lost, gets the same
    // lease.
    struct Asker {
        int rank = 0;
        std::uint64_t seq = 0;
    };
    // At least `least` units or none, at most `most`. `part`: of the volume's bucket that this pool holds.
    Answer lease(std::int64_t volume, TokenBucket part, Asker asker, double least, double most, double nowMs);
    // Forgets volumes that are full again: they are as those that nobody asked for.
    void forgetFull(double nowMs);

  private:
    struct Lease {
        Asker asker;
        double countedUntilMs = 0, units = 0;
    };
    struct Pool {
        TokenBucket part;
        double level = 0, filledAtMs = 0;
        std::deque<Lease> leases;

        void refill(double nowMs);
    };
    double startedAtMs_;
    std::map<std::int64_t, Pool> pools_;
};

}  // namespace spokewheel
