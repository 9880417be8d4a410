#include "quota_client.hpp"

#include <algorithm>
#include <numeric>

#include "quota_pool.hpp"

namespace spokewheel {
namespace {

constexpr double kAnswerWaitMs = 80, kSilenceMostMs = 2000;
constexpr int kTries = 2;
constexpr double kLeastLease = 0.1;  // units; the wire tells tenths

}  // namespace

std::optional<QuotaAsk> QuotaClient::next(const Need& need, QuotaAsk ask, double nowMs) {
    wanted_ = false;
    if (nowMs < answerDueMs_) return std::nullopt;
    if (ask_.seq != 0 && tries_ < kTries) return ask_;
    const bool second = pools_[0].askAgainAtMs > nowMs && pools_[1].askAgainAtMs < pools_[0].askAgainAtMs;
    ask.pool = second ? 1 : 0;
    if (nowMs < pools_[ask.pool].askAgainAtMs) return std::nullopt;
    const double least = *std::min_element(need.waiting.begin(), need.waiting.end());
    const double all = std::accumulate(need.waiting.begin(), need.waiting.end(), 0.0);
    ask.least = std::max(kLeastLease, least - need.held);
    ask.most = std::max(ask.least, std::min(all, need.credit) - need.held);
    ask_ = ask;
    askedAtMs_ = nowMs;
    tries_ = 0;
    return ask_;
}

void QuotaClient::sent(double nowMs, double answerWaitMs) {
    answerDueMs_ = nowMs + std::max(kAnswerWaitMs, answerWaitMs);
    if (++tries_ < kTries) return;
    auto& pool = pools_[ask_.pool];
    pool.askAgainAtMs = answerDueMs_ + pool.silenceMs;
    pool.silenceMs = std::min(kSilenceMostMs, std::max(kAnswerWaitMs, 2 * pool.silenceMs));
}

std::optional<double> QuotaClient::leasedUntil(const QuotaAnswer& answer, double nowMs) {
    if (!awaits(answer)) return std::nullopt;
    auto& pool = pools_[ask_.pool];
    ask_.seq = 0;
    answerDueMs_ = 0;
    pool.silenceMs = 0;
    pool.askAgainAtMs = nowMs;
    if (answer.units > 0) return askedAtMs_ + kQuotaLeaseMs;
    pool.askAgainAtMs += answer.retryAfterMs;
    pool.refused = {nowMs, ask_.least};
    return std::nullopt;
}

double QuotaClient::wakeAtMs(double nowMs) const {
    if (nowMs < answerDueMs_) return answerDueMs_;
    return std::min(pools_[0].askAgainAtMs, pools_[1].askAgainAtMs);
}

double QuotaClient::mostLeft(const LimitParts& parts, int hosts, double nowMs) const {
    double units = hosts * parts.own.burst;
    for (std::size_t i = 0; i < kPools; ++i) {
        const auto& refused = pools_[i].refused;
        const double filled = parts.pools[i].rate * (nowMs - refused.atMs) / 1000;
        units += std::min(parts.pools[i].burst, refused.units + filled);
    }
    return units;
}

}  // namespace spokewheel
