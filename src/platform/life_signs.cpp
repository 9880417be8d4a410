#include "platform/life_signs.hpp"

#include <algorithm>
#include <utility>

namespace spokewheel::platform {

namespace peer = wire::peer;
using registry::VouchRefusal;

namespace {

// After a delay of this process a query may be read before what the list service has sent.
constexpr double kAnswerDelayMs = 20;

}  // namespace

LifeSigns::LifeSigns(std::vector<int> witnesses, Callbacks callbacks)
    : witnesses_(std::move(witnesses)), callbacks_(std::move(callbacks)) {
    tick(true);
}

void LifeSigns::onNoticeSent(std::int64_t revision) {
    noticedRevision_ = std::max(noticedRevision_, revision);
}

// Whether the signs of a peer have stopped is looked at twice as often as signs are sent.
void LifeSigns::tick(bool sendsSigns) {
    const auto own = callbacks_.ownListService();
    if (sendsSigns && own.lastContactAt) sendSigns(*own.lastContactAt);
    askIfDue();
    timer_.arm(registry::kLifeSignIntervalMs / 2, [this, sendsSigns] { tick(!sendsSigns); });
}

void LifeSigns::sendSigns(double lastContactAt) {
    const auto bytes = peer::pack(peer::LifeSign{io::nowMs() - lastContactAt, noticedRevision_});
    for (const int rank : witnesses_) callbacks_.sendToPeer(rank, bytes);
}

void LifeSigns::askIfDue() {
    const double now = io::nowMs();
    if (lives_.mustAsk(callbacks_.ownListService(), now) && askLimit_.mayAsk(now))
        callbacks_.askListService();
}

bool LifeSigns::onPeerMessage(int from, std::string_view bytes) {
    if (const auto sign = peer::readLifeSign(bytes)) {
        lives_.onSign(from, *sign, io::nowMs());
        return true;
    }
    const auto query = peer::readVouchQuery(bytes);
    if (!query) return false;
    queries_[from] = *query;
    if (!answerTimer_.armed()) answerTimer_.arm(kAnswerDelayMs, [this] { answerQueries(); });
    return true;
}

void LifeSigns::answerQueries() {
    for (const auto& [rank, query] : std::exchange(queries_, {})) answer(rank, query);
}

// Where this process can't vouch for the peer yet, the peer asks again.
void LifeSigns::answer(int rank, const peer::VouchQuery& query) {
    askIfDue();
    const auto refusal = lives_.refusalFor(rank, callbacks_.ownListService(), io::nowMs());
    if (refusal == VouchRefusal::None) callbacks_.sendToPeer(rank, peer::pack(peer::Vouch{query.nonce}));
    const auto known = decided_.find(rank);
    if (known != decided_.end() && known->second == refusal) return;
    decided_[rank] = refusal;
    callbacks_.onDecided(rank, refusal);
}

}  // namespace spokewheel::platform
