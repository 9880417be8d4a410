// Stands between the sessions and the store: what a volume can't be served yet waits here instead of being
// refused to the client. Order and pace are decided in decide_pace.hpp; this holds the queues and the timer.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fronts/decide_pace.hpp"
#include "fronts/store.hpp"

namespace spokewheel::fronts {

class RequestPacer {
  public:
    using After = std::function<std::shared_ptr<void>(double ms, std::function<void()>)>;
    // `now` in milliseconds. All three outlive it, and it outlives the stores it opens.
    RequestPacer(Store& inner, const config::DaemonSettings& settings, std::function<double()> now,
                 After after);
    ~RequestPacer();
    RequestPacer(const RequestPacer&) = delete;
    RequestPacer& operator=(const RequestPacer&) = delete;

    // How long a request is kept waiting for its turn or retried: `mostMs` after it was asked for in all,
    // and no longer than `quietMs` after its session was last served anything (0: no such bound). Then it is
    // refused. What it waits for while it is out, its class's deadline bounds.
    struct WaitLimits {
        double mostMs = 0, quietMs = 0;
    };
    // A session's own store: its requests share the volume's pace evenly with the other sessions'. What is
    // open when the store is let go is abandoned.
    std::unique_ptr<Store> openStore(const WaitLimits& bounds);

    struct Counters {
        std::uint64_t sent = 0, retried = 0, served = 0, refused = 0, gaveUp = 0;
    };
    const Counters& counters() const { return counters_; }
    std::size_t waiting() const;

  private:
    class Line;
    struct Ask {
        std::uint64_t session = 0;
        std::string volume, inner;  // inner: the id below, while it is out
        double units = 1, askedMs = 0, sentMs = 0, firstRefusedMs = -1;
        Line* line = nullptr;
        int shard = -1;
        bool out = false;
        std::function<std::string(std::uint64_t ask)> issue;
        std::function<void(std::uint64_t ask)> giveUp;  // tells its caller
    };
    struct Gate {
        explicit Gate(const VolumeWindow::Figures& figures) : pace(figures) {}
        VolumeWindow pace;
        FairQueue line;
        std::shared_ptr<void> alarm;
    };
    Gate& gateOf(const config::VolumeSettings& volume);
    std::uint64_t add(Ask ask, const config::VolumeSettings& volume);
    void pump(const std::string& volume);
    void sweep(const std::string& volume);
    bool overdue(const Ask& ask, double nowMs) const;
    void wake(Gate& gate, const std::string& volume, double ms);
    // True where the ask is at its end and its caller is to be told.
    bool settled(std::uint64_t ask, bool fine, bool refused, double holdOffMs);
    void abandon(std::uint64_t ask);
    double unitsOf(host::Operation op, std::uint64_t fileBytes, std::uint64_t bytes) const;

    Store& inner_;
    const config::DaemonSettings& settings_;
    std::function<double()> now_;
    After after_;
    host::ClassificationRules rules_;
    std::map<std::string, Gate> gates_;  // by volume
    std::map<std::uint64_t, Ask> asks_;
    std::uint64_t nextAsk_ = 0, nextSession_ = 0;
    Counters counters_;
};

}  // namespace spokewheel::fronts
