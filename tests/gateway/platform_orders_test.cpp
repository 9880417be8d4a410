// Random event orders for one scheduler, by seed: clients that send requests in pieces, pipeline them and
// leave; disk servers that serve, refuse, abort, hang, drain and are replaced; changes of the node list and
// moves of the list service; the shutdown. The rules are checked against what the clients and the disk
// servers observed.
#include <cstdlib>
#include <random>
#include <set>

#include "platform_support.hpp"

namespace spokewheel::platform::testing {
namespace {

// How long a drain, the departure of a client and the end of a request's time-out may go unnoticed. A drain
// counts as known when it is written to the watch, even if the watch is not open. It may just have been
// reset, so half of the settings' grace of 2 s must suffice for a new watch to deliver it.
constexpr double kDrainGraceMs = 1000, kClientGoneGraceMs = 100, kAnswerGraceMs = 500;

struct SentRequest {
    std::string id;
    bool once = false, abandoned = false;
    double sentAt = 0, abandonedAt = 0, ttlMs = 0;
};

struct RandomClient {
    explicit RandomClient(int port) : client(port) {}
    Client client;
    std::vector<SentRequest> requests;  // in order
    std::string unsent;                 // rest of a request that is sent in pieces
    bool left = false;
};

class Orders : public PlatformTest, public ::testing::WithParamInterface<unsigned> {
  protected:
    struct Disk {
        std::unique_ptr<FakeServer> server;
        std::string id;
        int cell = 0;
        bool drained = false;
        double drainAnnouncedAt = 0;
    };
    int draw(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }

    void addDisk(int cell) {
        auto d = std::make_shared<Disk>();
        d->server = std::make_unique<FakeServer>();
        d->id = "s-" + std::to_string(disks_.size());
        d->cell = cell;
        disks_.push_back(d);
        d->server->onRequest = [this, d = d.get()](AcceptedConnection& t) { onDiskRequest(*d, t); };
    }
    void onDiskRequest(Disk& d, AcceptedConnection& t) {
        const auto id = *t.heads.back().find("X-Request-ID");
        const double now = io::nowMs();
        if (d.drained && now > d.drainAnnouncedAt + kDrainGraceMs)
            reportViolation("sent to a drained node: " + id);
        for (const auto& randomClient : clients_)
            for (const auto& a : randomClient->requests)
                if (a.id == id && a.abandoned && now > a.abandonedAt + kClientGoneGraceMs)
                    reportViolation("sent after its client had gone: " + id);
        switch (draw(12)) {
            case 0:
                return t.send("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
            case 1:
                return ++executions_[id], t.send("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
            case 2:
                return ++executions_[id], t.connection->reset();
            case 3:
                return ++executions_[id], t.connection->close();
            case 4:
                ++executions_[id];
                t.send("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nhalf");
                return t.connection->reset();
            case 5:
                ++executions_[id];
                t.send("HTTP/1.1 200 OK\r\n\r\n" + id);
                return t.connection->shutdownWrite();
            case 6:
                return void(++executions_[id]);  // hangs
            case 7:
                ++executions_[id];
                return t.send("noise\r\n\r\n");
            default:
                ++executions_[id];
                return t.send(okResponse(id));
        }
    }
    std::string members() const {
        std::string out;
        for (const auto& d : disks_)
            if (!d->drained)
                out += (out.empty() ? "" : ",") + memberJson(d->id, d->server->address(), d->cell);
        return out;
    }
    void announce(const std::string& list) {
        for (auto& server : discoveryServers_)
            if (server->lastActive && !server->lastActive->closed) server->last().send(lineChunk(list));
    }
    void addDiscoveryServer() {
        discoveryServers_.push_back(std::make_unique<FakeServer>());
        discoveryServers_.back()->onRequest = [this](AcceptedConnection& t) {
            t.send(std::string(kWatchResponseHead) + lineChunk(listJson(revision_, true, members())));
        };
    }
    std::string nextRequest(RandomClient& t) {
        SentRequest a;
        a.id = "q" + std::to_string(++requestCount_);
        a.once = draw(2);
        a.ttlMs = 200 + draw(700);
        a.sentAt = io::nowMs();
        t.requests.push_back(a);
        return requestText(
            {.method = a.once ? "PUT" : "GET",
             .path = a.once ? "/once" : "/read",
             .requestClass = a.once ? "once" : "read",
             .id = a.id,
             .timeout = std::to_string(static_cast<int>(a.ttlMs)),
             .io = "volume=00000003b4d60021,units=2,shard=" + std::to_string(draw(3)) + ",hosts=1",
             .body = a.once ? std::string(static_cast<std::size_t>(draw(2000)), 'b') : ""});
    }
    void randomStep() {
        const int action = draw(24);
        if (action < 2 && clients_.size() < 40)
            return clients_.push_back(std::make_unique<RandomClient>(port));
        if (action < 16) {
            if (clients_.empty()) return;
            auto& t = *clients_[static_cast<std::size_t>(draw(static_cast<int>(clients_.size())))];
            if (t.left || t.client.closed) return;
            if (!t.unsent.empty()) {
                const auto n =
                    std::min<std::size_t>(t.unsent.size(), static_cast<std::size_t>(1 + draw(400)));
                t.client.send(t.unsent.substr(0, n));
                t.unsent.erase(0, n);
                if (t.unsent.empty())
                    t.requests.back().sentAt = io::nowMs();  // its time-out counts from its last byte
            } else if (action < 13) {
                t.client.send(nextRequest(t));
                if (draw(6) == 0) t.client.send(nextRequest(t));
            } else if (action == 13) t.unsent = nextRequest(t);
            else if (action == 14) {
                for (auto& a : t.requests) a.abandoned = true, a.abandonedAt = io::nowMs();
                t.client.connection->close();
                t.left = true;
            }
            return;
        }
        if (action < 18) {  // a disk server drains and another one takes over its cell
            auto& d = *disks_[static_cast<std::size_t>(draw(static_cast<int>(disks_.size())))];
            if (d.drained || disks_.size() > 12) return;
            d.drained = true;
            d.drainAnnouncedAt = io::nowMs();
            addDisk(d.cell);
            ++revision_;
            // The successor is listed with the drain or some time later; until then the cell's requests wait.
            const auto& added = *disks_.back();
            const auto gone = memberJson(d.id, d.server->address(), d.cell, draw(2) ? "draining" : "removed");
            const auto successor = memberJson(added.id, added.server->address(), added.cell);
            if (draw(2)) return announce(listJson(revision_, false, gone + "," + successor));
            unlistedSuccessors_.push_back(successor);
            return announce(listJson(revision_, false, gone));
        }
        if (action > 20 && !unlistedSuccessors_.empty()) {
            announce(listJson(++revision_, false, unlistedSuccessors_.front()));
            return void(unlistedSuccessors_.erase(unlistedSuccessors_.begin()));
        }
        if (action == 18 && discoveryServers_.size() < 3) {  // the list service moves
            addDiscoveryServer();
            write(configuration(discoveryServers_.back()->address()));
            return daemon->reload();
        }
        if (action == 19 && discoveryServers_.back()->lastActive)
            return discoveryServers_.back()->last().connection->reset();
        if (action == 20) return announce("");
    }
    void reportViolation(const std::string& message) {
        ADD_FAILURE() << "seed " << GetParam() << ": " << message;
    }

    // Checks that each request whose client still waits got exactly one timely and truthful answer, and that
    // no `once` request was executed twice.
    void checkAnswers(bool stopped) {
        for (const auto& randomClient : clients_) {
            const auto& got = randomClient->client.got;
            std::size_t at = 0, n = 0;
            for (const auto& a : randomClient->requests) {
                if (a.once && executions_[a.id] > 1) reportViolation("ran twice: " + a.id);
                if (randomClient->left) continue;
                const bool fullySent = randomClient->unsent.empty() || &a != &randomClient->requests.back();
                const auto from = got.find("HTTP/1.1 ", at);
                if (from == got.npos) {
                    // A request that arrives after its idle connection was closed gets no answer.
                    if (fullySent && !(stopped && randomClient->client.closed))
                        reportViolation("no answer: " + a.id);
                    continue;
                }
                ++n;
                at = from + 9;
                const int status = std::stoi(got.substr(at, 3));
                const auto end = std::min(got.find("HTTP/1.1 ", at), got.size());
                if (status == 200 && got.substr(at, end - at).find("\r\n\r\n" + a.id) == got.npos)
                    reportViolation("served with another's answer: " + a.id);
                if (status == 503 && a.once && executions_[a.id] > 0)
                    reportViolation("refused though it ran: " + a.id);
            }
            if (got.find("HTTP/1.1 ", at) != got.npos && n == randomClient->requests.size() &&
                !randomClient->requests.empty())
                reportViolation("more answers than requests");
        }
    }

    std::mt19937 random_{GetParam()};
    std::vector<std::shared_ptr<Disk>> disks_;
    std::vector<std::unique_ptr<FakeServer>> discoveryServers_;
    std::vector<std::unique_ptr<RandomClient>> clients_;
    std::map<std::string, int> executions_;
    std::vector<std::string> unlistedSuccessors_;
    int revision_ = 41, requestCount_ = 0;
};

TEST_P(Orders, KeepTheRules) {
    for (int cell = 0; cell < 3; ++cell) addDisk(cell);
    addDiscoveryServer();
    known = listJson(1, true, "");
    write(configuration(discoveryServers_[0]->address()));
    daemon = std::make_unique<PlatformDaemon>(file, Environment{}, loop);
    ASSERT_TRUE(runLoopUntil([&] { return readyStatus() == 200; }));
    for (const double until = io::nowMs() + 1500; io::nowMs() < until;) {
        randomStep();
        runLoopFor(draw(6));
    }
    // Every request must be answered shortly after its time-out at the latest.
    ASSERT_TRUE(runLoopUntil(
        [&] {
            double last = 0;
            for (const auto& t : clients_)
                for (const auto& a : t->requests) last = std::max(last, a.sentAt + a.ttlMs);
            return io::nowMs() > last + kAnswerGraceMs;
        },
        4000));
    checkAnswers(false);
    daemon->stop();
    for (const double until = io::nowMs() + 2700; io::nowMs() < until;) {
        randomStep();
        runLoopFor(draw(6));
    }
    runLoopFor(350);  // the kill comes 3200 ms after the stop
    checkAnswers(true);
}

unsigned seeds() {
    const char* count = std::getenv("SPOKEWHEEL_SEEDS");
    return count ? static_cast<unsigned>(std::atoi(count)) : 3;
}
INSTANTIATE_TEST_SUITE_P(Seeds, Orders, ::testing::Range(1u, 1 + seeds()));

}  // namespace
}  // namespace spokewheel::platform::testing
