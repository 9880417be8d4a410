#include "kit/soak/soak.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <sstream>
#include <utility>

#include "kit/soak/cluster.hpp"
#include "kit/soak/fault_injector.hpp"
#include "kit/soak/limit_play.hpp"

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

Result resultOf(Cluster& cluster) {
    Result out;
    out.counts = countsOf(cluster.events);
    for (const auto& process : cluster.processes) {
        const auto& lines = process->unexpectedLogLines();
        out.unexpectedLogLines.insert(out.unexpectedLogLines.end(), lines.begin(), lines.end());
        for (const auto& injected : process->control().injected) out.counts["injected"] += injected;
    }
    for (auto& event : cluster.events) event.at -= cluster.startedAt;
    out.violations = checkRecord(cluster.events, requirementsOf(cluster.options.settings));
    out.events = std::move(cluster.events);
    out.actionLog = std::move(cluster.actionLog);
    out.worstLagMs = cluster.reactor.worstLagMs();
    out.usage = cluster.usage;
    return out;
}

}  // namespace

Result run(const Options& options) {
    std::signal(SIGPIPE, SIG_IGN);
    Cluster cluster(options);
    FaultInjector faultInjector(cluster);
    LimitTroubles limitTroubles(cluster);
    cluster.start();
    cluster.reactor.runUntil(cluster.startedAt + kWarmUpMs);
    limitTroubles.begin();
    const double end = cluster.startedAt + 1000 * options.seconds;
    while (cluster.reactor.now() < end) {
        if (options.injectFaults) faultInjector.injectRandomFaults();
        cluster.reactor.runUntil(std::min(end, cluster.reactor.now() + 150 + 650 * drawReal(cluster.random)));
    }
    cluster.recordUsage();
    cluster.clearFaults();
    limitTroubles.calm();
    cluster.reactor.runUntil(cluster.reactor.now() + kSettleAtEndMs);
    cluster.stop();
    return resultOf(cluster);
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
            {"key", &e.key},       {"zone", &e.zone},       {"words", &e.detail}};
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
        << (options.connectionFloods ? ", crowds" : "") << ":";
    for (const auto& [name, count] : result.counts) out << " " << name << " " << count << ",";
    out << " harness late by " << static_cast<int>(result.worstLagMs) << " ms at most\n";
    out << "  settings: " << options.settings.summary() << "\n";
    char usage[96];
    std::snprintf(usage, sizeof usage,
                  "  mean of the processes: %.2f s of CPU, peak %.1f MB; %zu descriptors\n",
                  result.usage.cpuSeconds, result.usage.peakMb, result.usage.descriptors);
    out << usage;
    std::map<Rule, int> many;
    for (const auto& violation : result.violations)
        if (++many[violation.rule] <= 5)
            out << "  BROKEN " << nameOf(violation.rule) << " at " << static_cast<long>(violation.at)
                << " ms, n" << violation.scheduler << " " << violation.request << ": " << violation.detail
                << "\n";
    for (const auto& [rule, count] : many) out << "  " << count << " breaches of " << nameOf(rule) << "\n";
    for (const auto& line : result.unexpectedLogLines) out << "  log " << line << "\n";
    if (result.violations.empty()) out << "  every rule kept\n";
    else
        for (const auto& line : result.actionLog) out << "  did " << line << "\n";
    return out.str();
}

}  // namespace spokewheel::soak
