// Compares the stock rsync client through the gateway with the same client between two local folders: random
// trees and random option mixes must give the same tree and the same exit status. Intended differences are
// listed in a table, and a mix that meets one is checked against the table instead.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "kit/fleet.hpp"

namespace spokewheel::kit {

// One test case: the trees, the direction and the options of the client.
struct OptionMix {
    std::uint64_t seed = 1;    // of the trees
    std::size_t entries = 24;  // upper bound of the entries in the source tree; shrinking lowers it
    bool push = false;         // upload; else download
    std::vector<std::string> options;
    std::string relative;  // if not empty: -R, with a subfolder of the source behind a "/./"
    bool filesFrom = false;
};
OptionMix randomMix(std::uint64_t seed);
// The command line that runs this mix alone.
std::string commandLineOf(const OptionMix& mix);

struct MatrixResult {
    std::size_t mixes = 0, same = 0, known = 0, hung = 0;
    struct Difference {
        OptionMix smallestMix;
        std::string description;
    };
    std::vector<Difference> differences;
};

class OptionMatrix {
  public:
    // Uses host 0 of the fleet; all files are created below `directory`.
    OptionMatrix(Fleet& fleet, std::string directory);
    // Describes how the two runs differ; empty if they do not, or as the table of known differences says
    // (`known` is set then). `hung`: the client was killed after the time-out.
    std::string compare(const OptionMix& mix, bool& known, bool& hung);
    // The smallest mix found that still differs.
    OptionMix shrink(OptionMix mix);
    // Runs the mixes of `rounds` seeds from `seed` on; stops after 20 differences. `progress` gets a line for
    // each difference and after every 100 mixes.
    MatrixResult run(std::uint64_t seed, std::size_t rounds,
                     const std::function<void(const std::string&)>& progress);

  private:
    std::string pathOf(const std::string& name) const { return directory_ + "/" + name; }
    Fleet& fleet_;
    std::string directory_;
    std::uint64_t comparisons_ = 0;
};

}  // namespace spokewheel::kit
