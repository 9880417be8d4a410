#include "log/descriptor_sink.hpp"

#include <limits.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <string>

namespace spokewheel::log {
namespace {

constexpr int kMaxInterrupts = 3;

}  // namespace

DescriptorSink::DescriptorSink(int descriptor) : descriptor_(descriptor) {
    struct stat status {};
    regularFile_ = fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

// A pipe that poll() reports as writable accepts PIPE_BUF bytes at once and atomically (pipe(7)).
bool DescriptorSink::wouldBlock() const {
    if (regularFile_) return false;
    pollfd writable{descriptor_, POLLOUT, 0};
    return poll(&writable, 1, 0) != 1 || !(writable.revents & POLLOUT);
}

bool DescriptorSink::writeWithoutBlocking(std::string_view line) {
    if (line.size() > PIPE_BUF || wouldBlock()) return false;
    for (int i = 0; i < kMaxInterrupts; ++i) {
        const ssize_t written = ::write(descriptor_, line.data(), line.size());
        if (written >= 0) return static_cast<std::size_t>(written) == line.size();
        if (errno != EINTR) return false;
    }
    return false;
}

void DescriptorSink::sink_it_(const spdlog::details::log_msg& message) {
    if (dropped_ > 0) {
        const auto notice =
            "{\"level\":\"warning\",\"event\":\"log_lines_lost\",\"count\":" + std::to_string(dropped_) +
            "}\n";
        if (writeWithoutBlocking(notice)) dropped_ = 0;
    }
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (dropped_ > 0 || !writeWithoutBlocking({line.data(), line.size()})) ++dropped_;
}

}  // namespace spokewheel::log
