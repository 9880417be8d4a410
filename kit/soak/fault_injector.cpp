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
    for (auto& slot : cluster_.servers)
        if (!slot.removed && !slot.server->draining() && slot.server->mode() == DiskServer::Mode::Serving)
            up.push_back(&slot);
    if (up.empty()) return nullptr;
    return up[static_cast<std::size_t>(drawBelow(cluster_.random, static_cast<int>(up.size())))];
}

void FaultInjector::drainServer() {
    auto* slot = drawServer();
    if (!slot || cluster_.servers.size() > static_cast<std::size_t>(4 * cluster_.options.servers)) return;
    const auto index = static_cast<std::size_t>(slot - cluster_.servers.data());
    cluster_.logAction("drain " + slot->server->place().id);
    slot->server->setDraining(true);
    cluster_.announce(*slot, "draining");
    const int cell = slot->server->place().cell;
    cluster_.reactor.after(200 + 1500 * drawReal(cluster_.random),
                           [this, cell] { cluster_.addServer(cell, true); });
    cluster_.reactor.after(2500 + 1500 * drawReal(cluster_.random), [this, index] {
        cluster_.servers[index].removed = true;
        cluster_.announce(cluster_.servers[index], "removed");
    });
}

void FaultInjector::restartServer() {
    auto* slot = drawServer();
    if (!slot) return;
    const auto index = static_cast<std::size_t>(slot - cluster_.servers.data());
    cluster_.logAction("restart " + slot->server->place().id);
    slot->server->setMode(DiskServer::Mode::Crashed);
    cluster_.reactor.after(100 + 900 * drawReal(cluster_.random), [this, index] {
        auto& back = cluster_.servers[index];
        back.server->setMode(DiskServer::Mode::Serving);
        back.server->startCold();
        back.upSinceMs = cluster_.wallClockMs();
        cluster_.announce(back, "up");
    });
}

void FaultInjector::troubleServer() {
    auto* slot = drawServer();
    if (!slot) return;
    const auto index = static_cast<std::size_t>(slot - cluster_.servers.data());
    const auto mode = chance(cluster_.random, 0.5) ? DiskServer::Mode::Hanging : DiskServer::Mode::Vanished;
    cluster_.logAction((mode == DiskServer::Mode::Hanging ? "hang " : "vanish ") + slot->server->place().id);
    slot->server->setMode(mode);
    cluster_.reactor.after(300 + 2500 * drawReal(cluster_.random), [this, index] {
        auto& server = *cluster_.servers[index].server;
        if (server.mode() != DiskServer::Mode::Crashed) server.setMode(DiskServer::Mode::Serving);
    });
}

// New connections to a server come up late: their first tries are lost, and are made again a second
// later.
void FaultInjector::lateConnections() {
    auto* slot = drawServer();
    if (!slot) return;
    const auto index = static_cast<std::size_t>(slot - cluster_.servers.data());
    cluster_.logAction("connections to " + slot->server->place().id + " come up late");
    slot->server->loseFirstTries(true);
    cluster_.reactor.after(200 + 1300 * drawReal(cluster_.random),
                           [this, index] { cluster_.servers[index].server->loseFirstTries(false); });
}

// Half of the schedulers reach no server of zone b, and their agents hear nothing.
void FaultInjector::cutNetwork() {
    const int from = drawBelow(cluster_.random, cluster_.options.schedulers);
    const int many = std::max(1, cluster_.options.schedulers / 2);
    const double lasts = 500 + 3500 * drawReal(cluster_.random);
    cluster_.logAction("a cut between zone b and " + std::to_string(many) + " schedulers from n" +
                       std::to_string(from));
    for (int n = 0; n < many; ++n) {
        const int scheduler = (from + n) % cluster_.options.schedulers;
        const auto i = static_cast<std::size_t>(scheduler);
        cluster_.markImpaired(i, lasts + 1000);
        cluster_.agents[i]->setDown(true);
        for (auto& slot : cluster_.servers)
            if (slot.server->place().zone == "b") slot.server->cutOff(scheduler, true);
        cluster_.reactor.after(lasts, [this, i, scheduler] {
            cluster_.agents[i]->setDown(false);
            for (auto& slot : cluster_.servers) slot.server->cutOff(scheduler, false);
        });
    }
}

void FaultInjector::stopOrKill() {
    const int many = 1 + drawBelow(cluster_.random, std::max(1, cluster_.options.schedulers / 4));
    const bool planned = chance(cluster_.random, 0.6);
    for (int n = 0; n < many; ++n) {
        const auto i = drawScheduler();
        if (!cluster_.processes[i]->running() || cluster_.processes[i]->stopping()) continue;
        cluster_.logAction((planned ? "stop n" : "kill n") + std::to_string(i));
        if (planned) stopPlanned(i);
        else killNow(i);
        cluster_.restartAfterExit(i, 100 + 700 * drawReal(cluster_.random));
    }
}

void FaultInjector::stopPlanned(std::size_t i) {
    cluster_.processes[i]->stop();
    if (chance(cluster_.random, 0.25)) {
        cluster_.logAction("another SIGTERM to n" + std::to_string(i));
        cluster_.reactor.after(20 + 1500 * drawReal(cluster_.random),
                               [this, i] { cluster_.processes[i]->repeatStop(); });
    }
    if (chance(cluster_.random, 0.25)) {
        cluster_.logAction("a new configuration between SIGTERM and the kill of n" + std::to_string(i));
        cluster_.reactor.after(5 + 1000 * drawReal(cluster_.random),
                               [this, i] { cluster_.moveDiscovery(i, false); });
    }
}

void FaultInjector::killNow(std::size_t i) {
    if (chance(cluster_.random, 0.5)) cluster_.clients[i]->crowdLeaves();  // in the moment of the kill
    cluster_.processes[i]->kill();
}

// Told to stop before it is ready, or has even taken its signals.
void FaultInjector::stopDuringStart() {
    const auto i = drawScheduler();
    if (!cluster_.processes[i]->running() || cluster_.processes[i]->stopping()) return;
    cluster_.logAction("kill, start and stop n" + std::to_string(i));
    killNow(i);
    cluster_.startProcess(i);
    cluster_.reactor.after(1 + 400 * drawReal(cluster_.random) * drawReal(cluster_.random), [this, i] {
        cluster_.processes[i]->stop();
        cluster_.restartAfterExit(i, 200);
    });
}

// A server drains, discovery goes down with the word at its agents, and most of the fleet is killed at
// once.
void FaultInjector::killMostInAnOutage() {
    if (cluster_.agents.front()->down()) return;
    cluster_.logAction("a drain, an outage, and seven in ten killed at once");
    drainServer();
    const double lasts = 1000 + 7000 * drawReal(cluster_.random);
    cluster_.reactor.after(250, [this, lasts] {
        for (const auto& agent : cluster_.agents) agent->setDown(true);
        cluster_.reactor.after(lasts, [this] {
            for (const auto& agent : cluster_.agents) agent->setDown(false);
        });
    });
    cluster_.reactor.after(300 + 1000 * drawReal(cluster_.random), [this] {
        for (std::size_t i = 0; i < cluster_.processes.size(); ++i) {
            if (!cluster_.processes[i]->running() || cluster_.processes[i]->stopping() ||
                !chance(cluster_.random, 0.7))
                continue;
            killNow(i);
            cluster_.restartAfterExit(i, 50 + 300 * drawReal(cluster_.random));
        }
    });
}

void FaultInjector::stopAQuarter() {
    cluster_.logAction("a quarter stopped together");
    for (std::size_t i = 0; i < cluster_.processes.size(); ++i) {
        if (!cluster_.processes[i]->running() || cluster_.processes[i]->stopping() ||
            !chance(cluster_.random, 0.25))
            continue;
        stopPlanned(i);
        cluster_.restartAfterExit(i, 100);
    }
}

void FaultInjector::crowd() {
    if (!cluster_.options.connectionFloods) return;
    const auto i = drawScheduler();
    const double lasts = 1000 + 4000 * drawReal(cluster_.random);
    cluster_.logAction("a crowd at n" + std::to_string(i));
    cluster_.markImpaired(i, lasts + 3000);
    cluster_.clients[i]->crowd(static_cast<int>(1.6 * static_cast<double>(cluster_.options.settings.sockets)),
                               lasts);
    const int then = drawBelow(cluster_.random, 4);
    if (then == 0)
        cluster_.reactor.after(300, [this, i] {
            cluster_.processes[i]->stop();
            cluster_.restartAfterExit(i, 300);
        });
    if (then == 1)
        cluster_.reactor.after(300, [this, i] {
            if (!cluster_.processes[i]->running() || cluster_.processes[i]->stopping()) return;
            cluster_.agents[i]->setDown(true);
            killNow(i);
            cluster_.startProcess(i);
            cluster_.reactor.after(500 + 3000 * drawReal(cluster_.random),
                                   [this, i] { cluster_.agents[i]->setDown(false); });
        });
}

// New configurations, at times in quick succession.
void FaultInjector::reload() {
    const auto i = drawScheduler();
    if (!cluster_.processes[i]->ready() || cluster_.processes[i]->startedAt() + 1000 > cluster_.reactor.now())
        return;
    cluster_.logAction("reload n" + std::to_string(i));
    cluster_.moveDiscovery(i, chance(cluster_.random, 0.3));
    const int more = chance(cluster_.random, 0.5) ? 1 + drawBelow(cluster_.random, 6) : 0;
    double at = 0;
    for (int n = 0; n < more; ++n) {
        at += 5 + 295 * drawReal(cluster_.random);
        cluster_.reactor.after(at, [this, i] { cluster_.moveDiscovery(i, chance(cluster_.random, 0.2)); });
    }
}

void FaultInjector::troubleAgents() {
    const bool all = chance(cluster_.random, 0.3);
    const int what = drawBelow(cluster_.random, 4);
    const double lasts = 800 + 4000 * drawReal(cluster_.random);
    cluster_.logAction(std::string(what == 0   ? "discovery down"
                                   : what == 1 ? "watches silent"
                                   : what == 2 ? "watches reset"
                                               : "discovery slow") +
                       (all ? " for all" : " for one"));
    for (std::size_t i = all ? 0 : drawScheduler(), first = i;
         i < cluster_.agents.size() && (all || i == first); ++i) {
        if (what == 0) cluster_.agents[i]->setDown(true);
        if (what == 1) cluster_.agents[i]->silenceWatches();
        if (what == 2) cluster_.agents[i]->resetWatches();
        if (what == 3) cluster_.agents[i]->slowDown(true);
        if (what == 0 || what == 3)
            cluster_.reactor.after(lasts, [this, i] {
                cluster_.agents[i]->setDown(false);
                cluster_.agents[i]->slowDown(false);
            });
    }
    if (what < 3 && chance(cluster_.random, 0.6)) {
        cluster_.reactor.after(what == 0 ? lasts + 100 : 300, [this] { drainServer(); });
    }
}

void FaultInjector::stepClock() {
    static constexpr double kSteps[] = {3600e3, -3600e3, 4000, -4000};
    cluster_.wallOffsetMs += kSteps[drawBelow(cluster_.random, 4)];
    cluster_.logAction("wall clock off by " +
                       std::to_string(static_cast<long>(cluster_.wallOffsetMs / 1000)) + " s");
    for (const auto& process : cluster_.processes)
        process->control().wallOffsetUs.store(static_cast<std::int64_t>(cluster_.wallOffsetMs * 1000));
    if (chance(cluster_.random, 0.7)) restartServer();
}

void FaultInjector::systemCalls() {
    const auto i = drawScheduler();
    auto& control = cluster_.processes[i]->control();
    const auto rate = [&](Fault fault, std::uint32_t permille) {
        control.permille[static_cast<std::size_t>(fault)].store(permille);
    };
    const int what = drawBelow(cluster_.random, 6);
    cluster_.markImpaired(i, 2500);
    cluster_.logAction("system calls of n" + std::to_string(i) + " fail, kind " + std::to_string(what));
    if (what == 0) rate(Fault::Accept, 300), rate(Fault::Socket, 200), rate(Fault::Connect, 200);
    if (what == 1) rate(Fault::ShortRead, 300), rate(Fault::ShortWrite, 300), rate(Fault::Interrupt, 300);
    if (what == 2) rate(Fault::BreakRead, 300);
    if (what == 3) rate(Fault::Pause, 60), control.pauseMs.store(150);
    if (what == 4) rate(Fault::SlowDial, 600), control.dialMs.store(240);  // in time
    if (what == 5) rate(Fault::SlowDial, 400), control.dialMs.store(1500);
    cluster_.reactor.after(400 + 1500 * drawReal(cluster_.random),
                           [this, i] { cluster_.clearSystemCallFaults(i); });
}

void FaultInjector::jamLog() {
    const auto i = drawScheduler();
    cluster_.logAction("log of n" + std::to_string(i) + " is not read");
    cluster_.processes[i]->readLog(false);
    cluster_.reactor.after(2000 + 3000 * drawReal(cluster_.random),
                           [this, i] { cluster_.processes[i]->readLog(true); });
}

void FaultInjector::injectRandomFaults() {
    const int many = 1 + drawBelow(cluster_.random, 3);
    for (int n = 0; n < many; ++n) switch (drawBelow(cluster_.random, 20)) {
            case 0:
            case 1:
                stopOrKill();
                break;
            case 2:
                reload();
                break;
            case 3:
                drainServer();
                break;
            case 4:
                restartServer();
                break;
            case 5:
                troubleServer();
                break;
            case 6:
            case 7:
                troubleAgents();
                break;
            case 8:
                stepClock();
                break;
            case 9:
            case 10:
                systemCalls();
                break;
            case 11:
                jamLog();
                break;
            case 12:
                stopDuringStart();
                break;
            case 13:
                killMostInAnOutage();
                break;
            case 14:
                stopAQuarter();
                break;
            case 15:
            case 16:
                crowd();
                break;
            case 17:
                lateConnections();
                break;
            case 18:
                cutNetwork();
                break;
            default:
                burst();
        }
}

void FaultInjector::burst() {
    const auto i = drawScheduler();
    cluster_.logAction("malformed clients at n" + std::to_string(i) +
                       ", connections reset, idle ones closed");
    cluster_.clients[i]->malformedBurst(10 + drawBelow(cluster_.random, 30));
    for (auto& slot : cluster_.servers) {
        if (slot.server->mode() != DiskServer::Mode::Serving) continue;
        if (chance(cluster_.random, 0.3)) slot.server->resetConnections(0.3);
        if (chance(cluster_.random, 0.5)) slot.server->closeIdle();
    }
}

}  // namespace spokewheel::soak
