// Clients that stop in the middle of an upload and stay, by hundreds: does the scheduler stay within its
// limit on memory? The platform's stand-in kills it once it is over the limit, as DEPLOY.md tells.
#include "standin.hpp"

using namespace review;

namespace {

constexpr int kMemoryMb = 48, kSockets = 672, kClients = 320, kUploadsOfEach = 8, kBodyBytes = 64 * 1024;
constexpr std::size_t kBytesOfEach = 580'000;  // the last upload stays without its end

// Memory that only this process has, in MiB: without files and shared pages.
double anonymousMb(pid_t process) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.rfind("RssAnon:", 0) == 0) return std::atof(line.c_str() + 8) / 1024;
    return 0;
}

}  // namespace

int main(int, char** arguments) {
    signal(SIGPIPE, SIG_IGN);
    Record record(arguments[2]);
    DiskServer server("s-0", 0, [&](const Message& request, int) {
        record.line("server: %s %s runs", request.method.c_str(), request.field("x-request-id").c_str());
        sleepMs(300);
        return response(200, "stored " + request.field("x-request-id"));
    });
    Agent agent;
    agent.set("s-0", server.member());
    Scheduler scheduler(record, arguments[1], archiveSettings().text());
    scheduler.configure(agent, kMemoryMb, kSockets);
    if (!scheduler.start()) finish(record, scheduler, 2, "the scheduler was not ready");

    // The platform: looks at the memory every 10 ms.
    std::atomic<bool> killed{false}, over{false};
    std::atomic<double> most{0};
    std::thread platform([&] {
        while (!over) {
            const double used = anonymousMb(scheduler.process());
            most = std::max(most.load(), used);
            if (used > kMemoryMb) {
                record.line("platform: %.1f MiB of %d, kills the scheduler", used, kMemoryMb);
                killed = true;
                kill(scheduler.process(), SIGKILL);
                return;
            }
            sleepMs(10);
        }
    });
    record.line("memory at the start: %.1f MiB of %d", anonymousMb(scheduler.process()), kMemoryMb);

    // A usual client: one upload after another, on a new connection where the scheduler has ended the last
    // one.
    std::atomic<int> answered{0}, lost{0};
    std::thread usual([&] {
        std::string rest;
        int fd = -1;
        while (!over && !killed) {
            if (fd < 0) fd = dialLoopback(scheduler.port()), rest.clear();
            const auto upload = archiveUpload(std::string(2000, 's'));
            Message answer;
            const bool whole = fd >= 0 && sendAll(fd, upload.text()) &&
                               readMessage(fd, rest, answer, nowMs() + 4550) == ReadResult::Message;
            record.line("usual client: %s %s", upload.id.c_str(),
                        whole ? ("answered with " + std::to_string(answer.status)).c_str() : "has no answer");
            ++(whole ? answered : lost);
            if (fd >= 0 && (!whole || answer.field("connection") == "close")) close(fd), fd = -1;
            sleepMs(20);
            if (fd >= 0 && hasEnded(fd)) close(fd), fd = -1;
        }
    });
    sleepMs(500);

    // The bad clients. Each sends eight uploads at once, the first with a long head; they wait for the
    // server.
    std::string notes;
    for (int n = 0; n < 55; ++n)
        notes += "X-Note-" + std::to_string(n) + ": " + std::string(240, 'n') + "\r\n";
    std::vector<int> connections;
    for (int i = 0; withTrouble() && i < kClients && !killed; ++i) {
        const int fd = dialLoopback(scheduler.port());
        fcntl(fd, F_SETFL, O_NONBLOCK);
        std::string text;
        for (int n = 0; n < kUploadsOfEach; ++n) text += archiveUpload(std::string(kBodyBytes, 's')).text();
        text.insert(text.find("X-IO:"), notes);
        text.resize(kBytesOfEach);
        std::size_t sent = 0;
        for (const double until = nowMs() + 20; sent < text.size() && nowMs() < until;) {
            const auto n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n > 0) sent += static_cast<std::size_t>(n);
            else sleepMs(1);
        }
        if (i % 40 == 39)
            record.line("%d bad clients have sent their uploads, the last one %zu bytes; %.1f MiB", i + 1,
                        sent, most.load());
        connections.push_back(fd);
    }
    sleepMs(3000);
    over = true;
    platform.join();
    usual.join();
    record.line("usual client: %d answered, %d without an answer; most memory %.1f MiB of %d",
                answered.load(), lost.load(), most.load(), kMemoryMb);
    if (killed)
        finish(record, scheduler, 1, "BROKEN: the scheduler went over its limit on memory and was killed");
    if (scheduler.ended()) finish(record, scheduler, 1, "BROKEN: the scheduler ended");
    finish(record, scheduler, 0, "held");
}
