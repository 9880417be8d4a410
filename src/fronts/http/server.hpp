// The HTTP/1.1 server for the platform's clients. Serves one request at a time per connection: passes it to
// the host and sends the host's answer back. Single-threaded, never blocks, and refuses a well-formed request
// by itself only if there is no memory for it (decide_memory.hpp).
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "fronts/http/decide_connections.hpp"
#include "fronts/http/decode_request.hpp"
#include "fronts/http/key_order.hpp"
#include "fronts/http/read_turns.hpp"
#include "fronts/http/request_ids.hpp"
#include "fronts/http/request_reader.hpp"
#include "host/host.hpp"
#include "host/memory_budget.hpp"
#include "io/connection.hpp"
#include "io/loop.hpp"

namespace spokewheel::fronts::http {

class Server {
  public:
    // Counters for the log; no decision depends on them.
    struct Counts {
        std::uint64_t connections = 0, requests = 0, errors = 0, gaveWay = 0;
        std::uint64_t memoryWaits = 0, memoryRefusals = 0;  // requests that there was no memory for
        std::uint64_t expired = 0;     // requests whose time was over before their turn came
        std::uint64_t hiddenEnds = 0;  // requests refused as their client may have left unnoticed
        std::uint64_t unordered = 0;   // requests refused as their place in their key's order is unknown
        std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::Count)> closes{};
        std::array<std::uint64_t, static_cast<std::size_t>(wire::http::RequestRule::Count)> rejected{};
        std::size_t peakConnections = 0;
    };
    // A connection that has ended; for the log.
    struct ClosedConnection {
        CloseReason reason = CloseReason::ByClient;
        std::string openRequest;           // X-Request-ID of the request that was open; empty: none was
        std::uint64_t answers = 0;         // sent on it
        std::size_t unreadBytes = 0;       // left in the socket, where this side closed it
        std::size_t unservedRequests = 0;  // read and not answered
    };
    // An error answer of this server itself; for the log. `request`: its X-Request-ID, empty if unknown.
    struct RejectedRequest {
        wire::http::RequestRule rule;
        std::string request;
    };
    void onClose(std::function<void(const ClosedConnection&)> callback) { onClose_ = std::move(callback); }
    void onRejected(std::function<void(const RejectedRequest&)> callback) {
        onRejected_ = std::move(callback);
    }
    // Throws std::runtime_error if it can't listen. `descriptors`: of the whole process; when a new
    // connection exceeds the clients' share of them (splitDescriptors()), an existing one is evicted.
    // `memory` must outlive the host.
    Server(host::Host& host, const Settings& settings, const io::Address& address, std::size_t descriptors,
           host::MemoryBudget& memory);
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
    std::size_t openRequestIds() const { return ids_.open(); }
    int port() const { return listener_->port(); }

  private:
    struct Session;
    using SessionPtr = std::shared_ptr<Session>;
    void onAccepted(std::shared_ptr<io::Connection> connection);
    void onData(const SessionPtr& s, std::string_view bytes);
    void onDrained(const SessionPtr& s);
    void onClosed(const SessionPtr& s);
    // The session's state, brought up to date with its socket.
    const ConnectionState& updateState(Session& s);
    void updateMemory(Session& s);
    void receive(const SessionPtr& s, std::string_view bytes, double arrivedAt,
                 const io::ReadArrival& arrival);
    bool admitCurrent(Session& s);
    void waitForMemory(Session& s, std::string_view rest, double arrivedAt, const io::ReadArrival& arrival);
    void addToWaiting(Session& s);
    void retryAdmission(const SessionPtr& s);
    void retryAdmissions();
    void checkPaused();
    static ReadTurns::Priority priorityOf(const Session& s);
    void onReadable(const SessionPtr& s);
    void armTurnTimer();
    void serveWaiting();
    void serveShare(const SessionPtr& s);
    void read(const SessionPtr& s, const ReadShare& most);
    bool mayHideEnd(const Session& s) const;
    bool clientVisible(Session& s);
    bool refuseIfOver(Session& s);
    bool clientWaiting(const SessionPtr& s);
    void clientLeft(const SessionPtr& s);
    void sendContinue(Session& s);
    void givePlace(Session& s, ReceivedRequest& request, const io::Arrival& arrival);
    void givePlacesToWaitingUploads();
    void settleOrder();
    void settleOrderLater();
    void settleOrderNow();
    bool mustBeReadFurther(const Session& s, const io::ArrivalPoint& until) const;
    std::vector<SessionPtr> readableSessions();
    std::optional<io::ArrivalPoint> readArrived(const io::ArrivalPoint& until);
    void serveOrdered(const std::vector<KeyOrder::ConnectionNumber>& connections);
    bool waitsForOrder(Session& s);
    void serveNext(const SessionPtr& s);
    void dispatch(const SessionPtr& s, ReceivedRequest request);
    void submit(const SessionPtr& s, ReceivedRequest request);
    void onAnswer(const SessionPtr& s, host::Answer answer);
    void sendAnswer(const SessionPtr& s, int status, wire::http::Fields fields, std::string body, bool last,
                    CloseReason reason = CloseReason::LastAnswer);
    void sendError(const SessionPtr& s, wire::http::RequestRule rule, CloseReason reason,
                   const std::string& request = {});
    void shutDown(const SessionPtr& s, CloseReason reason);
    void close(const SessionPtr& s, CloseReason reason);
    void checkClose(const Session& s);
    void enterPhase(Session& s, ConnectionState::Phase phase);
    Capacity capacity() const;
    void evictConnection();
    bool hasEvictable() const;
    void sweep();

    host::Host& host_;
    const Settings& settings_;
    std::size_t descriptors_, maxConnections_;
    host::MemoryBudget& memory_;
    std::deque<std::uint64_t> waiting_;  // numbers of sessions that wait for memory, and of ended ones
    std::uint64_t nextSession_ = 0;
    KeyOrder keyOrder_;
    std::unordered_map<std::uint64_t, SessionPtr> sessions_;
    RequestIds ids_;
    bool reportsReady_ = false, expectsConnections_ = true, draining_ = false, listening_ = true;
    std::function<void()> onEmpty_;
    std::function<void(const ClosedConnection&)> onClose_;
    std::function<void(const RejectedRequest&)> onRejected_;
    Counts counts_;
    ReadTurns turns_;
    io::Timer sweepTimer_, admissionTimer_, pausedTimer_, turnTimer_, orderTimer_;
    std::unique_ptr<io::Listener> listener_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::fronts::http
