// Limited volumes under load in a soak run, and the faults that concern them, drawn from the seed: one
// scheduler is restarted again and again, the requests of a volume move to other schedulers, messages between
// schedulers are lost.
#pragma once

#include <cstddef>
#include <cstdint>

#include "kit/soak/cluster.hpp"
#include "kit/soak/setting.hpp"

namespace spokewheel::soak {

// Adds to the settings one to three volumes with a demand below, at or above their limit, and the kinds of
// faults that the run injects.
void drawLimitScenario(Settings& settings, std::uint64_t seed, int schedulers);

// Injects these faults into one run, from start() to stop().
class LimitFaultInjector {
  public:
    // `cluster` must outlive this object, which must outlive the run.
    explicit LimitFaultInjector(Cluster& cluster);
    void start();
    void stop() { stopped_ = true; }

  private:
    void scheduleRestart();
    void restart();
    void scheduleFault();
    void injectFault();
    void moveVolume();
    void dropPeerMessages(std::uint32_t permille, std::size_t everyNth, double durationMs);

    Cluster& cluster_;
    Random random_;
    bool stopped_ = false;
};

}  // namespace spokewheel::soak
