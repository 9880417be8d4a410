// A stand-in for the registry: the node list over HTTP with blocking queries. Injected faults: down (closes
// every connection), silent (never answers), behind-ms (publishes each list that late), reset (its index
// starts again at 1).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "io/loop.hpp"
#include "standins/http_server.hpp"

namespace spokewheel::standins {

class Registry {
  public:
    // Listens for queries on `at` and for lists and fault injection on `control`. Throws io::ListenError.
    Registry(const io::Address& at, const io::Address& control);
    int port() const { return server_->port(); }
    int controlPort() const { return control_->port(); }

  private:
    // A query that waits until the list changes or its wait time is over.
    struct BlockedQuery {
        std::uint64_t index = 0;
        std::unique_ptr<io::Timer> timer;
    };
    void onRequest(const Request& request);
    void onControl(Request request);
    void sendList(std::uint64_t connection);
    void sendListToAll();

    // The list that was last set, and the one that queries return; the same unless behindMs_ is set.
    std::string list_ = "version: 0\nnodes: []\n", published_ = list_;
    std::uint64_t index_ = 1, queries_ = 0;
    double behindMs_ = 0;
    bool down_ = false, silent_ = false;
    std::map<std::uint64_t, BlockedQuery> waiting_;
    std::deque<std::unique_ptr<io::Timer>> delayedUpdates_;
    std::unique_ptr<HttpServer> server_, control_;
};

}  // namespace spokewheel::standins
