// The rsync front: listens, caps its clients, and ends them in order.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fronts/decide_admission.hpp"
#include "fronts/rsync/session.hpp"

namespace spokewheel::fronts::rsync {

class Server {
  public:
    // Throws std::runtime_error where it can't listen.
    Server(Context& context, const io::Address& at);
    ~Server();
    int port() const { return listener_->port(); }
    // Takes no one new and tells those in their handshake; `empty` is called once all others are through.
    void drain(std::function<void()> empty);
    void abort();
    std::size_t sessions() const { return sessions_.size(); }
    std::uint64_t evictions() const { return evictions_; }
    const ConnectionAdmission& places() const { return places_; }

  private:
    void accept(std::shared_ptr<io::Connection> connection);
    Context& context_;
    std::map<std::uint64_t, std::shared_ptr<Session>> sessions_;
    ConnectionAdmission places_;
    std::uint64_t next_ = 0, evictions_ = 0;
    std::unique_ptr<io::Listener> listener_;
    std::function<void()> empty_;
};

}  // namespace spokewheel::fronts::rsync
