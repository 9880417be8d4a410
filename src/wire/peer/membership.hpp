// Messages by which schedulers share the list of storage nodes while their list service is unreachable: a
// query, and an answer in as many datagrams as it needs, each of which can be used without the others. Free
// of I/O and clocks.
//
// Figures are big-endian. Query: kind (1 byte), nonce (4). Answer: kind (1), nonce (4), version of the
// sender's list (4), part (2), parts (2), time since the sender last heard from its list service in 100 ms
// (2), then 7 bytes per node: digest of its id (5) and its age in 100 ms (2; 65535: that or more). Notice:
// kind (1), revision (8), then 9 bytes per node: digest (5), age since its start (2; 65535: not usable any
// more), and by how much the revision of its change is lower (2). Life sign: kind (1), time since the sender
// last heard from its list service in 100 ms (2), revision of its latest notice (8). Question and answer
// whether the receiver vouches for the sender: kind (1), nonce (4). The kinds continue those of the
// scheduler's messages (policy/peer_messages.cpp), which ignores unknown ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spokewheel::wire::peer {

constexpr std::size_t kMaxMembershipBytes = 256;  // per datagram, by the platform's protocol
constexpr std::size_t kMaxMembersPerPart = 34;
constexpr std::size_t kMaxMembershipParts = 4096;

struct MembershipQuery {
    std::uint32_t nonce = 0;  // repeated in the answer
};

// A node that accepts requests according to the sender's list.
struct Member {
    std::uint64_t idDigest = 0;  // idDigest() of its id
    double ageMs = 0;            // since its start; kMaxAgeMs: that or more
};
constexpr double kAgeUnitMs = 100, kMaxAgeMs = 65535 * kAgeUnitMs;

struct MembershipPart {
    std::uint32_t nonce = 0;
    std::uint32_t listVersion = 0;  // parts with the same version of a sender's list belong together
    std::uint16_t part = 0, parts = 1;
    double lastContactAgeMs = 0;  // since the sender last heard from its list service
    std::vector<Member> members;
};

// A change of the node list that the sender's list service has reported.
struct ChangedNode {
    std::uint64_t idDigest = 0;
    std::int64_t revision = 0;  // of the list that has it
    bool usable = false;        // false: draining or removed; true: started anew
    double ageMs = 0;           // of a usable node, since its start
};

// Tells witnesses that the sender, whose list service has answered it, is alive.
struct LifeSign {
    double lastContactAgeMs = 0;       // since the sender last heard from its list service
    std::int64_t noticedRevision = 0;  // the highest of the changes that it has sent notices of; 0: none
};
// Asks a witness whether this machine's list service can have learned nothing since the sender's previous
// process ended.
struct VouchQuery {
    std::uint32_t nonce = 0;  // repeated in the answer
};
// The answer, if it is yes; otherwise there is none.
struct Vouch {
    std::uint32_t nonce = 0;
};

// A 40-bit hash of a node's id, the same on every machine.
std::uint64_t idDigest(std::string_view id);

std::string pack(const MembershipQuery& query);
std::string pack(const LifeSign& sign);
std::string pack(const VouchQuery& query);
std::string pack(const Vouch& vouch);
// Encodes all parts of one answer; `head` provides nonce, version and age of the last contact. Ages are
// rounded down, so that a node never appears older than it is.
std::vector<std::string> packMembership(const MembershipPart& head, const std::vector<Member>& members);
// Encodes changes in as many datagrams as they need.
std::vector<std::string> packNotices(const std::vector<ChangedNode>& nodes);
// Decode untrusted bytes; nothing if they are not a complete message of this kind within its bounds.
std::optional<MembershipQuery> readMembershipQuery(std::string_view bytes);
std::optional<MembershipPart> readMembershipPart(std::string_view bytes);
std::optional<std::vector<ChangedNode>> readNotice(std::string_view bytes);
std::optional<LifeSign> readLifeSign(std::string_view bytes);
std::optional<VouchQuery> readVouchQuery(std::string_view bytes);
std::optional<Vouch> readVouch(std::string_view bytes);

}  // namespace spokewheel::wire::peer
