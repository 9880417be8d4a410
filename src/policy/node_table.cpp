#include "node_table.hpp"

#include <utility>

namespace spokewheel {

void NodeTable::apply(const ListUpdate& update) {
    std::set<std::string> listed;
    for (const auto& entry : update.entries) {
        apply(entry);
        if (update.form != ListForm::Delta) listed.insert(entry.node);
    }
    if (update.form != ListForm::Delta)
        for (auto& [id, node] : nodes_)
            if (!listed.count(id)) markGone(node);
    removeGone();
}

void NodeTable::apply(const NodeEntry& entry) {
    auto& node = nodes_[entry.node];
    if (!node.id.empty()) byShard_[node.shard].erase(entry.node);
    const int shardBefore = std::exchange(node.shard, entry.shard);
    node.id = entry.node;
    node.zone = entry.zone;
    node.lifecycle = entry.lifecycle;
    if (entry.startedMs > node.coldSince) {  // a restart explains the lost connections
        node.coldSince = entry.startedMs;
        node.suspect = false;
        node.droppedConnections = 0;
    }
    byShard_[node.shard].insert(node.id);
    if (node.lifecycle == Lifecycle::Gone) gone_.insert(node.id);
    selectActive(shardBefore);
    selectActive(node.shard);
}

void NodeTable::markGone(Node& node) {
    node.lifecycle = Lifecycle::Gone;
    gone_.insert(node.id);
    selectActive(node.shard);
}

Node* NodeTable::active(int shard) {
    const auto found = active_.find(shard);
    return found == active_.end() ? nullptr : found->second;
}

void NodeTable::selectActive(int shard) {
    Node* active = nullptr;
    if (const auto found = byShard_.find(shard); found != byShard_.end())
        for (const auto& id : found->second) {
            auto& node = nodes_.at(id);
            if (node.lifecycle == Lifecycle::Ready && (!active || node.coldSince > active->coldSince))
                active = &node;
        }
    if (active) active_[shard] = active;
    else active_.erase(shard);
}

void NodeTable::removeGone() {
    for (auto id = gone_.begin(); id != gone_.end();) {
        const auto& node = nodes_.at(*id);
        if (node.lifecycle == Lifecycle::Gone && node.inflight > 0) {
            ++id;
            continue;
        }
        if (node.lifecycle == Lifecycle::Gone) {
            const auto shard = byShard_.find(node.shard);
            shard->second.erase(node.id);
            if (shard->second.empty()) byShard_.erase(shard);
            nodes_.erase(*id);
        }
        id = gone_.erase(id);
    }
}

}  // namespace spokewheel
