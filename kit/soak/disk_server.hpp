// A disk server of the soak with one port for each scheduler: executes attempts at a limited rate, responds
// with random faults, and records what it observes. A port stands for the network between the two: it splits,
// delays, cuts and drops what passes.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kit/soak/reactor.hpp"
#include "kit/soak/setting.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::soak {

class DiskServer {
  public:
    struct Identity {
        std::string id, zone;
        int cell = 0;
    };
    enum class Mode {
        Serving,
        Hanging,      // accepts requests and never executes them
        Unreachable,  // partitioned from every scheduler
        Crashed       // connections are reset, new ones refused
    };
    DiskServer(Reactor& reactor, Random& random, EventSink record, Identity identity, std::vector<int> ports,
               Settings settings = {});
    ~DiskServer();
    DiskServer(const DiskServer&) = delete;
    DiskServer& operator=(const DiskServer&) = delete;

    const Identity& identity() const { return identity_; }
    int portFor(int scheduler) const { return ports_[static_cast<std::size_t>(scheduler)]; }
    void setMode(Mode mode);
    Mode mode() const { return mode_; }
    void setDraining(bool draining) { draining_ = draining; }
    bool draining() const { return draining_; }
    // Whether a request that arrives now can be served: it accepts requests, does not drain, and is warm.
    bool healthy() const { return mode_ == Mode::Serving && !draining_ && !cold(); }
    // Whether some responses are malformed, cut off or refusals. On by default.
    void setRandomFaults(bool enabled) { randomFaults_ = enabled; }
    // Responds at once, whatever its load and even while cold, so that only what the list says of it slows
    // down a scheduler.
    void setInstant(bool instant) { instant_ = instant; }
    // While partitioned, nothing passes between it and the scheduler. Afterwards the connections are reset.
    void setPartitioned(int scheduler, bool partitioned);
    // While true, the first SYN of each new connection is dropped. TCP sends it again a second later.
    void setDropSyns(bool drop);
    // Resets the connections of the next `count` requests that arrive in several parts, after their first
    // part.
    void resetNextUploads(int count) { uploadsToReset_ = count; }
    int uploadsToReset() const { return uploadsToReset_; }
    // Answers that come twice or never end, from now on.
    struct UnsoundAnswers {
        double oneWayMs = 0;      // that the network takes to and from the server
        double copyShare = 0;     // of the answers that are sent again, as long as nothing else came
        double mostLateMs = 0;    // after the answer
        double endlessShare = 0;  // of the answers that never end
    };
    // Draws with numbers of its own, so that the other faults of a seed stay as they are.
    void setUnsoundAnswers(const UnsoundAnswers& answers, std::uint64_t seed);
    // Crashes and starts again, cold.
    void restart();
    // Begins the cold time and records a start, without a crash.
    void startCold();
    // Resets this share of the connections, drawn at random.
    void resetConnections(double share);
    // Closes the connections without an open request; `usedOnly`: only those that have had one.
    void closeIdleConnections(bool usedOnly = false);
    // The scheduler was sent the present start time. Its attempts are marked as cold from now on.
    void onStartAnnounced(int scheduler);
    double ageMs() const { return reactor_.now() - startedAt_; }

  private:
    struct Session;
    using SessionPtr = std::shared_ptr<Session>;
    struct Attempt {
        int number = 0, scheduler = -1;
        double beganAt = 0, receivedAt = 0, units = 0, timeoutMs = 0;
        std::string request, requestClass, volume, key;
        int answerBytes = 0;  // that were asked for
        bool limited = false;
    };
    void listenOnAllPorts();
    void applyPartitions();
    bool isPartitioned(int scheduler) const {
        return mode_ == Mode::Unreachable || partitioned_.count(scheduler) > 0;
    }
    void resetConnectionsOf(int scheduler);
    void accept(int scheduler, TcpConnectionPtr connection);
    void onArrival(const SessionPtr& session, std::string_view bytes);
    void onData(const SessionPtr& session, std::string_view bytes);
    void sendOnItsWay(const SessionPtr& session, const std::string& bytes);
    void sendAgain(const SessionPtr& session, const Attempt& attempt, const std::string& response);
    void sendWithoutEnd(const SessionPtr& session);
    void onRequestComplete(const SessionPtr& session);
    void execute(const SessionPtr& session, const Attempt& attempt);
    void respond(const SessionPtr& session, const Attempt& attempt);
    void send(const SessionPtr& session, const std::string& bytes);  // drops the bytes while partitioned
    void finish(const SessionPtr& session, const Attempt& attempt, const char* how);
    void recordEvent(EventKind kind, const Attempt& attempt, const std::string& detail = {});
    bool cold() const { return ageMs() < settings_.coldMs; }

    Reactor& reactor_;
    Random& random_;
    EventSink record_;
    Identity identity_;
    std::vector<int> ports_;
    Settings settings_;
    Mode mode_ = Mode::Serving;
    UnsoundAnswers unsound_;
    Random unsoundRandom_{1};
    bool draining_ = false, randomFaults_ = true, instant_ = false;
    double startedAt_ = -1e12, busyUntil_ = 0;  // busyUntil_: end of the queued work
    int starts_ = 0, uploadsToReset_ = 0;
    std::set<int> partitioned_;                     // schedulers
    std::vector<TcpConnectionPtr> backlogFillers_;  // fill the queues of connections to be accepted
    std::map<int, double> announcedAt_;  // by scheduler: when the present start was announced to it
    std::vector<SessionPtr> sessions_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::soak
