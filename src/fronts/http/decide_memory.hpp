// Decides which requests of clients get memory while they are received and wait, which of them stay in their
// sockets for a moment, and which are refused. Free of I/O and clocks; times are milliseconds, sizes bytes.
//
// One budget covers all that grows with the number of connections: what is read of requests, bodies of open
// requests, requests that wait behind an open one on their connection, answers that disk servers are sending,
// and answers that clients have not read.
#pragma once

#include <cstddef>
#include <cstdint>

namespace spokewheel::fronts::http {

// Read at a time from a client. The rest waits in the socket, so little is read before the budget is asked.
constexpr std::size_t kClientReadChunkBytes = 4 * 1024;
// What a request that is being received or waits takes beyond its head and body.
constexpr std::size_t kRequestOverheadBytes = 2048;

enum class RequestPlace {
    Next,        // no request of its connection is open: it is passed on once it is complete
    BehindOpen,  // waits until the open request of its connection has its answer
};

enum class Admission {
    Admitted,
    Wait,    // the rest of it stays in the socket for now
    Refuse,  // its body is discarded as it arrives, and it is answered 503 in its turn: nothing was sent
};

struct MemoryState {
    std::uint64_t capacity = 0, used = 0;  // of the budget
    std::size_t ofConnection = 0;          // what the requests waiting on this connection take already
};

// Small bodies are always admitted, as those of all clients together need little: many large uploads must not
// keep small ones out.
constexpr std::size_t kSmallBodyBytes = 4096;
// A request gets its answer at most 0.5 s after its time is up, and how long that is can't be known while it
// waits in the socket. So it waits less than that, then it is read and refused.
constexpr double kMaxMemoryWaitMs = 400;
// Unread bytes up to which the end of a client's stream behind them reaches this machine: well below the
// smallest receive buffer of a socket. With more of them unread the client may have gone unnoticed.
constexpr std::size_t kMaxUnreadBytes = 16 * 1024;
// With that much unread when a request is to be passed on, what is unread is read first, so that a client
// that has left is noticed. For no longer than this: then the request is refused, as nothing was sent for it.
constexpr double kMaxHiddenEndMs = 100;
// How often connections are looked at on which reading is paused while a request is open.
constexpr double kPausedCheckMs = 50;

// Whether a request may take `bytes`. A quarter of the budget is left to answers, and half of it to requests
// that are next on their connection. A single request or connection gets a fraction of what is free, so that
// the others are admitted too.
inline bool mayTake(RequestPlace place, std::size_t bytes, const MemoryState& memory) {
    constexpr std::uint64_t kFractionOfFree = 8, kConnectionFractionOfFree = 4;
    const bool next = place == RequestPlace::Next;
    const std::uint64_t available = next ? memory.capacity * 3 / 4 : memory.capacity / 2;
    const std::uint64_t free = memory.used < available ? available - memory.used : 0;
    if (next) return bytes <= kSmallBodyBytes || bytes <= free / kFractionOfFree;
    return memory.ofConnection + bytes <= free / kConnectionFractionOfFree;
}

// `waitedMs`: how long it has waited for memory. `clientVisible`: the client's going would be noticed
// although its bytes stay in the socket.
inline Admission admit(RequestPlace place, std::size_t bytes, const MemoryState& memory, double waitedMs,
                       bool clientVisible) {
    if (mayTake(place, bytes, memory)) return Admission::Admitted;
    if (place == RequestPlace::BehindOpen) return clientVisible ? Admission::Wait : Admission::Refuse;
    return waitedMs < kMaxMemoryWaitMs ? Admission::Wait : Admission::Refuse;
}

}  // namespace spokewheel::fronts::http
