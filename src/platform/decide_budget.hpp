// How a scheduler divides its descriptor and memory limits among its parts. Free of I/O and clocks.
#pragma once

#include <algorithm>
#include <cstddef>

#include "fronts/http/decide_connections.hpp"
#include "nodes/node_client.hpp"

namespace spokewheel::platform {

// Bounds of the pool of connections to disk servers. The connections to one server are already bounded by the
// scheduling module's windows; `maxPerNode` only guards against a fault there. All pools together get their
// share of the descriptors. Idle connections are closed somewhat before the disk server would close them.
inline nodes::PoolLimits poolLimits(std::size_t sockets, double connIdleMs, double dialTimeoutMs) {
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
    return limits;
}

// The budget for all that grows with requests and their answers (fronts/http/decide_memory.hpp): half of the
// memory less what each connection takes by itself. The other half is for the program, the node list, what
// the scheduling module keeps (stateMemory()), and fragmentation.
inline std::size_t requestMemory(std::size_t sockets, std::size_t memoryMb) {
    constexpr std::size_t kBytesPerDescriptor = 4096;
    const std::size_t memory = memoryMb * 1024 * 1024;
    const std::size_t connections = sockets * kBytesPerDescriptor;
    return std::max(memory / 8, memory / 2 > connections ? memory / 2 - connections : 0);
}

// What the scheduling module may keep of volumes and keys (Settings::stateBytes).
inline std::size_t stateMemory(std::size_t memoryMb) {
    constexpr std::size_t kFraction = 8;
    return memoryMb * 1024 * 1024 / kFraction;
}

// How many requests can be open at once; each occupies a connection. `configured`: the limit in the settings,
// 0 if there is none.
inline int maxOpenRequests(std::size_t sockets, int configured) {
    const int byConnections =
        static_cast<int>(std::min<std::size_t>(fronts::http::maxRequestConnections(sockets), 1000000));
    return configured > 0 ? std::min(configured, byConnections) : byConnections;
}

}  // namespace spokewheel::platform
