// One host's share of a volume's limit. The limit is a token bucket that all hosts of the volume share; its
// tokens are split into parts, each drawn from by one host alone, so that no loss, delay or order of messages
// lets all hosts together draw more than the bucket holds: an own part of each host, and parts that pools
// lease out (quota_pool.hpp). Free of I/O and clocks: times are milliseconds on the host's clock, amounts
// units.
//
// The own part starts empty at the last moment at which somebody else may have drawn from it, the process
// before this one or a host that had the volume's requests: all of it counts as drawn then. From then on it
// fills as fast as its part of the bucket does.
#pragma once

#include <deque>

namespace spokewheel {

struct TokenBucket {
    double rate = 0;  // units per second
    double burst = 0;
};

class LimitShare {
  public:
    // Empty at `fromMs`, and fills from then on. `own`: the part of one host of so many.
    void begin(TokenBucket own, int hosts, double fromMs);
    // A request says through how many hosts the volume works, and so what the own part is.
    void seen(TokenBucket own, int hosts, double nowMs);
    void refill(double nowMs);

    double available() const { return level_ + leased(); }
    void draw(double units);
    // Units that were drawn for an attempt that has not begun. Until it has, the bucket has not given them,
    // and may be full: this share stays as much smaller.
    void reserve(double units) { reserved_ += units; }
    void release(double units) { reserved_ -= units; }
    // Units leased from a pool. They expire.
    void lease(double units, double untilMs) { leases_.push_back({untilMs, units}); }

    double level() const { return level_; }  // of the own part
    double leased() const;
    double reserved() const { return reserved_; }

  private:
    struct Lease {
        double untilMs = 0, units = 0;
    };
    TokenBucket own_;
    int hosts_ = 1;
    double filledAtMs_ = 0, level_ = 0, reserved_ = 0;
    double earnedUnseen_ = 0;  // filled since the last request told the number of hosts
    std::deque<Lease> leases_;
};

}  // namespace spokewheel
