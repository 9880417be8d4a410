// Digests of content in HTTP fields (RFC 9530): `Repr-Digest: sha-256=:BASE64:`, a dictionary of structured
// fields (RFC 8941, 3.2) with byte sequences as values (3.3.5). Free of I/O.
#pragma once

#include <string>
#include <string_view>

namespace spokewheel::wire::http {

// The value of the Repr-Digest field for this content.
std::string reprDigest(std::string_view content);

enum class DigestCheck {
    Absent,    // no sha-256 member; members of other algorithms are ignored (RFC 9530, 2)
    Matches,   // the content has the stated digest
    Differs,   // the content has another digest
    Malformed  // not a dictionary, or its sha-256 member is no valid digest
};
// Compares the content with the value of a Repr-Digest field. The last of several members with the same key
// counts.
DigestCheck checkDigest(std::string_view value, std::string_view content);

}  // namespace spokewheel::wire::http
