// Memory shared between the soak harness and the fault shim in one scheduler process: the rates at which the
// shim injects faults, and its counters. Lock-free atomics; a file of zeros means no fault.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace spokewheel::soak {

// Faults that the shim injects; the values index the rates and counters of FaultControl.
enum class Fault : std::size_t {
    AcceptError,      // accept4 fails with a temporary error
    SocketError,      // socket fails with a temporary error
    ConnectError,     // connect fails at once with a local error
    ShortRead,        // recv returns fewer bytes than are available
    ShortWrite,       // send accepts fewer bytes than it could, or none (EAGAIN)
    ReadError,        // recv on an outgoing connection fails with ETIMEDOUT or EHOSTUNREACH
    PollInterrupted,  // poll fails with EINTR
    PollDelay,        // poll returns up to pollDelayMs late
    ConnectDelay,     // an outgoing connection is reported as established up to connectDelayMs late
    DatagramLoss,     // a datagram is dropped although the call reports success
    Count
};
constexpr std::size_t kFaultCount = static_cast<std::size_t>(Fault::Count);
constexpr const char* kControlVariable = "SPOKEWHEEL_FAULT_CONTROL";  // path of the mapped file
constexpr const char* kSeedVariable = "SPOKEWHEEL_FAULT_SEED";

struct FaultControl {
    std::atomic<std::uint32_t> ratePermille[kFaultCount];  // of the calls that can fail in this way
    std::atomic<std::uint32_t> pollDelayMs, connectDelayMs;
    std::atomic<std::int64_t> wallOffsetUs;            // added to CLOCK_REALTIME
    std::atomic<std::uint64_t> injected[kFaultCount];  // faults injected so far
    // Bytes that the process has read from its latest accepted connection from each client port.
    std::atomic<std::uint64_t> bytesReadByPort[65536];
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

}  // namespace spokewheel::soak
