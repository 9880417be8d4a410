#include "wire/rsync/tokens.hpp"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <array>

namespace spokewheel::wire::rsync {
namespace {

constexpr std::size_t kLiteral = 32 * 1024, kPacked = 16383, kUnpacked = 64 * 1024;
constexpr std::uint8_t kEnd = 0x00, kLong = 0x20, kRunLong = 0x21, kDeflated = 0x40, kRel = 0x80,
                       kRunRel = 0xc0;

}  // namespace

std::size_t sizeOf(SumKind kind) { return kind == SumKind::Xxh64 || kind == SumKind::Xxh3 ? 8 : kSumBytes; }

std::optional<SumKind> sumKind(std::string_view name) {
    if (name == "xxh128") return SumKind::Xxh128;
    if (name == "xxh3") return SumKind::Xxh3;
    if (name == "xxh64" || name == "xxhash") return SumKind::Xxh64;
    if (name == "md5") return SumKind::Md5;
    return std::nullopt;
}

void putSumHead(std::string& out, const SumHead& head) {
    for (const auto x : {head.count, head.length, head.sumBytes, head.remainder})
        putU32(out, static_cast<std::uint32_t>(x));
}
SumHead getSumHead(Reader& in) {
    SumHead h;
    h.count = in.i32();
    h.length = in.i32();
    h.sumBytes = in.i32();
    h.remainder = in.i32();
    if (!in.enough()) return h;
    const bool fine = h.count >= 0 && h.length >= 0 && h.length <= kMostBlock && h.sumBytes >= 0 &&
                      h.sumBytes <= static_cast<std::int32_t>(kSumBytes) && h.remainder >= 0 &&
                      h.remainder <= h.length && (h.count == 0 || h.length > 0);
    if (!fine) in.fail("block checksums with figures out of range");
    return h;
}

void Rolling::start(std::string_view bytes) {
    a = b = 0;
    for (const char c : bytes) {
        a += static_cast<std::uint32_t>(static_cast<signed char>(c));
        b += a;
    }
}

std::string blockSum(SumKind kind, Md5 md5, std::string_view block, std::int32_t seed, bool seedFirst) {
    std::string out;
    if (kind == SumKind::Xxh128) {
        const auto sum = XXH3_128bits_withSeed(block.data(), block.size(), static_cast<XXH64_hash_t>(seed));
        putU64(out, sum.low64);
        putU64(out, sum.high64);
        return out;
    }
    if (kind == SumKind::Xxh3 || kind == SumKind::Xxh64) {
        const auto from = static_cast<XXH64_hash_t>(seed);
        putU64(out, kind == SumKind::Xxh3 ? XXH3_64bits_withSeed(block.data(), block.size(), from)
                                          : XXH64(block.data(), block.size(), from));
        return out;
    }
    std::string salt;
    if (seed) putU32(salt, static_cast<std::uint32_t>(seed));
    return seedFirst ? md5(salt, block) : md5(block, salt);
}

// ---------------------------------------------------------------- reading
struct TokenReader::State {
    bool zstd = false;
    ZSTD_DStream* stream = nullptr;
    std::string packed, unpacked, error;
    std::size_t packedAt = 0;
    std::uint32_t literalLeft = 0;
    std::int32_t block = 0, run = 0;
    bool inflating = false;
    ~State() { ZSTD_freeDStream(stream); }

    Token bad(std::string why) {
        error = std::move(why);
        return {Token::Kind::Bad, {}, 0};
    }
    Token plain(std::string_view& in) {
        if (literalLeft == 0) {
            Reader r(in);
            const auto n = r.i32();
            if (!r.enough()) return {};
            in.remove_prefix(r.used());
            if (n == 0) return {Token::Kind::End, {}, 0};
            if (n < 0) return {Token::Kind::Block, {}, -(n + 1)};
            literalLeft = static_cast<std::uint32_t>(n);
        }
        const auto n = std::min<std::size_t>({in.size(), literalLeft, kUnpacked});
        if (n == 0) return {};
        const auto part = in.substr(0, n);
        in.remove_prefix(n);
        literalLeft -= static_cast<std::uint32_t>(n);
        return {Token::Kind::Literal, part, 0};
    }
    Token inflate() {
        if (!stream) stream = ZSTD_createDStream();
        unpacked.resize(kUnpacked);
        ZSTD_inBuffer from{packed.data(), packed.size(), packedAt};
        ZSTD_outBuffer to{unpacked.data(), unpacked.size(), 0};
        const auto result = ZSTD_decompressStream(stream, &to, &from);
        if (ZSTD_isError(result)) return bad(std::string("zstd: ") + ZSTD_getErrorName(result));
        packedAt = from.pos;
        // More may wait inside the stream only where it filled all of the room.
        inflating = packedAt < packed.size() || to.pos == to.size;
        return to.pos ? Token{Token::Kind::Literal, std::string_view(unpacked).substr(0, to.pos), 0}
                      : Token{};
    }
    Token next(std::string_view& in) {
        if (!zstd) return plain(in);
        while (inflating) {
            const auto token = inflate();
            if (token.kind != Token::Kind::More) return token;
        }
        if (run > 0) {
            --run;
            return {Token::Kind::Block, {}, ++block};
        }
        Reader r(in);
        const auto flag = r.byte();
        if ((flag & 0xc0) == kDeflated) {
            const std::size_t n = static_cast<std::size_t>(flag & 0x3f) << 8 | r.byte();
            const auto bytes = r.bytes(n);
            if (!r.enough()) return {};
            packed = bytes;
            packedAt = 0;
            inflating = true;
            in.remove_prefix(r.used());
            return next(in);
        }
        if (!r.enough()) return {};
        if (flag == kEnd) {
            in.remove_prefix(r.used());
            block = 0;
            return {Token::Kind::End, {}, 0};
        }
        std::int32_t at = block;
        bool many = false;
        if (flag & kRel) {
            at += flag & 0x3f;
            many = (flag >> 6) & 1;
        } else if (flag == kLong || flag == kRunLong) {
            at = r.i32();
            many = flag & 1;
        } else return bad("unknown token flag");
        const std::int32_t more = many ? r.u16() : 0;
        if (!r.enough()) return {};
        if (at < 0) return bad("negative block number");
        in.remove_prefix(r.used());
        block = at;
        run = more;
        return {Token::Kind::Block, {}, block};
    }
};
TokenReader::TokenReader(bool zstd) : state_(std::make_unique<State>()) { state_->zstd = zstd; }
TokenReader::~TokenReader() = default;
TokenReader::TokenReader(TokenReader&&) noexcept = default;
TokenReader& TokenReader::operator=(TokenReader&&) noexcept = default;
Token TokenReader::next(std::string_view& in) {
    if (!state_->error.empty()) return {Token::Kind::Bad, {}, 0};
    return state_->next(in);
}
const std::string& TokenReader::error() const { return state_->error; }

// ---------------------------------------------------------------- writing
struct TokenWriter::State {
    bool zstd = false, dirty = false;
    int level = 3;
    ZSTD_CCtx* stream = nullptr;
    std::int32_t runStart = -1, last = -1, lastRunEnd = 0;
    ~State() { ZSTD_freeCCtx(stream); }

    void pack(std::string& out, std::string_view bytes, bool flush) {
        if (!stream) {
            stream = ZSTD_createCCtx();
            ZSTD_CCtx_setParameter(stream, ZSTD_c_compressionLevel, level);
        }
        ZSTD_inBuffer from{bytes.data(), bytes.size(), 0};
        std::array<char, kPacked> room;
        for (;;) {
            ZSTD_outBuffer to{room.data(), room.size(), 0};
            const auto left =
                ZSTD_compressStream2(stream, &to, &from, flush ? ZSTD_e_flush : ZSTD_e_continue);
            if (to.pos) {
                out += static_cast<char>(kDeflated + (to.pos >> 8));
                out += static_cast<char>(to.pos & 255);
                out.append(room.data(), to.pos);
            }
            if (from.pos == from.size && (!flush || left == 0)) break;
        }
        dirty = !flush;
    }
    void flushRun(std::string& out) {
        if (last < 0) return;
        const auto r = runStart - lastRunEnd, n = last - runStart;
        if (r >= 0 && r <= 63) out += static_cast<char>((n == 0 ? kRel : kRunRel) + r);
        else {
            out += static_cast<char>(n == 0 ? kLong : kRunLong);
            putU32(out, static_cast<std::uint32_t>(runStart));
        }
        if (n) putU16(out, static_cast<std::uint16_t>(n));
        lastRunEnd = last;
        last = -1;
    }
};
TokenWriter::TokenWriter(bool zstd, int level) : state_(std::make_unique<State>()) {
    state_->zstd = zstd;
    state_->level = level;
}
TokenWriter::~TokenWriter() = default;
TokenWriter::TokenWriter(TokenWriter&&) noexcept = default;
TokenWriter& TokenWriter::operator=(TokenWriter&&) noexcept = default;

void TokenWriter::literal(std::string& out, std::string_view bytes) {
    if (bytes.empty()) return;
    if (state_->zstd) {
        state_->flushRun(out);
        return state_->pack(out, bytes, false);
    }
    while (!bytes.empty()) {
        const auto n = std::min(bytes.size(), kLiteral);
        putU32(out, static_cast<std::uint32_t>(n));
        out += bytes.substr(0, n);
        bytes.remove_prefix(n);
    }
}
void TokenWriter::block(std::string& out, std::int32_t index) {
    if (!state_->zstd) return putU32(out, static_cast<std::uint32_t>(-(index + 1)));
    auto& s = *state_;
    if (s.dirty) s.pack(out, {}, true);  // what lies before the block must be out before it
    if (s.last >= 0 && index == s.last + 1 && index < s.runStart + 65536) {
        s.last = index;
        return;
    }
    s.flushRun(out);
    s.runStart = s.last = index;
}
void TokenWriter::end(std::string& out) {
    if (!state_->zstd) return putU32(out, 0);
    auto& s = *state_;
    if (s.dirty) s.pack(out, {}, true);
    s.flushRun(out);
    out += static_cast<char>(kEnd);
    s.lastRunEnd = 0;
}

}  // namespace spokewheel::wire::rsync
