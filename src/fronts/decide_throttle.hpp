// Limits the rate at which a session writes to its client (rsync's --bwlimit). Free of I/O and clocks: times
// are passed in, in milliseconds.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace spokewheel::fronts {

class Throttle {
  public:
    // 0: no limit.
    explicit Throttle(std::uint64_t bytesPerSecond)
        : bytesPerMs_(static_cast<double>(bytesPerSecond) / 1000) {}
    bool enabled() const { return bytesPerMs_ > 0; }
    // The most that may be written at once: that of a tenth of a second, so that the flow is even.
    std::size_t maxWriteBytes() const {
        return static_cast<std::size_t>(std::max(1024.0, bytesPerMs_ * 100));
    }
    // Time until more may be written; 0: now.
    double waitMs(double nowMs) const { return enabled() ? std::max(0.0, nextWriteMs_ - nowMs) : 0; }
    // Unused time earns no credit for later writes.
    void onWritten(std::size_t bytes, double nowMs) {
        if (enabled())
            nextWriteMs_ = std::max(nextWriteMs_, nowMs) + static_cast<double>(bytes) / bytesPerMs_;
    }

  private:
    double bytesPerMs_, nextWriteMs_ = 0;
};

}  // namespace spokewheel::fronts
