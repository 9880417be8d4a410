// A scheduler is restarted; its own agent has learned of a drain just before discovery goes down, the agents
// of its peers have not yet. Does the new process send to the draining disk server?
#include "review/standins-2/stand.hpp"

using namespace stand;

namespace {

std::string settingsOf(int rank) {
    return R"({"classes":[
 {"name":"tile-read","effect":"repeatable","group":"all","points":2.0,"late-worth":0.1,"on-time-ms":500.0,
  "deadline-ms":2500.0,"memory-span-ms":5000.0,"stream":false},
 {"name":"scan-upload","effect":"once","group":"all","points":3.0,"late-worth":0.15,"on-time-ms":500.0,
  "deadline-ms":4000.0,"memory-span-ms":5000.0,"stream":false}],
 "contracts":[{"name":"premium","limit":0.0,"limit-burst":0.0,"slack":0.0,"nominal":10.0,"reservation":8.0,
  "shares":4.0,"worth-factor":1.8}],
 "ceilings":{"send-cap":3,"second-copies":true,"cancel":true,"peers":true,"probes":true,"retry-after":true,
  "max-retry-after-ms":1000.0,"dial-timeout-ms":250.0,"conn-idle-ms":30000.0,"max-open":27500},
 "domain":{"class-writes":[false,true],"mean-units":2.05,"units-top":6,"shards":2,"use-period-ms":1000.0,
  "cold-units":32.0,"fair-worth":0.35,"spare-worth":0.05,"tells-elsewhere":true},
 "rules":{"grace-to-answer-ms":8.0,"drain-grace-ms":2000.0,"cold-ms":17000.0,"cold-share":0.2,
  "tip-multiple":4.0,"fall-ms":3000.0},
 "stats":{"fields":["waiting"],"how":"probe"},
 "peers-total":3,"registry-mode":"automatic","tick-ms":2.0,"tier":0,"zone":"a","zones":"a","rank":)" +
           std::to_string(rank) + "}";
}

constexpr double kGraceMs = 2000 + 50;  // drain-grace-ms, and what the protocol page adds to each time limit
constexpr double kOutageMs = 8000;

}  // namespace

int main(int argc, char** argv) {
    const Case parent = readArguments(argc, argv);
    std::mutex mutex;
    std::map<std::string, int> senders;  // by request id: the scheduler that it was sent to
    std::vector<std::pair<double, std::string>> atDraining;
    std::vector<std::unique_ptr<DiskServer>> servers;
    for (int n = 0; n < 2; ++n)
        servers.push_back(
            std::make_unique<DiskServer>("s-" + std::to_string(n), [&, n](const Message& request) {
                const std::lock_guard<std::mutex> lock(mutex);
                const auto id = request.field("x-request-id");
                const auto from = senders.count(id) ? "n" + std::to_string(senders[id]) : "a probe";
                record().line("s-" + std::to_string(n) + " gets " + request.startLine + " id " + id +
                              " from " + from);
                if (n == 0 && senders.count(id) && senders[id] == 0) atDraining.emplace_back(nowMs(), id);
                return DiskAnswer{10, 200, "content of " + id};
            }));
    std::vector<std::unique_ptr<Agent>> agents;
    std::vector<std::unique_ptr<Scheduler>> schedulers;
    std::vector<int> peers;
    for (int n = 0; n < 3; ++n) peers.push_back(freePort(SOCK_DGRAM));
    for (int n = 0; n < 3; ++n) {
        agents.push_back(std::make_unique<Agent>("n" + std::to_string(n), 10));
        for (int s = 0; s < 2; ++s)
            agents.back()->set({"s-" + std::to_string(s), "a", "up", servers[s]->port(), s, 0, 1}, false);
        Scheduler::Options options;
        options.name = "n" + std::to_string(n);
        options.settings = settingsOf(n);
        options.port = freePort(SOCK_STREAM);
        options.agentPort = agents.back()->port();
        options.peerPort = peers[n];
        options.peers = peers;
        schedulers.push_back(std::make_unique<Scheduler>(parent, options));
    }
    const std::string known = agents[0]->list();
    for (auto& scheduler : schedulers) scheduler->start(known);
    for (auto& scheduler : schedulers) scheduler->awaitReady();

    // One client at each scheduler, which reads from both shards in turn.
    std::atomic<bool> ending{false};
    std::atomic<int> answered{0};
    std::vector<std::thread> clients;
    for (int n = 0; n < 3; ++n)
        clients.emplace_back([&, n] {
            SocketPtr socket;
            for (int i = 0; !ending; ++i, sleepMs(50)) {
                if (!socket) socket = Socket::connect(schedulers[n]->options().port);
                if (!socket) continue;
                RequestSpec spec;
                spec.id = newId();
                spec.shard = i % 2;
                spec.timeoutMs = 1000;
                spec.hosts = 3;
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    senders[spec.id] = n;
                }
                std::string rest;
                Message answer;
                if (!socket->write(textOf(spec)) || readMessage(*socket, rest, answer, 3000) != Got::Whole) {
                    socket = nullptr;
                    continue;
                }
                ++answered;
                record().line("client of n" + std::to_string(n) + ": " + spec.id + " shard " +
                              std::to_string(spec.shard) + " answered " + std::to_string(statusOf(answer)));
            }
        });
    sleepMs(3000);
    // n0 is killed and comes back after 2 s. Meanwhile its agent learns that s-0 drains; the other agents
    // hear of changes some seconds later, as the list reaches every scheduler late.
    schedulers[0]->kill();
    sleepMs(1000);
    Member draining{"s-0", "a", "draining", servers[0]->port(), 0, 0, 1};
    agents[0]->set(draining);
    sleepMs(500);
    if (parent.trouble)
        for (auto& agent : agents) agent->setDown(true);
    sleepMs(500);
    schedulers[0]->start(known);
    const double startedAt = nowMs();
    sleepMs(kOutageMs - 500);
    if (parent.trouble)
        for (auto& agent : agents) agent->setDown(false);
    for (int n = 1; n < 3; ++n) agents[n]->set(draining);
    sleepMs(1000);
    ending = true;
    for (auto& client : clients) client.join();

    int broken = 0;
    double last = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const auto& [at, id] : atDraining)
            if (at > startedAt + kGraceMs) {
                ++broken;
                last = at - startedAt;
            }
    }
    record().line("n0 was told of the drain when its new process started, at " + std::to_string(startedAt) +
                  "; attempts of it at s-0 later than 2 s + 50 ms after that: " + std::to_string(broken) +
                  (broken ? ", the last one " + std::to_string(last) + " ms after" : ""));
    std::printf("answered %d, attempts at the draining server after the grace %d\n", answered.load(), broken);
    for (auto& scheduler : schedulers) scheduler->kill();
    if (answered < 50) cannotRun("too few requests were answered");
    std::fflush(stdout);
    std::_Exit(broken > 0 ? 1 : 0);
}
