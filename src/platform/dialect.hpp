// What the platform's disk servers speak beyond HTTP/1.1. Free of I/O and clocks.
#pragma once

#include "nodes/node_client.hpp"

namespace spokewheel::platform {

// `address` tells where a node of discovery's list listens.
nodes::Dialect platformDialect(std::function<bool(const std::string& node, io::Address&)> address,
                               bool probesTellLoad);

// 200 alone is served; 503 and 504 that say so never ran; anything else may have.
Outcome outcomeOf(const wire::http::Head& head);

}  // namespace spokewheel::platform
