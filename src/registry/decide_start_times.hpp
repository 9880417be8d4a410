// Converts the start times of nodes to the monotonic clock of this process. Node lists state start times by
// the wall clocks of the machines, which may be stepped at any moment, while ages (of which slow start is one
// use) are spans of real time. Free of I/O and clocks; times are milliseconds.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace spokewheel::registry {

// Both clocks, read at the same moment.
struct ClockReading {
    double nowMs = 0;   // monotonic, with an origin private to the process
    double wallMs = 0;  // since the Unix epoch
};

// Remembers when each node started.
//
// A start time that differs from the known one, earlier or later, is a restart. A restart that the list
// service did not know at its last contact cannot be older than that contact; a start time that claims so is
// wrong, however steady this machine's clock looks, because two clock steps that cancel each other leave no
// trace. Only for the first list of a process is the wall clock trusted alone. Where the wall clock is proved
// wrong, or was stepped in between, the node counts as started when its restart was reported, which is never
// too early; after an outage of the list service it counts as started at the last contact before the outage.
class StartTimes {
  public:
    // `maxQuietMs`: the longest time between two contacts with a list service that works.
    explicit StartTimes(double maxQuietMs = 2600) : maxQuietMs_(maxQuietMs) {}
    // The list service sent something, whether or not anything changed.
    void noteContact(const ClockReading& clock) {
        observeClocks(clock);
        lastContactAt_ = clock.nowMs;
    }
    // Must be called once for each list, before localStart() for its entries. `fromService`: the list was
    // just received from the list service; otherwise it comes from a cache or the configuration.
    // `unchangedUntilMs`: the time up to which the service is known to have had no changes, if that is later
    // than the last contact (as with a blocking query).
    void onList(const ClockReading& clock, bool fromService = true, double unchangedUntilMs = kNever) {
        observeClocks(clock);
        previousContactAt_ = std::max(lastContactAt_, unchangedUntilMs);
        if (fromService) lastContactAt_ = clock.nowMs;
    }
    // Detects steps of the wall clock; the more often it is called, the fewer steps go unnoticed.
    void observeClocks(const ClockReading& clock) {
        const double offset = clock.wallMs - clock.nowMs;
        if (hasOffset_ && std::abs(offset - offset_) > kStepMs) steppedAt_ = clock.nowMs;
        hasOffset_ = true;
        offset_ = offset;
        clock_ = clock;
    }
    // Whether `reportedMs` (wall clock) differs from the known start time of the node.
    bool isNewStart(const std::string& node, double reportedMs) const {
        const auto found = starts_.find(node);
        return reportedMs > 0 && found != starts_.end() && found->second.reportedMs != reportedMs;
    }
    // Returns when the node started, on the monotonic clock; 0: long ago. `reportedMs`: the start time that
    // the list states, on the wall clock; 0 if it states none.
    double localStart(const std::string& node, double reportedMs) {
        auto& start = starts_[node];
        if (reportedMs <= 0 || start.reportedMs == reportedMs) return start.localMs;
        start = {reportedMs, std::max(start.localMs, earliestStart(reportedMs))};
        return start.localMs;
    }
    // Applies a start time that a peer reported, on the monotonic clock: localStart() returns no earlier one
    // from now on.
    void setEarliestStart(const std::string& node, double localMs) {
        auto& start = starts_[node];
        start.localMs = std::max(start.localMs, localMs);
    }
    // Returns the known start time on the monotonic clock; 0: unknown or long ago.
    double startOf(const std::string& node) const {
        const auto found = starts_.find(node);
        return found == starts_.end() ? 0 : found->second.localMs;
    }
    void forget(const std::string& node) { starts_.erase(node); }

  private:
    static constexpr double kNever = -1e18;
    // Converts a reported start time and corrects it by the rules above.
    double earliestStart(double reportedMs) const {
        const double convertedMs = clock_.nowMs - std::max(0.0, clock_.wallMs - reportedMs);
        if (convertedMs > std::max(steppedAt_, previousContactAt_)) return convertedMs;
        const bool wasReachable = clock_.nowMs - previousContactAt_ <= maxQuietMs_;
        return wasReachable || steppedAt_ >= previousContactAt_ ? clock_.nowMs : previousContactAt_;
    }
    // Without a step, the clocks drift apart by far less than this between two readings.
    static constexpr double kStepMs = 100;
    struct Start {
        double reportedMs = 0, localMs = 0;
    };
    std::map<std::string, Start> starts_;
    ClockReading clock_;
    double maxQuietMs_, offset_ = 0, steppedAt_ = kNever, lastContactAt_ = kNever,
                        previousContactAt_ = kNever;
    bool hasOffset_ = false;
};

}  // namespace spokewheel::registry
