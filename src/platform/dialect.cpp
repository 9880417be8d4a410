#include "platform/dialect.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace spokewheel::platform {
namespace {

constexpr double kMaxFieldValue = 1e9;
// A disk server may send a second answer some milliseconds late. On a connection already in use again, it
// would be taken for the answer to the next request.
constexpr double kReuseDelayMs = 12;
// Well beyond "some milliseconds", on every way there and back that a connection may have.
constexpr double kSettledAfterMs = 100;
constexpr double kSurplusMemoryMs = 2000;

// A value that can't be parsed is ignored: the answer itself is valid.
std::optional<double> numericField(const wire::http::Head& head, const char* name) {
    const auto* text = head.find(name);
    double value = 0;
    if (!text) return std::nullopt;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    const bool valid = error == std::errc() && end == text->data() + text->size() && std::isfinite(value) &&
                       value >= 0 && value <= kMaxFieldValue;
    return valid ? std::optional<double>(value) : std::nullopt;
}

}  // namespace

Outcome outcomeOf(const wire::http::Head& head) {
    if (head.status == 200) return Outcome::Served;
    const auto* notProcessed = head.find("X-Not-Processed");
    if ((head.status == 503 || head.status == 504) && notProcessed && *notProcessed == "1")
        return Outcome::Rejected;
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
        // The scheduling module counts from 1, with 0 for "unknown".
        if (const auto used = numericField(head, "X-Volume-Use")) out.usage = *used + 1;
        if (const auto others = numericField(head, "X-Served-Elsewhere")) out.servedElsewhere = *others;
        return out;
    };
    d.probeTarget = probesTellLoad ? "/status/load" : "/health";
    d.runsOnlyWhenComplete = true;
    d.reuse = {kReuseDelayMs, kSettledAfterMs, kSurplusMemoryMs};
    d.learnsIdleLimit = true;
    return d;
}

}  // namespace spokewheel::platform
