// Test fixture: a platform scheduler on the test's event loop, with a fake disk server, discovery service and
// clients that do only what the test tells them.
#pragma once

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "io/connection.hpp"
#include "kit/soak/port_source.hpp"
#include "platform/platform_daemon.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::platform::testing {

// Runs the event loop until the condition holds; returns false if it does not within `ms`.
template <class Condition>
bool runLoopUntil(Condition condition, double ms = 3000) {
    for (const double until = io::nowMs() + ms; !condition();) {
        if (io::nowMs() > until) return false;
        g_main_context_iteration(nullptr, FALSE);
    }
    return true;
}
inline void runLoopFor(double ms) {
    runLoopUntil([] { return false; }, ms);
}

// A port for the scheduler to listen on later. It lies below the range that the system takes ports of
// outgoing connections from: one of those could otherwise take the port before the scheduler listens.
inline int freePort() {
    static soak::PortSource ports(static_cast<std::uint64_t>(::getpid()));
    return ports.take();
}

// An accepted connection with the requests received on it.
struct AcceptedConnection {
    std::shared_ptr<io::Connection> connection;
    wire::http::Parser parser{wire::http::Parser::Kind::Request};
    std::vector<wire::http::Head> heads;
    std::vector<std::string> bodies;
    std::string body;
    bool closed = false;
    void send(const std::string& bytes) {
        connection->write(bytes);
        connection->flush();
    }
};

// Accepts connections and records the requests. Answers only through onRequest or the test itself.
class FakeServer {
  public:
    explicit FakeServer(int port = 0)
        : listener_({"127.0.0.1", port}, [this](std::shared_ptr<io::Connection> c) {
              auto t = std::make_shared<AcceptedConnection>();
              t->connection = c;
              accepted.push_back(t);
              c->setHandler({{},
                             [this, t = t.get()](std::string_view bytes) { read(*t, bytes); },
                             {},
                             [t = t.get()](io::DisconnectReason) { t->closed = true; }});
          }) {}
    std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
    std::size_t requests() const {
        std::size_t n = 0;
        for (const auto& t : accepted) n += t->heads.size();
        return n;
    }
    // The connection that received the latest request; there must be one.
    AcceptedConnection& last() { return *lastActive; }
    std::vector<std::shared_ptr<AcceptedConnection>> accepted;
    AcceptedConnection* lastActive = nullptr;
    std::function<void(AcceptedConnection&)> onRequest;

  private:
    void read(AcceptedConnection& t, std::string_view bytes) {
        using Result = wire::http::Parser::Result;
        std::string_view part;
        for (;;) switch (t.parser.next(bytes, part)) {
                case Result::Body:
                    t.body += part;
                    break;
                case Result::Head:
                    break;
                case Result::End:
                    t.heads.push_back(t.parser.head());
                    t.bodies.push_back(std::exchange(t.body, {}));
                    t.parser.reset();
                    lastActive = &t;
                    if (onRequest) onRequest(t);
                    break;
                default:
                    return;
            }
    }
    io::Listener listener_;
};

// A client connection that records all bytes received.
struct Client {
    explicit Client(int port) {
        connection = io::Connection::dial({"127.0.0.1", port});
        connection->setHandler({[this] { connected = true; },
                                [this](std::string_view bytes) { got += bytes; },
                                {},
                                [this](io::DisconnectReason) { closed = true; }});
    }
    ~Client() { connection->close(); }
    void send(const std::string& bytes) {
        connection->write(bytes);
        connection->flush();
    }
    // The status of the latest answer, complete or not; 0 if there is none.
    int status() const {
        const auto at = got.rfind("HTTP/1.1 ");
        return at == got.npos || got.size() < at + 12 ? 0 : std::stoi(got.substr(at + 9, 3));
    }
    bool answered() const { return got.find("\r\n\r\n") != got.npos; }
    std::shared_ptr<io::Connection> connection;
    std::string got;
    bool connected = false, closed = false;
};

struct RequestFields {
    std::string method = "GET", path = "/read", requestClass = "read", plan = "open", id = "",
                key = "7f3a9c21e0b4d655";
    std::string timeout = "900", io = "volume=00000003b4d60021,units=2,shard=0,hosts=1", body = "";
};
inline std::string requestText(const RequestFields& f) {
    std::string out = f.method + " " + f.path + " HTTP/1.1\r\nHost: service.internal\r\n";
    if (!f.id.empty()) out += "X-Request-ID: " + f.id + "\r\n";
    out += "X-Priority-Class: " + f.requestClass + "\r\nX-Plan: " + f.plan + "\r\nCookie: block=" + f.key +
           "\r\nX-Timeout-Ms: " + f.timeout + "\r\nX-IO: " + f.io + "\r\n";
    if (f.method != "GET" || !f.body.empty())
        out += "Content-Length: " + std::to_string(f.body.size()) + "\r\n";
    return out + "\r\n" + f.body;
}
inline std::string okResponse(const std::string& body, const std::string& fields = "") {
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

inline std::string memberJson(const std::string& id, const std::string& address, int cell,
                              const std::string& phase = "up") {
    return R"({"id":")" + id + R"(","host_port":")" + address + R"(","locality":"a","flavor":"m2","cell":)" +
           std::to_string(cell) + R"(,"phase":")" + phase + R"(","size":1.0,"up_since_ms":0})";
}
inline std::string listJson(int revision, bool complete, const std::string& members) {
    return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" + (complete ? "true" : "false") +
           R"(,"members":[)" + members + "]}";
}
inline std::string httpChunk(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx", bytes.size());
    return std::string(size) + "\r\n" + bytes + "\r\n";
}
inline std::string lineChunk(const std::string& line) { return httpChunk(line + "\n"); }
constexpr const char* kWatchResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// A scheduler with one disk server, in cell 0. No test may violate an invariant.
class PlatformTest : public ::testing::Test {
  protected:
    void SetUp() override {
        port = freePort();
        disk = std::make_unique<FakeServer>();
        discovery = std::make_unique<FakeServer>();
        known = listJson(41, true, memberJson("s-1", disk->address(), 0));
    }
    void TearDown() override {
        if (daemon) {
            EXPECT_EQ(daemon->monitor().total(), 0u) << "an invariant was violated";
        }
    }
    std::string configuration(const std::string& discoveryAt) const {
        return R"({"name":"n0","listen":"127.0.0.1:)" + std::to_string(port) + R"(","discovery":")" +
               discoveryAt + R"(","seed":"8c1f30d27a5be964","limits":{"sockets":)" + std::to_string(sockets) +
               R"(,"memory_mb":)" + std::to_string(memoryMb) + R"(},"known":)" + known + R"(,"settings":)" +
               settings + "}";
    }
    void write(const std::string& text) const { std::ofstream(file) << text; }
    void startDaemon() {
        write(configuration(discovery->address()));
        daemon = std::make_unique<PlatformDaemon>(file, Environment{}, loop);
    }
    // Starts the daemon, reports "no change" from the discovery service and waits until it is ready.
    void startUntilReady() {
        startDaemon();
        ASSERT_TRUE(runLoopUntil([&] { return discovery->requests() == 1; }));
        discovery->last().send(std::string(kWatchResponseHead) + lineChunk(""));
        ASSERT_TRUE(runLoopUntil([&] { return readyStatus() == 200; }));
    }
    int readyStatus() {
        Client c(port);
        c.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        return runLoopUntil([&] { return c.answered() || c.closed; }) ? c.status() : 0;
    }
    std::unique_ptr<Client> client() { return std::make_unique<Client>(port); }

    std::string file = ::testing::TempDir() + "platform-" + std::to_string(::getpid()) + ".json";
    int port = 0, sockets = 256, memoryMb = 192;
    std::string known;
    std::string settings = R"({"classes":[
        {"name":"read","effect":"repeatable","deadline-ms":2500.0,"on-time-ms":500.0,"points":2.0},
        {"name":"once","effect":"once","deadline-ms":2500.0,"on-time-ms":500.0,"points":3.0}],
        "contracts":[{"name":"open","limit":0.0,"limit-burst":0.0,"nominal":10.0,"reservation":5.0,
        "shares":1.0},
        {"name":"limited","limit":2.0,"limit-burst":4.0,"nominal":3.0,"reservation":1.0,"shares":1.0}],
        "ceilings":{"send-cap":3,"dial-timeout-ms":250.0,"conn-idle-ms":30000.0,"retry-after":true,
        "max-retry-after-ms":1000.0,"peers":true},
        "domain":{"class-writes":[false,true],"mean-units":2.0,"units-top":6,"use-period-ms":1000.0},
        "peers-total":1,"rank":0,"tick-ms":2.0,"rules":{"grace-to-answer-ms":8.0,"drain-grace-ms":2000.0}})";
    io::Loop loop;
    std::unique_ptr<FakeServer> disk, discovery;
    std::unique_ptr<PlatformDaemon> daemon;
};

}  // namespace spokewheel::platform::testing
