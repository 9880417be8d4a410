// The ends of client connections, each with a client on a plain socket that forces the order: what is owed at
// that instant still comes, and what comes after it goes nowhere.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/decide_stop.hpp"
#include "platform_support.hpp"

namespace spokewheel::platform::testing {
namespace {

// A client that reads only when the test says so.
class PlainClient {
  public:
    explicit PlainClient(int port, int receiveBuffer = 0)
        : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        if (receiveBuffer) setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        sockaddr_in a{};
        a.sin_family = AF_INET;
        a.sin_port = htons(static_cast<std::uint16_t>(port));
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a), 0);
    }
    ~PlainClient() { hangUp(); }
    void send(const std::string& text) {
        EXPECT_EQ(::send(fd_, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
    }
    void halfClose() { shutdown(fd_, SHUT_WR); }
    void hangUp() {
        if (fd_ >= 0) close(fd_);
        fd_ = -1;
    }
    // Reads what is there. `ended`: an orderly end; `reset`: another.
    void read() {
        char buffer[65536];
        for (;;) {
            const auto n = recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
            if (n > 0) {
                got.append(buffer, static_cast<std::size_t>(n));
                continue;
            }
            ended = ended || n == 0;
            reset = reset || (n < 0 && errno != EAGAIN);
            return;
        }
    }
    int answers() const {
        int n = 0;
        for (std::size_t at = 0; (at = got.find("HTTP/1.1 ", at)) != got.npos; at += 9) ++n;
        return n;
    }
    std::string got;
    bool ended = false, reset = false;

  private:
    int fd_;
};

class CloseTest : public PlatformTest {
  protected:
    void serveAll(const std::string& body = "x") {
        disk->onRequest = [body](AcceptedConnection& t) { t.send(okResponse(body)); };
    }
    std::string text(const std::string& id, const std::string& timeout = "2400") {
        return requestText({.id = id, .timeout = timeout});
    }
    bool seen(const std::string& id) const {
        for (const auto& t : disk->accepted)
            for (const auto& head : t->heads)
                if (*head.find("X-Request-ID") == id) return true;
        return false;
    }
    double stopAfterMs() const {
        return stopPlan(parseConfiguration(configuration("127.0.0.1:1"), "f", {}).module.classes).closeFromMs;
    }
};

// Guards against requests that came behind the last answer of a connection and never got one.
TEST_F(CloseTest, WhatCameBehindAnOpenRequestIsAnsweredThoughTheSchedulerStops) {
    startUntilReady();
    AcceptedConnection* first = nullptr;
    disk->onRequest = [&](AcceptedConnection& t) { first ? t.send(okResponse("x")) : void(first = &t); };
    PlainClient c(port);
    c.send(text("a"));
    ASSERT_TRUE(runLoopUntil([&] { return first != nullptr; }));
    c.send(text("b") + text("c"));
    daemon->stop();
    runLoopFor(stopAfterMs() + 50);  // it drains now, and "a" is open
    first->send(okResponse("x"));
    ASSERT_TRUE(runLoopUntil([&] { return c.read(), c.ended || c.reset; }));
    EXPECT_EQ(c.answers(), 3);
    EXPECT_FALSE(c.reset);
    EXPECT_EQ(c.got.find("Connection: close"), c.got.rfind("Connection: close"));
}

// Guards against a resting connection that is closed over a request: it ends in order, and what is read after
// the shutdown goes nowhere.
TEST_F(CloseTest, ARequestThatCrossesTheEndOfARestingConnectionGoesNowhereAndIsNotReset) {
    startUntilReady();
    serveAll();
    PlainClient c(port);
    c.send(text("a"));
    ASSERT_TRUE(runLoopUntil([&] { return c.read(), c.answers() == 1; }));
    daemon->stop();
    ASSERT_TRUE(runLoopUntil([&] { return c.read(), c.ended || c.reset; }, 4000));
    EXPECT_TRUE(c.ended);
    c.send(text("late"));
    runLoopFor(100);
    c.read();
    EXPECT_FALSE(c.reset);
    EXPECT_FALSE(seen("late"));
}

// Guards against an answer that a slow reader loses: the end is waited for from when it was written.
TEST_F(CloseTest, ASlowReaderGetsItsLastAnswerWhole) {
    startUntilReady();
    const std::string body(2000000, 'y');
    serveAll(body);
    PlainClient c(port, 4096);
    auto request = text("a");
    c.send(request.insert(request.find("X-Plan"), "Connection: close\r\n"));
    ASSERT_TRUE(runLoopUntil([&] { return seen("a"); }));
    runLoopFor(1200);
    ASSERT_TRUE(runLoopUntil([&] { return c.read(), c.ended || c.reset; }, 4000));
    EXPECT_FALSE(c.reset);
    EXPECT_GT(c.got.size(), body.size());
}

// Guards against a client whose end is not noticed behind what it sent: closing and half-closing both mean
// that it has gone (protocol page), and what waited for its first attempt is not sent on.
TEST_F(CloseTest, AClientThatSendsMuchAndLeavesIsNotServed) {
    known = listJson(41, true, "");
    startUntilReady();
    PlainClient flood(port), half(port), stays(port);
    flood.send(text("flood"));
    half.send(text("half"));
    stays.send(text("stays"));
    runLoopFor(20);
    std::string much;
    for (int i = 0; much.size() < 900000; ++i) much += text("behind-" + std::to_string(i));
    for (std::size_t at = 0; at < much.size(); at += 50000) {
        flood.send(much.substr(at, 50000));
        runLoopFor(2);
    }
    flood.hangUp();
    half.halfClose();
    runLoopFor(100);
    serveAll();
    discovery->last().send(lineChunk(listJson(43, false, memberJson("s-1", disk->address(), 0))));
    ASSERT_TRUE(runLoopUntil([&] { return stays.read(), stays.answers() == 1; }));
    runLoopFor(50);
    EXPECT_FALSE(seen("flood"));
    EXPECT_FALSE(seen("half"));
    EXPECT_EQ(disk->requests(), 1u);
}

// A flood is answered by an end once what came before it is answered.
TEST_F(CloseTest, AFloodBehindAnOpenRequestEndsItsConnection) {
    startUntilReady();
    AcceptedConnection* first = nullptr;
    disk->onRequest = [&](AcceptedConnection& t) { first ? t.send(okResponse("x")) : void(first = &t); };
    PlainClient c(port);
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

// However much comes behind it, an open request has its answer.
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

// What waits behind an open request spends its own time meanwhile: its disk server is told what is left.
TEST_F(CloseTest, TheTimeOfWhatWaitsBehindRuns) {
    startUntilReady();
    AcceptedConnection* first = nullptr;
    disk->onRequest = [&](AcceptedConnection& t) { first ? t.send(okResponse("x")) : void(first = &t); };
    PlainClient c(port);
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

// Guards against connections beyond the descriptors: where each place holds an open request, who comes waits
// unanswered until one ends, and is not turned away.
TEST_F(CloseTest, WhoComesWhenEachPlaceIsOpenWaitsForOne) {
    sockets = 90;
    startUntilReady();
    const auto places =
        fronts::http::sharesOf(90).clients + 1;  // the one that finds none is taken, and no more
    std::vector<std::unique_ptr<PlainClient>> open;
    for (std::size_t i = 0; i < places; ++i) {
        open.push_back(std::make_unique<PlainClient>(port));
        open.back()->send(requestText({.id = "o" + std::to_string(i),
                                       .timeout = "60000",
                                       .io = "volume=00000003b4d60021,units=2,shard=7,hosts=1"}));
        runLoopFor(5);
    }
    PlainClient late(port);
    late.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    runLoopFor(200);
    late.read();
    EXPECT_EQ(late.answers(), 0);
    EXPECT_FALSE(late.ended || late.reset);
    open[0]->hangUp();
    ASSERT_TRUE(runLoopUntil([&] { return late.read(), late.answers() == 1; }));
}

// Guards against a second word to stop that drops what is open: the end begins at once, and the answer comes.
TEST_F(CloseTest, ASecondWordToStopStillAnswersWhatIsOpen) {
    startUntilReady();
    PlainClient open(port), rests(port);
    open.send(text("a"));
    ASSERT_TRUE(runLoopUntil([&] { return seen("a"); }));
    daemon->stop();
    daemon->stop();
    ASSERT_TRUE(runLoopUntil([&] { return rests.read(), rests.ended || rests.reset; }, 1500));
    EXPECT_FALSE(rests.reset);
    EXPECT_EQ(open.answers(), 0);
    disk->last().send(okResponse("x"));
    ASSERT_TRUE(runLoopUntil([&] { return open.read(), open.ended || open.reset; }));
    EXPECT_EQ(open.answers(), 1);
}

// Guards against what is open at a planned stop and allows itself more time than the kill does.
TEST_F(CloseTest, WhatIsOpenAtAStopHasItsAnswerBeforeTheKill) {
    startUntilReady();
    PlainClient once(port), read(port);
    once.send(requestText({.method = "PUT",
                           .path = "/once",
                           .requestClass = "once",
                           .id = "a",
                           .timeout = "9000",
                           .body = "b"}));
    read.send(requestText({.id = "b", .timeout = "9000"}));
    ASSERT_TRUE(runLoopUntil([&] { return seen("a"); }));
    daemon->stop();
    const double from = io::nowMs();
    ASSERT_TRUE(runLoopUntil([&] { return once.read(), once.answers() == 1; }, 4000));
    EXPECT_NE(once.got.find("HTTP/1.1 502"), std::string::npos);  // it may be running
    ASSERT_TRUE(runLoopUntil([&] { return read.read(), read.answers() == 1; }, 1000));
    EXPECT_LT(io::nowMs() - from, 2500 + 700 - 200);
}

}  // namespace
}  // namespace spokewheel::platform::testing
