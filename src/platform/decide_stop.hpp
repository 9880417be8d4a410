// The schedule of a graceful shutdown. Free of I/O and clocks; times are milliseconds after the SIGTERM.
#pragma once

#include <algorithm>
#include <vector>

#include "spokewheel/scheduler.hpp"

namespace spokewheel::platform {

// The platform kills the process after the longest deadline of any class, counted as 3 s if it is longer,
// plus 0.7 s. New connections arrive for up to 0.4 s; clients go on using connections that stay open, and
// many have no other scheduler. So each kept connection is served for as long as a new request on it can
// still be answered.
struct ShutdownPlan {
    // From here on each answer closes its connection and idle connections are closed; the process exits once
    // no connection is left.
    double closeFromMs = 0;
    // Requests that arrive after the SIGTERM are answered by then, even if their clients allow more time.
    double answerByMs = 0;
    // Clients whose connection attempt fails go elsewhere; clients that get a connection to a stopping
    // process keep coming back.
    double listenUntilMs = 0;
};

inline ShutdownPlan shutdownPlan(const std::vector<RequestClass>& classes) {
    constexpr double kMaxDeadlineMs = 3000, kKillAfterDeadlineMs = 700;
    constexpr double kMinServeMs = 700;     // kept connections are served this long if the kill allows it
    constexpr double kKillReserveMs = 400;  // between the last answer and the kill: a busy core may be late
    constexpr double kLastRequestMs = 250;  // time that the last accepted request has left
    constexpr double kMinListenMs = 450;    // new connections are expected this long
    double longest = 0;
    for (const auto& c : classes) longest = std::max(longest, c.deadlineMs);
    const double killMs = std::min(longest, kMaxDeadlineMs) + kKillAfterDeadlineMs;
    ShutdownPlan plan;
    // Applies however short the deadlines are: no request may still be open at the kill, which comes at least
    // 0.7 s after the SIGTERM.
    plan.answerByMs = killMs - kKillReserveMs;
    plan.closeFromMs =
        std::clamp(plan.answerByMs - kLastRequestMs, std::min(kMinServeMs, plan.answerByMs), plan.answerByMs);
    plan.listenUntilMs = std::max(plan.closeFromMs, kMinListenMs);
    return plan;
}

}  // namespace spokewheel::platform
