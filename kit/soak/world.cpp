#include "kit/soak/world.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <set>
#include <utility>

namespace spokewheel::soak {
namespace {

constexpr double kReadyWaitMs = 15000, kAfterKillMs = 1500;
constexpr double kSampleMs = 20, kHeardAfterOutageMs = 1500;

}  // namespace

World::World(const Options& of) : options(of), random(of.seed), portSource(of.seed) {
    mkdir(options.folder.c_str(), 0700);
    record_ = [this](Event event) {
        if (event.process == 0 && event.scheduler >= 0)
            event.process = processes[static_cast<std::size_t>(event.scheduler)]->life();
        events.push_back(std::move(event));
    };
    processes.reserve(static_cast<std::size_t>(options.schedulers));
    std::vector<Ports> ports;
    for (int i = 0; i < options.schedulers; ++i) ports.push_back({portSource.take(), portSource.take()});
    for (int i = 0; i < options.schedulers; ++i) {
        agents.push_back(std::make_unique<Agent>(reactor, random, record_, i, portSource.take(),
                                                 [this, i](const Member& m) { carried(i, m); }));
        processes.push_back(std::make_unique<SchedulerProcess>(reactor, options, record_, i, ports));
        clients.push_back(std::make_unique<Clients>(reactor, random, record_, *processes.back(), i, options));
    }
    for (int cell = 0; cell < options.servers; ++cell) addServer(cell, false);
    for (int i = 0; i < options.extraMembers; ++i) listExtra(i, "up");
}

void World::begin() {
    for (std::size_t i = 0; i < processes.size(); ++i) startProcess(i);
    const double latest = reactor.now() + kReadyWaitMs;
    while (reactor.now() < latest && !allReady()) reactor.runUntil(reactor.now() + 20);
    beganAt = reactor.now();
    sample();
    if (options.requestsPerSecond > 0)
        for (const auto& one : clients) one->start();
    const auto& volumes = options.setting.busyVolumes;
    for (std::size_t i = 0; i < volumes.size(); ++i) moveVolume(i, volumes[i].schedulers, volumes[i].hosts);
    if (options.churnPerSecond > 0 && options.extraMembers > 0) churn();
}

void World::end() {
    for (const auto& process : processes) process->stop();
    reactor.runUntil(reactor.now() + options.setting.killAfterMs());
    for (const auto& one : clients) one->stop();
    for (const auto& [at, one] : steady_) one->stop();
    reactor.runUntil(reactor.now() + options.setting.longestDeadlineMs() + kAfterKillMs);
}

void World::sample() {
    std::set<int> well;
    for (const auto& slot : servers)
        if (!slot.gone && slot.server->healthy()) well.insert(slot.server->identity().cell);
    for (int cell = 0; cell < options.servers; ++cell)
        noteState(EventKind::CellState, cell, well.count(cell) > 0, wellCells_);
    for (std::size_t i = 0; i < processes.size(); ++i) {
        // One that was started in an outage may have to wait for its end.
        const bool outage = agents[i]->down() && processes[i]->startedAt() > agents[i]->downSince();
        if (outage) markTroubled(i, kHeardAfterOutageMs);
        noteState(EventKind::SchedulerState, static_cast<int>(i), reactor.now() >= troubledUntil_[i],
                  wellSchedulers_);
    }
    reactor.after(kSampleMs, [this] { sample(); });
}

void World::noteState(EventKind kind, int who, bool well, std::map<int, bool>& last) {
    const auto [known, first] = last.emplace(who, true);
    if (known->second == well) return;
    known->second = well;
    Event event;
    event.kind = kind;
    event.at = reactor.now();
    event.status = well;
    if (kind == EventKind::CellState) event.server = std::to_string(who);
    else event.scheduler = who;
    record_(event);
}

void World::markTroubled(std::size_t scheduler, double lastsMs) {
    auto& until = troubledUntil_[scheduler];
    until = std::max(until, reactor.now() + lastsMs);
}

void World::moveVolume(std::size_t volume, const std::vector<int>& to, int hosts) {
    const auto& plan = options.setting.busyVolumes[volume];
    for (const auto& [at, one] : steady_)
        if (at.first == volume && std::find(to.begin(), to.end(), at.second) == to.end()) one->stop();
    for (const int scheduler : to) {
        auto& one = steady_[{volume, scheduler}];
        if (!one)
            one = std::make_unique<SteadyClients>(reactor, random, record_,
                                                  *processes[static_cast<std::size_t>(scheduler)], scheduler,
                                                  options, plan);
        one->setHosts(hosts);
        one->start();
    }
}

bool World::allReady() const {
    return std::all_of(processes.begin(), processes.end(), [](const auto& p) { return p->ready(); });
}

double World::wallMs() const {
    timespec at{};
    clock_gettime(CLOCK_REALTIME, &at);
    return static_cast<double>(at.tv_sec) * 1e3 + static_cast<double>(at.tv_nsec) / 1e6 + wallOffsetMs;
}

void World::script(const std::string& words) {
    char at[24];
    std::snprintf(at, sizeof at, "%.0f ms: ", reactor.now() - beganAt);
    did.push_back(at + words);
}

DiskServer& World::addServer(int cell, bool cold) {
    std::vector<int> ports;
    for (int i = 0; i < options.schedulers; ++i) ports.push_back(portSource.take());
    ServerSlot slot;
    DiskServer::Identity place{"s-" + std::to_string(servers.size()), cell % 2 ? "b" : "a", cell};
    slot.server =
        std::make_unique<DiskServer>(reactor, random, record_, place, std::move(ports), options.setting);
    if (cold) {
        slot.server->startCold();
        slot.upSinceMs = wallMs();
    }
    servers.push_back(std::move(slot));
    list(servers.back(), "up");
    return *servers.back().server;
}

void World::list(const ServerSlot& slot, const std::string& phase) {
    const auto& place = slot.server->identity();
    for (std::size_t i = 0; i < agents.size(); ++i)
        agents[i]->updateMember({place.id, place.zone, phase, place.cell,
                                 slot.server->portFor(static_cast<int>(i)), slot.upSinceMs, 0});
}

// Members that are listed and never asked for, for the cost of a long list.
void World::listExtra(int number, const std::string& phase) {
    for (std::size_t i = 0; i < agents.size(); ++i)
        agents[i]->updateMember({"extra-" + std::to_string(number), number % 2 ? "b" : "a", phase,
                                 1000 + number, servers.front().server->portFor(static_cast<int>(i)), 0, 0});
}

void World::churn() {
    listExtra(churned_, "removed");
    listExtra(options.extraMembers + churned_++, "up");
    reactor.after(1000 / options.churnPerSecond, [this] { churn(); });
}

void World::measure() {
    for (const auto& process : processes) {
        const auto own = process->usage();
        const double part = 1.0 / static_cast<double>(processes.size());
        usage.cpuSeconds += part * own.cpuSeconds;
        usage.peakMb += part * own.peakMb;
        usage.descriptors = std::max(usage.descriptors, own.descriptors);
    }
}

// A watch carried the server's present start to a scheduler.
void World::carried(int scheduler, const Member& member) {
    for (const auto& slot : servers)
        if (slot.server->identity().id == member.id && slot.upSinceMs == member.upSinceMs)
            slot.server->onStartAnnounced(scheduler);
}

void World::startProcess(std::size_t i) {
    processes[i]->writeConfiguration(agents[i]->port(), agents[i]->fullListJson(drawBelow(random, 3)));
    processes[i]->start();
}

void World::restartWhenGone(std::size_t i, double afterMs) {
    reactor.after(afterMs, [this, i] {
        if (processes[i]->running()) return restartWhenGone(i, 100);
        startProcess(i);
    });
}

void World::moveDiscovery(std::size_t i, bool torn) {
    if (!processes[i]->running()) return;
    agents[i]->moveTo(portSource.take());
    processes[i]->writeConfiguration(agents[i]->port(), agents[i]->fullListJson(0),
                                     torn ? 200 : std::string::npos);
    processes[i]->reload();
    if (torn)
        reactor.after(30, [this, i] {
            processes[i]->writeConfiguration(agents[i]->port(), agents[i]->fullListJson(0));
        });
}

void World::calmSystemCalls(std::size_t i) {
    for (auto& permille : processes[i]->control().ratePermille) permille.store(0);
}

void World::calm() {
    for (std::size_t i = 0; i < agents.size(); ++i) {
        agents[i]->setDown(false);
        agents[i]->setSlow(false);
        calmSystemCalls(i);
        processes[i]->readLog(true);
    }
}

}  // namespace spokewheel::soak
