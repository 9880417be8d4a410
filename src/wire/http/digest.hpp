// Digests of content in HTTP fields (RFC 9530): `Repr-Digest: sha-256=:BASE64:`, a dictionary of structured
// fields (RFC 8941, 3.2) with byte sequences as values (3.3.5). Free of I/O.
#pragma once

#include <string>
#include <string_view>

namespace spokewheel::wire::http {

// The value of Repr-Digest for this content.
std::string reprDigest(std::string_view content);

enum class Digest {
    Absent,   // no sha-256 in it: algorithms that are not spoken are passed over (RFC 9530, 2)
    Matches,  // the content is what was told of
    Differs,
    Bad  // not a dictionary, or a sha-256 that can't be one
};
// What the value of a Repr-Digest says of the content. Where a key comes twice the last one counts.
Digest checkDigest(std::string_view value, std::string_view content);

}  // namespace spokewheel::wire::http
