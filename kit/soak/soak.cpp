#include "kit/soak/soak.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <sstream>
#include <utility>

#include "kit/soak/limit_scenario.hpp"
#include "kit/soak/troubles.hpp"
#include "kit/soak/world.hpp"

namespace spokewheel::soak {
namespace {

constexpr double kWarmUpMs = 1500, kSettleAtEndMs = 3500;

std::map<std::string, std::uint64_t> countsOf(const std::vector<Event>& events) {
    std::map<std::string, std::uint64_t> counts;
    for (const auto& event : events) {
        if (event.kind == EventKind::RequestSent) ++counts["requests"];
        if (event.kind == EventKind::Answered) ++counts["answers " + std::to_string(event.status)];
        if (event.kind == EventKind::AttemptWhole) ++counts["attempts"];
        if (event.kind == EventKind::ClientLeft) ++counts["clients left"];
        if (event.kind == EventKind::ConnectionEnded) ++counts[event.read ? "ended, read" : "ended, unread"];
        if (event.kind == EventKind::ProcessStarted) ++counts["starts"];
        if (event.kind == EventKind::Malformed) ++counts["malformed"];
    }
    return counts;
}

Result resultOf(World& world) {
    Result out;
    out.counts = countsOf(world.events);
    for (const auto& process : world.processes) {
        const auto& lines = process->oddLines();
        out.oddLines.insert(out.oddLines.end(), lines.begin(), lines.end());
        for (const auto& injected : process->control().injected) out.counts["injected"] += injected;
    }
    for (auto& event : world.events) event.at -= world.beganAt;
    out.breaches = judge(world.events, termsOf(world.options.setting));
    out.events = std::move(world.events);
    out.script = std::move(world.did);
    out.worstLagMs = world.reactor.worstLagMs();
    out.usage = world.usage;
    return out;
}

}  // namespace

Result run(const Options& options) {
    std::signal(SIGPIPE, SIG_IGN);
    World world(options);
    Troubles troubles(world);
    LimitFaultInjector limitFaultInjector(world);
    world.begin();
    world.reactor.runUntil(world.beganAt + kWarmUpMs);
    limitFaultInjector.start();
    const double end = world.beganAt + 1000 * options.seconds;
    while (world.reactor.now() < end) {
        if (options.troubles) troubles.strike();
        world.reactor.runUntil(std::min(end, world.reactor.now() + 150 + 650 * drawReal(world.random)));
    }
    world.measure();
    world.calm();
    limitFaultInjector.stop();
    world.reactor.runUntil(world.reactor.now() + kSettleAtEndMs);
    world.end();
    return resultOf(world);
}

std::string recordText(const Result& result) {
    auto events = result.events;
    std::stable_sort(events.begin(), events.end(),
                     [](const Event& a, const Event& b) { return a.at < b.at; });
    std::ostringstream out;
    out.setf(std::ios::fixed);
    out.precision(1);
    for (const auto& e : events) {
        out << e.at << " " << nameOf(e.kind) << " n" << e.scheduler << "." << e.process;
        const std::pair<const char*, const std::string*> texts[] = {
            {"server", &e.server}, {"request", &e.request}, {"class", &e.requestClass}, {"volume", &e.volume},
            {"key", &e.key},       {"zone", &e.zone},       {"words", &e.words}};
        for (const auto& [name, text] : texts)
            if (!text->empty()) out << " " << name << "=" << *text;
        const std::pair<const char*, double> figures[] = {
            {"connection", e.connection}, {"attempt", e.attempt}, {"status", e.status}, {"units", e.units},
            {"timeout", e.timeoutMs},     {"read", e.read},       {"cold", e.cold},     {"age", e.ageMs}};
        for (const auto& [name, figure] : figures)
            if (figure != 0) out << " " << name << "=" << figure;
        out << "\n";
    }
    return out.str();
}

std::string report(const Result& result, const Options& options) {
    std::ostringstream out;
    out << "seed " << options.seed << ", " << options.schedulers << " schedulers, " << options.seconds << " s"
        << (options.crowds ? ", crowds" : "") << ":";
    for (const auto& [name, count] : result.counts) out << " " << name << " " << count << ",";
    out << " harness late by " << static_cast<int>(result.worstLagMs) << " ms at most\n";
    out << "  settings: " << options.setting.summary() << "\n";
    char usage[96];
    std::snprintf(usage, sizeof usage,
                  "  mean of the processes: %.2f s of CPU, peak %.1f MB; %zu descriptors\n",
                  result.usage.cpuSeconds, result.usage.peakMb, result.usage.descriptors);
    out << usage;
    std::map<Rule, int> many;
    for (const auto& breach : result.breaches)
        if (++many[breach.rule] <= 5)
            out << "  BROKEN " << nameOf(breach.rule) << " at " << static_cast<long>(breach.at) << " ms, n"
                << breach.scheduler << " " << breach.request << ": " << breach.words << "\n";
    for (const auto& [rule, count] : many) out << "  " << count << " breaches of " << nameOf(rule) << "\n";
    for (const auto& line : result.oddLines) out << "  log " << line << "\n";
    if (result.breaches.empty()) out << "  every rule kept\n";
    else
        for (const auto& line : result.script) out << "  did " << line << "\n";
    return out.str();
}

}  // namespace spokewheel::soak
