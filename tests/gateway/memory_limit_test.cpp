// Real scheduler processes whose clients together send more than the memory limit holds.
//
// The fault that these tests guard against: bodies that were being read and those of open requests were in no
// account of memory, and each connection could always keep 32 KiB more behind its open request. So memory
// grew with the number of descriptors whatever the limit was: 222 clients with uploads of 64 KiB took a
// scheduler over 32 MiB, and the platform killed it. See docs/incidents/2026-12-04-memory-of-uploads.md.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <memory>

#include "kit/soak/agent.hpp"
#include "kit/soak/disk_server.hpp"
#include "kit/soak/port_source.hpp"
#include "kit/soak/request.hpp"
#include "kit/soak/scheduler_process.hpp"

namespace spokewheel::soak {
namespace {

struct Limits {
    std::size_t memoryMb, sockets;
    std::size_t uploadBytes;  // of each body
    int uploads;              // that each client sends at once
    bool whole;               // whether the last one is sent to its end
};
void PrintTo(const Limits& limits, std::ostream* out) {
    *out << limits.memoryMb << "MiB_" << limits.sockets << "sockets_" << limits.uploads << "x"
         << limits.uploadBytes << (limits.whole ? "" : "_cut");
}

class MemoryLimit : public ::testing::TestWithParam<Limits> {
  protected:
    struct Client {
        TcpConnectionPtr connection;
        std::string received;
        bool ended = false;
    };
    void SetUp() override {
        std::signal(SIGPIPE, SIG_IGN);
        // AddressSanitizer keeps freed memory in a quarantine, which is no memory that the program takes.
        setenv("ASAN_OPTIONS", "quarantine_size_mb=0:thread_local_quarantine_size_kb=0", 1);
        options.schedulerBinary = SPOKEWHEEL_BIN "/spokewheeld";
        options.folder = ::testing::TempDir() + "memory-" + std::to_string(getpid());
        options.schedulers = options.servers = 1;
        options.injectFaults = false;
        options.settings.memoryMb = GetParam().memoryMb;
        options.settings.sockets = GetParam().sockets;
        for (auto& requestClass : options.settings.classes) requestClass.deadlineMs = 4000;
        std::filesystem::create_directories(options.folder);
        record = [](const Event&) {};
        agent = std::make_unique<Agent>(reactor, random, record, 0, port(), [](const Member&) {});
        process = std::make_unique<SchedulerProcess>(reactor, options, record, 0,
                                                     std::vector<Ports>{{port(), port()}});
        server = std::make_unique<DiskServer>(reactor, random, record, DiskServer::Identity{"s-0", "a", 0},
                                              std::vector<int>{port()});
        server->setRandomFaults(false);
        agent->updateMember({"s-0", "a", "up", 0, server->portFor(0), 0, 0});
        process->writeConfiguration(agent->port(), agent->fullListJson(0));
        process->start();
        ASSERT_TRUE(runUntil(8000, [&] { return process->ready(); }));
        baseMb = process->anonymousMb();
    }
    void TearDown() override {
        clients.clear();
        process.reset();
        agent.reset();
        server.reset();
        if (!HasFailure()) std::filesystem::remove_all(options.folder);  // logs of failed tests are kept
    }
    int port() { return portSource.take(); }
    template <class Condition>
    bool runUntil(double ms, Condition condition) {
        for (const double until = reactor.now() + ms; !condition();) {
            if (reactor.now() >= until) return false;
            reactor.runUntil(reactor.now() + 5);
            mostMb = std::max(mostMb, process ? process->anonymousMb() : 0);
        }
        return true;
    }
    std::shared_ptr<Client> connect() {
        auto client = std::make_shared<Client>();
        client->connection = reactor.dial(process->port());
        const std::weak_ptr<Client> weak = client;
        client->connection->onData = [weak](std::string_view bytes) {
            if (const auto c = weak.lock()) c->received += bytes;
        };
        client->connection->onEnd = [weak](TcpConnection::End) {
            if (const auto c = weak.lock()) c->ended = true;
        };
        return client;
    }
    static std::string upload(std::size_t bytes) {
        ClientRequest request;
        request.method = "PUT";
        request.requestClass = "once";
        request.id = newRequestId();
        request.plan = "open";
        request.key = "7f3a9c21e0b4d655";
        request.timeoutMs = 4000;
        request.volume = "00000003b4d60021";
        request.body.assign(bytes, 's');
        return formatRequest(request);
    }
    // Memory that the process took since it was ready, and that a small program has by then. The build with
    // sanitizers has more.
    double takenMb() const { return mostMb - baseMb + std::min(baseMb, 2.0); }

    Options options;
    Reactor reactor;
    PortSource portSource{3};
    Random random{7};
    EventSink record;
    std::unique_ptr<DiskServer> server;
    std::unique_ptr<Agent> agent;
    std::unique_ptr<SchedulerProcess> process;
    std::vector<std::shared_ptr<Client>> clients;
    double baseMb = 0, mostMb = 0;
};

// Clients that hold a third of the descriptors send uploads at once, and a usual client sends small ones
// meanwhile: the process stays within its limit, and each of the usual client's uploads is answered in time.
TEST_P(MemoryLimit, HoldsWhateverClientsSendAtOnce) {
    const auto& param = GetParam();
    server->setMode(DiskServer::Mode::Hanging);  // nothing is answered before its time is up
    auto usual = connect();
    std::size_t sent = 0;
    const auto sendSmall = [&] {
        usual->connection->write(upload(2000));
        ++sent;
    };
    const auto answers = [&] {
        std::size_t n = 0;
        for (std::size_t at = 0; (at = usual->received.find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++n;
        return n;
    };
    for (std::size_t i = 0; i + 1 < param.sockets / 3 && process->running(); ++i) {
        std::string text;
        for (int n = 0; n < param.uploads; ++n) text += upload(param.uploadBytes);
        if (!param.whole) text.resize(text.size() - 100);
        clients.push_back(connect());
        clients.back()->connection->write(text);
        runUntil(2, [] { return false; });
    }
    server->setMode(DiskServer::Mode::Serving);
    server->setInstant(true);
    for (int i = 0; i < 10 && process->running(); ++i) {
        sendSmall();
        runUntil(4500, [&] { return answers() == sent || usual->ended; });
        if (usual->ended) usual = connect(), sent = answers();
    }
    EXPECT_EQ(answers(), sent) << "answers of the usual client";
    ASSERT_TRUE(process->running());
    RecordProperty("taken_mb", std::to_string(takenMb()));
    EXPECT_LT(takenMb(), static_cast<double>(param.memoryMb));
}

INSTANTIATE_TEST_SUITE_P(Sizes, MemoryLimit,
                         ::testing::Values(Limits{32, 672, 64 * 1024, 8, false},
                                           Limits{32, 1024, 64 * 1024, 8, false},
                                           Limits{48, 1024, 64 * 1024, 8, true},
                                           Limits{32, 1024, 64 * 1024, 1, false},
                                           Limits{32, 1024, 12000, 40, true}),
                         ::testing::PrintToStringParamName());

}  // namespace
}  // namespace spokewheel::soak
