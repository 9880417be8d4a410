#include "quota_client.hpp"

#include <algorithm>
#include <numeric>

#include "quota_pool.hpp"

namespace spokewheel {
namespace {

constexpr double kMinResponseWaitMs = 80, kMaxBackoffMs = 2000;
constexpr int kMaxTries = 2;
constexpr double kMinLeaseUnits = 0.1;  // the resolution of the messages

}  // namespace

std::optional<QuotaRequest> QuotaClient::nextRequest(const Need& need, QuotaRequest request, double nowMs) {
    wanted_ = false;
    if (nowMs < responseDueMs_) return std::nullopt;
    if (request_.seq != 0 && tries_ < kMaxTries) return request_;
    const bool useSecond = pools_[0].retryAtMs > nowMs && pools_[1].retryAtMs < pools_[0].retryAtMs;
    request.pool = useSecond ? 1 : 0;
    if (nowMs < pools_[request.pool].retryAtMs) return std::nullopt;
    const double smallest = *std::min_element(need.waiting.begin(), need.waiting.end());
    const double total = std::accumulate(need.waiting.begin(), need.waiting.end(), 0.0);
    request.minUnits = std::max(kMinLeaseUnits, smallest - need.available);
    request.maxUnits = std::max(request.minUnits, std::min(total, need.credit) - need.available);
    request_ = request;
    requestedAtMs_ = nowMs;
    tries_ = 0;
    return request_;
}

void QuotaClient::onRequestSent(double nowMs, double responseWaitMs) {
    responseDueMs_ = nowMs + std::max(kMinResponseWaitMs, responseWaitMs);
    if (++tries_ < kMaxTries) return;
    auto& pool = pools_[request_.pool];
    pool.retryAtMs = responseDueMs_ + pool.backoffMs;
    pool.backoffMs = std::min(kMaxBackoffMs, std::max(kMinResponseWaitMs, 2 * pool.backoffMs));
}

std::optional<double> QuotaClient::onResponse(const QuotaResponse& response, double nowMs) {
    if (!isAwaited(response)) return std::nullopt;
    auto& pool = pools_[request_.pool];
    request_.seq = 0;
    responseDueMs_ = 0;
    pool.backoffMs = 0;
    pool.retryAtMs = nowMs;
    if (response.units > 0) return requestedAtMs_ + kQuotaLeaseMs;
    pool.retryAtMs += response.retryAfterMs;
    pool.lastRefusal = {nowMs, request_.minUnits};
    return std::nullopt;
}

double QuotaClient::wakeAtMs(double nowMs) const {
    if (nowMs < responseDueMs_) return responseDueMs_;
    return std::min(pools_[0].retryAtMs, pools_[1].retryAtMs);
}

double QuotaClient::maxUnitsLeft(const LimitParts& parts, int hosts, double nowMs) const {
    double units = hosts * parts.own.burst;
    for (std::size_t i = 0; i < kPoolsPerVolume; ++i) {
        const auto& lastRefusal = pools_[i].lastRefusal;
        const double refilled = parts.pools[i].rate * (nowMs - lastRefusal.atMs) / 1000;
        units += std::min(parts.pools[i].burst, lastRefusal.units + refilled);
    }
    return units;
}

}  // namespace spokewheel
