// Listener of the rsync front: accepts clients within the connection limits and shuts them down in order.
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
    // Throws std::runtime_error if it cannot listen.
    Server(Context& context, const io::Address& address);
    ~Server();
    int port() const { return listener_->port(); }
    // Stops accepting clients, refuses those still in their handshake, and calls `onEmpty` once the remaining
    // sessions have ended.
    void drain(std::function<void()> onEmpty);
    void abort();  // closes all connections at once
    std::size_t sessions() const { return sessions_.size(); }
    // Clients disconnected because too many were in their handshake.
    std::uint64_t evictions() const { return evictions_; }
    const ConnectionAdmission& admission() const { return admission_; }

  private:
    void accept(std::shared_ptr<io::Connection> connection);
    Context& context_;
    std::map<std::uint64_t, std::shared_ptr<Session>> sessions_;
    ConnectionAdmission admission_;
    std::uint64_t nextId_ = 0, evictions_ = 0;
    std::unique_ptr<io::Listener> listener_;
    std::function<void()> onEmpty_;
};

}  // namespace spokewheel::fronts::rsync
