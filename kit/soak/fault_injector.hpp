// Injects overlapping random faults into a soak run: into disk servers and the node list, into scheduler
// processes, and into their environment. All choices depend on the run's seed.
#pragma once

#include <cstddef>

#include "kit/soak/cluster.hpp"

namespace spokewheel::soak {

class FaultInjector {
  public:
    // `cluster` outlives this object, and this object the run.
    explicit FaultInjector(Cluster& cluster) : cluster_(cluster) {}
    // Starts one to three faults. They end by themselves or with Cluster::clearFaults().
    void injectRandomFaults();

  private:
    // Disk servers and the node list.
    Cluster::ServerEntry* drawServer();
    void drainServer();
    void restartServer();
    void hangOrIsolateServer();
    void delayConnections();
    void partitionNetwork();
    // Scheduler processes.
    std::size_t drawScheduler();
    void stopOrKill();
    void stopGracefully(std::size_t i);
    void killProcess(std::size_t i);
    void stopDuringStart();
    void killMostDuringOutage();
    void stopQuarter();
    void floodConnections();
    void reloadConfiguration();
    // The environment of the schedulers.
    void disruptAgents();
    void stepClock();
    void failSystemCalls();
    void stallLogReader();
    void sendMalformedRequests();

    Cluster& cluster_;
};

}  // namespace spokewheel::soak
