// Usage meter of the stand-in nodes: the rate at which all nodes together served each volume, as a percentage
// of the nominal rate of the volume's plan, plus 1 (`Spokewheel-Usage`). Each node writes what it served in a
// period to a file in a shared directory once the period is over. The reported rate is of the period before
// the last, since a meter that collects from many nodes lags behind by design.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "io/loop.hpp"

namespace spokewheel::standins {

struct MeterSettings {
    std::string directory;  // shared by all nodes; empty: no meter
    double periodMs = 1000;
    std::map<std::int64_t, double> nominal;  // units per second, by volume
};

class Meter {
  public:
    // `name` distinguishes the files of this node from those of others.
    Meter(MeterSettings settings, std::string name);
    // Adds a served request. `label` is the value of Spokewheel-Attempt: "...;volume=7;units=4;...".
    void recordServed(const std::string& label);
    // The usage of the label's volume, as Spokewheel-Usage carries it; 0 if there is none to report.
    long usage(const std::string& label);

  private:
    std::int64_t period() const;  // that runs now, by number
    void rollOver();
    std::string periodFile(std::int64_t period) const;

    MeterSettings settings_;
    std::string name_;
    std::int64_t currentPeriod_ = 0, reportedPeriod_ = -1;
    std::map<std::int64_t, double> servedUnits_;    // by this node in currentPeriod_, by volume
    std::map<std::int64_t, double> reportedUnits_;  // by all nodes in reportedPeriod_, by volume
    io::Timer timer_;
};

}  // namespace spokewheel::standins
