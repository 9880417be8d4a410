// How fast a session may write what a client asked to get slowly (--bwlimit). Free of I/O and clocks: times
// are handed in, in milliseconds.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace spokewheel::fronts {

class Throttle {
  public:
    explicit Throttle(std::uint64_t bytesPerS) : perMs_(static_cast<double>(bytesPerS) / 1000) {}
    bool enabled() const { return perMs_ > 0; }
    // What may be written at once: a tenth of a second's worth, so that the flow is even.
    std::size_t maxWriteBytes() const { return static_cast<std::size_t>(std::max(1024.0, perMs_ * 100)); }
    // How long until more may be written; 0: now.
    double waitMs(double nowMs) const { return enabled() ? std::max(0.0, freeMs_ - nowMs) : 0; }
    // Time that was not used is not made up for.
    void onWritten(std::size_t bytes, double nowMs) {
        if (enabled()) freeMs_ = std::max(freeMs_, nowMs) + static_cast<double>(bytes) / perMs_;
    }

  private:
    double perMs_, freeMs_ = 0;
};

}  // namespace spokewheel::fronts
