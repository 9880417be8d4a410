// An attempt from the decision to its first byte: what happens while its connection comes up. Each test holds
// the door of the disk server, lets the bad thing happen, and opens it.
#include "held_door.hpp"
#include "platform/dialect.hpp"
#include "platform_support.hpp"

namespace spokewheel::platform::testing {
namespace {

class HeldDial : public PlatformTest {
  protected:
    void SetUp() override {
        PlatformTest::SetUp();
        // The caller asks again after 1 s and 3 s: the dial has to outlive that.
        const std::string shortDial = "\"dial-timeout-ms\":250.0";
        settings.replace(settings.find(shortDial), shortDial.size(), "\"dial-timeout-ms\":2400.0");
        known = listText(41, true, member("s-1", door.address(), 0));
        start();
    }
    void ask(Client& c, const std::string& id, const std::string& kind = "read") {
        c.say(requestText({.method = kind == "read" ? "GET" : "PUT",
                           .path = "/" + kind,
                           .klass = kind,
                           .id = id,
                           .timeout = "2400"}));
        // Taken, and its dial under way: what is asked after it on another connection is answered.
        auto probe = client();
        probe->say("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        ASSERT_TRUE(turn([&] { return probe->answered(); }));
        pass(20);
    }
    bool opened(const std::string& id) {
        return turn([&] {
            door.letIn();
            return door.got(id);
        });
    }
    HeldDoor door;
};

// Guards against an attempt whose client has gone before its connection came up.
TEST_F(HeldDial, AClientThatLeavesInTheDialIsNotServed) {
    auto gone = client(), stays = client();
    ask(*gone, "gone");
    ask(*stays, "stays");
    gone.reset();
    pass(20);
    ASSERT_TRUE(opened("stays"));
    pass(50);
    door.letIn();
    EXPECT_FALSE(door.got("gone"));
    door.answerAll(served("x"));
    ASSERT_TRUE(turn([&] { return stays->answered(); }));
    EXPECT_EQ(stays->status(), 200);
}

// Guards against the first byte to a node that was told as draining while its connection came up; the request
// goes to the one that has the shard now, and was never in doubt.
TEST_F(HeldDial, ANodeThatDrainsInTheDialGetsNothing) {
    auto c = client();
    ask(*c, "a", "once");
    disk->onRequest = [](Taken& t) { t.say(served("moved")); };
    discovery->last().say(chunk(listText(
        43, false, member("s-1", door.address(), 0, "draining") + "," + member("s-2", disk->address(), 0))));
    // Its own dial may fail meanwhile or end by the check: either way it is the other that serves.
    ASSERT_TRUE(turn([&] {
        door.letIn();
        return c->answered();
    }));
    EXPECT_EQ(c->status(), 200);
    EXPECT_NE(c->got.find("moved"), std::string::npos);
    EXPECT_FALSE(door.got("a"));
}

// The same for a node that is listed under another address by then, and for one that started anew meanwhile:
// what was counted for a warm node is not sent to a cold one unasked.
TEST_F(HeldDial, ANodeThatMovesInTheDialIsDialledAtItsNewAddress) {
    auto c = client();
    ask(*c, "a", "once");
    disk->onRequest = [](Taken& t) { t.say(served("there")); };
    discovery->last().say(chunk(listText(43, false, member("s-1", disk->address(), 0))));
    ASSERT_TRUE(turn([&] {
        door.letIn();
        return c->answered();
    }));
    EXPECT_EQ(c->status(), 200);
    EXPECT_FALSE(door.got("a"));
}

// What was written whole may be running: it keeps its connection when its client leaves, and the connection
// serves the next one.
TEST_F(HeldDial, WhatWasWrittenWholeRunsToItsEnd) {
    discovery->last().say(chunk(listText(43, true, member("s-1", disk->address(), 0))));
    auto c = client(), d = client();
    Taken* first = nullptr;
    disk->onRequest = [&](Taken& t) { first = &t; };
    c->say(requestText({.method = "PUT", .path = "/once", .klass = "once", .id = "a", .body = "b"}));
    ASSERT_TRUE(turn([&] { return first != nullptr; }));
    c.reset();
    pass(50);
    EXPECT_FALSE(first->closed);
    first->say(served("x"));
    pass(50);
    EXPECT_FALSE(first->closed);
    d->say(requestText({.id = "b"}));
    ASSERT_TRUE(turn([&] { return disk->requests() == 2; }));
    EXPECT_EQ(disk->taken.size(), 1u);
}

// An answer with neither length nor chunks ends with its connection: in order it is whole, by a reset it is
// not, and what may run only once is not repeated then.
TEST_F(HeldDial, AnAnswerWithoutALengthEndsInOrderOrNotAtAll) {
    discovery->last().say(chunk(listText(43, true, member("s-1", disk->address(), 0))));
    const std::string answer = "HTTP/1.1 200 OK\r\n\r\nwhole";
    for (const bool orderly : {true, false}) {
        auto c = client();
        disk->onRequest = [&](Taken& t) { t.say(answer); };
        const auto before = disk->requests();
        c->say(requestText({.method = "PUT",
                            .path = "/once",
                            .klass = "once",
                            .id = orderly ? "in-order" : "reset",
                            .body = "b"}));
        ASSERT_TRUE(turn([&] { return disk->requests() == before + 1; }));
        pass(50);
        EXPECT_FALSE(c->answered());  // it could go on
        if (orderly) disk->last().connection->shutdownWrite();
        else disk->last().connection->reset();
        ASSERT_TRUE(turn([&] { return c->answered(); }));
        EXPECT_EQ(c->status(), orderly ? 200 : 502);
        EXPECT_EQ(c->got.find("whole") != std::string::npos, orderly);
        EXPECT_EQ(disk->requests(), before + 1);
    }
}

// Guards against a second answer some milliseconds late that is taken for the next one's.
TEST_F(HeldDial, ALateSecondAnswerReachesNobody) {
    discovery->last().say(chunk(listText(43, true, member("s-1", disk->address(), 0))));
    auto c = client(), d = client();
    c->say(requestText({.id = "a"}));
    ASSERT_TRUE(turn([&] { return disk->requests() == 1; }));
    auto& first = disk->last();
    first.say(served("first"));
    ASSERT_TRUE(turn([&] { return c->answered(); }));
    pass(7);
    d->say(requestText({.id = "b"}));
    ASSERT_TRUE(turn([&] { return disk->requests() == 2; }));
    first.say(served("first"));
    pass(20);
    EXPECT_FALSE(d->answered());
    disk->last().say(served("second"));
    ASSERT_TRUE(turn([&] { return d->answered(); }));
    EXPECT_NE(d->got.find("second"), std::string::npos);
}

// Guards against an answer ahead of the whole request: nothing can have run yet, so it is no answer to it,
// and the request goes again, though it may run only once.
TEST(Early, AnAnswerAheadOfTheWholeRequestIsNone) {
    Server node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    auto x = std::make_shared<host::Exchange>();
    x->method = "PUT", x->target = "/", x->mostAnswer = 1000;
    x->body = std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the system holds
    for (const bool turnedAway : {false, true}) {
        std::vector<Outcome> ended;
        const auto before = node.taken.size();
        pool.send("s", x, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
        ASSERT_TRUE(turn([&] { return node.taken.size() == before + 1; }));
        node.taken.back()->connection->pauseReading();
        pass(20);
        node.taken.back()->say(turnedAway
                                   ? "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
                                   : served("of another"));
        ASSERT_TRUE(turn([&] { return ended.size() == 1; }));
        EXPECT_EQ(ended[0], turnedAway ? Outcome::Rejected : Outcome::NotSent);
    }
}

// Guards against a body that goes on flowing to a disk server though nobody waits for it: written in part it
// never ran, and stopping it has no effect.
TEST(Withdraw, WhatIsWrittenInPartStopsAndNeverRan) {
    Server node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    auto x = std::make_shared<host::Exchange>();
    x->method = "PUT", x->target = "/";
    x->body = std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the system holds
    std::vector<Outcome> ended;
    const auto id = pool.send("s", x, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
    ASSERT_TRUE(turn([&] { return node.taken.size() == 1; }));
    node.taken[0]->connection->pauseReading();
    pass(20);
    pool.withdraw(id);
    ASSERT_TRUE(turn([&] { return ended.size() == 1; }));
    EXPECT_EQ(ended[0], Outcome::NotSent);
    node.taken[0]->connection->resumeReading();
    ASSERT_TRUE(turn([&] { return node.taken[0]->closed; }));
    EXPECT_EQ(node.requests(), 0u);
}

// A connection that breaks while a part of the request is still here: the request never ran, and may go again
// though it may run only once.
TEST(Broken, WhatWasWrittenInPartNeverRan) {
    Server node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    auto x = std::make_shared<host::Exchange>();
    x->method = "PUT", x->target = "/";
    x->body = std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the system holds
    std::vector<Outcome> ended;
    pool.send("s", x, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
    ASSERT_TRUE(turn([&] { return node.taken.size() == 1; }));
    node.taken[0]->connection->pauseReading();
    pass(20);
    node.taken[0]->connection->reset();
    ASSERT_TRUE(turn([&] { return ended.size() == 1; }));
    EXPECT_EQ(ended[0], Outcome::NoConnection);
}

// An answer lies unread while the write of the rest fails: whichever is found first, the request never ran,
// and the answer is nobody's.
TEST(Broken, AnAnswerUnreadBehindAFailedWriteIsNone) {
    Server node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    auto x = std::make_shared<host::Exchange>();
    x->method = "PUT", x->target = "/", x->mostAnswer = 1000;
    x->body = std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the system holds
    for (const bool readsSome : {false, true}) {
        std::vector<Outcome> ended;
        const auto before = node.taken.size();
        pool.send("s", x, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
        ASSERT_TRUE(turn([&] { return node.taken.size() == before + 1; }));
        auto& taken = *node.taken.back();
        taken.connection->pauseReading();
        pass(20);
        taken.say(served("of another"));
        if (readsSome) {  // so that there is room to write again in the moment of the break
            taken.connection->resumeReading();
            g_main_context_iteration(nullptr, FALSE);
        }
        taken.connection->reset();
        ASSERT_TRUE(turn([&] { return ended.size() == 1; }));
        EXPECT_TRUE(ended[0] == Outcome::NotSent || ended[0] == Outcome::NoConnection)
            << static_cast<int>(ended[0]);
    }
}

// An attempt is given a kept connection and may not begin; before that is settled a second answer to the
// exchange before comes on it. It answers nothing.
TEST(Late, ASecondAnswerIsNotThatOfAnAttemptThatDidNotBegin) {
    Server node;
    nodes::NodeClient pool(
        {}, platformDialect([&](const std::string&,
                                io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                            false));
    node.onRequest = [](Taken& t) { t.say(served("first")); };
    auto x = std::make_shared<host::Exchange>();
    x->target = "/", x->mostAnswer = 1000;
    std::vector<Outcome> ended;
    const auto done = [&](host::AttemptResult r) { ended.push_back(r.outcome); };
    pool.send("s", x, {}, 5000, done);
    ASSERT_TRUE(turn([&] { return ended.size() == 1; }));
    EXPECT_EQ(ended[0], Outcome::Served);
    pass(30);  // the connection has rested
    pool.send("s", x, {}, 5000, done, [] { return false; });
    node.taken[0]->say(served("second"));
    ASSERT_TRUE(turn([&] { return ended.size() == 2; }));
    EXPECT_EQ(ended[1], Outcome::NotSent);
    EXPECT_EQ(node.taken.size(), 1u);
}

// A server that does not take the rest of a body: the time that its head told is not true any more once the
// last byte goes out. The attempt ends before that; it never ran.
TEST(Stalled, ARequestThatIsNotWrittenSoonEnds) {
    Server node;
    nodes::PoolCaps caps;
    caps.wholeWithinMs = 120;
    nodes::NodeClient pool(
        caps, platformDialect([&](const std::string&,
                                  io::Address& out) { return io::parseNumericAddress(node.address(), out); },
                              false));
    auto x = std::make_shared<host::Exchange>();
    x->method = "PUT", x->target = "/";
    x->body = std::make_shared<const std::string>(64 * 1024 * 1024, 'b');  // more than the system holds
    std::vector<Outcome> ended;
    const double from = io::nowMs();
    pool.send("s", x, {}, 5000, [&](host::AttemptResult r) { ended.push_back(r.outcome); });
    ASSERT_TRUE(turn([&] { return node.taken.size() == 1; }));
    node.taken[0]->connection->pauseReading();
    ASSERT_TRUE(turn([&] { return ended.size() == 1; }, 6000));
    EXPECT_EQ(ended[0], Outcome::NoConnection);
    EXPECT_LT(io::nowMs() - from, 2000);
    EXPECT_EQ(node.requests(), 0u);
}

}  // namespace
}  // namespace spokewheel::platform::testing
