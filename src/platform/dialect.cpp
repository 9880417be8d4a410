#include "platform/dialect.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace spokewheel::platform {
namespace {

constexpr double kMostFigure = 1e9;
// The network's round trips take a fraction of a millisecond, but a second answer may come some milliseconds
// late, and on a connection in use it would be taken for the next one's.
constexpr double kRestMs = 12;

// A figure that can't be read is passed over: the answer that carries it is good.
std::optional<double> figure(const wire::http::Head& head, const char* name) {
    const auto* text = head.find(name);
    double value = 0;
    if (!text) return std::nullopt;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    const bool fine = error == std::errc() && end == text->data() + text->size() && std::isfinite(value) &&
                      value >= 0 && value <= kMostFigure;
    return fine ? std::optional<double>(value) : std::nullopt;
}

}  // namespace

Outcome outcomeOf(const wire::http::Head& head) {
    if (head.status == 200) return Outcome::Served;
    const auto* notRun = head.find("X-Not-Processed");
    if ((head.status == 503 || head.status == 504) && notRun && *notRun == "1") return Outcome::Rejected;
    return Outcome::ServerError;
}

nodes::Dialect platformDialect(std::function<bool(const std::string& node, io::Address&)> address,
                               bool probesTellLoad) {
    nodes::Dialect d;
    d.resolve = std::move(address);
    d.addFields = [](const host::AttemptLabel&, double expireInMs, wire::http::Fields& fields) {
        fields.emplace_back("X-Timeout-Ms",
                            std::to_string(static_cast<long>(std::max(1.0, std::floor(expireInMs)))));
    };
    d.interpret = [](const wire::http::Head& head) {
        host::AttemptResult out;
        out.outcome = outcomeOf(head);
        // The wire's figure is one less than the module's, in which 0 stands for "not told".
        if (const auto used = figure(head, "X-Volume-Use")) out.usage = *used + 1;
        if (const auto others = figure(head, "X-Served-Elsewhere")) out.othersGot = *others;
        return out;
    };
    d.probeTarget = probesTellLoad ? "/status/load" : "/health";
    d.runsOnlyWhenComplete = true;
    d.reuseDelayMs = kRestMs;
    d.learnsIdleLimit = true;
    return d;
}

}  // namespace spokewheel::platform
