// The membership messages with which a restarted process queries its peers while its agent is silent, and the
// decision which nodes they confirm.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "registry/decide_confirmation.hpp"
#include "registry/node_table.hpp"
#include "wire/peer/membership.hpp"

namespace spokewheel::registry {
namespace {

using wire::peer::idDigest;
using wire::peer::kMaxAgeMs;
using wire::peer::Member;
using wire::peer::MembershipPart;

constexpr int kPeers = 10, kOwnRank = 3;
constexpr double kNow = 100000;

std::vector<Member> members(const std::vector<std::string>& ids, double ageMs = kMaxAgeMs) {
    std::vector<Member> out;
    for (const auto& id : ids) out.push_back({idDigest(id), ageMs});
    return out;
}
MembershipPart head(double lastContactAgeMs, std::uint32_t version = 1) {
    MembershipPart out;
    out.nonce = 7;
    out.listVersion = version;
    out.lastContactAgeMs = lastContactAgeMs;
    return out;
}
MembershipPart whole(const std::vector<Member>& members, double lastContactAgeMs) {
    return *wire::peer::readMembershipPart(
        wire::peer::packMembership(head(lastContactAgeMs), members).front());
}
std::set<std::uint64_t> namesOf(const ConfirmedNodes& nodes) {
    std::set<std::uint64_t> out;
    for (const auto& [digest, startedAt] : nodes.startedAt) out.insert(digest);
    return out;
}
std::set<std::uint64_t> digests(const std::vector<std::string>& ids) {
    std::set<std::uint64_t> out;
    for (const auto& id : ids) out.insert(idDigest(id));
    return out;
}

// A start for which all of its witnesses vouch.
Confirmation vouchedFor(int peers, std::uint64_t seed) {
    Confirmation confirmation(peers, kOwnRank, seed);
    for (const int rank : witnessesOf(kOwnRank, peers)) confirmation.addVouch(rank, kNow);
    return confirmation;
}

TEST(Membership, AnAnswerOfAnyLengthComesInDatagramsOfThePlatformsSize) {
    for (const std::size_t count : {0, 1, 34, 35, 200, 3200}) {
        std::vector<Member> all;
        for (std::size_t i = 0; i < count; ++i)
            all.push_back({idDigest("s-" + std::to_string(i)), 100.0 * static_cast<double>(i)});
        const auto datagrams = wire::peer::packMembership(head(2050, 70000), all);
        std::vector<Member> read;
        for (std::size_t i = 0; i < datagrams.size(); ++i) {
            ASSERT_LE(datagrams[i].size(), wire::peer::kMaxMembershipBytes);
            const auto part = wire::peer::readMembershipPart(datagrams[i]);
            ASSERT_TRUE(part);
            EXPECT_EQ(part->nonce, 7u);
            EXPECT_EQ(part->listVersion, 70000u);
            EXPECT_EQ(part->part, i);
            EXPECT_EQ(part->parts, datagrams.size());
            EXPECT_EQ(part->lastContactAgeMs, 2000);
            read.insert(read.end(), part->members.begin(), part->members.end());
        }
        ASSERT_EQ(read.size(), count);
        for (std::size_t i = 0; i < count; ++i) {
            EXPECT_EQ(read[i].idDigest, all[i].idDigest);
            EXPECT_EQ(read[i].ageMs, all[i].ageMs);
        }
    }
}

TEST(Membership, WhatIsNoMessageOfThisKindIsNotRead) {
    const auto good = wire::peer::packMembership(head(0), members({"a"})).front();
    const std::size_t withoutMembers = good.size() - 7;
    for (std::size_t size = 0; size < good.size(); ++size)
        EXPECT_EQ(wire::peer::readMembershipPart(good.substr(0, size)).has_value(), size == withoutMembers)
            << size;
    EXPECT_FALSE(wire::peer::readMembershipPart(good + "x"));
    auto beyond = good;
    beyond[10] = 5;  // part 5 of 1
    EXPECT_FALSE(wire::peer::readMembershipPart(beyond));
    EXPECT_FALSE(wire::peer::readMembershipQuery(good));
    EXPECT_FALSE(wire::peer::readMembershipQuery(wire::peer::pack(wire::peer::MembershipQuery{1}) + "x"));
    EXPECT_EQ(wire::peer::readMembershipQuery(wire::peer::pack(wire::peer::MembershipQuery{77}))->nonce, 77u);
}

TEST(Confirmation, AsksAFewOthersAndNeverItself) {
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        auto confirmation = vouchedFor(kPeers, seed);
        const auto asked = confirmation.peersToQuery();
        EXPECT_LE(asked.size(), Confirmation::kQueriesPerRound);
        EXPECT_FALSE(asked.empty());
        EXPECT_EQ(std::set<int>(asked.begin(), asked.end()).size(), asked.size());
        for (const int rank : asked) EXPECT_TRUE(rank >= 0 && rank < kPeers && rank != kOwnRank);
    }
    EXPECT_TRUE(Confirmation(1, 0, 5).peersToQuery().empty());
}

TEST(Confirmation, OneAnswerCountsAfterAMomentAndThreeAtOnce) {
    auto one = vouchedFor(kPeers, 1);
    EXPECT_LT(one.remainingWaitMs(kNow), 0);
    one.addPart(1, whole(members({"a", "b"}), 1000), kNow);
    EXPECT_FALSE(one.confirmedNodes(kNow));
    EXPECT_GT(one.remainingWaitMs(kNow), 0);
    const auto nodes = one.confirmedNodes(kNow + 200);
    ASSERT_TRUE(nodes);
    EXPECT_EQ(namesOf(*nodes), digests({"a", "b"}));
    EXPECT_EQ(nodes->lastContactAt, kNow - 1000);
    for (const int rank : {2, 4}) one.addPart(rank, whole(members({"a", "b"}), 1000), kNow + 1);
    EXPECT_TRUE(one.confirmedNodes(kNow + 1));
}

TEST(Confirmation, ANodeThatOneOfThemNoLongerUsesIsNotUsed) {
    auto confirmation = vouchedFor(kPeers, 1);
    confirmation.addPart(1, whole(members({"a", "b", "c"}), 9000), kNow);
    confirmation.addPart(2, whole(members({"a", "c"}), 8000), kNow);
    EXPECT_EQ(namesOf(*confirmation.confirmedNodes(kNow + 200)), digests({"a", "c"}));
    // A later answer removes nodes too.
    confirmation.addPart(4, whole(members({"a"}), 8300), kNow + 300);
    EXPECT_EQ(namesOf(*confirmation.confirmedNodes(kNow + 300)), digests({"a"}));
}

TEST(Confirmation, APeerWhoseWatchBrokeBeforeTheOthersDoesNotCount) {
    auto confirmation = vouchedFor(kPeers, 1);
    confirmation.addPart(1, whole(members({"a"}), 3000), kNow);
    confirmation.addPart(2, whole(members({"a", "drained"}), 9000), kNow);
    EXPECT_EQ(namesOf(*confirmation.confirmedNodes(kNow + 200)), digests({"a"}));
    auto lagging = vouchedFor(kPeers, 1);
    lagging.addPart(1, whole(members({"a", "b"}), 3000), kNow);
    lagging.addPart(2, whole(members({"a"}), 9000), kNow);  // does not know "b" yet
    EXPECT_EQ(namesOf(*lagging.confirmedNodes(kNow + 200)), digests({"a", "b"}));
}

TEST(Confirmation, AnAnswerOfWhichAPartIsLostIsAskedForAgainAndDoesNotCountBefore) {
    std::vector<std::string> ids;
    for (int i = 0; i < 80; ++i) ids.push_back("s-" + std::to_string(i));
    const auto datagrams = wire::peer::packMembership(head(2000), members(ids));
    ASSERT_EQ(datagrams.size(), 3u);
    const auto part = [&](std::size_t i) { return *wire::peer::readMembershipPart(datagrams[i]); };
    auto confirmation = vouchedFor(kPeers, 1);
    confirmation.addPart(8, part(0), kNow);
    confirmation.addPart(8, part(2), kNow);
    EXPECT_FALSE(confirmation.confirmedNodes(kNow + 1000));
    EXPECT_EQ(confirmation.peersToQuery().front(), 8);
    confirmation.addPart(8, part(1), kNow + 1000);
    EXPECT_EQ(confirmation.confirmedNodes(kNow + 1200)->startedAt.size(), ids.size());
    // Parts of another list version do not complete the answer.
    auto changed = vouchedFor(kPeers, 1);
    changed.addPart(8, part(0), kNow);
    changed.addPart(8, part(2), kNow);
    auto later = part(1);
    later.listVersion = 2;
    changed.addPart(8, later, kNow);
    EXPECT_FALSE(changed.confirmedNodes(kNow + 1000));
}

// Peers that crashed while answering must not prevent queries to others.
TEST(Confirmation, IncompleteAnswersLeaveRoomForOtherPeers) {
    std::vector<std::string> ids;
    for (int i = 0; i < 80; ++i) ids.push_back("s-" + std::to_string(i));
    const auto datagrams = wire::peer::packMembership(head(2000), members(ids));
    auto confirmation = vouchedFor(kPeers, 1);
    for (const int rank : {0, 1, 2, 4})
        confirmation.addPart(rank, *wire::peer::readMembershipPart(datagrams.front()), kNow);
    std::set<int> others;
    for (int round = 0; round < 50; ++round)
        for (const int rank : confirmation.peersToQuery())
            if (rank > 4) others.insert(rank);
    EXPECT_EQ(others, (std::set<int>{5, 6, 7, 8, 9}));
}

TEST(Confirmation, AStartIsAsLateAsAnyOfThemSays) {
    auto confirmation = vouchedFor(kPeers, 1);
    confirmation.addPart(1, whole({{idDigest("a"), 4000}, {idDigest("b"), kMaxAgeMs}}, 3000), kNow);
    confirmation.addPart(2, whole({{idDigest("a"), 1500}, {idDigest("b"), kMaxAgeMs}}, 3000), kNow);
    const auto nodes = confirmation.confirmedNodes(kNow + 200);
    EXPECT_EQ(nodes->startedAt.at(idDigest("a")), kNow - 1500);
    EXPECT_EQ(nodes->startedAt.at(idDigest("b")), 0);
}

// Guards against the word of peers that were never told what this process's list service had reported.
TEST(Confirmation, NothingIsConfirmedWithoutAWitness) {
    constexpr int kFleet = 100;
    const auto witnesses = witnessesOf(kOwnRank, kFleet);
    EXPECT_EQ(std::set<int>(witnesses.begin(), witnesses.end()).size(), 8u);
    for (const int rank : witnesses) EXPECT_TRUE(rank >= 0 && rank < kFleet && rank != kOwnRank);
    auto confirmation = vouchedFor(kFleet, 1);
    std::set<int> asked;
    for (int round = 0; round < 3; ++round)
        for (const int rank : confirmation.peersToQuery()) asked.insert(rank);
    for (const int rank : witnesses) EXPECT_TRUE(asked.count(rank)) << rank;
    for (const int rank : {1, 2, 4, 5}) confirmation.addPart(rank, whole(members({"a", "b"}), 100), kNow);
    EXPECT_FALSE(confirmation.confirmedNodes(kNow + 1000));
    // However old its last contact is, what a witness does not name is not confirmed.
    confirmation.addPart(witnesses[3], whole(members({"a"}), 60000), kNow + 1000);
    EXPECT_EQ(namesOf(*confirmation.confirmedNodes(kNow + 1000)), digests({"a"}));
    EXPECT_EQ(witnessesOf(1, 3), (std::vector<int>{2, 0}));
    EXPECT_TRUE(witnessesOf(0, 1).empty());
}

// Guards against the word of peers where this machine's list service may have learned of more than anybody
// alive was told of (review/10).
TEST(Confirmation, NothingIsConfirmedOrAskedForBeforeAWitnessVouches) {
    constexpr int kFleet = 100;
    const auto witnesses = witnessesOf(kOwnRank, kFleet);
    Confirmation confirmation(kFleet, kOwnRank, 1);
    EXPECT_EQ(confirmation.witnessesToAsk(), witnesses);
    EXPECT_TRUE(confirmation.peersToQuery().empty());
    confirmation.addPart(witnesses[0], whole(members({"a", "b"}), 100), kNow);
    EXPECT_FALSE(confirmation.confirmedNodes(kNow + 1000));
    EXPECT_FALSE(confirmation.addVouch(kOwnRank + 1, kNow)) << "is no witness";
    EXPECT_FALSE(confirmation.confirmedNodes(kNow + 1000));
    // The answer of a witness that vouches is needed: the others may lack what was told to it.
    EXPECT_TRUE(confirmation.addVouch(witnesses[1], kNow + 1000));
    EXPECT_FALSE(confirmation.addVouch(witnesses[1], kNow + 1000)) << "is known";
    EXPECT_FALSE(confirmation.confirmedNodes(kNow + 2000));
    EXPECT_EQ(confirmation.peersToQuery().front(), witnesses[1]);
    confirmation.addPart(witnesses[1], whole(members({"a"}), 100), kNow + 2000);
    EXPECT_EQ(namesOf(*confirmation.confirmedNodes(kNow + 2200)), digests({"a"}));
    EXPECT_EQ(confirmation.witnessesToAsk().size(), witnesses.size() - 1);
}

TEST(Notice, AnyNumberOfChangesComesInDatagramsOfThePlatformsSize) {
    std::vector<wire::peer::ChangedNode> nodes;
    for (int i = 0; i < 100; ++i)
        nodes.push_back({idDigest("s-" + std::to_string(i)), 1000 + i, i % 2 == 0, i % 2 == 0 ? 300.0 : 0});
    std::vector<wire::peer::ChangedNode> read;
    for (const auto& bytes : wire::peer::packNotices(nodes)) {
        ASSERT_LE(bytes.size(), wire::peer::kMaxMembershipBytes);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            const auto cut = wire::peer::readNotice(bytes.substr(0, size));
            EXPECT_EQ(cut.has_value(), size > 9 && (size - 9) % 9 == 0);
        }
        const auto part = *wire::peer::readNotice(bytes);
        read.insert(read.end(), part.begin(), part.end());
    }
    ASSERT_EQ(read.size(), nodes.size());
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        EXPECT_EQ(read[i].idDigest, nodes[i].idDigest);
        EXPECT_EQ(read[i].revision, nodes[i].revision);
        EXPECT_EQ(read[i].usable, nodes[i].usable);
        EXPECT_EQ(read[i].ageMs, nodes[i].ageMs);
    }
}

// What a peer's list service reported first.
class NoticeTable : public ::testing::Test {
  protected:
    NodeTable::Change apply(std::int64_t revision, Lifecycle lifecycle, double startedMs, double nowMs,
                            ListForm form = ListForm::Delta) {
        Endpoints list;
        list.revision = revision;
        list.complete = form != ListForm::Delta;
        list.entries.push_back({"a", "zone", lifecycle, 4, 1, startedMs});
        list.addresses["a"] = "127.0.0.1:1";
        return table.apply(std::move(list), form, {nowMs, nowMs});
    }
    NodeTable::Change notice(std::int64_t revision, bool usable, double nowMs) {
        return table.applyNotice({{idDigest("a"), revision, usable, 500}}, {nowMs, nowMs});
    }
    void SetUp() override { apply(41, Lifecycle::Ready, 0, kNow, ListForm::Full); }
    NodeTable table;
};

TEST_F(NoticeTable, WithdrawsANodeUntilTheOwnListServiceSaysOtherwise) {
    const auto change = notice(45, false, kNow + 10);
    ASSERT_TRUE(change.applied);
    EXPECT_EQ(change.update.entries.at(0).lifecycle, Lifecycle::Draining);
    EXPECT_EQ(change.update.entries.at(0).shard, 4);
    EXPECT_TRUE(table.usableNodes().empty());
    EXPECT_FALSE(notice(45, false, kNow + 20).applied);
    // An older list does not bring it back, as this list service reports later; after a while it does.
    EXPECT_EQ(apply(43, Lifecycle::Ready, 0, kNow + 200).update.entries.at(0).lifecycle, Lifecycle::Draining);
    EXPECT_EQ(apply(44, Lifecycle::Ready, 0, kNow + 7000).update.entries.at(0).lifecycle, Lifecycle::Ready);
}

TEST_F(NoticeTable, IsPassedOverOnceTheOwnListServiceHasReportedAsMuch) {
    apply(45, Lifecycle::Ready, 0, kNow + 5);
    EXPECT_FALSE(notice(45, false, kNow + 10).applied);
    EXPECT_EQ(table.usableNodes().size(), 1u);
}

TEST_F(NoticeTable, AStartIsToldToWhoAsks) {
    notice(45, true, kNow + 1000);
    EXPECT_EQ(table.usableNodes().at(0).second, kNow + 500);
}

// What is told to witnesses: each change once, when the own list service reports it, also if a peer was
// first.
TEST_F(NoticeTable, NewsAreWhatTheOwnListServiceReports) {
    notice(45, false, kNow + 10);
    const auto change = apply(45, Lifecycle::Draining, 0, kNow + 100);
    ASSERT_EQ(change.news.size(), 1u);
    EXPECT_FALSE(change.news[0].usable);
    EXPECT_EQ(change.news[0].revision, 45);
    EXPECT_TRUE(apply(46, Lifecycle::Draining, 0, kNow + 200).news.empty());
    const auto again = apply(47, Lifecycle::Ready, kNow + 250, kNow + 300);
    ASSERT_EQ(again.news.size(), 1u);
    EXPECT_TRUE(again.news[0].usable);
}

}  // namespace
}  // namespace spokewheel::registry
