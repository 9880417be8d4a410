// What all nodes together served for each volume, in units a second as a part of what its plan counts on
// (`Spokewheel-Usage`: 1 + percent of nominal). Late by design, as a meter that gathers from many nodes is:
// of the period before the last. Nodes share a directory, each writes what it served in a period that is
// over.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "io/loop.hpp"

namespace spokewheel::standins {

struct MeterSettings {
    std::string directory;  // empty: no meter
    double periodMs = 1000;
    std::map<std::int64_t, double> nominal;  // units a second, by the volume's number
};

class Meter {
  public:
    Meter(MeterSettings settings, std::string name);
    // From the attempt's label: "...;volume=7;units=4;...".
    void served(const std::string& label);
    // 0 where there is nothing to tell.
    long usage(const std::string& label);

  private:
    std::int64_t period() const;
    void roll();
    std::string fileOf(std::int64_t period) const;

    MeterSettings settings_;
    std::string name_;
    std::int64_t now_ = 0, told_ = -1;            // periods
    std::map<std::int64_t, double> units_, sum_;  // of this node in `now_`; of all in `told_`
    io::Timer timer_;
};

}  // namespace spokewheel::standins
