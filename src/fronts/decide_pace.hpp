// How many requests of a volume one host may have open at its scheduler, whether a refused request is
// retried, and in which order sessions take their turns. Free of I/O and clocks: times are passed in, in
// milliseconds.
//
// A refusal means that nothing was done and a retry is harmless. But an immediate retry would just be refused
// again, and an rsync client that is told of a refusal ends with files missing, where its user expects it to
// slow down. So the units that a volume has open at one host are kept within a window:
//  - For a volume with a limit the window starts at the host's even share of what the limit lets through
//    within the shortest latency target. It may grow to the whole of that, as all clients of the volume may
//    use this host. It may not grow further: the scheduler serves those requests first that can still meet
//    their latency target, so the oldest would be overtaken until their deadlines pass.
//  - It grows by one largest request for each window served and is halved by a refusal. Refusals of requests
//    that were open together halve it once.
//  - Without a limit there is no window until the first refusal.
// One request may always be sent, or a volume could never make progress.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <string>

namespace spokewheel::fronts {

// The window of one volume at this host, adjusted by additive increase and multiplicative decrease.
class VolumeWindow {
  public:
    struct Parameters {
        double limit = 0;                                 // units per second over all hosts; 0: none
        int hosts = 1;                                    // number of hosts that serve the volume
        double maxUnits = 1;                              // of the largest request
        double latencyTargetMs = 500, deadlineMs = 1000;  // the shortest of the classes in use
    };
    explicit VolumeWindow(const Parameters& parameters) : parameters_(parameters), window_(kUnlimited) {
        if (parameters.limit <= 0) return;
        const double fits = parameters.limit * parameters.latencyTargetMs / 1000;
        window_ = std::max(kMinRequests * parameters.maxUnits, fits / std::max(1, parameters.hosts));
        maxWindow_ = std::max(window_, fits);
    }
    // Whether a request may be sent now. Where only the pause after a refusal forbids it, one may be sent
    // from resumeAtMs() on.
    bool maySend(double units, double nowMs) const {
        return nowMs >= resumeAtMs_ && (open_ <= 0 || open_ + units <= window_);
    }
    double resumeAtMs() const { return resumeAtMs_; }
    void onSent(double units) { open_ += units; }
    void onEnded(double units) { open_ = std::max(0.0, open_ - units); }
    void onServed(double units, int shard, double nowMs) {
        onEnded(units);
        refusalsInRow_ = 0;
        lastServedByShard_[shard] = lastServedMs_ = nowMs;
        if (window_ < kUnlimited)
            window_ = std::min(maxWindow_, window_ + parameters_.maxUnits * units / window_);
        // Without a limit the window ends once the last refusal is long ago.
        if (parameters_.limit <= 0 && nowMs - halvedAtMs_ > kForgetRefusalMs) window_ = kUnlimited;
    }
    // Whether to retry the refused request. If not, waiting can't help and the window stays as it is: the
    // cause is the node that holds the data (shard -1: any node), not the rate of the volume. Without a limit
    // that is assumed if the shard served nothing while this request was open; with a limit, if it has served
    // nothing for kDeadlinesWithoutService deadlines, since a volume at its limit may get nothing from one
    // node for a while.
    bool onRefused(double units, int shard, double sentMs, double firstRefusedMs, double retryAfterMs,
                   double nowMs) {
        const double before = open_;
        onEnded(units);
        const auto last = lastServedByShard_.find(shard);
        const double lastService = shard < 0                          ? lastServedMs_
                                   : last == lastServedByShard_.end() ? kNever
                                                                      : last->second;
        if (parameters_.limit <= 0 ? lastService < sentMs
                                   : nowMs - std::max(lastService, firstRefusedMs) >
                                         kDeadlinesWithoutService * parameters_.deadlineMs)
            return false;
        if (nowMs - halvedAtMs_ > parameters_.deadlineMs / 2) {
            window_ = std::max(parameters_.maxUnits, std::min(window_, before) / 2);
            halvedAtMs_ = nowMs;
        }
        // Exponential backoff while nothing is served, so that a volume whose requests are refused at once is
        // not retried in a tight loop.
        const double pause = std::max(retryAfterMs, kMinPauseMs * static_cast<double>(1u << refusalsInRow_));
        refusalsInRow_ = std::min(refusalsInRow_ + 1, 6u);
        resumeAtMs_ = std::max(resumeAtMs_, nowMs + std::min(pause, kMaxPauseMs));
        return true;
    }
    double window() const { return window_; }
    double openUnits() const { return open_; }

  private:
    static constexpr double kUnlimited = 1e18, kNever = -1e18, kMinRequests = 2, kMinPauseMs = 50,
                            kMaxPauseMs = 2000, kForgetRefusalMs = 10000, kDeadlinesWithoutService = 2;
    Parameters parameters_;
    double window_, maxWindow_ = kUnlimited, open_ = 0, resumeAtMs_ = 0, halvedAtMs_ = kNever,
                    lastServedMs_ = kNever;
    unsigned refusalsInRow_ = 0;  // since a request was last served
    std::map<int, double> lastServedByShard_;
};

// Fair queue of the sessions of one volume: the next request is of the session that has been given the fewest
// units. A session that is new or comes back starts level with the least of those that wait, so it has no
// claim on the time before.
class FairQueue {
  public:
    void add(std::uint64_t session, std::uint64_t request, bool atFront = false) {
        auto& one = sessions_[session];
        if (one.requests.empty()) one.givenUnits = std::max(one.givenUnits, leastGivenUnits());
        if (atFront) one.requests.push_front(request);
        else one.requests.push_back(request);
        ++size_;
    }
    bool empty() const { return size_ == 0; }
    std::size_t size() const { return size_; }
    // The next request; the caller removes it with pop(). The queue must not be empty.
    std::uint64_t front() const { return first()->second.requests.front(); }
    void pop(double units) {
        const auto it = first();
        it->second.givenUnits += units;
        it->second.requests.pop_front();
        --size_;
    }
    void remove(std::uint64_t session, std::uint64_t request) {
        const auto found = sessions_.find(session);
        if (found == sessions_.end()) return;
        auto& requests = found->second.requests;
        const auto at = std::find(requests.begin(), requests.end(), request);
        if (at == requests.end()) return;
        requests.erase(at);
        --size_;
    }
    void removeSession(std::uint64_t session) {
        const auto found = sessions_.find(session);
        if (found == sessions_.end()) return;
        size_ -= found->second.requests.size();
        sessions_.erase(found);
    }

  private:
    struct Session {
        double givenUnits = 0;
        std::deque<std::uint64_t> requests;
    };
    using Map = std::map<std::uint64_t, Session>;
    Map::iterator first() const {
        auto best = sessions_.end();
        for (auto it = sessions_.begin(); it != sessions_.end(); ++it)
            if (!it->second.requests.empty() &&
                (best == sessions_.end() || it->second.givenUnits < best->second.givenUnits))
                best = it;
        return best;
    }
    double leastGivenUnits() const {
        const auto it = first();
        return it == sessions_.end() ? 0 : it->second.givenUnits;
    }
    mutable Map sessions_;
    std::size_t size_ = 0;
};

}  // namespace spokewheel::fronts
