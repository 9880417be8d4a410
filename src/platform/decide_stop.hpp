// The course of a planned stop. Free of I/O and clocks; times are milliseconds after the SIGTERM.
#pragma once

#include <algorithm>
#include <vector>

#include "spokewheel/scheduler.hpp"

namespace spokewheel::platform {

// The platform kills no sooner than the longest deadline, taken as 3 s where it is longer, and 0.7 s more.
// New connections keep coming for up to 0.4 s; clients go on using those that stay open, and many have no
// other scheduler to go to: each kept connection is served for as long as a request that comes on it can
// still be answered.
struct StopPlan {
    double closeFromMs =
        0;  // answers end their connections, idle ones are closed; the program ends once none is open
    double answerByMs = 0;  // what comes after the SIGTERM has its answer by here, whatever its client allows
    // Clients that can't connect go elsewhere; ones that find a process that ends come back again and again.
    double listenUntilMs = 0;
};

inline StopPlan stopPlan(const std::vector<RequestClass>& classes) {
    constexpr double kMostDeadlineMs = 3000, kKillMs = 700;
    constexpr double kServedMs = 700;   // kept connections are served so long, where the kill allows it
    constexpr double kReserveMs = 400;  // between the last answer and the kill: a busy core may be late
    constexpr double kLastMs = 250;     // what a request that comes last is left with
    constexpr double kNewMs = 450;      // new connections are expected so long
    double longest = 0;
    for (const auto& c : classes) longest = std::max(longest, c.deadlineMs);
    const double killMs = std::min(longest, kMostDeadlineMs) + kKillMs;
    StopPlan plan;
    // Whatever the deadlines: nothing may be left for the kill, which comes 0.7 s after the SIGTERM at the
    // least.
    plan.answerByMs = killMs - kReserveMs;
    plan.closeFromMs =
        std::clamp(plan.answerByMs - kLastMs, std::min(kServedMs, plan.answerByMs), plan.answerByMs);
    plan.listenUntilMs = std::max(plan.closeFromMs, kNewMs);
    return plan;
}

}  // namespace spokewheel::platform
