#include "limit_share.hpp"

#include <algorithm>

namespace spokewheel {

void LimitShare::start(TokenBucket own, int hosts, double fromMs) {
    own_ = own;
    hosts_ = hosts;
    refilledAtMs_ = fromMs;
}

void LimitShare::setHosts(TokenBucket own, int hosts, double nowMs) {
    refill(nowMs);
    // The additional hosts may have sent requests ever since the last request that named fewer.
    if (hosts > hosts_) level_ -= refilledSinceRequest_ * (1 - static_cast<double>(hosts_) / hosts);
    own_ = own;
    hosts_ = hosts;
    refilledSinceRequest_ = 0;
}

void LimitShare::refill(double nowMs) {
    const double refilled = own_.rate * (nowMs - refilledAtMs_) / 1000;
    refilledAtMs_ = nowMs;
    leases_.erase(
        std::remove_if(leases_.begin(), leases_.end(),
                       [nowMs](const Lease& lease) { return lease.untilMs <= nowMs || lease.units <= 0; }),
        leases_.end());
    const double levelBefore = level_;
    level_ = std::min(std::max(0.0, own_.burst - reserved_), level_ + refilled);
    refilledSinceRequest_ += std::max(0.0, level_ - levelBefore);
}

double LimitShare::leased() const {
    double units = 0;
    for (const auto& lease : leases_) units += lease.units;
    return units;
}

void LimitShare::draw(double units) {
    // The own part first, since it refills; leases are mostly used up before they expire.
    const double fromOwn = std::min(units, std::max(0.0, level_));
    level_ -= fromOwn;
    units -= fromOwn;
    for (auto& lease : leases_) {
        const double drawn = std::min(units, lease.units);
        lease.units -= drawn;
        units -= drawn;
    }
    level_ -= units;
}

}  // namespace spokewheel
