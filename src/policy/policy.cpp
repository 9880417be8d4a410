// All decisions of the scheduler. Interface: include/spokewheel/scheduler.hpp; plain state: state.hpp;
// messages between hosts: peer_messages.hpp. Sections: node list, limit credits, quota leases, node windows,
// queues and ordering, coordinated nodes, attempts and results, credit reports, timers. The design is in
// docs/design.md.
#include <algorithm>
#include <cmath>
#include <list>
#include <random>
#include <set>
#include <tuple>
#include <unordered_map>

#include "active_hosts.hpp"
#include "key_queues.hpp"
#include "limit_parts.hpp"
#include "node_table.hpp"
#include "peer_messages.hpp"
#include "quota_pool.hpp"
#include "send_rules.hpp"
#include "settings_check.hpp"
#include "spokewheel/scheduler.hpp"
#include "state.hpp"
#include "table_limits.hpp"
#include "volume_table.hpp"

namespace spokewheel {
namespace {

constexpr double kCreditPeriodMs = 2000;  // T of the credit algorithm
// The wait for the peers' reports after the start of a subperiod: twice their usual delay, which is first
// taken to be half of kInitialPeerWaitMs.
constexpr double kInitialPeerWaitMs = 50, kMaxPeerWaitMs = kSubperiodMs / 2;
// A request is expected to finish after kFinishEstimateFactor of its usual time in the node.
constexpr double kFinishEstimateFactor = 0.5, kFairRateSmoothing = 0.3;
// Raises the value of a request whose key the node just served: a repeat costs it about half the work.
constexpr double kRecentKeyGain = 1.6;
// Between attempts at a node that may have restarted, and between trials at a silent one.
constexpr double kSuspectRetryMs = 300, kTrialIntervalMs = 500;
// Subscribing to the node list: time-out, delay after a failure, and its jitter as a multiple of the delay.
constexpr double kListTimeoutMs = 4000, kListRetryMs = 700, kListRetryJitter = 1.5;
// The response to a first attempt counts as lost after this multiple of its usual time, and this minimum.
constexpr double kMinLostAnswerMs = 250, kLostAnswerFactor = 8;
// A node is suspect after so many lost connections without a response in between; a refused one counts twice.
constexpr int kRefusedConnectionWeight = 2, kSuspectDropCount = 3;
constexpr double kCrowdedShare = 0.5;     // of the requests that can be open at once
constexpr double kMaxBeginDelayMs = 500;  // between the decision for an attempt and its first byte
// Idle volumes and peers without reports are dropped after this; their own parts are full again by then.
constexpr double kIdleForgetMs = 30000;
constexpr double kIdleSubperiods = 2;  // without a request, before other hosts' reports void a volume's share
constexpr std::size_t kMaxExtraPeers = 8;  // whose reports are kept beyond a volume's number of hosts
// Coordinated nodes: the fractions of a cold node's budget that its coordinator and two stand-ins decide
// about.
constexpr std::array<double, 3> kCoordinatorShares = {0.7, 0.2, 0.1};
// After which a coordinator that did not acknowledge a permit request counts as unresponsive.
constexpr double kInitialPermitWaitMs = 100, kMinPermitWaitMs = 30, kMaxPermitWaitMs = 200;
constexpr double kPermitRetryMs = 500, kUnresponsiveMs = 2000, kPermitLeaseMs = 3000;
// Announced loads: at most one in kLoadIntervalMs; kLoadStepsPerDoubling steps double the time in the node.
constexpr double kLoadIntervalMs = 1000, kLoadStepsPerDoubling = 4, kMaxLoad = 255;

}  // namespace

class Scheduler::Impl {
  public:
    Impl(const Settings& settings, std::uint64_t seed)
        : settings_(settings),
          random_(seed),
          volumes_(tableLimits(settings.stateBytes).volumes),
          activeHosts_(tableLimits(settings.stateBytes).activeHosts),
          quotaPool_(0, tableLimits(settings.stateBytes).pools),
          keyQueues_(tableLimits(settings.stateBytes).keys) {
        validate(settings_);
        incarnation_ = static_cast<std::uint32_t>(random_() & 0xffff);
        seq_ = random_() & 0xfffff;
        coordinated_ = settings_.maySendToPeers && settings_.hosts > NodeWindow::kMax;
    }

    std::vector<Action> step(double now, const std::vector<Event>& events) {
        actions_.clear();
        now_ = now;
        if (startedAt_ < 0) {
            startedAt_ = now_;
            quotaPool_.start(now_);
            subperiod_ = subperiodOf(now_);
            if (settings_.subscribe) subscribeAt_ = now_;
        }
        for (const auto& event : events) std::visit([this](const auto& one) { on(one); }, event);
        startSubperiodIfDue();
        splitCreditsIfDue();
        if (isCrowded()) refuseBeyondLimit();
        updateFairRate();
        updateSubscription();
        expire();
        dispatch();
        if (requestLeases()) dispatch();
        announceLoads();
        flushPermits();
        setTimer();
        return std::move(actions_);
    }

    bool mayBegin(double now, const std::string& id, int attempt) const {
        const auto found = requestsById_.find(id);
        if (found == requestsById_.end() || found->second->ended || attempt < 0) return false;
        const PendingRequest& pending = *found->second;
        if (static_cast<std::size_t>(attempt) >= pending.attempts.size()) return false;
        const SentAttempt& sent = pending.attempts[static_cast<std::size_t>(attempt)];
        const bool allowedWhileCold = sent.countedAsCold || !isCold(*sent.node);
        return sent.open && sent.node->lifecycle == Lifecycle::Ready && allowedWhileCold &&
               now < pending.deadline && !keyMayBeForgotten(pending, now);
    }

    std::uint64_t unreadableMessages() const { return unreadableMessages_; }
    TableSizes tableSizes() const {
        return {requests_.size(), deadlines_.size(), keyQueues_.size(),
                volumes_.size(),  quotaPool_.size(), activeHosts_.size()};
    }
    std::vector<LimitAccount> limitAccounts() const {
        std::vector<LimitAccount> accounts;
        for (const auto& [id, volume] : volumes_)
            if (volume.hasLimit()) accounts.push_back(volume.account(LimitAccount::Moment::Asked));
        return accounts;
    }

  private:
    // ---------------------------------------------------------------- node list
    // Subscribes to the node list; again after a failure or a time-out, with jitter so that hosts that failed
    // together do not retry together.
    void updateSubscription() {
        if (now_ >= subscribeAt_) {
            actions_.emplace_back(Subscribe{});
            subscribeAt_ = now_ + kListTimeoutMs;
        }
        wakeAt(subscribeAt_);
    }
    void on(const ListUpdate& update) {
        if (update.form == ListForm::Failed) {
            subscribeAt_ = std::min(subscribeAt_, now_ + kListRetryMs * (1 + kListRetryJitter * uniform()));
            return;
        }
        if (update.form != ListForm::Cached) subscribeAt_ = 1e18;
        nodes_.apply(update);
    }

    // ---------------------------------------------------------------- limit credits
    void refill(Volume& volume) {
        const double seconds = (now_ - volume.refilledAt) / 1000;
        volume.refilledAt = now_;
        volume.level = std::min(volume.plan->limitBurst, volume.level + volume.plan->limit * seconds);
        volume.limitShare.refill(now_);
    }
    // Whether a request may be sent within the volume's limit: both the credit and this host's parts of the
    // limit have to cover it. Notes what is short, for leases and reports.
    bool mayDrawLimit(Volume& volume, double units) {
        if (!volume.hasLimit()) return true;
        refill(volume);
        const bool enoughCredit = volume.credit - volume.sentUnits >= units;
        const bool enoughShare = volume.limitShare.available() >= units;
        if (enoughCredit && !enoughShare) volume.quota.markWanted();
        quotaWanted_ = quotaWanted_ || volume.quota.wanted();
        // With pools a missing share is not a shortage yet: a lease may be on its way.
        volume.needsCredit = volume.needsCredit || !enoughCredit || (!enoughShare && !usesPools());
        volume.wasShortOfLimit = volume.wasShortOfLimit || !enoughCredit || !enoughShare;
        return enoughCredit && enoughShare;
    }
    void reportAccount(const Volume& volume, LimitAccount::Moment moment) {
        if (settings_.reportLimitAccounts && volume.hasLimit()) actions_.emplace_back(volume.account(moment));
    }
    void reportShortage(Volume& volume) {
        if (!std::exchange(volume.wasShortOfLimit, false) || now_ < volume.nextShortageReportAt) return;
        volume.nextShortageReportAt = now_ + kCreditPeriodMs;
        reportAccount(volume, LimitAccount::Moment::Short);
    }
    void drawLimit(Volume& volume, double units) {
        if (!volume.hasLimit()) return;
        volume.level -= units;
        volume.sentUnits += units;
        volume.totalSent += std::ceil(units);
        volume.limitShare.draw(units);
        if (settings_.reportsAttemptBegun) volume.limitShare.reserve(units);
    }
    // The attempt has begun, or never will: the units drawn for the request are no longer reserved.
    void releaseReservation(PendingRequest& pending) {
        if (pending.limitDrawn && !std::exchange(pending.begun, true) && settings_.reportsAttemptBegun &&
            pending.volume->hasLimit())
            pending.volume->limitShare.release(pending.request.units);
    }
    void on(const AttemptBegun& begun) {
        if (const auto found = requestsById_.find(begun.id); found != requestsById_.end())
            releaseReservation(*found->second);
    }
    // At the start of a subperiod: takes over the figures r and Q of the last one and reports them.
    void startSubperiodIfDue() {
        const auto subperiod = subperiodOf(now_);
        wakeAt((static_cast<double>(subperiod) + 1) * kSubperiodMs);
        if (subperiod <= subperiod_) return;
        subperiod_ = subperiod;
        subperiodStartedAt_ = now_;
        splitDue_ = true;
        removeIdle();
        for (auto& [id, volume] : volumes_) {
            volume.queuedUnits = 0;
            if (!volume.hasLimit()) continue;
            refill(volume);
            reportShortage(volume);
            volume.credit = std::max(0.0, volume.credit - volume.sentUnits);
            volume.sentLastSubperiod = volume.sentUnits;
            volume.sentUnits = 0;
        }
        for (const auto& [seq, pending] : queue_)
            if (!pending->limitDrawn) pending->volume->queuedUnits += pending->request.units;
        reportCredits();
    }
    // The peer has not reported this subperiod though it had work in the last one.
    bool isSilent(const PeerFigures& figures) const {
        return figures.subperiod != subperiod_ && figures.sentUnits + figures.queuedUnits > 0;
    }
    // Splits the credits once all peers with work have reported, or the wait for them is over.
    void splitCreditsIfDue() {
        if (!splitDue_) return;
        bool allReported = true;
        for (const auto& [id, volume] : volumes_)
            for (const auto& [rank, figures] : volume.peers) allReported = allReported && !isSilent(figures);
        const double waitUntil = subperiodStartedAt_ + std::min(kMaxPeerWaitMs, 2 * peerDelay_);
        if (!allReported && now_ < waitUntil) return wakeAt(waitUntil);
        splitDue_ = false;
        for (auto& [id, volume] : volumes_)
            if (volume.hasLimit()) splitCredit(volume);
        refuseBeyondLimit();
    }
    // So many requests are open that the host may soon have no room for new ones.
    bool isCrowded() const {
        return settings_.maxOpen > 0 && requestsById_.size() > kCrowdedShare * settings_.maxOpen;
    }
    // Refuses waiting requests that this host's share of the limit cannot reach while serving them is useful,
    // with the time at which it could. Deviates from the design, which holds them to their end:
    // a volume beyond its limit must not take the room of all clients. The cost: late responses that a lull
    // in the traffic would have allowed.
    void refuseBeyondLimit() {
        std::map<std::int64_t, std::vector<std::tuple<double, double, std::uint64_t, PendingRequest*>>>
            waiting;
        for (auto& [seq, pending] : queue_)
            if (!pending->limitDrawn && pending->volume->hasLimit())
                waiting[pending->request.volume].emplace_back(-expectedValue(*pending, now_),
                                                              pending->latencyTargetAt, seq, pending);
        for (auto& [volumeId, pendingRequests] : waiting) {
            const auto& volume = volumes_.at(volumeId);
            std::sort(pendingRequests.begin(), pendingRequests.end());
            double units = 0;
            for (const auto& [negatedValue, latencyTargetAt, seq, pending] : pendingRequests) {
                const double servableInMs = 1000 *
                                            ((units + pending->request.units) / volume.share - volume.level) /
                                            volume.plan->limit;
                if (now_ + servableInMs <= usefulUntil(*pending)) units += pending->request.units;
                else refuse(*pending, servableInMs);
            }
        }
    }
    double usefulUntil(const PendingRequest& pending) const {
        return now_ < pending.latencyTargetAt || isCrowded() ? pending.latencyTargetAt : refuseAt(pending);
    }

    // The number of hosts that requests name, or of those that report work if more do: the volume's requests
    // have moved then.
    int activeHostCount(const Volume& volume) const {
        int active = 1;
        for (const auto& [rank, figures] : volume.peers)
            active += figures.subperiod + 1 >= subperiod_ && figures.sentUnits + figures.queuedUnits > 0;
        return std::max(volume.hosts, active);
    }

    // Splits the rebuilt level of the volume's bucket: half of it evenly, half by the weights w = Q + r, both
    // rounded down. Hosts that never reported count as idle, since most of the many hosts that share a volume
    // have no work for it.
    void splitCredit(Volume& volume) {
        refill(volume);
        const double hostCount = activeHostCount(volume),
                     ownWeight = volume.queuedUnits + volume.sentLastSubperiod;
        double available = std::max(0.0, volume.level + volume.sentUnits), totalWeight = ownWeight;
        int silentPeers = 0;
        for (auto& [rank, figures] : volume.peers)
            if (isSilent(figures)) ++silentPeers;
            else totalWeight += figures.sentUnits + figures.queuedUnits;
        // A peer beyond the volume's number of hosts is silent because its requests moved, not because its
        // report was lost.
        silentPeers = std::min(silentPeers, volume.hosts - 1);
        const double evenShare = std::floor(available / hostCount);
        available = std::max(0.0, available - silentPeers * evenShare);
        totalWeight += silentPeers * evenShare;
        if (volume.firstSplit || totalWeight <= 0) volume.credit = std::floor(available / hostCount);
        else
            volume.credit = std::floor(available / (2 * hostCount)) +
                            std::floor(available * ownWeight / (2 * totalWeight));
        volume.firstSplit = false;
        volume.share = totalWeight > 0 ? std::max(1 / hostCount, ownWeight / totalWeight) : 1 / hostCount;
    }

    // ---------------------------------------------------------------- quota leases
    bool usesPools() const { return settings_.maySendToPeers && settings_.hosts > 1; }
    LimitParts limitParts(const Volume& volume) const {
        return splitLimit(*volume.plan, activeHostCount(volume), settings_.maxUnits, usesPools());
    }
    int poolHost(std::int64_t volume, std::size_t pool) const {
        return spokewheel::poolHost(volume, pool, settings_.hosts);
    }
    // Requests leases for waiting requests that the own part does not cover. True: a pool of this host gave
    // one.
    bool requestLeases() {
        if (!std::exchange(quotaWanted_, false) || !usesPools()) return false;
        std::map<Volume*, std::vector<double>> waiting;
        for (const auto& [seq, pending] : queue_)
            if (!pending->limitDrawn && pending->volume->quota.wanted() && now_ >= pending->notBefore)
                waiting[pending->volume].push_back(pending->request.units);
        bool leased = false;
        std::map<int, QuotaMessage> messages;
        for (auto& [volume, units] : waiting) {
            leased = requestLease(*volume, units, messages) || leased;
            wakeAt(volume->quota.wakeAtMs(now_));
        }
        for (const auto& [rank, message] : messages)
            for (const auto& bytes : pack(message)) actions_.emplace_back(SendToPeers{rank, bytes});
        return leased;
    }
    bool requestLease(Volume& volume, const std::vector<double>& waiting,
                      std::map<int, QuotaMessage>& messages) {
        const auto plan = static_cast<std::size_t>(volume.plan - settings_.plans.data());
        const auto request = volume.quota.nextRequest(
            {waiting, volume.limitShare.available(), volume.credit - volume.sentUnits},
            {volume.id, ++seq_, plan, 0, activeHostCount(volume)}, now_);
        if (!request) return false;
        const int rank = poolHost(volume.id, request->pool);
        if (rank == settings_.rank) return acceptLease(volume, grantLease(rank, *request));
        messages[rank].requests.push_back(*request);
        volume.quota.onRequestSent(now_, 4 * peerDelay_);
        return false;
    }
    // As the pool: leases to the host `rank`.
    QuotaResponse grantLease(int rank, const QuotaRequest& request) {
        const auto parts = splitLimit(settings_.plans[request.plan], request.hosts, settings_.maxUnits, true);
        const auto lease = quotaPool_.lease(request.volume, parts.pools[request.pool], {rank, request.seq},
                                            request.minUnits, request.maxUnits, now_);
        return {request.volume, request.seq, lease.units, lease.retryAfterMs};
    }
    // Takes over the response of a pool; true if it leased units.
    bool acceptLease(Volume& volume, const QuotaResponse& response) {
        if (!volume.quota.isAwaited(response)) return false;
        const auto expiresAtMs = volume.quota.onResponse(response, now_);
        wakeAt(volume.quota.wakeAtMs(now_));
        if (expiresAtMs) {
            volume.limitShare.addLease(response.units, *expiresAtMs);
            return true;
        }
        volume.needsCredit = true;
        volume.level = std::min(volume.level,
                                volume.quota.maxUnitsLeft(limitParts(volume), activeHostCount(volume), now_));
        return false;
    }
    void onQuotaMessage(int from, const QuotaMessage& message) {
        for (const auto& response : message.responses)
            if (const auto found = volumes_.find(response.volume);
                found != volumes_.end() && found->second.hasLimit() &&
                response.units <= found->second.plan->limitBurst)
                acceptLease(found->second, response);
        QuotaMessage reply;
        for (const auto& request : message.requests)
            if (usesPools() && poolHost(request.volume, request.pool) == settings_.rank)
                reply.responses.push_back(grantLease(from, request));
        for (const auto& bytes : pack(reply)) actions_.emplace_back(SendToPeers{from, bytes});
    }

    // ---------------------------------------------------------------- node windows
    Node* activeNode(int shard) { return nodes_.active(shard); }
    bool isCold(const Node& node) const { return node.suspect || now_ < node.coldSince + settings_.coldMs; }
    // No result although an attempt has been in flight for far longer than usual. Hung nodes, dead machines,
    // long pauses and very heavy requests look the same from here.
    bool isSilent(const Node& node) const {
        return now_ - node.unansweredSince >
               std::max(600.0, 8 * node.window.msPerUnit() * settings_.meanUnits);
    }
    // Whether the node takes another request: within its window and, while cold, within the budget of units
    // that all hosts together may send it.
    bool hasRoom(Node& node, double units) {
        if (node.lifecycle != Lifecycle::Ready || now_ < node.notBefore) return false;
        const double budgetShare = coldBudgetShare(node.shard);
        if (isSilent(node) || (budgetShare <= 0 && !isCold(node))) {
            const double windowSize = budgetShare > 0 ? node.window.size() : NodeWindow::kMin;
            if (node.inflight >= windowSize || now_ < node.lastSendAt + kTrialIntervalMs) return false;
            if (!isCold(node)) return true;  // a trial at a cold node counts in its budget
        }
        if (isCold(node)) {
            // The budget grows with the capacity that the settings promise at the node's age. Completions add
            // less than they amount to, since repeats and writes cost less than their units.
            const double age = node.suspect ? 0 : std::min(1.0, (now_ - node.coldSince) / settings_.coldMs);
            const double budgetGrowth = 1 + age * (1 / std::max(settings_.coldShare, 0.01) - 1);
            // Units sent by the previous process may still count if the node was up by then.
            const bool previousMayCount =
                now_ < startedAt_ + settings_.overloadSpanMs && (node.suspect || node.coldSince < startedAt_);
            if (previousMayCount || node.inflight >= std::max(1.0, std::floor(age * node.window.size())))
                return false;
            const double spanStart = now_ - settings_.overloadSpanMs,
                         completionShare = 1 - 1 / std::max(1.0, settings_.overloadFactor);
            const double ownBudget = budgetGrowth * settings_.coldUnits * budgetShare,
                         sentUnits = node.coldUnitsSent.sumSince(spanStart);
            return sentUnits + units <=
                       ownBudget + completionShare * node.coldUnitsServed.sumSince(spanStart) ||
                   (!coordinated_ && sentUnits <= 0 && drawAllowsTrial(node, units, ownBudget));
        }
        return node.inflight < std::floor(node.window.size());
    }
    // If this host's part of a cold node's budget is less than one request, a random draw in each overload
    // span decides whether it sends one all the same. The hosts then send half of what they may together, on
    // the mean, because a burst can meet two draws. A node that is suspect but not listed as restarted is
    // tried from time to time, the less often the more hosts there are.
    bool drawAllowsTrial(Node& node, double units, double ownBudget) {
        if (node.suspect && now_ >= node.coldSince + settings_.coldMs)
            return now_ >= node.lastSendAt + kTrialIntervalMs * (1 + settings_.hosts / NodeWindow::kMax);
        if (now_ >= node.randomDrawUntil) {
            node.randomDrawUntil =
                now_ + settings_.overloadSpanMs * (node.randomDrawUntil < 0 ? uniform() : 1);
            node.randomDraw = uniform();
        }
        return node.randomDraw * 2 * units < ownBudget;
    }

    // ---------------------------------------------------------------- queues and ordering
    void on(const Request& request) {
        const auto* kind = findByName(settings_.classes, request.requestClass);
        const auto* plan = findByName(settings_.plans, request.plan);
        if (settings_.retryBudgetSpanMs > 0) acceptedRequests_.add(now_, 1, settings_.retryBudgetSpanMs);
        if (requestsById_.count(request.id)) return;
        if (!kind || !plan) return refuse(request.id, EndReason::UnknownKind);
        const bool ordered = kind->inOrder && request.key != -1;
        if (ordered && !keyQueues_.hasRoomFor(request.key)) return refuse(request.id, EndReason::NoRoom);
        auto* known = volumes_.findOrAdd(request.volume, [this](Volume& other) { return mayForget(other); });
        if (!known) return refuse(request.id, EndReason::NoRoom);
        auto& volume = *known;
        if (!volume.plan) startVolume(volume, *plan, request.hosts);
        volumes_.noteRequest(volume);
        volume.hosts = std::max(1, request.hosts);
        if (volume.hasLimit())
            volume.limitShare.setHosts(limitParts(volume).own, activeHostCount(volume), now_);
        volume.lastRequestAt = now_;
        ++volume.openRequests;
        auto& pending = admit(request, *kind, *plan, kind->latencyTargetMs - elapsedMs(request, *kind));
        pending.volume = &volume;
        queue_[pending.seq] = &pending;
        // The previous process may have left an attempt of unknown outcome.
        if (pending.isOrdered()) wakeAt(keyQueues_.add(pending, startedAt_ + settings_.settleAfterDoubtMs));
        accrueEntitlement(volume, request.units);
    }
    // A shorter time to live than the longest of the class means that time has passed already: the client
    // tried before, or this host stalled with the request in a buffer. Its latency target counts from then.
    // Only times up to the class's deadline are compared: one client that waits for longer says nothing about
    // the requests of others.
    double elapsedMs(const Request& request, const RequestClass& kind) {
        const double ttl = kind.deadlineMs > 0 ? std::min(request.ttlMs, kind.deadlineMs) : request.ttlMs;
        double& longest = longestTtl_[&kind];
        longest = std::max(longest, ttl);
        return longest - ttl;
    }
    // On the first request of a volume: whatever could have been drawn without this process knowing counts as
    // drawn. Without peers only the previous process of this host can have drawn from this part: requests
    // come through this host alone, or the hosts' parts are fixed.
    void startVolume(Volume& volume, const Plan& plan, int hosts) {
        volume.plan = &plan;
        volume.refilledAt = usesPools() ? now_ : startedAt_;
        volume.hosts = std::max(1, hosts);
        if (!volume.hasLimit()) return;
        if (usesPools()) volume.level = plan.limitBurst;  // until a pool refuses
        volume.limitShare.start(limitParts(volume).own, volume.hosts, volume.refilledAt);
        refill(volume);
        splitCredit(volume);
        reportAccount(volume, LimitAccount::Moment::FirstSight);
    }
    // A peer is short of credit for a volume that all hosts share: this host takes part before it has a
    // request for it, so that its idle part can be lent.
    void joinVolume(int from, const VolumeIntroduction& introduction) {
        const auto& plan = settings_.plans[introduction.plan];
        if (plan.limit <= 0) return;
        auto* known = volumes_.findOrAddIfAmple(introduction.volume);
        if (!known) return;
        auto& volume = *known;
        if (!volume.plan) {
            volume.lastRequestAt = -1e18;
            startVolume(volume, plan, settings_.hosts);
        }
        if (!volume.hasLimit() || volume.hosts != settings_.hosts) return;
        if (auto* peer = volumes_.findOrAddPeer(volume, from)) peer->heardAt = now_;
    }
    // Whether all that is lost with the volume is what it was worth, never what it has spent: without pools a
    // volume that is met again counts as full, with them as empty.
    bool mayForget(Volume& volume) {
        if (volume.openRequests > 0) return false;
        if (!volume.hasLimit() || usesPools()) return true;
        refill(volume);
        return volume.limitShare.isFull();
    }
    void dequeue(PendingRequest& pending) {
        (pending.origin < 0 ? queue_ : permitQueues_[pending.targetShard]).erase(pending.seq);
    }
    PendingRequest& admit(const Request& request, const RequestClass& kind, const Plan& plan,
                          double latencyTargetLeft) {
        requests_.emplace_back();
        auto& pending = requests_.back();
        pending.request = request;
        pending.requestClass = &kind;
        pending.plan = &plan;
        pending.targetShard = request.shard;
        pending.seq = ++seq_;
        pending.arrivedAt = now_;
        pending.deadline = now_ + request.ttlMs;
        pending.latencyTargetAt = now_ + latencyTargetLeft;
        requestsById_[request.id] = std::prev(requests_.end());
        setExpiry(pending, pending.deadline);
        return pending;
    }
    // Each request has one entry in the table of deadlines, for as long as it is kept.
    void setExpiry(PendingRequest& pending, double at) {
        deadlines_.erase({pending.expiresAt, pending.request.id});
        pending.expiresAt = at;
        deadlines_.insert({at, pending.request.id});
    }

    // Counts an arrived request towards what the volume is entitled to at this host.
    void accrueEntitlement(Volume& volume, double units) {
        const double trafficShare = volume.entitlement.trafficShare(volume.hosts, now_);
        const VolumeEntitlement::Rates rates{trafficShare * volume.plan->reservation,
                                             fairUnitsPerWeight_ * volume.plan->weight * trafficShare};
        volume.entitlement.onArrival(units, rates, settings_.maxUnits, now_);
    }
    // The value of finishing the request at `finishAt`, by its class, its plan and what its volume is
    // entitled to.
    double expectedValue(PendingRequest& pending, double finishAt) {
        const double base = pending.requestClass->points * pending.plan->worthFactor;
        if (finishAt > pending.latencyTargetAt)
            return base * pending.requestClass->lateWorth * settings_.spareWorth;
        updateEntitledParts(pending);
        return base * (pending.reservedPart + pending.fairPart * settings_.fairWorth +
                       (1 - pending.reservedPart - pending.fairPart) * settings_.spareWorth);
    }
    // Updates the parts of the request that its volume is still entitled to. For a request of another host
    // they are as that host reported them.
    void updateEntitledParts(PendingRequest& pending) {
        if (pending.origin >= 0) return;
        const double units = std::max(pending.request.units, 1e-9);
        const auto* second = pending.volume->entitlement.forArrival(pending.arrivedAt);
        pending.reservedPart = second ? std::min(units, second->reserved) / units : 0;
        pending.fairPart = second ? std::min(1 - pending.reservedPart, second->fair / units) : 0;
    }
    void consumeEntitlement(const PendingRequest& pending) {
        auto* second = pending.volume->entitlement.forArrival(pending.arrivedAt);
        if (!second) return;
        const double reserved = std::min(pending.request.units, second->reserved);
        second->reserved -= reserved;
        second->fair -= std::min(pending.request.units - reserved, second->fair);
        unreservedUnits_ += pending.request.units - reserved;
    }
    // Once a second: the fair rate of a unit of weight follows what volumes were served beyond their
    // reservations through this host.
    void updateFairRate() {
        if (now_ < fairUpdatedAt_ + 1000) return;
        double weights = 0;
        for (auto& [id, volume] : volumes_)
            if (volume.entitlement.exceededReservationSince(fairUpdatedAt_))
                weights += volume.plan->weight * volume.entitlement.trafficShare(volume.hosts, now_);
        const double rate = unreservedUnits_ * 1000 / std::min(2000.0, now_ - fairUpdatedAt_);
        if (weights > 0) fairUnitsPerWeight_ += kFairRateSmoothing * (rate / weights - fairUnitsPerWeight_);
        unreservedUnits_ = 0;
        fairUpdatedAt_ = now_;
    }
    bool isNextOfKey(const PendingRequest& pending) {
        if (!pending.isOrdered()) return true;
        return keyQueues_.isNext(pending, now_);
    }
    // A new object goes to the node that is likely to finish it first; its readers will follow it there.
    Node* selectNode(const PendingRequest& pending) {
        if (pending.targetShard >= 0) {
            Node* node = activeNode(pending.targetShard);
            return node && maySendTo(pending, *node) && hasRoom(*node, pending.request.units) ? node
                                                                                              : nullptr;
        }
        Node* best = nullptr;
        double leastCost = 0;
        for (auto& [id, node] : nodes_) {
            if (!maySendTo(pending, node) || isSilent(node) || !hasRoom(node, pending.request.units))
                continue;
            const double cost = expectedTimeMs(node) * (isCold(node) ? 50 : 1);
            if (!best || cost < leastCost) best = &node, leastCost = cost;
        }
        return best;
    }
    double expectedTimeMs(const Node& node) {
        return std::max(node.window.msPerUnit(), 1.0) * (1 + node.unitsInFlight + backlogUnits_[node.shard]);
    }
    bool isFull(const Node& node) const {
        return !isCold(node) && node.inflight >= std::floor(node.window.size());
    }
    void dispatch() {
        // Ranked by value, then by latency target.
        std::vector<std::tuple<double, double, std::uint64_t, PendingRequest*>> ranked;
        const auto addRanked = [&](PendingRequest& pending) {
            const Node* node = pending.targetShard >= 0 ? activeNode(pending.targetShard) : nullptr;
            if (pending.targetShard >= 0 && (!node || isFull(*node))) return;
            double value =
                expectedValue(pending, now_ + kFinishEstimateFactor * (node ? node->window.msPerUnit() : 0) *
                                                  pending.request.units);
            if (node && std::count(node->recentKeys.begin(), node->recentKeys.end(), pending.keyTag()))
                value *= kRecentKeyGain;
            ranked.emplace_back(-value, pending.latencyTargetAt, pending.seq, &pending);
        };
        backlogUnits_.clear();
        for (auto& [seq, pending] : queue_) {
            if (pending->notBefore > now_) wakeAt(pending->notBefore);
            if (pending->notBefore > now_ || !isNextOfKey(*pending) || !decidesLocally(*pending)) continue;
            if (pending->targetShard >= 0) backlogUnits_[pending->targetShard] += pending->request.units;
            addRanked(*pending);
        }
        for (const auto& [shard, queue] : permitQueues_) {
            if (!queue.empty())
                backlogUnits_[shard] += settings_.meanUnits * static_cast<double>(queue.size());
            if (const Node* node = activeNode(shard); !node || isFull(*node)) continue;
            for (const auto& [seq, pending] : queue) addRanked(*pending);
        }
        std::sort(ranked.begin(), ranked.end());
        for (const auto& [sortKey, latencyTargetAt, seq, pending] : ranked)
            if (mayStart(*pending))
                if (Node* node = selectNode(*pending)) send(*pending, *node);
        for (const auto& [shard, units] : backlogUnits_) {
            const Node* node = activeNode(shard);
            if (!node) continue;
            if (node->notBefore > now_) wakeAt(node->notBefore);
            else if (node->inflight > 0 || isCold(*node)) wakeAt(now_ + 50);
        }
    }
    bool mayStart(PendingRequest& pending) {
        if (pending.origin >= 0) return true;
        return (pending.limitDrawn || mayDrawLimit(*pending.volume, pending.request.units)) &&
               (pending.attempts.empty() || retryAllowed());
    }

    // ---------------------------------------------------------------- coordinated nodes
    // If there are more hosts than places in a window, a window at each host does not keep the node's queue
    // short: 200 hosts with one request each are a queue of 200. So one host, derived from the shard's
    // number, keeps the node's window, its budget while cold and its order of requests for all hosts. The
    // others request a permit from it for each send and report the result. Lost messages and dead
    // coordinators: the next stand-in takes over after a wait; with all unresponsive each host decides on its
    // own, one trial at a time.
    int coordinatorCandidate(int shard, std::size_t index) const {
        std::minstd_rand mix(static_cast<unsigned>(shard) * 3 + static_cast<unsigned>(index) + 1);
        return static_cast<int>(mix() % static_cast<unsigned>(settings_.hosts));
    }
    int coordinatorOf(int shard) {
        for (std::size_t i = 0; i < kCoordinatorShares.size(); ++i) {
            const int rank = coordinatorCandidate(shard, i);
            if (rank == settings_.rank || now_ >= peers_[rank].unresponsiveUntil) return rank;
        }
        return settings_.rank;
    }
    // The fraction of a cold node's budget that this host decides about.
    double coldBudgetShare(int shard) const {
        if (!coordinated_) return 1.0 / settings_.hosts;
        for (std::size_t i = 0; i < kCoordinatorShares.size(); ++i)
            if (coordinatorCandidate(shard, i) == settings_.rank) return kCoordinatorShares[i];
        return 0;
    }
    // For new objects: the least loaded of three random nodes. If all hosts picked the least loaded one, they
    // would overload it.
    int pickShard(const PendingRequest& pending) {
        std::vector<const Node*> warmNodes, coldNodes;
        for (const auto& [shard, node] : nodes_.activeByShard())
            if (maySendTo(pending, *node)) (isCold(*node) ? coldNodes : warmNodes).push_back(node);
        if (warmNodes.empty()) warmNodes.swap(coldNodes);
        const Node* best = nullptr;
        for (int i = 0; i < 3 && !warmNodes.empty(); ++i) {
            const Node* node =
                warmNodes[static_cast<std::size_t>(uniform() * static_cast<double>(warmNodes.size()))];
            if (!best || node->load < best->load) best = node;
        }
        return best ? best->shard : -1;
    }
    // Whether this host decides about the request; otherwise a permit is requested from the coordinator.
    bool decidesLocally(PendingRequest& pending) {
        if (!coordinated_ || pending.origin >= 0) return true;
        if (pending.coordinator < 0 || now_ >= pending.permitDue) {
            if (pending.coordinator >= 0 && !pending.permitAcked)
                peers_[pending.coordinator].unresponsiveUntil = now_ + kUnresponsiveMs;
            pending.coordinator = -1;
            if (!mayStart(pending)) return false;
            if (pending.request.shard < 0) pending.targetShard = pickShard(pending);
            const Node* node = activeNode(pending.targetShard);
            if (!node) return false;
            pending.coordinator = coordinatorOf(pending.targetShard);
            pending.permitAcked = pending.coordinator == settings_.rank;
            pending.permitRequestedAt = now_;
            pending.permitDue = now_ + (pending.permitAcked ? kPermitRetryMs : permitWait_);
            if (!pending.permitAcked) requestPermit(pending, *node);
        }
        wakeAt(pending.permitDue);
        return pending.coordinator == settings_.rank;
    }
    void requestPermit(PendingRequest& pending, const Node& node) {
        updateEntitledParts(pending);
        PermitMessage message{PermitKind::Request, pending.seq, pending.targetShard};
        message.requestClass = static_cast<std::size_t>(pending.requestClass - settings_.classes.data());
        message.plan = static_cast<std::size_t>(pending.plan - settings_.plans.data());
        message.reservedPart = pending.reservedPart, message.fairPart = pending.fairPart,
        message.units = pending.request.units;
        message.latencyTargetMs = pending.latencyTargetAt - now_, message.ttlMs = pending.deadline - now_;
        message.key = pending.keyTag();
        if (isCold(node)) message.coldAgeMs = std::min(now_ - node.coldSince, settings_.coldMs);
        outgoingPermits_[pending.coordinator].push_back(message);
    }
    static std::string permitId(int from, std::uint64_t seq) {
        return "@" + std::to_string(from) + ":" + std::to_string(seq);
    }
    void onPermitRequest(int from, const PermitMessage& message) {
        const auto requestId = permitId(from, message.seq);
        if (Node* node = activeNode(message.shard); node && message.coldAgeMs >= 0)
            node->coldSince = std::max(node->coldSince, now_ - message.coldAgeMs);
        newPermitRequests_.push_back(requestId);
        if (requestsById_.count(requestId)) return;
        auto& pending = admit(
            {requestId, "", "", message.key, 0, message.ttlMs, message.units, message.shard, 1},
            settings_.classes[message.requestClass], settings_.plans[message.plan], message.latencyTargetMs);
        pending.reservedPart = message.reservedPart;
        pending.fairPart = std::min(1 - message.reservedPart, message.fairPart);
        pending.origin = from;
        pending.originSeq = message.seq;
        permitQueues_[message.shard][pending.seq] = &pending;
    }
    void onGrant(int from, std::uint64_t seq) {
        const auto found = queue_.find(seq);
        PendingRequest* pending = found == queue_.end() ? nullptr : found->second;
        Node* node = pending ? activeNode(pending->targetShard) : nullptr;
        if (node && pending->coordinator == from && maySendTo(*pending, *node) && isNextOfKey(*pending) &&
            mayStart(*pending) && node->inflight < NodeWindow::kMax) {
            onCoordinatorReply(*pending);
            send(*pending, *node);
            pending->attempts.back().grantedBy = from;
            return;
        }
        if (pending && pending->coordinator == from)
            pending->notBefore = now_ + kRejectedRetryMs, pending->coordinator = -1;
        outgoingPermits_[from].push_back({PermitKind::Done, seq, -1, static_cast<int>(Outcome::NotSent)});
    }
    void onCoordinatorReply(PendingRequest& pending) {
        if (!pending.permitAcked)
            permitWait_ += 0.2 * (std::clamp(3 * (now_ - pending.permitRequestedAt), kMinPermitWaitMs,
                                             kMaxPermitWaitMs) -
                                  permitWait_);
        pending.permitAcked = true;
        // Backs off, as long queues cause many repeats.
        pending.permitDue = now_ + kPermitRetryMs + (now_ - pending.arrivedAt) / 2;
    }
    // As a coordinator, announces loads that changed much to all hosts, which place new objects by them.
    void announceLoads() {
        if (!coordinated_) return;
        for (const auto& [shard, node] : nodes_.activeByShard()) {
            if (coordinatorCandidate(shard, 0) != settings_.rank ||
                now_ < node->loadAnnouncedAt + kLoadIntervalMs)
                continue;
            node->load = isSilent(*node)
                             ? kMaxLoad
                             : std::min(kMaxLoad - 1, std::round(kLoadStepsPerDoubling *
                                                                 std::log2(1 + expectedTimeMs(*node))));
            if (std::abs(node->load - node->announcedLoad) < kLoadStepsPerDoubling) continue;
            node->announcedLoad = node->load;
            node->loadAnnouncedAt = now_;
            outgoingPermits_[-1].push_back({PermitKind::Load, 0, shard, 0, 0, node->load});
        }
    }
    void flushPermits() {
        for (const auto& id : newPermitRequests_)
            if (const auto found = requestsById_.find(id);
                found != requestsById_.end() && found->second->openAttempts == 0)
                outgoingPermits_[found->second->origin].push_back(
                    {PermitKind::Ack, found->second->originSeq});
        newPermitRequests_.clear();
        for (const auto& [rank, messages] : outgoingPermits_)
            for (const auto& bytes : pack(messages)) actions_.emplace_back(SendToPeers{rank, bytes});
        outgoingPermits_.clear();
    }
    void onPermits(int from, const std::vector<PermitMessage>& messages) {
        peers_[from].unresponsiveUntil = -1e18;
        for (const auto& message : messages) {
            const auto found = queue_.find(message.seq);
            if (message.kind == PermitKind::Request) onPermitRequest(from, message);
            else if (message.kind == PermitKind::Grant) onGrant(from, message.seq);
            else if (message.kind == PermitKind::Done)
                on(AttemptEnded{permitId(from, message.seq), "", static_cast<Outcome>(message.outcome), 0,
                                message.durationMs, true, 0, 0});
            else if (message.kind == PermitKind::Ack && found != queue_.end() &&
                     found->second->coordinator == from)
                onCoordinatorReply(*found->second);
            else if (Node* node = message.kind == PermitKind::Load ? activeNode(message.shard) : nullptr)
                node->load = message.load;
        }
    }

    // ---------------------------------------------------------------- attempts and results
    // Whether the retry budget allows another attempt. Leaves room for one that begins late, when requests
    // that allow it may have left the span.
    bool retryAllowed() {
        if (settings_.retryBudgetSpanMs <= 0) return true;
        const double from = now_ - settings_.retryBudgetSpanMs;
        return retries_.sumSince(from - kMaxBeginDelayMs) + 1 <=
               settings_.retryBudgetFloor +
                   settings_.retryBudgetShare * acceptedRequests_.sumSince(from + kMaxBeginDelayMs);
    }
    void send(PendingRequest& pending, Node& node) {
        // A trial at a silent node gets a short time-out if the request is repeatable, so that it can be sent
        // again: the node may hang, its machine be dead or the link cut. The cost: one attempt if it was
        // slow.
        const bool trial = pending.requestClass->effect == Effect::Repeatable && isSilent(node);
        double expireAt = trial ? std::min(pending.deadline, now_ + 2 * kTrialIntervalMs) : pending.deadline;
        // Likewise a repeatable first attempt expires long after similar ones have finished, in case its
        // response was lost; the design gives it all its time. The cost: one attempt of a heavy
        // request.
        if (pending.requestClass->effect == Effect::Repeatable && pending.attempts.empty() && !trial &&
            !isCold(node) && node.window.hasBaseline() && settings_.maxAttempts > 1 && retryAllowed())
            expireAt = std::min(
                expireAt, now_ + std::max(kMinLostAnswerMs, kLostAnswerFactor * node.window.msPerUnit() *
                                                                pending.request.units));
        if (pending.origin < 0) {
            if (!pending.limitDrawn) drawLimit(*pending.volume, pending.request.units);
            pending.limitDrawn = true;
            if (!pending.attempts.empty() && settings_.retryBudgetSpanMs > 0)
                retries_.add(now_, 1, settings_.retryBudgetSpanMs + kMaxBeginDelayMs);
            consumeEntitlement(pending);
        }
        pending.attempts.push_back({&node, now_, true, isCold(node)});
        ++pending.openAttempts;
        ++node.inflight;
        node.unitsInFlight += pending.request.units;
        node.unansweredSince = std::min(node.unansweredSince, now_);
        node.lastSendAt = now_;
        if (isCold(node)) node.coldUnitsSent.entries.push_back({now_, pending.request.units});
        node.recentKeys = {node.recentKeys[1], pending.keyTag()};
        dequeue(pending);
        if (pending.origin >= 0) {
            outgoingPermits_[pending.origin].push_back({PermitKind::Grant, pending.originSeq});
            setExpiry(pending, std::min(pending.deadline, now_ + kPermitLeaseMs));
        } else actions_.emplace_back(Attempt{pending.request.id, node.id, expireAt});
    }
    void on(const AttemptEnded& result) {
        const auto found = requestsById_.find(result.id);
        if (found == requestsById_.end()) return;
        PendingRequest& pending = *found->second;
        const auto index = static_cast<std::size_t>(result.attempt);
        if (pending.origin >= 0 && pending.attempts.empty())
            return abandon(pending);  // withdrawn by its host
        if (index >= pending.attempts.size() || !pending.attempts[index].open) return;
        SentAttempt& attempt = pending.attempts[index];
        Node& node = *attempt.node;
        attempt.open = false;
        --pending.openAttempts;
        --node.inflight;
        node.unitsInFlight -= pending.request.units;
        if (attempt.grantedBy >= 0)
            outgoingPermits_[attempt.grantedBy].push_back(
                {PermitKind::Done, pending.seq, -1, static_cast<int>(result.outcome), result.durationMs});
        const auto isOneOf = [&result](auto... outcomes) { return ((result.outcome == outcomes) || ...); };
        const bool answered = isOneOf(Outcome::Served, Outcome::ServerError);
        const bool neverRan = isOneOf(Outcome::Rejected, Outcome::NotSent, Outcome::NoConnection);
        const bool inDoubt = !answered && !neverRan;
        if (answered || isOneOf(Outcome::Rejected)) {
            node.unansweredSince = node.inflight > 0 ? now_ : 1e18;
            node.droppedConnections = 0;
        }
        if (isOneOf(Outcome::Served)) {
            // A node that lost its connections may have restarted before the list reports it.
            if (node.suspect && attempt.sentAt >= node.notBefore) {
                node.suspect = false;
                node.coldSince = std::max(node.coldSince, now_);
            }
            node.window.onServed({result.durationMs, pending.request.units,
                                  std::max(1.0, pending.requestClass->latencyTargetMs), attempt.sentAt},
                                 node.inflight, now_);
            if (isCold(node)) node.coldUnitsServed.entries.push_back({now_, pending.request.units});
            if (pending.origin < 0) pending.volume->entitlement.onServed(pending.request.units, now_);
        } else if (isOneOf(Outcome::Rejected)) {
            node.window.onRejected();
            node.notBefore = std::max(node.notBefore, now_ + kRejectedRetryMs);
        } else if (isOneOf(Outcome::NoConnection, Outcome::ConnectionLost)) {
            // A dead machine drops all connections and accepts none; a response in between shows that just
            // one connection failed.
            node.droppedConnections += isOneOf(Outcome::NoConnection) ? kRefusedConnectionWeight : 1;
            node.suspect = node.suspect || node.droppedConnections >= kSuspectDropCount;
            if (node.suspect) node.notBefore = now_ + kSuspectRetryMs;
            else if (isOneOf(Outcome::NoConnection))
                node.notBefore = std::max(node.notBefore, now_ + kRejectedRetryMs);
        }
        if (result.usage > 0 && settings_.usagePeriodMs > 0)
            pending.volume->entitlement.onUsage((result.usage - 1) / 100 * pending.plan->nominal, now_);
        if (inDoubt && pending.isOrdered())
            wakeAt(keyQueues_.block(pending.request.key, now_ + settings_.settleAfterDoubtMs));
        if (!neverRan && !pending.mayHaveRun) {
            pending.mayHaveRun = true;
            pending.mayHaveRunAt = attempt.sentAt;
            pending.boundShard = node.shard;
            pending.boundZone = node.zone;
        }
        if (result.requestEnded) pending.ended = true;
        if (!pending.ended && pending.openAttempts == 0) retryOrAnswer(pending, result.outcome);
        removeIfDone(pending);
    }
    // After a failed attempt: queues the request again if its class and the budgets allow it, else answers
    // it.
    void retryOrAnswer(PendingRequest& pending, Outcome outcome) {
        if (!mayRetry(pending, settings_, now_)) return endUnserved(pending, EndReason::AttemptsUsed);
        pending.notBefore = now_ + (outcome == Outcome::Rejected ? kRejectedRetryMs : 0);
        pending.coordinator = -1;
        queue_[pending.seq] = &pending;
    }
    // Answers a request that was not served and removes it from the queues.
    void endUnserved(PendingRequest& pending, EndReason reason) {
        if (safeToRefuse(pending)) refuse(pending.request.id, reason);
        else actions_.emplace_back(Fail{pending.request.id, reason});
        pending.ended = true;
        dequeue(pending);
    }
    void refuse(const std::string& id, EndReason reason, double retryAfterMs = 0) {
        actions_.emplace_back(Refuse{id, std::clamp(retryAfterMs, 0.0, settings_.maxRetryAfterMs), reason});
    }
    void refuse(PendingRequest& pending, double retryAfterMs) {
        refuse(pending.request.id, EndReason::BeyondLimit, retryAfterMs);
        pending.ended = true;
        removeIfDone(pending);
    }
    // Drops the request once it has its answer and no attempt is in flight.
    void removeIfDone(PendingRequest& pending) {
        if (!pending.ended || pending.openAttempts > 0) return;
        if (pending.isOrdered()) keyQueues_.remove(pending, now_);
        dequeue(pending);
        if (pending.origin < 0) {
            releaseReservation(pending);
            --pending.volume->openRequests;
        }
        deadlines_.erase({pending.expiresAt, pending.request.id});
        const auto position = requestsById_.at(pending.request.id);
        requestsById_.erase(pending.request.id);
        requests_.erase(position);
    }
    void abandon(PendingRequest& pending) {
        dequeue(pending);
        pending.ended = true;
        removeIfDone(pending);
    }
    void on(const ClientGone& gone) {
        if (const auto found = requestsById_.find(gone.id); found != requestsById_.end())
            abandon(*found->second);
    }
    void on(const ResponseStarted& started) {
        const auto found = requestsById_.find(started.id);
        if (found != requestsById_.end())
            found->second->responseStarted = found->second->requestClass->stream;
    }
    void on(const ShutdownDeadline& shutdown) {
        for (auto& pending : requests_) {
            if (pending.origin >= 0 || pending.deadline <= shutdown.atMs) continue;
            pending.deadline = shutdown.atMs;
            setExpiry(pending, pending.deadline);
        }
    }
    template <class Unused>
    void on(const Unused&) {}  // timers and probe results
    // Ends waiting requests: just before their client gives up, and sooner if they were never sent or may no
    // longer be repeated.
    void expire() {
        std::vector<PendingRequest*> expired;
        const double margin = 2 * settings_.tickMs;
        for (auto& [seq, pending] : queue_) {
            const double expiresAt =
                pending->attempts.empty() ? refuseAt(*pending) + margin : pending->deadline;
            if (now_ + margin >= std::min(expiresAt, pending->deadline) || keyMayBeForgotten(*pending, now_))
                expired.push_back(pending);
            else wakeAt(std::min(expiresAt, pending->deadline) - margin);
        }
        // An attempt without a result at the client's deadline: the client gets its answer all the same. For
        // a request of another host the place in the node is taken back, since that host may be dead or its
        // message lost.
        while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
            const auto found = requestsById_.find(deadlines_.begin()->second);
            deadlines_.erase(deadlines_.begin());
            if (found == requestsById_.end()) continue;
            PendingRequest& pending = *found->second;
            if (pending.origin >= 0)
                on(AttemptEnded{pending.request.id, "", Outcome::NoAnswer, 0, 0, true, 0, 0});
            else if (!pending.responseStarted && !queue_.count(pending.seq)) expired.push_back(&pending);
        }
        if (!deadlines_.empty()) wakeAt(deadlines_.begin()->first);
        for (auto* pending : expired) {
            if (!pending->ended)
                endUnserved(*pending,
                            pending->openAttempts > 0 ? EndReason::TimeOver : EndReason::NotSentInTime);
            removeIfDone(*pending);
        }
    }

    // ---------------------------------------------------------------- credit reports
    // Reports to the hosts known to share a volume, and only figures that changed; to all hosts when the
    // volume is first short of credit.
    void reportCredits() {
        if (!settings_.maySendToPeers || settings_.hosts == 1) return;
        std::map<int, CreditReport> reports;
        std::vector<VolumeIntroduction> introductions;
        for (auto& [id, volume] : volumes_) {
            if (!volume.hasLimit()) continue;
            const double ownWeight = volume.queuedUnits + volume.sentLastSubperiod;
            const CreditFigures figures{id, volume.sentLastSubperiod, volume.queuedUnits, volume.totalSent,
                                        0};
            const bool hasChanged = ownWeight > 0 || volume.reportedBusy;
            volume.reportedBusy = ownWeight > 0;
            // Repeated at intervals: a report may be lost, and a restarted host has forgotten it.
            const bool everywhere = volume.hosts == settings_.hosts;
            const bool announce = volume.needsCredit && now_ >= volume.announceAfter;
            if (announce) {
                reports[-1].figures.push_back(figures);
                if (everywhere)
                    introductions.push_back(
                        {id, static_cast<std::size_t>(volume.plan - settings_.plans.data())});
                volume.announceAfter = now_ + kIdleForgetMs;
                volume.needsCredit = false;
            }
            for (auto& [rank, peer] : volume.peers) {
                if ((announce || !hasChanged) && !peer.reportDue) continue;
                peer.reportDue = false;
                reports[rank].figures.push_back(figures);
            }
        }
        for (const auto& bytes : pack(introductions)) actions_.emplace_back(SendToPeers{-1, bytes});
        for (auto& [rank, creditReport] : reports) {
            creditReport.incarnation = incarnation_;
            creditReport.subperiod = subperiod_;
            for (const auto& bytes : pack(creditReport)) actions_.emplace_back(SendToPeers{rank, bytes});
        }
    }
    // Messages are untrusted: each is read and checked as a whole before any of it takes effect.
    void on(const PeerMessage& message) {
        if (message.from < 0 || message.from >= settings_.hosts || message.from == settings_.rank) return;
        const auto permits = readPermits(message.bytes, settings_);
        const auto quota = readQuotaMessage(message.bytes, settings_);
        const auto introductions = readIntroductions(message.bytes, settings_);
        const auto report = readCreditReport(message.bytes);
        unreadableMessages_ += !permits && !quota && !introductions && !report;
        if (permits && coordinated_) onPermits(message.from, *permits);
        if (quota) onQuotaMessage(message.from, *quota);
        if (introductions)
            for (const auto& introduction : *introductions) joinVolume(message.from, introduction);
        if (!report) return;
        const auto [incarnation, peerSubperiod, reported] = *report;
        auto& peer = peers_[message.from];
        if (!peer.clock.onReport(incarnation, peerSubperiod, now_)) return;
        const auto subperiod = peer.clock.toLocalSubperiod(peerSubperiod, subperiod_, now_);
        if (subperiod > subperiod_ + 2) return;
        if (subperiod == subperiod_) {
            const double delay = std::clamp(now_ - subperiodStartedAt_, settings_.tickMs, kMaxPeerWaitMs);
            peerDelay_ += 0.05 * (delay - peerDelay_);
        }
        for (const auto& entry : reported) {
            if (entry.sentUnits + entry.queuedUnits > 0)
                activeHosts_.record(entry.volume, message.from, now_);
            const auto found = volumes_.find(entry.volume);
            if (found == volumes_.end() || !found->second.hasLimit() || forgetIfMoved(found)) continue;
            auto& volume = found->second;
            const auto known = volume.peers.find(message.from);
            if (known == volume.peers.end() &&
                volume.peers.size() + 1 >= static_cast<std::size_t>(volume.hosts) + kMaxExtraPeers)
                continue;
            auto* figures = volumes_.findOrAddPeer(volume, message.from);
            if (!figures) continue;
            auto& last = *figures;
            const bool newProcess = known == volume.peers.end() || last.incarnation != incarnation;
            if (newProcess ? last.heardAt > 0 && last.previousIncarnation == incarnation
                           : subperiod <= last.subperiod)
                continue;
            refill(volume);
            // The running total makes up for lost reports; a new process of the peer starts a new total.
            const double sentUnits =
                newProcess ? entry.sentUnits : std::max(0.0, entry.totalSent - last.totalSent);
            volume.level = std::max(volume.level - sentUnits, -volume.plan->limitBurst);
            if (newProcess)
                last.previousIncarnation = last.incarnation, last.incarnation = incarnation,
                last.reportDue = true;
            last.subperiod = subperiod;
            last.totalSent = entry.totalSent;
            last.sentUnits = entry.sentUnits;
            last.queuedUnits = entry.queuedUnits;
            last.heardAt = now_;
        }
    }
    // Drops a volume that is idle here while as many other hosts as it has report work: its requests come
    // through those hosts, which may draw all of its limit, so the share here is void. True: it was dropped.
    bool forgetIfMoved(VolumeTable::iterator volumeIt) {
        const auto& volume = volumeIt->second;
        const bool idle =
            volume.openRequests == 0 && now_ > volume.lastRequestAt + kIdleSubperiods * kSubperiodMs;
        if (!idle || activeHosts_.count(volumeIt->first, now_) < static_cast<std::size_t>(volume.hosts))
            return false;
        reportAccount(volume, LimitAccount::Moment::Forgotten);
        volumes_.erase(volumeIt);
        return true;
    }
    // Bounds memory: drops what has been idle for long, volumes only once their parts are full again.
    void removeIdle() {
        activeHosts_.removeExpired(now_);
        quotaPool_.removeFull(now_);
        for (auto it = volumes_.begin(); it != volumes_.end();) {
            auto& volume = it->second;
            const double full = volume.hasLimit() ? 2000 * volume.plan->limitBurst / volume.plan->limit : 0;
            volumes_.removePeersBefore(volume, now_ - kIdleForgetMs);
            const bool idle = volume.openRequests == 0 && volume.peers.empty() &&
                              now_ > volume.lastRequestAt + std::max(kIdleForgetMs, full);
            if (idle) reportAccount(volume, LimitAccount::Moment::Forgotten);
            it = idle ? volumes_.erase(it) : std::next(it);
        }
        keyQueues_.removeIdle(now_);
    }

    // ---------------------------------------------------------------- timers
    void wakeAt(double at) { nextWake_ = std::min(nextWake_, at); }
    // Asks for a timer at the earliest time wanted, unless one is set for then or before.
    void setTimer() {
        nextWake_ = std::max(nextWake_, now_ + settings_.tickMs);
        if (armedAt_ <= now_ + settings_.tickMs / 2 || nextWake_ < armedAt_) {
            armedAt_ = nextWake_;
            actions_.emplace_back(SetTimer{nextWake_ - now_});
        }
        nextWake_ = 1e18;
    }
    double uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }

    Settings settings_;
    std::mt19937_64 random_;
    std::vector<Action> actions_;
    double now_ = 0, startedAt_ = -1, nextWake_ = 1e18, armedAt_ = -1e18;
    bool splitDue_ = false, coordinated_ = false, quotaWanted_ = false;
    double subscribeAt_ = 1e18, permitWait_ = kInitialPermitWaitMs, subperiodStartedAt_ = 0,
           peerDelay_ = kInitialPeerWaitMs / 2;
    double fairUnitsPerWeight_ = 0, unreservedUnits_ = 0, fairUpdatedAt_ = 0;
    std::uint64_t subperiod_ = 0, seq_ = 0, unreadableMessages_ = 0;
    std::uint32_t incarnation_ = 0;
    std::map<int, std::vector<PermitMessage>> outgoingPermits_;  // by rank; -1: to all
    std::vector<std::string> newPermitRequests_;
    NodeTable nodes_;
    VolumeTable volumes_;
    ActiveHosts activeHosts_;
    QuotaPool quotaPool_;  // leases to other hosts and to itself
    std::map<int, Peer> peers_;
    std::list<PendingRequest> requests_;
    std::unordered_map<std::string, std::list<PendingRequest>::iterator> requestsById_;
    std::map<std::uint64_t, PendingRequest*> queue_;                        // own requests that wait, by seq
    std::map<int, std::map<std::uint64_t, PendingRequest*>> permitQueues_;  // of other hosts, by shard
    KeyQueues keyQueues_;
    std::map<int, double> backlogUnits_;
    std::unordered_map<const RequestClass*, double> longestTtl_;
    SlidingSum acceptedRequests_, retries_;               // counts
    std::set<std::pair<double, std::string>> deadlines_;  // time and request id
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
TableSizes Scheduler::tableSizes() const { return impl_->tableSizes(); }

}  // namespace spokewheel
