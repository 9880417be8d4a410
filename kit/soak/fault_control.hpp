// Memory shared between the soak harness and the fault shim inside one scheduler process: what the shim
// should inject now, and what it injected and saw. Plain atomics; zero means no fault.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace spokewheel::soak {

// Injected faults, as indices of the rates and counters.
enum class Fault : std::size_t {
    AcceptError,      // accept fails for a moment
    SocketError,      // socket fails for a moment
    ConnectError,     // connect fails at once for a reason of this machine
    ShortRead,        // recv returns fewer bytes than there are
    ShortWrite,       // send takes fewer bytes than it could
    ReadError,        // recv on a connection fails with ETIMEDOUT or EHOSTUNREACH
    PollInterrupted,  // poll returns EINTR
    PollDelay,        // poll returns late, by up to pollDelayMs
    ConnectDelay,     // a connection comes up late, by up to connectDelayMs
    DatagramLoss,     // a datagram is lost
    Count
};
constexpr std::size_t kFaultCount = static_cast<std::size_t>(Fault::Count);
constexpr const char* kControlVariable = "SPOKEWHEEL_FAULT_CONTROL";  // path of the file that is mapped
constexpr const char* kSeedVariable = "SPOKEWHEEL_FAULT_SEED";

struct FaultControl {
    std::atomic<std::uint32_t> ratePermille[kFaultCount];
    std::atomic<std::uint32_t> pollDelayMs, connectDelayMs;
    std::atomic<std::int64_t> wallOffsetUs;  // added to CLOCK_REALTIME
    std::atomic<std::uint64_t> injected[kFaultCount];
    // Bytes that the process has read from accepted connections, by the port of the other side.
    std::atomic<std::uint64_t> bytesReadByPort[65536];
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

}  // namespace spokewheel::soak
