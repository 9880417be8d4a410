// Memory shared between the soak harness and the fault shim inside one scheduler process: what the shim
// should inject now, and what it injected and saw. Plain atomics; zero means no fault.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace spokewheel::soak {

// Injected faults, as indices of the rates and counters.
enum class Fault : std::size_t {
    Accept,      // accept fails for a moment
    Socket,      // socket fails for a moment
    Connect,     // connect fails at once for a reason of this machine
    ShortRead,   // recv returns fewer bytes than there are
    ShortWrite,  // send takes fewer bytes than it could
    BreakRead,   // recv on a connection fails with ETIMEDOUT or EHOSTUNREACH
    Interrupt,   // poll returns EINTR
    Pause,       // poll returns late, by up to pauseMs
    SlowDial,    // a connection comes up late, by up to dialMs
    LosePeers,   // a datagram is lost
    Count
};
constexpr std::size_t kFaults = static_cast<std::size_t>(Fault::Count);
constexpr const char* kControlVariable = "SPOKEWHEEL_FAULT_CONTROL";  // path of the file that is mapped
constexpr const char* kSeedVariable = "SPOKEWHEEL_FAULT_SEED";

struct FaultControl {
    std::atomic<std::uint32_t> permille[kFaults];
    std::atomic<std::uint32_t> pauseMs, dialMs;
    std::atomic<std::int64_t> wallOffsetUs;  // added to CLOCK_REALTIME
    std::atomic<std::uint64_t> injected[kFaults];
    // Bytes that the process has read from accepted connections, by the port of the other side.
    std::atomic<std::uint64_t> readFromPort[65536];
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

}  // namespace spokewheel::soak
