// Holds the record of a soak run to the seven rules and the standing terms. Pure: no I/O, no clock.
#pragma once

#include <string>
#include <vector>

#include "kit/soak/events.hpp"

namespace spokewheel::soak {

enum class Rule {
    OneAnswer,
    NoDoubleEffect,
    Drains,
    SlowStart,
    OrderPerKey,
    RetryBudget,
    Limits,
    ClientGone,
    TimeoutPassedOn,
    Malformed,
    Starts,
    Service,
    Invariants
};
const char* nameOf(Rule rule);

struct RuleViolation {
    Rule rule = Rule::OneAnswer;
    double at = 0;
    int scheduler = -1;
    std::string request, detail;
};

// Every breach, in order of time within each rule. `events` need not be sorted.
std::vector<RuleViolation> checkRecord(std::vector<Event> events, const Requirements& requirements);

}  // namespace spokewheel::soak
