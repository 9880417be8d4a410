// Reads YAML and collects every error with its file, line and key, what was given and what is allowed.
// Callers use the values only if there are no errors.
#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace spokewheel::config {

struct ConfigError {
    std::string file;
    int line = 0;  // counted from 1; 0: the file as a whole
    std::string key, message;
    std::string text() const;
};
using ConfigErrors = std::vector<ConfigError>;

// One mapping of the file. The getters add an error and return `defaultValue` if the value is not valid; a
// missing value is an error only if `required`. Each getter marks its key as known; rejectUnknownKeys() adds
// an error for every other key.
class Section {
  public:
    Section(YAML::Node node, std::string path, std::string file, ConfigErrors& errors);
    Section(Section&&) = default;

    bool has(const std::string& key) const;
    std::string text(const std::string& key, bool required, const std::string& defaultValue = "");
    double number(const std::string& key, double defaultValue, double min, double max, bool required = false);
    std::int64_t integer(const std::string& key, std::int64_t defaultValue, std::int64_t min,
                         std::int64_t max, bool required = false);
    // An integer with an optional unit: B, KiB, MiB or GiB.
    std::uint64_t bytes(const std::string& key, std::uint64_t defaultValue, std::uint64_t min,
                        std::uint64_t max);
    bool boolean(const std::string& key, bool defaultValue);
    // One of the keys of `choices`, converted to its value.
    template <class T>
    T choice(const std::string& key, T defaultValue, const std::map<std::string, T>& choices,
             bool required = false) {
        const auto given = text(key, required);
        if (given.empty()) return defaultValue;
        const auto found = choices.find(given);
        if (found != choices.end()) return found->second;
        std::string allowed;
        for (const auto& [name, value] : choices) allowed += (allowed.empty() ? "" : ", ") + name;
        addError(key, "'" + given + "' is not one of: " + allowed);
        return defaultValue;
    }
    // A nested mapping; empty if it is missing.
    Section section(const std::string& key, bool required = false);
    // Calls `readEntry` for each mapping of a list, and rejectUnknownKeys() on it afterwards.
    void forEach(const std::string& key, bool required, const std::function<void(Section&)>& readEntry);
    std::vector<std::string> textList(const std::string& key);
    void addError(const std::string& key, const std::string& message);
    void rejectUnknownKeys();
    // The line of the key, or of the mapping if the key is missing.
    int line(const std::string& key) const;

  private:
    YAML::Node child(const std::string& key, bool required);
    std::string pathOf(const std::string& key) const;
    YAML::Node node_;
    std::string path_, file_;
    ConfigErrors* errors_;
    std::set<std::string> knownKeys_;
};

// The top mapping of a YAML text or file; empty, with an error added, if it cannot be read. `source` names
// the text in errors.
Section parseYaml(const std::string& text, const std::string& source, ConfigErrors& errors);
Section loadYamlFile(const std::string& file, ConfigErrors& errors);

}  // namespace spokewheel::config
