// The event loop of a process: GLib's main loop, with RAII timers. Single-threaded; only run() blocks.
#pragma once

#include <glib.h>

#include <cstdint>
#include <functional>

namespace spokewheel::io {

// Milliseconds since the epoch. The wall clock is read once at start-up and advanced by CLOCK_MONOTONIC, so
// the value never goes back. Processes on one machine agree to about a millisecond; hosts on different
// machines need synchronised clocks (docs/operators.md).
double nowMs();
// Milliseconds since the epoch by the current wall clock, which may be stepped. Only for comparison with
// wall-clock times from other machines, never to measure durations.
double wallMs();

// Lower bound, on nowMs(), of the arrival time of anything that the current poll reports as readable: the
// time of the poll before the latest one, which did not report it yet. The process may be descheduled between
// a poll and the read, and data that arrives meanwhile is only seen by the next poll.
double earliestArrivalMs();
// The number of the loop's current iteration.
std::uint64_t loopTurn();
// The longest iteration of the loop, without its poll, since the last call. For the log.
double takeLongestTurnMs();
// Data that may have waited no longer than this counts as having arrived now: a little over the longest
// single poll.
constexpr double kArrivalToleranceMs = 25;

// Owns one GLib source. Destroying or resetting it removes the source from the loop; this may happen from
// the source's own callback.
class EventSource {
  public:
    EventSource() = default;
    explicit EventSource(guint id) : id_(id) {}
    ~EventSource() { reset(); }
    EventSource(EventSource&& other) noexcept : id_(other.id_) { other.id_ = 0; }
    EventSource& operator=(EventSource&& other) noexcept {
        if (this != &other) reset(), id_ = other.id_, other.id_ = 0;
        return *this;
    }
    void reset() {
        if (id_) g_source_remove(id_);
        id_ = 0;
    }
    // To be called when the source's callback removes the source by returning G_SOURCE_REMOVE.
    void release() { id_ = 0; }
    explicit operator bool() const { return id_ != 0; }

  private:
    guint id_ = 0;
};

// One-shot timer. Destroying, cancelling or re-arming it drops a callback that has not run yet.
class Timer {
  public:
    Timer() = default;
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    void arm(double afterMs, std::function<void()> callback);
    void cancel() {
        source_.reset();
        callback_ = nullptr;  // releases what it captured
    }
    bool armed() const { return static_cast<bool>(source_); }

  private:
    static gboolean fire(gpointer self);
    EventSource source_;
    std::function<void()> callback_;
};

class Loop {
  public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;
    void run();
    void stop();
    // `callback` runs on the loop, not in signal-handler context.
    void onSignal(int signal, std::function<void()> callback);

  private:
    GMainLoop* loop_;
};

}  // namespace spokewheel::io
