// What was told last of each node of the platform's list, and what a new word makes of it. Free of I/O and
// clocks. A word that is older than what is known never makes a node more usable than it is known to be: an
// agent that is behind must not undo a drain.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "registry/decide_start_times.hpp"
#include "registry/endpoints.hpp"
#include "spokewheel/scheduler.hpp"

namespace spokewheel::registry {

class NodeTable {
  public:
    struct Change {
        bool applied = false;  // false: nothing to do
        ListUpdate update;
        std::vector<std::string> nodesToDisconnect;  // nodes to which kept connections are of no use any more
    };
    // Start times come out on the monotonic clock of `clock`.
    Change apply(Endpoints list, ListForm form, const ClockReading& clock);
    // The list service spoke, with or without news: what starts from now on is younger than this.
    void noteContact(const ClockReading& clock) { starts_.noteContact(clock); }
    // The clocks, read while nothing is said, so that a step between two words is seen.
    void observeClocks(const ClockReading& clock) { starts_.observeClocks(clock); }
    // A peer says when the node came up, on the monotonic clock: apply() gives no earlier start from now on.
    void setEarliestStart(const std::string& node, double localMs) {
        starts_.setEarliestStart(node, localMs);
    }
    // The nodes that take requests, with their starts on the monotonic clock (0: long ago).
    std::vector<std::pair<std::string, double>> usableNodes() const;
    // Where the node listens; nullptr where it is gone or was never told.
    const std::string* address(const std::string& node) const;
    std::int64_t revision() const { return revision_; }
    // Grows with each list that is applied.
    std::uint64_t version() const { return version_; }
    std::size_t size() const { return present_; }

  private:
    struct Known {
        std::string address;
        Lifecycle lifecycle = Lifecycle::Gone;
        double toldStartMs = 0;  // as the list said it
        std::int64_t revision = -1;
    };
    void forgetOldest();
    std::map<std::string, Known> nodes_;  // those that are gone too, some while
    StartTimes starts_;
    std::int64_t revision_ = -1;
    std::uint64_t version_ = 0;
    std::size_t present_ = 0;
};

}  // namespace spokewheel::registry
