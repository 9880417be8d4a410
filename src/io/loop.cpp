#include "io/loop.hpp"

#include <glib-unix.h>
#include <poll.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace spokewheel::io {

double nowMs() {
    static const double base =
        static_cast<double>(g_get_real_time()) / 1000 - static_cast<double>(g_get_monotonic_time()) / 1000;
    return base + static_cast<double>(g_get_monotonic_time()) / 1000;
}

double wallMs() { return static_cast<double>(g_get_real_time()) / 1000; }

namespace {

// Longest single poll(2). A poll that reports nothing ended at its time-out or later, so the poll times of
// an idle process are never older than this.
constexpr int kMaxPollMs = 20;

// Times up to which the previous and the latest poll are known to have seen everything.
struct PollTimes {
    double previousMs = nowMs(), latestMs = previousMs;
};
PollTimes& pollTimes() {
    static PollTimes times;
    return times;
}

// Time between the end of a poll and the start of the next one, in which the loop ran its callbacks.
struct TurnTimes {
    double startedMs = -1, longestMs = 0;
    std::uint64_t number = 0;
};
TurnTimes& turnTimes() {
    static TurnTimes times;
    return times;
}
void onTurnEnded() {
    auto& times = turnTimes();
    ++times.number;
    if (times.startedMs >= 0) times.longestMs = std::max(times.longestMs, nowMs() - times.startedMs);
}

// The loop's GPollFunc: polls in slices and records their times. Returns what poll(2) returns.
gint pollAndRecordTimes(GPollFD* descriptors, guint count, gint timeoutMs) {
    static_assert(sizeof(GPollFD) == sizeof(pollfd));
    onTurnEnded();
    for (;;) {
        const bool sliced = timeoutMs < 0 || timeoutMs > kMaxPollMs;
        const int waitMs = sliced ? kMaxPollMs : timeoutMs;
        const double before = nowMs();
        const int ready = poll(reinterpret_cast<pollfd*>(descriptors), count, waitMs);
        turnTimes().startedMs = nowMs();
        if (ready < 0) return ready;
        pollTimes() = {pollTimes().latestMs, ready == 0 ? before + waitMs : before};
        if (ready > 0 || !sliced) return ready;
        if (timeoutMs > 0) timeoutMs -= waitMs;
    }
}

}  // namespace

double earliestArrivalMs() { return pollTimes().previousMs; }
std::uint64_t loopTurn() { return turnTimes().number; }
double takeLongestTurnMs() { return std::exchange(turnTimes().longestMs, 0); }

void Timer::arm(double afterMs, std::function<void()> callback) {
    callback_ = std::move(callback);
    const auto wait = static_cast<guint>(std::ceil(std::clamp(afterMs, 0.0, 4e6)));
    source_ = EventSource(g_timeout_add(wait, &Timer::fire, this));
}

gboolean Timer::fire(gpointer self) {
    auto* timer = static_cast<Timer*>(self);
    timer->source_.release();
    const auto callback = std::move(timer->callback_);  // may re-arm or destroy the timer
    callback();
    return G_SOURCE_REMOVE;
}

Loop::Loop() : loop_(g_main_loop_new(nullptr, FALSE)) {
    g_main_context_set_poll_func(nullptr, &pollAndRecordTimes);
}
Loop::~Loop() { g_main_loop_unref(loop_); }
void Loop::run() { g_main_loop_run(loop_); }
void Loop::stop() { g_main_loop_quit(loop_); }

void Loop::onSignal(int signal, std::function<void()> callback) {
    auto* owned = new std::function<void()>(std::move(callback));
    g_unix_signal_add_full(
        G_PRIORITY_DEFAULT, signal,
        [](gpointer f) -> gboolean {
            (*static_cast<std::function<void()>*>(f))();
            return G_SOURCE_CONTINUE;
        },
        owned, [](gpointer f) { delete static_cast<std::function<void()>*>(f); });
}

}  // namespace spokewheel::io
