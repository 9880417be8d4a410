// State that the scheduler keeps of nodes, volumes, requests and peers. Data only: every decision is in
// policy.cpp. Times are milliseconds on the host's clock, amounts are units.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "limit_parts.hpp"
#include "node_window.hpp"
#include "peer_clock.hpp"
#include "peer_messages.hpp"
#include "quota_client.hpp"
#include "spokewheel/scheduler.hpp"
#include "volume_entitlement.hpp"

namespace spokewheel {

// Amounts with the time at which each was added. Summing drops the entries older than the window.
struct SlidingSum {
    std::deque<std::pair<double, double>> entries;  // time, amount
    void add(double at, double amount, double windowMs) {
        sumSince(at - windowMs);
        entries.push_back({at, amount});
    }
    double sumSince(double from) {
        while (!entries.empty() && entries.front().first <= from) entries.pop_front();
        double sum = 0;
        for (const auto& entry : entries) sum += entry.second;
        return sum;
    }
};

struct Node {
    std::string id, zone;
    int shard = -1;
    Lifecycle lifecycle = Lifecycle::Ready;
    // `unansweredSince`: the time since which attempts are in flight without any answer.
    double coldSince = -1e18, notBefore = 0, unansweredSince = 1e18, lastSendAt = -1e18;
    NodeWindow window;
    bool suspect = false;  // it dropped connections and may have restarted: treated as cold
    int inflight = 0, droppedConnections = 0;
    // Load: logarithm of the expected time in the node, as announced to the other hosts.
    double unitsInFlight = 0, load = 0, announcedLoad = 0, loadAnnouncedAt = -1e18;
    double randomDraw = 1, randomDrawUntil = -1e18;  // decides about trials while the node is cold
    SlidingSum coldUnitsSent, coldUnitsServed;
    std::array<std::int64_t, 2> recentKeys = {-1, -1};
};

// What a peer last reported of one volume.
struct PeerFigures {
    std::uint32_t incarnation = 0, previousIncarnation = 0;
    std::uint64_t subperiod = 0;  // of the last report, in this host's numbering
    double totalSent = 0, sentUnits = 0, queuedUnits = 0, heardAt = 0;
    bool reportDue = true;  // the peer has not been told yet that this host shares the volume
};

template <class T>
const T* findByName(const std::vector<T>& list, const std::string& name) {
    for (const auto& one : list)
        if (one.name == name) return &one;
    return nullptr;
}

struct Volume {
    std::int64_t id = 0;
    const Plan* plan = nullptr;
    int hosts = 1;
    // `level`: the volume's token bucket over all hosts, rebuilt from the peers' reports (D of the credit
    // algorithm). `sentUnits` (r) and `queuedUnits` (Q): this host's figures of the subperiod. `share`: this
    // host's fraction of the bucket.
    double level = 0, refilledAt = 0, credit = 0, sentUnits = 0, sentLastSubperiod = 0, queuedUnits = 0,
           share = 1;
    // `reportedBusy`: the last report had r or Q above zero.
    bool firstSplit = true, needsCredit = false, reportedBusy = false;
    bool wasShortOfLimit = false;  // in this subperiod
    double nextShortageReportAt = 0;
    int openRequests = 0;
    // Kept by VolumeTable: whether one request or more came for it, and its place in the order of requests.
    bool requested = false, requestedAgain = false;
    std::list<std::int64_t>::iterator place;
    double totalSent = 0, lastRequestAt = 0, announceAfter = 0;
    LimitShare limitShare;
    QuotaClient quota;
    std::map<int, PeerFigures> peers;  // by rank
    VolumeEntitlement entitlement;
    bool hasLimit() const { return plan->limit > 0; }
    LimitAccount account(LimitAccount::Moment moment) const {
        LimitAccount account;
        account.moment = moment;
        account.volume = id;
        account.hosts = hosts;
        account.own = limitShare.level();
        account.leased = limitShare.leased();
        account.reserved = limitShare.reserved();
        account.level = level;
        account.credit = credit - sentUnits;
        account.sent = totalSent;
        return account;
    }
};

// One attempt of a request; in `PendingRequest::attempts` by its number.
struct SentAttempt {
    Node* node;
    double sentAt;
    bool open;
    bool countedAsCold;  // it is counted in the node's budget while cold
    int grantedBy = -1;  // rank of the coordinator that permitted it; -1: this host did
};

// A request without an answer, waiting here or with attempts in flight.
struct PendingRequest {
    Request request;
    const RequestClass* requestClass = nullptr;
    Volume* volume = nullptr;
    std::uint64_t seq = 0;
    double arrivedAt = 0, deadline = 0, latencyTargetAt = 0, notBefore = 0, mayHaveRunAt = 0;
    double expiresAt = 0;  // its entry in the table of deadlines
    std::vector<SentAttempt> attempts;
    int openAttempts = 0;
    // `boundShard`: of the node where it may have run. `targetShard`: the one that it is to be sent to.
    int boundShard = -1, targetShard = -1;
    // `coordinator`: rank of the host asked for a permit. On the coordinator itself: `origin` and `originSeq`
    // are the host that asked and its number of the request; -1: a request of this host.
    int coordinator = -1, origin = -1;
    std::uint64_t originSeq = 0;
    const Plan* plan = nullptr;
    // Parts of its units, 0 to 1, that the volume's reservation and its share by weight cover.
    double permitRequestedAt = 0, permitDue = 0, reservedPart = 0, fairPart = 0;
    bool permitAcked = false;
    std::string boundZone;
    bool mayHaveRun = false, ended = false, limitDrawn = false, begun = false, responseStarted = false;
    bool isOrdered() const { return origin < 0 && requestClass->inOrder && request.key != -1; }
    std::int64_t keyTag() const { return request.key & 0x3fff; }  // the bits of a key that hosts exchange
};

struct Peer {
    double unresponsiveUntil = -1e18;
    PeerClock clock;
};

}  // namespace spokewheel
