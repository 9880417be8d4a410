// Clients of a volume at its limit: 1, 8 and 64 stock rsync clients upload one tree each to the same limited
// volume through three hosts, while another volume is read. Prints the failed uploads, the longest upload
// compared with the time that the limit allows for all of them, the requests submitted per served request,
// whether the traffic at the nodes kept to the limit, and the p99 latency of the reads with and without the
// uploads. Takes about two minutes. The exit status is 0 if no upload failed and the limit was kept.
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <random>
#include <thread>

#include "kit/fleet.hpp"
#include "kit/rsync_client.hpp"
#include "kit/trace_checker.hpp"

namespace {

using namespace spokewheel::kit;
namespace fs = std::filesystem;

constexpr int kHosts = 3, kNodes = 3;
// Work of a request at a node. Without it the p99 of the reads is dominated by the machine's process
// scheduler.
const char* const kNodeWorkMs = "4";
constexpr double kLimit = 60, kBurst = 60, kSlack = 8;  // in units of 64 KiB: 3.75 MiB per second

// The last value of the counter in the log; 0 if it has none.
long lastCounter(const std::string& log, const std::string& key) {
    const auto prefix = "\"" + key + "\":\"";
    const auto at = log.rfind(prefix);
    return at == log.npos ? 0 : std::atol(log.c_str() + at + prefix.size());
}

double p99(std::vector<double> values) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    return values[values.size() * 99 / 100];
}

// Reads the files of the unlimited volume one after another, until `stop` is set or the time is over. Returns
// the latencies in ms.
std::vector<double> readLatencies(Fleet& fleet, const std::atomic<bool>& stop, double seconds) {
    std::vector<double> latenciesMs;
    const auto endUs = monotonicUs() + static_cast<std::int64_t>(seconds * 1e6);
    for (int host = 0; !stop && monotonicUs() < endUs; host = (host + 1) % kHosts) {
        RsyncClient client(fleet.rsyncPort(host), "maps/", 10);
        for (std::size_t i = 0; client.ready() && i < client.files().size() && !stop; ++i) {
            if (!client.files()[i].isFile()) continue;
            const auto startUs = monotonicUs();
            if (client.fetch(static_cast<std::int32_t>(i)).outcome ==
                RsyncClient::FetchResult::Outcome::Content)
                latenciesMs.push_back(static_cast<double>(monotonicUs() - startUs) / 1000);
        }
    }
    return latenciesMs;
}

// Runs the scenario with this many clients and files per client, and prints a line of results. Returns
// whether no upload failed and the limit was kept.
bool measure(const std::string& binDir, const std::string& directory, int clients, std::size_t files) {
    Fleet fleet(binDir, directory + "/fleet");
    for (int n = 0; n < kNodes; ++n) fleet.startNode(n, {n, {"--base-ms", kNodeWorkMs, "--cores", "8"}});
    fleet.writeNodeList();
    HostOptions options;
    options.logLevel = "info";
    options.classes =
        "\n  - {name: view, effect: repeatable, aim-ms: 500, deadline-ms: 5000, points: 2}"
        "\n  - {name: upload, effect: once, writes: true, aim-ms: 500, deadline-ms: 8000, points: 3}\n";
    char plan[200];
    std::snprintf(
        plan, sizeof plan,
        "\n  - {name: open, nominal: 1000, reservation: 500, weight: 2}"
        "\n  - {name: limited, nominal: 30, reservation: 20, limit: %g, limit-burst: %g, slack: %g}\n",
        kLimit, kBurst, kSlack);
    options.plans = plan;
    for (int rank = 0; rank < kHosts; ++rank) fleet.startHost(rank, kHosts, options);
    std::mt19937 random(7);
    for (int client = 0; client < clients; ++client)
        for (std::size_t file = 0; file < files; ++file) {
            const auto path = directory + "/up" + std::to_string(client) + "/c" + std::to_string(client) +
                              "-" + std::to_string(file);
            fs::create_directories(fs::path(path).parent_path());
            std::string content(270000, '\0');
            for (auto& byte : content) byte = static_cast<char>(random());
            writeFile(path, content);
        }
    fs::create_directories(directory + "/other");
    for (int file = 0; file < 40; ++file)
        writeFile(directory + "/other/f" + std::to_string(file), std::string(4096, 'x'));
    if (fleet.rsync({"-rt", directory + "/other/", fleet.url(0, "maps/")}).status != 0) return false;
    for (int rank = 0; rank < kHosts; ++rank)
        waitUntil(10, [&] { return RsyncClient(fleet.rsyncPort(rank), "maps/", 5).files().size() > 40; });

    std::atomic<bool> stop{false};
    auto withoutMs = readLatencies(fleet, stop, 10);
    std::vector<double> withMs;
    std::thread reader([&] { withMs = readLatencies(fleet, stop, 300); });
    std::vector<std::thread> uploads;
    std::vector<int> status(static_cast<std::size_t>(clients));
    std::vector<double> uploadS(status.size());
    const auto startUs = monotonicUs();
    for (int client = 0; client < clients; ++client)
        uploads.emplace_back([&, client] {
            const auto i = static_cast<std::size_t>(client);
            status[i] = fleet
                            .rsync({"-rt", directory + "/up" + std::to_string(client) + "/",
                                    fleet.url(client % kHosts, "narrow/")},
                                   240)
                            .status;
            uploadS[i] = static_cast<double>(monotonicUs() - startUs) / 1e6;
        });
    for (auto& upload : uploads) upload.join();
    stop = true;
    reader.join();
    // The baseline is also measured after the uploads, since the machine's load may have changed meanwhile.
    stop = false;
    for (const auto ms : readLatencies(fleet, stop, 10)) withoutMs.push_back(ms);
    long retried = 0;
    waitUntil(8, [&] {
        return monotonicUs() - startUs > 0 && lastCounter(readFile(fleet.logPath(0)), "open") == 0;
    });
    for (int rank = 0; rank < kHosts; ++rank) {
        fleet.stopHost(rank);
        const auto log = readFile(fleet.logPath(rank));
        retried += lastCounter(log, "made_anew");
    }
    std::vector<TraceRecord> records;
    for (int n = 0; n < kNodes; ++n) {
        fleet.killNode(n, true);
        auto trace = parseTrace(readFile(fleet.tracePath(n)));
        records.insert(records.end(), trace.records.begin(), trace.records.end());
    }
    RuleParameters parameters;
    parameters.classes = {{"view", {false, false}}, {"upload", {true, false}}};
    parameters.volumes = {{1, {}}, {2, {kLimit, kBurst, kSlack}}};
    const auto verdicts = checkRules(std::move(records), parameters);
    // Per file two pieces and the manifest; only requests of the limited volume are refused for its limit.
    const double requests = clients * static_cast<double>(files) * 3;
    const double units = clients * static_cast<double>(files) * 6;  // 5 for the pieces, 1 for the manifest
    // The time in which the limit admits all uploads.
    const double fairS = std::max(0.1, (units - kBurst) / kLimit),
                 longestS = *std::max_element(uploadS.begin(), uploadS.end());
    const auto failed = std::count_if(status.begin(), status.end(), [](int s) { return s != 0; });
    std::printf(
        "%2d clients, %4.0f units: %ld failed; longest %.1f s, fair %.1f s, ratio %.2f; %.2f requests "
        "submitted per served one; limit %s; p99 of reads with/without uploads %.1f/%.1f ms = %.2f\n",
        clients, units, static_cast<long>(failed), longestS, fairS, longestS / fairS,
        1 + static_cast<double>(retried) / requests,
        verdicts[6].status == RuleStatus::Kept ? "kept" : "NOT KEPT", p99(withMs), p99(withoutMs),
        p99(withMs) / std::max(0.001, p99(withoutMs)));
    std::fflush(stdout);
    return failed == 0 && verdicts[6].status == RuleStatus::Kept;
}

}  // namespace

int main() {
    const auto binDir = fs::read_symlink("/proc/self/exe").parent_path().string();
    const auto directory = fs::temp_directory_path() / ("spokewheel-limited-" + std::to_string(getpid()));
    bool passed = true;
    for (const auto& [clients, files] : {std::pair<int, std::size_t>{1, 100}, {8, 25}, {64, 4}}) {
        fs::remove_all(directory);
        fs::create_directories(directory / "other");
        passed = measure(binDir, directory.string(), clients, files) && passed;
        fs::remove_all(directory);
    }
    return passed ? 0 : 1;
}
