// The scripted bad day: three hosts, six nodes, stock rsync clients and a scripted one; a node falls silent,
// one drains and comes back cold, one dies while the list is behind, a host is killed and started again, peer
// messages are lost. Judged by the traffic.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "kit/script.hpp"
#include "kit/trace_checker.hpp"

namespace spokewheel::kit {

struct BadDaySettings {
    std::string bin, directory;  // the directory must not exist; it is removed afterwards
    Script script;
    std::uint64_t seed = 1;
    int rounds = 1;  // of the whole script
    std::function<void(const std::string&)> progress;
};
struct BadDayResult {
    std::vector<RuleResult> verdicts;
    std::string fault;  // why it could not be judged; empty where it was
    std::int64_t fromUs = 0;
    std::size_t pushes = 0, pushesFine = 0, pulls = 0, pullsFine = 0, fetches = 0, fetchesFine = 0;
    std::size_t halfFiles = 0;  // files a client got that are not what was stored
};
BadDayResult badDay(const BadDaySettings& settings);

}  // namespace spokewheel::kit
