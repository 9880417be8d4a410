// Which idle connection to a node is reused, and what on it counts as no response to the next request.
#include <gtest/gtest.h>

#include "nodes/decide_link.hpp"

namespace spokewheel::nodes {
namespace {

constexpr ReuseRules kRules = {12, 100, 2000};
constexpr double kNow = 100000;

std::optional<std::size_t> picked(const std::vector<double>& idledMs, const NodeExchanges& node,
                                  bool repeatable = true) {
    std::vector<double> since;
    for (const double ms : idledMs) since.push_back(kNow - ms);
    const auto reuse = pickIdleLink(since, kNow, kRules, node, repeatable);
    return reuse ? std::optional(reuse->index) : std::nullopt;
}
NodeExchanges answeredAfter(std::initializer_list<double> exchangesMs) {
    NodeExchanges node;
    for (const double ms : exchangesMs) node.onResponseBegan(ms, kNow - 10);
    return node;
}

TEST(Reuse, TakesTheMostRecentlyUsedOfThoseThatHaveSettled) {
    EXPECT_EQ(picked({5000, 100, 99, 300}, answeredAfter({10})), 1u);
    EXPECT_EQ(picked({5000, 100, 99, 300}, answeredAfter({10}), false), 1u);
}

// Guards against a request that may run only once on a connection on which an answer to it can't be told from
// what belongs to the one before.
TEST(Reuse, TakesOthersOnlyForRequestsThatMayBeSentAgain) {
    EXPECT_EQ(picked({11, 12, 50}, answeredAfter({10})), 1u);
    EXPECT_FALSE(picked({11, 12, 50}, answeredAfter({10}), false));
    EXPECT_FALSE(picked({11}, answeredAfter({10})));
    EXPECT_FALSE(picked({11, 12, 50}, NodeExchanges())) << "how long the way is is not known";
}

TEST(Reuse, WhatComesSoonerThanAResponseCanIsToldByTheShortestExchangeOfLate) {
    const auto notBefore = [](const NodeExchanges& node, double idledMs) {
        return pickIdleLink({kNow - idledMs}, kNow, kRules, node, true)->notBeforeMs;
    };
    EXPECT_EQ(notBefore(answeredAfter({48, 60, 52}), 20), 24);
    EXPECT_EQ(notBefore(answeredAfter({48}), 200), 0);
    // The way may become longer: what was measured long ago does not count.
    NodeExchanges node;
    node.onResponseBegan(10, kNow - 25000);
    node.onResponseBegan(50, kNow - 14000);
    EXPECT_EQ(*node.leastMs(kNow - 13000), 10);
    node.onResponseBegan(60, kNow - 3000);
    EXPECT_EQ(*node.leastMs(kNow), 50);
    EXPECT_FALSE(node.leastMs(kNow + 30000));
}

// A node that answers twice does so on its other connections too.
TEST(Reuse, ConnectionsToANodeThatSentASurplusAreUsedOnceForAWhile) {
    auto node = answeredAfter({10});
    node.onSurplus(kNow - 1999);
    EXPECT_FALSE(picked({12, 100, 5000}, node));
    EXPECT_TRUE(node.surplusIsNew(kRules, kNow));
    node.onSurplus(kNow - 2000);
    EXPECT_EQ(picked({12, 100, 5000}, node), 1u);
}

// A dialect whose nodes send nothing beyond their answers.
TEST(Reuse, WithoutRulesAConnectionIsReusedAtOnce) {
    EXPECT_TRUE(pickIdleLink({kNow}, kNow, ReuseRules(), NodeExchanges(), false));
}

}  // namespace
}  // namespace spokewheel::nodes
