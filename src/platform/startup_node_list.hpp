// The node list of a starting scheduler whose discovery agent has not answered yet: the nodes of the
// configured list that peers confirm. Also answers the queries of peers in that state. Single-threaded, on
// the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "io/loop.hpp"
#include "registry/decide_confirmation.hpp"
#include "registry/endpoints.hpp"
#include "registry/node_table.hpp"

namespace spokewheel::platform {

class StartupNodeList {
  public:
    struct Callbacks {
        // Sends a datagram to the peer of that rank. Empty if there are no messages to peers.
        std::function<void(int rank, const std::string& bytes)> sendToPeer;
        // Receives the confirmed nodes of the configured list; replaces what was confirmed before.
        std::function<void(registry::Endpoints)> onConfirmed;
    };
    // `known`: the configured list. `nodeTable`: the current state of all nodes. Both must outlive this
    // object.
    StartupNodeList(const registry::Endpoints& known, registry::NodeTable& nodeTable, int peers, int ownRank,
                    std::uint64_t seed, Callbacks callbacks);
    // To be called whenever the agent sends something. From the first one on, this object only answers peers'
    // queries.
    void onAgentAnswered();
    bool agentAnswered() const { return agentAnswered_; }
    // Returns whether the bytes were a membership message, which has then been handled.
    bool onPeerMessage(int from, std::string_view bytes);

  private:
    void askPeers();
    void answerQuery(int to, const wire::peer::MembershipQuery& query);
    void onVouch(int from);
    void onAnswerPart(int from, const wire::peer::MembershipPart& part);
    void scheduleConfirmation();
    void applyConfirmed(const registry::ConfirmedNodes& nodes);

    const registry::Endpoints& known_;
    registry::NodeTable& nodeTable_;
    Callbacks callbacks_;
    registry::Confirmation confirmation_;
    std::uint32_t nonce_;
    bool agentAnswered_ = false;
    // When the list service last answered this process.
    std::optional<double> lastListContactAt_;
    std::map<std::uint64_t, double> appliedStarts_;
    bool applied_ = false;
    io::Timer askTimer_, confirmTimer_;
};

}  // namespace spokewheel::platform
