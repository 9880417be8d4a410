// Tells a few peers at once what this machine's list service has reported of nodes that are not usable any
// more or started anew, so that somebody knows of it if this process is killed and the list service stops
// answering. Single-threaded, on the event loop.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "io/loop.hpp"
#include "wire/peer/membership.hpp"

namespace spokewheel::platform {

class ChangeAnnouncer {
  public:
    using Send = std::function<void(int rank, const std::string& bytes)>;
    // `witnesses`: the ranks of the peers to tell.
    ChangeAnnouncer(std::vector<int> witnesses, Send send)
        : witnesses_(std::move(witnesses)), send_(std::move(send)) {}
    void announce(const std::vector<wire::peer::ChangedNode>& nodes);

  private:
    struct Announced {
        wire::peer::ChangedNode node;
        int timesSent = 0;
    };
    void sendPending();

    std::vector<int> witnesses_;
    Send send_;
    std::vector<Announced> pending_;
    io::Timer timer_;
};

}  // namespace spokewheel::platform
