// The HTTP conventions of the platform's disk servers: header fields, outcomes and probes. Free of I/O and
// clocks.
#pragma once

#include "nodes/node_client.hpp"

namespace spokewheel::platform {

// `address` looks up where a node of the discovery list listens; false if unknown. `probesTellLoad`: probe
// the load endpoint instead of the plain health check.
nodes::Dialect platformDialect(std::function<bool(const std::string& node, io::Address&)> address,
                               bool probesTellLoad);

// Only 200 counts as served. A 503 or 504 with `X-Not-Processed: 1` proves that the request was not executed;
// after any other status it may have been.
Outcome outcomeOf(const wire::http::Head& head);

}  // namespace spokewheel::platform
