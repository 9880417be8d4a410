#include "kit/soak/soak.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <sstream>
#include <utility>

#include "kit/soak/answer_fault_injector.hpp"
#include "kit/soak/busy_client_injector.hpp"
#include "kit/soak/cluster.hpp"
#include "kit/soak/fault_injector.hpp"
#include "kit/soak/limit_scenario.hpp"

namespace spokewheel::soak {
namespace {

constexpr double kWarmUpMs = 1500, kCooldownMs = 3500;

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
    LimitFaultInjector limitFaultInjector(cluster);
    BusyClientInjector busyClientInjector(cluster);
    AnswerFaultInjector answerFaultInjector(cluster);
    cluster.start();
    cluster.reactor.runUntil(cluster.startedAt + kWarmUpMs);
    limitFaultInjector.start();
    busyClientInjector.start();
    answerFaultInjector.start();
    const double end = cluster.startedAt + 1000 * options.seconds;
    while (cluster.reactor.now() < end) {
        if (options.injectFaults) faultInjector.injectRandomFaults();
        cluster.reactor.runUntil(std::min(end, cluster.reactor.now() + 150 + 650 * drawReal(cluster.random)));
    }
    cluster.recordUsage();
    cluster.clearFaults();
    limitFaultInjector.stop();
    busyClientInjector.stop();
    answerFaultInjector.stop();
    cluster.reactor.runUntil(cluster.reactor.now() + kCooldownMs);
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
    for (const auto& event : events) {
        out << event.at << " " << nameOf(event.kind) << " n" << event.scheduler << "." << event.process;
        const std::pair<const char*, const std::string*> texts[] = {
            {"server", &event.server}, {"request", &event.request}, {"class", &event.requestClass},
            {"volume", &event.volume}, {"key", &event.key},         {"zone", &event.zone},
            {"words", &event.detail}};
        for (const auto& [name, text] : texts)
            if (!text->empty()) out << " " << name << "=" << *text;
        const std::pair<const char*, double> figures[] = {{"connection", event.connection},
                                                          {"attempt", event.attempt},
                                                          {"status", event.status},
                                                          {"units", event.units},
                                                          {"timeout", event.timeoutMs},
                                                          {"read", event.read},
                                                          {"cold", event.cold},
                                                          {"age", event.ageMs}};
        for (const auto& [name, figure] : figures)
            if (figure != 0) out << " " << name << "=" << figure;
        out << "\n";
    }
    return out.str();
}

std::string report(const Result& result, const Options& options) {
    std::ostringstream out;
    out << "seed " << options.seed << ", " << options.schedulers << " schedulers, " << options.seconds << " s"
        << (options.connectionFloods ? ", connection floods" : "")
        << (options.busyClients ? ", busy clients" : "")
        << (options.unsoundAnswers ? ", unsound answers" : "") << ":";
    for (const auto& [name, count] : result.counts) out << " " << name << " " << count << ",";
    out << " largest delay of the harness " << static_cast<int>(result.worstLagMs) << " ms\n";
    out << "  settings: " << options.settings.summary() << "\n";
    char usage[96];
    std::snprintf(usage, sizeof usage,
                  "  mean per process: %.2f s of CPU, peak %.1f MB; at most %zu descriptors\n",
                  result.usage.cpuSeconds, result.usage.peakMb, result.usage.descriptors);
    out << usage;
    std::map<Rule, int> countByRule;
    for (const auto& violation : result.violations)
        if (++countByRule[violation.rule] <= 5)
            out << "  VIOLATION of " << nameOf(violation.rule) << " at " << static_cast<long>(violation.at)
                << " ms, n" << violation.scheduler << " " << violation.request << ": " << violation.detail
                << "\n";
    for (const auto& [rule, count] : countByRule)
        out << "  " << count << " violations of " << nameOf(rule) << "\n";
    for (const auto& line : result.unexpectedLogLines) out << "  log " << line << "\n";
    if (result.violations.empty()) out << "  no rule violated\n";
    else
        for (const auto& line : result.actionLog) out << "  action " << line << "\n";
    return out.str();
}

}  // namespace spokewheel::soak
