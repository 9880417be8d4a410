// Runs a fault script against a fleet on loopback while stock rsync clients upload and download and a
// scripted client requests single files. Afterwards the records of nodes, node list and clients are checked
// against the rules of the gateway.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "kit/script.hpp"
#include "kit/trace_checker.hpp"

namespace spokewheel::kit {

struct BadDaySettings {
    std::string bin;        // folder of the programs
    std::string directory;  // must not exist; it is removed afterwards
    FaultScript script;
    std::uint64_t seed = 1;
    int rounds = 1;  // how often the script is run
    std::function<void(const std::string&)> progress;
};
struct BadDayResult {
    std::vector<RuleResult> rules;
    std::string error;  // why the records are not conclusive; empty if they are
    std::int64_t startUs = 0;
    std::size_t uploads = 0, uploadsOk = 0, downloads = 0, downloadsOk = 0, singleReads = 0,
                singleReadsOk = 0;
    std::size_t filesWithWrongContent = 0;  // received by a client, but not what was stored
};
// Throws std::runtime_error if the fleet does not start or the initial upload fails.
BadDayResult runBadDay(const BadDaySettings& settings);

}  // namespace spokewheel::kit
