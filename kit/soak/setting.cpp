#include "kit/soak/setting.hpp"

#include <algorithm>
#include <iterator>
#include <sstream>

namespace spokewheel::soak {

namespace {

// The platform kills a stopping process kKillReserveMs after the longest deadline, of which it counts at most
// kMaxDeadlineMs.
constexpr double kMaxDeadlineMs = 3000, kKillReserveMs = 700;

const char* effectOf(const ClassSemantics& semantics) {
    return semantics.once ? "once" : semantics.byKey ? "by_key" : "repeatable";
}

template <class T, std::size_t N>
T drawFrom(Random& random, const T (&choices)[N]) {
    return choices[drawBelow(random, static_cast<int>(N))];
}

}  // namespace

double Settings::longestDeadlineMs() const {
    double longest = 0;
    for (const auto& requestClass : classes) longest = std::max(longest, requestClass.deadlineMs);
    return longest;
}

double Settings::killAfterMs() const {
    return std::min(longestDeadlineMs(), kMaxDeadlineMs) + kKillReserveMs;
}

std::string Settings::summary() const {
    std::ostringstream out;
    for (const auto& requestClass : classes) {
        out << requestClass.name << " " << effectOf(requestClass.semantics)
            << (requestClass.semantics.inOrder ? " in order" : "") << " " << requestClass.deadlineMs << " ms";
        if (requestClass.semantics.byKey) out << ", key retention " << requestClass.semantics.keyRetentionMs;
        out << "; ";
    }
    out << (peers ? "peers" : "no peers") << ", " << sockets << " descriptors, cold for " << coldMs
        << " ms from share " << coldShare;
    for (const auto& volume : busyVolumes)
        out << "; limit " << volume.limit.rate << "/s, burst " << volume.limit.burst << ", through "
            << volume.hosts << " hosts, pause " << volume.pauseMs;
    if (limitFaults.restartedScheduler >= 0)
        out << "; n" << limitFaults.restartedScheduler << (limitFaults.plannedStops ? " stopped" : " killed")
            << " every " << limitFaults.restartEveryMs << " ms";
    out << (limitFaults.movesVolumes ? "; volumes move" : "")
        << (limitFaults.dropsPeerMessages ? "; peer messages dropped" : "");
    return out.str();
}

Settings drawSettings(std::uint64_t seed) {
    constexpr double kDeadlinesMs[] = {300, 450, 700, 900, 1200, 2000, 3200};
    constexpr double kKeyRetentionsMs[] = {250, 400, 700, 1500};
    constexpr std::size_t kSockets[] = {112, 160, 256};
    constexpr double kColdMs[] = {2500, 4000, 7000};
    constexpr double kColdShares[] = {0.05, 0.1, 0.2};
    Random random(seed * 0x9e3779b97f4a7c15ULL + 17);
    Settings settings;
    for (auto& requestClass : settings.classes) {
        requestClass.deadlineMs = drawFrom(random, kDeadlinesMs);
        if (chance(random, 0.6)) continue;
        const int effect = drawBelow(random, 3);
        requestClass.semantics.once = effect == 1;
        requestClass.semantics.byKey = effect == 2;
        requestClass.semantics.inOrder = requestClass.semantics.inOrder || chance(random, 0.3);
    }
    for (auto& requestClass : settings.classes)
        requestClass.semantics.keyRetentionMs =
            requestClass.semantics.byKey ? drawFrom(random, kKeyRetentionsMs) : 0;
    settings.peers = chance(random, 0.7);
    settings.sockets = drawFrom(random, kSockets);
    settings.coldMs = drawFrom(random, kColdMs);
    settings.coldShare = drawFrom(random, kColdShares);
    // The units that overload a cold server when they arrive within the overload span.
    settings.coldUnits =
        std::max(2 * settings.meanUnits, settings.overloadFactor * settings.coldShare *
                                             settings.serverUnitsPerS * settings.overloadSpanMs / 1000);
    return settings;
}

Requirements requirementsOf(const Settings& settings) {
    Requirements out;
    for (const auto& requestClass : settings.classes) out.classes.push_back(requestClass.semantics);
    out.drainGraceMs = settings.drainGraceMs;
    out.limit = settings.limit, out.burst = settings.limitBurst, out.slack = settings.limitSlack;
    out.coldMs = settings.coldMs, out.coldUnits = settings.coldUnits, out.coldShare = settings.coldShare;
    out.overloadFactor = settings.overloadFactor, out.overloadSpanMs = settings.overloadSpanMs;
    out.meanUnits = settings.meanUnits, out.serverUnitsPerS = settings.serverUnitsPerS;
    out.settleAfterDoubtMs = settings.settleAfterDoubtMs;
    out.retryBudgetFloor = settings.retryBudgetFloor, out.retryBudgetShare = settings.retryBudgetShare;
    out.retryBudgetSpanMs = settings.retryBudgetSpanMs;
    for (const auto& volume : settings.busyVolumes) out.volumes[volume.id] = volume.limit;
    return out;
}

std::string settingsJson(const Options& options, int rank) {
    const Settings& settings = options.settings;
    std::ostringstream out, writes;
    out << R"({"classes":[)";
    const char* comma = "";
    for (const auto& requestClass : settings.classes) {
        out << comma << R"({"name":")" << requestClass.name << R"(","effect":")"
            << effectOf(requestClass.semantics) << R"(","group":"zone","points":2.0,"on-time-ms":)"
            << std::min(300.0, requestClass.deadlineMs / 2) << R"(,"deadline-ms":)" << requestClass.deadlineMs
            << R"(,"memory-span-ms":)" << requestClass.semantics.keyRetentionMs << R"(,"in-order":)"
            << (requestClass.semantics.inOrder ? "true" : "false") << "}";
        writes << comma << (requestClass.method == "PUT" ? "true" : "false");
        comma = ",";
    }
    out << R"(],"contracts":[{"name":"open","limit":0.0,"nominal":100.0,"reservation":50.0,"shares":1.0},)"
        << R"({"name":"limited","limit":)" << settings.limit << R"(,"limit-burst":)" << settings.limitBurst
        << R"(,"slack":)" << settings.limitSlack << R"(,"nominal":20.0,"reservation":10.0,"shares":1.0})";
    for (const auto& volume : settings.busyVolumes)
        out << R"(,{"name":")" << volume.planName() << R"(","limit":)" << volume.limit.rate
            << R"(,"limit-burst":)" << volume.limit.burst << R"(,"slack":)" << volume.limit.slack
            << R"(,"nominal":)" << volume.limit.rate << R"(,"reservation":)" << volume.reservation
            << R"(,"shares":1.0})";
    out << "],"
        << R"("ceilings":{"send-cap":3,"dial-timeout-ms":)" << settings.dialTimeoutMs << R"(,"conn-idle-ms":)"
        << settings.connIdleMs << R"(,"retry-after":true,"max-retry-after-ms":1000.0,"peers":)"
        << (settings.peers ? "true" : "false") << R"(},"domain":{"class-writes":[)" << writes.str()
        << R"(],"mean-units":)" << settings.meanUnits << R"(,"units-top":)" << settings.maxUnits
        << R"(,"use-period-ms":1000.0,"cold-units":)" << settings.coldUnits << "},"
        << R"("rules":{"grace-to-answer-ms":8.0,"drain-grace-ms":)" << settings.drainGraceMs
        << R"(,"cold-ms":)" << settings.coldMs << R"(,"cold-share":)" << settings.coldShare
        << R"(,"tip-multiple":)" << settings.overloadFactor << R"(,"fall-ms":)" << settings.overloadSpanMs
        << R"(,"settle-after-doubt-ms":)" << settings.settleAfterDoubtMs << R"(,"extra-floor":)"
        << settings.retryBudgetFloor << R"(,"extra-share":)" << settings.retryBudgetShare
        << R"(,"ratio-span-ms":)" << settings.retryBudgetSpanMs << R"(},"peers-total":)" << options.schedulers
        << R"(,"rank":)" << rank << R"(,"tick-ms":2.0,"zone":"a"})";
    return out.str();
}

}  // namespace spokewheel::soak
