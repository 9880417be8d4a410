// AttemptGuard: for each kind of violation an attempt that must not begin is found, counted and reported
// once, and a sound attempt may begin. Also Host's check directly before the first byte that the client is
// still connected.
#include "host/attempt_guard.hpp"

#include <gtest/gtest.h>

#include "host/host.hpp"
#include "platform_support.hpp"

namespace spokewheel::host {
namespace {

using invariants::Violation;
using platform::testing::runLoopUntil;

Settings testSettings() {
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
NodeEntry makeEntry(const char* id, const char* zone, Lifecycle lifecycle = Lifecycle::Ready) {
    NodeEntry entry;
    entry.node = id, entry.zone = zone, entry.lifecycle = lifecycle, entry.shard = 0;
    return entry;
}

class Guard : public ::testing::Test {
  protected:
    Guard() {
        monitor.reportTo([this](Violation violation, const std::string& request, const std::string&) {
            reported.push_back(std::string(nameOf(violation)) + " " + request);
        });
        guard.onList({ListForm::Full, {makeEntry("a", "z1"), makeEntry("b", "z2")}});
    }
    void submit(const char* requestClass) { guard.onSubmitted("r", requestClass, 2500, 0); }
    void attempt(Outcome outcome, double at = 10) {
        ASSERT_TRUE(guard.mayBegin("r", 0, "a", at));
        guard.onEnded("r", 0, outcome);
    }
    // The next attempt is forbidden, for exactly this reason.
    void expect(Violation violation, const char* node = "a", double at = 100) {
        EXPECT_FALSE(guard.mayBegin("r", 1, node, at));
        EXPECT_EQ(monitor.count(violation), 1u) << nameOf(violation);
        EXPECT_EQ(monitor.total(), 1u);
        EXPECT_EQ(reported, std::vector<std::string>{std::string(nameOf(violation)) + " r"});
    }
    Settings settings = testSettings();
    invariants::Monitor monitor;
    AttemptGuard guard{settings, monitor};
    std::vector<std::string> reported;
};

TEST_F(Guard, LetsSoundAttemptsBegin) {
    submit("once");
    attempt(Outcome::Rejected);
    EXPECT_TRUE(guard.mayBegin("r", 1, "b", 200));
    EXPECT_EQ(monitor.total(), 0u);
}
TEST_F(Guard, FindsOneForARequestThatHasEnded) {
    submit("read");
    guard.onAnswered("r");
    expect(Violation::SendForEndedRequest);
    EXPECT_FALSE(guard.mayBegin("r", 2, "a", 110));  // counted again, but reported only the first time
    EXPECT_EQ(monitor.total(), 2u);
    EXPECT_EQ(reported.size(), 1u);
}
TEST_F(Guard, FindsOneAfterTheClientLeft) {
    submit("read");
    guard.onClientLeft("r");
    expect(Violation::SendAfterClientLeft);
}
TEST_F(Guard, FindsOneAfterTheDeadline) {
    submit("read");
    guard.onDeadline(90);
    expect(Violation::SendAfterDeadline);
}
TEST_F(Guard, FindsOneToANodeThatDrains) {
    submit("read");
    guard.onList({ListForm::Delta, {makeEntry("a", "z1", Lifecycle::Draining)}});
    expect(Violation::SendToUnusableNode);
}
TEST_F(Guard, FindsARepeatWhileTheFirstIsOut) {
    submit("read");
    ASSERT_TRUE(guard.mayBegin("r", 0, "a", 10));
    expect(Violation::RepeatWhileAttemptOpen);
}
TEST_F(Guard, FindsARepeatOfWhatRunsOnlyOnce) {
    submit("once");
    attempt(Outcome::ConnectionLost);
    expect(Violation::RepeatOfOnceRequest);
}
TEST_F(Guard, FindsAKeyedRepeatInAnotherGroup) {
    submit("keyed");
    attempt(Outcome::NoAnswer);
    expect(Violation::RepeatOutsideKeyGroup, "b");
}
TEST_F(Guard, FindsAKeyedRepeatThatNodesHaveForgotten) {
    submit("keyed");
    attempt(Outcome::NoAnswer);
    expect(Violation::RepeatAfterKeyForgotten, "a", 1510);
}
TEST_F(Guard, FindsARepeatOverTheBudget) {
    settings.retryBudgetFloor = 0, settings.retryBudgetShare = 0.5, settings.retryBudgetSpanMs = 1000;
    submit("read");
    attempt(Outcome::ServerError);
    expect(Violation::RepeatOverBudget);
}

// Keeps the `mayBegin` of the attempt that it is given, for the test to call.
class FakeTransport : public NodeTransport {
  public:
    std::uint64_t send(const std::string&, std::shared_ptr<const NodeRequest>, const AttemptLabel&, double,
                       Done, MayBegin mayBegin) override {
        mayBeginOfAttempt = std::move(mayBegin);
        return 1;
    }
    void cancel(std::uint64_t) override {}
    void withdraw(std::uint64_t) override {}
    void probe(const std::string&, Done) override {}
    MayBegin mayBeginOfAttempt;
};

TEST(LastLook, AnAttemptWhoseClientHasGoneDoesNotBegin) {
    for (const bool connected : {true, false}) {
        io::Loop loop;
        FakeTransport nodes;
        Host::Dependencies dependencies;
        dependencies.nodes = &nodes;
        Host host(testSettings(), 1, 100, dependencies);
        host.onList({ListForm::Full, {makeEntry("a", "z1")}});
        RequestSpec spec;
        spec.requestClass = "read", spec.plan = "open", spec.ttlMs = 2000, spec.shard = 0;
        spec.nodeRequest = std::make_shared<NodeRequest>();
        spec.clientWaiting = [connected] { return connected; };
        host.submit(std::move(spec), [](Answer) {});
        ASSERT_TRUE(runLoopUntil([&] { return static_cast<bool>(nodes.mayBeginOfAttempt); }));
        EXPECT_EQ(nodes.mayBeginOfAttempt(), connected);
        EXPECT_EQ(host.monitor().total(), 0u);
    }
}

}  // namespace
}  // namespace spokewheel::host
