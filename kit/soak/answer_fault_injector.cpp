#include "kit/soak/answer_fault_injector.hpp"

#include <algorithm>
#include <string>

namespace spokewheel::soak {
namespace {

// Of the answers of an unsound server, and how late a copy of one comes at the most.
constexpr double kCopyShare = 0.2, kMostLateMs = 15, kEndlessShare = 0.5;
constexpr double kMostOneWayMs = 5;
constexpr double kUnsoundForMs = 2000;      // then it is drawn anew
constexpr double kRecoveryMs = 1500;        // after answers that never end
constexpr double kSlowReaderEveryMs = 700;  // mean
constexpr int kLeastAnswerBytes = 400000, kMostAnswerBytes = 1200000;
// For a long answer on a slow link: beyond the longest deadline of a class, as clients may ask for.
constexpr double kSlowReaderTimeoutMs = 8000;
constexpr double kCrowdAfterMs = 400, kIdleCrowdMs = 1500;

constexpr double kRequestsPerSecond = 100;  // to each scheduler
constexpr double kServerUnitsPerS = 900;
constexpr int kMostSchedulers = 4, kMostServers = 3;
constexpr std::size_t kMemoryMb = 32;

}  // namespace

void setUpForUnsoundAnswers(Options& options) {
    options.requestsPerSecond = std::max(options.requestsPerSecond, kRequestsPerSecond);
    options.schedulers = std::min(options.schedulers, kMostSchedulers);
    options.servers = std::min(options.servers, kMostServers);
    options.settings.serverUnitsPerS = std::max(options.settings.serverUnitsPerS, kServerUnitsPerS);
    options.settings.memoryMb = kMemoryMb;
}

AnswerFaultInjector::AnswerFaultInjector(Cluster& cluster)
    : cluster_(cluster), random_(cluster.options.seed * 0x9e3779b97f4a7c15ULL + 60) {}

void AnswerFaultInjector::start() {
    if (!cluster_.options.unsoundAnswers) return;
    makeServersUnsound();
    readSlowly();
}

void AnswerFaultInjector::stop() {
    stopped_ = true;
    for (const auto& entry : cluster_.servers) entry.server->setUnsoundAnswers({}, 1);
}

// Half of the servers send copies. At times half of all answers never end, for a moment in which nobody has
// to be served.
void AnswerFaultInjector::makeServersUnsound() {
    if (stopped_) return;
    const bool endless = chance(random_, 0.4);
    for (const auto& entry : cluster_.servers) {
        DiskServer::UnsoundAnswers answers;
        answers.oneWayMs = kMostOneWayMs * drawReal(random_);
        answers.mostLateMs = kMostLateMs;
        if (chance(random_, 0.5)) answers.copyShare = kCopyShare;
        if (endless) answers.endlessShare = kEndlessShare;
        entry.server->setUnsoundAnswers(answers, random_());
    }
    cluster_.logAction(endless ? "answers that never end" : "answers that come twice");
    if (endless)
        for (std::size_t i = 0; i < cluster_.processes.size(); ++i)
            cluster_.markImpaired(i, kUnsoundForMs + kRecoveryMs);
    cluster_.reactor.after(kUnsoundForMs, [this, alive = alive_] {
        if (*alive) makeServersUnsound();
    });
}

void AnswerFaultInjector::readSlowly() {
    if (stopped_) return;
    const auto i = static_cast<std::size_t>(drawBelow(random_, cluster_.options.schedulers));
    const int bytes = kLeastAnswerBytes + drawBelow(random_, kMostAnswerBytes - kLeastAnswerBytes);
    cluster_.logAction("read of " + std::to_string(bytes) + " bytes on a slow link at n" + std::to_string(i));
    cluster_.clients[i]->readSlowly(bytes, kSlowReaderTimeoutMs,
                                    drawBelow(random_, cluster_.options.servers));
    if (chance(random_, 0.6))
        cluster_.reactor.after(kCrowdAfterMs, [this, alive = alive_, i] {
            if (*alive && !stopped_) openCrowd(i);
        });
    cluster_.reactor.after(2 * kSlowReaderEveryMs * drawReal(random_), [this, alive = alive_] {
        if (*alive) readSlowly();
    });
}

void AnswerFaultInjector::openCrowd(std::size_t scheduler) {
    cluster_.logAction("idle crowd at n" + std::to_string(scheduler));
    cluster_.markImpaired(scheduler, kIdleCrowdMs);
    cluster_.clients[scheduler]->openIdleConnections(static_cast<int>(2 * cluster_.options.settings.sockets),
                                                     kIdleCrowdMs);
}

}  // namespace spokewheel::soak
