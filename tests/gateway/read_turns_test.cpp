// How an iteration of the event loop is shared among client connections.
#include "fronts/http/read_turns.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace spokewheel::fronts::http {
namespace {

using Priority = ReadTurns::Priority;

std::vector<std::uint64_t> serveTurn(ReadTurns& turns, std::size_t requestsEach) {
    std::vector<std::uint64_t> served;
    turns.startTurn();
    while (const auto next = turns.next()) {
        served.push_back(*next);
        turns.onServed(requestsEach);
    }
    return served;
}

TEST(ReadTurns, AConnectionGetsOneShareOfAnIteration) {
    ReadTurns turns;
    EXPECT_TRUE(turns.mayServe(1, Priority::Answers, 10));
    turns.onServed(kRequestsPerShare);
    EXPECT_FALSE(turns.mayServe(1, Priority::Answers, 10));
    EXPECT_TRUE(turns.anyWaits());
}

// Guards against a usual client that waits behind all that a crowd has sent.
TEST(ReadTurns, WhoComesAfterACrowdIsServedInTheRoundInWhichItComes) {
    ReadTurns turns;
    constexpr std::uint64_t kCrowd = 333, kUsual = 1000;
    for (std::uint64_t i = 0; i < kCrowd; ++i)
        if (turns.mayServe(i, Priority::Answers, 1)) turns.onServed(kRequestsPerShare);
    EXPECT_FALSE(turns.mayServe(kUsual, Priority::Answers, 1));
    std::size_t before = 0;
    for (bool served = false; !served;) {
        const auto turn = serveTurn(turns, kRequestsPerShare);
        ASSERT_FALSE(turn.empty());
        for (const auto connection : turn) {
            served = served || connection == kUsual;
            before += !served;
            turns.wait(connection, Priority::Answers);  // the crowd has always more
        }
    }
    EXPECT_LE(before, kCrowd);
}

TEST(ReadTurns, WhatIsBehindAnOpenRequestGivesWayButIsReadInEachIteration) {
    ReadTurns turns;
    for (std::uint64_t i = 0; i < 100; ++i) turns.wait(i, Priority::ReadsBehindOpen);
    for (std::uint64_t i = 100; i < 200; ++i) turns.wait(i, Priority::Answers);
    const auto served = serveTurn(turns, kRequestsPerShare);
    ASSERT_EQ(served.size(), kRequestsPerTurn / kRequestsPerShare);
    EXPECT_EQ(served.front(), 0u);
    for (std::size_t i = 1; i < served.size(); ++i) EXPECT_GE(served[i], 100u);
}

TEST(ReadTurns, AConnectionWaitsOnceHoweverOftenItIsReadable) {
    ReadTurns turns;
    for (int i = 0; i < 5; ++i) turns.wait(7, Priority::Answers);
    EXPECT_EQ(serveTurn(turns, 1).size(), 1u);
    EXPECT_FALSE(turns.anyWaits());
}

}  // namespace
}  // namespace spokewheel::fronts::http
