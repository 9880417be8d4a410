// The main loop of one process: GLib's, with RAII timers. One thread; nothing here blocks but run().
#pragma once

#include <glib.h>

#include <functional>

namespace spokewheel::io {

// Milliseconds since the epoch, read once at start and carried on by CLOCK_MONOTONIC, so that it never goes
// back. Hosts on one machine agree to about a millisecond; hosts apart need their clocks set
// (docs/operators.md).
double nowMs();
// Milliseconds since the epoch by the wall clock of this moment, which may be stepped: for what other
// machines say in its terms, never for a span of time.
double wallMs();

// The process may be held up between the system's word that a socket can be read and the reading, and what
// comes during a hold-up is found by the next look only. At the latest look but one the loop was told nothing
// of what it is told now: that came no earlier than this (on nowMs()).
double earliestArrivalMs();
// What was read counts as having come just now where it waited no longer than the loop's own grain.
constexpr double kOrdinaryWaitMs = 25;

// Owns one GLib source. Destroying or resetting it takes the source off the loop, also from its own callback.
class Source {
  public:
    Source() = default;
    explicit Source(guint id) : id_(id) {}
    ~Source() { reset(); }
    Source(Source&& o) noexcept : id_(o.id_) { o.id_ = 0; }
    Source& operator=(Source&& o) noexcept {
        if (this != &o) reset(), id_ = o.id_, o.id_ = 0;
        return *this;
    }
    void reset() {
        if (id_) g_source_remove(id_);
        id_ = 0;
    }
    void fired() { id_ = 0; }  // the source removed itself
    explicit operator bool() const { return id_ != 0; }

  private:
    guint id_ = 0;
};

// Fires once, unless destroyed or armed anew before.
class Timer {
  public:
    Timer() = default;
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    void arm(double afterMs, std::function<void()> then);
    void cancel() {
        source_.reset();
        then_ = nullptr;  // what it holds is let go now
    }
    bool armed() const { return static_cast<bool>(source_); }

  private:
    static gboolean fire(gpointer self);
    Source source_;
    std::function<void()> then_;
};

class Loop {
  public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;
    void run();
    void stop();
    // Called on the loop, not in the signal handler.
    void onSignal(int signal, std::function<void()> then);

  private:
    GMainLoop* loop_;
};

}  // namespace spokewheel::io
