// How much memory a response body takes while it is received, and whether it may take it. Free of I/O and
// clocks; sizes are bytes.
#pragma once

#include <algorithm>
#include <cstdint>

namespace spokewheel::nodes {

// Bodies have at most this size by the platform's protocol, though longer ones were observed.
constexpr std::uint64_t kUsualBodyBytes = 64 * 1024;
// A body whose length is not known grows by steps: while it is copied, the former and the new copy are there.
constexpr std::uint64_t kBodyStepBytes = 64 * 1024, kFirstBodyStepBytes = 16 * 1024;

struct AnswerMemory {
    std::uint64_t total = 0, free = 0;  // of the budget
};

// The capacity for a body of at least `bytes`, exact where that is its length.
inline std::uint64_t bodyCapacity(std::uint64_t bytes, bool lengthKnown) {
    if (lengthKnown) return bytes;
    const std::uint64_t step = bytes <= kUsualBodyBytes ? kFirstBodyStepBytes : kBodyStepBytes;
    return (bytes + step - 1) / step * step;
}

// Whether a body may take that capacity now. One without a known length may never end, so beyond the usual
// size it gets a fraction of what is free, and only while half of the budget is free: others have to fit.
inline bool mayTakeCapacity(std::uint64_t capacity, bool lengthKnown, const AnswerMemory& memory) {
    constexpr std::uint64_t kFractionOfFree = 8;
    if (capacity > memory.free) return false;
    if (lengthKnown || capacity <= kUsualBodyBytes) return true;
    return memory.free >= memory.total / 2 && capacity <= memory.free / kFractionOfFree;
}

}  // namespace spokewheel::nodes
