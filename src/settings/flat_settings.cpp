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
bool truth(const std::string& path, const std::string& text) {
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
    if (const auto* text = find(path)) value = truth(path, *text);
}
void FlatSettings::get(const std::string& path, std::string& value) const {
    if (const auto* text = find(path)) value = *text;
}
std::vector<bool> FlatSettings::flags(const std::string& path) const {
    std::vector<bool> out;
    const auto* text = find(path);
    for (std::size_t at = 0; text && !text->empty() && at <= text->size();) {
        const auto comma = std::min(text->find(',', at), text->size());
        out.push_back(truth(path, text->substr(at, comma - at)));
        at = comma + 1;
    }
    return out;
}
std::size_t FlatSettings::count(const std::string& path) const {
    int n = 0;
    get(path + ".count", n);
    if (n < 0 || n > 10000) throw SettingError(path + ".count", "a count");
    return static_cast<std::size_t>(n);
}

Settings settingsFrom(const FlatSettings& paths) {
    Settings s;
    s.classes.resize(paths.count("classes"));
    const auto writes = paths.flags("domain.class-writes");
    if (!writes.empty() && writes.size() != s.classes.size())
        throw SettingError("domain.class-writes", "one value for each class");
    for (std::size_t i = 0; i < s.classes.size(); ++i) {
        auto& c = s.classes[i];
        const auto at = "classes." + std::to_string(i) + ".";
        paths.get(at + "name", c.name);
        paths.choose(at + "effect", c.effect,
                     {{"repeatable", Effect::Repeatable}, {"by_key", Effect::ByKey}, {"once", Effect::Once}});
        paths.choose(at + "group", c.group,
                     {{"all", Group::All}, {"zone", Group::Zone}, {"cell", Group::Cell}});
        paths.get(at + "points", c.points);
        paths.get(at + "late-worth", c.lateWorth);
        paths.get(at + "on-time-ms", c.latencyTargetMs);
        paths.get(at + "deadline-ms", c.deadlineMs);
        paths.get(at + "memory-span-ms", c.keyRetentionMs);
        paths.get(at + "in-order", c.inOrder);
        paths.get(at + "stream", c.stream);
        c.writes = i < writes.size() && writes[i];
    }
    s.plans.resize(paths.count("contracts"));
    for (std::size_t i = 0; i < s.plans.size(); ++i) {
        auto& p = s.plans[i];
        const auto at = "contracts." + std::to_string(i) + ".";
        paths.get(at + "name", p.name);
        paths.get(at + "limit", p.limit);
        paths.get(at + "limit-burst", p.limitBurst);
        paths.get(at + "slack", p.slack);
        paths.get(at + "nominal", p.nominal);
        paths.get(at + "reservation", p.reservation);
        paths.get(at + "shares", p.weight);
        paths.get(at + "worth-factor", p.worthFactor);
    }
    paths.get("peers-total", s.hosts);
    paths.get("rank", s.rank);
    paths.choose("registry-mode", s.subscribe, {{"automatic", false}, {"subscribe", true}});
    paths.get("ceilings.probes", s.mayProbe);
    paths.get("ceilings.peers", s.maySendToPeers);
    paths.get("ceilings.cancel", s.mayCancel);
    paths.get("ceilings.second-copies", s.maySecondCopy);
    paths.get("ceilings.send-cap", s.maxAttempts);
    paths.get("ceilings.max-open", s.maxOpen);
    bool holdOff = false;
    paths.get("ceilings.retry-after", holdOff);
    if (holdOff) paths.get("ceilings.max-retry-after-ms", s.maxRetryAfterMs);
    paths.get("tick-ms", s.tickMs);
    paths.get("domain.cold-units", s.coldUnits);
    paths.get("rules.cold-ms", s.coldMs);
    paths.get("rules.cold-share", s.coldShare);
    paths.get("rules.tip-multiple", s.overloadFactor);
    paths.get("rules.fall-ms", s.overloadSpanMs);
    paths.get("rules.drain-grace-ms", s.drainGraceMs);
    paths.get("rules.grace-to-answer-ms", s.answerGraceMs);
    paths.get("rules.ask-within-ms", s.askWithinMs);
    paths.get("rules.settle-after-doubt-ms", s.settleAfterDoubtMs);
    paths.get("rules.extra-floor", s.retryBudgetFloor);
    paths.get("rules.extra-share", s.retryBudgetShare);
    paths.get("rules.ratio-span-ms", s.retryBudgetSpanMs);
    paths.get("domain.mean-units", s.meanUnits);
    paths.get("domain.units-top", s.maxUnits);
    paths.get("domain.fair-worth", s.fairWorth);
    paths.get("domain.spare-worth", s.spareWorth);
    paths.get("domain.use-period-ms", s.usagePeriodMs);
    paths.get("zone", s.zone);
    return s;
}

}  // namespace spokewheel::settings
