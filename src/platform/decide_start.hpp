// What a starting scheduler waits for before it reports ready. Free of I/O and clocks; milliseconds.
//
// The node list in the configuration may lack a drain that this machine's discovery agent had learned of
// before it stopped answering, and the platform counts whatever the agent knows as known to a process from
// its start. So no request is sent on the configured list alone, however long the agent is silent: the agent
// itself, or peers (registry/decide_confirmation.hpp), must confirm it first. Until then requests wait, and
// the scheduling module refuses them when their time is up, as for a shard without a node.
#pragma once

namespace spokewheel::platform {

// The agent is on the same machine and answers at once; after this long without an answer it is down or slow.
constexpr double kAskPeersAfterMs = 300;

// Changes are told to witnesses at once, and again, because datagrams get lost; while they follow one
// another, no more often than this.
constexpr double kNoticeIntervalMs = 50;
constexpr int kNoticeRepeats = 2;

// Nine out of ten restarted schedulers must be ready within 10 s, or within 6 s if the run ends sooner. Until
// this one is ready, its clients may find another scheduler.
constexpr double kReadyDeadlineMs = 5000;

// Sockets may be unavailable for a moment, and the previous process may still hold the address.
constexpr double kListenRetryIntervalMs = 50, kListenRetryForMs = 20000;

}  // namespace spokewheel::platform
