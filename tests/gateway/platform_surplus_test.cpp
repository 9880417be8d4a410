// Disk servers that send more than belongs to an answer some milliseconds later, over networks of several
// lengths: no client gets what was made for another request, and nothing that runs once runs twice.
#include <ostream>
#include <random>
#include <set>

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

}  // namespace
}  // namespace spokewheel::platform::testing
