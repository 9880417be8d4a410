// Which kept connection to a node takes the next exchange. Free of I/O and clocks; times in milliseconds.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <optional>
#include <vector>

namespace spokewheel::nodes {

// How long a kept connection may idle before it is better dialled anew. Some networks drop what idles without
// a word: the next request ends as a reset, and one that may run only once is lost by it. Learned from what
// came of exchanges by the time that their connection had idled, against fresh ones; what was learned fades,
// so that a network that has mended is tried again.
class IdleReusePolicy {
  public:
    bool mayReuse(double idledMs) const {
        const auto& c = counts_[place(idledMs)];
        return c.total < kKnown || c.lost / c.total <= share(counts_[0]) + kWorse;
    }
    // `idledMs` below zero: a fresh connection. `lost`: cut after the request had been written.
    void recordExchange(double idledMs, bool lost, double nowMs) {
        const double fade = std::exp2(-(nowMs - at_) / kHalfLifeMs);
        if (nowMs > at_ + kStepMs) {
            for (auto& c : counts_) c.total *= fade, c.lost *= fade;
            at_ = nowMs;
        }
        auto& c = counts_[idledMs < 0 ? 0 : place(idledMs)];
        c.total += 1;
        c.lost += lost;
    }

  private:
    struct Count {
        double total = 0, lost = 0;
    };
    static constexpr double kKnown = 6, kWorse = 0.12, kHalfLifeMs = 5000, kStepMs = 250;
    static double share(const Count& c) { return c.total > 0 ? c.lost / c.total : 0; }
    // 1: under 8 ms, then one for each doubling, the last from 16 s on.
    static std::size_t place(double idledMs) {
        return static_cast<std::size_t>(std::clamp(std::log2(std::max(idledMs, 1.0)) - 1, 1.0, 13.0));
    }
    std::array<Count, 14> counts_;
    double at_ = 0;
};

// A dial that fails at once for a reason of this machine is tried again: no node is to blame. Together with a
// dial's own time it stays within what the retry budget allows between a decision and its first byte (500
// ms).
constexpr double kDialAgainMs = 15, kDialAgainForMs = 150;

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
