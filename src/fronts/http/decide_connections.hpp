// Which client connection is closed, and when. Free of I/O and clocks; times are milliseconds of one clock.
#pragma once

#include <cstddef>

namespace spokewheel::fronts::http {

// What is known of one connection.
struct Standing {
    enum class Phase {
        Silent,    // connected, nothing has come yet
        Speaking,  // a request has come in part
        Open,      // a whole request waits for its answer
        Idle,      // an answer went out and nothing has come since
        Leaving    // its last answer is out; what still comes is read and dropped
    } phase = Phase::Silent;
    double since = 0;  // when this phase began
};

// A whole request must have come this long after its first byte, and the first byte this long after the
// connection: a client that can't be read is owed an error or a close within 3 s of connecting.
constexpr double kWholeRequestMs = 2400;
// A kept connection without a request. With room it stays: it is what a client has left where this scheduler
// is told to stop. Without, it closes as soon as the platform allows: some clients ask once and keep theirs
// for good. A request that crosses the close is sent again by its client, for nothing of it was read.
constexpr double kIdleMs = 20000, kIdleShortMs = 2050;
// How long the end of a client that got an error is waited for, so that a reset doesn't eat the error.
constexpr double kLeaveMs = 500;
constexpr std::size_t kLeaveBytes = 256 * 1024;

// For requests clients hold at most a third of the descriptors, what idles of theirs counted in: once that is
// full, requests find no connection.
inline std::size_t heldForRequests(std::size_t descriptors) { return descriptors / 3; }
enum class Room {
    Plenty,
    Short,  // idle connections give theirs up early
    None    // each answer ends its connection, so that the place goes to whoever has a request
};
inline Room roomOf(std::size_t connections, std::size_t descriptors) {
    constexpr double kShort = 0.5, kNone = 0.85;  // of the third
    const double part = static_cast<double>(connections) / static_cast<double>(heldForRequests(descriptors));
    return part > kNone ? Room::None : part > kShort ? Room::Short : Room::Plenty;
}

enum class Do { Keep, Close, TellAndClose };

inline Do decide(const Standing& s, Room room, double nowMs) {
    const double past = nowMs - s.since;
    switch (s.phase) {
        case Standing::Phase::Open:
            return Do::Keep;
        case Standing::Phase::Speaking:
            return past >= kWholeRequestMs ? Do::TellAndClose : Do::Keep;
        case Standing::Phase::Silent:
            return past >= kWholeRequestMs ? Do::Close : Do::Keep;
        case Standing::Phase::Idle:
            return past >= (room == Room::Plenty ? kIdleMs : kIdleShortMs) ? Do::Close : Do::Keep;
        case Standing::Phase::Leaving:
            return past >= kLeaveMs ? Do::Close : Do::Keep;
    }
    return Do::Keep;
}

// Whether `a` goes before `b` where there are too many. One with an open request never goes; of the others
// those that are on their way out, then the one that has been without a whole request for longest.
inline bool goesBefore(const Standing& a, const Standing& b) {
    const auto rank = [](const Standing& s) { return s.phase == Standing::Phase::Leaving ? 0 : 1; };
    if (rank(a) != rank(b)) return rank(a) < rank(b);
    return a.since < b.since;
}

// How the descriptors that the process may hold are shared out, both as bounds. What is neither clients' nor
// nodes' is for the loop, the listener, discovery (two while its address changes), datagrams and the log.
struct Shares {
    std::size_t clients = 0, nodes = 0;
};
inline Shares sharesOf(std::size_t descriptors) {
    constexpr std::size_t kReserve = 24, kLeast = 8;
    const std::size_t free = descriptors > kReserve + 2 * kLeast ? descriptors - kReserve : 2 * kLeast;
    return {free / 2, free - free / 2};
}

}  // namespace spokewheel::fronts::http
