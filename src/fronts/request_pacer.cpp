#include "fronts/request_pacer.hpp"

#include <set>
#include <utility>
#include <vector>

namespace spokewheel::fronts {

namespace {
constexpr double kSweepMs = 250;  // how late the end of a wait may be told
}

// One session's side of it.
class RequestPacer::Line : public Store {
  public:
    Line(RequestPacer& of, std::uint64_t session, const WaitLimits& bounds)
        : of_(of), session_(session), bounds_(bounds) {}
    ~Line() override {
        const auto asks = asks_;  // letting one go may let others go with it
        for (const auto ask : asks) of_.abandon(ask);
        for (auto& [name, gate] : of_.gates_) gate.line.removeSession(session_);
    }
    std::string read(const config::VolumeSettings& volume, int shard, const std::string& object,
                     std::uint64_t size, std::uint64_t fileBytes, const std::string& digest,
                     std::function<void(ReadResult)> done) override {
        auto& inner = of_.inner_;
        return ask<ReadResult>(
            volume, shard, of_.unitsOf(host::Operation::Read, fileBytes, size),
            [&inner, &volume, shard, object, size, fileBytes, digest](std::function<void(ReadResult)> then) {
                return inner.read(volume, shard, object, size, fileBytes, digest, std::move(then));
            },
            std::move(done));
    }
    std::string writePiece(const config::VolumeSettings& volume, const std::string& path,
                           const std::string& id, std::shared_ptr<const std::string> body,
                           std::uint64_t fileBytes, std::function<void(WriteResult)> done) override {
        auto& inner = of_.inner_;
        const auto units = of_.unitsOf(host::Operation::Write, fileBytes, body->size());
        return ask<WriteResult>(
            volume, -1, units,
            [&inner, &volume, path, id, body, fileBytes](std::function<void(WriteResult)> then) {
                return inner.writePiece(volume, path, id, body, fileBytes, std::move(then));
            },
            std::move(done));
    }
    std::string writeVersion(const config::VolumeSettings& volume, catalogue::FileVersion version,
                             std::shared_ptr<const std::string> body,
                             std::function<void(WriteResult)> done) override {
        auto& inner = of_.inner_;
        const auto units = of_.unitsOf(host::Operation::Write, version.size, body->size());
        return ask<WriteResult>(
            volume, -1, units,
            [&inner, &volume, version = std::move(version), body](std::function<void(WriteResult)> then) {
                return inner.writeVersion(volume, version, body, std::move(then));
            },
            std::move(done));
    }
    void abandon(const std::string& request) override {
        const auto ask = static_cast<std::uint64_t>(std::stoull(request));
        if (asks_.erase(ask)) of_.abandon(ask);
    }
    const catalogue::Catalogue& catalogue() const override { return of_.inner_.catalogue(); }
    void served(double nowMs) { servedMs_ = nowMs; }
    bool overdue(double askedMs, double nowMs) const {
        return nowMs - askedMs > bounds_.mostMs ||
               (bounds_.quietMs > 0 && nowMs - std::max(askedMs, servedMs_) > bounds_.quietMs);
    }

  private:
    template <class Result, class Issue>
    std::string ask(const config::VolumeSettings& volume, int shard, double units, Issue issue,
                    std::function<void(Result)> done) {
        Ask a;
        a.session = session_;
        a.volume = volume.name;
        a.units = units;
        a.line = this;
        a.askedMs = of_.now_();
        a.shard = shard;
        a.giveUp = [this, done](std::uint64_t id) {
            asks_.erase(id);
            Result r;
            r.refused = true;
            r.error = "refused, nothing was done: the volume's turn did not come in time";
            done(std::move(r));
        };
        a.issue = [this, issue = std::move(issue), done = std::move(done)](std::uint64_t id) {
            return issue([this, id, done](Result r) {
                if (!of_.settled(id, r.ok, r.refused, r.holdOffMs)) return;
                asks_.erase(id);
                done(std::move(r));  // may let this line go
            });
        };
        const auto id = of_.add(std::move(a), volume);
        asks_.insert(id);
        of_.pump(volume.name);
        return std::to_string(id);
    }

    RequestPacer& of_;
    std::uint64_t session_;
    WaitLimits bounds_;
    double servedMs_ = 0;
    std::set<std::uint64_t> asks_;
};

RequestPacer::RequestPacer(Store& inner, const config::DaemonSettings& settings, std::function<double()> now,
                           After after)
    : inner_(inner),
      settings_(settings),
      now_(std::move(now)),
      after_(std::move(after)),
      rules_(classificationRules(settings)) {}
RequestPacer::~RequestPacer() = default;

std::unique_ptr<Store> RequestPacer::openStore(const WaitLimits& bounds) {
    return std::make_unique<Line>(*this, ++nextSession_, bounds);
}

double RequestPacer::unitsOf(host::Operation op, std::uint64_t fileBytes, std::uint64_t bytes) const {
    return host::classifyOperation(rules_, op, fileBytes, bytes).units;
}

RequestPacer::Gate& RequestPacer::gateOf(const config::VolumeSettings& volume) {
    const auto found = gates_.find(volume.name);
    if (found != gates_.end()) return found->second;
    VolumeWindow::Figures f;
    f.hosts = volume.hosts;
    f.topUnits = settings_.module.maxUnits;
    for (const auto& p : settings_.module.plans)
        if (p.name == volume.plan) f.limit = p.limit;
    f.aimMs = f.deadlineMs = 3.6e6;
    for (const auto& c : settings_.module.classes)
        if (c.name == settings_.readClass || c.name == settings_.largeReadClass ||
            c.name == settings_.writeClass)
            f.aimMs = std::min(f.aimMs, c.latencyTargetMs),
            f.deadlineMs = std::min(f.deadlineMs, c.deadlineMs);
    return gates_.emplace(volume.name, f).first->second;
}

std::uint64_t RequestPacer::add(Ask ask, const config::VolumeSettings& volume) {
    auto& gate = gateOf(volume);
    const auto id = ++nextAsk_;
    gate.line.add(ask.session, id);
    asks_.emplace(id, std::move(ask));
    return id;
}

// Lets out what the pace allows. What is issued answers from the loop, never from within.
void RequestPacer::pump(const std::string& volume) {
    auto& gate = gates_.at(volume);
    const double now = now_();
    while (!gate.line.empty()) {
        const auto id = gate.line.front();
        auto& ask = asks_.at(id);
        // Too late to go out: its caller is told, though not from within.
        if (overdue(ask, now)) return wake(gate, volume, 0);
        if (!gate.pace.maySend(ask.units, now)) break;
        gate.line.pop(ask.units);
        gate.pace.onSent(ask.units);
        ask.out = true;
        ask.sentMs = now;
        ++(ask.firstRefusedMs < 0 ? counters_.sent : counters_.retried);
        ask.inner = ask.issue(id);
    }
    gate.alarm.reset();
    if (gate.line.empty()) return;
    const double due = gate.pace.resumeAtMs() - now;
    wake(gate, volume, due > 0 ? std::min(due, kSweepMs) : kSweepMs);
}

void RequestPacer::wake(Gate& gate, const std::string& volume, double ms) {
    gate.alarm = after_(ms, [this, volume] {
        sweep(volume);
        pump(volume);
    });
}

bool RequestPacer::overdue(const Ask& ask, double nowMs) const {
    return ask.line->overdue(ask.askedMs, nowMs);
}

// Those whose time is over while they wait in line are told so.
void RequestPacer::sweep(const std::string& volume) {
    const double now = now_();
    std::vector<std::uint64_t> late;
    for (const auto& [id, ask] : asks_)
        if (!ask.out && ask.volume == volume && overdue(ask, now)) late.push_back(id);
    for (const auto id : late) {
        const auto found = asks_.find(id);  // telling one may let others go
        if (found == asks_.end()) continue;
        const auto ask = std::move(found->second);
        asks_.erase(found);
        gates_.at(volume).line.remove(ask.session, id);
        ++counters_.gaveUp;
        ask.giveUp(id);
    }
}

bool RequestPacer::settled(std::uint64_t id, bool fine, bool refused, double holdOffMs) {
    const auto found = asks_.find(id);
    if (found == asks_.end()) return false;
    auto& ask = found->second;
    const auto volume = ask.volume;
    auto& gate = gates_.at(volume);
    const double now = now_();
    ask.out = false;
    bool over = true;
    if (refused) {
        ++counters_.refused;
        if (ask.firstRefusedMs < 0) ask.firstRefusedMs = now;
        const bool curable =
            gate.pace.onRefused(ask.units, ask.shard, ask.sentMs, ask.firstRefusedMs, holdOffMs, now);
        over = !curable || overdue(ask, now);
        if (over) ++counters_.gaveUp;
        else gate.line.add(ask.session, id, true);
    } else if (fine) {
        ++counters_.served;
        gate.pace.onServed(ask.units, ask.shard, now);
        ask.line->served(now);
    } else gate.pace.onEnded(ask.units);
    if (over) asks_.erase(found);
    // Not from within: the caller is told first, and may be gone by then.
    if (!gate.line.empty()) wake(gate, volume, std::max(0.0, gate.pace.resumeAtMs() - now));
    return over;
}

void RequestPacer::abandon(std::uint64_t id) {
    const auto found = asks_.find(id);
    if (found == asks_.end()) return;
    // Taken out first: what it holds may, on its way out, abandon others.
    const auto ask = std::move(found->second);
    asks_.erase(found);
    auto& gate = gates_.at(ask.volume);
    if (!ask.out) return gate.line.remove(ask.session, id);
    gate.pace.onEnded(ask.units);
    inner_.abandon(ask.inner);
    if (!gate.line.empty()) wake(gate, ask.volume, std::max(0.0, gate.pace.resumeAtMs() - now_()));
}

std::size_t RequestPacer::waiting() const {
    std::size_t n = 0;
    for (const auto& [name, gate] : gates_) n += gate.line.size();
    return n;
}

}  // namespace spokewheel::fronts
