#include "registry/node_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace spokewheel::registry {
namespace {

constexpr std::size_t kMaxRemoved = 2048;  // ids come and go all day
constexpr std::size_t kForgetBatch = 256;  // so that the scan over all nodes is rare

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
        const bool older = list.revision < known.revision && entry.startedMs <= known.reportedStartMs;
        const double reportedStartMs = older ? known.reportedStartMs : entry.startedMs;
        const bool newStart = starts_.isNewStart(entry.node, reportedStartMs);
        entry.startedMs = starts_.localStart(entry.node, reportedStartMs);
        if (older && known.lifecycle != Lifecycle::Ready && entry.lifecycle != Lifecycle::Gone)
            entry.lifecycle = known.lifecycle;
        present_ += (entry.lifecycle != Lifecycle::Gone) - (known.lifecycle != Lifecycle::Gone);
        const auto found = list.addresses.find(entry.node);
        const std::string address = found == list.addresses.end() ? "" : found->second;
        const bool moved = !known.address.empty() && known.address != address;
        if (moved || entry.lifecycle != Lifecycle::Ready || newStart)
            change.nodesToDisconnect.push_back(entry.node);
        known = {address, entry.lifecycle, reportedStartMs, std::max(known.revision, list.revision)};
    }
    if (form != ListForm::Delta)
        for (auto& [node, known] : nodes_)
            if (!listed.count(node) && known.lifecycle != Lifecycle::Gone) {
                known.lifecycle = Lifecycle::Gone;
                --present_;
                known.revision = std::max(known.revision, list.revision);
                change.nodesToDisconnect.push_back(node);
            }
    forgetOldestRemoved();
    change.update = {form, std::move(list.entries)};
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
        nodes_.erase(node);
    }
}

}  // namespace spokewheel::registry
