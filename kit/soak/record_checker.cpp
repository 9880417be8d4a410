#include "kit/soak/record_checker.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "kit/soak/process_lifetimes.hpp"

namespace spokewheel::soak {
namespace {

using Kind = EventKind;

std::string msText(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.0f ms", value);
    return text;
}

class RecordChecker {
  public:
    RecordChecker(std::vector<Event> events, const Requirements& requirements)
        : events_(std::move(events)), requirements_(requirements) {
        std::stable_sort(events_.begin(), events_.end(),
                         [](const Event& a, const Event& b) { return a.at < b.at; });
        for (const auto& event : events_) {
            end_ = std::max(end_, event.at);
            lifetimes_.note(event);
        }
    }
    std::vector<RuleViolation> run() {
        checkOneAnswer();
        checkNoDoubleEffect();
        checkDrains();
        checkSlowStart();
        checkOrderPerKey();
        checkRetryBudget();
        checkLimits();
        checkClientGone();
        checkTimeoutPassedOn();
        checkMalformed();
        checkStarts();
        checkService();
        checkLimitedService();
        for (const auto& event : events_)
            if (event.kind == Kind::Violation) addViolation(Rule::Invariants, event, event.detail);
        return std::move(violations_);
    }

  private:
    void addViolation(Rule rule, const Event& event, const std::string& detail) {
        violations_.push_back({rule, event.at, event.scheduler, event.request, detail});
    }
    const ClassSemantics* semanticsOf(const std::string& name) const {
        for (const auto& semantics : requirements_.classes)
            if (semantics.name == name) return &semantics;
        return nullptr;
    }

    // Each request that was read gets one answer, in time; a 200 answer was produced by a server; no attempt
    // begins after the answer.
    void checkOneAnswer() {
        std::map<std::string, const Event*> sent;
        std::map<std::string, double> answeredAt;
        std::set<std::string> excused;
        for (const auto& event : events_) {
            if (event.kind == Kind::RequestSent) sent[event.request] = &event;
            if (event.kind == Kind::ClientLeft || event.kind == Kind::AnswerBroken)
                excused.insert(event.request);
            if (event.kind == Kind::AnswerBroken && wasCut(event, sent))
                addViolation(Rule::OneAnswer, event, "the scheduler ended its connection in the answer");
            if (event.kind == Kind::Answered && !event.request.empty()) {
                if (!answeredAt.emplace(event.request, event.at).second)
                    addViolation(Rule::OneAnswer, event, "second answer");
                const auto found = sent.find(event.request);
                if (found == sent.end()) addViolation(Rule::OneAnswer, event, "answer without a request");
                else if (event.at > dueAt(*found->second))
                    addViolation(Rule::OneAnswer, event,
                                 "answered " + msText(event.at - found->second->at) + " after the request");
                if (event.status == 200 && !event.genuine)
                    addViolation(Rule::OneAnswer, event,
                                 "200 answer that no server produced for this request");
            }
            if (event.kind == Kind::ConnectionEnded && !event.request.empty()) {
                if (event.read && !excused.count(event.request) && !answeredAt.count(event.request) &&
                    !lifetimes_.killedBefore(event, event.at + requirements_.toleranceMs))
                    addViolation(Rule::OneAnswer, event, "read, but the connection ended without an answer");
                excused.insert(event.request);
            }
            if (event.kind == Kind::AttemptBegan) {
                const auto found = answeredAt.find(event.request);
                if (found != answeredAt.end() && event.at > found->second + requirements_.toleranceMs)
                    addViolation(Rule::OneAnswer, event,
                                 "attempt began " + msText(event.at - found->second) + " after the answer");
            }
        }
        for (const auto& [request, event] : sent)
            if (!answeredAt.count(request) && !excused.count(request) && dueAt(*event) < end_ &&
                !lifetimes_.killedBefore(*event, dueAt(*event)))
                addViolation(Rule::OneAnswer, *event, "no answer");
    }
    // Whether a scheduler that goes on running broke off an answer in time. It has all of an answer before it
    // begins to pass it on, so that no disk server's trouble excuses it.
    bool wasCut(const Event& broken, const std::map<std::string, const Event*>& sent) const {
        const auto request = sent.find(broken.request);
        if (request == sent.end() || broken.at > dueAt(*request->second)) return false;
        return lifetimes_.ranOnUntil(broken, broken.at + requirements_.toleranceMs);
    }
    double dueAt(const Event& sent) const {
        return sent.at + sent.timeoutMs + requirements_.answerGraceMs + requirements_.toleranceMs;
    }

    // Attempts of killed processes count like all others: a client that retries uses a new request id.
    void checkNoDoubleEffect() {
        struct Execution {
            double at = 0;
            std::string zone;
        };
        std::map<std::string, int> executed;
        std::map<std::string, Execution> possiblyExecuted;
        std::set<int> notExecuted;
        for (const auto& event : events_)
            if (event.kind == Kind::NotExecuted) notExecuted.insert(event.attempt);
        for (const auto& event : events_) {
            const auto* semantics = semanticsOf(event.requestClass);
            if (event.kind == Kind::AttemptWhole && semantics && (semantics->once || semantics->byKey)) {
                const auto before = possiblyExecuted.find(event.request);
                if (before != possiblyExecuted.end())
                    checkRepeat(event, *semantics, before->second.at, before->second.zone);
                else if (!notExecuted.count(event.attempt))
                    possiblyExecuted[event.request] = {event.at, event.zone};
            }
            if (event.kind == Kind::Executed && semantics && semantics->once && ++executed[event.request] > 1)
                addViolation(Rule::NoDoubleEffect, event, "executed twice");
            if (event.kind == Kind::Answered && event.status == 503 && semantics && semantics->once &&
                possiblyExecuted.count(event.request))
                addViolation(Rule::NoDoubleEffect, event, "refused although it may have run");
        }
    }
    void checkRepeat(const Event& event, const ClassSemantics& semantics, double ranAt,
                     const std::string& zone) {
        if (semantics.once)
            return addViolation(Rule::NoDoubleEffect, event, "sent again although it may have run");
        if (event.zone != zone) return addViolation(Rule::NoDoubleEffect, event, "repeated in another zone");
        if (event.at > ranAt + semantics.keyRetentionMs + requirements_.toleranceMs)
            addViolation(Rule::NoDoubleEffect, event,
                         "repeated " + msText(event.at - ranAt) + " after it may have run");
    }

    void checkDrains() {
        std::map<std::pair<int, std::string>, double> notified;
        for (const auto& event : events_) {
            if (event.kind == Kind::ServerStarted)
                for (auto it = notified.begin(); it != notified.end();)
                    it = it->first.second == event.server ? notified.erase(it) : std::next(it);
            if (event.kind == Kind::Notified)
                notified.emplace(std::make_pair(event.scheduler, event.server), event.at);
            if (event.kind != Kind::AttemptBegan) continue;
            const auto found = notified.find({event.scheduler, event.server});
            if (found != notified.end() &&
                event.at > found->second + requirements_.drainGraceMs + requirements_.toleranceMs)
                addViolation(Rule::Drains, event,
                             "attempt at " + event.server + " " + msText(event.at - found->second) +
                                 " after the drain notice");
        }
    }

    // Where the settings allow N requests of mean size in an overload span, a cold server may get
    // N + 2 sqrt(N) + 2 of them, or N + 3 sqrt(N) + 3 if N is below 30.
    void checkSlowStart() {
        if (requirements_.coldMs <= 0) return;
        std::map<std::string, std::deque<std::pair<double, double>>> windows;
        for (const auto& event : events_) {
            if (event.kind == Kind::ServerStarted) windows[event.server].clear();
            if (event.kind != Kind::AttemptWhole || !event.cold) continue;
            auto& window = windows[event.server];
            window.emplace_back(event.at, event.units);
            while (window.front().first < event.at - requirements_.overloadSpanMs) window.pop_front();
            double units = 0;
            for (const auto& [at, added] : window) units += added;
            const double share =
                requirements_.coldShare +
                (1 - requirements_.coldShare) * std::min(1.0, event.ageMs / requirements_.coldMs);
            const double allowed = std::max(requirements_.coldUnits, requirements_.overloadFactor * share *
                                                                         requirements_.serverUnitsPerS *
                                                                         requirements_.overloadSpanMs / 1000);
            const double requests = allowed / requirements_.meanUnits, root = std::sqrt(requests);
            const double maxRequests = requests < 30 ? requests + 3 * root + 3 : requests + 2 * root + 2;
            if (units / requirements_.meanUnits > maxRequests)
                addViolation(Rule::SlowStart, event,
                             std::to_string(static_cast<int>(units)) + " units at " + event.server + ", " +
                                 msText(event.ageMs) + " after its start, " +
                                 std::to_string(static_cast<int>(maxRequests * requirements_.meanUnits)) +
                                 " allowed");
        }
    }

    void checkOrderPerKey() {
        struct KeyState {
            std::map<int, std::string> open;  // attempt, request
            double pausedUntil = 0;
            std::string pausedAfter;
        };
        std::map<std::tuple<int, int, std::string>, KeyState> keyStates;
        std::set<int> ended;
        for (const auto& event : events_) {
            const auto* semantics = semanticsOf(event.requestClass);
            if (!semantics || !semantics->inOrder) continue;
            auto& keyState = keyStates[{event.scheduler, event.process, event.key}];
            if (event.kind == Kind::AttemptWhole) {
                for (const auto& [attempt, request] : keyState.open)
                    if (request != event.request)
                        addViolation(Rule::OrderPerKey, event,
                                     "sent while " + request + " of the same key is open");
                if (event.at + requirements_.toleranceMs < keyState.pausedUntil)
                    addViolation(Rule::OrderPerKey, event,
                                 "sent in the pause of its key after " + keyState.pausedAfter);
                keyState.open[event.attempt] = event.request;
            }
            if (event.kind == Kind::AttemptEnded) {
                if (keyState.open.erase(event.attempt) && event.detail != "answered") {
                    keyState.pausedUntil = event.at + requirements_.settleAfterDoubtMs;
                    keyState.pausedAfter = event.request;
                }
            }
        }
    }

    void checkRetryBudget() {
        if (requirements_.retryBudgetSpanMs <= 0) return;
        std::map<std::pair<int, int>, std::deque<double>> accepted, repeated;
        std::set<std::string> seen;
        for (const auto& event : events_) {
            const std::pair<int, int> process{event.scheduler, event.process};
            if (event.kind == Kind::RequestSent) accepted[process].push_back(event.at);
            if (event.kind != Kind::AttemptWhole || seen.insert(event.request).second) continue;
            auto &repeats = repeated[process], &requests = accepted[process];
            repeats.push_back(event.at);
            const double from = event.at - requirements_.retryBudgetSpanMs;
            while (!repeats.empty() && repeats.front() <= from) repeats.pop_front();
            while (!requests.empty() && requests.front() <= from - requirements_.toleranceMs)
                requests.pop_front();
            if (static_cast<double>(repeats.size()) >
                requirements_.retryBudgetFloor +
                    requirements_.retryBudgetShare * static_cast<double>(requests.size()))
                addViolation(Rule::RetryBudget, event,
                             std::to_string(repeats.size()) + " repeated attempts, " +
                                 std::to_string(requests.size()) + " requests in the span");
        }
    }

    VolumeLimit limitOf(const std::string& volume) const {
        const auto found = requirements_.volumes.find(volume);
        return found != requirements_.volumes.end()
                   ? found->second
                   : VolumeLimit{requirements_.limit, requirements_.burst, requirements_.slack};
    }
    // Follows the token bucket of each limited volume. The first attempt of each request draws from it,
    // whichever scheduler and process sent it.
    void checkLimits() {
        struct Bucket {
            double level = 0, filledAt = 0;
        };
        std::map<std::string, Bucket> buckets;
        std::set<std::string> counted;
        for (const auto& event : events_) {
            if (event.kind != Kind::AttemptWhole || event.volume.empty()) continue;
            if (!counted.insert(event.request).second) continue;
            const auto limit = limitOf(event.volume);
            if (limit.rate <= 0) continue;
            auto& bucket = buckets.emplace(event.volume, Bucket{limit.burst, event.at}).first->second;
            const double filled = bucket.level + limit.rate * (event.at - bucket.filledAt) / 1000;
            bucket.level = std::min(limit.burst, filled) - event.units;
            bucket.filledAt = event.at;
            const double slack = limit.slack + limit.rate * requirements_.timeoutSlackMs / 1000;
            if (bucket.level < -slack - 1e-9)
                addViolation(
                    Rule::Limits, event,
                    "bucket of volume " + event.volume + " at " + std::to_string(bucket.level) + " units");
        }
    }

    void checkClientGone() {
        std::map<std::string, double> left;
        for (const auto& event : events_) {
            if (event.kind == Kind::ClientLeft) left.emplace(event.request, event.at);
            if (event.kind != Kind::AttemptBegan) continue;
            const auto found = left.find(event.request);
            if (found != left.end() &&
                event.at > found->second + requirements_.clientGoneGraceMs + requirements_.toleranceMs)
                addViolation(Rule::ClientGone, event,
                             "attempt began " + msText(event.at - found->second) + " after the client left");
        }
    }

    void checkTimeoutPassedOn() {
        std::map<std::string, double> expiresAt;
        for (const auto& event : events_) {
            if (event.kind == Kind::RequestSent) expiresAt[event.request] = event.at + event.timeoutMs;
            if (event.kind != Kind::AttemptWhole) continue;
            const auto found = expiresAt.find(event.request);
            if (found == expiresAt.end()) continue;
            const double left = found->second - event.at;
            // The shortest timeout that an attempt can pass on is 1 ms.
            if (event.timeoutMs >
                std::max(left, 1.0) + requirements_.timeoutSlackMs + requirements_.toleranceMs)
                addViolation(
                    Rule::TimeoutPassedOn, event,
                    "attempt timeout of " + msText(event.timeoutMs) + " with " + msText(left) + " left");
        }
    }

    void checkMalformed() {
        std::map<int, const Event*> open;
        std::set<std::string> unsound;
        for (const auto& event : events_) {
            if (event.kind == Kind::Malformed) {
                open[event.connection] = &event;
                if (!event.request.empty()) unsound.insert(event.request);
            }
            if (event.kind == Kind::AttemptBegan && unsound.count(event.request) > 0)
                addViolation(Rule::Malformed, event, "a request that is not sound was passed on");
            const auto found = open.find(event.connection);
            if (event.kind != Kind::MalformedEnded || found == open.end()) continue;
            if (event.at > found->second->at + requirements_.malformedTimeoutMs + requirements_.toleranceMs)
                addViolation(Rule::Malformed, event,
                             "error or close only after " + msText(event.at - found->second->at));
            open.erase(found);
        }
        for (const auto& [connection, event] : open)
            if (event->at + requirements_.malformedTimeoutMs + requirements_.toleranceMs < end_ &&
                !lifetimes_.killedBefore(*event, event->at + requirements_.malformedTimeoutMs))
                addViolation(Rule::Malformed, *event, "no error and no close");
    }

    void checkStarts() {
        for (const auto& [processId, lifetime] : lifetimes_.all()) {
            if (processId.first < 0) continue;
            Event event;
            event.scheduler = processId.first;
            event.at = lifetime.from;
            const double due = lifetime.from + requirements_.readyTimeoutMs;
            if (lifetime.readyAt > due && lifetime.until > due && lifetime.stopAt > due && end_ > due)
                addViolation(Rule::Starts, event, "not ready after " + msText(requirements_.readyTimeoutMs));
        }
        for (const auto& event : events_) {
            if (event.kind != Kind::Exited) continue;
            const auto& lifetime = *lifetimes_.find(event);
            // A process that gets SIGTERM before it has installed its handler is ended by the signal; it has
            // accepted no request yet.
            const bool stoppedBeforeReady = event.status == kExitedBySigterm && lifetime.readyAt > event.at;
            if (lifetime.stopAt > event.at || (event.status != 0 && !stoppedBeforeReady))
                addViolation(Rule::Starts, event, "exited with status " + std::to_string(event.status));
        }
    }

    // The spans of time in which a cell's servers or a scheduler's environment were impaired, by cell or
    // scheduler.
    using ImpairedSpans = std::map<std::string, std::vector<std::pair<double, double>>>;
    static bool within(const ImpairedSpans& impaired, const std::string& name, double from, double until) {
        const auto found = impaired.find(name);
        if (found == impaired.end()) return false;
        return std::any_of(found->second.begin(), found->second.end(),
                           [&](const auto& span) { return span.first <= until && span.second >= from; });
    }
    ImpairedSpans impairedSpansOf(Kind kind) const {
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
        const auto* process = lifetimes_.find(sent);
        if (!process || sent.cell < 0 || sent.timeoutMs < requirements_.minTimeoutMs) return false;
        return process->readyAt <= sent.at && process->until > due && process->stopAt > due && due <= end_ &&
               !within(cells, std::to_string(sent.cell), sent.at, due) &&
               !within(schedulers, std::to_string(sent.scheduler), sent.at, due);
    }
    // A scheduler that refused every request would keep all other rules.
    void checkService() {
        struct Count {
            std::size_t requested = 0, served = 0;
        };
        const auto cells = impairedSpansOf(Kind::CellState),
                   schedulers = impairedSpansOf(Kind::SchedulerState);
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
            ++count.requested;
            count.served += served.count(event.request);
        }
        for (const auto& [name, count] : classes) {
            const double least = requirements_.minServedFraction * static_cast<double>(count.requested);
            if (count.requested < requirements_.minRequests || static_cast<double>(count.served) >= least)
                continue;
            Event event;
            event.at = end_;
            event.requestClass = name;
            addViolation(Rule::Service, event,
                         "class " + name + ": " + std::to_string(count.served) + " served of " +
                             std::to_string(count.requested) + " that could be served");
        }
    }

    // A volume with constant load is served at least the minimum fraction of what was requested, or of what
    // its limit allowed to the healthy schedulers in the time slots in which they got requests if that is
    // less.
    void checkLimitedService() {
        struct Count {
            double requested = 0, served = 0;
            std::map<int, std::set<long>> slots;  // by scheduler: the time slots with a request
        };
        constexpr double kSlotMs = 200;
        const auto cells = impairedSpansOf(Kind::CellState),
                   schedulers = impairedSpansOf(Kind::SchedulerState);
        std::set<std::string> served;
        for (const auto& event : events_)
            if (event.kind == Kind::Answered && event.status == 200) served.insert(event.request);
        std::map<std::string, Count> volumes;
        for (const auto& event : events_) {
            if (event.kind != Kind::RequestSent || requirements_.volumes.count(event.volume) == 0) continue;
            if (!couldBeServed(event, cells, schedulers)) continue;
            auto& count = volumes[event.volume];
            count.requested += event.units;
            count.slots[event.scheduler].insert(static_cast<long>(event.at / kSlotMs));
        }
        // All that was served in these slots counts, also from impaired cells: it draws from the same limit.
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
            const double due = std::min(count.requested, limit.rate / limit.hosts * seconds);
            if (due < requirements_.minUnits || count.served >= requirements_.minServedFraction * due)
                continue;
            Event event;
            event.at = end_;
            addViolation(Rule::Service, event,
                         "volume " + name + ": " + std::to_string(count.served) + " units served of " +
                             std::to_string(due) + " within its limit");
        }
    }

    static constexpr int kExitedBySigterm = 128 + 15;
    std::vector<Event> events_;
    const Requirements& requirements_;
    ProcessLifetimes lifetimes_;
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
