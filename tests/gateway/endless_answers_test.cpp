// A real scheduler process whose disk server sends answers that never end. The fault: an answer without a
// known length was charged by its length so far, while the string that held it grew to twice its capacity,
// beside its former copy (review/7).
#include "single_scheduler.hpp"

namespace spokewheel::soak {
namespace {

enum class Form { Chunked, UntilClose, ThreeGigabytes };

struct EndlessPlay {
    const char* name;
    Form form;
    std::size_t memoryMb, sockets;
    double share;  // of the answers never end
};
void PrintTo(const EndlessPlay& play, std::ostream* out) { *out << play.name; }

class EndlessAnswers : public SingleScheduler, public ::testing::WithParamInterface<EndlessPlay> {
  protected:
    static constexpr int kServers = 10;
    static constexpr double kTimeoutMs = 7500, kPieceEveryMs = 50;
    static constexpr std::size_t kPieceBytes = 20000, kBodyBytes = 64 * 1024;
    // The program and the libraries that it uses count as memory too.
    static constexpr double kProgramFilesMb = 8;

    void SetUp() override {
        options.settings.memoryMb = GetParam().memoryMb;
        options.settings.sockets = GetParam().sockets;
        for (auto& requestClass : options.settings.classes) requestClass.deadlineMs = kTimeoutMs;
        startProcess("endless");
        for (int cell = 0; cell < kServers; ++cell) {
            const int diskPort = port();
            reactor.listen(diskPort, [this](TcpConnectionPtr connection) { serve(std::move(connection)); });
            agent->updateMember({"s-" + std::to_string(cell), "a", "up", cell, diskPort, 0, 0});
        }
        runFor(200);
    }
    void TearDown() override {
        diskConnections.clear();
        SingleScheduler::TearDown();
    }
    // Answers each head of a request; bodies are not looked at.
    void serve(TcpConnectionPtr connection) {
        const std::weak_ptr<TcpConnection> weak = connection;
        diskConnections.push_back(connection);
        connection->onEnd = [this, weak](TcpConnection::End) {
            const auto ended = weak.lock();
            diskConnections.erase(std::remove(diskConnections.begin(), diskConnections.end(), ended),
                                  diskConnections.end());
        };
        connection->onData = [this, weak](std::string_view bytes) {
            const auto open = weak.lock();
            if (open && bytes.find("\r\n\r\n") != std::string_view::npos) answer(open);
        };
    }
    void answer(const TcpConnectionPtr& connection) {
        const bool endless = std::uniform_real_distribution<>(0, 1)(draws) < GetParam().share;
        if (!endless) {
            connection->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) +
                              "\r\n\r\n" + std::string(kBodyBytes, 'x'));
            return;
        }
        ++endlessAnswers;
        static constexpr const char* kFraming[] = {"Transfer-Encoding: chunked\r\n", "Connection: close\r\n",
                                                   "Content-Length: 3000000000\r\n"};
        connection->write(std::string("HTTP/1.1 200 OK\r\n") +
                          kFraming[static_cast<std::size_t>(GetParam().form)] + "\r\n");
        sendPiece(connection);
    }
    void sendPiece(const std::weak_ptr<TcpConnection>& weak) {
        const auto connection = weak.lock();
        if (!connection || !connection->open()) return;
        const std::string piece(kPieceBytes, 'x');
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", kPieceBytes);
        connection->write(GetParam().form == Form::Chunked ? size + piece + "\r\n" : piece);
        reactor.after(kPieceEveryMs, [this, weak] { sendPiece(weak); });
    }
    // Sends the client's next read, if it has the answer to the one before.
    void askAgain(std::size_t i) {
        auto& client = clients[i];
        if (!client || client->ended) client = connect(), waiting[i] = false;
        const auto headEnd = client->received.find("\r\n\r\n");
        if (waiting[i] && headEnd == std::string::npos) return;
        if (waiting[i] && client->received.rfind("HTTP/1.1 200", 0) == 0) {
            if (client->received.size() < headEnd + 4 + kBodyBytes) return;
            ++whole;
        }
        client->received.clear();
        auto request = readRequest();
        request.cell = static_cast<int>(draws() % kServers);
        request.timeoutMs = kTimeoutMs;
        client->connection->write(formatRequest(request));
        waiting[i] = true;
        ++asked;
    }

    std::mt19937 draws{60};
    std::vector<TcpConnectionPtr> diskConnections;
    std::vector<bool> waiting;
    std::size_t endlessAnswers = 0, asked = 0, whole = 0;
};

TEST_P(EndlessAnswers, KeepTheProcessWithinItsMemory) {
    clients.resize(GetParam().sockets / 4);
    waiting.resize(clients.size());
    for (const double until = reactor.now() + 8000; reactor.now() < until && process->running();) {
        for (std::size_t i = 0; i < clients.size(); ++i) askAgain(i);
        runFor(100);
    }
    ASSERT_TRUE(process->running());
    RecordProperty("taken_mb", std::to_string(takenMb()));
    RecordProperty("whole", std::to_string(whole) + " of " + std::to_string(asked));
    EXPECT_GT(endlessAnswers, 20u);
    EXPECT_GT(whole, 50u) << "of " << asked;
    EXPECT_LT(takenMb() + kProgramFilesMb, 0.9 * static_cast<double>(GetParam().memoryMb));
}
INSTANTIATE_TEST_SUITE_P(Plays, EndlessAnswers,
                         ::testing::Values(EndlessPlay{"OneInTen", Form::Chunked, 32, 256, 0.1},
                                           EndlessPlay{"OneInFour", Form::Chunked, 32, 256, 0.25},
                                           EndlessPlay{"OneInTwo", Form::Chunked, 32, 256, 0.5},
                                           EndlessPlay{"UntilClose", Form::UntilClose, 32, 256, 0.25},
                                           EndlessPlay{"ThreeGigabytes", Form::ThreeGigabytes, 32, 256, 0.25},
                                           EndlessPlay{"ManyClients", Form::Chunked, 48, 1024, 0.25}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace spokewheel::soak
