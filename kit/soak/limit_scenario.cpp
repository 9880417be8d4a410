#include "kit/soak/limit_scenario.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace spokewheel::soak {
namespace {

constexpr double kSlackShareOfBurst = 0.1;
constexpr double kDemandBelowLimit = 0.6;
constexpr int kMaxClientsPerVolume = 12;
// Independent random sequences of one seed.
constexpr std::uint64_t kSettingsSeedStream = 91, kFaultSeedStream = 92;

Random makeRandom(std::uint64_t seed, std::uint64_t stream) {
    return Random(seed * 0x9e3779b97f4a7c15ULL + stream);
}

template <class T, std::size_t N>
T drawOf(Random& random, const T (&choices)[N]) {
    return choices[drawBelow(random, static_cast<int>(N))];
}

std::vector<int> consecutiveSchedulers(Random& random, int count, int total) {
    const int first = drawBelow(random, total);
    std::vector<int> out;
    for (int i = 0; i < count; ++i) out.push_back((first + i) % total);
    return out;
}

BusyVolume drawVolume(Random& random, int number, int schedulers, bool peers) {
    constexpr double kRates[] = {5, 10, 20, 40};
    constexpr double kBurstsS[] = {1, 2, 5, 10};
    constexpr int kUnits[] = {1, 1, 2, 4};
    BusyVolume volume;
    volume.id = "00000000000b000" + std::to_string(number);
    volume.limit.rate = drawOf(random, kRates);
    volume.limit.burst = volume.limit.rate * drawOf(random, kBurstsS);
    volume.limit.slack = kSlackShareOfBurst * volume.limit.burst;
    volume.maxUnits = drawOf(random, kUnits);
    const int hosts[] = {1, 2, std::max(1, schedulers / 2), schedulers};
    volume.hosts = std::min(schedulers, drawOf(random, hosts));
    // Without peer messages each host has only an equal part of the burst, which has to cover a request.
    if (!peers) volume.hosts = std::min(volume.hosts, static_cast<int>(volume.limit.burst / 4));
    if (!peers) volume.maxUnits = 1;
    volume.hosts = std::max(1, volume.hosts);
    volume.limit.hosts = volume.hosts;
    volume.schedulers = consecutiveSchedulers(random, volume.hosts, schedulers);
    volume.reservation = chance(random, 0.5) ? volume.limit.rate / 2 : 0;
    volume.clients = std::max(1, kMaxClientsPerVolume / volume.hosts);
    const double clients = volume.clients * volume.hosts;
    volume.refusedPauseMs = std::max(20.0, 8 * clients);
    const double meanUnits = (1 + volume.maxUnits) / 2.0;
    const double pauseAtLimitMs = 1000 * clients * meanUnits / volume.limit.rate;
    const int demand = drawBelow(random, 3);
    volume.pauseMs = demand == 0 ? pauseAtLimitMs / kDemandBelowLimit : demand == 1 ? pauseAtLimitMs : 0;
    return volume;
}

}  // namespace

void drawLimitScenario(Settings& settings, std::uint64_t seed, int schedulers) {
    auto random = makeRandom(seed, kSettingsSeedStream);
    const int count = 1 + drawBelow(random, 3);
    for (int i = 0; i < count; ++i)
        settings.busyVolumes.push_back(drawVolume(random, i, schedulers, settings.peers));
    auto& faults = settings.limitFaults;
    if (chance(random, 0.6)) faults.restartedScheduler = settings.busyVolumes.front().schedulers.front();
    faults.plannedStops = chance(random, 0.5);
    faults.restartEveryMs = 800 + 4000 * drawReal(random);
    faults.downMs = 50 + 900 * drawReal(random);
    // Without peer messages a volume's set of schedulers can't change.
    faults.movesVolumes = settings.peers && chance(random, 0.5);
    faults.dropsPeerMessages = settings.peers && chance(random, 0.5);
}

LimitFaultInjector::LimitFaultInjector(Cluster& cluster)
    : cluster_(cluster), random_(makeRandom(cluster.options.seed, kFaultSeedStream)) {}

void LimitFaultInjector::start() {
    const auto& faults = cluster_.options.settings.limitFaults;
    if (faults.restartedScheduler >= 0) scheduleRestart();
    if (faults.movesVolumes || faults.dropsPeerMessages) scheduleFault();
}

void LimitFaultInjector::scheduleRestart() {
    cluster_.reactor.after(cluster_.options.settings.limitFaults.restartEveryMs, [this] {
        if (stopped_) return;
        restart();
        scheduleRestart();
    });
}

void LimitFaultInjector::restart() {
    const auto& faults = cluster_.options.settings.limitFaults;
    const auto scheduler = static_cast<std::size_t>(faults.restartedScheduler);
    auto& process = *cluster_.processes[scheduler];
    if (!process.ready() || process.stopping()) return;
    cluster_.logAction(std::string(faults.plannedStops ? "stop n" : "kill n") + std::to_string(scheduler) +
                       ", in a series of restarts");
    if (faults.plannedStops) process.stop();
    else process.kill();
    cluster_.restartAfterExit(scheduler, faults.downMs);
}

void LimitFaultInjector::scheduleFault() {
    cluster_.reactor.after(600 + 2400 * drawReal(random_), [this] {
        if (stopped_) return;
        injectFault();
        scheduleFault();
    });
}

void LimitFaultInjector::injectFault() {
    const auto& faults = cluster_.options.settings.limitFaults;
    if (faults.movesVolumes && (!faults.dropsPeerMessages || chance(random_, 0.5))) return moveVolume();
    const double durationMs = 300 + 2500 * drawReal(random_);
    switch (drawBelow(random_, 3)) {
        case 0:
            return dropPeerMessages(300, 1, durationMs);
        case 1:
            return dropPeerMessages(1000, 2, durationMs);  // half of the schedulers send nothing
        default:
            return dropPeerMessages(1000, 1, durationMs);
    }
}

void LimitFaultInjector::moveVolume() {
    const auto& volumes = cluster_.options.settings.busyVolumes;
    const auto volume = static_cast<std::size_t>(drawBelow(random_, static_cast<int>(volumes.size())));
    const auto schedulers =
        consecutiveSchedulers(random_, volumes[volume].hosts, cluster_.options.schedulers);
    cluster_.logAction("volume " + volumes[volume].id + " moves to n" + std::to_string(schedulers.front()) +
                       " and the schedulers after it");
    cluster_.moveVolume(volume, schedulers, volumes[volume].hosts);
}

void LimitFaultInjector::dropPeerMessages(std::uint32_t permille, std::size_t everyNth, double durationMs) {
    cluster_.logAction("peer messages dropped: " + std::to_string(permille) +
                       " per mille, at one scheduler of every " + std::to_string(everyNth));
    const auto setRate = [this, everyNth](std::uint32_t ratePermille) {
        for (std::size_t i = 0; i < cluster_.processes.size(); i += everyNth)
            cluster_.processes[i]
                ->control()
                .ratePermille[static_cast<std::size_t>(Fault::DatagramLoss)]
                .store(ratePermille);
    };
    setRate(permille);
    cluster_.reactor.after(durationMs, [setRate] { setRate(0); });
}

}  // namespace spokewheel::soak
