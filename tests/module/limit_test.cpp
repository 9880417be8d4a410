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

constexpr double kStart = 100000;  // the start of a subperiod
constexpr std::size_t kPoolBytes = 1 << 20;
// Volumes whose first pool is at the first of two hosts, and at the second of three.
constexpr std::int64_t kPoolAtFirst = 11, kPoolAtSecondOfThree = 5;

Settings settingsOf(int hosts, int rank) {
    auto s = testSettings();
    s.hosts = hosts;
    s.rank = rank;
    // For tests of how credit is split and leased: no request is given up before its deadline.
    for (auto& c : s.classes) c.latencyTargetMs = c.deadlineMs;
    return s;
}

std::vector<NodeEntry> thirtyNodes() {
    std::vector<NodeEntry> nodes;
    for (int i = 0; i < 30; ++i) nodes.push_back(node("n" + std::to_string(i), i));
    return nodes;
}

Request limitedRequest(const std::string& id, int hosts, double units = 1) {
    auto r = request(id, "once", -1, units);
    r.plan = "limited";
    r.hosts = hosts;
    return r;
}

std::vector<Event> limitedRequests(int from, int count, int hosts) {
    std::vector<Event> events;
    for (int i = 0; i < count; ++i) events.push_back(limitedRequest("r" + std::to_string(from + i), hosts));
    return events;
}

// Delivers the messages of all hosts, a few milliseconds later, until none sends any more.
void deliverAll(std::vector<Host*> hosts, double now) {
    for (bool more = true; more;) {
        more = false;
        now += 2;
        std::vector<std::vector<SendToPeers>> told;
        for (auto* host : hosts) told.push_back(std::exchange(host->outgoing, {}));
        for (std::size_t from = 0; from < hosts.size(); ++from)
            for (const auto& message : told[from])
                for (std::size_t to = 0; to < hosts.size(); ++to)
                    if (to != from && (message.to < 0 || message.to == static_cast<int>(to))) {
                        hosts[to]->step(now, {PeerMessage{static_cast<int>(from), message.bytes}});
                        more = true;
                    }
    }
}

// A host alone with a volume of 20 units a second and a burst of 36. After its start it holds what refilled
// since, 7 units at 350 ms, since the previous process may have drawn everything. The credit is rounded
// down at each subperiod: 2 at 500 ms, 6 at 750 ms.
TEST(Split, AStartedHostHoldsWhatItSawFill) {
    Host host(settingsOf(1, 0));
    host.step(kStart, {list(thirtyNodes())});
    host.runTo(kStart + 349);
    host.step(kStart + 350, limitedRequests(0, 60, 1));
    EXPECT_EQ(host.sent.size(), 7u);
    host.runTo(kStart + 500);
    EXPECT_EQ(host.sent.size(), 7u + 2u);
    host.runTo(kStart + 750);
    EXPECT_EQ(host.sent.size(), 9u + 6u);
}

TEST(Split, AllZeroWeightsShareEvenlyAndIdlePartsAreLeased) {
    Host a(settingsOf(2, 0), 1), b(settingsOf(2, 1), 2);
    std::size_t answered = 0;
    const auto advance = [&](double now) {
        for (; answered < a.sent.size(); ++answered) a.endAttempt(now - 1, a.sent[answered], Outcome::Served);
        a.runTo(now);
        b.runTo(now);
        deliverAll({&a, &b}, now);
    };
    a.step(kStart, {list(thirtyNodes())});
    b.step(kStart, {list(thirtyNodes())});
    a.step(kStart + 400, limitedRequests(1000, 1, 2));
    b.step(kStart + 400, limitedRequests(1000, 1, 2));
    for (double afterMs = 410; afterMs <= 8000; afterMs += 10) advance(kStart + afterMs);
    const auto before = a.sent.size();
    a.step(kStart + 8010, limitedRequests(0, 300, 2));
    for (double afterMs = 8020; afterMs <= 8200; afterMs += 10)
        advance(kStart + afterMs);  // up to the next boundary
    const auto even = a.sent.size() - before;
    EXPECT_GE(even, 10u);
    EXPECT_LE(even, 18u);  // a credit of floor(36 / 2)
    for (double afterMs = 8210; afterMs <= 10250; afterMs += 10) advance(kStart + afterMs);
    const auto later = a.sent.size() - before - even;
    // Two seconds refill 40 units. An even part would be 20; three quarters of the limit may be leased to a
    // busy host.
    EXPECT_GE(later, 24u);
    EXPECT_LE(even + later, 36u + 40u);
}

// Hosts number their subperiods by their own clocks. A host that started after a step of its wall clock has
// a different numbering and still shares credit like the others, also after a restart.
TEST(Split, HostsWhoseClocksDifferLendAsOthersDo) {
    const auto sentBy = [](double offset, bool restarts) {
        Host a(settingsOf(2, 0), 1);
        auto b = std::make_unique<Host>(settingsOf(2, 1), 2);
        std::size_t answered = 0;
        const auto stepBoth = [&](double now) {
            for (; answered < a.sent.size(); ++answered)
                a.endAttempt(now - 1, a.sent[answered], Outcome::Served);
            a.runTo(now);
            b->runTo(now + offset);
            std::vector<SendToPeers> fromA, fromB;
            fromA.swap(a.outgoing);
            fromB.swap(b->outgoing);
            for (auto& message : fromA) b->step(now + offset, {PeerMessage{0, message.bytes}});
            for (auto& message : fromB) a.step(now, {PeerMessage{1, message.bytes}});
        };
        a.step(kStart, {list(thirtyNodes())});
        const auto begin = [&](double at, double shift) {
            b->step(at + shift, {list(thirtyNodes())});
            b->step(at + shift + 1, limitedRequests(1000, 1, 2));
        };
        a.step(kStart + 400, limitedRequests(1000, 1, 2));
        begin(kStart + 400, restarts ? 0 : offset);
        if (restarts) {
            const double later = std::exchange(offset, 0);
            for (double afterMs = 500; afterMs <= 1000; afterMs += 250) stepBoth(kStart + afterMs);
            offset = later;
            b = std::make_unique<Host>(settingsOf(2, 1), 3);
            begin(kStart + 1100, offset);
        }
        for (double afterMs = 1250; afterMs <= 8000; afterMs += 250) stepBoth(kStart + afterMs);
        a.step(kStart + 8010, limitedRequests(0, 300, 2));
        for (double afterMs = 8250; afterMs <= 12250; afterMs += 250) stepBoth(kStart + afterMs);
        return a.sent.size();
    };
    for (const bool restarts : {false, true}) {
        const auto together = sentBy(0, restarts);
        for (const double offset : {3600e3, -50e3, 3600e3 + 110, -50e3 - 110})
            EXPECT_GE(sentBy(offset, restarts) + 8, together)
                << offset << (restarts ? " after a restart" : "");
    }
}

// A peer that reported 30 queued units and then is silent counts as having spent its even part: 18 of D =
// 36. The rest is split by a weight of 18 against 0: floor(18 / 4) + 0. If it reports in time without a
// change, its weight is 30: floor(36 / 4) + 0. A peer that never reported counts as idle. The first pool of
// volume 11 is at this host, so only the credit limits it.
TEST(Split, ASilentHostCountsAsHavingSpentItsEvenPart) {
    const auto ofVolume = [](std::vector<Event> events) {
        for (auto& event : events) std::get<Request>(event).volume = kPoolAtFirst;
        return events;
    };
    for (const int known : {0, 1}) {
        Host host(settingsOf(2, 0)), other(settingsOf(2, 1), 2);
        for (auto* each : {&host, &other})
            each->step(kStart, {list(known ? std::vector<NodeEntry>{} : thirtyNodes())});
        if (known) host.step(kStart, {list(thirtyNodes())});
        host.step(kStart + 400, ofVolume(limitedRequests(1000, 1, 2)));
        host.runTo(kStart + 900);
        host.endAttempt(kStart + 920, host.sent.at(0), Outcome::Served);
        if (known)
            other.step(kStart + 4900,
                       ofVolume({limitedRequest("large", 2, 30)}));  // more than its credit of 27
        host.runTo(kStart + 5000);
        other.runTo(kStart + 5000);
        for (const auto& message : other.outgoing) host.step(kStart + 5004, {PeerMessage{1, message.bytes}});
        host.runTo(kStart + 5495);
        host.step(kStart + 5496, ofVolume(limitedRequests(0, 30, 2)));
        if (known) EXPECT_EQ(host.sent.size(), 1u + 4u);
        else EXPECT_GT(host.sent.size(), 1u + 8u);
    }
}

// Guards against a first request that waits for peers without work for the volume: with 24 hosts that never
// reported, D less 23 even parts left nothing to send in the volume's first seconds. Two messages to the
// volume's pools are enough to lease what refilled since the start.
TEST(Split, AFirstRequestIsNotHeldBackByHostsThatAreUnknown) {
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<Host*> all;
    for (int i = 0; i < 24; ++i) {  // below the number from which nodes are coordinated by one host
        auto settings = settingsOf(24, i);
        settings.plans[1].limitBurst = 288;
        settings.plans[1].slack = 28;
        hosts.push_back(std::make_unique<Host>(settings, static_cast<unsigned>(i + 1)));
        hosts.back()->step(kStart, {list(thirtyNodes())});
        all.push_back(hosts.back().get());
    }
    hosts[0]->step(kStart + 1000, {limitedRequest("first", 24, 2)});
    deliverAll(all, kStart + 1000);
    hosts[0]->step(kStart + 1300, {limitedRequest("second", 24, 2)});
    deliverAll(all, kStart + 1300);
    EXPECT_EQ(hosts[0]->sent.size(), 2u);
    EXPECT_LE(hosts[0]->sentAt.at(1), kStart + 1310);
}

// Guards against mixing up two volumes: peers once identified them by the last 20 bits of their numbers,
// and with 450 volumes a limit was exceeded (incident i2408b2).
TEST(Split, VolumesWhoseNumbersEndAlikeStayApart) {
    Host a(settingsOf(3, 0), 1),
        b(settingsOf(3, 1), 2);  // the volumes have two hosts: the third does not join
    for (auto* host : {&a, &b}) host->step(kStart, {list(thirtyNodes())});
    std::vector<Event> mine = limitedRequests(0, 60, 2), others = limitedRequests(100, 60, 2);
    for (auto& event : mine) std::get<Request>(event).volume = 5;
    for (auto& event : others) std::get<Request>(event).volume = 5 + (std::int64_t{1} << 34);
    a.step(kStart + 10, mine);
    b.step(kStart + 10, others);
    a.runTo(kStart + 250);
    ASSERT_FALSE(a.outgoing.empty());
    const auto before = b.outgoing.size();
    for (auto& message : a.outgoing) b.step(kStart + 255, {PeerMessage{0, message.bytes}});
    b.runTo(kStart + 500);
    for (std::size_t i = before; i < b.outgoing.size(); ++i)
        EXPECT_TRUE(!readCreditReport(b.outgoing[i].bytes) ||
                    b.outgoing[i].to == -1);  // no report to the other host
}

// Guards against messages to every host about volumes that never come near their limit: no credit report,
// and a few lease requests to the two hosts of the volume's pools, even if neither responds.
TEST(Split, AVolumeThatIsNeverShortIsToldToNobody) {
    Host host(settingsOf(200, 0));
    host.step(kStart, {list(thirtyNodes())});
    host.step(kStart + 3000, {limitedRequest("one", 3, 2)});
    host.runTo(kStart + 9000);
    std::set<int> asked;
    int asks = 0;
    for (const auto& message : host.outgoing) {
        EXPECT_FALSE(readCreditReport(message.bytes));
        if (!readQuotaMessage(message.bytes, settingsOf(200, 0))) continue;
        asked.insert(message.to);
        ++asks;
    }
    EXPECT_LE(asked.size(), 2u);
    EXPECT_EQ(asked.count(-1), 0u);
    EXPECT_LE(asks, 16);
}

// Three hosts, one with requests: it gets what the two others do not use, though they learn of the volume
// only from its messages. A restarted host is told again. A host whose own first request comes meanwhile
// still sends it at once.
TEST(Split, AHostAloneWithWorkIsLentWhatIdlesAtTheOthers) {
    std::vector<std::unique_ptr<Host>> hosts;
    const auto fresh = [](int rank) {
        auto settings = settingsOf(3, rank);
        settings.plans[1].limitBurst = 72;
        return std::make_unique<Host>(settings, static_cast<unsigned>(rank + 1));
    };
    for (int i = 0; i < 3; ++i) hosts.push_back(fresh(i));
    for (auto& host : hosts) host->step(kStart, {list(thirtyNodes())});
    std::size_t answered = 0;
    int asked = 0;
    const auto run = [&](double from, double to) {
        const auto before = hosts[0]->sent.size();
        for (double now = from; now < to; now += 10) {
            if (hosts[0]->sent.size() + hosts[0]->refused.size() + 40 > static_cast<std::size_t>(asked))
                hosts[0]->step(now, limitedRequests(std::exchange(asked, asked + 20), 20, 3));
            for (; answered < hosts[0]->sent.size(); ++answered)
                hosts[0]->endAttempt(now, hosts[0]->sent[answered], Outcome::Served);
            for (auto& host : hosts) host->runTo(now);
            for (std::size_t i = 0; i < 3; ++i) {
                for (auto& message : std::exchange(hosts[i]->outgoing, {}))
                    for (std::size_t to = 0; to < 3; ++to)
                        if (to != i && (message.to < 0 || message.to == static_cast<int>(to)))
                            hosts[to]->step(now, {PeerMessage{static_cast<int>(i), message.bytes}});
            }
        }
        return static_cast<double>(hosts[0]->sent.size() - before) / (to - from) * 1000;
    };
    run(kStart, kStart + 12000);
    const double lent = run(kStart + 12000, kStart + 20000);
    EXPECT_GT(lent, 0.8 * 20);  // the limit is 20; its own part is a third
    EXPECT_LE(lent, 20 + 1);
    hosts[1]->step(kStart + 20000, {limitedRequest("first", 3, 6)});
    EXPECT_EQ(hosts[1]->sent.size(), 1u);
    hosts[2] = fresh(2);
    hosts[2]->step(kStart + 20000, {list(thirtyNodes())});
    run(kStart + 20000, kStart + 64000);
    EXPECT_GT(run(kStart + 64000, kStart + 70000), 0.8 * 20);
}

// Guards against spending a lease that its pool no longer counts: a response that comes a second after the
// request leases nothing, one in time does, and a repeated response leases only once. Covers slow links,
// hosts that stall and duplicated datagrams.
TEST(Split, WhatIsLeasedInALateOrRepeatedAnswerIsDropped) {
    // The volume's pools are at the second and the third of three hosts; the third does not respond.
    const auto asked = [](const std::string& id) {
        auto volumeRequest = limitedRequest(id, 2, 6);
        volumeRequest.volume = kPoolAtSecondOfThree;
        return volumeRequest;
    };
    for (const double late : {4.0, 1100.0}) {
        Host a(settingsOf(3, 0), 1), b(settingsOf(3, 1), 2);
        for (auto* host : {&a, &b}) host->step(kStart, {list(thirtyNodes())});
        for (auto* host : {&a, &b}) host->runTo(kStart + 5000);
        a.outgoing.clear();
        a.step(kStart + 5001, {asked("first")});
        for (const auto& message : std::exchange(a.outgoing, {}))
            b.step(kStart + 5003, {PeerMessage{0, message.bytes}});
        std::vector<SendToPeers> answers;
        for (const auto& message : b.outgoing)
            if (readQuotaMessage(message.bytes, settingsOf(3, 0))) answers.push_back(message);
        ASSERT_EQ(answers.size(), 1u);
        const double arrivesAt = kStart + 5001 + late;
        a.runTo(arrivesAt - 1);
        for (int i = 0; i < 3; ++i) a.step(arrivesAt, {PeerMessage{1, answers[0].bytes}});
        EXPECT_EQ(a.sent.size(), late < 1000 ? 1u : 0u);
        a.step(arrivesAt + 1, {asked("second")});
        EXPECT_EQ(a.sent.size(), late < 1000 ? 1u : 0u);  // the duplicates leased nothing more
    }
}

// Guards against drawing the volume's own part twice. After the requests moved to another host the part of
// this host would refill beside that of the other one, so it starts empty when they come back.
TEST(LimitShare, IsEmptyOnceTheVolumesRequestsMovedAwayAndCameBack) {
    auto settings = settingsOf(3, 0);
    settings.reportLimitAccounts = true;
    Host host(settings);
    host.step(kStart, {list(thirtyNodes()), limitedRequest("before", 1)});
    host.runTo(kStart + 300);
    for (const auto& attempt : std::vector<Attempt>(host.sent))
        host.endAttempt(kStart + 310, attempt, Outcome::Served);
    host.runTo(kStart + 3000);
    CreditReport report;
    report.incarnation = 77;
    report.subperiod = static_cast<std::uint64_t>((kStart + 3000) / 250);
    report.figures = {{7, 3, 2, 3, 0}};
    for (const auto& bytes : pack(report)) host.step(kStart + 3010, {PeerMessage{1, bytes}});
    const auto actions = host.step(kStart + 3020, {limitedRequest("after", 1)});
    const auto first = std::find_if(actions.begin(), actions.end(), [](const Action& action) {
        const auto* note = std::get_if<LimitAccount>(&action);
        return note && note->moment == LimitAccount::Moment::FirstSight;
    });
    ASSERT_NE(first, actions.end());
    EXPECT_EQ(std::get<LimitAccount>(*first).own, 0);
}

// Guards against requests that no part of the limit can ever serve.
TEST(LimitParts, HoldTheWholeBucketAndALargestRequestWhereItFits) {
    constexpr double kTop = 6;
    for (const double burst : {2.0, 6.0, 7.0, 9.0, 12.0, 20.0, 36.0, 200.0})
        for (const int hosts : {1, 2, 3, 4, 12, 160}) {
            Plan plan;
            plan.limit = 10;
            plan.limitBurst = burst;
            const auto parts = splitLimit(plan, hosts, kTop, true);
            double rate = hosts * parts.own.rate, held = hosts * parts.own.burst;
            for (const auto& pool : parts.pools) rate += pool.rate, held += pool.burst;
            EXPECT_NEAR(rate, plan.limit, 1e-9) << burst << " " << hosts;
            EXPECT_NEAR(held, burst, 1e-9) << burst << " " << hosts;
            EXPECT_GE(parts.own.burst, 0) << burst << " " << hosts;
            EXPECT_GE(parts.pools[0].burst + 1e-9, std::min(burst, kTop)) << burst << " " << hosts;
        }
}

// A pool leases no more than its part of the bucket: a lease counts until no host can spend it any more.
TEST(QuotaPool, WhatIsLeasedIsNotThereTwice) {
    constexpr TokenBucket kPart{1000, 40};
    QuotaPool pool(kStart, kPoolBytes);
    const auto lease = [&](int rank, std::uint64_t seq, double most, double at) {
        return pool.lease(7, kPart, {rank, seq}, 0.1, most, kStart + at).units;
    };
    EXPECT_DOUBLE_EQ(lease(1, 1, 1000, 100), 40);
    EXPECT_DOUBLE_EQ(lease(2, 1, 1000, 100 + kQuotaLeaseMs), 0);
    EXPECT_DOUBLE_EQ(lease(2, 2, 1000, 100 + kQuotaLeaseHoldMs - 1), 0);
    EXPECT_DOUBLE_EQ(lease(2, 3, 1000, 100 + kQuotaLeaseHoldMs + 100), 40);
}

// A pool starts empty with its process, refills at its part of the rate whether or not it is asked, and
// tells when the units may be available.
TEST(QuotaPool, StartsEmptyAndTellsWhenToAskAgain) {
    constexpr TokenBucket kPart{10, 40};
    QuotaPool pool(kStart, kPoolBytes);
    const auto refused = pool.lease(7, kPart, {1, 1}, 6, 6, kStart + 200);
    EXPECT_DOUBLE_EQ(refused.units, 0);
    EXPECT_DOUBLE_EQ(refused.retryAfterMs, 400);
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {1, 2}, 6, 6, kStart + 600).units, 6);
    EXPECT_DOUBLE_EQ(pool.lease(8, kPart, {1, 3}, 6, 100, kStart + 600).units, 6);
}

// A repeated request, whose response was lost, gets the same lease; a new request gets another one.
TEST(QuotaPool, ARepeatedAskGetsTheSameLease) {
    constexpr TokenBucket kPart{10, 40};
    QuotaPool pool(kStart, kPoolBytes);
    const double at = kStart + 10000;
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {1, 1}, 1, 10, at).units, 10);
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {1, 1}, 1, 10, at + 1).units, 10);
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {2, 1}, 1, 100, at + 1).units, 30);
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {1, 2}, 1, 10, at + 1).units, 0);
}

// Volumes that are full again are dropped, as they equal those without requests.
TEST(QuotaPool, ForgetsWhatIsFullAndNothingElse) {
    constexpr TokenBucket kPart{10, 40};
    QuotaPool pool(kStart, kPoolBytes);
    pool.lease(7, kPart, {1, 1}, 1, 40, kStart + 10000);
    pool.removeFull(kStart + 10001);
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {1, 2}, 1, 40, kStart + 10050).units, 0);
    pool.removeFull(kStart + 20000);
    EXPECT_DOUBLE_EQ(pool.lease(7, kPart, {1, 3}, 1, 40, kStart + 20000).units, 40);
}

// If a request names more hosts than before, what refilled since the previous request is cut to the smaller
// part.
TEST(LimitShare, GivesBackWhatItEarnedWhileMoreHostsWorked) {
    LimitShare share;
    share.start({20, 60}, 1, kStart);
    share.setHosts({20, 60}, 1, kStart + 1000);
    EXPECT_DOUBLE_EQ(share.level(), 20);
    share.setHosts({20.0 / 4, 60.0 / 4}, 4, kStart + 2000);
    EXPECT_DOUBLE_EQ(share.level(), 20 + 5);
    share.refill(kStart + 2000);
    EXPECT_DOUBLE_EQ(share.level(), 15);
}

TEST(LimitShare, ALeaseEndsWithItsTime) {
    LimitShare share;
    share.start({0, 0}, 1, kStart);
    share.addLease(5, kStart + 1000);
    share.refill(kStart + 999);
    EXPECT_EQ(share.available(), 5);
    share.refill(kStart + 1000);
    EXPECT_EQ(share.available(), 0);
}

// Units of an attempt that has not begun are still in the shared bucket, which may be full: the own part
// must not refill over them.
TEST(LimitShare, HoldsRoomForWhatHasNotBegun) {
    LimitShare share;
    share.start({20, 40}, 1, kStart);
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

// Guards against a volume beyond its limit that takes the room of all clients: requests that the limit
// cannot reach before their latency target are refused at the next subperiod, with a time to retry; the
// others are held and sent.
TEST(Starved, WhatTheLimitCantReachIsRefusedAtTheNextBoundary) {
    auto settings = testSettings();
    settings.maxRetryAfterMs = 1000;
    Host host(settings);
    host.step(kStart, {list(thirtyNodes())});
    host.runTo(kStart + 2000);
    host.step(kStart + 2010, limitedRequests(0, 100, 1));
    const auto atOnce = host.sent.size();
    EXPECT_LE(atOnce, 36u);
    host.runTo(kStart + 2260);
    EXPECT_GE(host.refused.size(), 100u - 36u - 6u - 20u / 2);  // burst, slack, half a second's refill
    for (const auto& [id, ms] : host.retryAfterMs) {
        EXPECT_GT(ms, 0) << id;
        EXPECT_LE(ms, 1000) << id;
    }
    host.runTo(kStart + 5000);
    EXPECT_EQ(host.sent.size() + host.refused.size(), 100u);
    EXPECT_GT(host.sent.size(), atOnce);
}

// Guards against filling the last room of a host with requests that can only be late: when the number of
// open requests nears what the host can hold, requests that wait for credit are refused at their latency
// target, without waiting for a subperiod. With room they are held longer.
TEST(Starved, WhatIsLateGivesItsPlaceWhereRequestsCrowdTheHost) {
    for (const int maxOpen : {0, 60, 400}) {
        auto settings = testSettings();
        settings.maxOpen = maxOpen;
        Host host(settings);
        host.step(kStart, {list(thirtyNodes())});
        host.runTo(kStart + 2000);
        std::vector<Event> reads;  // these stay open: no node holds their shard
        for (int i = 0; i < 40; ++i) {
            auto read = request("n" + std::to_string(i), "read", 99);
            read.volume = 8;
            reads.push_back(read);
        }
        // Past their latency target on arrival: their clients have tried before.
        auto first = limitedRequests(0, 1, 1), later = limitedRequests(1, 60, 1);
        for (auto& event : later) std::get<Request>(event).ttlMs = 1900;
        host.step(kStart + 2010, first);
        host.step(kStart + 2020, reads);
        host.step(kStart + 2030, later);
        host.runTo(kStart + 2249);
        if (maxOpen == 60) EXPECT_GE(host.refused.size(), 25u);  // all but what the bucket holds
        else EXPECT_EQ(host.refused.size(), 0u);
    }
}

// A few requests beyond the present credit are held, since the limit reaches them in time.
TEST(Starved, WhatTheLimitReachesInTimeIsHeldAndSent) {
    Host host(testSettings());
    host.step(kStart, {list(thirtyNodes())});
    host.runTo(kStart + 2000);
    host.step(kStart + 2010, limitedRequests(0, 300, 1));
    const auto before = host.sent.size();
    for (std::size_t i = 0; i < before; ++i) host.endAttempt(kStart + 2050, host.sent[i], Outcome::Served);
    host.runTo(kStart + 4200);
    host.step(kStart + 4240,
              limitedRequests(1000, 44, 1));  // the bucket is full, and half a second refills ten
    const auto then = host.sent.size();
    for (std::size_t i = before; i < then; ++i) host.endAttempt(kStart + 4250, host.sent[i], Outcome::Served);
    host.runTo(kStart + 4730);
    for (int i = 0; i < 44; ++i) EXPECT_FALSE(host.refused.count("r" + std::to_string(1000 + i))) << i;
    host.runTo(kStart + 5400);
    for (int i = 0; i < 44; ++i) EXPECT_TRUE(host.attemptCounts.count("r" + std::to_string(1000 + i))) << i;
}

// Guards against dropping reports for volume numbers that use all 64 bits: both ends of the range are
// decoded as they were encoded, and one bit more is rejected.
TEST(Split, NumbersOfVolumesKeepAllTheirBits) {
    CreditReport report;
    report.subperiod = 7;
    for (const std::int64_t volume : {std::int64_t(0), INT64_MAX, INT64_MIN, std::int64_t(-2)})
        report.figures.push_back({volume, 1, 2, 3, 0.5});
    std::vector<CreditFigures> got;
    for (const auto& bytes : pack(report)) {
        const auto read = readCreditReport(bytes);
        ASSERT_TRUE(read);
        got.insert(got.end(), read->figures.begin(), read->figures.end());
    }
    ASSERT_EQ(got.size(), report.figures.size());
    for (std::size_t i = 0; i < got.size(); ++i) EXPECT_EQ(got[i].volume, report.figures[i].volume);
    EXPECT_FALSE(readCreditReport(std::string("\x02\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x02", 12)));
}

TEST(Split, AVolumeWithoutALimitSkipsCredits) {
    Host host(settingsOf(2, 0));
    host.step(kStart, {list(thirtyNodes())});
    std::vector<Event> events;
    for (int i = 0; i < 80; ++i) events.push_back(request("r" + std::to_string(i), "once", -1));
    host.step(kStart + 1, events);
    EXPECT_EQ(host.sent.size(), 80u);
}

TEST(PeerMessages, AbsurdFiguresAreDropped) {
    const auto settings = settingsOf(2, 0);
    CreditReport report;
    report.figures = {{7, 1, 1, 3, 0}};
    EXPECT_TRUE(readCreditReport(pack(report).at(0)));
    report.figures[0].totalSent = 2e16;
    EXPECT_FALSE(readCreditReport(pack(report).at(0)));
    QuotaMessage message;
    message.requests = {{7, 1, 2, 0, 2, 1, 2}};
    const auto limited = settings.plans.size();
    for (std::size_t plan = 0; plan <= limited; ++plan) {
        message.requests[0].plan = plan;
        const bool known = plan < limited && settings.plans[plan].limit > 0;
        EXPECT_EQ(readQuotaMessage(pack(message).at(0), settings).has_value(), known) << plan;
    }
    for (std::size_t plan = 0; plan < limited; ++plan) {
        if (settings.plans[plan].limit <= 0) continue;
        for (const QuotaRequest& absurd :
             {QuotaRequest{7, 1, plan, kPoolsPerVolume, 2, 1, 2}, QuotaRequest{7, 1, plan, 0, 0, 1, 2},
              QuotaRequest{7, 1, plan, 0, 2, 1e6, 1e6}, QuotaRequest{7, 1, plan, 0, 2, 2, 1}}) {
            message.requests[0] = absurd;
            EXPECT_FALSE(readQuotaMessage(pack(message).at(0), settings));
        }
    }
}

TEST(PeerMessages, StayInTheirSizeAndGarbledOnesAreDropped) {
    Host a(settingsOf(2, 0), 1), b(settingsOf(2, 1), 2), twin(settingsOf(2, 1), 2);
    a.step(kStart, {list(thirtyNodes())});
    for (auto* host : {&b, &twin}) {
        host->step(kStart, {list(thirtyNodes())});
        host->step(kStart + 100, limitedRequests(0, 50, 2));
    }
    std::vector<Event> work;
    for (int i = 0; i < 180; ++i) {  // three for each volume, more than it can send at its start
        auto volumeRequest = limitedRequest("v" + std::to_string(i), 2, 6);
        volumeRequest.volume = (std::int64_t{1} << 52) + i % 60;
        work.push_back(volumeRequest);
    }
    a.step(kStart + 100, work);
    a.runTo(kStart + 260);
    ASSERT_GT(a.outgoing.size(), 1u);
    std::mt19937 random(7);
    std::vector<Event> garbage = {PeerMessage{0, ""}, PeerMessage{5, a.outgoing[0].bytes},
                                  PeerMessage{-1, a.outgoing[0].bytes}, PeerMessage{1, a.outgoing[0].bytes},
                                  PeerMessage{0, std::string(300, '\1')}};
    for (const auto& message : a.outgoing) {
        const auto& bytes = message.bytes;
        EXPECT_LE(bytes.size(), 256u);
        auto unknownTag = bytes;
        unknownTag[0] = 99;
        garbage.push_back(PeerMessage{0, unknownTag});
        garbage.push_back(PeerMessage{0, bytes.substr(0, bytes.size() - 1)});
    }
    b.step(kStart + 262, garbage);
    twin.step(kStart + 262, {Wake{}});
    for (double afterMs = 300; afterMs < 4000; afterMs += 250) {
        b.runTo(kStart + afterMs);
        twin.runTo(kStart + afterMs);
    }
    EXPECT_EQ(b.sentAt, twin.sentAt);
    EXPECT_GE(b.unreadableMessages(), 2 * a.outgoing.size());
    EXPECT_EQ(twin.unreadableMessages(), 0u);
    for (int i = 0; i < 3000; ++i) {  // random bytes have no effect
        std::string noise(random() % 64, '\0');
        for (auto& byte : noise) byte = static_cast<char>(random());
        if (!noise.empty()) noise[0] = i % 2 ? 2 : 4;
        b.step(kStart + 4000 + i, {PeerMessage{0, noise}});
    }
}

// An introduction takes effect as a whole and with a known plan, or not at all.
TEST(PeerMessages, IntroductionsComeBackAndThoseOfUnknownPlansAreDropped) {
    const auto settings = testSettings();
    const std::vector<VolumeIntroduction> introductions = {{7, 1}, {std::int64_t{1} << 40, 0}};
    const auto packed = pack(introductions);
    ASSERT_EQ(packed.size(), 1u);
    const auto read = readIntroductions(packed[0], settings);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->size(), 2u);
    EXPECT_EQ((*read)[1].volume, std::int64_t{1} << 40);
    EXPECT_EQ((*read)[0].plan, 1u);
    EXPECT_FALSE(readIntroductions(pack(std::vector<VolumeIntroduction>{{7, 2}})[0], settings));
    EXPECT_FALSE(readIntroductions(packed[0].substr(0, packed[0].size() - 1), settings));
    EXPECT_TRUE(pack(std::vector<VolumeIntroduction>{}).empty());
}

struct Delivery {
    double at;
    int from, to;
    std::string bytes;
};

struct Scenario {
    int hosts = 3;
    double loss = 0, lateShare = 0, perHostMs = 0.06;
    bool restarts = false;
    bool alone = false;  // one host at a time has requests
};

// Sums what all hosts send for one volume, without repeats, under loss, delay, duplicates, restarts (at
// times of half the hosts) and skewed demand. Returns the lowest level of the volume's token bucket.
double lowestLevel(unsigned seed, const Scenario& scenario) {
    std::mt19937 random(seed);
    const auto chance = [&random](double probability) {
        return std::uniform_real_distribution<>(0, 1)(random) < probability;
    };
    auto plan = testSettings().plans[1];
    plan.limitBurst = std::max(plan.limitBurst, 12.0 * scenario.hosts);  // two largest requests for each host
    plan.slack = std::max(plan.slack, plan.limitBurst / 10);
    const auto fresh = [&](int rank, unsigned hostSeed) {
        auto settings = settingsOf(scenario.hosts, rank);
        settings.plans[1] = plan;
        return std::make_unique<Host>(settings, hostSeed);
    };
    const auto count = static_cast<std::size_t>(scenario.hosts);
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::size_t> counted(count, 0);
    std::vector<double> downUntil(count, 0), listed(count, 0), nextStep(count, 0);
    std::vector<std::vector<Delivery>> inboxes(count);
    for (int i = 0; i < scenario.hosts; ++i)
        hosts.push_back(fresh(i, seed * 1000 + static_cast<unsigned>(i)));
    std::map<std::string, double> units;
    double level = plan.limitBurst, refilledAt = kStart, lowest = level, nextRestartAt = kStart + 6000;
    int requestCount = 0, busiest = 0;
    for (double now = kStart; now < kStart + (scenario.alone ? 60000 : 12000); now += 4) {
        if (chance(scenario.alone ? 0.0004 : 0.002)) busiest = static_cast<int>(random() % count);
        if (scenario.restarts && now > nextRestartAt) {
            nextRestartAt = now + 20000 * plan.limitBurst / plan.limit / 36;
            const int restarting = chance(0.5) ? scenario.hosts / 2 : 1;
            for (int i = 0; i < restarting; ++i) {
                const auto restarted = random() % count;
                hosts[restarted] = fresh(static_cast<int>(restarted), static_cast<unsigned>(random()));
                counted[restarted] = 0;
                listed[restarted] = 0;
                downUntil[restarted] = now + (chance(0.5) ? 0 : 300);
            }
        }
        for (std::size_t i = 0; i < count; ++i) {
            if (now < downUntil[i]) continue;
            std::vector<Event> events;
            if (listed[i] == 0) events.push_back(list(thirtyNodes(), ListForm::Cached));
            listed[i] = 1;
            auto& inbox = inboxes[i];
            for (std::size_t next = 0; next < inbox.size();)
                if (inbox[next].at <= now) {
                    events.push_back(PeerMessage{inbox[next].from, inbox[next].bytes});
                    inbox.erase(inbox.begin() + static_cast<std::ptrdiff_t>(next));
                } else {
                    ++next;
                }
            if (chance(static_cast<int>(i) == busiest ? 0.5 : scenario.alone ? 0 : 0.18 / scenario.hosts)) {
                const double requestUnits = 1 + static_cast<double>(random() % 6);
                const auto name = "r" + std::to_string(++requestCount);
                units[name] = requestUnits;
                events.push_back(limitedRequest(name, scenario.hosts, requestUnits));
            }
            if (events.empty() && now < nextStep[i]) continue;
            nextStep[i] = now + 20;
            events.push_back(Wake{});
            auto& host = *hosts[i];
            host.step(now, events);
            for (; counted[i] < host.sent.size(); ++counted[i]) {
                const auto attempt = host.sent[counted[i]];
                if (host.attemptCounts[attempt.id] > 1) continue;
                level = std::min(plan.limitBurst, level + plan.limit * (now - refilledAt) / 1000);
                refilledAt = now;
                level -= units[attempt.id];
                lowest = std::min(lowest, level);
                host.endAttempt(now, attempt, Outcome::Served);
            }
            for (const auto& message : host.outgoing)
                for (std::size_t to = 0; to < count; ++to) {
                    if (to == i || (message.to >= 0 && message.to != static_cast<int>(to)) ||
                        chance(scenario.loss))
                        continue;
                    const double delay =
                        chance(scenario.lateShare) ? 200 + random() % 3000 : 1 + random() % 29;
                    inboxes[to].push_back(
                        {now + delay, static_cast<int>(i), static_cast<int>(to), message.bytes});
                    if (chance(0.1))
                        inboxes[to].push_back(
                            {now + delay + random() % 500, static_cast<int>(i), 0, message.bytes});
                }
            host.outgoing.clear();
        }
    }
    EXPECT_GT(requestCount, 100);
    return lowest;
}

class Limit : public ::testing::TestWithParam<int> {};

TEST_P(Limit, HoldsOverAllHostsWhateverHappensToMessagesAndHosts) {
    for (const int hosts : {3, 24, 200})
        for (const bool restarts : {false, true})
            for (const double loss : {0.0, 0.3, 1.0}) {
                if (hosts == 200 && (loss == 0.3 || GetParam() > 2)) continue;
                const Scenario scenario{hosts, loss, loss < 1 ? 0.2 : 0, 0, restarts};
                const double slack = std::max(testSettings().plans[1].slack, 1.2 * hosts);
                EXPECT_GE(lowestLevel(static_cast<unsigned>(GetParam()), scenario), -slack)
                    << hosts << " hosts, loss " << loss << " restarts " << restarts;
            }
}

// Leased units must not be there twice, whichever host has requests next and whichever restarts.
TEST_P(Limit, HoldsWhereTheWorkMovesFromHostToHost) {
    for (const bool restarts : {false, true})
        for (const double loss : {0.0, 0.3}) {
            const Scenario scenario{3, loss, 0.2, 0, restarts, true};
            EXPECT_GE(lowestLevel(static_cast<unsigned>(GetParam()), scenario),
                      -testSettings().plans[1].slack)
                << "loss " << loss << " restarts " << restarts;
        }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Limit, ::testing::Range(1, 7));

// ---- coordinated nodes: hundreds of hosts with one node ----

struct CoordinatedHosts {
    explicit CoordinatedHosts(int count, double upMs = 0, double lossOfMessages = 0) : loss(lossOfMessages) {
        for (int i = 0; i < count; ++i) {
            auto settings = settingsOf(count, i);
            settings.coldUnits = 24;
            hosts.push_back(std::make_unique<Host>(settings, 7 + i));
            hosts.back()->step(kStart, {list({node("a", 0, Lifecycle::Ready, upMs)})});
        }
    }
    // Each host gets one read of the node's shard. Attempts are answered after 40 ms, messages take 6 ms.
    void run(double from, double until) {
        const auto count = hosts.size();
        std::vector<std::size_t> seen(count, 0);
        std::vector<std::pair<double, std::pair<std::size_t, Attempt>>> inFlight;
        std::vector<Delivery> inFlightMessages;
        std::mt19937 random(5);
        for (std::size_t i = 0; i < count; ++i) hosts[i]->step(from, {request("r", "read", 0, 2)});
        for (double now = from; now < until; now += 2) {
            std::vector<std::vector<Event>> events(count);
            std::vector<Delivery> later;
            for (auto& message : inFlightMessages)
                if (message.at <= now)
                    events[static_cast<std::size_t>(message.to)].push_back(
                        PeerMessage{message.from, message.bytes});
                else later.push_back(message);
            inFlightMessages.swap(later);
            while (!inFlight.empty() && inFlight.front().first <= now) {
                const auto [i, attempt] = inFlight.front().second;
                inFlight.erase(inFlight.begin());
                hosts[i]->endAttempt(now, attempt, Outcome::Served, true, 40);
                ++served;
            }
            for (std::size_t i = 0; i < count; ++i) {
                if (!events[i].empty()) hosts[i]->step(now, events[i]);
                hosts[i]->runTo(now);
                for (; seen[i] < hosts[i]->sent.size(); ++seen[i]) {
                    inFlight.push_back({now + 40, {i, hosts[i]->sent[seen[i]]}});
                    sends.push_back(now);
                }
                for (const auto& message : hosts[i]->outgoing)
                    if (message.to >= 0 && std::uniform_real_distribution<>(0, 1)(random) >= loss)
                        inFlightMessages.push_back({now + 6, static_cast<int>(i), message.to, message.bytes});
                hosts[i]->outgoing.clear();
            }
            maxInFlight = std::max(maxInFlight, inFlight.size());
        }
    }
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<double> sends;
    std::size_t maxInFlight = 0;
    int served = 0;
    double loss = 0;
};

// Guards against a queue in the node as long as the number of hosts.
TEST(KeptNodes, TwoHundredHostsPutNoMoreIntoANodeThanItsWindow) {
    CoordinatedHosts fleet(200);
    fleet.run(kStart + 4000, kStart + 7000);
    EXPECT_LE(fleet.maxInFlight, 24u);
    EXPECT_GT(fleet.served, 190);
}

// Guards against starving a cold shard where each host's part of its budget is less than one request, and
// against overloading it: 24 units a second at first, plus at most 2 for 3 that it completed.
TEST(KeptNodes, AColdNodeIsFedWithinItsBudgetByTwoHundredHosts) {
    CoordinatedHosts fleet(200, kStart + 3900);
    fleet.run(kStart + 4000, kStart + 6000);
    EXPECT_GT(fleet.served, 8);
    double units = 0;
    for (const double at : fleet.sends) units += at < kStart + 5000 ? 2 : 0;
    EXPECT_LE(units, 24 + 24);
}

TEST(KeptNodes, WithoutAnyMessagesAColdNodeIsLeftToItsKeepers) {
    CoordinatedHosts fleet(200, kStart + 3900, 1);
    fleet.run(kStart + 4000, kStart + 6000);
    EXPECT_LE(fleet.sends.size() * 2, 24u);
}

TEST(KeptNodes, GrantsAndAsksOutOfRangeAreDropped) {
    Host host(settingsOf(200, 3));
    host.step(kStart, {list({node("a", 0)}), request("r", "read", 0)});
    const auto sent = host.sent.size();
    std::mt19937 random(11);
    for (int i = 0; i < 5000; ++i) {
        std::string noise(1 + random() % 40, '\0');
        for (auto& byte : noise) byte = static_cast<char>(random());
        noise[0] = 3;
        host.step(kStart + 2 + i * 0.01, {PeerMessage{static_cast<int>(random() % 200), noise}});
    }
    EXPECT_LE(host.sent.size(), sent + 1);
}

}  // namespace
}  // namespace spokewheel::testing
