// When a volume's requests go to the module and when a refused one is made anew. Free of I/O and clocks:
// times are handed in, in milliseconds.
//
// A refusal says that nothing was done and that trying again is harmless. Asking again at once would only be
// refused again, and the client that hears of it ends with files missing, where a person expects it to slow
// down. So what a volume has out at one host, in units, stays under a window:
//  - with a limit it starts at the host's even part of what the limit lets out within the shortest aim, and
//    grows to the whole of that, for the volume may work through this host alone. The module serves what can
//    still meet its aim first: of more than that, the oldest would be overtaken until their time is up;
//  - it grows by one largest request for each window served, and is cut in half by a refusal, where those
//    that were out together count as one sign;
//  - without a limit there is none until the first refusal.
// One request is always allowed out, else a volume could never go on.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <string>

namespace spokewheel::fronts {

class VolumeWindow {
  public:
    struct Figures {
        double limit = 0;                       // units a second over all hosts; 0: none
        int hosts = 1;                          // through which the volume works
        double topUnits = 1;                    // of one request
        double aimMs = 500, deadlineMs = 1000;  // the shortest of the classes in use
    };
    explicit VolumeWindow(const Figures& f) : f_(f), window_(kNone) {
        if (f.limit <= 0) return;
        const double fits = f.limit * f.aimMs / 1000;
        window_ = std::max(kLeastRequests * f.topUnits, fits / std::max(1, f.hosts));
        most_ = std::max(window_, fits);
    }
    // Whether a request may go out now. dueMs() tells from when on one may where only time is missing.
    bool maySend(double units, double nowMs) const {
        return nowMs >= resumeMs_ && (out_ <= 0 || out_ + units <= window_);
    }
    double resumeAtMs() const { return resumeMs_; }
    void onSent(double units) { out_ += units; }
    void onEnded(double units) { out_ = std::max(0.0, out_ - units); }
    void onServed(double units, int shard, double nowMs) {
        onEnded(units);
        inRow_ = 0;
        lastServed_[shard] = servedMs_ = nowMs;
        if (window_ < kNone) window_ = std::min(most_, window_ + f_.topUnits * units / window_);
        // Without a limit and refused long ago: the narrowing has served its purpose.
        if (f_.limit <= 0 && nowMs - cutMs_ > kForgetMs) window_ = kNone;
    }
    // Whether to make the refused request anew. Where not, waiting can't cure it, and it narrows nothing: the
    // node that holds the data (shard -1: any) is the reason, not the volume's pace. Without a limit that is
    // so where it served nothing while this request was out; with one, where it has served nothing for long,
    // since a volume at its limit may get nothing from one node for a while.
    bool onRefused(double units, int shard, double sentMs, double firstRefusedMs, double holdOffMs,
                   double nowMs) {
        const double before = out_;
        onEnded(units);
        const auto last = lastServed_.find(shard);
        const double lately = shard < 0 ? servedMs_ : last == lastServed_.end() ? kNever : last->second;
        if (f_.limit <= 0 ? lately < sentMs
                          : nowMs - std::max(lately, firstRefusedMs) > kHopeless * f_.deadlineMs)
            return false;
        if (nowMs - cutMs_ > f_.deadlineMs / 2) {
            window_ = std::max(f_.topUnits, std::min(window_, before) / 2);
            cutMs_ = nowMs;
        }
        // Ever longer while nothing is served, so that a volume that is refused at once is not asked for in
        // a tight circle.
        const double hold = std::max(holdOffMs, kLeastHoldMs * static_cast<double>(1u << inRow_));
        inRow_ = std::min(inRow_ + 1, 6u);
        resumeMs_ = std::max(resumeMs_, nowMs + std::min(hold, kMostHoldMs));
        return true;
    }
    double window() const { return window_; }
    double out() const { return out_; }

  private:
    static constexpr double kNone = 1e18, kNever = -1e18, kLeastRequests = 2, kLeastHoldMs = 50,
                            kMostHoldMs = 2000, kForgetMs = 10000, kHopeless = 2;
    Figures f_;
    double window_, most_ = kNone, out_ = 0, resumeMs_ = 0, cutMs_ = kNever, servedMs_ = kNever;
    unsigned inRow_ = 0;                // refusals since something was served
    std::map<int, double> lastServed_;  // by shard
};

// Whose request is next: that of the session which has had the fewest units, one that comes new or comes back
// starting level with the least of those that wait.
class FairQueue {
  public:
    void add(std::uint64_t session, std::uint64_t ask, bool atFront = false) {
        auto& s = sessions_[session];
        if (s.asks.empty()) s.had = std::max(s.had, least());
        if (atFront) s.asks.push_front(ask);
        else s.asks.push_back(ask);
        ++size_;
    }
    bool empty() const { return size_ == 0; }
    std::size_t size() const { return size_; }
    // The next ask; the caller takes it off with pass().
    std::uint64_t front() const { return first()->second.asks.front(); }
    void pop(double units) {
        const auto it = first();
        it->second.had += units;
        it->second.asks.pop_front();
        --size_;
    }
    void remove(std::uint64_t session, std::uint64_t ask) {
        const auto found = sessions_.find(session);
        if (found == sessions_.end()) return;
        auto& asks = found->second.asks;
        const auto at = std::find(asks.begin(), asks.end(), ask);
        if (at == asks.end()) return;
        asks.erase(at);
        --size_;
    }
    void removeSession(std::uint64_t session) {
        const auto found = sessions_.find(session);
        if (found == sessions_.end()) return;
        size_ -= found->second.asks.size();
        sessions_.erase(found);
    }

  private:
    struct One {
        double had = 0;
        std::deque<std::uint64_t> asks;
    };
    using Map = std::map<std::uint64_t, One>;
    Map::iterator first() const {
        auto best = sessions_.end();
        for (auto it = sessions_.begin(); it != sessions_.end(); ++it)
            if (!it->second.asks.empty() && (best == sessions_.end() || it->second.had < best->second.had))
                best = it;
        return best;
    }
    double least() const {
        const auto it = first();
        return it == sessions_.end() ? 0 : it->second.had;
    }
    mutable Map sessions_;
    std::size_t size_ = 0;
};

}  // namespace spokewheel::fronts
