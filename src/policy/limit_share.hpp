// One host's part of a volume's limit. The limit is a token bucket shared by all hosts of the volume. Its
// tokens are split into parts that are each drawn from by one host only, so that the hosts together never
// draw more than the bucket holds, however messages are lost, delayed or reordered: each host has an own
// part, and pools lease out the others (quota_pool.hpp). Free of I/O and clocks: times are milliseconds on
// the host's clock, amounts units.
//
// The own part starts empty at the last moment at which another party may have drawn from it: the previous
// process of this host, or a host that had the volume's requests before. All of it counts as drawn then. From
// that moment on it refills at its part of the bucket's rate.
#pragma once

#include <vector>

namespace spokewheel {

struct TokenBucket {
    double rate = 0;  // units per second
    double burst = 0;
};

class LimitShare {
  public:
    // Starts the own part empty at `fromMs`. `own` is the part of one host where the volume has `hosts`.
    void start(TokenBucket own, int hosts, double fromMs);
    // Takes over the number of hosts that a request named, and the own part that follows from it.
    void setHosts(TokenBucket own, int hosts, double nowMs);
    void refill(double nowMs);

    double available() const { return level_ + leased(); }
    void draw(double units);
    // Units that were drawn for an attempt that has not begun. Until it begins the shared bucket has not
    // given them and may be full, so the own part must not refill over them.
    void reserve(double units) { reserved_ += units; }
    void release(double units) { reserved_ -= units; }
    // Adds units leased from a pool; they expire at `untilMs`.
    void addLease(double units, double untilMs) { leases_.push_back({untilMs, units}); }

    double level() const { return level_; }  // of the own part
    // Whether it equals a part that nothing was ever drawn from.
    bool isFull() const { return level_ >= own_.burst && reserved_ <= 0; }
    double leased() const;
    double reserved() const { return reserved_; }

  private:
    struct Lease {
        double untilMs = 0, units = 0;
    };
    TokenBucket own_;
    int hosts_ = 1;
    double refilledAtMs_ = 0, level_ = 0, reserved_ = 0;
    double refilledSinceRequest_ = 0;  // units refilled since a request last named the number of hosts
    std::vector<Lease> leases_;        // in order of their end; none that is used up
};

}  // namespace spokewheel
