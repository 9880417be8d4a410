// A short run of the option matrix with fixed seeds: the stock client through the gateway must give the same
// result as between two local folders. `spokewheel matrix --rounds 2000` is the long run.
#include "kit/matrix.hpp"

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>

namespace spokewheel::kit {
namespace {

class MatrixTest : public ::testing::TestWithParam<int> {};

TEST_P(MatrixTest, GatewayLeavesWhatTheClientLeavesFromFolderToFolder) {
    umask(022);
    const auto directory = std::filesystem::temp_directory_path() /
                           ("spokewheel-mix-" + std::to_string(getpid()) + "-" + std::to_string(GetParam()));
    std::filesystem::remove_all(directory);
    {
        Fleet fleet(SPOKEWHEEL_BIN, (directory / "fleet").string());
        for (int node = 0; node < 2; ++node) fleet.startNode(node, {node, {}});
        fleet.writeNodeList();
        fleet.startHost(0);
        OptionMatrix matrix(fleet, (directory / "trees").string());
        std::string messages;
        const auto result =
            matrix.run(static_cast<std::uint64_t>(GetParam()), 25,
                       [&messages](const std::string& message) { messages += message + "\n"; });
        EXPECT_EQ(result.mixes, 25u);
        EXPECT_EQ(result.hung, 0u);
        EXPECT_TRUE(result.differences.empty()) << messages;
        EXPECT_GT(result.same, 20u);
    }
    std::filesystem::remove_all(directory);
}
INSTANTIATE_TEST_SUITE_P(Seeds, MatrixTest, ::testing::Values(1, 1101, 2051, 4025));

}  // namespace
}  // namespace spokewheel::kit
