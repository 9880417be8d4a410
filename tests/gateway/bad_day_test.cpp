// A short run of the bad-day script: every rule must be kept, and each must have had records to check.
#include "kit/bad_day.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

#include "kit/process.hpp"

namespace spokewheel::kit {
namespace {

TEST(BadDay, EveryRuleIsKept) {
    BadDaySettings settings;
    settings.bin = SPOKEWHEEL_BIN;
    settings.directory =
        (std::filesystem::temp_directory_path() / ("spokewheel-day-" + std::to_string(getpid()))).string();
    config::ConfigErrors errors;
    settings.script = readFaultScript(SPOKEWHEEL_SOURCE "/kit/scripts/bad-day.yaml", errors);
    ASSERT_TRUE(errors.empty()) << errors[0].text();
    const auto result = runBadDay(settings);
    EXPECT_EQ(result.error, "");
    EXPECT_TRUE(allKept(result.rules)) << formatResults(result.rules, result.startUs);
    EXPECT_EQ(result.filesWithWrongContent, 0u);
    EXPECT_GT(result.uploadsOk, 0u);
    EXPECT_GT(result.downloadsOk, 0u);
    EXPECT_GT(result.singleReadsOk, 0u);
}

TEST(Script, MistakesAreToldWithTheirPlace) {
    const auto file =
        (std::filesystem::temp_directory_path() / ("script-" + std::to_string(getpid()))).string();
    writeFile(
        file,
        "name: x\nsteps:\n  - {do: dance}\n  - {do: drain}\n  - {do: drain, node: 6}\n  - {do: list-down}\n");
    config::ConfigErrors errors;
    readFaultScript(file, errors);
    std::filesystem::remove(file);
    std::string all;
    for (const auto& error : errors) all += error.text().substr(file.size()) + "\n";
    EXPECT_NE(all.find(":3: steps[0].do: 'dance' is not one of: burst, calm"), std::string::npos) << all;
    EXPECT_NE(all.find(":4: steps[1].node: is missing"), std::string::npos) << all;
    EXPECT_NE(all.find(":5: steps[2].node: '6' is not a whole number from 0 to 5"), std::string::npos) << all;
    EXPECT_NE(all.find(":6: steps[3].do: needs 'list: http'"), std::string::npos) << all;
}

TEST(Script, TheSameSeedCastsTheSameAndOnlyWhoItCanHappenTo) {
    FaultScript script;
    script.nodes = 3;
    std::string sequences[2];
    for (auto& sequence : sequences) {
        TargetSelector targets(script, 7);
        for (int i = 0; i < 40; ++i) {
            Step step;
            step.action = i % 3 ? Action::Crash : Action::Return;
            step.target = Step::kAny;
            sequence += std::to_string(targets.select(step)) + " ";
        }
    }
    EXPECT_EQ(sequences[0], sequences[1]);
    TargetSelector targets(script, 1);
    Step crash{0, Action::Crash, 1, 0}, restart{0, Action::Return, Step::kLast, 0};
    EXPECT_EQ(targets.select(restart), -1);  // no node has stopped
    EXPECT_EQ(targets.select(crash), 1);
    EXPECT_EQ(targets.select(crash), -1);  // it has stopped already
    EXPECT_EQ(targets.select(restart), 1);
}

}  // namespace
}  // namespace spokewheel::kit
