#include "kit/soak/setting.hpp"

#include <algorithm>
#include <iterator>
#include <sstream>

namespace spokewheel::soak {

namespace {

constexpr double kMostDeadlineMs = 3000, kKillReserveMs = 700;

const char* effectOf(const ClassTerms& terms) {
    return terms.once ? "once" : terms.byKey ? "by_key" : "repeatable";
}

template <class T, std::size_t N>
T drawOf(Random& random, const T (&choices)[N]) {
    return choices[drawBelow(random, static_cast<int>(N))];
}

}  // namespace

double Setting::longestDeadlineMs() const {
    double longest = 0;
    for (const auto& plan : classes) longest = std::max(longest, plan.deadlineMs);
    return longest;
}

double Setting::killAfterMs() const {
    return std::min(longestDeadlineMs(), kMostDeadlineMs) + kKillReserveMs;
}

std::string Setting::summary() const {
    std::ostringstream out;
    for (const auto& plan : classes) {
        out << plan.name << " " << effectOf(plan.terms) << (plan.terms.inOrder ? " in order" : "") << " "
            << plan.deadlineMs << " ms";
        if (plan.terms.byKey) out << ", remembered " << plan.terms.memoryMs;
        out << "; ";
    }
    out << (peers ? "peers" : "no peers") << ", " << sockets << " descriptors, cold " << coldMs << " ms from "
        << coldShare;
    for (const auto& volume : busyVolumes)
        out << "; limit " << volume.limit.rate << "/s, " << volume.limit.burst << " at once, at "
            << volume.hosts << " hosts, pause " << volume.pauseMs;
    if (limitPlay.restarted >= 0)
        out << "; n" << limitPlay.restarted << (limitPlay.planned ? " stopped" : " killed") << " every "
            << limitPlay.restartEveryMs << " ms";
    out << (limitPlay.moves ? "; volumes move" : "")
        << (limitPlay.losesPeerMessages ? "; peers' messages are lost" : "");
    return out.str();
}

Setting drawSetting(std::uint64_t seed) {
    constexpr double kDeadlines[] = {300, 450, 700, 900, 1200, 2000, 3200};
    constexpr double kMemories[] = {250, 400, 700, 1500};
    constexpr std::size_t kSockets[] = {112, 160, 256};
    constexpr double kColdMs[] = {2500, 4000, 7000};
    constexpr double kColdShares[] = {0.05, 0.1, 0.2};
    Random random(seed * 0x9e3779b97f4a7c15ULL + 17);
    Setting setting;
    for (auto& plan : setting.classes) {
        plan.deadlineMs = drawOf(random, kDeadlines);
        if (chance(random, 0.6)) continue;
        const int effect = drawBelow(random, 3);
        plan.terms.once = effect == 1;
        plan.terms.byKey = effect == 2;
        plan.terms.inOrder = plan.terms.inOrder || chance(random, 0.3);
    }
    for (auto& plan : setting.classes) plan.terms.memoryMs = plan.terms.byKey ? drawOf(random, kMemories) : 0;
    setting.peers = chance(random, 0.7);
    setting.sockets = drawOf(random, kSockets);
    setting.coldMs = drawOf(random, kColdMs);
    setting.coldShare = drawOf(random, kColdShares);
    // What a cold server bears within the fall time before it is pushed over.
    setting.coldUnits = std::max(2 * setting.meanUnits, setting.tipMultiple * setting.coldShare *
                                                            setting.serverUnitsPerS * setting.fallMs / 1000);
    return setting;
}

Terms termsOf(const Setting& setting) {
    Terms terms;
    for (const auto& plan : setting.classes) terms.classes.push_back(plan.terms);
    terms.drainGraceMs = setting.drainGraceMs;
    terms.limit = setting.limit, terms.burst = setting.limitBurst, terms.slack = setting.limitSlack;
    terms.coldMs = setting.coldMs, terms.coldUnits = setting.coldUnits, terms.coldShare = setting.coldShare;
    terms.tipMultiple = setting.tipMultiple, terms.fallMs = setting.fallMs;
    terms.meanUnits = setting.meanUnits, terms.serverUnitsPerS = setting.serverUnitsPerS;
    terms.settleMs = setting.settleMs;
    terms.extraFloor = setting.extraFloor, terms.extraShare = setting.extraShare;
    terms.extraSpanMs = setting.extraSpanMs;
    for (const auto& volume : setting.busyVolumes) terms.volumes[volume.id] = volume.limit;
    return terms;
}

std::string settingsJson(const Options& options, int rank) {
    const Setting& s = options.setting;
    std::ostringstream out, writes;
    out << R"({"classes":[)";
    const char* comma = "";
    for (const auto& plan : s.classes) {
        out << comma << R"({"name":")" << plan.name << R"(","effect":")" << effectOf(plan.terms)
            << R"(","group":"zone","points":2.0,"on-time-ms":)" << std::min(300.0, plan.deadlineMs / 2)
            << R"(,"deadline-ms":)" << plan.deadlineMs << R"(,"memory-span-ms":)" << plan.terms.memoryMs
            << R"(,"in-order":)" << (plan.terms.inOrder ? "true" : "false") << "}";
        writes << comma << (plan.method == "PUT" ? "true" : "false");
        comma = ",";
    }
    out << R"(],"contracts":[{"name":"open","limit":0.0,"nominal":100.0,"reservation":50.0,"shares":1.0},)"
        << R"({"name":"limited","limit":)" << s.limit << R"(,"limit-burst":)" << s.limitBurst
        << R"(,"slack":)" << s.limitSlack << R"(,"nominal":20.0,"reservation":10.0,"shares":1.0})";
    for (const auto& volume : s.busyVolumes)
        out << R"(,{"name":")" << volume.planName() << R"(","limit":)" << volume.limit.rate
            << R"(,"limit-burst":)" << volume.limit.burst << R"(,"slack":)" << volume.limit.slack
            << R"(,"nominal":)" << volume.limit.rate << R"(,"reservation":)" << volume.reservation
            << R"(,"shares":1.0})";
    out << "],"
        << R"("ceilings":{"send-cap":3,"dial-timeout-ms":)" << s.dialTimeoutMs << R"(,"conn-idle-ms":)"
        << s.connIdleMs << R"(,"retry-after":true,"max-retry-after-ms":1000.0,"peers":)"
        << (s.peers ? "true" : "false") << R"(},"domain":{"class-writes":[)" << writes.str()
        << R"(],"mean-units":)" << s.meanUnits << R"(,"units-top":)" << s.topUnits
        << R"(,"use-period-ms":1000.0,"cold-units":)" << s.coldUnits << "},"
        << R"("rules":{"grace-to-answer-ms":8.0,"drain-grace-ms":)" << s.drainGraceMs << R"(,"cold-ms":)"
        << s.coldMs << R"(,"cold-share":)" << s.coldShare << R"(,"tip-multiple":)" << s.tipMultiple
        << R"(,"fall-ms":)" << s.fallMs << R"(,"settle-after-doubt-ms":)" << s.settleMs
        << R"(,"extra-floor":)" << s.extraFloor << R"(,"extra-share":)" << s.extraShare
        << R"(,"ratio-span-ms":)" << s.extraSpanMs << R"(},"peers-total":)" << options.schedulers
        << R"(,"rank":)" << rank << R"(,"tick-ms":2.0,"zone":"a"})";
    return out.str();
}

}  // namespace spokewheel::soak
