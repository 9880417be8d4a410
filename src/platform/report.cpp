#include "platform/report.hpp"

#include <sys/resource.h>

#include <cstdio>
#include <iterator>
#include <string>

namespace spokewheel::platform {

using log::Level;

namespace {

template <class Number>
std::string text(Number number) {
    return std::to_string(number);
}

std::string formatUnits(double units) {
    char out[32];
    std::snprintf(out, sizeof out, "%.2f", units);
    return out;
}

// "closed=2 silent=1": the non-zero counts, by name of the enumerator. `Enum` ends with Count.
template <class Enum, class Counts>
std::string countsByName(const Counts& counts) {
    std::string out;
    for (std::size_t i = 0; i < counts.size(); ++i)
        if (counts[i] > 0)
            out += (out.empty() ? "" : " ") + std::string(nameOf(static_cast<Enum>(i))) + "=" +
                   std::to_string(counts[i]);
    return out;
}

std::string outcomeCounts(const host::Counters& counters) {
    std::string out;
    for (const auto& [outcome, count] : counters.outcomes)
        out += (out.empty() ? "" : " ") + text(static_cast<int>(outcome)) + "=" + text(count);
    return out;
}

std::string endReasonCounts(const host::Counters& counters) {
    std::string out;
    for (const auto& [reason, count] : counters.ends)
        out += (out.empty() ? "" : " ") + std::string(host::nameOf(reason)) + "=" + text(count);
    return out;
}

const char* nameOf(LimitAccount::Moment moment) {
    static constexpr const char* kNames[] = {"first_sight", "short", "forgotten", "end"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(LimitAccount::Moment::Asked) + 1);
    return kNames[static_cast<std::size_t>(moment)];
}

// The most memory that this process has had resident, in KiB.
long peakResidentKb() {
    rusage usage{};
    return getrusage(RUSAGE_SELF, &usage) == 0 ? usage.ru_maxrss : 0;
}

void logState(log::Log& log, const CounterSources& sources, double nowMs) {
    const auto sizes = sources.host.tableSizes();
    log.event(Level::Info, "pulse_state",
              {{"peak_kb", text(peakResidentKb())},
               {"turn_ms", formatUnits(io::takeLongestTurnMs())},
               {"requests", text(sizes.requests)},
               {"deadlines", text(sizes.deadlines)},
               {"ids", text(sources.server.openRequestIds())},
               {"keys", text(sizes.keys)},
               {"volumes", text(sizes.volumes)},
               {"pools", text(sizes.pools)},
               {"active_hosts", text(sizes.activeHosts)}},
              nowMs);
}

// Whether a connection that ended for this reason can have been of a client that got what it was owed.
bool isOrdinary(const fronts::http::Server::ClosedConnection& closed) {
    using fronts::http::CloseReason;
    if (!closed.openRequest.empty() || closed.unservedRequests > 0 || closed.unreadBytes > 0) return false;
    return closed.reason == CloseReason::ByClient || closed.reason == CloseReason::LastAnswer ||
           closed.reason == CloseReason::Idle || closed.reason == CloseReason::Draining;
}

}  // namespace

void logRequestNote(log::Log& log, const host::RequestNote& note) {
    const bool counts =
        note.kind == host::RequestNote::Kind::Retried || note.kind == host::RequestNote::Kind::LeftOpen;
    log.event(Level::Info, nameOf(note.kind),
              {{"request", note.request},
               {"id", note.clientRequestId},
               {"node", note.node},
               {"attempts", counts ? text(note.attempt) : ""},
               {"reason", note.reason}},
              io::nowMs(), kMaxRequestLinesPerSecond);
}

void logRejectedRequest(log::Log& log, const fronts::http::Server::RejectedRequest& rejected) {
    log.event(Level::Info, "request_rejected", {{"id", rejected.request}, {"rule", nameOf(rejected.rule)}},
              io::nowMs(), kMaxRequestLinesPerSecond);
}

void logClosedConnection(log::Log& log, const fronts::http::Server::ClosedConnection& closed, bool all) {
    if (!all && isOrdinary(closed)) return;
    log.event(Level::Info, "client_closed",
              {{"reason", nameOf(closed.reason)},
               {"id", closed.openRequest},
               {"answers", text(closed.answers)},
               {"unserved", text(closed.unservedRequests)},
               {"unread_bytes", text(closed.unreadBytes)}},
              io::nowMs(), kMaxRequestLinesPerSecond);
}

void logCounters(log::Log& log, const CounterSources& sources) {
    const auto& c = sources.host.counters();
    const auto& server = sources.server.counts();
    const double now = io::nowMs();
    log.event(Level::Info, "pulse",
              {{"clients", text(sources.server.connections())},
               {"most", text(server.peakConnections)},
               {"open", text(sources.host.open())},
               {"taken", text(c.taken)},
               {"served", text(c.served)},
               {"refused", text(c.refused)},
               {"failed", text(c.failed)},
               {"attempts", text(c.attempts)},
               {"violations", text(sources.violations)}},
              now);
    log.event(Level::Info, "pulse_ends", {{"outcomes", outcomeCounts(c)}, {"not_served", endReasonCounts(c)}},
              now);
    log.event(Level::Info, "pulse_closes",
              {{"client_closes", countsByName<fronts::http::CloseReason>(server.closes)}}, now);
    log.event(Level::Info, "pulse_rejected",
              {{"by_rule", countsByName<wire::http::RequestRule>(server.rejected)}}, now);
    log.event(Level::Info, "pulse_memory",
              {{"used", text(sources.memory.used())},
               {"most", text(sources.memory.peak())},
               {"budget", text(sources.memory.capacity())},
               {"waits", text(server.memoryWaits)},
               {"refused", text(server.memoryRefusals)},
               {"hidden_ends", text(server.hiddenEnds)},
               {"answer_waits", text(sources.nodes.memoryWaits())}},
              now);
    logState(log, sources, now);
    log.event(Level::Info, "pulse_links",
              {{"node_closes", countsByName<nodes::LinkCloseReason>(sources.nodes.closes())}}, now);
    log.event(Level::Info, "pulse_watch",
              {{"watch_faults", countsByName<registry::WatchFault>(sources.watch.faults())}}, now);
    log.event(Level::Info, "pulse_work",
              {{"errors", text(server.errors)},
               {"expired", text(server.expired)},
               {"unordered", text(server.unordered)},
               {"gave_way", text(server.gaveWay)},
               {"steps", text(c.steps)},
               {"step_ms", formatUnits(c.stepMs)},
               {"node_links", text(sources.nodes.connections())},
               {"node_dials", text(sources.nodes.dials())},
               {"peers_received", sources.peers ? text(sources.peers->counts().received) : ""},
               {"peers_unknown", sources.peers ? text(sources.peers->counts().unknown) : ""},
               {"peers_unreadable", text(sources.host.unreadablePeerMessages())}},
              now);
}

void logLimitAccount(log::Log& log, const LimitAccount& note) {
    char volume[20];
    std::snprintf(volume, sizeof volume, "%016llx", static_cast<unsigned long long>(note.volume));
    log.event(Level::Info, "limit_account",
              {{"moment", nameOf(note.moment)},
               {"volume", volume},
               {"hosts", text(note.hosts)},
               {"own", formatUnits(note.own)},
               {"leased", formatUnits(note.leased)},
               {"reserved", formatUnits(note.reserved)},
               {"level", formatUnits(note.level)},
               {"credit", formatUnits(note.credit)},
               {"sent", formatUnits(note.sent)}},
              io::nowMs());
}

}  // namespace spokewheel::platform
