// What a started scheduler waits for before clients are sent to it. Free of I/O and clocks; milliseconds.
//
// The list of the configuration may miss a drain that this machine's agent had heard of before it fell
// silent, and what the agent has counts as told from the first moment of a process. So nothing is sent by
// that list alone, however long the agent stays silent: the agent's own word, or peers
// (registry/decide_confirmation.hpp), have to confirm it. What is asked for before that waits, and is refused
// by the module when its time has come, as for a shard without a node.
#pragma once

namespace spokewheel::platform {

// The agent is on the same machine and answers at once: one that says nothing for so long is down, or late.
constexpr double kAskPeersAfterMs = 300;

// Nine of ten restarted schedulers have to be ready within 10 s, within 6 s where the day ends sooner; a
// client that is not sent here may find another scheduler meanwhile.
constexpr double kReadyAtLatestMs = 5000;

// Sockets may not be had for a moment, and the process before may still hold the address.
constexpr double kListenAgainMs = 50, kListenAgainForMs = 20000;

}  // namespace spokewheel::platform
