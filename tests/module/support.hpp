// A host under test: feeds events at a clock, keeps what came back, and fires the reminders it asked for.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "spokewheel/scheduler.hpp"

namespace spokewheel::testing {

inline Settings plainSettings() {
    Settings s;
    s.hosts = 1;
    s.maxAttempts = 3;
    s.maySendToPeers = true;
    s.tickMs = 2;
    s.coldUnits = 6;
    s.coldMs = 16000;
    s.coldShare = 0.2;
    s.overloadFactor = 2;
    s.overloadSpanMs = 1000;
    s.answerGraceMs = 8;
    s.drainGraceMs = 1000;
    s.settleAfterDoubtMs = 100;
    s.meanUnits = 2;
    s.maxUnits = 6;
    s.fairWorth = 0.35;
    s.spareWorth = 0.05;
    const auto add = [&s](const char* name, Effect effect, Group group, bool inOrder) {
        RequestClass c;
        c.name = name;
        c.effect = effect;
        c.group = group;
        c.inOrder = inOrder;
        c.latencyTargetMs = 500;
        c.deadlineMs = 2500;
        c.keyRetentionMs = 1500;
        s.classes.push_back(c);
    };
    add("read", Effect::Repeatable, Group::All, false);
    add("once", Effect::Once, Group::All, false);
    add("keyed", Effect::ByKey, Group::Cell, false);
    add("ordered", Effect::ByKey, Group::Cell, true);
    Plan open;
    open.name = "open";
    open.nominal = 10;
    open.reservation = 5;
    s.plans.push_back(open);
    Plan limited = open;
    limited.name = "limited";
    limited.limit = 20;
    limited.limitBurst = 36;
    limited.slack = 6;
    s.plans.push_back(limited);
    return s;
}

inline NodeEntry node(const std::string& id, int shard, Lifecycle state = Lifecycle::Ready, double up = 0) {
    NodeEntry entry;
    entry.node = id;
    entry.shard = shard;
    entry.lifecycle = state;
    entry.cameUpMs = up;
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
            if (const auto* a = std::get_if<Attempt>(&action)) {
                sent.push_back(*a);
                sentAt.push_back(now);
                ++tries[a->id];
            } else if (const auto* r = std::get_if<Refuse>(&action)) {
                refused[r->id] = now;
                holdOff[r->id] = r->retryAfterMs;
            } else if (const auto* f = std::get_if<Fail>(&action)) {
                failed[f->id] = now;
            } else if (const auto* t = std::get_if<SendToPeers>(&action)) {
                told.push_back(*t);
            } else if (const auto* w = std::get_if<SetTimer>(&action)) {
                due_.push_back(now + w->afterMs);
            } else if (std::holds_alternative<Subscribe>(action)) {
                asked.push_back(now);
            }
        }
        return actions;
    }
    // Fires every reminder up to `until`.
    void runTo(double until) {
        for (;;) {
            const auto next = std::min_element(due_.begin(), due_.end());
            if (next == due_.end() || *next > until) return;
            const double at = *next;
            due_.erase(next);
            step(at, {Wake{}});
        }
    }
    void verdict(double now, const Attempt& a, Outcome outcome, bool ended = false, double took = 20) {
        AttemptEnded v;
        v.id = a.id;
        v.node = a.node;
        v.outcome = outcome;
        v.attempt = tries[a.id] - 1;
        v.tookMs = took;
        v.requestEnded = ended || outcome == Outcome::Served;
        step(now, {v});
    }

    bool mayBegin(double now, const std::string& id, int attempt) const {
        return scheduler_.mayBegin(now, id, attempt);
    }

    std::uint64_t unreadableMessages() const { return scheduler_.unreadableMessages(); }

    std::vector<Attempt> sent;
    std::vector<double> sentAt, asked;
    std::map<std::string, int> tries;
    std::map<std::string, double> refused, failed;
    std::map<std::string, double> holdOff;  // of what was refused
    std::vector<SendToPeers> told;

  private:
    Scheduler scheduler_;
    std::vector<double> due_;
};

}  // namespace spokewheel::testing
