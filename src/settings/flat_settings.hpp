// Settings by path ("classes.0.name", "classes.count", a list of plain values joined by commas), as the
// simulator's first message and the platform's configuration both bring them, read into the module's
// Settings. One reader for both, so that they can't be understood apart. Standard library only.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "spokewheel/scheduler.hpp"

namespace spokewheel::settings {

// A value that can't be used: its path and what is wanted there.
struct SettingError : std::runtime_error {
    SettingError(const std::string& at, const std::string& wanted)
        : std::runtime_error("setting '" + at + "': expected " + wanted), path(at), expected(wanted) {}
    std::string path, expected;
};

// What the reader doesn't use is never looked up, and so ignored. Every getter leaves the value as it is
// where the path is absent and throws SettingError where it can't be read.
class FlatSettings {
  public:
    using Values = std::map<std::string, std::string>;
    explicit FlatSettings(Values values) : values_(std::move(values)) {}
    void get(const std::string& path, double& value) const;
    void get(const std::string& path, int& value) const;
    void get(const std::string& path, bool& value) const;
    void get(const std::string& path, std::string& value) const;
    template <class T>
    void choose(const std::string& path, T& value, const std::map<std::string, T>& words) const {
        const auto* text = find(path);
        if (!text) return;
        const auto found = words.find(*text);
        if (found == words.end()) throw SettingError(path, "one of the known words");
        value = found->second;
    }
    std::vector<bool> flags(const std::string& path) const;
    std::size_t count(const std::string& path) const;

  private:
    const std::string* find(const std::string& path) const;
    Values values_;
};

// Throws SettingError. That the figures don't contradict each other is the module's to check.
Settings settingsFrom(const FlatSettings& paths);

}  // namespace spokewheel::settings
