// How the subperiods that a peer numbers by its own clock lie to the own ones. A step of the wall clock
// between two starts sets them apart; the first report of each start of the peer tells by how much. Free of
// I/O and clocks: times are milliseconds on the host's clock.
#pragma once

#include <cstdint>

namespace spokewheel {

constexpr double kSubperiodMs = 250;  // T / K of the design

std::uint64_t subperiodOf(double nowMs);

class PeerClock {
  public:
    // A report came of the peer's start `incarnation`. False: of a start before the present one.
    bool meet(std::uint32_t incarnation, std::uint64_t toldSubperiod, double nowMs);
    // The own number of a subperiod that the peer named. One that lies ahead of `ownSubperiod`, the present
    // one, shows that the first report came late.
    std::uint64_t own(std::uint64_t toldSubperiod, std::uint64_t ownSubperiod, double nowMs);

  private:
    std::uint64_t number(std::uint64_t toldSubperiod) const;

    std::uint32_t incarnation_ = 0, previous_ = 0;
    std::int64_t shift_ = 0;  // of subperiods
    bool heard_ = false;
};

}  // namespace spokewheel
