#include "fronts/http/decode_request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace spokewheel::fronts::http {
namespace {

constexpr std::size_t kMaxIdLength = 128;
constexpr double kMaxTimeoutMs = 3600000;
constexpr int kMaxHosts = 100000;
constexpr double kMaxUnits = 1000000;

template <class T>
bool parseInteger(std::string_view text, T& value, int base = 10) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return !text.empty() && error == std::errc() && end == text.data() + text.size();
}
bool parseDecimal(std::string_view text, double& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && error == std::errc() && end == text.data() + text.size() && std::isfinite(value);
}
// Volume ids and keys: 16 hex digits, all 64 bits kept. The scheduling module uses -1 for "none", so the id
// that would become -1 is mapped to -2.
bool parseHex16(std::string_view text, std::int64_t& value) {
    std::uint64_t bits = 0;
    if (text.size() != 16 || !parseInteger(text, bits, 16)) return false;
    value = static_cast<std::int64_t>(bits);
    if (value == -1) value = -2;
    return true;
}
std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}
// Removes the text up to and including `separator`, or all of it, and returns it trimmed without the
// separator.
std::string_view nextToken(std::string_view& text, char separator) {
    const auto end = std::min(text.find(separator), text.size());
    const auto token = trimmed(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    return token;
}

// A field that may have one value only. Repeated fields with different values are rejected, as another reader
// of the request might use the other one.
struct SingleValue {
    std::optional<std::string_view> value;
    bool conflicting = false;
};
SingleValue singleValue(const wire::http::Head& head, std::string_view name) {
    SingleValue out;
    const auto* first = head.find(name);
    if (!first) return out;
    out.value = *first;
    for (const auto& [key, value] : head.fields)
        if (wire::http::equalsIgnoreCase(key, name) && value != *first) out.conflicting = true;
    return out;
}

template <class T>
bool containsName(const std::vector<T>& list, std::string_view name) {
    return std::any_of(list.begin(), list.end(), [name](const T& item) { return item.name == name; });
}

struct RequestError {
    std::string message;  // the response body
    int status = 400;
};

std::string_view requiredField(const wire::http::Head& head, const char* name) {
    const auto found = singleValue(head, name);
    if (!found.value) throw RequestError{std::string(name) + " is missing"};
    if (found.conflicting) throw RequestError{std::string(name) + " comes twice and differs"};
    return *found.value;
}

// Parses "volume=00000003b4d60021,units=2,shard=5,hosts=3"; other entries are ignored.
void parseXIo(std::string_view text, host::RequestSpec& work) {
    const RequestError error{"X-IO: volume, units, shard and hosts are wanted, each once"};
    int seen = 0;
    while (!text.empty()) {
        auto value = nextToken(text, ',');
        const auto name = nextToken(value, '=');
        bool valid = true;
        int bit = 0;
        if (name == "volume") valid = parseHex16(value, work.volume), bit = 1;
        else if (name == "units")
            valid = parseDecimal(value, work.units) && work.units > 0 && work.units <= kMaxUnits, bit = 2;
        else if (name == "shard") valid = parseInteger(value, work.shard) && work.shard >= -1, bit = 4;
        else if (name == "hosts")
            valid = parseInteger(value, work.hosts) && work.hosts >= 1 && work.hosts <= kMaxHosts, bit = 8;
        if (!valid || (seen & bit)) throw error;
        seen |= bit;
    }
    if (seen != 15) throw error;
}

void decode(const wire::http::Head& head, const Settings& settings, DecodedRequest& out) {
    auto& work = out.work;
    if (head.method != "GET" && head.method != "PUT") throw RequestError{"method: GET or PUT is wanted", 405};
    requiredField(head, "Host");
    if (head.target.front() != '/') throw RequestError{"target: a path is wanted"};
    if (std::any_of(head.target.begin(), head.target.end(),
                    [](unsigned char c) { return c <= 32 || c >= 127; }))
        throw RequestError{"target: bytes that no path has"};
    auto path = std::string_view(head.target).substr(1);
    path = path.substr(0, path.find_first_of("/?"));
    if (!containsName(settings.classes, path)) throw RequestError{"class is not known", 404};
    if (requiredField(head, "X-Priority-Class") != path)
        throw RequestError{"X-Priority-Class differs from the path"};
    work.requestClass = path;
    work.plan = requiredField(head, "X-Plan");
    if (!containsName(settings.plans, work.plan)) throw RequestError{"X-Plan is not known"};
    out.id = requiredField(head, "X-Request-ID");
    if (out.id.empty() || out.id.size() > kMaxIdLength ||
        std::any_of(out.id.begin(), out.id.end(), [](unsigned char c) { return c <= 32 || c >= 127; }))
        throw RequestError{"X-Request-ID: 1 to 128 visible characters are wanted"};
    long ttl = 0;
    if (!parseInteger(requiredField(head, "X-Timeout-Ms"), ttl) || ttl < 0 ||
        static_cast<double>(ttl) > kMaxTimeoutMs)
        throw RequestError{"X-Timeout-Ms: whole milliseconds are wanted"};
    work.ttlMs = static_cast<double>(ttl);
    parseXIo(requiredField(head, "X-IO"), work);
    if (const auto cookie = singleValue(head, "Cookie"); cookie.value) {
        auto text = *cookie.value;
        bool seen = false;
        while (!text.empty()) {
            auto value = nextToken(text, ';');
            if (nextToken(value, '=') != "block") continue;
            if (seen || cookie.conflicting || !parseHex16(value, work.key))
                throw RequestError{"Cookie: block is 16 hex digits"};
            seen = true;
        }
    }
}

// Whether a field is passed on to the disk server. Unknown fields are, as they may hold the key by which it
// recognises repeats. Not passed on are fields of this connection and its framing, and those that each
// attempt sets itself (RFC 9110, section 7.6).
bool isForwarded(const wire::http::Head& head, std::string_view name) {
    for (const auto* dropped :
         {"Host", "Content-Length", "X-Request-ID", "X-Timeout-Ms", "Expect", "Connection", "Keep-Alive",
          "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"})
        if (wire::http::equalsIgnoreCase(name, dropped)) return false;
    for (const auto& [key, value] : head.fields) {
        if (!wire::http::equalsIgnoreCase(key, "Connection")) continue;
        for (auto rest = std::string_view(value); !rest.empty();)
            if (wire::http::equalsIgnoreCase(nextToken(rest, ','), name)) return false;
    }
    return true;
}

}  // namespace

DecodedRequest decodeRequest(const wire::http::Head& head, const Settings& settings) {
    DecodedRequest out;
    try {
        decode(head, settings, out);
    } catch (const RequestError& error) {
        out.status = error.status;
        out.error = error.message;
        return out;
    }
    auto nodeRequest = std::make_shared<host::NodeRequest>();
    nodeRequest->method = head.method;
    nodeRequest->target = head.target;
    nodeRequest->fields.emplace_back("X-Request-ID", out.id);
    for (const auto& field : head.fields)
        if (isForwarded(head, field.first)) nodeRequest->fields.push_back(field);
    nodeRequest->maxResponseBytes = kMaxAnswerBytes;
    out.work.clientRequestId = out.id;
    out.work.nodeRequest = std::move(nodeRequest);
    return out;
}

}  // namespace spokewheel::fronts::http
