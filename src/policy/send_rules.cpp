#include "send_rules.hpp"

#include <algorithm>

namespace spokewheel {
namespace {

constexpr double kRefuseAtShare = 0.48;  // fraction of a request's time to live

}  // namespace

bool maySendTo(const PendingRequest& pending, const Node& node) {
    if (pending.request.shard >= 0 && node.shard != pending.request.shard) return false;
    if (!pending.mayHaveRun || pending.requestClass->effect != Effect::ByKey) return true;
    if (pending.requestClass->group == Group::Cell) return node.shard == pending.boundShard;
    return pending.requestClass->group == Group::All || node.zone == pending.boundZone;
}

bool keyMayBeForgotten(const PendingRequest& pending, double nowMs) {
    return pending.mayHaveRun && pending.requestClass->effect == Effect::ByKey &&
           nowMs + kMaxPauseMs >= pending.mayHaveRunAt + pending.requestClass->keyRetentionMs;
}

bool mayRetry(const PendingRequest& pending, const Settings& settings, double nowMs) {
    if (nowMs + 2 * settings.tickMs >= pending.deadline) return false;
    if (static_cast<int>(pending.attempts.size()) >= settings.maxAttempts) return false;
    if (!pending.mayHaveRun) return true;
    if (pending.requestClass->effect == Effect::Once) return false;
    return !keyMayBeForgotten(pending, nowMs + kRejectedRetryMs);
}

double refuseAt(const PendingRequest& pending) {
    return std::max(pending.latencyTargetAt,
                    pending.arrivedAt + kRefuseAtShare * (pending.deadline - pending.arrivedAt));
}

bool safeToRefuse(const PendingRequest& pending) {
    return pending.requestClass->effect == Effect::Repeatable ||
           (!pending.mayHaveRun && pending.openAttempts == 0) ||
           (pending.requestClass->effect == Effect::ByKey && pending.requestClass->group == Group::All);
}

}  // namespace spokewheel
