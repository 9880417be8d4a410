#include "kit/bad_day.hpp"

#include <atomic>
#include <filesystem>
#include <mutex>
#include <random>
#include <thread>

#include "kit/fleet.hpp"
#include "kit/rsync_client.hpp"

namespace spokewheel::kit {
namespace {

namespace fs = std::filesystem;
constexpr int kInitialFiles = 60;
// A client gets its answer within the time that the request may wait for the volume (`refused-wait-s`) plus
// the deadline of its class.
constexpr double kMaxWaitMs = 2000, kViewDeadlineMs = 2000;
constexpr double kNodeUnitsPerS = 250;  // that a warm node completes
constexpr int kFirstBurstClient = 100;
constexpr int kRsyncSocketError = 10;  // exit status of the client

// The content of a file is derived from its name, so that any copy of it can be checked.
std::string contentOf(const std::string& name) {
    std::seed_seq seed(name.begin(), name.end());
    std::mt19937 random(seed);
    std::string content(200 + random() % 60000, '\0');
    for (auto& c : content) c = static_cast<char>(random());
    return content;
}

class BadDayRun {
  public:
    explicit BadDayRun(const BadDaySettings& settings)
        : settings_(settings), random_(settings.seed), fleet_(settings.bin, settings.directory + "/fleet") {
        fs::create_directories(settings.directory + "/up");
    }
    BadDayResult run() {
        startFleet();
        std::vector<std::thread> clients;
        for (int rank = 0; rank < settings_.script.hosts; ++rank) {
            clients.emplace_back([this, rank] { uploadRepeatedly(rank); });
            clients.emplace_back([this, rank] { downloadRepeatedly(rank, rank); });
            clients.emplace_back([this, rank] { readRepeatedly(rank); });
        }
        for (int round = 0; round < settings_.rounds; ++round) runScript(round);
        stopping_ = true;
        for (auto& client : clients) client.join();
        endBurst();
        for (int rank = 0; rank < settings_.script.hosts; ++rank) fleet_.stopHost(rank);
        checkRecords();
        return std::move(result_);
    }

  private:
    void reportProgress(const std::string& message) {
        if (settings_.progress) settings_.progress(message);
    }
    void addRecord(TraceRecord record) {
        const std::lock_guard lock(mutex_);
        records_.push_back(std::move(record));
    }
    void startFleet() {
        for (int node = 0; node < settings_.script.nodes; ++node)
            fleet_.startNode(node, {node,
                                    {"--base-ms", std::to_string(settings_.script.workMs), "--cores", "2",
                                     "--queue", "32", "--cold-ms", "2000"}});
        if (settings_.script.registry) fleet_.startRegistry();
        fleet_.writeNodeList();
        fleet_.setPeerMessageLoss(settings_.script.hosts, settings_.seed, 0);
        HostOptions options;
        options.classes =
            "\n  - {name: view, effect: repeatable, aim-ms: 300, deadline-ms: 2000, points: 2}"
            "\n  - {name: upload, effect: once, writes: true, in-order: true, aim-ms: 500, deadline-ms: "
            "3000, points: 3}\n";
        options.extra =
            "rules:\n  drain-grace-ms: 1000\n"
            "  cold: {units: 16, ms: 2000, share: 0.2, multiple: 2, fall-ms: 1000}\n"
            "  budget: {floor: 3, share: 0.1, span-ms: 5000}\n"
            "caps: {refused-wait-s: 2}\n";
        options_ = options;
        for (int rank = 0; rank < settings_.script.hosts; ++rank)
            fleet_.startHost(rank, settings_.script.hosts, options);
        for (int i = 0; i < kInitialFiles; ++i) {
            const auto name = "f" + std::to_string(i);
            writeFile(settings_.directory + "/up/" + name, contentOf(name));
        }
        result_.startUs = monotonicUs();
        for (const auto* volume : {"maps/", "narrow/"})
            if (fleet_.rsync({"-rt", settings_.directory + "/up/", fleet_.url(0, volume)}).status != 0)
                throw std::runtime_error("the initial upload failed");
        for (int rank = 1; rank < settings_.script.hosts; ++rank)
            if (!waitUntil(10, [&] {  // the list also has an entry for the folder itself
                    return RsyncClient(fleet_.rsyncPort(rank), "narrow/", 5).files().size() > kInitialFiles;
                }))
                throw std::runtime_error("a host does not list all files of the initial upload");
    }
    // Two operations out of three use the volume without a limit.
    const char* volumeOf(std::size_t operation) const { return operation % 3 ? "maps/" : "narrow/"; }

    void uploadRepeatedly(int rank) {
        for (std::size_t operation = 0; !stopping_; ++operation) {
            const auto name = "h" + std::to_string(rank) + "-" + std::to_string(operation);
            const auto file = settings_.directory + "/" + name;
            writeFile(file, contentOf(name));
            // A client whose host is down or refused it retries at the next host.
            bool ok = false;
            for (int host = rank, tries = 0; tries < 3 && !ok && !stopping_;
                 ++tries, host = (host + 1) % settings_.script.hosts) {
                ++uploads_;
                ok = fleet_.rsync({"-t", file, fleet_.url(host, volumeOf(operation))}, 20).status == 0;
                uploadsOk_ += ok;
            }
            fs::remove(file);
            ++operations_;
        }
    }
    // Downloads into a folder of this number; numbers from kFirstBurstClient on are those of a burst.
    void downloadRepeatedly(int rank, int folderNumber) {
        const bool inBurst = folderNumber >= kFirstBurstClient;
        const auto folder = settings_.directory + "/down" + std::to_string(folderNumber);
        for (std::size_t operation = 0; !stopping_ && !(inBurst && burstEnding_); ++operation) {
            ++downloads_;
            const auto result = fleet_.rsync(
                {"-rt", "--timeout=20",
                 fleet_.url(rank, volumeOf(operation)) + "f" + std::to_string(operation % 6) + "*",
                 folder + "/"},
                40);
            downloadsOk_ += result.status == 0;
            // Socket error, the host is down: retries a little later.
            if (result.status == kRsyncSocketError) waitUntil(0.1, [this] { return stopping_.load(); });
            if (fs::exists(folder))
                for (const auto& file : fs::directory_iterator(folder))
                    if (readFile(file.path().string()) != contentOf(file.path().filename().string()))
                        ++filesWithWrongContent_;
            fs::remove_all(folder);
            ++operations_;
        }
    }
    void readRepeatedly(int rank) {
        for (std::size_t session = 0; !stopping_; ++session) try {
                RsyncClient client(fleet_.rsyncPort(rank), volumeOf(session), 10);
                if (!client.ready()) throw std::runtime_error("file list not received");
                for (std::size_t index = 0; index < client.files().size() && index < 30 && !stopping_;
                     ++index) {
                    if (!client.files()[index].isFile()) continue;
                    TraceRecord record;
                    record.kind = TraceRecord::Kind::ClientRequested;
                    record.host = std::to_string(rank);
                    record.request = "client" + std::to_string(rank) + "-" + std::to_string(session) + "-" +
                                     std::to_string(index);
                    record.timeToAnswerMs = kMaxWaitMs + kViewDeadlineMs;
                    const auto result = client.fetch(static_cast<std::int32_t>(index));
                    record.timeUs = result.requestedUs;
                    addRecord(record);
                    ++singleReads_;
                    ++operations_;
                    if (result.outcome == RsyncClient::FetchResult::Outcome::ConnectionLost)
                        break;  // no answer: a violation unless the host was killed
                    record.kind = TraceRecord::Kind::ClientAnswered;
                    record.timeUs = result.answeredUs;
                    addRecord(record);
                    const bool ok = result.outcome == RsyncClient::FetchResult::Outcome::Content;
                    singleReadsOk_ += ok;
                    if (ok && result.content != contentOf(client.files()[index].name))
                        ++filesWithWrongContent_;
                }
            } catch (const std::exception&) {  // the host is down: retries
                waitUntil(0.1, [this] { return stopping_.load(); });
            }
    }

    // Waits until the clients have completed this many more operations, and up to a quarter more by the seed;
    // at most 15 s. Timing the steps by operations makes the run the same on a slow machine.
    void waitForOperations(std::size_t count) {
        const auto from = operations_.load();
        const auto more = count + random_() % (count / 4 + 1);
        waitUntil(15, [&] { return operations_ >= from + more; });
    }
    // Writes the node list and records each node's state in it. A host may read the list before this thread
    // runs again, so a node counts as ready from before the list is written (`fromUs`, or an earlier time if
    // the caller has already made it visible) and as not ready from after it. No record then requires a host
    // to know a state earlier than it could.
    void publishNodeList(std::int64_t fromUs = monotonicUs()) {
        fleet_.writeNodeList(nodeStates_);
        const auto writtenUs = monotonicUs();
        for (int node = 0; node < settings_.script.nodes; ++node) {
            const auto state = nodeStates_.find(node);
            const bool ready = state == nodeStates_.end();
            TraceRecord record;
            record.kind = TraceRecord::Kind::NodeListed;
            // The registry reports the change with its delay.
            record.timeUs = (ready ? fromUs : writtenUs) + static_cast<std::int64_t>(1000 * listDelayMs_);
            record.node = fleet_.nodeAddress(node);
            record.detail = ready ? "ready" : state->second;
            addRecord(record);
        }
    }
    void runScript(int round) {
        TargetSelector targets(settings_.script, settings_.seed + static_cast<std::uint64_t>(round));
        for (const auto& step : settings_.script.steps) {
            waitForOperations(step.after);
            const int target = targets.select(step);
            const bool hasTarget = targetsNode(step.action) || targetsHost(step.action);
            if (hasTarget && target < 0) continue;
            reportProgress(
                "round " + std::to_string(round) + ": " + nameOf(step.action) +
                (hasTarget ? (targetsNode(step.action) ? " node " : " host ") + std::to_string(target) : ""));
            apply(step, target);
        }
        waitForOperations(settings_.script.finalOperations);
    }
    void apply(const Step& step, int target) {
        switch (step.action) {
            case Action::Silence:
                fleet_.controlNode(target, "/faults?silent=1");
                break;
            case Action::Deafen:
                fleet_.controlNode(target, "/faults?deaf=1");
                break;
            case Action::HalfOpen:
                fleet_.controlNode(target, "/faults?half-open=1");
                break;
            case Action::Refuse:
                fleet_.controlNode(target, "/faults?refuse=1");
                break;
            case Action::Slow:
                fleet_.controlNode(target, "/faults?slow=" + std::to_string(step.amount));
                break;
            case Action::Clear:
                fleet_.controlNode(target, "/clear");
                break;
            case Action::Drain:
                nodeStates_[target] = "draining";
                publishNodeList();
                break;
            case Action::Retire:
                fleet_.killNode(target, true);
                nodeStates_[target] = "absent";
                publishNodeList();
                break;
            case Action::Crash:
                fleet_.killNode(target, true);
                break;
            case Action::Return:
                fleet_.startNode(target);
                nodeStates_.erase(target);
                publishNodeList();
                break;
            case Action::KillHost: {
                TraceRecord record;
                record.kind = TraceRecord::Kind::HostKilled;
                record.host = std::to_string(target);
                fleet_.killHost(target);
                record.timeUs = monotonicUs();
                addRecord(record);
                break;
            }
            case Action::StartHost:
                fleet_.startHost(target, settings_.script.hosts, options_);
                break;
            case Action::LoseMessages:
                fleet_.setPeerMessageLoss(settings_.script.hosts, settings_.seed, step.amount);
                break;
            case Action::Burst:
                for (int i = 0; i < static_cast<int>(step.amount); ++i)
                    burstClients_.emplace_back(
                        [this, i] { downloadRepeatedly(i % settings_.script.hosts, kFirstBurstClient + i); });
                break;
            case Action::Calm:
                endBurst();
                break;
            case Action::ListDown:
                fleet_.controlRegistry("/faults?down=1");
                break;
            case Action::ListBehind:
                listDelayMs_ = step.amount;
                fleet_.controlRegistry("/faults?behind-ms=" + std::to_string(step.amount));
                break;
            case Action::ListUp: {
                const auto fromUs = monotonicUs();
                listDelayMs_ = 0;
                fleet_.controlRegistry("/clear");
                publishNodeList(fromUs);
                break;
            }
        }
    }
    void endBurst() {
        burstEnding_ = true;
        for (auto& client : burstClients_) client.join();
        burstClients_.clear();
        burstEnding_ = false;
    }

    void checkRecords() {
        for (int node = 0; node < settings_.script.nodes; ++node) {
            fleet_.killNode(node, true);
            auto trace = parseTrace(readFile(fleet_.tracePath(node)));
            if (!trace.error.empty() && result_.error.empty())
                result_.error = "trace of node " + std::to_string(node) + ": " + trace.error;
            records_.insert(records_.end(), trace.records.begin(), trace.records.end());
        }
        result_.uploads = uploads_, result_.uploadsOk = uploadsOk_, result_.downloads = downloads_;
        result_.downloadsOk = downloadsOk_, result_.singleReads = singleReads_,
        result_.singleReadsOk = singleReadsOk_;
        result_.filesWithWrongContent = filesWithWrongContent_;
        // As set in startFleet().
        RuleParameters parameters;
        parameters.classes = {{"view", {false, false}}, {"upload", {true, true}}};
        parameters.volumes = {{1, {}}, {2, {100, 400, 8}}};
        parameters.coldMs = 2000, parameters.coldUnits = 16, parameters.nodeUnitsPerS = kNodeUnitsPerS;
        parameters.retryBudgetFloor = 3, parameters.retryBudgetShare = 0.1,
        parameters.retryBudgetSpanMs = 5000;
        result_.rules = checkRules(std::move(records_), parameters);
    }

    BadDaySettings settings_;
    std::mt19937_64 random_;
    Fleet fleet_;
    HostOptions options_;
    std::map<int, std::string> nodeStates_;  // of the nodes that are not ready
    std::vector<std::thread> burstClients_;
    double listDelayMs_ = 0;  // of the registry
    std::mutex mutex_;
    std::vector<TraceRecord> records_;
    std::atomic<bool> stopping_{false}, burstEnding_{false};
    // `operations_`: of all clients; the others as in BadDayResult.
    std::atomic<std::size_t> operations_{0}, uploads_{0}, uploadsOk_{0}, downloads_{0}, downloadsOk_{0},
        singleReads_{0}, singleReadsOk_{0}, filesWithWrongContent_{0};
    BadDayResult result_;
};

}  // namespace

BadDayResult runBadDay(const BadDaySettings& settings) {
    BadDayResult result;
    {
        BadDayRun run(settings);
        result = run.run();
    }
    fs::remove_all(settings.directory);
    return result;
}

}  // namespace spokewheel::kit
