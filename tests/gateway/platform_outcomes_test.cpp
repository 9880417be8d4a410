// How a request ends, by the effect of its class and the fault of its first attempt: each combination is
// played through the whole scheduler. The disk server answers the first attempt with the fault and serves all
// later ones.
#include <functional>

#include "platform_support.hpp"

namespace spokewheel::platform::testing {
namespace {

enum class Fault {
    NotProcessed,  // 503 with X-Not-Processed: it never ran
    ErrorStatus,   // 500: it may have run
    Reset,         // the connection breaks after the whole request: it may have run
    CutAnswer,     // the response breaks off
    Noise,         // a response that can't be parsed
    TooLong,       // a response with a Content-Length of 3 GB
    Silence        // no response until the client's time is over
};

struct Row {
    Fault fault;
    const char* name;
    bool mayHaveRun;
};
constexpr Row kRows[] = {{Fault::NotProcessed, "NotProcessed", false},
                         {Fault::ErrorStatus, "ErrorStatus", true},
                         {Fault::Reset, "Reset", true},
                         {Fault::CutAnswer, "CutAnswer", true},
                         {Fault::Noise, "Noise", true},
                         {Fault::TooLong, "TooLong", true},
                         {Fault::Silence, "Silence", true}};

struct Effects {
    const char* name;
    bool repeatable;    // after it may have run
    bool mayBeRefused;  // after it may have run: a retry by the client is harmless
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
    static void inject(Fault fault, AcceptedConnection& t) {
        const auto good = okResponse("x");
        switch (fault) {
            case Fault::NotProcessed:
                return t.send("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
            case Fault::ErrorStatus:
                return t.send("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
            case Fault::Reset:
                return t.connection->reset();
            case Fault::CutAnswer:
                t.send(good.substr(0, good.size() - 1));
                return t.connection->close();
            case Fault::Noise:
                return t.send("\x01\x02 noise\r\n\r\n");
            case Fault::TooLong:
                return t.send("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx");
            case Fault::Silence:
                return;
        }
    }
};

TEST_P(OutcomeTable, EndsAsItsEffectAllows) {
    const auto& [row, effect] = GetParam();
    std::size_t attempts = 0;
    disk->onRequest = [&, fault = row.fault](AcceptedConnection& t) {
        if (attempts++ == 0) inject(fault, t);
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
    } else if (row.fault == Fault::Silence) {
        // Its time is over before a repeat could be served, unless the first attempt was cancelled early.
        const int refusal = effect.mayBeRefused ? 503 : 502;
        EXPECT_TRUE(c->status() == refusal || (c->status() == 200 && attempts == 2)) << c->status();
    } else {
        EXPECT_EQ(c->status(), 200);
        EXPECT_EQ(attempts, 2u);
    }
    runLoopFor(300);  // nothing is sent after the request has ended
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
