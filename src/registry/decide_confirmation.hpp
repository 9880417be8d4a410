// Which nodes of a remembered list may be used before the list service has spoken to this process: those that
// peers confirm. Free of I/O and clocks; times are milliseconds.
//
// A remembered list (the configuration's) may miss a node that drains, is gone or started anew, although the
// machine's list service had that word before it fell silent, and such a word counts as told from the first
// moment of a process. Nothing on this machine knows better then; peers that stayed up do. A peer's answer
// names the nodes that it takes as usable, and how long ago they started. Peers only ever confirm what is
// remembered: a node's address differs from one scheduler to the next, so they can't add one.
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

// What peers confirm by now, by digest of the id.
struct ConfirmedNodes {
    std::map<std::uint64_t, double> startedAt;  // by the own clock; 0: long ago
    double lastContactAt = 0;                   // when the list service spoke last to the peers that answered
};

class Confirmation {
  public:
    Confirmation(int peers, int ownRank, std::uint64_t seed)
        : peers_(peers), ownRank_(ownRank), random_(seed) {}

    // The peers to ask now. Up to half are such whose answer is incomplete, for a lost datagram is asked for
    // again; the others are drawn anew each time, since most of a fleet may have been restarted too.
    std::vector<int> peersToQuery() {
        std::vector<int> out;
        for (const auto& [rank, answer] : answers_)
            if (!answer.complete() && out.size() < kAskedAtOnce / 2) out.push_back(rank);
        const std::size_t others = peers_ > 1 ? static_cast<std::size_t>(peers_ - 1) : 0;
        for (std::size_t tries = 0; tries < 4 * kAskedAtOnce; ++tries) {
            if (out.size() >= std::min(kAskedAtOnce, others)) break;
            const int rank = static_cast<int>(random_() % static_cast<std::uint64_t>(peers_));
            if (rank == ownRank_ || answers_.count(rank) || contains(out, rank)) continue;
            out.push_back(rank);
        }
        ++rounds_;
        return out;
    }
    // Until they are asked again.
    double retryDelayMs() const { return rounds_ < kFastRounds ? kAskAgainMs : kAskAgainLateMs; }

    // A part of a peer's answer. False: it changes nothing.
    bool addPart(int from, const wire::peer::MembershipPart& part, double nowMs) {
        auto& answer = answers_[from];
        const double wordAt = nowMs - part.wordAgeMs;
        if (answer.parts != part.parts || answer.listVersion != part.listVersion) {
            answer = {};
            answer.parts = part.parts;
            answer.listVersion = part.listVersion;
        }
        answer.wordAt = std::max(answer.wordAt, wordAt);
        if (!answer.received.insert(part.part).second) return false;
        for (const auto& member : part.members)
            answer.startedAt[member.idDigest] =
                member.ageMs >= wire::peer::kOldestAgeMs ? 0 : nowMs - member.ageMs;
        if (answer.complete() && completeAt_ < 0) completeAt_ = nowMs;
        return true;
    }
    // How long to wait for more answers before confirmedNodes() has one; below zero: none is complete.
    double remainingWaitMs(double nowMs) const {
        if (completeAt_ < 0) return -1;
        return complete() >= kEnoughAnswers ? 0 : std::max(0.0, completeAt_ + kSettleMs - nowMs);
    }
    // What every complete answer names whose sender has heard about as much as the best of them: one whose
    // watch was broken before the others' is behind, and what it names may be out of date.
    std::optional<ConfirmedNodes> confirmedNodes(double nowMs) const {
        if (remainingWaitMs(nowMs) != 0) return std::nullopt;
        double latest = -1e18;
        for (const auto& [rank, answer] : answers_)
            if (answer.complete()) latest = std::max(latest, answer.wordAt);
        ConfirmedNodes out;
        bool first = true;
        for (const auto& [rank, answer] : answers_) {
            if (!answer.complete() || answer.wordAt < latest - kBehindMs) continue;
            if (first) out = {answer.startedAt, answer.wordAt};
            else restrict(out, answer);
            first = false;
        }
        return out;
    }

    static constexpr std::size_t kAskedAtOnce = 4;

  private:
    struct Answer {
        std::uint16_t parts = 0;
        std::uint32_t listVersion = 0;
        double wordAt = -1e18;
        std::set<std::uint16_t> received;
        std::map<std::uint64_t, double> startedAt;
        bool complete() const { return parts > 0 && received.size() == parts; }
    };
    // An open watch says a line every 2 s: of two peers that heard all there was one may look that much
    // later.
    static constexpr double kBehindMs = 2600;
    static constexpr double kSettleMs = 150;
    static constexpr std::size_t kEnoughAnswers = 3;
    static constexpr double kAskAgainMs = 250, kAskAgainLateMs = 1000;
    static constexpr int kFastRounds = 20;

    static bool contains(const std::vector<int>& ranks, int rank) {
        return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
    }
    std::size_t complete() const {
        std::size_t count = 0;
        for (const auto& [rank, answer] : answers_) count += answer.complete();
        return count;
    }
    static void restrict(ConfirmedNodes& to, const Answer& answer) {
        to.lastContactAt = std::min(to.lastContactAt, answer.wordAt);
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
    std::map<int, Answer> answers_;
    double completeAt_ = -1;
};

}  // namespace spokewheel::registry
