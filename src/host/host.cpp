#include "host/host.hpp"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <utility>

namespace spokewheel::host {

namespace {

Settings withBegunTold(Settings settings) {
    settings.reportsAttemptBegun = true;
    return settings;
}

}  // namespace

Host::Host(const Settings& settings, std::uint64_t seed, std::size_t mostHeld, Dependencies edges)
    : settings_(withBegunTold(settings)),
      edges_(std::move(edges)),
      scheduler_(settings_, seed),
      mostHeld_(mostHeld) {
    char prefix[40];
    std::snprintf(prefix, sizeof prefix, "h%d-%012llx-", settings.rank,
                  static_cast<unsigned long long>(seed & 0xffffffffffffULL));
    idPrefix_ = prefix;
    post(Wake{});
}
Host::~Host() { *alive_ = false; }

// Events of one turn of the loop go to the module together: they happened at one instant for it.
void Host::post(Event event) {
    events_.push_back(std::move(event));
    if (!flush_.armed()) flush_.arm(0, [this] { step(); });
}

void Host::step() {
    pump();
    const auto events = std::exchange(events_, {});
    for (const auto& event : events)
        if (const auto* update = std::get_if<ListUpdate>(&event)) guard_.onList(*update);
    const double before = io::nowMs();
    const auto actions = scheduler_.step(before, events);
    counters_.stepMs += io::nowMs() - before;
    ++counters_.steps;
    for (const auto& action : actions) std::visit([this](const auto& a) { act(a); }, action);
}

// Hands waiting requests to the module while it holds fewer than the cap. Their time has run meanwhile; one
// whose time is over goes in all the same, for it is the module that refuses.
void Host::pump() {
    while (!waiting_.empty() && held_ < mostHeld_) {
        const auto id = std::move(waiting_.front());
        waiting_.pop_front();
        const auto found = requests_.find(id);
        if (found == requests_.end()) continue;
        auto& r = found->second;
        r.given = true;
        ++held_;
        ++counters_.taken;
        counters_.peakInScheduler = std::max<std::uint64_t>(counters_.peakInScheduler, held_);
        spokewheel::Request event;
        event.id = id;
        event.requestClass = r.work.requestClass;
        event.plan = r.work.plan;
        event.key = r.work.key;
        event.volume = r.work.volume;
        event.ttlMs = std::max(0.0, r.deadline - io::nowMs());
        event.units = r.work.units;
        event.shard = r.work.shard;
        event.hosts = r.work.hosts;
        events_.emplace_back(std::move(event));
    }
    // Those behind the cap are looked at when one ends (forget()).
}

std::string Host::submit(RequestSpec work, Done done) {
    char number[24];
    std::snprintf(number, sizeof number, "%llu", static_cast<unsigned long long>(++nextId_));
    const auto id = idPrefix_ + number;
    auto& r = requests_[id];
    r.deadline = std::min((work.arrivedMs > 0 ? work.arrivedMs : io::nowMs()) + work.ttlMs, answerBy_);
    r.work = std::move(work);
    r.done = std::move(done);
    guard_.onTaken(id, r.work.requestClass, r.deadline, io::nowMs());
    waiting_.push_back(id);
    note("taken", id, "", r.work.clientRequestId);
    if (!flush_.armed()) flush_.arm(0, [this] { step(); });
    return id;
}

void Host::abandon(const std::string& id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    found->second.done = nullptr;
    guard_.onClientLeft(id);
    note("left", id, "", "");
    withdraw(found->second);
    if (!found->second.given) {
        guard_.onForgotten(id);
        requests_.erase(found);
    } else {
        post(ClientGone{id});
        if (found->second.out == 0) forget(id);
    }
}

void Host::answerBy(double atMs) {
    answerBy_ = atMs;
    guard_.onDeadline(atMs);
    for (auto& [id, r] : requests_) r.deadline = std::min(r.deadline, atMs);
    post(ShutdownDeadline{atMs});
}

// What is still on its way to a node for a request that has ended: it may not begin any more.
void Host::withdraw(const Request& r) {
    for (const auto send : r.sends) edges_.nodes->withdraw(send);
}

void Host::onList(ListUpdate update) {
    if (update.form == ListForm::Full || update.form == ListForm::Cached) shards_.clear();
    for (const auto& e : update.entries) shards_[e.node] = e.shard;
    post(std::move(update));
}
void Host::onPeerMessage(int from, std::string bytes) { post(PeerMessage{from, std::move(bytes)}); }

int Host::shardOf(const std::string& node) const {
    const auto found = shards_.find(node);
    return found == shards_.end() ? -1 : found->second;
}

const char* nameOf(EndReason reason) {
    static constexpr const char* kNames[] = {"unknown_kind", "beyond_limit", "not_sent_in_time",
                                             "attempts_used", "time_over"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(EndReason::Count));
    return kNames[static_cast<std::size_t>(reason)];
}

void Host::act(const Attempt& a) {
    const auto found = requests_.find(a.id);
    const int attempt = found == requests_.end() ? 0 : found->second.attempts++;
    if (found == requests_.end() || !found->second.done) {
        // Ended meanwhile: nothing more may be sent for it.
        return post(AttemptEnded{a.id, a.node, Outcome::NotSent, attempt, 0, true, 0, 0});
    }
    auto& r = found->second;
    ++counters_.attempts;
    ++r.out;
    const double until = a.expireAtMs > 0 ? std::min(a.expireAtMs, r.deadline) : r.deadline;
    note("attempt", a.id, a.node, std::to_string(attempt));
    char units[32];
    std::snprintf(units, sizeof units, "%g", r.work.units);
    const AttemptLabel label{a.id, attempt,
                             "class=" + r.work.requestClass + ";volume=" + std::to_string(r.work.volume) +
                                 ";units=" + units + ";key=" + std::to_string(r.work.key)};
    const auto send = edges_.nodes->send(
        a.node, r.work.nodeRequest, label, until - io::nowMs(),
        [this, alive = alive_, id = a.id, attempt, node = a.node](AttemptResult result) {
            if (*alive) onResult(id, attempt, node, std::move(result));
        },
        [this, alive = alive_, id = a.id, attempt, node = a.node] {
            return *alive && mayBegin(id, attempt, node);
        });
    r.sends.push_back(send);
}

bool Host::mayBegin(const std::string& id, int attempt, const std::string& node) {
    const auto stillOpen = [&] {
        const auto at = requests_.find(id);
        return at != requests_.end() && at->second.done != nullptr;
    };
    if (!stillOpen()) return false;
    const auto awaited = requests_.at(id).work.clientWaiting;
    if (awaited && (!awaited() || !stillOpen())) return false;
    const double now = io::nowMs();
    if (!scheduler_.mayBegin(now, id, attempt) || !guard_.mayBegin(id, attempt, node, now)) return false;
    events_.emplace_back(AttemptBegun{id});  // the next step comes soon enough
    return true;
}

void Host::onResult(const std::string& id, int attempt, const std::string& node, AttemptResult result) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    auto& r = found->second;
    --r.out;
    guard_.onEnded(id, attempt, result.outcome);
    ++counters_.outcomes[result.outcome];
    note("outcome", id, node, std::to_string(static_cast<int>(result.outcome)));
    const bool served = result.outcome == Outcome::Served;
    AttemptEnded v{
        id, node, result.outcome, attempt, result.tookMs, served || !r.done, result.usage, result.othersGot};
    if (served && r.done) {
        Answer answer;
        answer.kind = Answer::Kind::Served;
        answer.status = result.status;
        answer.body = std::move(result.body);
        answer.shard = shardOf(node);
        finish(id, std::move(answer));
    } else if (!r.done && r.out == 0) forget(id);
    post(std::move(v));
}

// The one answer. What is still out for it is waited for, so that the module hears of each attempt.
void Host::finish(const std::string& id, Answer answer) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || !found->second.done) return;
    const auto done = std::exchange(found->second.done, nullptr);
    guard_.onAnswered(id);
    ++(answer.kind == Answer::Kind::Served    ? counters_.served
       : answer.kind == Answer::Kind::Refused ? counters_.refused
                                              : counters_.failed);
    withdraw(found->second);
    if (found->second.out == 0) forget(id);
    done(std::move(answer));
}

void Host::forget(const std::string& id) {
    guard_.onForgotten(id);
    requests_.erase(id);
    --held_;
    if (!waiting_.empty() && !flush_.armed()) flush_.arm(0, [this] { step(); });
}

void Host::act(const Refuse& a) {
    note("refused", a.id, "", nameOf(a.reason));
    ++counters_.ends[a.reason];
    finish(a.id, {Answer::Kind::Refused, 0, {}, -1, a.retryAfterMs});
}
void Host::act(const Fail& a) {
    note("failed", a.id, "", nameOf(a.reason));
    ++counters_.ends[a.reason];
    finish(a.id, {Answer::Kind::Failed, 0, {}, -1, 0});
}
void Host::act(const Cancel& a) {
    const auto found = requests_.find(a.id);
    if (found == requests_.end() || a.attempt < 0) return;
    const auto i = static_cast<std::size_t>(a.attempt);
    if (i < found->second.sends.size()) edges_.nodes->cancel(found->second.sends[i]);
}
void Host::act(const Probe& a) {
    edges_.nodes->probe(a.node, [this, alive = alive_, node = a.node](AttemptResult result) {
        if (*alive) post(ProbeResult{node, result.outcome, result.tookMs});
    });
}
void Host::act(const SendToPeers& a) {
    if (edges_.sendToPeers) edges_.sendToPeers(a.to, a.bytes);
}
void Host::act(const SetTimer& a) {
    reminders_.add(io::nowMs() + a.afterMs);
    armReminder();
}
void Host::armReminder() {
    if (reminders_.empty()) return;
    reminder_.arm(reminders_.earliest() - io::nowMs(), [this] {
        if (reminders_.removeDue(io::nowMs())) post(Wake{});
        armReminder();
    });
}
void Host::act(const Subscribe&) {
    if (edges_.subscribe) edges_.subscribe();
}
void Host::act(const FetchList&) {
    if (edges_.fetchList) edges_.fetchList();
}
void Host::act(const LimitAccount& a) {
    if (edges_.onLimitNote) edges_.onLimitNote(a);
}

}  // namespace spokewheel::host
