#include "kit/script.hpp"

#include <algorithm>
#include <map>

namespace spokewheel::kit {
namespace {

const std::map<std::string, Action>& actions() {
    static const std::map<std::string, Action> all = {{"silence", Action::Silence},
                                                      {"deafen", Action::Deafen},
                                                      {"half-open", Action::HalfOpen},
                                                      {"refuse", Action::Refuse},
                                                      {"slow", Action::Slow},
                                                      {"clear", Action::Clear},
                                                      {"drain", Action::Drain},
                                                      {"retire", Action::Retire},
                                                      {"crash", Action::Crash},
                                                      {"return", Action::Return},
                                                      {"kill-host", Action::KillHost},
                                                      {"start-host", Action::StartHost},
                                                      {"lose-messages", Action::LoseMessages},
                                                      {"burst", Action::Burst},
                                                      {"calm", Action::Calm},
                                                      {"list-down", Action::ListDown},
                                                      {"list-behind", Action::ListBehind},
                                                      {"list-up", Action::ListUp}};
    return all;
}

}  // namespace

const char* nameOf(Action action) {
    for (const auto& [name, candidate] : actions())
        if (candidate == action) return name.c_str();
    return "?";
}
bool targetsNode(Action action) { return action <= Action::Return; }
bool targetsHost(Action action) { return action == Action::KillHost || action == Action::StartHost; }

FaultScript readFaultScript(const std::string& file, config::ConfigErrors& errors) {
    FaultScript script;
    auto top = config::loadYamlFile(file, errors);
    if (!errors.empty()) return script;
    script.name = top.text("name", true);
    script.hosts = static_cast<int>(top.integer("hosts", 3, 1, 50));
    script.nodes = static_cast<int>(top.integer("nodes", 6, 2, 50));
    script.registry = top.choice("list", false, {{"file", false}, {"http", true}});
    script.workMs = top.number("work-ms", 4, 0, 1000);
    script.finalOperations = static_cast<std::size_t>(top.integer("rest", 60, 1, 100000));
    top.forEach("steps", true, [&](config::Section& section) {
        Step step;
        step.after = static_cast<std::size_t>(section.integer("after", 0, 0, 100000));
        step.action = section.choice("do", Action::Clear, actions(), true);
        const char* targetKey = targetsNode(step.action)   ? "node"
                                : targetsHost(step.action) ? "host"
                                                           : nullptr;
        if (targetKey) {
            const int maximum = (targetsNode(step.action) ? script.nodes : script.hosts) - 1;
            const auto text = section.text(targetKey, true);
            if (text == "any") step.target = Step::kAny;
            else if (text != "last")
                step.target = static_cast<int>(section.integer(targetKey, 0, 0, maximum));
        }
        const bool losesMessages = step.action == Action::LoseMessages;
        if (losesMessages) step.amount = section.number("share", 0, 0, 1, true);
        if (step.action == Action::Slow) step.amount = section.number("times", 1, 0.01, 1000, true);
        if (step.action == Action::Burst)
            step.amount = static_cast<double>(section.integer("clients", 1, 1, 200, true));
        if (step.action == Action::ListBehind) step.amount = section.number("ms", 0, 0, 60000, true);
        const bool changesList = step.action >= Action::ListDown;
        if (changesList && !script.registry) section.addError("do", "needs 'list: http'");
        script.steps.push_back(step);
    });
    top.rejectUnknownKeys();
    return script;
}

TargetSelector::TargetSelector(const FaultScript& script, std::uint64_t seed)
    : random_(seed),
      nodeUp_(static_cast<std::size_t>(script.nodes), true),
      hostUp_(static_cast<std::size_t>(script.hosts), true) {}

bool TargetSelector::appliesTo(Action action, int target) const {
    const auto i = static_cast<std::size_t>(target);
    if (targetsHost(action)) return hostUp_[i] == (action == Action::KillHost);
    return nodeUp_[i] == (action != Action::Return);
}

int TargetSelector::select(const Step& step) {
    if (!targetsNode(step.action) && !targetsHost(step.action)) return -1;
    auto& up = targetsNode(step.action) ? nodeUp_ : hostUp_;
    auto& last = targetsNode(step.action) ? lastNode_ : lastHost_;
    int target = step.target == Step::kLast ? last : step.target;
    if (target == Step::kAny) {
        std::vector<int> candidates;
        for (int i = 0; i < static_cast<int>(up.size()); ++i)
            if (appliesTo(step.action, i)) candidates.push_back(i);
        if (candidates.empty()) return -1;
        target = candidates[static_cast<std::size_t>(random_() % candidates.size())];
    }
    if (!appliesTo(step.action, target)) return -1;
    if (step.action == Action::Retire || step.action == Action::Crash || step.action == Action::KillHost)
        up[static_cast<std::size_t>(target)] = false;
    if (step.action == Action::Return || step.action == Action::StartHost)
        up[static_cast<std::size_t>(target)] = true;
    last = target;
    return target;
}

}  // namespace spokewheel::kit
