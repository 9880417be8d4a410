#include "fronts/http/decode_request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace spokewheel::fronts::http {
namespace {

constexpr std::size_t kMostId = 128;
constexpr double kMostTimeMs = 3600000;
constexpr int kMostHosts = 100000;
constexpr double kMostUnits = 1000000;

template <class T>
bool number(std::string_view text, T& value, int base = 10) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return !text.empty() && error == std::errc() && end == text.data() + text.size();
}
bool decimal(std::string_view text, double& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && error == std::errc() && end == text.data() + text.size() && std::isfinite(value);
}
// Volumes and keys: 16 hex digits, kept whole. The module knows -1 as "none"; the one number that would be
// taken for it stands for its neighbour.
bool hex(std::string_view text, std::int64_t& value) {
    std::uint64_t bits = 0;
    if (text.size() != 16 || !number(text, bits, 16)) return false;
    value = static_cast<std::int64_t>(bits);
    if (value == -1) value = -2;
    return true;
}
std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}
std::string_view cut(std::string_view& text, char at) {
    const auto end = std::min(text.find(at), text.size());
    const auto part = trimmed(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    return part;
}

// A field of which one value counts: what comes twice, and differs, is somebody's trick.
struct One {
    std::optional<std::string_view> value;
    bool twice = false;
};
One one(const wire::http::Head& head, std::string_view name) {
    One out;
    const auto* first = head.find(name);
    if (!first) return out;
    out.value = *first;
    for (const auto& [key, value] : head.fields)
        if (wire::http::sameName(key, name) && value != *first) out.twice = true;
    return out;
}

template <class T>
bool named(const std::vector<T>& list, std::string_view name) {
    return std::any_of(list.begin(), list.end(), [name](const T& one) { return one.name == name; });
}

struct Wrong {
    std::string words;
    int status = 400;
};

std::string_view needed(const wire::http::Head& head, const char* name) {
    const auto found = one(head, name);
    if (!found.value) throw Wrong{std::string(name) + " is missing"};
    if (found.twice) throw Wrong{std::string(name) + " comes twice and differs"};
    return *found.value;
}

// "volume=00000003b4d60021,units=2,shard=5,hosts=3"; what else stands there is passed over.
void readIo(std::string_view text, host::RequestSpec& work) {
    const Wrong wrong{"X-IO: volume, units, shard and hosts are wanted, each once"};
    int seen = 0;
    while (!text.empty()) {
        auto value = cut(text, ',');
        const auto name = cut(value, '=');
        bool fine = true;
        int bit = 0;
        if (name == "volume") fine = hex(value, work.volume), bit = 1;
        else if (name == "units")
            fine = decimal(value, work.units) && work.units > 0 && work.units <= kMostUnits, bit = 2;
        else if (name == "shard") fine = number(value, work.shard) && work.shard >= -1, bit = 4;
        else if (name == "hosts")
            fine = number(value, work.hosts) && work.hosts >= 1 && work.hosts <= kMostHosts, bit = 8;
        if (!fine || (seen & bit)) throw wrong;
        seen |= bit;
    }
    if (seen != 15) throw wrong;
}

void read(const wire::http::Head& head, const Settings& settings, DecodedRequest& out) {
    auto& work = out.work;
    if (head.method != "GET" && head.method != "PUT") throw Wrong{"method: GET or PUT is wanted", 405};
    needed(head, "Host");
    if (head.target.front() != '/') throw Wrong{"target: a path is wanted"};
    if (std::any_of(head.target.begin(), head.target.end(),
                    [](unsigned char c) { return c <= 32 || c >= 127; }))
        throw Wrong{"target: bytes that no path has"};
    auto path = std::string_view(head.target).substr(1);
    path = path.substr(0, path.find_first_of("/?"));
    if (!named(settings.classes, path)) throw Wrong{"class is not known", 404};
    if (needed(head, "X-Priority-Class") != path) throw Wrong{"X-Priority-Class differs from the path"};
    work.requestClass = path;
    work.plan = needed(head, "X-Plan");
    if (!named(settings.plans, work.plan)) throw Wrong{"X-Plan is not known"};
    out.id = needed(head, "X-Request-ID");
    if (out.id.empty() || out.id.size() > kMostId ||
        std::any_of(out.id.begin(), out.id.end(), [](unsigned char c) { return c <= 32 || c >= 127; }))
        throw Wrong{"X-Request-ID: 1 to 128 visible characters are wanted"};
    long ttl = 0;
    if (!number(needed(head, "X-Timeout-Ms"), ttl) || ttl < 0 || static_cast<double>(ttl) > kMostTimeMs)
        throw Wrong{"X-Timeout-Ms: whole milliseconds are wanted"};
    work.ttlMs = static_cast<double>(ttl);
    readIo(needed(head, "X-IO"), work);
    if (const auto cookie = one(head, "Cookie"); cookie.value) {
        auto text = *cookie.value;
        bool seen = false;
        while (!text.empty()) {
            auto value = cut(text, ';');
            if (cut(value, '=') != "block") continue;
            if (seen || cookie.twice || !hex(value, work.key)) throw Wrong{"Cookie: block is 16 hex digits"};
            seen = true;
        }
    }
}

// Fields that aren't known here are for the disk server, a key by which it knows repeats among them: all go
// on but those of this connection, of its framing, and those that each attempt says anew (RFC 9110, 7.6).
bool passesOn(const wire::http::Head& head, std::string_view name) {
    for (const auto* own :
         {"Host", "Content-Length", "X-Request-ID", "X-Timeout-Ms", "Expect", "Connection", "Keep-Alive",
          "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"})
        if (wire::http::sameName(name, own)) return false;
    for (const auto& [key, value] : head.fields) {
        if (!wire::http::sameName(key, "Connection")) continue;
        for (auto left = std::string_view(value); !left.empty();)
            if (wire::http::sameName(cut(left, ','), name)) return false;
    }
    return true;
}

}  // namespace

DecodedRequest decodeRequest(const wire::http::Head& head, const Settings& settings) {
    DecodedRequest out;
    try {
        read(head, settings, out);
    } catch (const Wrong& wrong) {
        out.status = wrong.status;
        out.error = wrong.words;
        return out;
    }
    auto exchange = std::make_shared<host::NodeRequest>();
    exchange->method = head.method;
    exchange->target = head.target;
    exchange->fields.emplace_back("X-Request-ID", out.id);
    for (const auto& field : head.fields)
        if (passesOn(head, field.first)) exchange->fields.push_back(field);
    exchange->maxResponseBytes = kMostAnswer;
    out.work.clientRequestId = out.id;
    out.work.nodeRequest = std::move(exchange);
    return out;
}

}  // namespace spokewheel::fronts::http
