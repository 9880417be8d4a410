// What many schedulers send together, each on its own: one clock, no messages between them or late ones.
#include <gtest/gtest.h>

#include <chrono>
#include <cmath>
#include <deque>
#include <memory>

#include "support.hpp"

namespace spokewheel::testing {
namespace {

constexpr double kStart = 1e6;

struct Sum {
    double most = 0, all = 0;  // units in the fullest window of the fall time, and in the whole cold time
    double worst = -1e18;      // by how many units a window went beyond N + 2 root N + 2
};

// A shard's node comes back cold under the requests of all hosts. It does one after another, at a rate that
// grows from the cold share to the whole of `rate` units a second; no message between hosts arrives.
Sum coldNode(int hosts, bool peers, double offered, double rate) {
    auto settings = plainSettings();
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
    for (auto& h : fleet) h->step(kStart + 10, {list({node("n", 0, Lifecycle::Ready, kStart + 10)})});
    Sum sum;
    std::deque<double> window;
    std::deque<std::pair<std::size_t, Attempt>> queue;
    std::vector<std::size_t> seen(fleet.size(), 0);
    double due = 0, done = 0;
    int next = 0;
    for (double now = kStart + 20; now < kStart + settings.coldMs; now += 10) {
        const double age = (now - kStart - 10) / settings.coldMs;
        const double able = rate * (settings.coldShare + (1 - settings.coldShare) * age);
        for (due += offered / settings.meanUnits / 100; due >= 1; due -= 1, ++next) {
            const auto i = static_cast<std::size_t>(next * 7) % fleet.size();
            fleet[i]->step(now, {request("r" + std::to_string(next), "read", 0, settings.meanUnits)});
        }
        for (done = queue.empty() ? 0 : done + able / 100; !queue.empty() && done >= settings.meanUnits;
             done -= settings.meanUnits) {
            const auto [i, attempt] = queue.front();
            queue.pop_front();
            fleet[i]->verdict(now, attempt, Outcome::Served, true, 1000 * settings.meanUnits / able);
        }
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet[i]->runTo(now);
            for (; seen[i] < fleet[i]->sent.size(); ++seen[i]) {
                window.push_back(now);
                sum.all += settings.meanUnits;
                queue.emplace_back(i, fleet[i]->sent[seen[i]]);
            }
        }
        while (!window.empty() && window.front() <= now - settings.overloadSpanMs) window.pop_front();
        sum.most = std::max(sum.most, settings.meanUnits * static_cast<double>(window.size()));
        const double n = settings.overloadFactor * able * settings.overloadSpanMs / 1000 / settings.meanUnits;
        sum.worst = std::max(sum.worst, static_cast<double>(window.size()) - (n + 2 * std::sqrt(n) + 2));
    }
    return sum;
}

// Guards against a cold node that falls under the sum of many hosts, of which each sees little; and against
// one that nobody dares to use, because each host's part of what it bears is under one request.
TEST(Fleet, AColdNodeIsUsedByManyHostsAndDoesNotFall) {
    for (const int hosts : {1, 3, 24, 30, 100, 300})
        for (const bool peers : {false, true}) {
            // At twice what it does when warm, and with work that waits at each host all the time.
            for (const double offered : {40.0, 40.0 + 6 * hosts}) {
                const auto sum = coldNode(hosts, peers, offered, 20);
                EXPECT_LE(sum.worst, 0) << hosts << " hosts, " << offered << (peers ? " with peers" : "");
                if (!peers) {
                    EXPECT_GT(sum.all, 60) << hosts << " hosts, " << offered;
                }
            }
        }
}

// What a request and a change of the list cost this host must not grow with the list: the least of several
// tries, for the machine may be busy with others.
double costMs(int nodes) {
    const auto entry = [](int i) { return node("n" + std::to_string(i), i); };
    double least = 1e18;
    for (int round = 0; round < 5; ++round) {
        Host host(plainSettings());
        std::vector<NodeEntry> all;
        for (int i = 0; i < nodes; ++i) all.push_back(entry(i));
        host.step(kStart, {list(all)});
        const auto from = std::chrono::steady_clock::now();
        for (int i = 0; i < 300; ++i) {
            const double now = kStart + 1 + 10 * i;
            host.step(now, {request("r" + std::to_string(i), "read", i % nodes)});
            host.verdict(now + 5, host.sent.back(), Outcome::Served);
            host.step(now + 6, {list({entry(i % nodes)}, ListForm::Delta)});
        }
        const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - from;
        least = std::min(least, took.count());
    }
    return least;
}
TEST(Fleet, ALongListCostsAStepAndAChangeNoMore) { EXPECT_LT(costMs(3200), 4 * costMs(200)); }

}  // namespace
}  // namespace spokewheel::testing
