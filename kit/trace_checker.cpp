#include "kit/trace_checker.hpp"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <set>
#include <sstream>
#include <utility>

namespace spokewheel::kit {
namespace {

using Kind = TraceRecord::Kind;

// In order of the rule numbers, which begin with 1.
const char* kRuleNames[] = {"one final answer", "no double effect", "drains",           "cold nodes",
                            "order per key",    "attempt budget",   "limits per volume"};

class RuleChecker {
  public:
    RuleChecker(std::vector<TraceRecord> records, const RuleParameters& parameters)
        : records_(std::move(records)), parameters_(parameters) {
        std::stable_sort(records_.begin(), records_.end(),
                         [](const TraceRecord& a, const TraceRecord& b) { return a.timeUs < b.timeUs; });
        for (int i = 0; i < 7; ++i)
            results_.push_back({i + 1, kRuleNames[i], RuleStatus::Kept, 0, "", "", "", 0});
    }
    std::vector<RuleResult> run() {
        checkAnswers();
        checkEffects();
        checkDrains();
        checkColdNodes();
        checkOrder();
        checkRetryBudget();
        checkLimits();
        for (auto& result : results_)
            if (result.status == RuleStatus::Kept && result.recordsChecked == 0) {
                result.status = RuleStatus::NotChecked;
                result.detail = "no record of the run concerns it";
            }
        return results_;
    }

  private:
    // Keeps only the first violation of each rule.
    void addViolation(int rule, const TraceRecord& record, std::string detail) {
        auto& result = results_[static_cast<std::size_t>(rule - 1)];
        if (result.status == RuleStatus::Violated && result.timeUs <= record.timeUs) return;
        result.status = RuleStatus::Violated;
        result.request = record.request;
        result.host = record.host;
        result.timeUs = record.timeUs;
        result.detail = std::move(detail);
    }
    void countRecord(int rule) { ++results_[static_cast<std::size_t>(rule - 1)].recordsChecked; }
    const ClassRules* classOf(const TraceRecord& record) const {
        const auto found = parameters_.classes.find(record.requestClass);
        return found == parameters_.classes.end() ? nullptr : &found->second;
    }
    bool hostKilledBetween(const std::string& host, std::int64_t fromUs, std::int64_t toUs) const {
        return std::any_of(records_.begin(), records_.end(), [&](const TraceRecord& record) {
            return record.kind == Kind::HostKilled && record.host == host && record.timeUs >= fromUs &&
                   record.timeUs <= toUs;
        });
    }

    // A client gets exactly one answer, in time, unless its host is killed. Once a node has served a request,
    // no further attempt of it reaches a node: that answer is final.
    void checkAnswers() {
        std::map<std::string, const TraceRecord*> requested;
        std::set<std::string> answered, served;
        for (const auto& record : records_) {
            if (record.kind == Kind::ClientRequested) requested[record.request] = &record;
            if (record.kind == Kind::ClientAnswered) {
                countRecord(1);
                const auto found = requested.find(record.request);
                if (found == requested.end()) addViolation(1, record, "answered without a request");
                else if (!answered.insert(record.request).second)
                    addViolation(1, record, "answered a second time");
                else if (record.timeUs - found->second->timeUs >
                         1000 * (found->second->timeToAnswerMs + parameters_.answerGraceMs))
                    addViolation(1, record,
                                 "answered " +
                                     std::to_string((record.timeUs - found->second->timeUs) / 1000) +
                                     " ms after the request");
            }
            if (record.kind == Kind::Arrived && served.count(record.request))
                addViolation(1, record, "sent to a node after it was served");
            if (record.kind == Kind::Answered && !record.detail.empty()) served.insert(record.request);
        }
        const auto lastUs = records_.empty() ? 0 : records_.back().timeUs;
        for (const auto& [request, unanswered] : requested)
            if (!answered.count(request) && !hostKilledBetween(unanswered->host, unanswered->timeUs, lastUs))
                addViolation(1, *unanswered, "not answered");
    }

    // A once request that may have run is not sent again, and it is executed once. An object that one request
    // has stored is not stored again by another.
    void checkEffects() {
        std::map<std::string, int> executions;
        std::map<std::string, std::set<int>> mayHaveRun;  // attempts by request
        std::map<std::string, std::string> storedBy;      // request by target
        for (const auto& record : records_) {
            const auto* requestClass = classOf(record);
            if (!requestClass || !requestClass->once) continue;
            if (record.kind == Kind::Arrived) {
                countRecord(2);
                if (!mayHaveRun[record.request].empty())
                    addViolation(2, record, "sent again although an earlier attempt may have run");
                mayHaveRun[record.request].insert(record.attempt);
            }
            if (record.kind == Kind::Refused) mayHaveRun[record.request].erase(record.attempt);
            if (record.kind == Kind::Executed && record.write) {
                if (++executions[record.request] > 1) addViolation(2, record, "executed twice");
                const auto stored = storedBy.emplace(record.target, record.request);
                if (!stored.second && stored.first->second != record.request)
                    addViolation(2, record, "stored an object that " + stored.first->second + " had stored");
            }
        }
    }

    // Nothing is sent to a node later than the drain grace after it was listed as not ready.
    void checkDrains() {
        std::map<std::string, std::pair<std::int64_t, std::string>> notReady;  // since, state
        for (const auto& record : records_) {
            if (record.kind == Kind::NodeListed) {
                if (record.detail == "ready") notReady.erase(record.node);
                else notReady.emplace(record.node, std::make_pair(record.timeUs, record.detail));
            }
            if (record.kind != Kind::Arrived) continue;
            countRecord(3);
            const auto found = notReady.find(record.node);
            if (found != notReady.end() &&
                record.timeUs > found->second.first + 1000 * parameters_.drainGraceMs)
                addViolation(3, record,
                             "sent to " + record.node + " " +
                                 std::to_string((record.timeUs - found->second.first) / 1000) +
                                 " ms after it was listed as " + found->second.second);
        }
    }

    // The units that reach a cold node within the overload span are at most the overload factor times what it
    // can complete at its age, or the fixed allowance if that is larger.
    void checkColdNodes() {
        if (parameters_.coldMs <= 0) return;
        std::map<std::string, std::int64_t> restartedUs;
        std::map<std::string, std::deque<std::pair<std::int64_t, double>>> arrivals;  // time, units
        for (const auto& record : records_) {
            if (record.kind == Kind::TraceStart && record.detail == "again")
                restartedUs[record.node] = record.timeUs, arrivals[record.node].clear();
            const auto restarted = restartedUs.find(record.node);
            if (record.kind != Kind::Arrived || restarted == restartedUs.end()) continue;
            const double ageMs = static_cast<double>(record.timeUs - restarted->second) / 1000;
            if (ageMs > parameters_.coldMs) continue;
            countRecord(4);
            auto& window = arrivals[record.node];
            window.emplace_back(record.timeUs, record.units);
            while (window.front().first <
                   record.timeUs - static_cast<std::int64_t>(1000 * parameters_.overloadSpanMs))
                window.pop_front();
            double units = 0;
            for (const auto& [atUs, arrivedUnits] : window) units += arrivedUnits;
            const double share =
                parameters_.coldShare + (1 - parameters_.coldShare) * ageMs / parameters_.coldMs;
            const double overload = parameters_.overloadFactor * share * parameters_.nodeUnitsPerS *
                                    parameters_.overloadSpanMs / 1000;
            if (units > std::max(parameters_.coldUnits, overload))
                addViolation(4, record,
                             std::to_string(static_cast<long>(units)) +
                                 " units within the overload span at " + record.node + ", " +
                                 std::to_string(static_cast<long>(ageMs)) + " ms after its start");
        }
    }

    // Of the requests of one key in an in-order class, a host sends one at a time. After an attempt without
    // an answer, which may still run, it waits for the settle time before it sends another request of the
    // key.
    void checkOrder() {
        struct KeyState {
            std::map<std::string, int> open;  // attempts in flight by request
            std::int64_t settledUs = 0;
        };
        std::map<std::pair<std::string, std::int64_t>, KeyState> keys;  // by host and key
        for (const auto& record : records_) {
            if (record.kind == Kind::HostKilled)
                for (auto& [hostAndKey, state] : keys)
                    if (hostAndKey.first == record.host) state = {};
            const auto* requestClass = classOf(record);
            if (!requestClass || !requestClass->inOrder || record.key < 0) continue;
            auto& state = keys[{record.host, record.key}];
            if (record.kind == Kind::Arrived) {
                countRecord(5);
                for (const auto& [request, attempts] : state.open)
                    if (request != record.request && attempts > 0)
                        addViolation(5, record, "sent while " + request + " of its key is open");
                if (record.timeUs < state.settledUs && !state.open.count(record.request))
                    addViolation(5, record, "sent within the settle time of its key");
                ++state.open[record.request];
            }
            if (record.kind == Kind::Answered || record.kind == Kind::Refused ||
                record.kind == Kind::EndedUnanswered) {
                const auto found = state.open.find(record.request);
                if (found != state.open.end() && --found->second <= 0) state.open.erase(found);
                if (record.kind == Kind::EndedUnanswered)
                    state.settledUs = record.timeUs + static_cast<std::int64_t>(1000 * parameters_.settleMs);
            }
        }
    }

    // Per host, the attempts beyond the first of their request within the span are at most the floor plus the
    // share of the requests in the span.
    void checkRetryBudget() {
        if (parameters_.retryBudgetSpanMs <= 0) return;
        std::map<std::string, std::deque<std::int64_t>> requestTimes, retryTimes;  // by host
        std::set<std::string> known;
        const auto spanUs = static_cast<std::int64_t>(1000 * parameters_.retryBudgetSpanMs);
        for (const auto& record : records_) {
            if (record.kind != Kind::Arrived) continue;
            countRecord(6);
            auto &requests = requestTimes[record.host], &retries = retryTimes[record.host];
            if (known.insert(record.request).second) requests.push_back(record.timeUs);
            if (record.attempt > 0) retries.push_back(record.timeUs);
            while (!requests.empty() && requests.front() < record.timeUs - spanUs) requests.pop_front();
            while (!retries.empty() && retries.front() < record.timeUs - spanUs) retries.pop_front();
            if (static_cast<double>(retries.size()) >
                parameters_.retryBudgetFloor +
                    parameters_.retryBudgetShare * static_cast<double>(requests.size()))
                addViolation(6, record,
                             std::to_string(retries.size()) + " retries within the span for " +
                                 std::to_string(requests.size()) + " requests");
        }
    }

    // The first attempts of all hosts stay within each volume's token bucket. Retries are not charged again.
    void checkLimits() {
        std::map<std::int64_t, std::pair<double, std::int64_t>> buckets;  // by volume: level, refilled at
        std::set<std::string> charged;
        for (const auto& record : records_) {
            const auto volume = parameters_.volumes.find(record.volume);
            if (record.kind != Kind::Arrived || volume == parameters_.volumes.end() ||
                volume->second.limit <= 0)
                continue;
            if (!charged.insert(record.request).second) continue;
            countRecord(7);
            auto& bucket = buckets.emplace(record.volume, std::make_pair(volume->second.burst, record.timeUs))
                               .first->second;
            bucket.first =
                std::min(volume->second.burst,
                         bucket.first +
                             volume->second.limit * static_cast<double>(record.timeUs - bucket.second) / 1e6);
            bucket.second = record.timeUs;
            bucket.first -= record.units;
            if (bucket.first < -volume->second.slack - 1e-9)
                addViolation(7, record,
                             "volume " + std::to_string(record.volume) + " at a level of " +
                                 std::to_string(bucket.first) + " units");
        }
    }

    std::vector<TraceRecord> records_;
    const RuleParameters& parameters_;
    std::vector<RuleResult> results_;
};

// The value of a member of a flat JSON object as the stand-in writes it; empty if there is none.
std::string memberOf(const std::string& line, const std::string& name) {
    const auto found = line.find("\"" + name + "\":");
    if (found == line.npos) return "";
    std::size_t i = found + name.size() + 3;
    std::string value;
    if (line[i] != '"') {
        while (i < line.size() && line[i] != ',' && line[i] != '}') value += line[i++];
        return value;
    }
    for (++i; i < line.size() && line[i] != '"'; ++i) {
        if (line[i] == '\\') ++i;
        if (i < line.size()) value += line[i];
    }
    return value;
}
// The value of a field of an attempt label ("name=value;name=value"); empty if there is none.
std::string labelValue(const std::string& label, const std::string& name) {
    std::istringstream in(label);
    for (std::string part; std::getline(in, part, ';');)
        if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
    return "";
}

}  // namespace

std::vector<RuleResult> checkRules(std::vector<TraceRecord> records, const RuleParameters& parameters) {
    return RuleChecker(std::move(records), parameters).run();
}

Trace parseTrace(const std::string& text) {
    static const std::map<std::string, Kind> kKinds = {
        {"arrive", Kind::Arrived},      {"execute", Kind::Executed},        {"kept", Kind::Executed},
        {"refuse", Kind::Refused},      {"answer", Kind::Answered},         {"silent", Kind::EndedUnanswered},
        {"cut", Kind::EndedUnanswered}, {"dropped", Kind::EndedUnanswered}, {"start", Kind::TraceStart},
        {"end", Kind::TraceEnd}};
    Trace trace;
    std::istringstream in(text);
    std::int64_t lastLine = 0;
    bool first = true;
    for (std::string line; std::getline(in, line);) {
        const auto event = memberOf(line, "event");
        const auto kind = kKinds.find(event);
        if (line.empty() || line.back() != '}' || kind == kKinds.end()) {
            if (trace.error.empty()) trace.error = "unreadable line: " + line.substr(0, 80);
            continue;
        }
        TraceRecord record;
        record.kind = kind->second;
        record.line = std::atoll(memberOf(line, "line").c_str());
        if (record.kind == Kind::TraceStart) {
            lastLine = 0;
            if (!first) record.detail = "again";
        }
        first = false;
        if (record.line != ++lastLine && trace.error.empty())
            trace.error = "lines missing before line " + std::to_string(record.line);
        lastLine = record.line;
        record.timeUs = std::atoll(memberOf(line, "us").c_str());
        record.node = memberOf(line, "node");
        record.host = memberOf(line, "host");
        record.target = memberOf(line, "target");
        const auto label = memberOf(line, "attempt");
        record.request = labelValue(label, "id");
        record.attempt = std::atoi(labelValue(label, "n").c_str());
        record.requestClass = labelValue(label, "class");
        if (const auto volume = labelValue(label, "volume"); !volume.empty())
            record.volume = std::atoll(volume.c_str());
        if (const auto key = labelValue(label, "key"); !key.empty()) record.key = std::atoll(key.c_str());
        record.units = std::atof(labelValue(label, "units").c_str());
        // Of a "kept" event the object was there already: the node stored nothing.
        record.write = memberOf(line, "method") == "PUT" && event == "execute";
        const int status = std::atoi(memberOf(line, "status").c_str());
        if (record.kind == Kind::Answered && status > 0 && status < 500) record.detail = "served";
        trace.records.push_back(std::move(record));
    }
    if (trace.error.empty() && (trace.records.empty() || trace.records.back().kind != Kind::TraceEnd))
        trace.error = "no end record: the trace is incomplete";
    return trace;
}

std::string formatResults(const std::vector<RuleResult>& results, std::int64_t startUs) {
    std::ostringstream out;
    for (const auto& result : results) {
        out << "rule " << result.rule << " " << result.name << ": ";
        if (result.status == RuleStatus::Kept)
            out << "kept (" << result.recordsChecked << " records checked)";
        else if (result.status == RuleStatus::NotChecked) out << "not checked: " << result.detail;
        else
            out << "VIOLATED at " << (result.timeUs - startUs) / 1000 << " ms by request " << result.request
                << " of host " << result.host << ": " << result.detail;
        out << "\n";
    }
    return out.str();
}
bool anyViolated(const std::vector<RuleResult>& results) {
    return std::any_of(results.begin(), results.end(),
                       [](const RuleResult& result) { return result.status == RuleStatus::Violated; });
}
bool allKept(const std::vector<RuleResult>& results) {
    return std::all_of(results.begin(), results.end(),
                       [](const RuleResult& result) { return result.status == RuleStatus::Kept; });
}

}  // namespace spokewheel::kit
