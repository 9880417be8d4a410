// What a soak run does to its parties: troubles drawn from the run's seed, which overlap.
#pragma once

#include <cstddef>

#include "kit/soak/cluster.hpp"

namespace spokewheel::soak {

class FaultInjector {
  public:
    // `world` outlives this object, and this object the run.
    explicit FaultInjector(Cluster& cluster) : cluster_(cluster) {}
    // Begins one to three troubles; they end by themselves, or with World::calm().
    void injectRandomFaults();

  private:
    // Servers and their list.
    Cluster::ServerEntry* drawServer();
    void drainServer();
    void restartServer();
    void troubleServer();
    void lateConnections();
    void cutNetwork();
    // Schedulers.
    std::size_t drawScheduler();
    void stopOrKill();
    void stopPlanned(std::size_t i);
    void killNow(std::size_t i);
    void stopDuringStart();
    void killMostInAnOutage();
    void stopAQuarter();
    void crowd();
    void reload();
    // What surrounds them.
    void troubleAgents();
    void stepClock();
    void systemCalls();
    void jamLog();
    void burst();

    Cluster& cluster_;
};

}  // namespace spokewheel::soak
