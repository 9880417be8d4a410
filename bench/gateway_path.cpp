// The whole path: reads through a gateway against a bare client straight to the same nodes, in turns in one
// run; and a tree by the stock rsync client through the gateway against the same client copying locally.
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <sstream>
#include <thread>

#include "kit/fleet.hpp"
#include "kit/rsync_client.hpp"

namespace {

using namespace spokewheel::kit;
namespace fs = std::filesystem;

struct Figures {
    double perSecond = 0, p50 = 0, p99 = 0;
};
Figures measure(int clients, int each, const std::function<std::function<bool()>(int)>& make) {
    std::vector<std::vector<double>> took(static_cast<std::size_t>(clients));
    std::vector<std::thread> threads;
    const auto from = monotonicUs();
    for (int c = 0; c < clients; ++c)
        threads.emplace_back([&, c] {
            const auto one = make(c);
            for (int i = 0; i < each; ++i) {
                const auto t = monotonicUs();
                if (!one()) std::fprintf(stderr, "a read failed\n");
                took[static_cast<std::size_t>(c)].push_back(static_cast<double>(monotonicUs() - t) / 1000);
            }
        });
    for (auto& t : threads) t.join();
    const double seconds = static_cast<double>(monotonicUs() - from) / 1e6;
    std::vector<double> all;
    for (const auto& t : took) all.insert(all.end(), t.begin(), t.end());
    std::sort(all.begin(), all.end());
    return {static_cast<double>(all.size()) / seconds, all[all.size() / 2], all[all.size() * 99 / 100]};
}

// One kept connection that asks for the same objects as the gateway does.
class Bare {
  public:
    explicit Bare(int port) : socket_(port) {}
    bool get(const std::string& target) {
        socket_.send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
        std::size_t length = 0;
        const bool fine = socket_.readLine().find(" 200 ") != std::string::npos;
        for (std::string line = socket_.readLine(); line != "\r" && !line.empty(); line = socket_.readLine())
            if (line.rfind("Content-Length: ", 0) == 0)
                length = std::strtoull(line.c_str() + 16, nullptr, 10);
        return socket_.read(length).size() == length && fine;
    }

  private:
    Socket socket_;
};

// The objects that lie on the one node, from its record.
std::vector<std::string> stored(const Fleet& fleet, const std::string& kind) {
    std::vector<std::string> out;
    std::istringstream in(readFile(fleet.tracePath(0)));
    for (std::string line; std::getline(in, line);) {
        const auto at = line.find("\"target\":\"/maps/" + kind);
        if (at == line.npos || line.find("\"execute\",\"method\":\"PUT\"") == line.npos) continue;
        out.push_back(line.substr(at + 10, line.find('"', at + 10) - at - 10));
    }
    return out;
}

void reads(const std::string& bin, const std::string& work, const char* what, std::size_t bytes, int files,
           int clients, int each) {
    Fleet fleet(bin, work + "/fleet");
    fleet.startNode(0);
    fleet.writeNodeList();
    HostOptions o;
    o.volumes = "\n  - {name: maps, number: 1, plan: open}\n";
    o.logLevel = "info";
    o.extra = "caps: {pieces-ahead: 16}\n";
    fleet.startHost(0, 1, o);
    fs::create_directories(work + "/up");
    for (int i = 0; i < files; ++i)
        writeFile(work + "/up/f" + std::to_string(i), std::string(bytes, static_cast<char>('a' + i % 26)));
    if (fleet.rsync({"-rt", work + "/up/", fleet.url(0, "maps/")}, 120).status != 0) std::exit(1);
    const auto whole = stored(fleet, "o/"), pieces = stored(fleet, "p/");
    const std::size_t parts = pieces.size() / static_cast<std::size_t>(files);
    std::vector<double> rate, p50, p99;
    for (int round = 0; round < 5; ++round) {
        const auto through = measure(clients, each, [&](int c) {
            auto client = std::make_shared<RsyncClient>(fleet.rsyncPort(0), "maps/", 60);
            auto next = std::make_shared<std::size_t>(static_cast<std::size_t>(c));
            return [client, next, files, bytes] {
                // Place 0 of the list is the directory itself.
                const auto i = static_cast<std::int32_t>(1 + (*next)++ % static_cast<std::size_t>(files));
                return client->fetch(i).content.size() == bytes;
            };
        });
        const auto direct = measure(clients, each, [&](int c) {
            auto client = std::make_shared<Bare>(fleet.nodePort(0));
            auto next = std::make_shared<std::size_t>(static_cast<std::size_t>(c));
            return [client, next, &whole, &pieces, parts, files] {
                const auto i = (*next)++ % static_cast<std::size_t>(files);
                if (parts == 0) return client->get(whole[i]);
                bool fine = true;
                for (std::size_t k = 0; k < parts; ++k) fine = client->get(pieces[i * parts + k]) && fine;
                return fine;
            };
        });
        rate.push_back(through.perSecond / direct.perSecond);
        p50.push_back(through.p50 / direct.p50);
        p99.push_back(through.p99 / direct.p99);
        std::printf(
            "  %s: gateway %.0f/s p50 %.2f p99 %.2f ms, direct %.0f/s p50 %.2f p99 %.2f ms, ratio %.2f\n",
            what, through.perSecond, through.p50, through.p99, direct.perSecond, direct.p50, direct.p99,
            rate.back());
    }
    for (auto* v : {&rate, &p50, &p99}) std::sort(v->begin(), v->end());
    std::printf(
        "%s x %d clients: rate ratio %.2f (%.2f to %.2f), p50 ratio %.2f, p99 ratio %.2f; peak memory %ld "
        "KiB\n",
        what, clients, rate[2], rate[0], rate[4], p50[2], p99[2], fleet.residentPeakKiB(0));
    fs::remove_all(work + "/up");
}

void tree(const std::string& bin, const std::string& work) {
    Fleet fleet(bin, work + "/fleet");
    for (int n = 0; n < 3; ++n) fleet.startNode(n, {n, {}});
    fleet.writeNodeList();
    fleet.startHost(0);
    for (int i = 0; i < 10000; ++i) {
        const auto dir = work + "/up/d" + std::to_string(i / 100);
        fs::create_directories(dir);
        writeFile(dir + "/f" + std::to_string(i),
                  std::string(1000 + i % 3000, static_cast<char>('a' + i % 26)));
    }
    const auto timed = [&](const std::vector<std::string>& args) {
        const auto from = monotonicUs();
        if (fleet.rsync(args, 120).status != 0) std::exit(1);
        return static_cast<double>(monotonicUs() - from) / 1e6;
    };
    for (int round = 0; round < 3; ++round) {
        const auto to = std::to_string(round);
        const double up = timed({"-rt", work + "/up/", fleet.url(0, "maps/t" + to + "/")});
        const double down = timed({"-rt", fleet.url(0, "maps/t" + to + "/"), work + "/down" + to + "/"});
        const double local = timed({"-rt", work + "/up/", work + "/copy" + to + "/"});
        std::printf("tree of 10,000 files: up %.2f s, down %.2f s, local copy %.2f s (ratios %.1f, %.1f)\n",
                    up, down, local, up / local, down / local);
    }
}

}  // namespace

int main() {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const auto bin = fs::read_symlink("/proc/self/exe").parent_path().string();
    const auto work = (fs::temp_directory_path() / ("spokewheel-bench-" + std::to_string(getpid()))).string();
    fs::create_directories(work);
    try {
        reads(bin, work, "4 KiB", 4096, 200, 1, 4000);
        reads(bin, work, "4 KiB", 4096, 200, 8, 2000);
        reads(bin, work, "8 MiB", 8 << 20, 8, 2, 30);
        tree(bin, work);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "%s\n", e.what());
    }
    fs::remove_all(work);
}
