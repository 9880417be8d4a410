// Decides which nodes of the configured list a restarted process may use before its list service has
// answered: only those that peers confirm. Free of I/O and clocks; times are milliseconds.
//
// The configured list may be out of date: a node that it names may since have been drained, removed or
// restarted. The list service of this machine may have published that before it stopped answering, and
// whatever it published binds a process from its start. What it told the previous process here, that process
// told its witnesses; whether it can have learned of more since, they decide (decide_vouch.hpp), and without
// one that vouches for it nothing is confirmed. Peers that stayed up still know the list. A peer answers with
// the nodes that it considers usable and how long ago they started. Peers can only confirm nodes of the
// configured list, not add any, because the address of a node differs from one scheduler to the next.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "wire/peer/membership.hpp"

namespace spokewheel::registry {

// The ranks of the peers to which the process of rank `rank` tells changes, spread over all `peers`. Enough
// of them that one is left when most processes are killed at once.
inline std::vector<int> witnessesOf(int rank, int peers) {
    constexpr int kWitnesses = 8;
    const int stride = std::max(1, (peers - 1) / kWitnesses);
    std::vector<int> out;
    for (int k = 1; k <= std::min(kWitnesses, peers - 1); ++k) out.push_back((rank + k * stride) % peers);
    return out;
}

// The nodes that peers have confirmed so far, keyed by the digest of the node id.
struct ConfirmedNodes {
    std::map<std::uint64_t, double> startedAt;  // on the local monotonic clock; 0: long ago
    double lastContactAt = 0;                   // of the list service with the peers that answered
};

class Confirmation {
  public:
    Confirmation(int peers, int ownRank, std::uint64_t seed)
        : peers_(peers), ownRank_(ownRank), random_(seed), witnesses_(witnessesOf(ownRank, peers)) {}

    // Returns the ranks of the witnesses to ask now whether they vouch for this process.
    std::vector<int> witnessesToAsk() const {
        std::vector<int> out;
        for (const int rank : witnesses_)
            if (!vouchers_.count(rank)) out.push_back(rank);
        return out;
    }
    // A witness vouches for this process. Returns false if that is not new, or if it is no witness.
    bool addVouch(int from, double nowMs) {
        if (!contains(witnesses_, from) || !vouchers_.insert(from).second) return false;
        noteVouchedAnswer(from, nowMs);
        return true;
    }
    // Returns the ranks of the peers to query now; none before a witness vouches for this process. Up to half
    // of them are peers whose answer is incomplete, because one of its datagrams was lost. Then come those
    // that vouch and have not answered, in turn, and the last ones are drawn at random each time, since most
    // of the fleet may have been restarted too and have no answer to give.
    std::vector<int> peersToQuery() {
        std::vector<int> out;
        ++rounds_;
        if (vouchers_.empty()) return out;
        for (const auto& [rank, answer] : answers_)
            if (!answer.complete() && out.size() < kQueriesPerRound / 2) out.push_back(rank);
        for (std::size_t i = 0; i < witnesses_.size() && out.size() + 1 < kQueriesPerRound; ++i) {
            const int rank = witnesses_[nextWitness_++ % witnesses_.size()];
            if (vouchers_.count(rank) && !answers_.count(rank) && !contains(out, rank)) out.push_back(rank);
        }
        const std::size_t others = peers_ > 1 ? static_cast<std::size_t>(peers_ - 1) : 0;
        for (std::size_t draw = 0; draw < 4 * kQueriesPerRound; ++draw) {
            if (out.size() >= std::min(kQueriesPerRound, others)) break;
            const int rank = static_cast<int>(random_() % static_cast<std::uint64_t>(peers_));
            if (rank == ownRank_ || answers_.count(rank) || contains(out, rank)) continue;
            out.push_back(rank);
        }
        return out;
    }
    // Time until the next round of queries.
    double retryDelayMs() const { return rounds_ < kFastRounds ? kFastRetryMs : kSlowRetryMs; }

    // Records one datagram of the answer of peer `from`. Returns false if it was received before. A part that
    // belongs to another version of the peer's list discards the parts received so far.
    bool addPart(int from, const wire::peer::MembershipPart& part, double nowMs) {
        auto& answer = answers_[from];
        const double lastContactAt = nowMs - part.lastContactAgeMs;
        if (answer.parts != part.parts || answer.listVersion != part.listVersion) {
            answer = {};
            answer.parts = part.parts;
            answer.listVersion = part.listVersion;
        }
        answer.lastContactAt = std::max(answer.lastContactAt, lastContactAt);
        if (!answer.received.insert(part.part).second) return false;
        for (const auto& member : part.members)
            answer.startedAt[member.idDigest] =
                member.ageMs >= wire::peer::kMaxAgeMs ? 0 : nowMs - member.ageMs;
        noteVouchedAnswer(from, nowMs);
        return true;
    }
    // Time to wait for further answers until confirmedNodes() returns a result; negative while no witness
    // that vouches for this process has answered completely.
    double remainingWaitMs(double nowMs) const {
        if (firstVouchedAt_ < 0) return -1;
        return completeAnswers() >= kSufficientAnswers ? 0
                                                       : std::max(0.0, firstVouchedAt_ + kCollectMs - nowMs);
    }
    // Returns the nodes that all complete answers name; nullopt while remainingWaitMs() is not 0. Answers of
    // other peers than witnesses whose contact with the list service is more than kMaxLagMs older than the
    // latest one are ignored: the watch of such a peer broke earlier, so its list may be out of date.
    std::optional<ConfirmedNodes> confirmedNodes(double nowMs) const {
        if (remainingWaitMs(nowMs) != 0) return std::nullopt;
        double latest = -1e18;
        for (const auto& [rank, answer] : answers_)
            if (answer.complete()) latest = std::max(latest, answer.lastContactAt);
        ConfirmedNodes out;
        bool first = true;
        for (const auto& [rank, answer] : answers_) {
            const bool lags = answer.lastContactAt < latest - kMaxLagMs;
            if (!answer.complete() || (lags && !contains(witnesses_, rank))) continue;
            if (first) out = {answer.startedAt, answer.lastContactAt};
            else intersect(out, answer);
            first = false;
        }
        return out;
    }

    static constexpr std::size_t kQueriesPerRound = 4;

  private:
    struct Answer {
        std::uint16_t parts = 0;
        std::uint32_t listVersion = 0;
        double lastContactAt = -1e18;
        std::set<std::uint16_t> received;
        std::map<std::uint64_t, double> startedAt;
        bool complete() const { return parts > 0 && received.size() == parts; }
    };
    // An open watch receives a line every 2 s, so the last contacts of two peers that both know everything
    // may differ by that much.
    static constexpr double kMaxLagMs = 2600;
    static constexpr double kCollectMs = 150;
    static constexpr std::size_t kSufficientAnswers = 3;
    static constexpr double kFastRetryMs = 250, kSlowRetryMs = 1000;
    static constexpr int kFastRounds = 20;

    static bool contains(const std::vector<int>& ranks, int rank) {
        return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
    }
    void noteVouchedAnswer(int from, double nowMs) {
        const auto answer = answers_.find(from);
        const bool complete = answer != answers_.end() && answer->second.complete();
        if (complete && vouchers_.count(from) && firstVouchedAt_ < 0) firstVouchedAt_ = nowMs;
    }
    std::size_t completeAnswers() const {
        std::size_t count = 0;
        for (const auto& [rank, answer] : answers_) count += answer.complete();
        return count;
    }
    // Keeps the nodes that `answer` names too, each with the later of the two start times.
    static void intersect(ConfirmedNodes& to, const Answer& answer) {
        to.lastContactAt = std::min(to.lastContactAt, answer.lastContactAt);
        for (auto it = to.startedAt.begin(); it != to.startedAt.end();) {
            const auto found = answer.startedAt.find(it->first);
            if (found == answer.startedAt.end()) {
                it = to.startedAt.erase(it);
                continue;
            }
            it->second = std::max(it->second, found->second);
            ++it;
        }
    }

    int peers_, ownRank_, rounds_ = 0;
    std::mt19937_64 random_;
    std::vector<int> witnesses_;
    std::size_t nextWitness_ = 0;
    std::map<int, Answer> answers_;
    std::set<int> vouchers_;      // witnesses that vouch for this process
    double firstVouchedAt_ = -1;  // when the first of them had answered completely
};

}  // namespace spokewheel::registry
