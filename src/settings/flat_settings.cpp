#include "settings/flat_settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace spokewheel::settings {
namespace {

template <class T>
bool parseNumber(std::string_view text, T& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}
bool parseBool(const std::string& path, const std::string& text) {
    if (text != "true" && text != "false" && text != "1" && text != "0")
        throw SettingError(path, "true or false");
    return text == "true" || text == "1";
}

}  // namespace

const std::string* FlatSettings::find(const std::string& path) const {
    const auto found = values_.find(path);
    return found == values_.end() ? nullptr : &found->second;
}
void FlatSettings::get(const std::string& path, double& value) const {
    if (const auto* text = find(path); text && (!parseNumber(*text, value) || !std::isfinite(value)))
        throw SettingError(path, "a number");
}
void FlatSettings::get(const std::string& path, int& value) const {
    if (const auto* text = find(path); text && !parseNumber(*text, value))
        throw SettingError(path, "a whole number");
}
void FlatSettings::get(const std::string& path, bool& value) const {
    if (const auto* text = find(path)) value = parseBool(path, *text);
}
void FlatSettings::get(const std::string& path, std::string& value) const {
    if (const auto* text = find(path)) value = *text;
}
std::vector<bool> FlatSettings::flags(const std::string& path) const {
    std::vector<bool> values;
    const auto* text = find(path);
    for (std::size_t start = 0; text && !text->empty() && start <= text->size();) {
        const auto comma = std::min(text->find(',', start), text->size());
        values.push_back(parseBool(path, text->substr(start, comma - start)));
        start = comma + 1;
    }
    return values;
}
std::size_t FlatSettings::count(const std::string& path) const {
    int count = 0;
    get(path + ".count", count);
    if (count < 0 || count > 10000) throw SettingError(path + ".count", "a count");
    return static_cast<std::size_t>(count);
}

Settings settingsFrom(const FlatSettings& flat) {
    Settings settings;
    settings.classes.resize(flat.count("classes"));
    const auto writes = flat.flags("domain.class-writes");
    if (!writes.empty() && writes.size() != settings.classes.size())
        throw SettingError("domain.class-writes", "one value for each class");
    settings.classesTellWrites = !writes.empty();
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        auto& requestClass = settings.classes[i];
        const auto prefix = "classes." + std::to_string(i) + ".";
        flat.get(prefix + "name", requestClass.name);
        flat.choose(prefix + "effect", requestClass.effect,
                    {{"repeatable", Effect::Repeatable}, {"by_key", Effect::ByKey}, {"once", Effect::Once}});
        flat.choose(prefix + "group", requestClass.group,
                    {{"all", Group::All}, {"zone", Group::Zone}, {"cell", Group::Cell}});
        flat.get(prefix + "points", requestClass.points);
        flat.get(prefix + "late-worth", requestClass.lateWorth);
        flat.get(prefix + "on-time-ms", requestClass.latencyTargetMs);
        flat.get(prefix + "deadline-ms", requestClass.deadlineMs);
        flat.get(prefix + "memory-span-ms", requestClass.keyRetentionMs);
        flat.get(prefix + "in-order", requestClass.inOrder);
        flat.get(prefix + "stream", requestClass.stream);
        requestClass.writes = i < writes.size() && writes[i];
    }
    settings.plans.resize(flat.count("contracts"));
    for (std::size_t i = 0; i < settings.plans.size(); ++i) {
        auto& plan = settings.plans[i];
        const auto prefix = "contracts." + std::to_string(i) + ".";
        flat.get(prefix + "name", plan.name);
        flat.get(prefix + "limit", plan.limit);
        flat.get(prefix + "limit-burst", plan.limitBurst);
        flat.get(prefix + "slack", plan.slack);
        flat.get(prefix + "nominal", plan.nominal);
        flat.get(prefix + "reservation", plan.reservation);
        flat.get(prefix + "shares", plan.weight);
        flat.get(prefix + "worth-factor", plan.worthFactor);
    }
    flat.get("peers-total", settings.hosts);
    flat.get("rank", settings.rank);
    flat.choose("registry-mode", settings.subscribe, {{"automatic", false}, {"subscribe", true}});
    flat.get("ceilings.probes", settings.mayProbe);
    flat.get("ceilings.peers", settings.maySendToPeers);
    flat.get("ceilings.cancel", settings.mayCancel);
    flat.get("ceilings.second-copies", settings.maySecondCopy);
    flat.get("ceilings.send-cap", settings.maxAttempts);
    flat.get("ceilings.max-open", settings.maxOpen);
    bool sendRetryAfter = false;
    flat.get("ceilings.retry-after", sendRetryAfter);
    if (sendRetryAfter) flat.get("ceilings.max-retry-after-ms", settings.maxRetryAfterMs);
    flat.get("tick-ms", settings.tickMs);
    flat.get("domain.cold-units", settings.coldUnits);
    flat.get("rules.cold-ms", settings.coldMs);
    flat.get("rules.cold-share", settings.coldShare);
    flat.get("rules.tip-multiple", settings.overloadFactor);
    flat.get("rules.fall-ms", settings.overloadSpanMs);
    flat.get("rules.drain-grace-ms", settings.drainGraceMs);
    flat.get("rules.grace-to-answer-ms", settings.answerGraceMs);
    flat.get("rules.ask-within-ms", settings.askWithinMs);
    flat.get("rules.settle-after-doubt-ms", settings.settleAfterDoubtMs);
    flat.get("rules.extra-floor", settings.retryBudgetFloor);
    flat.get("rules.extra-share", settings.retryBudgetShare);
    flat.get("rules.ratio-span-ms", settings.retryBudgetSpanMs);
    flat.get("domain.mean-units", settings.meanUnits);
    flat.get("domain.units-top", settings.maxUnits);
    flat.get("domain.fair-worth", settings.fairWorth);
    flat.get("domain.spare-worth", settings.spareWorth);
    flat.get("domain.use-period-ms", settings.usagePeriodMs);
    flat.get("zone", settings.zone);
    return settings;
}

}  // namespace spokewheel::settings
