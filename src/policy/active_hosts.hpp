// Remembers which other hosts recently reported work for a volume, whether or not this host knows the volume.
// Once as many peers report work as a volume has hosts, its requests no longer come through this host.
// Takes a bounded number of bytes; free of I/O and clocks, times are milliseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace spokewheel {

class ActiveHosts {
  public:
    explicit ActiveHosts(std::size_t maxBytes) : maxBytes_(maxBytes) {}
    void record(std::int64_t volume, int rank, double nowMs);
    // The number of hosts that recently reported work; the largest std::size_t where the volume may have been
    // left out for lack of room.
    std::size_t count(std::int64_t volume, double nowMs) const;
    void removeExpired(double nowMs);
    std::size_t size() const { return volumes_.size(); }

  private:
    struct Report {
        int rank = 0;
        double atMs = 0;
    };
    using LastReports = std::vector<Report>;  // one of each host
    std::size_t maxBytes_;
    std::map<std::int64_t, LastReports> volumes_;
    double overflowedAtMs_ = -1e18;
};

}  // namespace spokewheel
