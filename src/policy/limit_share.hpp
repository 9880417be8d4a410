// One host's share of a volume's limit. The limit is a token bucket that all hosts of the volume share. Each
// host owns an even share of it that no other host draws from, so that no loss, delay or order of messages
// lets all hosts together draw more than the bucket holds. Half of a share is kept; the other half may be
// lent to another host, a subperiod at a time. Free of I/O and clocks: times are milliseconds on the host's
// clock, amounts units.
#pragma once

#include <deque>

namespace spokewheel {

struct TokenBucket {
    double rate = 0;  // units per second
    double burst = 0;
};

class LimitShare {
  public:
    // `held`: what the share holds at `filledAtMs`, from which on it fills.
    void begin(TokenBucket bucket, int hosts, double filledAtMs, double held);
    // Through how many hosts the volume works.
    void setHosts(int hosts) { hosts_ = hosts; }
    void refill(double nowMs);

    double available() const;
    void draw(double units);

    double own() const { return own_; }
    double lendable() const { return lendable_; }
    double borrowed() const;

    // Gives units to another host; what `lendable` does not hold comes from the own half, which stays as much
    // smaller until `untilMs`.
    void lend(double units, double untilMs);
    // Units that another host lent; they expire.
    void borrow(double units, double untilMs) { borrowed_.push_back({untilMs, units}); }

  private:
    struct Lease {
        double untilMs = 0, units = 0;
    };
    double half() const { return bucket_.burst / (2.0 * hosts_); }

    TokenBucket bucket_;
    int hosts_ = 1;
    double filledAtMs_ = 0;
    double own_ = 0, lendable_ = 0;
    std::deque<Lease> borrowed_, lentOfOwn_;
};

}  // namespace spokewheel
