// Reads YAML with every mistake told: file, line, key, what is there and what is allowed. Nothing is used
// before all of it has been checked.
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
    int line = 0;  // 1 is the first; 0: the file as a whole
    std::string key, words;
    std::string text() const;
};
using ConfigErrors = std::vector<ConfigError>;

// One mapping of the file. Each get() takes a key; rejectUnknownKeys() complains of those that nobody took.
class Section {
  public:
    Section(YAML::Node node, std::string path, std::string file, ConfigErrors& mistakes);
    Section(Section&&) = default;

    bool has(const std::string& key) const;
    std::string text(const std::string& key, bool required, const std::string& absent = "");
    double number(const std::string& key, double absent, double least, double most, bool required = false);
    std::int64_t integer(const std::string& key, std::int64_t absent, std::int64_t least, std::int64_t most,
                         bool required = false);
    // A whole number with an optional KiB, MiB or GiB behind it.
    std::uint64_t bytes(const std::string& key, std::uint64_t absent, std::uint64_t least,
                        std::uint64_t most);
    bool boolean(const std::string& key, bool absent);
    template <class T>
    T choice(const std::string& key, T absent, const std::map<std::string, T>& words, bool required = false) {
        const auto given = text(key, required);
        if (given.empty()) return absent;
        const auto found = words.find(given);
        if (found != words.end()) return found->second;
        std::string allowed;
        for (const auto& [w, value] : words) allowed += (allowed.empty() ? "" : ", ") + w;
        addError(key, "'" + given + "' is not one of: " + allowed);
        return absent;
    }
    // A mapping under the key; an absent one reads as empty.
    Section section(const std::string& key, bool required = false);
    // Each mapping of a list under the key.
    void forEach(const std::string& key, bool required, const std::function<void(Section&)>& read);
    std::vector<std::string> textList(const std::string& key);
    void addError(const std::string& key, const std::string& words);
    void rejectUnknownKeys();
    int line(const std::string& key) const;

  private:
    YAML::Node take(const std::string& key, bool required);
    std::string at(const std::string& key) const;
    YAML::Node node_;
    std::string path_, file_;
    ConfigErrors* mistakes_;
    std::set<std::string> taken_;
};

// The top mapping of a file, or mistakes that say why it can't be read.
Section parseYaml(const std::string& text, const std::string& source, ConfigErrors& mistakes);
Section loadYamlFile(const std::string& file, ConfigErrors& mistakes);

}  // namespace spokewheel::config
