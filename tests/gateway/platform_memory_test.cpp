// What happens to requests and answers that the memory budget has no room for: they wait in their sockets or
// are refused, each request is answered, and a client's going is noticed all the same.
#include "fronts/http/decide_memory.hpp"
#include "platform_support.hpp"
#include "socket_client.hpp"

namespace spokewheel::platform::testing {
namespace {

// A scheduler with little memory.
class MemoryTest : public PlatformTest {
  protected:
    void SetUp() override {
        PlatformTest::SetUp();
        memoryMb = 16;
        known = listJson(
            41, true,
            memberJson("s-1", disk->address(), 0) + "," + memberJson("s-2", silentDisk.address(), 1));
    }
    static std::string upload(const std::string& id, std::size_t bytes, const std::string& timeout = "2400",
                              int shard = 0) {
        return requestText(
            {.method = "PUT",
             .path = "/once",
             .requestClass = "once",
             .id = id,
             .timeout = timeout,
             .io = "volume=00000003b4d60021,units=2,shard=" + std::to_string(shard) + ",hosts=1",
             .body = std::string(bytes, 'b')});
    }
    // Opens uploads of the largest size until the next one is not admitted. Their disk server answers none.
    void fillMemory() {
        const auto full = [&] {
            const auto& memory = daemon->memory();
            return !fronts::http::mayTake(fronts::http::RequestPlace::Next, 64 * 1024,
                                          {memory.capacity(), memory.used(), 0});
        };
        for (int i = 0; i < 100 && !full(); ++i) {
            crowd.push_back(client());
            crowd.back()->send(upload("crowd-" + std::to_string(i), 64 * 1024, "60000", 1));
            runLoopFor(3);
        }
        ASSERT_TRUE(full());
    }
    std::size_t attempts(const std::string& id) const {
        std::size_t n = 0;
        for (const auto& t : disk->accepted)
            for (const auto& head : t->heads) n += *head.find("X-Request-ID") == id;
        return n;
    }
    AcceptedConnection* connectionOf(const std::string& id) {
        for (const auto& t : disk->accepted)
            if (!t->heads.empty() && *t->heads.back().find("X-Request-ID") == id) return t.get();
        return nullptr;
    }
    // A client with an open request sends `behind` after it and leaves; then the disk server turns the
    // request away. Returns the attempts for it.
    std::size_t attemptsOfAClientThatLeft(const std::string& behind) {
        startUntilReady();
        fillMemory();
        SocketClient leaving(port);
        leaving.send(requestText({.id = "left", .timeout = "2400"}));
        EXPECT_TRUE(runLoopUntil([&] { return attempts("left") == 1; }));
        std::size_t sent = 0;
        EXPECT_TRUE(runLoopUntil(
            [&] { return (sent += leaving.trySend(behind.substr(sent, 20000))) == behind.size(); }));
        runLoopFor(20);
        leaving.disconnect();
        runLoopFor(100);
        connectionOf("left")->send("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
        runLoopFor(1000);
        return attempts("left");
    }
    FakeServer silentDisk;
    std::vector<std::unique_ptr<Client>> crowd;
};

// Guards against a client whose going is not noticed because its bytes stay in the socket: a further attempt
// would begin for it.
TEST_F(MemoryTest, AClientThatLeavesIsNoticedThoughItsBytesStayInTheSocket) {
    EXPECT_EQ(attemptsOfAClientThatLeft(upload("behind", 8000)), 1u);
}

// The same with more than the socket's receive buffer holds.
TEST_F(MemoryTest, AClientThatLeavesIsNoticedBehindMoreThanASocketHolds) {
    std::string behind;
    for (int i = 0; i < 64; ++i) behind += upload("behind-" + std::to_string(i), 12000);
    EXPECT_EQ(attemptsOfAClientThatLeft(behind), 1u);
}

// The same behind a body that is longer than any may be.
TEST_F(MemoryTest, AClientThatLeavesIsNoticedBehindABodyThatIsTooLong) {
    const std::string head = "PUT /once HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n";
    EXPECT_EQ(attemptsOfAClientThatLeft(head + std::string(9500000, 'b')), 1u);
}

// Guards against requests that are read and never answered: of many that come at once each gets its answer,
// served where there is memory and refused where there is none.
TEST_F(MemoryTest, EachOfManyUploadsSentAtOnceIsAnswered) {
    memoryMb = 192;
    startUntilReady();
    disk->onRequest = [](AcceptedConnection& t) { t.send(okResponse("x")); };
    auto c = client();
    for (int i = 0; i < 64; ++i) c->connection->write(upload("u" + std::to_string(i), 12000, "60000"));
    const auto count = [&](const std::string& text) {
        std::size_t n = 0;
        for (std::size_t at = 0; (at = c->got.find(text, at)) != c->got.npos; ++at) ++n;
        return n;
    };
    EXPECT_TRUE(runLoopUntil([&] { return count("HTTP/1.1 ") == 64; }, 8000));
    EXPECT_EQ(count("HTTP/1.1 200"), 64u);
}
TEST_F(MemoryTest, WhatHasNoRoomBehindAnOpenRequestIsRefusedInItsTurn) {
    startUntilReady();
    fillMemory();
    auto c = client();
    c->send(requestText({.id = "open"}));
    ASSERT_TRUE(runLoopUntil([&] { return attempts("open") == 1; }));
    for (int i = 0; i < 64; ++i) c->connection->write(upload("u" + std::to_string(i), 12000));
    runLoopFor(300);
    EXPECT_LT(daemon->memory().used(), daemon->memory().capacity());
    disk->onRequest = [](AcceptedConnection& t) { t.send(okResponse("x")); };
    connectionOf("open")->send(okResponse("x"));
    const auto answers = [&] {
        std::size_t n = 0;
        for (std::size_t at = 0; (at = c->got.find("HTTP/1.1 ", at)) != c->got.npos; ++at) ++n;
        return n;
    };
    EXPECT_TRUE(runLoopUntil([&] { return answers() == 65; }, 5000)) << answers();
    EXPECT_EQ(c->got.find("HTTP/1.1 200"), 0u);
    EXPECT_EQ(c->got.find("HTTP/1.1 4"), c->got.npos);
    EXPECT_FALSE(c->closed);
}

// A large upload waits for memory in its socket and is served once there is some; if there is none in time it
// is refused, which promises that it had no effect. A small one is admitted at once.
TEST_F(MemoryTest, AnUploadWaitsForMemoryForAMomentAndIsThenRefused) {
    startUntilReady();
    fillMemory();
    const auto served = std::make_unique<Client>(port);
    served->send(upload("waits", 64 * 1024));
    runLoopFor(100);
    EXPECT_EQ(attempts("waits"), 0u);
    for (int i = 0; i < 20; ++i) crowd.erase(crowd.begin());
    ASSERT_TRUE(runLoopUntil([&] { return attempts("waits") == 1; }, 5000));

    fillMemory();
    const auto refused = std::make_unique<Client>(port);
    const auto small = std::make_unique<Client>(port);
    const double from = io::nowMs();
    refused->send(upload("refused", 64 * 1024));
    small->send(upload("small", 2000));
    ASSERT_TRUE(runLoopUntil([&] { return attempts("small") == 1; }, 200));
    ASSERT_TRUE(runLoopUntil([&] { return refused->answered(); }, 1000));
    EXPECT_LT(io::nowMs() - from, 500);
    EXPECT_EQ(refused->status(), 503);
    EXPECT_EQ(attempts("refused"), 0u);
}

// Guards against an upload that waits for memory and whose connection gives way to a new one: it would have
// been read and never answered.
TEST_F(MemoryTest, AnUploadThatWaitsForMemoryDoesNotGiveWayToANewConnection) {
    startUntilReady();
    fillMemory();
    const auto waits = std::make_unique<Client>(port);
    waits->send(upload("waits", 64 * 1024));
    runLoopFor(50);
    std::vector<std::unique_ptr<Client>> others;
    for (int i = 0; i < 60; ++i) {
        others.push_back(client());
        others.back()->send(upload("other-" + std::to_string(i), 100, "60000", 1));
        runLoopFor(2);
    }
    ASSERT_TRUE(runLoopUntil([&] { return waits->answered() || waits->closed; }, 1000));
    EXPECT_EQ(waits->status(), 503);
}

// Guards against answers that clients do not read and that are in no account: they stay within the budget,
// what it has no room for waits at the disk servers, and each client gets its answer once it reads.
TEST_F(MemoryTest, AnswersThatNobodyReadsStayWithinTheBudget) {
    startUntilReady();
    const std::string body(1 << 20, 'y');
    disk->onRequest = [&](AcceptedConnection& t) { t.send(okResponse(body)); };
    std::vector<std::unique_ptr<SocketClient>> clients;
    for (int i = 0; i < 30; ++i) {
        clients.push_back(std::make_unique<SocketClient>(port, 4096));
        clients.back()->send(requestText({.id = "r" + std::to_string(i), .timeout = "60000"}));
        runLoopFor(10);
    }
    runLoopFor(300);
    EXPECT_LE(daemon->memory().peak(), daemon->memory().capacity() + 30 * 64 * 1024);
    std::size_t whole = 0;
    for (auto& c : clients) {
        EXPECT_TRUE(runLoopUntil([&] { return c->read(), c->got.size() > body.size() || c->ended; }, 3000));
        whole += c->got.size() > body.size();
    }
    EXPECT_EQ(whole, clients.size());
}

// Guards against heads that take more memory than they are charged for: each field takes two strings, however
// short it is.
TEST_F(MemoryTest, AHeadOfManyShortFieldsIsChargedForItsStrings) {
    startUntilReady();
    constexpr std::size_t kFields = 60;
    const auto before = daemon->memory().used();
    std::string head = "GET /read HTTP/1.1\r\nHost: x\r\n";
    for (std::size_t i = 0; i < kFields; ++i) head += "a:b\r\n";
    auto c = client();
    c->send(head);
    runLoopFor(50);
    EXPECT_GE(daemon->memory().used() - before,
              fronts::http::kRequestOverheadBytes + kFields * 2 * sizeof(std::string));
}

}  // namespace

// The decisions themselves.
namespace fh = fronts::http;

TEST(MemoryDecisions, LargeBodiesLeaveRoomForSmallOnesAndForAnswers) {
    const std::uint64_t capacity = 16 << 20;
    EXPECT_TRUE(fh::mayTake(fh::RequestPlace::Next, 64 * 1024, {capacity, 0, 0}));
    EXPECT_FALSE(fh::mayTake(fh::RequestPlace::Next, 64 * 1024, {capacity, capacity * 3 / 4 - 100000, 0}));
    EXPECT_TRUE(fh::mayTake(fh::RequestPlace::Next, 4096, {capacity, capacity, 0}));
    EXPECT_FALSE(fh::mayTake(fh::RequestPlace::BehindOpen, 4096, {capacity, capacity / 2, 0}));
    EXPECT_FALSE(fh::mayTake(fh::RequestPlace::BehindOpen, 4096, {capacity, 0, capacity / 8}));
}

TEST(MemoryDecisions, NothingWaitsWhereItsClientCouldGoUnnoticedOrItsTimeRunOut) {
    const fh::MemoryState full{16 << 20, 16 << 20, 0};
    EXPECT_EQ(fh::admit(fh::RequestPlace::BehindOpen, 9000, full, 0, true), fh::Admission::Wait);
    EXPECT_EQ(fh::admit(fh::RequestPlace::BehindOpen, 9000, full, 0, false), fh::Admission::Refuse);
    EXPECT_EQ(fh::admit(fh::RequestPlace::Next, 9000, full, 100, false), fh::Admission::Wait);
    EXPECT_EQ(fh::admit(fh::RequestPlace::Next, 9000, full, 400, true), fh::Admission::Refuse);
}

}  // namespace spokewheel::platform::testing
