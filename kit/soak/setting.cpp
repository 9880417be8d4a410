#include "kit/soak/setting.hpp"

#include <sstream>

namespace spokewheel::soak {

Terms termsOfRun() {
    Terms terms;
    for (const auto& plan : classPlans()) terms.classes.push_back(plan.terms);
    terms.drainGraceMs = kDrainGraceMs;
    terms.limit = kLimit, terms.burst = kLimitBurst, terms.slack = kLimitSlack;
    terms.coldMs = kColdMs, terms.coldUnits = kColdUnits, terms.coldShare = kColdShare;
    terms.tipMultiple = kTipMultiple, terms.fallMs = kFallMs, terms.meanUnits = kMeanUnits;
    terms.serverUnitsPerS = kServerUnitsPerS;
    terms.settleMs = kSettleMs;
    terms.extraFloor = kExtraFloor, terms.extraShare = kExtraShare, terms.extraSpanMs = kExtraSpanMs;
    return terms;
}

std::string settingsJson(const Options& options, int rank) {
    std::ostringstream out;
    out << R"({"classes":[)";
    const char* comma = "";
    for (const auto& plan : classPlans()) {
        out << comma << R"({"name":")" << plan.name << R"(","effect":")"
            << (plan.terms.once    ? "once"
                : plan.terms.byKey ? "by_key"
                                   : "repeatable")
            << R"(","group":"zone","points":2.0,"on-time-ms":300.0,"deadline-ms":)" << plan.deadlineMs
            << R"(,"memory-span-ms":)" << plan.terms.memoryMs << R"(,"in-order":)"
            << (plan.terms.inOrder ? "true" : "false") << "}";
        comma = ",";
    }
    out << R"(],"contracts":[{"name":"open","limit":0.0,"nominal":100.0,"reservation":50.0,"shares":1.0},)"
        << R"({"name":"limited","limit":)" << kLimit << R"(,"limit-burst":)" << kLimitBurst << R"(,"slack":)"
        << kLimitSlack << R"(,"nominal":20.0,"reservation":10.0,"shares":1.0}],)"
        << R"("ceilings":{"send-cap":3,"dial-timeout-ms":)" << kDialTimeoutMs << R"(,"conn-idle-ms":)"
        << kConnIdleMs << R"(,"retry-after":true,"max-retry-after-ms":1000.0,"peers":)"
        << (options.peers ? "true" : "false") << "},"
        << R"("domain":{"class-writes":[false,true,true,true],"mean-units":)" << kMeanUnits
        << R"(,"units-top":4,"use-period-ms":1000.0,"cold-units":)" << kColdUnits << "},"
        << R"("rules":{"grace-to-answer-ms":8.0,"drain-grace-ms":)" << kDrainGraceMs << R"(,"cold-ms":)"
        << kColdMs << R"(,"cold-share":)" << kColdShare << R"(,"tip-multiple":)" << kTipMultiple
        << R"(,"fall-ms":)" << kFallMs << R"(,"settle-after-doubt-ms":)" << kSettleMs << R"(,"extra-floor":)"
        << kExtraFloor << R"(,"extra-share":)" << kExtraShare << R"(,"ratio-span-ms":)" << kExtraSpanMs
        << R"(},"peers-total":)" << options.schedulers << R"(,"rank":)" << rank
        << R"(,"tick-ms":2.0,"zone":"a"})";
    return out.str();
}

}  // namespace spokewheel::soak
