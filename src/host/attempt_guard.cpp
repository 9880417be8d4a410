#include "host/attempt_guard.hpp"

#include <algorithm>

namespace spokewheel::host {

using invariants::Violation;

namespace {

// The decision module's deadline is computed from the same one a moment later.
constexpr double kClockToleranceMs = 1;

bool neverRan(Outcome outcome) {
    return outcome == Outcome::Rejected || outcome == Outcome::NoConnection || outcome == Outcome::NotSent;
}
void forgetBefore(std::deque<double>& times, double from) {
    while (!times.empty() && times.front() <= from) times.pop_front();
}

}  // namespace

AttemptGuard::AttemptGuard(const Settings& settings, invariants::Monitor& monitor)
    : settings_(settings), monitor_(monitor) {}

void AttemptGuard::onList(const ListUpdate& update) {
    if (update.form == ListForm::Failed) return;
    if (update.form != ListForm::Delta) nodes_.clear();
    for (const auto& entry : update.entries) {
        if (entry.lifecycle == Lifecycle::Gone) nodes_.erase(entry.node);
        else nodes_[entry.node] = {entry.lifecycle == Lifecycle::Ready, entry.shard, entry.zone};
    }
}

void AttemptGuard::onTaken(const std::string& id, const std::string& requestClass, double deadline,
                           double nowMs) {
    auto& request = requests_[id];
    request.deadline = deadline;
    for (const auto& kind : settings_.classes)
        if (kind.name == requestClass) request.kind = &kind;
    if (settings_.retryBudgetSpanMs > 0) takenAt_.push_back(nowMs);
}

void AttemptGuard::onDeadline(double atMs) {
    for (auto& [id, request] : requests_) request.deadline = std::min(request.deadline, atMs);
}

void AttemptGuard::onAnswered(const std::string& id) {
    if (const auto found = requests_.find(id); found != requests_.end()) found->second.answered = true;
}

void AttemptGuard::onClientLeft(const std::string& id) {
    if (const auto found = requests_.find(id); found != requests_.end()) found->second.left = true;
}

bool AttemptGuard::withinBudget(double nowMs) {
    if (settings_.retryBudgetSpanMs <= 0) return true;
    forgetBefore(takenAt_, nowMs - settings_.retryBudgetSpanMs);
    forgetBefore(repeatedAt_, nowMs - settings_.retryBudgetSpanMs);
    return static_cast<double>(repeatedAt_.size() + 1) <=
           settings_.retryBudgetFloor + settings_.retryBudgetShare * static_cast<double>(takenAt_.size());
}

bool AttemptGuard::repeatAllowed(const Guarded& request, const std::string& id, const NodeState* node,
                                 double nowMs) {
    const Begun* ran = nullptr;
    for (const auto& begun : request.begun) {
        if (!monitor_.check(settings_.maySecondCopy || !begun.open, Violation::RepeatWhileAttemptOpen, id))
            return false;
        if (begun.mayHaveRun && !ran) ran = &begun;
    }
    if (!monitor_.check(withinBudget(nowMs), Violation::RepeatOverBudget, id)) return false;
    if (!ran || !request.kind || request.kind->effect == Effect::Repeatable) return true;
    if (!monitor_.check(request.kind->effect != Effect::Once, Violation::RepeatOfOnceRequest, id))
        return false;
    const bool remembers =
        request.kind->group == Group::All ||
        (node && (request.kind->group == Group::Cell ? node->shard == ran->shard : node->zone == ran->zone));
    if (!monitor_.check(remembers, Violation::RepeatOutsideKeyGroup, id)) return false;
    return monitor_.check(nowMs < ran->at + request.kind->keyRetentionMs, Violation::RepeatAfterKeyForgotten,
                          id);
}

bool AttemptGuard::mayBegin(const std::string& id, int attempt, const std::string& node, double nowMs) {
    const auto found = requests_.find(id);
    const bool open = found != requests_.end() && !found->second.answered;
    if (!monitor_.check(open, Violation::SendForEndedRequest, id, node)) return false;
    auto& request = found->second;
    if (!monitor_.check(!request.left, Violation::SendAfterClientLeft, id, node)) return false;
    if (!monitor_.check(nowMs < request.deadline + kClockToleranceMs, Violation::SendAfterDeadline, id, node))
        return false;
    const auto at = nodes_.find(node);
    const NodeState* state = at == nodes_.end() ? nullptr : &at->second;
    if (!monitor_.check(state && state->usable, Violation::SendToUnusableNode, id, node)) return false;
    const bool repeat = !request.begun.empty();
    if (repeat && !repeatAllowed(request, id, state, nowMs)) return false;
    if (repeat && settings_.retryBudgetSpanMs > 0) repeatedAt_.push_back(nowMs);
    request.begun.push_back({attempt, true, false, nowMs, state->shard, state->zone});
    return true;
}

void AttemptGuard::onEnded(const std::string& id, int attempt, Outcome outcome) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    for (auto& begun : found->second.begun)
        if (begun.attempt == attempt) {
            begun.open = false;
            begun.mayHaveRun = !neverRan(outcome);
        }
}

void AttemptGuard::onForgotten(const std::string& id) { requests_.erase(id); }

}  // namespace spokewheel::host
