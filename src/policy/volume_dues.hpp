// What falls due to a volume at this host: for each second the part of its requests that its reservation
// covers, and the part that its share by weight covers; and which part of the volume's traffic this host has,
// from what it served against what the meter tells of all hosts. Free of I/O and clocks: times are
// milliseconds on the host's clock, amounts units, rates units per second.
#pragma once

#include <cstdint>
#include <deque>

namespace spokewheel {

class VolumeDues {
  public:
    struct Second {
        std::int64_t at = 0;
        double reserve = 0, fair = 0;  // due and not yet taken
    };
    struct Rates {
        double reserve = 0, fair = 0;
    };

    // A request came. `maxUnits`: of the largest request, which each store holds beyond a second of its rate.
    void arrive(double units, Rates rates, double maxUnits, double nowMs);
    // The dues of the second in which a request arrived; nullptr where they are forgotten.
    Second* of(double arrivedMs);
    // Whether a request has come beyond the reservation since.
    bool beyondSince(double fromMs) const { return beyondAtMs_ > fromMs; }

    void served(double units, double nowMs);
    void metered(double rate, double nowMs);
    // This host's part of the volume's traffic: at least half of an even part.
    double fraction(int hosts, double nowMs);

  private:
    double servedRate(double nowMs);

    std::deque<Second> seconds_;
    double reserveStore_ = 0, fairStore_ = 0, filledAtMs_ = 0, beyondAtMs_ = -1e18;
    double served_ = 0, servedAtMs_ = 0;  // of units, decaying
    double metered_ = -1, meteredAtMs_ = -1e18;
};

}  // namespace spokewheel
