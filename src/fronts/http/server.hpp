// The HTTP/1.1 server for the platform's clients. Serves one request at a time per connection: passes it to
// the host and sends the host's answer back. Single-threaded, never blocks, and never refuses a well-formed
// request by itself.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "fronts/http/decide_connections.hpp"
#include "fronts/http/decode_request.hpp"
#include "host/host.hpp"
#include "io/connection.hpp"
#include "io/loop.hpp"

namespace spokewheel::fronts::http {

class Server {
  public:
    // Counters for the log; no decision depends on them.
    struct Counts {
        std::uint64_t connections = 0, requests = 0, errors = 0, gaveWay = 0;
        std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::Count)> closes{};
        std::size_t peakConnections = 0;
    };
    struct Caps {
        // Of the whole process; the clients' share bounds the connections (splitDescriptors()).
        std::size_t descriptors = 1024;
        std::size_t pipelined = 8 << 20;  // bytes waiting behind open requests, over all connections
    };
    // Called when a connection has ended, with the id of the request that was open on it (may be empty).
    using CloseCallback = std::function<void(CloseReason, const std::string& request)>;
    void onClose(CloseCallback callback) { onClose_ = std::move(callback); }
    // Throws std::runtime_error if it can't listen. When a new connection exceeds the clients' share of the
    // descriptors, an existing one is evicted.
    Server(host::Host& host, const Settings& settings, const io::Address& address, Caps caps);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // From now on `/ready` answers 200; before that, 503.
    void markReady() { reportsReady_ = true; }
    // From now on `/ready` answers 503 and answers no longer close connections to save capacity, since
    // clients can't make new ones. Requests are served as before.
    void markNotReady() { reportsReady_ = expectsConnections_ = false; }
    // Starts to close connections: idle ones now, others after their answer unless more requests are already
    // pipelined behind it. Calls `done` from the loop once no connection is left or waits to be accepted.
    void drain(std::function<void()> done);
    // Accepts the connections that are waiting; refuses any after them.
    void stopListening();
    const Counts& counts() const { return counts_; }
    std::size_t connections() const { return sessions_.size(); }
    int port() const { return listener_->port(); }

  private:
    struct Session;
    using SessionPtr = std::shared_ptr<Session>;
    void onAccepted(std::shared_ptr<io::Connection> connection);
    void onData(const SessionPtr& s, std::string_view bytes);
    void onClosed(const SessionPtr& s);
    void bufferPipelined(const SessionPtr& s, std::string_view bytes);
    void dropPipelined(Session& s);
    // The session's state, brought up to date with its socket.
    const ConnectionState& updateState(Session& s);
    void parse(const SessionPtr& s, std::string_view bytes);
    bool onHead(const SessionPtr& s);
    void onRequest(const SessionPtr& s);
    void onAnswer(const SessionPtr& s, host::Answer answer);
    void sendAnswer(const SessionPtr& s, int status, wire::http::Fields fields, const std::string& body,
                    bool last, CloseReason reason = CloseReason::LastAnswer);
    void sendError(const SessionPtr& s, int status, const std::string& message,
                   CloseReason reason = CloseReason::Unreadable);
    void shutDown(const SessionPtr& s, CloseReason reason);
    void close(const SessionPtr& s, CloseReason reason);
    void checkClose(const Session& s);
    void enterPhase(Session& s, ConnectionState::Phase phase);
    Capacity capacity() const;
    void evictConnection();
    void sweep();

    host::Host& host_;
    const Settings& settings_;
    Caps caps_;
    std::size_t maxConnections_, pipelinedBytes_ = 0;
    std::uint64_t nextSession_ = 0;
    std::unordered_map<std::uint64_t, SessionPtr> sessions_;
    std::unordered_set<std::string> openRequestIds_;
    bool reportsReady_ = false, expectsConnections_ = true, draining_ = false, listening_ = true;
    std::function<void()> onDrained_;
    CloseCallback onClose_;
    Counts counts_;
    io::Timer sweepTimer_;
    std::unique_ptr<io::Listener> listener_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::fronts::http
