// Fuzzes the input of a scheduler on the platform: heads from clients and disk servers, node lists,
// configurations. Each must be refused or decoded into values within their bounds.
#include <cmath>
#include <cstdlib>

#include "fronts/http/decode_request.hpp"
#include "fuzz/driver.hpp"
#include "platform/configuration.hpp"
#include "platform/dialect.hpp"
#include "registry/endpoints.hpp"
#include "registry/json_frames.hpp"

using namespace spokewheel;

namespace {

Settings testSettings() {
    Settings settings;
    settings.classes.resize(1);
    settings.classes[0].name = "read";
    settings.plans.resize(1);
    settings.plans[0].name = "open";
    return settings;
}

// Decodes `text` as the head of a request or response.
void decodeHead(std::string_view text, wire::http::Parser::Kind kind) {
    static const auto known = testSettings();
    static const auto dialect = platform::platformDialect({}, true);
    wire::http::Parser parser(kind);
    std::string_view body;
    if (parser.next(text, body) != wire::http::Parser::Result::Head) return;
    if (kind == wire::http::Parser::Kind::Response) {
        const auto response = dialect.interpret(parser.head());
        if (!(response.usage >= 0) || !(response.servedElsewhere >= 0) || !std::isfinite(response.usage))
            std::abort();
        if (response.outcome == Outcome::Served && parser.head().status != 200) std::abort();
        return;
    }
    const auto decoded = fronts::http::decodeRequest(parser.head(), known);
    if (decoded.violated) {
        const auto& rule = wire::http::infoOf(*decoded.violated);
        if (rule.status < 400 || rule.status > 499 || !*rule.words || !*rule.source) std::abort();
        return;
    }
    const auto& work = decoded.work;
    if (work.requestClass != "read" || work.plan != "open" || decoded.id.empty() || !(work.units > 0) ||
        work.shard < -1 || work.hosts < 1 || work.ttlMs < 0 || !work.nodeRequest ||
        work.nodeRequest->target != parser.head().target)
        std::abort();
}

// Splits a stream of the list service in chunks of `step` bytes and returns the results as text.
std::string splitFrames(std::string_view text, std::size_t step) {
    using Event = registry::JsonFrames::Event;
    constexpr std::size_t kMaxObjectBytes = 512;
    registry::JsonFrames frames(kMaxObjectBytes);
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += step) {
        auto in = text.substr(at, step);
        for (auto event = frames.next(in); event != Event::NeedMore; event = frames.next(in)) {
            if (event == Event::Invalid) return out + "!";
            if (frames.object().size() > kMaxObjectBytes) std::abort();
            out += event == Event::BlankLine ? "|" : frames.object();
        }
    }
    return out;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    decodeHead(text, wire::http::Parser::Kind::Request);
    decodeHead(text, wire::http::Parser::Kind::Response);
    const auto whole = splitFrames(text, text.size() + 1);
    for (const std::size_t step : {1, 7})
        if (splitFrames(text, step) != whole) std::abort();
    registry::Endpoints list;
    std::string error;
    if (registry::parseEndpoints(text, list, error)) {
        for (const auto& e : list.entries)
            if (e.node.empty() || e.shard < -1 || !(e.startedMs >= 0)) std::abort();
    } else if (error.empty()) std::abort();
    try {
        platform::parseConfiguration(text, "file", {});
    } catch (const std::runtime_error&) {
    }
    return 0;
}
