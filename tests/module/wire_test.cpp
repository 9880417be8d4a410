#include "wire.hpp"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

namespace {

constexpr const char* kInit =
    "FRAME\t1000.0\n"
    "ENLIST\t3\t5\tclasses.count=1\tclasses.0.name=read\tclasses.0.effect=repeatable\tclasses.0.on-time-ms="
    "500"
    "\tclasses.0.deadline-ms=2500\tcontracts.count=1\tcontracts.0.name=basic\tpeers-total=1\trank=0"
    "\tceilings.send-cap=3\tsomething.new=yes\n"
    "UPDATE\t3\t2\t41\t1\nM\t0\t1\t1\tfast\t-\t10.0.0.1:80\tz\n";

struct Result {
    int code;
    std::string out, err;
};

Result serve(const std::string& input) {
    std::istringstream in(input);
    std::ostringstream out, err;
    const int code = spokewheel::benchlink::serve(in, out, err);
    return {code, out.str(), err.str()};
}

TEST(Wire, ABatchGetsItsActionsAndUnknownSettingsAreIgnored) {
    const auto r =
        serve(std::string(kInit) + "INBOUND\t3\tid-1\tread\tbasic\t77\t2500.0\t9\t2\t0\t1\t0\nFLUSH\n");
    EXPECT_EQ(r.code, 0) << r.err;
    EXPECT_NE(r.out.find("ATTEMPT\t3\tid-1\t10.0.0.1:80\t3500.000\n"), std::string::npos) << r.out;
    EXPECT_EQ(r.out.substr(r.out.size() - 3), "OK\n");
}

TEST(Wire, AnEmptyBatchIsAnswered) { EXPECT_EQ(serve("FRAME\t1.0\nFLUSH\n\n").out, "OK\n"); }

TEST(Wire, AKilledInstanceKeepsNothing) {
    const auto r = serve(std::string(kInit) +
                         "INBOUND\t3\tid-1\tread\tbasic\t7\t2500\t9\t2\t0\t1\t0\n"
                         "KILL\t3\nFLUSH\n");
    EXPECT_EQ(r.code, 0);
    EXPECT_EQ(r.out, "OK\n");
}

TEST(Wire, MalformedInputIsNamedByLineAndField) {
    const struct {
        const char *text, *line, *field;
    } cases[] = {
        {"INBOUND\t3\tid-1\tread\tbasic\t77\tsoon\t9\t2\t0\t1\t0\n", "line 5", "ttl-ms"},
        {"INBOUND\tx\tid-1\n", "line 5", "scheduler"},
        {"VERDICT\t3\tid\tserved\t1\t0\t2\t-\t-\tn\t-\n", "line 5", "terminal"},
        {"VERDICT\t3\tid\tfine\t1\t0\t1\t-\t-\tn\t-\n", "line 5", "verdict"},
        {"MEMO\t3\t1\t!!!!\n", "line 5", "data"},
        {"UPDATE\t3\t1\t4\t1\nFLUSH\n", "line 6", "message"},
        {"NONSENSE\t3\n", "line 5", "message"},
        {"ENLIST\t4\t5\tclasses.count=1\tdomain.class-writes=true,false\n", "line 5", "class-writes"},
        {"ENLIST\t4\t5\trules.extra-share=2\n", "line 5", "extraShare"},
    };
    for (const auto& testCase : cases) {
        const auto result = serve(std::string(kInit) + testCase.text + "FLUSH\n");
        EXPECT_EQ(result.code, 1) << testCase.text;
        EXPECT_NE(result.err.find(testCase.line), std::string::npos) << result.err;
        EXPECT_NE(result.err.find(testCase.field), std::string::npos) << result.err;
    }
}

}  // namespace
