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

// The loop looks at its sockets at least so often. A look that finds nothing is certain to have ended at its
// time-out or later, so that of an idle process is no older than this.
constexpr int kLookEveryMs = 20;

struct Looks {
    double previousMs = nowMs(), presentMs = previousMs;
};
Looks& looks() {
    static Looks all;
    return all;
}

// GLib's way to wait. Returns as poll(2) does.
gint pollAndNoteLooks(GPollFD* descriptors, guint count, gint timeoutMs) {
    static_assert(sizeof(GPollFD) == sizeof(pollfd));
    for (;;) {
        const bool sliced = timeoutMs < 0 || timeoutMs > kLookEveryMs;
        const int waitMs = sliced ? kLookEveryMs : timeoutMs;
        const double before = nowMs();
        const int ready = poll(reinterpret_cast<pollfd*>(descriptors), count, waitMs);
        if (ready < 0) return ready;
        looks() = {looks().presentMs, ready == 0 ? before + waitMs : before};
        if (ready > 0 || !sliced) return ready;
        if (timeoutMs > 0) timeoutMs -= waitMs;
    }
}

}  // namespace

double earliestArrivalMs() { return looks().previousMs; }

void Timer::arm(double afterMs, std::function<void()> then) {
    then_ = std::move(then);
    const auto wait = static_cast<guint>(std::ceil(std::clamp(afterMs, 0.0, 4e6)));
    source_ = Source(g_timeout_add(wait, &Timer::fire, this));
}

gboolean Timer::fire(gpointer self) {
    auto* timer = static_cast<Timer*>(self);
    timer->source_.fired();
    const auto then = std::move(timer->then_);  // may arm anew or destroy the timer
    then();
    return G_SOURCE_REMOVE;
}

Loop::Loop() : loop_(g_main_loop_new(nullptr, FALSE)) {
    g_main_context_set_poll_func(nullptr, &pollAndNoteLooks);
}
Loop::~Loop() { g_main_loop_unref(loop_); }
void Loop::run() { g_main_loop_run(loop_); }
void Loop::stop() { g_main_loop_quit(loop_); }

void Loop::onSignal(int signal, std::function<void()> then) {
    auto* held = new std::function<void()>(std::move(then));
    g_unix_signal_add_full(
        G_PRIORITY_DEFAULT, signal,
        [](gpointer f) -> gboolean {
            (*static_cast<std::function<void()>*>(f))();
            return G_SOURCE_CONTINUE;
        },
        held, [](gpointer f) { delete static_cast<std::function<void()>*>(f); });
}

}  // namespace spokewheel::io
