// Tests of the record checker of the soak test: for each rule, a record with one violation is reported, and
// the same record without it passes.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "kit/soak/record_checker.hpp"
#include "kit/soak/setting.hpp"

namespace spokewheel::soak {
namespace {

constexpr int kHost = 3;

Event event(EventKind kind, double at, const std::string& request = {}) {
    Event e;
    e.kind = kind;
    e.at = at;
    e.scheduler = kHost;
    e.process = 1;
    e.request = request;
    return e;
}
Event sent(double at, const std::string& request, const std::string& requestClass = "read") {
    auto e = event(EventKind::RequestSent, at, request);
    e.requestClass = requestClass;
    e.timeoutMs = 900;
    return e;
}
Event answered(double at, const std::string& request, int status = 200) {
    auto e = event(EventKind::Answered, at, request);
    e.status = status;
    e.genuine = status == 200;
    return e;
}
// An attempt whose first and last byte arrive at the same time.
struct AttemptSpec {
    std::string request = "", requestClass = "read", server = "s-1", zone = "a", key = "k", volume = "";
    int number = 1;
    double units = 2, timeoutMs = 400;
};
void attempt(std::vector<Event>& record, double at, const AttemptSpec& spec,
             const char* detail = "answered") {
    for (const auto kind : {EventKind::AttemptBegan, EventKind::AttemptWhole, EventKind::AttemptEnded}) {
        auto e = event(kind, kind == EventKind::AttemptEnded ? at + 20 : at, spec.request);
        e.requestClass = spec.requestClass, e.server = spec.server, e.zone = spec.zone, e.key = spec.key;
        e.volume = spec.volume, e.attempt = spec.number, e.units = spec.units, e.timeoutMs = spec.timeoutMs;
        e.detail = detail;
        record.push_back(e);
    }
}
// One process that gets ready and is stopped at the end, and one request that is served.
std::vector<Event> validRecord() {
    std::vector<Event> record = {event(EventKind::ProcessStarted, -500), event(EventKind::ProcessReady, -400),
                                 sent(0, "r1")};
    attempt(record, 10, {.request = "r1"});
    record.push_back(answered(40, "r1"));
    record.push_back(event(EventKind::StopRequested, 20000));
    record.push_back(event(EventKind::Exited, 21000));
    return record;
}

class SoakJudge : public ::testing::Test {
  protected:
    // Expects exactly one violation, of this rule, with the request and the scheduler.
    void expectViolation(Rule rule, const std::string& request) {
        const auto violations = checkRecord(record, defaultRequirements());
        ASSERT_EQ(violations.size(), 1u) << (violations.empty() ? "none" : violations[1].detail);
        EXPECT_EQ(nameOf(violations[0].rule), std::string(nameOf(rule)));
        EXPECT_EQ(violations[0].request, request);
        EXPECT_EQ(violations[0].scheduler, kHost);
        EXPECT_FALSE(violations[0].detail.empty());
    }
    void expectServiceViolation(const std::string& name) {
        const auto violations = checkRecord(record, defaultRequirements());
        ASSERT_EQ(violations.size(), 1u);
        EXPECT_EQ(nameOf(violations[0].rule), std::string("service"));
        EXPECT_EQ(violations[0].detail.find("class " + name + ": "), 0u) << violations[0].detail;
    }
    void expectNoViolation() {
        for (const auto& violation : checkRecord(record, defaultRequirements()))
            ADD_FAILURE() << nameOf(violation.rule) << ": " << violation.detail;
    }
    std::vector<Event> record = validRecord();
};

TEST_F(SoakJudge, ASoundRecordPasses) { expectNoViolation(); }

TEST_F(SoakJudge, FindsARequestWithoutAnAnswer) {
    record.push_back(sent(100, "r2"));
    expectViolation(Rule::OneAnswer, "r2");
    auto killed = event(EventKind::Killed, 500);
    record.push_back(killed);
    record.pop_back();
    record.push_back(answered(900, "r2", 503));
    expectNoViolation();
}
TEST_F(SoakJudge, FindsAnAnswerThatIsLateSecondOrNotGenuine) {
    record.push_back(answered(60, "r1"));
    expectViolation(Rule::OneAnswer, "r1");
    record = validRecord();
    record.push_back(sent(100, "r2"));
    record.push_back(answered(100 + 900 + 560, "r2", 503));
    expectViolation(Rule::OneAnswer, "r2");
    record.back().at = 100 + 900 + 540;
    expectNoViolation();
    record.back() = answered(200, "r2");
    record.back().genuine = false;
    expectViolation(Rule::OneAnswer, "r2");
}
TEST_F(SoakJudge, FindsARequestThatWasReadAndDropped) {
    record.push_back(sent(100, "r2"));
    record.push_back(event(EventKind::ConnectionEnded, 300, "r2"));
    expectNoViolation();  // not read: the client may retry
    record.back().read = true;
    expectViolation(Rule::OneAnswer, "r2");
}
// Guards against an answer that is cut for a newcomer (review/9): it used to be excused as a broken one.
TEST_F(SoakJudge, FindsAnAnswerThatTheSchedulerCut) {
    record.push_back(sent(100, "r2"));
    record.push_back(event(EventKind::AnswerBroken, 300, "r2"));
    expectViolation(Rule::OneAnswer, "r2");
    record.back().at = 100 + 900 + 560;  // its time was over
    expectNoViolation();
    record = validRecord();
    record.resize(record.size() - 2);  // its process is killed and not stopped
    record.push_back(sent(100, "r2"));
    record.push_back(event(EventKind::AnswerBroken, 300, "r2"));
    record.push_back(event(EventKind::Killed, 310));
    expectNoViolation();
}
TEST_F(SoakJudge, FindsAnAttemptAfterTheEnd) {
    attempt(record, 95, {.request = "r1", .number = 2});
    expectViolation(Rule::OneAnswer, "r1");
}
TEST_F(SoakJudge, FindsADoubleEffect) {
    record.push_back(sent(100, "r2", "once"));
    record.push_back(answered(400, "r2", 502));
    attempt(record, 110, {.request = "r2", .requestClass = "once", .number = 2}, "cut");
    expectNoViolation();
    attempt(record, 200, {.request = "r2", .requestClass = "once", .number = 3});
    expectViolation(Rule::NoDoubleEffect, "r2");
    // If every earlier attempt is known not to have run, it may be sent again.
    auto refused = event(EventKind::NotExecuted, 111, "r2");
    refused.attempt = 2;
    record.push_back(refused);
    expectNoViolation();
}
TEST_F(SoakJudge, FindsARefusalOfWhatMayHaveRun) {
    record.push_back(sent(100, "r2", "once"));
    attempt(record, 110, {.request = "r2", .requestClass = "once", .number = 2}, "cut");
    record.push_back(answered(400, "r2", 503));
    record.back().requestClass = "once";
    expectViolation(Rule::NoDoubleEffect, "r2");
}
TEST_F(SoakJudge, FindsAKeyedRepeatInAnotherZoneOrTooLate) {
    const AttemptSpec first{.request = "r2", .requestClass = "keyed", .number = 2, .timeoutMs = 100};
    const auto base = [&] {
        record = validRecord();
        record.push_back(sent(100, "r2", "keyed"));
        record.push_back(answered(990, "r2", 502));
        attempt(record, 110, first, "cut");
    };
    auto repeat = first;
    repeat.number = 3;
    base();
    attempt(record, 700, repeat);
    expectNoViolation();
    base();
    attempt(record, 110 + 700 + 60, repeat);
    expectViolation(Rule::NoDoubleEffect, "r2");
    base();
    repeat.zone = "b";
    attempt(record, 700, repeat);
    expectViolation(Rule::NoDoubleEffect, "r2");
}
TEST_F(SoakJudge, FindsAnAttemptAtADrainedServer) {
    auto notified = event(EventKind::Notified, 100);
    notified.server = "s-1";
    record.push_back(notified);
    record.push_back(sent(2000, "r2"));
    record.push_back(answered(2400, "r2"));
    attempt(record, 2140, {.request = "r2", .number = 2});
    expectNoViolation();
    record = validRecord();
    record.push_back(notified);
    record.push_back(sent(2000, "r2"));
    record.push_back(answered(2400, "r2"));
    attempt(record, 2160, {.request = "r2", .number = 2});
    expectViolation(Rule::Drains, "r2");
}
TEST_F(SoakJudge, FindsAColdServerUnderTooMuch) {
    // N = 4.5: at first 4.5 + 3 * 2.12 + 3 = 13.9 requests of mean size may arrive within the overload span.
    const auto coldRequests = [&](int count) {
        record = validRecord();
        auto started = event(EventKind::ServerStarted, 100);
        started.server = "s-9";
        record.push_back(started);
        for (int i = 0; i < count; ++i) {
            const auto id = "c" + std::to_string(i);
            record.push_back(sent(105, id));
            record.push_back(answered(200, id));
            attempt(record, 110 + i, {.request = id, .server = "s-9", .number = 100 + i});
            for (auto at = record.end() - 3; at != record.end(); ++at) at->cold = true;
        }
    };
    coldRequests(13);
    expectNoViolation();
    coldRequests(14);
    expectViolation(Rule::SlowStart, "c13");
}
TEST_F(SoakJudge, FindsAKeyOutOfOrderAndOneThatDoesNotRest) {
    const AttemptSpec first{.request = "r2", .requestClass = "ordered", .number = 2};
    const auto base = [&](const char* end) {
        record = validRecord();
        for (const auto* id : {"r2", "r3"}) {
            record.push_back(sent(100, id, "ordered"));
            record.push_back(answered(500, id, 502));
        }
        attempt(record, 110, first, end);
    };
    auto second = first;
    second.request = "r3", second.number = 3;
    base("answered");
    attempt(record, 131, second);
    expectNoViolation();
    base("answered");
    attempt(record, 120, second);
    expectViolation(Rule::OrderPerKey, "r3");
    base("cut");  // ends at 130: the key is paused until 250, less the tolerance
    attempt(record, 190, second);
    expectViolation(Rule::OrderPerKey, "r3");
}
TEST_F(SoakJudge, FindsRepeatsOverTheBudget) {
    // Five requests in the span allow 4 + 0.2 * 5 = 5 repeated attempts.
    const auto repeats = [&](int count) {
        record = validRecord();
        for (int i = 0; i < 4; ++i) {
            const auto id = "q" + std::to_string(i);
            record.push_back(sent(100, id));
            record.push_back(answered(900, id));
            attempt(record, 110, {.request = id, .number = 10 + i});
        }
        for (int i = 0; i < count; ++i)
            attempt(record, 200 + i, {.request = "q" + std::to_string(i % 4), .number = 20 + i});
    };
    repeats(5);
    expectNoViolation();
    repeats(6);
    expectViolation(Rule::RetryBudget, "q1");
}
TEST_F(SoakJudge, FindsALimitPassed) {
    // Burst 45, slack 4 and 0.15 s at 30 units per second allow 53.5 units at one instant.
    const auto drawUnits = [&](int count) {
        record = validRecord();
        for (int i = 0; i < count; ++i) {
            const auto id = "v" + std::to_string(i);
            record.push_back(sent(100, id));
            record.push_back(answered(300, id));
            attempt(record, 110, {.request = id, .volume = "f1", .number = 30 + i});
        }
    };
    drawUnits(26);
    expectNoViolation();
    drawUnits(27);
    expectViolation(Rule::Limits, "v26");
}
TEST_F(SoakJudge, FindsAnAttemptAfterItsClientLeft) {
    record.push_back(sent(100, "r2"));
    record.push_back(event(EventKind::ClientLeft, 200, "r2"));
    attempt(record, 340, {.request = "r2", .number = 2});
    expectNoViolation();
    attempt(record, 360, {.request = "r2", .number = 3});
    expectViolation(Rule::ClientGone, "r2");
}
TEST_F(SoakJudge, FindsATimeoutBeyondTheClients) {
    record.push_back(sent(100, "r2"));
    record.push_back(answered(900, "r2"));
    attempt(record, 600, {.request = "r2", .number = 2, .timeoutMs = 590});
    expectNoViolation();
    attempt(record, 600, {.request = "r2", .number = 3, .timeoutMs = 610});
    expectViolation(Rule::TimeoutPassedOn, "r2");
}
TEST_F(SoakJudge, FindsAnUnsoundRequestThatIsPassedOn) {
    auto unsound = event(EventKind::Malformed, 100, "r2");
    unsound.connection = 77;
    record.push_back(unsound);
    auto ended = event(EventKind::MalformedEnded, 140);
    ended.connection = 77;
    record.push_back(ended);
    expectNoViolation();
    attempt(record, 120, {.request = "r2", .number = 2});
    expectViolation(Rule::Malformed, "r2");
}
TEST_F(SoakJudge, FindsAMalformedClientLeftAlone) {
    auto malformed = event(EventKind::Malformed, 100);
    malformed.connection = 7;
    record.push_back(malformed);
    expectViolation(Rule::Malformed, "");
    auto ended = event(EventKind::MalformedEnded, 3140);
    ended.connection = 7;
    record.push_back(ended);
    expectNoViolation();
    record.back().at = 3160;
    expectViolation(Rule::Malformed, "");
}
TEST_F(SoakJudge, FindsAStartThatTakesTooLongAndACrash) {
    auto late = event(EventKind::ProcessStarted, 0);
    late.process = 2;
    record.push_back(late);
    expectViolation(Rule::Starts, "");
    record = validRecord();
    record.back().status = 139;
    expectViolation(Rule::Starts, "");
}
// A request that is open when a planned stop ends in a kill is lost; one that is open at a kill without a
// stop request is not counted.
TEST_F(SoakJudge, FindsWhatThePlannedKillLeavesUnanswered) {
    record.pop_back();
    record.push_back(sent(21000, "r2"));
    record.push_back(event(EventKind::Killed, 21900));
    record.push_back(event(EventKind::ProcessStarted, 30000));
    record.back().process = 2;
    record.push_back(event(EventKind::ProcessReady, 30100));
    record.back().process = 2;
    expectViolation(Rule::OneAnswer, "r2");
    auto ended = event(EventKind::ConnectionEnded, 21900, "r2");
    record.push_back(ended);  // not read: the client may retry
    expectNoViolation();
    record.back().read = true;
    expectViolation(Rule::OneAnswer, "r2");
    record.erase(std::find_if(record.begin(), record.end(),
                              [](const Event& e) { return e.kind == EventKind::StopRequested; }));
    expectNoViolation();  // killed without a stop request
}
// A process that is stopped before it handles signals may be ended by SIGTERM; a ready one must not be.
TEST_F(SoakJudge, FindsAProcessThatIsEndedByItsStop) {
    record.back().status = 143;
    expectViolation(Rule::Starts, "");
    record = {event(EventKind::ProcessStarted, -500), event(EventKind::StopRequested, -480),
              event(EventKind::Exited, -470)};
    record.back().status = 143;  // it was never ready
    expectNoViolation();
}
// A third of the requests that healthy servers could have served has to be served, in each class.
TEST_F(SoakJudge, FindsASchedulerThatRefusesNearlyAll) {
    const auto recordWith = [&](int served, const std::vector<Event>& states) {
        record = validRecord();
        for (const auto& state : states) record.push_back(state);
        for (int i = 0; i < 90; ++i) {
            const auto id = "w" + std::to_string(i);
            auto request = sent(100 + i, id);
            request.cell = 2;
            record.push_back(request);
            record.push_back(answered(500 + i, id, i < served ? 200 : 503));
        }
    };
    recordWith(30, {});
    expectNoViolation();
    recordWith(29, {});
    expectServiceViolation("read");
    // Nothing is required while the cell or the scheduler's environment is impaired.
    auto cell = event(EventKind::CellState, 50);
    cell.server = "2";
    recordWith(0, {cell});
    expectNoViolation();
    auto environment = event(EventKind::SchedulerState, 50);
    recordWith(0, {environment});
    expectNoViolation();
    auto healthyAgain = cell;
    healthyAgain.at = 90;
    healthyAgain.status = 1;
    recordWith(29, {cell, healthyAgain});
    expectServiceViolation("read");
    auto otherCell = cell;
    otherCell.server = "3";
    recordWith(29, {otherCell});
    expectServiceViolation("read");
}
// A volume has one bucket over all processes of a scheduler: here each of two draws as much as it holds.
TEST_F(SoakJudge, FindsALimitPassedByTwoLives) {
    auto requirements = defaultRequirements();
    requirements.volumes["v"] = {10, 40, 4};
    const auto check = [&](int unitsOfSecondProcess) {
        record = validRecord();
        const auto sendUnits = [&](double from, int units, int incarnation) {
            for (int i = 0; i < units; ++i) {
                const auto id = "l" + std::to_string(incarnation) + "." + std::to_string(i);
                record.push_back(sent(from, id));
                record.back().process = incarnation;
                const auto first = record.size();
                attempt(record, from + i, {.request = id, .volume = "v", .units = 1});
                for (std::size_t k = first; k < record.size(); ++k) record[k].process = incarnation;
                record.push_back(answered(from + 200, id));
                record.back().process = incarnation;
            }
        };
        sendUnits(100, 40, 1);
        for (auto& e : record)
            if (e.kind == EventKind::StopRequested) e.at = 900;
            else if (e.kind == EventKind::Exited) e.at = 950;
        record.push_back(event(EventKind::ProcessStarted, 1000));
        record.back().process = 2;
        record.push_back(event(EventKind::ProcessReady, 1050));
        record.back().process = 2;
        sendUnits(1100, unitsOfSecondProcess, 2);
        record.push_back(event(EventKind::StopRequested, 20000));
        record.back().process = 2;
        record.push_back(event(EventKind::Exited, 21000));
        record.back().process = 2;
        return checkRecord(record, requirements);
    };
    EXPECT_TRUE(check(14).empty());
    const auto violations = check(18);
    ASSERT_FALSE(violations.empty());
    for (const auto& violation : violations) EXPECT_EQ(violation.rule, Rule::Limits) << violation.detail;
}

TEST_F(SoakJudge, FindsAVolumeThatIsStarvedWithinItsLimit) {
    auto requirements = defaultRequirements();
    requirements.volumes["v"] = {20, 40, 4, 1};
    const auto check = [&](int everyNthServed) {
        record = validRecord();
        for (int i = 0; i < 200; ++i) {  // 40 units per second for 5 s
            const double at = 25.0 * i;
            const auto id = "v" + std::to_string(i);
            auto request = sent(at, id);
            request.cell = 2;
            request.limited = true;
            request.volume = "v";
            request.units = 1;
            record.push_back(request);
            const bool served = i % everyNthServed == 0;
            if (served) attempt(record, at + 5, {.request = id, .volume = "v", .units = 1});
            record.push_back(answered(at + 30, id, served ? 200 : 503));
        }
        return checkRecord(record, requirements);
    };
    EXPECT_TRUE(check(5).empty());  // 40 of the 100 that the limit allows
    const auto violations = check(7);
    ASSERT_EQ(violations.size(), 1u);
    EXPECT_EQ(violations[0].rule, Rule::Service);
    EXPECT_EQ(violations[0].detail.find("volume v: "), 0u) << violations[0].detail;
}

TEST_F(SoakJudge, FindsAViolatedInvariant) {
    record.push_back(event(EventKind::Violation, 100));
    record.back().detail = "kind";
    expectViolation(Rule::Invariants, "");
}

// Settings depend on the seed alone, and every drawn value differs between seeds.
TEST(SoakSetting, IsDrawnBySeed) {
    std::set<double> deadlines, coldTimes;
    std::set<std::size_t> sockets;
    std::set<bool> peers;
    int keyed = 0, once = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const auto settings = drawSettings(seed);
        EXPECT_EQ(settings.summary(), drawSettings(seed).summary());
        for (const auto& requestClass : settings.classes) {
            EXPECT_FALSE(requestClass.semantics.once && requestClass.semantics.byKey);
            EXPECT_EQ(requestClass.semantics.byKey, requestClass.semantics.keyRetentionMs > 0);
            deadlines.insert(requestClass.deadlineMs);
            keyed += requestClass.semantics.byKey;
            once += requestClass.semantics.once;
        }
        EXPECT_GE(settings.coldUnits, 2 * settings.meanUnits);
        EXPECT_EQ(settings.killAfterMs(), std::min(settings.longestDeadlineMs(), 3000.0) + 700);
        coldTimes.insert(settings.coldMs);
        sockets.insert(settings.sockets);
        peers.insert(settings.peers);
    }
    EXPECT_EQ(*deadlines.begin(), 300);
    EXPECT_GT(*deadlines.rbegin(), 3000);
    EXPECT_GT(coldTimes.size(), 2u);
    EXPECT_GT(sockets.size(), 2u);
    EXPECT_EQ(peers.size(), 2u);
    EXPECT_GT(keyed, 100);
    EXPECT_GT(once, 100);
}

}  // namespace
}  // namespace spokewheel::soak
