#include "key_queues.hpp"

#include <algorithm>
#include <iterator>

#include "table_limits.hpp"

namespace spokewheel {

bool KeyQueues::hasRoomFor(std::int64_t key) const {
    constexpr std::size_t kRequestBytes = 3 * sizeof(void*) + kAllocationBytes;
    constexpr std::size_t kBytes =
        kMapNodeBytes + sizeof(std::pair<const std::int64_t, Queue>) + kRequestBytes;
    return queues_.count(key) > 0 || (queues_.size() + 1) * kBytes <= maxBytes_;
}

double KeyQueues::add(PendingRequest& pending, double blockedUntilMs) {
    auto& queue = queues_[pending.request.key];
    queue.blockedUntilMs = std::max(queue.blockedUntilMs, blockedUntilMs);
    queue.requests.push_back(&pending);
    return queue.blockedUntilMs;
}

void KeyQueues::remove(PendingRequest& pending, double nowMs) {
    const auto found = queues_.find(pending.request.key);
    if (found == queues_.end()) return;
    found->second.requests.remove(&pending);
    if (found->second.isIdle(nowMs)) queues_.erase(found);
}

bool KeyQueues::isNext(const PendingRequest& pending, double nowMs) const {
    const auto& queue = queues_.at(pending.request.key);
    return queue.requests.front() == &pending && nowMs >= queue.blockedUntilMs;
}

double KeyQueues::block(std::int64_t key, double untilMs) {
    auto& queue = queues_[key];
    queue.blockedUntilMs = std::max(queue.blockedUntilMs, untilMs);
    return queue.blockedUntilMs;
}

void KeyQueues::removeIdle(double nowMs) {
    for (auto queue = queues_.begin(); queue != queues_.end();)
        queue = queue->second.isIdle(nowMs) ? queues_.erase(queue) : std::next(queue);
}

}  // namespace spokewheel
