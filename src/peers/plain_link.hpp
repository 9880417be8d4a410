// The scheduler's messages to and from the other schedulers of the platform, over UDP and without a header:
// the sender is known by its configured address. Messages may be lost; those from other addresses are
// dropped.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "io/connection.hpp"

namespace spokewheel::peers {

class PlainLink {
  public:
    struct Counts {
        std::uint64_t sent = 0, received = 0, unknown = 0, oversized = 0;
    };
    using Received = std::function<void(int from, std::string bytes)>;
    // Throws std::runtime_error if it can't listen. `peers` are the addresses by rank, with this scheduler's
    // own. `all` reaches every peer at once; without a port a message to all is sent to each peer separately.
    PlainLink(int rank, const io::Address& listen, std::vector<io::Address> peers, io::Address all,
              Received received);
    // Sends to the peer of rank `to`, or to every peer if it is -1.
    void send(int to, const std::string& bytes);
    const Counts& counts() const { return counts_; }

    static constexpr std::size_t kMaxDatagramBytes = 256;  // by the platform's protocol

  private:
    int rank_;
    std::vector<io::Address> peers_;
    io::Address all_;
    std::map<std::string, int> ranks_;
    Received received_;
    Counts counts_;
    std::unique_ptr<io::DatagramSocket> socket_;
};

}  // namespace spokewheel::peers
