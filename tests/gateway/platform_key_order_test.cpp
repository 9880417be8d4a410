// The order of requests with one key when the process is held up: what arrives meanwhile is found all at once
// by the next poll. A hold-up is a time in which the test does not run the event loop.
#include <chrono>
#include <random>
#include <thread>

#include "platform_support.hpp"
#include "socket_client.hpp"

namespace spokewheel::platform::testing {
namespace {

void holdUp(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

class KeyOrderTest : public PlatformTest {
  protected:
    static constexpr const char* kKey = "00000000000000a1";

    void SetUp() override {
        PlatformTest::SetUp();
        known = listJson(
            41, true,
            memberJson("s-1", disk->address(), 0) + "," + memberJson("s-2", silentDisk.address(), 1));
        const std::string anchor = R"({"name":"once")";
        settings.insert(settings.find(anchor),
                        R"({"name":"booking","effect":"by_key","deadline-ms":2500.0,"on-time-ms":500.0,)"
                        R"("memory-span-ms":1500.0,"in-order":true,"points":3.0},)");
        const std::string writes = "[false,true]";
        settings.replace(settings.find(writes), writes.size(), "[false,true,true]");
        disk->onRequest = [this](AcceptedConnection& t) {
            if (t.heads.back().method == "PUT") ran.push_back(t.bodies.back().substr(0, kNameLength));
            t.send(okResponse("done"));
        };
    }
    // A write whose body begins with `name`, which must be unique.
    static std::string write(const std::string& name, std::size_t bodyBytes = kNameLength,
                             const std::string& timeout = "1500", const std::string& key = kKey) {
        std::string body = name;
        body.resize(std::max(bodyBytes, kNameLength), '.');
        return requestText({.method = "PUT",
                            .path = "/booking",
                            .requestClass = "booking",
                            .id = "id-" + name,
                            .key = key,
                            .timeout = timeout,
                            .body = body});
    }
    // `shard` 1 is on a disk server that does not answer.
    static std::string read(const std::string& id, int shard = 0, const std::string& timeout = "2400") {
        return requestText(
            {.id = id,
             .key = "00000000000000ff",
             .timeout = timeout,
             .io = "volume=00000003b4d60021,units=2,shard=" + std::to_string(shard) + ",hosts=1"});
    }
    static std::string padded(std::string name) {
        name.resize(kNameLength, '.');
        return name;
    }
    // A connection on which a read has been answered.
    std::unique_ptr<SocketClient> establishedClient() {
        auto client = std::make_unique<SocketClient>(port);
        client->send(read("warm-" + std::to_string(++clients)));
        EXPECT_TRUE(runLoopUntil([&] { return client->read(), client->answers() == 1; }));
        runLoopFor(20);
        client->got.clear();
        return client;
    }
    bool runUntilRan(std::size_t count, double ms = 3000) {
        return runLoopUntil([&] { return ran.size() >= count; }, ms);
    }
    static std::vector<std::string> names(std::initializer_list<const char*> list) {
        std::vector<std::string> out;
        for (const auto* name : list) out.push_back(padded(name));
        return out;
    }
    static int statusOf(const SocketClient& client) {
        return client.got.size() < 12 ? 0 : std::stoi(client.got.substr(9, 3));
    }

    static constexpr std::size_t kNameLength = 12;
    FakeServer silentDisk;
    std::vector<std::string> ran;  // names of the writes in the order in which the disk server got them
    int clients = 0;
};

// Guards against an older write that replaces a newer one: connections were read in the order in which they
// were made, and a request's place in its key's queue was given as it was read.
TEST_F(KeyOrderTest, TheOlderWriteRunsFirstWhicheverConnectionIsOlder) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    int round = 0;
    for (const double apartMs : {1.0, 10.0, 40.0, 80.0, 120.0})
        for (const bool olderOnFirst : {true, false}) {
            ran.clear();
            const std::string suffix = std::to_string(++round);
            (olderOnFirst ? first : second)->send(write("older-" + suffix));
            holdUp(apartMs);
            (olderOnFirst ? second : first)->send(write("newer-" + suffix));
            holdUp(10);
            ASSERT_TRUE(runUntilRan(2));
            EXPECT_EQ(ran, (std::vector<std::string>{padded("older-" + suffix), padded("newer-" + suffix)}))
                << apartMs << " ms apart, older connection first: " << olderOnFirst;
        }
}

// The same with connections that are made while the process is held up.
TEST_F(KeyOrderTest, NewConnectionsKeepTheOrderOfWhatArrivedOnThem) {
    startUntilReady();
    for (const bool newerConnectsFirst : {true, false}) {
        ran.clear();
        const auto established = establishedClient();
        std::unique_ptr<SocketClient> newer, older;
        if (newerConnectsFirst) newer = std::make_unique<SocketClient>(port);
        older = std::make_unique<SocketClient>(port);
        if (!newer) newer = std::make_unique<SocketClient>(port);
        holdUp(30);
        const std::string suffix = newerConnectsFirst ? "a" : "b";
        older->send(write("older-" + suffix));
        holdUp(30);
        newer->send(write("newer-" + suffix));
        holdUp(30);
        established->send(write("newest-" + suffix));
        holdUp(10);
        ASSERT_TRUE(runUntilRan(3));
        EXPECT_EQ(ran, (std::vector<std::string>{padded("older-" + suffix), padded("newer-" + suffix),
                                                 padded("newest-" + suffix)}));
    }
}

// The same behind more connections than are accepted in one iteration of the loop.
TEST_F(KeyOrderTest, AnOlderWriteBehindManyNewConnectionsRunsFirst) {
    sockets = 1024;
    startUntilReady();
    const auto established = establishedClient();
    std::vector<std::unique_ptr<SocketClient>> idle;
    for (int i = 0; i < 150; ++i) idle.push_back(std::make_unique<SocketClient>(port));
    SocketClient older(port);
    older.send(write("older"));
    holdUp(60);
    established->send(write("newer"));
    holdUp(10);
    ASSERT_TRUE(runUntilRan(2));
    EXPECT_EQ(ran, names({"older", "newer"}));
}

// A request is taken with its last byte, not with its first.
TEST_F(KeyOrderTest, AWriteThatBeganEarlierAndEndedLaterRunsLater) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    for (const std::size_t headBytes : {40u, 250u}) {
        ran.clear();
        const std::string suffix = std::to_string(headBytes);
        const auto newer = write("newer-" + suffix), older = write("older-" + suffix);
        second->send(newer.substr(0, headBytes));
        holdUp(30);
        first->send(older.substr(0, headBytes));
        holdUp(10);
        first->send(older.substr(headBytes));
        holdUp(50);
        second->send(newer.substr(headBytes));
        holdUp(10);
        ASSERT_TRUE(runUntilRan(2));
        EXPECT_EQ(ran, (std::vector<std::string>{padded("older-" + suffix), padded("newer-" + suffix)}));
    }
}

// A large body takes several reads.
TEST_F(KeyOrderTest, ALargeOlderWriteRunsBeforeASmallNewerOne) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    int round = 0;
    for (const std::size_t bytes : {5000u, 20000u, 60000u})
        for (const bool olderOnFirst : {true, false}) {
            ran.clear();
            const std::string suffix = std::to_string(++round);
            (olderOnFirst ? first : second)->send(write("older-" + suffix, bytes));
            holdUp(60);
            (olderOnFirst ? second : first)->send(write("newer-" + suffix));
            holdUp(10);
            ASSERT_TRUE(runUntilRan(2));
            EXPECT_EQ(ran, (std::vector<std::string>{padded("older-" + suffix), padded("newer-" + suffix)}))
                << bytes << " bytes, older connection first: " << olderOnFirst;
        }
}

// Twenty connections, half of them new, in an order drawn from the seed.
TEST_F(KeyOrderTest, TwentyConnectionsKeepTheOrderOfArrival) {
    startUntilReady();
    std::mt19937 random(59);
    for (int round = 0; round < 5; ++round) {
        ran.clear();
        std::vector<std::unique_ptr<SocketClient>> all;
        for (int i = 0; i < 10; ++i) all.push_back(establishedClient());
        for (int i = 0; i < 10; ++i) all.push_back(std::make_unique<SocketClient>(port));
        std::shuffle(all.begin(), all.end(), random);
        std::vector<std::string> sent;
        for (std::size_t i = 0; i < all.size(); ++i) {
            const auto name = "r" + std::to_string(round) + "-" + std::to_string(i);
            all[i]->send(write(name, random() % 2 ? 12000 : 20));
            sent.push_back(padded(name));
            holdUp(3);
        }
        ASSERT_TRUE(runUntilRan(20));
        EXPECT_EQ(ran, sent) << "round " << round;
    }
}

// The order of one client's requests on its connection counts as well: a write behind an open read was taken
// before one that arrived later on another connection.
TEST_F(KeyOrderTest, AWritePipelinedBehindAnOpenReadKeepsItsPlace) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    first->send(read("slow", 1));
    ASSERT_TRUE(runLoopUntil([&] { return silentDisk.requests() == 1; }));
    first->send(write("older"));
    runLoopFor(50);
    second->send(write("newer"));
    runLoopFor(100);
    EXPECT_TRUE(ran.empty());
    silentDisk.last().send(okResponse("slow"));
    ASSERT_TRUE(runUntilRan(2));
    EXPECT_EQ(ran, names({"older", "newer"}));
}

// A request that waits for an earlier one of its key is refused in time, and the next one is served.
TEST_F(KeyOrderTest, ARequestThatWaitsForItsKeyIsAnsweredInTime) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    first->send(read("slow", 1, "1500"));
    ASSERT_TRUE(runLoopUntil([&] { return silentDisk.requests() == 1; }));
    first->send(write("older"));
    runLoopFor(20);
    second->send(write("newer", kNameLength, "300"));
    const double sentAt = io::nowMs();
    ASSERT_TRUE(runLoopUntil([&] { return second->read(), second->answers() == 1; }, 1000));
    EXPECT_LT(io::nowMs() - sentAt, 300 + 150);
    EXPECT_EQ(statusOf(*second), 503);
    second->got.clear();
    second->send(write("third"));
    silentDisk.last().send(okResponse("slow"));
    ASSERT_TRUE(runUntilRan(2));
    EXPECT_EQ(ran, names({"older", "third"}));
}

// A client that leaves holds up nobody behind it.
TEST_F(KeyOrderTest, AClientThatLeavesGivesUpItsPlace) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    first->send(read("slow", 1));
    ASSERT_TRUE(runLoopUntil([&] { return silentDisk.requests() == 1; }));
    first->send(write("older"));
    runLoopFor(20);
    second->send(write("newer"));
    runLoopFor(20);
    EXPECT_TRUE(ran.empty());
    first->disconnect();
    ASSERT_TRUE(runUntilRan(1, 500));
    EXPECT_EQ(ran, names({"newer"}));
}

// Requests with other keys don't wait for one another.
TEST_F(KeyOrderTest, OtherKeysAreServedMeanwhile) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    first->send(read("slow", 1));
    ASSERT_TRUE(runLoopUntil([&] { return silentDisk.requests() == 1; }));
    first->send(write("older"));
    runLoopFor(20);
    second->send(write("other", kNameLength, "1500", "00000000000000b2"));
    ASSERT_TRUE(runUntilRan(1, 500));
    EXPECT_EQ(ran, names({"other"}));
}

// What arrived in one hold-up in several pieces on one connection: the kernel tells only when the last piece
// came. A request whose place can't be known is refused, which is harmless; it never runs in the wrong place.
TEST_F(KeyOrderTest, ARequestWhoseTimeOfArrivalIsUnknownNeverRunsInTheWrongPlace) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    for (const bool writesOnFirst : {true, false}) {
        ran.clear();
        auto& two = writesOnFirst ? first : second;
        auto& one = writesOnFirst ? second : first;
        const std::string suffix = writesOnFirst ? "a" : "b";
        two->got.clear(), one->got.clear();
        two->send(write("w1-" + suffix));
        holdUp(50);
        one->send(write("w2-" + suffix));
        holdUp(50);
        two->send(write("w3-" + suffix));
        holdUp(5);
        ASSERT_TRUE(runLoopUntil(
            [&] { return two->read(), one->read(), two->answers() == 2 && one->answers() == 1; }));
        runLoopFor(20);
        const std::vector<std::string> all = {padded("w1-" + suffix), padded("w2-" + suffix),
                                              padded("w3-" + suffix)};
        EXPECT_TRUE(ran == all || ran == std::vector<std::string>(all.begin() + 1, all.end()))
            << ::testing::PrintToString(ran);
    }
}

// The same where the first of them ends where a read of the scheduler ends.
TEST_F(KeyOrderTest, NorIfItsLastByteIsTheLastOfARead) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    constexpr std::size_t kBodyBytes = 3000;  // of as many digits as the body's size below
    const std::size_t headBytes = write("w1", kBodyBytes).size() - kBodyBytes;
    const auto w1 = write("w1", fronts::http::kClientReadChunkBytes - headBytes);
    ASSERT_EQ(w1.size(), fronts::http::kClientReadChunkBytes);
    first->send(w1);
    holdUp(50);
    second->send(write("w2"));
    holdUp(50);
    first->send(write("w3"));
    holdUp(5);
    ASSERT_TRUE(runLoopUntil(
        [&] { return first->read(), second->read(), first->answers() == 2 && second->answers() == 1; }));
    EXPECT_TRUE(ran == names({"w1", "w2", "w3"}) || ran == names({"w2", "w3"}))
        << ::testing::PrintToString(ran);
}

// Several requests in one segment arrived at one time, which is known.
TEST_F(KeyOrderTest, RequestsSentAtOnceOnOneConnectionAreServedInTheirPlace) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    for (const bool writesOnFirst : {true, false}) {
        ran.clear();
        auto& two = writesOnFirst ? first : second;
        auto& one = writesOnFirst ? second : first;
        const std::string suffix = writesOnFirst ? "a" : "b";
        one->send(write("w1-" + suffix));
        holdUp(60);
        two->send(write("w2-" + suffix) + write("w3-" + suffix));
        holdUp(10);
        ASSERT_TRUE(runUntilRan(3));
        EXPECT_EQ(ran, (std::vector<std::string>{padded("w1-" + suffix), padded("w2-" + suffix),
                                                 padded("w3-" + suffix)}));
    }
}

// A client that sends without end holds up a write for no longer than it takes to read what came before it.
TEST_F(KeyOrderTest, AFloodOnAnotherConnectionDoesNotHoldUpAWrite) {
    startUntilReady();
    const auto first = establishedClient(), flood = establishedClient();
    std::string reads;
    for (int i = 0; i < 200; ++i) reads += read("flood-" + std::to_string(i), 1, "200");
    flood->trySend(reads);
    first->send(write("write"));
    const double sentAt = io::nowMs();
    ASSERT_TRUE(runLoopUntil([&] { return flood->trySend("x"), ran.size() == 1; }, 1000));
    EXPECT_LT(io::nowMs() - sentAt, 150);
}

// A client that sends uploads without end, as much as its connection takes.
class EndlessUploader {
  public:
    EndlessUploader(int port, std::string name) : client_(port), name_(std::move(name)) {}
    void sendMore() {
        for (std::size_t sent = 1; sent > 0;) {
            if (at_ == upload_.size()) beginUpload();
            sent = client_.trySend(upload_.substr(at_));
            at_ += sent;
        }
        client_.read();
        client_.got.clear();
    }

  private:
    // With a time-out that is over at once: it is refused as soon as it has been read.
    void beginUpload() {
        upload_ = requestText({.method = "PUT",
                               .path = "/once",
                               .requestClass = "once",
                               .id = name_ + "-" + std::to_string(++uploads_),
                               .timeout = "0",
                               .body = std::string(64 * 1024, 'b')});
        at_ = 0;
    }
    SocketClient client_;
    std::string name_, upload_;
    std::size_t at_ = 0;
    int uploads_ = 0;
};

// There is always something unread on the connections of such clients, more than is read in an iteration of
// the loop, but what arrived after a write is none of its business.
TEST_F(KeyOrderTest, EndlessUploadersDoNotHoldUpAWrite) {
    constexpr int kMostIterations = 400;  // about ten are needed without the uploaders
    startUntilReady();
    const auto first = establishedClient();
    std::vector<std::unique_ptr<EndlessUploader>> uploaders;
    for (int i = 0; i < 3; ++i)
        uploaders.push_back(std::make_unique<EndlessUploader>(port, "uploader-" + std::to_string(i)));
    for (std::size_t i = 0; i < 5; ++i) {
        for (const auto& uploader : uploaders) uploader->sendMore();
        first->send(write("write-" + std::to_string(i), kNameLength, "60000"));
        for (int n = 0; ran.size() <= i && n < kMostIterations; ++n) {
            for (const auto& uploader : uploaders) uploader->sendMore();
            g_main_context_iteration(nullptr, FALSE);
        }
        ASSERT_EQ(ran.size(), i + 1);
    }
}

// Guards against an iteration of the loop in which all that a flood has sent is read for one write.
TEST_F(KeyOrderTest, ReadingWhatArrivedEarlierTakesNoMoreThanATurn) {
    startUntilReady();
    const auto first = establishedClient(), flood = establishedClient();
    std::string reads;
    for (int i = 0; i < 400; ++i) reads += read("over-" + std::to_string(i), 0, "0");
    flood->trySend(reads);
    holdUp(5);
    first->send(write("write"));
    holdUp(5);
    for (int before = 0; flood->answers() < 400; before = flood->answers()) {
        g_main_context_iteration(nullptr, FALSE);
        flood->read();
        ASSERT_LE(flood->answers() - before, static_cast<int>(2 * fronts::http::kRequestsPerTurn));
    }
    EXPECT_TRUE(runUntilRan(1));
}

// What follows a request that waits for its key is not late, however long that waits.
TEST_F(KeyOrderTest, AnIncompleteRequestBehindOneThatWaitsIsNoReasonToEndItsConnection) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    first->send(read("slow", 1, "8000"));
    ASSERT_TRUE(runLoopUntil([&] { return silentDisk.requests() == 1; }));
    first->send(write("older", kNameLength, "8000"));
    runLoopFor(20);
    const auto third = write("third", kNameLength, "8000");
    second->send(write("newer", kNameLength, "8000"));
    runLoopFor(20);
    second->send(third.substr(0, 100));
    runLoopFor(3200);
    silentDisk.last().send(okResponse("slow"));
    ASSERT_TRUE(runUntilRan(2));
    second->send(third.substr(100));
    ASSERT_TRUE(runUntilRan(3));
    EXPECT_EQ(ran, names({"older", "newer", "third"}));
}

// A process that ends gives up the places of requests that nobody has answered.
TEST_F(KeyOrderTest, ARequestThatWaitsIsForgottenWithItsServer) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    first->send(read("slow", 1));
    ASSERT_TRUE(runLoopUntil([&] { return silentDisk.requests() == 1; }));
    first->send(write("older"));
    second->send(write("newer"));
    runLoopFor(50);
    daemon.reset();
    runLoopFor(50);
    EXPECT_TRUE(ran.empty());
}

// An upload that waits for memory keeps its place before a small write that arrived later.
class KeyOrderWithLittleMemory : public KeyOrderTest {
  protected:
    void SetUp() override {
        KeyOrderTest::SetUp();
        memoryMb = 16;
    }
    static std::string openUpload(int number) {
        return requestText({.method = "PUT",
                            .path = "/once",
                            .requestClass = "once",
                            .id = "crowd-" + std::to_string(number),
                            .timeout = "60000",
                            .io = "volume=00000003b4d60021,units=2,shard=1,hosts=1",
                            .body = std::string(64 * 1024, 'b')});
    }
    // Opens uploads that stay open until an upload of 60 KB has no room.
    void fillMemory() {
        const auto full = [&] {
            const auto& memory = daemon->memory();
            return !fronts::http::mayTake(fronts::http::RequestPlace::Next, 60000,
                                          {memory.capacity(), memory.used(), 0});
        };
        for (int i = 0; i < 100 && !full(); ++i) {
            crowd.push_back(client());
            crowd.back()->send(openUpload(i));
            runLoopFor(3);
        }
        ASSERT_TRUE(full());
    }
    std::vector<std::unique_ptr<Client>> crowd;
};

TEST_F(KeyOrderWithLittleMemory, AnUploadThatWaitsForMemoryIsNotOvertaken) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    fillMemory();
    first->send(write("older", 60000));
    runLoopFor(60);
    second->send(write("newer"));
    runLoopFor(60);
    EXPECT_TRUE(ran.empty()) << ran.front();
    crowd.clear();  // there is room again
    ASSERT_TRUE(runUntilRan(2));
    EXPECT_EQ(ran, names({"older", "newer"}));
}

// An upload of which a part is missing has not been taken yet.
TEST_F(KeyOrderWithLittleMemory, AnUploadThatIsNotWholeHoldsUpNobody) {
    startUntilReady();
    const auto first = establishedClient(), second = establishedClient();
    fillMemory();
    first->send(write("older", 60000).substr(0, 30000));
    runLoopFor(60);
    second->send(write("newer"));
    ASSERT_TRUE(runUntilRan(1, 300));
    EXPECT_EQ(ran, names({"newer"}));
}

}  // namespace
}  // namespace spokewheel::platform::testing
