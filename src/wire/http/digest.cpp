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
constexpr std::size_t kMaxValueBytes = 4096;
using Sha256 = std::array<std::uint8_t, SHA256_DIGEST_SIZE>;

Sha256 sha256(std::string_view content) {
    sha256_ctx state;
    sha256_init(&state);
    sha256_update(&state, content.size(), reinterpret_cast<const std::uint8_t*>(content.data()));
    Sha256 sum;
    sha256_digest(&state, sum.size(), sum.data());
    return sum;
}

// Decodes the byte sequence between two colons. Padding may be missing (RFC 8941, 4.2.7).
std::optional<Sha256> decodeSha256(std::string_view text) {
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
    Sha256 sum;
    std::copy_n(bytes.begin(), sum.size(), sum.begin());
    return sum;
}

bool isKeyCharacter(char c, bool first) {
    return (c >= 'a' && c <= 'z') || c == '*' ||
           (!first && ((c >= '0' && c <= '9') || c == '_' || c == '-' || c == '.'));
}

}  // namespace

std::string reprDigest(std::string_view content) {
    const auto sum = sha256(content);
    std::string text(BASE64_ENCODE_RAW_LENGTH(SHA256_DIGEST_SIZE), '\0');
    base64_encode_raw(text.data(), sum.size(), sum.data());
    return std::string(kAlgorithm) + "=:" + text + ":";
}

DigestCheck checkDigest(std::string_view value, std::string_view content) {
    if (value.size() > kMaxValueBytes) return DigestCheck::Malformed;
    const auto skipWhitespace = [&value] {
        while (!value.empty() && (value[0] == ' ' || value[0] == '\t')) value.remove_prefix(1);
    };
    std::optional<std::string_view> encodedSum;
    skipWhitespace();
    while (!value.empty()) {
        std::size_t keyLength = 0;
        while (keyLength < value.size() && isKeyCharacter(value[keyLength], keyLength == 0)) ++keyLength;
        if (keyLength == 0 || value.substr(keyLength, 2) != "=:") return DigestCheck::Malformed;
        const auto key = value.substr(0, keyLength);
        value.remove_prefix(keyLength + 2);
        const auto end = value.find(':');
        if (end == value.npos) return DigestCheck::Malformed;
        if (key == kAlgorithm) encodedSum = value.substr(0, end);
        value.remove_prefix(end + 1);
        skipWhitespace();
        if (value.empty()) break;
        if (value[0] != ',') return DigestCheck::Malformed;
        value.remove_prefix(1);
        skipWhitespace();
        if (value.empty()) return DigestCheck::Malformed;  // trailing comma
    }
    if (!encodedSum) return DigestCheck::Absent;
    const auto sum = decodeSha256(*encodedSum);
    if (!sum) return DigestCheck::Malformed;
    return *sum == sha256(content) ? DigestCheck::Matches : DigestCheck::Differs;
}

}  // namespace spokewheel::wire::http
