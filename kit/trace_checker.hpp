// Checks the records of a run against the rules of the gateway. The records come from the storage nodes, the
// writer of the node list and the clients, all on one monotonic clock; nothing that a host reports is used.
// Data in, results out; no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace spokewheel::kit {

struct TraceRecord {
    enum class Kind {
        Arrived,          // an attempt reached a node
        Executed,         // the node executed it, or found it executed before
        Refused,          // the node answered that it does not execute it
        Answered,         // the node answered
        EndedUnanswered,  // the node is done with it without an answer (connection cut, silent, dropped)
        NodeListed,       // the node list shows a new state of a node
        ClientRequested,  // a client sent a request
        ClientAnswered,   // a client got the answer to a request
        HostKilled,       // a host was killed
        TraceStart,       // the first line of a node's trace; again after each restart
        TraceEnd          // the last line of a node's trace if it was stopped gracefully
    } kind = Kind::Arrived;
    std::int64_t timeUs = 0;
    // `detail`: of NodeListed the state, of Answered "served" if it was, of TraceStart "again" after a
    // restart.
    std::string node, host, request, target, requestClass, detail;
    int attempt = 0;
    std::int64_t volume = -1, key = -1, line = 0;
    double units = 0;
    double timeToAnswerMs = 0;  // of ClientRequested: within which the answer is due
    bool write = false;         // stored something new
};

struct ClassRules {
    bool once = false, inOrder = false;
};
struct VolumeLimit {
    double limit = 0, burst = 0, slack = 0;  // units per second, units, units; a limit of 0: none
};
// The settings that the hosts of the run had; see spokewheel/scheduler.hpp.
struct RuleParameters {
    std::map<std::string, ClassRules> classes;
    std::map<std::int64_t, VolumeLimit> volumes;
    double answerGraceMs = 50, drainGraceMs = 1000, settleMs = 100;
    double coldMs = 0, coldUnits = 0, coldShare = 0.2, overloadFactor = 2, overloadSpanMs = 1000;
    double nodeUnitsPerS = 0;                                                  // that a warm node completes
    double retryBudgetFloor = 0, retryBudgetShare = 0, retryBudgetSpanMs = 0;  // a span of 0: no budget
};

enum class RuleStatus { Kept, Violated, NotChecked };
struct RuleResult {
    int rule = 0;
    std::string name;
    RuleStatus status = RuleStatus::Kept;
    std::size_t recordsChecked = 0;
    // Of the first violation. Of a rule that was not checked only `detail`: the reason.
    std::string request, host, detail;
    std::int64_t timeUs = 0;
};

// The results of all rules, in order of their numbers. `records` need not be sorted.
std::vector<RuleResult> checkRules(std::vector<TraceRecord> records, const RuleParameters& parameters);
// One line for each rule; times are relative to `startUs`.
std::string formatResults(const std::vector<RuleResult>& results, std::int64_t startUs);
bool anyViolated(const std::vector<RuleResult>& results);
bool allKept(const std::vector<RuleResult>& results);

// A parsed trace of a storage node. `error`: the first unreadable line, gap in the line numbers or missing
// end; empty if the trace is complete.
struct Trace {
    std::vector<TraceRecord> records;
    std::string error;
};
Trace parseTrace(const std::string& text);

}  // namespace spokewheel::kit
