// Which idle connection to a node the next request reuses. Free of I/O and clocks; times in milliseconds.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <optional>
#include <vector>

namespace spokewheel::nodes {

// How long a connection may have idled and still be reused. Some networks drop idle connections without
// notice: the next request on one ends in a reset, and a request that may run only once is lost by that.
// Learns from the share of requests lost by the time that their connections had idled, compared with that on
// new connections. What it has learned fades, so that idle connections are tried again once the network has
// recovered.
class IdleReusePolicy {
  public:
    bool mayReuse(double idledMs) const {
        const auto& c = counts_[bucketOf(idledMs)];
        return c.total < kMinRequests || c.lost / c.total <= lostShare(counts_[0]) + kToleratedExcess;
    }
    // A request ended on a connection that had idled for `idledMs` before it; negative: a new connection.
    // `lost`: the connection broke after the request had been written.
    void recordExchange(double idledMs, bool lost, double nowMs) {
        const double fade = std::exp2(-(nowMs - fadedAtMs_) / kHalfLifeMs);
        if (nowMs > fadedAtMs_ + kFadeStepMs) {
            for (auto& c : counts_) c.total *= fade, c.lost *= fade;
            fadedAtMs_ = nowMs;
        }
        auto& c = counts_[idledMs < 0 ? 0 : bucketOf(idledMs)];
        c.total += 1;
        c.lost += lost;
    }

  private:
    struct Count {
        double total = 0, lost = 0;
    };
    static constexpr double kMinRequests = 6, kToleratedExcess = 0.12, kHalfLifeMs = 5000, kFadeStepMs = 250;
    static double lostShare(const Count& c) { return c.total > 0 ? c.lost / c.total : 0; }
    // Index into `counts_`, 0 being for new connections. 1: under 8 ms, then one for each doubling, 13: from
    // 16 s on.
    static std::size_t bucketOf(double idledMs) {
        return static_cast<std::size_t>(std::clamp(std::log2(std::max(idledMs, 1.0)) - 1, 1.0, 13.0));
    }
    std::array<Count, 14> counts_;
    double fadedAtMs_ = 0;
};

// A connection attempt that fails at once for a local reason says nothing about the node and is repeated.
// Together with the connection time-out this stays within the time that the retry budget allows between a
// decision and its first byte (500 ms).
constexpr double kRedialDelayMs = 15, kRedialPeriodMs = 150;

// Picks the idle connection to reuse, by index; none: a new one is made. A node may close a connection right
// after a response, or send more than belongs to it: a request written before that is noticed ends in a
// reset, or is given the surplus as its response. So a connection is not reused for `reuseDelayMs` after its
// response. Of the others the most recently used one is taken, as it is the least likely to have been closed
// for idleness.
inline std::optional<std::size_t> pickIdleLink(const std::vector<double>& idleSince, double nowMs,
                                               double reuseDelayMs) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < idleSince.size(); ++i)
        if (nowMs - idleSince[i] >= reuseDelayMs && (!best || idleSince[i] >= idleSince[*best])) best = i;
    return best;
}

}  // namespace spokewheel::nodes
