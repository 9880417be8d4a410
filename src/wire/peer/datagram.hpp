// Datagrams between hosts: the bytes of a scheduler message with sender, incarnation and sequence number,
// authenticated by a keyed digest that the caller provides. Also the receiver's protection against replays.
// Free of I/O and clocks.
//
// Figures are big-endian: magic "SPW1", sender (2 bytes), incarnation (8), sequence number (8), payload,
// digest of all that precedes it (32).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace spokewheel::wire::peer {

constexpr std::size_t kDigestBytes = 32, kMaxPayloadBytes = 1024;

struct Datagram {
    std::uint16_t from = 0;         // rank of the sender
    std::uint64_t incarnation = 0;  // of the sender's process; grows with each start
    std::uint64_t sequence = 0;
    std::string payload;
};
// A message authentication code (HMAC) of the bytes under the hosts' shared key, kDigestBytes long.
using KeyedDigest = std::function<std::string(std::string_view)>;

std::string pack(const Datagram& datagram, const KeyedDigest& digest);
// Why a datagram was refused: its size, its magic (another version), or its digest (a wrong key or forged).
enum class Fault { None, Malformed, Version, Digest };
// Nothing if the datagram is refused; `fault` is then set to the reason.
std::optional<Datagram> unpack(std::string_view bytes, const KeyedDigest& digest, Fault& fault);

// Rejects replayed datagrams with a window of 64 sequence numbers per sender, like IPsec's anti-replay
// service (RFC 4303, 3.4.3): late ones within the window are accepted once, older ones and repeats never.
// Datagrams of an incarnation below the newest seen are rejected.
class ReplayGuard {
  public:
    // Returns false if the datagram must be dropped. Call it only for datagrams with a valid digest.
    bool accept(const Datagram& datagram);

  private:
    struct SenderWindow {
        // receivedBits: bit i is set once sequence number `newest` - i was received
        std::uint64_t incarnation = 0, newest = 0, receivedBits = 0;
    };
    std::map<std::uint16_t, SenderWindow> senders_;
};

}  // namespace spokewheel::wire::peer
