// The order of requests of one key over several connections, and of the kernel's time stamps that it rests
// on.
#include "fronts/http/key_order.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

#include "io/receive_stamps.hpp"

namespace spokewheel::fronts::http {
namespace {

using Turn = KeyOrder::Turn;
using Connections = std::vector<KeyOrder::ConnectionNumber>;

io::Arrival at(double ms) { return {{0, ms}, {0, ms}}; }
io::Arrival between(double earliestMs, double latestMs) { return {{0, earliestMs}, {0, latestMs}}; }

class KeyOrderModel : public ::testing::Test {
  protected:
    static constexpr std::int64_t kKey = 7;
    int changes = 0;
    KeyOrder order{[this] { ++changes; }};
    void releaseAll() { order.release(order.newest(), std::nullopt); }
};

TEST_F(KeyOrderModel, NothingPassesBeforeAllThatArrivedEarlierIsRead) {
    const auto place = order.add(kKey, 1, at(10));
    EXPECT_EQ(order.turnOf(place), Turn::Wait);
    EXPECT_TRUE(order.connectionsToServe().empty());
    releaseAll();
    EXPECT_EQ(order.turnOf(place), Turn::Pass);
    EXPECT_EQ(order.connectionsToServe(), Connections{1});
}

// Guards against the order in which connections are read.
TEST_F(KeyOrderModel, TheOneThatArrivedFirstPassesFirst) {
    const auto newer = order.add(kKey, 1, at(20));
    auto older = order.add(kKey, 2, at(10));
    releaseAll();
    EXPECT_EQ(order.turnOf(newer), Turn::Wait);
    EXPECT_EQ(order.turnOf(older), Turn::Pass);
    older.giveUp();
    EXPECT_EQ(order.turnOf(newer), Turn::Pass);
}

// What was found by the search itself may have arrived after others that the search did not find.
TEST_F(KeyOrderModel, WhatIsFoundBySearchingWaitsForTheNextSearch) {
    const auto first = order.add(kKey, 1, at(10));
    const auto before = order.newest();
    const auto second = order.add(kKey + 1, 2, at(20));
    order.release(before, std::nullopt);
    EXPECT_EQ(order.turnOf(first), Turn::Pass);
    EXPECT_EQ(order.turnOf(second), Turn::Wait);
}

TEST_F(KeyOrderModel, WhatArrivedAfterSomethingUnreadWaits) {
    const auto first = order.add(kKey, 1, at(10));
    const auto second = order.add(kKey + 1, 2, at(20));
    order.release(order.newest(), io::ArrivalPoint{0, 15});
    EXPECT_EQ(order.turnOf(first), Turn::Pass);
    EXPECT_EQ(order.turnOf(second), Turn::Wait);
    EXPECT_EQ(order.latestUnsettled(), (io::ArrivalPoint{0, 20}));
}

// Guards against a write in the wrong place, and against refusing more than the one whose place is unknown.
TEST_F(KeyOrderModel, OfTwoWhoseOrderIsUnknownTheInexactOneIsRefused) {
    const auto inexact = order.add(kKey, 1, between(0, 100));
    const auto exact = order.add(kKey, 2, at(50));
    const auto earlier = order.add(kKey, 3, at(0));
    const auto later = order.add(kKey, 4, at(100));
    const auto sameConnection = order.add(kKey, 1, at(100));
    releaseAll();
    EXPECT_EQ(order.turnOf(inexact), Turn::Refuse);
    EXPECT_EQ(order.turnOf(earlier), Turn::Pass);
    for (const auto* other : {&exact, &later, &sameConnection}) EXPECT_EQ(order.turnOf(*other), Turn::Wait);
}

TEST_F(KeyOrderModel, OfTwoInexactOnesOneIsRefused) {
    const auto first = order.add(kKey, 1, between(0, 100));
    const auto second = order.add(kKey, 2, between(10, 90));
    releaseAll();
    EXPECT_NE(order.turnOf(first) == Turn::Refuse, order.turnOf(second) == Turn::Refuse);
}

TEST_F(KeyOrderModel, OtherKeysAndLeaversHoldUpNobody) {
    auto first = order.add(kKey, 1, at(10));
    const auto second = order.add(kKey, 2, at(20));
    const auto other = order.add(kKey + 1, 3, at(30));
    releaseAll();
    EXPECT_EQ(order.turnOf(other), Turn::Pass);
    changes = 0;
    first = {};
    EXPECT_EQ(changes, 1);
    EXPECT_EQ(order.turnOf(second), Turn::Pass);
}

TEST_F(KeyOrderModel, NothingIsKeptOfRequestsThatHaveEnded) {
    for (int i = 0; i < 100; ++i) order.add(i, 1, at(i));
    EXPECT_TRUE(order.empty());
    EXPECT_FALSE(order.latestUnsettled());
}

TEST_F(KeyOrderModel, AStepOfTheWallClockBetweenTwoDoesNotTurnThemRound) {
    const auto newer = order.add(kKey, 1, {{1, 5}, {1, 5}});
    const auto older = order.add(kKey, 2, {{0, 3600005}, {0, 3600005}});
    releaseAll();
    EXPECT_EQ(order.turnOf(older), Turn::Pass);
    EXPECT_EQ(order.turnOf(newer), Turn::Wait);
}

// Guards against two requests of one connection that wait for each other.
TEST_F(KeyOrderModel, RequestsOfOneConnectionKeepTheirOrderThoughTheirStampsDoNot) {
    ConnectionArrivals arrivals;
    const auto first = order.add(kKey, 1, arrivals.next(at(20)));
    const auto second = order.add(kKey, 1, arrivals.next(at(19)));
    releaseAll();
    EXPECT_EQ(order.turnOf(first), Turn::Pass);
    EXPECT_EQ(order.turnOf(second), Turn::Wait);
}

// Where the system does not stamp what arrives, sockets are read as before and nothing is peeked at.
TEST(ReceiveStamps, AreAskedForWhereThereAreAny) {
    const int tcp = socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_TRUE(io::requestReceiveStamps(tcp));
    close(tcp);
    int pipeEnds[2];
    ASSERT_EQ(pipe(pipeEnds), 0);
    EXPECT_FALSE(io::requestReceiveStamps(pipeEnds[0]));
    for (const int end : pipeEnds) close(end);
}

// Input that arrives on the monotonic clock at `arrivedMs` and is read at `readMs`.
class ArrivalClockTest : public ::testing::Test {
  protected:
    io::ArrivalPoint read(double arrivedMs, double earliestMs, double readMs) {
        return clock.pointOf(arrivedMs + offsetMs, earliestMs, readMs);
    }
    void readPromptly(double fromMs, int times) {
        for (int i = 0; i < times; ++i) read(fromMs + 10 * i, fromMs + 10 * i - 1, fromMs + 10 * i + 0.1);
    }
    io::ArrivalClock clock;
    double offsetMs = 1.7e12;
};

// Guards against a hold-up in which the wall clock is stepped: what arrived before the step is read after
// what arrived later.
TEST_F(ArrivalClockTest, AStepWithinAHoldUpKeepsTheOrder) {
    for (const double stepMs : {-3.6e6, -2000.0, -60.0, 60.0, 2000.0, 3.6e6}) {
        clock = {};
        offsetMs = 1.7e12;
        readPromptly(1000, 20);
        const double beforeStep = offsetMs;
        offsetMs += stepMs;
        const auto newer = read(2080, 1999, 2130);
        offsetMs = beforeStep;
        const auto older = read(2000, 1999, 2130);
        EXPECT_LT(older, newer) << "step " << stepMs;
        offsetMs += stepMs;
        EXPECT_LT(newer, read(2200, 2150, 2200.1)) << "step " << stepMs;
    }
}

TEST_F(ArrivalClockTest, StepsThereAndBackKeepTheOrder) {
    readPromptly(1000, 20);
    auto last = read(1300, 1299, 1300.1);
    for (int i = 0; i < 6; ++i) {
        offsetMs += i % 2 ? -3.6e6 : 3.6e6;
        for (int k = 0; k < 3; ++k) {
            const double now = 2000 + 100 * i + 10 * k;
            const auto next = read(now, now - 1, now + 0.1);
            EXPECT_LT(last, next) << "step " << i;
            last = next;
        }
    }
}

TEST_F(ArrivalClockTest, ASlewedClockIsNoStep) {
    for (int i = 0; i < 1000; ++i) {
        offsetMs += 5;  // in 10 s: 500 ppm
        const double now = 1000 + 1e4 * i;
        EXPECT_EQ(read(now, now - 1, now + 0.1).epoch, 0u);
    }
}

TEST_F(ArrivalClockTest, NothingUnreadIsBeforeItsLowerBound) {
    readPromptly(1000, 20);
    const auto bound = clock.notAfter(1500);
    EXPECT_LT(bound, read(1500, 1499, 1500.1));
    EXPECT_GT(bound.stampMs, 1490 + offsetMs);
}

}  // namespace
}  // namespace spokewheel::fronts::http
