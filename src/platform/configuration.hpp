// What a scheduler of the platform is told: the JSON file of LB_CONFIG, with LB_NAME, LB_LISTEN and
// LB_DISCOVERY for what the file leaves out.
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
    io::Address peerListen, peersAll;  // no port: none
    std::vector<io::Address> peers;
    registry::Endpoints known;
    Settings module;
    double dialTimeoutMs = 250, connIdleMs = 30000;  // of connections to disk servers
};

// What the environment says, as far as it does.
struct Environment {
    std::string name, listen, discovery;
    bool trace = false;  // each request's way goes to the log
};

// Throws std::runtime_error: file, line where there is one, and key. The second takes the file's text, and is
// free of I/O.
Configuration readConfiguration(const std::string& file, const Environment& environment);
Configuration parseConfiguration(const std::string& text, const std::string& file,
                                 const Environment& environment);

}  // namespace spokewheel::platform
