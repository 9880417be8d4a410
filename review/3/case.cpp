// A release begins, discovery goes down 0.2 s later, and a scheduler dies and comes back meanwhile. Does it
// send new work to a server that its own agent had been told is draining?
#include "standin.hpp"

using namespace review;

namespace {

constexpr double kDrainGraceMs = 2000, kToleranceMs = 50;
constexpr double kSpreadMs =
    200;  // by which the agents of other schedulers hear later; 85 to 280 by the site file
constexpr double kOutageMs = 8000;  // of discovery
constexpr double kAwayMs = 1600;    // between the death and the new start; 1.5 to 7.7 s by the brief
constexpr int kSchedulers = 3;

}  // namespace

int main(int, char** arguments) {
    signal(SIGPIPE, SIG_IGN);
    Record record(arguments[2]);
    std::mutex mutex;
    std::vector<double> beganAtDraining;
    const auto serve = [&](const char* name) {
        return [&record, &mutex, &beganAtDraining, name](const Message& request, int) {
            const auto id = request.field("x-request-id");
            record.line("%s: %s %s runs", name, request.method.c_str(), id.c_str());
            if (std::strcmp(name, "s-1") == 0) {
                const std::lock_guard<std::mutex> lock(mutex);
                beganAtDraining.push_back(nowMs());
            }
            sleepMs(20);
            return response(200, "of " + id);
        };
    };
    DiskServer first("s-0", 0, serve("s-0")), draining("s-1", 1, serve("s-1")), third("s-2", 2, serve("s-2"));
    Agent agents[kSchedulers];
    for (auto& agent : agents)
        for (const auto* server : {&first, &draining, &third}) agent.set(server->id(), server->member());
    std::vector<std::unique_ptr<Scheduler>> schedulers;
    std::string peers;
    for (int n = 0; n < kSchedulers; ++n) {
        auto settings = archiveSettings();
        settings.hosts = kSchedulers, settings.rank = n;
        schedulers.push_back(
            std::make_unique<Scheduler>(record, arguments[1], settings.text(), "n" + std::to_string(n)));
        peers += (n ? ",\"" : "[\"") + loopback(schedulers.back()->peerPort()) + "\"";
    }
    peers += "]";
    auto& n0 = *schedulers[0];
    const auto end = [&](int code, const char* verdict) {
        for (auto& scheduler : schedulers) scheduler->kill();
        finish(record, n0, code, verdict);
    };
    for (int n = 0; n < kSchedulers; ++n) {
        schedulers[n]->configure(agents[n], 192, 256, peers);
        if (!schedulers[n]->start()) end(2, "a scheduler was not ready");
    }
    sleepMs(1000);

    agents[0].set("s-1", draining.member("draining"));
    record.line("the agent of n0 tells it that s-1 is draining");
    double toldAt = nowMs();
    const double outageAt = toldAt + kSpreadMs;
    if (withTrouble()) {
        sleepUntil(outageAt);
        for (auto& agent : agents) agent.setSilent(true);
        record.line(
            "discovery is down: the agents say nothing; those of n1 and n2 have not heard of the drain");
        sleepMs(100);
        n0.signal(SIGKILL);
        n0.kill();
        sleepMs(kAwayMs);
        toldAt = nowMs();                                   // "from the first moment of a new process"
        if (!n0.start()) end(2, "n0 was not ready again");  // its `known` is the list before the drain
    } else {
        for (int n = 1; n < kSchedulers; ++n) agents[n].set("s-1", draining.member("draining"));
    }

    const int fd = dialLoopback(n0.port());
    std::string rest;
    for (int i = 0; nowMs() < outageAt + kOutageMs; ++i) {
        auto request = archiveUpload("sheet");  // a new object: any server may take it
        if (i % 2) {
            request = ClientRequest();
            request.requestClass = "tile-read", request.plan = "premium", request.id = newId();
            request.shard = 1, request.timeoutMs = 1000;
        }
        Message answer;
        if (!sendAll(fd, request.text()) ||
            readMessage(fd, rest, answer, nowMs() + 5000) != ReadResult::Message)
            end(2, "an answer is missing");
        record.line("client of n0: %s %s answered with %d", request.method.c_str(), request.id.c_str(),
                    answer.status);
        sleepMs(100);
    }
    for (auto& agent : agents) agent.setSilent(false);
    const std::lock_guard<std::mutex> lock(mutex);
    int late = 0;
    double last = 0;
    for (const double at : beganAtDraining)
        if (at > toldAt + kDrainGraceMs + kToleranceMs) ++late, last = at - toldAt;
    record.line("%d attempts at s-1 began later than %.0f ms after n0 was told, the last %.0f ms after", late,
                kDrainGraceMs + kToleranceMs, last);
    if (late) end(1, "BROKEN: new work went to a server that was told to be draining");
    end(0, "held");
}
