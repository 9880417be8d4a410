// A disk server with one port for each scheduler, its work, its faults, and what it records. A port stands
// for the relay between the two: it splits, delays, cuts and swallows what passes.
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
        Hanging,      // takes requests and never gets to them
        Unreachable,  // the machine is cut off: nothing comes in or goes out
        Crashed       // connections reset, new ones refused
    };
    DiskServer(Reactor& reactor, Random& random, EventSink record, Identity identity, std::vector<int> ports,
               Settings setting = {});
    ~DiskServer();
    DiskServer(const DiskServer&) = delete;
    DiskServer& operator=(const DiskServer&) = delete;

    const Identity& identity() const { return identity_; }
    int portFor(int scheduler) const { return ports_[static_cast<std::size_t>(scheduler)]; }
    void setMode(Mode mode);
    Mode mode() const { return mode_; }
    void setDraining(bool draining) { draining_ = draining; }
    bool draining() const { return draining_; }
    // Whether a request that comes now can be served: it takes what comes, and is warm.
    bool healthy() const { return mode_ == Mode::Serving && !draining_ && !cold(); }
    // Whether some answers are spoilt, cut or refused; on by default.
    void setRandomFaults(bool faulty) { faulty_ = faulty; }
    // Answers at once, however much comes and however cold it is, so that nothing but the list slows a
    // sender.
    void setInstant(bool instant) { instant_ = instant; }
    // Nothing passes between it and the scheduler; connections are reset once the cut is over.
    void setPartitioned(int scheduler, bool cut);
    // While true, the first tries of new connections are lost; TCP makes them again a second later.
    void setDropSyns(bool lose);
    // The next requests are cut off with a reset once a part of them has come, so many.
    void resetNextUploads(int many) { breakUploads_ = many; }
    int uploadsToReset() const { return breakUploads_; }
    // Starts anew, cold.
    void restart();
    void startCold();
    void resetConnections(double share);
    // Connections without an open request; `usedOnly`: of those only such that have had one.
    void closeIdleConnections(bool usedOnly = false);
    // From now on attempts of the scheduler count for the slow start, for it was told of it.
    void onStartAnnounced(int scheduler);
    double ageMs() const { return reactor_.now() - startedAt_; }

  private:
    struct Session;
    using SessionPtr = std::shared_ptr<Session>;
    struct Attempt {
        int number = 0, scheduler = -1;
        double beganAt = 0, wholeAt = 0, units = 0, timeoutMs = 0;
        std::string request, requestClass, volume, key;
        bool limited = false;
    };
    void openDoors();
    void holdDoors();
    bool cut(int scheduler) const { return mode_ == Mode::Unreachable || cutOff_.count(scheduler) > 0; }
    void resetConnectionsOf(int scheduler);
    void accept(int scheduler, TcpConnectionPtr link);
    void onData(const SessionPtr& session, std::string_view bytes);
    void onWhole(const SessionPtr& session);
    void work(const SessionPtr& session, const Attempt& attempt);
    void answer(const SessionPtr& session, const Attempt& attempt);
    void say(const SessionPtr& session, const std::string& bytes);  // nothing over a cut
    void finish(const SessionPtr& session, const Attempt& attempt, const char* how);
    void note(EventKind kind, const Attempt& attempt, const std::string& words = {});
    bool cold() const { return ageMs() < setting_.coldMs; }

    Reactor& reactor_;
    Random& random_;
    EventSink record_;
    Identity identity_;
    std::vector<int> ports_;
    Settings setting_;
    Mode mode_ = Mode::Serving;
    bool draining_ = false, faulty_ = true, instant_ = false;
    double startedAt_ = -1e12, freeAt_ = 0;
    int starts_ = 0, breakUploads_ = 0;
    std::set<int> cutOff_;
    std::vector<TcpConnectionPtr> fillers_;  // of the queue of connections that nobody takes
    std::map<int, double> toldAt_;           // scheduler: when it was told of the present start
    std::vector<SessionPtr> sessions_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::soak
