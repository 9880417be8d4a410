#include "platform/start_list.hpp"

#include <utility>
#include <vector>

#include "platform/decide_start.hpp"

namespace spokewheel::platform {

namespace peer = wire::peer;

StartList::StartList(const registry::Endpoints& known, registry::NodeTable& book, int peers, int ownRank,
                     std::uint64_t seed, Edges edges)
    : known_(known),
      book_(book),
      edges_(std::move(edges)),
      confirmation_(peers, ownRank, seed),
      nonce_(static_cast<std::uint32_t>(seed ^ seed >> 32)) {
    if (edges_.tell && peers > 1) askTimer_.arm(kAskPeersAfterMs, [this] { ask(); });
}

void StartList::heard() {
    heard_ = true;
    wordAt_ = io::nowMs();
    askTimer_.cancel();
    settleTimer_.cancel();
}

void StartList::ask() {
    for (const int rank : confirmation_.peersToQuery())
        edges_.tell(rank, peer::pack(peer::MembershipQuery{nonce_}));
    askTimer_.arm(confirmation_.retryDelayMs(), [this] { ask(); });
}

bool StartList::onPeer(int from, std::string_view bytes) {
    if (const auto query = peer::readMembershipQuery(bytes)) {
        answer(from, *query);
        return true;
    }
    const auto part = peer::readMembershipPart(bytes);
    if (part && !heard_ && part->nonce == nonce_) take(from, *part);
    return part.has_value();
}

// One that knows no more than its own configuration has nothing to say.
void StartList::answer(int to, const peer::MembershipQuery& query) {
    if (!wordAt_ || !edges_.tell) return;
    const double now = io::nowMs();
    std::vector<peer::Member> members;
    for (const auto& [node, startedAt] : book_.usableNodes())
        members.push_back({peer::idDigest(node), startedAt > 0 ? now - startedAt : peer::kOldestAgeMs});
    peer::MembershipPart head;
    head.nonce = query.nonce;
    head.listVersion = static_cast<std::uint32_t>(book_.version());
    head.wordAgeMs = now - *wordAt_;
    for (const auto& bytes : peer::packMembership(head, members)) edges_.tell(to, bytes);
}

void StartList::take(int from, const peer::MembershipPart& part) {
    if (confirmation_.addPart(from, part, io::nowMs())) settle();
}

void StartList::settle() {
    const double wait = confirmation_.remainingWaitMs(io::nowMs());
    if (wait < 0) return;
    settleTimer_.arm(wait, [this] {
        if (const auto nodes = confirmation_.confirmedNodes(io::nowMs())) confirm(*nodes);
    });
}

// An answer that comes later may take nodes away.
void StartList::confirm(const registry::ConfirmedNodes& nodes) {
    askTimer_.cancel();
    if (heard_ || (std::exchange(any_, true) && nodes.startedAt == used_)) return;
    used_ = nodes.startedAt;
    wordAt_ = nodes.lastContactAt;
    registry::Endpoints list;
    list.revision = known_.revision;
    list.complete = true;
    for (const auto& entry : known_.entries) {
        const auto found = nodes.startedAt.find(peer::idDigest(entry.node));
        const auto address = known_.addresses.find(entry.node);
        if (found == nodes.startedAt.end() || address == known_.addresses.end()) continue;
        list.entries.push_back(entry);
        list.addresses.insert(*address);
        if (found->second > 0) book_.setEarliestStart(entry.node, found->second);
    }
    edges_.confirmed(std::move(list));
}

}  // namespace spokewheel::platform
