#include "kit/soak/fault_injector.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace spokewheel::soak {

std::size_t FaultInjector::drawScheduler() {
    return static_cast<std::size_t>(drawBelow(cluster_.random, cluster_.options.schedulers));
}

Cluster::ServerEntry* FaultInjector::drawServer() {
    std::vector<Cluster::ServerEntry*> up;
    for (auto& entry : cluster_.servers)
        if (!entry.removed && !entry.server->draining() && entry.server->mode() == DiskServer::Mode::Serving)
            up.push_back(&entry);
    if (up.empty()) return nullptr;
    return up[static_cast<std::size_t>(drawBelow(cluster_.random, static_cast<int>(up.size())))];
}

void FaultInjector::drainServer() {
    auto* entry = drawServer();
    if (!entry || cluster_.servers.size() > static_cast<std::size_t>(4 * cluster_.options.servers)) return;
    const auto index = static_cast<std::size_t>(entry - cluster_.servers.data());
    cluster_.logAction("drain " + entry->server->identity().id);
    entry->server->setDraining(true);
    cluster_.announce(*entry, "draining");
    const int cell = entry->server->identity().cell;
    cluster_.reactor.after(200 + 1500 * drawReal(cluster_.random),
                           [this, cell] { cluster_.addServer(cell, true); });
    cluster_.reactor.after(2500 + 1500 * drawReal(cluster_.random), [this, index] {
        cluster_.servers[index].removed = true;
        cluster_.announce(cluster_.servers[index], "removed");
    });
}

void FaultInjector::restartServer() {
    auto* entry = drawServer();
    if (!entry) return;
    const auto index = static_cast<std::size_t>(entry - cluster_.servers.data());
    cluster_.logAction("restart " + entry->server->identity().id);
    entry->server->setMode(DiskServer::Mode::Crashed);
    cluster_.reactor.after(100 + 900 * drawReal(cluster_.random), [this, index] {
        auto& restarted = cluster_.servers[index];
        restarted.server->setMode(DiskServer::Mode::Serving);
        restarted.server->startCold();
        restarted.upSinceMs = cluster_.wallClockMs();
        cluster_.announce(restarted, "up");
    });
}

void FaultInjector::hangOrIsolateServer() {
    auto* entry = drawServer();
    if (!entry) return;
    const auto index = static_cast<std::size_t>(entry - cluster_.servers.data());
    const auto mode =
        chance(cluster_.random, 0.5) ? DiskServer::Mode::Hanging : DiskServer::Mode::Unreachable;
    cluster_.logAction((mode == DiskServer::Mode::Hanging ? "hang " : "isolate ") +
                       entry->server->identity().id);
    entry->server->setMode(mode);
    cluster_.reactor.after(300 + 2500 * drawReal(cluster_.random), [this, index] {
        auto& server = *cluster_.servers[index].server;
        if (server.mode() != DiskServer::Mode::Crashed) server.setMode(DiskServer::Mode::Serving);
    });
}

// Delays new connections to a server: their first SYN is lost, and TCP sends it again a second later.
void FaultInjector::delayConnections() {
    auto* entry = drawServer();
    if (!entry) return;
    const auto index = static_cast<std::size_t>(entry - cluster_.servers.data());
    cluster_.logAction("connections to " + entry->server->identity().id + " are delayed");
    entry->server->setDropSyns(true);
    cluster_.reactor.after(200 + 1300 * drawReal(cluster_.random),
                           [this, index] { cluster_.servers[index].server->setDropSyns(false); });
}

// Cuts half of the schedulers off from the servers of zone b, and takes their discovery agents down.
void FaultInjector::partitionNetwork() {
    const int first = drawBelow(cluster_.random, cluster_.options.schedulers);
    const int count = std::max(1, cluster_.options.schedulers / 2);
    const double durationMs = 500 + 3500 * drawReal(cluster_.random);
    cluster_.logAction("cut zone b off from " + std::to_string(count) + " schedulers, starting with n" +
                       std::to_string(first));
    for (int n = 0; n < count; ++n) {
        const int scheduler = (first + n) % cluster_.options.schedulers;
        const auto i = static_cast<std::size_t>(scheduler);
        cluster_.markImpaired(i, durationMs + 1000);
        cluster_.agents[i]->setDown(true);
        for (auto& entry : cluster_.servers)
            if (entry.server->identity().zone == "b") entry.server->setPartitioned(scheduler, true);
        cluster_.reactor.after(durationMs, [this, i, scheduler] {
            cluster_.agents[i]->setDown(false);
            for (auto& entry : cluster_.servers) entry.server->setPartitioned(scheduler, false);
        });
    }
}

void FaultInjector::stopOrKill() {
    const int count = 1 + drawBelow(cluster_.random, std::max(1, cluster_.options.schedulers / 4));
    const bool graceful = chance(cluster_.random, 0.6);
    for (int n = 0; n < count; ++n) {
        const auto i = drawScheduler();
        if (!cluster_.processes[i]->running() || cluster_.processes[i]->stopping()) continue;
        cluster_.logAction((graceful ? "stop n" : "kill n") + std::to_string(i));
        if (graceful) stopGracefully(i);
        else killProcess(i);
        cluster_.restartAfterExit(i, 100 + 700 * drawReal(cluster_.random));
    }
}

void FaultInjector::stopGracefully(std::size_t i) {
    cluster_.processes[i]->stop();
    if (chance(cluster_.random, 0.25)) {
        cluster_.logAction("second SIGTERM to n" + std::to_string(i));
        cluster_.reactor.after(20 + 1500 * drawReal(cluster_.random),
                               [this, i] { cluster_.processes[i]->repeatStop(); });
    }
    if (chance(cluster_.random, 0.25)) {
        cluster_.logAction("reload after SIGTERM to n" + std::to_string(i));
        cluster_.reactor.after(5 + 1000 * drawReal(cluster_.random),
                               [this, i] { cluster_.moveDiscovery(i, false); });
    }
}

void FaultInjector::killProcess(std::size_t i) {
    if (chance(cluster_.random, 0.5)) cluster_.clients[i]->closeIdleConnections();  // at the same time
    cluster_.processes[i]->kill();
}

// Stops a process before it is ready, sometimes before it has installed its signal handlers.
void FaultInjector::stopDuringStart() {
    const auto i = drawScheduler();
    if (!cluster_.processes[i]->running() || cluster_.processes[i]->stopping()) return;
    cluster_.logAction("kill, start and stop n" + std::to_string(i));
    killProcess(i);
    cluster_.startProcess(i);
    cluster_.reactor.after(1 + 400 * drawReal(cluster_.random) * drawReal(cluster_.random), [this, i] {
        cluster_.processes[i]->stop();
        cluster_.restartAfterExit(i, 200);
    });
}

// Drains a server, takes discovery down once its agents know of the drain, and kills most schedulers at once.
void FaultInjector::killMostDuringOutage() {
    if (cluster_.agents.front()->down()) return;
    cluster_.logAction("drain, discovery outage and kill of about 70 % of the schedulers");
    drainServer();
    const double durationMs = 1000 + 7000 * drawReal(cluster_.random);
    cluster_.reactor.after(250, [this, durationMs] {
        for (const auto& agent : cluster_.agents) agent->setDown(true);
        cluster_.reactor.after(durationMs, [this] {
            for (const auto& agent : cluster_.agents) agent->setDown(false);
        });
    });
    cluster_.reactor.after(300 + 1000 * drawReal(cluster_.random), [this] {
        for (std::size_t i = 0; i < cluster_.processes.size(); ++i) {
            if (!cluster_.processes[i]->running() || cluster_.processes[i]->stopping() ||
                !chance(cluster_.random, 0.7))
                continue;
            killProcess(i);
            cluster_.restartAfterExit(i, 50 + 300 * drawReal(cluster_.random));
        }
    });
}

void FaultInjector::stopQuarter() {
    cluster_.logAction("stop about 25 % of the schedulers");
    for (std::size_t i = 0; i < cluster_.processes.size(); ++i) {
        if (!cluster_.processes[i]->running() || cluster_.processes[i]->stopping() ||
            !chance(cluster_.random, 0.25))
            continue;
        stopGracefully(i);
        cluster_.restartAfterExit(i, 100);
    }
}

void FaultInjector::floodConnections() {
    if (!cluster_.options.connectionFloods) return;
    const auto i = drawScheduler();
    const double durationMs = 1000 + 4000 * drawReal(cluster_.random);
    cluster_.logAction("connection flood at n" + std::to_string(i));
    cluster_.markImpaired(i, durationMs + 3000);
    cluster_.clients[i]->openIdleConnections(
        static_cast<int>(1.6 * static_cast<double>(cluster_.options.settings.sockets)), durationMs);
    const int followUp = drawBelow(cluster_.random, 4);
    if (followUp == 0)
        cluster_.reactor.after(300, [this, i] {
            cluster_.processes[i]->stop();
            cluster_.restartAfterExit(i, 300);
        });
    if (followUp == 1)
        cluster_.reactor.after(300, [this, i] {
            if (!cluster_.processes[i]->running() || cluster_.processes[i]->stopping()) return;
            cluster_.agents[i]->setDown(true);
            killProcess(i);
            cluster_.startProcess(i);
            cluster_.reactor.after(500 + 3000 * drawReal(cluster_.random),
                                   [this, i] { cluster_.agents[i]->setDown(false); });
        });
}

// Reloads the configuration of a scheduler, at times repeatedly in quick succession.
void FaultInjector::reloadConfiguration() {
    const auto i = drawScheduler();
    if (!cluster_.processes[i]->ready() || cluster_.processes[i]->startedAt() + 1000 > cluster_.reactor.now())
        return;
    cluster_.logAction("reload n" + std::to_string(i));
    cluster_.moveDiscovery(i, chance(cluster_.random, 0.3));
    const int repeats = chance(cluster_.random, 0.5) ? 1 + drawBelow(cluster_.random, 6) : 0;
    double delayMs = 0;
    for (int n = 0; n < repeats; ++n) {
        delayMs += 5 + 295 * drawReal(cluster_.random);
        cluster_.reactor.after(delayMs,
                               [this, i] { cluster_.moveDiscovery(i, chance(cluster_.random, 0.2)); });
    }
}

void FaultInjector::disruptAgents() {
    const bool all = chance(cluster_.random, 0.3);
    const int fault = drawBelow(cluster_.random, 4);
    const double durationMs = 800 + 4000 * drawReal(cluster_.random);
    cluster_.logAction(std::string(fault == 0   ? "discovery down"
                                   : fault == 1 ? "watches silent"
                                   : fault == 2 ? "watches reset"
                                                : "discovery slow") +
                       (all ? " for all schedulers" : " for one scheduler"));
    for (std::size_t i = all ? 0 : drawScheduler(), first = i;
         i < cluster_.agents.size() && (all || i == first); ++i) {
        if (fault == 0) cluster_.agents[i]->setDown(true);
        if (fault == 1) cluster_.agents[i]->silenceWatches();
        if (fault == 2) cluster_.agents[i]->resetWatches();
        if (fault == 3) cluster_.agents[i]->setSlow(true);
        if (fault == 0 || fault == 3)
            cluster_.reactor.after(durationMs, [this, i] {
                cluster_.agents[i]->setDown(false);
                cluster_.agents[i]->setSlow(false);
            });
    }
    if (fault < 3 && chance(cluster_.random, 0.6)) {
        cluster_.reactor.after(fault == 0 ? durationMs + 100 : 300, [this] { drainServer(); });
    }
}

void FaultInjector::stepClock() {
    static constexpr double kStepsMs[] = {3600e3, -3600e3, 4000, -4000};
    cluster_.wallOffsetMs += kStepsMs[drawBelow(cluster_.random, 4)];
    cluster_.logAction("step wall clock, offset " +
                       std::to_string(static_cast<long>(cluster_.wallOffsetMs / 1000)) + " s");
    for (const auto& process : cluster_.processes)
        process->control().wallOffsetUs.store(static_cast<std::int64_t>(cluster_.wallOffsetMs * 1000));
    if (chance(cluster_.random, 0.7)) restartServer();
}

void FaultInjector::failSystemCalls() {
    const auto i = drawScheduler();
    auto& control = cluster_.processes[i]->control();
    const auto setRate = [&](Fault fault, std::uint32_t permille) {
        control.ratePermille[static_cast<std::size_t>(fault)].store(permille);
    };
    const int kind = drawBelow(cluster_.random, 6);
    cluster_.markImpaired(i, 2500);
    cluster_.logAction("system calls of n" + std::to_string(i) + " fail, fault kind " + std::to_string(kind));
    if (kind == 0)
        setRate(Fault::AcceptError, 300), setRate(Fault::SocketError, 200), setRate(Fault::ConnectError, 200);
    if (kind == 1)
        setRate(Fault::ShortRead, 300), setRate(Fault::ShortWrite, 300), setRate(Fault::PollInterrupted, 300);
    if (kind == 2) setRate(Fault::ReadError, 300);
    if (kind == 3) setRate(Fault::PollDelay, 60), control.pollDelayMs.store(150);
    if (kind == 4)
        setRate(Fault::ConnectDelay, 600), control.connectDelayMs.store(240);  // within dial-timeout-ms
    if (kind == 5) setRate(Fault::ConnectDelay, 400), control.connectDelayMs.store(1500);
    cluster_.reactor.after(400 + 1500 * drawReal(cluster_.random),
                           [this, i] { cluster_.clearSystemCallFaults(i); });
}

void FaultInjector::stallLogReader() {
    const auto i = drawScheduler();
    cluster_.logAction("log of n" + std::to_string(i) + " not read");
    cluster_.processes[i]->setLogReading(false);
    cluster_.reactor.after(2000 + 3000 * drawReal(cluster_.random),
                           [this, i] { cluster_.processes[i]->setLogReading(true); });
}

void FaultInjector::injectRandomFaults() {
    const int count = 1 + drawBelow(cluster_.random, 3);
    for (int n = 0; n < count; ++n) switch (drawBelow(cluster_.random, 20)) {
            case 0:
            case 1:
                stopOrKill();
                break;
            case 2:
                reloadConfiguration();
                break;
            case 3:
                drainServer();
                break;
            case 4:
                restartServer();
                break;
            case 5:
                hangOrIsolateServer();
                break;
            case 6:
            case 7:
                disruptAgents();
                break;
            case 8:
                stepClock();
                break;
            case 9:
            case 10:
                failSystemCalls();
                break;
            case 11:
                stallLogReader();
                break;
            case 12:
                stopDuringStart();
                break;
            case 13:
                killMostDuringOutage();
                break;
            case 14:
                stopQuarter();
                break;
            case 15:
            case 16:
                floodConnections();
                break;
            case 17:
                delayConnections();
                break;
            case 18:
                partitionNetwork();
                break;
            default:
                sendMalformedRequests();
        }
}

void FaultInjector::sendMalformedRequests() {
    const auto i = drawScheduler();
    cluster_.logAction("malformed requests to n" + std::to_string(i) +
                       ", server connections reset or closed");
    cluster_.clients[i]->sendMalformedRequests(10 + drawBelow(cluster_.random, 30));
    for (auto& entry : cluster_.servers) {
        if (entry.server->mode() != DiskServer::Mode::Serving) continue;
        if (chance(cluster_.random, 0.3)) entry.server->resetConnections(0.3);
        if (chance(cluster_.random, 0.5)) entry.server->closeIdleConnections();
    }
}

}  // namespace spokewheel::soak
