// Which other hosts reported work for a volume lately, known volumes or not: where as many did as a volume
// has hosts, its requests come through those. Bounded; free of I/O and clocks, times are milliseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace spokewheel {

class VolumeUsers {
  public:
    void heard(std::int64_t volume, int rank, double nowMs);
    // How many; more than any volume has hosts where there was no room to remember.
    std::size_t count(std::int64_t volume, double nowMs) const;
    void forgetOld(double nowMs);

  private:
    using LastHeard = std::map<int, double>;  // by rank
    std::map<std::int64_t, LastHeard> volumes_;
    double overflowedAtMs_ = -1e18;
};

}  // namespace spokewheel
