// A bad day as data: what happens after how many steps of the clients, and to whom. Read from YAML and
// checked whole: nothing is raised for a script with a mistake.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "config/checker.hpp"

namespace spokewheel::kit {

enum class Deed {
    Silence,       // node: takes and executes, answers nothing
    Deafen,        // node: takes, executes nothing, answers nothing
    HalfOpen,      // node: accepts, never reads
    Refuse,        // node: answers "not executed" to all
    Slow,          // node: work takes `by` times as long
    Clear,         // node: as before any of these
    Drain,         // node: listed as draining
    Retire,        // node: dies and leaves the list
    Crash,         // node: dies, the list still shows it
    Return,        // node: starts anew, cold, and is listed
    KillHost,      // host: SIGKILL
    StartHost,     // host: started again
    LoseMessages,  // `by` of the messages between hosts is lost
    Burst,         // `by` more clients ask for the limited volume
    Calm,          // the burst ends
    ListDown,      // the registry is out of reach
    ListBehind,    // the registry tells changes `by` ms late
    ListUp         // the registry as before
};

struct Step {
    std::size_t after = 0;  // steps of the clients since the last deed
    Deed deed = Deed::Clear;
    static constexpr int kAny = -1, kLast = -2;  // drawn by the seed; the one that was drawn last
    int whom = kLast;
    double by = 0;
};

struct Script {
    std::string name;
    int hosts = 3, nodes = 6;
    bool registry = false;  // the list over HTTP
    double workMs = 4;      // of a node for a request
    std::size_t rest = 60;  // steps after the last deed
    std::vector<Step> steps;
};

Script readScript(const std::string& file, config::ConfigErrors& mistakes);
const char* nameOf(Deed deed);
bool ofNode(Deed deed);
bool ofHost(Deed deed);

// Draws whom a step is about, so that the same seed gives the same day. A node that is gone can't be made
// silent, one that is up can't return: `any` draws among those that the deed can happen to, and a number that
// it can't happen to is left out (-1).
class Casting {
  public:
    Casting(const Script& script, std::uint64_t seed);
    int cast(const Step& step);

  private:
    bool can(Deed deed, int whom) const;
    std::mt19937_64 random_;
    std::vector<bool> nodeUp_, hostUp_;
    int lastNode_ = 0, lastHost_ = 0;
};

}  // namespace spokewheel::kit
