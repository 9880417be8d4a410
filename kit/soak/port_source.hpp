// Allocates ports for the processes and servers of a soak. No port is allocated twice on this machine while
// the process that holds it runs, so that harnesses that run side by side never conflict, even if a port is
// only bound later.
#pragma once

#include <cstdint>
#include <vector>

namespace spokewheel::soak {

// Reserves ports in blocks. A block belongs to the process that has bound the abstract socket (unix(7)) named
// after it, and becomes free when that process ends.
class PortSource {
  public:
    explicit PortSource(std::uint64_t seed);
    ~PortSource();
    PortSource(const PortSource&) = delete;
    PortSource& operator=(const PortSource&) = delete;
    // A port that is bound neither over TCP nor over UDP. Throws std::runtime_error if none is left.
    int take();

  private:
    bool reserveBlock(int block);
    int block_, portsUsed_;
    int blocksTried_ = 0;
    std::vector<int> lockSockets_;  // descriptors of the reserved blocks' sockets
};

}  // namespace spokewheel::soak
