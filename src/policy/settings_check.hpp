// Refuses settings that contradict themselves, naming the one at fault.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>

#include "spokewheel/scheduler.hpp"

namespace spokewheel {

// The largest whole number up to which a double holds all.
constexpr double kMostExact = 9007199254740992.0;

inline void checkPlan(const Plan& plan, std::size_t place) {
    const auto check = [place](bool fine, const char* key) {
        if (fine) return;
        throw std::invalid_argument("setting 'plans': 'contracts." + std::to_string(place) + "." + key +
                                    "' is out of range");
    };
    const auto amount = [](double x) { return x >= 0 && x <= kMostExact; };
    check(amount(plan.limit), "limit");
    check(amount(plan.limitBurst), "limit-burst");
    check(amount(plan.slack), "slack");
    check(amount(plan.reservation), "reservation");
    check(amount(plan.weight), "shares");
    // A limit without a store could never be drawn from.
    check(plan.limit <= 0 || plan.limitBurst > 0, "limit-burst");
}

inline void validate(const Settings& s) {
    const auto check = [](bool fine, const char* setting) {
        if (!fine) throw std::invalid_argument(std::string("setting '") + setting + "' is out of range");
    };
    const auto share = [](double x) { return x >= 0 && x <= 1; };
    const auto amount = [](double x) { return x >= 0 && x <= kMostExact; };
    check(s.hosts >= 1 && s.rank >= 0 && s.rank < s.hosts, "hosts");
    check(s.maxAttempts >= 1, "maxAttempts");
    check(share(s.retryBudgetShare) && amount(s.retryBudgetFloor) && amount(s.retryBudgetSpanMs),
          "extraShare");
    check(share(s.coldShare) && amount(s.coldUnits) && amount(s.coldMs) && amount(s.overloadSpanMs),
          "coldShare");
    check(share(s.fairWorth), "fairWorth");
    check(share(s.spareWorth), "spareWorth");
    check(amount(s.tickMs) && amount(s.meanUnits) && amount(s.maxUnits), "units");
    for (const auto& c : s.classes)
        check(amount(c.latencyTargetMs) && amount(c.deadlineMs) && amount(c.keyRetentionMs) &&
                  share(c.lateWorth),
              "classes");
    for (std::size_t i = 0; i < s.plans.size(); ++i) checkPlan(s.plans[i], i);
}

}  // namespace spokewheel
