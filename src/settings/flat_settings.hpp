// Settings as a flat map from path to text ("classes.0.name", "classes.count", plain lists joined by commas),
// read into the scheduler's Settings. The bench link's first message and the platform's configuration both
// use this reader, so that they cannot be understood differently. Standard library only.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "spokewheel/scheduler.hpp"

namespace spokewheel::settings {

// A value that cannot be used: its path and what was expected there.
struct SettingError : std::runtime_error {
    SettingError(const std::string& settingPath, const std::string& expectedText)
        : std::runtime_error("setting '" + settingPath + "': expected " + expectedText),
          path(settingPath),
          expected(expectedText) {}
    std::string path, expected;
};

// Every getter leaves `value` as it is where the path is absent, and throws SettingError where the text
// cannot be read. Paths that nobody looks up are ignored.
class FlatSettings {
  public:
    using Values = std::map<std::string, std::string>;
    explicit FlatSettings(Values values) : values_(std::move(values)) {}
    void get(const std::string& path, double& value) const;
    void get(const std::string& path, int& value) const;
    void get(const std::string& path, bool& value) const;
    void get(const std::string& path, std::string& value) const;
    // Maps a word to a value.
    template <class T>
    void choose(const std::string& path, T& value, const std::map<std::string, T>& choices) const {
        const auto* text = find(path);
        if (!text) return;
        const auto found = choices.find(*text);
        if (found == choices.end()) throw SettingError(path, "one of the known words");
        value = found->second;
    }
    // A list of booleans; empty where the path is absent.
    std::vector<bool> flags(const std::string& path) const;
    // The number of entries of a list of sections, at `path`.count; 0 where it is absent.
    std::size_t count(const std::string& path) const;

  private:
    const std::string* find(const std::string& path) const;
    Values values_;
};

// Throws SettingError. The scheduler itself checks that the figures are in range and do not contradict each
// other.
Settings settingsFrom(const FlatSettings& flat);

}  // namespace spokewheel::settings
