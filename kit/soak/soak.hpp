// Runs one soak test: real scheduler processes with simulated clients, disk servers and discovery agents,
// under overlapping random faults. What clients and servers saw is checked against the rules.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "kit/soak/record_checker.hpp"
#include "kit/soak/scheduler_process.hpp"
#include "kit/soak/setting.hpp"

namespace spokewheel::soak {

struct Result {
    std::vector<RuleViolation> violations;
    std::vector<Event> events;                    // the record that was judged
    std::vector<std::string> unexpectedLogLines;  // errors and unreadable lines in the schedulers' logs
    std::map<std::string, std::uint64_t> counts;
    std::vector<std::string> actionLog;  // injected faults, with times in ms
    SchedulerProcess::Usage usage;       // mean over the processes; for descriptors, the maximum
    double worstLagMs = 0;  // largest delay of the harness itself: event times are off by up to this
};

// Throws std::runtime_error.
Result run(const Options& options);
// The result as text for a person.
std::string report(const Result& result, const Options& options);
// The record, one event per line, sorted by time.
std::string recordText(const Result& result);

}  // namespace spokewheel::soak
