// How client connections end. Clients on plain sockets force the order of events: answers that are due when a
// connection ends still arrive, and later requests are not passed to a disk server.
#include "platform/decide_stop.hpp"
#include "platform_support.hpp"
#include "socket_client.hpp"

namespace spokewheel::platform::testing {
namespace {

class CloseTest : public PlatformTest {
  protected:
    void serveAll(const std::string& body = "x") {
        disk->onRequest = [body](AcceptedConnection& t) { t.send(okResponse(body)); };
    }
    std::string text(const std::string& id, const std::string& timeout = "2400") {
        return requestText({.id = id, .timeout = timeout});
    }
    bool diskReceived(const std::string& id) const {
        for (const auto& t : disk->accepted)
            for (const auto& head : t->heads)
                if (*head.find("X-Request-ID") == id) return true;
        return false;
    }
    double closeFromMs() const {
        return shutdownPlan(
                   parseConfiguration(configuration("127.0.0.1:1"), "f", {}).schedulerSettings.classes)
            .closeFromMs;
    }
};

// Guards against pipelined requests that get no answer because the answer before them closes the connection
// during a shutdown.
TEST_F(CloseTest, WhatCameBehindAnOpenRequestIsAnsweredThoughTheSchedulerStops) {
    startUntilReady();
    AcceptedConnection* first = nullptr;
    disk->onRequest = [&](AcceptedConnection& t) { first ? t.send(okResponse("x")) : void(first = &t); };
    SocketClient c(port);
    c.send(text("a"));
    ASSERT_TRUE(runLoopUntil([&] { return first != nullptr; }));
    c.send(text("b") + text("c"));
    daemon->stop();
    runLoopFor(closeFromMs() + 50);  // the server drains now, and "a" is still open
    first->send(okResponse("x"));
    ASSERT_TRUE(runLoopUntil([&] { return c.read(), c.ended || c.reset; }));
    EXPECT_EQ(c.answers(), 3);
    EXPECT_FALSE(c.reset);
    EXPECT_EQ(c.got.find("Connection: close"), c.got.rfind("Connection: close"));
}

// Guards against an idle connection that is reset while a request is on its way: it ends with a FIN, and a
// request that arrives afterwards is not passed on.
TEST_F(CloseTest, ARequestThatCrossesTheEndOfARestingConnectionGoesNowhereAndIsNotReset) {
    startUntilReady();
    serveAll();
    SocketClient c(port);
    c.send(text("a"));
    ASSERT_TRUE(runLoopUntil([&] { return c.read(), c.answers() == 1; }));
    daemon->stop();
    ASSERT_TRUE(runLoopUntil([&] { return c.read(), c.ended || c.reset; }, 4000));
    EXPECT_TRUE(c.ended);
    c.send(text("late"));
    runLoopFor(100);
    c.read();
    EXPECT_FALSE(c.reset);
    EXPECT_FALSE(diskReceived("late"));
}

// Guards against truncated answers to slow readers: the wait for the client's end of stream starts only once
// the whole answer has been written.
TEST_F(CloseTest, ASlowReaderGetsItsLastAnswerWhole) {
    startUntilReady();
    const std::string body(2000000, 'y');
    serveAll(body);
    SocketClient c(port, 4096);
    auto request = text("a");
    c.send(request.insert(request.find("X-Plan"), "Connection: close\r\n"));
    ASSERT_TRUE(runLoopUntil([&] { return diskReceived("a"); }));
    runLoopFor(1200);
    ASSERT_TRUE(runLoopUntil([&] { return c.read(), c.ended || c.reset; }, 4000));
    EXPECT_FALSE(c.reset);
    EXPECT_GT(c.got.size(), body.size());
}

// Guards against a client whose end of stream goes unnoticed behind many unread bytes. By the platform's
// protocol a close and a half-close both mean that the client has gone; requests of it that wait for their
// first attempt are not sent.
TEST_F(CloseTest, AClientThatSendsMuchAndLeavesIsNotServed) {
    known = listJson(41, true, "");
    startUntilReady();
    SocketClient flood(port), half(port), stays(port);
    flood.send(text("flood"));
    half.send(text("half"));
    stays.send(text("stays"));
    runLoopFor(20);
    std::string pipelined;
    for (int i = 0; pipelined.size() < 900000; ++i) pipelined += text("behind-" + std::to_string(i));
    for (std::size_t at = 0; at < pipelined.size(); at += 50000) {
        flood.send(pipelined.substr(at, 50000));
        runLoopFor(2);
    }
    flood.disconnect();
    half.halfClose();
    runLoopFor(100);
    serveAll();
    discovery->last().send(lineChunk(listJson(43, false, memberJson("s-1", disk->address(), 0))));
    ASSERT_TRUE(runLoopUntil([&] { return stays.read(), stays.answers() == 1; }));
    runLoopFor(50);
    EXPECT_FALSE(diskReceived("flood"));
    EXPECT_FALSE(diskReceived("half"));
    EXPECT_EQ(disk->requests(), 1u);
}

// Too many bytes behind an open request: the request is answered, then the connection ends with an error.
TEST_F(CloseTest, AFloodBehindAnOpenRequestEndsItsConnection) {
    startUntilReady();
    AcceptedConnection* first = nullptr;
    disk->onRequest = [&](AcceptedConnection& t) { first ? t.send(okResponse("x")) : void(first = &t); };
    SocketClient c(port);
    c.send(text("a"));
    ASSERT_TRUE(runLoopUntil([&] { return first != nullptr; }));
    const std::string noise(50000, 'n');
    for (int i = 0; i < 20; ++i) {
        c.send(noise);
        runLoopFor(2);
    }
    first->send(okResponse("x"));
    ASSERT_TRUE(runLoopUntil([&] { return c.read(), c.answers() == 2; }));
    EXPECT_EQ(c.got.find("HTTP/1.1 200"), 0u);
    EXPECT_NE(c.got.find("HTTP/1.1 4"), std::string::npos);
    EXPECT_EQ(disk->requests(), 1u);
}

// An open request is answered however many bytes follow it.
TEST_F(CloseTest, AFloodWithoutEndDoesNotTakeTheOpenRequestAlong) {
    startUntilReady();
    AcceptedConnection* first = nullptr;
    disk->onRequest = [&](AcceptedConnection& t) { first = &t; };
    auto c = client();
    c->send(text("a"));
    ASSERT_TRUE(runLoopUntil([&] { return first != nullptr; }));
    const std::string noise(1 << 20, 'n');
    for (int i = 0; i < 24; ++i) {
        c->connection->write(noise);
        runLoopFor(10);
    }
    EXPECT_FALSE(c->closed);
    first->send(okResponse("x"));
    ASSERT_TRUE(runLoopUntil([&] { return c->answered(); }));
    EXPECT_EQ(c->got.find("HTTP/1.1 200"), 0u);
    ASSERT_TRUE(runLoopUntil([&] { return c->closed; }));
    EXPECT_EQ(disk->requests(), 1u);
}

// The time-out of a pipelined request runs while it waits: the disk server is told the remaining time.
TEST_F(CloseTest, TheTimeOfWhatWaitsBehindRuns) {
    startUntilReady();
    AcceptedConnection* first = nullptr;
    disk->onRequest = [&](AcceptedConnection& t) { first ? t.send(okResponse("x")) : void(first = &t); };
    SocketClient c(port);
    c.send(text("a") + text("b", "1000"));
    ASSERT_TRUE(runLoopUntil([&] { return first != nullptr; }));
    runLoopFor(300);
    c.send(text("c", "1000"));
    runLoopFor(300);
    first->send(okResponse("x"));
    ASSERT_TRUE(runLoopUntil([&] { return c.read(), c.answers() == 3; }));
    for (const auto& t : disk->accepted)
        for (const auto& head : t->heads) {
            const auto told = std::stoi(*head.find("X-Timeout-Ms"));
            const auto& id = *head.find("X-Request-ID");
            EXPECT_LE(told, id == "b" ? 410 : id == "c" ? 710 : 2400) << id;
        }
}

// Guards against more connections than descriptors: while every connection has an open request, a new client
// waits in the backlog, neither answered nor refused, until one ends.
TEST_F(CloseTest, WhoComesWhenEachPlaceIsOpenWaitsForOne) {
    sockets = 90;
    startUntilReady();
    const auto openConnections = fronts::http::splitDescriptors(90).clients +
                                 1;  // one over the limit is accepted, then accepting pauses
    std::vector<std::unique_ptr<SocketClient>> open;
    for (std::size_t i = 0; i < openConnections; ++i) {
        open.push_back(std::make_unique<SocketClient>(port));
        open.back()->send(requestText({.id = "o" + std::to_string(i),
                                       .timeout = "60000",
                                       .io = "volume=00000003b4d60021,units=2,shard=7,hosts=1"}));
        runLoopFor(5);
    }
    SocketClient late(port);
    late.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    runLoopFor(200);
    late.read();
    EXPECT_EQ(late.answers(), 0);
    EXPECT_FALSE(late.ended || late.reset);
    open[0]->disconnect();
    ASSERT_TRUE(runLoopUntil([&] { return late.read(), late.answers() == 1; }));
}

// The same where the last one to get a place idles for a while before it sends its request: accepting was
// resumed meanwhile, and who came then was one more than there is place for.
TEST_F(CloseTest, WhoComesAfterOneThatIdledWaitsForAPlace) {
    sockets = 90;
    startUntilReady();
    const auto limit = fronts::http::splitDescriptors(90).clients;
    std::vector<std::unique_ptr<SocketClient>> open;
    const auto request = [&open](std::size_t i) {
        open[i]->send(requestText({.id = "o" + std::to_string(i), .timeout = "60000"}));
    };
    for (std::size_t i = 0; i <= limit; ++i) {  // the last one is one over the limit
        open.push_back(std::make_unique<SocketClient>(port));
        if (i < limit) request(i);
        runLoopFor(5);
    }
    runLoopFor(250);
    request(limit);
    runLoopFor(50);
    SocketClient late(port);
    late.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    runLoopFor(300);
    late.read();
    EXPECT_EQ(late.answers(), 0);
    EXPECT_FALSE(late.ended || late.reset);
    open[0]->disconnect();
    ASSERT_TRUE(runLoopUntil([&] { return late.read(), late.answers() == 1; }));
}

// Guards against a second stop that drops open requests: draining starts at once, and the answer still
// arrives.
TEST_F(CloseTest, ASecondWordToStopStillAnswersWhatIsOpen) {
    startUntilReady();
    SocketClient open(port), idle(port);
    open.send(text("a"));
    ASSERT_TRUE(runLoopUntil([&] { return diskReceived("a"); }));
    daemon->stop();
    daemon->stop();
    ASSERT_TRUE(runLoopUntil([&] { return idle.read(), idle.ended || idle.reset; }, 1500));
    EXPECT_FALSE(idle.reset);
    EXPECT_EQ(open.answers(), 0);
    disk->last().send(okResponse("x"));
    ASSERT_TRUE(runLoopUntil([&] { return open.read(), open.ended || open.reset; }));
    EXPECT_EQ(open.answers(), 1);
}

// Guards against requests that are open at a shutdown and whose own time-out ends after the kill.
TEST_F(CloseTest, WhatIsOpenAtAStopHasItsAnswerBeforeTheKill) {
    startUntilReady();
    SocketClient once(port), read(port);
    once.send(requestText({.method = "PUT",
                           .path = "/once",
                           .requestClass = "once",
                           .id = "a",
                           .timeout = "9000",
                           .body = "b"}));
    read.send(requestText({.id = "b", .timeout = "9000"}));
    ASSERT_TRUE(runLoopUntil([&] { return diskReceived("a"); }));
    daemon->stop();
    const double from = io::nowMs();
    ASSERT_TRUE(runLoopUntil([&] { return once.read(), once.answers() == 1; }, 4000));
    EXPECT_NE(once.got.find("HTTP/1.1 502"), std::string::npos);  // it may have been executed
    ASSERT_TRUE(runLoopUntil([&] { return read.read(), read.answers() == 1; }, 1000));
    EXPECT_LT(io::nowMs() - from, 2500 + 700 - 200);
}

}  // namespace
}  // namespace spokewheel::platform::testing
