#include "wire/peer/membership.hpp"

#include <algorithm>
#include <limits>

namespace spokewheel::wire::peer {
namespace {

constexpr char kQueryKind = 5, kAnswerKind = 6, kNoticeKind = 8, kLifeSignKind = 9, kVouchQueryKind = 10,
               kVouchKind = 11;
constexpr std::size_t kKindBytes = 1, kNonceBytes = 4, kVersionBytes = 4, kCountBytes = 2, kAgeBytes = 2,
                      kIdDigestBytes = 5;
constexpr std::size_t kQueryBytes = kKindBytes + kNonceBytes;
constexpr std::size_t kAnswerHeaderBytes = kQueryBytes + kVersionBytes + 2 * kCountBytes + kAgeBytes;
constexpr std::size_t kMemberBytes = kIdDigestBytes + kAgeBytes;
constexpr std::size_t kRevisionBytes = 8, kRevisionOffsetBytes = 2;
constexpr std::size_t kNoticeHeaderBytes = kKindBytes + kRevisionBytes;
constexpr std::size_t kChangeBytes = kIdDigestBytes + kAgeBytes + kRevisionOffsetBytes;
constexpr std::size_t kMaxChangesPerNotice = (kMaxMembershipBytes - kNoticeHeaderBytes) / kChangeBytes;
constexpr std::size_t kLifeSignBytes = kKindBytes + kAgeBytes + kRevisionBytes;
constexpr std::int64_t kMaxRevisionOffset = 65535;
constexpr std::uint64_t kMaxAgeUnits = 65535;
static_assert(kAnswerHeaderBytes + kMaxMembersPerPart * kMemberBytes <= kMaxMembershipBytes);

void put(std::string& out, std::uint64_t value, std::size_t bytes) {
    for (std::size_t i = bytes; i-- > 0;) out += static_cast<char>(value >> (8 * i) & 255);
}

std::uint64_t take(std::string_view& in, std::size_t bytes) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) value = value << 8 | static_cast<unsigned char>(in[i]);
    in.remove_prefix(bytes);
    return value;
}

std::uint64_t ageUnitsOf(double ageMs) {
    return std::min(kMaxAgeUnits, static_cast<std::uint64_t>(std::max(0.0, ageMs) / kAgeUnitMs));
}

double ageMsOf(std::uint64_t units) { return static_cast<double>(units) * kAgeUnitMs; }

std::string packNonce(char kind, std::uint32_t nonce) {
    std::string out(1, kind);
    put(out, nonce, kNonceBytes);
    return out;
}

std::optional<std::uint32_t> readNonce(char kind, std::string_view bytes) {
    if (bytes.size() != kQueryBytes || bytes.front() != kind) return std::nullopt;
    bytes.remove_prefix(kKindBytes);
    return static_cast<std::uint32_t>(take(bytes, kNonceBytes));
}

}  // namespace

// FNV-1a, 64 bits folded to 40. Implemented here, so that hosts of different builds agree on the value
// whatever libraries they use.
std::uint64_t idDigest(std::string_view id) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : id) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    constexpr unsigned kBits = 8 * kIdDigestBytes;
    return (hash ^ hash >> kBits) & ((std::uint64_t{1} << kBits) - 1);
}

std::string pack(const MembershipQuery& query) { return packNonce(kQueryKind, query.nonce); }
std::string pack(const VouchQuery& query) { return packNonce(kVouchQueryKind, query.nonce); }
std::string pack(const Vouch& vouch) { return packNonce(kVouchKind, vouch.nonce); }

std::string pack(const LifeSign& sign) {
    std::string out(1, kLifeSignKind);
    put(out, ageUnitsOf(sign.lastContactAgeMs), kAgeBytes);
    put(out, static_cast<std::uint64_t>(sign.noticedRevision), kRevisionBytes);
    return out;
}

std::vector<std::string> packMembership(const MembershipPart& head, const std::vector<Member>& members) {
    const std::size_t needed = (members.size() + kMaxMembersPerPart - 1) / kMaxMembersPerPart;
    const std::size_t parts = std::clamp<std::size_t>(needed, 1, kMaxMembershipParts);
    std::vector<std::string> out;
    for (std::size_t part = 0; part < parts; ++part) {
        std::string bytes(1, kAnswerKind);
        put(bytes, head.nonce, kNonceBytes);
        put(bytes, head.listVersion, kVersionBytes);
        put(bytes, part, kCountBytes);
        put(bytes, parts, kCountBytes);
        put(bytes, ageUnitsOf(head.lastContactAgeMs), kAgeBytes);
        const std::size_t end = std::min(members.size(), (part + 1) * kMaxMembersPerPart);
        for (std::size_t i = part * kMaxMembersPerPart; i < end; ++i) {
            put(bytes, members[i].idDigest, kIdDigestBytes);
            put(bytes, ageUnitsOf(members[i].ageMs), kAgeBytes);
        }
        out.push_back(std::move(bytes));
    }
    return out;
}

std::optional<MembershipQuery> readMembershipQuery(std::string_view bytes) {
    const auto nonce = readNonce(kQueryKind, bytes);
    return nonce ? std::optional(MembershipQuery{*nonce}) : std::nullopt;
}

std::optional<VouchQuery> readVouchQuery(std::string_view bytes) {
    const auto nonce = readNonce(kVouchQueryKind, bytes);
    return nonce ? std::optional(VouchQuery{*nonce}) : std::nullopt;
}

std::optional<Vouch> readVouch(std::string_view bytes) {
    const auto nonce = readNonce(kVouchKind, bytes);
    return nonce ? std::optional(Vouch{*nonce}) : std::nullopt;
}

std::optional<LifeSign> readLifeSign(std::string_view bytes) {
    if (bytes.size() != kLifeSignBytes || bytes.front() != kLifeSignKind) return std::nullopt;
    bytes.remove_prefix(kKindBytes);
    LifeSign sign;
    sign.lastContactAgeMs = ageMsOf(take(bytes, kAgeBytes));
    const auto revision = take(bytes, kRevisionBytes);
    if (revision > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) return std::nullopt;
    sign.noticedRevision = static_cast<std::int64_t>(revision);
    return sign;
}

std::optional<MembershipPart> readMembershipPart(std::string_view bytes) {
    if (bytes.size() < kAnswerHeaderBytes || bytes.size() > kMaxMembershipBytes ||
        bytes.front() != kAnswerKind || (bytes.size() - kAnswerHeaderBytes) % kMemberBytes != 0)
        return std::nullopt;
    bytes.remove_prefix(kKindBytes);
    MembershipPart part;
    part.nonce = static_cast<std::uint32_t>(take(bytes, kNonceBytes));
    part.listVersion = static_cast<std::uint32_t>(take(bytes, kVersionBytes));
    part.part = static_cast<std::uint16_t>(take(bytes, kCountBytes));
    part.parts = static_cast<std::uint16_t>(take(bytes, kCountBytes));
    if (part.part >= part.parts || part.parts > kMaxMembershipParts) return std::nullopt;
    part.lastContactAgeMs = ageMsOf(take(bytes, kAgeBytes));
    while (!bytes.empty()) {
        const auto digest = take(bytes, kIdDigestBytes);
        part.members.push_back({digest, ageMsOf(take(bytes, kAgeBytes))});
    }
    return part;
}

std::vector<std::string> packNotices(const std::vector<ChangedNode>& nodes) {
    std::vector<std::string> out;
    for (std::size_t first = 0; first < nodes.size(); first += kMaxChangesPerNotice) {
        const std::size_t end = std::min(nodes.size(), first + kMaxChangesPerNotice);
        std::int64_t latest = 0;
        for (std::size_t i = first; i < end; ++i) latest = std::max(latest, nodes[i].revision);
        std::string bytes(1, kNoticeKind);
        put(bytes, static_cast<std::uint64_t>(latest), kRevisionBytes);
        for (std::size_t i = first; i < end; ++i) {
            const auto& node = nodes[i];
            put(bytes, node.idDigest, kIdDigestBytes);
            put(bytes, node.usable ? std::min(ageUnitsOf(node.ageMs), kMaxAgeUnits - 1) : kMaxAgeUnits,
                kAgeBytes);
            put(bytes, static_cast<std::uint64_t>(std::min(latest - node.revision, kMaxRevisionOffset)),
                kRevisionOffsetBytes);
        }
        out.push_back(std::move(bytes));
    }
    return out;
}

std::optional<std::vector<ChangedNode>> readNotice(std::string_view bytes) {
    if (bytes.size() <= kNoticeHeaderBytes || bytes.size() > kMaxMembershipBytes ||
        bytes.front() != kNoticeKind || (bytes.size() - kNoticeHeaderBytes) % kChangeBytes != 0)
        return std::nullopt;
    bytes.remove_prefix(kKindBytes);
    const auto latest = take(bytes, kRevisionBytes);
    if (latest > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) return std::nullopt;
    std::vector<ChangedNode> out;
    while (!bytes.empty()) {
        ChangedNode node;
        node.idDigest = take(bytes, kIdDigestBytes);
        const auto age = take(bytes, kAgeBytes);
        node.usable = age < kMaxAgeUnits;
        node.ageMs = node.usable ? ageMsOf(age) : 0;
        node.revision =
            static_cast<std::int64_t>(latest) - static_cast<std::int64_t>(take(bytes, kRevisionOffsetBytes));
        out.push_back(node);
    }
    return out;
}

}  // namespace spokewheel::wire::peer
