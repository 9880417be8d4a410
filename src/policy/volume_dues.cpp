#include "volume_dues.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace spokewheel {
namespace {

constexpr double kDecayMs = 2000;       // of what was served
constexpr double kMeterFreshMs = 5000;  // a meter's figure counts for so long
constexpr double kMeterStep = 0.3;      // of a running mean
constexpr std::size_t kSecondsMost = 16;

}  // namespace

void VolumeDues::arrive(double units, Rates rates, double maxUnits, double nowMs) {
    const double ms = nowMs - filledAtMs_;
    filledAtMs_ = nowMs;
    reserveStore_ = std::min(rates.reserve + maxUnits, reserveStore_ + rates.reserve * ms / 1000);
    fairStore_ = std::min(rates.fair + maxUnits, fairStore_ + rates.fair * ms / 1000);
    const auto second = static_cast<std::int64_t>(nowMs / 1000);
    if (seconds_.empty() || seconds_.back().at != second) seconds_.push_back({second, 0, 0});
    while (seconds_.size() > kSecondsMost) seconds_.pop_front();
    const double reserve = std::min(units, reserveStore_);
    const double fair = std::min(units - reserve, fairStore_);
    reserveStore_ -= reserve;
    fairStore_ -= fair;
    if (reserve < units) beyondAtMs_ = nowMs;
    seconds_.back().reserve += reserve;
    seconds_.back().fair += fair;
}

VolumeDues::Second* VolumeDues::of(double arrivedMs) {
    const auto second = static_cast<std::int64_t>(arrivedMs / 1000);
    for (auto& one : seconds_)
        if (one.at == second) return &one;
    return nullptr;
}

double VolumeDues::servedRate(double nowMs) {
    served_ *= std::exp((servedAtMs_ - nowMs) / kDecayMs);
    servedAtMs_ = nowMs;
    return served_ / (kDecayMs / 1000);
}

void VolumeDues::served(double units, double nowMs) {
    servedRate(nowMs);
    served_ += units;
}

void VolumeDues::metered(double rate, double nowMs) {
    metered_ = metered_ < 0 ? rate : metered_ + kMeterStep * (rate - metered_);
    meteredAtMs_ = nowMs;
}

double VolumeDues::fraction(int hosts, double nowMs) {
    if (hosts == 1) return 1;
    const double even = 1.0 / hosts;
    if (nowMs > meteredAtMs_ + kMeterFreshMs || metered_ <= 0) return even;
    return std::clamp(servedRate(nowMs) / metered_, even / 2, 1.0);
}

}  // namespace spokewheel
