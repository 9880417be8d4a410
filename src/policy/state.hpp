// What a host keeps of nodes, volumes, requests and peers. Plain state: every decision is in policy.cpp.
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
#include "volume_dues.hpp"

namespace spokewheel {

// Units by time, forgotten once older than the span asked for.
struct UnitLog {
    std::deque<std::pair<double, double>> entries;
    double since(double from) {
        while (!entries.empty() && entries.front().first <= from) entries.pop_front();
        double sum = 0;
        for (const auto& e : entries) sum += e.second;
        return sum;
    }
};

struct Node {
    std::string id, zone;
    int shard = -1;
    Lifecycle lifecycle = Lifecycle::Ready;
    double coldFrom = -1e18, notBefore = 0, unansweredFrom = 1e18, lastSend = -1e18;
    NodeWindow window;
    bool suspect = false;
    int inflight = 0, dropped = 0;
    double unitsOut = 0, heat = 0, heatTold = 0, heatToldAt = -1e18;
    double lot = 1, lotUntil = -1e18;  // drawn for a cold node, and for how long it counts
    UnitLog coldSent, coldDone;
    std::array<std::int64_t, 2> recentKeys = {-1, -1};
};

struct PeerView {
    std::uint32_t incarnation = 0, previous = 0;
    std::uint64_t sub = 0;  // the sender's subperiod of the last entry
    double total = 0, r = 0, held = 0, heardAt = 0;
    bool greet = true;  // it is owed word that this host shares the volume
};

template <class T>
const T* named(const std::vector<T>& list, const std::string& name) {
    for (const auto& one : list)
        if (one.name == name) return &one;
    return nullptr;
}

struct Volume {
    std::int64_t id = 0;
    const Plan* plan = nullptr;
    int hosts = 1;
    // The rebuilt store (D), this host's figures of the subperiod, and its share of the store.
    double level = 0, filledAt = 0, credit = 0, r = 0, rLast = 0, held = 0, part = 1;
    bool first = true, starved = false, busy = false;  // busy: told r or Q above zero last
    bool wasShort = false;                             // in this subperiod
    double noteShortFrom = 0;
    int users = 0;
    double total = 0, usedAt = 0, announceFrom = 0;
    LimitShare share;
    QuotaClient quota;
    std::map<int, PeerView> peers;
    VolumeDues dues;
    bool limited() const { return plan->limit > 0; }
    LimitAccount note(LimitAccount::Moment moment) const {
        LimitAccount note;
        note.moment = moment;
        note.volume = id;
        note.hosts = hosts;
        note.own = share.level();
        note.leased = share.leased();
        note.reserved = share.reserved();
        note.level = level;
        note.credit = credit - r;
        note.sent = total;
        return note;
    }
};

struct Sent {
    Node* node;
    double at;
    bool open;
    bool cold;       // whether the cold budget holds it
    int lease = -1;  // the keeper that granted it
};

struct Held {
    Request request;
    const RequestClass* kind = nullptr;
    Volume* volume = nullptr;
    std::uint64_t seq = 0;
    double arrived = 0, deadline = 0, aimAt = 0, notBefore = 0, mayRunAt = 0;
    std::vector<Sent> sent;
    int open = 0;
    int boundShard = -1, goal = -1;  // goal: the shard it is asked for
    // Asked of a keeper; and, at the keeper, whose it is and what was said of its due.
    int keeper = -1, owner = -1;
    std::uint64_t ownerSeq = 0;
    const Plan* plan = nullptr;
    double askedAt = 0, askDue = 0, full = 0, fair = 0;
    bool acked = false;
    std::string boundZone;
    bool mayHaveRun = false, ended = false, drawn = false, begun = false, started = false;
    bool ordered() const { return owner < 0 && kind->inOrder && request.key != -1; }
    std::int64_t keyMark() const { return request.key & 0x3fff; }  // the bits of a key that hosts tell
};

struct KeyTurn {
    std::list<Held*> turn;
    double restUntil = -1e18;
};

struct Peer {
    double deafUntil = -1e18;
    PeerClock clock;
};

}  // namespace spokewheel
