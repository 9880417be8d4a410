// Options of a soak run, and the settings that its schedulers are started with. The record is checked with
// the same values. Times are milliseconds; sizes, rates and limits are in units.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "kit/soak/events.hpp"

namespace spokewheel::soak {

// A request class, and the part of the clients' load that it makes up.
struct ClassSettings {
    std::string name;
    std::string method;
    double deadlineMs = 0, trafficShare = 0;  // the shares of all classes add up to 1
    ClassSemantics semantics;
};

// A volume with a plan of its own and constant load (steady_clients.hpp).
struct BusyVolume {
    std::string id;  // 16 hex digits
    VolumeLimit limit;
    double reservation = 0;                   // units per second
    int hosts = 1;                            // number of schedulers it comes through, as its requests state
    std::vector<int> schedulers = {0};        // that its requests come through at first
    int clients = 6;                          // at each scheduler, with one request at a time each
    double pauseMs = 0, refusedPauseMs = 20;  // between an answer and the next request
    int maxUnits = 1;                         // of a request

    std::string planName() const { return "plan-" + id; }
};

// Faults injected while busy volumes are at their limits (limit_scenario.hpp).
struct LimitFaults {
    int restartedScheduler = -1;  // the scheduler that is restarted periodically; -1: none
    bool plannedStops = false;    // by SIGTERM instead of SIGKILL
    double restartEveryMs = 0, downMs = 0;
    bool movesVolumes = false, dropsPeerMessages = false;
};

// Settings of the schedulers, and properties of the disk servers and volumes that match them.
struct Settings {
    std::vector<ClassSettings> classes = {{"read", "GET", 900, 0.5, {"read", false, false, false, 0}},
                                          {"once", "PUT", 1200, 0.2, {"once", true, false, false, 0}},
                                          {"keyed", "PUT", 1200, 0.15, {"keyed", false, true, false, 700}},
                                          {"ordered", "PUT", 1000, 0.15, {"ordered", false, false, true, 0}}};
    bool peers = true;          // whether schedulers may exchange messages
    std::size_t sockets = 256;  // limit on the descriptors of a scheduler
    std::size_t memoryMb = 64;  // limit on its memory
    double serverUnitsPerS = 120;
    double coldMs = 4000, coldShare = 0.05, coldUnits = 9, overloadFactor = 1.5, overloadSpanMs = 1000;
    double meanUnits = 2, drainGraceMs = 2000, settleAfterDoubtMs = 120;
    double retryBudgetFloor = 4, retryBudgetShare = 0.2, retryBudgetSpanMs = 3000;
    double limit = 30, limitBurst = 45, limitSlack = 4;  // of the limited plan, of volumes f1 and f2
    int maxUnits = 4;                                    // of one request
    std::vector<BusyVolume> busyVolumes;
    LimitFaults limitFaults;
    double dialTimeoutMs = 250, connIdleMs = 6000;

    double longestDeadlineMs() const;
    // The shortest time that the platform leaves a process between SIGTERM and SIGKILL.
    double killAfterMs() const;
    // One line for the report.
    std::string summary() const;
};

using Random = std::mt19937_64;

// Settings that depend on the seed alone: effects of classes, deadlines from 0.3 s to over 3 s, key
// retention, peer messages, descriptors, and duration and capacity of the cold phase of a server.
Settings drawSettings(std::uint64_t seed);

// Options of one soak run.
struct Options {
    std::string schedulerBinary;  // path of the daemon
    std::string shimLibrary;      // path of the fault shim; empty: not loaded
    std::string folder;           // for configurations, control files and logs
    int logPipeBytes = 4096;      // capacity of a process's log pipe; small, so that it fills up at times
    double seconds = 20;
    std::uint64_t seed = 1;
    int schedulers = 24, servers = 8;
    double requestsPerSecond = 10;  // to each scheduler, outside busy volumes
    bool injectFaults = true;
    bool connectionFloods = false;  // floods of idle connections that use up a scheduler's descriptors
    bool busyClients = false;       // clients that send much, or what is not sound (busy_client_injector.hpp)
    bool unsoundAnswers = false;    // that come twice or never end (answer_fault_injector.hpp)
    int extraMembers = 0;           // additional entries of the node list, in cells that no request uses
    double churnPerSecond = 0;      // extra members that are replaced by new ones each second
    Settings settings;
};

// The requirements that match the settings.
Requirements requirementsOf(const Settings& settings);
inline Requirements defaultRequirements() { return requirementsOf(Settings{}); }
// The "settings" object of a scheduler's configuration.
std::string settingsJson(const Options& options, int rank);

// Uniform in [0, bound).
inline int drawBelow(Random& random, int bound) {
    return static_cast<int>(random() % static_cast<std::uint64_t>(bound));
}
// Uniform in [0, 1).
inline double drawReal(Random& random) { return static_cast<double>(random() >> 11) / 9007199254740992.0; }
// True with this probability.
inline bool chance(Random& random, double probability) { return drawReal(random) < probability; }

// Receives each event as it is recorded.
using EventSink = std::function<void(Event)>;

}  // namespace spokewheel::soak
