#include "wire/rsync/bytes.hpp"

#include <array>

namespace spokewheel::wire::rsync {
namespace {

// The number of extra bytes that a first byte announces: that of its leading one bits.
std::size_t extraBytes(std::uint8_t first) {
    std::size_t n = 0;
    while (n < 6 && (first & (0x80u >> n))) ++n;
    return n;
}

}  // namespace

std::string_view Reader::bytes(std::size_t n) {
    if (truncated_ || in_.size() - position_ < n) {
        truncated_ = true;
        return {};
    }
    const auto out = in_.substr(position_, n);
    position_ += n;
    return out;
}
std::uint8_t Reader::byte() {
    const auto b = bytes(1);
    return b.empty() ? 0 : static_cast<std::uint8_t>(b[0]);
}
std::uint16_t Reader::u16() {
    const unsigned low = byte();
    return static_cast<std::uint16_t>(low | byte() << 8);
}
std::uint32_t Reader::u32() {
    const std::uint32_t low = u16();
    return low | static_cast<std::uint32_t>(u16()) << 16;
}
std::int32_t Reader::varint() {
    const auto first = byte();
    const auto extra = extraBytes(first);
    if (extra > 4) return fail("integer too long"), 0;
    std::uint64_t x = 0;
    for (std::size_t i = 0; i < extra; ++i) x |= std::uint64_t(byte()) << (8 * i);
    const std::uint64_t top = extra ? first & ((1u << (8 - extra)) - 1) : first;
    return static_cast<std::int32_t>(static_cast<std::uint32_t>(x | top << (8 * extra)));
}
std::int64_t Reader::varlong(std::size_t minBytes) {
    const auto first = byte();
    const auto extra = extraBytes(first);
    if (minBytes + extra > 9) return fail("long integer too long"), 0;
    std::uint64_t x = 0;
    const auto lowBytes = minBytes - 1 + extra;
    for (std::size_t i = 0; i < lowBytes; ++i) x |= std::uint64_t(byte()) << (8 * i);
    const std::uint64_t top = extra ? first & ((1u << (8 - extra)) - 1) : first;
    if (lowBytes < 8) x |= top << (8 * lowBytes);
    return static_cast<std::int64_t>(x);
}
std::string_view Reader::vstring(std::size_t maxBytes) {
    std::size_t n = byte();
    if (n & 0x80) n = (n & 0x7f) * 0x100 + byte();
    if (n > maxBytes) return fail("string longer than " + std::to_string(maxBytes)), std::string_view();
    return bytes(n);
}

void putU16(std::string& out, std::uint16_t x) {
    out += static_cast<char>(x & 255);
    out += static_cast<char>(x >> 8);
}
void putU32(std::string& out, std::uint32_t x) {
    putU16(out, static_cast<std::uint16_t>(x & 0xffff));
    putU16(out, static_cast<std::uint16_t>(x >> 16));
}
void putU64(std::string& out, std::uint64_t x) {
    putU32(out, static_cast<std::uint32_t>(x));
    putU32(out, static_cast<std::uint32_t>(x >> 32));
}
namespace {
// Writes `x`, of at most `maxBytes` bytes, in the variable-length form: after the first byte at least
// `minBytes` - 1 bytes follow. The leading one bits of the first byte count the bytes beyond those, and its
// other bits hold the top of the value if it fits there.
void putVariableLength(std::string& out, std::uint64_t x, std::size_t maxBytes, std::size_t minBytes) {
    std::array<std::uint8_t, 9> encoded{};
    for (std::size_t i = 0; i < maxBytes; ++i) encoded[i + 1] = static_cast<std::uint8_t>(x >> (8 * i));
    std::size_t count = maxBytes;
    while (count > minBytes && encoded[count] == 0) --count;
    const unsigned topBit = 1u << (7 - count + minBytes);
    if (encoded[count] >= topBit) {
        ++count;
        encoded[0] = static_cast<std::uint8_t>(~(topBit - 1));
    } else if (count > minBytes) encoded[0] = static_cast<std::uint8_t>(encoded[count] | ~(topBit * 2 - 1));
    else encoded[0] = encoded[count];
    for (std::size_t i = 0; i < count; ++i) out += static_cast<char>(encoded[i]);
}
}  // namespace
void putVarint(std::string& out, std::int32_t x) {
    putVariableLength(out, static_cast<std::uint32_t>(x), 4, 1);
}
void putVarlong(std::string& out, std::int64_t x, std::size_t minBytes) {
    putVariableLength(out, static_cast<std::uint64_t>(x), 8, minBytes);
}
void putVstring(std::string& out, std::string_view text) {
    if (text.size() > 0x7f) out += static_cast<char>(text.size() / 0x100 + 0x80);
    out += static_cast<char>(text.size() & 0xff);
    out += text;
}

void IndexCoder::put(std::string& out, std::int32_t index) {
    if (index == kIndexDone) {
        out += '\0';
        return;
    }
    auto& last = index >= 0 ? lastPositive_ : lastNegative_;
    if (index < 0) {
        out += '\xff';
        index = -index;
    }
    const std::int32_t diff = index - last;
    last = index;
    const auto put = [&out](std::int32_t x) { out += static_cast<char>(x & 255); };
    if (diff > 0 && diff < 0xfe) return put(diff);
    out += '\xfe';
    if (diff < 0 || diff > 0x7fff) put((index >> 24) | 0x80), put(index), put(index >> 8), put(index >> 16);
    else put(diff >> 8), put(diff);
}
std::int32_t IndexCoder::get(Reader& in) {
    int first = in.byte();
    if (!in.complete()) return kIndexDone;
    if (first == 0) return kIndexDone;
    const bool negative = first == 0xff;
    if (negative) first = in.byte();
    auto& last = negative ? lastNegative_ : lastPositive_;
    std::int64_t index = 0;
    if (first == 0xfe) {
        const int high = in.byte();
        if (high & 0x80) {
            index = in.byte();
            index |= in.byte() << 8;
            index |= std::int64_t(in.byte()) << 16;
            index |= std::int64_t(high & 0x7f) << 24;
        } else index = std::int64_t(last) + (high << 8) + in.byte();
    } else index = std::int64_t(last) + first;
    if (!in.complete()) return kIndexDone;
    if (index > INT32_MAX) return in.fail("file index out of range"), kIndexDone;
    last = static_cast<std::int32_t>(index);
    return negative ? -last : last;
}

}  // namespace spokewheel::wire::rsync
