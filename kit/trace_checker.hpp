// Judges a run by what passed on the sockets: records of storage nodes, of the list and of clients, on one
// monotonic clock. Never by a host's own word. Plain data in, verdicts out; no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace spokewheel::kit {

struct TraceRecord {
    enum class Kind {
        Arrive,   // an attempt reached a node
        Execute,  // the node did it
        Refuse,   // the node said that it will not: not executed
        Answer,   // the node answered
        Quiet,    // the node's dealing with it ended without an answer (cut, silent, dropped)
        Listed,   // the list told a state of a node
        Took,     // a client asked
        Ended,    // a client got an end of what it asked
        Killed,   // a host was killed
        Start,    // a node's record begins
        End       // a node's record ends in order
    } kind = Kind::Arrive;
    std::int64_t us = 0;
    std::string node, host, request, target, requestClass, words;
    int attempt = 0;
    std::int64_t volume = -1, key = -1, line = 0;
    double units = 0, withinMs = 0;
    bool write = false;
};

struct JudgedClass {
    bool once = false, inOrder = false;
};
struct JudgedVolume {
    double limit = 0, burst = 0, slack = 0;  // a limit of 0: none
};
struct RuleParameters {
    std::map<std::string, JudgedClass> classes;
    std::map<std::int64_t, JudgedVolume> volumes;
    double answerGraceMs = 50, drainGraceMs = 1000, settleMs = 100;
    double coldMs = 0, coldUnits = 0, coldShare = 0.2, tipMultiple = 2, fallMs = 1000, nodeUnitsPerS = 0;
    double extraFloor = 0, extraShare = 0, extraSpanMs = 0;  // a span of 0: no budget stated
};

enum class RuleStatus { Kept, Violated, NotChecked };
struct RuleResult {
    int rule = 0;
    std::string name;
    RuleStatus status = RuleStatus::Kept;
    std::size_t looked = 0;  // at how many records that the rule is about
    // The first breach, or why it was not judged.
    std::string request, host, words;
    std::int64_t us = 0;
};

std::vector<RuleResult> checkRules(std::vector<TraceRecord> records, const RuleParameters& figures);
std::string tell(const std::vector<RuleResult>& verdicts, std::int64_t fromUs);
bool anyBroken(const std::vector<RuleResult>& verdicts);
bool allKept(const std::vector<RuleResult>& verdicts);

// A node's trace as it was written; lines that can't be read, and numbers that leave gaps, are told.
struct Trace {
    std::vector<TraceRecord> records;
    std::string fault;
};
Trace parseTrace(const std::string& text);

}  // namespace spokewheel::kit
