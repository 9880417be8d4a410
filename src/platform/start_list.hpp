// The list that a started scheduler goes by until its agent speaks: nothing of the configuration's list but
// what peers confirm. Also answers peers that are in that state. Single-threaded; on the main loop.
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

class StartList {
  public:
    struct Edges {
        // Sends a datagram to the peer of that rank. Empty: peers may not be told.
        std::function<void(int rank, const std::string& bytes)> tell;
        // The nodes of the configuration's list that are confirmed now, to be taken in place of what was
        // confirmed before.
        std::function<void(registry::Endpoints)> confirmed;
    };
    // `known`: the configuration's list. `book`: what is known by now; both outlive this object.
    StartList(const registry::Endpoints& known, registry::NodeTable& book, int peers, int ownRank,
              std::uint64_t seed, Edges edges);
    // The agent has spoken: from now on only peers' queries are answered.
    void heard();
    bool heardFromAgent() const { return heard_; }
    // Whether the bytes are a message about the list, and have been dealt with.
    bool onPeer(int from, std::string_view bytes);

  private:
    void ask();
    void answer(int to, const wire::peer::MembershipQuery& query);
    void take(int from, const wire::peer::MembershipPart& part);
    void settle();
    void confirm(const registry::ConfirmedNodes& nodes);

    const registry::Endpoints& known_;
    registry::NodeTable& book_;
    Edges edges_;
    registry::Confirmation confirmation_;
    std::uint32_t nonce_;
    bool heard_ = false;
    std::optional<double> wordAt_;  // of the list service, to this process or to the peers it goes by
    std::map<std::uint64_t, double> used_;
    bool any_ = false;
    io::Timer askTimer_, settleTimer_;
};

}  // namespace spokewheel::platform
