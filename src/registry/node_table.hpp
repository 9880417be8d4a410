// The current state of each node of the platform's list, and the changes that a newly received list makes to
// it. Free of I/O and clocks. An older list never makes a node more usable than it is known to be: an agent
// that lags behind must not undo a drain.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "registry/decide_start_times.hpp"
#include "registry/endpoints.hpp"
#include "spokewheel/scheduler.hpp"
#include "wire/peer/membership.hpp"

namespace spokewheel::registry {

class NodeTable {
  public:
    struct Change {
        bool applied = false;  // false: the list was a duplicate, nothing to do
        ListUpdate update;
        std::vector<std::string> nodesToDisconnect;  // kept connections to these are no longer of use
        // What the list service itself reported here first: nodes that are not usable any more, and nodes
        // that started anew.
        std::vector<wire::peer::ChangedNode> news;
    };
    // Applies a list. The start times in the result are on the monotonic clock of `clock`.
    Change apply(Endpoints list, ListForm form, const ClockReading& clock);
    // Applies what a peer's list service reported and this one has not yet: such a node gets no requests
    // until this list service says otherwise. Lists that are older don't, for a while.
    Change applyNotice(const std::vector<wire::peer::ChangedNode>& nodes, const ClockReading& clock);
    // The list service sent something, with or without changes: nodes reported as restarted later started
    // after this.
    void noteContact(const ClockReading& clock) { starts_.noteContact(clock); }
    // To be called while the list service is silent, so that a step of the wall clock in that time is
    // detected.
    void observeClocks(const ClockReading& clock) { starts_.observeClocks(clock); }
    // Applies a start time that a peer reported, on the monotonic clock: apply() returns no earlier one from
    // now on.
    void setEarliestStart(const std::string& node, double localMs) {
        starts_.setEarliestStart(node, localMs);
    }
    // The nodes that accept requests, with their start times on the monotonic clock (0: long ago).
    std::vector<std::pair<std::string, double>> usableNodes() const;
    // The address that the node listens on; nullptr if it was removed or never listed.
    const std::string* address(const std::string& node) const;
    std::int64_t revision() const { return revision_; }
    // Increases with each list that is applied.
    std::uint64_t version() const { return version_; }
    // The number of nodes that were not removed.
    std::size_t size() const { return present_; }

  private:
    struct Known {
        std::string address;
        Lifecycle lifecycle = Lifecycle::Gone;
        double reportedStartMs = 0;  // wall clock, as the list stated it
        std::int64_t revision = -1;
        NodeEntry entry;              // as last passed on
        double withdrawnAt = kNever;  // by a peer's notice, on the monotonic clock
    };
    static constexpr double kNever = -1e18;
    bool isOutdated(const Known& known, const Endpoints& list, const NodeEntry& entry, ListForm form,
                    double nowMs) const;
    void forgetOldestRemoved();
    std::map<std::string, Known> nodes_;                          // includes removed ones for a while
    std::unordered_map<std::uint64_t, std::string> idsByDigest_;  // of nodes_
    StartTimes starts_;
    std::int64_t revision_ = -1;
    std::uint64_t version_ = 0;
    std::size_t present_ = 0;
};

}  // namespace spokewheel::registry
