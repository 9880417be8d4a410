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
constexpr int kFiles = 60;
// A file has its end within the time that its request may wait for the volume's turn and the class's
// deadline.
constexpr double kWaitMs = 2000, kViewMs = 2000, kNodeUnitsPerS = 250;

// What a file holds is made from its name, so that any copy of it can be checked.
std::string contentOf(const std::string& name) {
    std::seed_seq seed(name.begin(), name.end());
    std::mt19937 random(seed);
    std::string out(200 + random() % 60000, '\0');
    for (auto& c : out) c = static_cast<char>(random());
    return out;
}

class Day {
  public:
    explicit Day(const BadDaySettings& s) : s_(s), random_(s.seed), fleet_(s.bin, s.directory + "/fleet") {
        fs::create_directories(s.directory + "/up");
    }
    BadDayResult play() {
        raise();
        std::vector<std::thread> clients;
        for (int r = 0; r < s_.script.hosts; ++r) {
            clients.emplace_back([this, r] { pushes(r); });
            clients.emplace_back([this, r] { pulls(r, r); });
            clients.emplace_back([this, r] { fetches(r); });
        }
        for (int i = 0; i < s_.rounds; ++i) script(i);
        stopping_ = true;
        for (auto& c : clients) c.join();
        calm();
        for (int r = 0; r < s_.script.hosts; ++r) fleet_.stopHost(r);
        collect();
        return std::move(result_);
    }

  private:
    void say(const std::string& words) {
        if (s_.progress) s_.progress(words);
    }
    void note(TraceRecord r) {
        const std::lock_guard lock(mutex_);
        records_.push_back(std::move(r));
    }
    void raise() {
        for (int n = 0; n < s_.script.nodes; ++n)
            fleet_.startNode(n, {n,
                                 {"--base-ms", std::to_string(s_.script.workMs), "--cores", "2", "--queue",
                                  "32", "--cold-ms", "2000"}});
        if (s_.script.registry) fleet_.startRegistry();
        fleet_.writeNodeList();
        fleet_.setPeerMessageLoss(s_.script.hosts, s_.seed, 0);
        HostOptions o;
        o.classes =
            "\n  - {name: view, effect: repeatable, aim-ms: 300, deadline-ms: 2000, points: 2}"
            "\n  - {name: upload, effect: once, writes: true, in-order: true, aim-ms: 500, deadline-ms: "
            "3000, points: 3}\n";
        o.extra =
            "rules:\n  drain-grace-ms: 1000\n"
            "  cold: {units: 16, ms: 2000, share: 0.2, multiple: 2, fall-ms: 1000}\n"
            "  budget: {floor: 3, share: 0.1, span-ms: 5000}\n"
            "caps: {refused-wait-s: 2}\n";
        options_ = o;
        for (int r = 0; r < s_.script.hosts; ++r) fleet_.startHost(r, s_.script.hosts, o);
        for (int i = 0; i < kFiles; ++i) {
            const auto name = "f" + std::to_string(i);
            writeFile(s_.directory + "/up/" + name, contentOf(name));
        }
        result_.fromUs = monotonicUs();
        for (const auto* v : {"maps/", "narrow/"})
            if (fleet_.rsync({"-rt", s_.directory + "/up/", fleet_.url(0, v)}).status != 0)
                throw std::runtime_error("the first upload failed");
        for (int r = 1; r < s_.script.hosts; ++r)
            if (!waitUntil(10, [&] {
                    return RsyncClient(fleet_.rsyncPort(r), "narrow/", 5).files().size() > kFiles;
                }))
                throw std::runtime_error("a host does not see the first upload");
    }
    const char* volume(std::size_t n) const { return n % 3 ? "maps/" : "narrow/"; }

    void pushes(int r) {
        for (std::size_t n = 0; !stopping_; ++n) {
            const auto name = "h" + std::to_string(r) + "-" + std::to_string(n);
            const auto file = s_.directory + "/" + name;
            writeFile(file, contentOf(name));
            // A client whose host is gone, or which was refused, comes again: here or at the next host.
            bool fine = false;
            for (int host = r, tries = 0; tries < 3 && !fine && !stopping_;
                 ++tries, host = (host + 1) % s_.script.hosts) {
                ++pushes_;
                fine = fleet_.rsync({"-t", file, fleet_.url(host, volume(n))}, 20).status == 0;
                pushesFine_ += fine;
            }
            fs::remove(file);
            ++steps_;
        }
    }
    void pulls(int r, int name) {
        const bool burst = name >= 100;
        const auto to = s_.directory + "/down" + std::to_string(name);
        for (std::size_t n = 0; !stopping_ && !(burst && calm_); ++n) {
            ++pulls_;
            const auto run =
                fleet_.rsync({"-rt", "--timeout=20",
                              fleet_.url(r, volume(n)) + "f" + std::to_string(n % 6) + "*", to + "/"},
                             40);
            pullsFine_ += run.status == 0;
            // Its host is down: comes again a little later.
            if (run.status == 10) waitUntil(0.1, [this] { return stopping_.load(); });
            if (fs::exists(to))
                for (const auto& f : fs::directory_iterator(to))
                    if (readFile(f.path().string()) != contentOf(f.path().filename().string())) ++halfFiles_;
            fs::remove_all(to);
            ++steps_;
        }
    }
    void fetches(int r) {
        for (std::size_t n = 0; !stopping_; ++n) try {
                RsyncClient client(fleet_.rsyncPort(r), volume(n), 10);
                if (!client.ready()) throw std::runtime_error("not served");
                for (std::size_t i = 0; i < client.files().size() && i < 30 && !stopping_; ++i) {
                    if (!client.files()[i].isFile()) continue;
                    TraceRecord took;
                    took.kind = TraceRecord::Kind::Took;
                    took.host = std::to_string(r);
                    took.request =
                        "client" + std::to_string(r) + "-" + std::to_string(n) + "-" + std::to_string(i);
                    took.withinMs = kWaitMs + kViewMs;
                    const auto f = client.fetch(static_cast<std::int32_t>(i));
                    took.us = f.askedUs;
                    note(took);
                    ++fetches_;
                    ++steps_;
                    if (f.outcome == RsyncClient::FetchResult::Outcome::ConnectionLost)
                        break;  // no end: judged with the host's death
                    took.kind = TraceRecord::Kind::Ended;
                    took.us = f.endedUs;
                    note(took);
                    const bool fine = f.outcome == RsyncClient::FetchResult::Outcome::Content;
                    fetchesFine_ += fine;
                    if (fine && f.content != contentOf(client.files()[i].name)) ++halfFiles_;
                }
            } catch (const std::exception&) {  // its host is down: comes again
                waitUntil(0.1, [this] { return stopping_.load(); });
            }
    }

    // Each step follows once the clients got so much further, so that a slow machine plays the same day.
    void after(std::size_t steps) {
        const auto from = steps_.load();
        const auto more = steps + random_() % (steps / 4 + 1);
        waitUntil(15, [&] { return steps_ >= from + more; });
    }
    // A host may act upon a list before this thread runs again. A node therefore counts as ready from before
    // the list is written (`fromUs`, where something before that already lets it be seen), as leaving from
    // after it: neither says that a host knew what it could not.
    void relist(std::int64_t fromUs = monotonicUs()) {
        fleet_.writeNodeList(states_);
        const auto writtenUs = monotonicUs();
        for (int n = 0; n < s_.script.nodes; ++n) {
            const auto s = states_.find(n);
            const bool ready = s == states_.end();
            TraceRecord r;
            r.kind = TraceRecord::Kind::Listed;
            // Told when it left the registry, which may be later than it was written there.
            r.us = (ready ? fromUs : writtenUs) + static_cast<std::int64_t>(1000 * behindMs_);
            r.node = fleet_.nodeAddress(n);
            r.words = ready ? "ready" : s->second;
            note(r);
        }
    }
    void script(int round) {
        Casting casting(s_.script, s_.seed + static_cast<std::uint64_t>(round));
        for (const auto& step : s_.script.steps) {
            after(step.after);
            const int whom = casting.cast(step);
            const bool about = ofNode(step.deed) || ofHost(step.deed);
            if (about && whom < 0) continue;
            say("round " + std::to_string(round) + ": " + nameOf(step.deed) +
                (about ? (ofNode(step.deed) ? " node " : " host ") + std::to_string(whom) : ""));
            play(step, whom);
        }
        after(s_.script.rest);
    }
    void play(const Step& step, int whom) {
        switch (step.deed) {
            case Deed::Silence:
                fleet_.controlNode(whom, "/faults?silent=1");
                break;
            case Deed::Deafen:
                fleet_.controlNode(whom, "/faults?deaf=1");
                break;
            case Deed::HalfOpen:
                fleet_.controlNode(whom, "/faults?half-open=1");
                break;
            case Deed::Refuse:
                fleet_.controlNode(whom, "/faults?refuse=1");
                break;
            case Deed::Slow:
                fleet_.controlNode(whom, "/faults?slow=" + std::to_string(step.by));
                break;
            case Deed::Clear:
                fleet_.controlNode(whom, "/clear");
                break;
            case Deed::Drain:
                states_[whom] = "draining";
                relist();
                break;
            case Deed::Retire:
                fleet_.killNode(whom, true);
                states_[whom] = "absent";
                relist();
                break;
            case Deed::Crash:
                fleet_.killNode(whom, true);
                break;
            case Deed::Return:
                fleet_.startNode(whom);
                states_.erase(whom);
                relist();
                break;
            case Deed::KillHost: {
                TraceRecord killed;
                killed.kind = TraceRecord::Kind::Killed;
                killed.host = std::to_string(whom);
                fleet_.killHost(whom);
                killed.us = monotonicUs();
                note(killed);
                break;
            }
            case Deed::StartHost:
                fleet_.startHost(whom, s_.script.hosts, options_);
                break;
            case Deed::LoseMessages:
                fleet_.setPeerMessageLoss(s_.script.hosts, s_.seed, step.by);
                break;
            case Deed::Burst:
                for (int i = 0; i < static_cast<int>(step.by); ++i)
                    burst_.emplace_back([this, i] { pulls(i % s_.script.hosts, 100 + i); });
                break;
            case Deed::Calm:
                calm();
                break;
            case Deed::ListDown:
                fleet_.controlRegistry("/faults?down=1");
                break;
            case Deed::ListBehind:
                behindMs_ = step.by;
                fleet_.controlRegistry("/faults?behind-ms=" + std::to_string(step.by));
                break;
            case Deed::ListUp: {
                const auto fromUs = monotonicUs();
                behindMs_ = 0;
                fleet_.controlRegistry("/clear");
                relist(fromUs);
                break;
            }
        }
    }
    void calm() {
        calm_ = true;
        for (auto& t : burst_) t.join();
        burst_.clear();
        calm_ = false;
    }

    void collect() {
        for (int n = 0; n < s_.script.nodes; ++n) {
            fleet_.killNode(n, true);
            auto trace = parseTrace(readFile(fleet_.tracePath(n)));
            if (!trace.fault.empty() && result_.fault.empty())
                result_.fault = "record of node " + std::to_string(n) + ": " + trace.fault;
            records_.insert(records_.end(), trace.records.begin(), trace.records.end());
        }
        result_.pushes = pushes_, result_.pushesFine = pushesFine_, result_.pulls = pulls_;
        result_.pullsFine = pullsFine_, result_.fetches = fetches_, result_.fetchesFine = fetchesFine_;
        result_.halfFiles = halfFiles_;
        RuleParameters f;
        f.classes = {{"view", {false, false}}, {"upload", {true, true}}};
        f.volumes = {{1, {}}, {2, {100, 400, 8}}};
        f.coldMs = 2000, f.coldUnits = 16, f.nodeUnitsPerS = kNodeUnitsPerS;
        f.extraFloor = 3, f.extraShare = 0.1, f.extraSpanMs = 5000;
        result_.verdicts = checkRules(std::move(records_), f);
    }

    BadDaySettings s_;
    std::mt19937_64 random_;
    Fleet fleet_;
    HostOptions options_;
    std::map<int, std::string> states_;  // of nodes that are not ready
    std::vector<std::thread> burst_;
    double behindMs_ = 0;
    std::mutex mutex_;
    std::vector<TraceRecord> records_;
    std::atomic<bool> stopping_{false}, calm_{false};
    std::atomic<std::size_t> steps_{0}, pushes_{0}, pushesFine_{0}, pulls_{0}, pullsFine_{0}, fetches_{0},
        fetchesFine_{0}, halfFiles_{0};
    BadDayResult result_;
};

}  // namespace

BadDayResult badDay(const BadDaySettings& settings) {
    BadDayResult out;
    {
        Day day(settings);
        out = day.play();
    }
    fs::remove_all(settings.directory);
    return out;
}

}  // namespace spokewheel::kit
