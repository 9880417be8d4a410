// Clients that stop in the middle of an upload and stay, by hundreds: does the scheduler stay within its
// limit on memory? The platform's stand-in kills it once it is over the limit, as DEPLOY.md tells.
#include "standin.hpp"

using namespace review;

namespace {

// For requests, clients hold at most a third of the descriptors: 222 bad clients and the usual one are 223 of
// 224.
constexpr int kMemoryMb = 32, kSockets = 672, kClients = 222, kUploadsOfEach = 8, kBodyBytes = 64 * 1024;
constexpr std::size_t kBytesOfEach = 560'000;  // the last upload stays without its end
static_assert(kClients + 1 <= kSockets / 3);

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

    // The bad clients. Each sends eight uploads at once, which wait for the server, and reads what is sent to
    // it.
    std::mutex connectionsMutex;
    std::vector<int> connections;
    std::atomic<long> bytesRead{0};
    std::thread reader([&] {
        std::vector<char> buffer(65536);
        for (; !over; sleepMs(1)) {
            const std::lock_guard<std::mutex> lock(connectionsMutex);
            for (const int fd : connections)
                for (ssize_t n; (n = recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0;)
                    bytesRead += n;
        }
    });
    for (int i = 0; withTrouble() && i < kClients && !killed; ++i) {
        const int fd = dialLoopback(scheduler.port());
        if (fd < 0) continue;
        fcntl(fd, F_SETFL, O_NONBLOCK);
        std::string text;
        for (int n = 0; n < kUploadsOfEach; ++n) text += archiveUpload(std::string(kBodyBytes, 's')).text();
        text.resize(std::min(text.size(), kBytesOfEach));
        std::size_t sent = 0;
        for (const double until = nowMs() + 20; sent < text.size() && nowMs() < until;) {
            const auto n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n > 0) sent += static_cast<std::size_t>(n);
            else sleepMs(1);
        }
        {
            const std::lock_guard<std::mutex> lock(connectionsMutex);
            connections.push_back(fd);
        }
        if (i % 20 == 19)
            record.line("%d bad clients have sent, the last one %zu bytes; %.1f MiB", i + 1, sent,
                        most.load());
    }
    sleepMs(3000);
    over = true;
    platform.join();
    usual.join();
    reader.join();
    record.line("bad clients: %zu connections, %ld bytes read from them", connections.size(),
                bytesRead.load());
    record.line("usual client: %d answered, %d without an answer; most memory %.1f MiB of %d",
                answered.load(), lost.load(), most.load(), kMemoryMb);
    if (killed)
        finish(record, scheduler, 1, "BROKEN: the scheduler went over its limit on memory and was killed");
    if (scheduler.ended()) finish(record, scheduler, 1, "BROKEN: the scheduler ended");
    finish(record, scheduler, 0, "held");
}
