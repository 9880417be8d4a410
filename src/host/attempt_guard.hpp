// Checks directly before the first byte of each attempt that it may be sent. Keeps its own records of nodes,
// requests and attempts, so that it also finds faults of the scheduler and of the host's request table. Free
// of I/O and clocks; times are milliseconds on the host's clock.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "invariants/monitor.hpp"
#include "spokewheel/scheduler.hpp"

namespace spokewheel::host {

// Whether an attempt with this outcome is known not to have run.
inline bool hasNotRun(Outcome outcome) {
    return outcome == Outcome::Rejected || outcome == Outcome::NoConnection || outcome == Outcome::NotSent;
}

class AttemptGuard {
  public:
    AttemptGuard(const Settings& settings, invariants::Monitor& monitor);

    void onList(const ListUpdate& update);
    // A request was submitted. Its class says whether and for how long it may be repeated.
    void onSubmitted(const std::string& id, const std::string& requestClass, double deadline, double nowMs);
    // Moves all deadlines that are later to `atMs`.
    void onDeadline(double atMs);
    void onAnswered(const std::string& id);
    void onClientLeft(const std::string& id);
    // Whether the attempt may begin. If not, a violation is counted and the caller must not send.
    bool mayBegin(const std::string& id, int attempt, const std::string& node, double nowMs);
    void onEnded(const std::string& id, int attempt, Outcome outcome);
    void onRemoved(const std::string& id);

  private:
    struct NodeState {
        bool ready = false;
        int shard = -1;
        std::string zone;
    };
    struct AttemptRecord {
        int attempt = 0;
        bool open = true, mayHaveRun = false;
        double beganMs = 0;
        int shard = -1;
        std::string zone;
    };
    struct RequestRecord {
        const RequestClass* requestClass = nullptr;
        double deadline = 0;
        bool answered = false, clientLeft = false;
        std::vector<AttemptRecord> attempts;
    };
    bool repeatAllowed(const RequestRecord& request, const std::string& id, const NodeState* node,
                       double nowMs);
    bool withinRetryBudget(double nowMs);

    const Settings& settings_;
    invariants::Monitor& monitor_;
    std::unordered_map<std::string, NodeState> nodes_;
    std::unordered_map<std::string, RequestRecord> requests_;
    std::deque<double> submittedAt_, repeatedAt_;  // within Settings::retryBudgetSpanMs
};

}  // namespace spokewheel::host
