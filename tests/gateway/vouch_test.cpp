// Whether a process vouches for a peer that starts while list services are silent.
#include <gtest/gtest.h>

#include <string>

#include "registry/decide_vouch.hpp"

namespace spokewheel::registry {
namespace {

constexpr int kPeer = 4;
constexpr double kSignAt = 100000;  // the last sign of the peer's previous process

class Vouch : public ::testing::Test {
  protected:
    void SetUp() override { sign(kSignAt, 500); }
    void sign(double atMs, double lastContactAgeMs, std::int64_t noticedRevision = 0) {
        lives.onSign(kPeer, {lastContactAgeMs, noticedRevision}, atMs);
    }
    // The list service spoke last at `contactAt` and was asked at `askedAt`.
    VouchRefusal refusal(double contactAt, double askedAt, double nowMs) const {
        return lives.refusalFor(kPeer, {contactAt, askedAt, 41}, nowMs);
    }
    PeerLives lives;
};

TEST_F(Vouch, ForAPeerThatLivedWhenDiscoveryFellSilent) {
    EXPECT_EQ(refusal(kSignAt - 800, kSignAt + 500, kSignAt + 2000), VouchRefusal::None);
}

TEST_F(Vouch, NotForAPeerOfWhichNoSignWasHeard) {
    EXPECT_EQ(lives.refusalFor(kPeer + 1, {kSignAt, kSignAt + 500, 41}, kSignAt + 2000),
              VouchRefusal::NoSign);
    EXPECT_EQ(lives.refusalFor(kPeer, {std::nullopt, kSignAt + 500, 41}, kSignAt + 2000),
              VouchRefusal::NoSign);
}

// Guards against the drain that the peer's list service learned of while no process ran there (review/10).
TEST_F(Vouch, NotIfDiscoveryStillSpokeAfterThePeersLastSign) {
    for (const double laterMs : {400.0, 600.0, 1500.0, 8000.0})
        EXPECT_EQ(refusal(kSignAt + laterMs, kSignAt + laterMs + 2000, kSignAt + 20000),
                  VouchRefusal::HeardSince);
    // The peer may have lived for a moment after its last sign.
    EXPECT_EQ(refusal(kSignAt + 150, kSignAt + 500, kSignAt + 2000), VouchRefusal::None);
}

// The next line of an open watch comes up to 2 s later: that none has come says nothing yet.
TEST_F(Vouch, NotBeforeTheOwnListServiceWasAskedAndHadTheTimeToAnswer) {
    EXPECT_EQ(lives.refusalFor(kPeer, {kSignAt, std::nullopt, 41}, kSignAt + 1500), VouchRefusal::NotAsked);
    EXPECT_EQ(refusal(kSignAt, kSignAt + 600, kSignAt + 700), VouchRefusal::NotAsked);
    EXPECT_EQ(refusal(kSignAt, kSignAt + 600, kSignAt + 800), VouchRefusal::None);
}

// Guards against a witness that was itself delayed: discovery may have fallen silent before it asked, and
// after the peer had ended.
TEST_F(Vouch, NotIfItsOwnListServiceWasAskedLate) {
    EXPECT_EQ(refusal(kSignAt, kSignAt + 700, kSignAt + 2000), VouchRefusal::None);
    EXPECT_EQ(refusal(kSignAt, kSignAt + 701, kSignAt + 2000), VouchRefusal::AskedLate);
}

// A list service that was cut off alone says nothing of discovery, nor of what the peer's has learned.
TEST_F(Vouch, NotIfOnlyTheOwnListServiceHadFallenSilent) {
    EXPECT_EQ(refusal(kSignAt - 6000, kSignAt - 3000, kSignAt + 2000), VouchRefusal::SilentBefore);
    // The peer's had, too.
    sign(kSignAt, 6100);
    EXPECT_EQ(refusal(kSignAt - 6000, kSignAt - 3000, kSignAt + 2000), VouchRefusal::None);
}

// Guards against notices that were all lost on the way to this witness.
TEST_F(Vouch, NotIfNoticesOfThePeerAreMissing) {
    sign(kSignAt, 500, 43);
    EXPECT_EQ(refusal(kSignAt, kSignAt + 500, kSignAt + 2000), VouchRefusal::NoticesMissing);
    lives.onNotice(kPeer, 42);
    EXPECT_EQ(refusal(kSignAt, kSignAt + 500, kSignAt + 2000), VouchRefusal::NoticesMissing);
    lives.onNotice(kPeer, 43);
    lives.onNotice(kPeer, 40);
    EXPECT_EQ(refusal(kSignAt, kSignAt + 500, kSignAt + 2000), VouchRefusal::None);
    sign(kSignAt, 500, 41);  // known from the own list service
    EXPECT_EQ(refusal(kSignAt, kSignAt + 500, kSignAt + 2000), VouchRefusal::None);
}

TEST_F(Vouch, TheListServiceIsAskedOnceTheSignsOfAPeerStop) {
    const auto mustAsk = [&](double contactAt, double nowMs) {
        return lives.mustAsk({contactAt, std::nullopt, 41}, nowMs);
    };
    EXPECT_FALSE(mustAsk(kSignAt, kSignAt + 400)) << "one sign may be late";
    EXPECT_TRUE(mustAsk(kSignAt, kSignAt + 450));
    EXPECT_TRUE(mustAsk(kSignAt + 300, kSignAt + 450));
    EXPECT_FALSE(mustAsk(kSignAt + 400, kSignAt + 450)) << "it has spoken since";
    EXPECT_FALSE(lives.mustAsk({kSignAt, kSignAt + 440, 41}, kSignAt + 450)) << "it is being asked";
    EXPECT_FALSE(lives.mustAsk({}, kSignAt + 450));
    sign(kSignAt + 440, 900);
    EXPECT_FALSE(mustAsk(kSignAt, kSignAt + 450));
}

TEST(AskLimit, LostSignsDoNotMakeItAskWithoutEnd) {
    AskLimit limit;
    int asked = 0;
    for (int i = 0; i < 200; ++i) asked += limit.mayAsk(1000 + 100 * i);
    EXPECT_LE(asked, 4 + 10);
    EXPECT_GE(asked, 4 + 8);
}

TEST(LifeSign, IsReadAsItWasWritten) {
    const auto bytes = wire::peer::pack(wire::peer::LifeSign{2345, 7000000000});
    EXPECT_LE(bytes.size(), wire::peer::kMaxMembershipBytes);
    const auto sign = wire::peer::readLifeSign(bytes);
    ASSERT_TRUE(sign);
    EXPECT_EQ(sign->lastContactAgeMs, 2300);
    EXPECT_EQ(sign->noticedRevision, 7000000000);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        EXPECT_FALSE(wire::peer::readLifeSign(bytes.substr(0, size)));
    EXPECT_FALSE(wire::peer::readLifeSign(bytes + "x"));
    auto negative = bytes;
    negative[3] = static_cast<char>(0xff);
    EXPECT_FALSE(wire::peer::readLifeSign(negative));
}

TEST(VouchMessages, AreToldApart) {
    const auto query = wire::peer::pack(wire::peer::VouchQuery{77});
    const auto vouch = wire::peer::pack(wire::peer::Vouch{78});
    EXPECT_EQ(wire::peer::readVouchQuery(query)->nonce, 77u);
    EXPECT_EQ(wire::peer::readVouch(vouch)->nonce, 78u);
    EXPECT_FALSE(wire::peer::readVouch(query));
    EXPECT_FALSE(wire::peer::readVouchQuery(vouch));
    EXPECT_FALSE(wire::peer::readMembershipQuery(query));
    EXPECT_FALSE(wire::peer::readNotice(vouch));
    for (const auto& bytes : {query.substr(0, 4), query + "x", std::string()}) {
        EXPECT_FALSE(wire::peer::readVouchQuery(bytes));
        EXPECT_FALSE(wire::peer::readVouch(bytes));
    }
}

}  // namespace
}  // namespace spokewheel::registry
