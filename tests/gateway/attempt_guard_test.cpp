// The invariant of sending: for each kind of violation an attempt that must not begin is found, counted and
// told once, and the same attempt without it may begin. And the last look at a client directly before the
// first byte.
#include "host/attempt_guard.hpp"

#include <gtest/gtest.h>

#include "host/host.hpp"
#include "platform_support.hpp"

namespace spokewheel::host {
namespace {

using invariants::Violation;
using platform::testing::runLoopUntil;

Settings settingsOfTest() {
    Settings s;
    for (const auto& [name, effect] : {std::pair{"read", Effect::Repeatable}, std::pair{"once", Effect::Once},
                                       std::pair{"keyed", Effect::ByKey}}) {
        RequestClass c;
        c.name = name;
        c.effect = effect;
        c.group = Group::Zone;
        c.latencyTargetMs = 500, c.deadlineMs = 2500, c.keyRetentionMs = 1500;
        s.classes.push_back(c);
    }
    Plan plan;
    plan.name = "open";
    s.plans.push_back(plan);
    s.maxAttempts = 3;
    s.tickMs = 2;
    return s;
}
NodeEntry entryOf(const char* id, const char* zone, Lifecycle lifecycle = Lifecycle::Ready) {
    NodeEntry entry;
    entry.node = id, entry.zone = zone, entry.lifecycle = lifecycle, entry.shard = 0;
    return entry;
}

class Guard : public ::testing::Test {
  protected:
    Guard() {
        monitor.reportTo([this](Violation kind, const std::string& request, const std::string&) {
            told.push_back(std::string(nameOf(kind)) + " " + request);
        });
        guard.onList({ListForm::Full, {entryOf("a", "z1"), entryOf("b", "z2")}});
    }
    void take(const char* requestClass) { guard.onTaken("r", requestClass, 2500, 0); }
    void attempt(Outcome outcome, double at = 10) {
        ASSERT_TRUE(guard.mayBegin("r", 0, "a", at));
        guard.onEnded("r", 0, outcome);
    }
    // The next attempt violates just this.
    void expect(Violation kind, const char* node = "a", double at = 100) {
        EXPECT_FALSE(guard.mayBegin("r", 1, node, at));
        EXPECT_EQ(monitor.count(kind), 1u) << nameOf(kind);
        EXPECT_EQ(monitor.total(), 1u);
        EXPECT_EQ(told, std::vector<std::string>{std::string(nameOf(kind)) + " r"});
    }
    Settings settings = settingsOfTest();
    invariants::Monitor monitor;
    AttemptGuard guard{settings, monitor};
    std::vector<std::string> told;
};

TEST_F(Guard, LetsSoundAttemptsBegin) {
    take("once");
    attempt(Outcome::Rejected);
    EXPECT_TRUE(guard.mayBegin("r", 1, "b", 200));
    EXPECT_EQ(monitor.total(), 0u);
}
TEST_F(Guard, FindsOneForARequestThatHasEnded) {
    take("read");
    guard.onAnswered("r");
    expect(Violation::SendForEndedRequest);
    EXPECT_FALSE(guard.mayBegin("r", 2, "a", 110));  // counted again, told once
    EXPECT_EQ(monitor.total(), 2u);
    EXPECT_EQ(told.size(), 1u);
}
TEST_F(Guard, FindsOneAfterTheClientLeft) {
    take("read");
    guard.onClientLeft("r");
    expect(Violation::SendAfterClientLeft);
}
TEST_F(Guard, FindsOneAfterTheDeadline) {
    take("read");
    guard.onDeadline(90);
    expect(Violation::SendAfterDeadline);
}
TEST_F(Guard, FindsOneToANodeThatDrains) {
    take("read");
    guard.onList({ListForm::Delta, {entryOf("a", "z1", Lifecycle::Draining)}});
    expect(Violation::SendToUnusableNode);
}
TEST_F(Guard, FindsARepeatWhileTheFirstIsOut) {
    take("read");
    ASSERT_TRUE(guard.mayBegin("r", 0, "a", 10));
    expect(Violation::RepeatWhileAttemptOpen);
}
TEST_F(Guard, FindsARepeatOfWhatRunsOnlyOnce) {
    take("once");
    attempt(Outcome::ConnectionLost);
    expect(Violation::RepeatOfOnceRequest);
}
TEST_F(Guard, FindsAKeyedRepeatInAnotherGroup) {
    take("keyed");
    attempt(Outcome::NoAnswer);
    expect(Violation::RepeatOutsideKeyGroup, "b");
}
TEST_F(Guard, FindsAKeyedRepeatThatNodesHaveForgotten) {
    take("keyed");
    attempt(Outcome::NoAnswer);
    expect(Violation::RepeatAfterKeyForgotten, "a", 1510);
}
TEST_F(Guard, FindsARepeatOverTheBudget) {
    settings.retryBudgetFloor = 0, settings.retryBudgetShare = 0.5, settings.retryBudgetSpanMs = 1000;
    take("read");
    attempt(Outcome::ServerError);
    expect(Violation::RepeatOverBudget);
}

// Keeps what it is asked to send; the test asks and answers.
class HeldNodes : public NodeTransport {
  public:
    std::uint64_t send(const std::string&, std::shared_ptr<const NodeRequest>, const AttemptLabel&, double,
                       Done, MayBegin mayBegin) override {
        asked = std::move(mayBegin);
        return 1;
    }
    void cancel(std::uint64_t) override {}
    void withdraw(std::uint64_t) override {}
    void probe(const std::string&, Done) override {}
    MayBegin asked;
};

TEST(LastLook, AnAttemptWhoseClientHasGoneDoesNotBegin) {
    for (const bool there : {true, false}) {
        io::Loop loop;
        HeldNodes nodes;
        Host::Dependencies edges;
        edges.nodes = &nodes;
        Host host(settingsOfTest(), 1, 100, edges);
        host.onList({ListForm::Full, {entryOf("a", "z1")}});
        RequestSpec work;
        work.requestClass = "read", work.plan = "open", work.ttlMs = 2000, work.shard = 0;
        work.nodeRequest = std::make_shared<NodeRequest>();
        work.clientWaiting = [there] { return there; };
        host.submit(std::move(work), [](Answer) {});
        ASSERT_TRUE(runLoopUntil([&] { return static_cast<bool>(nodes.asked); }));
        EXPECT_EQ(nodes.asked(), there);
        EXPECT_EQ(host.monitor().total(), 0u);
    }
}

}  // namespace
}  // namespace spokewheel::host
