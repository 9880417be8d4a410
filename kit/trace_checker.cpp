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

const char* kNames[] = {"one final answer", "no double effect", "drains",           "cold nodes",
                        "order per key",    "attempt budget",   "limits per volume"};

class Bench {
  public:
    Bench(std::vector<TraceRecord> records, const RuleParameters& figures)
        : records_(std::move(records)), f_(figures) {
        std::stable_sort(records_.begin(), records_.end(),
                         [](const TraceRecord& a, const TraceRecord& b) { return a.us < b.us; });
        for (int i = 0; i < 7; ++i)
            verdicts_.push_back({i + 1, kNames[i], RuleStatus::Kept, 0, "", "", "", 0});
    }
    std::vector<RuleResult> run() {
        answers();
        effects();
        drains();
        cold();
        order();
        budget();
        limits();
        for (auto& v : verdicts_)
            if (v.status == RuleStatus::Kept && v.looked == 0) {
                v.status = RuleStatus::NotChecked;
                v.words = "no record is about it";
            }
        return verdicts_;
    }

  private:
    void breach(int rule, const TraceRecord& r, std::string words) {
        auto& v = verdicts_[static_cast<std::size_t>(rule - 1)];
        if (v.status == RuleStatus::Violated && v.us <= r.us) return;
        v.status = RuleStatus::Violated;
        v.request = r.request;
        v.host = r.host;
        v.us = r.us;
        v.words = std::move(words);
    }
    void looked(int rule) { ++verdicts_[static_cast<std::size_t>(rule - 1)].looked; }
    const JudgedClass* classOf(const TraceRecord& r) const {
        const auto c = f_.classes.find(r.requestClass);
        return c == f_.classes.end() ? nullptr : &c->second;
    }
    bool killedBetween(const std::string& host, std::int64_t from, std::int64_t to) const {
        return std::any_of(records_.begin(), records_.end(), [&](const TraceRecord& r) {
            return r.kind == Kind::Killed && r.host == host && r.us >= from && r.us <= to;
        });
    }

    // At its client: one end, in time. At the nodes: nothing more for it once a node has served it, for its
    // end follows that answer.
    void answers() {
        std::map<std::string, const TraceRecord*> took;
        std::set<std::string> ended, served;
        for (const auto& r : records_) {
            if (r.kind == Kind::Took) took[r.request] = &r;
            if (r.kind == Kind::Ended) {
                looked(1);
                const auto t = took.find(r.request);
                if (t == took.end()) breach(1, r, "an end without a request");
                else if (!ended.insert(r.request).second) breach(1, r, "a second end");
                else if (r.us - t->second->us > 1000 * (t->second->withinMs + f_.answerGraceMs))
                    breach(
                        1, r,
                        "an end " + std::to_string((r.us - t->second->us) / 1000) + " ms after the request");
            }
            if (r.kind == Kind::Arrive && served.count(r.request))
                breach(1, r, "sent to a node after it was served");
            if (r.kind == Kind::Answer && !r.words.empty()) served.insert(r.request);
        }
        const auto last = records_.empty() ? 0 : records_.back().us;
        for (const auto& [request, t] : took)
            if (!ended.count(request) && !killedBetween(t->host, t->us, last)) breach(1, *t, "no end");
    }

    // A once request that may have run is not sent again, and is executed once; what was stored under one
    // name once is not stored again, whoever asks.
    void effects() {
        std::map<std::string, int> executed;
        std::map<std::string, std::set<int>> mayHaveRun;
        std::map<std::string, std::string> stored;
        for (const auto& r : records_) {
            const auto* c = classOf(r);
            if (!c || !c->once) continue;
            if (r.kind == Kind::Arrive) {
                looked(2);
                if (!mayHaveRun[r.request].empty())
                    breach(2, r, "sent again though an earlier attempt may have run");
                mayHaveRun[r.request].insert(r.attempt);
            }
            if (r.kind == Kind::Refuse) mayHaveRun[r.request].erase(r.attempt);
            if (r.kind == Kind::Execute && r.write) {
                if (++executed[r.request] > 1) breach(2, r, "executed twice");
                const auto before = stored.emplace(r.target, r.request);
                if (!before.second && before.first->second != r.request)
                    breach(2, r, "stored under a name that " + before.first->second + " had stored");
            }
        }
    }

    void drains() {
        std::map<std::string, std::pair<std::int64_t, std::string>> told;
        for (const auto& r : records_) {
            if (r.kind == Kind::Listed) {
                if (r.words == "ready") told.erase(r.node);
                else told.emplace(r.node, std::make_pair(r.us, r.words));
            }
            if (r.kind != Kind::Arrive) continue;
            looked(3);
            const auto t = told.find(r.node);
            if (t != told.end() && r.us > t->second.first + 1000 * f_.drainGraceMs)
                breach(3, r,
                       "at " + r.node + " " + std::to_string((r.us - t->second.first) / 1000) +
                           " ms after it was told to be " + t->second.second);
        }
    }

    // Units that reach a node within the fall time, against what it can do at its age.
    void cold() {
        if (f_.coldMs <= 0) return;
        std::map<std::string, std::int64_t> up;
        std::map<std::string, std::deque<std::pair<std::int64_t, double>>> window;
        for (const auto& r : records_) {
            if (r.kind == Kind::Start && r.words == "again") up[r.node] = r.us, window[r.node].clear();
            const auto u = up.find(r.node);
            if (r.kind != Kind::Arrive || u == up.end()) continue;
            const double age = static_cast<double>(r.us - u->second) / 1000;
            if (age > f_.coldMs) continue;
            looked(4);
            auto& w = window[r.node];
            w.emplace_back(r.us, r.units);
            while (w.front().first < r.us - static_cast<std::int64_t>(1000 * f_.fallMs)) w.pop_front();
            double sum = 0;
            for (const auto& [at, units] : w) sum += units;
            const double share = f_.coldShare + (1 - f_.coldShare) * age / f_.coldMs;
            const double can = f_.tipMultiple * share * f_.nodeUnitsPerS * f_.fallMs / 1000;
            if (sum > std::max(f_.coldUnits, can))
                breach(4, r,
                       std::to_string(static_cast<long>(sum)) + " units within the fall time at " + r.node +
                           ", " + std::to_string(static_cast<long>(age)) + " ms old");
        }
    }

    void order() {
        struct Turn {
            std::map<std::string, int> open;  // request to attempts without an end
            std::int64_t restUntil = 0;
        };
        std::map<std::pair<std::string, std::int64_t>, Turn> turns;
        for (const auto& r : records_) {
            if (r.kind == Kind::Killed)
                for (auto& [k, t] : turns)
                    if (k.first == r.host) t = {};
            const auto* c = classOf(r);
            if (!c || !c->inOrder || r.key < 0) continue;
            auto& t = turns[{r.host, r.key}];
            if (r.kind == Kind::Arrive) {
                looked(5);
                for (const auto& [request, n] : t.open)
                    if (request != r.request && n > 0)
                        breach(5, r, "while " + request + " of its key is open");
                if (r.us < t.restUntil && !t.open.count(r.request)) breach(5, r, "while its key rests");
                ++t.open[r.request];
            }
            if (r.kind == Kind::Answer || r.kind == Kind::Refuse || r.kind == Kind::Quiet) {
                const auto o = t.open.find(r.request);
                if (o != t.open.end() && --o->second <= 0) t.open.erase(o);
                if (r.kind == Kind::Quiet) t.restUntil = r.us + static_cast<std::int64_t>(1000 * f_.settleMs);
            }
        }
    }

    void budget() {
        if (f_.extraSpanMs <= 0) return;
        std::map<std::string, std::deque<std::int64_t>> taken, extra;
        std::set<std::string> known;
        const auto span = static_cast<std::int64_t>(1000 * f_.extraSpanMs);
        for (const auto& r : records_) {
            if (r.kind != Kind::Arrive) continue;
            looked(6);
            auto &t = taken[r.host], &e = extra[r.host];
            if (known.insert(r.request).second) t.push_back(r.us);
            if (r.attempt > 0) e.push_back(r.us);
            while (!t.empty() && t.front() < r.us - span) t.pop_front();
            while (!e.empty() && e.front() < r.us - span) e.pop_front();
            if (static_cast<double>(e.size()) > f_.extraFloor + f_.extraShare * static_cast<double>(t.size()))
                breach(6, r,
                       std::to_string(e.size()) + " further attempts within the span, " +
                           std::to_string(t.size()) + " requests");
        }
    }

    // The store of each volume, less the first sends of all hosts.
    void limits() {
        std::map<std::int64_t, std::pair<double, std::int64_t>> level;
        std::set<std::string> drawn;
        for (const auto& r : records_) {
            const auto v = f_.volumes.find(r.volume);
            if (r.kind != Kind::Arrive || v == f_.volumes.end() || v->second.limit <= 0) continue;
            if (!drawn.insert(r.request).second) continue;
            looked(7);
            auto& l = level.emplace(r.volume, std::make_pair(v->second.burst, r.us)).first->second;
            l.first = std::min(v->second.burst,
                               l.first + v->second.limit * static_cast<double>(r.us - l.second) / 1e6);
            l.second = r.us;
            l.first -= r.units;
            if (l.first < -v->second.slack - 1e-9)
                breach(7, r,
                       "volume " + std::to_string(r.volume) + " at " + std::to_string(l.first) + " units");
        }
    }

    std::vector<TraceRecord> records_;
    const RuleParameters& f_;
    std::vector<RuleResult> verdicts_;
};

// The value of a member in a flat JSON object of the stand-in's own writing.
std::string member(const std::string& line, const std::string& name) {
    const auto at = line.find("\"" + name + "\":");
    if (at == line.npos) return "";
    std::size_t i = at + name.size() + 3;
    std::string out;
    if (line[i] != '"') {
        while (i < line.size() && line[i] != ',' && line[i] != '}') out += line[i++];
        return out;
    }
    for (++i; i < line.size() && line[i] != '"'; ++i) {
        if (line[i] == '\\') ++i;
        if (i < line.size()) out += line[i];
    }
    return out;
}
std::string labelled(const std::string& label, const std::string& name) {
    std::istringstream in(label);
    for (std::string part; std::getline(in, part, ';');)
        if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
    return "";
}

}  // namespace

std::vector<RuleResult> checkRules(std::vector<TraceRecord> records, const RuleParameters& figures) {
    return Bench(std::move(records), figures).run();
}

Trace parseTrace(const std::string& text) {
    static const std::map<std::string, Kind> kKinds = {{"arrive", Kind::Arrive}, {"execute", Kind::Execute},
                                                       {"kept", Kind::Execute},  {"refuse", Kind::Refuse},
                                                       {"answer", Kind::Answer}, {"silent", Kind::Quiet},
                                                       {"cut", Kind::Quiet},     {"dropped", Kind::Quiet},
                                                       {"start", Kind::Start},   {"end", Kind::End}};
    Trace out;
    std::istringstream in(text);
    std::int64_t expected = 0;
    bool first = true;
    for (std::string line; std::getline(in, line);) {
        const auto event = member(line, "event");
        const auto kind = kKinds.find(event);
        if (line.empty() || line.back() != '}' || kind == kKinds.end()) {
            if (out.fault.empty()) out.fault = "a line that can't be read: " + line.substr(0, 80);
            continue;
        }
        TraceRecord r;
        r.kind = kind->second;
        r.line = std::atoll(member(line, "line").c_str());
        if (r.kind == Kind::Start) {
            expected = 0;
            if (!first) r.words = "again";
        }
        first = false;
        if (r.line != ++expected && out.fault.empty())
            out.fault = "a gap before line " + std::to_string(r.line);
        expected = r.line;
        r.us = std::atoll(member(line, "us").c_str());
        r.node = member(line, "node");
        r.host = member(line, "host");
        r.target = member(line, "target");
        const auto label = member(line, "attempt");
        r.request = labelled(label, "id");
        r.attempt = std::atoi(labelled(label, "n").c_str());
        r.requestClass = labelled(label, "class");
        if (const auto v = labelled(label, "volume"); !v.empty()) r.volume = std::atoll(v.c_str());
        if (const auto k = labelled(label, "key"); !k.empty()) r.key = std::atoll(k.c_str());
        r.units = std::atof(labelled(label, "units").c_str());
        // Found there already: the node did not do it again.
        r.write = member(line, "method") == "PUT" && event == "execute";
        const int status = std::atoi(member(line, "status").c_str());
        if (r.kind == Kind::Answer && status > 0 && status < 500) r.words = "served";
        out.records.push_back(std::move(r));
    }
    if (out.fault.empty() && (out.records.empty() || out.records.back().kind != Kind::End))
        out.fault = "it was cut off";
    return out;
}

std::string tell(const std::vector<RuleResult>& verdicts, std::int64_t fromUs) {
    std::ostringstream out;
    for (const auto& v : verdicts) {
        out << "rule " << v.rule << " " << v.name << ": ";
        if (v.status == RuleStatus::Kept) out << "kept (" << v.looked << " looked at)";
        else if (v.status == RuleStatus::NotChecked) out << "not judged: " << v.words;
        else
            out << "BROKEN at " << (v.us - fromUs) / 1000 << " ms by " << v.request << " of host " << v.host
                << ": " << v.words;
        out << "\n";
    }
    return out.str();
}
bool anyBroken(const std::vector<RuleResult>& verdicts) {
    return std::any_of(verdicts.begin(), verdicts.end(),
                       [](const RuleResult& v) { return v.status == RuleStatus::Violated; });
}
bool allKept(const std::vector<RuleResult>& verdicts) {
    return std::all_of(verdicts.begin(), verdicts.end(),
                       [](const RuleResult& v) { return v.status == RuleStatus::Kept; });
}

}  // namespace spokewheel::kit
