// The deployment that a soak run plays: figures for the schedulers' settings and, the same ones, for the
// judge.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "kit/soak/events.hpp"

namespace spokewheel::soak {

struct ClassPlan {
    std::string name;
    std::string method;
    double deadlineMs = 0, share = 0;
    ClassTerms terms;
};

// A volume with a plan of its own whose clients ask without pause (steady_clients.hpp).
struct BusyVolume {
    std::string id;  // 16 hex digits
    LimitTerms limit;
    double reservation = 0;                   // units per second
    int hosts = 1;                            // schedulers that its requests come through, as each tells
    std::vector<int> schedulers = {0};        // through which they come at first
    int clients = 6;                          // at each of them, one request at a time each
    double pauseMs = 0, refusedPauseMs = 20;  // between an answer and the next request
    int mostUnits = 1;                        // of a request

    std::string planName() const { return "plan-" + id; }
};

// What happens to the busy volumes of a run (limit_scenario.hpp).
struct LimitPlay {
    int restarted = -1;  // a scheduler that is restarted again and again; -1: none
    bool planned = false;
    double restartEveryMs = 0, downMs = 0;
    bool moves = false, losesPeerMessages = false;
};

// One customer's settings. Milliseconds and units.
struct Setting {
    std::vector<ClassPlan> classes = {{"read", "GET", 900, 0.5, {"read", false, false, false, 0}},
                                      {"once", "PUT", 1200, 0.2, {"once", true, false, false, 0}},
                                      {"keyed", "PUT", 1200, 0.15, {"keyed", false, true, false, 700}},
                                      {"ordered", "PUT", 1000, 0.15, {"ordered", false, false, true, 0}}};
    bool peers = true;  // whether schedulers may tell each other anything
    std::size_t sockets = 256;
    double serverUnitsPerS = 120;
    double coldMs = 4000, coldShare = 0.05, coldUnits = 9, tipMultiple = 1.5, fallMs = 1000;
    double meanUnits = 2, drainGraceMs = 2000, settleMs = 120;
    double extraFloor = 4, extraShare = 0.2, extraSpanMs = 3000;
    double limit = 30, limitBurst = 45, limitSlack = 4;  // of the plan of volumes f1 and f2
    int topUnits = 4;                                    // of any request
    std::vector<BusyVolume> busyVolumes;
    LimitPlay limitPlay;
    double dialTimeoutMs = 250, connIdleMs = 6000;

    double longestDeadlineMs() const;
    // From SIGTERM to SIGKILL, at the platform's earliest.
    double killAfterMs() const;
    std::string summary() const;
};

using Random = std::mt19937_64;

// Another customer's settings: effects, deadlines from 0.3 to over 3 s, memories of keys, peers, descriptors
// and how cold a server starts.
Setting drawSetting(std::uint64_t seed);

struct Options {
    std::string scheduler;    // the daemon's file
    std::string shim;         // the fault shim's file; empty: none is loaded
    std::string folder;       // for configurations, control files and logs
    int logPipeBytes = 4096;  // of a process's log that is not read yet; small, so that it is full at times
    double seconds = 20;
    std::uint64_t seed = 1;
    int schedulers = 24, servers = 8;
    double requestsPerSecond = 10;  // to each scheduler
    bool troubles = true;
    bool crowds = false;        // idle clients that fill the descriptors, now and then
    int extraMembers = 0;       // listed beside the servers, in cells that nobody asks for
    double churnPerSecond = 0;  // extra members that are replaced by others
    Setting setting;
};

Terms termsOf(const Setting& setting);
inline Terms termsOfRun() { return termsOf(Setting{}); }
// The "settings" object of a scheduler's configuration.
std::string settingsJson(const Options& options, int rank);

inline int drawBelow(Random& random, int bound) {
    return static_cast<int>(random() % static_cast<std::uint64_t>(bound));
}
inline double drawReal(Random& random) { return static_cast<double>(random() >> 11) / 9007199254740992.0; }
inline bool chance(Random& random, double probability) { return drawReal(random) < probability; }

using Record = std::function<void(Event)>;

}  // namespace spokewheel::soak
