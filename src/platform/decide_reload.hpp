// How long a configuration that can't be read after SIGHUP is tried again: the file may be half written, or
// opening it may fail for a moment. Free of I/O and clocks; milliseconds.
#pragma once

namespace spokewheel::platform {

// The platform counts changes announced at a new discovery address as known 4 s after the SIGHUP, and a new
// watch takes up to 2.3 s of that.
constexpr double kReloadRetryIntervalMs = 50, kReloadRetryForMs = 1500;

}  // namespace spokewheel::platform
