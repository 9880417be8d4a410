// Random orders of everything that can happen to one scheduler, by seed: clients that ask in pieces, behind
// each other and leave; disk servers that serve, refuse, break off, hang, drain, go and return; lists and
// moves of the list service; the word to stop. The rules are judged by what the clients and disk servers saw.
#include <cstdlib>
#include <random>
#include <set>

#include "platform_support.hpp"

namespace spokewheel::platform::testing {
namespace {

// A drain counts as told when it is written, watch open or not, and a watch may just have been reset: half of
// the settings' grace of 2 s has to do for a new one.
constexpr double kGraceMs = 1000, kLeftMs = 100, kLateMs = 500;

struct Asked {
    std::string id;
    bool once = false, left = false;
    double at = 0, leftAt = 0, ttl = 0;
};

struct Talker {
    explicit Talker(int port) : client(port) {}
    Client client;
    std::vector<Asked> asked;  // in order
    std::string unsaid;        // of a request that is written in pieces
    bool stopped = false;
};

class Orders : public PlatformTest, public ::testing::WithParamInterface<unsigned> {
  protected:
    struct Disk {
        std::unique_ptr<FakeServer> server;
        std::string id;
        int cell = 0;
        bool drained = false;
        double toldAt = 0;
    };
    int draw(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }

    void addDisk(int cell) {
        auto d = std::make_shared<Disk>();
        d->server = std::make_unique<FakeServer>();
        d->id = "s-" + std::to_string(disks_.size());
        d->cell = cell;
        disks_.push_back(d);
        d->server->onRequest = [this, d = d.get()](AcceptedConnection& t) { arrived(*d, t); };
    }
    void arrived(Disk& d, AcceptedConnection& t) {
        const auto id = *t.heads.back().find("X-Request-ID");
        const double now = io::nowMs();
        if (d.drained && now > d.toldAt + kGraceMs) wrong("sent to a drained node: " + id);
        for (const auto& talker : talkers_)
            for (const auto& a : talker->asked)
                if (a.id == id && a.left && now > a.leftAt + kLeftMs)
                    wrong("sent after its client had gone: " + id);
        switch (draw(12)) {
            case 0:
                return t.send("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
            case 1:
                return ++runs_[id], t.send("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
            case 2:
                return ++runs_[id], t.connection->reset();
            case 3:
                return ++runs_[id], t.connection->close();
            case 4:
                ++runs_[id];
                t.send("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nhalf");
                return t.connection->reset();
            case 5:
                ++runs_[id];
                t.send("HTTP/1.1 200 OK\r\n\r\n" + id);
                return t.connection->shutdownWrite();
            case 6:
                return void(++runs_[id]);  // hangs
            case 7:
                ++runs_[id];
                return t.send("noise\r\n\r\n");
            default:
                ++runs_[id];
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
    void tell(const std::string& list) {
        for (auto& place : places_)
            if (place->lastActive && !place->lastActive->closed) place->last().send(lineChunk(list));
    }
    void openPlace() {
        places_.push_back(std::make_unique<FakeServer>());
        places_.back()->onRequest = [this](AcceptedConnection& t) {
            t.send(std::string(kWatchResponseHead) + lineChunk(listJson(revision_, true, members())));
        };
    }
    std::string next(Talker& t) {
        Asked a;
        a.id = "q" + std::to_string(++asked_);
        a.once = draw(2);
        a.ttl = 200 + draw(700);
        a.at = io::nowMs();
        t.asked.push_back(a);
        return requestText(
            {.method = a.once ? "PUT" : "GET",
             .path = a.once ? "/once" : "/read",
             .requestClass = a.once ? "once" : "read",
             .id = a.id,
             .timeout = std::to_string(static_cast<int>(a.ttl)),
             .io = "volume=00000003b4d60021,units=2,shard=" + std::to_string(draw(3)) + ",hosts=1",
             .body = a.once ? std::string(static_cast<std::size_t>(draw(2000)), 'b') : ""});
    }
    void act() {
        const int what = draw(24);
        if (what < 2 && talkers_.size() < 40) return talkers_.push_back(std::make_unique<Talker>(port));
        if (what < 16) {
            if (talkers_.empty()) return;
            auto& t = *talkers_[static_cast<std::size_t>(draw(static_cast<int>(talkers_.size())))];
            if (t.stopped || t.client.closed) return;
            if (!t.unsaid.empty()) {
                const auto n =
                    std::min<std::size_t>(t.unsaid.size(), static_cast<std::size_t>(1 + draw(400)));
                t.client.send(t.unsaid.substr(0, n));
                t.unsaid.erase(0, n);
                if (t.unsaid.empty()) t.asked.back().at = io::nowMs();  // its time counts from its last byte
            } else if (what < 13) {
                t.client.send(next(t));
                if (draw(6) == 0) t.client.send(next(t));
            } else if (what == 13) t.unsaid = next(t);
            else if (what == 14) {
                for (auto& a : t.asked) a.left = true, a.leftAt = io::nowMs();
                t.client.connection->close();
                t.stopped = true;
            }
            return;
        }
        if (what < 18) {  // a disk server drains, another takes its cell
            auto& d = *disks_[static_cast<std::size_t>(draw(static_cast<int>(disks_.size())))];
            if (d.drained || disks_.size() > 12) return;
            d.drained = true;
            d.toldAt = io::nowMs();
            addDisk(d.cell);
            ++revision_;
            // Its successor is told with it or some time later: meanwhile the requests of the cell wait.
            const auto& added = *disks_.back();
            const auto gone = memberJson(d.id, d.server->address(), d.cell, draw(2) ? "draining" : "removed");
            const auto successor = memberJson(added.id, added.server->address(), added.cell);
            if (draw(2)) return tell(listJson(revision_, false, gone + "," + successor));
            later_.push_back(successor);
            return tell(listJson(revision_, false, gone));
        }
        if (what > 20 && !later_.empty()) {
            tell(listJson(++revision_, false, later_.front()));
            return void(later_.erase(later_.begin()));
        }
        if (what == 18 && places_.size() < 3) {  // the list service moves
            openPlace();
            write(configuration(places_.back()->address()));
            return daemon->reload();
        }
        if (what == 19 && places_.back()->lastActive) return places_.back()->last().connection->reset();
        if (what == 20) return tell("");
    }
    void wrong(const std::string& words) { ADD_FAILURE() << "seed " << GetParam() << ": " << words; }

    // Each request that a client still waits for has one answer in time, and one that may be believed.
    void judge(bool stopped) {
        for (const auto& talker : talkers_) {
            const auto& got = talker->client.got;
            std::size_t at = 0, n = 0;
            for (const auto& a : talker->asked) {
                if (a.once && runs_[a.id] > 1) wrong("ran twice: " + a.id);
                if (talker->stopped) continue;
                const bool said = talker->unsaid.empty() || &a != &talker->asked.back();
                const auto from = got.find("HTTP/1.1 ", at);
                if (from == got.npos) {
                    // A connection that rested when it was ended answers nothing that came after.
                    if (said && !(stopped && talker->client.closed)) wrong("no answer: " + a.id);
                    continue;
                }
                ++n;
                at = from + 9;
                const int status = std::stoi(got.substr(at, 3));
                const auto end = std::min(got.find("HTTP/1.1 ", at), got.size());
                if (status == 200 && got.substr(at, end - at).find("\r\n\r\n" + a.id) == got.npos)
                    wrong("served with another's answer: " + a.id);
                if (status == 503 && a.once && runs_[a.id] > 0) wrong("refused though it ran: " + a.id);
            }
            if (got.find("HTTP/1.1 ", at) != got.npos && n == talker->asked.size() && !talker->asked.empty())
                wrong("more answers than requests");
        }
    }

    std::mt19937 random_{GetParam()};
    std::vector<std::shared_ptr<Disk>> disks_;
    std::vector<std::unique_ptr<FakeServer>> places_;
    std::vector<std::unique_ptr<Talker>> talkers_;
    std::map<std::string, int> runs_;
    std::vector<std::string> later_;
    int revision_ = 41, asked_ = 0;
};

TEST_P(Orders, KeepTheRules) {
    for (int cell = 0; cell < 3; ++cell) addDisk(cell);
    openPlace();
    known = listJson(1, true, "");
    write(configuration(places_[0]->address()));
    daemon = std::make_unique<PlatformDaemon>(file, Environment{}, loop);
    ASSERT_TRUE(runLoopUntil([&] { return readyStatus() == 200; }));
    for (const double until = io::nowMs() + 1500; io::nowMs() < until;) {
        act();
        runLoopFor(draw(6));
    }
    // All that was asked has its answer by its time and a little.
    ASSERT_TRUE(runLoopUntil(
        [&] {
            double last = 0;
            for (const auto& t : talkers_)
                for (const auto& a : t->asked) last = std::max(last, a.at + a.ttl);
            return io::nowMs() > last + kLateMs;
        },
        4000));
    judge(false);
    daemon->stop();
    for (const double until = io::nowMs() + 2700; io::nowMs() < until;) {
        act();
        runLoopFor(draw(6));
    }
    runLoopFor(350);  // the kill comes 3,200 ms after the word
    judge(true);
}

unsigned seeds() {
    const char* many = std::getenv("SPOKEWHEEL_SEEDS");
    return many ? static_cast<unsigned>(std::atoi(many)) : 3;
}
INSTANTIATE_TEST_SUITE_P(Seeds, Orders, ::testing::Range(1u, 1 + seeds()));

}  // namespace
}  // namespace spokewheel::platform::testing
