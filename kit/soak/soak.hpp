// One soak run: real scheduler processes, stand-ins around them, overlapping troubles drawn from a seed, and
// the judge's verdict on what clients and servers saw.
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
    std::vector<std::string> unexpectedLogLines;  // what the schedulers logged as errors
    std::map<std::string, std::uint64_t> counts;
    std::vector<std::string> actionLog;  // what was done, with times
    SchedulerProcess::Usage usage;       // of the processes' mean; descriptors at the end
    double worstLagMs = 0;               // of the harness itself: records are late by so much at most
};

Result run(const Options& options);
std::string report(const Result& result, const Options& options);
// The record, one event a line, by time.
std::string recordText(const Result& result);

}  // namespace spokewheel::soak
