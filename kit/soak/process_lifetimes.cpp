#include "kit/soak/process_lifetimes.hpp"

#include <algorithm>
#include <set>

namespace spokewheel::soak {

void ProcessLifetimes::note(const Event& event) {
    using Kind = EventKind;
    static const std::set<Kind> kProcessEvents = {Kind::ProcessStarted, Kind::ProcessReady,
                                                  Kind::StopRequested, Kind::Killed, Kind::Exited};
    if (!kProcessEvents.count(event.kind)) return;
    auto& lifetime = lifetimes_[{event.scheduler, event.process}];
    if (event.kind == Kind::ProcessStarted) lifetime.from = event.at;
    if (event.kind == Kind::ProcessReady) lifetime.readyAt = std::min(lifetime.readyAt, event.at);
    if (event.kind == Kind::StopRequested) lifetime.stopAt = event.at;
    if (event.kind == Kind::Killed || event.kind == Kind::Exited) {
        lifetime.until = event.at;
        lifetime.killed = event.kind == Kind::Killed;
    }
}

const ProcessLifetime* ProcessLifetimes::find(const Event& event) const {
    const auto found = lifetimes_.find({event.scheduler, event.process});
    return found == lifetimes_.end() ? nullptr : &found->second;
}

bool ProcessLifetimes::killedBefore(const Event& sent, double due) const {
    const auto* lifetime = find(sent);
    return lifetime && lifetime->killed && lifetime->until <= due && lifetime->stopAt > lifetime->until;
}

bool ProcessLifetimes::ranOnUntil(const Event& event, double until) const {
    const auto* lifetime = find(event);
    return lifetime && lifetime->until > until && lifetime->stopAt > event.at;
}

}  // namespace spokewheel::soak
