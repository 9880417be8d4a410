// The platform's list of disk servers: one JSON object into the module's entries and the addresses behind
// them. Free of I/O and clocks.
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
    bool complete = false;  // the whole list; otherwise what changed
    std::vector<NodeEntry> entries;
    std::map<std::string, std::string> addresses;  // by id, of those that are not gone
    // Entries that can't be read beside good ones: one with an id is taken as draining, so that nothing new
    // goes there; one without is passed over.
    std::size_t unreadable = 0;
};

// False, with `words` for people, where the object can't be used. `words` is set for unreadable entries too.
bool parseEndpoints(std::string_view json, Endpoints& out, std::string& words);

}  // namespace spokewheel::registry
