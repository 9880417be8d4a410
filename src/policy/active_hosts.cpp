#include "active_hosts.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

#include "table_limits.hpp"

namespace spokewheel {
namespace {

constexpr double kExpiryMs = 60000;  // twice the longest time between two reports of a busy host
constexpr std::size_t kMaxHostsPerVolume = 16;

}  // namespace

void ActiveHosts::record(std::int64_t volume, int rank, double nowMs) {
    constexpr std::size_t kVolumeBytes = kMapNodeBytes + sizeof(std::pair<const std::int64_t, LastReports>) +
                                         kAllocationBytes + kMaxHostsPerVolume * sizeof(Report);
    const auto known = volumes_.find(volume);
    if (known == volumes_.end() && (volumes_.size() + 1) * kVolumeBytes > maxBytes_) {
        overflowedAtMs_ = nowMs;
        return;
    }
    auto& reports = known == volumes_.end() ? volumes_[volume] : known->second;
    const auto last = std::find_if(reports.begin(), reports.end(),
                                   [rank](const Report& report) { return report.rank == rank; });
    if (last != reports.end()) last->atMs = nowMs;
    else if (reports.size() < kMaxHostsPerVolume) reports.push_back({rank, nowMs});
}

std::size_t ActiveHosts::count(std::int64_t volume, double nowMs) const {
    const auto known = volumes_.find(volume);
    if (known == volumes_.end())
        return nowMs < overflowedAtMs_ + kExpiryMs ? std::numeric_limits<std::size_t>::max() : 0;
    const auto& reports = known->second;
    return static_cast<std::size_t>(
        std::count_if(reports.begin(), reports.end(),
                      [nowMs](const Report& report) { return nowMs < report.atMs + kExpiryMs; }));
}

void ActiveHosts::removeExpired(double nowMs) {
    for (auto volume = volumes_.begin(); volume != volumes_.end();) {
        auto& reports = volume->second;
        reports.erase(
            std::remove_if(reports.begin(), reports.end(),
                           [nowMs](const Report& report) { return nowMs >= report.atMs + kExpiryMs; }),
            reports.end());
        volume = reports.empty() ? volumes_.erase(volume) : std::next(volume);
    }
}

}  // namespace spokewheel
