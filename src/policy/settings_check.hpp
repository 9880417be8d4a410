// Checks that settings are in range and do not contradict each other. Throws std::invalid_argument that names
// the setting at fault.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>

#include "spokewheel/scheduler.hpp"

namespace spokewheel {

// Up to this number a double holds every whole number exactly.
constexpr double kMaxExactInteger = 9007199254740992.0;

inline void checkPlan(const Plan& plan, std::size_t index) {
    const auto check = [index](bool valid, const char* key) {
        if (valid) return;
        throw std::invalid_argument("setting 'plans': 'contracts." + std::to_string(index) + "." + key +
                                    "' is out of range");
    };
    const auto isAmount = [](double value) { return value >= 0 && value <= kMaxExactInteger; };
    check(isAmount(plan.limit), "limit");
    check(isAmount(plan.limitBurst), "limit-burst");
    check(isAmount(plan.slack), "slack");
    check(isAmount(plan.reservation), "reservation");
    check(isAmount(plan.weight), "shares");
    // Nothing could be drawn from a limit without a burst.
    check(plan.limit <= 0 || plan.limitBurst > 0, "limit-burst");
}

inline void validate(const Settings& settings) {
    const auto check = [](bool valid, const char* setting) {
        if (!valid) throw std::invalid_argument(std::string("setting '") + setting + "' is out of range");
    };
    const auto isFraction = [](double value) { return value >= 0 && value <= 1; };
    const auto isAmount = [](double value) { return value >= 0 && value <= kMaxExactInteger; };
    check(settings.hosts >= 1 && settings.rank >= 0 && settings.rank < settings.hosts, "hosts");
    check(settings.maxAttempts >= 1, "maxAttempts");
    check(isFraction(settings.retryBudgetShare) && isAmount(settings.retryBudgetFloor) &&
              isAmount(settings.retryBudgetSpanMs),
          "extraShare");
    check(isFraction(settings.coldShare) && isAmount(settings.coldUnits) && isAmount(settings.coldMs) &&
              isAmount(settings.overloadSpanMs),
          "coldShare");
    check(isFraction(settings.fairWorth), "fairWorth");
    check(isFraction(settings.spareWorth), "spareWorth");
    check(isAmount(settings.tickMs) && isAmount(settings.meanUnits) && isAmount(settings.maxUnits), "units");
    for (const auto& requestClass : settings.classes)
        check(isAmount(requestClass.latencyTargetMs) && isAmount(requestClass.deadlineMs) &&
                  isAmount(requestClass.keyRetentionMs) && isFraction(requestClass.lateWorth),
              "classes");
    for (std::size_t i = 0; i < settings.plans.size(); ++i) checkPlan(settings.plans[i], i);
}

}  // namespace spokewheel
