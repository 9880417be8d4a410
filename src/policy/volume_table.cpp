#include "volume_table.hpp"

#include <iterator>

#include "table_limits.hpp"

namespace spokewheel {
namespace {

// The seconds of an entitlement and the leases of a volume with some traffic.
constexpr std::size_t kDetailBytes = 512;
constexpr std::size_t kOrderBytes = 3 * sizeof(void*) + kAllocationBytes;
constexpr std::size_t kVolumeBytes =
    kMapNodeBytes + sizeof(VolumeTable::Map::value_type) + kDetailBytes + kOrderBytes;
constexpr std::size_t kPeerBytes = kMapNodeBytes + sizeof(std::pair<const int, PeerFigures>);
// Volumes that are looked at for one that may be forgotten, so that a request costs a bounded time.
constexpr int kMaxCandidates = 64;

}  // namespace

bool VolumeTable::hasRoom(std::size_t bytes, std::size_t available) const {
    return volumes_.size() * kVolumeBytes + peers_ * kPeerBytes + bytes <= available;
}

Volume& VolumeTable::add(std::int64_t id) {
    auto& volume = volumes_[id];
    volume.id = id;
    volume.place = requestedOnce_.insert(requestedOnce_.end(), id);
    return volume;
}

Volume* VolumeTable::findOrAdd(std::int64_t id, const MayForget& mayForget) {
    if (const auto found = volumes_.find(id); found != volumes_.end()) return &found->second;
    while (!hasRoom(kVolumeBytes, maxBytes_))
        if (!forgetOne(mayForget)) return nullptr;
    return &add(id);
}

Volume* VolumeTable::findOrAddIfAmple(std::int64_t id) {
    if (const auto found = volumes_.find(id); found != volumes_.end()) return &found->second;
    return hasRoom(kVolumeBytes, maxBytes_ / 2) ? &add(id) : nullptr;
}

bool VolumeTable::forgetOne(const MayForget& mayForget) {
    return forgetOneOf(requestedOnce_, mayForget) || forgetOneOf(requestedAgain_, mayForget);
}

bool VolumeTable::forgetOneOf(const std::list<std::int64_t>& order, const MayForget& mayForget) {
    int candidates = 0;
    for (const auto id : order) {
        const auto position = volumes_.find(id);
        if (mayForget(position->second)) return erase(position), true;
        if (++candidates == kMaxCandidates) return false;
    }
    return false;
}

void VolumeTable::noteRequest(Volume& volume) {
    auto& before = orderOf(volume);
    volume.requestedAgain = volume.requested;
    volume.requested = true;
    auto& after = orderOf(volume);
    after.splice(after.end(), before, volume.place);
}

VolumeTable::iterator VolumeTable::erase(iterator position) {
    const Volume& volume = position->second;
    peers_ -= volume.peers.size();
    orderOf(volume).erase(volume.place);
    return volumes_.erase(position);
}

PeerFigures* VolumeTable::findOrAddPeer(Volume& volume, int rank) {
    if (const auto found = volume.peers.find(rank); found != volume.peers.end()) return &found->second;
    if (!hasRoom(kPeerBytes, maxBytes_)) return nullptr;
    ++peers_;
    return &volume.peers[rank];
}

void VolumeTable::removePeersBefore(Volume& volume, double fromMs) {
    for (auto peer = volume.peers.begin(); peer != volume.peers.end();) {
        const bool expired = peer->second.heardAt < fromMs;
        peers_ -= expired;
        peer = expired ? volume.peers.erase(peer) : std::next(peer);
    }
}

}  // namespace spokewheel
