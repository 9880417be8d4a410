// Injects clients that send much, or what is not sound, into a soak run: bursts of requests at once that name
// ever new volumes, some of whose clients leave at once, forms that have to be refused, and crowds of
// half-sent requests. On some seeds only, and with random numbers of its own, so that the other faults of a
// seed stay as they are.
#pragma once

#include <cstddef>
#include <memory>

#include "kit/soak/cluster.hpp"

namespace spokewheel::soak {

class BusyClientInjector {
  public:
    // `cluster` outlives this object.
    explicit BusyClientInjector(Cluster& cluster);
    ~BusyClientInjector() { *alive_ = false; }
    BusyClientInjector(const BusyClientInjector&) = delete;
    BusyClientInjector& operator=(const BusyClientInjector&) = delete;

    // Injects at random times until stop(), if the options say so.
    void start();
    void stop() { stopped_ = true; }

  private:
    void injectOne();
    void checkMemory();

    Cluster& cluster_;
    Random random_;
    bool stopped_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::soak
