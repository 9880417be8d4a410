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

// A start time other than the one known is a new start, whichever way it went. A start that the list service
// did not know when it spoke last can't be older than that word: a start time that says so is wrong, however
// steady this machine's clock looks, for two steps that cancel leave no trace. The wall clock alone decides
// only for the first list of a process. Where it proves wrong, or was stepped meanwhile, a start counts from
// when it was heard, which is never too early; where the service had been silent, from its last word.
class StartTimes {
  public:
    // `quietMs`: the longest time between two words of a list service that is well.
    explicit StartTimes(double quietMs = 2600) : quietMs_(quietMs) {}
    // The list service spoke, whether or not it had news.
    void noteContact(const ClockReading& clock) {
        observeClocks(clock);
        lastWordAt_ = clock.nowMs;
    }
    // To be called once for each list, before its entries are asked about. `fromService`: the list service
    // said it now; otherwise it was remembered. `knownUntilMs`: up to when the service had nothing newer,
    // where that is later than its last word (a blocking query).
    void read(const ClockReading& clock, bool fromService = true, double knownUntilMs = kNever) {
        observeClocks(clock);
        wordBefore_ = std::max(lastWordAt_, knownUntilMs);
        if (fromService) lastWordAt_ = clock.nowMs;
    }
    // Finds steps of the wall clock; the oftener it is called, the fewer can hide.
    void observeClocks(const ClockReading& clock) {
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
        start = {toldMs, std::max(start.localMs, firstPossible(toldMs))};
        return start.localMs;
    }
    // A peer says when the node came up, on `nowMs`'s clock.
    void setEarliestStart(const std::string& node, double localMs) {
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
    static constexpr double kNever = -1e18;
    double firstPossible(double toldMs) const {
        const double byWallClock = clock_.nowMs - std::max(0.0, clock_.wallMs - toldMs);
        if (byWallClock > std::max(steppedAt_, wordBefore_)) return byWallClock;
        const bool wasWell = clock_.nowMs - wordBefore_ <= quietMs_;
        return wasWell || steppedAt_ >= wordBefore_ ? clock_.nowMs : wordBefore_;
    }
    // The clocks drift apart by far less between two lists.
    static constexpr double kStepMs = 100;
    struct Start {
        double toldMs = 0, localMs = 0;
    };
    std::map<std::string, Start> starts_;
    ClockReading clock_;
    double quietMs_, offset_ = 0, steppedAt_ = kNever, lastWordAt_ = kNever, wordBefore_ = kNever;
    bool read_ = false;
};

}  // namespace spokewheel::registry
