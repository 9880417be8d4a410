#include "kit/soak/busy_client_injector.hpp"

#include <string>

namespace spokewheel::soak {
namespace {

constexpr double kGapMs = 400;  // mean time between two injections
constexpr double kMemorySampleMs = 500;
constexpr double kImpairedMs = 3000;  // after a burst, during which a scheduler need not serve others
constexpr double kStalledMs = 2500;   // for which a crowd of half-sent requests stays

}  // namespace

BusyClientInjector::BusyClientInjector(Cluster& cluster)
    : cluster_(cluster), random_(cluster.options.seed * 0x9e3779b97f4a7c15ULL + 71) {}

void BusyClientInjector::start() {
    if (cluster_.options.busyClients) injectOne();
    if (cluster_.options.busyClients || cluster_.options.unsoundAnswers) checkMemory();
}

void BusyClientInjector::injectOne() {
    if (stopped_) return;
    const auto i = static_cast<std::size_t>(drawBelow(random_, cluster_.options.schedulers));
    auto& clients = *cluster_.clients[i];
    const auto name = std::to_string(i);
    switch (drawBelow(random_, 4)) {
        case 0:
        case 1: {
            const int count = 20 + drawBelow(random_, 280);
            const bool leaves = chance(random_, 0.5);
            cluster_.logAction("burst of " + std::to_string(count) + " requests at n" + name +
                               (leaves ? ", whose client leaves" : ""));
            cluster_.markImpaired(i, kImpairedMs);
            clients.sendBurst(count, leaves ? 1 + 300 * drawReal(random_) : -1, random_);
            break;
        }
        case 2:
            cluster_.logAction("unsound requests at n" + name);
            clients.sendUnsoundRequests(1 + drawBelow(random_, 12), random_);
            break;
        default:
            cluster_.logAction("crowd of half-sent requests at n" + name);
            cluster_.markImpaired(i, kImpairedMs);
            clients.openStalledConnections(static_cast<int>(cluster_.options.settings.sockets / 4),
                                           kStalledMs);
    }
    cluster_.reactor.after(2 * kGapMs * drawReal(random_), [this, alive = alive_] {
        if (*alive) injectOne();
    });
}

// AddressSanitizer's memory is not the program's.
void BusyClientInjector::checkMemory() {
#ifndef __SANITIZE_ADDRESS__
    for (std::size_t i = 0; i < cluster_.processes.size(); ++i) {
        const double usedMb = cluster_.processes[i]->anonymousMb();
        if (usedMb < static_cast<double>(cluster_.options.settings.memoryMb)) continue;
        cluster_.recordViolation(i, "memory of " + std::to_string(usedMb) + " MB");
    }
#endif
    cluster_.reactor.after(kMemorySampleMs, [this, alive = alive_] {
        if (*alive && !stopped_) checkMemory();
    });
}

}  // namespace spokewheel::soak
