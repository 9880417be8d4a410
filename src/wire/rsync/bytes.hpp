// The integers of the rsync protocol (30 and later), in the encoding of the reference implementation: little
// endian, and two forms of variable length whose first byte determines the length. Free of I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace spokewheel::wire::rsync {

// Decodes from a view without consuming it. If complete() is false, the caller drops the Reader and retries
// with more bytes; if failed() is true, the input is invalid and the caller closes the session. Functions
// that cannot return a value return 0 or an empty view.
class Reader {
  public:
    explicit Reader(std::string_view in) : in_(in) {}
    // Whether the input has held everything that was read.
    bool complete() const { return !truncated_; }
    bool failed() const { return !error_.empty(); }
    const std::string& error() const { return error_; }
    // Number of bytes read.
    std::size_t consumed() const { return position_; }

    std::uint8_t byte();
    std::uint16_t u16();
    std::uint32_t u32();
    std::int32_t i32() { return static_cast<std::int32_t>(u32()); }
    std::int32_t varint();
    // `minBytes`: length of the shortest encoding; both sides must use the same.
    std::int64_t varlong(std::size_t minBytes);
    std::string_view bytes(std::size_t n);
    std::string_view vstring(std::size_t maxBytes);  // one or two bytes of length, then text
    void fail(std::string why) {
        if (error_.empty()) error_ = std::move(why);
    }

  private:
    std::string_view in_;
    std::size_t position_ = 0;
    bool truncated_ = false;
    std::string error_;
};

void putU16(std::string& out, std::uint16_t x);
void putU32(std::string& out, std::uint32_t x);
void putU64(std::string& out, std::uint64_t x);
void putVarint(std::string& out, std::int32_t x);
void putVarlong(std::string& out, std::int64_t x, std::size_t minBytes);
void putVstring(std::string& out, std::string_view text);

// Negative indices stand for events instead of files (NDX_DONE, NDX_FLIST_EOF, NDX_DEL_STATS in rsync).
constexpr std::int32_t kIndexDone = -1, kIndexListEnd = -2, kIndexDeleteStats = -3;
// Encodes or decodes the indices of one direction, each as the difference from the previous one of its sign.
class IndexCoder {
  public:
    void put(std::string& out, std::int32_t index);
    // Leaves the state unchanged unless the reader holds a complete index.
    std::int32_t get(Reader& in);

  private:
    std::int32_t lastPositive_ = -1, lastNegative_ = 1;
};

}  // namespace spokewheel::wire::rsync
