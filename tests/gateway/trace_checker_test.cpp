// For each rule: a run with exactly one violation is reported with its request and host, and the same run
// without it passes.
#include "kit/trace_checker.hpp"

#include <gtest/gtest.h>

namespace spokewheel::kit {
namespace {

using Kind = TraceRecord::Kind;

RuleParameters testParameters() {
    RuleParameters parameters;
    parameters.classes = {{"view", {false, false}}, {"upload", {true, true}}};
    parameters.volumes = {{1, {10, 20, 2}}};
    parameters.coldMs = 2000, parameters.coldUnits = 6, parameters.nodeUnitsPerS = 20;
    parameters.retryBudgetFloor = 2, parameters.retryBudgetShare = 0.1, parameters.retryBudgetSpanMs = 5000;
    return parameters;
}

class RecordList {
  public:
    TraceRecord& add(Kind kind, int ms, const std::string& request = "", const std::string& node = "n1") {
        TraceRecord record;
        record.kind = kind;
        record.timeUs = 1000 * ms;
        record.request = request;
        record.node = node;
        record.host = "0";
        record.target = "/maps/o/" + request;
        record.requestClass = "view";
        record.volume = 1;
        record.units = 1;
        records.push_back(record);
        return records.back();
    }
    TraceRecord& upload(Kind kind, int ms, const std::string& request, std::int64_t key = 7) {
        auto& record = add(kind, ms, request);
        record.requestClass = "upload";
        record.write = true;
        record.key = key;
        if (kind == Kind::Answered) record.detail = "served";
        return record;
    }
    // A served upload: arrival, execution and answer.
    void servedUpload(int ms, const std::string& request, std::int64_t key = 7) {
        upload(Kind::Arrived, ms, request, key);
        upload(Kind::Executed, ms + 5, request, key);
        upload(Kind::Answered, ms + 6, request, key);
    }
    std::vector<TraceRecord> records;
};

// A run in which every rule has records to check and none is violated.
RecordList validRun() {
    RecordList run;
    run.add(Kind::TraceStart, 0).detail = "again";
    run.add(Kind::ClientRequested, 10, "c1").timeToAnswerMs = 100;
    run.add(Kind::ClientAnswered, 90, "c1");
    run.servedUpload(100, "u1");
    run.servedUpload(200, "u2");
    run.add(Kind::Arrived, 300, "r1");
    run.add(Kind::EndedUnanswered, 320, "r1");
    run.add(Kind::Arrived, 400, "r1").attempt = 1;
    run.add(Kind::Answered, 410, "r1").detail = "served";
    run.add(Kind::NodeListed, 500).detail = "draining";
    run.add(Kind::Arrived, 1400, "r2");
    return run;
}
// Expects a violation of this rule alone, by this request and with this text in its detail.
void expectViolation(const RecordList& run, int rule, const std::string& request, const std::string& detail) {
    for (const auto& result : checkRules(run.records, testParameters())) {
        if (result.rule != rule) {
            EXPECT_EQ(result.status, RuleStatus::Kept) << result.name << ": " << result.detail;
            continue;
        }
        EXPECT_EQ(result.status, RuleStatus::Violated) << result.name;
        EXPECT_EQ(result.request, request);
        EXPECT_EQ(result.host, "0");
        EXPECT_NE(result.detail.find(detail), std::string::npos) << result.detail;
    }
}

TEST(Judge, ACalmDayIsKept) {
    EXPECT_TRUE(allKept(checkRules(validRun().records, testParameters())))
        << formatResults(checkRules(validRun().records, testParameters()), 0);
}

TEST(Judge, OneFinalAnswer) {
    auto twice = validRun();
    twice.add(Kind::ClientAnswered, 95, "c1");
    expectViolation(twice, 1, "c1", "answered a second time");
    auto late = validRun();
    late.add(Kind::ClientRequested, 100, "c2").timeToAnswerMs = 100;
    late.add(Kind::ClientAnswered, 300, "c2");
    expectViolation(late, 1, "c2", "200 ms after");
    auto never = validRun();
    never.add(Kind::ClientRequested, 100, "c3").timeToAnswerMs = 100;
    expectViolation(never, 1, "c3", "not answered");
    never.add(Kind::HostKilled, 150);  // its host was killed: the client retries
    EXPECT_TRUE(allKept(checkRules(never.records, testParameters())));
    auto after = validRun();
    after.add(Kind::Arrived, 450, "r1").attempt = 0;
    expectViolation(after, 1, "r1", "after it was served");
}

TEST(Judge, NoDoubleEffect) {
    auto again = validRun();
    again.upload(Kind::Arrived, 600, "u3");
    again.upload(Kind::EndedUnanswered, 610, "u3");
    again.upload(Kind::Arrived, 800, "u3").attempt = 1;
    expectViolation(again, 2, "u3", "may have run");
    auto refused = validRun();
    refused.upload(Kind::Arrived, 600, "u3");
    refused.upload(Kind::Refused, 601, "u3");
    refused.upload(Kind::Arrived, 800, "u3").attempt = 1;
    EXPECT_TRUE(allKept(checkRules(refused.records, testParameters())))
        << formatResults(checkRules(refused.records, testParameters()), 0);
    auto executed = validRun();
    executed.upload(Kind::Executed, 700, "u1");
    expectViolation(executed, 2, "u1", "executed twice");
    auto stored = validRun();
    stored.servedUpload(700, "u4");
    stored.records[stored.records.size() - 2].target = "/maps/o/u1";
    expectViolation(stored, 2, "u4", "that u1 had stored");
}

TEST(Judge, Drains) {
    auto run = validRun();
    run.add(Kind::Arrived, 1600, "r3");
    expectViolation(run, 3, "r3", "1100 ms after it was listed as draining");
    run.add(Kind::NodeListed, 1550).detail = "ready";
    EXPECT_TRUE(allKept(checkRules(run.records, testParameters())));
}

TEST(Judge, ColdNodes) {
    auto run = validRun();
    run.add(Kind::Arrived, 600, "r4").units = 16;
    expectViolation(run, 4, "r4", "units within the overload span at n1");
}

TEST(Judge, OrderPerKey) {
    auto run = validRun();
    run.upload(Kind::Arrived, 103, "u5");
    run.upload(Kind::Answered, 108, "u5");
    expectViolation(run, 5, "u5", "sent while u1 of its key is open");
    auto settling = validRun();
    settling.upload(Kind::Arrived, 600, "u6");
    settling.upload(Kind::EndedUnanswered, 610, "u6");
    settling.servedUpload(650, "u7");
    expectViolation(settling, 5, "u7", "sent within the settle time of its key");
    auto other = validRun();
    other.servedUpload(103, "u8", 8);
    EXPECT_TRUE(allKept(checkRules(other.records, testParameters())));
}

TEST(Judge, AttemptBudget) {
    auto run = validRun();
    run.add(Kind::Arrived, 600, "r1x");
    run.add(Kind::Arrived, 700, "r1x").attempt = 1;
    EXPECT_TRUE(allKept(checkRules(run.records, testParameters())));
    run.add(Kind::Arrived, 800, "r1x").attempt = 2;
    expectViolation(run, 6, "r1x", "3 retries");
}

TEST(Judge, Limits) {
    auto run = validRun();
    run.add(Kind::Arrived, 90, "r5", "n2").units = 23;
    expectViolation(run, 7, "r5", "volume 1 at");
}

TEST(Judge, ARecordThatIsCutOffOrHasGapsIsNotJudgedAsKept) {
    const std::string start = "{\"line\":1,\"us\":5,\"node\":\"n\",\"event\":\"start\"}\n";
    const std::string arrive =
        "{\"line\":2,\"us\":6,\"node\":\"n\",\"event\":\"arrive\",\"method\":\"PUT\",\"target\":\"/a\","
        "\"host\":\"1\",\"attempt\":\"id=q;n=2;class=upload;volume=3;units=4;key=5\"}\n";
    const std::string end = "{\"line\":3,\"us\":7,\"node\":\"n\",\"event\":\"end\"}\n";
    const auto trace = parseTrace(start + arrive + end);
    EXPECT_EQ(trace.error, "");
    ASSERT_EQ(trace.records.size(), 3u);
    const auto& record = trace.records[1];
    EXPECT_EQ(record.request + record.requestClass + record.host, "qupload1");
    EXPECT_EQ(record.attempt + record.volume + record.key, 10);
    EXPECT_EQ(record.units, 4);
    EXPECT_EQ(parseTrace(start + arrive).error, "no end record: the trace is incomplete");
    EXPECT_EQ(parseTrace(start + end).error, "lines missing before line 3");
    EXPECT_NE(parseTrace(start + arrive.substr(0, 40)).error, "");
}

}  // namespace
}  // namespace spokewheel::kit
