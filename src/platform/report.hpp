// Log events in which a scheduler reports on itself: its counters, regularly, and its accounts of volume
// limits. Each line is short enough not to be truncated by log collectors. Formatting only.
#pragma once

#include "fronts/http/server.hpp"
#include "host/host.hpp"
#include "host/memory_budget.hpp"
#include "log/log.hpp"
#include "nodes/node_client.hpp"
#include "peers/plain_link.hpp"
#include "registry/endpoint_watcher.hpp"

namespace spokewheel::platform {

// Characters of a line, including its prefix, that log collectors were observed to keep.
constexpr std::size_t kMaxLineLength = 300;

// The components whose counters are logged. `peers` may be null.
struct CounterSources {
    const host::Host& host;
    const fronts::http::Server& server;
    const nodes::NodeClient& nodes;
    const registry::EndpointWatcher& watch;
    const peers::PlainLink* peers;
    const host::MemoryBudget& memory;
    std::size_t violations;
};

// Logs the events `pulse` (requests), `pulse_ends` (why requests and attempts ended), `pulse_closes` (why
// client connections ended), `pulse_rejected` (requests that were not sound, by rule), `pulse_memory` (the
// memory of requests and answers, in bytes), `pulse_state` (entries of each table, the process's largest
// memory and its longest loop iteration), `pulse_links` (why node connections ended), `pulse_watch` (faults
// of the node list watch) and `pulse_work` (errors, scheduler steps, connections, peer messages).
void logCounters(log::Log& log, const CounterSources& sources);

// Log events about single requests and connections, at most kMaxRequestLinesPerSecond of each kind.
constexpr std::uint64_t kMaxRequestLinesPerSecond = 20;
// `request_retried`, `request_refused`, `request_failed`, `request_left`.
void logRequestNote(log::Log& log, const host::RequestNote& note);
// `request_rejected`: an error answer of the HTTP front itself.
void logRejectedRequest(log::Log& log, const fronts::http::Server::RejectedRequest& rejected);
// `client_closed`; ends in the ordinary course are left out unless `all`.
void logClosedConnection(log::Log& log, const fronts::http::Server::ClosedConnection& closed, bool all);

// Logs the event `limit_account`: what this host holds of one volume's limit, in units.
void logLimitAccount(log::Log& log, const LimitAccount& note);

}  // namespace spokewheel::platform
