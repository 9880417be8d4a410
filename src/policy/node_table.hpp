// The nodes that the lists name, by id and by shard. Free of I/O and clocks.
#pragma once

#include <map>
#include <set>
#include <string>

#include "spokewheel/scheduler.hpp"
#include "state.hpp"

namespace spokewheel {

class NodeTable {
  public:
    using Map = std::map<std::string, Node>;

    // Takes over a list or its changes. Nodes that are gone are dropped once nothing is in flight at them.
    void apply(const ListUpdate& update);
    // Of the shard's nodes that are ready the one that started last; nullptr if there is none.
    Node* active(int shard);
    const std::map<int, Node*>& activeByShard() const { return active_; }
    Map::iterator begin() { return nodes_.begin(); }
    Map::iterator end() { return nodes_.end(); }

  private:
    void apply(const NodeEntry& entry);
    void markGone(Node& node);
    void selectActive(int shard);
    void removeGone();

    Map nodes_;
    std::map<int, Node*> active_;                   // by shard
    std::map<int, std::set<std::string>> byShard_;  // ids of all known nodes
    std::set<std::string> gone_;                    // may still have attempts in flight
};

}  // namespace spokewheel
