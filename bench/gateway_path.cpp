// Cost of the whole path. Reads through a gateway are compared with a minimal HTTP client that reads the same
// objects directly from the node; the two take turns within one run, so that changes in the machine's load
// affect both. A tree copied through the gateway by the stock rsync client is compared with a local copy by
// the same client.
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

struct Measurement {
    double perSecond = 0, p50 = 0, p99 = 0;  // latencies in ms
};
// Runs `clients` threads. Each calls `makeReader` with its number and then the returned reader, which returns
// whether its read succeeded, `readsPerClient` times.
Measurement measure(int clients, int readsPerClient,
                    const std::function<std::function<bool()>(int)>& makeReader) {
    std::vector<std::vector<double>> latenciesMs(static_cast<std::size_t>(clients));
    std::vector<std::thread> threads;
    const auto startUs = monotonicUs();
    for (int c = 0; c < clients; ++c)
        threads.emplace_back([&, c] {
            const auto read = makeReader(c);
            for (int i = 0; i < readsPerClient; ++i) {
                const auto readStartUs = monotonicUs();
                if (!read()) std::fprintf(stderr, "a read failed\n");
                latenciesMs[static_cast<std::size_t>(c)].push_back(
                    static_cast<double>(monotonicUs() - readStartUs) / 1000);
            }
        });
    for (auto& thread : threads) thread.join();
    const double seconds = static_cast<double>(monotonicUs() - startUs) / 1e6;
    std::vector<double> all;
    for (const auto& latencies : latenciesMs) all.insert(all.end(), latencies.begin(), latencies.end());
    std::sort(all.begin(), all.end());
    return {static_cast<double>(all.size()) / seconds, all[all.size() / 2], all[all.size() * 99 / 100]};
}

// A blocking HTTP client with one persistent connection.
class HttpReader {
  public:
    explicit HttpReader(int port) : socket_(port) {}
    // Whether the answer is a 200 with a complete body.
    bool get(const std::string& target) {
        socket_.send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
        std::size_t length = 0;
        const bool ok = socket_.readLine().find(" 200 ") != std::string::npos;
        for (std::string line = socket_.readLine(); line != "\r" && !line.empty(); line = socket_.readLine())
            if (line.rfind("Content-Length: ", 0) == 0)
                length = std::strtoull(line.c_str() + 16, nullptr, 10);
        return socket_.read(length).size() == length && ok;
    }

  private:
    Socket socket_;
};

// The targets of the stored objects of a kind ("o/": files, "p/": pieces), from the trace of the only node.
std::vector<std::string> storedTargets(const Fleet& fleet, const std::string& kind) {
    std::vector<std::string> targets;
    std::istringstream in(readFile(fleet.tracePath(0)));
    for (std::string line; std::getline(in, line);) {
        const auto at = line.find("\"target\":\"/maps/" + kind);
        if (at == line.npos || line.find("\"execute\",\"method\":\"PUT\"") == line.npos) continue;
        targets.push_back(line.substr(at + 10, line.find('"', at + 10) - at - 10));
    }
    return targets;
}

void compareReads(const std::string& binDir, const std::string& work, const char* what, std::size_t bytes,
                  int files, int clients, int readsPerClient) {
    Fleet fleet(binDir, work + "/fleet");
    fleet.startNode(0);
    fleet.writeNodeList();
    HostOptions options;
    options.volumes = "\n  - {name: maps, number: 1, plan: open}\n";
    options.logLevel = "info";
    options.extra = "caps: {pieces-ahead: 16}\n";
    fleet.startHost(0, 1, options);
    fs::create_directories(work + "/up");
    for (int i = 0; i < files; ++i)
        writeFile(work + "/up/f" + std::to_string(i), std::string(bytes, static_cast<char>('a' + i % 26)));
    if (fleet.rsync({"-rt", work + "/up/", fleet.url(0, "maps/")}, 120).status != 0) std::exit(1);
    const auto whole = storedTargets(fleet, "o/"), pieces = storedTargets(fleet, "p/");
    const std::size_t piecesPerFile = pieces.size() / static_cast<std::size_t>(files);
    std::vector<double> rateRatio, p50Ratio, p99Ratio;
    for (int round = 0; round < 5; ++round) {
        const auto gateway = measure(clients, readsPerClient, [&](int c) {
            auto client = std::make_shared<RsyncClient>(fleet.rsyncPort(0), "maps/", 60);
            auto next = std::make_shared<std::size_t>(static_cast<std::size_t>(c));
            return [client, next, files, bytes] {
                // Index 0 of the file list is the directory itself.
                const auto i = static_cast<std::int32_t>(1 + (*next)++ % static_cast<std::size_t>(files));
                return client->fetch(i).content.size() == bytes;
            };
        });
        const auto direct = measure(clients, readsPerClient, [&](int c) {
            auto client = std::make_shared<HttpReader>(fleet.nodePort(0));
            auto next = std::make_shared<std::size_t>(static_cast<std::size_t>(c));
            return [client, next, &whole, &pieces, piecesPerFile, files] {
                const auto file = (*next)++ % static_cast<std::size_t>(files);
                if (piecesPerFile == 0) return client->get(whole[file]);
                bool ok = true;
                for (std::size_t piece = 0; piece < piecesPerFile; ++piece)
                    ok = client->get(pieces[file * piecesPerFile + piece]) && ok;
                return ok;
            };
        });
        rateRatio.push_back(gateway.perSecond / direct.perSecond);
        p50Ratio.push_back(gateway.p50 / direct.p50);
        p99Ratio.push_back(gateway.p99 / direct.p99);
        std::printf(
            "  %s: gateway %.0f/s p50 %.2f p99 %.2f ms, direct %.0f/s p50 %.2f p99 %.2f ms, ratio %.2f\n",
            what, gateway.perSecond, gateway.p50, gateway.p99, direct.perSecond, direct.p50, direct.p99,
            rateRatio.back());
    }
    for (auto* ratios : {&rateRatio, &p50Ratio, &p99Ratio}) std::sort(ratios->begin(), ratios->end());
    std::printf(
        "%s x %d clients: rate ratio %.2f (%.2f to %.2f), p50 ratio %.2f, p99 ratio %.2f; peak memory %ld "
        "KiB\n",
        what, clients, rateRatio[2], rateRatio[0], rateRatio[4], p50Ratio[2], p99Ratio[2],
        fleet.residentPeakKiB(0));
    fs::remove_all(work + "/up");
}

void compareTree(const std::string& binDir, const std::string& work) {
    Fleet fleet(binDir, work + "/fleet");
    for (int n = 0; n < 3; ++n) fleet.startNode(n, {n, {}});
    fleet.writeNodeList();
    fleet.startHost(0);
    for (int i = 0; i < 10000; ++i) {
        const auto dir = work + "/up/d" + std::to_string(i / 100);
        fs::create_directories(dir);
        writeFile(dir + "/f" + std::to_string(i),
                  std::string(1000 + i % 3000, static_cast<char>('a' + i % 26)));
    }
    const auto timed = [&](const std::vector<std::string>& args) {  // seconds that rsync took
        const auto startUs = monotonicUs();
        if (fleet.rsync(args, 120).status != 0) std::exit(1);
        return static_cast<double>(monotonicUs() - startUs) / 1e6;
    };
    for (int round = 0; round < 3; ++round) {
        const auto suffix = std::to_string(round);
        const double up = timed({"-rt", work + "/up/", fleet.url(0, "maps/t" + suffix + "/")});
        const double down =
            timed({"-rt", fleet.url(0, "maps/t" + suffix + "/"), work + "/down" + suffix + "/"});
        const double local = timed({"-rt", work + "/up/", work + "/copy" + suffix + "/"});
        std::printf("tree of 10,000 files: up %.2f s, down %.2f s, local copy %.2f s (ratios %.1f, %.1f)\n",
                    up, down, local, up / local, down / local);
    }
}

}  // namespace

int main() {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const auto binDir = fs::read_symlink("/proc/self/exe").parent_path().string();
    const auto work = (fs::temp_directory_path() / ("spokewheel-bench-" + std::to_string(getpid()))).string();
    fs::create_directories(work);
    try {
        compareReads(binDir, work, "4 KiB", 4096, 200, 1, 4000);
        compareReads(binDir, work, "4 KiB", 4096, 200, 8, 2000);
        compareReads(binDir, work, "8 MiB", 8 << 20, 8, 2, 30);
        compareTree(binDir, work);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "%s\n", e.what());
    }
    fs::remove_all(work);
}
