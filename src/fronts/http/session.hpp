// State of one client connection of the HTTP server. Private to the server's own source files.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "fronts/http/request_reader.hpp"
#include "fronts/http/server.hpp"

namespace spokewheel::fronts::http {

struct Server::Session {
    explicit Session(const Settings& settings) : reader(settings) {}
    std::uint64_t number = 0;
    std::shared_ptr<io::Connection> connection;
    RequestReader reader;
    ConnectionState state;
    std::string openId;          // X-Request-ID of the open request
    bool openIsLast = false;     // its client wants the connection closed after the answer
    std::size_t openMemory = 0;  // of the open request without its body
    std::string hostRequestId;   // the host's id of the open request; empty if there is none
    // Read but not parsed, because the request before it waits for memory since `waitsSince` (negative: no).
    std::string held;
    double heldArrivedAt = 0, waitsSince = -1;
    io::ReadArrival heldArrival;
    ConnectionArrivals arrivals;  // of the requests that were given a place
    bool inWaitingList = false;
    double hiddenSince = -1;  // since when the end of its client's stream may be hidden; negative: it is not
    bool readsOn = false;     // more came behind the open request than an end of stream would be seen behind
    host::MemoryBudget::Lease memory;
    std::uint64_t answers = 0;
    std::size_t requestsRead = 0;
    bool inShare = false;               // its answers are flushed together when the share ends
    std::uint64_t acknowledged = 0;     // bytes of answers that the client's machine has taken
    std::size_t unreadAtClose = 0;      // bytes in the socket
    std::size_t discarded = 0;          // bytes discarded while closing
    bool failed = false;                // ended by an error response: later bytes need no answer
    std::optional<CloseReason> reason;  // set once this side has begun to close the connection
    bool waits() const { return waitsSince >= 0; }
    // Requests of it have been read, and none of them is open.
    bool owesAnswers() const { return waits() || !reader.queue().empty(); }
};

}  // namespace spokewheel::fronts::http
