// A stock client from one address while 2,000 connections from another say nothing or half of what they
// should: what it takes to list and to load against the same alone, turn about. Connections that were let go
// come again at once. Exit status: every run ended well and the ratio of the middles is at most 2.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <thread>
#include <utility>

#include "kit/fleet.hpp"
#include "kit/rsync_client.hpp"

namespace {

using namespace spokewheel::kit;
using namespace std::string_literals;
namespace fs = std::filesystem;
constexpr int kConnections = 2000, kRounds = 15;

// Keeps so many open, from 127.0.0.2, until told to stop.
class Flood {
  public:
    explicit Flood(int port) : thread_([this, port] { hold(port); }) {}
    ~Flood() {
        stop_ = true;
        thread_.join();
    }
    bool full() const { return full_; }
    long opened() const { return opened_; }

  private:
    int open(int port) {
        const std::string words[] = {"", "@RSYNCD: 31", "@RSYNCD: 31.0 md5\n", "@RSYNCD: 31.0 md5\nmaps\n",
                                     "@RSYNCD: 31.0 md5\nmaps\n--server\0--sender\0"s};
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in from{}, to{};
        from.sin_family = to.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.2", &from.sin_addr);
        inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&from), sizeof from) != 0 ||
            (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS)) {
            if (fd >= 0) close(fd);
            return -1;
        }
        const auto& text = words[static_cast<std::size_t>(opened_++) % std::size(words)];
        if (!text.empty()) (void)!::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        return fd;
    }
    void hold(int port) {
        std::vector<int> fds(kConnections, -1);
        while (!stop_) {
            int there = 0;
            for (auto& fd : fds) {
                char byte;
                // What the gateway says is read and dropped; an end makes room for the next.
                while (fd >= 0 && recv(fd, &byte, 1, MSG_DONTWAIT) > 0) {
                }
                if (fd >= 0 && recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0) close(std::exchange(fd, -1));
                if (fd < 0) fd = open(port);
                there += fd >= 0;
                if (stop_) break;
            }
            if (there == kConnections) full_ = true;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));  // a pace, not a wait
        }
        for (const int fd : fds)
            if (fd >= 0) close(fd);
    }
    std::atomic<bool> stop_{false}, full_{false};
    std::atomic<long> opened_{0};
    std::thread thread_;
};

double middle(std::vector<double> all) {
    std::sort(all.begin(), all.end());
    return all.empty() ? 0 : all[all.size() / 2];
}

}  // namespace

int main() {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, 8192);
    setrlimit(RLIMIT_NOFILE, &files);
    const auto bin = fs::read_symlink("/proc/self/exe").parent_path().string();
    const auto directory = fs::temp_directory_path() / ("spokewheel-hostile-" + std::to_string(getpid()));
    bool fine = true;
    {
        Fleet fleet(bin, (directory / "fleet").string());
        fleet.startNode(0, {});
        fleet.writeNodeList();
        fleet.startHost(0);
        for (int i = 0; i < 200; ++i) {
            fs::create_directories(directory / "up");
            writeFile((directory / "up" / ("f" + std::to_string(i))).string(), std::string(10000, 'x'));
        }
        fine = fleet.rsync({"-rt", (directory / "up/").string(), fleet.url(0, "maps/")}).status == 0;
        std::vector<double> list[2], load[2];
        const auto timed = [&](std::vector<double>& to, const std::vector<std::string>& arguments) {
            const auto from = monotonicUs();
            fine = fleet.rsync(arguments, 60).status == 0 && fine;
            to.push_back(static_cast<double>(monotonicUs() - from) / 1000);
        };
        long opened = 0;
        for (int round = 0; round < kRounds && fine; ++round)
            for (int with = 0; with < 2; ++with) {
                std::unique_ptr<Flood> flood;
                if (with) {
                    flood = std::make_unique<Flood>(fleet.rsyncPort(0));
                    fine = waitUntil(20, [&] { return flood->full(); }) && fine;
                }
                timed(list[with], {"-r", "--list-only", fleet.url(0, "maps/")});
                timed(load[with], {"-rt", fleet.url(0, "maps/"), (directory / "down/").string()});
                fs::remove_all(directory / "down");
                if (flood) opened += flood->opened();
            }
        const double listing = middle(list[1]) / std::max(0.001, middle(list[0]));
        const double loading = middle(load[1]) / std::max(0.001, middle(load[0]));
        std::printf(
            "%d connections held from one address (%ld opened in all), %d rounds: list %.0f ms against %.0f "
            "alone = %.2f (worst %.0f); 200 files %.0f ms against %.0f = %.2f (worst %.0f)\n",
            kConnections, opened, kRounds, middle(list[1]), middle(list[0]), listing,
            *std::max_element(list[1].begin(), list[1].end()), middle(load[1]), middle(load[0]), loading,
            *std::max_element(load[1].begin(), load[1].end()));
        fine = fine && listing <= 2 && loading <= 2;
    }
    fs::remove_all(directory);
    return fine ? 0 : 1;
}
