#include "fuzz/strict_reader.hpp"

#include <arpa/inet.h>

#include <cctype>
#include <cmath>
#include <cstdlib>
#include <regex>
#include <set>

namespace spokewheel::fuzz {
namespace {

bool matches(const std::string& text, const char* pattern) {
    for (const char c : text)
        if (static_cast<unsigned char>(c) > 126 || static_cast<unsigned char>(c) < 32) return false;
    return std::regex_match(text, std::regex(pattern, std::regex::ECMAScript | std::regex::optimize));
}

#define TOKEN "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
#define PCHAR "[A-Za-z0-9._~!$&'()*+,;=:@-]|%[0-9A-Fa-f][0-9A-Fa-f]"
#define REG_NAME "(?:[A-Za-z0-9._~!$&'()*+,;=-]|%[0-9A-Fa-f][0-9A-Fa-f])+"
#define IP_LITERAL                                                                                         \
    "\\[(?:[0-9A-Fa-f.:]*:[0-9A-Fa-f.:]*|[vV][A-Za-z0-9._~!$&'()*+,;=:-]*\\.[A-Za-z0-9._~!$&'()*+,;=:-]*)" \
    "\\]"

std::string trimmed(const std::string& text) {
    const auto first = text.find_first_not_of(" \t");
    return first == text.npos ? "" : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}
std::string lower(std::string text) {
    for (auto& c : text)
        if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
    return text;
}
std::vector<std::string> split(const std::string& text, char separator) {
    std::vector<std::string> out = {""};
    for (const char c : text)
        if (c == separator) out.emplace_back();
        else out.back() += c;
    return out;
}

}  // namespace

std::optional<std::string> StrictReader::line() {
    const auto end = rest_.find('\n');
    if (end == rest_.npos) return std::nullopt;
    std::string out(rest_.substr(0, end));
    rest_.remove_prefix(end + 1);
    if (!out.empty() && out.back() == '\r') out.pop_back();
    return out;
}

bool StrictReader::requestLine(const std::string& text) {
    const auto words = split(text, ' ');
    if (words.size() != 3) return false;
    method_ = words[0], target_ = words[1];
    old_ = words[2] == "HTTP/1.0";
    return (old_ || words[2] == "HTTP/1.1") && matches(method_, TOKEN) && !target_.empty();
}

std::optional<StrictReader::Field> StrictReader::field(const std::string& text) const {
    const auto colon = text.find(':');
    if (colon == text.npos || !matches(text.substr(0, colon), TOKEN)) return std::nullopt;
    const auto value = trimmed(text.substr(colon + 1));
    for (const char c : value)
        if ((static_cast<unsigned char>(c) < 32 && c != '\t') || c == 127) return std::nullopt;
    return Field{lower(text.substr(0, colon)), value};
}

std::size_t StrictReader::count(const std::string& name) const {
    std::size_t n = 0;
    for (const auto& field : fields_) n += field.first == name;
    return n;
}
std::optional<std::string> StrictReader::one(const std::string& name) const {
    for (const auto& field : fields_)
        if (field.first == name) return field.second;
    return std::nullopt;
}

bool StrictReader::head() const {
    static const std::set<std::string> kSingle = {"authorization",
                                                  "content-location",
                                                  "content-type",
                                                  "cookie",
                                                  "date",
                                                  "from",
                                                  "if-modified-since",
                                                  "if-range",
                                                  "if-unmodified-since",
                                                  "max-forwards",
                                                  "proxy-authorization",
                                                  "range",
                                                  "referer",
                                                  "user-agent",
                                                  "x-io",
                                                  "x-plan",
                                                  "x-priority-class",
                                                  "x-request-id",
                                                  "x-timeout-ms",
                                                  "x-retried",
                                                  "content-length",
                                                  "transfer-encoding"};
    for (const auto& name : kSingle)
        if (count(name) > 1) return false;
    const auto host = one("host");
    if (count("host") != 1 || !matches(*host, "(?:" IP_LITERAL "|" REG_NAME ")(?::[0-9]*)?")) return false;
    if (!matches(target_, "/(?:" PCHAR "|/)*(?:\\?(?:" PCHAR "|[/?])*)?")) return false;
    in6_addr address{};
    if (host->front() == '[' && (*host)[1] != 'v' && (*host)[1] != 'V' &&
        inet_pton(AF_INET6, host->substr(1, host->find(']') - 1).c_str(), &address) != 1)
        return false;
    const auto length = one("content-length"), coding = one("transfer-encoding");
    if (length && (!matches(*length, "[0-9]+") || length->size() > 19)) return false;
    if (coding && (lower(*coding) != "chunked" || old_ || length)) return false;
    if (length && std::strtoull(length->c_str(), nullptr, 10) > 65536) return false;
    const bool hasBody = coding || (length && length->find_first_not_of('0') != length->npos);
    return method_ == "PUT" || (method_ == "GET" && !hasBody);
}

bool StrictReader::meaning() const {
    if (method_ == "GET" && target_ == "/ready") return true;
    const std::string requestClass = method_ == "GET" ? "read" : "once";
    if (target_.substr(1, target_.find_first_of("/?", 1) - 1) != requestClass) return false;
    if (one("x-priority-class") != requestClass || one("x-plan") != "open") return false;
    const auto id = one("x-request-id"), timeout = one("x-timeout-ms"), io = one("x-io");
    if (!id || !matches(*id, "[!-~]{1,128}")) return false;
    if (!timeout || !matches(*timeout, "[0-9]+") || std::strtod(timeout->c_str(), nullptr) > 3600000)
        return false;
    if (!io) return false;
    std::set<std::string> seen;
    for (const auto& part : split(*io, ',')) {
        const auto entry = trimmed(part);
        const auto at = entry.find('=');
        const auto name = trimmed(entry.substr(0, at));
        const auto value = at == entry.npos ? "" : entry.substr(at + 1);
        const char* end = value.c_str();
        bool valid = true;
        if (name == "volume") valid = matches(value, "[0-9A-Fa-f]{16}");
        else if (name == "units") {
            char* stop = nullptr;
            const double units = std::strtod(end, &stop);
            valid = matches(value, "(?:[0-9]+\\.?[0-9]*|\\.[0-9]+)(?:[eE][+-]?[0-9]+)?") && *stop == 0 &&
                    units > 0 && units <= 1000000;
        } else if (name == "shard")
            valid = matches(value, "-?[0-9]+") && std::strtod(end, nullptr) >= -1 &&
                    std::strtod(end, nullptr) < 2147483648.0;
        else if (name == "hosts")
            valid = matches(value, "-?[0-9]+") && std::strtod(end, nullptr) >= 1 &&
                    std::strtod(end, nullptr) <= 100000;
        else continue;
        if (!valid || !seen.insert(name).second) return false;
    }
    if (seen.size() != 4) return false;
    int blocks = 0;
    if (const auto cookie = one("cookie"))
        for (const auto& part : split(*cookie, ';')) {
            const auto entry = trimmed(part);
            const auto at = entry.find('=');
            if (trimmed(entry.substr(0, at)) != "block") continue;
            // What follows a second '=' is part of the value.
            if (++blocks > 1 || at == entry.npos || !matches(entry.substr(at + 1), "[0-9A-Fa-f]{16}"))
                return false;
        }
    return true;
}

StrictReader::Verdict StrictReader::chunks() {
    std::size_t total = 0;
    for (;;) {
        const auto size = line();
        if (!size) return Verdict::Incomplete;
        std::smatch parts;
        std::string printable = *size;
        for (auto& c : printable)
            if (c == '\t') c = ' ';
            else if (static_cast<unsigned char>(c) > 127) c = '~';
        const std::regex form("([0-9A-Fa-f]+)((?: *; *" TOKEN "(?: *= *(?:" TOKEN
                              "|\"(?:[^\"\\\\]|\\\\.)*\"))?)*)");
        for (const char c : printable)
            if (static_cast<unsigned char>(c) < 32 || c == 127) return Verdict::Unsound;
        if (!std::regex_match(printable, parts, form)) return Verdict::Unsound;
        // Bytes over 127 may stand in quoted strings only.
        for (std::size_t i = 0, quoted = 0; i < size->size(); ++i) {
            if ((*size)[i] == '\\' && quoted) ++i;
            else if ((*size)[i] == '"') quoted = !quoted;
            else if (static_cast<unsigned char>((*size)[i]) > 127 && !quoted) return Verdict::Unsound;
        }
        const std::string digits = parts[1];
        const auto significant = digits.find_first_not_of('0');
        if (significant != digits.npos && digits.size() - significant > 8) return Verdict::Unsound;
        const std::size_t bytes = std::strtoull(digits.c_str(), nullptr, 16);
        if ((total += bytes) > 65536) return Verdict::Unsound;
        if (bytes == 0) break;
        if (rest_.size() < bytes) return Verdict::Incomplete;
        rest_.remove_prefix(bytes);
        const auto end = line();
        if (!end) return Verdict::Incomplete;
        if (!end->empty()) return Verdict::Unsound;
    }
    for (;;) {
        const auto trailer = line();
        if (!trailer) return Verdict::Incomplete;
        if (trailer->empty()) return Verdict::Sound;
        if (!field(*trailer)) return Verdict::Unsound;
    }
}

StrictReader::Verdict StrictReader::body() {
    if (one("transfer-encoding")) return chunks();
    const auto length = one("content-length");
    const std::size_t bytes = length ? std::strtoull(length->c_str(), nullptr, 10) : 0;
    return rest_.size() < bytes ? Verdict::Incomplete : Verdict::Sound;
}

StrictReader::Verdict StrictReader::read(std::string_view text) {
    rest_ = text;
    auto start = line();
    while (start && start->empty()) start = line();
    if (!start) return Verdict::Incomplete;
    if (!requestLine(*start)) return Verdict::Unsound;
    for (;;) {
        const auto next = line();
        if (!next) return Verdict::Incomplete;
        if (next->empty()) break;
        const auto read = field(*next);
        if (!read || fields_.size() == 64) return Verdict::Unsound;
        fields_.push_back(*read);
    }
    return head() && meaning() ? body() : Verdict::Unsound;
}

}  // namespace spokewheel::fuzz
