#include "kit/script.hpp"

#include <algorithm>
#include <map>

namespace spokewheel::kit {
namespace {

const std::map<std::string, Deed>& deeds() {
    static const std::map<std::string, Deed> all = {{"silence", Deed::Silence},
                                                    {"deafen", Deed::Deafen},
                                                    {"half-open", Deed::HalfOpen},
                                                    {"refuse", Deed::Refuse},
                                                    {"slow", Deed::Slow},
                                                    {"clear", Deed::Clear},
                                                    {"drain", Deed::Drain},
                                                    {"retire", Deed::Retire},
                                                    {"crash", Deed::Crash},
                                                    {"return", Deed::Return},
                                                    {"kill-host", Deed::KillHost},
                                                    {"start-host", Deed::StartHost},
                                                    {"lose-messages", Deed::LoseMessages},
                                                    {"burst", Deed::Burst},
                                                    {"calm", Deed::Calm},
                                                    {"list-down", Deed::ListDown},
                                                    {"list-behind", Deed::ListBehind},
                                                    {"list-up", Deed::ListUp}};
    return all;
}

}  // namespace

const char* nameOf(Deed deed) {
    for (const auto& [name, d] : deeds())
        if (d == deed) return name.c_str();
    return "?";
}
bool ofNode(Deed d) { return d <= Deed::Return; }
bool ofHost(Deed d) { return d == Deed::KillHost || d == Deed::StartHost; }

Script readScript(const std::string& file, config::ConfigErrors& mistakes) {
    Script s;
    auto top = config::loadYamlFile(file, mistakes);
    if (!mistakes.empty()) return s;
    s.name = top.text("name", true);
    s.hosts = static_cast<int>(top.integer("hosts", 3, 1, 50));
    s.nodes = static_cast<int>(top.integer("nodes", 6, 2, 50));
    s.registry = top.choice("list", false, {{"file", false}, {"http", true}});
    s.workMs = top.number("work-ms", 4, 0, 1000);
    s.rest = static_cast<std::size_t>(top.integer("rest", 60, 1, 100000));
    top.forEach("steps", true, [&](config::Section& section) {
        Step step;
        step.after = static_cast<std::size_t>(section.integer("after", 0, 0, 100000));
        step.deed = section.choice("do", Deed::Clear, deeds(), true);
        const char* who = ofNode(step.deed) ? "node" : ofHost(step.deed) ? "host" : nullptr;
        if (who) {
            const int most = (ofNode(step.deed) ? s.nodes : s.hosts) - 1;
            const auto text = section.text(who, true);
            if (text == "any") step.whom = Step::kAny;
            else if (text != "last") step.whom = static_cast<int>(section.integer(who, 0, 0, most));
        }
        const bool share = step.deed == Deed::LoseMessages;
        if (share) step.by = section.number("share", 0, 0, 1, true);
        if (step.deed == Deed::Slow) step.by = section.number("times", 1, 0.01, 1000, true);
        if (step.deed == Deed::Burst)
            step.by = static_cast<double>(section.integer("clients", 1, 1, 200, true));
        if (step.deed == Deed::ListBehind) step.by = section.number("ms", 0, 0, 60000, true);
        const bool list = step.deed >= Deed::ListDown;
        if (list && !s.registry) section.addError("do", "needs 'list: http'");
        s.steps.push_back(step);
    });
    top.rejectUnknownKeys();
    return s;
}

Casting::Casting(const Script& script, std::uint64_t seed)
    : random_(seed),
      nodeUp_(static_cast<std::size_t>(script.nodes), true),
      hostUp_(static_cast<std::size_t>(script.hosts), true) {}

bool Casting::can(Deed deed, int whom) const {
    const auto i = static_cast<std::size_t>(whom);
    if (ofHost(deed)) return hostUp_[i] == (deed == Deed::KillHost);
    return nodeUp_[i] == (deed != Deed::Return);
}

int Casting::cast(const Step& step) {
    if (!ofNode(step.deed) && !ofHost(step.deed)) return -1;
    auto& up = ofNode(step.deed) ? nodeUp_ : hostUp_;
    auto& last = ofNode(step.deed) ? lastNode_ : lastHost_;
    int whom = step.whom == Step::kLast ? last : step.whom;
    if (whom == Step::kAny) {
        std::vector<int> fit;
        for (int i = 0; i < static_cast<int>(up.size()); ++i)
            if (can(step.deed, i)) fit.push_back(i);
        if (fit.empty()) return -1;
        whom = fit[static_cast<std::size_t>(random_() % fit.size())];
    }
    if (!can(step.deed, whom)) return -1;
    if (step.deed == Deed::Retire || step.deed == Deed::Crash || step.deed == Deed::KillHost)
        up[static_cast<std::size_t>(whom)] = false;
    if (step.deed == Deed::Return || step.deed == Deed::StartHost) up[static_cast<std::size_t>(whom)] = true;
    last = whom;
    return whom;
}

}  // namespace spokewheel::kit
