#include "kit/soak/limit_scenario.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace spokewheel::soak {
namespace {

constexpr double kSlackPart = 0.1;  // of the burst
constexpr double kUnderLimit = 0.6;
constexpr int kMostClients = 12;  // of a volume
constexpr std::uint64_t kSettingStream = 91, kTroubleStream = 92;

Random randomOf(std::uint64_t seed, std::uint64_t stream) {
    return Random(seed * 0x9e3779b97f4a7c15ULL + stream);
}

template <class T, std::size_t N>
T drawOf(Random& random, const T (&choices)[N]) {
    return choices[drawBelow(random, static_cast<int>(N))];
}

std::vector<int> someSchedulers(Random& random, int many, int of) {
    const int first = drawBelow(random, of);
    std::vector<int> out;
    for (int i = 0; i < many; ++i) out.push_back((first + i) % of);
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
    volume.limit.slack = kSlackPart * volume.limit.burst;
    volume.maxUnits = drawOf(random, kUnits);
    const int hosts[] = {1, 2, std::max(1, schedulers / 2), schedulers};
    volume.hosts = std::min(schedulers, drawOf(random, hosts));
    // Without messages each host has an even part of the store alone: it has to hold a request.
    if (!peers) volume.hosts = std::min(volume.hosts, static_cast<int>(volume.limit.burst / 4));
    if (!peers) volume.maxUnits = 1;
    volume.hosts = std::max(1, volume.hosts);
    volume.limit.hosts = volume.hosts;
    volume.schedulers = someSchedulers(random, volume.hosts, schedulers);
    volume.reservation = chance(random, 0.5) ? volume.limit.rate / 2 : 0;
    volume.clients = std::max(1, kMostClients / volume.hosts);
    const double clients = volume.clients * volume.hosts;
    volume.refusedPauseMs = std::max(20.0, 8 * clients);
    const double unitsMean = (1 + volume.maxUnits) / 2.0;
    const double pauseAtLimit = 1000 * clients * unitsMean / volume.limit.rate;
    const int demand = drawBelow(random, 3);
    volume.pauseMs = demand == 0 ? pauseAtLimit / kUnderLimit : demand == 1 ? pauseAtLimit : 0;
    return volume;
}

}  // namespace

void drawLimitScenario(Settings& setting, std::uint64_t seed, int schedulers) {
    auto random = randomOf(seed, kSettingStream);
    const int many = 1 + drawBelow(random, 3);
    for (int i = 0; i < many; ++i)
        setting.busyVolumes.push_back(drawVolume(random, i, schedulers, setting.peers));
    auto& play = setting.limitFaults;
    if (chance(random, 0.6)) play.restartedScheduler = setting.busyVolumes.front().schedulers.front();
    play.plannedStops = chance(random, 0.5);
    play.restartEveryMs = 800 + 4000 * drawReal(random);
    play.downMs = 50 + 900 * drawReal(random);
    // Without messages a volume's set of schedulers is fixed.
    play.movesVolumes = setting.peers && chance(random, 0.5);
    play.dropsPeerMessages = setting.peers && chance(random, 0.5);
}

LimitFaultInjector::LimitFaultInjector(Cluster& world)
    : world_(world), random_(randomOf(world.options.seed, kTroubleStream)) {}

void LimitFaultInjector::start() {
    const auto& play = world_.options.settings.limitFaults;
    if (play.restartedScheduler >= 0) restartSoon();
    if (play.movesVolumes || play.dropsPeerMessages) strikeSoon();
}

void LimitFaultInjector::restartSoon() {
    world_.reactor.after(world_.options.settings.limitFaults.restartEveryMs, [this] {
        if (calm_) return;
        restart();
        restartSoon();
    });
}

void LimitFaultInjector::restart() {
    const auto& play = world_.options.settings.limitFaults;
    const auto i = static_cast<std::size_t>(play.restartedScheduler);
    auto& process = *world_.processes[i];
    if (!process.ready() || process.stopping()) return;
    world_.logAction(std::string(play.plannedStops ? "stop n" : "kill n") + std::to_string(i) + " in series");
    if (play.plannedStops) process.stop();
    else process.kill();
    world_.restartAfterExit(i, play.downMs);
}

void LimitFaultInjector::strikeSoon() {
    world_.reactor.after(600 + 2400 * drawReal(random_), [this] {
        if (calm_) return;
        strike();
        strikeSoon();
    });
}

void LimitFaultInjector::strike() {
    const auto& play = world_.options.settings.limitFaults;
    if (play.movesVolumes && (!play.dropsPeerMessages || chance(random_, 0.5))) return moveVolume();
    const double lasts = 300 + 2500 * drawReal(random_);
    switch (drawBelow(random_, 3)) {
        case 0:
            return losePeerMessages(300, 1, lasts);
        case 1:
            return losePeerMessages(1000, 2, lasts);  // half of the schedulers tell nothing
        default:
            return losePeerMessages(1000, 1, lasts);
    }
}

void LimitFaultInjector::moveVolume() {
    const auto& volumes = world_.options.settings.busyVolumes;
    const auto volume = static_cast<std::size_t>(drawBelow(random_, static_cast<int>(volumes.size())));
    const auto to = someSchedulers(random_, volumes[volume].hosts, world_.options.schedulers);
    world_.logAction("volume " + volumes[volume].id + " moves to n" + std::to_string(to.front()) +
                     " and those behind it");
    world_.moveVolume(volume, to, volumes[volume].hosts);
}

void LimitFaultInjector::losePeerMessages(std::uint32_t permille, std::size_t everyNth, double lastsMs) {
    world_.logAction("messages between schedulers are lost, " + std::to_string(permille) +
                     " of 1000 of each " + std::to_string(everyNth));
    const auto set = [this, everyNth](std::uint32_t to) {
        for (std::size_t i = 0; i < world_.processes.size(); i += everyNth)
            world_.processes[i]->control().ratePermille[static_cast<std::size_t>(Fault::DatagramLoss)].store(
                to);
    };
    set(permille);
    world_.reactor.after(lastsMs, [set] { set(0); });
}

}  // namespace spokewheel::soak
