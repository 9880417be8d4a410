// The decisions of spokewheel, all of them. Interface: include/spokewheel/scheduler.hpp.
// Plain state: state.hpp; bytes between hosts: peer_messages.hpp. Sections: membership, limit credits, node
// windows, held queues and ordering, kept nodes, attempts and answers, peer reports, timers. docs/design.md.
#include <algorithm>
#include <cmath>
#include <list>
#include <random>
#include <set>
#include <tuple>
#include <unordered_map>

#include "limit_parts.hpp"
#include "peer_messages.hpp"
#include "quota_pool.hpp"
#include "send_rules.hpp"
#include "settings_check.hpp"
#include "spokewheel/scheduler.hpp"
#include "state.hpp"
#include "volume_users.hpp"

namespace spokewheel {
namespace {

constexpr double kPeriodMs = 2000;
constexpr double kFirstPeerWaitMs = 50, kMostPeerWaitMs = kSubperiodMs / 2;
constexpr double kFinishPart = 0.5, kFairStep = 0.3;
constexpr double kSeekGain = 1.6;  // a node does a repeat of what it just took for about half the work
constexpr double kSuspectRetryMs = 300, kCanaryMs = 500;
constexpr double kListAnswerMs = 4000, kListAgainMs = 700, kListJitter = 1.5;  // of asking for the list
constexpr double kLostMs = 250, kLostTimes = 8;         // after which a first attempt's answer counts as lost
constexpr int kRefusedCounts = 2, kDroppedSuspect = 3;  // connections dropped with no answer in between
constexpr double kCrowdedPart = 0.5;                    // of the requests that can be open at once
constexpr double kBeginLateMs = 500;  // an attempt begins as much later than it is decided, at most
constexpr double kForgetMs = 30000;   // idle volumes and unheard peers are dropped; parts are full by then
constexpr double kIdleSubs = 2;       // without a request, after which word of others' work voids a share
constexpr std::size_t kGuestsMost = 4096;  // volumes known, beyond which one from a peer's word is not taken
constexpr std::size_t kStrangersMost = 8;  // hosts beyond a volume's number whose word of it is kept
// Nodes kept by one host for all: the shares of a cold node's budget that its keeper and two stand-ins have.
constexpr std::array<double, 3> kKeeperParts = {0.7, 0.2, 0.1};
constexpr double kAskWaitMs = 100, kAskWaitLeastMs = 30, kAskWaitMostMs = 200;  // until a keeper is deaf
constexpr double kAskAgainMs = 500, kDeafMs = 2000, kLeaseMs = 3000;
constexpr double kHeatMs = 1000, kHeatStep = 4, kHeatMost = 255;  // steps to a doubling of time in a node

}  // namespace

class Scheduler::Impl {
  public:
    Impl(const Settings& settings, std::uint64_t seed) : set_(settings), random_(seed) {
        validate(set_);
        incarnation_ = static_cast<std::uint32_t>(random_() & 0xffff);
        seq_ = random_() & 0xfffff;
        shared_ = set_.maySendToPeers && set_.hosts > NodeWindow::kMost;
    }

    std::vector<Action> step(double now, const std::vector<Event>& events) {
        out_.clear();
        now_ = now;
        if (startedAt_ < 0) {
            startedAt_ = now_;
            quotaPool_ = QuotaPool(now_);
            sub_ = subperiodOf(now_);
            if (set_.subscribe) askAt_ = now_;
        }
        for (const auto& event : events) std::visit([this](const auto& e) { on(e); }, event);
        boundary();
        settleCredits();
        if (crowded()) shedStarved();
        learnFair();
        followList();
        expire();
        dispatch();
        if (askPools()) dispatch();
        tellHeat();
        flushNotes();
        arm();
        return std::move(out_);
    }

    bool mayBegin(double now, const std::string& id, int attempt) const {
        const auto found = byId_.find(id);
        if (found == byId_.end() || found->second->ended || attempt < 0) return false;
        const Held& q = *found->second;
        if (static_cast<std::size_t>(attempt) >= q.sent.size()) return false;
        const Sent& s = q.sent[static_cast<std::size_t>(attempt)];
        const bool counted = s.cold || !cold(*s.node);
        return s.open && s.node->lifecycle == Lifecycle::Ready && counted && now < q.deadline &&
               !forgottenByNodes(q, now);
    }

    std::uint64_t unreadableMessages() const { return unreadable_; }
    std::vector<LimitAccount> limitAccounts() const {
        std::vector<LimitAccount> notes;
        for (const auto& [id, v] : volumes_)
            if (v.limited()) notes.push_back(v.note(LimitAccount::Moment::Asked));
        return notes;
    }

  private:
    // ---------------------------------------------------------------- membership
    // Ask sites: again after a failure, or when an answer stays out, spaced and jittered so that hosts
    // which failed together don't ask together.
    void followList() {
        if (now_ >= askAt_) {
            out_.emplace_back(Subscribe{});
            askAt_ = now_ + kListAnswerMs;
        }
        wake(askAt_);
    }
    void on(const ListUpdate& update) {
        if (update.form == ListForm::Failed) {
            askAt_ = std::min(askAt_, now_ + kListAgainMs * (1 + kListJitter * uniform()));
            return;
        }
        if (update.form != ListForm::Cached) askAt_ = 1e18;
        std::set<std::string> named;
        for (const auto& entry : update.entries) {
            auto& n = nodes_[entry.node];
            if (!n.id.empty()) byShard_[n.shard].erase(entry.node);
            const int before = std::exchange(n.shard, entry.shard);
            n.id = entry.node;
            n.zone = entry.zone;
            n.lifecycle = entry.lifecycle;
            if (entry.cameUpMs > n.coldFrom) {  // that is why it dropped connections
                n.coldFrom = entry.cameUpMs;
                n.suspect = false, n.dropped = 0;
            }
            byShard_[n.shard].insert(n.id);
            if (n.lifecycle == Lifecycle::Gone) leaving_.insert(n.id);
            chooseHolder(before);
            chooseHolder(n.shard);
            if (update.form != ListForm::Delta) named.insert(entry.node);
        }
        if (update.form != ListForm::Delta)
            for (auto& [id, n] : nodes_) {
                if (named.count(id)) continue;
                n.lifecycle = Lifecycle::Gone;
                leaving_.insert(id);
                chooseHolder(n.shard);
            }
        forgetGone();
    }
    // Of the nodes of a shard that are ready the one that came up last holds it.
    void chooseHolder(int shard) {
        Node* holder = nullptr;
        if (const auto found = byShard_.find(shard); found != byShard_.end())
            for (const auto& id : found->second) {
                auto& n = nodes_.at(id);
                if (n.lifecycle == Lifecycle::Ready && (!holder || n.coldFrom > holder->coldFrom))
                    holder = &n;
            }
        if (holder) holders_[shard] = holder;
        else holders_.erase(shard);
    }
    // Nodes that are gone are dropped once nothing is out at them.
    void forgetGone() {
        for (auto it = leaving_.begin(); it != leaving_.end();) {
            const auto& n = nodes_.at(*it);
            if (n.lifecycle == Lifecycle::Gone && n.inflight > 0) {
                ++it;
                continue;
            }
            if (n.lifecycle == Lifecycle::Gone) {
                const auto shard = byShard_.find(n.shard);
                shard->second.erase(n.id);
                if (shard->second.empty()) byShard_.erase(shard);
                nodes_.erase(*it);
            }
            it = leaving_.erase(it);
        }
    }

    // ---------------------------------------------------------------- limit credits
    void refill(Volume& v) {
        const double seconds = (now_ - v.filledAt) / 1000;
        v.filledAt = now_;
        v.level = std::min(v.plan->limitBurst, v.level + v.plan->limit * seconds);
        v.share.refill(now_);
    }
    bool mayDraw(Volume& v, double units) {
        if (!v.limited()) return true;
        refill(v);
        const bool credit = v.credit - v.r >= units;
        const bool share = v.share.available() >= units;
        if (credit && !share) v.quota.want();
        quotaWanted_ = quotaWanted_ || v.quota.wanted();
        // Where there are pools, one that was just asked may still have it.
        v.starved = v.starved || !credit || (!share && !pooled());
        v.wasShort = v.wasShort || !credit || !share;
        return credit && share;
    }
    void note(const Volume& v, LimitAccount::Moment moment) {
        if (set_.reportLimitAccounts && v.limited()) out_.emplace_back(v.note(moment));
    }
    void noteShortage(Volume& v) {
        if (!std::exchange(v.wasShort, false) || now_ < v.noteShortFrom) return;
        v.noteShortFrom = now_ + kPeriodMs;
        note(v, LimitAccount::Moment::Short);
    }
    void draw(Volume& v, double units) {
        if (!v.limited()) return;
        v.level -= units;
        v.r += units;
        v.total += std::ceil(units);
        v.share.draw(units);
        if (set_.reportsAttemptBegun) v.share.reserve(units);
    }
    // What was drawn for the request is with its node, or never will be.
    void release(Held& q) {
        if (q.drawn && !std::exchange(q.begun, true) && set_.reportsAttemptBegun && q.volume->limited())
            q.volume->share.release(q.request.units);
    }
    void on(const AttemptBegun& begun) {
        if (const auto found = byId_.find(begun.id); found != byId_.end()) release(*found->second);
    }
    void boundary() {
        const auto sub = subperiodOf(now_);
        wake((static_cast<double>(sub) + 1) * kSubperiodMs);
        if (sub <= sub_) return;
        sub_ = sub;
        boundaryAt_ = now_;
        due_ = true;
        dropIdle();
        for (auto& [id, v] : volumes_) {
            v.held = 0;
            if (!v.limited()) continue;
            refill(v);
            noteShortage(v);
            v.credit = std::max(0.0, v.credit - v.r);
            v.rLast = v.r;
            v.r = 0;
        }
        for (const auto& [seq, q] : held_)
            if (!q->drawn) q->volume->held += q->request.units;
        report();
    }
    // Not heard of this subperiod though it was busy in the last.
    bool silent(const PeerView& view) const { return view.sub != sub_ && view.r + view.held > 0; }
    void settleCredits() {
        if (!due_) return;
        bool all = true;
        for (const auto& [id, v] : volumes_)
            for (const auto& [rank, view] : v.peers) all = all && !silent(view);
        const double until = boundaryAt_ + std::min(kMostPeerWaitMs, 2 * peerDelay_);
        if (!all && now_ < until) return wake(until);
        due_ = false;
        for (auto& [id, v] : volumes_)
            if (v.limited()) split(v);
        shedStarved();
    }
    // So many requests are open that clients may soon find no place here.
    bool crowded() const { return set_.maxOpen > 0 && byId_.size() > kCrowdedPart * set_.maxOpen; }
    // Departure: of what waits for credit, what this host's part of the limit can't reach while it is worth
    // being served is refused now, with the time at which it could be, and not held to its end. Should keep a
    // volume beyond its limit from taking the places of all clients; wastes late answers that a lull allows.
    void shedStarved() {
        std::map<std::int64_t, std::vector<std::tuple<double, double, std::uint64_t, Held*>>> waiting;
        for (auto& [seq, q] : held_)
            if (!q->drawn && q->volume->limited())
                waiting[q->request.volume].emplace_back(-worth(*q, now_), q->aimAt, seq, q);
        for (auto& [volume, queue] : waiting) {
            const auto& v = volumes_.at(volume);
            std::sort(queue.begin(), queue.end());
            double units = 0;
            for (const auto& [value, aimAt, seq, q] : queue) {
                const double reached = 1000 * ((units + q->request.units) / v.part - v.level) / v.plan->limit;
                if (now_ + reached <= usefulUntil(*q)) units += q->request.units;
                else refuse(*q, reached);
            }
        }
    }
    double usefulUntil(const Held& q) const { return now_ < q.aimAt || crowded() ? q.aimAt : giveUpAt(q); }

    // As many as its requests tell of, or more where more report work: then its requests have moved.
    int hostsAtWork(const Volume& v) const {
        int working = 1;
        for (const auto& [rank, view] : v.peers) working += view.sub + 1 >= sub_ && view.r + view.held > 0;
        return std::max(v.hosts, working);
    }

    // The design's split: half of the rebuilt level evenly, half by w = Q + r, both floored. Hosts that have
    // not made themselves known count as idle: of many that share a volume most have no work for it.
    void split(Volume& v) {
        refill(v);
        const double b = hostsAtWork(v), w = v.held + v.rLast;
        double d = std::max(0.0, v.level + v.r), sum = w;
        int quiet = 0;
        for (auto& [rank, view] : v.peers)
            if (silent(view)) ++quiet;
            else sum += view.r + view.held;
        // One beyond the volume's number is silent since its requests moved, not since its word was lost.
        quiet = std::min(quiet, v.hosts - 1);
        const double part = std::floor(d / b);
        d = std::max(0.0, d - quiet * part);
        sum += quiet * part;
        if (v.first || sum <= 0) v.credit = std::floor(d / b);
        else v.credit = std::floor(d / (2 * b)) + std::floor(d * w / (2 * sum));
        v.first = false;
        v.part = sum > 0 ? std::max(1 / b, w / sum) : 1 / b;
    }

    // ---------------------------------------------------------------- quota leases
    bool pooled() const { return set_.maySendToPeers && set_.hosts > 1; }
    LimitParts parts(const Volume& v) const {
        return partsOf(*v.plan, hostsAtWork(v), set_.maxUnits, pooled());
    }
    int poolHost(std::int64_t volume, std::size_t pool) const {
        return spokewheel::poolHost(volume, pool, set_.hosts);
    }
    // For what waits and its own part does not cover. True: something was leased at once.
    bool askPools() {
        if (!std::exchange(quotaWanted_, false) || !pooled()) return false;
        std::map<Volume*, std::vector<double>> waiting;
        for (const auto& [seq, q] : held_)
            if (!q->drawn && q->volume->quota.wanted() && now_ >= q->notBefore)
                waiting[q->volume].push_back(q->request.units);
        bool leased = false;
        std::map<int, QuotaMessage> messages;
        for (auto& [volume, units] : waiting) {
            leased = askPool(*volume, units, messages) || leased;
            wake(volume->quota.wakeAtMs(now_));
        }
        for (const auto& [rank, message] : messages)
            for (const auto& bytes : pack(message)) out_.emplace_back(SendToPeers{rank, bytes});
        return leased;
    }
    bool askPool(Volume& v, const std::vector<double>& waiting, std::map<int, QuotaMessage>& messages) {
        const auto plan = static_cast<std::size_t>(v.plan - set_.plans.data());
        const auto ask = v.quota.next({waiting, v.share.available(), v.credit - v.r},
                                      {v.id, ++seq_, plan, 0, hostsAtWork(v)}, now_);
        if (!ask) return false;
        const int rank = poolHost(v.id, ask->pool);
        if (rank == set_.rank) return take(v, leaseFor(rank, *ask));
        messages[rank].asks.push_back(*ask);
        v.quota.sent(now_, 4 * peerDelay_);
        return false;
    }
    QuotaAnswer leaseFor(int rank, const QuotaAsk& ask) {
        const auto split = partsOf(set_.plans[ask.plan], ask.hosts, set_.maxUnits, true);
        const auto answer =
            quotaPool_.lease(ask.volume, split.pools[ask.pool], {rank, ask.seq}, ask.least, ask.most, now_);
        return {ask.volume, ask.seq, answer.units, answer.retryAfterMs};
    }
    bool take(Volume& v, const QuotaAnswer& answer) {
        if (!v.quota.awaits(answer)) return false;
        const auto untilMs = v.quota.leasedUntil(answer, now_);
        wake(v.quota.wakeAtMs(now_));
        if (untilMs) {
            v.share.lease(answer.units, *untilMs);
            return true;
        }
        v.starved = true;
        v.level = std::min(v.level, v.quota.mostLeft(parts(v), hostsAtWork(v), now_));
        return false;
    }
    void onQuota(int from, const QuotaMessage& message) {
        for (const auto& answer : message.answers)
            if (const auto found = volumes_.find(answer.volume);
                found != volumes_.end() && found->second.limited() &&
                answer.units <= found->second.plan->limitBurst)
                take(found->second, answer);
        QuotaMessage reply;
        for (const auto& ask : message.asks)
            if (pooled() && poolHost(ask.volume, ask.pool) == set_.rank)
                reply.answers.push_back(leaseFor(from, ask));
        for (const auto& bytes : pack(reply)) out_.emplace_back(SendToPeers{from, bytes});
    }

    // ---------------------------------------------------------------- node windows
    Node* holder(int shard) {
        const auto found = holders_.find(shard);
        return found == holders_.end() ? nullptr : found->second;
    }
    bool cold(const Node& n) const { return n.suspect || now_ < n.coldFrom + set_.coldMs; }
    // No verdict while something has been out for far longer than usual: a hang, a dead machine, a long
    // pause or a very heavy request all look like this from here.
    bool silent(const Node& n) const {
        return now_ - n.unansweredFrom > std::max(600.0, 8 * n.window.msPerUnit() * set_.meanUnits);
    }
    bool hasRoom(Node& n, double units) {
        if (n.lifecycle != Lifecycle::Ready || now_ < n.notBefore) return false;
        const double part = partOf(n.shard);
        if (silent(n) || (part <= 0 && !cold(n))) {
            const double most = part > 0 ? n.window.size() : NodeWindow::kLeast;
            if (n.inflight >= most || now_ < n.lastSend + kCanaryMs) return false;
            if (!cold(n)) return true;  // a trial at a cold one draws on what all hosts may send there
        }
        if (cold(n)) {
            // What all hosts may send in any case grows with the capacity that the rules promise at this
            // age; own completions add less than they were, for repeats and writes cost less than counted.
            const double age = n.suspect ? 0 : std::min(1.0, (now_ - n.coldFrom) / set_.coldMs);
            const double grown = 1 + age * (1 / std::max(set_.coldShare, 0.01) - 1);
            // The process before this one may have sent what still counts, if the node was up by then.
            const bool unsure =
                now_ < startedAt_ + set_.overloadSpanMs && (n.suspect || n.coldFrom < startedAt_);
            if (unsure || n.inflight >= std::max(1.0, std::floor(age * n.window.size()))) return false;
            const double from = now_ - set_.overloadSpanMs,
                         beyond = 1 - 1 / std::max(1.0, set_.overloadFactor);
            const double mine = grown * set_.coldUnits * part, sent = n.coldSent.since(from);
            return sent + units <= mine + beyond * n.coldDone.since(from) ||
                   (!shared_ && sent <= 0 && lotFalls(n, units, mine));
        }
        return n.inflight < std::floor(n.window.size());
    }
    // Where this host's part of what a cold node bears is under one request, a lot drawn anew in each fall
    // time decides whether it sends one all the same: half as many on the mean as all together may, for a
    // burst can meet two draws. One that was never told as cold is tried now and then, the rarer the more
    // hosts there are.
    bool lotFalls(Node& n, double units, double mine) {
        if (n.suspect && now_ >= n.coldFrom + set_.coldMs)
            return now_ >= n.lastSend + kCanaryMs * (1 + set_.hosts / NodeWindow::kMost);
        if (now_ >= n.lotUntil) {
            n.lotUntil = now_ + set_.overloadSpanMs * (n.lotUntil < 0 ? uniform() : 1);
            n.lot = uniform();
        }
        return n.lot * 2 * units < mine;
    }

    // ---------------------------------------------------------------- held queues and ordering
    void on(const Request& request) {
        const auto* kind = named(set_.classes, request.requestClass);
        const auto* plan = named(set_.plans, request.plan);
        if (set_.retryBudgetSpanMs > 0) taken_.entries.push_back({now_, 1});
        if (byId_.count(request.id)) return;
        if (!kind || !plan) return refuse(request.id, EndReason::UnknownKind);
        auto& v = volumes_[request.volume];
        if (!v.plan) begin(request.volume, v, *plan, request.hosts);
        v.hosts = std::max(1, request.hosts);
        if (v.limited()) v.share.seen(parts(v).own, hostsAtWork(v), now_);
        v.usedAt = now_;
        ++v.users;
        // Less time than this class ever came with has been spent before: a client's earlier try, or a stall
        // of this host that kept the request waiting unseen. Its aim has been running meanwhile.
        double& longest = longestTtl_[kind];
        longest = std::max(longest, request.ttlMs);
        auto& q = admit(request, *kind, *plan, kind->latencyTargetMs - (longest - request.ttlMs));
        q.volume = &v;
        held_[q.seq] = &q;
        if (q.ordered()) queue(keys_[request.key], q);
        noteDue(v, request.units);
    }
    // A volume's first sight: what could have been drawn of it without this process's knowledge counts as
    // drawn. Without peers its requests come through this host alone, or its hosts' parts are fixed: nobody
    // but the process before this one drew from the part.
    void begin(std::int64_t id, Volume& v, const Plan& plan, int hosts) {
        v.id = id;
        v.plan = &plan;
        v.filledAt = pooled() ? now_ : startedAt_;
        v.hosts = std::max(1, hosts);
        if (!v.limited()) return;
        if (pooled()) v.level = plan.limitBurst;  // as far as no pool refuses
        v.share.begin(parts(v).own, v.hosts, v.filledAt);
        refill(v);
        split(v);
        note(v, LimitAccount::Moment::FirstSight);
    }
    // All hosts share this volume, and one of them is short of credit: this one takes part before it has a
    // request of its own, so that what idles here can be lent.
    void join(int from, const Introduction& word) {
        const auto found = volumes_.find(word.volume);
        const auto& plan = set_.plans[word.plan];
        if (plan.limit <= 0 || (found == volumes_.end() && volumes_.size() >= kGuestsMost)) return;
        auto& v = volumes_[word.volume];
        if (!v.plan) {
            v.usedAt = -1e18;
            begin(word.volume, v, plan, set_.hosts);
        }
        if (v.limited() && v.hosts == set_.hosts) v.peers[from].heardAt = now_;
    }
    void queue(KeyTurn& key, Held& q) {
        // The process before this one may have left an attempt in doubt.
        key.restUntil = std::max(key.restUntil, startedAt_ + set_.settleAfterDoubtMs);
        if (key.restUntil > now_) wake(key.restUntil);
        key.turn.push_back(&q);
    }
    void unhold(Held& q) { (q.owner < 0 ? held_ : asks_[q.goal]).erase(q.seq); }
    Held& admit(const Request& request, const RequestClass& kind, const Plan& plan, double aimLeft) {
        pool_.emplace_back();
        auto& q = pool_.back();
        q.request = request;
        q.kind = &kind;
        q.plan = &plan;
        q.goal = request.shard;
        q.seq = ++seq_;
        q.arrived = now_;
        q.deadline = now_ + request.ttlMs;
        q.aimAt = now_ + aimLeft;
        byId_[request.id] = std::prev(pool_.end());
        deadlines_.insert({q.deadline, request.id});
        return q;
    }

    void noteDue(Volume& v, double units) {
        const double part = v.dues.fraction(v.hosts, now_);
        const VolumeDues::Rates rates{part * v.plan->reservation, fairPerWeight_ * v.plan->weight * part};
        v.dues.arrive(units, rates, set_.maxUnits, now_);
    }
    double worth(Held& q, double finish) {
        const double base = q.kind->points * q.plan->worthFactor;
        if (finish > q.aimAt) return base * q.kind->lateWorth * set_.spareWorth;
        appraise(q);
        return base * (q.full + q.fair * set_.fairWorth + (1 - q.full - q.fair) * set_.spareWorth);
    }
    // The parts of a request that are still due to its volume; of another host's, what that host said.
    void appraise(Held& q) {
        if (q.owner >= 0) return;
        const double u = std::max(q.request.units, 1e-9);
        const auto* s = q.volume->dues.of(q.arrived);
        q.full = s ? std::min(u, s->reserve) / u : 0;
        q.fair = s ? std::min(1 - q.full, s->fair / u) : 0;
    }
    void takeDue(const Held& q) {
        auto* s = q.volume->dues.of(q.arrived);
        if (!s) return;
        const double full = std::min(q.request.units, s->reserve);
        s->reserve -= full;
        s->fair -= std::min(q.request.units - full, s->fair);
        beyond_ += q.request.units - full;
    }
    // Once a second: what a unit of weight got beyond the reserves through this host is what it is due.
    void learnFair() {
        if (now_ < fairLearnedAt_ + 1000) return;
        double weights = 0;
        for (auto& [id, v] : volumes_)
            if (v.dues.beyondSince(fairLearnedAt_))
                weights += v.plan->weight * v.dues.fraction(v.hosts, now_);
        const double rate = beyond_ * 1000 / std::min(2000.0, now_ - fairLearnedAt_);
        if (weights > 0) fairPerWeight_ += kFairStep * (rate / weights - fairPerWeight_);
        beyond_ = 0;
        fairLearnedAt_ = now_;
    }
    bool itsTurn(const Held& q) {
        if (!q.ordered()) return true;
        const auto& k = keys_[q.request.key];
        return k.turn.front() == &q && now_ >= k.restUntil;
    }
    // A new object goes where it's likely done first, which also decides where its readers will go.
    Node* place(const Held& q) {
        if (q.goal >= 0) {
            Node* n = holder(q.goal);
            return n && mayGoTo(q, *n) && hasRoom(*n, q.request.units) ? n : nullptr;
        }
        Node* found = nullptr;
        double least = 0;
        for (auto& [id, n] : nodes_) {
            if (!mayGoTo(q, n) || silent(n) || !hasRoom(n, q.request.units)) continue;
            const double cost = timeIn(n) * (cold(n) ? 50 : 1);
            if (!found || cost < least) found = &n, least = cost;
        }
        return found;
    }
    double timeIn(const Node& n) {
        return std::max(n.window.msPerUnit(), 1.0) * (1 + n.unitsOut + backlog_[n.shard]);
    }
    bool full(const Node& n) const { return !cold(n) && n.inflight >= std::floor(n.window.size()); }
    void dispatch() {
        std::vector<std::tuple<double, double, std::uint64_t, Held*>> ranked;  // worth first, then aim
        const auto rank = [&](Held& q) {
            const Node* n = q.goal >= 0 ? holder(q.goal) : nullptr;
            if (q.goal >= 0 && (!n || full(*n))) return;
            double value = worth(q, now_ + kFinishPart * (n ? n->window.msPerUnit() : 0) * q.request.units);
            if (n && std::count(n->recentKeys.begin(), n->recentKeys.end(), q.keyMark())) value *= kSeekGain;
            ranked.emplace_back(-value, q.aimAt, q.seq, &q);
        };
        backlog_.clear();
        for (auto& [seq, q] : held_) {
            if (q->notBefore > now_) wake(q->notBefore);
            if (q->notBefore > now_ || !itsTurn(*q) || !decidedHere(*q)) continue;
            if (q->goal >= 0) backlog_[q->goal] += q->request.units;
            rank(*q);
        }
        for (const auto& [shard, queue] : asks_) {
            if (!queue.empty()) backlog_[shard] += set_.meanUnits * static_cast<double>(queue.size());
            if (const Node* n = holder(shard); !n || full(*n)) continue;
            for (const auto& [seq, q] : queue) rank(*q);
        }
        std::sort(ranked.begin(), ranked.end());
        for (const auto& [value, aimAt, seq, q] : ranked)
            if (mayStart(*q))
                if (Node* n = place(*q)) send(*q, *n);
        for (const auto& [shard, units] : backlog_) {
            const Node* n = holder(shard);
            if (!n) continue;
            if (n->notBefore > now_) wake(n->notBefore);
            else if (n->inflight > 0 || cold(*n)) wake(now_ + 50);
        }
    }
    bool mayStart(Held& q) {
        if (q.owner >= 0) return true;
        return (q.drawn || mayDraw(*q.volume, q.request.units)) && (q.sent.empty() || extraAllowed());
    }

    // ---------------------------------------------------------------- nodes kept by one host for all
    // Where hosts outnumber a window's places, a window at each host holds no order in the node: 200 hosts
    // with one request out each are a queue of 200. So one host, found by the shard's number, keeps the
    // node's window, budget while cold and order of worth for all; the others ask it for each send, and tell
    // it the outcome. Lost messages and dead keepers: the next stand-in after a wait, then one at a time.
    int candidate(int shard, std::size_t k) const {
        std::minstd_rand mix(static_cast<unsigned>(shard) * 3 + static_cast<unsigned>(k) + 1);
        return static_cast<int>(mix() % static_cast<unsigned>(set_.hosts));
    }
    int keeperOf(int shard) {
        for (std::size_t k = 0; k < kKeeperParts.size(); ++k) {
            const int rank = candidate(shard, k);
            if (rank == set_.rank || now_ >= peers_[rank].deafUntil) return rank;
        }
        return set_.rank;
    }
    // The part of a node's budget while cold that this host decides about.
    double partOf(int shard) const {
        if (!shared_) return 1.0 / set_.hosts;
        for (std::size_t k = 0; k < kKeeperParts.size(); ++k)
            if (candidate(shard, k) == set_.rank) return kKeeperParts[k];
        return 0;
    }
    // New objects: the least heated of three drawn at random, for hosts that all pick the best would jam it.
    int pick(const Held& q) {
        std::vector<const Node*> fit, chilled;
        for (const auto& [shard, n] : holders_)
            if (mayGoTo(q, *n)) (cold(*n) ? chilled : fit).push_back(n);
        if (fit.empty()) fit.swap(chilled);
        const Node* best = nullptr;
        for (int i = 0; i < 3 && !fit.empty(); ++i) {
            const Node* n = fit[static_cast<std::size_t>(uniform() * static_cast<double>(fit.size()))];
            if (!best || n->heat < best->heat) best = n;
        }
        return best ? best->shard : -1;
    }
    // Whether this host decides about a request; else its keeper was asked.
    bool decidedHere(Held& q) {
        if (!shared_ || q.owner >= 0) return true;
        if (q.keeper < 0 || now_ >= q.askDue) {
            if (q.keeper >= 0 && !q.acked) peers_[q.keeper].deafUntil = now_ + kDeafMs;
            q.keeper = -1;
            if (!mayStart(q)) return false;
            if (q.request.shard < 0) q.goal = pick(q);
            const Node* n = holder(q.goal);
            if (!n) return false;
            q.keeper = keeperOf(q.goal);
            q.acked = q.keeper == set_.rank;
            q.askedAt = now_;
            q.askDue = now_ + (q.acked ? kAskAgainMs : askWait_);
            if (!q.acked) putAsk(q, *n);
        }
        wake(q.askDue);
        return q.keeper == set_.rank;
    }
    void putAsk(Held& q, const Node& n) {
        appraise(q);
        Note ask{NoteKind::Ask, q.seq, q.goal};
        ask.requestClass = static_cast<std::size_t>(q.kind - set_.classes.data());
        ask.plan = static_cast<std::size_t>(q.plan - set_.plans.data());
        ask.full = q.full, ask.fair = q.fair, ask.units = q.request.units;
        ask.latencyTargetMs = q.aimAt - now_, ask.ttlMs = q.deadline - now_;
        ask.key = q.keyMark();
        if (cold(n)) ask.coldAgeMs = std::min(now_ - n.coldFrom, set_.coldMs);
        notes_[q.keeper].push_back(ask);
    }
    static std::string askId(int from, std::uint64_t seq) {
        return "@" + std::to_string(from) + ":" + std::to_string(seq);
    }
    void take(int from, const Note& a) {
        const auto id = askId(from, a.seq);
        if (Node* n = holder(a.shard); n && a.coldAgeMs >= 0)
            n->coldFrom = std::max(n->coldFrom, now_ - a.coldAgeMs);
        newAsks_.push_back(id);
        if (byId_.count(id)) return;
        auto& q = admit({id, "", "", a.key, 0, a.ttlMs, a.units, a.shard, 1}, set_.classes[a.requestClass],
                        set_.plans[a.plan], a.latencyTargetMs);
        q.full = a.full;
        q.fair = std::min(1 - a.full, a.fair);
        q.owner = from;
        q.ownerSeq = a.seq;
        asks_[a.shard][q.seq] = &q;
    }
    void granted(int from, std::uint64_t seq) {
        const auto found = held_.find(seq);
        Held* q = found == held_.end() ? nullptr : found->second;
        Node* n = q ? holder(q->goal) : nullptr;
        if (n && q->keeper == from && mayGoTo(*q, *n) && itsTurn(*q) && mayStart(*q) &&
            n->inflight < NodeWindow::kMost) {
            heardKeeper(*q);
            send(*q, *n);
            q->sent.back().lease = from;
            return;
        }
        if (q && q->keeper == from) q->notBefore = now_ + kRetryMs, q->keeper = -1;
        notes_[from].push_back({NoteKind::Done, seq, -1, static_cast<int>(Outcome::NotSent)});
    }
    void heardKeeper(Held& q) {
        if (!q.acked)
            askWait_ +=
                0.2 * (std::clamp(3 * (now_ - q.askedAt), kAskWaitLeastMs, kAskWaitMostMs) - askWait_);
        q.acked = true;
        q.askDue = now_ + kAskAgainMs + (now_ - q.arrived) / 2;  // ever rarer: jams make many asks
    }
    // A keeper tells all when the time in its node has changed much, for those who place new objects.
    void tellHeat() {
        if (!shared_) return;
        for (auto& [shard, n] : holders_) {
            if (candidate(shard, 0) != set_.rank || now_ < n->heatToldAt + kHeatMs) continue;
            n->heat = silent(*n) ? kHeatMost
                                 : std::min(kHeatMost - 1, std::round(kHeatStep * std::log2(1 + timeIn(*n))));
            if (std::abs(n->heat - n->heatTold) < kHeatStep) continue;
            n->heatTold = n->heat;
            n->heatToldAt = now_;
            notes_[-1].push_back({NoteKind::Heat, 0, shard, 0, 0, n->heat});
        }
    }
    void flushNotes() {
        for (const auto& id : newAsks_)
            if (const auto found = byId_.find(id); found != byId_.end() && found->second->open == 0)
                notes_[found->second->owner].push_back({NoteKind::Ack, found->second->ownerSeq});
        newAsks_.clear();
        for (const auto& [rank, notes] : notes_)
            for (const auto& bytes : pack(notes)) out_.emplace_back(SendToPeers{rank, bytes});
        notes_.clear();
    }
    void onNotes(int from, const std::vector<Note>& notes) {
        peers_[from].deafUntil = -1e18;
        for (const auto& n : notes) {
            const auto found = held_.find(n.seq);
            if (n.kind == NoteKind::Ask) take(from, n);
            else if (n.kind == NoteKind::Grant) granted(from, n.seq);
            else if (n.kind == NoteKind::Done)
                on(AttemptEnded{askId(from, n.seq), "", static_cast<Outcome>(n.outcome), 0, n.tookMs, true, 0,
                                0});
            else if (n.kind == NoteKind::Ack && found != held_.end() && found->second->keeper == from)
                heardKeeper(*found->second);
            else if (Node* node = n.kind == NoteKind::Heat ? holder(n.shard) : nullptr) node->heat = n.heat;
        }
    }

    // ---------------------------------------------------------------- attempts and answers
    bool extraAllowed() {
        if (set_.retryBudgetSpanMs <= 0) return true;
        const double from = now_ - set_.retryBudgetSpanMs;
        return extra_.since(from - kBeginLateMs) + 1 <=
               set_.retryBudgetFloor + set_.retryBudgetShare * taken_.since(from + kBeginLateMs);
    }
    void send(Held& q, Node& n) {
        // A trial at a silent node is bounded where it may be repeated, so that it can be tried again. Should
        // cover hangs, dead machines and cut links; wastes one attempt where the node was only slow.
        const bool trial = q.kind->effect == Effect::Repeatable && silent(n);
        double expireAt = trial ? std::min(q.deadline, now_ + 2 * kCanaryMs) : q.deadline;
        // Departure: a first attempt that may be repeated has far longer than its like take, not all the
        // time. Should cover answers that are lost on their way; wastes one attempt of a heavy request.
        if (q.kind->effect == Effect::Repeatable && q.sent.empty() && !trial && !cold(n) &&
            n.window.known() && set_.maxAttempts > 1 && extraAllowed())
            expireAt = std::min(
                expireAt, now_ + std::max(kLostMs, kLostTimes * n.window.msPerUnit() * q.request.units));
        if (q.owner < 0) {
            if (!q.drawn) draw(*q.volume, q.request.units);
            q.drawn = true;
            if (!q.sent.empty() && set_.retryBudgetSpanMs > 0) extra_.entries.push_back({now_, 1});
            takeDue(q);
        }
        q.sent.push_back({&n, now_, true, cold(n)});
        ++q.open;
        ++n.inflight;
        n.unitsOut += q.request.units;
        n.unansweredFrom = std::min(n.unansweredFrom, now_);
        n.lastSend = now_;
        if (cold(n)) n.coldSent.entries.push_back({now_, q.request.units});
        n.recentKeys = {n.recentKeys[1], q.keyMark()};
        unhold(q);
        if (q.owner >= 0) {
            notes_[q.owner].push_back({NoteKind::Grant, q.ownerSeq});
            deadlines_.insert({std::min(q.deadline, now_ + kLeaseMs), q.request.id});
        } else out_.emplace_back(Attempt{q.request.id, n.id, expireAt});
    }
    void on(const AttemptEnded& verdict) {
        const auto found = byId_.find(verdict.id);
        if (found == byId_.end()) return;
        Held& q = *found->second;
        const auto shot = static_cast<std::size_t>(verdict.attempt);
        if (q.owner >= 0 && q.sent.empty()) return drop(q);  // no longer wanted
        if (shot >= q.sent.size() || !q.sent[shot].open) return;
        Sent& s = q.sent[shot];
        Node& n = *s.node;
        s.open = false;
        --q.open;
        --n.inflight;
        n.unitsOut -= q.request.units;
        if (s.lease >= 0)
            notes_[s.lease].push_back(
                {NoteKind::Done, q.seq, -1, static_cast<int>(verdict.outcome), verdict.tookMs});
        const auto was = [&verdict](auto... any) { return ((verdict.outcome == any) || ...); };
        const bool answered = was(Outcome::Served, Outcome::ServerError);
        const bool neverRan = was(Outcome::Rejected, Outcome::NotSent, Outcome::NoConnection);
        const bool inDoubt = !answered && !neverRan;
        if (answered || was(Outcome::Rejected)) {
            n.unansweredFrom = n.inflight > 0 ? now_ : 1e18;
            n.dropped = 0;
        }
        if (was(Outcome::Served)) {
            // A node that dropped connections may have come back cold before the list says so.
            if (n.suspect && s.at >= n.notBefore) {
                n.suspect = false;
                n.coldFrom = std::max(n.coldFrom, now_);
            }
            n.window.served({verdict.tookMs, q.request.units, std::max(1.0, q.kind->latencyTargetMs), s.at},
                            n.inflight, now_);
            if (cold(n)) n.coldDone.entries.push_back({now_, q.request.units});
            if (q.owner < 0) q.volume->dues.served(q.request.units, now_);
        } else if (was(Outcome::Rejected)) {
            n.window.turnedAway();
            n.notBefore = std::max(n.notBefore, now_ + kRetryMs);
        } else if (was(Outcome::NoConnection, Outcome::ConnectionLost)) {
            // A machine that died drops all its connections and takes none; where answers come in between it
            // was the connection alone.
            n.dropped += was(Outcome::NoConnection) ? kRefusedCounts : 1;
            n.suspect = n.suspect || n.dropped >= kDroppedSuspect;
            if (n.suspect) n.notBefore = now_ + kSuspectRetryMs;
            else if (was(Outcome::NoConnection)) n.notBefore = std::max(n.notBefore, now_ + kRetryMs);
        }
        if (verdict.usage > 0 && set_.usagePeriodMs > 0)
            q.volume->dues.metered((verdict.usage - 1) / 100 * q.plan->nominal, now_);
        if (inDoubt && q.ordered()) {
            auto& k = keys_[q.request.key];
            k.restUntil = std::max(k.restUntil, now_ + set_.settleAfterDoubtMs);
            wake(k.restUntil);
        }
        if (!neverRan && !q.mayHaveRun) {
            q.mayHaveRun = true;
            q.mayRunAt = s.at;
            q.boundShard = n.shard;
            q.boundZone = n.zone;
        }
        if (verdict.requestEnded) q.ended = true;
        if (!q.ended && q.open == 0) again(q, verdict.outcome);
        forget(q);
    }
    // After an attempt that failed: hold it again where its class and the rules allow, else answer.
    void again(Held& q, Outcome outcome) {
        if (!mayRepeat(q, set_, now_)) return answer(q, EndReason::AttemptsUsed);
        q.notBefore = now_ + (outcome == Outcome::Rejected ? kRetryMs : 0);
        q.keeper = -1;
        held_[q.seq] = &q;
    }
    void answer(Held& q, EndReason reason) {
        if (harmlessToRefuse(q)) refuse(q.request.id, reason);
        else out_.emplace_back(Fail{q.request.id, reason});
        q.ended = true;
        unhold(q);
    }
    void refuse(const std::string& id, EndReason reason, double retryAfterMs = 0) {
        out_.emplace_back(Refuse{id, std::clamp(retryAfterMs, 0.0, set_.maxRetryAfterMs), reason});
    }
    void refuse(Held& q, double retryAfterMs) {
        refuse(q.request.id, EndReason::BeyondLimit, retryAfterMs);
        q.ended = true;
        forget(q);
    }
    void forget(Held& q) {
        if (!q.ended || q.open > 0) return;
        if (q.ordered()) {
            auto& turn = keys_[q.request.key].turn;
            turn.remove(&q);
        }
        unhold(q);
        if (q.owner < 0) {
            release(q);
            --q.volume->users;
        }
        const auto at = byId_.at(q.request.id);
        byId_.erase(q.request.id);
        pool_.erase(at);
    }
    void drop(Held& q) {
        unhold(q);
        q.ended = true;
        forget(q);
    }
    void on(const ClientGone& gone) {
        if (const auto found = byId_.find(gone.id); found != byId_.end()) drop(*found->second);
    }
    void on(const ResponseStarted& started) {
        const auto found = byId_.find(started.id);
        if (found != byId_.end()) found->second->started = found->second->kind->stream;
    }
    void on(const ShutdownDeadline& by) {
        for (auto& q : pool_) {
            if (q.owner >= 0 || q.deadline <= by.atMs) continue;
            q.deadline = by.atMs;
            deadlines_.insert({q.deadline, q.request.id});
        }
    }
    template <class Unused>
    void on(const Unused&) {}  // wakes and probes' results
    // Held work is answered just before its client gives up, and sooner once its time to repeat is over.
    void expire() {
        std::vector<Held*> over;
        const double margin = 2 * set_.tickMs;
        for (auto& [seq, q] : held_) {
            const double until = q->sent.empty() ? giveUpAt(*q) + margin : q->deadline;
            if (now_ + margin >= std::min(until, q->deadline) || forgottenByNodes(*q, now_))
                over.push_back(q);
            else wake(std::min(until, q->deadline) - margin);
        }
        // An attempt whose outcome stays out past the client's time: the answer is owed all the same. Another
        // host's: its place in the node is taken back, for its owner may be dead or its word lost.
        while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
            const auto found = byId_.find(deadlines_.begin()->second);
            deadlines_.erase(deadlines_.begin());
            if (found == byId_.end()) continue;
            Held& q = *found->second;
            if (q.owner >= 0) on(AttemptEnded{q.request.id, "", Outcome::NoAnswer, 0, 0, true, 0, 0});
            else if (!q.started && !held_.count(q.seq)) over.push_back(&q);
        }
        if (!deadlines_.empty()) wake(deadlines_.begin()->first);
        for (auto* q : over) {
            if (!q->ended) answer(*q, q->open > 0 ? EndReason::TimeOver : EndReason::NotSentInTime);
            forget(*q);
        }
    }

    // ---------------------------------------------------------------- peer reports
    // To hosts known to share a volume, and only what changed; to all once a volume was first short of
    // credit.
    void report() {
        if (!set_.maySendToPeers || set_.hosts == 1) return;
        std::map<int, Report> reports;
        std::vector<Introduction> words;
        for (auto& [id, v] : volumes_) {
            if (!v.limited()) continue;
            const double mine = v.held + v.rLast;
            const CreditFigures mineNow{id, v.rLast, v.held, v.total, 0};
            const bool changed = mine > 0 || v.busy;
            v.busy = mine > 0;
            // Told again now and then: the word may be lost, and a restarted host has forgotten it.
            const bool everywhere = v.hosts == set_.hosts;
            const bool announce = v.starved && now_ >= v.announceFrom;
            if (announce) {
                reports[-1].figures.push_back(mineNow);
                if (everywhere) words.push_back({id, static_cast<std::size_t>(v.plan - set_.plans.data())});
                v.announceFrom = now_ + kForgetMs;
                v.starved = false;
            }
            for (auto& [rank, view] : v.peers) {
                if ((announce || !changed) && !view.greet) continue;
                view.greet = false;
                reports[rank].figures.push_back(mineNow);
            }
        }
        for (const auto& bytes : pack(words)) out_.emplace_back(SendToPeers{-1, bytes});
        for (auto& [rank, r] : reports) {
            r.incarnation = incarnation_;
            r.subperiod = sub_;
            for (const auto& bytes : pack(r)) out_.emplace_back(SendToPeers{rank, bytes});
        }
    }
    // Peer bytes are untrusted: all of a message is read and checked before any of it counts.
    void on(const PeerMessage& message) {
        if (message.from < 0 || message.from >= set_.hosts || message.from == set_.rank) return;
        const auto notes = readNotes(message.bytes, set_);
        const auto quota = readQuota(message.bytes, set_);
        const auto words = readIntroductions(message.bytes, set_);
        const auto report = readReport(message.bytes);
        unreadable_ += !notes && !quota && !words && !report;
        if (notes && shared_) onNotes(message.from, *notes);
        if (quota) onQuota(message.from, *quota);
        if (words)
            for (const auto& word : *words) join(message.from, word);
        if (!report) return;
        const auto [incarnation, toldSub, figures] = *report;
        auto& p = peers_[message.from];
        if (!p.clock.meet(incarnation, toldSub, now_)) return;
        const auto sub = p.clock.own(toldSub, sub_, now_);
        if (sub > sub_ + 2) return;
        if (sub == sub_) {
            const double delay = std::clamp(now_ - boundaryAt_, set_.tickMs, kMostPeerWaitMs);
            peerDelay_ += 0.05 * (delay - peerDelay_);
        }
        for (const auto& e : figures) {
            if (e.r + e.held > 0) usersOf_.heard(e.volume, message.from, now_);
            const auto found = volumes_.find(e.volume);
            if (found == volumes_.end() || !found->second.limited() || movedAway(found)) continue;
            auto& v = found->second;
            const auto known = v.peers.find(message.from);
            if (known == v.peers.end() &&
                v.peers.size() + 1 >= static_cast<std::size_t>(v.hosts) + kStrangersMost)
                continue;
            auto& view = v.peers[message.from];
            const bool anew = known == v.peers.end() || view.incarnation != incarnation;
            if (anew ? view.heardAt > 0 && view.previous == incarnation : sub <= view.sub) continue;
            refill(v);
            // The running total heals what lost messages said; a new incarnation starts a new one.
            const double spent = anew ? e.r : std::max(0.0, e.total - view.total);
            v.level = std::max(v.level - spent, -v.plan->limitBurst);
            if (anew) view.previous = view.incarnation, view.incarnation = incarnation, view.greet = true;
            view.sub = sub;
            view.total = e.total;
            view.r = e.r;
            view.held = e.held;
            view.heardAt = now_;
        }
    }
    // A volume that idles here while as many others as it has hosts report work: its requests come through
    // those, who may draw all of it. Its share here is void; true: it was forgotten.
    bool movedAway(std::map<std::int64_t, Volume>::iterator at) {
        const auto& v = at->second;
        const bool idle = v.users == 0 && now_ > v.usedAt + kIdleSubs * kSubperiodMs;
        if (!idle || usersOf_.count(at->first, now_) < static_cast<std::size_t>(v.hosts)) return false;
        note(v, LimitAccount::Moment::Forgotten);
        volumes_.erase(at);
        return true;
    }
    // Memory stays bounded: what idles for long is dropped, once its parts are surely full again.
    void dropIdle() {
        usersOf_.forgetOld(now_);
        quotaPool_.forgetFull(now_);
        for (auto it = volumes_.begin(); it != volumes_.end();) {
            auto& v = it->second;
            const double full = v.limited() ? 2000 * v.plan->limitBurst / v.plan->limit : 0;
            for (auto p = v.peers.begin(); p != v.peers.end();)
                p = now_ > p->second.heardAt + kForgetMs ? v.peers.erase(p) : std::next(p);
            const bool idle = v.users == 0 && v.peers.empty() && now_ > v.usedAt + std::max(kForgetMs, full);
            if (idle) note(v, LimitAccount::Moment::Forgotten);
            it = idle ? volumes_.erase(it) : std::next(it);
        }
        for (auto it = keys_.begin(); it != keys_.end();)
            it = it->second.turn.empty() && it->second.restUntil <= now_ ? keys_.erase(it) : std::next(it);
    }

    // ---------------------------------------------------------------- timers
    void wake(double at) { nextWake_ = std::min(nextWake_, at); }
    void arm() {
        nextWake_ = std::max(nextWake_, now_ + set_.tickMs);
        if (armedAt_ <= now_ + set_.tickMs / 2 || nextWake_ < armedAt_) {
            armedAt_ = nextWake_;
            out_.emplace_back(SetTimer{nextWake_ - now_});
        }
        nextWake_ = 1e18;
    }
    double uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }

    Settings set_;
    std::mt19937_64 random_;
    std::vector<Action> out_;
    double now_ = 0, startedAt_ = -1, nextWake_ = 1e18, armedAt_ = -1e18;
    bool due_ = false, shared_ = false, quotaWanted_ = false;
    double askAt_ = 1e18, askWait_ = kAskWaitMs, boundaryAt_ = 0, peerDelay_ = kFirstPeerWaitMs / 2;
    double fairPerWeight_ = 0, beyond_ = 0, fairLearnedAt_ = 0;
    std::uint64_t sub_ = 0, seq_ = 0, unreadable_ = 0;
    std::uint32_t incarnation_ = 0;
    std::map<int, Node*> holders_;
    std::map<int, std::vector<Note>> notes_;
    std::vector<std::string> newAsks_;
    std::map<std::string, Node> nodes_;
    std::map<int, std::set<std::string>> byShard_;  // ids of all known nodes
    std::set<std::string> leaving_;                 // gone, perhaps with something out
    std::map<std::int64_t, Volume> volumes_;
    VolumeUsers usersOf_;
    QuotaPool quotaPool_;  // what this host leases to others, and to itself
    std::map<int, Peer> peers_;
    std::list<Held> pool_;
    std::unordered_map<std::string, std::list<Held>::iterator> byId_;
    std::map<std::uint64_t, Held*> held_;                 // own
    std::map<int, std::map<std::uint64_t, Held*>> asks_;  // others', by shard
    std::map<std::int64_t, KeyTurn> keys_;
    std::map<int, double> backlog_;
    std::unordered_map<const RequestClass*, double> longestTtl_;
    UnitLog taken_, extra_;  // in requests
    std::set<std::pair<double, std::string>> deadlines_;
};

Scheduler::Scheduler(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;
std::vector<Action> Scheduler::step(double nowMs, const std::vector<Event>& events) {
    return impl_->step(nowMs, events);
}
bool Scheduler::mayBegin(double nowMs, const std::string& id, int attempt) const {
    return impl_->mayBegin(nowMs, id, attempt);
}
std::vector<LimitAccount> Scheduler::limitAccounts() const { return impl_->limitAccounts(); }
std::uint64_t Scheduler::unreadableMessages() const { return impl_->unreadableMessages(); }

}  // namespace spokewheel
