#include "kit/soak/soak.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "kit/soak/agent.hpp"
#include "kit/soak/clients.hpp"
#include "kit/soak/disk_server.hpp"
#include "kit/soak/port_source.hpp"
#include "kit/soak/reactor.hpp"
#include "kit/soak/scheduler_process.hpp"

namespace spokewheel::soak {
namespace {

constexpr double kWarmUpMs = 1500, kReadyWaitMs = 15000, kSettleAtEndMs = 3500, kAfterKillMs = 1500;
constexpr double kSampleMs = 20, kHeardAfterOutageMs = 1500;

class World {
  public:
    explicit World(const Options& options)
        : options_(options), random_(options.seed), portSource_(options.seed) {
        mkdir(options_.folder.c_str(), 0700);
        const Record record = [this](Event event) {
            if (event.process == 0 && event.scheduler >= 0)
                event.process = processes_[static_cast<std::size_t>(event.scheduler)]->life();
            events_.push_back(std::move(event));
        };
        record_ = record;
        processes_.reserve(static_cast<std::size_t>(options_.schedulers));
        std::vector<Ports> ports;
        for (int i = 0; i < options_.schedulers; ++i)
            ports.push_back({portSource_.take(), portSource_.take()});
        for (int i = 0; i < options_.schedulers; ++i) {
            agents_.push_back(std::make_unique<Agent>(reactor_, random_, record, i, portSource_.take(),
                                                      [this, i](const Member& m) { carried(i, m); }));
            processes_.push_back(std::make_unique<SchedulerProcess>(reactor_, options_, record, i, ports));
            clients_.push_back(
                std::make_unique<Clients>(reactor_, random_, record, *processes_.back(), i, options_));
        }
        for (int cell = 0; cell < options_.servers; ++cell) addServer(cell, false);
        for (int i = 0; i < options_.extraMembers; ++i) listExtra(i, "up");
    }

    Result run() {
        for (std::size_t i = 0; i < processes_.size(); ++i) startProcess(i);
        const double latest = reactor_.now() + kReadyWaitMs;
        while (reactor_.now() < latest && !allReady()) reactor_.runUntil(reactor_.now() + 20);
        begin_ = reactor_.now();
        sample();
        for (const auto& clients : clients_) clients->start();
        if (options_.churnPerSecond > 0 && options_.extraMembers > 0) churn();
        reactor_.runUntil(begin_ + kWarmUpMs);
        const double end = begin_ + 1000 * options_.seconds;
        while (reactor_.now() < end) {
            if (options_.troubles) trouble();
            reactor_.runUntil(std::min(end, reactor_.now() + 150 + 650 * drawReal(random_)));
        }
        measure();
        calm();
        reactor_.runUntil(reactor_.now() + kSettleAtEndMs);
        // Clients use their connections up to the kill.
        for (const auto& process : processes_) process->stop();
        reactor_.runUntil(reactor_.now() + options_.setting.killAfterMs());
        for (const auto& clients : clients_) clients->stop();
        reactor_.runUntil(reactor_.now() + options_.setting.longestDeadlineMs() + kAfterKillMs);
        return result();
    }

  private:
    struct ServerSlot {
        std::unique_ptr<DiskServer> server;
        bool gone = false;
        double upSinceMs = 0;
    };

    // ---- what was well, for the floor on service
    void sample() {
        std::set<int> well;
        for (const auto& slot : servers_)
            if (!slot.gone && slot.server->well()) well.insert(slot.server->place().cell);
        for (int cell = 0; cell < options_.servers; ++cell)
            noteState(EventKind::CellState, cell, well.count(cell) > 0, wellCells_);
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            // One that was started in an outage may have to wait for its end.
            const bool outage = agents_[i]->down() && processes_[i]->startedAt() > agents_[i]->downSince();
            if (outage) markTroubled(i, kHeardAfterOutageMs);
            noteState(EventKind::SchedulerState, static_cast<int>(i), reactor_.now() >= troubledUntil_[i],
                      wellSchedulers_);
        }
        reactor_.after(kSampleMs, [this] { sample(); });
    }
    void noteState(EventKind kind, int who, bool well, std::map<int, bool>& last) {
        const auto [known, first] = last.emplace(who, true);
        if (known->second == well) return;
        known->second = well;
        Event event;
        event.kind = kind;
        event.at = reactor_.now();
        event.status = well;
        if (kind == EventKind::CellState) event.server = std::to_string(who);
        else event.scheduler = who;
        record_(event);
    }
    void markTroubled(std::size_t scheduler, double lastsMs) {
        auto& until = troubledUntil_[scheduler];
        until = std::max(until, reactor_.now() + lastsMs);
    }

    bool allReady() const {
        return std::all_of(processes_.begin(), processes_.end(), [](const auto& p) { return p->ready(); });
    }
    double wallMs() const {
        timespec at{};
        clock_gettime(CLOCK_REALTIME, &at);
        return static_cast<double>(at.tv_sec) * 1e3 + static_cast<double>(at.tv_nsec) / 1e6 + wallOffsetMs_;
    }
    void script(const std::string& words) {
        char at[24];
        std::snprintf(at, sizeof at, "%.0f ms: ", reactor_.now() - begin_);
        script_.push_back(at + words);
    }

    // ---- servers and their list
    DiskServer& addServer(int cell, bool cold) {
        std::vector<int> ports;
        for (int i = 0; i < options_.schedulers; ++i) ports.push_back(portSource_.take());
        ServerSlot slot;
        DiskServer::Place place{"s-" + std::to_string(servers_.size()), cell % 2 ? "b" : "a", cell};
        slot.server = std::make_unique<DiskServer>(reactor_, random_, record_, place, std::move(ports),
                                                   options_.setting);
        if (cold) {
            slot.server->startCold();
            slot.upSinceMs = wallMs();
        }
        servers_.push_back(std::move(slot));
        list(servers_.back(), "up");
        return *servers_.back().server;
    }
    void list(const ServerSlot& slot, const std::string& phase) {
        const auto& place = slot.server->place();
        for (std::size_t i = 0; i < agents_.size(); ++i)
            agents_[i]->change({place.id, place.zone, phase, place.cell,
                                slot.server->portFor(static_cast<int>(i)), slot.upSinceMs, 0});
    }
    // Members that are listed and never asked for, for the cost of a long list.
    void listExtra(int number, const std::string& phase) {
        for (std::size_t i = 0; i < agents_.size(); ++i)
            agents_[i]->change({"extra-" + std::to_string(number), number % 2 ? "b" : "a", phase,
                                1000 + number, servers_.front().server->portFor(static_cast<int>(i)), 0, 0});
    }
    void churn() {
        listExtra(churned_, "removed");
        listExtra(options_.extraMembers + churned_++, "up");
        reactor_.after(1000 / options_.churnPerSecond, [this] { churn(); });
    }
    void measure() {
        for (const auto& process : processes_) {
            const auto usage = process->usage();
            const double part = 1.0 / static_cast<double>(processes_.size());
            usage_.cpuSeconds += part * usage.cpuSeconds;
            usage_.peakMb += part * usage.peakMb;
            usage_.descriptors = std::max(usage_.descriptors, usage.descriptors);
        }
    }
    // A watch carried the server's present start to a scheduler.
    void carried(int scheduler, const Member& member) {
        for (const auto& slot : servers_)
            if (slot.server->place().id == member.id && slot.upSinceMs == member.upSinceMs)
                slot.server->schedulerTold(scheduler);
    }
    ServerSlot* drawServer() {
        std::vector<ServerSlot*> up;
        for (auto& slot : servers_)
            if (!slot.gone && !slot.server->draining() && slot.server->mode() == DiskServer::Mode::Serving)
                up.push_back(&slot);
        if (up.empty()) return nullptr;
        return up[static_cast<std::size_t>(drawBelow(random_, static_cast<int>(up.size())))];
    }
    void drainServer() {
        auto* slot = drawServer();
        if (!slot || servers_.size() > static_cast<std::size_t>(4 * options_.servers)) return;
        const auto index = static_cast<std::size_t>(slot - servers_.data());
        script("drain " + slot->server->place().id);
        slot->server->setDraining(true);
        list(*slot, "draining");
        const int cell = slot->server->place().cell;
        reactor_.after(200 + 1500 * drawReal(random_), [this, cell] { addServer(cell, true); });
        reactor_.after(2500 + 1500 * drawReal(random_), [this, index] {
            servers_[index].gone = true;
            list(servers_[index], "removed");
        });
    }
    void restartServer() {
        auto* slot = drawServer();
        if (!slot) return;
        const auto index = static_cast<std::size_t>(slot - servers_.data());
        script("restart " + slot->server->place().id);
        slot->server->setMode(DiskServer::Mode::Crashed);
        reactor_.after(100 + 900 * drawReal(random_), [this, index] {
            auto& back = servers_[index];
            back.server->setMode(DiskServer::Mode::Serving);
            back.server->startCold();
            back.upSinceMs = wallMs();
            list(back, "up");
        });
    }
    void troubleServer() {
        auto* slot = drawServer();
        if (!slot) return;
        const auto index = static_cast<std::size_t>(slot - servers_.data());
        const auto mode = chance(random_, 0.5) ? DiskServer::Mode::Hanging : DiskServer::Mode::Vanished;
        script((mode == DiskServer::Mode::Hanging ? "hang " : "vanish ") + slot->server->place().id);
        slot->server->setMode(mode);
        reactor_.after(300 + 2500 * drawReal(random_), [this, index] {
            auto& server = *servers_[index].server;
            if (server.mode() != DiskServer::Mode::Crashed) server.setMode(DiskServer::Mode::Serving);
        });
    }

    // New connections to a server come up late: their first tries are lost, and are made again a second
    // later.
    void lateConnections() {
        auto* slot = drawServer();
        if (!slot) return;
        const auto index = static_cast<std::size_t>(slot - servers_.data());
        script("connections to " + slot->server->place().id + " come up late");
        slot->server->loseFirstTries(true);
        reactor_.after(200 + 1300 * drawReal(random_),
                       [this, index] { servers_[index].server->loseFirstTries(false); });
    }
    // Half of the schedulers reach no server of zone b, and their agents hear nothing.
    void cutNetwork() {
        const int from = drawBelow(random_, options_.schedulers);
        const int many = std::max(1, options_.schedulers / 2);
        const double lasts = 500 + 3500 * drawReal(random_);
        script("a cut between zone b and " + std::to_string(many) + " schedulers from n" +
               std::to_string(from));
        for (int n = 0; n < many; ++n) {
            const int scheduler = (from + n) % options_.schedulers;
            const auto i = static_cast<std::size_t>(scheduler);
            markTroubled(i, lasts + 1000);
            agents_[i]->setDown(true);
            for (auto& slot : servers_)
                if (slot.server->place().zone == "b") slot.server->cutOff(scheduler, true);
            reactor_.after(lasts, [this, i, scheduler] {
                agents_[i]->setDown(false);
                for (auto& slot : servers_) slot.server->cutOff(scheduler, false);
            });
        }
    }

    // ---- schedulers
    std::size_t drawScheduler() { return static_cast<std::size_t>(drawBelow(random_, options_.schedulers)); }
    void startProcess(std::size_t i) {
        processes_[i]->writeConfiguration(agents_[i]->port(), agents_[i]->oldList(drawBelow(random_, 3)));
        processes_[i]->start();
    }
    void restartWhenGone(std::size_t i, double afterMs) {
        reactor_.after(afterMs, [this, i] {
            if (processes_[i]->running()) return restartWhenGone(i, 100);
            startProcess(i);
        });
    }
    void stopOrKill() {
        const int many = 1 + drawBelow(random_, std::max(1, options_.schedulers / 4));
        const bool planned = chance(random_, 0.6);
        for (int n = 0; n < many; ++n) {
            const auto i = drawScheduler();
            if (!processes_[i]->running() || processes_[i]->stopping()) continue;
            script((planned ? "stop n" : "kill n") + std::to_string(i));
            if (planned) stopPlanned(i);
            else killNow(i);
            restartWhenGone(i, 100 + 700 * drawReal(random_));
        }
    }
    void stopPlanned(std::size_t i) {
        processes_[i]->stop();
        if (chance(random_, 0.25)) {
            script("another SIGTERM to n" + std::to_string(i));
            reactor_.after(20 + 1500 * drawReal(random_), [this, i] { processes_[i]->stopAgain(); });
        }
        if (chance(random_, 0.25)) {
            script("a new configuration between SIGTERM and the kill of n" + std::to_string(i));
            reactor_.after(5 + 1000 * drawReal(random_), [this, i] { moveDiscovery(i, false); });
        }
    }
    void killNow(std::size_t i) {
        if (chance(random_, 0.5)) clients_[i]->crowdLeaves();  // in the moment of the kill
        processes_[i]->kill();
    }
    // Told to stop before it is ready, or has even taken its signals.
    void stopDuringStart() {
        const auto i = drawScheduler();
        if (!processes_[i]->running() || processes_[i]->stopping()) return;
        script("kill, start and stop n" + std::to_string(i));
        killNow(i);
        startProcess(i);
        reactor_.after(1 + 400 * drawReal(random_) * drawReal(random_), [this, i] {
            processes_[i]->stop();
            restartWhenGone(i, 200);
        });
    }
    // A server drains, discovery goes down with the word at its agents, and most of the fleet is killed at
    // once.
    void killMostInAnOutage() {
        if (agents_.front()->down()) return;
        script("a drain, an outage, and seven in ten killed at once");
        drainServer();
        const double lasts = 1000 + 7000 * drawReal(random_);
        reactor_.after(250, [this, lasts] {
            for (const auto& agent : agents_) agent->setDown(true);
            reactor_.after(lasts, [this] {
                for (const auto& agent : agents_) agent->setDown(false);
            });
        });
        reactor_.after(300 + 1000 * drawReal(random_), [this] {
            for (std::size_t i = 0; i < processes_.size(); ++i) {
                if (!processes_[i]->running() || processes_[i]->stopping() || !chance(random_, 0.7)) continue;
                killNow(i);
                restartWhenGone(i, 50 + 300 * drawReal(random_));
            }
        });
    }
    void stopAQuarter() {
        script("a quarter stopped together");
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            if (!processes_[i]->running() || processes_[i]->stopping() || !chance(random_, 0.25)) continue;
            stopPlanned(i);
            restartWhenGone(i, 100);
        }
    }
    void crowd() {
        if (!options_.crowds) return;
        const auto i = drawScheduler();
        const double lasts = 1000 + 4000 * drawReal(random_);
        script("a crowd at n" + std::to_string(i));
        markTroubled(i, lasts + 3000);
        clients_[i]->crowd(static_cast<int>(1.6 * static_cast<double>(options_.setting.sockets)), lasts);
        const int then = drawBelow(random_, 4);
        if (then == 0)
            reactor_.after(300, [this, i] {
                processes_[i]->stop();
                restartWhenGone(i, 300);
            });
        if (then == 1)
            reactor_.after(300, [this, i] {
                if (!processes_[i]->running() || processes_[i]->stopping()) return;
                agents_[i]->setDown(true);
                killNow(i);
                startProcess(i);
                reactor_.after(500 + 3000 * drawReal(random_), [this, i] { agents_[i]->setDown(false); });
            });
    }
    // A new configuration names another address of discovery; at times the file is seen half written.
    void reload() {
        const auto i = drawScheduler();
        if (!processes_[i]->ready() || processes_[i]->startedAt() + 1000 > reactor_.now()) return;
        script("reload n" + std::to_string(i));
        moveDiscovery(i, chance(random_, 0.3));
        // In quick succession.
        const int more = chance(random_, 0.5) ? 1 + drawBelow(random_, 6) : 0;
        double at = 0;
        for (int n = 0; n < more; ++n) {
            at += 5 + 295 * drawReal(random_);
            reactor_.after(at, [this, i] { moveDiscovery(i, chance(random_, 0.2)); });
        }
    }
    void moveDiscovery(std::size_t i, bool torn) {
        if (!processes_[i]->running()) return;
        agents_[i]->moveTo(portSource_.take());
        processes_[i]->writeConfiguration(agents_[i]->port(), agents_[i]->oldList(0),
                                          torn ? 200 : std::string::npos);
        processes_[i]->reload();
        if (torn)
            reactor_.after(30, [this, i] {
                processes_[i]->writeConfiguration(agents_[i]->port(), agents_[i]->oldList(0));
            });
    }
    void troubleAgents() {
        const bool all = chance(random_, 0.3);
        const int what = drawBelow(random_, 4);
        const double lasts = 800 + 4000 * drawReal(random_);
        script(std::string(what == 0   ? "discovery down"
                           : what == 1 ? "watches silent"
                           : what == 2 ? "watches reset"
                                       : "discovery slow") +
               (all ? " for all" : " for one"));
        for (std::size_t i = all ? 0 : drawScheduler(), first = i; i < agents_.size() && (all || i == first);
             ++i) {
            if (what == 0) agents_[i]->setDown(true);
            if (what == 1) agents_[i]->silenceWatches();
            if (what == 2) agents_[i]->resetWatches();
            if (what == 3) agents_[i]->slowDown(true);
            if (what == 0 || what == 3)
                reactor_.after(lasts, [this, i] {
                    agents_[i]->setDown(false);
                    agents_[i]->slowDown(false);
                });
        }
        if (what < 3 && chance(random_, 0.6)) {
            reactor_.after(what == 0 ? lasts + 100 : 300, [this] { drainServer(); });
        }
    }
    void stepClock() {
        static constexpr double kSteps[] = {3600e3, -3600e3, 4000, -4000};
        wallOffsetMs_ += kSteps[drawBelow(random_, 4)];
        script("wall clock off by " + std::to_string(static_cast<long>(wallOffsetMs_ / 1000)) + " s");
        for (const auto& process : processes_)
            process->control().wallOffsetUs.store(static_cast<std::int64_t>(wallOffsetMs_ * 1000));
        if (chance(random_, 0.7)) restartServer();
    }
    void systemCalls() {
        const auto i = drawScheduler();
        auto& control = processes_[i]->control();
        const auto rate = [&](Fault fault, std::uint32_t permille) {
            control.permille[static_cast<std::size_t>(fault)].store(permille);
        };
        const int what = drawBelow(random_, 4);
        markTroubled(i, 2500);
        script("system calls of n" + std::to_string(i) + " fail, kind " + std::to_string(what));
        if (what == 0) rate(Fault::Accept, 300), rate(Fault::Socket, 200), rate(Fault::Connect, 200);
        if (what == 1) rate(Fault::ShortRead, 300), rate(Fault::ShortWrite, 300), rate(Fault::Interrupt, 300);
        if (what == 2) rate(Fault::BreakRead, 300);
        if (what == 3) rate(Fault::Pause, 60), control.pauseMs.store(150);
        reactor_.after(400 + 1500 * drawReal(random_), [this, i] { calmSystemCalls(i); });
    }
    void calmSystemCalls(std::size_t i) {
        for (auto& permille : processes_[i]->control().permille) permille.store(0);
    }
    void jamLog() {
        const auto i = drawScheduler();
        script("log of n" + std::to_string(i) + " is not read");
        processes_[i]->readLog(false);
        reactor_.after(2000 + 3000 * drawReal(random_), [this, i] { processes_[i]->readLog(true); });
    }

    void trouble() {
        const int many = 1 + drawBelow(random_, 3);
        for (int n = 0; n < many; ++n) switch (drawBelow(random_, 20)) {
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
    void burst() {
        const auto i = drawScheduler();
        script("malformed clients at n" + std::to_string(i) + ", connections reset, idle ones closed");
        clients_[i]->malformedBurst(10 + drawBelow(random_, 30));
        for (auto& slot : servers_) {
            if (slot.server->mode() != DiskServer::Mode::Serving) continue;
            if (chance(random_, 0.3)) slot.server->resetConnections(0.3);
            if (chance(random_, 0.5)) slot.server->closeIdle();
        }
    }
    void calm() {
        for (std::size_t i = 0; i < agents_.size(); ++i) {
            agents_[i]->setDown(false);
            agents_[i]->slowDown(false);
            calmSystemCalls(i);
            processes_[i]->readLog(true);
        }
    }

    Result result() {
        Result out;
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            const auto& lines = processes_[i]->oddLines();
            out.oddLines.insert(out.oddLines.end(), lines.begin(), lines.end());
            for (std::size_t f = 0; f < kFaults; ++f)
                out.counts["injected"] += processes_[i]->control().injected[f];
        }
        for (const auto& event : events_) {
            if (event.kind == EventKind::RequestSent) ++out.counts["requests"];
            if (event.kind == EventKind::Answered) ++out.counts["answers " + std::to_string(event.status)];
            if (event.kind == EventKind::AttemptWhole) ++out.counts["attempts"];
            if (event.kind == EventKind::ClientLeft) ++out.counts["clients left"];
            if (event.kind == EventKind::ConnectionEnded)
                ++out.counts[event.read ? "ended, read" : "ended, unread"];
            if (event.kind == EventKind::ProcessStarted) ++out.counts["starts"];
            if (event.kind == EventKind::Malformed) ++out.counts["malformed"];
        }
        for (auto& event : events_) event.at -= begin_;
        out.breaches = judge(events_, termsOf(options_.setting));
        out.events = std::move(events_);
        out.script = std::move(script_);
        out.worstLagMs = reactor_.worstLagMs();
        out.usage = usage_;
        return out;
    }

    const Options& options_;
    Random random_;
    PortSource portSource_;
    Reactor reactor_;
    Record record_;
    std::vector<Event> events_;
    std::vector<std::unique_ptr<Agent>> agents_;
    std::vector<std::unique_ptr<SchedulerProcess>> processes_;
    std::vector<std::unique_ptr<Clients>> clients_;
    std::vector<ServerSlot> servers_;
    std::vector<std::string> script_;
    std::map<int, bool> wellCells_, wellSchedulers_;
    std::map<std::size_t, double> troubledUntil_;
    SchedulerProcess::Usage usage_;
    double begin_ = 0, wallOffsetMs_ = 0;
    int churned_ = 0;
};

}  // namespace

Result run(const Options& options) {
    std::signal(SIGPIPE, SIG_IGN);
    World world(options);
    return world.run();
}

std::string recordText(const Result& result) {
    auto events = result.events;
    std::stable_sort(events.begin(), events.end(),
                     [](const Event& a, const Event& b) { return a.at < b.at; });
    std::ostringstream out;
    out.setf(std::ios::fixed);
    out.precision(1);
    for (const auto& e : events) {
        out << e.at << " " << nameOf(e.kind) << " n" << e.scheduler << "." << e.process;
        const std::pair<const char*, const std::string*> texts[] = {
            {"server", &e.server}, {"request", &e.request}, {"class", &e.requestClass}, {"volume", &e.volume},
            {"key", &e.key},       {"zone", &e.zone},       {"words", &e.words}};
        for (const auto& [name, text] : texts)
            if (!text->empty()) out << " " << name << "=" << *text;
        const std::pair<const char*, double> figures[] = {
            {"connection", e.connection}, {"attempt", e.attempt}, {"status", e.status}, {"units", e.units},
            {"timeout", e.timeoutMs},     {"read", e.read},       {"cold", e.cold},     {"age", e.ageMs}};
        for (const auto& [name, figure] : figures)
            if (figure != 0) out << " " << name << "=" << figure;
        out << "\n";
    }
    return out.str();
}

std::string report(const Result& result, const Options& options) {
    std::ostringstream out;
    out << "seed " << options.seed << ", " << options.schedulers << " schedulers, " << options.seconds << " s"
        << (options.crowds ? ", crowds" : "") << ":";
    for (const auto& [name, count] : result.counts) out << " " << name << " " << count << ",";
    out << " harness late by " << static_cast<int>(result.worstLagMs) << " ms at most\n";
    out << "  settings: " << options.setting.summary() << "\n";
    char usage[96];
    std::snprintf(usage, sizeof usage,
                  "  mean of the processes: %.2f s of CPU, peak %.1f MB; %zu descriptors\n",
                  result.usage.cpuSeconds, result.usage.peakMb, result.usage.descriptors);
    out << usage;
    std::map<Rule, int> many;
    for (const auto& breach : result.breaches)
        if (++many[breach.rule] <= 5)
            out << "  BROKEN " << nameOf(breach.rule) << " at " << static_cast<long>(breach.at) << " ms, n"
                << breach.scheduler << " " << breach.request << ": " << breach.words << "\n";
    for (const auto& [rule, count] : many) out << "  " << count << " breaches of " << nameOf(rule) << "\n";
    for (const auto& line : result.oddLines) out << "  log " << line << "\n";
    if (result.breaches.empty()) out << "  every rule kept\n";
    else
        for (const auto& line : result.script) out << "  did " << line << "\n";
    return out.str();
}

}  // namespace spokewheel::soak
