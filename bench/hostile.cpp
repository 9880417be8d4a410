// A stock rsync client from one address while another address holds 2,000 connections that send nothing or
// stop in the middle of the handshake, and opens each one again as soon as the gateway closes it. Compares
// the times to list and to download with those without the flood, in alternating rounds. The exit status is 0
// if every rsync run succeeded and both ratios of the medians are at most 2.
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
constexpr double kMaxRatio = 2;  // of the medians with and without the flood

// Keeps kConnections connections from 127.0.0.2 open until it is destroyed.
class Flood {
  public:
    explicit Flood(int port) : thread_([this, port] { holdConnections(port); }) {}
    ~Flood() {
        stop_ = true;
        thread_.join();
    }
    bool full() const { return full_; }      // all connections have been open at once
    long opened() const { return opened_; }  // so far, reopened ones included

  private:
    // Opens a connection and sends part of a handshake, a different one each time. -1 if it failed.
    int open(int port) {
        const std::string handshakes[] = {"", "@RSYNCD: 31", "@RSYNCD: 31.0 md5\n",
                                          "@RSYNCD: 31.0 md5\nmaps\n",
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
        const auto& text = handshakes[static_cast<std::size_t>(opened_++) % std::size(handshakes)];
        if (!text.empty()) (void)!::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        return fd;
    }
    void holdConnections(int port) {
        std::vector<int> fds(kConnections, -1);
        while (!stop_) {
            int openCount = 0;
            for (auto& fd : fds) {
                char byte;
                // Data from the gateway is read and dropped; a closed connection is opened again.
                while (fd >= 0 && recv(fd, &byte, 1, MSG_DONTWAIT) > 0) {
                }
                if (fd >= 0 && recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0) close(std::exchange(fd, -1));
                if (fd < 0) fd = open(port);
                openCount += fd >= 0;
                if (stop_) break;
            }
            if (openCount == kConnections) full_ = true;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));  // bounds the rate of reconnects
        }
        for (const int fd : fds)
            if (fd >= 0) close(fd);
    }
    std::atomic<bool> stop_{false}, full_{false};
    std::atomic<long> opened_{0};
    std::thread thread_;
};

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[values.size() / 2];
}

}  // namespace

int main() {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, 8192);
    setrlimit(RLIMIT_NOFILE, &files);
    const auto binDir = fs::read_symlink("/proc/self/exe").parent_path().string();
    const auto directory = fs::temp_directory_path() / ("spokewheel-hostile-" + std::to_string(getpid()));
    bool passed = true;
    {
        Fleet fleet(binDir, (directory / "fleet").string());
        fleet.startNode(0, {});
        fleet.writeNodeList();
        fleet.startHost(0);
        for (int i = 0; i < 200; ++i) {
            fs::create_directories(directory / "up");
            writeFile((directory / "up" / ("f" + std::to_string(i))).string(), std::string(10000, 'x'));
        }
        passed = fleet.rsync({"-rt", (directory / "up/").string(), fleet.url(0, "maps/")}).status == 0;
        std::vector<double> listMs[2], downloadMs[2];  // without and with the flood
        const auto timed = [&](std::vector<double>& timesMs, const std::vector<std::string>& arguments) {
            const auto startUs = monotonicUs();
            passed = fleet.rsync(arguments, 60).status == 0 && passed;
            timesMs.push_back(static_cast<double>(monotonicUs() - startUs) / 1000);
        };
        long opened = 0;
        for (int round = 0; round < kRounds && passed; ++round)
            for (int withFlood = 0; withFlood < 2; ++withFlood) {
                std::unique_ptr<Flood> flood;
                if (withFlood) {
                    flood = std::make_unique<Flood>(fleet.rsyncPort(0));
                    passed = waitUntil(20, [&] { return flood->full(); }) && passed;
                }
                timed(listMs[withFlood], {"-r", "--list-only", fleet.url(0, "maps/")});
                timed(downloadMs[withFlood], {"-rt", fleet.url(0, "maps/"), (directory / "down/").string()});
                fs::remove_all(directory / "down");
                if (flood) opened += flood->opened();
            }
        const double listRatio = median(listMs[1]) / std::max(0.001, median(listMs[0]));
        const double downloadRatio = median(downloadMs[1]) / std::max(0.001, median(downloadMs[0]));
        std::printf(
            "%d connections held from one address (%ld opened in total), %d rounds: list median %.0f ms, "
            "%.0f "
            "without them, ratio %.2f (max %.0f); download of 200 files %.0f ms, %.0f, ratio %.2f (max "
            "%.0f)\n",
            kConnections, opened, kRounds, median(listMs[1]), median(listMs[0]), listRatio,
            *std::max_element(listMs[1].begin(), listMs[1].end()), median(downloadMs[1]),
            median(downloadMs[0]), downloadRatio,
            *std::max_element(downloadMs[1].begin(), downloadMs[1].end()));
        passed = passed && listRatio <= kMaxRatio && downloadRatio <= kMaxRatio;
    }
    fs::remove_all(directory);
    return passed ? 0 : 1;
}
