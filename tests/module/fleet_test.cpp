// What many schedulers send together while each decides on its own: one clock, and no messages between
// them.
#include <gtest/gtest.h>

#include <chrono>
#include <cmath>
#include <deque>
#include <memory>

#include "support.hpp"

namespace spokewheel::testing {
namespace {

constexpr double kStart = 1e6;

struct Result {
    double most = 0, all = 0;  // units in the fullest overload span, and in the whole cold time
    double worst = -1e18;      // by how many requests a span exceeded N + 2 sqrt(N) + 2, N allowed
};

// A shard's node restarts and is cold while all hosts have requests for it. It serves one after another, at
// a rate that grows from the cold share to `rate` units a second. Messages between hosts do not arrive.
Result coldNode(int hosts, bool peers, double offered, double rate) {
    auto settings = testSettings();
    settings.hosts = hosts;
    settings.maySendToPeers = peers;
    settings.overloadSpanMs = 3000;
    settings.overloadFactor = 4;
    settings.coldUnits = settings.overloadFactor * settings.coldShare * rate * settings.overloadSpanMs / 1000;
    std::vector<std::unique_ptr<Host>> fleet;
    for (int i = 0; i < hosts; ++i) {
        settings.rank = i;
        fleet.push_back(std::make_unique<Host>(settings, static_cast<std::uint64_t>(i) + 1));
        fleet.back()->step(kStart, {list({node("n", 0)})});
    }
    for (auto& host : fleet) host->step(kStart + 10, {list({node("n", 0, Lifecycle::Ready, kStart + 10)})});
    Result result;
    std::deque<double> window;
    std::deque<std::pair<std::size_t, Attempt>> queue;
    std::vector<std::size_t> seen(fleet.size(), 0);
    double due = 0, workDone = 0;
    int next = 0;
    for (double now = kStart + 20; now < kStart + settings.coldMs; now += 10) {
        const double age = (now - kStart - 10) / settings.coldMs;
        const double capacity = rate * (settings.coldShare + (1 - settings.coldShare) * age);
        for (due += offered / settings.meanUnits / 100; due >= 1; due -= 1, ++next) {
            const auto i = static_cast<std::size_t>(next * 7) % fleet.size();
            fleet[i]->step(now, {request("r" + std::to_string(next), "read", 0, settings.meanUnits)});
        }
        for (workDone = queue.empty() ? 0 : workDone + capacity / 100;
             !queue.empty() && workDone >= settings.meanUnits; workDone -= settings.meanUnits) {
            const auto [i, attempt] = queue.front();
            queue.pop_front();
            fleet[i]->endAttempt(now, attempt, Outcome::Served, true, 1000 * settings.meanUnits / capacity);
        }
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet[i]->runTo(now);
            for (; seen[i] < fleet[i]->sent.size(); ++seen[i]) {
                window.push_back(now);
                result.all += settings.meanUnits;
                queue.emplace_back(i, fleet[i]->sent[seen[i]]);
            }
        }
        while (!window.empty() && window.front() <= now - settings.overloadSpanMs) window.pop_front();
        result.most = std::max(result.most, settings.meanUnits * static_cast<double>(window.size()));
        const double allowed =
            settings.overloadFactor * capacity * settings.overloadSpanMs / 1000 / settings.meanUnits;
        result.worst = std::max(result.worst,
                                static_cast<double>(window.size()) - (allowed + 2 * std::sqrt(allowed) + 2));
    }
    return result;
}

// Guards against overloading a cold node by the result of many hosts, each of which sees little, and against
// a node that no host sends to because its part of the budget is less than one request.
TEST(Fleet, AColdNodeIsUsedByManyHostsAndDoesNotFall) {
    for (const int hosts : {1, 3, 24, 30, 100, 300})
        for (const bool peers : {false, true}) {
            // Twice its capacity when warm; and so much that each host always has waiting requests.
            for (const double offered : {40.0, 40.0 + 6 * hosts}) {
                const auto result = coldNode(hosts, peers, offered, 20);
                EXPECT_LE(result.worst, 0) << hosts << " hosts, " << offered << (peers ? " with peers" : "");
                if (!peers) {
                    EXPECT_GT(result.all, 60) << hosts << " hosts, " << offered;
                }
            }
        }
}

// The cost of a request and of a list change must not grow with the list. Takes the least of several runs,
// since the machine may be busy.
double costMs(int nodes) {
    const auto entry = [](int i) { return node("n" + std::to_string(i), i); };
    double least = 1e18;
    for (int round = 0; round < 5; ++round) {
        Host host(testSettings());
        std::vector<NodeEntry> all;
        for (int i = 0; i < nodes; ++i) all.push_back(entry(i));
        host.step(kStart, {list(all)});
        const auto from = std::chrono::steady_clock::now();
        for (int i = 0; i < 300; ++i) {
            const double now = kStart + 1 + 10 * i;
            host.step(now, {request("r" + std::to_string(i), "read", i % nodes)});
            host.endAttempt(now + 5, host.sent.back(), Outcome::Served);
            host.step(now + 6, {list({entry(i % nodes)}, ListForm::Delta)});
        }
        const std::chrono::duration<double, std::milli> duration = std::chrono::steady_clock::now() - from;
        least = std::min(least, duration.count());
    }
    return least;
}
TEST(Fleet, ALongListCostsAStepAndAChangeNoMore) { EXPECT_LT(costMs(3200), 4 * costMs(200)); }

}  // namespace
}  // namespace spokewheel::testing
