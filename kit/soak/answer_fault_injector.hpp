// Injects answers into a soak run that come twice, over a network that takes some milliseconds, or never end,
// and clients that read long answers over slow links while idle ones use up the descriptors. On some seeds
// only, and with random numbers of its own, so that the other faults of a seed stay as they are.
#pragma once

#include <cstddef>
#include <memory>

#include "kit/soak/cluster.hpp"

namespace spokewheel::soak {

// Connections to disk servers are used again soon, and answers without an end reach the limit on memory.
void setUpForUnsoundAnswers(Options& options);

class AnswerFaultInjector {
  public:
    // `cluster` outlives this object.
    explicit AnswerFaultInjector(Cluster& cluster);
    ~AnswerFaultInjector() { *alive_ = false; }
    AnswerFaultInjector(const AnswerFaultInjector&) = delete;
    AnswerFaultInjector& operator=(const AnswerFaultInjector&) = delete;

    // Injects at random times until stop(), if the options say so.
    void start();
    void stop();

  private:
    void makeServersUnsound();
    void readSlowly();
    void openCrowd(std::size_t scheduler);

    Cluster& cluster_;
    Random random_;
    bool stopped_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::soak
