// The deployment that a soak run plays: figures for the schedulers' settings and, the same ones, for the
// judge.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "kit/soak/events.hpp"

namespace spokewheel::soak {

struct Options {
    std::string scheduler;  // the daemon's file
    std::string shim;       // the fault shim's file; empty: none is loaded
    std::string folder;     // for configurations, control files and logs
    double seconds = 20;
    std::uint64_t seed = 1;
    int schedulers = 24, servers = 8;
    double requestsPerSecond = 10;  // to each scheduler
    bool troubles = true;
    bool peers = true;          // whether schedulers may tell each other anything
    int extraMembers = 0;       // listed beside the servers, in cells that nobody asks for
    double churnPerSecond = 0;  // extra members that are replaced by others
};

struct ClassPlan {
    std::string name;
    std::string method;
    double deadlineMs = 0, share = 0;
    ClassTerms terms;
};

constexpr double kServerUnitsPerS = 120, kColdMs = 4000, kColdShare = 0.05, kTipMultiple = 1.5,
                 kFallMs = 1000;
constexpr double kColdUnits = 9, kMeanUnits = 2, kDrainGraceMs = 2000, kSettleMs = 120;
constexpr double kExtraFloor = 4, kExtraShare = 0.2, kExtraSpanMs = 3000;
constexpr double kLimit = 30, kLimitBurst = 45, kLimitSlack = 4;
constexpr double kDialTimeoutMs = 250, kConnIdleMs = 6000;

inline std::vector<ClassPlan> classPlans() {
    return {{"read", "GET", 900, 0.5, {"read", false, false, false, 0}},
            {"once", "PUT", 1200, 0.2, {"once", true, false, false, 0}},
            {"keyed", "PUT", 1200, 0.15, {"keyed", false, true, false, 700}},
            {"ordered", "PUT", 1000, 0.15, {"ordered", false, false, true, 0}}};
}
inline double longestDeadlineMs() { return 1200; }

Terms termsOfRun();
// The "settings" object of a scheduler's configuration.
std::string settingsJson(const Options& options, int rank);

using Random = std::mt19937_64;
inline int drawBelow(Random& random, int bound) {
    return static_cast<int>(random() % static_cast<std::uint64_t>(bound));
}
inline double drawReal(Random& random) { return static_cast<double>(random() >> 11) / 9007199254740992.0; }
inline bool chance(Random& random, double probability) { return drawReal(random) < probability; }

using Record = std::function<void(Event)>;

}  // namespace spokewheel::soak
