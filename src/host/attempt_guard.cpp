#include "host/attempt_guard.hpp"

#include <algorithm>

namespace spokewheel::host {

using invariants::Violation;

namespace {

// The scheduler is given the remaining time a moment later than the guard, so its deadline may be later too.
constexpr double kClockToleranceMs = 1;

void dropBefore(std::deque<double>& times, double from) {
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

void AttemptGuard::onSubmitted(const std::string& id, const std::string& requestClass, double deadline,
                               double nowMs) {
    auto& request = requests_[id];
    request.deadline = deadline;
    for (const auto& candidate : settings_.classes)
        if (candidate.name == requestClass) request.requestClass = &candidate;
    if (settings_.retryBudgetSpanMs <= 0) return;
    dropBefore(submittedAt_, nowMs - settings_.retryBudgetSpanMs);
    submittedAt_.push_back(nowMs);
}

void AttemptGuard::onDeadline(double atMs) {
    for (auto& [id, request] : requests_) request.deadline = std::min(request.deadline, atMs);
}

void AttemptGuard::onAnswered(const std::string& id) {
    if (const auto found = requests_.find(id); found != requests_.end()) found->second.answered = true;
}

void AttemptGuard::onClientLeft(const std::string& id) {
    if (const auto found = requests_.find(id); found != requests_.end()) found->second.clientLeft = true;
}

bool AttemptGuard::withinRetryBudget(double nowMs) {
    if (settings_.retryBudgetSpanMs <= 0) return true;
    dropBefore(submittedAt_, nowMs - settings_.retryBudgetSpanMs);
    dropBefore(repeatedAt_, nowMs - settings_.retryBudgetSpanMs);
    return static_cast<double>(repeatedAt_.size() + 1) <=
           settings_.retryBudgetFloor + settings_.retryBudgetShare * static_cast<double>(submittedAt_.size());
}

bool AttemptGuard::repeatAllowed(const RequestRecord& request, const std::string& id, const NodeState* node,
                                 double nowMs) {
    const AttemptRecord* firstRun = nullptr;
    for (const auto& record : request.attempts) {
        if (!monitor_.check(settings_.maySecondCopy || !record.open, Violation::RepeatWhileAttemptOpen, id))
            return false;
        if (record.mayHaveRun && !firstRun) firstRun = &record;
    }
    if (!monitor_.check(withinRetryBudget(nowMs), Violation::RepeatOverBudget, id)) return false;
    if (!firstRun || !request.requestClass || request.requestClass->effect == Effect::Repeatable) return true;
    if (!monitor_.check(request.requestClass->effect != Effect::Once, Violation::RepeatOfOnceRequest, id))
        return false;
    const bool sameKeyGroup =
        request.requestClass->group == Group::All ||
        (node && (request.requestClass->group == Group::Cell ? node->shard == firstRun->shard
                                                             : node->zone == firstRun->zone));
    if (!monitor_.check(sameKeyGroup, Violation::RepeatOutsideKeyGroup, id)) return false;
    return monitor_.check(nowMs < firstRun->beganMs + request.requestClass->keyRetentionMs,
                          Violation::RepeatAfterKeyForgotten, id);
}

bool AttemptGuard::mayBegin(const std::string& id, int attempt, const std::string& node, double nowMs) {
    const auto found = requests_.find(id);
    const bool open = found != requests_.end() && !found->second.answered;
    if (!monitor_.check(open, Violation::SendForEndedRequest, id, node)) return false;
    auto& request = found->second;
    if (!monitor_.check(!request.clientLeft, Violation::SendAfterClientLeft, id, node)) return false;
    if (!monitor_.check(nowMs < request.deadline + kClockToleranceMs, Violation::SendAfterDeadline, id, node))
        return false;
    const auto at = nodes_.find(node);
    const NodeState* state = at == nodes_.end() ? nullptr : &at->second;
    if (!monitor_.check(state && state->ready, Violation::SendToUnusableNode, id, node)) return false;
    const bool repeat = !request.attempts.empty();
    if (repeat && !repeatAllowed(request, id, state, nowMs)) return false;
    if (repeat && settings_.retryBudgetSpanMs > 0) repeatedAt_.push_back(nowMs);
    request.attempts.push_back({attempt, true, false, nowMs, state->shard, state->zone});
    return true;
}

void AttemptGuard::onEnded(const std::string& id, int attempt, Outcome outcome) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    for (auto& record : found->second.attempts)
        if (record.attempt == attempt) {
            record.open = false;
            record.mayHaveRun = !hasNotRun(outcome);
        }
}

void AttemptGuard::onRemoved(const std::string& id) { requests_.erase(id); }

}  // namespace spokewheel::host
