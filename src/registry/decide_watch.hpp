// Decides when a watch of the platform's list counts as broken, when another connection is opened, and from
// which revision it continues. Free of I/O and clocks; times are milliseconds.
//
// The platform requires that changes missed while a watch was silent are known 6 s after it fell silent, and
// 4 s after the list service moved. A live watch sends an empty line every 2 s, so a watch without a complete
// line for 2.6 s has been silent for at most that long. Two attempts of 1 s and 1.3 s may then fail before
// the third one has to succeed.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <tuple>
#include <vector>

namespace spokewheel::registry {

// Why a connection was given up, or another was opened beside it; counted in the pulse event of the log.
enum class WatchFault {
    Unreachable,  // could not connect
    Closed,       // the connection ended or broke
    Status,       // a status other than 200
    Unreadable,   // the data is not a valid list
    Silent,       // no complete line in time: another connection is opened beside it
    Count
};
inline const char* nameOf(WatchFault fault) {
    static constexpr const char* kNames[] = {"unreachable", "closed", "status", "unreadable", "silent"};
    return kNames[static_cast<std::size_t>(fault)];
}

// The state of a watch that outlives its connections: the revision to continue from and the retry delays.
class WatchState {
  public:
    WatchState(std::int64_t revision, std::uint64_t seed) : random_(seed), revision_(revision) {}
    // The revision to continue from; negative: request the full list.
    std::int64_t resumeRevision() const { return revision_; }
    // Returns whether a received list is to be applied: a full list always (the service may have lost its
    // state), changes only if they are newer than the known revision.
    bool accept(std::int64_t revision, bool complete) {
        if (!complete && revision <= revision_) return false;
        revision_ = revision;
        return true;
    }
    // The service answered, or another one is to be contacted: retries start over with the shortest delays.
    void resetDelays() { attempts_ = failures_ = 0; }
    // Received data was unreadable, so changes may be missing.
    void requestFullList() { revision_ = -1; }
    // How long a new connection may take to deliver the response head before another one is opened beside it.
    // The time grows a little with each attempt, because all schedulers query a list service that stays down.
    double nextAttemptTimeoutMs() {
        const double wait = std::min(kMaxAttemptMs, kFirstAttemptMs + kAttemptStepMs * attempts_);
        ++attempts_;
        return wait * (1 - kJitter * uniform());
    }
    // Delay after a refused or broken connection while no other is open. The agent runs on the same machine,
    // so frequent retries are cheap.
    double nextReconnectDelayMs() {
        const double most =
            std::min(kMaxReconnectMs, kFirstReconnectMs * static_cast<double>(1u << std::min(failures_, 5u)));
        ++failures_;
        return most * (1 - 0.5 * uniform());
    }
    static constexpr double kSilentMs = 2600;
    // A silent old connection is kept open beside the new attempts, because it may be the first to deliver
    // data when the list service recovers.
    static constexpr std::size_t kMaxConnections = 3;
    // A list of 3,200 members, indented by four, takes 0.8 MiB with ids of the usual length.
    static constexpr std::size_t kMaxObjectBytes = 4 * 1024 * 1024;
    // A list that arrives slowly does not count as silence, as long as at least kProgressBytes of it arrive
    // within kSilentMs and it takes no longer than kSlowListMs: a few bytes now and then are not progress.
    static constexpr std::size_t kProgressBytes = 2048;
    static constexpr double kSlowListMs = 30000;
    // An open connection, as far as it matters for choosing which one to close.
    struct Candidate {
        double openedAt = 0;
        std::size_t received = 0;  // bytes of an incomplete list
        bool onTime = false;       // its timeout has not passed
    };
    // Returns the index of the connection to close so that another can be opened. `open` is sorted by age,
    // oldest first. Connections that are on time are closed last, and before them those that have received
    // most of a list. Among the others the newest is closed, because an overloaded list service answers in
    // order: the original connection and the first attempt after it are kept until they are kKeepOldestMs
    // old.
    static std::size_t connectionToClose(const std::vector<Candidate>& open, double nowMs) {
        const auto rank = [&](std::size_t i) {
            const auto& c = open[i];
            const bool retained = i < kRetained && nowMs - c.openedAt <= kKeepOldestMs;
            const int priority = c.onTime ? 3 : c.received > 0 ? 2 : retained ? 1 : 0;
            return std::make_tuple(priority, c.received, i);
        };
        std::size_t lowest = 0;
        for (std::size_t i = 1; i < open.size(); ++i)
            if (rank(i) < rank(lowest)) lowest = i;
        return lowest;
    }

  private:
    static constexpr double kFirstAttemptMs = 1000, kAttemptStepMs = 300, kMaxAttemptMs = 1600, kJitter = 0.1;
    static constexpr double kFirstReconnectMs = 50, kMaxReconnectMs = 800;
    static constexpr double kKeepOldestMs = 12000;
    static constexpr std::size_t kRetained = 2;
    double uniform() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }
    std::mt19937_64 random_;
    std::int64_t revision_;
    unsigned attempts_ = 0, failures_ = 0;
};

}  // namespace spokewheel::registry
