// When nodes came up, on this process's own clock. Lists tell start times of the machines' wall clock, which
// may be stepped at any moment; ages, slow start among them, are spans of real time. Free of I/O and clocks;
// times are milliseconds.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace spokewheel::registry {

// Both clocks, read at one moment.
struct ClockReading {
    double nowMs = 0;   // monotonic, on the process's own base
    double wallMs = 0;  // since the epoch
};

// A start time other than the one known is a new start, whichever way it went. Its age by the wall clock
// counts only where no step can lie between the start and now; else it counts from when it was heard, which
// is never too early. The first list of a process can be judged by the wall clock of that moment alone.
class StartTimes {
  public:
    // To be called once for each list, before its entries are asked about.
    void read(const ClockReading& clock) {
        const double offset = clock.wallMs - clock.nowMs;
        if (read_ && std::abs(offset - offset_) > kStepMs) steppedAt_ = clock.nowMs;
        read_ = true;
        offset_ = offset;
        clock_ = clock;
    }
    // Whether `toldMs` is another start than the one known of the node.
    bool isNewStart(const std::string& node, double toldMs) const {
        const auto found = starts_.find(node);
        return toldMs > 0 && found != starts_.end() && found->second.toldMs != toldMs;
    }
    // When the node came up, on `nowMs`'s clock; 0: long ago.
    double localStart(const std::string& node, double toldMs) {
        auto& start = starts_[node];
        if (toldMs <= 0 || start.toldMs == toldMs) return start.localMs;
        const double byWallClock = clock_.nowMs - std::max(0.0, clock_.wallMs - toldMs);
        start = {toldMs, std::max(start.localMs, byWallClock > steppedAt_ ? byWallClock : clock_.nowMs)};
        return start.localMs;
    }
    // A peer says when the node came up, on `nowMs`'s clock.
    void notBefore(const std::string& node, double localMs) {
        auto& start = starts_[node];
        start.localMs = std::max(start.localMs, localMs);
    }
    // As far as it is known; 0: long ago.
    double startOf(const std::string& node) const {
        const auto found = starts_.find(node);
        return found == starts_.end() ? 0 : found->second.localMs;
    }
    void forget(const std::string& node) { starts_.erase(node); }

  private:
    // The clocks drift apart by far less between two lists.
    static constexpr double kStepMs = 100;
    struct Start {
        double toldMs = 0, localMs = 0;
    };
    std::map<std::string, Start> starts_;
    ClockReading clock_;
    double offset_ = 0, steppedAt_ = -1e18;
    bool read_ = false;
};

}  // namespace spokewheel::registry
