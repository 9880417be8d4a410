// The parties of one soak run on loopback, and what is told of them: schedulers with their agents and
// clients, disk servers, the record of what clients and servers saw.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "kit/soak/agent.hpp"
#include "kit/soak/clients.hpp"
#include "kit/soak/disk_server.hpp"
#include "kit/soak/port_source.hpp"
#include "kit/soak/reactor.hpp"
#include "kit/soak/scheduler_process.hpp"
#include "kit/soak/setting.hpp"
#include "kit/soak/steady_clients.hpp"

namespace spokewheel::soak {

class Cluster {
  public:
    struct ServerEntry {
        std::unique_ptr<DiskServer> server;
        bool removed = false;
        double upSinceMs = 0;
    };
    explicit Cluster(const Options& options);
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    // Starts all, and waits until they are ready or time is up. Clients ask from then on.
    void start();
    // Takes back what lasts until it is taken back.
    void clearFaults();
    void clearSystemCallFaults(std::size_t scheduler);
    // Tells all to stop; their clients use open connections up to the kill.
    void stop();

    DiskServer& addServer(int cell, bool cold);
    // Discovery tells of the server, in this phase.
    void announce(const ServerEntry& slot, const std::string& phase);
    void startProcess(std::size_t scheduler);
    void restartAfterExit(std::size_t scheduler, double afterMs);
    // A new configuration names another address of discovery; `torn`: it is seen half written first.
    void moveDiscovery(std::size_t scheduler, bool torn);
    // What surrounds the scheduler is in trouble for so long: no service is demanded of it.
    void markImpaired(std::size_t scheduler, double lastsMs);
    double wallClockMs() const;  // as the schedulers see it
    void logAction(const std::string& words);
    // The requests of a busy volume come through these schedulers from now on, and tell so many.
    void moveVolume(std::size_t volume, const std::vector<int>& schedulers, int hosts);
    // What the processes have used so far.
    void recordUsage();

    const Options& options;
    Random random;
    PortSource portSource;
    Reactor reactor;
    std::vector<Event> events;
    std::vector<std::unique_ptr<Agent>> agents;
    std::vector<std::unique_ptr<SchedulerProcess>> processes;
    std::vector<std::unique_ptr<Clients>> clients;
    std::vector<ServerEntry> servers;
    double startedAt = 0, wallOffsetMs = 0;
    std::vector<std::string> actionLog;  // what was done, with times
    SchedulerProcess::Usage usage;

  private:
    bool allReady() const;
    void sampleState();
    void recordStateChange(EventKind kind, int who, bool well, std::map<int, bool>& last);
    void announceExtraMember(int number, const std::string& phase);
    void churn();
    void onMemberDelivered(int scheduler, const Member& member);

    EventSink record_;
    std::map<int, bool> healthyCells_, healthySchedulers_;
    std::map<std::size_t, double> impairedUntil_;
    std::map<std::pair<std::size_t, int>, std::unique_ptr<SteadyClients>>
        steadyClients_;  // volume, scheduler
    int replacedMembers_ = 0;
};

}  // namespace spokewheel::soak
