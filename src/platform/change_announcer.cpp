#include "platform/change_announcer.hpp"

#include <algorithm>

#include "platform/decide_start.hpp"

namespace spokewheel::platform {

void ChangeAnnouncer::announce(const std::vector<wire::peer::ChangedNode>& nodes) {
    for (const auto& node : nodes) pending_.push_back({node});
    if (!pending_.empty() && !timer_.armed()) sendPending();
}

void ChangeAnnouncer::sendPending() {
    std::vector<wire::peer::ChangedNode> nodes;
    for (auto& announced : pending_) {
        nodes.push_back(announced.node);
        ++announced.timesSent;
    }
    for (const auto& bytes : wire::peer::packNotices(nodes))
        for (const int rank : witnesses_) send_(rank, bytes);
    pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                  [](const auto& a) { return a.timesSent >= kNoticeRepeats; }),
                   pending_.end());
    // Also paces the notices while changes follow one another.
    timer_.arm(kNoticeIntervalMs, [this] {
        if (!pending_.empty()) sendPending();
    });
}

}  // namespace spokewheel::platform
