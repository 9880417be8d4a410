// Clients at their volume's limit: 1, 8 and 64 stock clients push one tree each to one limited volume through
// three hosts, while two clients read another volume. Told: exit statuses, the longest wait against the fair
// one, requests made for each that was served, the limit by the traffic at the nodes, and the other volume's
// p99 with against without. About two minutes.
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
// Work of a request at a node. Without any, the readers' p99 is that of the machine's scheduler.
const char* const kNodeMs = "4";
constexpr double kLimit = 60, kBurst = 60, kSlack = 8;  // units of 64 KiB: 3.75 MiB a second

long sumOf(const std::string& log, const std::string& key) {
    const auto mark = "\"" + key + "\":\"";
    const auto at = log.rfind(mark);
    return at == log.npos ? 0 : std::atol(log.c_str() + at + mark.size());
}

double p99(std::vector<double> all) {
    if (all.empty()) return 0;
    std::sort(all.begin(), all.end());
    return all[all.size() * 99 / 100];
}

// Reads of another volume, one after another, until told to stop.
std::vector<double> reads(Fleet& fleet, const std::atomic<bool>& stop, double seconds) {
    std::vector<double> took;
    const auto end = monotonicUs() + static_cast<std::int64_t>(seconds * 1e6);
    for (int host = 0; !stop && monotonicUs() < end; host = (host + 1) % kHosts) {
        RsyncClient client(fleet.rsyncPort(host), "maps/", 10);
        for (std::size_t i = 0; client.ready() && i < client.files().size() && !stop; ++i) {
            if (!client.files()[i].isFile()) continue;
            const auto from = monotonicUs();
            if (client.fetch(static_cast<std::int32_t>(i)).outcome ==
                RsyncClient::FetchResult::Outcome::Content)
                took.push_back(static_cast<double>(monotonicUs() - from) / 1000);
        }
    }
    return took;
}

bool measure(const std::string& bin, const std::string& directory, int clients, std::size_t files) {
    Fleet fleet(bin, directory + "/fleet");
    for (int n = 0; n < kNodes; ++n) fleet.startNode(n, {n, {"--base-ms", kNodeMs, "--cores", "8"}});
    fleet.writeNodeList();
    HostOptions o;
    o.logLevel = "info";
    o.classes =
        "\n  - {name: view, effect: repeatable, aim-ms: 500, deadline-ms: 5000, points: 2}"
        "\n  - {name: upload, effect: once, writes: true, aim-ms: 500, deadline-ms: 8000, points: 3}\n";
    char plan[200];
    std::snprintf(
        plan, sizeof plan,
        "\n  - {name: open, nominal: 1000, reservation: 500, weight: 2}"
        "\n  - {name: limited, nominal: 30, reservation: 20, limit: %g, limit-burst: %g, slack: %g}\n",
        kLimit, kBurst, kSlack);
    o.plans = plan;
    for (int r = 0; r < kHosts; ++r) fleet.startHost(r, kHosts, o);
    std::mt19937 random(7);
    for (int c = 0; c < clients; ++c)
        for (std::size_t f = 0; f < files; ++f) {
            const auto at =
                directory + "/up" + std::to_string(c) + "/c" + std::to_string(c) + "-" + std::to_string(f);
            fs::create_directories(fs::path(at).parent_path());
            std::string text(270000, '\0');
            for (auto& b : text) b = static_cast<char>(random());
            writeFile(at, text);
        }
    fs::create_directories(directory + "/other");
    for (int f = 0; f < 40; ++f)
        writeFile(directory + "/other/f" + std::to_string(f), std::string(4096, 'x'));
    if (fleet.rsync({"-rt", directory + "/other/", fleet.url(0, "maps/")}).status != 0) return false;
    for (int r = 0; r < kHosts; ++r)
        waitUntil(10, [&] { return RsyncClient(fleet.rsyncPort(r), "maps/", 5).files().size() > 40; });

    std::atomic<bool> stop{false};
    auto without = reads(fleet, stop, 10);
    std::vector<double> with;
    std::thread reader([&] { with = reads(fleet, stop, 300); });
    std::vector<std::thread> pushing;
    std::vector<int> status(static_cast<std::size_t>(clients));
    std::vector<double> took(status.size());
    const auto from = monotonicUs();
    for (int c = 0; c < clients; ++c)
        pushing.emplace_back([&, c] {
            const auto i = static_cast<std::size_t>(c);
            status[i] = fleet
                            .rsync({"-rt", directory + "/up" + std::to_string(c) + "/",
                                    fleet.url(c % kHosts, "narrow/")},
                                   240)
                            .status;
            took[i] = static_cast<double>(monotonicUs() - from) / 1e6;
        });
    for (auto& t : pushing) t.join();
    stop = true;
    reader.join();
    stop = false;  // and once more behind it: the machine may have got busier or quieter meanwhile
    for (const auto ms : reads(fleet, stop, 10)) without.push_back(ms);
    long anew = 0;
    waitUntil(8, [&] { return monotonicUs() - from > 0 && sumOf(readFile(fleet.logPath(0)), "open") == 0; });
    for (int r = 0; r < kHosts; ++r) {
        fleet.stopHost(r);
        const auto log = readFile(fleet.logPath(r));
        anew += sumOf(log, "made_anew");
    }
    std::vector<TraceRecord> records;
    for (int n = 0; n < kNodes; ++n) {
        fleet.killNode(n, true);
        auto trace = parseTrace(readFile(fleet.tracePath(n)));
        records.insert(records.end(), trace.records.begin(), trace.records.end());
    }
    RuleParameters f;
    f.classes = {{"view", {false, false}}, {"upload", {true, false}}};
    f.volumes = {{1, {}}, {2, {kLimit, kBurst, kSlack}}};
    const auto verdicts = checkRules(std::move(records), f);
    // Two pieces and what shows them; only the limited volume's are refused for its sake.
    const double requests = clients * static_cast<double>(files) * 3;
    const double units = clients * static_cast<double>(files) * 6;  // 5 for the pieces, 1 for what shows them
    const double fair = std::max(0.1, (units - kBurst) / kLimit),
                 longest = *std::max_element(took.begin(), took.end());
    const auto failed = std::count_if(status.begin(), status.end(), [](int s) { return s != 0; });
    std::printf(
        "%2d clients, %4.0f units: %ld failed; longest %.1f s, fair %.1f s, ratio %.2f; %.2f made "
        "for each served; limit %s; others' p99 with/without %.1f/%.1f ms = %.2f\n",
        clients, units, static_cast<long>(failed), longest, fair, longest / fair,
        1 + static_cast<double>(anew) / requests,
        verdicts[6].status == RuleStatus::Kept ? "kept" : "NOT KEPT", p99(with), p99(without),
        p99(with) / std::max(0.001, p99(without)));
    std::fflush(stdout);
    return failed == 0 && verdicts[6].status == RuleStatus::Kept;
}

}  // namespace

int main() {
    const auto bin = fs::read_symlink("/proc/self/exe").parent_path().string();
    const auto directory = fs::temp_directory_path() / ("spokewheel-limited-" + std::to_string(getpid()));
    bool fine = true;
    for (const auto& [clients, files] : {std::pair<int, std::size_t>{1, 100}, {8, 25}, {64, 4}}) {
        fs::remove_all(directory);
        fs::create_directories(directory / "other");
        fine = measure(bin, directory.string(), clients, files) && fine;
        fs::remove_all(directory);
    }
    return fine ? 0 : 1;
}
