#include "fronts/http/request_ids.hpp"

#include <functional>

namespace spokewheel::fronts::http {
namespace {

constexpr std::size_t kEntryBytes = 64;  // of the list and the set together
constexpr std::size_t kMaxUnanswered = kUnansweredIdBytes / kEntryBytes;

}  // namespace

bool RequestIds::take(const std::string& id, double nowMs) {
    removeExpired(nowMs);
    if (unansweredDigests_.count(std::hash<std::string>()(id)) > 0) return false;
    return open_.insert(id).second;
}

void RequestIds::release(const std::string& id, bool unanswered, double nowMs) {
    open_.erase(id);
    removeExpired(nowMs);
    if (!unanswered) return;
    if (unanswered_.size() >= kMaxUnanswered) removeOldest();
    const auto digest = std::hash<std::string>()(id);
    unanswered_.push_back({digest, nowMs + kUnansweredIdRetentionMs});
    unansweredDigests_.insert(digest);
}

void RequestIds::removeExpired(double nowMs) {
    while (!unanswered_.empty() && unanswered_.front().untilMs <= nowMs) removeOldest();
}

void RequestIds::removeOldest() {
    unansweredDigests_.erase(unansweredDigests_.find(unanswered_.front().digest));
    unanswered_.pop_front();
}

}  // namespace spokewheel::fronts::http
