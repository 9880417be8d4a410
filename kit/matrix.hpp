// The stock client against the gateway, and the same client from folder to folder as the oracle: seeded trees
// and seeded mixes of options must leave the same tree and the same exit status. What differs by intent is
// told by a table here, and checked as such.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "kit/fleet.hpp"

namespace spokewheel::kit {

struct Mix {
    std::uint64_t seed = 1;    // of the trees
    std::size_t entries = 24;  // of the source tree, most; the least form has few
    bool push = false;
    std::vector<std::string> options;
    std::string relative;  // part of the source behind a "/./", with -R
    bool filesFrom = false;
};
Mix drawMix(std::uint64_t seed);
// The command that plays this mix alone.
std::string commandOf(const Mix& mix);

struct MatrixResult {
    std::size_t tried = 0, same = 0, byTable = 0, hung = 0;
    struct Difference {
        Mix least;
        std::string words;
    };
    std::vector<Difference> differences;
};

class Matrix {
  public:
    // The fleet's host 0 takes part; all files go below `directory`.
    Matrix(Fleet& fleet, std::string directory);
    // Empty where both agree (or differ as the table says, then `byTable` is set); else what differs.
    std::string play(const Mix& mix, bool& byTable, bool& hung);
    // The least mix that still differs.
    Mix shrink(Mix mix);
    // Seeds from `seed` on; `told` gets a line now and then.
    MatrixResult run(std::uint64_t seed, std::size_t rounds,
                     const std::function<void(const std::string&)>& told);

  private:
    std::string place(const std::string& name) const { return directory_ + "/" + name; }
    Fleet& fleet_;
    std::string directory_;
    std::uint64_t plays_ = 0;
};

}  // namespace spokewheel::kit
