#include <gtest/gtest.h>

#include <cmath>

#include "support.hpp"

namespace spokewheel::testing {
namespace {

constexpr double kStart = 100000;

TEST(Answers, HeldWorkIsRefusedBeforeItsClientGivesUp) {
    Host host(testSettings());
    host.step(kStart, {list({node("a", 0)}), request("r", "read", 5)});  // no node holds shard 5
    host.runTo(kStart + 5000);
    ASSERT_TRUE(host.refused.count("r"));
    EXPECT_LE(host.refused["r"], kStart + 2500);
    EXPECT_TRUE(host.sent.empty());
}

// Guards against holding a request that was never sent until its client cannot go elsewhere any more. One
// that was sent and rejected may wait to its end.
TEST(Answers, WhatWasNeverSentIsRefusedBeforeHalfItsTime) {
    Host host(testSettings());
    host.step(kStart, {list({node("a", 0)}), request("r", "read", 5), request("s", "read", 0)});
    host.endAttempt(kStart + 5, host.sent.at(0), Outcome::Rejected);
    host.step(kStart + 6, {list({node("a", 0, Lifecycle::Draining)})});
    host.runTo(kStart + 5000);
    ASSERT_TRUE(host.refused.count("r") && host.refused.count("s"));
    EXPECT_GE(host.refused["r"], kStart + 500);  // its latency target
    EXPECT_LE(host.refused["r"], kStart + 1250);
    EXPECT_GE(host.refused["s"], kStart + 2400);
}

TEST(Answers, AnAttemptWithoutAnOutcomeIsStillAnsweredInTime) {
    Host host(testSettings());
    host.step(kStart, {list({node("a", 0)}), request("r", "once", 0)});
    ASSERT_EQ(host.sent.size(), 1u);
    host.runTo(kStart + 5000);
    ASSERT_TRUE(host.failed.count("r"));
    EXPECT_LE(host.failed["r"], kStart + 2500 + 8);
    host.endAttempt(kStart + 6000, host.sent[0], Outcome::NoAnswer, true);
    EXPECT_EQ(host.failed.size() + host.refused.size(), 1u);
}

TEST(Answers, ATimerThatFiresAFractionEarlyDoesNotStopTheClock) {
    // Timers are rounded on the bench link. Guards against a timer that fires slightly early and is not set
    // again.
    Scheduler scheduler(testSettings(), 1);
    double now = kStart + 0.4, due = -1;
    bool refused = false;
    std::vector<Event> events = {list({node("a", 0)}), request("r", "read", 5)};
    for (int i = 0; i < 5000 && !refused && (i == 0 || due >= 0); ++i) {
        due = -1;
        for (const auto& action : scheduler.step(now, events)) {
            if (const auto* w = std::get_if<SetTimer>(&action)) due = now + w->afterMs - 0.0005;
            refused = refused || std::holds_alternative<Refuse>(action);
        }
        if (due >= 0) now = due;
        events = {Wake{}};
    }
    EXPECT_TRUE(refused);
    EXPECT_LE(now, kStart + 2501);
}

TEST(Answers, EventsAboutUnknownOrFinishedThingsAreDropped) {
    Host host(testSettings());
    AttemptEnded stray;
    stray.id = "nobody";
    stray.node = "nowhere";
    host.step(kStart, {list({node("a", 0)}), stray, ClientGone{"nobody"}, ResponseStarted{"nobody"},
                       ProbeResult{"nowhere", Outcome::Served, 1}, request("r", "read", 0)});
    ASSERT_EQ(host.sent.size(), 1u);
    host.endAttempt(kStart + 20, host.sent[0], Outcome::Served);
    host.endAttempt(kStart + 21, host.sent[0], Outcome::Served);
    host.step(kStart + 22, {ClientGone{"r"}});
    host.runTo(kStart + 5000);
    EXPECT_EQ(host.sent.size(), 1u);
    EXPECT_TRUE(host.refused.empty() && host.failed.empty());
}

TEST(Answers, AnUnknownClassOrPlanIsRefusedAtOnce) {
    Host host(testSettings());
    host.step(kStart, {list({node("a", 0)}), request("r", "no such class", 0)});
    EXPECT_EQ(host.refused.count("r"), 1u);
}

// Guards against lost responses: a repeatable first attempt expires long after similar ones have finished
// and is sent again with all its remaining time. Attempts that may not be repeated keep their time, and so
// do all at a node whose usual times are not known.
TEST(Attempts, AFirstOneThatMayBeRepeatedIsNotWaitedForToTheEnd) {
    Host host(testSettings());
    host.step(kStart, {list({node("a", 0)}), request("x", "read", 0)});
    EXPECT_GE(host.sent.at(0).expireAtMs, kStart + 2500);
    double now = kStart;
    for (int i = 0; i < 12; ++i) {
        if (i > 0) host.step(now, {request("w" + std::to_string(i), "read", 0)});
        host.endAttempt(now += 20, host.sent.back(), Outcome::Served, true, 20);
    }
    host.step(now, {request("r", "read", 0), request("o", "once", 0)});
    const auto sentBefore = host.sent.size();
    const auto lastAttemptOf = [&](const char* id) {
        return std::find_if(host.sent.rbegin(), host.sent.rend(), [&](auto& a) { return a.id == id; });
    };
    EXPECT_LT(lastAttemptOf("r")->expireAtMs, now + 400);
    EXPECT_GE(lastAttemptOf("r")->expireAtMs, now + 8 * 20);
    EXPECT_GE(lastAttemptOf("o")->expireAtMs, now + 2500);
    host.endAttempt(now + 250, *lastAttemptOf("r"), Outcome::NoAnswer, false, 250);
    ASSERT_EQ(host.sent.size(), sentBefore + 1);
    EXPECT_EQ(host.sent.back().id, "r");
    EXPECT_GE(host.sent.back().expireAtMs, now + 2500);
}

TEST(Effects, OnceIsNeverSentAgainNorRefusedAfterItMayHaveRun) {
    for (const auto outcome : {Outcome::ServerError, Outcome::ConnectionLost, Outcome::NoAnswer}) {
        Host host(testSettings());
        host.step(kStart, {list({node("a", 0), node("b", 1)}), request("r", "once", -1)});
        ASSERT_EQ(host.sent.size(), 1u);
        host.endAttempt(kStart + 20, host.sent[0], outcome);
        host.runTo(kStart + 4000);
        EXPECT_EQ(host.sent.size(), 1u);
        EXPECT_EQ(host.failed.count("r"), 1u);
        EXPECT_TRUE(host.refused.empty());
    }
}

TEST(Effects, OnceMayGoAgainWhenItProvablyNeverRan) {
    Host host(testSettings());
    host.step(kStart, {list({node("a", 0)}), request("r", "once", 0)});
    host.endAttempt(kStart + 5, host.sent.at(0), Outcome::Rejected);
    host.runTo(kStart + 500);
    EXPECT_EQ(host.sent.size(), 2u);
}

TEST(Effects, AKeyedRepeatStaysInItsCellAndItsTime) {
    Host host(testSettings());
    host.step(kStart, {list({node("a", 0), node("b", 1)}), request("r", "keyed", -1)});
    ASSERT_EQ(host.sent.size(), 1u);
    const auto first = host.sent[0];
    host.endAttempt(kStart + 20, first, Outcome::ServerError);
    host.runTo(kStart + 100);
    ASSERT_EQ(host.sent.size(), 2u);
    EXPECT_EQ(host.sent[1].node, first.node);

    // Its node is gone: it may not be sent elsewhere, and a refusal would claim that it was not done.
    host.step(kStart + 110, {list({node(first.node == "a" ? "b" : "a", first.node == "a" ? 1 : 0)})});
    host.endAttempt(kStart + 120, host.sent[1], Outcome::ConnectionLost);
    host.runTo(kStart + 4000);
    EXPECT_EQ(host.sent.size(), 2u);
    EXPECT_EQ(host.failed.count("r"), 1u);
    EXPECT_TRUE(host.refused.empty());
    EXPECT_LE(host.failed["r"], kStart + 1500);
}

TEST(Effects, NoRequestIsSentMoreOftenThanAllowed) {
    Host host(testSettings());
    host.step(kStart, {list({node("a", 0)}), request("r", "read", 0)});
    for (int i = 0; i < 10; ++i) {
        host.endAttempt(kStart + 100 * i + 5, host.sent.back(), Outcome::ServerError);
        host.runTo(kStart + 100 * i + 99);
    }
    EXPECT_EQ(host.sent.size(), 3u);
}

TEST(Drains, NothingGoesToADrainingOrMissingNode) {
    Host host(testSettings());
    host.step(kStart, {list({node("a", 0), node("b", 1)})});
    host.step(kStart + 10, {list({node("a", 0, Lifecycle::Draining)}, ListForm::Delta)});
    host.step(kStart + 20, {request("r1", "read", 0), request("w1", "once", -1)});
    host.step(kStart + 30, {list({node("a", 0)})});  // b is not listed, so it is gone
    host.step(kStart + 40, {request("r2", "read", 1)});
    host.runTo(kStart + 60);
    for (std::size_t i = 0; i < host.sent.size(); ++i) {
        if (host.sent[i].id == "w1") {
            EXPECT_EQ(host.sent[i].node, "b");
        }
        if (host.sent[i].id == "r1") {
            EXPECT_GE(host.sentAt[i], kStart + 30);
        }
        EXPECT_NE(host.sent[i].id, "r2");
    }
}

TEST(Drains, ASuccessorOnTheSameShardTakesOver) {
    Host host(testSettings());
    host.step(kStart, {list({node("a", 0, Lifecycle::Draining)}), request("r", "read", 0)});
    EXPECT_TRUE(host.sent.empty());
    host.step(kStart + 100, {list({node("c", 0, Lifecycle::Ready, kStart + 50)}, ListForm::Delta)});
    ASSERT_EQ(host.sent.size(), 1u);
    EXPECT_EQ(host.sent[0].node, "c");
}

// Sends requests as fast as the node responds for a second; returns the units sent.
double sentUnderLoad(Host& host, double from, double units) {
    double sum = 0;
    std::size_t answered = host.sent.size();
    for (int i = 0; i < 500; ++i) {
        const double now = from + 2 * i;
        host.step(now, {request("p" + std::to_string(now), "read", 0, units)});
        for (; answered < host.sent.size(); ++answered) {
            sum += units;
            if (i % 5 == 0) host.endAttempt(now + 1, host.sent[answered], Outcome::Served, true, 5);
            else host.endAttempt(now + 1, host.sent[answered], Outcome::Rejected, true, 5);
        }
    }
    return sum;
}

TEST(Cold, AFreshNodeGetsThisHostsPartOnly) {
    auto settings = testSettings();
    settings.hosts = 3;
    Host host(settings);
    host.step(kStart - 2000, {});
    host.step(kStart, {list({node("a", 0, Lifecycle::Ready, kStart - 100)})});
    // A third of 6 units, grown by the node's age of a second, plus a part of what it completed.
    EXPECT_LE(sentUnderLoad(host, kStart, 1), 6);
    Host warm(settings);
    warm.step(kStart, {list({node("a", 0, Lifecycle::Ready, kStart - 20000)})});
    EXPECT_GT(sentUnderLoad(warm, kStart, 1), 6);
}

// Returns the units sent to a cold node that rejects everything, within `ms`.
double sentToColdNode(Host& host, double from, double ms) {
    host.step(from, {list({node("a", 0, Lifecycle::Ready, kStart - 100)})});
    double units = 0;
    std::size_t answered = host.sent.size();
    for (double now = from; now < from + ms; now += 5) {
        host.step(now, {request("c" + std::to_string(now), "once", 0, 1)});
        for (; answered < host.sent.size(); ++answered) {
            units += 1;
            host.endAttempt(now + 1, host.sent[answered], Outcome::Rejected, true, 1);
        }
    }
    return units;
}

TEST(Cold, ALifeThatForgotSendsNoSecondBudgetToAColdNode) {
    Host before(testSettings());
    before.step(kStart - 2000, {});
    const double first = sentToColdNode(before, kStart, 300);
    EXPECT_GT(first, 4);
    Host after(testSettings());
    const double second = sentToColdNode(after, kStart + 350, 600);
    const double grownBudget = 6 * (1 + 4 * 1.05 / 16);
    EXPECT_LE(first + second, grownBudget);
}

TEST(Cold, ANodeThatCameUpAfterTheStartIsSentTo) {
    Host host(testSettings());
    host.step(kStart - 200, {});
    EXPECT_GT(sentToColdNode(host, kStart, 300), 4);
}

TEST(Cold, ANodeThatDroppedConnectionsIsTakenForColdBeforeTheListSaysSo) {
    Host host(testSettings());
    host.step(kStart - 2000, {});
    host.step(kStart, {list({node("a", 0)}), request("r", "read", 0)});
    host.endAttempt(kStart + 5, host.sent.at(0), Outcome::ConnectionLost);
    ASSERT_EQ(host.sent.size(), 2u);
    host.endAttempt(kStart + 6, host.sent[1], Outcome::NoConnection);
    host.runTo(kStart + 200);
    ASSERT_EQ(host.sent.size(), 2u);
    host.runTo(kStart + 800);
    ASSERT_EQ(host.sent.size(), 3u);
    host.endAttempt(kStart + 820, host.sent[2], Outcome::Served);
    host.step(kStart + 830, {request("x1", "read", 0, 5), request("x2", "read", 0, 5)});
    EXPECT_LE(host.sent.size(), 4u);
}

// Guards against taking a healthy node out of service for single failed connections: a third of the
// attempts lose theirs, and responses come in between.
TEST(Cold, AConnectionThatBreaksWhileOthersAnswerIsNotTheNodes) {
    Host host(testSettings());
    host.step(kStart, {list({node("a", 0)})});
    for (int i = 0; i < 30; ++i) {
        host.step(kStart + 20 * i, {request("r" + std::to_string(i), "once", 0)});
        ASSERT_EQ(host.sent.size(), static_cast<std::size_t>(i + 1)) << i;
        host.endAttempt(kStart + 20 * i + 10, host.sent.back(),
                        i % 3 == 2 ? Outcome::ConnectionLost : Outcome::Served);
    }
}

// Guards against beginning an attempt whose conditions no longer hold: the client has left, the node drains
// or has restarted cold, or nodes may no longer recognise the key.
TEST(MayBegin, OnlyWhatStillHolds) {
    const auto started = [](Host& host, const char* kind) {
        host.step(kStart, {list({node("n", 0)})});
        host.step(kStart + 1, {request("a", kind, 0)});
        ASSERT_EQ(host.sent.size(), 1u);
        EXPECT_TRUE(host.mayBegin(kStart + 200, "a", 0));
        EXPECT_FALSE(host.mayBegin(kStart + 200, "a", 1));
        EXPECT_FALSE(host.mayBegin(kStart + 200, "b", 0));
        EXPECT_FALSE(host.mayBegin(kStart + 2600, "a", 0));
    };
    const std::vector<Event> ends = {ClientGone{"a"},
                                     list({node("n", 0, Lifecycle::Draining)}, ListForm::Delta),
                                     list({node("n", 0, Lifecycle::Gone)}, ListForm::Delta),
                                     list({node("n", 0, Lifecycle::Ready, kStart + 90)}, ListForm::Delta)};
    for (const auto& end : ends) {
        Host host(testSettings());
        started(host, "once");
        host.step(kStart + 100, {end});
        EXPECT_FALSE(host.mayBegin(kStart + 101, "a", 0)) << end.index();
    }
    Host host(testSettings());
    started(host, "keyed");
    host.endAttempt(kStart + 20, host.sent[0], Outcome::ConnectionLost);
    host.runTo(kStart + 1000);
    ASSERT_EQ(host.sent.size(), 2u);
    EXPECT_TRUE(host.mayBegin(kStart + 1340, "a", 1));
    EXPECT_FALSE(host.mayBegin(kStart + 1360, "a", 1));  // kept for 1,500 ms, less a pause of 150 ms
}

// Guards against a keyed repeat that leaves its group because a node of another zone has taken over its
// shard.
TEST(Keyed, ARepeatStaysInItsZoneThoughItsShardMoves) {
    auto settings = testSettings();
    settings.classes[2].group = Group::Zone;
    for (const char* zone : {"a", "b"}) {
        Host host(settings);
        auto first = node("n", 0), next = node("m", 0);
        first.zone = "a", next.zone = zone;
        host.step(kStart, {list({first})});
        host.step(kStart + 1, {request("k", "keyed", 0)});
        ASSERT_EQ(host.sent.size(), 1u);
        host.step(kStart + 10, {list({next})});
        host.endAttempt(kStart + 20, host.sent[0], Outcome::ConnectionLost);
        host.runTo(kStart + 1700);
        EXPECT_EQ(host.sent.size(), *zone == 'a' ? 2u : 1u) << zone;
        EXPECT_EQ(host.failed.count("k"), *zone == 'b' ? 1u : 0u) << zone;
    }
}

// Guards against taking keys with the highest bit set for no key.
TEST(Order, AKeyWithItsTopBitSetIsAKey) {
    for (const std::int64_t key : {std::int64_t(5), INT64_MIN, std::int64_t(-2), std::int64_t(-1)}) {
        Host host(testSettings());
        auto a = request("a", "ordered", 0), b = request("b", "ordered", 0);
        a.key = b.key = key;
        host.step(kStart - 2000, {});
        host.step(kStart, {list({node("n", 0)}), a, b});
        EXPECT_EQ(host.sent.size(), key == -1 ? 2u : 1u) << key;
    }
}

TEST(Order, RequestsOfOneKeyRunOneAtATimeAndRestAfterDoubt) {
    Host host(testSettings());
    auto r1 = request("k1", "ordered", 0), r2 = request("k2", "ordered", 0),
         other = request("o", "ordered", 0);
    r1.key = r2.key = 9;
    other.key = 10;
    host.step(kStart - 2000, {});
    host.step(kStart, {list({node("a", 0)}), r1, r2, other});
    ASSERT_EQ(host.sent.size(), 2u);
    EXPECT_EQ(host.attemptCounts.count("k2"), 0u);
    const auto first = host.sent[0].id == "k1" ? host.sent[0] : host.sent[1];
    // The client leaves while its attempt is in flight: k2 waits for its end, and then for the pause after an
    // unknown outcome.
    host.step(kStart + 10, {ClientGone{"k1"}});
    host.runTo(kStart + 300);
    EXPECT_EQ(host.attemptCounts.count("k2"), 0u);
    host.endAttempt(kStart + 310, first, Outcome::NoAnswer, true);
    host.runTo(kStart + 405);
    EXPECT_EQ(host.attemptCounts.count("k2"), 0u);
    host.runTo(kStart + 450);
    EXPECT_EQ(host.attemptCounts.count("k2"), 1u);
}

TEST(Order, AKeyRestsForWhatTheLifeBeforeLeftInDoubt) {
    auto first = request("k1", "ordered", 0), second = request("k2", "ordered", 0);
    first.key = second.key = 9;
    Host before(testSettings());
    before.step(kStart - 2000, {});
    before.step(kStart, {list({node("a", 0)}), first});
    ASSERT_EQ(before.sent.size(), 1u);
    Host after(testSettings());  // the outcome of the previous process's attempt is unknown
    after.step(kStart + 50, {list({node("a", 0)}), second});
    after.runTo(kStart + 145);
    EXPECT_TRUE(after.sent.empty());
    after.runTo(kStart + 155);
    EXPECT_EQ(after.sent.size(), 1u);
}

TEST(Budget, FurtherAttemptsStayWithinTheShareOfWhatWasTaken) {
    auto settings = testSettings();
    settings.retryBudgetFloor = 3;
    settings.retryBudgetShare = 0.1;
    settings.retryBudgetSpanMs = 5000;
    Host host(settings);
    host.step(kStart, {list({node("a", 0)})});
    std::size_t answered = 0;
    for (int i = 0; i < 40; ++i) {
        host.step(kStart + 50 * i, {request("r" + std::to_string(i), "read", 0)});
        for (; answered < host.sent.size(); ++answered)
            host.endAttempt(kStart + 50 * i + 1, host.sent[answered], Outcome::ServerError);
    }
    EXPECT_LE(host.sent.size(), 40u + 7u);
    EXPECT_GT(host.sent.size(), 40u);
}

// An attempt may begin half a second after the decision (new connection, pause). The requests that allow it
// must still be in the span then.
TEST(Budget, ARetryIsAllowedOnlyByWhatIsInTheSpanWhenItBegins) {
    auto settings = testSettings();
    settings.retryBudgetFloor = 0;
    settings.retryBudgetShare = 0.25;
    settings.retryBudgetSpanMs = 1000;
    for (const double answeredAt : {300.0, 900.0}) {
        Host host(settings);
        std::vector<Event> events = {list({node("a", 0)})};
        for (int i = 0; i < 4; ++i) events.push_back(request("r" + std::to_string(i), "read", 0));
        host.step(kStart, events);
        ASSERT_EQ(host.sent.size(), 4u);
        host.endAttempt(kStart + answeredAt, host.sent[0], Outcome::ServerError);
        EXPECT_EQ(host.sent.size(), answeredAt < 500 ? 5u : 4u);
    }
}

// The host may pause for up to 0.15 s between the decision and the write: nodes must still recognise the
// key then.
TEST(Keyed, ARepeatLeavesTimeForAPauseInWhatNodesRemember) {
    for (const double brokenAt : {1200.0, 1400.0}) {  // nodes keep keys for 1,500 ms
        Host host(testSettings());
        host.step(kStart, {list({node("a", 0)}), request("k", "keyed", 0)});
        ASSERT_EQ(host.sent.size(), 1u);
        host.endAttempt(kStart + brokenAt, host.sent[0], Outcome::ConnectionLost);
        host.runTo(kStart + brokenAt + 60);
        EXPECT_EQ(host.sent.size(), brokenAt < 1300 ? 2u : 1u);
        if (host.sent.size() < 2) continue;
        EXPECT_TRUE(host.mayBegin(kStart + 1340, "k", 1));
        EXPECT_FALSE(host.mayBegin(kStart + 1360, "k", 1));
    }
}

TEST(Windows, WorkIsHeldHereRatherThanInTheNode) {
    Host host(testSettings());
    std::vector<Event> events = {list({node("a", 0)})};
    for (int i = 0; i < 100; ++i) events.push_back(request("r" + std::to_string(i), "read", 0));
    host.step(kStart, events);
    EXPECT_EQ(host.sent.size(), 4u);
}

TEST(Windows, GrowWhileAnswersAreFastAndShrinkWhenSlow) {
    const auto outAfter = [](double took) {
        Host host(testSettings());
        std::vector<Event> events = {list({node("a", 0)})};
        for (int i = 0; i < 400; ++i) events.push_back(request("r" + std::to_string(i), "read", 0));
        host.step(kStart, events);
        std::size_t answered = 0;
        double now = kStart;
        for (; answered < 60; ++answered)
            host.endAttempt(now += 3, host.sent.at(answered), Outcome::Served, true,
                            answered < 20 ? 20 : took);
        return host.sent.size() - answered;
    };
    EXPECT_GT(outAfter(20), 5u);
    EXPECT_LE(outAfter(20), 32u);
    EXPECT_LE(outAfter(400), 2u);
}

TEST(Windows, ASilentNodeGetsNoNewObjects) {
    // Guards against a hung node, which accepts requests and does not respond.
    Host host(testSettings());
    host.step(kStart, {list({node("a", 0), node("b", 1)}), request("r", "read", 0)});
    for (int i = 1; i <= 10; ++i) {
        host.step(kStart + 200 * i, {request("w" + std::to_string(i), "once", -1)});
        if (host.sent.back().node == "b")
            host.endAttempt(kStart + 200 * i + 20, host.sent.back(), Outcome::Served);
        if (i > 4) {
            EXPECT_EQ(host.sent.back().node, "b");
        }
    }
}

TEST(Windows, ATrialAtASilentNodeIsBoundedWhereItMayBeRepeated) {
    Host host(testSettings());
    host.step(kStart, {list({node("a", 0)}), request("r", "read", 0)});
    EXPECT_EQ(host.sent.at(0).expireAtMs, kStart + 2500);
    host.step(kStart + 1000, {request("trial", "read", 0)});
    ASSERT_EQ(host.sent.size(), 2u);
    EXPECT_EQ(host.sent[1].expireAtMs, kStart + 2000);
    host.endAttempt(kStart + 2000, host.sent[1], Outcome::NoAnswer);
    host.runTo(kStart + 2100);
    EXPECT_EQ(host.attemptCounts["trial"], 2);
}

TEST(Ordering, WorkInsideTheReserveGoesBeforeWorkBeyondIt) {
    auto settings = testSettings();
    Host host(settings);
    std::vector<Event> events = {list({node("a", 0)})};
    for (int i = 0; i < 60; ++i) events.push_back(request("greedy" + std::to_string(i), "read", 0, 2));
    auto modest = request("modest", "read", 0, 2);
    modest.volume = 8;
    events.push_back(modest);
    host.step(kStart, events);
    for (std::size_t i = 0; i < 12; ++i) host.endAttempt(kStart + 10 + i, host.sent.at(i), Outcome::Served);
    EXPECT_EQ(host.attemptCounts.count("modest"), 1u);
}

TEST(Ordering, ARequestThatWaitedUnseenIsKnownToBeLate) {
    // Guards against sending stale requests first after a stall of this host or a client's later try.
    auto settings = testSettings();
    settings.spareWorth = 0.3;
    Host host(settings);
    host.step(kStart, {list({node("a", 0)}), request("x1", "read", 0), request("x2", "read", 0),
                       request("x3", "read", 0), request("x4", "read", 0)});
    auto stale = request("stale", "read", 0);
    stale.ttlMs = 1500;  // a second has passed, and with it the latency target of 500 ms
    host.step(kStart + 10, {stale, request("fresh", "read", 0)});
    host.endAttempt(kStart + 20, host.sent.at(0), Outcome::Served);
    EXPECT_EQ(host.attemptCounts.count("fresh"), 1u);
    EXPECT_EQ(host.attemptCounts.count("stale"), 0u);
}

TEST(Membership, AskSitesAreAskedAtStartAndAgainAfterAFailure) {
    auto settings = testSettings();
    settings.subscribe = true;
    Host host(settings, 3), twin(settings, 4);
    for (auto* each : {&host, &twin}) {
        each->step(kStart, {list({node("a", 0)}, ListForm::Cached)});
        ASSERT_EQ(each->subscribedAt.size(), 1u);
        each->step(kStart + 500, {list({}, ListForm::Failed)});
        each->runTo(kStart + 3000);
        ASSERT_EQ(each->subscribedAt.size(), 2u);
        each->step(kStart + 3000, {list({node("a", 0)})});
        each->runTo(kStart + 30000);
        EXPECT_EQ(each->subscribedAt.size(), 2u);
    }
    EXPECT_NE(host.subscribedAt[1], twin.subscribedAt[1]);  // jittered by the seed
}

TEST(Settings, ContradictionsAreNamed) {
    const auto complaint = [](void (*spoil)(Settings&)) {
        auto settings = testSettings();
        spoil(settings);
        try {
            Scheduler scheduler(settings, 1);
        } catch (const std::invalid_argument& e) {
            return std::string(e.what());
        }
        return std::string();
    };
    EXPECT_NE(complaint([](Settings& s) { s.retryBudgetShare = 1.5; }).find("extraShare"), std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.plans[1].limit = -1; }).find("plans"), std::string::npos);
    EXPECT_NE(complaint([](Settings& s) { s.rank = 4; }).find("hosts"), std::string::npos);
    const auto names = [&complaint](const char* key, void (*spoil)(Settings&)) {
        EXPECT_NE(complaint(spoil).find(std::string("'contracts.1.") + key + "'"), std::string::npos) << key;
    };
    names("limit", [](Settings& s) { s.plans[1].limit = std::nan(""); });
    names("limit", [](Settings& s) { s.plans[1].limit = 1e16; });
    names("limit-burst", [](Settings& s) { s.plans[1].limitBurst = -3; });
    names("limit-burst", [](Settings& s) { s.plans[1].limit = 5, s.plans[1].limitBurst = 0; });
    names("slack", [](Settings& s) { s.plans[1].slack = -1; });
    names("slack", [](Settings& s) { s.plans[1].slack = HUGE_VAL; });
    names("reservation", [](Settings& s) { s.plans[1].reservation = -1; });
    EXPECT_EQ(complaint([](Settings&) {}), "");
}

TEST(Determinism, TheSameEventsGiveTheSameActions) {
    const auto run = [] {
        Host host(testSettings(), 5);
        std::vector<Event> events = {list({node("b", 1), node("a", 0), node("c", 2)})};
        for (int i = 0; i < 50; ++i) events.push_back(request("r" + std::to_string(i), "once", -1));
        host.step(kStart, events);
        host.runTo(kStart + 3000);
        std::string log;
        for (const auto& a : host.sent) log += a.id + a.node;
        return log;
    };
    EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace spokewheel::testing
