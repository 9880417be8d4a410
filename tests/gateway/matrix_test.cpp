// The matrix, short: fixed seeds of mixes, the stock client through the gateway against folder to folder. The
// long one is `spokewheel matrix --rounds 2000`.
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
        for (int n = 0; n < 2; ++n) fleet.startNode(n, {n, {}});
        fleet.writeNodeList();
        fleet.startHost(0);
        Matrix matrix(fleet, (directory / "trees").string());
        std::string all;
        const auto r = matrix.run(static_cast<std::uint64_t>(GetParam()), 25,
                                  [&all](const std::string& words) { all += words + "\n"; });
        EXPECT_EQ(r.tried, 25u);
        EXPECT_EQ(r.hung, 0u);
        EXPECT_TRUE(r.differences.empty()) << all;
        EXPECT_GT(r.same, 20u);
    }
    std::filesystem::remove_all(directory);
}
INSTANTIATE_TEST_SUITE_P(Seeds, MatrixTest, ::testing::Values(1, 1101, 2051, 4025));

}  // namespace
}  // namespace spokewheel::kit
