// What a scheduler allows itself of its machine's limits. Free of I/O and clocks.
#pragma once

#include <algorithm>
#include <cstddef>

#include "fronts/http/decide_connections.hpp"
#include "fronts/http/server.hpp"
#include "nodes/node_client.hpp"

namespace spokewheel::platform {

// Connections to disk servers: to one of them the module's windows bound them, this is a bound on a mistake;
// all together have their share of the descriptors. Kept ones close some time before the disk server would.
// Answers on their way have a quarter of the memory.
inline nodes::PoolLimits poolCaps(std::size_t sockets, std::size_t memoryMb, double connIdleMs,
                                  double dialTimeoutMs) {
    constexpr std::size_t kMostToOne = 64;
    constexpr double kIdlePart = 0.8;
    // The time left to the client is told in the head, with a slack of 0.15 s until the last byte is there.
    constexpr double kWholeWithinMs = 120;
    nodes::PoolLimits caps;
    caps.maxPerNode = caps.maxIdlePerNode = kMostToOne;
    caps.maxTotal = fronts::http::sharesOf(sockets).nodes;
    caps.idleTimeoutMs = kIdlePart * connIdleMs;
    caps.connectTimeoutMs = dialTimeoutMs;
    caps.writeTimeoutMs = kWholeWithinMs;
    caps.maxBufferedBytes = memoryMb * 1024 * 1024 / 4;
    return caps;
}

// What waits unread behind open requests has an eighth of the memory.
inline fronts::http::Server::Caps serverCaps(std::size_t sockets, std::size_t memoryMb) {
    return {sockets, memoryMb * 1024 * 1024 / 8};
}

// Requests that can be open at once: each holds a connection. `told` is what the settings say; 0: nothing.
inline int mostOpen(std::size_t sockets, int told) {
    const int held = static_cast<int>(std::min<std::size_t>(fronts::http::heldForRequests(sockets), 1000000));
    return told > 0 ? std::min(told, held) : held;
}

}  // namespace spokewheel::platform
