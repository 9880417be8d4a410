#include "kit/soak/cluster.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <set>
#include <utility>

namespace spokewheel::soak {
namespace {

constexpr double kReadyTimeoutMs = 15000, kRecordAfterKillMs = 1500;
constexpr double kStateSampleMs = 20, kRecoveryAfterOutageMs = 1500;

}  // namespace

Cluster::Cluster(const Options& runOptions)
    : options(runOptions), random(runOptions.seed), portSource(runOptions.seed) {
    mkdir(options.folder.c_str(), 0700);
    record_ = [this](Event event) {
        if (event.process == 0 && event.scheduler >= 0)
            event.process = processes[static_cast<std::size_t>(event.scheduler)]->incarnation();
        events.push_back(std::move(event));
    };
    processes.reserve(static_cast<std::size_t>(options.schedulers));
    std::vector<Ports> ports;
    for (int i = 0; i < options.schedulers; ++i) ports.push_back({portSource.take(), portSource.take()});
    for (int i = 0; i < options.schedulers; ++i) {
        agents.push_back(std::make_unique<Agent>(reactor, random, record_, i, portSource.take(),
                                                 [this, i](const Member& m) { onMemberDelivered(i, m); }));
        processes.push_back(std::make_unique<SchedulerProcess>(reactor, options, record_, i, ports));
        clients.push_back(std::make_unique<Clients>(reactor, random, record_, *processes.back(), i, options));
    }
    for (int cell = 0; cell < options.servers; ++cell) addServer(cell, false);
    for (int i = 0; i < options.extraMembers; ++i) announceExtraMember(i, "up");
}

void Cluster::start() {
    for (std::size_t i = 0; i < processes.size(); ++i) startProcess(i);
    const double timeoutAt = reactor.now() + kReadyTimeoutMs;
    while (reactor.now() < timeoutAt && !allReady()) reactor.runUntil(reactor.now() + 20);
    startedAt = reactor.now();
    sampleState();
    if (options.requestsPerSecond > 0)
        for (const auto& group : clients) group->start();
    const auto& volumes = options.settings.busyVolumes;
    for (std::size_t i = 0; i < volumes.size(); ++i) moveVolume(i, volumes[i].schedulers, volumes[i].hosts);
    if (options.churnPerSecond > 0 && options.extraMembers > 0) churn();
}

void Cluster::stop() {
    for (const auto& process : processes) process->stop();
    reactor.runUntil(reactor.now() + options.settings.killAfterMs());
    for (const auto& group : clients) group->stop();
    for (const auto& [key, steady] : steadyClients_) steady->stop();
    reactor.runUntil(reactor.now() + options.settings.longestDeadlineMs() + kRecordAfterKillMs);
}

void Cluster::sampleState() {
    std::set<int> healthy;
    for (const auto& entry : servers)
        if (!entry.removed && entry.server->healthy()) healthy.insert(entry.server->identity().cell);
    for (int cell = 0; cell < options.servers; ++cell)
        recordStateChange(EventKind::CellState, cell, healthy.count(cell) > 0, healthyCells_);
    for (std::size_t i = 0; i < processes.size(); ++i) {
        // A process that was started during a discovery outage may have to wait until it is over.
        const bool outage = agents[i]->down() && processes[i]->startedAt() > agents[i]->downSince();
        if (outage) markImpaired(i, kRecoveryAfterOutageMs);
        recordStateChange(EventKind::SchedulerState, static_cast<int>(i), reactor.now() >= impairedUntil_[i],
                          healthySchedulers_);
    }
    reactor.after(kStateSampleMs, [this] { sampleState(); });
}

void Cluster::recordStateChange(EventKind kind, int index, bool healthy, std::map<int, bool>& states) {
    const auto [state, inserted] = states.emplace(index, true);
    if (state->second == healthy) return;
    state->second = healthy;
    Event event;
    event.kind = kind;
    event.at = reactor.now();
    event.status = healthy;
    if (kind == EventKind::CellState) event.server = std::to_string(index);
    else event.scheduler = index;
    record_(event);
}

void Cluster::recordViolation(std::size_t scheduler, const std::string& detail) {
    Event event;
    event.kind = EventKind::Violation;
    event.at = reactor.now();
    event.scheduler = static_cast<int>(scheduler);
    event.detail = detail;
    record_(event);
}

void Cluster::markImpaired(std::size_t scheduler, double durationMs) {
    auto& until = impairedUntil_[scheduler];
    until = std::max(until, reactor.now() + durationMs);
}

void Cluster::moveVolume(std::size_t volume, const std::vector<int>& to, int hosts) {
    const auto& busyVolume = options.settings.busyVolumes[volume];
    for (const auto& [key, steady] : steadyClients_)
        if (key.first == volume && std::find(to.begin(), to.end(), key.second) == to.end()) steady->stop();
    for (const int scheduler : to) {
        auto& steady = steadyClients_[{volume, scheduler}];
        if (!steady)
            steady = std::make_unique<SteadyClients>(reactor, random, record_,
                                                     *processes[static_cast<std::size_t>(scheduler)],
                                                     scheduler, options, busyVolume);
        steady->setHosts(hosts);
        steady->start();
    }
}

bool Cluster::allReady() const {
    return std::all_of(processes.begin(), processes.end(), [](const auto& p) { return p->ready(); });
}

double Cluster::wallClockMs() const {
    timespec wallClock{};
    clock_gettime(CLOCK_REALTIME, &wallClock);
    return static_cast<double>(wallClock.tv_sec) * 1e3 + static_cast<double>(wallClock.tv_nsec) / 1e6 +
           wallOffsetMs;
}

void Cluster::logAction(const std::string& text) {
    char timestamp[24];
    std::snprintf(timestamp, sizeof timestamp, "%.0f ms: ", reactor.now() - startedAt);
    actionLog.push_back(timestamp + text);
}

DiskServer& Cluster::addServer(int cell, bool cold) {
    std::vector<int> ports;
    for (int i = 0; i < options.schedulers; ++i) ports.push_back(portSource.take());
    ServerEntry entry;
    DiskServer::Identity identity{"s-" + std::to_string(servers.size()), cell % 2 ? "b" : "a", cell};
    entry.server =
        std::make_unique<DiskServer>(reactor, random, record_, identity, std::move(ports), options.settings);
    if (cold) {
        entry.server->startCold();
        entry.upSinceMs = wallClockMs();
    }
    servers.push_back(std::move(entry));
    announce(servers.back(), "up");
    return *servers.back().server;
}

void Cluster::announce(const ServerEntry& entry, const std::string& phase) {
    const auto& identity = entry.server->identity();
    for (std::size_t i = 0; i < agents.size(); ++i)
        agents[i]->updateMember({identity.id, identity.zone, phase, identity.cell,
                                 entry.server->portFor(static_cast<int>(i)), entry.upSinceMs, 0});
}

// Entries that make the node list long; no request uses their cells.
void Cluster::announceExtraMember(int number, const std::string& phase) {
    for (std::size_t i = 0; i < agents.size(); ++i)
        agents[i]->updateMember({"extra-" + std::to_string(number), number % 2 ? "b" : "a", phase,
                                 1000 + number, servers.front().server->portFor(static_cast<int>(i)), 0, 0});
}

void Cluster::churn() {
    announceExtraMember(replacedMembers_, "removed");
    announceExtraMember(options.extraMembers + replacedMembers_++, "up");
    reactor.after(1000 / options.churnPerSecond, [this] { churn(); });
}

void Cluster::recordUsage() {
    for (const auto& process : processes) {
        const auto used = process->usage();
        const double weight = 1.0 / static_cast<double>(processes.size());
        usage.cpuSeconds += weight * used.cpuSeconds;
        usage.peakMb += weight * used.peakMb;
        usage.descriptors = std::max(usage.descriptors, used.descriptors);
    }
}

// A watch delivered the present start of the server to the scheduler.
void Cluster::onMemberDelivered(int scheduler, const Member& member) {
    for (const auto& entry : servers)
        if (entry.server->identity().id == member.id && entry.upSinceMs == member.upSinceMs)
            entry.server->onStartAnnounced(scheduler);
}

void Cluster::startProcess(std::size_t i) {
    processes[i]->writeConfiguration(agents[i]->port(), agents[i]->fullListJson(drawBelow(random, 3)));
    processes[i]->start();
}

void Cluster::restartAfterExit(std::size_t i, double afterMs) {
    reactor.after(afterMs, [this, i] {
        if (processes[i]->running()) return restartAfterExit(i, 100);
        startProcess(i);
    });
}

void Cluster::moveDiscovery(std::size_t i, bool truncated) {
    if (!processes[i]->running()) return;
    agents[i]->moveTo(portSource.take());
    processes[i]->writeConfiguration(agents[i]->port(), agents[i]->fullListJson(0),
                                     truncated ? 200 : std::string::npos);
    processes[i]->reload();
    if (truncated)
        reactor.after(30, [this, i] {
            processes[i]->writeConfiguration(agents[i]->port(), agents[i]->fullListJson(0));
        });
}

void Cluster::clearSystemCallFaults(std::size_t i) {
    for (auto& rate : processes[i]->control().ratePermille) rate.store(0);
}

void Cluster::clearFaults() {
    for (std::size_t i = 0; i < agents.size(); ++i) {
        agents[i]->setDown(false);
        agents[i]->setSlow(false);
        clearSystemCallFaults(i);
        processes[i]->setLogReading(true);
    }
}

}  // namespace spokewheel::soak
