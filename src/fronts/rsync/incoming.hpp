// One file on its way in: the piece being filled, checksums of the whole, what has been stored so far.
#pragma once

#include <glib.h>
#include <xxhash.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "catalogue/file_version.hpp"
#include "fronts/rsync/basis.hpp"
#include "host/memory.hpp"
#include "wire/rsync/tokens.hpp"

namespace spokewheel::fronts::rsync {

struct Incoming {
    std::int32_t index = 0;
    int round = 0;                   // in which it came
    catalogue::FileVersion version;  // what it becomes once all of it is stored
    std::shared_ptr<Basis> basis;
    std::string piece;
    host::Memory::Lease lease;
    std::vector<catalogue::Piece> pieces;
    std::uint64_t size = 0;
    std::size_t piecesOpen = 0;
    bool ended = false, verified = false;
    std::string fault;

    explicit Incoming(wire::rsync::SumKind kind)
        : xxh(XXH3_createState(), &freeState), md5(nullptr, &freeMd5) {
        XXH3_128bits_reset(xxh.get());
        if (kind == wire::rsync::SumKind::Md5) md5.reset(g_checksum_new(G_CHECKSUM_MD5));
    }
    void add(std::string_view bytes) {
        XXH3_128bits_update(xxh.get(), bytes.data(), bytes.size());
        if (md5)
            g_checksum_update(md5.get(), reinterpret_cast<const guchar*>(bytes.data()),
                              static_cast<gssize>(bytes.size()));
        piece += bytes;
        size += bytes.size();
    }
    // The whole file's checksum as the protocol carries it; and as it is kept, in hex.
    std::string sum() {
        const auto h = XXH3_128bits_digest(xxh.get());
        std::string out;
        if (md5) {
            guint8 bytes[16];
            gsize n = sizeof bytes;
            g_checksum_get_digest(md5.get(), bytes, &n);
            return {reinterpret_cast<char*>(bytes), n};
        }
        for (const auto half : {h.low64, h.high64}) {
            wire::rsync::putU32(out, static_cast<std::uint32_t>(half));
            wire::rsync::putU32(out, static_cast<std::uint32_t>(half >> 32));
        }
        return out;
    }
    std::string digest() const {
        const auto h = XXH3_128bits_digest(xxh.get());
        char out[33];
        g_snprintf(out, sizeof out, "%016llx%016llx", static_cast<unsigned long long>(h.high64),
                   static_cast<unsigned long long>(h.low64));
        return out;
    }

  private:
    static void freeState(XXH3_state_t* s) { XXH3_freeState(s); }
    static void freeMd5(GChecksum* s) { g_checksum_free(s); }
    std::unique_ptr<XXH3_state_t, void (*)(XXH3_state_t*)> xxh;
    std::unique_ptr<GChecksum, void (*)(GChecksum*)> md5;
};

}  // namespace spokewheel::fronts::rsync
