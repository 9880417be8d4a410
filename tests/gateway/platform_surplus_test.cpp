// Disk servers that send more than belongs to an answer some milliseconds later, over networks of several
// lengths: no client gets what was made for another request, and nothing that runs once runs twice.
#include <poll.h>

#include <atomic>
#include <chrono>
#include <ostream>
#include <random>
#include <set>
#include <thread>

#include "platform_support.hpp"
#include "socket_client.hpp"

namespace spokewheel::platform::testing {
namespace {

enum class Surplus { Copy, HalfCopy, Noise, CopyAtOnce };

struct SurplusPlay {
    const char* name;
    double oneWayMs;
    Surplus surplus;
    double mostLateMs;
};
void PrintTo(const SurplusPlay& play, std::ostream* out) { *out << play.name; }

// Runs callbacks later on the event loop.
class Later {
  public:
    void run(double afterMs, std::function<void()> callback) {
        const auto timer = std::make_shared<io::Timer>();
        timers_.push_back(timer);
        timer->arm(afterMs, std::move(callback));
    }

  private:
    std::vector<std::shared_ptr<io::Timer>> timers_;
};

class SurplusTest : public PlatformTest, public ::testing::WithParamInterface<SurplusPlay> {
  protected:
    static constexpr double kServiceMs = 4, kShareWithSurplus = 0.2;

    void SetUp() override {
        PlatformTest::SetUp();
        disk->onRequest = [this](AcceptedConnection& t) {
            const auto id = *t.heads.back().find("X-Request-ID");
            const double onItsWayMs = GetParam().oneWayMs;
            later.run(onItsWayMs, [this, &t, id] {
                ++arrived[&t];
                ++executions[id];
                later.run(kServiceMs, [this, &t, id] { answer(t, id); });
            });
        };
    }
    static std::string answerTo(const std::string& id) { return okResponse("content of " + id); }
    // The server answers. With a surplus it looks at the connection until the moment in which it sends that,
    // and sends none if a request has come.
    void answer(AcceptedConnection& t, const std::string& id) {
        const double oneWayMs = GetParam().oneWayMs;
        const bool atOnce = GetParam().surplus == Surplus::CopyAtOnce;
        const bool withSurplus = std::uniform_real_distribution<>(0, 1)(random) < kShareWithSurplus;
        const auto text = answerTo(id);
        later.run(oneWayMs, [this, &t, text, twice = atOnce && withSurplus] {
            if (!t.closed) t.send(twice ? text + text : text);
        });
        if (!withSurplus || atOnce) return;
        const double lateMs = std::uniform_real_distribution<>(1, GetParam().mostLateMs)(random);
        later.run(lateMs, [this, &t, text, oneWayMs, before = arrived[&t]] {
            if (arrived[&t] != before) return;
            ++surplusSent;
            later.run(oneWayMs, [this, &t, text] {
                if (!t.closed) t.send(surplusOf(text));
            });
        });
    }
    std::string surplusOf(const std::string& text) {
        switch (GetParam().surplus) {
            case Surplus::HalfCopy:
                return text.substr(0, 1 + random() % (text.size() - 1));
            case Surplus::Noise:
                return std::string(1 + random() % 40, static_cast<char>(1 + random() % 255));
            default:
                return text;
        }
    }
    // A client that sends one request after the other, with pauses.
    struct PacedClient {
        std::unique_ptr<Client> client;
        std::string id;
        double nextAt = 0;
        bool waits = false;
    };
    void send(PacedClient& c, bool write) {
        c.id = "r" + std::to_string(++requests);
        if (!c.client || c.client->closed) c.client = client();
        c.client->got.clear();
        RequestFields fields{.id = c.id, .timeout = "2400"};
        if (write) {
            fields.method = "PUT", fields.path = "/once", fields.requestClass = "once";
            writes.insert(c.id);
        }
        c.client->send(requestText(fields));
        c.waits = true;
    }
    void finish(PacedClient& c) {
        const auto& got = c.client->got;
        c.waits = false;
        c.nextAt = io::nowMs() + std::uniform_real_distribution<>(5, 30)(random);
        if (c.client->status() != 200) return;
        ++served;
        const auto body = got.substr(got.find("\r\n\r\n") + 4);
        foreign += body != "content of " + c.id;
        servedUnrun += executions[c.id] == 0;
    }
    static bool whole(const Client& client) {
        const auto headEnd = client.got.find("\r\n\r\n");
        const auto length = client.got.find("Content-Length: ");
        if (headEnd == std::string::npos || length == std::string::npos) return false;
        return client.got.size() >= headEnd + 4 + std::stoul(client.got.substr(length + 16));
    }
    void playFor(double ms) {
        std::vector<PacedClient> clients(8);
        for (const double until = io::nowMs() + ms; io::nowMs() < until;) {
            g_main_context_iteration(nullptr, FALSE);
            for (auto& c : clients)
                if (c.waits && (whole(*c.client) || c.client->closed)) finish(c);
                else if (!c.waits && io::nowMs() >= c.nextAt) send(c, random() % 4 == 0);
        }
    }

    Later later;
    std::mt19937 random{60};
    std::map<AcceptedConnection*, int> arrived;
    std::map<std::string, int> executions;
    std::set<std::string> writes;
    int requests = 0, served = 0, foreign = 0, servedUnrun = 0, surplusSent = 0;
};

// Guards against a second answer that is still on its way when the next request is written on its connection:
// it was taken for the answer to that one, which came from another client (review/6).
TEST_P(SurplusTest, NobodyGetsWhatWasMadeForAnother) {
    startUntilReady();
    playFor(5000);
    EXPECT_EQ(foreign, 0) << "of " << served << " with " << surplusSent << " surplus";
    EXPECT_GT(served, requests * 3 / 4);
    EXPECT_EQ(servedUnrun, 0);
    for (const auto& id : writes) EXPECT_LE(executions[id], 1) << id;
}
INSTANTIATE_TEST_SUITE_P(Plays, SurplusTest,
                         ::testing::Values(SurplusPlay{"Near", 0, Surplus::Copy, 15},
                                           SurplusPlay{"OneRoom", 1.4, Surplus::Copy, 15},
                                           SurplusPlay{"ThreeRooms", 2.6, Surplus::Copy, 15},
                                           SurplusPlay{"Far", 20, Surplus::Copy, 15},
                                           SurplusPlay{"FarAndLate", 20, Surplus::Copy, 40},
                                           SurplusPlay{"HalfCopies", 2.6, Surplus::HalfCopy, 15},
                                           SurplusPlay{"Noise", 2.6, Surplus::Noise, 15},
                                           SurplusPlay{"AtOnce", 2.6, Surplus::CopyAtOnce, 0}),
                         [](const auto& info) { return info.param.name; });

// A disk server on a thread of its own, which answers whatever the scheduler does. Each connection carries
// the requests of the test; the answer names the request.
class ThreadedServer {
  public:
    // Returns what to send for a request, in order.
    using Answer = std::function<std::string(const std::string& id)>;
    explicit ThreadedServer(Answer answer)
        : answer_(std::move(answer)), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
        EXPECT_EQ(listen(listener_, 16), 0);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        thread_ = std::thread([this] { serve(); });
    }
    ~ThreadedServer() {
        ending_ = true;
        thread_.join();
        close(listener_);
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    int answered() const { return answered_; }
    int connections() const { return connections_; }

  private:
    void serve() {
        std::vector<pollfd> open = {{listener_, POLLIN, 0}};
        while (!ending_) {
            if (poll(open.data(), open.size(), 5) <= 0) continue;
            for (std::size_t i = open.size(); i-- > 1;)
                if (open[i].revents && !onReadable(open[i].fd)) {
                    close(open[i].fd);
                    open.erase(open.begin() + static_cast<std::ptrdiff_t>(i));
                }
            if (!open[0].revents) continue;
            open.push_back({accept(listener_, nullptr, nullptr), POLLIN, 0});
            ++connections_;
        }
        for (std::size_t i = 1; i < open.size(); ++i) close(open[i].fd);
    }
    bool onReadable(int connection) {
        char buffer[65536];
        const auto n = recv(connection, buffer, sizeof buffer, 0);
        if (n <= 0) return false;
        const std::string text(buffer, static_cast<std::size_t>(n));
        const auto at = text.find("X-Request-ID: ");
        if (at == std::string::npos) return true;
        const auto id = text.substr(at + 14, text.find("\r\n", at) - at - 14);
        const auto bytes = answer_(id);
        EXPECT_EQ(send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
        ++answered_;
        return true;
    }
    Answer answer_;
    int listener_, port_ = 0;
    std::atomic<bool> ending_{false};
    std::atomic<int> answered_{0}, connections_{0};
    std::thread thread_;
};

class CrossingTest : public PlatformTest {
  protected:
    static constexpr double kServiceMs = 40;

    void SetUp() override {
        PlatformTest::SetUp();
        known = listJson(41, true, memberJson("s-1", server.address(), 0));
        startUntilReady();
    }
    static void work() { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(kServiceMs)); }
    // Status and body of the answer to a request.
    std::pair<int, std::string> ask(const std::string& id, bool write = false) {
        auto c = client();
        RequestFields fields{.id = id, .timeout = "2400"};
        if (write) fields.method = "PUT", fields.path = "/once", fields.requestClass = "once";
        c->send(requestText(fields));
        EXPECT_TRUE(runLoopUntil([&] { return c->answered(); }));
        runLoopFor(5);
        return {c->status(), c->got.substr(c->got.find("\r\n\r\n") + 4)};
    }
    std::string copy;  // of an earlier answer: is on its way when the next request arrives
    ThreadedServer server{[this](const std::string& id) {
        if (const auto crossing = std::exchange(copy, {}); !crossing.empty()) return crossing;
        work();
        return okResponse("content of " + id);
    }};
};

// Guards against a copy that comes sooner than an answer can: it is the only sign of one on a server that has
// sent none before.
TEST_F(CrossingTest, AnAnswerThatComesSoonerThanAnyCanIsNone) {
    EXPECT_EQ(ask("a").second, "content of a");
    runLoopFor(15);
    copy = okResponse("content of a");
    const auto [status, body] = ask("b");
    EXPECT_EQ(status, 200);
    EXPECT_EQ(body, "content of b");
    EXPECT_EQ(server.connections(), 2);
}

// Guards against an answer that is taken for a copy because the process was delayed: when it came is then
// known only roughly, and on a new connection nothing else can come. The writes failed.
TEST_F(CrossingTest, AnAnswerFoundAfterAHoldUpIsNone) {
    for (const bool reused : {false, true}) {
        auto c = client();
        const auto id = reused ? "reused" : "new";
        c->send(
            requestText({.method = "PUT", .path = "/once", .requestClass = "once", .id = id, .body = "b"}));
        const int before = server.answered();
        // The test runs the loop only while the server has not answered.
        runLoopUntil([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<int>(kServiceMs) + 10));
            return server.answered() > before;
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
        ASSERT_TRUE(runLoopUntil([&] { return c->answered(); }));
        EXPECT_EQ(c->status(), 200) << id;
        runLoopFor(150);
    }
    EXPECT_EQ(server.connections(), 1);
}

}  // namespace
}  // namespace spokewheel::platform::testing
