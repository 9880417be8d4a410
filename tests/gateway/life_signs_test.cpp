// What a process tells its witnesses, and when it answers whether it vouches for a peer.
#include "platform/life_signs.hpp"

#include "platform_support.hpp"

namespace spokewheel::platform::testing {
namespace {

constexpr int kPeer = 2;

class LifeSignsTest : public ::testing::Test {
  protected:
    // A list service that fell silent after the peer's last sign, and was asked in time.
    void SetUp() override {
        own.lastContactAt = io::nowMs();
        receive(wire::peer::pack(wire::peer::LifeSign{100, 0}));
        own.unansweredSince = io::nowMs();
        runLoopFor(registry::kWatchAnswerMs + 10);
        sent.clear();
    }
    void receive(const std::string& bytes) { EXPECT_TRUE(signs.onPeerMessage(kPeer, bytes)); }
    std::size_t vouches() const {
        std::size_t n = 0;
        for (const auto& [rank, bytes] : sent) n += rank == kPeer && wire::peer::readVouch(bytes).has_value();
        return n;
    }
    io::Loop loop;
    registry::OwnListService own;
    std::vector<std::pair<int, std::string>> sent;
    LifeSigns signs{{1},
                    {[this](int rank, const std::string& bytes) { sent.emplace_back(rank, bytes); },
                     [this] { return own; }, [] {}, [](int, registry::VouchRefusal) {}}};
};

TEST_F(LifeSignsTest, AWitnessAnswersThatItVouches) {
    receive(wire::peer::pack(wire::peer::VouchQuery{7}));
    EXPECT_TRUE(runLoopUntil([&] { return vouches() == 1; }, 500));
}

// Guards against a query that is read before the list service's answer, which came at the same time.
TEST_F(LifeSignsTest, WhatTheListServiceHasSentIsReadFirst) {
    receive(wire::peer::pack(wire::peer::VouchQuery{7}));
    own.lastContactAt = io::nowMs() + registry::kLifeAfterSignMs;
    own.unansweredSince.reset();
    runLoopFor(200);
    EXPECT_EQ(vouches(), 0u);
}

TEST_F(LifeSignsTest, SignsAreSentOnceTheListServiceHasAnsweredAndNotBefore) {
    const auto signsIn = [&](double ms) {
        sent.clear();
        runLoopFor(ms);
        return std::count_if(sent.begin(), sent.end(), [](const auto& message) {
            return message.first == 1 && wire::peer::readLifeSign(message.second).has_value();
        });
    };
    EXPECT_GE(signsIn(1000), 4);
    own.lastContactAt.reset();
    EXPECT_EQ(signsIn(1000), 0);
}

}  // namespace
}  // namespace spokewheel::platform::testing
