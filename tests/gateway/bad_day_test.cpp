// The scripted bad day, short: every rule must be kept, and each must have had something to look at.
#include "kit/bad_day.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

#include "kit/process.hpp"

namespace spokewheel::kit {
namespace {

TEST(BadDay, EveryRuleIsKept) {
    BadDaySettings s;
    s.bin = SPOKEWHEEL_BIN;
    s.directory =
        (std::filesystem::temp_directory_path() / ("spokewheel-day-" + std::to_string(getpid()))).string();
    config::ConfigErrors mistakes;
    s.script = readScript(SPOKEWHEEL_SOURCE "/kit/scripts/bad-day.yaml", mistakes);
    ASSERT_TRUE(mistakes.empty()) << mistakes[0].text();
    const auto r = badDay(s);
    EXPECT_EQ(r.fault, "");
    EXPECT_TRUE(allKept(r.verdicts)) << tell(r.verdicts, r.fromUs);
    EXPECT_EQ(r.halfFiles, 0u);
    EXPECT_GT(r.pushesFine, 0u);
    EXPECT_GT(r.pullsFine, 0u);
    EXPECT_GT(r.fetchesFine, 0u);
}

TEST(Script, MistakesAreToldWithTheirPlace) {
    const auto file =
        (std::filesystem::temp_directory_path() / ("script-" + std::to_string(getpid()))).string();
    writeFile(
        file,
        "name: x\nsteps:\n  - {do: dance}\n  - {do: drain}\n  - {do: drain, node: 6}\n  - {do: list-down}\n");
    config::ConfigErrors m;
    readScript(file, m);
    std::filesystem::remove(file);
    std::string all;
    for (const auto& one : m) all += one.text().substr(file.size()) + "\n";
    EXPECT_NE(all.find(":3: steps[0].do: 'dance' is not one of: burst, calm"), std::string::npos) << all;
    EXPECT_NE(all.find(":4: steps[1].node: is missing"), std::string::npos) << all;
    EXPECT_NE(all.find(":5: steps[2].node: '6' is not a whole number from 0 to 5"), std::string::npos) << all;
    EXPECT_NE(all.find(":6: steps[3].do: needs 'list: http'"), std::string::npos) << all;
}

TEST(Script, TheSameSeedCastsTheSameAndOnlyWhoItCanHappenTo) {
    Script s;
    s.nodes = 3;
    std::string days[2];
    for (auto& day : days) {
        Casting casting(s, 7);
        for (int i = 0; i < 40; ++i) {
            Step step;
            step.deed = i % 3 ? Deed::Crash : Deed::Return;
            step.whom = Step::kAny;
            day += std::to_string(casting.cast(step)) + " ";
        }
    }
    EXPECT_EQ(days[0], days[1]);
    Casting casting(s, 1);
    Step crash{0, Deed::Crash, 1, 0}, again{0, Deed::Return, Step::kLast, 0};
    EXPECT_EQ(casting.cast(again), -1);  // it is up
    EXPECT_EQ(casting.cast(crash), 1);
    EXPECT_EQ(casting.cast(crash), -1);  // it is gone
    EXPECT_EQ(casting.cast(again), 1);
}

}  // namespace
}  // namespace spokewheel::kit
