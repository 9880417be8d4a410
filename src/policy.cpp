// The decisions of spokewheel, all of them. Interface: include/spokewheel/scheduler.hpp.
// Sections: state, membership, limit credits, node windows, held queues and ordering, attempts and
// answers, peer reports, the step. Why things are as they are: docs/design.md.
#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <list>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <unordered_map>

#include "spokewheel/scheduler.hpp"

namespace spokewheel {
namespace {

constexpr double kPeriodMs = 2000, kSubperiods = 8, kSubMs = kPeriodMs / kSubperiods;
constexpr double kFirstPeerWaitMs = 50, kMostPeerWaitMs = kSubMs / 2;
constexpr double kWindowStart = 4, kWindowMost = 24, kWindowLeast = 1;
constexpr double kNarrow = 2.0, kWidenAt = 0.75, kBestDrift = 1.001;  // against the recent best
constexpr double kAimPart = 0.3, kFinishPart = 0.5, kFairStep = 0.3;
constexpr double kRetryMs = 40, kSuspectRetryMs = 300, kCanaryMs = 500;
constexpr double kGiftLateMs = 100;  // a gift this much later than its sender's best is dropped
constexpr std::size_t kMessageMost = 256;
constexpr unsigned char kVersion = 1;

struct Node {
    std::string id, zone;
    int shard = -1;
    Lifecycle lifecycle = Lifecycle::Ready;
    double coldFrom = -1e18, notBefore = 0, lastVerdict = -1e18, lastSend = -1e18, narrowedAt = -1e18;
    double window = kWindowStart, best = 0, perUnit = 0, ofAim = 0;
    bool suspect = false;
    int inflight = 0, samples = 0;
    double unitsOut = 0;
    std::multiset<double> outSince;
    std::deque<std::pair<double, double>> coldSent, coldDone;  // time, units
    std::deque<std::int64_t> recentKeys;
};

struct PeerView {
    std::uint64_t sub = 0, total = 0;  // the sender's subperiod of the last entry, its running total
    double r = 0, held = 0;
    bool known = false;
};

struct Second {
    std::int64_t at;
    double reserve, fair;
};

struct Volume {
    std::int64_t id = 0;
    const Plan* plan = nullptr;
    int hosts = 1;
    // The rebuilt store (D), this host's figures of the subperiod, and the guard's own parts.
    double level = 0, filledAt = 0, credit = 0, r = 0, rLast = 0, held = 0;
    bool first = true;
    std::uint64_t total = 0;
    int quiet = 0;
    double even = 0, lend = 0;
    std::deque<std::pair<double, double>> gifts;  // expiry, units
    std::map<int, PeerView> peers;
    std::deque<Second> seconds;
    double reserveStore = -1, reserveAt = 0, beyondAt = -1e18, fairStore = 0, fairAt = 0;
    double served = 0, servedAt = 0, metered = -1, meteredAt = -1e18;
    bool limited() const { return plan->limit > 0; }
};

struct Sent {
    Node* node;
    double at;
    bool open;
};

struct Held {
    Request request;
    const RequestClass* kind = nullptr;
    Volume* volume = nullptr;
    std::uint64_t seq = 0;
    double arrived = 0, deadline = 0, aimAt = 0, notBefore = 0, mayRunAt = 0;
    std::vector<Sent> sent;
    int open = 0;
    const Node* bound = nullptr;
    int boundShard = -1;
    std::string boundZone;
    bool mayHaveRun = false, ended = false, drawn = false, started = false;
};

struct KeyTurn {
    std::deque<Held*> turn;
    double restUntil = -1e18;
};

struct Peer {
    std::uint32_t incarnation = 0, previous = 0;
    std::uint64_t sub = 0, parts = 0;
    int partCount = 0;
    bool known = false, complete = false;
    double leastOffset = 1e18, heardAt = -1e18;
};

void putVarint(std::string& out, std::uint64_t value) {
    for (; value >= 128; value >>= 7) out += static_cast<char>(value | 128);
    out += static_cast<char>(value);
}

struct Reader {
    const std::string& bytes;
    std::size_t at = 0;
    bool good = true;
    std::uint64_t byte() {
        if (at >= bytes.size()) return good = false, 0;
        return static_cast<unsigned char>(bytes[at++]);
    }
    std::uint64_t varint() {
        std::uint64_t value = 0;
        for (int shift = 0; shift < 63; shift += 7) {
            const auto b = byte();
            value |= (b & 127) << shift;
            if (b < 128) return value;
        }
        return good = false, 0;
    }
};

void check(bool fine, const char* setting) {
    if (!fine) throw std::invalid_argument(std::string("setting '") + setting + "' is out of range");
}

}  // namespace

class Scheduler::Impl {
  public:
    Impl(const Settings& settings, std::uint64_t seed) : set_(settings), random_(seed) {
        check(set_.hosts >= 1 && set_.rank >= 0 && set_.rank < set_.hosts, "hosts");
        check(set_.maxAttempts >= 1, "maxAttempts");
        check(set_.extraShare >= 0 && set_.extraShare <= 1 && set_.extraFloor >= 0, "extraShare");
        check(set_.coldShare >= 0 && set_.coldShare <= 1 && set_.coldUnits >= 0, "coldShare");
        check(set_.fairWorth >= 0 && set_.fairWorth <= 1, "fairWorth");
        check(set_.spareWorth >= 0 && set_.spareWorth <= 1, "spareWorth");
        for (const auto& c : set_.classes)
            check(c.aimMs >= 0 && c.deadlineMs >= 0 && c.lateWorth >= 0 && c.lateWorth <= 1, "classes");
        for (const auto& p : set_.plans)
            check(p.limit >= 0 && p.limitBurst >= 0 && p.reservation >= 0 && p.weight >= 0, "plans");
        incarnation_ = static_cast<std::uint32_t>(random_());
    }

    std::vector<Action> step(double now, const std::vector<Event>& events) {
        out_.clear();
        now_ = now;
        if (!begun_) begin();
        for (const auto& event : events) std::visit([this](const auto& e) { on(e); }, event);
        boundary();
        settleCredits();
        learnFair();
        followList();
        expire();
        dispatch();
        arm();
        return std::move(out_);
    }

  private:
    // ---------------------------------------------------------------- membership
    void begin() {
        begun_ = true;
        startedAt_ = now_;
        sub_ = subOf(now_);
        if (set_.subscribe) askList();
    }
    void askList() {
        out_.emplace_back(Subscribe{});
        askedAt_ = now_;
        askPending_ = true;
    }
    // Ask sites: again after a failure, or when an answer stays out, spaced and jittered so that hosts
    // which failed together don't ask together.
    void followList() {
        if (!set_.subscribe) return;
        if (askPending_ && now_ >= askedAt_ + 4000) askAt_ = std::min(askAt_, now_);
        if (now_ >= askAt_) {
            askAt_ = 1e18;
            askList();
        }
        wake(askPending_ ? askedAt_ + 4000 : askAt_);
    }
    void on(const ListUpdate& update) {
        if (update.form == ListForm::Failed) {
            askPending_ = false;
            askAt_ = std::min(askAt_, now_ + 700 + 1000 * uniform());
            return;
        }
        if (update.form != ListForm::Cached) askPending_ = false;
        std::set<std::string> named;
        for (const auto& entry : update.entries) {
            auto& n = nodes_[entry.node];
            n.id = entry.node;
            n.zone = entry.zone;
            n.shard = entry.shard;
            n.lifecycle = entry.lifecycle;
            if (entry.cameUpMs > 0) n.coldFrom = std::max(n.coldFrom, entry.cameUpMs);
            named.insert(entry.node);
        }
        if (update.form != ListForm::Delta)
            for (auto& [id, n] : nodes_)
                if (!named.count(id)) n.lifecycle = Lifecycle::Gone;
        for (auto it = nodes_.begin(); it != nodes_.end();)
            it = it->second.lifecycle == Lifecycle::Gone && it->second.inflight == 0 ? nodes_.erase(it)
                                                                                     : std::next(it);
    }

    // ---------------------------------------------------------------- limit credits
    std::uint64_t subOf(double t) const { return static_cast<std::uint64_t>(std::max(0.0, t) / kSubMs); }
    void refill(Volume& v) {
        const double dt = (now_ - v.filledAt) / 1000, rate = v.plan->limit * dt, b = 2.0 * v.hosts;
        v.filledAt = now_;
        v.level = std::min(v.plan->limitBurst, v.level + rate);
        v.even = std::min(v.plan->limitBurst / b, v.even + rate / b);
        // What is lent may be spent a subperiod later while this part fills again: leave that room.
        const double room = v.hosts > 1 ? 1.5 * kSubMs / 1000 * v.plan->limit / b : 0;
        v.lend = std::min(std::max(0.0, v.plan->limitBurst / b - room), v.lend + rate / b);
        while (!v.gifts.empty() && v.gifts.front().first <= now_) v.gifts.pop_front();
    }
    double guardLeft(const Volume& v) const {
        double sum = v.even + v.lend;
        for (const auto& g : v.gifts) sum += g.second;
        return sum;
    }
    bool mayDraw(Volume& v, double units) {
        if (!v.limited()) return true;
        refill(v);
        return v.credit - v.r >= units && guardLeft(v) >= units;
    }
    void draw(Volume& v, double units) {
        if (!v.limited()) return;
        v.level -= units;
        v.r += units;
        v.total += static_cast<std::uint64_t>(std::ceil(units));
        for (auto& g : v.gifts) {
            const double take = std::min(units, g.second);
            g.second -= take;
            units -= take;
        }
        const double take = std::min(units, v.lend);
        v.lend -= take;
        v.even -= units - take;
    }
    void boundary() {
        const auto sub = subOf(now_);
        wake((static_cast<double>(sub) + 1) * kSubMs);
        if (sub <= sub_) return;
        sub_ = sub;
        boundaryAt_ = now_;
        due_ = true;
        for (auto& [id, v] : volumes_) v.held = 0;
        for (const auto& [seq, q] : held_)
            if (!q->drawn) q->volume->held += q->request.units;
        for (auto& [id, v] : volumes_) {
            if (!v.limited()) continue;
            refill(v);
            v.credit = std::max(0.0, v.credit - v.r);
            v.rLast = v.r;
            v.r = 0;
        }
        report();
    }
    double peerWait() const { return std::min(kMostPeerWaitMs, 2 * peerDelay_); }
    void settleCredits() {
        if (!due_) return;
        bool all = set_.hosts == 1;
        int heard = 0;
        for (const auto& [rank, p] : peers_) heard += p.complete && p.sub == sub_;
        all = all || heard >= set_.hosts - 1;
        if (!all && now_ < boundaryAt_ + peerWait()) {
            wake(boundaryAt_ + peerWait());
            return;
        }
        due_ = false;
        for (auto& [id, v] : volumes_)
            if (v.limited()) split(v);
    }
    bool reported(int rank) const {
        const auto p = peers_.find(rank);
        return p != peers_.end() && p->second.complete && p->second.sub == sub_;
    }
    // The design's split: half of the rebuilt level evenly, half by w = Q + r, both floored.
    void split(Volume& v) {
        refill(v);
        const double b = v.hosts, w = v.held + v.rLast;
        double d = std::max(0.0, v.level + v.r), sum = w;
        int known = 0, silent = 0;
        for (auto& [rank, view] : v.peers) {
            ++known;
            if (!reported(rank)) ++silent;
            else if (view.sub == sub_) sum += view.r + view.held;
        }
        int unknownSilent = 0;
        for (int rank = 0; rank < set_.hosts; ++rank)
            if (rank != set_.rank && !v.peers.count(rank) && !reported(rank)) ++unknownSilent;
        silent += std::min(std::max(0, v.hosts - 1 - known), unknownSilent);
        const double part = std::floor(d / b);
        d = std::max(0.0, d - silent * part);
        sum += silent * part;
        if (v.first || sum <= 0) v.credit = std::floor(d / b);
        else v.credit = std::floor(d / (2 * b)) + std::floor(d * w / (2 * sum));
        v.first = false;
    }

    // ---------------------------------------------------------------- node windows
    Node* holder(int shard) {
        Node* found = nullptr;
        for (auto& [id, n] : nodes_)
            if (n.shard == shard && n.lifecycle == Lifecycle::Ready)
                if (!found || n.coldFrom > found->coldFrom) found = &n;
        return found;
    }
    bool cold(const Node& n) const { return n.suspect || now_ < n.coldFrom + set_.coldMs; }
    // No verdict while something has been out for far longer than usual: a hang, a dead machine, a long
    // pause or a very heavy request all look like this from here.
    bool silent(const Node& n) const {
        if (n.outSince.empty()) return false;
        const double since = now_ - std::max(*n.outSince.begin(), n.lastVerdict);
        return since > std::max(600.0, 8 * n.perUnit * set_.meanUnits);
    }
    bool hasRoom(Node& n, double units) {
        if (n.lifecycle != Lifecycle::Ready || now_ < n.notBefore) return false;
        if (silent(n)) return n.inflight < n.window && now_ >= n.lastSend + kCanaryMs;
        if (cold(n)) {
            // What all hosts may send in any case grows with the capacity that the rules promise at this
            // age; own completions add less than they were, for repeats and writes cost less than counted.
            const double age = n.suspect ? 0 : std::clamp((now_ - n.coldFrom) / set_.coldMs, 0.0, 1.0);
            const double grown = 1 + age * (1 / std::max(set_.coldShare, 0.01) - 1);
            if (n.inflight >= std::max(1.0, std::floor(age * n.window))) return false;
            const auto within = [this](std::deque<std::pair<double, double>>& log) {
                while (!log.empty() && log.front().first <= now_ - set_.fallMs) log.pop_front();
                double sum = 0;
                for (const auto& e : log) sum += e.second;
                return sum;
            };
            return within(n.coldSent) + units <=
                   grown * set_.coldUnits / set_.hosts +
                       (1 - 1 / std::max(1.0, set_.tipMultiple)) * within(n.coldDone);
        }
        return n.inflight < std::floor(n.window);
    }
    void learn(Node& n, double tookMs, double units, double aimMs, double sentAt) {
        const double x = tookMs / std::max(1.0, units);
        // A running mean against the lowest that it lately had: a single short answer is luck, not room.
        ++n.samples;
        n.perUnit += std::max(0.1, 1.0 / n.samples) * (x - n.perUnit);
        n.best = n.samples <= 6 ? n.perUnit : std::min(n.best * kBestDrift, n.perUnit);
        // Where a node was busy from the start its best is no guide; the aims are: time in the node past
        // a part of the aim leaves no time to choose among what is held.
        n.ofAim += std::max(0.1, 1.0 / n.samples) * (tookMs / aimMs - n.ofAim);
        const double over = std::max(n.perUnit / n.best / kNarrow, n.ofAim / kAimPart);
        if (over < kWidenAt && n.inflight + 1 >= n.window - 1) n.window += 1 / n.window;
        if (over > 1 && sentAt > n.narrowedAt) {
            n.window *= std::clamp(1 / over, 0.5, 0.9);
            n.narrowedAt = now_;
        }
        n.window = std::clamp(n.window, kWindowLeast, kWindowMost);
    }

    // ---------------------------------------------------------------- held queues and ordering
    void on(const Request& request) {
        const RequestClass* kind = nullptr;
        const Plan* plan = nullptr;
        for (const auto& c : set_.classes)
            if (c.name == request.requestClass) kind = &c;
        for (const auto& p : set_.plans)
            if (p.name == request.plan) plan = &p;
        takenAt_.push_back(now_);
        if (!kind || !plan) {
            out_.emplace_back(Refuse{request.id, 0});
            return;
        }
        if (byId_.count(request.id)) return;
        auto& v = volumes_[request.volume];
        if (!v.plan) {
            v.id = request.volume;
            v.plan = plan;
            v.filledAt = startedAt_;
            v.hosts = std::max(1, request.hosts);
            if (v.limited()) {
                refill(v);
                split(v);
            }
        }
        v.hosts = std::max(v.hosts, request.hosts);
        pool_.emplace_back();
        auto& q = pool_.back();
        q.request = request;
        q.kind = kind;
        q.volume = &v;
        q.seq = ++seq_;
        q.arrived = now_;
        q.deadline = now_ + request.ttlMs;
        // Less time than this class ever came with has been spent before: a client's earlier try, or a stall
        // of this host that kept the request waiting unseen. Its aim has been running meanwhile.
        double& longest = longestTtl_[kind];
        longest = std::max(longest, request.ttlMs);
        q.aimAt = now_ + kind->aimMs - (longest - request.ttlMs);
        byId_[request.id] = std::prev(pool_.end());
        if (kind->inOrder && request.key >= 0) keys_[request.key].turn.push_back(&q);
        deadlines_.insert({q.deadline, request.id});
        hold(q);
        noteDue(v, request.units);
    }
    void hold(Held& q) { held_[q.seq] = &q; }

    // What falls due to the volume for this second: the reserve's part of this host, then its share.
    void noteDue(Volume& v, double units) {
        const double frac = fraction(v), rate = v.plan->reservation * frac;
        const double most = rate + set_.topUnits;
        if (v.reserveStore < 0) v.reserveStore = most;
        else v.reserveStore = std::min(most, v.reserveStore + rate * (now_ - v.reserveAt) / 1000);
        v.reserveAt = now_;
        const double fairRate = fairPerWeight_ * v.plan->weight * frac;
        v.fairStore = std::min(fairRate + set_.topUnits, v.fairStore + fairRate * (now_ - v.fairAt) / 1000);
        v.fairAt = now_;
        const auto second = static_cast<std::int64_t>(now_ / 1000);
        if (v.seconds.empty() || v.seconds.back().at != second) v.seconds.push_back({second, 0, 0});
        while (v.seconds.size() > 16) v.seconds.pop_front();
        auto& s = v.seconds.back();
        const double full = std::min(units, v.reserveStore), fair = std::min(units - full, v.fairStore);
        v.reserveStore -= full;
        v.fairStore -= fair;
        if (full < units) v.beyondAt = now_;
        s.reserve += full;
        s.fair += fair;
    }
    // This host's part of the volume's traffic: what it served against what the late meter says was
    // served everywhere, at least half of an even part.
    double fraction(Volume& v) {
        if (v.hosts == 1) return 1;
        if (now_ > v.meteredAt + 5000 || v.metered <= 0) return 1.0 / v.hosts;
        return std::clamp(rateOf(v) / v.metered, 0.5 / v.hosts, 1.0);
    }
    double rateOf(Volume& v) {
        v.served *= std::exp((v.servedAt - now_) / 2000);
        v.servedAt = now_;
        return v.served / 2;
    }
    Second* dueOf(const Held& q) {
        const auto second = static_cast<std::int64_t>(q.arrived / 1000);
        for (auto& s : q.volume->seconds)
            if (s.at == second) return &s;
        return nullptr;
    }
    double worth(const Held& q, double finish) {
        const double u = std::max(q.request.units, 1e-9), base = q.kind->points * q.volume->plan->worthFactor;
        if (finish > q.aimAt) return base * q.kind->lateWorth * set_.spareWorth;
        double full = 0, fair = 0;
        if (const auto* s = dueOf(q)) {
            full = std::min(u, s->reserve);
            fair = std::min(u - full, s->fair);
        }
        return base * (full + fair * set_.fairWorth + (u - full - fair) * set_.spareWorth) / u;
    }
    void takeDue(const Held& q) {
        auto* s = dueOf(q);
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
            if (v.beyondAt > fairLearnedAt_) weights += v.plan->weight * fraction(v);
        const double rate = beyond_ * 1000 / std::min(2000.0, now_ - fairLearnedAt_);
        if (weights > 0) fairPerWeight_ += kFairStep * (rate / weights - fairPerWeight_);
        beyond_ = 0;
        fairLearnedAt_ = now_;
    }
    bool itsTurn(const Held& q) {
        if (!q.kind->inOrder || q.request.key < 0) return true;
        const auto& k = keys_[q.request.key];
        return k.turn.front() == &q && now_ >= k.restUntil;
    }
    bool mayGoTo(const Held& q, const Node& n) const {
        if (q.request.shard >= 0) return n.shard == q.request.shard;
        if (!q.mayHaveRun || q.kind->effect != Effect::ByKey) return true;
        if (q.kind->group == Group::Cell) return n.shard == q.boundShard;
        return q.kind->group == Group::All || n.zone == q.boundZone;
    }
    // A new object goes where it's likely done first, which also decides where its readers will go.
    Node* place(const Held& q) {
        if (q.request.shard >= 0) {
            Node* n = holder(q.request.shard);
            return n && hasRoom(*n, q.request.units) ? n : nullptr;
        }
        Node* found = nullptr;
        double least = 0;
        for (auto& [id, n] : nodes_) {
            if (!mayGoTo(q, n) || silent(n) || !hasRoom(n, q.request.units)) continue;
            const double cost =
                std::max(n.perUnit, 1.0) * (1 + n.unitsOut + backlog_[n.shard]) * (cold(n) ? 50 : 1);
            if (!found || cost < least) found = &n, least = cost;
        }
        return found;
    }
    void dispatch() {
        struct Ranked {
            double worth, aimAt;
            std::uint64_t seq;
            Held* q;
        };
        std::vector<Ranked> ranked;
        backlog_.clear();
        for (auto& [seq, q] : held_) {
            if (q->request.shard >= 0) backlog_[q->request.shard] += q->request.units;
            if (q->notBefore > now_) {
                wake(q->notBefore);
                continue;
            }
            if (!itsTurn(*q)) continue;
            const Node* n = q->request.shard >= 0 ? holder(q->request.shard) : nullptr;
            if (q->request.shard >= 0 && (!n || (!cold(*n) && n->inflight >= std::floor(n->window))))
                continue;
            const double per = n ? n->perUnit : 0;
            double value = worth(*q, now_ + kFinishPart * per * q->request.units);
            if (n && std::count(n->recentKeys.begin(), n->recentKeys.end(), q->request.key)) value *= 1.6;
            ranked.push_back({value, q->aimAt, seq, q});
        }
        std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
            if (a.worth != b.worth) return a.worth > b.worth;
            return a.aimAt != b.aimAt ? a.aimAt < b.aimAt : a.seq < b.seq;
        });
        for (const auto& r : ranked) {
            Held& q = *r.q;
            if (!q.drawn && !mayDraw(*q.volume, q.request.units)) continue;
            if (!q.sent.empty() && !extraAllowed()) continue;
            if (Node* n = place(q)) send(q, *n);
        }
        for (auto& [id, n] : nodes_)
            if (n.notBefore > now_) wake(n.notBefore);
            else if (!n.outSince.empty() || cold(n)) wake(now_ + 50);
    }

    // ---------------------------------------------------------------- attempts and answers
    bool extraAllowed() {
        if (set_.extraSpanMs <= 0) return true;
        const double from = now_ - set_.extraSpanMs;
        while (!takenAt_.empty() && takenAt_.front() <= from) takenAt_.pop_front();
        while (!extraAt_.empty() && extraAt_.front() < from) extraAt_.pop_front();
        return static_cast<double>(extraAt_.size()) + 1 <=
               set_.extraFloor + set_.extraShare * static_cast<double>(takenAt_.size());
    }
    void send(Held& q, Node& n) {
        // A trial at a silent node is bounded where it may be repeated, so that it can be tried again. Should
        // cover hangs, dead machines and cut links; wastes one attempt where the node was only slow.
        const bool trial = q.kind->effect == Effect::Repeatable && silent(n);
        const double expireAt = trial ? std::min(q.deadline, now_ + 2 * kCanaryMs) : q.deadline;
        if (!q.drawn) draw(*q.volume, q.request.units);
        q.drawn = true;
        if (!q.sent.empty()) extraAt_.push_back(now_);
        takeDue(q);
        q.sent.push_back({&n, now_, true});
        ++q.open;
        ++n.inflight;
        n.unitsOut += q.request.units;
        n.outSince.insert(now_);
        n.lastSend = now_;
        n.coldSent.push_back({now_, q.request.units});
        while (n.coldSent.size() > 400) n.coldSent.pop_front();
        n.recentKeys.push_back(q.request.key);
        if (n.recentKeys.size() > 2) n.recentKeys.pop_front();
        held_.erase(q.seq);
        out_.emplace_back(Attempt{q.request.id, n.id, expireAt});
    }
    void on(const Verdict& verdict) {
        const auto found = byId_.find(verdict.id);
        if (found == byId_.end()) return;
        Held& q = *found->second;
        const auto shot = static_cast<std::size_t>(verdict.attempt);
        if (shot >= q.sent.size() || !q.sent[shot].open) return;
        Sent& s = q.sent[shot];
        Node& n = *s.node;
        s.open = false;
        --q.open;
        --n.inflight;
        n.unitsOut -= q.request.units;
        n.outSince.erase(n.outSince.find(s.at));
        const bool answered = verdict.outcome == Outcome::Served || verdict.outcome == Outcome::ServerError;
        const bool neverRan = verdict.outcome == Outcome::TurnedAway || verdict.outcome == Outcome::NotSent ||
                              verdict.outcome == Outcome::NoConnection;
        const bool inDoubt = !answered && !neverRan;
        if (answered || verdict.outcome == Outcome::TurnedAway) n.lastVerdict = now_;
        if (verdict.outcome == Outcome::Served) {
            // A node that dropped connections may have come back cold before the list says so.
            if (n.suspect && s.at >= n.notBefore) {
                n.suspect = false;
                n.coldFrom = std::max(n.coldFrom, now_);
            }
            learn(n, verdict.tookMs, q.request.units, std::max(1.0, q.kind->aimMs), s.at);
            n.coldDone.push_back({now_, q.request.units});
            while (n.coldDone.size() > 400) n.coldDone.pop_front();
            rateOf(*q.volume);
            q.volume->served += q.request.units;
        } else if (verdict.outcome == Outcome::TurnedAway) {
            n.window = std::max(kWindowLeast, n.window / 2);
            n.notBefore = std::max(n.notBefore, now_ + kRetryMs);
        } else if (verdict.outcome == Outcome::NoConnection || verdict.outcome == Outcome::ConnectionLost) {
            n.suspect = true;
            n.notBefore = now_ + kSuspectRetryMs;
        }
        if (verdict.usage > 0 && set_.meterMs > 0) {
            const double rate = (verdict.usage - 1) / 100 * q.volume->plan->nominal;
            q.volume->metered = q.volume->metered < 0 ? rate : 0.7 * q.volume->metered + 0.3 * rate;
            q.volume->meteredAt = now_;
        }
        if (inDoubt && q.kind->inOrder && q.request.key >= 0) {
            auto& k = keys_[q.request.key];
            k.restUntil = std::max(k.restUntil, now_ + set_.settleMs);
            wake(k.restUntil);
        }
        if (!neverRan && !q.mayHaveRun) {
            q.mayHaveRun = true;
            q.mayRunAt = s.at;
            q.boundShard = n.shard;
            q.boundZone = n.zone;
        }
        if (verdict.ended) q.ended = true;
        if (!q.ended && q.open == 0) again(q, verdict.outcome);
        forget(q);
    }
    // After an attempt that failed: hold it again where its class and the rules allow, else answer.
    void again(Held& q, Outcome outcome) {
        const bool timeLeft = now_ + 2 * set_.tickMs < q.deadline;
        bool may = timeLeft && static_cast<int>(q.sent.size()) < set_.maxAttempts;
        if (q.mayHaveRun && q.kind->effect == Effect::Once) may = false;
        if (q.mayHaveRun && q.kind->effect == Effect::ByKey)
            may = may && now_ + kRetryMs < q.mayRunAt + q.kind->memorySpanMs;
        if (!may) {
            answer(q);
            return;
        }
        q.notBefore = now_ + (outcome == Outcome::TurnedAway ? kRetryMs : 0);
        hold(q);
    }
    void answer(Held& q) {
        const bool harmless = q.kind->effect == Effect::Repeatable || (!q.mayHaveRun && q.open == 0) ||
                              (q.kind->effect == Effect::ByKey && q.kind->group == Group::All);
        if (harmless) out_.emplace_back(Refuse{q.request.id, 0});
        else out_.emplace_back(Fail{q.request.id});
        q.ended = true;
        held_.erase(q.seq);
    }
    void forget(Held& q) {
        if (!q.ended || q.open > 0) return;
        if (q.kind->inOrder && q.request.key >= 0) {
            auto& k = keys_[q.request.key];
            k.turn.erase(std::remove(k.turn.begin(), k.turn.end(), &q), k.turn.end());
            if (k.turn.empty() && k.restUntil <= now_) keys_.erase(q.request.key);
        }
        held_.erase(q.seq);
        const auto found = byId_.find(q.request.id);
        const auto at = found->second;
        byId_.erase(found);
        pool_.erase(at);
    }
    void on(const ClientGone& gone) {
        const auto found = byId_.find(gone.id);
        if (found == byId_.end()) return;
        found->second->ended = true;
        held_.erase(found->second->seq);
        forget(*found->second);
    }
    void on(const AnswerStarted& started) {
        const auto found = byId_.find(started.id);
        if (found != byId_.end()) found->second->started = found->second->kind->stream;
    }
    void on(const ProbeResult&) {}
    void on(const Wake&) {}
    // Held work is answered just before its client gives up, and sooner once its time to repeat is over.
    void expire() {
        std::vector<Held*> over;
        const double margin = 2 * set_.tickMs;
        for (auto& [seq, q] : held_) {
            const bool forgotten = q->mayHaveRun && q->kind->effect == Effect::ByKey &&
                                   now_ + margin >= q->mayRunAt + q->kind->memorySpanMs;
            if (now_ + margin >= q->deadline || forgotten) over.push_back(q);
            else wake(q->deadline - margin);
        }
        // An attempt whose outcome stays out past the client's time: the answer is owed all the same.
        while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
            const auto found = byId_.find(deadlines_.begin()->second);
            deadlines_.erase(deadlines_.begin());
            if (found != byId_.end() && !found->second->started && !held_.count(found->second->seq))
                over.push_back(&*found->second);
        }
        if (!deadlines_.empty()) wake(deadlines_.begin()->first);
        for (auto* q : over) {
            if (!q->ended) answer(*q);
            forget(*q);
        }
    }

    // ---------------------------------------------------------------- peer reports
    void report() {
        if (!set_.mayTellPeers || set_.hosts == 1) return;
        std::vector<std::string> entries;
        for (auto& [id, v] : volumes_) {
            if (!v.limited() || v.hosts < 2) continue;
            double sum = v.held + v.rLast;
            std::vector<std::pair<int, double>> want;
            for (auto& [rank, view] : v.peers)
                if (view.sub + 1 >= sub_ && view.r + view.held > 0)
                    want.push_back({rank, view.r + view.held});
            for (const auto& w : want) sum += w.second;
            v.quiet = v.held + v.rLast > 0 ? 0 : v.quiet + 1;
            if (v.quiet > 2 && want.empty()) continue;
            std::string e;
            putVarint(e, static_cast<std::uint64_t>(id));
            putVarint(e, static_cast<std::uint64_t>(std::lround(v.rLast)));
            putVarint(e, static_cast<std::uint64_t>(std::lround(v.held)));
            putVarint(e, v.total);
            const double lend = v.lend;
            putVarint(e, want.size());
            for (const auto& [rank, w] : want) {
                const auto tenths = static_cast<std::uint64_t>(std::floor(10 * lend * w / sum));
                v.lend -= static_cast<double>(tenths) / 10;
                putVarint(e, static_cast<std::uint64_t>(rank));
                putVarint(e, tenths);
            }
            entries.push_back(std::move(e));
        }
        std::vector<std::string> bodies(1);
        for (const auto& e : entries) {
            if (bodies.back().size() + e.size() > kMessageMost - 20) bodies.emplace_back();
            bodies.back() += e;
        }
        for (std::size_t part = 0; part < bodies.size() && part < 64; ++part) {
            std::string bytes(1, static_cast<char>(kVersion));
            putVarint(bytes, incarnation_);
            putVarint(bytes, sub_);
            putVarint(bytes, part);
            putVarint(bytes, std::min<std::size_t>(bodies.size(), 64));
            out_.emplace_back(TellPeers{-1, bytes + bodies[part]});
        }
    }
    // Peer bytes are untrusted: all of a message is read and checked before any of it counts.
    void on(const PeerMessage& message) {
        if (message.from < 0 || message.from >= set_.hosts || message.from == set_.rank) return;
        if (message.bytes.size() > kMessageMost) return;
        Reader in{message.bytes};
        if (in.byte() != kVersion) return;
        const auto incarnation = in.varint(), sub = in.varint(), part = in.varint(), parts = in.varint();
        if (!in.good || parts < 1 || parts > 64 || part >= parts || incarnation > 0xffffffffu) return;
        struct Entry {
            std::uint64_t id, r, held, total;
            double gift;
        };
        std::vector<Entry> entries;
        while (in.good && in.at < message.bytes.size()) {
            Entry e{in.varint(), in.varint(), in.varint(), in.varint(), 0};
            const auto gifts = in.varint();
            if (gifts > static_cast<std::uint64_t>(set_.hosts)) return;
            for (std::uint64_t i = 0; i < gifts; ++i) {
                const auto rank = in.varint(), tenths = in.varint();
                if (rank == static_cast<std::uint64_t>(set_.rank)) e.gift = static_cast<double>(tenths) / 10;
            }
            if (e.r > 1000000 || e.held > 10000000) return;
            entries.push_back(e);
        }
        if (!in.good) return;
        auto& p = peers_[message.from];
        const bool fresh = !p.known || p.incarnation != incarnation;
        if (fresh && p.known && incarnation == p.previous) return;
        if (fresh) {
            const auto previous = p.incarnation;
            p = Peer{};
            p.known = true;
            p.incarnation = static_cast<std::uint32_t>(incarnation);
            p.previous = previous;
        } else if (sub < p.sub || (sub == p.sub && (p.parts >> part & 1))) {
            return;
        }
        const double offset = now_ - static_cast<double>(sub) * kSubMs;
        const bool late = fresh || offset > p.leastOffset + kGiftLateMs;
        p.leastOffset = std::min(p.leastOffset, offset);
        p.heardAt = now_;
        if (fresh || sub != p.sub) p.parts = 0;
        p.sub = sub;
        p.parts |= std::uint64_t{1} << part;
        p.partCount = static_cast<int>(parts);
        p.complete = static_cast<std::uint64_t>(__builtin_popcountll(p.parts)) == parts;
        if (p.complete && sub == sub_) {
            const double delay = std::clamp(now_ - boundaryAt_, set_.tickMs, kMostPeerWaitMs);
            peerDelay_ += 0.2 * (delay - peerDelay_);
        }
        for (const auto& e : entries) {
            const auto found = volumes_.find(static_cast<std::int64_t>(e.id));
            if (found == volumes_.end() || !found->second.limited()) continue;
            auto& v = found->second;
            auto& view = v.peers[message.from];
            refill(v);
            // The running total heals what lost messages said; a new incarnation starts a new one.
            const bool anew = fresh || !view.known;
            const double spent = anew ? static_cast<double>(e.r)
                                      : static_cast<double>(e.total - std::min(e.total, view.total));
            v.level = std::max(v.level - spent, -v.plan->limitBurst);
            view = {sub, e.total, static_cast<double>(e.r), static_cast<double>(e.held), true};
            if (!late && e.gift > 0 && e.gift <= v.plan->limitBurst)
                v.gifts.push_back({now_ + kSubMs, e.gift});
        }
        if (fresh)
            for (auto& [id, v] : volumes_)
                if (const auto it = v.peers.find(message.from); it != v.peers.end() && it->second.sub != sub)
                    it->second.known = false;
    }

    // ---------------------------------------------------------------- timers
    void wake(double at) { nextWake_ = std::min(nextWake_, at); }
    void arm() {
        nextWake_ = std::max(nextWake_, now_ + set_.tickMs);
        if (armedAt_ <= now_ + set_.tickMs / 2 || nextWake_ < armedAt_) {
            armedAt_ = nextWake_;
            out_.emplace_back(Remind{nextWake_ - now_});
        }
        nextWake_ = 1e18;
    }
    double uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }

    Settings set_;
    std::mt19937_64 random_;
    std::vector<Action> out_;
    double now_ = 0, startedAt_ = 0, nextWake_ = 1e18, armedAt_ = -1e18;
    bool begun_ = false, askPending_ = false, due_ = false;
    double askedAt_ = -1e18, askAt_ = 1e18, boundaryAt_ = 0, peerDelay_ = kFirstPeerWaitMs / 2;
    double fairPerWeight_ = 0, beyond_ = 0, fairLearnedAt_ = 0;
    std::uint64_t sub_ = 0, seq_ = 0;
    std::uint32_t incarnation_ = 0;
    std::map<std::string, Node> nodes_;
    std::map<std::int64_t, Volume> volumes_;
    std::map<int, Peer> peers_;
    std::list<Held> pool_;
    std::unordered_map<std::string, std::list<Held>::iterator> byId_;
    std::map<std::uint64_t, Held*> held_;
    std::map<std::int64_t, KeyTurn> keys_;
    std::map<int, double> backlog_;
    std::unordered_map<const RequestClass*, double> longestTtl_;
    std::deque<double> takenAt_, extraAt_;
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

}  // namespace spokewheel
