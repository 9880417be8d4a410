// Incremental whole-file checksum of any kind that the protocol negotiates.
#pragma once

#include <glib.h>
#include <xxhash.h>

#include <memory>
#include <string>
#include <string_view>

#include "wire/rsync/tokens.hpp"

namespace spokewheel::fronts::rsync {

class FileSum {
  public:
    explicit FileSum(wire::rsync::SumKind kind)
        : kind_(kind), xxh64_(nullptr, &freeXxh64), xxh3_(nullptr, &freeXxh3), md5_(nullptr, &freeMd5) {
        using wire::rsync::SumKind;
        if (kind == SumKind::Md5) md5_.reset(g_checksum_new(G_CHECKSUM_MD5));
        else if (kind == SumKind::Xxh64) {
            xxh64_.reset(XXH64_createState());
            XXH64_reset(xxh64_.get(), 0);
        } else {
            xxh3_.reset(XXH3_createState());
            if (kind == SumKind::Xxh3) XXH3_64bits_reset(xxh3_.get());
            else XXH3_128bits_reset(xxh3_.get());
        }
    }
    void add(std::string_view bytes) {
        using wire::rsync::SumKind;
        if (kind_ == SumKind::Md5)
            g_checksum_update(md5_.get(), reinterpret_cast<const guchar*>(bytes.data()),
                              static_cast<gssize>(bytes.size()));
        else if (kind_ == SumKind::Xxh3) XXH3_64bits_update(xxh3_.get(), bytes.data(), bytes.size());
        else if (kind_ == SumKind::Xxh64) XXH64_update(xxh64_.get(), bytes.data(), bytes.size());
        else XXH3_128bits_update(xxh3_.get(), bytes.data(), bytes.size());
    }
    // The digest in the protocol's binary form: low half first, little endian.
    std::string wireDigest() {
        using wire::rsync::SumKind;
        std::string out;
        if (kind_ == SumKind::Md5) {
            guint8 bytes[16];
            gsize n = sizeof bytes;
            g_checksum_get_digest(md5_.get(), bytes, &n);
            return {reinterpret_cast<char*>(bytes), n};
        }
        if (kind_ == SumKind::Xxh3) wire::rsync::putU64(out, XXH3_64bits_digest(xxh3_.get()));
        else if (kind_ == SumKind::Xxh64) wire::rsync::putU64(out, XXH64_digest(xxh64_.get()));
        else {
            const auto hash = XXH3_128bits_digest(xxh3_.get());
            wire::rsync::putU64(out, hash.low64);
            wire::rsync::putU64(out, hash.high64);
        }
        return out;
    }
    // The digest in the catalogue's hex form. Only for kind Xxh128.
    std::string hex() const {
        const auto hash = XXH3_128bits_digest(xxh3_.get());
        char out[33];
        g_snprintf(out, sizeof out, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                   static_cast<unsigned long long>(hash.low64));
        return out;
    }

  private:
    static void freeXxh3(XXH3_state_t* s) { XXH3_freeState(s); }
    static void freeXxh64(XXH64_state_t* s) { XXH64_freeState(s); }
    static void freeMd5(GChecksum* s) { g_checksum_free(s); }
    wire::rsync::SumKind kind_;
    std::unique_ptr<XXH64_state_t, void (*)(XXH64_state_t*)> xxh64_;
    std::unique_ptr<XXH3_state_t, void (*)(XXH3_state_t*)> xxh3_;
    std::unique_ptr<GChecksum, void (*)(GChecksum*)> md5_;
};

}  // namespace spokewheel::fronts::rsync
