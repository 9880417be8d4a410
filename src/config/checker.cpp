#include "config/checker.hpp"

#include <charconv>
#include <cmath>

namespace spokewheel::config {
namespace {

int lineOf(const YAML::Node& node) { return node.Mark().is_null() ? 0 : node.Mark().line + 1; }
std::string withoutTrailingZeros(double x) {
    std::string s = std::to_string(x);
    s.erase(s.find_last_not_of('0') + 1);
    if (!s.empty() && s.back() == '.') s.pop_back();
    return s;
}

}  // namespace

std::string ConfigError::text() const {
    return file + ":" + std::to_string(line) + ": " + (key.empty() ? "" : key + ": ") + message;
}

Section::Section(YAML::Node node, std::string path, std::string file, ConfigErrors& errors)
    : node_(std::move(node)), path_(std::move(path)), file_(std::move(file)), errors_(&errors) {}

std::string Section::pathOf(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }
int Section::line(const std::string& key) const {
    if (!node_.IsMap()) return lineOf(node_);
    const auto child = static_cast<const YAML::Node&>(node_)[key];
    return child.IsDefined() ? lineOf(child) : lineOf(node_);
}
void Section::addError(const std::string& key, const std::string& message) {
    errors_->push_back({file_, line(key), pathOf(key), message});
}
bool Section::has(const std::string& key) const {
    return node_.IsMap() && static_cast<const YAML::Node&>(node_)[key].IsDefined();
}

YAML::Node Section::child(const std::string& key, bool required) {
    knownKeys_.insert(key);
    if (has(key)) return static_cast<const YAML::Node&>(node_)[key];
    if (required) addError(key, "is missing");
    return YAML::Node(YAML::NodeType::Undefined);
}

std::string Section::text(const std::string& key, bool required, const std::string& defaultValue) {
    const auto n = child(key, required);
    if (!n.IsDefined() || n.IsNull()) return defaultValue;
    if (!n.IsScalar()) {
        addError(key, "must be a string");
        return defaultValue;
    }
    if (required && n.Scalar().empty()) addError(key, "must not be empty");
    return n.Scalar();
}

double Section::number(const std::string& key, double defaultValue, double min, double max, bool required) {
    const auto given = text(key, required);
    if (given.empty()) return defaultValue;
    double value = 0;
    const char* last = given.data() + given.size();
    const auto [end, error] = std::from_chars(given.data(), last, value);
    if (error == std::errc() && end == last && std::isfinite(value) && value >= min && value <= max)
        return value;
    addError(key, "'" + given + "' is not a number from " + withoutTrailingZeros(min) + " to " +
                      withoutTrailingZeros(max));
    return defaultValue;
}

std::int64_t Section::integer(const std::string& key, std::int64_t defaultValue, std::int64_t min,
                              std::int64_t max, bool required) {
    const auto given = text(key, required);
    if (given.empty()) return defaultValue;
    std::int64_t value = 0;
    const char* last = given.data() + given.size();
    const auto [end, error] = std::from_chars(given.data(), last, value);
    if (error == std::errc() && end == last && value >= min && value <= max) return value;
    addError(key, "'" + given + "' is not a whole number from " + std::to_string(min) + " to " +
                      std::to_string(max));
    return defaultValue;
}

std::uint64_t Section::bytes(const std::string& key, std::uint64_t defaultValue, std::uint64_t min,
                             std::uint64_t max) {
    const auto given = text(key, false);
    if (given.empty()) return defaultValue;
    std::uint64_t value = 0, factor = 1;
    const char* last = given.data() + given.size();
    const auto [end, error] = std::from_chars(given.data(), last, value);
    std::string unit(end, last);
    while (!unit.empty() && unit.front() == ' ') unit.erase(0, 1);
    const std::map<std::string, std::uint64_t> units = {
        {"", 1}, {"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}};
    const auto found = units.find(unit);
    if (found != units.end()) factor = found->second;
    const bool fits = error == std::errc() && found != units.end() && value <= max / factor;
    if (fits && value * factor >= min) return value * factor;
    addError(key, "'" + given + "' is not a size from " + std::to_string(min) + " to " + std::to_string(max) +
                      " bytes (units: KiB, MiB, GiB)");
    return defaultValue;
}

bool Section::boolean(const std::string& key, bool defaultValue) {
    const auto given = text(key, false);
    if (given.empty()) return defaultValue;
    if (given == "true" || given == "false") return given == "true";
    addError(key, "'" + given + "' is neither true nor false");
    return defaultValue;
}

Section Section::section(const std::string& key, bool required) {
    auto n = child(key, required);
    if (n.IsDefined() && !n.IsMap()) {
        addError(key, "must be a mapping");
        n = YAML::Node(YAML::NodeType::Map);
    }
    if (!n.IsDefined()) n = YAML::Node(YAML::NodeType::Map);
    return Section(n, pathOf(key), file_, *errors_);
}

void Section::forEach(const std::string& key, bool required, const std::function<void(Section&)>& readEntry) {
    const auto n = child(key, required);
    if (!n.IsDefined()) return;
    if (!n.IsSequence()) return addError(key, "must be a list");
    if (required && n.size() == 0) addError(key, "must have at least one entry");
    for (std::size_t i = 0; i < n.size(); ++i) {
        const auto path = pathOf(key) + "[" + std::to_string(i) + "]";
        if (!n[i].IsMap()) {
            errors_->push_back({file_, lineOf(n[i]), path, "must be a mapping"});
            continue;
        }
        Section entry(n[i], path, file_, *errors_);
        readEntry(entry);
        entry.rejectUnknownKeys();
    }
}

std::vector<std::string> Section::textList(const std::string& key) {
    const auto n = child(key, false);
    std::vector<std::string> out;
    if (!n.IsDefined()) return out;
    if (!n.IsSequence()) {
        addError(key, "must be a list of strings");
        return out;
    }
    for (const auto& one : n)
        if (one.IsScalar()) out.push_back(one.Scalar());
        else addError(key, "must be a list of strings");
    return out;
}

void Section::rejectUnknownKeys() {
    if (!node_.IsMap()) return;
    for (const auto& pair : node_) {
        const auto key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
        if (knownKeys_.count(key)) continue;
        std::string allowed;
        for (const auto& k : knownKeys_) allowed += (allowed.empty() ? "" : ", ") + k;
        errors_->push_back({file_, lineOf(pair.first), pathOf(key), "unknown key; allowed keys: " + allowed});
    }
}

namespace {
Section load(const std::function<YAML::Node()>& read, const std::string& file, ConfigErrors& errors) {
    YAML::Node top(YAML::NodeType::Map);
    try {
        top = read();
        if (!top.IsMap()) {
            errors.push_back({file, 0, "", "must be a mapping"});
            top = YAML::Node(YAML::NodeType::Map);
        }
    } catch (const YAML::BadFile&) {
        errors.push_back({file, 0, "", "cannot be read"});
    } catch (const YAML::Exception& e) {
        errors.push_back({file, e.mark.is_null() ? 0 : e.mark.line + 1, "", e.msg});
    }
    return Section(top, "", file, errors);
}
}  // namespace

Section loadYamlFile(const std::string& file, ConfigErrors& errors) {
    return load([&file] { return YAML::LoadFile(file); }, file, errors);
}
Section parseYaml(const std::string& text, const std::string& source, ConfigErrors& errors) {
    return load([&text] { return YAML::Load(text); }, source, errors);
}

}  // namespace spokewheel::config
