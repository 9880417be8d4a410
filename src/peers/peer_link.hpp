// The module's messages to and from the other hosts, over UDP with a keyed digest. Loss is expected; what is
// forged, repeated, garbled or from nobody known is dropped and counted.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "io/connection.hpp"
#include "wire/peer/datagram.hpp"

namespace spokewheel::peers {

struct PeerCounters {
    std::uint64_t sent = 0, received = 0, malformed = 0, forged = 0, replayed = 0, unknown = 0, oversized = 0;
};

class PeerLink {
  public:
    using Received = std::function<void(int from, std::string bytes)>;
    // `incarnation` must grow with each start of this host.
    PeerLink(int rank, const io::Address& listen, std::string key, std::uint64_t incarnation,
             Received received);
    void addPeer(int rank, const io::Address& address) { addresses_[rank] = address; }
    void send(int to, const std::string& bytes);  // -1: every peer
    const PeerCounters& counters() const { return counters_; }

  private:
    void onDatagram(std::string_view bytes);
    int rank_;
    std::string key_;
    std::uint64_t incarnation_, sequence_ = 0;
    Received received_;
    std::map<int, io::Address> addresses_;
    wire::peer::ReplayGuard replay_;
    PeerCounters counters_;
    wire::peer::Digest digest_;
    std::unique_ptr<io::DatagramSocket> socket_;
};

}  // namespace spokewheel::peers
