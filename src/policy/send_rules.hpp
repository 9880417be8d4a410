// What a request's class and time allow: whether, where to and until when it may be sent, also after an
// attempt that may have run at a node, and whether its client may be told that nothing was done. Free of I/O
// and clocks: times are milliseconds on the host's clock.
#pragma once

#include "state.hpp"

namespace spokewheel {

constexpr double kRetryMs = 40;   // after a node turned a request away
constexpr double kPauseMs = 150;  // the host may be held up as long between its clock and a write

// Whether the request may be sent to this node.
bool mayGoTo(const Held& held, const Node& node);
// Whether the nodes may have let go of a keyed request that may have run: it may not be repeated any more.
bool forgottenByNodes(const Held& held, double nowMs);
// Whether it may be sent again after an attempt that failed.
bool mayRepeat(const Held& held, const Settings& settings, double nowMs);
// When one that was never sent is refused: while its client can still go elsewhere.
double giveUpAt(const Held& held);
// Whether it may be refused as not done, or done without harm to one that its client sends anew.
bool harmlessToRefuse(const Held& held);

}  // namespace spokewheel
