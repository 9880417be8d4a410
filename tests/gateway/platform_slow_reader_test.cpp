// Clients that read a long answer slowly while hundreds of others connect.
#include "platform_support.hpp"
#include "socket_client.hpp"

namespace spokewheel::platform::testing {
namespace {

class SlowReaderTest : public PlatformTest {
  protected:
    static constexpr std::size_t kAnswerBytes = 2000 * 1000;
    // Of a slow link: the system of the scheduler's machine then takes a part of the answer only.
    static constexpr int kReceiveBufferBytes = 16 * 1024, kSegmentBytes = 1460;

    void SetUp() override {
        PlatformTest::SetUp();
        sockets = 90;  // 33 for clients
        memoryMb = 192;
        disk->onRequest = [](AcceptedConnection& t) { t.send(okResponse(std::string(kAnswerBytes, 'x'))); };
    }
    // A client that has asked for the long answer and reads none of it.
    std::unique_ptr<SocketClient> slowReader(const std::string& id) {
        auto reader = std::make_unique<SocketClient>(port, kReceiveBufferBytes, kSegmentBytes);
        reader->send(requestText({.id = id, .timeout = "60000"}));
        const auto before = disk->requests();
        EXPECT_TRUE(runLoopUntil([&] { return disk->requests() > before; }));
        runLoopFor(100);
        return reader;
    }
    void connectCrowd(int size) {
        for (int i = 0; i < size; ++i) {
            crowd.push_back(std::make_unique<SocketClient>(port));
            if (i % 20 == 0) runLoopFor(5);
        }
        runLoopFor(50);
    }
    static bool whole(const SocketClient& reader) {
        const auto headEnd = reader.got.find("\r\n\r\n");
        return headEnd != std::string::npos && reader.got.size() == headEnd + 4 + kAnswerBytes;
    }
    bool readsAll(SocketClient& reader) {
        return runLoopUntil([&] { return reader.read(), whole(reader) || reader.ended || reader.reset; },
                            5000) &&
               whole(reader);
    }
    std::vector<std::unique_ptr<SocketClient>> crowd;
};

// Guards against an answer that is cut for a newcomer: its connection counted as idle (review/9).
TEST_F(SlowReaderTest, ItsAnswerIsNotCutForAnIdleCrowd) {
    startUntilReady();
    for (const int size : {50, 200}) {
        const auto reader = slowReader("read-" + std::to_string(size));
        connectCrowd(size);
        EXPECT_TRUE(readsAll(*reader)) << size << " idle clients, got " << reader->got.size();
        crowd.clear();
        runLoopFor(200);
    }
}

// The same where all connections are of such clients: idle ones that come make room for each other, and a
// request is answered.
TEST_F(SlowReaderTest, WhereAllReadAnAnswerNewcomersMakeRoomForEachOther) {
    startUntilReady();
    std::vector<std::unique_ptr<SocketClient>> readers;
    for (int i = 0; i < 33; ++i) readers.push_back(slowReader("read-" + std::to_string(i)));
    connectCrowd(60);
    SocketClient newcomer(port);
    newcomer.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(runLoopUntil([&] { return newcomer.read(), newcomer.answers() == 1; }, 1000));
    for (const auto& reader : readers) EXPECT_TRUE(readsAll(*reader)) << "got " << reader->got.size();
}

// A slow link is no reason to end an answer as long as the client takes it; one that takes nothing is ended.
TEST_F(SlowReaderTest, IsEndedOnlyOnceItTakesNothing) {
    startUntilReady();
    const auto reader = slowReader("slow"), stopped = slowReader("stopped");
    for (int i = 0; i < 70; ++i) {
        reader->readUpTo(10 * 1000);
        runLoopFor(100);
        ASSERT_FALSE(reader->ended || reader->reset) << "after " << i * 100 << " ms";
    }
    EXPECT_TRUE(readsAll(*reader)) << "got " << reader->got.size();
    EXPECT_FALSE(readsAll(*stopped));
}

}  // namespace
}  // namespace spokewheel::platform::testing
