// Peer datagrams, catalogue metadata and lists of pieces: what is taken comes back the same when written.
#include <cstdlib>

#include "catalogue/file_version.hpp"
#include "fuzz/driver.hpp"
#include "wire/peer/datagram.hpp"
#include "wire/peer/membership.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace spokewheel;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const wire::peer::Digest none = [](std::string_view) {
        return std::string(wire::peer::kDigestBytes, 'd');
    };
    wire::peer::Fault fault;
    if (const auto d = wire::peer::unpack(text, none, fault)) {
        wire::peer::ReplayGuard guard;
        guard.take(*d);
        if (guard.take(*d) || wire::peer::pack(*d, none) != text) std::abort();
    }
    if (const auto query = wire::peer::readMembershipQuery(text))
        if (wire::peer::pack(*query) != text) std::abort();
    if (const auto part = wire::peer::readMembershipPart(text)) {
        if (part->part >= part->parts || part->members.size() > wire::peer::kMembersInPart) std::abort();
        const auto again = wire::peer::packMembership(*part, part->members);
        if (again.size() != 1 || (part->parts == 1 && again[0] != text)) std::abort();
    }
    if (const auto v = catalogue::decode(text))
        if (const auto back = catalogue::decode(catalogue::encode(*v)); !back || back->path != v->path)
            std::abort();
    if (const auto p = catalogue::decodePieces(text, 100))
        if (!catalogue::decodePieces(catalogue::encode(*p), 100)) std::abort();
    return 0;
}
