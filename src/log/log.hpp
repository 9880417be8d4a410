// Structured logging with spdlog: one JSON object per line, with stable event names. Each event name is
// limited in rate; the number of suppressed lines is added to the next line of that event.
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
    // Logs to standard error if `file` is empty. Throws std::runtime_error if the file cannot be opened.
    Log(const std::string& file, const std::string& level, std::string host);
    ~Log();
    // Writes one event with its fields, leaving out empty values. `nowMs`: monotonic time, for the rate
    // limit.
    // `maxPerSecond`: of lines of this event.
    void event(Level level, std::string_view name, Fields fields, double nowMs,
               std::uint64_t maxPerSecond = kMaxPerSecond);
    void flush();
    static constexpr std::uint64_t kMaxPerSecond = 100;
    // Returns the text as a JSON string literal with quotes; bytes other than printable ASCII become \u00XX.
    static std::string quoted(std::string_view text);

  private:
    struct RateLimit {
        double windowStart = 0;
        std::uint64_t inWindow = 0, suppressed = 0;
    };
    std::shared_ptr<spdlog::logger> logger_;
    std::string host_;
    std::map<std::string, RateLimit, std::less<>> limits_;
};

}  // namespace spokewheel::log
