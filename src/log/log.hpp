// Structured logs: one JSON object a line, with stable event names, on spdlog. Each kind of event is limited
// to a rate; how many were left out is told with the next one that is let through.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace spdlog {
class logger;
}

namespace spokewheel::log {

enum class Level { Debug, Info, Warn, Error };
using Fields = std::initializer_list<std::pair<std::string_view, std::string_view>>;

class Log {
  public:
    // To standard error where `file` is empty. Throws std::runtime_error where the file can't be opened.
    Log(const std::string& file, const std::string& level, std::string host);
    ~Log();
    void event(Level level, std::string_view name, Fields pairs, double nowMs);
    void flush();
    // The text of a JSON string, quotes included; bytes that are not UTF-8 come as \u00XX.
    static std::string quoted(std::string_view text);

  private:
    struct Kind {
        double windowFrom = 0;
        std::uint64_t inWindow = 0, leftOut = 0;
    };
    static constexpr std::uint64_t kMostASecond = 100;
    std::shared_ptr<spdlog::logger> logger_;
    std::string host_;
    std::map<std::string, Kind, std::less<>> kinds_;
};

}  // namespace spokewheel::log
