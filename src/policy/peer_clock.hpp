// Translates the subperiods of a peer, numbered by the peer's clock, into this host's numbering. The two
// differ where the wall clock was stepped between the starts of the two processes; the first report of each
// process of the peer shows by how much. Free of I/O and clocks: times are milliseconds on the host's clock.
#pragma once

#include <cstdint>

namespace spokewheel {

// The period T of the credit algorithm divided into its K subperiods.
constexpr double kSubperiodMs = 250;

std::uint64_t subperiodOf(double nowMs);

class PeerClock {
  public:
    // Records a report of the peer's process `incarnation`. False: that process came before the present one.
    bool onReport(std::uint32_t incarnation, std::uint64_t peerSubperiod, double nowMs);
    // This host's number of a subperiod that the peer named. One later than `ownSubperiod`, the present one,
    // shows that the first report came late, and corrects the offset.
    std::uint64_t toLocalSubperiod(std::uint64_t peerSubperiod, std::uint64_t ownSubperiod, double nowMs);

  private:
    std::uint64_t shifted(std::uint64_t peerSubperiod) const;

    std::uint32_t incarnation_ = 0, previousIncarnation_ = 0;
    std::int64_t offset_ = 0;  // in subperiods
    bool heard_ = false;
};

}  // namespace spokewheel
