#include "wire/http/grammar.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <cstddef>
#include <string>

namespace spokewheel::wire::http {
namespace {

constexpr std::string_view kSubDelims = "!$&'()*+,;=";

bool isDigit(char c) { return c >= '0' && c <= '9'; }
bool isAlpha(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }
bool isHexDigit(char c) { return isDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }
bool isOneOf(char c, std::string_view set) { return set.find(c) != std::string_view::npos; }
bool isUnreserved(char c) { return isAlpha(c) || isDigit(c) || isOneOf(c, "-._~"); }
bool isSpace(char c) { return c == ' ' || c == '\t'; }

// Only unreserved characters, sub-delims, those of `more`, and whole percent-encodings (RFC 3986, 2.1).
bool isEncoded(std::string_view text, std::string_view more) {
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            if (!isUnreserved(text[i]) && !isOneOf(text[i], kSubDelims) && !isOneOf(text[i], more))
                return false;
            continue;
        }
        if (i + 2 >= text.size() || !isHexDigit(text[i + 1]) || !isHexDigit(text[i + 2])) return false;
        i += 2;
    }
    return true;
}

// "[" IPv6address or IPvFuture "]" (RFC 3986, 3.2.2).
bool isIpLiteral(std::string_view text) {
    if (text.size() < 4 || text.front() != '[' || text.back() != ']') return false;
    const auto inner = text.substr(1, text.size() - 2);
    if (inner.find('\0') != inner.npos) return false;
    if (inner.front() == 'v' || inner.front() == 'V')
        return inner.find('.') != inner.npos && isEncoded(inner, ":") && inner.find('%') == inner.npos;
    in6_addr address{};
    return inet_pton(AF_INET6, std::string(inner).c_str(), &address) == 1;
}

void skipSpaces(std::string_view& text) {
    while (!text.empty() && isSpace(text.front())) text.remove_prefix(1);
}
bool skip(std::string_view& text, char c) {
    if (text.empty() || text.front() != c) return false;
    text.remove_prefix(1);
    return true;
}
bool skipToken(std::string_view& text) {
    std::size_t length = 0;
    while (length < text.size() && isToken(text.substr(length, 1))) ++length;
    text.remove_prefix(length);
    return length > 0;
}
// quoted-string (RFC 9110, 5.6.4).
bool skipQuoted(std::string_view& text) {
    if (!skip(text, '"')) return false;
    while (!text.empty() && text.front() != '"') {
        skip(text, '\\');
        if (text.empty() || !isFieldValue(text.substr(0, 1))) return false;
        text.remove_prefix(1);
    }
    return skip(text, '"');
}

}  // namespace

bool isToken(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return isAlpha(c) || isDigit(c) || isOneOf(c, "!#$%&'*+-.^_`|~");
    });
}

bool isFieldValue(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= 0x20 && byte != 0x7f);
    });
}

bool isOriginForm(std::string_view target) {
    if (target.empty() || target.front() != '/') return false;
    const auto path = target.substr(0, target.find('?'));
    return isEncoded(path, "/:@") &&
           (path.size() == target.size() || isEncoded(target.substr(path.size() + 1), "/?:@"));
}

bool isHost(std::string_view value) {
    const auto bracket = value.rfind(']');
    const auto colon = value.find(':', bracket == value.npos ? 0 : bracket);
    const auto host = value.substr(0, colon);
    const auto port = colon == value.npos ? std::string_view() : value.substr(colon + 1);
    if (!std::all_of(port.begin(), port.end(), isDigit) || host.empty()) return false;
    return host.front() == '[' ? isIpLiteral(host) : isEncoded(host, "");
}

bool isChunkExtensions(std::string_view text) {
    while (!text.empty()) {
        skipSpaces(text);
        if (!skip(text, ';')) return false;
        skipSpaces(text);
        if (!skipToken(text)) return false;
        auto rest = text;
        skipSpaces(rest);
        if (!skip(rest, '=')) continue;
        skipSpaces(rest);
        if (!skipToken(rest) && !skipQuoted(rest)) return false;
        text = rest;
    }
    return true;
}

}  // namespace spokewheel::wire::http
