// Two clients write one key, 70 ms apart, while the scheduler is held up for 0.12 s: does the order hold in
// which their requests were taken?
#include "standin.hpp"

using namespace review;

namespace {

constexpr int kRounds = 8;
constexpr double kHeldUpMs = 120;  // at most 150 ms by the pages

}  // namespace

int main(int, char** arguments) {
    signal(SIGPIPE, SIG_IGN);
    Record record(arguments[2]);
    std::mutex mutex;
    std::map<std::string, std::string> stored;
    std::map<std::string, double> beganAt;
    DiskServer server("s-0", 0, [&](const Message& request, int) {
        const auto key = request.field("cookie"), id = request.field("x-request-id");
        std::string body;
        {
            const std::lock_guard<std::mutex> lock(mutex);
            beganAt.emplace(id, nowMs());
            if (request.method == "PUT") stored[key] = request.body;
            body = stored[key];
        }
        record.line("server: %s %s runs, %s is now '%s'", request.method.c_str(), id.c_str(), key.c_str(),
                    body.c_str());
        sleepMs(20);
        return response(200, body);
    });
    Agent agent;
    agent.set("s-0", server.member());
    Scheduler scheduler(record, arguments[1], bookingSettings().text());
    scheduler.configure(agent);
    if (!scheduler.start()) finish(record, scheduler, 2, "the scheduler was not ready");

    const int connections[] = {dialLoopback(scheduler.port()), dialLoopback(scheduler.port())};
    sleepMs(300);
    int broken = 0;
    for (int round = 0; round < kRounds; ++round) {
        char key[20];
        std::snprintf(key, sizeof key, "%016x", 0x7f30 + round);
        const int first = connections[round % 2], second = connections[1 - round % 2];
        const auto older = booking("PUT", key, "older"), newer = booking("PUT", key, "newer");
        if (withTrouble()) scheduler.signal(SIGSTOP);
        const double from = nowMs();
        sleepUntil(from + 15);
        sendAll(first, older.text());
        record.line("client 1: %s, 'older', whole request sent", older.id.c_str());
        sleepUntil(from + 85);
        sendAll(second, newer.text());
        record.line("client 2: %s, 'newer', whole request sent", newer.id.c_str());
        sleepUntil(from + kHeldUpMs);
        if (withTrouble()) scheduler.signal(SIGCONT);
        Message answers[2], read;
        std::string rest;
        if (readMessage(first, rest, answers[0], nowMs() + 3000) != ReadResult::Message ||
            readMessage(second, rest, answers[1], nowMs() + 3000) != ReadResult::Message)
            finish(record, scheduler, 2, "an answer is missing");
        sendAll(first, booking("GET", key, "").text());
        readMessage(first, rest, read, nowMs() + 3000);
        record.line("answers %d and %d; a read gives '%s'", answers[0].status, answers[1].status,
                    read.body.c_str());
        const std::lock_guard<std::mutex> lock(mutex);
        if (answers[0].status != 200 || answers[1].status != 200 || beganAt[older.id] <= beganAt[newer.id])
            continue;
        record.line(
            "round %d: the request that was taken later ran first; the older write has replaced the newer",
            round);
        ++broken;
    }
    record.line("%d of %d rounds out of order", broken, kRounds);
    if (broken) finish(record, scheduler, 1, "BROKEN: requests of one key ran out of order");
    finish(record, scheduler, 0, "held");
}
