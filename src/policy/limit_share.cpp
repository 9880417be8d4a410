#include "limit_share.hpp"

#include <algorithm>

namespace spokewheel {

void LimitShare::begin(TokenBucket own, int hosts, double fromMs) {
    own_ = own;
    hosts_ = hosts;
    filledAtMs_ = fromMs;
}

void LimitShare::seen(TokenBucket own, int hosts, double nowMs) {
    refill(nowMs);
    // The other hosts may have worked since the last request told fewer of them.
    if (hosts > hosts_) level_ -= earnedUnseen_ * (1 - static_cast<double>(hosts_) / hosts);
    own_ = own;
    hosts_ = hosts;
    earnedUnseen_ = 0;
}

void LimitShare::refill(double nowMs) {
    const double filled = own_.rate * (nowMs - filledAtMs_) / 1000;
    filledAtMs_ = nowMs;
    while (!leases_.empty() && leases_.front().untilMs <= nowMs) leases_.pop_front();
    const double before = level_;
    level_ = std::min(std::max(0.0, own_.burst - reserved_), level_ + filled);
    earnedUnseen_ += std::max(0.0, level_ - before);
}

double LimitShare::leased() const {
    double units = 0;
    for (const auto& lease : leases_) units += lease.units;
    return units;
}

void LimitShare::draw(double units) {
    // The own part first, which fills again: what leases have left is used before they end in most cases.
    const double ofOwn = std::min(units, std::max(0.0, level_));
    level_ -= ofOwn;
    units -= ofOwn;
    for (auto& lease : leases_) {
        const double part = std::min(units, lease.units);
        lease.units -= part;
        units -= part;
    }
    level_ -= units;
}

}  // namespace spokewheel
