// A volume whose demand exceeds its limit, with real scheduler processes that are restarted again and again,
// or with requests that move from one scheduler to the next. What the disk server receives from all processes
// together must stay within the volume's token bucket: a process that starts must not bring a new burst.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <memory>

#include "kit/soak/cluster.hpp"
#include "kit/soak/record_checker.hpp"

namespace spokewheel::soak {
namespace {

// Four schedulers that exchange peer messages, one disk server without faults, and one volume whose clients
// send requests without pause.
class LimitFleet : public ::testing::Test {
  protected:
    void startFleet(const BusyVolume& volume) {
        std::signal(SIGPIPE, SIG_IGN);
        options.schedulerBinary = SPOKEWHEEL_BIN "/spokewheeld";
        options.shimLibrary = SPOKEWHEEL_BIN "/spokewheel_faults.so";
        options.folder = ::testing::TempDir() + "limit-" + std::to_string(getpid());
        options.schedulers = 4;
        options.servers = 1;
        options.requestsPerSecond = 0;
        options.injectFaults = false;
        options.logPipeBytes = 65536;  // the log holds the account of the volume's limit
        options.settings.busyVolumes = {volume};
        std::filesystem::create_directories(options.folder);
        cluster = std::make_unique<Cluster>(options);
        cluster->servers[0].server->setRandomFaults(false);
        cluster->servers[0].server->setInstant(true);
        cluster->start();
    }
    void TearDown() override {
        cluster.reset();
        if (!HasFailure()) std::filesystem::remove_all(options.folder);  // keeps the logs of a failed test
    }
    template <class Condition>
    bool runUntil(double timeoutMs, Condition condition) {
        for (const double deadline = cluster->reactor.now() + timeoutMs; !condition();) {
            if (cluster->reactor.now() >= deadline) return false;
            runFor(5);
        }
        return true;
    }
    void runFor(double durationMs) { cluster->reactor.runUntil(cluster->reactor.now() + durationMs); }
    // Ends the process with SIGTERM (planned) or SIGKILL, and starts it again `restartDelayMs` after its end.
    void restart(std::size_t scheduler, bool planned, double restartDelayMs) {
        auto& process = *cluster->processes[scheduler];
        if (planned) process.stop();
        else process.kill();
        ASSERT_TRUE(runUntil(8000, [&] { return !process.running(); }));
        runFor(restartDelayMs);
        cluster->startProcess(scheduler);
        ASSERT_TRUE(runUntil(8000, [&] { return process.ready(); }));
    }
    double served() const {
        double units = 0;
        for (const auto& event : cluster->events)
            if (event.kind == EventKind::Answered && event.status == 200) units += event.units;
        return units;
    }
    void expectNoViolation() {
        for (const auto& violation : checkRecord(cluster->events, requirementsOf(options.settings)))
            ADD_FAILURE() << nameOf(violation.rule) << " at " << violation.at - cluster->startedAt << " ms, n"
                          << violation.scheduler << " " << violation.request << ": " << violation.detail;
    }

    Options options;
    std::unique_ptr<Cluster> cluster;
};

BusyVolume volumeOverItsLimit(int hosts, double burst) {
    BusyVolume volume;
    volume.id = "00000003b4d60021";
    volume.limit = {20, burst, 4};
    volume.hosts = hosts;
    volume.schedulers.clear();
    for (int i = 0; i < hosts; ++i) volume.schedulers.push_back(i);
    volume.clients = 8;
    return volume;
}

struct RestartCase {
    const char* name;
    bool planned;
    int hosts;
    double burst;
    int restarts;
    double readyMsPerLife;  // how long each process runs after it became ready
    double restartDelayMs;  // from the end of a process to the next start
};
void PrintTo(const RestartCase& restartCase, std::ostream* out) { *out << restartCase.name; }

class RestartsInSeries : public LimitFleet, public ::testing::WithParamInterface<RestartCase> {};

TEST_P(RestartsInSeries, TakeNoVolumePastItsLimit) {
    const auto& param = GetParam();
    const auto volume = volumeOverItsLimit(param.hosts, param.burst);
    startFleet(volume);
    double readyMs = 0;  // of all processes of the restarted scheduler
    for (int i = 0; i < param.restarts; ++i) {
        runFor(param.readyMsPerLife);
        readyMs += param.readyMsPerLife;
        restart(0, param.planned, param.restartDelayMs);
        if (HasFatalFailure()) return;
    }
    runFor(param.readyMsPerLife);
    readyMs += param.readyMsPerLife;
    const double sharePerHost = volume.limit.rate / param.hosts;
    // After a kill the next process can't know what was left unspent, so less service is required.
    EXPECT_GT(served(), (param.planned ? 0.9 : 0.75) * sharePerHost * readyMs / 1000);
    cluster->stop();
    expectNoViolation();
}

INSTANTIATE_TEST_SUITE_P(Lives, RestartsInSeries,
                         ::testing::Values(RestartCase{"PlannedOneHost", true, 1, 40, 6, 1500, 300},
                                           RestartCase{"KilledOneHost", false, 1, 40, 8, 1500, 300},
                                           RestartCase{"KilledAtOnceAgain", false, 1, 40, 12, 700, 50},
                                           RestartCase{"KilledTwoHostsLargeBurst", false, 2, 100, 8, 1500,
                                                       300}));

// The requests of a volume come through one scheduler, then through another that never served it, then
// through a third.
TEST_F(LimitFleet, AVolumeThatMovesTakesNoBurstAlong) {
    startFleet(volumeOverItsLimit(1, 40));
    for (const int scheduler : {0, 1, 2}) {
        cluster->moveVolume(0, {scheduler}, 1);
        runFor(4000);
    }
    EXPECT_GT(served(), 0.9 * 20 * 12);
    cluster->stop();
    expectNoViolation();
}

}  // namespace
}  // namespace spokewheel::soak
