// The scripted bad day, short: every rule must be kept, and each must have had something to look at.
#include "kit/bad_day.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

namespace spokewheel::kit {
namespace {

TEST(BadDay, EveryRuleIsKept) {
    BadDaySettings s;
    s.bin = SPOKEWHEEL_BIN;
    s.directory =
        (std::filesystem::temp_directory_path() / ("spokewheel-day-" + std::to_string(getpid()))).string();
    const auto r = badDay(s);
    EXPECT_EQ(r.fault, "");
    EXPECT_TRUE(allKept(r.verdicts)) << tell(r.verdicts, r.fromUs);
    EXPECT_EQ(r.halfFiles, 0u);
    EXPECT_GT(r.pushesFine, 0u);
    EXPECT_GT(r.pullsFine, 0u);
    EXPECT_GT(r.fetchesFine, 0u);
}

}  // namespace
}  // namespace spokewheel::kit
