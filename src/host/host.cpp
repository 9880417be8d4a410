#include "host/host.hpp"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <utility>

namespace spokewheel::host {

namespace {

// Host::mayBegin() reports the start of each attempt to the scheduler.
Settings withBeginReported(Settings settings) {
    settings.reportsAttemptBegun = true;
    return settings;
}

}  // namespace

Host::Host(const Settings& settings, std::uint64_t seed, std::size_t maxInScheduler,
           Dependencies dependencies)
    : settings_(withBeginReported(settings)),
      dependencies_(std::move(dependencies)),
      scheduler_(settings_, seed),
      maxInScheduler_(maxInScheduler) {
    char prefix[40];
    std::snprintf(prefix, sizeof prefix, "h%d-%012llx-", settings.rank,
                  static_cast<unsigned long long>(seed & 0xffffffffffffULL));
    idPrefix_ = prefix;
    queueEvent(Wake{});
}
Host::~Host() { *alive_ = false; }

// Events of one iteration of the event loop go to the scheduler in one step, as events of the same instant.
void Host::queueEvent(Event event) {
    events_.push_back(std::move(event));
    if (!stepTimer_.armed()) stepTimer_.arm(0, [this] { step(); });
}

void Host::step() {
    admitWaiting();
    const auto events = std::exchange(events_, {});
    for (const auto& event : events)
        if (const auto* update = std::get_if<ListUpdate>(&event)) guard_.onList(*update);
    const double before = io::nowMs();
    const auto actions = scheduler_.step(before, events);
    counters_.stepMs += io::nowMs() - before;
    ++counters_.steps;
    for (const auto& action : actions) std::visit([this](const auto& one) { perform(one); }, action);
}

// Passes queued requests to the scheduler while it holds fewer than `maxInScheduler_`, with the time that
// they have left. Expired ones too, since only the scheduler refuses requests.
void Host::admitWaiting() {
    while (!waiting_.empty() && inScheduler_ < maxInScheduler_) {
        const auto id = std::move(waiting_.front());
        waiting_.pop_front();
        const auto found = requests_.find(id);
        if (found == requests_.end()) continue;
        auto& request = found->second;
        request.inScheduler = true;
        ++inScheduler_;
        ++counters_.taken;
        counters_.peakInScheduler = std::max<std::uint64_t>(counters_.peakInScheduler, inScheduler_);
        spokewheel::Request event;
        event.id = id;
        event.requestClass = request.spec.requestClass;
        event.plan = request.spec.plan;
        event.key = request.spec.key;
        event.volume = request.spec.volume;
        event.ttlMs = std::max(0.0, request.deadline - io::nowMs());
        event.units = request.spec.units;
        event.shard = request.spec.shard;
        event.hosts = request.spec.hosts;
        events_.emplace_back(std::move(event));
    }
    // The requests that are still queued are admitted when another one ends (erase()).
}

std::string Host::submit(RequestSpec spec, Done done) {
    char number[24];
    std::snprintf(number, sizeof number, "%llu", static_cast<unsigned long long>(++nextId_));
    const auto id = idPrefix_ + number;
    auto& request = requests_[id];
    request.deadline =
        std::min((spec.arrivedMs > 0 ? spec.arrivedMs : io::nowMs()) + spec.ttlMs, latestDeadline_);
    request.spec = std::move(spec);
    request.done = std::move(done);
    guard_.onSubmitted(id, request.spec.requestClass, request.deadline, io::nowMs());
    waiting_.push_back(id);
    logEvent("taken", id, "", request.spec.clientRequestId);
    if (!stepTimer_.armed()) stepTimer_.arm(0, [this] { step(); });
    return id;
}

void Host::abandon(const std::string& id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    found->second.done = nullptr;
    guard_.onClientLeft(id);
    logEvent("left", id, "", "");
    if (found->second.openAttempts > 0)
        note(RequestNote::Kind::LeftOpen, id, found->second, "", "", found->second.openAttempts);
    withdrawAttempts(found->second);
    if (!found->second.inScheduler) {
        remove(id);
    } else {
        queueEvent(ClientGone{id});
        if (found->second.openAttempts == 0) erase(id);
    }
}

void Host::setShutdownDeadline(double atMs) {
    latestDeadline_ = atMs;
    guard_.onDeadline(atMs);
    for (auto& [id, request] : requests_) request.deadline = std::min(request.deadline, atMs);
    queueEvent(ShutdownDeadline{atMs});
}

// For a request that has ended: those of its attempts that have not begun must not begin.
void Host::withdrawAttempts(const Request& request) {
    for (const auto send : request.sends) dependencies_.nodes->withdraw(send);
}

void Host::onList(ListUpdate update) {
    if (update.form == ListForm::Full || update.form == ListForm::Cached) shards_.clear();
    for (const auto& e : update.entries) shards_[e.node] = e.shard;
    queueEvent(std::move(update));
}
void Host::onPeerMessage(int from, std::string bytes) { queueEvent(PeerMessage{from, std::move(bytes)}); }

int Host::shardOf(const std::string& node) const {
    const auto found = shards_.find(node);
    return found == shards_.end() ? -1 : found->second;
}

const char* nameOf(EndReason reason) {
    static constexpr const char* kNames[] = {"unknown_kind",  "beyond_limit", "not_sent_in_time",
                                             "attempts_used", "time_over",    "no_room"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(EndReason::Count));
    return kNames[static_cast<std::size_t>(reason)];
}

const char* nameOf(Outcome outcome) {
    static constexpr const char* kNames[] = {"served",        "server_error",    "rejected",  "no_answer",
                                             "no_connection", "connection_lost", "cancelled", "not_sent"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(Outcome::NotSent) + 1);
    return kNames[static_cast<std::size_t>(outcome)];
}

const char* nameOf(RequestNote::Kind kind) {
    static constexpr const char* kNames[] = {"request_retried", "request_refused", "request_failed",
                                             "request_left"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(RequestNote::Kind::LeftOpen) + 1);
    return kNames[static_cast<std::size_t>(kind)];
}

void Host::note(RequestNote::Kind kind, const std::string& id, const Request& request, const char* reason,
                const std::string& node, int attempt) {
    if (dependencies_.onRequestNote)
        dependencies_.onRequestNote({kind, id, request.spec.clientRequestId, node, attempt, reason});
}

void Host::perform(const Attempt& action) {
    const auto found = requests_.find(action.id);
    const int attempt = found == requests_.end() ? 0 : found->second.attempts++;
    if (found == requests_.end() || !found->second.done) {
        // It has ended since the step: nothing more may be sent for it.
        return queueEvent(AttemptEnded{action.id, action.node, Outcome::NotSent, attempt, 0, true, 0, 0});
    }
    auto& request = found->second;
    ++counters_.attempts;
    ++request.openAttempts;
    const double until =
        action.expireAtMs > 0 ? std::min(action.expireAtMs, request.deadline) : request.deadline;
    logEvent("attempt", action.id, action.node, std::to_string(attempt));
    if (attempt > 0)
        note(RequestNote::Kind::Retried, action.id, request, nameOf(request.lastOutcome), action.node,
             attempt);
    char units[32];
    std::snprintf(units, sizeof units, "%g", request.spec.units);
    const AttemptLabel label{action.id, attempt,
                             "class=" + request.spec.requestClass +
                                 ";volume=" + std::to_string(request.spec.volume) + ";units=" + units +
                                 ";key=" + std::to_string(request.spec.key)};
    const auto send = dependencies_.nodes->send(
        action.node, request.spec.nodeRequest, label, until - io::nowMs(),
        [this, alive = alive_, id = action.id, attempt, node = action.node](AttemptResult result) {
            if (*alive) onResult(id, attempt, node, std::move(result));
        },
        [this, alive = alive_, id = action.id, attempt, node = action.node] {
            return *alive && mayBegin(id, attempt, node);
        });
    request.sends.push_back(send);
}

bool Host::mayBegin(const std::string& id, int attempt, const std::string& node) {
    const auto stillOpen = [&] {
        const auto at = requests_.find(id);
        return at != requests_.end() && at->second.done != nullptr;
    };
    if (!stillOpen()) return false;
    const auto clientWaiting = requests_.at(id).spec.clientWaiting;
    if (clientWaiting && (!clientWaiting() || !stillOpen())) return false;
    const double now = io::nowMs();
    if (!scheduler_.mayBegin(now, id, attempt) || !guard_.mayBegin(id, attempt, node, now)) return false;
    events_.emplace_back(AttemptBegun{id});  // needs no step of its own
    return true;
}

void Host::onResult(const std::string& id, int attempt, const std::string& node, AttemptResult result) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    auto& request = found->second;
    --request.openAttempts;
    request.lastOutcome = result.outcome;
    request.mayHaveRun = request.mayHaveRun || !hasNotRun(result.outcome);
    guard_.onEnded(id, attempt, result.outcome);
    ++counters_.outcomes[result.outcome];
    logEvent("outcome", id, node, std::to_string(static_cast<int>(result.outcome)));
    const bool served = result.outcome == Outcome::Served;
    AttemptEnded ended{id,
                       node,
                       result.outcome,
                       attempt,
                       result.durationMs,
                       served || !request.done,
                       result.usage,
                       result.servedElsewhere};
    if (served && request.done) {
        Answer answer;
        answer.kind = Answer::Kind::Served;
        answer.status = result.status;
        answer.body = std::move(result.body);
        answer.shard = shardOf(node);
        finish(id, std::move(answer));
    } else if (!request.done && request.openAttempts == 0) erase(id);
    queueEvent(std::move(ended));
}

// Gives the request its one answer. It is kept until its open attempts have ended, so that the scheduler gets
// the result of each.
void Host::finish(const std::string& id, Answer answer) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || !found->second.done) return;
    const auto done = std::exchange(found->second.done, nullptr);
    found->second.answered = true;
    guard_.onAnswered(id);
    ++(answer.kind == Answer::Kind::Served    ? counters_.served
       : answer.kind == Answer::Kind::Refused ? counters_.refused
                                              : counters_.failed);
    withdrawAttempts(found->second);
    if (found->second.openAttempts == 0) erase(id);
    done(std::move(answer));
}

void Host::remove(const std::string& id) {
    guard_.onRemoved(id);
    const auto found = requests_.find(id);
    const auto onRemoved = std::move(found->second.spec.onRemoved);
    const bool answered = found->second.answered, mayHaveRun = found->second.mayHaveRun;
    requests_.erase(found);
    if (onRemoved) onRemoved(answered, mayHaveRun);
}

void Host::erase(const std::string& id) {
    remove(id);
    --inScheduler_;
    if (!waiting_.empty() && !stepTimer_.armed()) stepTimer_.arm(0, [this] { step(); });
}

void Host::perform(const Refuse& action) {
    logEvent("refused", action.id, "", nameOf(action.reason));
    ++counters_.ends[action.reason];
    if (const auto found = requests_.find(action.id); found != requests_.end())
        note(RequestNote::Kind::Refused, action.id, found->second, nameOf(action.reason));
    finish(action.id, {Answer::Kind::Refused, 0, {}, -1, action.retryAfterMs});
}
void Host::perform(const Fail& action) {
    logEvent("failed", action.id, "", nameOf(action.reason));
    ++counters_.ends[action.reason];
    if (const auto found = requests_.find(action.id); found != requests_.end())
        note(RequestNote::Kind::Failed, action.id, found->second, nameOf(action.reason));
    finish(action.id, {Answer::Kind::Failed, 0, {}, -1, 0});
}
void Host::perform(const Cancel& action) {
    const auto found = requests_.find(action.id);
    if (found == requests_.end() || action.attempt < 0) return;
    const auto i = static_cast<std::size_t>(action.attempt);
    if (i < found->second.sends.size()) dependencies_.nodes->cancel(found->second.sends[i]);
}
void Host::perform(const Probe& action) {
    dependencies_.nodes->probe(action.node, [this, alive = alive_, node = action.node](AttemptResult result) {
        if (*alive) queueEvent(ProbeResult{node, result.outcome, result.durationMs});
    });
}
void Host::perform(const SendToPeers& action) {
    if (dependencies_.sendToPeers) dependencies_.sendToPeers(action.to, action.bytes);
}
void Host::perform(const SetTimer& action) {
    reminders_.add(io::nowMs() + action.afterMs);
    armReminder();
}
void Host::armReminder() {
    if (reminders_.empty()) return;
    reminder_.arm(reminders_.earliest() - io::nowMs(), [this] {
        if (reminders_.removeDue(io::nowMs())) queueEvent(Wake{});
        armReminder();
    });
}
void Host::perform(const Subscribe&) {
    if (dependencies_.subscribe) dependencies_.subscribe();
}
void Host::perform(const FetchList&) {
    if (dependencies_.fetchList) dependencies_.fetchList();
}
void Host::perform(const LimitAccount& action) {
    if (dependencies_.onLimitAccount) dependencies_.onLimitAccount(action);
}

}  // namespace spokewheel::host
