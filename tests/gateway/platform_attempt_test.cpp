// What happens to an attempt between its decision and its first byte, and when its request or response is
// cut. In the HeldDial tests the disk server does not accept the connection until the client has left, the
// node drains, or the like.
#include "platform/dialect.hpp"
#include "platform_support.hpp"
#include "stalled_listener.hpp"

namespace spokewheel::platform::testing {
namespace {

class HeldDial : public PlatformTest {
  protected:
    void SetUp() override {
        PlatformTest::SetUp();
        // The kernel repeats its SYN after 1 s and 3 s: the connection time-out has to be longer than the
        // first.
        const std::string shortDial = "\"dial-timeout-ms\":250.0";
        settings.replace(settings.find(shortDial), shortDial.size(), "\"dial-timeout-ms\":2400.0");
        known = listJson(41, true, memberJson("s-1", listener.address(), 0));
        startUntilReady();
    }
    void ask(Client& c, const std::string& id, const std::string& kind = "read") {
        c.send(requestText({.method = kind == "read" ? "GET" : "PUT",
                            .path = "/" + kind,
                            .requestClass = kind,
                            .id = id,
                            .timeout = "2400"}));
        // A later request on another connection has been answered: this one has been read and its connection
        // is being made.
        auto probe = client();
        probe->send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        ASSERT_TRUE(runLoopUntil([&] { return probe->answered(); }));
        runLoopFor(20);
    }
    bool opened(const std::string& id) {
        return runLoopUntil([&] {
            listener.acceptConnections();
            return listener.received(id);
        });
    }
    StalledListener listener;
};

// Guards against sending an attempt whose client left before its connection was made.
TEST_F(HeldDial, AClientThatLeavesInTheDialIsNotServed) {
    auto gone = client(), stays = client();
    ask(*gone, "gone");
    ask(*stays, "stays");
    gone.reset();
    runLoopFor(20);
    ASSERT_TRUE(opened("stays"));
    runLoopFor(50);
    listener.acceptConnections();
    EXPECT_FALSE(listener.received("gone"));
    listener.answerAll(okResponse("x"));
    ASSERT_TRUE(runLoopUntil([&] { return stays->answered(); }));
    EXPECT_EQ(stays->status(), 200);
}

// Guards against sending to a node that was listed as draining while its connection was made. The request
// goes to the node that has the shard now, as it can't have run.
TEST_F(HeldDial, ANodeThatDrainsInTheDialGetsNothing) {
    auto c = client();
    ask(*c, "a", "once");
    disk->onRequest = [](AcceptedConnection& t) { t.send(okResponse("moved")); };
    discovery->last().send(lineChunk(listJson(
        43, false,
        memberJson("s-1", listener.address(), 0, "draining") + "," + memberJson("s-2", disk->address(), 0))));
    // The first connection may fail or be given up by the check: the other node serves in both cases.
    ASSERT_TRUE(runLoopUntil([&] {
        listener.acceptConnections();
        return c->answered();
    }));
    EXPECT_EQ(c->status(), 200);
    EXPECT_NE(c->got.find("moved"), std::string::npos);
    EXPECT_FALSE(listener.received("a"));
}

// The same for a node that is listed under another address by then, or has restarted: an attempt that was
// decided for a warm node must not be sent to a cold one without a new decision.
TEST_F(HeldDial, ANodeThatMovesInTheDialIsDialledAtItsNewAddress) {
    auto c = client();
    ask(*c, "a", "once");
    disk->onRequest = [](AcceptedConnection& t) { t.send(okResponse("there")); };
    discovery->last().send(lineChunk(listJson(43, false, memberJson("s-1", disk->address(), 0))));
    ASSERT_TRUE(runLoopUntil([&] {
        listener.acceptConnections();
        return c->answered();
    }));
    EXPECT_EQ(c->status(), 200);
    EXPECT_FALSE(listener.received("a"));
}

// A request that was written completely may be running: it keeps its connection when its client leaves, and
// the connection is reused for the next request.
TEST_F(HeldDial, WhatWasWrittenWholeRunsToItsEnd) {
    discovery->last().send(lineChunk(listJson(43, true, memberJson("s-1", disk->address(), 0))));
    auto c = client(), d = client();
    AcceptedConnection* first = nullptr;
    disk->onRequest = [&](AcceptedConnection& t) { first = &t; };
    c->send(requestText({.method = "PUT", .path = "/once", .requestClass = "once", .id = "a", .body = "b"}));
    ASSERT_TRUE(runLoopUntil([&] { return first != nullptr; }));
    c.reset();
    runLoopFor(50);
    EXPECT_FALSE(first->closed);
    first->send(okResponse("x"));
    runLoopFor(50);
    EXPECT_FALSE(first->closed);
    d->send(requestText({.id = "b"}));
    ASSERT_TRUE(runLoopUntil([&] { return disk->requests() == 2; }));
    EXPECT_EQ(disk->accepted.size(), 1u);
}

// A response with neither length nor chunks ends with its connection: it is complete after an orderly end and
// not after a reset, when a request that may run only once must not be repeated.
TEST_F(HeldDial, AnAnswerWithoutALengthEndsInOrderOrNotAtAll) {
    discovery->last().send(lineChunk(listJson(43, true, memberJson("s-1", disk->address(), 0))));
    const std::string answer = "HTTP/1.1 200 OK\r\n\r\nwhole";
    for (const bool orderly : {true, false}) {
        auto c = client();
        disk->onRequest = [&](AcceptedConnection& t) { t.send(answer); };
        const auto before = disk->requests();
        c->send(requestText({.method = "PUT",
                             .path = "/once",
                             .requestClass = "once",
                             .id = orderly ? "in-order" : "reset",
                             .body = "b"}));
        ASSERT_TRUE(runLoopUntil([&] { return disk->requests() == before + 1; }));
        runLoopFor(50);
        EXPECT_FALSE(c->answered());  // more may follow
        if (orderly) disk->last().connection->shutdownWrite();
        else disk->last().connection->reset();
        ASSERT_TRUE(runLoopUntil([&] { return c->answered(); }));
        EXPECT_EQ(c->status(), orderly ? 200 : 502);
        EXPECT_EQ(c->got.find("whole") != std::string::npos, orderly);
        EXPECT_EQ(disk->requests(), before + 1);
    }
}

// Guards against taking a second response that comes some milliseconds late for the response to the next
// request.
TEST_F(HeldDial, ALateSecondAnswerReachesNobody) {
    discovery->last().send(lineChunk(listJson(43, true, memberJson("s-1", disk->address(), 0))));
    auto c = client(), d = client();
    c->send(requestText({.id = "a"}));
    ASSERT_TRUE(runLoopUntil([&] { return disk->requests() == 1; }));
    auto& first = disk->last();
    first.send(okResponse("first"));
    ASSERT_TRUE(runLoopUntil([&] { return c->answered(); }));
    runLoopFor(7);
    d->send(requestText({.id = "b"}));
    ASSERT_TRUE(runLoopUntil([&] { return disk->requests() == 2; }));
    first.send(okResponse("first"));
    runLoopFor(20);
    EXPECT_FALSE(d->answered());
    disk->last().send(okResponse("second"));
    ASSERT_TRUE(runLoopUntil([&] { return d->answered(); }));
    EXPECT_NE(d->got.find("second"), std::string::npos);
}

// Guards against accepting a response before the request is written completely: the request can't have run
// yet, so the response is not its own, and the request may be repeated even if it may run only once.
TEST(Early, AnAnswerAheadOfTheWholeRequestIsNone) {
    FakeServer node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    auto request = std::make_shared<host::NodeRequest>();
    request->method = "PUT", request->target = "/", request->maxResponseBytes = 1000;
    request->body =
        std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the socket buffers hold
    for (const bool turnedAway : {false, true}) {
        std::vector<Outcome> ended;
        const auto before = node.accepted.size();
        pool.send("s", request, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
        ASSERT_TRUE(runLoopUntil([&] { return node.accepted.size() == before + 1; }));
        node.accepted.back()->connection->pauseReading();
        runLoopFor(20);
        node.accepted.back()->send(
            turnedAway ? "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
                       : okResponse("of another"));
        ASSERT_TRUE(runLoopUntil([&] { return ended.size() == 1; }));
        EXPECT_EQ(ended[0], turnedAway ? Outcome::Rejected : Outcome::NotSent);
    }
}

// Guards against sending the rest of a body to a disk server after the result is no longer wanted: a request
// that was written in part never ran, so stopping it has no effect.
TEST(Withdraw, WhatIsWrittenInPartStopsAndNeverRan) {
    FakeServer node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    auto request = std::make_shared<host::NodeRequest>();
    request->method = "PUT", request->target = "/";
    request->body =
        std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the socket buffers hold
    std::vector<Outcome> ended;
    const auto id =
        pool.send("s", request, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
    ASSERT_TRUE(runLoopUntil([&] { return node.accepted.size() == 1; }));
    node.accepted[0]->connection->pauseReading();
    runLoopFor(20);
    pool.withdraw(id);
    ASSERT_TRUE(runLoopUntil([&] { return ended.size() == 1; }));
    EXPECT_EQ(ended[0], Outcome::NotSent);
    node.accepted[0]->connection->resumeReading();
    ASSERT_TRUE(runLoopUntil([&] { return node.accepted[0]->closed; }));
    EXPECT_EQ(node.requests(), 0u);
}

// A connection breaks before the request is written completely: the request never ran, and may be repeated
// even if it may run only once.
TEST(Broken, WhatWasWrittenInPartNeverRan) {
    FakeServer node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    auto request = std::make_shared<host::NodeRequest>();
    request->method = "PUT", request->target = "/";
    request->body =
        std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the socket buffers hold
    std::vector<Outcome> ended;
    pool.send("s", request, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
    ASSERT_TRUE(runLoopUntil([&] { return node.accepted.size() == 1; }));
    node.accepted[0]->connection->pauseReading();
    runLoopFor(20);
    node.accepted[0]->connection->reset();
    ASSERT_TRUE(runLoopUntil([&] { return ended.size() == 1; }));
    EXPECT_EQ(ended[0], Outcome::NoConnection);
}

// A response is unread when writing the rest of the request fails: whichever is noticed first, the request
// never ran and the response is not its own.
TEST(Broken, AnAnswerUnreadBehindAFailedWriteIsNone) {
    FakeServer node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    auto request = std::make_shared<host::NodeRequest>();
    request->method = "PUT", request->target = "/", request->maxResponseBytes = 1000;
    request->body =
        std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the socket buffers hold
    for (const bool readsSome : {false, true}) {
        std::vector<Outcome> ended;
        const auto before = node.accepted.size();
        pool.send("s", request, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
        ASSERT_TRUE(runLoopUntil([&] { return node.accepted.size() == before + 1; }));
        auto& taken = *node.accepted.back();
        taken.connection->pauseReading();
        runLoopFor(20);
        taken.send(okResponse("of another"));
        if (readsSome) {  // so that the socket is writable again when the connection breaks
            taken.connection->resumeReading();
            g_main_context_iteration(nullptr, FALSE);
        }
        taken.connection->reset();
        ASSERT_TRUE(runLoopUntil([&] { return ended.size() == 1; }));
        EXPECT_TRUE(ended[0] == Outcome::NotSent || ended[0] == Outcome::NoConnection)
            << static_cast<int>(ended[0]);
    }
}

// An attempt is given an idle connection and may not begin. Before it has ended, a second response to the
// previous request comes on the connection and must not be taken for its own.
TEST(Late, ASecondAnswerIsNotThatOfAnAttemptThatDidNotBegin) {
    FakeServer node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    node.onRequest = [](AcceptedConnection& t) { t.send(okResponse("first")); };
    auto request = std::make_shared<host::NodeRequest>();
    request->target = "/", request->maxResponseBytes = 1000;
    std::vector<Outcome> ended;
    const auto done = [&](host::AttemptResult r) { ended.push_back(r.outcome); };
    pool.send("s", request, {}, 5000, done);
    ASSERT_TRUE(runLoopUntil([&] { return ended.size() == 1; }));
    EXPECT_EQ(ended[0], Outcome::Served);
    runLoopFor(30);  // longer than the reuse delay
    pool.send("s", request, {}, 5000, done, [] { return false; });
    node.accepted[0]->send(okResponse("second"));
    ASSERT_TRUE(runLoopUntil([&] { return ended.size() == 2; }));
    EXPECT_EQ(ended[1], Outcome::NotSent);
    EXPECT_EQ(node.accepted.size(), 1u);
}

// A server does not read the rest of a body: by the time of the last byte, the remaining time that the head
// gave would be wrong. The attempt ends before that and never ran.
TEST(Stalled, ARequestThatIsNotWrittenSoonEnds) {
    FakeServer node;
    nodes::PoolLimits limits;
    limits.writeTimeoutMs = 120;
    nodes::NodeClient pool(limits, platformDialect(
                                       [&](const std::string&, io::Address& out) {
                                           return io::parseNumericAddress(node.address(), out);
                                       },
                                       false));
    auto request = std::make_shared<host::NodeRequest>();
    request->method = "PUT", request->target = "/";
    request->body =
        std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the socket buffers hold
    std::vector<Outcome> ended;
    const double from = io::nowMs();
    pool.send("s", request, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
    ASSERT_TRUE(runLoopUntil([&] { return node.accepted.size() == 1; }));
    node.accepted[0]->connection->pauseReading();
    ASSERT_TRUE(runLoopUntil([&] { return ended.size() == 1; }, 6000));
    EXPECT_EQ(ended[0], Outcome::NoConnection);
    EXPECT_LT(io::nowMs() - from, 2000);
    EXPECT_EQ(node.requests(), 0u);
}

}  // namespace
}  // namespace spokewheel::platform::testing
