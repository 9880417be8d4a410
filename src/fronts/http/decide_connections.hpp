// Decides which client connections are closed, and when. Free of I/O and clocks; times are milliseconds on
// one clock.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace spokewheel::fronts::http {

// What is known of one connection.
struct ConnectionState {
    enum class Phase {
        Silent,     // connected, no byte received yet
        Receiving,  // part of a request received
        Open,       // a complete request waits for its answer
        Idle,       // answered, and no byte received since
        Closing     // the write side is shut down, or will be once the queue is sent; no request is read
    } phase = Phase::Silent;
    double since = 0;       // start of this phase; until the first request is complete, of the connection
    bool first = true;      // no complete request received yet
    double flushedAt = -1;  // Closing: when the queue had been handed to the kernel; negative: not yet
    bool unread = false;    // bytes, requests or an end of stream wait to be read or served
    bool unsent = false;    // part of an answer is not handed to the kernel yet
    bool hungUp = false;    // Closing: the peer has ended its side too
    double lastByteAt = 0;  // Receiving: when the latest bytes were read
    double progressAt = 0;  // unsent: when the client last took some of it
};

// The first request must be complete this long after the connection was made: the platform demands an error
// or a close within 3 s of connecting for clients that send no valid request. Later requests may arrive
// slowly, but a stalled one gets the same treatment.
constexpr double kFirstRequestTimeoutMs = 2600, kLaterRequestTimeoutMs = 6000, kStallTimeoutMs = 2500;
// Idle timeouts. With ample capacity idle connections stay: while this scheduler shuts down, its clients
// can't make new ones. With less they close as soon as the platform allows, since some clients send one
// request and keep their connection forever. A request that crosses the close is repeated by its client, as
// none of it was read.
constexpr double kIdleTimeoutMs = 20000, kShortIdleTimeoutMs = 2050;
// How long to wait for the client's end of stream after its answer was handed to the kernel, so that a reset
// does not destroy the answer; and how long a slow reader of an answer may take nothing of it.
constexpr double kCloseLingerMs = 500, kFlushTimeoutMs = 5000;
// Bytes that are discarded on a closing connection before it is closed at once.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
// Clients' connections may take a third of the descriptors, idle ones included; beyond that requests can't
// get a connection.
inline std::size_t maxRequestConnections(std::size_t descriptors) { return descriptors / 3; }
enum class Capacity {
    Ample,
    Short,     // idle connections are closed early
    Exhausted  // each answer closes its connection, which makes room for clients that have a request
};
inline Capacity capacityOf(std::size_t connections, std::size_t descriptors) {
    constexpr double kShort = 0.5, kExhausted = 0.85;  // fractions of maxRequestConnections()
    const double used =
        static_cast<double>(connections) / static_cast<double>(maxRequestConnections(descriptors));
    return used > kExhausted ? Capacity::Exhausted : used > kShort ? Capacity::Short : Capacity::Ample;
}

// Why a connection ended; logged with SPOKEWHEEL_TRACE and counted in the log event `pulse_closes`.
enum class CloseReason {
    ByClient,        // the client closed or reset it
    LastAnswer,      // closed after an answer, at the client's request or because capacity is exhausted
    Idle,            // no request for kIdleTimeoutMs, or kShortIdleTimeoutMs if capacity is short
    Silent,          // nothing received on a new connection
    Draining,        // this process shuts down
    Unreadable,      // malformed request
    RequestTimeout,  // a request was not completed in time
    GaveWay,         // evicted at the connection limit in favour of a new connection
    FlushTimeout,    // the client does not read its answer
    Flood,           // too many bytes after the end of a connection
    Count
};
inline const char* nameOf(CloseReason reason) {
    static constexpr std::array<const char*, static_cast<std::size_t>(CloseReason::Count)> kNames = {
        "by_client",  "last_answer",     "idle",     "silent",        "draining",
        "unreadable", "request_timeout", "gave_way", "flush_timeout", "flood"};
    return kNames[static_cast<std::size_t>(reason)];
}

enum class CloseAction {
    Keep,
    ShutDown,           // shut down the write side once the queue is sent; close when the peer has ended too
    ErrorThenShutDown,  // the same after an error response
    Close               // at once
};

struct Decision {
    CloseAction action = CloseAction::Keep;
    CloseReason reason = CloseReason::ByClient;  // meaningless for Keep
};

// What to do with a connection now. `draining`: this scheduler shuts down, so connections without a request
// are ended as well.
inline Decision decide(const ConnectionState& s, Capacity capacity, bool draining, double nowMs) {
    const double elapsedMs = nowMs - s.since;
    const bool stalled = nowMs - std::max(s.since, s.progressAt) >= kFlushTimeoutMs;
    switch (s.phase) {
        case ConnectionState::Phase::Open:
            return {};
        case ConnectionState::Phase::Receiving:
            if (elapsedMs < (s.first ? kFirstRequestTimeoutMs : kLaterRequestTimeoutMs) &&
                (s.first || nowMs - s.lastByteAt < kStallTimeoutMs))
                return {};
            return {CloseAction::ErrorThenShutDown, CloseReason::RequestTimeout};
        case ConnectionState::Phase::Silent:
            if (s.unread || (!draining && elapsedMs < kFirstRequestTimeoutMs)) return {};
            return {CloseAction::ShutDown, draining ? CloseReason::Draining : CloseReason::Silent};
        case ConnectionState::Phase::Idle:
            if (s.unsent)
                return stalled ? Decision{CloseAction::Close, CloseReason::FlushTimeout} : Decision{};
            if (s.unread || (!draining && elapsedMs < (capacity == Capacity::Ample ? kIdleTimeoutMs
                                                                                   : kShortIdleTimeoutMs)))
                return {};
            return {CloseAction::ShutDown, draining ? CloseReason::Draining : CloseReason::Idle};
        case ConnectionState::Phase::Closing:
            if (s.hungUp) return {CloseAction::Close, CloseReason::LastAnswer};
            if (s.flushedAt < 0)
                return stalled ? Decision{CloseAction::Close, CloseReason::FlushTimeout} : Decision{};
            return nowMs - s.flushedAt >= kCloseLingerMs
                       ? Decision{CloseAction::Close, CloseReason::LastAnswer}
                       : Decision{};
    }
    return {};
}

// Whether the connection may be evicted at the connection limit: not if part of an answer would be lost. If
// none may be, who comes has to wait.
inline bool mayBeEvicted(const ConnectionState& s) {
    return s.phase != ConnectionState::Phase::Open && (!s.unsent || s.hungUp);
}

// Whether `a` is evicted before `b` at the connection limit; for connections that may be. Answered and
// flushed ones go first, then those that have been without a complete request for longest, then those with
// unread or unsent data.
inline bool evictedBefore(const ConnectionState& a, const ConnectionState& b) {
    const auto rank = [](const ConnectionState& s) {
        if (s.phase == ConnectionState::Phase::Closing) {
            if (s.hungUp) return 0;
            // Closing a socket with unread bytes sends a reset, which may overtake the answer.
            return s.flushedAt < 0 ? 3 : s.unread ? 2 : 0;
        }
        return s.unread ? 2 : 1;
    };
    if (rank(a) != rank(b)) return rank(a) < rank(b);
    return a.since < b.since;
}

// Upper bounds on the descriptors for connections to clients and to nodes. The rest is reserved for the loop,
// the listener, discovery (two connections while its address changes), datagram sockets and the log.
struct DescriptorShares {
    std::size_t clients = 0, nodes = 0;
};
inline DescriptorShares splitDescriptors(std::size_t descriptors) {
    constexpr std::size_t kReserved = 24, kMinShare = 8;
    const std::size_t free =
        descriptors > kReserved + 2 * kMinShare ? descriptors - kReserved : 2 * kMinShare;
    return {free / 2, free - free / 2};
}

}  // namespace spokewheel::fronts::http
