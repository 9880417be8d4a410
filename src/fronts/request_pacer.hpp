// Between the sessions and the store: requests that a volume can't be served yet wait here, and refused ones
// are retried, so that the client sees a delay and not a refusal. decide_pace.hpp decides when and in which
// order requests are sent; this class holds the queues and the timers.
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
    // Calls the function once after `ms`, unless the returned object is destroyed before.
    using After = std::function<std::shared_ptr<void>(double ms, std::function<void()>)>;
    // `now` returns milliseconds. `inner`, `settings` and what `now` and `after` refer to must outlive the
    // pacer, and the pacer the stores that it opens.
    RequestPacer(Store& inner, const config::DaemonSettings& settings, std::function<double()> now,
                 After after);
    ~RequestPacer();
    RequestPacer(const RequestPacer&) = delete;
    RequestPacer& operator=(const RequestPacer&) = delete;

    // A request that waits for its turn or for a retry is refused to its caller `totalMs` after it was made,
    // or `unservedMs` after its session was last served anything (0: no such limit). While it is open at the
    // inner store, its class's deadline applies.
    struct WaitLimits {
        double totalMs = 0, unservedMs = 0;
    };
    // A store for one session. Its requests share the volume's window fairly with those of other sessions.
    // Requests that are open when the store is destroyed are abandoned.
    std::unique_ptr<Store> openStore(const WaitLimits& limits);

    // `sent`: first sends; `retried`: sends after a refusal; `refused`: refusals by the inner store;
    // `gaveUp`: requests refused to the caller.
    struct Counters {
        std::uint64_t sent = 0, retried = 0, served = 0, refused = 0, gaveUp = 0;
    };
    const Counters& counters() const { return counters_; }
    // Number of requests that are queued, not counting those open at the inner store.
    std::size_t waiting() const;

  private:
    class SessionStore;
    struct PacedRequest {
        std::uint64_t session = 0;
        std::string volume, innerId;  // innerId: the id at `inner_` while it is open there
        double units = 1, createdMs = 0, sentMs = 0, firstRefusedMs = -1;
        SessionStore* store = nullptr;
        int shard = -1;
        bool sent = false;                                  // and not settled yet
        std::function<std::string(std::uint64_t id)> send;  // returns the id at `inner_`
        std::function<void(std::uint64_t id)> refuse;       // to its caller
    };
    struct VolumeQueue {
        explicit VolumeQueue(const VolumeWindow::Parameters& parameters) : window(parameters) {}
        VolumeWindow window;
        FairQueue requests;
        std::shared_ptr<void> timer;
    };
    VolumeQueue& queueOf(const config::VolumeSettings& volume);
    std::uint64_t add(PacedRequest request, const config::VolumeSettings& volume);
    void sendAllowed(const std::string& volume);
    void refuseExpired(const std::string& volume);
    bool expired(const PacedRequest& request, double nowMs) const;
    void armTimer(VolumeQueue& queue, const std::string& volume, double ms);
    // Returns whether the request is finished and its caller must be given the result; if not, it is retried.
    bool settle(std::uint64_t id, bool ok, bool refused, double retryAfterMs);
    void abandon(std::uint64_t id);
    double unitsOf(host::Operation op, std::uint64_t fileBytes, std::uint64_t bytes) const;

    Store& inner_;
    const config::DaemonSettings& settings_;
    std::function<double()> now_;
    After after_;
    host::ClassificationRules rules_;
    std::map<std::string, VolumeQueue> queues_;  // by volume
    std::map<std::uint64_t, PacedRequest> requests_;
    std::uint64_t nextId_ = 0, nextSession_ = 0;
    Counters counters_;
};

}  // namespace spokewheel::fronts
