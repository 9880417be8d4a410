// The table of ids that must not be taken again, and its bound.
#include "fronts/http/request_ids.hpp"

#include <gtest/gtest.h>

namespace spokewheel::fronts::http {
namespace {

TEST(RequestIdTable, AnUnansweredIdIsKeptForItsTimeAndThenFree) {
    RequestIds ids;
    ASSERT_TRUE(ids.take("a", 0));
    EXPECT_FALSE(ids.take("a", 1));
    ids.release("a", true, 10);
    EXPECT_FALSE(ids.take("a", 10 + kUnansweredIdRetentionMs - 1));
    EXPECT_TRUE(ids.take("a", 10 + kUnansweredIdRetentionMs));
}

TEST(RequestIdTable, AnAnsweredIdIsFreeAtOnce) {
    RequestIds ids;
    ASSERT_TRUE(ids.take("a", 0));
    ids.release("a", false, 1);
    EXPECT_TRUE(ids.take("a", 1));
}

// Guards against a table that grows with each client that leaves.
TEST(RequestIdTable, DropsTheOldestBeyondItsBytes) {
    RequestIds ids;
    constexpr int kIds = 100000;
    for (int i = 0; i < kIds; ++i) {
        ASSERT_TRUE(ids.take(std::to_string(i), 0));
        ids.release(std::to_string(i), true, 0);
    }
    EXPECT_FALSE(ids.take(std::to_string(kIds - 1), 1));
    EXPECT_TRUE(ids.take("0", 1));
    EXPECT_EQ(ids.open(), 1u);
}

}  // namespace
}  // namespace spokewheel::fronts::http
