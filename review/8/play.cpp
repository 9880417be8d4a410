// Two writes with one key, taken one after the other while the scheduler is held up for less than 0.15 s:
// which one runs first?
#include "review/standins-2/stand.hpp"

using namespace stand;

namespace {

const char* const kSettings = R"({"classes":[
 {"name":"table-read","effect":"repeatable","group":"all","points":2.0,"late-worth":0.2,"on-time-ms":300.0,
  "deadline-ms":2500.0,"memory-span-ms":5000.0,"stream":false},
 {"name":"new-booking","effect":"by_key","group":"zone","points":3.0,"late-worth":0.3,"on-time-ms":250.0,
  "deadline-ms":1500.0,"memory-span-ms":1500.0,"in-order":true,"stream":false}],
 "contracts":[{"name":"premium","limit":0.0,"limit-burst":0.0,"slack":0.0,"nominal":10.0,"reservation":8.0,
  "shares":4.0,"worth-factor":1.5}],
 "ceilings":{"send-cap":4,"second-copies":true,"cancel":true,"peers":false,"probes":false,"retry-after":true,
  "max-retry-after-ms":1000.0,"dial-timeout-ms":250.0,"conn-idle-ms":15000.0,"max-open":27500},
 "domain":{"class-writes":[false,true],"mean-units":2.05,"units-top":6,"shards":1,"use-period-ms":500.0,
  "cold-units":32.0,"fair-worth":0.35,"spare-worth":0.1,"tells-elsewhere":false},
 "rules":{"grace-to-answer-ms":8.0,"drain-grace-ms":2000.0,"cold-ms":16000.0,"cold-share":0.16,
  "tip-multiple":2.0,"fall-ms":1000.0,"settle-after-doubt-ms":100.0},
 "peers-total":1,"rank":0,"registry-mode":"automatic","tick-ms":2.0,"tier":0,"zone":"a","zones":"a"})";

// The pages: held up for up to 0.15 s. Between the last bytes of the two writes: more than the 50 ms by which
// the protocol page extends time limits.
constexpr double kHeldUpMs = 130, kMostHeldUpMs = 150, kApartMs = 80;
constexpr int kRounds = 20;

}  // namespace

int main(int argc, char** argv) {
    const Case parent = readArguments(argc, argv);
    std::mutex mutex;
    std::vector<std::string> ran;
    DiskServer server("s-0", [&](const Message& request) {
        const std::lock_guard<std::mutex> lock(mutex);
        if (request.startLine.rfind("PUT", 0) == 0) ran.push_back(request.body);
        record().line("s-0 runs " + request.startLine + " id " + request.field("x-request-id") + " body " +
                      request.body);
        return DiskAnswer{10, 200, "done"};
    });
    Agent agent("n0", 10);
    agent.set({"s-0", "a", "up", server.port(), 0, 0, 1}, false);
    Scheduler::Options options;
    options.settings = kSettings;
    options.port = freePort(SOCK_STREAM);
    options.agentPort = agent.port();
    Scheduler scheduler(parent, options);
    scheduler.start(agent.list());
    scheduler.awaitReady();

    const auto exchange = [](Socket& socket, const RequestSpec& spec) {
        std::string rest;
        Message answer;
        if (!socket.write(textOf(spec)) || readMessage(socket, rest, answer, 5000) != Got::Whole) return 0;
        return statusOf(answer);
    };
    // Two clients with a connection each, which both keep.
    const auto first = Socket::connect(options.port);
    RequestSpec warm;
    warm.requestClass = "table-read";
    warm.id = newId();
    if (!first || exchange(*first, warm) != 200) cannotRun("the first client gets no answer");
    sleepMs(30);
    const auto second = Socket::connect(options.port);
    warm.id = newId();
    if (!second || exchange(*second, warm) != 200) cannotRun("the second client gets no answer");
    sleepMs(30);

    int broken = 0, judged = 0;
    for (int round = 0; round < kRounds; ++round) {
        char key[20];
        std::snprintf(key, sizeof key, "%016x", 0x1000 + round);
        RequestSpec older, newer;
        older.requestClass = newer.requestClass = "new-booking";
        older.key = newer.key = key;
        older.write = newer.write = true;
        older.timeoutMs = newer.timeoutMs = 1500;
        older.id = newId(), newer.id = newId();
        older.body = "older-" + std::to_string(round), newer.body = "newer-" + std::to_string(round);
        // Which of the two clients is the earlier one changes.
        Socket& olderClient = round % 2 ? *first : *second;
        Socket& newerClient = round % 2 ? *second : *first;
        {
            const std::lock_guard<std::mutex> lock(mutex);
            ran.clear();
        }
        const double heldAt = nowMs();
        if (parent.trouble) scheduler.signal(SIGSTOP);
        sleepMs(20);
        olderClient.write(textOf(older));
        record().line("client sent the last byte of " + older.body + " id " + older.id + " key " + key);
        sleepMs(kApartMs);
        newerClient.write(textOf(newer));
        record().line("client sent the last byte of " + newer.body + " id " + newer.id + " key " + key);
        sleepUntil(heldAt + kHeldUpMs);
        if (parent.trouble) scheduler.signal(SIGCONT);
        const double heldMs = nowMs() - heldAt;
        std::string rests[2];
        Message answers[2];
        const bool whole = readMessage(olderClient, rests[0], answers[0], 3000) == Got::Whole &&
                           readMessage(newerClient, rests[1], answers[1], 3000) == Got::Whole;
        if (!whole) cannotRun("no answer");
        record().line("answers: " + older.body + " " + std::to_string(statusOf(answers[0])) + ", " +
                      newer.body + " " + std::to_string(statusOf(answers[1])));
        sleepMs(50);
        const std::lock_guard<std::mutex> lock(mutex);
        if (ran.size() != 2 || heldMs > kMostHeldUpMs)
            continue;  // this machine was late, or a request failed
        ++judged;
        if (ran[0] != older.body) {
            ++broken;
            record().line("BROKEN: " + newer.body + " ran before " + older.body +
                          ", which the scheduler had taken earlier; the older one is what is stored now");
        }
    }
    record().line("rounds " + std::to_string(judged) + ", out of order " + std::to_string(broken));
    std::printf("rounds judged %d, out of order %d\n", judged, broken);
    if (judged < kRounds / 2) cannotRun("too few rounds");
    return broken > 0 ? 1 : 0;
}
