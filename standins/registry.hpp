// A stand-in for the registry: the node list over HTTP with blocking queries. Faults: out of reach (closes),
// silent (holds), behind (tells an older list), reset (its index starts anew).
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
    Registry(const io::Address& at, const io::Address& control);
    int port() const { return server_->port(); }
    int controlPort() const { return control_->port(); }

  private:
    struct Waiting {
        std::uint64_t index = 0;
        std::unique_ptr<io::Timer> timer;
    };
    void onRequest(const Request& request);
    void onControl(Request request);
    void tell(std::uint64_t connection);
    void tellAll();

    std::string list_ = "version: 0\nnodes: []\n", told_ = list_;
    std::uint64_t index_ = 1, queries_ = 0;
    double behindMs_ = 0;
    bool down_ = false, silent_ = false;
    std::map<std::uint64_t, Waiting> waiting_;
    std::deque<std::unique_ptr<io::Timer>> late_;
    std::unique_ptr<HttpServer> server_, control_;
};

}  // namespace spokewheel::standins
