// The configuration of a platform scheduler: the JSON file named by LB_CONFIG, with LB_NAME, LB_LISTEN and
// LB_DISCOVERY as defaults for keys that the file omits.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "io/connection.hpp"
#include "registry/endpoints.hpp"
#include "spokewheel/scheduler.hpp"

namespace spokewheel::platform {

struct Configuration {
    std::string name;
    io::Address listen, discovery;
    std::uint64_t seed = 0;
    std::size_t sockets = 1024, memoryMb = 192;
    io::Address peerListen, peersAll;  // port 0: not configured
    std::vector<io::Address> peers;    // by rank
    registry::Endpoints known;         // the node list in the file; revision -1 if there is none
    Settings schedulerSettings;
    double dialTimeoutMs = 250, connIdleMs = 30000;  // of connections to disk servers
};

// Values from environment variables; empty if unset.
struct Environment {
    std::string name, listen, discovery;
    bool trace = false;  // log each step of each request
};

// Both throw std::runtime_error naming the file, the key and, for syntax errors, the line.
// parseConfiguration() takes the text of the file and does no I/O.
Configuration readConfiguration(const std::string& file, const Environment& environment);
Configuration parseConfiguration(const std::string& text, const std::string& file,
                                 const Environment& environment);

}  // namespace spokewheel::platform
