#include "fronts/http/decode_request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

#include "fronts/http/check_request.hpp"

namespace spokewheel::fronts::http {
namespace {

using wire::http::RequestRule;

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

template <class T>
const T* findByName(const std::vector<T>& list, std::string_view name) {
    const auto found =
        std::find_if(list.begin(), list.end(), [name](const T& item) { return item.name == name; });
    return found == list.end() ? nullptr : &*found;
}

// Thrown while a request is decoded: the rule that it violates.
struct RequestError {
    RequestRule rule;
};

void require(bool holds, RequestRule rule) {
    if (!holds) throw RequestError{rule};
}

std::string_view requiredField(const wire::http::Head& head, const char* name, RequestRule rule) {
    const auto* value = head.find(name);
    require(value != nullptr, rule);
    return *value;
}

// Parses "volume=00000003b4d60021,units=2,shard=5,hosts=3"; other entries are ignored.
void parseXIo(std::string_view text, host::RequestSpec& work) {
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
        require(valid && !(seen & bit), RequestRule::Io);
        seen |= bit;
    }
    require(seen == 15, RequestRule::Io);
}

// Reads "block=7f3a9c21e0b4d655" among other cookies. Without it the request has no key.
void parseCookie(std::string_view text, host::RequestSpec& work) {
    bool seen = false;
    while (!text.empty()) {
        auto value = nextToken(text, ';');
        if (nextToken(value, '=') != "block") continue;
        require(!seen && parseHex16(value, work.key), RequestRule::Key);
        seen = true;
    }
}

bool isVisible(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 32 && c < 127; });
}

const RequestClass& classOf(const wire::http::Head& head, const Settings& settings) {
    auto path = std::string_view(head.target).substr(1);
    path = path.substr(0, path.find_first_of("/?"));
    const auto* requestClass = findByName(settings.classes, path);
    require(requestClass != nullptr, RequestRule::UnknownClass);
    require(requiredField(head, "X-Priority-Class", RequestRule::ClassOfPath) == path,
            RequestRule::ClassOfPath);
    return *requestClass;
}

void decode(const wire::http::Head& head, const Settings& settings, DecodedRequest& out) {
    auto& work = out.work;
    // First, so that a refusal can be logged with it.
    const auto* id = head.find("X-Request-ID");
    const bool validId = id && !id->empty() && id->size() <= kMaxIdLength && isVisible(*id);
    if (validId) out.id = *id;
    if (const auto rule = violatedRule(head)) throw RequestError{*rule};
    const auto& requestClass = classOf(head, settings);
    work.requestClass = requestClass.name;
    const bool writes = head.method == "PUT";
    require(!settings.classesTellWrites || requestClass.writes == writes, RequestRule::MethodOfClass);
    work.plan = requiredField(head, "X-Plan", RequestRule::UnknownPlan);
    require(findByName(settings.plans, work.plan) != nullptr, RequestRule::UnknownPlan);
    require(validId, RequestRule::RequestId);
    long ttl = 0;
    require(parseInteger(requiredField(head, "X-Timeout-Ms", RequestRule::Timeout), ttl) && ttl >= 0 &&
                static_cast<double>(ttl) <= kMaxTimeoutMs,
            RequestRule::Timeout);
    work.ttlMs = static_cast<double>(ttl);
    parseXIo(requiredField(head, "X-IO", RequestRule::Io), work);
    if (const auto* cookie = head.find("Cookie")) parseCookie(*cookie, work);
    if (requestClass.inOrder && work.key != -1) out.orderedKey = work.key;
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
        out.violated = error.rule;
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
