// Writes log lines to a descriptor without ever blocking on its reader. A line that cannot be written
// immediately is dropped and counted; the next line that can be written is preceded by a line with the count.
#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <string_view>

namespace spokewheel::log {

class DescriptorSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    // Does not take ownership of the descriptor, which must stay open.
    explicit DescriptorSink(int descriptor);
    // Dropped lines that have not been reported yet.
    std::uint64_t dropped() const { return dropped_; }

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override {}

  private:
    bool writeWithoutBlocking(std::string_view line);
    bool wouldBlock() const;

    int descriptor_;
    bool regularFile_;
    std::uint64_t dropped_ = 0;
};

}  // namespace spokewheel::log
