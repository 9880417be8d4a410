// A scheduler under test: feeds it events, records its actions, and fires the timers that it sets.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "spokewheel/scheduler.hpp"

namespace spokewheel::testing {

inline Settings testSettings() {
    Settings settings;
    settings.hosts = 1;
    settings.maxAttempts = 3;
    settings.maySendToPeers = true;
    settings.tickMs = 2;
    settings.coldUnits = 6;
    settings.coldMs = 16000;
    settings.coldShare = 0.2;
    settings.overloadFactor = 2;
    settings.overloadSpanMs = 1000;
    settings.answerGraceMs = 8;
    settings.drainGraceMs = 1000;
    settings.settleAfterDoubtMs = 100;
    settings.meanUnits = 2;
    settings.maxUnits = 6;
    settings.fairWorth = 0.35;
    settings.spareWorth = 0.05;
    const auto add = [&settings](const char* name, Effect effect, Group group, bool inOrder) {
        RequestClass requestClass;
        requestClass.name = name;
        requestClass.effect = effect;
        requestClass.group = group;
        requestClass.inOrder = inOrder;
        requestClass.latencyTargetMs = 500;
        requestClass.deadlineMs = 2500;
        requestClass.keyRetentionMs = 1500;
        settings.classes.push_back(requestClass);
    };
    add("read", Effect::Repeatable, Group::All, false);
    add("once", Effect::Once, Group::All, false);
    add("keyed", Effect::ByKey, Group::Cell, false);
    add("ordered", Effect::ByKey, Group::Cell, true);
    Plan open;
    open.name = "open";
    open.nominal = 10;
    open.reservation = 5;
    settings.plans.push_back(open);
    Plan limited = open;
    limited.name = "limited";
    limited.limit = 20;
    limited.limitBurst = 36;
    limited.slack = 6;
    settings.plans.push_back(limited);
    return settings;
}

inline NodeEntry node(const std::string& id, int shard, Lifecycle state = Lifecycle::Ready, double up = 0) {
    NodeEntry entry;
    entry.node = id;
    entry.shard = shard;
    entry.lifecycle = state;
    entry.startedMs = up;
    return entry;
}

inline ListUpdate list(std::vector<NodeEntry> entries, ListForm form = ListForm::Full) {
    return {form, std::move(entries)};
}

inline Request request(const std::string& id, const std::string& kind, int shard, double units = 1) {
    Request r;
    r.id = id;
    r.requestClass = kind;
    r.plan = "open";
    r.ttlMs = 2500;
    r.units = units;
    r.shard = shard;
    r.volume = 7;
    return r;
}

class Host {
  public:
    explicit Host(const Settings& settings, std::uint64_t seed = 1) : scheduler_(settings, seed) {}

    std::vector<Action> step(double now, const std::vector<Event>& events) {
        auto actions = scheduler_.step(now, events);
        for (const auto& action : actions) {
            if (const auto* attempt = std::get_if<Attempt>(&action)) {
                sent.push_back(*attempt);
                sentAt.push_back(now);
                ++attemptCounts[attempt->id];
            } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
                refused[refuse->id] = now;
                retryAfterMs[refuse->id] = refuse->retryAfterMs;
            } else if (const auto* fail = std::get_if<Fail>(&action)) {
                failed[fail->id] = now;
            } else if (const auto* message = std::get_if<SendToPeers>(&action)) {
                outgoing.push_back(*message);
            } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
                timers_.push_back(now + timer->afterMs);
            } else if (std::holds_alternative<Subscribe>(action)) {
                subscribedAt.push_back(now);
            }
        }
        return actions;
    }
    // Fires all timers up to `until`.
    void runTo(double until) {
        for (;;) {
            const auto next = std::min_element(timers_.begin(), timers_.end());
            if (next == timers_.end() || *next > until) return;
            const double at = *next;
            timers_.erase(next);
            step(at, {Wake{}});
        }
    }
    void endAttempt(double now, const Attempt& attempt, Outcome outcome, bool requestEnded = false,
                    double durationMs = 20) {
        AttemptEnded result;
        result.id = attempt.id;
        result.node = attempt.node;
        result.outcome = outcome;
        result.attempt = attemptCounts[attempt.id] - 1;
        result.durationMs = durationMs;
        result.requestEnded = requestEnded || outcome == Outcome::Served;
        step(now, {result});
    }

    bool mayBegin(double now, const std::string& id, int attempt) const {
        return scheduler_.mayBegin(now, id, attempt);
    }

    std::uint64_t unreadableMessages() const { return scheduler_.unreadableMessages(); }

    std::vector<Attempt> sent;
    std::vector<double> sentAt, subscribedAt;
    std::map<std::string, int> attemptCounts;
    std::map<std::string, double> refused, failed;
    std::map<std::string, double> retryAfterMs;  // of refused requests
    std::vector<SendToPeers> outgoing;

  private:
    Scheduler scheduler_;
    std::vector<double> timers_;
};

}  // namespace spokewheel::testing
