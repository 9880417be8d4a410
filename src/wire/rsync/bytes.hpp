// The integers of the rsync protocol (30 and later), as the public implementation writes them: little endian,
// and two forms of variable length whose first byte tells how many follow. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace spokewheel::wire::rsync {

// Reads from a view without taking from it: a caller that finds enough() false drops the Reader and tries
// again with more bytes; one that finds bad() true closes the session.
class Reader {
  public:
    explicit Reader(std::string_view in) : in_(in) {}
    bool enough() const { return !short_; }
    bool bad() const { return !why_.empty(); }
    const std::string& why() const { return why_; }
    std::size_t used() const { return at_; }

    std::uint8_t byte();
    std::uint16_t u16();
    std::uint32_t u32();
    std::int32_t i32() { return static_cast<std::int32_t>(u32()); }
    std::int32_t varint();
    std::int64_t varlong(std::size_t least);
    std::string_view bytes(std::size_t n);
    std::string_view vstring(std::size_t most);  // one or two bytes of length, then text
    void fail(std::string why) {
        if (why_.empty()) why_ = std::move(why);
    }

  private:
    std::string_view in_;
    std::size_t at_ = 0;
    bool short_ = false;
    std::string why_;
};

void putU16(std::string& out, std::uint16_t x);
void putU32(std::string& out, std::uint32_t x);
void putU64(std::string& out, std::uint64_t x);
void putVarint(std::string& out, std::int32_t x);
void putVarlong(std::string& out, std::int64_t x, std::size_t least);
void putVstring(std::string& out, std::string_view text);

// Places in the file list: deltas against the last one sent the same way.
constexpr std::int32_t kDone = -1, kListEnd = -2, kDeleteStats = -3;
class IndexCoder {
  public:
    void put(std::string& out, std::int32_t index);
    std::int32_t get(Reader& in);  // changes its state only where the reader has enough

  private:
    std::int32_t positive_ = -1, negative_ = 1;
};

}  // namespace spokewheel::wire::rsync
