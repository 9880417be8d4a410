// What a request's class and remaining time allow: whether, where to and until when it may be sent, also
// after an attempt that may have run at a node, and whether its client may be told that nothing was done.
// Free of I/O and clocks: times are milliseconds on the host's clock.
#pragma once

#include "state.hpp"

namespace spokewheel {

constexpr double kRejectedRetryMs = 40;  // wait after a node rejected a request
constexpr double kMaxPauseMs = 150;  // the longest pause of the host between reading its clock and a write

bool maySendTo(const PendingRequest& pending, const Node& node);
// Whether a keyed request may have run so long ago that the nodes may no longer recognise its key: it may not
// be repeated any more.
bool keyMayBeForgotten(const PendingRequest& pending, double nowMs);
// Whether it may be sent again after a failed attempt.
bool mayRetry(const PendingRequest& pending, const Settings& settings, double nowMs);
// The time at which a request that was never sent is refused: early enough for its client to go elsewhere.
double refuseAt(const PendingRequest& pending);
// Whether its client may be told that it was not done: it was not, or a repeat by the client does no harm.
bool safeToRefuse(const PendingRequest& pending);

}  // namespace spokewheel
