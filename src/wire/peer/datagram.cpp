#include "wire/peer/datagram.hpp"

namespace spokewheel::wire::peer {
namespace {

constexpr std::string_view kMagic = "SPW1";
constexpr std::size_t kHeaderBytes = 4 + 2 + 8 + 8;  // magic, sender, incarnation, sequence

template <class T>
void put(std::string& out, T value) {
    for (std::size_t i = 0; i < sizeof(T); ++i)
        out += static_cast<char>(value >> (8 * (sizeof(T) - 1 - i)) & 255);
}
template <class T>
T get(std::string_view in, std::size_t at) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) value = value << 8 | static_cast<unsigned char>(in[at + i]);
    return static_cast<T>(value);
}
// Takes the same time wherever the texts differ, so that a forger cannot find a digest byte by byte.
bool equalInConstantTime(std::string_view a, std::string_view b) {
    unsigned differ = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < a.size() && i < b.size(); ++i)
        differ |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    return differ == 0;
}

}  // namespace

std::string pack(const Datagram& datagram, const KeyedDigest& digest) {
    std::string out(kMagic);
    put(out, datagram.from);
    put(out, datagram.incarnation);
    put(out, datagram.sequence);
    out += datagram.payload;
    return out + digest(out);
}

std::optional<Datagram> unpack(std::string_view bytes, const KeyedDigest& digest, Fault& fault) {
    fault = Fault::Malformed;
    if (bytes.size() < kHeaderBytes + kDigestBytes ||
        bytes.size() > kHeaderBytes + kMaxPayloadBytes + kDigestBytes)
        return std::nullopt;
    fault = Fault::Version;
    if (bytes.substr(0, 4) != kMagic) return std::nullopt;
    fault = Fault::Digest;
    const auto authenticated = bytes.substr(0, bytes.size() - kDigestBytes);
    if (!equalInConstantTime(digest(authenticated), bytes.substr(authenticated.size()))) return std::nullopt;
    fault = Fault::None;
    return Datagram{get<std::uint16_t>(bytes, 4), get<std::uint64_t>(bytes, 6), get<std::uint64_t>(bytes, 14),
                    std::string(authenticated.substr(kHeaderBytes))};
}

bool ReplayGuard::accept(const Datagram& datagram) {
    auto& sender = senders_[datagram.from];
    if (datagram.incarnation < sender.incarnation) return false;
    if (datagram.incarnation > sender.incarnation) sender = {datagram.incarnation, datagram.sequence, 1};
    else if (datagram.sequence > sender.newest) {
        const auto ahead = datagram.sequence - sender.newest;
        sender.receivedBits = ahead >= 64 ? 1 : sender.receivedBits << ahead | 1;
        sender.newest = datagram.sequence;
    } else {
        const auto behind = sender.newest - datagram.sequence;
        if (behind >= 64 || (sender.receivedBits >> behind & 1)) return false;
        sender.receivedBits |= std::uint64_t(1) << behind;
    }
    return true;
}

}  // namespace spokewheel::wire::peer
