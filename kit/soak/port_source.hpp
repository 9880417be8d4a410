// Ports for the parties of a soak: none is handed out twice on this machine while its holder runs, so that
// harnesses beside one another, and parties that listen later, never meet on one.
#pragma once

#include <cstdint>
#include <vector>

namespace spokewheel::soak {

// Takes ports in blocks. A block belongs to the process that has bound the abstract socket (unix(7)) of its
// name, and is free again once that process has ended.
class PortSource {
  public:
    explicit PortSource(std::uint64_t seed);
    ~PortSource();
    PortSource(const PortSource&) = delete;
    PortSource& operator=(const PortSource&) = delete;
    // A port on which nobody listens, over TCP or UDP. Throws std::runtime_error where there is none left.
    int take();

  private:
    bool reserveBlock(int block);
    int block_, used_;
    int tried_ = 0;
    std::vector<int> locks_;  // descriptors, held for as long as this lives
};

}  // namespace spokewheel::soak
