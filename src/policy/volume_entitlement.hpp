// Units that a volume is entitled to at this host: for each second the part of its requests that its
// reservation covers, and the part that its share by weight covers. Also estimates which fraction of the
// volume's traffic comes through this host, from what the host served against what the nodes' usage meter
// reports for all hosts. Free of I/O and clocks: times are milliseconds on the host's clock, amounts units,
// rates units per second.
#pragma once

#include <cstdint>
#include <vector>

namespace spokewheel {

class VolumeEntitlement {
  public:
    // What the requests that arrived in one second are entitled to and have not used yet.
    struct Second {
        std::int64_t second = 0;
        double reserved = 0, fair = 0;
    };
    struct Rates {
        double reserved = 0, fair = 0;
    };

    // Records the arrival of a request. `maxUnits` is the size of the largest request: the two token buckets
    // hold that much beyond a second of their rate.
    void onArrival(double units, Rates rates, double maxUnits, double nowMs);
    // The entitlement of the second in which a request arrived; nullptr if it has expired.
    Second* forArrival(double arrivedMs);
    // Whether requests have come beyond the reservation since.
    bool exceededReservationSince(double fromMs) const { return exceededAtMs_ > fromMs; }

    void onServed(double units, double nowMs);
    // `rate`: of the whole volume, as the nodes' meter reports it.
    void onUsage(double rate, double nowMs);
    // This host's fraction of the volume's traffic, at least half of an even share.
    double trafficShare(int hosts, double nowMs);

  private:
    double servedRate(double nowMs);

    std::vector<Second> seconds_;
    double reservedLevel_ = 0, fairLevel_ = 0, refilledAtMs_ = 0, exceededAtMs_ = -1e18;
    double servedUnits_ = 0, servedAtMs_ = 0;  // decays exponentially
    double usageRate_ = -1, usageAtMs_ = -1e18;
};

}  // namespace spokewheel
