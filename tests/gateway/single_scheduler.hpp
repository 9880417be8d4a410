// Test fixture: one real scheduler process on loopback with a disk server and a discovery agent, whose memory
// is sampled while the test runs.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "kit/soak/agent.hpp"
#include "kit/soak/disk_server.hpp"
#include "kit/soak/port_source.hpp"
#include "kit/soak/request.hpp"
#include "kit/soak/scheduler_process.hpp"

namespace spokewheel::soak {

// A client connection of a test.
struct TestClient {
    TcpConnectionPtr connection;
    std::string received;
    bool ended = false;

    std::size_t answers() const {
        std::size_t n = 0;
        for (std::size_t at = 0; (at = received.find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++n;
        return n;
    }
};

class SingleScheduler : public ::testing::Test {
  protected:
    // Starts the process with the limits of `options` and waits until it is ready.
    void startProcess(const std::string& name) {
        std::signal(SIGPIPE, SIG_IGN);
        // AddressSanitizer keeps freed memory in a quarantine, which is no memory that the program takes.
        setenv("ASAN_OPTIONS", "quarantine_size_mb=0:thread_local_quarantine_size_kb=0", 1);
        options.schedulerBinary = SPOKEWHEEL_BIN "/spokewheeld";
        options.folder = ::testing::TempDir() + name + "-" + std::to_string(getpid());
        options.schedulers = options.servers = 1;
        options.injectFaults = false;
        std::filesystem::create_directories(options.folder);
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
            if (process) mostMb = std::max(mostMb, process->anonymousMb());
        }
        return true;
    }
    void runFor(double ms) {
        runUntil(ms, [] { return false; });
    }
    std::shared_ptr<TestClient> connect() {
        auto client = std::make_shared<TestClient>();
        client->connection = reactor.dial(process->port());
        const std::weak_ptr<TestClient> weak = client;
        client->connection->onData = [weak](std::string_view bytes) {
            if (const auto c = weak.lock()) c->received += bytes;
        };
        client->connection->onEnd = [weak](TcpConnection::End) {
            if (const auto c = weak.lock()) c->ended = true;
        };
        return client;
    }
    static ClientRequest readRequest() {
        ClientRequest request;
        request.method = "GET";
        request.requestClass = "read";
        request.id = newRequestId();
        request.plan = "open";
        request.key = "7f3a9c21e0b4d655";
        request.timeoutMs = 4000;
        request.volume = "00000003b4d60021";
        return request;
    }
    static std::string upload(std::size_t bytes) {
        auto request = readRequest();
        request.method = "PUT";
        request.requestClass = "once";
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
    EventSink record = [](const Event&) {};
    std::unique_ptr<DiskServer> server;
    std::unique_ptr<Agent> agent;
    std::unique_ptr<SchedulerProcess> process;
    std::vector<std::shared_ptr<TestClient>> clients;
    double baseMb = 0, mostMb = 0;
};

}  // namespace spokewheel::soak
