#include "config/checker.hpp"

#include <charconv>
#include <cmath>

namespace spokewheel::config {
namespace {

int lineOf(const YAML::Node& node) { return node.Mark().is_null() ? 0 : node.Mark().line + 1; }
std::string pretty(double x) {
    std::string s = std::to_string(x);
    s.erase(s.find_last_not_of('0') + 1);
    if (!s.empty() && s.back() == '.') s.pop_back();
    return s;
}

}  // namespace

std::string ConfigError::text() const {
    return file + ":" + std::to_string(line) + ": " + (key.empty() ? "" : key + ": ") + words;
}

Section::Section(YAML::Node node, std::string path, std::string file, ConfigErrors& mistakes)
    : node_(std::move(node)), path_(std::move(path)), file_(std::move(file)), mistakes_(&mistakes) {}

std::string Section::at(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }
int Section::line(const std::string& key) const {
    if (!node_.IsMap()) return lineOf(node_);
    const auto child = static_cast<const YAML::Node&>(node_)[key];
    return child.IsDefined() ? lineOf(child) : lineOf(node_);
}
void Section::addError(const std::string& key, const std::string& words) {
    mistakes_->push_back({file_, line(key), at(key), words});
}
bool Section::has(const std::string& key) const {
    return node_.IsMap() && static_cast<const YAML::Node&>(node_)[key].IsDefined();
}

YAML::Node Section::take(const std::string& key, bool required) {
    taken_.insert(key);
    if (has(key)) return static_cast<const YAML::Node&>(node_)[key];
    if (required) addError(key, "is missing");
    return YAML::Node(YAML::NodeType::Undefined);
}

std::string Section::text(const std::string& key, bool required, const std::string& absent) {
    const auto n = take(key, required);
    if (!n.IsDefined() || n.IsNull()) return absent;
    if (!n.IsScalar()) {
        addError(key, "must be text");
        return absent;
    }
    if (required && n.Scalar().empty()) addError(key, "must not be empty");
    return n.Scalar();
}

double Section::number(const std::string& key, double absent, double least, double most, bool required) {
    const auto given = text(key, required);
    if (given.empty()) return absent;
    double value = 0;
    const char* last = given.data() + given.size();
    const auto [end, error] = std::from_chars(given.data(), last, value);
    if (error == std::errc() && end == last && std::isfinite(value) && value >= least && value <= most)
        return value;
    addError(key, "'" + given + "' is not a number from " + pretty(least) + " to " + pretty(most));
    return absent;
}

std::int64_t Section::integer(const std::string& key, std::int64_t absent, std::int64_t least,
                              std::int64_t most, bool required) {
    const auto given = text(key, required);
    if (given.empty()) return absent;
    std::int64_t value = 0;
    const char* last = given.data() + given.size();
    const auto [end, error] = std::from_chars(given.data(), last, value);
    if (error == std::errc() && end == last && value >= least && value <= most) return value;
    addError(key, "'" + given + "' is not a whole number from " + std::to_string(least) + " to " +
                      std::to_string(most));
    return absent;
}

std::uint64_t Section::bytes(const std::string& key, std::uint64_t absent, std::uint64_t least,
                             std::uint64_t most) {
    const auto given = text(key, false);
    if (given.empty()) return absent;
    std::uint64_t value = 0, times = 1;
    const char* last = given.data() + given.size();
    const auto [end, error] = std::from_chars(given.data(), last, value);
    std::string unit(end, last);
    while (!unit.empty() && unit.front() == ' ') unit.erase(0, 1);
    const std::map<std::string, std::uint64_t> units = {
        {"", 1}, {"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}};
    const auto found = units.find(unit);
    if (found != units.end()) times = found->second;
    const bool fine = error == std::errc() && found != units.end() && value <= most / times;
    if (fine && value * times >= least) return value * times;
    addError(key, "'" + given + "' is not a size from " + std::to_string(least) + " to " +
                      std::to_string(most) + " bytes (units: KiB, MiB, GiB)");
    return absent;
}

bool Section::boolean(const std::string& key, bool absent) {
    const auto given = text(key, false);
    if (given.empty()) return absent;
    if (given == "true" || given == "false") return given == "true";
    addError(key, "'" + given + "' is neither true nor false");
    return absent;
}

Section Section::section(const std::string& key, bool required) {
    auto n = take(key, required);
    if (n.IsDefined() && !n.IsMap()) {
        addError(key, "must be a mapping of keys");
        n = YAML::Node(YAML::NodeType::Map);
    }
    if (!n.IsDefined()) n = YAML::Node(YAML::NodeType::Map);
    return Section(n, at(key), file_, *mistakes_);
}

void Section::forEach(const std::string& key, bool required, const std::function<void(Section&)>& read) {
    const auto n = take(key, required);
    if (!n.IsDefined()) return;
    if (!n.IsSequence()) return addError(key, "must be a list");
    if (required && n.size() == 0) addError(key, "must have at least one entry");
    for (std::size_t i = 0; i < n.size(); ++i) {
        const auto path = at(key) + "[" + std::to_string(i) + "]";
        if (!n[i].IsMap()) {
            mistakes_->push_back({file_, lineOf(n[i]), path, "must be a mapping of keys"});
            continue;
        }
        Section one(n[i], path, file_, *mistakes_);
        read(one);
        one.rejectUnknownKeys();
    }
}

std::vector<std::string> Section::textList(const std::string& key) {
    const auto n = take(key, false);
    std::vector<std::string> out;
    if (!n.IsDefined()) return out;
    if (!n.IsSequence()) {
        addError(key, "must be a list of texts");
        return out;
    }
    for (const auto& one : n)
        if (one.IsScalar()) out.push_back(one.Scalar());
        else addError(key, "must be a list of texts");
    return out;
}

void Section::rejectUnknownKeys() {
    if (!node_.IsMap()) return;
    for (const auto& pair : node_) {
        const auto key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
        if (taken_.count(key)) continue;
        std::string known;
        for (const auto& k : taken_) known += (known.empty() ? "" : ", ") + k;
        mistakes_->push_back({file_, lineOf(pair.first), at(key), "unknown key; known here: " + known});
    }
}

namespace {
Section load(const std::function<YAML::Node()>& read, const std::string& file, ConfigErrors& mistakes) {
    YAML::Node top(YAML::NodeType::Map);
    try {
        top = read();
        if (!top.IsMap()) {
            mistakes.push_back({file, 0, "", "must be a mapping of keys"});
            top = YAML::Node(YAML::NodeType::Map);
        }
    } catch (const YAML::BadFile&) {
        mistakes.push_back({file, 0, "", "cannot be read"});
    } catch (const YAML::Exception& e) {
        mistakes.push_back({file, e.mark.is_null() ? 0 : e.mark.line + 1, "", e.msg});
    }
    return Section(top, "", file, mistakes);
}
}  // namespace

Section loadYamlFile(const std::string& file, ConfigErrors& mistakes) {
    return load([&file] { return YAML::LoadFile(file); }, file, mistakes);
}
Section parseYaml(const std::string& text, const std::string& source, ConfigErrors& mistakes) {
    return load([&text] { return YAML::Load(text); }, source, mistakes);
}

}  // namespace spokewheel::config
