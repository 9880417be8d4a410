// The datagrams between hosts: the module's bytes with sender, incarnation and sequence under a keyed digest
// (the digest itself is handed in). Also what a receiver must remember to drop repeats. No I/O, no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace spokewheel::wire::peer {

constexpr std::size_t kDigestBytes = 32, kMostPayload = 1024;

struct Datagram {
    std::uint16_t from = 0;
    std::uint64_t incarnation = 0;  // of the sender's process; grows with each start
    std::uint64_t sequence = 0;
    std::string payload;
};
using Digest = std::function<std::string(std::string_view)>;  // kDigestBytes long

std::string pack(const Datagram& d, const Digest& digest);
enum class Fault { None, Malformed, Version, Digest };
std::optional<Datagram> unpack(std::string_view bytes, const Digest& digest, Fault& fault);

// A window of sequences per sender, as IPsec's anti-replay has it (RFC 4303, 3.4.3): late ones within the
// window are taken once, older ones and repeats never; an incarnation below the newest seen is refused.
class ReplayGuard {
  public:
    bool take(const Datagram& d);

  private:
    struct Seen {
        std::uint64_t incarnation = 0, newest = 0, window = 0;
    };
    std::map<std::uint16_t, Seen> seen_;
};

}  // namespace spokewheel::wire::peer
