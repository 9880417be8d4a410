#include "active_hosts.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace spokewheel {
namespace {

constexpr double kExpiryMs = 60000;  // twice the longest time between two reports of a busy host
constexpr std::size_t kMaxVolumes = 4096, kMaxHostsPerVolume = 16;

}  // namespace

void ActiveHosts::record(std::int64_t volume, int rank, double nowMs) {
    const auto known = volumes_.find(volume);
    if (known == volumes_.end() && volumes_.size() >= kMaxVolumes) {
        overflowedAtMs_ = nowMs;
        return;
    }
    auto& hosts = known == volumes_.end() ? volumes_[volume] : known->second;
    if (hosts.size() < kMaxHostsPerVolume || hosts.count(rank) > 0) hosts[rank] = nowMs;
}

std::size_t ActiveHosts::count(std::int64_t volume, double nowMs) const {
    const auto known = volumes_.find(volume);
    if (known == volumes_.end())
        return nowMs < overflowedAtMs_ + kExpiryMs ? std::numeric_limits<std::size_t>::max() : 0;
    const auto& hosts = known->second;
    return static_cast<std::size_t>(std::count_if(
        hosts.begin(), hosts.end(), [nowMs](const auto& host) { return nowMs < host.second + kExpiryMs; }));
}

void ActiveHosts::removeExpired(double nowMs) {
    for (auto volume = volumes_.begin(); volume != volumes_.end();) {
        auto& hosts = volume->second;
        for (auto host = hosts.begin(); host != hosts.end();)
            host = nowMs < host->second + kExpiryMs ? std::next(host) : hosts.erase(host);
        volume = hosts.empty() ? volumes_.erase(volume) : std::next(volume);
    }
}

}  // namespace spokewheel
