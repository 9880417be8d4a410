// Fuzzes the decoders of peer datagrams, catalogue metadata and piece lists: what is accepted must not change
// when it is encoded and decoded again.
#include <cstdlib>

#include "catalogue/file_version.hpp"
#include "fuzz/driver.hpp"
#include "wire/peer/datagram.hpp"
#include "wire/peer/membership.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace spokewheel;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const wire::peer::KeyedDigest constantDigest = [](std::string_view) {
        return std::string(wire::peer::kDigestBytes, 'd');
    };
    wire::peer::Fault fault;
    if (const auto datagram = wire::peer::unpack(text, constantDigest, fault)) {
        wire::peer::ReplayGuard guard;
        guard.accept(*datagram);
        if (guard.accept(*datagram) || wire::peer::pack(*datagram, constantDigest) != text) std::abort();
    }
    if (const auto query = wire::peer::readMembershipQuery(text))
        if (wire::peer::pack(*query) != text) std::abort();
    if (const auto query = wire::peer::readVouchQuery(text))
        if (wire::peer::pack(*query) != text) std::abort();
    if (const auto vouch = wire::peer::readVouch(text))
        if (wire::peer::pack(*vouch) != text) std::abort();
    if (const auto sign = wire::peer::readLifeSign(text))
        if (wire::peer::pack(*sign) != text) std::abort();
    if (const auto part = wire::peer::readMembershipPart(text)) {
        if (part->part >= part->parts || part->members.size() > wire::peer::kMaxMembersPerPart) std::abort();
        const auto packed = wire::peer::packMembership(*part, part->members);
        if (packed.size() != 1 || (part->parts == 1 && packed[0] != text)) std::abort();
    }
    if (const auto nodes = wire::peer::readNotice(text)) {
        const auto packed = wire::peer::packNotices(*nodes);
        if (packed.size() != 1 || wire::peer::readNotice(packed[0])->size() != nodes->size()) std::abort();
    }
    if (const auto version = catalogue::decode(text))
        if (const auto decoded = catalogue::decode(catalogue::encode(*version));
            !decoded || decoded->path != version->path)
            std::abort();
    if (const auto pieces = catalogue::decodePieces(text, 100))
        if (!catalogue::decodePieces(catalogue::encode(*pieces), 100)) std::abort();
    return 0;
}
