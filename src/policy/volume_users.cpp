#include "volume_users.hpp"

#include <algorithm>
#include <iterator>
#include <limits>

namespace spokewheel {
namespace {

constexpr double kRememberMs = 60000;  // twice the longest time between two announcements of a busy host
constexpr std::size_t kMostVolumes = 4096, kMostUsers = 16;

}  // namespace

void VolumeUsers::heard(std::int64_t volume, int rank, double nowMs) {
    const auto known = volumes_.find(volume);
    if (known == volumes_.end() && volumes_.size() >= kMostVolumes) {
        overflowedAtMs_ = nowMs;
        return;
    }
    auto& users = known == volumes_.end() ? volumes_[volume] : known->second;
    if (users.size() < kMostUsers || users.count(rank) > 0) users[rank] = nowMs;
}

std::size_t VolumeUsers::count(std::int64_t volume, double nowMs) const {
    const auto known = volumes_.find(volume);
    if (known == volumes_.end())
        return nowMs < overflowedAtMs_ + kRememberMs ? std::numeric_limits<std::size_t>::max() : 0;
    const auto& users = known->second;
    return static_cast<std::size_t>(std::count_if(
        users.begin(), users.end(), [nowMs](const auto& user) { return nowMs < user.second + kRememberMs; }));
}

void VolumeUsers::forgetOld(double nowMs) {
    for (auto volume = volumes_.begin(); volume != volumes_.end();) {
        auto& users = volume->second;
        for (auto user = users.begin(); user != users.end();)
            user = nowMs < user->second + kRememberMs ? std::next(user) : users.erase(user);
        volume = users.empty() ? volumes_.erase(volume) : std::next(volume);
    }
}

}  // namespace spokewheel
