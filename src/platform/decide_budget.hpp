// How a scheduler divides its descriptor and memory limits among its parts. Free of I/O and clocks.
#pragma once

#include <algorithm>
#include <cstddef>

#include "fronts/http/decide_connections.hpp"
#include "fronts/http/server.hpp"
#include "nodes/node_client.hpp"

namespace spokewheel::platform {

// Bounds of the pool of connections to disk servers. The connections to one server are already bounded by the
// scheduling module's windows; `maxPerNode` only guards against a fault there. All pools together get their
// share of the descriptors. Idle connections are closed somewhat before the disk server would close them.
// Answers being received get a quarter of the memory.
inline nodes::PoolLimits poolLimits(std::size_t sockets, std::size_t memoryMb, double connIdleMs,
                                    double dialTimeoutMs) {
    constexpr std::size_t kMaxPerNode = 64;
    constexpr double kIdleFraction = 0.8;
    // The head of a request states the client's remaining time; the last byte has to follow it within the
    // platform's tolerance of 0.15 s.
    constexpr double kWriteTimeoutMs = 120;
    nodes::PoolLimits limits;
    limits.maxPerNode = limits.maxIdlePerNode = kMaxPerNode;
    limits.maxTotal = fronts::http::splitDescriptors(sockets).nodes;
    limits.idleTimeoutMs = kIdleFraction * connIdleMs;
    limits.connectTimeoutMs = dialTimeoutMs;
    limits.writeTimeoutMs = kWriteTimeoutMs;
    limits.maxBufferedBytes = memoryMb * 1024 * 1024 / 4;
    return limits;
}

// Bytes pipelined behind open requests get an eighth of the memory.
inline fronts::http::Server::Caps serverCaps(std::size_t sockets, std::size_t memoryMb) {
    return {sockets, memoryMb * 1024 * 1024 / 8};
}

// How many requests can be open at once; each occupies a connection. `configured`: the limit in the settings,
// 0 if there is none.
inline int maxOpenRequests(std::size_t sockets, int configured) {
    const int byConnections =
        static_cast<int>(std::min<std::size_t>(fronts::http::maxRequestConnections(sockets), 1000000));
    return configured > 0 ? std::min(configured, byConnections) : byConnections;
}

}  // namespace spokewheel::platform
