#include "kit/soak/record_checker.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <iterator>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace spokewheel::soak {
namespace {

using Kind = EventKind;

std::string ms(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.0f ms", value);
    return text;
}

// A process of a scheduler, from its start to its end.
struct ProcessLifetime {
    double from = 0, until = std::numeric_limits<double>::infinity();
    double readyAt = std::numeric_limits<double>::infinity();
    double stopAt = std::numeric_limits<double>::infinity();
    bool killed = false;
};

class RecordChecker {
  public:
    RecordChecker(std::vector<Event> events, const Requirements& requirements)
        : events_(std::move(events)), requirements_(requirements) {
        std::stable_sort(events_.begin(), events_.end(),
                         [](const Event& a, const Event& b) { return a.at < b.at; });
        for (const auto& event : events_) {
            end_ = std::max(end_, event.at);
            noteLifetime(event);
        }
    }
    std::vector<RuleViolation> run() {
        oneAnswer();
        noDoubleEffect();
        drains();
        slowStart();
        orderPerKey();
        retryBudget();
        limits();
        clientGone();
        timeoutPassedOn();
        malformed();
        starts();
        service();
        limitedService();
        for (const auto& event : events_)
            if (event.kind == Kind::Violation) addViolation(Rule::Invariants, event, event.detail);
        return std::move(violations_);
    }

  private:
    void addViolation(Rule rule, const Event& event, const std::string& words) {
        violations_.push_back({rule, event.at, event.scheduler, event.request, words});
    }
    void noteLifetime(const Event& event) {
        static const std::set<Kind> kOfProcesses = {Kind::ProcessStarted, Kind::ProcessReady,
                                                    Kind::StopRequested, Kind::Killed, Kind::Exited};
        if (!kOfProcesses.count(event.kind)) return;
        auto& life = lifetimes_[{event.scheduler, event.process}];
        if (event.kind == Kind::ProcessStarted) life.from = event.at;
        if (event.kind == Kind::ProcessReady) life.readyAt = std::min(life.readyAt, event.at);
        if (event.kind == Kind::StopRequested) life.stopAt = event.at;
        if (event.kind == Kind::Killed || event.kind == Kind::Exited) {
            life.until = event.at;
            life.killed = event.kind == Kind::Killed;
        }
    }
    // Whether the process to which the request was sent was killed outright before its answer was due. A kill
    // that ends a planned stop excuses nothing: what it finds unanswered is lost.
    bool killedBefore(const Event& sent, double due) const {
        const auto found = lifetimes_.find({sent.scheduler, sent.process});
        if (found == lifetimes_.end()) return false;
        const auto& life = found->second;
        return life.killed && life.until <= due && life.stopAt > life.until;
    }
    const ClassSemantics* semanticsOf(const std::string& name) const {
        for (const auto& one : requirements_.classes)
            if (one.name == name) return &one;
        return nullptr;
    }

    // Rule 1 and "every request taken has one answer": one end at its client, in time, made by a server where
    // it is 200; no request that was read is dropped; nothing begins for it after its end.
    void oneAnswer() {
        std::map<std::string, const Event*> sent;
        std::map<std::string, double> answeredAt;
        std::set<std::string> excused;
        for (const auto& event : events_) {
            if (event.kind == Kind::RequestSent) sent[event.request] = &event;
            if (event.kind == Kind::ClientLeft || event.kind == Kind::AnswerBroken)
                excused.insert(event.request);
            if (event.kind == Kind::Answered && !event.request.empty()) {
                if (!answeredAt.emplace(event.request, event.at).second)
                    addViolation(Rule::OneAnswer, event, "a second answer");
                const auto found = sent.find(event.request);
                if (found == sent.end()) addViolation(Rule::OneAnswer, event, "an answer without a request");
                else if (event.at > dueAt(*found->second))
                    addViolation(Rule::OneAnswer, event,
                                 "answered " + ms(event.at - found->second->at) + " after the request");
                if (event.status == 200 && !event.genuine)
                    addViolation(Rule::OneAnswer, event, "served with what no server made for it");
            }
            if (event.kind == Kind::ConnectionEnded && !event.request.empty()) {
                if (event.read && !excused.count(event.request) && !answeredAt.count(event.request) &&
                    !killedBefore(event, event.at + requirements_.toleranceMs))
                    addViolation(Rule::OneAnswer, event, "read, and its connection ended without an answer");
                excused.insert(event.request);
            }
            if (event.kind == Kind::AttemptBegan) {
                const auto found = answeredAt.find(event.request);
                if (found != answeredAt.end() && event.at > found->second + requirements_.toleranceMs)
                    addViolation(Rule::OneAnswer, event,
                                 "sent " + ms(event.at - found->second) + " after its end");
            }
        }
        for (const auto& [request, event] : sent)
            if (!answeredAt.count(request) && !excused.count(request) && dueAt(*event) < end_ &&
                !killedBefore(*event, dueAt(*event)))
                addViolation(Rule::OneAnswer, *event, "no answer");
    }
    double dueAt(const Event& sent) const {
        return sent.at + sent.timeoutMs + requirements_.answerGraceMs + requirements_.toleranceMs;
    }

    // Rule 2. What a killed process had out counts like the rest: a client's retry has another id.
    void noDoubleEffect() {
        struct Run {
            double at = 0;
            std::string zone;
        };
        std::map<std::string, int> executed;
        std::map<std::string, Run> mayHaveRun;
        std::set<int> notExecuted;
        for (const auto& event : events_)
            if (event.kind == Kind::NotExecuted) notExecuted.insert(event.attempt);
        for (const auto& event : events_) {
            const auto* kind = semanticsOf(event.requestClass);
            if (event.kind == Kind::AttemptWhole && kind && (kind->once || kind->byKey)) {
                const auto before = mayHaveRun.find(event.request);
                if (before != mayHaveRun.end())
                    checkRepeat(event, *kind, before->second.at, before->second.zone);
                else if (!notExecuted.count(event.attempt))
                    mayHaveRun[event.request] = {event.at, event.zone};
            }
            if (event.kind == Kind::Executed && kind && kind->once && ++executed[event.request] > 1)
                addViolation(Rule::NoDoubleEffect, event, "executed twice");
            if (event.kind == Kind::Answered && event.status == 503 && kind && kind->once &&
                mayHaveRun.count(event.request))
                addViolation(Rule::NoDoubleEffect, event, "refused though it may have run");
        }
    }
    void checkRepeat(const Event& event, const ClassSemantics& kind, double ranAt, const std::string& zone) {
        if (kind.once) return addViolation(Rule::NoDoubleEffect, event, "sent again though it may have run");
        if (event.zone != zone) return addViolation(Rule::NoDoubleEffect, event, "repeated in another zone");
        if (event.at > ranAt + kind.keyRetentionMs + requirements_.toleranceMs)
            addViolation(Rule::NoDoubleEffect, event,
                         "repeated " + ms(event.at - ranAt) + " after it may have run");
    }

    void drains() {
        std::map<std::pair<int, std::string>, double> told;
        for (const auto& event : events_) {
            if (event.kind == Kind::ServerStarted)
                for (auto it = told.begin(); it != told.end();)
                    it = it->first.second == event.server ? told.erase(it) : std::next(it);
            if (event.kind == Kind::Notified)
                told.emplace(std::make_pair(event.scheduler, event.server), event.at);
            if (event.kind != Kind::AttemptBegan) continue;
            const auto found = told.find({event.scheduler, event.server});
            if (found != told.end() &&
                event.at > found->second + requirements_.drainGraceMs + requirements_.toleranceMs)
                addViolation(Rule::Drains, event,
                             "at " + event.server + " " + ms(event.at - found->second) + " after the notice");
        }
    }

    // Calls of mean work in any fall time: N + 2 sqrt(N) + 2, under 30: N + 3 sqrt(N) + 3.
    void slowStart() {
        if (requirements_.coldMs <= 0) return;
        std::map<std::string, std::deque<std::pair<double, double>>> windows;
        for (const auto& event : events_) {
            if (event.kind == Kind::ServerStarted) windows[event.server].clear();
            if (event.kind != Kind::AttemptWhole || !event.cold) continue;
            auto& window = windows[event.server];
            window.emplace_back(event.at, event.units);
            while (window.front().first < event.at - requirements_.overloadSpanMs) window.pop_front();
            double units = 0;
            for (const auto& [at, one] : window) units += one;
            const double share =
                requirements_.coldShare +
                (1 - requirements_.coldShare) * std::min(1.0, event.ageMs / requirements_.coldMs);
            const double allowed = std::max(requirements_.coldUnits, requirements_.overloadFactor * share *
                                                                         requirements_.serverUnitsPerS *
                                                                         requirements_.overloadSpanMs / 1000);
            const double n = allowed / requirements_.meanUnits, root = std::sqrt(n);
            const double most = n < 30 ? n + 3 * root + 3 : n + 2 * root + 2;
            if (units / requirements_.meanUnits > most)
                addViolation(Rule::SlowStart, event,
                             std::to_string(static_cast<int>(units)) + " units at " + event.server + ", " +
                                 ms(event.ageMs) + " old, " +
                                 std::to_string(static_cast<int>(most * requirements_.meanUnits)) +
                                 " allowed");
        }
    }

    void orderPerKey() {
        struct Turn {
            std::map<int, std::string> open;  // attempt, request
            double restUntil = 0;
            std::string restFor;
        };
        std::map<std::tuple<int, int, std::string>, Turn> turns;
        std::set<int> ended;
        for (const auto& event : events_) {
            const auto* kind = semanticsOf(event.requestClass);
            if (!kind || !kind->inOrder) continue;
            auto& turn = turns[{event.scheduler, event.process, event.key}];
            if (event.kind == Kind::AttemptWhole) {
                for (const auto& [attempt, request] : turn.open)
                    if (request != event.request)
                        addViolation(Rule::OrderPerKey, event, "while " + request + " of its key is out");
                if (event.at + requirements_.toleranceMs < turn.restUntil)
                    addViolation(Rule::OrderPerKey, event, "while its key rests for " + turn.restFor);
                turn.open[event.attempt] = event.request;
            }
            if (event.kind == Kind::AttemptEnded) {
                if (turn.open.erase(event.attempt) && event.detail != "answered") {
                    turn.restUntil = event.at + requirements_.settleAfterDoubtMs;
                    turn.restFor = event.request;
                }
            }
        }
    }

    void retryBudget() {
        if (requirements_.retryBudgetSpanMs <= 0) return;
        std::map<std::pair<int, int>, std::deque<double>> taken, extra;
        std::set<std::string> seen;
        for (const auto& event : events_) {
            const std::pair<int, int> process{event.scheduler, event.process};
            if (event.kind == Kind::RequestSent) taken[process].push_back(event.at);
            if (event.kind != Kind::AttemptWhole || seen.insert(event.request).second) continue;
            auto &repeats = extra[process], &requests = taken[process];
            repeats.push_back(event.at);
            const double from = event.at - requirements_.retryBudgetSpanMs;
            while (!repeats.empty() && repeats.front() <= from) repeats.pop_front();
            while (!requests.empty() && requests.front() <= from - requirements_.toleranceMs)
                requests.pop_front();
            if (static_cast<double>(repeats.size()) >
                requirements_.retryBudgetFloor +
                    requirements_.retryBudgetShare * static_cast<double>(requests.size()))
                addViolation(Rule::RetryBudget, event,
                             std::to_string(repeats.size()) + " repeats, " + std::to_string(requests.size()) +
                                 " requests in the span");
        }
    }

    VolumeLimit limitOf(const std::string& volume) const {
        const auto found = requirements_.volumes.find(volume);
        return found != requirements_.volumes.end()
                   ? found->second
                   : VolumeLimit{requirements_.limit, requirements_.burst, requirements_.slack};
    }
    // First sends of all schedulers, and of all lives of each, against each limited volume's store.
    void limits() {
        struct Store {
            double level = 0, filledAt = 0;
        };
        std::map<std::string, Store> stores;
        std::set<std::string> drawn;
        for (const auto& event : events_) {
            if (event.kind != Kind::AttemptWhole || event.volume.empty()) continue;
            if (!drawn.insert(event.request).second) continue;
            const auto limit = limitOf(event.volume);
            if (limit.rate <= 0) continue;
            auto& store = stores.emplace(event.volume, Store{limit.burst, event.at}).first->second;
            const double filled = store.level + limit.rate * (event.at - store.filledAt) / 1000;
            store.level = std::min(limit.burst, filled) - event.units;
            store.filledAt = event.at;
            const double slack = limit.slack + limit.rate * requirements_.timeoutSlackMs / 1000;
            if (store.level < -slack - 1e-9)
                addViolation(Rule::Limits, event,
                             "volume " + event.volume + " at " + std::to_string(store.level) + " units");
        }
    }

    void clientGone() {
        std::map<std::string, double> left;
        for (const auto& event : events_) {
            if (event.kind == Kind::ClientLeft) left.emplace(event.request, event.at);
            if (event.kind != Kind::AttemptBegan) continue;
            const auto found = left.find(event.request);
            if (found != left.end() &&
                event.at > found->second + requirements_.clientGoneGraceMs + requirements_.toleranceMs)
                addViolation(Rule::ClientGone, event,
                             "begun " + ms(event.at - found->second) + " after its client left");
        }
    }

    void timeoutPassedOn() {
        std::map<std::string, double> overAt;
        for (const auto& event : events_) {
            if (event.kind == Kind::RequestSent) overAt[event.request] = event.at + event.timeoutMs;
            if (event.kind != Kind::AttemptWhole) continue;
            const auto found = overAt.find(event.request);
            if (found == overAt.end()) continue;
            const double left = found->second - event.at;
            // An attempt never tells less than 1 ms.
            if (event.timeoutMs >
                std::max(left, 1.0) + requirements_.timeoutSlackMs + requirements_.toleranceMs)
                addViolation(Rule::TimeoutPassedOn, event,
                             "told " + ms(event.timeoutMs) + " with " + ms(left) + " left");
        }
    }

    void malformed() {
        std::map<int, const Event*> open;
        for (const auto& event : events_) {
            if (event.kind == Kind::Malformed) open[event.connection] = &event;
            const auto found = open.find(event.connection);
            if (event.kind != Kind::MalformedEnded || found == open.end()) continue;
            if (event.at > found->second->at + requirements_.malformedTimeoutMs + requirements_.toleranceMs)
                addViolation(Rule::Malformed, event, "told off after " + ms(event.at - found->second->at));
            open.erase(found);
        }
        for (const auto& [connection, event] : open)
            if (event->at + requirements_.malformedTimeoutMs + requirements_.toleranceMs < end_ &&
                !killedBefore(*event, event->at + requirements_.malformedTimeoutMs))
                addViolation(Rule::Malformed, *event, "neither an error nor a close");
    }

    void starts() {
        for (const auto& [who, life] : lifetimes_) {
            if (who.first < 0) continue;
            Event event;
            event.scheduler = who.first;
            event.at = life.from;
            const double due = life.from + requirements_.readyTimeoutMs;
            if (life.readyAt > due && life.until > due && life.stopAt > due && end_ > due)
                addViolation(Rule::Starts, event, "not ready after " + ms(requirements_.readyTimeoutMs));
        }
        for (const auto& event : events_) {
            if (event.kind != Kind::Exited) continue;
            const auto& life = lifetimes_.at({event.scheduler, event.process});
            // One that is told to stop before it can take the signal ends by it, and has taken nothing.
            const bool beforeItBegan = event.status == kEndedBySigterm && life.readyAt > event.at;
            if (life.stopAt > event.at || (event.status != 0 && !beforeItBegan))
                addViolation(Rule::Starts, event, "ended with status " + std::to_string(event.status));
        }
    }

    // Spans in which something was in trouble, by whom.
    using ImpairedSpans = std::map<std::string, std::vector<std::pair<double, double>>>;
    static bool within(const ImpairedSpans& troubles, const std::string& who, double from, double until) {
        const auto found = troubles.find(who);
        if (found == troubles.end()) return false;
        return std::any_of(found->second.begin(), found->second.end(),
                           [&](const auto& span) { return span.first <= until && span.second >= from; });
    }
    ImpairedSpans troublesOf(Kind kind) const {
        ImpairedSpans out;
        for (const auto& event : events_) {
            if (event.kind != kind) continue;
            auto& spans = out[kind == Kind::CellState ? event.server : std::to_string(event.scheduler)];
            const bool open = !spans.empty() && spans.back().second > end_;
            if (event.status == 0 && !open) spans.emplace_back(event.at, end_ + 1);
            if (event.status == 1 && open) spans.back().second = event.at;
        }
        return out;
    }
    bool couldBeServed(const Event& sent, const ImpairedSpans& cells, const ImpairedSpans& schedulers) const {
        const double due = sent.at + sent.timeoutMs;
        const auto life = lifetimes_.find({sent.scheduler, sent.process});
        if (life == lifetimes_.end() || sent.cell < 0 || sent.timeoutMs < requirements_.minTimeoutMs)
            return false;
        const auto& process = life->second;
        return process.readyAt <= sent.at && process.until > due && process.stopAt > due && due <= end_ &&
               !within(cells, std::to_string(sent.cell), sent.at, due) &&
               !within(schedulers, std::to_string(sent.scheduler), sent.at, due);
    }
    // A scheduler that refused all would keep every other rule.
    void service() {
        struct Count {
            std::size_t asked = 0, served = 0;
        };
        const auto cells = troublesOf(Kind::CellState), schedulers = troublesOf(Kind::SchedulerState);
        std::set<std::string> served, left;
        for (const auto& event : events_) {
            if (event.kind == Kind::Answered && event.status == 200) served.insert(event.request);
            if (event.kind == Kind::ClientLeft) left.insert(event.request);
        }
        std::map<std::string, Count> classes;
        for (const auto& event : events_) {
            if (event.kind != Kind::RequestSent || left.count(event.request) || event.limited) continue;
            if (!couldBeServed(event, cells, schedulers)) continue;
            auto& count = classes[event.requestClass];
            ++count.asked;
            count.served += served.count(event.request);
        }
        for (const auto& [name, count] : classes) {
            const double least = requirements_.minServedFraction * static_cast<double>(count.asked);
            if (count.asked < requirements_.minRequests || static_cast<double>(count.served) >= least)
                continue;
            Event event;
            event.at = end_;
            event.requestClass = name;
            addViolation(Rule::Service, event,
                         "class " + name + ": " + std::to_string(count.served) + " served of " +
                             std::to_string(count.asked) + " that could be");
        }
    }

    // What a limit allows is served too: of each volume that is asked for without pause, against what was
    // asked and what its limit gives to the schedulers that were well, in the time in which they were asked.
    void limitedService() {
        struct Count {
            double asked = 0, served = 0;
            std::map<int, std::set<long>> slots;  // in which a scheduler was asked
        };
        constexpr double kSlotMs = 200;
        const auto cells = troublesOf(Kind::CellState), schedulers = troublesOf(Kind::SchedulerState);
        std::set<std::string> served;
        for (const auto& event : events_)
            if (event.kind == Kind::Answered && event.status == 200) served.insert(event.request);
        std::map<std::string, Count> volumes;
        for (const auto& event : events_) {
            if (event.kind != Kind::RequestSent || requirements_.volumes.count(event.volume) == 0) continue;
            if (!couldBeServed(event, cells, schedulers)) continue;
            auto& count = volumes[event.volume];
            count.asked += event.units;
            count.slots[event.scheduler].insert(static_cast<long>(event.at / kSlotMs));
        }
        // What was served of the volume meanwhile, also for cells in trouble, is drawn from the same limit.
        for (const auto& event : events_) {
            if (event.kind != Kind::RequestSent || served.count(event.request) == 0) continue;
            const auto found = volumes.find(event.volume);
            if (found == volumes.end()) continue;
            auto& count = found->second;
            if (count.slots[event.scheduler].count(static_cast<long>(event.at / kSlotMs)) > 0)
                count.served += event.units;
        }
        for (const auto& [name, count] : volumes) {
            const auto& limit = requirements_.volumes.at(name);
            double seconds = 0;
            for (const auto& [scheduler, slots] : count.slots)
                seconds += static_cast<double>(slots.size()) * kSlotMs / 1000;
            const double due = std::min(count.asked, limit.rate / limit.hosts * seconds);
            if (due < requirements_.minUnits || count.served >= requirements_.minServedFraction * due)
                continue;
            Event event;
            event.at = end_;
            addViolation(Rule::Service, event,
                         "volume " + name + ": " + std::to_string(count.served) + " units served of " +
                             std::to_string(due) + " within its limit");
        }
    }

    static constexpr int kEndedBySigterm = 128 + 15;
    std::vector<Event> events_;
    const Requirements& requirements_;
    std::map<std::pair<int, int>, ProcessLifetime> lifetimes_;
    std::vector<RuleViolation> violations_;
    double end_ = 0;
};

}  // namespace

const char* nameOf(EventKind kind) {
    static constexpr const char* kNames[] = {
        "request_sent",    "answered",        "answer_broken", "connection_ended", "client_left",
        "malformed",       "malformed_ended", "attempt_began", "attempt_whole",    "executed",
        "not_executed",    "attempt_ended",   "notified",      "server_started",   "process_started",
        "process_ready",   "stop_requested",  "killed",        "exited",           "cell_state",
        "scheduler_state", "violation"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(EventKind::Violation) + 1);
    return kNames[static_cast<std::size_t>(kind)];
}

const char* nameOf(Rule rule) {
    static constexpr const char* kNames[] = {"one answer",        "no double effect", "drains", "slow start",
                                             "order per key",     "retry budget",     "limits", "client gone",
                                             "timeout passed on", "malformed client", "starts", "service",
                                             "invariants"};
    return kNames[static_cast<std::size_t>(rule)];
}

std::vector<RuleViolation> checkRecord(std::vector<Event> events, const Requirements& requirements) {
    return RecordChecker(std::move(events), requirements).run();
}

}  // namespace spokewheel::soak
