// Decides what becomes of a request when its turn on its connection has come. Free of I/O and clocks; times
// are milliseconds on one clock.
#pragma once

namespace spokewheel::fronts::http {

// Whether the request's time was over before its turn came. Then it is refused at once, as nothing was sent
// for it: hundreds that waited behind a slow one must all have their answers within the grace after their
// time, and each that is passed on takes turns of the event loop of its own.
inline bool isOver(double arrivedMs, double ttlMs, double nowMs) { return nowMs >= arrivedMs + ttlMs; }

}  // namespace spokewheel::fronts::http
