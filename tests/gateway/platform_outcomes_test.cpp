// What becomes of a request by the effect of its class and the moment at which its first attempt goes wrong:
// a table, walked through the whole scheduler. The disk server does the one thing to the first attempt and
// serves whatever comes after it.
#include <functional>

#include "platform_support.hpp"

namespace spokewheel::platform::testing {
namespace {

enum class Trouble {
    NotProcessed,  // 503 with X-Not-Processed: it never ran
    ErrorStatus,   // 500: it may have run
    Reset,         // the connection breaks after the whole request: it may have run
    CutAnswer,     // in the middle of the answer
    Noise,         // an answer that can't be read
    TooLong,       // an answer said to have 3 GB
    Silence        // nothing until the client's time is over
};

struct Row {
    Trouble trouble;
    const char* name;
    bool mayHaveRun;
};
constexpr Row kRows[] = {{Trouble::NotProcessed, "NotProcessed", false},
                         {Trouble::ErrorStatus, "ErrorStatus", true},
                         {Trouble::Reset, "Reset", true},
                         {Trouble::CutAnswer, "CutAnswer", true},
                         {Trouble::Noise, "Noise", true},
                         {Trouble::TooLong, "TooLong", true},
                         {Trouble::Silence, "Silence", true}};

struct Effects {
    const char* name;
    bool repeatable;    // after it may have run
    bool mayBeRefused;  // after it may have run: trying again is harmless
};
constexpr Effects kEffects[] = {{"read", true, true}, {"once", false, false}, {"keyed", true, false}};

void PrintTo(const Row& row, std::ostream* out) { *out << row.name; }
void PrintTo(const Effects& effects, std::ostream* out) { *out << effects.name; }

class OutcomeTable : public PlatformTest, public ::testing::WithParamInterface<std::tuple<Row, Effects>> {
  protected:
    void SetUp() override {
        PlatformTest::SetUp();
        const std::string end = "\"points\":3.0}],";
        const auto at = settings.find(end);
        ASSERT_NE(at, settings.npos);
        settings.replace(at, end.size(), R"("points":3.0},
            {"name":"keyed","effect":"by_key","group":"zone","memory-span-ms":2000.0,"deadline-ms":2500.0,
             "on-time-ms":500.0,"points":3.0}],)");
        const std::string writes = "\"class-writes\":[false,true]";
        settings.replace(settings.find(writes), writes.size(), "\"class-writes\":[false,true,true]");
    }
    static void make(Trouble trouble, AcceptedConnection& t) {
        const auto good = okResponse("x");
        switch (trouble) {
            case Trouble::NotProcessed:
                return t.send("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
            case Trouble::ErrorStatus:
                return t.send("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
            case Trouble::Reset:
                return t.connection->reset();
            case Trouble::CutAnswer:
                t.send(good.substr(0, good.size() - 1));
                return t.connection->close();
            case Trouble::Noise:
                return t.send("\x01\x02 noise\r\n\r\n");
            case Trouble::TooLong:
                return t.send("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx");
            case Trouble::Silence:
                return;
        }
    }
};

TEST_P(OutcomeTable, EndsAsItsEffectAllows) {
    const auto& [row, effect] = GetParam();
    std::size_t attempts = 0;
    disk->onRequest = [&, trouble = row.trouble](AcceptedConnection& t) {
        if (attempts++ == 0) make(trouble, t);
        else t.send(okResponse("x"));
    };
    startUntilReady();
    auto c = client();
    const bool write = std::string(effect.name) != "read";
    c->send(requestText({.method = write ? "PUT" : "GET",
                         .path = std::string("/") + effect.name,
                         .requestClass = effect.name,
                         .id = "a",
                         .timeout = "1500",
                         .body = write ? "data" : ""}));
    ASSERT_TRUE(runLoopUntil([&] { return c->answered(); }, 4000));
    if (row.mayHaveRun && !effect.repeatable) {
        EXPECT_EQ(attempts, 1u);
        EXPECT_EQ(c->status(), 502);
    } else if (row.trouble == Trouble::Silence) {
        // Its time is over before a repeat could be served; called off early it may be repeated.
        const int refusal = effect.mayBeRefused ? 503 : 502;
        EXPECT_TRUE(c->status() == refusal || (c->status() == 200 && attempts == 2)) << c->status();
    } else {
        EXPECT_EQ(c->status(), 200);
        EXPECT_EQ(attempts, 2u);
    }
    runLoopFor(300);  // and nothing is sent after its end
    EXPECT_LE(attempts, 2u);
}
INSTANTIATE_TEST_SUITE_P(All, OutcomeTable,
                         ::testing::Combine(::testing::ValuesIn(kRows), ::testing::ValuesIn(kEffects)),
                         [](const auto& info) {
                             return std::string(std::get<0>(info.param).name) + "_" +
                                    std::get<1>(info.param).name;
                         });

}  // namespace
}  // namespace spokewheel::platform::testing
