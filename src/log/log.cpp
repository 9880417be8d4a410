#include "log/log.hpp"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cstdio>
#include <stdexcept>

#include "log/descriptor_sink.hpp"

namespace spokewheel::log {

Log::Log(const std::string& file, const std::string& level, std::string host) : host_(std::move(host)) {
    try {
        if (file.empty())
            logger_ = std::make_shared<spdlog::logger>("spokewheel",
                                                       std::make_shared<DescriptorSink>(STDERR_FILENO));
        else
            logger_ = std::make_shared<spdlog::logger>(
                "spokewheel", std::make_shared<spdlog::sinks::basic_file_sink_st>(file));
    } catch (const spdlog::spdlog_ex& e) {
        throw std::runtime_error(e.what());
    }
    logger_->set_level(spdlog::level::from_str(level));
    logger_->set_pattern("{\"at\":\"%Y-%m-%dT%H:%M:%S.%e%z\",\"level\":\"%l\",%v}");
    logger_->flush_on(spdlog::level::info);
    // Lines are lost silently when the disk is full: spdlog would report that to standard error, which may be
    // a pipe that nobody reads.
    logger_->set_error_handler([](const std::string&) {});
}
Log::~Log() { flush(); }
void Log::flush() { logger_->flush(); }

std::string Log::quoted(std::string_view text) {
    std::string out = "\"";
    for (const char c : text) {
        const auto u = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') (out += '\\') += c;
        else if (u >= 0x20 && u < 0x7f) out += c;
        else {
            char code[8];
            std::snprintf(code, sizeof code, "\\u%04x", u);
            out += code;
        }
    }
    return out + "\"";
}

void Log::event(Level level, std::string_view name, Fields fields, double nowMs, std::uint64_t maxPerSecond) {
    const auto spdlogLevel = level == Level::Debug  ? spdlog::level::debug
                             : level == Level::Info ? spdlog::level::info
                             : level == Level::Warn ? spdlog::level::warn
                                                    : spdlog::level::err;
    if (!logger_->should_log(spdlogLevel)) return;
    auto found = limits_.find(name);
    if (found == limits_.end()) found = limits_.emplace(std::string(name), RateLimit{}).first;
    auto& limit = found->second;
    if (nowMs >= limit.windowStart + 1000) limit.windowStart = nowMs, limit.inWindow = 0;
    if (++limit.inWindow > maxPerSecond) {
        ++limit.suppressed;
        return;
    }
    std::string line = "\"event\":" + quoted(name) + ",\"host\":" + quoted(host_);
    for (const auto& [key, value] : fields)
        if (!value.empty()) line += "," + quoted(key) + ":" + quoted(value);
    if (limit.suppressed) line += ",\"left_out\":" + std::to_string(std::exchange(limit.suppressed, 0));
    logger_->log(spdlogLevel, "{}", line);
}

}  // namespace spokewheel::log
