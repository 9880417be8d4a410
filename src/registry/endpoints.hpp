// Parses the platform's list of disk servers: one JSON object into node entries and the addresses of the
// nodes. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "spokewheel/scheduler.hpp"

namespace spokewheel::registry {

struct Endpoints {
    std::int64_t revision = 0;
    bool complete = false;  // true: the full list; false: only the changes
    std::vector<NodeEntry> entries;
    std::map<std::string, std::string> addresses;  // by node id, without removed nodes
    // Number of invalid entries. One that has an id counts as draining, so that it gets no new requests; one
    // without an id is ignored.
    std::size_t unreadable = 0;
};

// Returns false, with a human-readable `error`, if the object as a whole is invalid; `out` is then unchanged.
// `error` is also set if single entries are invalid.
bool parseEndpoints(std::string_view json, Endpoints& out, std::string& error);

}  // namespace spokewheel::registry
