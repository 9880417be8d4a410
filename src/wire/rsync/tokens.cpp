#include "wire/rsync/tokens.hpp"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <array>
#include <limits>

namespace spokewheel::wire::rsync {
namespace {

// kMaxPackedBytes: what the 14 bits of a length field can hold.
constexpr std::size_t kMaxLiteralBytes = 32 * 1024, kMaxPackedBytes = 16383, kUnpackBufferBytes = 64 * 1024;
// Flag bytes of the compressed encoding, named as in rsync; the low bits of some hold a number.
constexpr std::int32_t kMaxBlock = std::numeric_limits<std::int32_t>::max();
constexpr std::uint8_t kEndFlag = 0x00, kTokenLong = 0x20, kTokenRunLong = 0x21, kDeflatedData = 0x40,
                       kTokenRel = 0x80, kTokenRunRel = 0xc0;

}  // namespace

std::size_t sumSize(SumKind kind) {
    return kind == SumKind::Xxh64 || kind == SumKind::Xxh3 ? 8 : kMaxStrongSumBytes;
}

std::optional<SumKind> parseSumKind(std::string_view name) {
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
    SumHead head;
    head.count = in.i32();
    head.length = in.i32();
    head.sumBytes = in.i32();
    head.remainder = in.i32();
    if (!in.complete()) return head;
    const bool valid = head.count >= 0 && head.length >= 0 && head.length <= kMaxBlockBytes &&
                       head.sumBytes >= 0 && head.sumBytes <= static_cast<std::int32_t>(kMaxStrongSumBytes) &&
                       head.remainder >= 0 && head.remainder <= head.length &&
                       (head.count == 0 || head.length > 0);
    if (!valid) in.fail("block checksums with figures out of range");
    return head;
}

void RollingSum::start(std::string_view bytes) {
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
        const auto xxhSeed = static_cast<XXH64_hash_t>(seed);
        putU64(out, kind == SumKind::Xxh3 ? XXH3_64bits_withSeed(block.data(), block.size(), xxhSeed)
                                          : XXH64(block.data(), block.size(), xxhSeed));
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
    std::size_t packedPosition = 0;
    std::uint32_t literalLeft = 0;
    std::int32_t block = 0, runLeft = 0;  // the last block; blocks that follow it in a run
    bool decompressing = false;
    ~State() { ZSTD_freeDStream(stream); }

    Token fail(std::string why) {
        error = std::move(why);
        return {Token::Kind::Invalid, {}, 0};
    }
    Token readPlain(std::string_view& in) {
        if (literalLeft == 0) {
            Reader r(in);
            const auto n = r.i32();
            if (!r.complete()) return {};
            in.remove_prefix(r.consumed());
            if (n == 0) return {Token::Kind::End, {}, 0};
            if (n < 0) return {Token::Kind::Block, {}, -(n + 1)};
            literalLeft = static_cast<std::uint32_t>(n);
        }
        const auto n = std::min<std::size_t>({in.size(), literalLeft, kUnpackBufferBytes});
        if (n == 0) return {};
        const auto part = in.substr(0, n);
        in.remove_prefix(n);
        literalLeft -= static_cast<std::uint32_t>(n);
        return {Token::Kind::Literal, part, 0};
    }
    Token decompress() {
        if (!stream) stream = ZSTD_createDStream();
        unpacked.resize(kUnpackBufferBytes);
        ZSTD_inBuffer from{packed.data(), packed.size(), packedPosition};
        ZSTD_outBuffer to{unpacked.data(), unpacked.size(), 0};
        const auto result = ZSTD_decompressStream(stream, &to, &from);
        if (ZSTD_isError(result)) return fail(std::string("zstd: ") + ZSTD_getErrorName(result));
        packedPosition = from.pos;
        // The stream can hold more output only if it filled the whole buffer.
        decompressing = packedPosition < packed.size() || to.pos == to.size;
        return to.pos ? Token{Token::Kind::Literal, std::string_view(unpacked).substr(0, to.pos), 0}
                      : Token{};
    }
    Token next(std::string_view& in) {
        if (!zstd) return readPlain(in);
        while (decompressing) {
            const auto token = decompress();
            if (token.kind != Token::Kind::NeedMore) return token;
        }
        if (runLeft > 0) {
            --runLeft;
            return {Token::Kind::Block, {}, ++block};
        }
        Reader r(in);
        const auto flag = r.byte();
        if ((flag & 0xc0) == kDeflatedData) {
            const std::size_t n = static_cast<std::size_t>(flag & 0x3f) << 8 | r.byte();
            const auto bytes = r.bytes(n);
            if (!r.complete()) return {};
            packed = bytes;
            packedPosition = 0;
            decompressing = true;
            in.remove_prefix(r.consumed());
            return next(in);
        }
        if (!r.complete()) return {};
        if (flag == kEndFlag) {
            in.remove_prefix(r.consumed());
            block = 0;
            return {Token::Kind::End, {}, 0};
        }
        std::int32_t index = block;
        bool isRun = false;
        if (flag & kTokenRel) {
            const std::int32_t distance = flag & 0x3f;
            if (block > kMaxBlock - distance) return fail("block number out of range");
            index += distance;
            isRun = (flag >> 6) & 1;
        } else if (flag == kTokenLong || flag == kTokenRunLong) {
            index = r.i32();
            isRun = flag & 1;
        } else return fail("unknown token flag");
        const std::int32_t runLength = isRun ? r.u16() : 0;
        if (!r.complete()) return {};
        if (index < 0 || index > kMaxBlock - runLength) return fail("block number out of range");
        in.remove_prefix(r.consumed());
        block = index;
        runLeft = runLength;
        return {Token::Kind::Block, {}, block};
    }
};
TokenReader::TokenReader(bool zstd) : state_(std::make_unique<State>()) { state_->zstd = zstd; }
TokenReader::~TokenReader() = default;
TokenReader::TokenReader(TokenReader&&) noexcept = default;
TokenReader& TokenReader::operator=(TokenReader&&) noexcept = default;
Token TokenReader::next(std::string_view& in) {
    if (!state_->error.empty()) return {Token::Kind::Invalid, {}, 0};
    return state_->next(in);
}
const std::string& TokenReader::error() const { return state_->error; }

// ---------------------------------------------------------------- writing
struct TokenWriter::State {
    bool zstd = false, unflushed = false;  // unflushed: the compressor may hold input back
    int level = 3;
    ZSTD_CCtx* stream = nullptr;
    std::int32_t runStart = -1, last = -1, lastRunEnd = 0;  // last: -1 if no run is pending
    ~State() { ZSTD_freeCCtx(stream); }

    void compress(std::string& out, std::string_view bytes, bool flush) {
        if (!stream) {
            stream = ZSTD_createCCtx();
            ZSTD_CCtx_setParameter(stream, ZSTD_c_compressionLevel, level);
        }
        ZSTD_inBuffer from{bytes.data(), bytes.size(), 0};
        std::array<char, kMaxPackedBytes> buffer;
        for (;;) {
            ZSTD_outBuffer to{buffer.data(), buffer.size(), 0};
            const auto left =
                ZSTD_compressStream2(stream, &to, &from, flush ? ZSTD_e_flush : ZSTD_e_continue);
            if (to.pos) {
                out += static_cast<char>(kDeflatedData + (to.pos >> 8));
                out += static_cast<char>(to.pos & 255);
                out.append(buffer.data(), to.pos);
            }
            if (from.pos == from.size && (!flush || left == 0)) break;
        }
        unflushed = !flush;
    }
    void flushRun(std::string& out) {
        if (last < 0) return;
        const auto distance = runStart - lastRunEnd, following = last - runStart;
        if (distance >= 0 && distance <= 63)
            out += static_cast<char>((following == 0 ? kTokenRel : kTokenRunRel) + distance);
        else {
            out += static_cast<char>(following == 0 ? kTokenLong : kTokenRunLong);
            putU32(out, static_cast<std::uint32_t>(runStart));
        }
        if (following) putU16(out, static_cast<std::uint16_t>(following));
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
        return state_->compress(out, bytes, false);
    }
    while (!bytes.empty()) {
        const auto n = std::min(bytes.size(), kMaxLiteralBytes);
        putU32(out, static_cast<std::uint32_t>(n));
        out += bytes.substr(0, n);
        bytes.remove_prefix(n);
    }
}
void TokenWriter::block(std::string& out, std::int32_t index) {
    if (!state_->zstd) return putU32(out, static_cast<std::uint32_t>(-(index + 1)));
    auto& s = *state_;
    if (s.unflushed) s.compress(out, {}, true);  // the literals before the block must be written first
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
    if (s.unflushed) s.compress(out, {}, true);
    s.flushRun(out);
    out += static_cast<char>(kEndFlag);
    s.lastRunEnd = 0;
}

}  // namespace spokewheel::wire::rsync
