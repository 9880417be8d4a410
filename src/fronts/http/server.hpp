// Clients of the platform over HTTP/1.1: one request at a time on a connection, each handed to the host and
// answered with what came back. Single-threaded; nothing blocks. Nothing here refuses a well-formed request.
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
    // Counters that other parts print; none of them decides anything.
    struct Counts {
        std::uint64_t connections = 0, requests = 0, errors = 0, gaveWay = 0;
        std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::Count)> closes{};
        std::size_t most = 0;
    };
    struct Caps {
        std::size_t descriptors =
            1024;                     // what the process may hold; its clients' share bounds the connections
        std::size_t ahead = 8 << 20;  // bytes that wait behind open requests, of all connections
    };
    // A connection ended: why, and the id of the request that was open on it (may be empty).
    using Note = std::function<void(CloseReason, const std::string& request)>;
    void noteCloses(Note note) { note_ = std::move(note); }
    // Throws std::runtime_error where it can't listen. Over its clients' share of the descriptors
    // (decide_connections.hpp) a connection gives way.
    Server(host::Host& host, const Settings& settings, const io::Address& at, Caps caps);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // From now on `/ready` answers 200; before that 503.
    void ready() { ready_ = true; }
    // From now on `/ready` answers 503 and no connection is closed for room: clients can't make new ones. All
    // else goes on.
    void unready() { ready_ = accepting_ = false; }
    // From now on answers end their connections, but for those behind which more has come, and what rests is
    // ended. `done` comes from the loop once no connection is left and none waits to be taken.
    void drain(std::function<void()> done);
    // Takes who waits to be taken, and from then on refuses new connections.
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
    void keepAhead(const SessionPtr& s, std::string_view bytes);
    void forgetAhead(Session& s);
    // Its state, with what its socket tells now.
    const ConnectionState& observe(Session& s);
    void parse(const SessionPtr& s, std::string_view bytes);
    bool onHead(const SessionPtr& s);
    void onWhole(const SessionPtr& s);
    void onAnswer(const SessionPtr& s, host::Answer answer);
    void answer(const SessionPtr& s, int status, wire::http::Fields fields, const std::string& body,
                bool last, CloseReason reason = CloseReason::LastAnswer);
    void error(const SessionPtr& s, int status, const std::string& words,
               CloseReason reason = CloseReason::Unreadable);
    void leave(const SessionPtr& s, CloseReason reason);
    void close(const SessionPtr& s, CloseReason reason);
    void checkClose(const Session& s);
    void enter(Session& s, ConnectionState::Phase phase);
    Room room() const;
    void makeRoom();
    void sweep();

    host::Host& host_;
    const Settings& settings_;
    Caps caps_;
    std::size_t most_, aheadBytes_ = 0;
    std::uint64_t nextSession_ = 0;
    std::unordered_map<std::uint64_t, SessionPtr> sessions_;
    std::unordered_set<std::string> openIds_;
    bool ready_ = false, accepting_ = true, draining_ = false, listening_ = true;
    std::function<void()> drained_;
    Note note_;
    Counts counts_;
    io::Timer sweep_;
    std::unique_ptr<io::Listener> listener_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::fronts::http
