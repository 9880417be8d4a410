#include "kit/soak/troubles.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace spokewheel::soak {

std::size_t Troubles::drawScheduler() {
    return static_cast<std::size_t>(drawBelow(world_.random, world_.options.schedulers));
}

World::ServerSlot* Troubles::drawServer() {
    std::vector<World::ServerSlot*> up;
    for (auto& slot : world_.servers)
        if (!slot.gone && !slot.server->draining() && slot.server->mode() == DiskServer::Mode::Serving)
            up.push_back(&slot);
    if (up.empty()) return nullptr;
    return up[static_cast<std::size_t>(drawBelow(world_.random, static_cast<int>(up.size())))];
}

void Troubles::drainServer() {
    auto* slot = drawServer();
    if (!slot || world_.servers.size() > static_cast<std::size_t>(4 * world_.options.servers)) return;
    const auto index = static_cast<std::size_t>(slot - world_.servers.data());
    world_.script("drain " + slot->server->identity().id);
    slot->server->setDraining(true);
    world_.list(*slot, "draining");
    const int cell = slot->server->identity().cell;
    world_.reactor.after(200 + 1500 * drawReal(world_.random),
                         [this, cell] { world_.addServer(cell, true); });
    world_.reactor.after(2500 + 1500 * drawReal(world_.random), [this, index] {
        world_.servers[index].gone = true;
        world_.list(world_.servers[index], "removed");
    });
}

void Troubles::restartServer() {
    auto* slot = drawServer();
    if (!slot) return;
    const auto index = static_cast<std::size_t>(slot - world_.servers.data());
    world_.script("restart " + slot->server->identity().id);
    slot->server->setMode(DiskServer::Mode::Crashed);
    world_.reactor.after(100 + 900 * drawReal(world_.random), [this, index] {
        auto& back = world_.servers[index];
        back.server->setMode(DiskServer::Mode::Serving);
        back.server->startCold();
        back.upSinceMs = world_.wallMs();
        world_.list(back, "up");
    });
}

void Troubles::troubleServer() {
    auto* slot = drawServer();
    if (!slot) return;
    const auto index = static_cast<std::size_t>(slot - world_.servers.data());
    const auto mode = chance(world_.random, 0.5) ? DiskServer::Mode::Hanging : DiskServer::Mode::Unreachable;
    world_.script((mode == DiskServer::Mode::Hanging ? "hang " : "vanish ") + slot->server->identity().id);
    slot->server->setMode(mode);
    world_.reactor.after(300 + 2500 * drawReal(world_.random), [this, index] {
        auto& server = *world_.servers[index].server;
        if (server.mode() != DiskServer::Mode::Crashed) server.setMode(DiskServer::Mode::Serving);
    });
}

// New connections to a server come up late: their first tries are lost, and are made again a second
// later.
void Troubles::lateConnections() {
    auto* slot = drawServer();
    if (!slot) return;
    const auto index = static_cast<std::size_t>(slot - world_.servers.data());
    world_.script("connections to " + slot->server->identity().id + " come up late");
    slot->server->setDropSyns(true);
    world_.reactor.after(200 + 1300 * drawReal(world_.random),
                         [this, index] { world_.servers[index].server->setDropSyns(false); });
}

// Half of the schedulers reach no server of zone b, and their agents hear nothing.
void Troubles::cutNetwork() {
    const int from = drawBelow(world_.random, world_.options.schedulers);
    const int many = std::max(1, world_.options.schedulers / 2);
    const double lasts = 500 + 3500 * drawReal(world_.random);
    world_.script("a cut between zone b and " + std::to_string(many) + " schedulers from n" +
                  std::to_string(from));
    for (int n = 0; n < many; ++n) {
        const int scheduler = (from + n) % world_.options.schedulers;
        const auto i = static_cast<std::size_t>(scheduler);
        world_.markTroubled(i, lasts + 1000);
        world_.agents[i]->setDown(true);
        for (auto& slot : world_.servers)
            if (slot.server->identity().zone == "b") slot.server->setPartitioned(scheduler, true);
        world_.reactor.after(lasts, [this, i, scheduler] {
            world_.agents[i]->setDown(false);
            for (auto& slot : world_.servers) slot.server->setPartitioned(scheduler, false);
        });
    }
}

void Troubles::stopOrKill() {
    const int many = 1 + drawBelow(world_.random, std::max(1, world_.options.schedulers / 4));
    const bool planned = chance(world_.random, 0.6);
    for (int n = 0; n < many; ++n) {
        const auto i = drawScheduler();
        if (!world_.processes[i]->running() || world_.processes[i]->stopping()) continue;
        world_.script((planned ? "stop n" : "kill n") + std::to_string(i));
        if (planned) stopPlanned(i);
        else killNow(i);
        world_.restartWhenGone(i, 100 + 700 * drawReal(world_.random));
    }
}

void Troubles::stopPlanned(std::size_t i) {
    world_.processes[i]->stop();
    if (chance(world_.random, 0.25)) {
        world_.script("another SIGTERM to n" + std::to_string(i));
        world_.reactor.after(20 + 1500 * drawReal(world_.random),
                             [this, i] { world_.processes[i]->stopAgain(); });
    }
    if (chance(world_.random, 0.25)) {
        world_.script("a new configuration between SIGTERM and the kill of n" + std::to_string(i));
        world_.reactor.after(5 + 1000 * drawReal(world_.random),
                             [this, i] { world_.moveDiscovery(i, false); });
    }
}

void Troubles::killNow(std::size_t i) {
    if (chance(world_.random, 0.5)) world_.clients[i]->closeIdleConnections();  // in the moment of the kill
    world_.processes[i]->kill();
}

// Told to stop before it is ready, or has even taken its signals.
void Troubles::stopDuringStart() {
    const auto i = drawScheduler();
    if (!world_.processes[i]->running() || world_.processes[i]->stopping()) return;
    world_.script("kill, start and stop n" + std::to_string(i));
    killNow(i);
    world_.startProcess(i);
    world_.reactor.after(1 + 400 * drawReal(world_.random) * drawReal(world_.random), [this, i] {
        world_.processes[i]->stop();
        world_.restartWhenGone(i, 200);
    });
}

// A server drains, discovery goes down with the word at its agents, and most of the fleet is killed at
// once.
void Troubles::killMostInAnOutage() {
    if (world_.agents.front()->down()) return;
    world_.script("a drain, an outage, and seven in ten killed at once");
    drainServer();
    const double lasts = 1000 + 7000 * drawReal(world_.random);
    world_.reactor.after(250, [this, lasts] {
        for (const auto& agent : world_.agents) agent->setDown(true);
        world_.reactor.after(lasts, [this] {
            for (const auto& agent : world_.agents) agent->setDown(false);
        });
    });
    world_.reactor.after(300 + 1000 * drawReal(world_.random), [this] {
        for (std::size_t i = 0; i < world_.processes.size(); ++i) {
            if (!world_.processes[i]->running() || world_.processes[i]->stopping() ||
                !chance(world_.random, 0.7))
                continue;
            killNow(i);
            world_.restartWhenGone(i, 50 + 300 * drawReal(world_.random));
        }
    });
}

void Troubles::stopAQuarter() {
    world_.script("a quarter stopped together");
    for (std::size_t i = 0; i < world_.processes.size(); ++i) {
        if (!world_.processes[i]->running() || world_.processes[i]->stopping() ||
            !chance(world_.random, 0.25))
            continue;
        stopPlanned(i);
        world_.restartWhenGone(i, 100);
    }
}

void Troubles::crowd() {
    if (!world_.options.crowds) return;
    const auto i = drawScheduler();
    const double lasts = 1000 + 4000 * drawReal(world_.random);
    world_.script("a crowd at n" + std::to_string(i));
    world_.markTroubled(i, lasts + 3000);
    world_.clients[i]->openIdleConnections(
        static_cast<int>(1.6 * static_cast<double>(world_.options.setting.sockets)), lasts);
    const int then = drawBelow(world_.random, 4);
    if (then == 0)
        world_.reactor.after(300, [this, i] {
            world_.processes[i]->stop();
            world_.restartWhenGone(i, 300);
        });
    if (then == 1)
        world_.reactor.after(300, [this, i] {
            if (!world_.processes[i]->running() || world_.processes[i]->stopping()) return;
            world_.agents[i]->setDown(true);
            killNow(i);
            world_.startProcess(i);
            world_.reactor.after(500 + 3000 * drawReal(world_.random),
                                 [this, i] { world_.agents[i]->setDown(false); });
        });
}

// New configurations, at times in quick succession.
void Troubles::reload() {
    const auto i = drawScheduler();
    if (!world_.processes[i]->ready() || world_.processes[i]->startedAt() + 1000 > world_.reactor.now())
        return;
    world_.script("reload n" + std::to_string(i));
    world_.moveDiscovery(i, chance(world_.random, 0.3));
    const int more = chance(world_.random, 0.5) ? 1 + drawBelow(world_.random, 6) : 0;
    double at = 0;
    for (int n = 0; n < more; ++n) {
        at += 5 + 295 * drawReal(world_.random);
        world_.reactor.after(at, [this, i] { world_.moveDiscovery(i, chance(world_.random, 0.2)); });
    }
}

void Troubles::troubleAgents() {
    const bool all = chance(world_.random, 0.3);
    const int what = drawBelow(world_.random, 4);
    const double lasts = 800 + 4000 * drawReal(world_.random);
    world_.script(std::string(what == 0   ? "discovery down"
                              : what == 1 ? "watches silent"
                              : what == 2 ? "watches reset"
                                          : "discovery slow") +
                  (all ? " for all" : " for one"));
    for (std::size_t i = all ? 0 : drawScheduler(), first = i;
         i < world_.agents.size() && (all || i == first); ++i) {
        if (what == 0) world_.agents[i]->setDown(true);
        if (what == 1) world_.agents[i]->silenceWatches();
        if (what == 2) world_.agents[i]->resetWatches();
        if (what == 3) world_.agents[i]->setSlow(true);
        if (what == 0 || what == 3)
            world_.reactor.after(lasts, [this, i] {
                world_.agents[i]->setDown(false);
                world_.agents[i]->setSlow(false);
            });
    }
    if (what < 3 && chance(world_.random, 0.6)) {
        world_.reactor.after(what == 0 ? lasts + 100 : 300, [this] { drainServer(); });
    }
}

void Troubles::stepClock() {
    static constexpr double kSteps[] = {3600e3, -3600e3, 4000, -4000};
    world_.wallOffsetMs += kSteps[drawBelow(world_.random, 4)];
    world_.script("wall clock off by " + std::to_string(static_cast<long>(world_.wallOffsetMs / 1000)) +
                  " s");
    for (const auto& process : world_.processes)
        process->control().wallOffsetUs.store(static_cast<std::int64_t>(world_.wallOffsetMs * 1000));
    if (chance(world_.random, 0.7)) restartServer();
}

void Troubles::systemCalls() {
    const auto i = drawScheduler();
    auto& control = world_.processes[i]->control();
    const auto rate = [&](Fault fault, std::uint32_t permille) {
        control.ratePermille[static_cast<std::size_t>(fault)].store(permille);
    };
    const int what = drawBelow(world_.random, 6);
    world_.markTroubled(i, 2500);
    world_.script("system calls of n" + std::to_string(i) + " fail, kind " + std::to_string(what));
    if (what == 0)
        rate(Fault::AcceptError, 300), rate(Fault::SocketError, 200), rate(Fault::ConnectError, 200);
    if (what == 1)
        rate(Fault::ShortRead, 300), rate(Fault::ShortWrite, 300), rate(Fault::PollInterrupted, 300);
    if (what == 2) rate(Fault::ReadError, 300);
    if (what == 3) rate(Fault::PollDelay, 60), control.pollDelayMs.store(150);
    if (what == 4) rate(Fault::ConnectDelay, 600), control.connectDelayMs.store(240);  // in time
    if (what == 5) rate(Fault::ConnectDelay, 400), control.connectDelayMs.store(1500);
    world_.reactor.after(400 + 1500 * drawReal(world_.random), [this, i] { world_.calmSystemCalls(i); });
}

void Troubles::jamLog() {
    const auto i = drawScheduler();
    world_.script("log of n" + std::to_string(i) + " is not read");
    world_.processes[i]->readLog(false);
    world_.reactor.after(2000 + 3000 * drawReal(world_.random),
                         [this, i] { world_.processes[i]->readLog(true); });
}

void Troubles::strike() {
    const int many = 1 + drawBelow(world_.random, 3);
    for (int n = 0; n < many; ++n) switch (drawBelow(world_.random, 20)) {
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

void Troubles::burst() {
    const auto i = drawScheduler();
    world_.script("malformed clients at n" + std::to_string(i) + ", connections reset, idle ones closed");
    world_.clients[i]->sendMalformedRequests(10 + drawBelow(world_.random, 30));
    for (auto& slot : world_.servers) {
        if (slot.server->mode() != DiskServer::Mode::Serving) continue;
        if (chance(world_.random, 0.3)) slot.server->resetConnections(0.3);
        if (chance(world_.random, 0.5)) slot.server->closeIdleConnections();
    }
}

}  // namespace spokewheel::soak
