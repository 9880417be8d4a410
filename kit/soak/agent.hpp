// A stand-in for the discovery agent on one scheduler's machine: serves the list of disk servers and watches
// on it over HTTP, can fall silent, slow down or move to another port. Records when its scheduler counts as
// notified that a server drains or was removed.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kit/soak/reactor.hpp"
#include "kit/soak/setting.hpp"

namespace spokewheel::soak {

// A disk server as the list shows it.
struct Member {
    std::string id, zone, phase = "up";
    int cell = 0, port = 0;
    double upSinceMs = 0;
    int revision = 0;  // of the list, at the member's last change
};

class Agent {
  public:
    // Called for each member in phase "up" that is sent to the scheduler over a watch.
    using MemberSent = std::function<void(const Member&)>;
    Agent(Reactor& reactor, Random& random, EventSink record, int scheduler, int port,
          MemberSent onMemberSent);
    ~Agent();
    Agent(const Agent&) = delete;
    Agent& operator=(const Agent&) = delete;

    int port() const { return port_; }
    int revision() const { return revision_; }
    // Adds or replaces the member. While the agent is down the change is kept and applied when it is up
    // again.
    void updateMember(const Member& member);
    void setDown(bool down);  // answers nothing and applies no changes
    bool down() const { return down_; }
    double downSince() const { return downSince_; }
    void silenceWatches();                     // sends nothing more over the open watches
    void resetWatches();                       // closes them with a TCP RST
    void setSlow(bool slow) { slow_ = slow; }  // lists are sent in small pieces with gaps
    // Listens on another port from now on. Connections to the former port are closed after 1.5 s.
    void moveTo(int port);
    // The list as JSON: all members that are not removed, or those that changed after `sinceRevision`.
    std::string listJson(int sinceRevision, bool complete, bool indented) const;
    // The whole list as it was about `revisionsBack` revisions ago, the form in which configurations contain
    // it.
    std::string fullListJson(int revisionsBack) const;

  private:
    struct Watch {
        TcpConnectionPtr connection;
        std::string request;  // bytes received so far
        bool requested = false, silenced = false, onFormerPort = false;
        int sentRevision = 0;
        double queuedUntilMs = 0;  // when the last piece of what is queued will be sent
    };
    using WatchPtr = std::shared_ptr<Watch>;
    void startListening();
    void accept(TcpConnectionPtr connection);
    void onRequest(const WatchPtr& watch);
    void send(const WatchPtr& watch, const std::string& bytes);
    void sendChanges(const WatchPtr& watch, bool complete);
    void carry(const WatchPtr& watch);
    void sendHeartbeat();
    void remove(const WatchPtr& watch);
    double notifiedBy() const;
    void recordNotified(const Member& member, double at);

    Reactor& reactor_;
    Random& random_;
    EventSink record_;
    int scheduler_, port_;
    MemberSent onMemberSent_;
    int revision_ = 1;
    bool down_ = false, slow_ = false;
    double movedAt_ = -1e12, silencedAt_ = -1e12, downSince_ = -1e12;
    std::vector<Member> members_, pending_;
    std::vector<WatchPtr> watches_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::soak
