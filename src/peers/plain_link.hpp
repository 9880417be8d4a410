// The module's messages to and from the other schedulers of the platform: the bytes as they are, the sender
// known by the address that the configuration gives it. Loss is expected; what comes from elsewhere is
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
    // Throws std::runtime_error where it can't listen. `peers` by rank, the own one included; `all` may have
    // no port: then each is told by itself.
    PlainLink(int rank, const io::Address& listen, std::vector<io::Address> peers, io::Address all,
              Received received);
    void send(int to, const std::string& bytes);  // -1: every peer
    const Counts& counts() const { return counts_; }

    static constexpr std::size_t kMaxDatagramBytes = 256;  // of a datagram, by the platform's protocol

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
