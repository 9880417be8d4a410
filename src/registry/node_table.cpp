#include "registry/node_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace spokewheel::registry {
namespace {

constexpr std::size_t kMaxRemoved = 2048;  // ids come and go all day
constexpr std::size_t kForgetBatch = 256;  // so that the scan over all nodes is rare
// How long a peer's notice outweighs older lists of this list service, which may report changes seconds late.
constexpr double kNoticeOutweighsMs = 6000;

}  // namespace

const std::string* NodeTable::address(const std::string& node) const {
    const auto found = nodes_.find(node);
    if (found == nodes_.end() || found->second.lifecycle == Lifecycle::Gone) return nullptr;
    return &found->second.address;
}

std::vector<std::pair<std::string, double>> NodeTable::usableNodes() const {
    std::vector<std::pair<std::string, double>> out;
    for (const auto& [node, known] : nodes_)
        if (known.lifecycle == Lifecycle::Ready) out.emplace_back(node, starts_.startOf(node));
    return out;
}

NodeTable::Change NodeTable::apply(Endpoints list, ListForm form, const ClockReading& clock) {
    Change change;
    if (form == ListForm::Delta && list.revision <= revision_) return change;  // a duplicate
    change.applied = true;
    revision_ = list.revision;
    ++version_;
    starts_.onList(clock, form != ListForm::Cached);
    std::set<std::string> listed;
    for (auto& entry : list.entries) {
        listed.insert(entry.node);
        auto& known = nodes_[entry.node];
        const auto digest = wire::peer::idDigest(entry.node);
        idsByDigest_.emplace(digest, entry.node);
        const bool older = isOutdated(known, list, entry, form, clock.nowMs);
        const double reportedStartMs = older ? known.reportedStartMs : entry.startedMs;
        const bool newStart = starts_.isNewStart(entry.node, reportedStartMs);
        entry.startedMs = starts_.localStart(entry.node, reportedStartMs);
        if (older && known.lifecycle != Lifecycle::Ready && entry.lifecycle != Lifecycle::Gone)
            entry.lifecycle = known.lifecycle;
        present_ += (entry.lifecycle != Lifecycle::Gone) - (known.lifecycle != Lifecycle::Gone);
        const auto found = list.addresses.find(entry.node);
        const std::string address = found == list.addresses.end() ? "" : found->second;
        const bool moved = !known.address.empty() && known.address != address;
        const bool ready = entry.lifecycle == Lifecycle::Ready;
        if (moved || !ready || newStart) change.nodesToDisconnect.push_back(entry.node);
        const bool wasUsable = known.lifecycle == Lifecycle::Ready || known.withdrawnAt != kNever;
        if (!older && form != ListForm::Cached && (ready ? newStart : wasUsable))
            change.news.push_back({digest, list.revision, ready, clock.nowMs - entry.startedMs});
        const double withdrawnAt = older ? known.withdrawnAt : kNever;
        known = {address, entry.lifecycle, reportedStartMs, std::max(known.revision, list.revision),
                 entry,   withdrawnAt};
    }
    if (form != ListForm::Delta)
        for (auto& [node, known] : nodes_)
            if (!listed.count(node) && known.lifecycle != Lifecycle::Gone) {
                if (form == ListForm::Full &&
                    (known.lifecycle == Lifecycle::Ready || known.withdrawnAt != kNever))
                    change.news.push_back({wire::peer::idDigest(node), list.revision, false, 0});
                known.lifecycle = Lifecycle::Gone;
                known.withdrawnAt = kNever;
                --present_;
                known.revision = std::max(known.revision, list.revision);
                change.nodesToDisconnect.push_back(node);
            }
    forgetOldestRemoved();
    change.update = {form, std::move(list.entries)};
    return change;
}

// Whether what is known of the node is newer than what the list says of it.
bool NodeTable::isOutdated(const Known& known, const Endpoints& list, const NodeEntry& entry, ListForm form,
                           double nowMs) const {
    if (list.revision >= known.revision || entry.startedMs > known.reportedStartMs) return false;
    const bool byNotice = known.withdrawnAt != kNever;
    return !byNotice || form == ListForm::Cached || nowMs - known.withdrawnAt < kNoticeOutweighsMs;
}

NodeTable::Change NodeTable::applyNotice(const std::vector<wire::peer::ChangedNode>& nodes,
                                         const ClockReading& clock) {
    Change change;
    change.update.form = ListForm::Delta;
    for (const auto& node : nodes) {
        const auto id = node.revision > revision_ ? idsByDigest_.find(node.idDigest) : idsByDigest_.end();
        if (id == idsByDigest_.end()) continue;
        auto& known = nodes_.at(id->second);
        if (known.lifecycle != Lifecycle::Ready || known.revision >= node.revision) continue;
        if (node.usable) {
            starts_.setEarliestStart(id->second, clock.nowMs - node.ageMs);
            continue;
        }
        known.lifecycle = known.entry.lifecycle = Lifecycle::Draining;
        known.revision = node.revision;
        known.withdrawnAt = clock.nowMs;
        change.applied = true;
        change.update.entries.push_back(known.entry);
        change.nodesToDisconnect.push_back(id->second);
    }
    if (change.applied) ++version_;
    return change;
}

void NodeTable::forgetOldestRemoved() {
    if (nodes_.size() - present_ <= kMaxRemoved + kForgetBatch) return;
    std::vector<std::pair<std::int64_t, std::string>> removed;
    for (const auto& [node, known] : nodes_)
        if (known.lifecycle == Lifecycle::Gone) removed.emplace_back(known.revision, node);
    std::sort(removed.begin(), removed.end());
    removed.resize(removed.size() - kMaxRemoved);
    for (const auto& [revision, node] : removed) {
        starts_.forget(node);
        idsByDigest_.erase(wire::peer::idDigest(node));
        nodes_.erase(node);
    }
}

}  // namespace spokewheel::registry
