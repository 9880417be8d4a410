#include "fronts/request_pacer.hpp"

#include <set>
#include <utility>
#include <vector>

namespace spokewheel::fronts {

namespace {
constexpr double kExpiryCheckMs = 250;  // how late an expired request may be refused
}

// The store of one session.
class RequestPacer::SessionStore : public Store {
  public:
    SessionStore(RequestPacer& pacer, std::uint64_t session, const WaitLimits& limits)
        : pacer_(pacer), session_(session), limits_(limits) {}
    ~SessionStore() override {
        const auto ids = ids_;  // abandoning one may abandon others and change `ids_`
        for (const auto id : ids) pacer_.abandon(id);
        for (auto& [name, queue] : pacer_.queues_) queue.requests.removeSession(session_);
    }
    std::string read(const config::VolumeSettings& volume, int shard, const std::string& object,
                     std::uint64_t size, std::uint64_t fileBytes, const std::string& digest,
                     std::function<void(ReadResult)> done) override {
        auto& inner = pacer_.inner_;
        return enqueue<ReadResult>(
            volume, shard, pacer_.unitsOf(host::Operation::Read, fileBytes, size),
            [&inner, &volume, shard, object, size, fileBytes, digest](std::function<void(ReadResult)> then) {
                return inner.read(volume, shard, object, size, fileBytes, digest, std::move(then));
            },
            std::move(done));
    }
    std::string writePiece(const config::VolumeSettings& volume, const std::string& path,
                           const std::string& id, std::shared_ptr<const std::string> body,
                           std::uint64_t fileBytes, std::function<void(WriteResult)> done) override {
        auto& inner = pacer_.inner_;
        const auto units = pacer_.unitsOf(host::Operation::Write, fileBytes, body->size());
        return enqueue<WriteResult>(
            volume, -1, units,
            [&inner, &volume, path, id, body, fileBytes](std::function<void(WriteResult)> then) {
                return inner.writePiece(volume, path, id, body, fileBytes, std::move(then));
            },
            std::move(done));
    }
    std::string writeVersion(const config::VolumeSettings& volume, catalogue::FileVersion version,
                             std::shared_ptr<const std::string> body,
                             std::function<void(WriteResult)> done) override {
        auto& inner = pacer_.inner_;
        const auto units = pacer_.unitsOf(host::Operation::Write, version.size, body->size());
        return enqueue<WriteResult>(
            volume, -1, units,
            [&inner, &volume, version = std::move(version), body](std::function<void(WriteResult)> then) {
                return inner.writeVersion(volume, version, body, std::move(then));
            },
            std::move(done));
    }
    void abandon(const std::string& request) override {
        const auto id = static_cast<std::uint64_t>(std::stoull(request));
        if (ids_.erase(id)) pacer_.abandon(id);
    }
    const catalogue::Catalogue& catalogue() const override { return pacer_.inner_.catalogue(); }
    void onServed(double nowMs) { lastServedMs_ = nowMs; }
    bool expired(double createdMs, double nowMs) const {
        return nowMs - createdMs > limits_.totalMs ||
               (limits_.unservedMs > 0 && nowMs - std::max(createdMs, lastServedMs_) > limits_.unservedMs);
    }

  private:
    template <class Result, class Send>
    std::string enqueue(const config::VolumeSettings& volume, int shard, double units, Send send,
                        std::function<void(Result)> done) {
        PacedRequest request;
        request.session = session_;
        request.volume = volume.name;
        request.units = units;
        request.store = this;
        request.createdMs = pacer_.now_();
        request.shard = shard;
        request.refuse = [this, done](std::uint64_t id) {
            ids_.erase(id);
            Result r;
            r.refused = true;
            r.error = "refused, nothing was done: the volume's turn did not come in time";
            done(std::move(r));
        };
        request.send = [this, send = std::move(send), done = std::move(done)](std::uint64_t id) {
            return send([this, id, done](Result r) {
                if (!pacer_.settle(id, r.ok, r.refused, r.retryAfterMs)) return;
                ids_.erase(id);
                done(std::move(r));  // may destroy this store
            });
        };
        const auto id = pacer_.add(std::move(request), volume);
        ids_.insert(id);
        pacer_.sendAllowed(volume.name);
        return std::to_string(id);
    }

    RequestPacer& pacer_;
    std::uint64_t session_;
    WaitLimits limits_;
    double lastServedMs_ = 0;
    std::set<std::uint64_t> ids_;
};

RequestPacer::RequestPacer(Store& inner, const config::DaemonSettings& settings, std::function<double()> now,
                           After after)
    : inner_(inner),
      settings_(settings),
      now_(std::move(now)),
      after_(std::move(after)),
      rules_(classificationRules(settings)) {}
RequestPacer::~RequestPacer() = default;

std::unique_ptr<Store> RequestPacer::openStore(const WaitLimits& limits) {
    return std::make_unique<SessionStore>(*this, ++nextSession_, limits);
}

double RequestPacer::unitsOf(host::Operation op, std::uint64_t fileBytes, std::uint64_t bytes) const {
    return host::classifyOperation(rules_, op, fileBytes, bytes).units;
}

RequestPacer::VolumeQueue& RequestPacer::queueOf(const config::VolumeSettings& volume) {
    const auto found = queues_.find(volume.name);
    if (found != queues_.end()) return found->second;
    VolumeWindow::Parameters parameters;
    parameters.hosts = volume.hosts;
    parameters.maxUnits = settings_.module.maxUnits;
    for (const auto& p : settings_.module.plans)
        if (p.name == volume.plan) parameters.limit = p.limit;
    parameters.latencyTargetMs = parameters.deadlineMs = 3.6e6;
    for (const auto& c : settings_.module.classes)
        if (c.name == settings_.readClass || c.name == settings_.largeReadClass ||
            c.name == settings_.writeClass)
            parameters.latencyTargetMs = std::min(parameters.latencyTargetMs, c.latencyTargetMs),
            parameters.deadlineMs = std::min(parameters.deadlineMs, c.deadlineMs);
    return queues_.emplace(volume.name, parameters).first->second;
}

std::uint64_t RequestPacer::add(PacedRequest request, const config::VolumeSettings& volume) {
    auto& queue = queueOf(volume);
    const auto id = ++nextId_;
    queue.requests.add(request.session, id);
    requests_.emplace(id, std::move(request));
    return id;
}

// Sends the requests that the window allows. The inner store never calls back from within a call.
void RequestPacer::sendAllowed(const std::string& volume) {
    auto& queue = queues_.at(volume);
    const double now = now_();
    while (!queue.requests.empty()) {
        const auto id = queue.requests.front();
        auto& request = requests_.at(id);
        // Expired: the timer refuses it, since its caller must not be called back from here.
        if (expired(request, now)) return armTimer(queue, volume, 0);
        if (!queue.window.maySend(request.units, now)) break;
        queue.requests.pop(request.units);
        queue.window.onSent(request.units);
        request.sent = true;
        request.sentMs = now;
        ++(request.firstRefusedMs < 0 ? counters_.sent : counters_.retried);
        request.innerId = request.send(id);
    }
    queue.timer.reset();
    if (queue.requests.empty()) return;
    const double pause = queue.window.resumeAtMs() - now;
    armTimer(queue, volume, pause > 0 ? std::min(pause, kExpiryCheckMs) : kExpiryCheckMs);
}

void RequestPacer::armTimer(VolumeQueue& queue, const std::string& volume, double ms) {
    queue.timer = after_(ms, [this, volume] {
        refuseExpired(volume);
        sendAllowed(volume);
    });
}

bool RequestPacer::expired(const PacedRequest& request, double nowMs) const {
    return request.store->expired(request.createdMs, nowMs);
}

// Refuses the queued requests of the volume whose time is over.
void RequestPacer::refuseExpired(const std::string& volume) {
    const double now = now_();
    std::vector<std::uint64_t> expiredIds;
    for (const auto& [id, request] : requests_)
        if (!request.sent && request.volume == volume && expired(request, now)) expiredIds.push_back(id);
    for (const auto id : expiredIds) {
        const auto found = requests_.find(id);  // refusing one may abandon others
        if (found == requests_.end()) continue;
        const auto request = std::move(found->second);
        requests_.erase(found);
        queues_.at(volume).requests.remove(request.session, id);
        ++counters_.gaveUp;
        request.refuse(id);
    }
}

bool RequestPacer::settle(std::uint64_t id, bool ok, bool refused, double retryAfterMs) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return false;
    auto& request = found->second;
    const auto volume = request.volume;
    auto& queue = queues_.at(volume);
    const double now = now_();
    request.sent = false;
    bool finished = true;
    if (refused) {
        ++counters_.refused;
        if (request.firstRefusedMs < 0) request.firstRefusedMs = now;
        const bool retry = queue.window.onRefused(request.units, request.shard, request.sentMs,
                                                  request.firstRefusedMs, retryAfterMs, now);
        finished = !retry || expired(request, now);
        if (finished) ++counters_.gaveUp;
        else queue.requests.add(request.session, id, true);
    } else if (ok) {
        ++counters_.served;
        queue.window.onServed(request.units, request.shard, now);
        request.store->onServed(now);
    } else queue.window.onEnded(request.units);
    if (finished) requests_.erase(found);
    // By the timer and not from here: the caller gets its result first and may destroy its store.
    if (!queue.requests.empty()) armTimer(queue, volume, std::max(0.0, queue.window.resumeAtMs() - now));
    return finished;
}

void RequestPacer::abandon(std::uint64_t id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    // Removed first, since destroying what it holds may abandon others.
    const auto request = std::move(found->second);
    requests_.erase(found);
    auto& queue = queues_.at(request.volume);
    if (!request.sent) return queue.requests.remove(request.session, id);
    queue.window.onEnded(request.units);
    inner_.abandon(request.innerId);
    if (!queue.requests.empty())
        armTimer(queue, request.volume, std::max(0.0, queue.window.resumeAtMs() - now_()));
}

std::size_t RequestPacer::waiting() const {
    std::size_t n = 0;
    for (const auto& [name, queue] : queues_) n += queue.requests.size();
    return n;
}

}  // namespace spokewheel::fronts
