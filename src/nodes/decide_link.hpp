// Which kept connection to a node takes the next exchange. Free of I/O and clocks; times in milliseconds.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace spokewheel::nodes {

// A node may close a connection right after an answer, or say more than belongs to it: a request written
// before that is seen ends as a reset, or takes what was meant for the one before. So a connection rests
// after its answer; of those that have rested the one used last is taken, for it is the least likely to have
// been closed as idle. Nothing: a new one is dialled.
inline std::optional<std::size_t> pickLink(const std::vector<double>& idleSince, double nowMs,
                                           double restMs) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < idleSince.size(); ++i)
        if (nowMs - idleSince[i] >= restMs && (!best || idleSince[i] >= idleSince[*best])) best = i;
    return best;
}

}  // namespace spokewheel::nodes
