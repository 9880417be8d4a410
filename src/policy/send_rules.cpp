#include "send_rules.hpp"

#include <algorithm>

namespace spokewheel {
namespace {

constexpr double kGiveUpPart = 0.48;  // of a request's time

}  // namespace

bool mayGoTo(const Held& held, const Node& node) {
    if (held.request.shard >= 0 && node.shard != held.request.shard) return false;
    if (!held.mayHaveRun || held.kind->effect != Effect::ByKey) return true;
    if (held.kind->group == Group::Cell) return node.shard == held.boundShard;
    return held.kind->group == Group::All || node.zone == held.boundZone;
}

bool forgottenByNodes(const Held& held, double nowMs) {
    return held.mayHaveRun && held.kind->effect == Effect::ByKey &&
           nowMs + kPauseMs >= held.mayRunAt + held.kind->keyRetentionMs;
}

bool mayRepeat(const Held& held, const Settings& settings, double nowMs) {
    if (nowMs + 2 * settings.tickMs >= held.deadline) return false;
    if (static_cast<int>(held.sent.size()) >= settings.maxAttempts) return false;
    if (!held.mayHaveRun) return true;
    if (held.kind->effect == Effect::Once) return false;
    return !forgottenByNodes(held, nowMs + kRetryMs);
}

double giveUpAt(const Held& held) {
    return std::max(held.aimAt, held.arrived + kGiveUpPart * (held.deadline - held.arrived));
}

bool harmlessToRefuse(const Held& held) {
    return held.kind->effect == Effect::Repeatable || (!held.mayHaveRun && held.open == 0) ||
           (held.kind->effect == Effect::ByKey && held.kind->group == Group::All);
}

}  // namespace spokewheel
