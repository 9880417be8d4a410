#include "platform/startup_node_list.hpp"

#include <utility>
#include <vector>

#include "platform/decide_start.hpp"

namespace spokewheel::platform {

namespace peer = wire::peer;

StartupNodeList::StartupNodeList(const registry::Endpoints& known, registry::NodeTable& nodeTable, int peers,
                                 int ownRank, std::uint64_t seed, Callbacks callbacks)
    : known_(known),
      nodeTable_(nodeTable),
      callbacks_(std::move(callbacks)),
      confirmation_(peers, ownRank, seed),
      nonce_(static_cast<std::uint32_t>(seed ^ seed >> 32)) {
    if (callbacks_.sendToPeer && peers > 1) askTimer_.arm(kAskPeersAfterMs, [this] { askPeers(); });
}

void StartupNodeList::onAgentAnswered() {
    agentAnswered_ = true;
    lastListContactAt_ = io::nowMs();
    askTimer_.cancel();
    confirmTimer_.cancel();
}

void StartupNodeList::askPeers() {
    for (const int rank : confirmation_.witnessesToAsk())
        callbacks_.sendToPeer(rank, peer::pack(peer::VouchQuery{nonce_}));
    for (const int rank : confirmation_.peersToQuery())
        callbacks_.sendToPeer(rank, peer::pack(peer::MembershipQuery{nonce_}));
    askTimer_.arm(confirmation_.retryDelayMs(), [this] { askPeers(); });
}

bool StartupNodeList::onPeerMessage(int from, std::string_view bytes) {
    if (const auto query = peer::readMembershipQuery(bytes)) {
        answerQuery(from, *query);
        return true;
    }
    if (const auto vouch = peer::readVouch(bytes)) {
        if (!agentAnswered_ && vouch->nonce == nonce_) onVouch(from);
        return true;
    }
    const auto part = peer::readMembershipPart(bytes);
    if (part && !agentAnswered_ && part->nonce == nonce_) onAnswerPart(from, *part);
    return part.has_value();
}

// Only a process whose own list service has answered does: it has taken into account what it was told of
// changes since, and another may have forgotten it at its start.
void StartupNodeList::answerQuery(int to, const peer::MembershipQuery& query) {
    if (!lastListContactAt_ || !callbacks_.sendToPeer) return;
    const double now = io::nowMs();
    std::vector<peer::Member> members;
    for (const auto& [node, startedAt] : nodeTable_.usableNodes())
        members.push_back({peer::idDigest(node), startedAt > 0 ? now - startedAt : peer::kMaxAgeMs});
    peer::MembershipPart head;
    head.nonce = query.nonce;
    head.listVersion = static_cast<std::uint32_t>(nodeTable_.version());
    head.lastContactAgeMs = now - *lastListContactAt_;
    for (const auto& bytes : peer::packMembership(head, members)) callbacks_.sendToPeer(to, bytes);
}

void StartupNodeList::onVouch(int from) {
    if (!confirmation_.addVouch(from, io::nowMs())) return;
    callbacks_.sendToPeer(from, peer::pack(peer::MembershipQuery{nonce_}));
    scheduleConfirmation();
}

void StartupNodeList::onAnswerPart(int from, const peer::MembershipPart& part) {
    if (confirmation_.addPart(from, part, io::nowMs())) scheduleConfirmation();
}

void StartupNodeList::scheduleConfirmation() {
    const double wait = confirmation_.remainingWaitMs(io::nowMs());
    if (wait < 0) return;
    confirmTimer_.arm(wait, [this] {
        if (const auto nodes = confirmation_.confirmedNodes(io::nowMs())) applyConfirmed(*nodes);
    });
}

// May run again: a later answer can withdraw nodes that were confirmed before.
void StartupNodeList::applyConfirmed(const registry::ConfirmedNodes& nodes) {
    askTimer_.cancel();
    if (agentAnswered_ || (std::exchange(applied_, true) && nodes.startedAt == appliedStarts_)) return;
    appliedStarts_ = nodes.startedAt;
    registry::Endpoints list;
    list.revision = known_.revision;
    list.complete = true;
    for (const auto& entry : known_.entries) {
        const auto found = nodes.startedAt.find(peer::idDigest(entry.node));
        const auto address = known_.addresses.find(entry.node);
        if (found == nodes.startedAt.end() || address == known_.addresses.end()) continue;
        list.entries.push_back(entry);
        list.addresses.insert(*address);
        if (found->second > 0) nodeTable_.setEarliestStart(entry.node, found->second);
    }
    callbacks_.onConfirmed(std::move(list));
}

}  // namespace spokewheel::platform
