#include "registry/node_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace spokewheel::registry {
namespace {

constexpr std::size_t kMostGone = 2048;        // ids come and go all day
constexpr std::size_t kForgottenAtOnce = 256;  // so that the walk over all is rare

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
    if (form == ListForm::Delta && list.revision <= revision_) return change;  // two watches told the same
    change.applied = true;
    revision_ = list.revision;
    ++version_;
    starts_.read(clock, form != ListForm::Cached);
    std::set<std::string> named;
    for (auto& e : list.entries) {
        named.insert(e.node);
        auto& known = nodes_[e.node];
        const bool older = list.revision < known.revision && e.cameUpMs <= known.toldStartMs;
        const double toldStartMs = older ? known.toldStartMs : e.cameUpMs;
        const bool newStart = starts_.isNewStart(e.node, toldStartMs);
        e.cameUpMs = starts_.localStart(e.node, toldStartMs);
        if (older && known.lifecycle != Lifecycle::Ready && e.lifecycle != Lifecycle::Gone)
            e.lifecycle = known.lifecycle;
        present_ += (e.lifecycle != Lifecycle::Gone) - (known.lifecycle != Lifecycle::Gone);
        const auto at = list.addresses.find(e.node);
        const std::string address = at == list.addresses.end() ? "" : at->second;
        const bool moved = !known.address.empty() && known.address != address;
        if (moved || e.lifecycle != Lifecycle::Ready || newStart) change.nodesToDisconnect.push_back(e.node);
        known = {address, e.lifecycle, toldStartMs, std::max(known.revision, list.revision)};
    }
    if (form != ListForm::Delta)
        for (auto& [node, known] : nodes_)
            if (!named.count(node) && known.lifecycle != Lifecycle::Gone) {
                known.lifecycle = Lifecycle::Gone;
                --present_;
                known.revision = std::max(known.revision, list.revision);
                change.nodesToDisconnect.push_back(node);
            }
    forgetOldest();
    change.update = {form, std::move(list.entries)};
    return change;
}

void NodeTable::forgetOldest() {
    if (nodes_.size() - present_ <= kMostGone + kForgottenAtOnce) return;
    std::vector<std::pair<std::int64_t, std::string>> gone;
    for (const auto& [node, known] : nodes_)
        if (known.lifecycle == Lifecycle::Gone) gone.emplace_back(known.revision, node);
    std::sort(gone.begin(), gone.end());
    gone.resize(gone.size() - kMostGone);
    for (const auto& [revision, node] : gone) {
        starts_.forget(node);
        nodes_.erase(node);
    }
}

}  // namespace spokewheel::registry
