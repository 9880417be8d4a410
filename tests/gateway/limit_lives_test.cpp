// A volume at its limit through real processes that are restarted in series, and through one scheduler after
// another. The sum over all lives is held against the volume's store at the disk server.
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

// Four schedulers with peers and one sound disk server; one volume whose clients ask without pause.
class LimitFleet : public ::testing::Test {
  protected:
    void raise(const BusyVolume& volume) {
        std::signal(SIGPIPE, SIG_IGN);
        options.schedulerBinary = SPOKEWHEEL_BIN "/spokewheeld";
        options.shimLibrary = SPOKEWHEEL_BIN "/spokewheel_faults.so";
        options.folder = ::testing::TempDir() + "limit-" + std::to_string(getpid());
        options.schedulers = 4;
        options.servers = 1;
        options.requestsPerSecond = 0;
        options.injectFaults = false;
        options.logPipeBytes = 65536;  // the account of the volume stands there
        options.settings.busyVolumes = {volume};
        std::filesystem::create_directories(options.folder);
        world = std::make_unique<Cluster>(options);
        world->servers[0].server->setRandomFaults(false);
        world->servers[0].server->setInstant(true);
        world->start();
    }
    void TearDown() override {
        world.reset();
        if (!HasFailure()) std::filesystem::remove_all(options.folder);  // logs are kept for the search
    }
    template <class Condition>
    bool runUntil(double ms, Condition condition) {
        for (const double until = world->reactor.now() + ms; !condition();) {
            if (world->reactor.now() >= until) return false;
            pass(5);
        }
        return true;
    }
    void pass(double ms) { world->reactor.runUntil(world->reactor.now() + ms); }
    // Ends the process, by SIGTERM or SIGKILL, and starts it again so long after its end.
    void restart(std::size_t scheduler, bool planned, double upAgainMs) {
        auto& process = *world->processes[scheduler];
        if (planned) process.stop();
        else process.kill();
        ASSERT_TRUE(runUntil(8000, [&] { return !process.running(); }));
        pass(upAgainMs);
        world->startProcess(scheduler);
        ASSERT_TRUE(runUntil(8000, [&] { return process.ready(); }));
    }
    double served() const {
        double units = 0;
        for (const auto& e : world->events)
            if (e.kind == EventKind::Answered && e.status == 200) units += e.units;
        return units;
    }
    void expectKept() {
        for (const auto& violation : checkRecord(world->events, requirementsOf(options.settings)))
            ADD_FAILURE() << nameOf(violation.rule) << " at " << violation.at - world->startedAt << " ms, n"
                          << violation.scheduler << " " << violation.request << ": " << violation.detail;
    }

    Options options;
    std::unique_ptr<Cluster> world;
};

BusyVolume volumeAtItsLimit(int hosts, double burst) {
    BusyVolume volume;
    volume.id = "00000003b4d60021";
    volume.limit = {20, burst, 4};
    volume.hosts = hosts;
    volume.schedulers.clear();
    for (int i = 0; i < hosts; ++i) volume.schedulers.push_back(i);
    volume.clients = 8;
    return volume;
}

struct Lives {
    const char* name;
    bool planned;
    int hosts;
    double burst;
    int restarts;
    double lifeMs;     // of each process, from when it is ready
    double upAgainMs;  // after its end
};
void PrintTo(const Lives& lives, std::ostream* out) { *out << lives.name; }

class RestartsInSeries : public LimitFleet, public ::testing::WithParamInterface<Lives> {};

TEST_P(RestartsInSeries, TakeNoVolumePastItsLimit) {
    const auto& param = GetParam();
    const auto volume = volumeAtItsLimit(param.hosts, param.burst);
    raise(volume);
    double readyMs = 0;  // of the process that is restarted
    for (int i = 0; i < param.restarts; ++i) {
        pass(param.lifeMs);
        readyMs += param.lifeMs;
        restart(0, param.planned, param.upAgainMs);
        if (HasFatalFailure()) return;
    }
    pass(param.lifeMs);
    readyMs += param.lifeMs;
    const double part = volume.limit.rate / param.hosts;
    // Where a planned stop tells the process nothing, what it may not know was unspent is not asked for.
    EXPECT_GT(served(), (param.planned ? 0.9 : 0.75) * part * readyMs / 1000);
    world->stop();
    expectKept();
}

INSTANTIATE_TEST_SUITE_P(Lives, RestartsInSeries,
                         ::testing::Values(Lives{"PlannedOneHost", true, 1, 40, 6, 1500, 300},
                                           Lives{"KilledOneHost", false, 1, 40, 8, 1500, 300},
                                           Lives{"KilledAtOnceAgain", false, 1, 40, 12, 700, 50},
                                           Lives{"KilledTwoHostsLargeBurst", false, 2, 100, 8, 1500, 300}));

// Its requests come through one scheduler, then through another that never saw it, then through a third.
TEST_F(LimitFleet, AVolumeThatMovesTakesNoBurstAlong) {
    raise(volumeAtItsLimit(1, 40));
    for (const int scheduler : {0, 1, 2}) {
        world->moveVolume(0, {scheduler}, 1);
        pass(4000);
    }
    EXPECT_GT(served(), 0.9 * 20 * 12);
    world->stop();
    expectKept();
}

}  // namespace
}  // namespace spokewheel::soak
