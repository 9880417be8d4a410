#include "volume_entitlement.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace spokewheel {
namespace {

constexpr double kServedDecayMs = 2000;  // time constant of the served rate
constexpr double kUsageExpiryMs = 5000;  // after which a meter's figure is not used
constexpr double kUsageSmoothing = 0.3;  // of the running mean of the metered rate
constexpr std::size_t kMaxSeconds = 16;

}  // namespace

void VolumeEntitlement::onArrival(double units, Rates rates, double maxUnits, double nowMs) {
    const double elapsedMs = nowMs - refilledAtMs_;
    refilledAtMs_ = nowMs;
    reservedLevel_ = std::min(rates.reserved + maxUnits, reservedLevel_ + rates.reserved * elapsedMs / 1000);
    fairLevel_ = std::min(rates.fair + maxUnits, fairLevel_ + rates.fair * elapsedMs / 1000);
    const auto second = static_cast<std::int64_t>(nowMs / 1000);
    if (seconds_.empty() || seconds_.back().second != second) {
        if (seconds_.size() == kMaxSeconds) seconds_.erase(seconds_.begin());
        seconds_.push_back({second, 0, 0});
    }
    const double reserved = std::min(units, reservedLevel_);
    const double fair = std::min(units - reserved, fairLevel_);
    reservedLevel_ -= reserved;
    fairLevel_ -= fair;
    if (reserved < units) exceededAtMs_ = nowMs;
    seconds_.back().reserved += reserved;
    seconds_.back().fair += fair;
}

VolumeEntitlement::Second* VolumeEntitlement::forArrival(double arrivedMs) {
    const auto second = static_cast<std::int64_t>(arrivedMs / 1000);
    for (auto& entry : seconds_)
        if (entry.second == second) return &entry;
    return nullptr;
}

double VolumeEntitlement::servedRate(double nowMs) {
    servedUnits_ *= std::exp((servedAtMs_ - nowMs) / kServedDecayMs);
    servedAtMs_ = nowMs;
    return servedUnits_ / (kServedDecayMs / 1000);
}

void VolumeEntitlement::onServed(double units, double nowMs) {
    servedRate(nowMs);
    servedUnits_ += units;
}

void VolumeEntitlement::onUsage(double rate, double nowMs) {
    usageRate_ = usageRate_ < 0 ? rate : usageRate_ + kUsageSmoothing * (rate - usageRate_);
    usageAtMs_ = nowMs;
}

double VolumeEntitlement::trafficShare(int hosts, double nowMs) {
    if (hosts == 1) return 1;
    const double even = 1.0 / hosts;
    if (nowMs > usageAtMs_ + kUsageExpiryMs || usageRate_ <= 0) return even;
    return std::clamp(servedRate(nowMs) / usageRate_, even / 2, 1.0);
}

}  // namespace spokewheel
