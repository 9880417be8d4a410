// An attempt from the decision to its first byte: what happens while its connection comes up. Each test holds
// the door of the disk server, lets the bad thing happen, and opens it.
#include "platform/dialect.hpp"
#include "platform_support.hpp"
#include "stalled_listener.hpp"

namespace spokewheel::platform::testing {
namespace {

class HeldDial : public PlatformTest {
  protected:
    void SetUp() override {
        PlatformTest::SetUp();
        // The caller asks again after 1 s and 3 s: the dial has to outlive that.
        const std::string shortDial = "\"dial-timeout-ms\":250.0";
        settings.replace(settings.find(shortDial), shortDial.size(), "\"dial-timeout-ms\":2400.0");
        known = listJson(41, true, memberJson("s-1", door.address(), 0));
        startUntilReady();
    }
    void ask(Client& c, const std::string& id, const std::string& kind = "read") {
        c.send(requestText({.method = kind == "read" ? "GET" : "PUT",
                            .path = "/" + kind,
                            .requestClass = kind,
                            .id = id,
                            .timeout = "2400"}));
        // Taken, and its dial under way: what is asked after it on another connection is answered.
        auto probe = client();
        probe->send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        ASSERT_TRUE(runLoopUntil([&] { return probe->answered(); }));
        runLoopFor(20);
    }
    bool opened(const std::string& id) {
        return runLoopUntil([&] {
            door.acceptConnections();
            return door.received(id);
        });
    }
    StalledListener door;
};

// Guards against an attempt whose client has gone before its connection came up.
TEST_F(HeldDial, AClientThatLeavesInTheDialIsNotServed) {
    auto gone = client(), stays = client();
    ask(*gone, "gone");
    ask(*stays, "stays");
    gone.reset();
    runLoopFor(20);
    ASSERT_TRUE(opened("stays"));
    runLoopFor(50);
    door.acceptConnections();
    EXPECT_FALSE(door.received("gone"));
    door.answerAll(okResponse("x"));
    ASSERT_TRUE(runLoopUntil([&] { return stays->answered(); }));
    EXPECT_EQ(stays->status(), 200);
}

// Guards against the first byte to a node that was told as draining while its connection came up; the request
// goes to the one that has the shard now, and was never in doubt.
TEST_F(HeldDial, ANodeThatDrainsInTheDialGetsNothing) {
    auto c = client();
    ask(*c, "a", "once");
    disk->onRequest = [](AcceptedConnection& t) { t.send(okResponse("moved")); };
    discovery->last().send(lineChunk(listJson(
        43, false,
        memberJson("s-1", door.address(), 0, "draining") + "," + memberJson("s-2", disk->address(), 0))));
    // Its own dial may fail meanwhile or end by the check: either way it is the other that serves.
    ASSERT_TRUE(runLoopUntil([&] {
        door.acceptConnections();
        return c->answered();
    }));
    EXPECT_EQ(c->status(), 200);
    EXPECT_NE(c->got.find("moved"), std::string::npos);
    EXPECT_FALSE(door.received("a"));
}

// The same for a node that is listed under another address by then, and for one that started anew meanwhile:
// what was counted for a warm node is not sent to a cold one unasked.
TEST_F(HeldDial, ANodeThatMovesInTheDialIsDialledAtItsNewAddress) {
    auto c = client();
    ask(*c, "a", "once");
    disk->onRequest = [](AcceptedConnection& t) { t.send(okResponse("there")); };
    discovery->last().send(lineChunk(listJson(43, false, memberJson("s-1", disk->address(), 0))));
    ASSERT_TRUE(runLoopUntil([&] {
        door.acceptConnections();
        return c->answered();
    }));
    EXPECT_EQ(c->status(), 200);
    EXPECT_FALSE(door.received("a"));
}

// What was written whole may be running: it keeps its connection when its client leaves, and the connection
// serves the next one.
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

// An answer with neither length nor chunks ends with its connection: in order it is whole, by a reset it is
// not, and what may run only once is not repeated then.
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
        EXPECT_FALSE(c->answered());  // it could go on
        if (orderly) disk->last().connection->shutdownWrite();
        else disk->last().connection->reset();
        ASSERT_TRUE(runLoopUntil([&] { return c->answered(); }));
        EXPECT_EQ(c->status(), orderly ? 200 : 502);
        EXPECT_EQ(c->got.find("whole") != std::string::npos, orderly);
        EXPECT_EQ(disk->requests(), before + 1);
    }
}

// Guards against a second answer some milliseconds late that is taken for the next one's.
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

// Guards against an answer ahead of the whole request: nothing can have run yet, so it is no answer to it,
// and the request goes again, though it may run only once.
TEST(Early, AnAnswerAheadOfTheWholeRequestIsNone) {
    FakeServer node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    auto x = std::make_shared<host::NodeRequest>();
    x->method = "PUT", x->target = "/", x->maxResponseBytes = 1000;
    x->body = std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the system holds
    for (const bool turnedAway : {false, true}) {
        std::vector<Outcome> ended;
        const auto before = node.accepted.size();
        pool.send("s", x, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
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

// Guards against a body that goes on flowing to a disk server though nobody waits for it: written in part it
// never ran, and stopping it has no effect.
TEST(Withdraw, WhatIsWrittenInPartStopsAndNeverRan) {
    FakeServer node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    auto x = std::make_shared<host::NodeRequest>();
    x->method = "PUT", x->target = "/";
    x->body = std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the system holds
    std::vector<Outcome> ended;
    const auto id = pool.send("s", x, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
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

// A connection that breaks while a part of the request is still here: the request never ran, and may go again
// though it may run only once.
TEST(Broken, WhatWasWrittenInPartNeverRan) {
    FakeServer node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    auto x = std::make_shared<host::NodeRequest>();
    x->method = "PUT", x->target = "/";
    x->body = std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the system holds
    std::vector<Outcome> ended;
    pool.send("s", x, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
    ASSERT_TRUE(runLoopUntil([&] { return node.accepted.size() == 1; }));
    node.accepted[0]->connection->pauseReading();
    runLoopFor(20);
    node.accepted[0]->connection->reset();
    ASSERT_TRUE(runLoopUntil([&] { return ended.size() == 1; }));
    EXPECT_EQ(ended[0], Outcome::NoConnection);
}

// An answer lies unread while the write of the rest fails: whichever is found first, the request never ran,
// and the answer is nobody's.
TEST(Broken, AnAnswerUnreadBehindAFailedWriteIsNone) {
    FakeServer node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    auto x = std::make_shared<host::NodeRequest>();
    x->method = "PUT", x->target = "/", x->maxResponseBytes = 1000;
    x->body = std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the system holds
    for (const bool readsSome : {false, true}) {
        std::vector<Outcome> ended;
        const auto before = node.accepted.size();
        pool.send("s", x, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
        ASSERT_TRUE(runLoopUntil([&] { return node.accepted.size() == before + 1; }));
        auto& taken = *node.accepted.back();
        taken.connection->pauseReading();
        runLoopFor(20);
        taken.send(okResponse("of another"));
        if (readsSome) {  // so that there is room to write again in the moment of the break
            taken.connection->resumeReading();
            g_main_context_iteration(nullptr, FALSE);
        }
        taken.connection->reset();
        ASSERT_TRUE(runLoopUntil([&] { return ended.size() == 1; }));
        EXPECT_TRUE(ended[0] == Outcome::NotSent || ended[0] == Outcome::NoConnection)
            << static_cast<int>(ended[0]);
    }
}

// An attempt is given a kept connection and may not begin; before that is settled a second answer to the
// exchange before comes on it. It answers nothing.
TEST(Late, ASecondAnswerIsNotThatOfAnAttemptThatDidNotBegin) {
    FakeServer node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    node.onRequest = [](AcceptedConnection& t) { t.send(okResponse("first")); };
    auto x = std::make_shared<host::NodeRequest>();
    x->target = "/", x->maxResponseBytes = 1000;
    std::vector<Outcome> ended;
    const auto done = [&](host::AttemptResult r) { ended.push_back(r.outcome); };
    pool.send("s", x, {}, 5000, done);
    ASSERT_TRUE(runLoopUntil([&] { return ended.size() == 1; }));
    EXPECT_EQ(ended[0], Outcome::Served);
    runLoopFor(30);  // the connection has rested
    pool.send("s", x, {}, 5000, done, [] { return false; });
    node.accepted[0]->send(okResponse("second"));
    ASSERT_TRUE(runLoopUntil([&] { return ended.size() == 2; }));
    EXPECT_EQ(ended[1], Outcome::NotSent);
    EXPECT_EQ(node.accepted.size(), 1u);
}

// A server that does not take the rest of a body: the time that its head told is not true any more once the
// last byte goes out. The attempt ends before that; it never ran.
TEST(Stalled, ARequestThatIsNotWrittenSoonEnds) {
    FakeServer node;
    nodes::PoolLimits caps;
    caps.writeTimeoutMs = 120;
    nodes::NodeClient pool(
        caps, platformDialect([&](const std::string&,
                                  io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                              false));
    auto x = std::make_shared<host::NodeRequest>();
    x->method = "PUT", x->target = "/";
    x->body = std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the system holds
    std::vector<Outcome> ended;
    const double from = io::nowMs();
    pool.send("s", x, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
    ASSERT_TRUE(runLoopUntil([&] { return node.accepted.size() == 1; }));
    node.accepted[0]->connection->pauseReading();
    ASSERT_TRUE(runLoopUntil([&] { return ended.size() == 1; }, 6000));
    EXPECT_EQ(ended[0], Outcome::NoConnection);
    EXPECT_LT(io::nowMs() - from, 2000);
    EXPECT_EQ(node.requests(), 0u);
}

}  // namespace
}  // namespace spokewheel::platform::testing
