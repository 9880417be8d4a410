// Checks the record of a soak run against the rules that every run has to keep. Free of I/O and clocks.
#pragma once

#include <string>
#include <vector>

#include "kit/soak/events.hpp"

namespace spokewheel::soak {

enum class Rule {
    OneAnswer,        // each request that was read gets exactly one answer, in time
    NoDoubleEffect,   // a request that may have run is not run again, unless its class allows it
    Drains,           // no attempt begins at a draining or removed server once the grace period is over
    SlowStart,        // a cold server receives no more work than it can take
    OrderPerKey,      // requests of an inOrder class and one key are sent one at a time
    RetryBudget,      // repeated attempts stay within the budget
    Limits,           // a volume gets no more units than its limit allows
    ClientGone,       // no attempt begins once the client has been gone for the grace period
    TimeoutPassedOn,  // the timeout in an attempt is no longer than the time that its client has left
    Malformed,        // a malformed request gets an error or a close in time
    Starts,           // a process gets ready in time, and exits only when it is stopped, with status 0
    Service,          // of what could be served, a minimum fraction is
    Invariants        // no scheduler logs a violated invariant
};
// The name of the rule in the report.
const char* nameOf(Rule rule);

struct RuleViolation {
    Rule rule = Rule::OneAnswer;
    double at = 0;
    int scheduler = -1;
    std::string request, detail;  // the id of the request, if there is one; what happened
};

// All violations, sorted by rule and then by time. `events` need not be sorted.
std::vector<RuleViolation> checkRecord(std::vector<Event> events, const Requirements& requirements);

}  // namespace spokewheel::soak
