// File content as the rsync protocol carries it: literal bytes and numbers of matched blocks, plain or under
// one zstd stream for the whole session; the checksums of blocks and files. No I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/rsync/bytes.hpp"

namespace spokewheel::wire::rsync {

// Kinds of checksum that are spoken here, named as they are negotiated.
enum class SumKind { Md5, Xxh64, Xxh3, Xxh128 };
constexpr std::size_t kSumBytes = 16;  // the most that any has
std::size_t sizeOf(SumKind kind);      // bytes on the wire
// By its name in the protocol; nothing for one that is not spoken.
std::optional<SumKind> sumKind(std::string_view name);

// MD5 is handed in, so that this layer needs no digest library of its own.
using Md5 = std::string (*)(std::string_view first, std::string_view second);

// ---- block checksums ----
struct SumHead {
    std::int32_t count = 0, length = 0, sumBytes = 0, remainder = 0;
};
constexpr std::int32_t kMostBlock = 1 << 17;
void putSumHead(std::string& out, const SumHead& head);
SumHead getSumHead(Reader& in);  // fails the reader on figures out of range

// The rolling checksum of a window of bytes.
struct Rolling {
    std::uint32_t a = 0, b = 0;
    void start(std::string_view bytes);
    void roll(char out, char in, std::size_t length) {
        const auto o = static_cast<std::uint32_t>(static_cast<signed char>(out));
        a += static_cast<std::uint32_t>(static_cast<signed char>(in)) - o;
        b += a - static_cast<std::uint32_t>(length) * o;
    }
    void drop(char out, std::size_t length) {  // the window shrinks at its front
        const auto o = static_cast<std::uint32_t>(static_cast<signed char>(out));
        a -= o;
        b -= static_cast<std::uint32_t>(length) * o;
    }
    std::uint32_t value() const { return (a & 0xffff) | b << 16; }
};
// The strong sum of a block; `seedFirst` is the order that current clients ask for.
std::string blockSum(SumKind kind, Md5 md5, std::string_view block, std::int32_t seed, bool seedFirst);

// ---- tokens ----
struct Token {
    enum class Kind { More, Literal, Block, End, Bad } kind = Kind::More;
    std::string_view literal;  // valid until the next call
    std::int32_t block = 0;
};
class TokenReader {
  public:
    explicit TokenReader(bool zstd);
    ~TokenReader();
    TokenReader(TokenReader&&) noexcept;
    TokenReader& operator=(TokenReader&&) noexcept;
    // The next token, taking from the front of `in`. Literals come in parts of at most 64 KiB, however
    // large they are once unpacked.
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
    void end(std::string& out);

  private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace spokewheel::wire::rsync
