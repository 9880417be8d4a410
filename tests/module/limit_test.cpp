#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "policy/limit_parts.hpp"
#include "policy/peer_messages.hpp"
#include "policy/quota_pool.hpp"
#include "support.hpp"

namespace spokewheel::testing {
namespace {

constexpr double kStart = 100000;  // a subperiod's boundary
// Volumes whose first pool is at the first of two hosts, and at the second of three.
constexpr std::int64_t kPoolAtFirst = 11, kPoolAtSecondOfThree = 5;

Settings many(int hosts, int rank) {
    auto s = plainSettings();
    s.hosts = hosts;
    s.rank = rank;
    // These are about how credit is split and lent: nothing is given up before its deadline.
    for (auto& c : s.classes) c.latencyTargetMs = c.deadlineMs;
    return s;
}

std::vector<NodeEntry> fleet() {
    std::vector<NodeEntry> nodes;
    for (int i = 0; i < 30; ++i) nodes.push_back(node("n" + std::to_string(i), i));
    return nodes;
}

Request drawn(const std::string& id, int hosts, double units = 1) {
    auto r = request(id, "once", -1, units);
    r.plan = "limited";
    r.hosts = hosts;
    return r;
}

std::vector<Event> burst(int from, int count, int hosts) {
    std::vector<Event> events;
    for (int i = 0; i < count; ++i) events.push_back(drawn("r" + std::to_string(from + i), hosts));
    return events;
}

// What was told since is delivered, a few milliseconds later, until all have heard all.
void exchange(std::vector<Host*> hosts, double now) {
    for (bool more = true; more;) {
        more = false;
        now += 2;
        std::vector<std::vector<SendToPeers>> told;
        for (auto* host : hosts) told.push_back(std::exchange(host->told, {}));
        for (std::size_t from = 0; from < hosts.size(); ++from)
            for (const auto& message : told[from])
                for (std::size_t to = 0; to < hosts.size(); ++to)
                    if (to != from && (message.to < 0 || message.to == static_cast<int>(to))) {
                        hosts[to]->step(now, {PeerMessage{static_cast<int>(from), message.bytes}});
                        more = true;
                    }
    }
}

// Alone, 20 units a second and 36 at once: a started host holds what it saw fill, 7 units at 350 ms, for the
// process before it may have drawn all that was there. The credit rounds down at each boundary: 2 at 500 ms,
// 6 at 750 ms.
TEST(Split, AStartedHostHoldsWhatItSawFill) {
    Host host(many(1, 0));
    host.step(kStart, {list(fleet())});
    host.runTo(kStart + 349);
    host.step(kStart + 350, burst(0, 60, 1));
    EXPECT_EQ(host.sent.size(), 7u);
    host.runTo(kStart + 500);
    EXPECT_EQ(host.sent.size(), 7u + 2u);
    host.runTo(kStart + 750);
    EXPECT_EQ(host.sent.size(), 9u + 6u);
}

TEST(Split, AllZeroWeightsShareEvenlyAndIdlePartsAreLeased) {
    Host a(many(2, 0), 1), b(many(2, 1), 2);
    std::size_t answered = 0;
    const auto turn = [&](double now) {
        for (; answered < a.sent.size(); ++answered) a.verdict(now - 1, a.sent[answered], Outcome::Served);
        a.runTo(now);
        b.runTo(now);
        exchange({&a, &b}, now);
    };
    a.step(kStart, {list(fleet())});
    b.step(kStart, {list(fleet())});
    a.step(kStart + 400, burst(1000, 1, 2));
    b.step(kStart + 400, burst(1000, 1, 2));
    for (double t = 410; t <= 8000; t += 10) turn(kStart + t);
    const auto before = a.sent.size();
    a.step(kStart + 8010, burst(0, 300, 2));
    for (double t = 8020; t <= 8200; t += 10) turn(kStart + t);  // up to the next boundary
    const auto even = a.sent.size() - before;
    EXPECT_GE(even, 10u);
    EXPECT_LE(even, 18u);  // the credit of floor(36 / 2)
    for (double t = 8210; t <= 10250; t += 10) turn(kStart + t);
    const auto later = a.sent.size() - before - even;
    // Two seconds refill 40: an even part would be 20; three quarters of it may go where the work is.
    EXPECT_GE(later, 24u);
    EXPECT_LE(even + later, 36u + 40u);
}

// Hosts number their subperiods by their own clock; one that started after the wall clock was stepped counts
// from elsewhere. They share as others do, also when the stepped one starts anew.
TEST(Split, HostsWhoseClocksDifferLendAsOthersDo) {
    const auto sentBy = [](double offset, bool restarts) {
        Host a(many(2, 0), 1);
        auto b = std::make_unique<Host>(many(2, 1), 2);
        std::size_t answered = 0;
        const auto exchange = [&](double now) {
            for (; answered < a.sent.size(); ++answered)
                a.verdict(now - 1, a.sent[answered], Outcome::Served);
            a.runTo(now);
            b->runTo(now + offset);
            std::vector<SendToPeers> fromA, fromB;
            fromA.swap(a.told);
            fromB.swap(b->told);
            for (auto& m : fromA) b->step(now + offset, {PeerMessage{0, m.bytes}});
            for (auto& m : fromB) a.step(now, {PeerMessage{1, m.bytes}});
        };
        a.step(kStart, {list(fleet())});
        const auto begin = [&](double at, double shift) {
            b->step(at + shift, {list(fleet())});
            b->step(at + shift + 1, burst(1000, 1, 2));
        };
        a.step(kStart + 400, burst(1000, 1, 2));
        begin(kStart + 400, restarts ? 0 : offset);
        if (restarts) {
            const double later = std::exchange(offset, 0);
            for (double t = 500; t <= 1000; t += 250) exchange(kStart + t);
            offset = later;
            b = std::make_unique<Host>(many(2, 1), 3);
            begin(kStart + 1100, offset);
        }
        for (double t = 1250; t <= 8000; t += 250) exchange(kStart + t);
        a.step(kStart + 8010, burst(0, 300, 2));
        for (double t = 8250; t <= 12250; t += 250) exchange(kStart + t);
        return a.sent.size();
    };
    for (const bool restarts : {false, true}) {
        const auto together = sentBy(0, restarts);
        for (const double offset : {3600e3, -50e3, 3600e3 + 110, -50e3 - 110})
            EXPECT_GE(sentBy(offset, restarts) + 8, together)
                << offset << (restarts ? " after a restart" : "");
    }
}

// The other host told of 30 units held and is not heard of after that: of D = 36 it counts as having spent
// 18, and the rest is split with its weight of 18 against none here: floor(18 / 4) + 0. Heard of in time,
// with nothing changed, its 30 weigh against none: floor(36 / 4) + 0. One that never made itself known is
// idle. The first pool of volume 11 is this host's own, so that nothing but the credit binds.
TEST(Split, ASilentHostCountsAsHavingSpentItsEvenPart) {
    const auto ofVolume = [](std::vector<Event> events) {
        for (auto& event : events) std::get<Request>(event).volume = kPoolAtFirst;
        return events;
    };
    for (const int known : {0, 1}) {
        Host host(many(2, 0)), other(many(2, 1), 2);
        for (auto* h : {&host, &other}) h->step(kStart, {list(known ? std::vector<NodeEntry>{} : fleet())});
        if (known) host.step(kStart, {list(fleet())});
        host.step(kStart + 400, ofVolume(burst(1000, 1, 2)));
        host.runTo(kStart + 900);
        host.verdict(kStart + 920, host.sent.at(0), Outcome::Served);
        if (known) other.step(kStart + 4900, ofVolume({drawn("large", 2, 30)}));  // beyond its credit of 27
        host.runTo(kStart + 5000);
        other.runTo(kStart + 5000);
        for (const auto& t : other.told) host.step(kStart + 5004, {PeerMessage{1, t.bytes}});
        host.runTo(kStart + 5495);
        host.step(kStart + 5496, ofVolume(burst(0, 30, 2)));
        if (known) EXPECT_EQ(host.sent.size(), 1u + 4u);
        else EXPECT_GT(host.sent.size(), 1u + 8u);
    }
}

// Guards against hosts that wait for word of many others who have no work for the volume: at 24 hosts all
// unheard of, D less 23 even parts left nothing to send in a volume's first seconds.
// Of 24 hosts all but those of the volume's pools are unheard of: what the pools saw fill is leased within
// two messages.
TEST(Split, AFirstRequestIsNotHeldBackByHostsThatAreUnknown) {
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<Host*> all;
    for (int i = 0; i < 24; ++i) {  // below the number where nodes are kept by one host
        auto settings = many(24, i);
        settings.plans[1].limitBurst = 288;
        settings.plans[1].slack = 28;
        hosts.push_back(std::make_unique<Host>(settings, static_cast<unsigned>(i + 1)));
        hosts.back()->step(kStart, {list(fleet())});
        all.push_back(hosts.back().get());
    }
    hosts[0]->step(kStart + 1000, {drawn("first", 24, 2)});
    exchange(all, kStart + 1000);
    hosts[0]->step(kStart + 1300, {drawn("second", 24, 2)});
    exchange(all, kStart + 1300);
    EXPECT_EQ(hosts[0]->sent.size(), 2u);
    EXPECT_LE(hosts[0]->sentAt.at(1), kStart + 1310);
}

// Guards against two volumes lending to each other: peers once told volumes apart by their last 20 bits, and
// a day with 450 volumes passed a limit (incident i2408b2).
TEST(Split, VolumesWhoseNumbersEndAlikeStayApart) {
    Host a(many(3, 0), 1), b(many(3, 1), 2);  // shared by two: joins no one unasked
    for (auto* h : {&a, &b}) h->step(kStart, {list(fleet())});
    std::vector<Event> mine = burst(0, 60, 2), others = burst(100, 60, 2);
    for (auto& e : mine) std::get<Request>(e).volume = 5;
    for (auto& e : others) std::get<Request>(e).volume = 5 + (std::int64_t{1} << 34);
    a.step(kStart + 10, mine);
    b.step(kStart + 10, others);
    a.runTo(kStart + 250);
    ASSERT_FALSE(a.told.empty());
    const auto before = b.told.size();
    for (auto& m : a.told) b.step(kStart + 255, {PeerMessage{0, m.bytes}});
    b.runTo(kStart + 500);
    for (std::size_t i = before; i < b.told.size(); ++i)
        EXPECT_TRUE(!readReport(b.told[i].bytes) || b.told[i].to == -1);  // no word to a sharer
}

// Guards against paying for word to every host about volumes that never come near their limit: no report, and
// a few asks to the two hosts of the volume's pools alone, though neither answers.
TEST(Split, AVolumeThatIsNeverShortIsToldToNobody) {
    Host host(many(200, 0));
    host.step(kStart, {list(fleet())});
    host.step(kStart + 3000, {drawn("one", 3, 2)});
    host.runTo(kStart + 9000);
    std::set<int> asked;
    int asks = 0;
    for (const auto& t : host.told) {
        EXPECT_FALSE(readReport(t.bytes));
        if (!readQuota(t.bytes, many(200, 0))) continue;
        asked.insert(t.to);
        ++asks;
    }
    EXPECT_LE(asked.size(), 2u);
    EXPECT_EQ(asked.count(-1), 0u);
    EXPECT_LE(asks, 16);
}

// Three hosts, one with work: what the other two never use goes to it, though they have not heard of the
// volume by a request; a host that has started anew, and knows nothing of it, is told again. One whose first
// request comes meanwhile still sends it at once.
TEST(Split, AHostAloneWithWorkIsLentWhatIdlesAtTheOthers) {
    std::vector<std::unique_ptr<Host>> hosts;
    const auto fresh = [](int rank) {
        auto s = many(3, rank);
        s.plans[1].limitBurst = 72;
        return std::make_unique<Host>(s, static_cast<unsigned>(rank + 1));
    };
    for (int i = 0; i < 3; ++i) hosts.push_back(fresh(i));
    for (auto& h : hosts) h->step(kStart, {list(fleet())});
    std::size_t answered = 0;
    int asked = 0;
    const auto run = [&](double from, double to) {
        const auto before = hosts[0]->sent.size();
        for (double t = from; t < to; t += 10) {
            if (hosts[0]->sent.size() + hosts[0]->refused.size() + 40 > static_cast<std::size_t>(asked))
                hosts[0]->step(t, burst(std::exchange(asked, asked + 20), 20, 3));
            for (; answered < hosts[0]->sent.size(); ++answered)
                hosts[0]->verdict(t, hosts[0]->sent[answered], Outcome::Served);
            for (auto& h : hosts) h->runTo(t);
            for (std::size_t i = 0; i < 3; ++i) {
                for (auto& m : std::exchange(hosts[i]->told, {}))
                    for (std::size_t to = 0; to < 3; ++to)
                        if (to != i && (m.to < 0 || m.to == static_cast<int>(to)))
                            hosts[to]->step(t, {PeerMessage{static_cast<int>(i), m.bytes}});
            }
        }
        return static_cast<double>(hosts[0]->sent.size() - before) / (to - from) * 1000;
    };
    run(kStart, kStart + 12000);
    const double lent = run(kStart + 12000, kStart + 20000);
    EXPECT_GT(lent, 0.8 * 20);  // the limit; its own part is a third of it
    EXPECT_LE(lent, 20 + 1);
    hosts[1]->step(kStart + 20000, {drawn("first", 3, 6)});
    EXPECT_EQ(hosts[1]->sent.size(), 1u);
    hosts[2] = fresh(2);
    hosts[2]->step(kStart + 20000, {list(fleet())});
    run(kStart + 20000, kStart + 64000);
    EXPECT_GT(run(kStart + 64000, kStart + 70000), 0.8 * 20);
}

// Guards against spending what was leased after its pool counts it as unspent: an answer that comes a second
// after the ask leases nothing, one in time does, and one that comes twice does so once. Should cover slow
// links, hosts that stall and repeated datagrams.
TEST(Split, WhatIsLeasedInALateOrRepeatedAnswerIsDropped) {
    // Of three hosts the second and the third have the volume's pools; the third is not heard of.
    const auto asked = [](const std::string& id) {
        auto r = drawn(id, 2, 6);
        r.volume = kPoolAtSecondOfThree;
        return r;
    };
    for (const double late : {4.0, 1100.0}) {
        Host a(many(3, 0), 1), b(many(3, 1), 2);
        for (auto* h : {&a, &b}) h->step(kStart, {list(fleet())});
        for (auto* h : {&a, &b}) h->runTo(kStart + 5000);
        a.told.clear();
        a.step(kStart + 5001, {asked("first")});
        for (const auto& m : std::exchange(a.told, {})) b.step(kStart + 5003, {PeerMessage{0, m.bytes}});
        std::vector<SendToPeers> answers;
        for (const auto& m : b.told)
            if (readQuota(m.bytes, many(3, 0))) answers.push_back(m);
        ASSERT_EQ(answers.size(), 1u);
        const double at = kStart + 5001 + late;
        a.runTo(at - 1);
        for (int i = 0; i < 3; ++i) a.step(at, {PeerMessage{1, answers[0].bytes}});
        EXPECT_EQ(a.sent.size(), late < 1000 ? 1u : 0u);
        a.step(at + 1, {asked("second")});
        EXPECT_EQ(a.sent.size(), late < 1000 ? 1u : 0u);  // the repeats leased nothing more
    }
}

// A pool leases no more than its part of the bucket: what is out counts until nobody can spend it any more.
// Its one host's part would fill again, beside that of the host that has its requests now.
TEST(LimitShare, IsEmptyOnceTheVolumesRequestsMovedAwayAndCameBack) {
    auto settings = many(3, 0);
    settings.reportLimitAccounts = true;
    Host host(settings);
    host.step(kStart, {list(fleet()), drawn("before", 1)});
    host.runTo(kStart + 300);
    for (const auto& attempt : std::vector<Attempt>(host.sent))
        host.verdict(kStart + 310, attempt, Outcome::Served);
    host.runTo(kStart + 3000);
    Report report;
    report.incarnation = 77;
    report.subperiod = static_cast<std::uint64_t>((kStart + 3000) / 250);
    report.figures = {{7, 3, 2, 3, 0}};
    for (const auto& bytes : pack(report)) host.step(kStart + 3010, {PeerMessage{1, bytes}});
    const auto actions = host.step(kStart + 3020, {drawn("after", 1)});
    const auto first = std::find_if(actions.begin(), actions.end(), [](const Action& action) {
        const auto* note = std::get_if<LimitAccount>(&action);
        return note && note->moment == LimitAccount::Moment::FirstSight;
    });
    ASSERT_NE(first, actions.end());
    EXPECT_EQ(std::get<LimitAccount>(*first).own, 0);
}

// Guards against requests that no part of the limit could ever serve.
TEST(LimitParts, HoldTheWholeBucketAndALargestRequestWhereItFits) {
    constexpr double kTop = 6;
    for (const double burst : {2.0, 6.0, 7.0, 9.0, 12.0, 20.0, 36.0, 200.0})
        for (const int hosts : {1, 2, 3, 4, 12, 160}) {
            Plan plan;
            plan.limit = 10;
            plan.limitBurst = burst;
            const auto parts = partsOf(plan, hosts, kTop, true);
            double rate = hosts * parts.own.rate, held = hosts * parts.own.burst;
            for (const auto& pool : parts.pools) rate += pool.rate, held += pool.burst;
            EXPECT_NEAR(rate, plan.limit, 1e-9) << burst << " " << hosts;
            EXPECT_NEAR(held, burst, 1e-9) << burst << " " << hosts;
            EXPECT_GE(parts.own.burst, 0) << burst << " " << hosts;
            EXPECT_GE(parts.pools[0].burst + 1e-9, std::min(burst, kTop)) << burst << " " << hosts;
        }
}

TEST(QuotaPool, WhatIsLeasedIsNotThereTwice) {
    constexpr TokenBucket kPart{1000, 40};
    QuotaPool pool(kStart);
    const auto lease = [&](int rank, std::uint64_t seq, double most, double at) {
        return pool.lease(7, kPart, {rank, seq}, 0.1, most, kStart + at).units;
    };
    EXPECT_DOUBLE_EQ(lease(1, 1, 1000, 100), 40);
    EXPECT_DOUBLE_EQ(lease(2, 1, 1000, 100 + kQuotaLeaseMs), 0);
    EXPECT_DOUBLE_EQ(lease(2, 2, 1000, 100 + kQuotaCountedMs - 1), 0);
    EXPECT_DOUBLE_EQ(lease(2, 3, 1000, 100 + kQuotaCountedMs + 100), 40);
}

// A pool starts empty with its process, fills at its part of the rate whether it was asked or not, and tells
// when as much may be there.
TEST(QuotaPool, StartsEmptyAndTellsWhenToAskAgain) {
    constexpr TokenBucket kPart{10, 40};
    QuotaPool pool(kStart);
    const auto refused = pool.lease(7, kPart, {1, 1}, 6, 6, kStart + 200);
    EXPECT_DOUBLE_EQ(refused.units, 0);
    EXPECT_DOUBLE_EQ(refused.retryAfterMs, 400);
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {1, 2}, 6, 6, kStart + 600).units, 6);
    EXPECT_DOUBLE_EQ(pool.lease(8, kPart, {1, 3}, 6, 100, kStart + 600).units, 6);
}

// An ask that comes again, for its answer was lost, gets the same lease, and another ask another.
TEST(QuotaPool, ARepeatedAskGetsTheSameLease) {
    constexpr TokenBucket kPart{10, 40};
    QuotaPool pool(kStart);
    const double at = kStart + 10000;
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {1, 1}, 1, 10, at).units, 10);
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {1, 1}, 1, 10, at + 1).units, 10);
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {2, 1}, 1, 100, at + 1).units, 30);
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {1, 2}, 1, 10, at + 1).units, 0);
}

// What was never asked for, and what is full again, is forgotten alike.
TEST(QuotaPool, ForgetsWhatIsFullAndNothingElse) {
    constexpr TokenBucket kPart{10, 40};
    QuotaPool pool(kStart);
    pool.lease(7, kPart, {1, 1}, 1, 40, kStart + 10000);
    pool.forgetFull(kStart + 10001);
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {1, 2}, 1, 40, kStart + 10050).units, 0);
    pool.forgetFull(kStart + 20000);
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {1, 3}, 1, 40, kStart + 20000).units, 40);
}

// More hosts share a volume than was told so far: what filled since the last word of it is cut to the smaller
// part.
TEST(LimitShare, GivesBackWhatItEarnedWhileMoreHostsWorked) {
    LimitShare share;
    share.begin({20, 60}, 1, kStart);
    share.seen({20, 60}, 1, kStart + 1000);
    EXPECT_DOUBLE_EQ(share.level(), 20);
    share.seen({20.0 / 4, 60.0 / 4}, 4, kStart + 2000);
    EXPECT_DOUBLE_EQ(share.level(), 20 + 5);
    share.refill(kStart + 2000);
    EXPECT_DOUBLE_EQ(share.level(), 15);
}

TEST(LimitShare, ALeaseEndsWithItsTime) {
    LimitShare share;
    share.begin({0, 0}, 1, kStart);
    share.lease(5, kStart + 1000);
    share.refill(kStart + 999);
    EXPECT_EQ(share.available(), 5);
    share.refill(kStart + 1000);
    EXPECT_EQ(share.available(), 0);
}

// Units whose attempt has not begun are still in the bucket, which may be full: the share does not fill over
// them.
TEST(LimitShare, HoldsRoomForWhatHasNotBegun) {
    LimitShare share;
    share.begin({20, 40}, 1, kStart);
    share.refill(kStart + 4000);
    EXPECT_DOUBLE_EQ(share.level(), 40);
    share.draw(30);
    share.reserve(30);
    share.refill(kStart + 8000);
    EXPECT_DOUBLE_EQ(share.level(), 10);
    share.release(30);
    share.refill(kStart + 9000);
    EXPECT_DOUBLE_EQ(share.level(), 30);
}

// Guards against a volume beyond its limit that holds the places of all clients: what the limit can't reach
// before the aim is refused at the next boundary, with a time to come back; what it can reach is held and
// sent.
TEST(Starved, WhatTheLimitCantReachIsRefusedAtTheNextBoundary) {
    auto settings = plainSettings();
    settings.maxRetryAfterMs = 1000;
    Host host(settings);
    host.step(kStart, {list(fleet())});
    host.runTo(kStart + 2000);
    host.step(kStart + 2010, burst(0, 100, 1));
    const auto atOnce = host.sent.size();
    EXPECT_LE(atOnce, 36u);
    host.runTo(kStart + 2260);
    EXPECT_GE(host.refused.size(), 100u - 36u - 6u - 20u / 2);  // burst, slack, half a second's refill
    for (const auto& [id, ms] : host.holdOff) {
        EXPECT_GT(ms, 0) << id;
        EXPECT_LE(ms, 1000) << id;
    }
    host.runTo(kStart + 5000);
    EXPECT_EQ(host.sent.size() + host.refused.size(), 100u);
    EXPECT_GT(host.sent.size(), atOnce);
}

// Guards against the last places of a host going to what can only be late: where the open requests come near
// what the host can hold, the aim is the end for what waits for credit, without waiting for a boundary. With
// room it is held for longer.
TEST(Starved, WhatIsLateGivesItsPlaceWhereRequestsCrowdTheHost) {
    for (const int most : {0, 60, 400}) {
        auto settings = plainSettings();
        settings.maxOpen = most;
        Host host(settings);
        host.step(kStart, {list(fleet())});
        host.runTo(kStart + 2000);
        std::vector<Event> reads;  // these fill places and wait for a node that isn't there
        for (int i = 0; i < 40; ++i) {
            auto r = request("n" + std::to_string(i), "read", 99);
            r.volume = 8;
            reads.push_back(r);
        }
        // Late when they come: their clients have tried before.
        auto first = burst(0, 1, 1), later = burst(1, 60, 1);
        for (auto& e : later) std::get<Request>(e).ttlMs = 1900;
        host.step(kStart + 2010, first);
        host.step(kStart + 2020, reads);
        host.step(kStart + 2030, later);
        host.runTo(kStart + 2249);
        if (most == 60) EXPECT_GE(host.refused.size(), 25u);  // all but what the store holds
        else EXPECT_EQ(host.refused.size(), 0u);
    }
}

// A few beyond the credit at hand are not refused: the limit reaches them in time.
TEST(Starved, WhatTheLimitReachesInTimeIsHeldAndSent) {
    Host host(plainSettings());
    host.step(kStart, {list(fleet())});
    host.runTo(kStart + 2000);
    host.step(kStart + 2010, burst(0, 300, 1));
    const auto before = host.sent.size();
    for (std::size_t i = 0; i < before; ++i) host.verdict(kStart + 2050, host.sent[i], Outcome::Served);
    host.runTo(kStart + 4200);
    host.step(kStart + 4240, burst(1000, 44, 1));  // the store is full, and half a second brings ten more
    const auto then = host.sent.size();
    for (std::size_t i = before; i < then; ++i) host.verdict(kStart + 4250, host.sent[i], Outcome::Served);
    host.runTo(kStart + 4730);
    for (int i = 0; i < 44; ++i) EXPECT_FALSE(host.refused.count("r" + std::to_string(1000 + i))) << i;
    host.runTo(kStart + 5400);
    for (int i = 0; i < 44; ++i) EXPECT_TRUE(host.tries.count("r" + std::to_string(1000 + i))) << i;
}

// Guards against reports that are dropped whole for a volume whose number fills all 64 bits: both ends of the
// range come back as they went, and one bit more is no number.
TEST(Split, NumbersOfVolumesKeepAllTheirBits) {
    Report report;
    report.subperiod = 7;
    for (const std::int64_t volume : {std::int64_t(0), INT64_MAX, INT64_MIN, std::int64_t(-2)})
        report.figures.push_back({volume, 1, 2, 3, 0.5});
    std::vector<CreditFigures> got;
    for (const auto& bytes : pack(report)) {
        const auto read = readReport(bytes);
        ASSERT_TRUE(read);
        got.insert(got.end(), read->figures.begin(), read->figures.end());
    }
    ASSERT_EQ(got.size(), report.figures.size());
    for (std::size_t i = 0; i < got.size(); ++i) EXPECT_EQ(got[i].volume, report.figures[i].volume);
    EXPECT_FALSE(readReport(std::string("\x02\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x02", 12)));
}

TEST(Split, AVolumeWithoutALimitSkipsCredits) {
    Host host(many(2, 0));
    host.step(kStart, {list(fleet())});
    std::vector<Event> events;
    for (int i = 0; i < 80; ++i) events.push_back(request("r" + std::to_string(i), "once", -1));
    host.step(kStart + 1, events);
    EXPECT_EQ(host.sent.size(), 80u);
}

TEST(PeerMessages, AbsurdFiguresAreDropped) {
    const auto settings = many(2, 0);
    Report report;
    report.figures = {{7, 1, 1, 3, 0}};
    EXPECT_TRUE(readReport(pack(report).at(0)));
    report.figures[0].total = 2e16;
    EXPECT_FALSE(readReport(pack(report).at(0)));
    QuotaMessage message;
    message.asks = {{7, 1, 2, 0, 2, 1, 2}};
    const auto limited = settings.plans.size();
    for (std::size_t plan = 0; plan <= limited; ++plan) {
        message.asks[0].plan = plan;
        const bool known = plan < limited && settings.plans[plan].limit > 0;
        EXPECT_EQ(readQuota(pack(message).at(0), settings).has_value(), known) << plan;
    }
    for (std::size_t plan = 0; plan < limited; ++plan) {
        if (settings.plans[plan].limit <= 0) continue;
        for (const QuotaAsk& absurd :
             {QuotaAsk{7, 1, plan, kPools, 2, 1, 2}, QuotaAsk{7, 1, plan, 0, 0, 1, 2},
              QuotaAsk{7, 1, plan, 0, 2, 1e6, 1e6}, QuotaAsk{7, 1, plan, 0, 2, 2, 1}}) {
            message.asks[0] = absurd;
            EXPECT_FALSE(readQuota(pack(message).at(0), settings));
        }
    }
}

TEST(PeerMessages, StayInTheirSizeAndGarbledOnesAreDropped) {
    Host a(many(2, 0), 1), b(many(2, 1), 2), twin(many(2, 1), 2);
    a.step(kStart, {list(fleet())});
    for (auto* h : {&b, &twin}) {
        h->step(kStart, {list(fleet())});
        h->step(kStart + 100, burst(0, 50, 2));
    }
    std::vector<Event> work;
    for (int v = 0; v < 180; ++v) {  // three a volume, more than its start allows
        auto r = drawn("v" + std::to_string(v), 2, 6);
        r.volume = (std::int64_t{1} << 52) + v % 60;
        work.push_back(r);
    }
    a.step(kStart + 100, work);
    a.runTo(kStart + 260);
    ASSERT_GT(a.told.size(), 1u);
    std::mt19937 random(7);
    std::vector<Event> garbage = {PeerMessage{0, ""}, PeerMessage{5, a.told[0].bytes},
                                  PeerMessage{-1, a.told[0].bytes}, PeerMessage{1, a.told[0].bytes},
                                  PeerMessage{0, std::string(300, '\1')}};
    for (const auto& told : a.told) {
        const auto& m = told.bytes;
        EXPECT_LE(m.size(), 256u);
        auto wrong = m;
        wrong[0] = 99;
        garbage.push_back(PeerMessage{0, wrong});
        garbage.push_back(PeerMessage{0, m.substr(0, m.size() - 1)});
    }
    b.step(kStart + 262, garbage);
    twin.step(kStart + 262, {Wake{}});
    for (double t = 300; t < 4000; t += 250) {
        b.runTo(kStart + t);
        twin.runTo(kStart + t);
    }
    EXPECT_EQ(b.sentAt, twin.sentAt);
    EXPECT_GE(b.unreadableMessages(), 2 * a.told.size());
    EXPECT_EQ(twin.unreadableMessages(), 0u);
    for (int i = 0; i < 3000; ++i) {  // noise of any kind does no harm
        std::string noise(random() % 64, '\0');
        for (auto& c : noise) c = static_cast<char>(random());
        if (!noise.empty()) noise[0] = i % 2 ? 2 : 4;
        b.step(kStart + 4000 + i, {PeerMessage{0, noise}});
    }
}

// Word of a volume that all share counts whole and with a known plan, or not at all.
TEST(PeerMessages, IntroductionsComeBackAndThoseOfUnknownPlansAreDropped) {
    const auto settings = plainSettings();
    const std::vector<Introduction> words = {{7, 1}, {std::int64_t{1} << 40, 0}};
    const auto packed = pack(words);
    ASSERT_EQ(packed.size(), 1u);
    const auto read = readIntroductions(packed[0], settings);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->size(), 2u);
    EXPECT_EQ((*read)[1].volume, std::int64_t{1} << 40);
    EXPECT_EQ((*read)[0].plan, 1u);
    EXPECT_FALSE(readIntroductions(pack(std::vector<Introduction>{{7, 2}})[0], settings));
    EXPECT_FALSE(readIntroductions(packed[0].substr(0, packed[0].size() - 1), settings));
    EXPECT_TRUE(pack(std::vector<Introduction>{}).empty());
}

struct Mail {
    double at;
    int from, to;
    std::string bytes;
};

struct Day {
    int hosts = 3;
    double loss = 0, lateShare = 0, perHostMs = 0.06;
    bool restarts = false;
    bool alone = false;  // one host at a time has work, the others none at all
};

// Adds up what all hosts first-send for one volume under loss, delay, repeats, restarts (now and then of half
// the hosts) and skewed demand, and holds it against the store plus slack at every send.
double lowestStore(unsigned seed, const Day& day) {
    std::mt19937 random(seed);
    const auto chance = [&random](double p) { return std::uniform_real_distribution<>(0, 1)(random) < p; };
    auto plan = plainSettings().plans[1];
    plan.limitBurst = std::max(plan.limitBurst, 12.0 * day.hosts);  // two largest requests for each host
    plan.slack = std::max(plan.slack, plan.limitBurst / 10);
    const auto fresh = [&](int rank, unsigned s) {
        auto settings = many(day.hosts, rank);
        settings.plans[1] = plan;
        return std::make_unique<Host>(settings, s);
    };
    const auto count = static_cast<std::size_t>(day.hosts);
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::size_t> counted(count, 0);
    std::vector<double> downUntil(count, 0), listed(count, 0), nextStep(count, 0);
    std::vector<std::vector<Mail>> mail(count);
    for (int i = 0; i < day.hosts; ++i) hosts.push_back(fresh(i, seed * 1000 + static_cast<unsigned>(i)));
    std::map<std::string, double> units;
    double store = plan.limitBurst, filled = kStart, lowest = store, calmUntil = kStart + 6000;
    int id = 0, leader = 0;
    for (double now = kStart; now < kStart + (day.alone ? 60000 : 12000); now += 4) {
        if (chance(day.alone ? 0.0004 : 0.002)) leader = static_cast<int>(random() % count);
        if (day.restarts && now > calmUntil) {
            calmUntil = now + 20000 * plan.limitBurst / plan.limit / 36;
            const int struck = chance(0.5) ? day.hosts / 2 : 1;
            for (int i = 0; i < struck; ++i) {
                const auto who = random() % count;
                hosts[who] = fresh(static_cast<int>(who), static_cast<unsigned>(random()));
                counted[who] = 0;
                listed[who] = 0;
                downUntil[who] = now + (chance(0.5) ? 0 : 300);
            }
        }
        for (std::size_t i = 0; i < count; ++i) {
            if (now < downUntil[i]) continue;
            std::vector<Event> events;
            if (listed[i] == 0) events.push_back(list(fleet(), ListForm::Cached));
            listed[i] = 1;
            auto& box = mail[i];
            for (std::size_t m = 0; m < box.size();)
                if (box[m].at <= now) {
                    events.push_back(PeerMessage{box[m].from, box[m].bytes});
                    box.erase(box.begin() + static_cast<std::ptrdiff_t>(m));
                } else {
                    ++m;
                }
            if (chance(static_cast<int>(i) == leader ? 0.5 : day.alone ? 0 : 0.18 / day.hosts)) {
                const double u = 1 + static_cast<double>(random() % 6);
                const auto name = "r" + std::to_string(++id);
                units[name] = u;
                events.push_back(drawn(name, day.hosts, u));
            }
            if (events.empty() && now < nextStep[i]) continue;
            nextStep[i] = now + 20;
            events.push_back(Wake{});
            auto& host = *hosts[i];
            host.step(now, events);
            for (; counted[i] < host.sent.size(); ++counted[i]) {
                const auto a = host.sent[counted[i]];
                if (host.tries[a.id] > 1) continue;
                store = std::min(plan.limitBurst, store + plan.limit * (now - filled) / 1000);
                filled = now;
                store -= units[a.id];
                lowest = std::min(lowest, store);
                host.verdict(now, a, Outcome::Served);
            }
            for (const auto& told : host.told)
                for (std::size_t to = 0; to < count; ++to) {
                    if (to == i || (told.to >= 0 && told.to != static_cast<int>(to)) || chance(day.loss))
                        continue;
                    const double delay = chance(day.lateShare) ? 200 + random() % 3000 : 1 + random() % 29;
                    mail[to].push_back({now + delay, static_cast<int>(i), static_cast<int>(to), told.bytes});
                    if (chance(0.1))
                        mail[to].push_back(
                            {now + delay + random() % 500, static_cast<int>(i), 0, told.bytes});
                }
            host.told.clear();
        }
    }
    EXPECT_GT(id, 100);
    return lowest;
}

class Limit : public ::testing::TestWithParam<int> {};

TEST_P(Limit, HoldsOverAllHostsWhateverHappensToMessagesAndHosts) {
    for (const int hosts : {3, 24, 200})
        for (const bool restarts : {false, true})
            for (const double loss : {0.0, 0.3, 1.0}) {
                if (hosts == 200 && (loss == 0.3 || GetParam() > 2)) continue;
                const Day day{hosts, loss, loss < 1 ? 0.2 : 0, 0, restarts};
                const double slack = std::max(plainSettings().plans[1].slack, 1.2 * hosts);
                EXPECT_GE(lowestStore(static_cast<unsigned>(GetParam()), day), -slack)
                    << hosts << " hosts, loss " << loss << " restarts " << restarts;
            }
}

// Lent halves: what is lent may not be there twice, whichever host works next and whoever restarts.
TEST_P(Limit, HoldsWhereTheWorkMovesFromHostToHost) {
    for (const bool restarts : {false, true})
        for (const double loss : {0.0, 0.3}) {
            const Day day{3, loss, 0.2, 0, restarts, true};
            EXPECT_GE(lowestStore(static_cast<unsigned>(GetParam()), day), -plainSettings().plans[1].slack)
                << "loss " << loss << " restarts " << restarts;
        }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Limit, ::testing::Range(1, 7));

// ---- nodes kept by one host for all: hundreds of hosts with one node between them ----

struct Fleet {
    explicit Fleet(int count, double upMs = 0, double lossOfMessages = 0) : loss(lossOfMessages) {
        for (int i = 0; i < count; ++i) {
            auto settings = many(count, i);
            settings.coldUnits = 24;
            hosts.push_back(std::make_unique<Host>(settings, 7 + i));
            hosts.back()->step(kStart, {list({node("a", 0, Lifecycle::Ready, upMs)})});
        }
    }
    // Each host takes one read of the node's shard; attempts are answered after 40 ms, messages take 6.
    void run(double from, double until) {
        const auto count = hosts.size();
        std::vector<std::size_t> seen(count, 0);
        std::vector<std::pair<double, std::pair<std::size_t, Attempt>>> out;
        std::vector<Mail> mail;
        std::mt19937 random(5);
        for (std::size_t i = 0; i < count; ++i) hosts[i]->step(from, {request("r", "read", 0, 2)});
        for (double now = from; now < until; now += 2) {
            std::vector<std::vector<Event>> events(count);
            std::vector<Mail> later;
            for (auto& m : mail)
                if (m.at <= now)
                    events[static_cast<std::size_t>(m.to)].push_back(PeerMessage{m.from, m.bytes});
                else later.push_back(m);
            mail.swap(later);
            while (!out.empty() && out.front().first <= now) {
                const auto [i, a] = out.front().second;
                out.erase(out.begin());
                hosts[i]->verdict(now, a, Outcome::Served, true, 40);
                ++served;
            }
            for (std::size_t i = 0; i < count; ++i) {
                if (!events[i].empty()) hosts[i]->step(now, events[i]);
                hosts[i]->runTo(now);
                for (; seen[i] < hosts[i]->sent.size(); ++seen[i]) {
                    out.push_back({now + 40, {i, hosts[i]->sent[seen[i]]}});
                    sends.push_back(now);
                }
                for (const auto& t : hosts[i]->told)
                    if (t.to >= 0 && std::uniform_real_distribution<>(0, 1)(random) >= loss)
                        mail.push_back({now + 6, static_cast<int>(i), t.to, t.bytes});
                hosts[i]->told.clear();
            }
            mostOut = std::max(mostOut, out.size());
        }
    }
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<double> sends;
    std::size_t mostOut = 0;
    int served = 0;
    double loss = 0;
};

// Guards against a queue as long as the number of hosts in a node. Should cover any fleet size.
TEST(KeptNodes, TwoHundredHostsPutNoMoreIntoANodeThanItsWindow) {
    Fleet fleet(200);
    fleet.run(kStart + 4000, kStart + 7000);
    EXPECT_LE(fleet.mostOut, 24u);
    EXPECT_GT(fleet.served, 190);
}

// Guards against starving a cold shard where each host's part of its budget is below one request, and
// against pushing it over: 24 units a second at first, at most 2 of 3 completions more.
TEST(KeptNodes, AColdNodeIsFedWithinItsBudgetByTwoHundredHosts) {
    Fleet fleet(200, kStart + 3900);
    fleet.run(kStart + 4000, kStart + 6000);
    EXPECT_GT(fleet.served, 8);
    double units = 0;
    for (const double at : fleet.sends) units += at < kStart + 5000 ? 2 : 0;
    EXPECT_LE(units, 24 + 24);
}

TEST(KeptNodes, WithoutAnyMessagesAColdNodeIsLeftToItsKeepers) {
    Fleet fleet(200, kStart + 3900, 1);
    fleet.run(kStart + 4000, kStart + 6000);
    EXPECT_LE(fleet.sends.size() * 2, 24u);
}

TEST(KeptNodes, GrantsAndAsksOutOfRangeAreDropped) {
    Host host(many(200, 3));
    host.step(kStart, {list({node("a", 0)}), request("r", "read", 0)});
    const auto sent = host.sent.size();
    std::mt19937 random(11);
    for (int i = 0; i < 5000; ++i) {
        std::string noise(1 + random() % 40, '\0');
        for (auto& c : noise) c = static_cast<char>(random());
        noise[0] = 3;
        host.step(kStart + 2 + i * 0.01, {PeerMessage{static_cast<int>(random() % 200), noise}});
    }
    EXPECT_LE(host.sent.size(), sent + 1);
}

}  // namespace
}  // namespace spokewheel::testing
