// Everything that takes part in one soak run, on loopback: scheduler processes with their discovery agents
// and clients, disk servers, and the record of the events that they produce.
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
        bool removed = false;  // from the node list
        double upSinceMs = 0;  // wall clock time, as in the node list
    };
    // `options` outlives this object. Throws std::runtime_error.
    explicit Cluster(const Options& options);
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    // Starts the schedulers, waits until all are ready or a time-out expires, and then starts the clients.
    void start();
    // Ends the faults that do not end by themselves.
    void clearFaults();
    void clearSystemCallFaults(std::size_t scheduler);
    // Stops all schedulers; clients keep using open connections until the processes are killed.
    void stop();

    DiskServer& addServer(int cell, bool cold);
    // Publishes the server in the node list, in this phase.
    void announce(const ServerEntry& entry, const std::string& phase);
    void startProcess(std::size_t scheduler);
    // Starts the scheduler once `afterMs` have passed and its process has exited.
    void restartAfterExit(std::size_t scheduler, double afterMs);
    // Moves the scheduler's discovery agent to another port and reloads its configuration. `truncated`: the
    // configuration file is incomplete at first.
    void moveDiscovery(std::size_t scheduler, bool truncated);
    // Records that a scheduler broke a limit.
    void recordViolation(std::size_t scheduler, const std::string& detail);
    // The scheduler's environment is impaired for this long: it is not required to serve requests.
    void markImpaired(std::size_t scheduler, double durationMs);
    double wallClockMs() const;  // as the schedulers see it, with the injected clock steps
    void logAction(const std::string& text);
    // From now on the requests of a busy volume come through these schedulers, and state `hosts` of them.
    void moveVolume(std::size_t volume, const std::vector<int>& schedulers, int hosts);
    // Sets `usage` to the resources that the processes have used so far.
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
    std::vector<std::string> actionLog;  // injected faults, with times in ms
    SchedulerProcess::Usage usage;

  private:
    bool allReady() const;
    void sampleState();
    void recordStateChange(EventKind kind, int index, bool healthy, std::map<int, bool>& states);
    void announceExtraMember(int number, const std::string& phase);
    void churn();
    void onMemberDelivered(int scheduler, const Member& member);

    EventSink record_;
    std::map<int, bool> healthyCells_, healthySchedulers_;
    std::map<std::size_t, double> impairedUntil_;
    // By volume and scheduler.
    std::map<std::pair<std::size_t, int>, std::unique_ptr<SteadyClients>> steadyClients_;
    int replacedMembers_ = 0;
};

}  // namespace spokewheel::soak
