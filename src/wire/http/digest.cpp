#include "wire/http/digest.hpp"

#include <nettle/base64.h>
#include <nettle/sha2.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

namespace spokewheel::wire::http {
namespace {

constexpr std::string_view kAlgorithm = "sha-256";
constexpr std::size_t kMostValue = 4096;
using Sum = std::array<std::uint8_t, SHA256_DIGEST_SIZE>;

Sum sumOf(std::string_view content) {
    sha256_ctx state;
    sha256_init(&state);
    sha256_update(&state, content.size(), reinterpret_cast<const std::uint8_t*>(content.data()));
    Sum sum;
    sha256_digest(&state, sum.size(), sum.data());
    return sum;
}

// The byte sequence between two colons. Padding may be missing (RFC 8941, 4.2.7).
std::optional<Sum> decode(std::string_view text) {
    std::string padded(text);
    while (padded.size() % 4) padded += '=';
    if (padded.size() != BASE64_ENCODE_RAW_LENGTH(SHA256_DIGEST_SIZE)) return std::nullopt;
    base64_decode_ctx state;
    base64_decode_init(&state);
    std::array<std::uint8_t, BASE64_DECODE_LENGTH(BASE64_ENCODE_RAW_LENGTH(SHA256_DIGEST_SIZE))> bytes;
    std::size_t size = bytes.size();
    if (!base64_decode_update(&state, &size, bytes.data(), padded.size(), padded.data()) ||
        !base64_decode_final(&state) || size != SHA256_DIGEST_SIZE)
        return std::nullopt;
    Sum sum;
    std::copy_n(bytes.begin(), sum.size(), sum.begin());
    return sum;
}

bool keyCharacter(char c, bool first) {
    return (c >= 'a' && c <= 'z') || c == '*' ||
           (!first && ((c >= '0' && c <= '9') || c == '_' || c == '-' || c == '.'));
}

}  // namespace

std::string reprDigest(std::string_view content) {
    const auto sum = sumOf(content);
    std::string text(BASE64_ENCODE_RAW_LENGTH(SHA256_DIGEST_SIZE), '\0');
    base64_encode_raw(text.data(), sum.size(), sum.data());
    return std::string(kAlgorithm) + "=:" + text + ":";
}

Digest checkDigest(std::string_view value, std::string_view content) {
    if (value.size() > kMostValue) return Digest::Bad;
    const auto blanks = [&value] {
        while (!value.empty() && (value[0] == ' ' || value[0] == '\t')) value.remove_prefix(1);
    };
    std::optional<std::string_view> told;
    blanks();
    while (!value.empty()) {
        std::size_t n = 0;
        while (n < value.size() && keyCharacter(value[n], n == 0)) ++n;
        if (n == 0 || value.substr(n, 2) != "=:") return Digest::Bad;
        const auto key = value.substr(0, n);
        value.remove_prefix(n + 2);
        const auto end = value.find(':');
        if (end == value.npos) return Digest::Bad;
        if (key == kAlgorithm) told = value.substr(0, end);
        value.remove_prefix(end + 1);
        blanks();
        if (value.empty()) break;
        if (value[0] != ',') return Digest::Bad;
        value.remove_prefix(1);
        blanks();
        if (value.empty()) return Digest::Bad;  // a comma with nothing behind it
    }
    if (!told) return Digest::Absent;
    const auto sum = decode(*told);
    if (!sum) return Digest::Bad;
    return *sum == sumOf(content) ? Digest::Matches : Digest::Differs;
}

}  // namespace spokewheel::wire::http
