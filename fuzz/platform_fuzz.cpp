// What comes to a scheduler of the platform: heads of clients and disk servers, lists, configurations. Each
// is read or refused; what is read keeps its bounds.
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

Settings settings() {
    Settings s;
    s.classes.resize(1);
    s.classes[0].name = "read";
    s.plans.resize(1);
    s.plans[0].name = "open";
    return s;
}

void heads(std::string_view text, wire::http::Parser::Kind kind) {
    static const auto known = settings();
    static const auto dialect = platform::platformDialect({}, true);
    wire::http::Parser parser(kind);
    std::string_view body;
    if (parser.next(text, body) != wire::http::Parser::Got::Head) return;
    if (kind == wire::http::Parser::Kind::Response) {
        const auto read = dialect.interpret(parser.head());
        if (!(read.usage >= 0) || !(read.servedElsewhere >= 0) || !std::isfinite(read.usage)) std::abort();
        if (read.outcome == Outcome::Served && parser.head().status != 200) std::abort();
        return;
    }
    const auto d = fronts::http::decodeRequest(parser.head(), known);
    if (d.status) {
        if (d.status < 400 || d.status > 499 || d.error.empty()) std::abort();
        return;
    }
    const auto& w = d.work;
    if (w.requestClass != "read" || w.plan != "open" || d.id.empty() || !(w.units > 0) || w.shard < -1 ||
        w.hosts < 1 || w.ttlMs < 0 || !w.nodeRequest || w.nodeRequest->target != parser.head().target)
        std::abort();
}

// What the stream of the list service is taken for, in parts of `step` bytes.
std::string framed(std::string_view text, std::size_t step) {
    using Event = registry::JsonFrames::Event;
    constexpr std::size_t kMost = 512;
    registry::JsonFrames frames(kMost);
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += step) {
        auto in = text.substr(at, step);
        for (auto got = frames.next(in); got != Event::NeedMore; got = frames.next(in)) {
            if (got == Event::Invalid) return out + "!";
            if (frames.object().size() > kMost) std::abort();
            out += got == Event::BlankLine ? "|" : frames.object();
        }
    }
    return out;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    heads(text, wire::http::Parser::Kind::Request);
    heads(text, wire::http::Parser::Kind::Response);
    const auto whole = framed(text, text.size() + 1);
    for (const std::size_t step : {1, 7})
        if (framed(text, step) != whole) std::abort();
    registry::Endpoints list;
    std::string words;
    if (registry::parseEndpoints(text, list, words)) {
        for (const auto& e : list.entries)
            if (e.node.empty() || e.shard < -1 || !(e.startedMs >= 0)) std::abort();
    } else if (words.empty()) std::abort();
    try {
        platform::parseConfiguration(text, "file", {});
    } catch (const std::runtime_error&) {
    }
    return 0;
}
