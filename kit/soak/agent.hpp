// The discovery agent on one scheduler's machine: the list, watches on it, silence, moves. It records when
// its scheduler counts as told of a drain by the standing terms.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kit/soak/reactor.hpp"
#include "kit/soak/setting.hpp"

namespace spokewheel::soak {

struct Member {
    std::string id, zone, phase = "up";
    int cell = 0, port = 0;
    double upSinceMs = 0;
    int revision = 0;  // of its last change
};

class Agent {
  public:
    // Called when a watch carried a member to its scheduler.
    using Written = std::function<void(const Member&)>;
    Agent(Reactor& reactor, Random& random, EventSink record, int scheduler, int port, Written written);
    ~Agent();
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    int port() const { return port_; }
    int revision() const { return revision_; }
    // What discovery tells; while it is down the agent learns of it at the return.
    void updateMember(const Member& member);
    void setDown(bool down);  // silent, and learns nothing
    bool down() const { return down_; }
    double downSince() const { return downSince_; }
    void silenceWatches();  // open ones say nothing any more
    void resetWatches();
    void setSlow(bool slow) { slow_ = slow; }  // lists go out in small pieces
    // The list service is at `port` from now on; its old place closes after 1.5 s.
    void moveTo(int port);
    // The list at `revision` or before, as configurations carry it.
    std::string listJson(int sinceRevision, bool complete, bool indented) const;
    std::string fullListJson(int revisionsBack) const;

  private:
    struct Watch {
        TcpConnectionPtr link;
        std::string got;
        bool asked = false, silenced = false, old = false;
        int writtenUpTo = 0;
        double queuedUntil = 0;
    };
    using WatchPtr = std::shared_ptr<Watch>;
    void openPlace();
    void accept(TcpConnectionPtr link);
    void onRequest(const WatchPtr& watch);
    void write(const WatchPtr& watch, const std::string& bytes);
    void writeChanges(const WatchPtr& watch, bool complete);
    void carry(const WatchPtr& watch);
    void beat();
    void drop(const WatchPtr& watch);
    double toldAtLatest() const;
    void notify(const Member& member, double at);

    Reactor& reactor_;
    Random& random_;
    EventSink record_;
    int scheduler_, port_;
    Written written_;
    int revision_ = 1;
    bool down_ = false, slow_ = false;
    double movedAt_ = -1e12, silencedAt_ = -1e12, downSince_ = -1e12;
    std::vector<Member> members_, pending_;
    std::vector<WatchPtr> watches_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::soak
