// The judge, judged: for each rule a record with exactly one planted breach is found and named, and the same
// record without it passes.
#include <gtest/gtest.h>

#include "kit/trace_checker.hpp"

namespace spokewheel::kit {
namespace {

using Kind = TraceRecord::Kind;

RuleParameters figures() {
    RuleParameters f;
    f.classes = {{"view", {false, false}}, {"upload", {true, true}}};
    f.volumes = {{1, {10, 20, 2}}};
    f.coldMs = 2000, f.coldUnits = 6, f.nodeUnitsPerS = 20;
    f.extraFloor = 2, f.extraShare = 0.1, f.extraSpanMs = 5000;
    return f;
}

class Story {
  public:
    TraceRecord& add(Kind kind, int ms, const std::string& request = "", const std::string& node = "n1") {
        TraceRecord r;
        r.kind = kind;
        r.us = 1000 * ms;
        r.request = request;
        r.node = node;
        r.host = "0";
        r.target = "/maps/o/" + request;
        r.requestClass = "view";
        r.volume = 1;
        r.units = 1;
        all.push_back(r);
        return all.back();
    }
    TraceRecord& upload(Kind kind, int ms, const std::string& request, std::int64_t key = 7) {
        auto& r = add(kind, ms, request);
        r.requestClass = "upload";
        r.write = true;
        r.key = key;
        if (kind == Kind::Answer) r.words = "served";
        return r;
    }
    // An upload from arrival to answer.
    void whole(int ms, const std::string& request, std::int64_t key = 7) {
        upload(Kind::Arrive, ms, request, key);
        upload(Kind::Execute, ms + 5, request, key);
        upload(Kind::Answer, ms + 6, request, key);
    }
    std::vector<TraceRecord> all;
};

// A day on which each rule has something to look at and none is broken.
Story calm() {
    Story s;
    s.add(Kind::Start, 0).words = "again";
    s.add(Kind::Took, 10, "c1").withinMs = 100;
    s.add(Kind::Ended, 90, "c1");
    s.whole(100, "u1");
    s.whole(200, "u2");
    s.add(Kind::Arrive, 300, "r1");
    s.add(Kind::Quiet, 320, "r1");
    s.add(Kind::Arrive, 400, "r1").attempt = 1;
    s.add(Kind::Answer, 410, "r1").words = "served";
    s.add(Kind::Listed, 500).words = "draining";
    s.add(Kind::Arrive, 1400, "r2");
    return s;
}
void expect(const Story& s, int rule, const std::string& request, const std::string& words) {
    for (const auto& v : checkRules(s.all, figures())) {
        if (v.rule != rule) {
            EXPECT_EQ(v.status, RuleStatus::Kept) << v.name << ": " << v.words;
            continue;
        }
        EXPECT_EQ(v.status, RuleStatus::Violated) << v.name;
        EXPECT_EQ(v.request, request);
        EXPECT_EQ(v.host, "0");
        EXPECT_NE(v.words.find(words), std::string::npos) << v.words;
    }
}

TEST(Judge, ACalmDayIsKept) {
    EXPECT_TRUE(allKept(checkRules(calm().all, figures()))) << tell(checkRules(calm().all, figures()), 0);
}

TEST(Judge, OneFinalAnswer) {
    auto twice = calm();
    twice.add(Kind::Ended, 95, "c1");
    expect(twice, 1, "c1", "a second end");
    auto late = calm();
    late.add(Kind::Took, 100, "c2").withinMs = 100;
    late.add(Kind::Ended, 300, "c2");
    expect(late, 1, "c2", "200 ms after");
    auto never = calm();
    never.add(Kind::Took, 100, "c3").withinMs = 100;
    expect(never, 1, "c3", "no end");
    never.add(Kind::Killed, 150);  // with its host: the client's to retry
    EXPECT_TRUE(allKept(checkRules(never.all, figures())));
    auto after = calm();
    after.add(Kind::Arrive, 450, "r1").attempt = 0;
    expect(after, 1, "r1", "after it was served");
}

TEST(Judge, NoDoubleEffect) {
    auto again = calm();
    again.upload(Kind::Arrive, 600, "u3");
    again.upload(Kind::Quiet, 610, "u3");
    again.upload(Kind::Arrive, 800, "u3").attempt = 1;
    expect(again, 2, "u3", "may have run");
    auto refused = calm();
    refused.upload(Kind::Arrive, 600, "u3");
    refused.upload(Kind::Refuse, 601, "u3");
    refused.upload(Kind::Arrive, 800, "u3").attempt = 1;
    EXPECT_TRUE(allKept(checkRules(refused.all, figures()))) << tell(checkRules(refused.all, figures()), 0);
    auto executed = calm();
    executed.upload(Kind::Execute, 700, "u1");
    expect(executed, 2, "u1", "executed twice");
    auto stored = calm();
    stored.whole(700, "u4");
    stored.all[stored.all.size() - 2].target = "/maps/o/u1";
    expect(stored, 2, "u4", "that u1 had stored");
}

TEST(Judge, Drains) {
    auto s = calm();
    s.add(Kind::Arrive, 1600, "r3");
    expect(s, 3, "r3", "1100 ms after it was told to be draining");
    s.add(Kind::Listed, 1550).words = "ready";
    EXPECT_TRUE(allKept(checkRules(s.all, figures())));
}

TEST(Judge, ColdNodes) {
    auto s = calm();
    s.add(Kind::Arrive, 600, "r4").units = 16;
    expect(s, 4, "r4", "units within the fall time at n1");
}

TEST(Judge, OrderPerKey) {
    auto s = calm();
    s.upload(Kind::Arrive, 103, "u5");
    s.upload(Kind::Answer, 108, "u5");
    expect(s, 5, "u5", "while u1 of its key is open");
    auto rests = calm();
    rests.upload(Kind::Arrive, 600, "u6");
    rests.upload(Kind::Quiet, 610, "u6");
    rests.whole(650, "u7");
    expect(rests, 5, "u7", "rests");
    auto other = calm();
    other.whole(103, "u8", 8);
    EXPECT_TRUE(allKept(checkRules(other.all, figures())));
}

TEST(Judge, AttemptBudget) {
    auto s = calm();
    s.add(Kind::Arrive, 600, "r1x");
    s.add(Kind::Arrive, 700, "r1x").attempt = 1;
    EXPECT_TRUE(allKept(checkRules(s.all, figures())));
    s.add(Kind::Arrive, 800, "r1x").attempt = 2;
    expect(s, 6, "r1x", "3 further attempts");
}

TEST(Judge, Limits) {
    auto s = calm();
    s.add(Kind::Arrive, 90, "r5", "n2").units = 23;
    expect(s, 7, "r5", "volume 1 at");
}

TEST(Judge, ARecordThatIsCutOffOrHasGapsIsNotJudgedAsKept) {
    const std::string start = "{\"line\":1,\"us\":5,\"node\":\"n\",\"event\":\"start\"}\n";
    const std::string arrive =
        "{\"line\":2,\"us\":6,\"node\":\"n\",\"event\":\"arrive\",\"method\":\"PUT\",\"target\":\"/a\","
        "\"host\":\"1\",\"attempt\":\"id=q;n=2;class=upload;volume=3;units=4;key=5\"}\n";
    const std::string end = "{\"line\":3,\"us\":7,\"node\":\"n\",\"event\":\"end\"}\n";
    const auto t = parseTrace(start + arrive + end);
    EXPECT_EQ(t.fault, "");
    ASSERT_EQ(t.records.size(), 3u);
    const auto& r = t.records[1];
    EXPECT_EQ(r.request + r.requestClass + r.host, "qupload1");
    EXPECT_EQ(r.attempt + r.volume + r.key, 10);
    EXPECT_EQ(r.units, 4);
    EXPECT_EQ(parseTrace(start + arrive).fault, "it was cut off");
    EXPECT_EQ(parseTrace(start + end).fault, "a gap before line 3");
    EXPECT_NE(parseTrace(start + arrive.substr(0, 40)).fault, "");
}

}  // namespace
}  // namespace spokewheel::kit
