// File content in the encoding of the rsync protocol: literal bytes and numbers of matched blocks, plain or
// in one zstd stream for the whole session. Also the checksums of blocks. Free of I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/rsync/bytes.hpp"

namespace spokewheel::wire::rsync {

// The supported checksums.
enum class SumKind { Md5, Xxh64, Xxh3, Xxh128 };
constexpr std::size_t kMaxStrongSumBytes = 16;  // the longest of them
std::size_t sumSize(SumKind kind);              // bytes on the wire
// By the name used in the negotiation; nothing if it is not supported.
std::optional<SumKind> parseSumKind(std::string_view name);

// Binary MD5 of the concatenation. Passed in by callers, so that this library needs no digest library.
using Md5 = std::string (*)(std::string_view first, std::string_view second);

// ---- block checksums ----
// The parameters of the block checksums of a file.
struct SumHead {
    // Blocks, bytes of a block, bytes of a strong checksum, bytes of the last block (0: it is a full one).
    std::int32_t count = 0, length = 0, sumBytes = 0, remainder = 0;
};
constexpr std::int32_t kMaxBlockBytes = 1 << 17;
void putSumHead(std::string& out, const SumHead& head);
SumHead getSumHead(Reader& in);  // fails the reader if a value is out of range

// The rolling checksum of a window of bytes.
struct RollingSum {
    std::uint32_t a = 0, b = 0;
    void start(std::string_view bytes);
    // Advances the window, of `length` bytes, by one byte.
    void roll(char out, char in, std::size_t length) {
        const auto o = static_cast<std::uint32_t>(static_cast<signed char>(out));
        a += static_cast<std::uint32_t>(static_cast<signed char>(in)) - o;
        b += a - static_cast<std::uint32_t>(length) * o;
    }
    // Removes the first byte of the window, of `length` bytes before the call.
    void shrink(char out, std::size_t length) {
        const auto o = static_cast<std::uint32_t>(static_cast<signed char>(out));
        a -= o;
        b -= static_cast<std::uint32_t>(length) * o;
    }
    std::uint32_t value() const { return (a & 0xffff) | b << 16; }
};
// The strong checksum of a block. `seedFirst`: MD5 hashes the seed before the block, as current clients
// request.
std::string blockSum(SumKind kind, Md5 md5, std::string_view block, std::int32_t seed, bool seedFirst);

// ---- tokens ----
struct Token {
    enum class Kind {
        NeedMore,  // the input ends before the next token
        Literal,   // `literal` holds content
        Block,     // block number `block` of the old version
        End,       // of the file
        Invalid    // error() holds the reason; the session is unusable
    } kind = Kind::NeedMore;
    std::string_view literal;  // valid until the next call
    std::int32_t block = 0;
};
class TokenReader {
  public:
    explicit TokenReader(bool zstd);
    ~TokenReader();
    TokenReader(TokenReader&&) noexcept;
    TokenReader& operator=(TokenReader&&) noexcept;
    // Consumes the next token from the front of `in`. Literals are returned in parts of at most 64 KiB,
    // however long they are when decompressed.
    Token next(std::string_view& in);
    const std::string& error() const;

  private:
    struct State;
    std::unique_ptr<State> state_;
};
class TokenWriter {
  public:
    explicit TokenWriter(bool zstd, int level = 3);
    ~TokenWriter();
    TokenWriter(TokenWriter&&) noexcept;
    TokenWriter& operator=(TokenWriter&&) noexcept;
    void literal(std::string& out, std::string_view bytes);
    void block(std::string& out, std::int32_t index);
    void end(std::string& out);  // of the file

  private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace spokewheel::wire::rsync
