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

// A node may send more than belongs to a response: a second copy of it, or noise, some time later and only
// while it has no request on the connection. What arrives before the next request is written is noticed. What
// is on its way by then arrives sooner after it than the way there and back takes, which a response to the
// request can't.
struct ReuseRules {
    double reuseDelayMs = 0;  // a connection is not reused for that long after a response
    // After that long nothing more of the previous exchange is expected; 0: at once.
    double settledAfterMs = 0;
    // How long after a surplus the connections to its node are used for one request each.
    double surplusMemoryMs = 0;
};

// What is known of the exchanges with one node.
class NodeExchanges {
  public:
    // The first byte of a response came `exchangeMs` after its request was begun to be written, on a
    // connection on which it can't have been anything else.
    void onResponseBegan(double exchangeMs, double nowMs) {
        if (nowMs >= spanStartedMs_ + kSpanMs) {
            previousLeastMs_ = nowMs < spanStartedMs_ + 2 * kSpanMs ? leastMs_ : std::nullopt;
            leastMs_.reset();
            spanStartedMs_ = nowMs;
        }
        leastMs_ = std::min(leastMs_.value_or(exchangeMs), exchangeMs);
    }
    void onSurplus(double nowMs) { surplusAtMs_ = nowMs; }
    bool surplusIsNew(const ReuseRules& rules, double nowMs) const {
        return surplusAtMs_ && nowMs - *surplusAtMs_ < rules.surplusMemoryMs;
    }
    // The shortest exchange of late, which took the way there and back at least. Nothing if none is known.
    std::optional<double> leastMs(double nowMs) const {
        if (nowMs >= spanStartedMs_ + 2 * kSpanMs) return std::nullopt;
        if (!leastMs_ || !previousLeastMs_) return leastMs_ ? leastMs_ : previousLeastMs_;
        return std::min(*leastMs_, *previousLeastMs_);
    }

  private:
    static constexpr double kSpanMs = 10000;
    double spanStartedMs_ = -1e18;
    std::optional<double> leastMs_, previousLeastMs_;  // of this span of time and of the one before
    std::optional<double> surplusAtMs_;
};

// An idle connection that is reused.
struct Reuse {
    std::size_t index = 0;
    // What arrives sooner than this after the request is begun to be written is no response to it; 0: all is.
    double notBeforeMs = 0;
};

// Picks the idle connection to reuse; none: a new one is made. Of those that have settled the most recently
// used one is taken, as it is the least likely to have been closed for idleness. Others only do if what
// belongs to the previous exchange would be recognised, and if the request may be sent again then.
inline std::optional<Reuse> pickIdleLink(const std::vector<double>& idleSince, double nowMs,
                                         const ReuseRules& rules, const NodeExchanges& node,
                                         bool repeatable) {
    if (node.surplusIsNew(rules, nowMs)) return std::nullopt;
    const auto mostRecent = [&](double idleMs) {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < idleSince.size(); ++i)
            if (nowMs - idleSince[i] >= idleMs && (!best || idleSince[i] >= idleSince[*best])) best = i;
        return best;
    };
    if (const auto settled = mostRecent(std::max(rules.reuseDelayMs, rules.settledAfterMs)))
        return Reuse{*settled, 0};
    // A response may be faster than any of late, but hardly twice as fast.
    constexpr double kFastestResponse = 0.5;
    const auto leastMs = node.leastMs(nowMs);
    const auto recent = repeatable && leastMs ? mostRecent(rules.reuseDelayMs) : std::nullopt;
    return recent ? std::optional(Reuse{*recent, kFastestResponse * *leastMs}) : std::nullopt;
}

}  // namespace spokewheel::nodes
