// A fault script: which fault or recovery is applied to which node or host, after how many operations of the
// clients. Read from YAML and validated as a whole before anything is started.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "config/checker.hpp"

namespace spokewheel::kit {

enum class Action {
    Silence,       // node: accepts and executes, never answers
    Deafen,        // node: accepts, neither executes nor answers
    HalfOpen,      // node: accepts connections, never reads
    Refuse,        // node: answers "not executed" to everything
    Slow,          // node: work takes `amount` times as long
    Clear,         // node: ends all of the above
    Drain,         // node: listed as draining
    Retire,        // node: stops and is removed from the list
    Crash,         // node: stops but is still listed
    Return,        // node: restarts, cold, and is listed
    KillHost,      // host: SIGKILL
    StartHost,     // host: restarts
    LoseMessages,  // a share of `amount` of the messages between hosts is lost
    Burst,         // `amount` more clients download from both volumes
    Calm,          // ends the burst
    ListDown,      // the registry is unreachable
    ListBehind,    // the registry reports changes `amount` ms late
    ListUp         // ends both faults of the registry
};

struct Step {
    std::size_t after = 0;  // operations of the clients since the previous step
    Action action = Action::Clear;
    static constexpr int kAny = -1, kLast = -2;  // drawn by the seed; the one that was drawn last
    int target = kLast;                          // number of the node or rank of the host, or one of these
    double amount = 0;
};

struct FaultScript {
    std::string name;
    int hosts = 3, nodes = 6;
    bool registry = false;             // hosts read the node list over HTTP
    double workMs = 4;                 // time that a node takes for a request
    std::size_t finalOperations = 60;  // operations of the clients after the last step
    std::vector<Step> steps;
};

// Every error is added to `errors`; the script is usable only if there is none.
FaultScript readFaultScript(const std::string& file, config::ConfigErrors& errors);
const char* nameOf(Action action);  // as in the script
bool targetsNode(Action action);
bool targetsHost(Action action);

// Selects the target of each step; the same seed gives the same sequence. `any` is drawn from the targets
// that the action applies to: a stopped node can't become silent, and only a stopped one can return.
class TargetSelector {
  public:
    TargetSelector(const FaultScript& script, std::uint64_t seed);
    // The node or host; -1 if the action has no target or can't be applied to the given one.
    int select(const Step& step);

  private:
    bool appliesTo(Action action, int target) const;
    std::mt19937_64 random_;
    std::vector<bool> nodeUp_, hostUp_;
    int lastNode_ = 0, lastHost_ = 0;
};

}  // namespace spokewheel::kit
