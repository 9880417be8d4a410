// The volumes that the scheduler knows, within a number of bytes. When a new one does not fit, one that may
// be forgotten makes room for it: first volumes that were requested only once, then the others, least
// recently requested first. So a client that names ever new volumes displaces those of others last. Free of
// I/O and clocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>

#include "state.hpp"

namespace spokewheel {

class VolumeTable {
  public:
    using Map = std::map<std::int64_t, Volume>;
    using iterator = Map::iterator;
    using const_iterator = Map::const_iterator;
    using MayForget = std::function<bool(Volume&)>;

    explicit VolumeTable(std::size_t maxBytes) : maxBytes_(maxBytes) {}

    iterator begin() { return volumes_.begin(); }
    iterator end() { return volumes_.end(); }
    const_iterator begin() const { return volumes_.begin(); }
    const_iterator end() const { return volumes_.end(); }
    iterator find(std::int64_t id) { return volumes_.find(id); }
    Volume& at(std::int64_t id) { return volumes_.at(id); }
    std::size_t size() const { return volumes_.size(); }

    // The volume, or a new entry without a plan. nullptr: there is no room for it, and none that may be
    // forgotten.
    Volume* findOrAdd(std::int64_t id, const MayForget& mayForget);
    // The same, but never at the expense of another volume and only while half of the table is free: for
    // volumes that only peers have requests for.
    Volume* findOrAddIfAmple(std::int64_t id);
    // A request for the volume has arrived.
    void noteRequest(Volume& volume);
    iterator erase(iterator position);

    // The peer's figures of the volume. nullptr: they are not known and there is no room for them.
    PeerFigures* findOrAddPeer(Volume& volume, int rank);
    // Drops what peers reported last before `fromMs`.
    void removePeersBefore(Volume& volume, double fromMs);

  private:
    bool hasRoom(std::size_t bytes, std::size_t available) const;
    bool forgetOne(const MayForget& mayForget);
    bool forgetOneOf(const std::list<std::int64_t>& order, const MayForget& mayForget);
    std::list<std::int64_t>& orderOf(const Volume& volume) {
        return volume.requestedAgain ? requestedAgain_ : requestedOnce_;
    }
    Volume& add(std::int64_t id);

    std::size_t maxBytes_;
    Map volumes_;
    std::list<std::int64_t> requestedOnce_, requestedAgain_;  // least recently requested first
    std::size_t peers_ = 0;                                   // figures of peers, of all volumes
};

}  // namespace spokewheel
