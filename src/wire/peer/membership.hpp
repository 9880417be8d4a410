// What schedulers tell each other about the list of storage nodes while its service is silent: a query, and
// an answer in as many datagrams as it needs, each of which can be used without the others. No I/O, no clock.
//
// All figures are big-endian. Query: kind (1 byte), nonce (4). Answer: kind (1), nonce (4), version of the
// sender's list (4), part (2), parts (2), age of the sender's last word from its list service in 100 ms (2),
// then 7 bytes a node: digest of its id (5) and its age in 100 ms (2; 65535: that or more). Kinds follow
// those of the decision module (policy/peer_messages.cpp), which drops what it doesn't know.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spokewheel::wire::peer {

constexpr std::size_t kMostMembershipBytes = 256;  // of a datagram, by the platform's protocol
constexpr std::size_t kMembersInPart = 34;
constexpr std::size_t kMostMembershipParts = 4096;

struct MembershipQuery {
    std::uint32_t nonce = 0;  // comes back in the answer
};

// A node that takes requests, by the sender's list.
struct Member {
    std::uint64_t idDigest = 0;  // as idDigest() gives it
    double ageMs = 0;            // since its start; kOldestAgeMs: that or more
};
constexpr double kAgeUnitMs = 100, kOldestAgeMs = 65535 * kAgeUnitMs;

struct MembershipPart {
    std::uint32_t nonce = 0;
    std::uint32_t listVersion = 0;  // parts of one version of a sender's list belong together
    std::uint16_t part = 0, parts = 1;
    double wordAgeMs = 0;  // since the sender's list service spoke last
    std::vector<Member> members;
};

// 40 bits of a hash of the id, the same on every machine.
std::uint64_t idDigest(std::string_view id);

std::string pack(const MembershipQuery& query);
// All parts of one answer; `head` gives nonce, version and age of the word. Ages are rounded down, so that a
// node never looks older than it is.
std::vector<std::string> packMembership(const MembershipPart& head, const std::vector<Member>& members);
// Nothing where the bytes are not such a message, whole and within its bounds.
std::optional<MembershipQuery> readMembershipQuery(std::string_view bytes);
std::optional<MembershipPart> readMembershipPart(std::string_view bytes);

}  // namespace spokewheel::wire::peer
