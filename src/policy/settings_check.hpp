// Refuses settings that contradict themselves, naming the one at fault.
#pragma once

#include <cmath>
#include <stdexcept>
#include <string>

#include "spokewheel/scheduler.hpp"

namespace spokewheel {

inline void validate(const Settings& s) {
    const auto check = [](bool fine, const char* setting) {
        if (!fine) throw std::invalid_argument(std::string("setting '") + setting + "' is out of range");
    };
    const auto share = [](double x) { return x >= 0 && x <= 1; };
    const auto amount = [](double x) { return x >= 0 && std::isfinite(x); };
    check(s.hosts >= 1 && s.rank >= 0 && s.rank < s.hosts, "hosts");
    check(s.maxAttempts >= 1, "maxAttempts");
    check(share(s.extraShare) && amount(s.extraFloor) && amount(s.extraSpanMs), "extraShare");
    check(share(s.coldShare) && amount(s.coldUnits) && amount(s.coldMs) && amount(s.fallMs), "coldShare");
    check(share(s.fairWorth), "fairWorth");
    check(share(s.spareWorth), "spareWorth");
    check(amount(s.tickMs) && amount(s.meanUnits) && amount(s.topUnits), "units");
    for (const auto& c : s.classes)
        check(amount(c.aimMs) && amount(c.deadlineMs) && amount(c.memorySpanMs) && share(c.lateWorth),
              "classes");
    for (const auto& p : s.plans) {
        check(amount(p.limit) && amount(p.limitBurst) && amount(p.reservation) && amount(p.weight), "plans");
        check(p.limit <= 0 || p.limitBurst > 0,
              "plans");  // a limit without a store could never be drawn from
    }
}

}  // namespace spokewheel
