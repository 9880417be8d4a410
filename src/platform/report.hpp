// What a scheduler of the platform writes to its log of itself: counters from time to time, and what it holds
// of limits. Each line is short enough that no collector cuts it off. Formatting only; nothing here decides.
#pragma once

#include "fronts/http/server.hpp"
#include "host/host.hpp"
#include "log/log.hpp"
#include "nodes/node_client.hpp"
#include "peers/plain_link.hpp"
#include "registry/endpoint_watcher.hpp"

namespace spokewheel::platform {

// Characters of a line, its head included, that collectors of logs were seen to keep.
constexpr std::size_t kMostLineLength = 300;

// The parts whose counters a pulse tells; all outlive it. `peers` may be null.
struct PulseSources {
    const host::Host& host;
    const fronts::http::Server& server;
    const nodes::NodeClient& nodes;
    const registry::EndpointWatcher& watch;
    const peers::PlainLink* peers;
    std::size_t violations;
};

// Events `pulse` (requests), `pulse_ends` (why requests and attempts ended), `pulse_closes` (why connections
// did), `pulse_links`, `pulse_watch` and `pulse_work`.
void logPulse(log::Log& log, const PulseSources& sources);

// Event `limit_account`: one volume's parts, in units.
void logLimit(log::Log& log, const LimitAccount& note);

}  // namespace spokewheel::platform
