// Decides whether this process vouches for a peer that has been restarted while list services are silent:
// that the list service of the peer's machine can have learned nothing since the peer's previous process
// ended, so that what that process told its witnesses is all that is known there. Free of I/O and clocks;
// times are milliseconds on one clock.
//
// Each process sends its witnesses life signs for as long as it runs and has heard from its list service.
// Discovery falls silent for all list services at once. If it still spoke to this process after the peer's
// last sign, the peer's list service may have learned of changes that nobody alive was told of. To find out,
// this process asks its own list service as soon as the signs of a peer have stopped.
#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>

#include "wire/peer/membership.hpp"

namespace spokewheel::registry {

// How often life signs are sent.
constexpr double kLifeSignIntervalMs = 200;
// By how much a process may be delayed between two steps of what it does, by the platform's terms.
constexpr double kMaxHoldUpMs = 150;
// A peer may have lived for this long after its last sign.
constexpr double kLifeAfterSignMs = kLifeSignIntervalMs + kMaxHoldUpMs;
// A peer without a sign for this long has probably ended: at the least one sign is missing.
constexpr double kSignsStoppedMs = 2 * kLifeSignIntervalMs + 50;
// Asked later than this after the last sign, the list service's silence says too little of the time in
// between.
constexpr double kAskedWithinMs = kSignsStoppedMs + kLifeSignIntervalMs / 2 + kMaxHoldUpMs;
// A list service answers a new watch at once, as it runs on the same machine; one that has not by then is
// silent.
constexpr double kWatchAnswerMs = kMaxHoldUpMs + 50;
// An open watch receives a line every 2 s.
constexpr double kWatchLineIntervalMs = 2000;
// A watch without a line for longer has fallen silent.
constexpr double kOverdueMs = kWatchLineIntervalMs + kMaxHoldUpMs + wire::peer::kAgeUnitMs;

// Why this process does not vouch for a peer; for the log.
enum class VouchRefusal {
    None,            // it does
    NoSign,          // it has heard no sign of the peer's previous process
    HeardSince,      // its own list service has spoken since the peer ended
    AskedLate,       // its own list service was asked too long after the peer ended
    NotAsked,        // its own list service has not had the time to answer
    SilentBefore,    // its own list service had fallen silent before the peer's
    NoticesMissing,  // it lacks changes that the peer had told its witnesses
    Count
};
inline const char* nameOf(VouchRefusal refusal) {
    static constexpr const char* kNames[] = {"none",      "no_sign",       "heard_since",    "asked_late",
                                             "not_asked", "silent_before", "notices_missing"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(VouchRefusal::Count));
    return kNames[static_cast<std::size_t>(refusal)];
}

// Limits how often the list service is asked, as the signs of many peers may get lost.
class AskLimit {
  public:
    bool mayAsk(double nowMs) {
        if (last_) left_ = std::min(kBurst, left_ + (nowMs - *last_) / kRefillMs);
        last_ = nowMs;
        if (left_ < 1) return false;
        left_ -= 1;
        return true;
    }

  private:
    static constexpr double kBurst = 4, kRefillMs = 2000;
    double left_ = kBurst;
    std::optional<double> last_;
};

// What this process knows of its own list service.
struct OwnListService {
    std::optional<double> lastContactAt;  // nothing: it has not answered this process
    // Since when a new watch of it is without an answer; nothing if none is.
    std::optional<double> unansweredSince;
    std::int64_t revision = -1;  // of the list that it has sent
};

class PeerLives {
  public:
    void onSign(int peer, const wire::peer::LifeSign& sign, double nowMs) {
        auto& life = lives_[peer];
        life.lastSignAt = nowMs;
        life.lastContactAt = nowMs - sign.lastContactAgeMs;
        life.noticedRevision = sign.noticedRevision;
    }
    void onNotice(int peer, std::int64_t revision) {
        auto& heard = heardRevisions_[peer];
        heard = std::max(heard, revision);
    }
    VouchRefusal refusalFor(int peer, const OwnListService& own, double nowMs) const {
        const auto found = lives_.find(peer);
        if (found == lives_.end() || !own.lastContactAt) return VouchRefusal::NoSign;
        const auto& life = found->second;
        if (*own.lastContactAt > life.lastSignAt + kLifeAfterSignMs) return VouchRefusal::HeardSince;
        if (own.unansweredSince && *own.unansweredSince > life.lastSignAt + kAskedWithinMs)
            return VouchRefusal::AskedLate;
        if (!own.unansweredSince || nowMs - *own.unansweredSince < kWatchAnswerMs)
            return VouchRefusal::NotAsked;
        if (*own.lastContactAt < life.lastContactAt - kOverdueMs) return VouchRefusal::SilentBefore;
        const auto heard = heardRevisions_.find(peer);
        const std::int64_t heardRevision = heard == heardRevisions_.end() ? 0 : heard->second;
        if (std::max(own.revision, heardRevision) < life.noticedRevision) return VouchRefusal::NoticesMissing;
        return VouchRefusal::None;
    }
    // Whether the own list service is to be asked now: the signs of a peer have stopped, and it is not known
    // whether it still speaks.
    bool mustAsk(const OwnListService& own, double nowMs) const {
        if (!own.lastContactAt || own.unansweredSince) return false;
        return std::any_of(lives_.begin(), lives_.end(), [&](const auto& entry) {
            const double signAt = entry.second.lastSignAt;
            return nowMs - signAt >= kSignsStoppedMs && *own.lastContactAt <= signAt + kLifeAfterSignMs;
        });
    }

  private:
    struct Life {
        double lastSignAt = 0, lastContactAt = 0;
        std::int64_t noticedRevision = 0;
    };
    std::map<int, Life> lives_;  // by rank, as heardRevisions_: peers of the configuration only
    std::map<int, std::int64_t> heardRevisions_;
};

}  // namespace spokewheel::registry
