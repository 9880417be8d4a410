// Receive times of TCP data, as the kernel stamps them (SO_TIMESTAMPING, Documentation/networking/
// timestamping.rst of Linux). Where the system gives none, nothing depends on them but their precision.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace spokewheel::io {

// The most that peekStamp() looks at.
constexpr std::size_t kMaxPeekBytes = 256 * 1024 + 1;

// What waits in a socket, without reading it.
struct PeekedStamp {
    std::size_t available = 0;      // bytes that wait, up to those asked for
    std::optional<double> stampMs;  // of the last of them, on the kernel's wall clock
};

// Returns whether the system stamps what arrives on this socket from now on. To be called for a listening
// socket too: what arrives before a connection is accepted has a stamp then.
bool requestReceiveStamps(int descriptor);
PeekedStamp peekStamp(int descriptor, std::size_t bytes);
// The number of segments with data that have arrived on the connection; 0 if it is not known.
std::uint32_t dataSegmentsReceived(int descriptor);

}  // namespace spokewheel::io
