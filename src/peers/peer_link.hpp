// The scheduler's messages to and from the other hosts, over UDP with a keyed digest. Messages may be lost;
// those that are forged, replayed, malformed or from an unknown sender are dropped and counted.
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

// `forged`: the digest is wrong; `oversized`: not sent.
struct PeerCounters {
    std::uint64_t sent = 0, received = 0, malformed = 0, forged = 0, replayed = 0, unknown = 0, oversized = 0;
};

class PeerLink {
  public:
    using Received = std::function<void(int from, std::string bytes)>;
    // `incarnation` must increase with each start of this host. `key` is that of the digests.
    PeerLink(int rank, const io::Address& listen, std::string key, std::uint64_t incarnation,
             Received received);
    void addPeer(int rank, const io::Address& address) { addresses_[rank] = address; }
    // Sends to the peer of rank `to`, or to every peer if it is -1.
    void send(int to, const std::string& bytes);
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
    wire::peer::KeyedDigest digest_;
    std::unique_ptr<io::DatagramSocket> socket_;
};

}  // namespace spokewheel::peers
