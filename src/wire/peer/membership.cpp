#include "wire/peer/membership.hpp"

#include <algorithm>

namespace spokewheel::wire::peer {
namespace {

constexpr char kQuery = 5, kAnswer = 6;
constexpr std::size_t kKindBytes = 1, kNonceBytes = 4, kVersionBytes = 4, kCountBytes = 2, kAgeBytes = 2,
                      kDigestIdBytes = 5;
constexpr std::size_t kQueryBytes = kKindBytes + kNonceBytes;
constexpr std::size_t kAnswerHeadBytes = kQueryBytes + kVersionBytes + 2 * kCountBytes + kAgeBytes;
constexpr std::size_t kMemberBytes = kDigestIdBytes + kAgeBytes;
constexpr std::uint64_t kMostAgeUnits = 65535;
static_assert(kAnswerHeadBytes + kMembersInPart * kMemberBytes <= kMostMembershipBytes);

void put(std::string& out, std::uint64_t value, std::size_t bytes) {
    for (std::size_t i = bytes; i-- > 0;) out += static_cast<char>(value >> (8 * i) & 255);
}

std::uint64_t take(std::string_view& in, std::size_t bytes) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) value = value << 8 | static_cast<unsigned char>(in[i]);
    in.remove_prefix(bytes);
    return value;
}

std::uint64_t ageUnits(double ageMs) {
    return std::min(kMostAgeUnits, static_cast<std::uint64_t>(std::max(0.0, ageMs) / kAgeUnitMs));
}

double ageOf(std::uint64_t units) { return static_cast<double>(units) * kAgeUnitMs; }

}  // namespace

// FNV-1a (64 bits, folded to 40): few lines, and no library has to agree on it from one build to the next.
std::uint64_t idDigest(std::string_view id) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : id) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    constexpr unsigned kBits = 8 * kDigestIdBytes;
    return (hash ^ hash >> kBits) & ((std::uint64_t{1} << kBits) - 1);
}

std::string pack(const MembershipQuery& query) {
    std::string out(1, kQuery);
    put(out, query.nonce, kNonceBytes);
    return out;
}

std::vector<std::string> packMembership(const MembershipPart& head, const std::vector<Member>& members) {
    const std::size_t needed = (members.size() + kMembersInPart - 1) / kMembersInPart;
    const std::size_t parts = std::clamp<std::size_t>(needed, 1, kMostMembershipParts);
    std::vector<std::string> out;
    for (std::size_t part = 0; part < parts; ++part) {
        std::string bytes(1, kAnswer);
        put(bytes, head.nonce, kNonceBytes);
        put(bytes, head.listVersion, kVersionBytes);
        put(bytes, part, kCountBytes);
        put(bytes, parts, kCountBytes);
        put(bytes, ageUnits(head.wordAgeMs), kAgeBytes);
        const std::size_t end = std::min(members.size(), (part + 1) * kMembersInPart);
        for (std::size_t i = part * kMembersInPart; i < end; ++i) {
            put(bytes, members[i].idDigest, kDigestIdBytes);
            put(bytes, ageUnits(members[i].ageMs), kAgeBytes);
        }
        out.push_back(std::move(bytes));
    }
    return out;
}

std::optional<MembershipQuery> readMembershipQuery(std::string_view bytes) {
    if (bytes.size() != kQueryBytes || bytes.front() != kQuery) return std::nullopt;
    bytes.remove_prefix(kKindBytes);
    return MembershipQuery{static_cast<std::uint32_t>(take(bytes, kNonceBytes))};
}

std::optional<MembershipPart> readMembershipPart(std::string_view bytes) {
    if (bytes.size() < kAnswerHeadBytes || bytes.size() > kMostMembershipBytes || bytes.front() != kAnswer ||
        (bytes.size() - kAnswerHeadBytes) % kMemberBytes != 0)
        return std::nullopt;
    bytes.remove_prefix(kKindBytes);
    MembershipPart part;
    part.nonce = static_cast<std::uint32_t>(take(bytes, kNonceBytes));
    part.listVersion = static_cast<std::uint32_t>(take(bytes, kVersionBytes));
    part.part = static_cast<std::uint16_t>(take(bytes, kCountBytes));
    part.parts = static_cast<std::uint16_t>(take(bytes, kCountBytes));
    if (part.part >= part.parts || part.parts > kMostMembershipParts) return std::nullopt;
    part.wordAgeMs = ageOf(take(bytes, kAgeBytes));
    while (!bytes.empty()) {
        const auto digest = take(bytes, kDigestIdBytes);
        part.members.push_back({digest, ageOf(take(bytes, kAgeBytes))});
    }
    return part;
}

}  // namespace spokewheel::wire::peer
