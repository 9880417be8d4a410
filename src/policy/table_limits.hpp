// How many entries the scheduler keeps under names that clients choose, or that peers pass on from theirs, so
// that all tables together stay within Settings::stateBytes. Free of I/O and clocks.
#pragma once

#include <cstddef>

namespace spokewheel {

// Bytes that each table may take. What does not fit is refused or passed over; what is done then is stated at
// each table.
struct TableLimits {
    std::size_t volumes = 0, pools = 0, activeHosts = 0, keys = 0;
};

inline TableLimits tableLimits(std::size_t stateBytes) {
    return {stateBytes / 2, stateBytes / 4, stateBytes / 8, stateBytes / 8};
}

// Bytes of an allocation beyond its content: the header of the allocator and rounding.
constexpr std::size_t kAllocationBytes = 16;
// Bytes of a std::map node beyond its value.
constexpr std::size_t kMapNodeBytes = 32 + kAllocationBytes;

}  // namespace spokewheel
