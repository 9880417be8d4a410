// Ids of requests: none may be at two disk servers at once, also not after its client has left.
#include "platform_support.hpp"
#include "socket_client.hpp"

namespace spokewheel::platform::testing {
namespace {

class RequestIds : public PlatformTest {
  protected:
    std::size_t attempts(const std::string& id) const {
        std::size_t n = 0;
        for (const auto& t : disk->accepted)
            for (const auto& head : t->heads) n += *head.find("X-Request-ID") == id;
        return n;
    }
    static std::string request(const std::string& requestClass, const std::string& id) {
        const bool once = requestClass == "once";
        return requestText({.method = once ? "PUT" : "GET",
                            .path = "/" + requestClass,
                            .requestClass = requestClass,
                            .id = id,
                            .body = once ? "b" : ""});
    }
    // A client sends the id and leaves once the disk server works on it; then the id comes again.
    void sendAgainAfterTheClientLeft(const std::string& requestClass) {
        startUntilReady();
        auto leaving = client();
        leaving->send(request(requestClass, "again"));
        ASSERT_TRUE(runLoopUntil([&] { return attempts("again") == 1; }));
        leaving.reset();
        runLoopFor(50);
        second = client();
        second->send(request(requestClass, "again"));
        runLoopFor(100);
    }
    std::unique_ptr<Client> second;
};

// Guards against an id that is forgotten with its client while a disk server still works on it.
TEST_F(RequestIds, AnIdIsNotTakenAgainWhileAnAttemptForAClientThatLeftIsOpen) {
    sendAgainAfterTheClientLeft("once");
    EXPECT_EQ(second->status(), 409);
    EXPECT_EQ(attempts("again"), 1u);
}
TEST_F(RequestIds, NorIfItsClassMayBeRepeated) {
    sendAgainAfterTheClientLeft("read");
    EXPECT_EQ(second->status(), 409);
    EXPECT_EQ(attempts("again"), 1u);
}

// Guards against an id that runs a second time once the attempt for the client that left has ended.
TEST_F(RequestIds, NorOnceThatAttemptHasRun) {
    sendAgainAfterTheClientLeft("once");
    disk->last().send(okResponse("x"));
    runLoopFor(100);
    auto third = client();
    third->send(request("once", "again"));
    runLoopFor(100);
    EXPECT_EQ(third->status(), 409);
    EXPECT_EQ(attempts("again"), 1u);
}

// An id that was answered may be used again.
TEST_F(RequestIds, AnAnsweredIdMayComeAgain) {
    startUntilReady();
    disk->onRequest = [](AcceptedConnection& t) { t.send(okResponse("x")); };
    auto c = client();
    for (int i = 0; i < 2; ++i) {
        c->got.clear();
        c->send(request("read", "twice"));
        ASSERT_TRUE(runLoopUntil([&] { return c->answered(); }));
        EXPECT_EQ(c->status(), 200);
    }
}

// A client that left before any attempt began has run nothing: its id may come again.
TEST_F(RequestIds, AnIdWithoutAnAttemptMayComeAgain) {
    startUntilReady();
    auto held = client();
    held->send(requestText({.id = "unknown-cell", .io = "volume=00000003b4d60021,units=2,shard=7,hosts=1"}));
    runLoopFor(50);
    held.reset();
    runLoopFor(50);
    disk->onRequest = [](AcceptedConnection& t) { t.send(okResponse("x")); };
    auto c = client();
    c->send(request("read", "unknown-cell"));
    ASSERT_TRUE(runLoopUntil([&] { return c->answered(); }));
    EXPECT_EQ(c->status(), 200);
}

}  // namespace
}  // namespace spokewheel::platform::testing
