// When a watch is opened again, what is asked for then, and when silence counts as its end. Free of I/O and
// clocks.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

namespace spokewheel::registry {

class Watch {
  public:
    Watch(std::int64_t revision, std::uint64_t seed) : random_(seed), revision_(revision) {}
    // The revision to go on from; below zero: the whole list is wanted.
    std::int64_t from() const { return revision_; }
    // Whether what came is news: whole lists always are (the past may have been lost), changes only where
    // they are later than what is known.
    bool take(std::int64_t revision, bool complete) {
        failures_ = 0;
        if (!complete && revision <= revision_) return false;
        revision_ = revision;
        return true;
    }
    void heard() { failures_ = 0; }
    // What came could not be read: something is missing now, so the whole list is asked for.
    void lost() { revision_ = -1; }
    // The agent is on the same machine: it costs little to ask it again soon.
    double againMs() {
        const double most = std::min(kMostMs, kFirstMs * static_cast<double>(1u << std::min(failures_, 5u)));
        ++failures_;
        return most * (0.5 + 0.5 * static_cast<double>(random_() >> 11) / 9007199254740992.0);
    }
    // An empty line comes every 2 s: after three of them missing the connection is taken for dead.
    static constexpr double kFirstMs = 50, kMostMs = 1000, kSilentMs = 7000, kConnectMs = 1000;
    static constexpr std::size_t kMostLine = 1024 * 1024;

  private:
    std::mt19937_64 random_;
    std::int64_t revision_;
    unsigned failures_ = 0;
};

}  // namespace spokewheel::registry
