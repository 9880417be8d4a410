#include "wire/peer/datagram.hpp"

namespace spokewheel::wire::peer {
namespace {

constexpr std::string_view kMagic = "SPW1";
constexpr std::size_t kHead = 4 + 2 + 8 + 8;

template <class T>
void put(std::string& out, T x) {
    for (std::size_t i = 0; i < sizeof(T); ++i)
        out += static_cast<char>(x >> (8 * (sizeof(T) - 1 - i)) & 255);
}
template <class T>
T get(std::string_view in, std::size_t at) {
    std::uint64_t x = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) x = x << 8 | static_cast<unsigned char>(in[at + i]);
    return static_cast<T>(x);
}
bool equalInConstantTime(std::string_view a, std::string_view b) {
    unsigned differ = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < a.size() && i < b.size(); ++i)
        differ |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    return differ == 0;
}

}  // namespace

std::string pack(const Datagram& d, const Digest& digest) {
    std::string out(kMagic);
    put(out, d.from);
    put(out, d.incarnation);
    put(out, d.sequence);
    out += d.payload;
    return out + digest(out);
}

std::optional<Datagram> unpack(std::string_view bytes, const Digest& digest, Fault& fault) {
    fault = Fault::Malformed;
    if (bytes.size() < kHead + kDigestBytes || bytes.size() > kHead + kMostPayload + kDigestBytes)
        return std::nullopt;
    fault = Fault::Version;
    if (bytes.substr(0, 4) != kMagic) return std::nullopt;
    fault = Fault::Digest;
    const auto signedPart = bytes.substr(0, bytes.size() - kDigestBytes);
    if (!equalInConstantTime(digest(signedPart), bytes.substr(signedPart.size()))) return std::nullopt;
    fault = Fault::None;
    return Datagram{get<std::uint16_t>(bytes, 4), get<std::uint64_t>(bytes, 6), get<std::uint64_t>(bytes, 14),
                    std::string(signedPart.substr(kHead))};
}

bool ReplayGuard::take(const Datagram& d) {
    auto& s = seen_[d.from];
    if (d.incarnation < s.incarnation) return false;
    if (d.incarnation > s.incarnation) s = {d.incarnation, d.sequence, 1};
    else if (d.sequence > s.newest) {
        const auto ahead = d.sequence - s.newest;
        s.window = ahead >= 64 ? 1 : s.window << ahead | 1;
        s.newest = d.sequence;
    } else {
        const auto behind = s.newest - d.sequence;
        if (behind >= 64 || (s.window >> behind & 1)) return false;
        s.window |= std::uint64_t(1) << behind;
    }
    return true;
}

}  // namespace spokewheel::wire::peer
