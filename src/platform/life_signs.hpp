// Sends life signs to this process's witnesses, receives those of the peers that it is a witness of, and
// vouches for peers that are restarted while list services are silent (registry/decide_vouch.hpp).
// Single-threaded, on the event loop.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "io/loop.hpp"
#include "registry/decide_vouch.hpp"

namespace spokewheel::platform {

class LifeSigns {
  public:
    struct Callbacks {
        std::function<void(int rank, const std::string& bytes)> sendToPeer;
        std::function<registry::OwnListService()> ownListService;
        // Opens a new watch of the list service beside the others.
        std::function<void()> askListService;
        // For the log: called when the answer for a peer is another one than before.
        std::function<void(int rank, registry::VouchRefusal)> onDecided;
    };
    // `witnesses`: the ranks of the peers to send life signs to.
    LifeSigns(std::vector<int> witnesses, Callbacks callbacks);
    // This process has sent a notice of a change with that revision.
    void onNoticeSent(std::int64_t revision);
    // Peer `from` has sent a notice of a change with that revision.
    void onNotice(int from, std::int64_t revision) { lives_.onNotice(from, revision); }
    // Returns whether the bytes were a life sign or the question whether this process vouches for the peer.
    bool onPeerMessage(int from, std::string_view bytes);

  private:
    void tick(bool sendsSigns);
    void sendSigns(double lastContactAt);
    void askIfDue();
    void answerQueries();
    void answer(int peer, const wire::peer::VouchQuery& query);

    std::vector<int> witnesses_;
    Callbacks callbacks_;
    registry::PeerLives lives_;
    registry::AskLimit askLimit_;
    std::map<int, wire::peer::VouchQuery> queries_;  // to be answered, by rank
    std::map<int, registry::VouchRefusal> decided_;
    std::int64_t noticedRevision_ = 0;
    io::Timer timer_, answerTimer_;
};

}  // namespace spokewheel::platform
