// Time that the scheduler takes for one event while it holds many requests. This bounds how many requests a
// gateway may have open.
#include <benchmark/benchmark.h>

#include "spokewheel/scheduler.hpp"

namespace {

using namespace spokewheel;

Settings makeSettings() {
    Settings settings;
    settings.maxAttempts = 3;
    settings.meanUnits = 2;
    settings.maxUnits = 8;
    RequestClass view;
    view.name = "view";
    view.effect = Effect::Repeatable;
    view.latencyTargetMs = 500;
    view.deadlineMs = 1e9;
    settings.classes.push_back(view);
    Plan plan;
    plan.name = "open";
    plan.nominal = plan.reservation = 10;
    settings.plans.push_back(plan);
    return settings;
}

// The scheduler holds the given number of requests, over 20 volumes, for 10 nodes whose windows are full.
// Each iteration ends one attempt and submits one request.
void step(benchmark::State& state) {
    Scheduler scheduler(makeSettings(), 1);
    ListUpdate list;
    for (int i = 0; i < 10; ++i) {
        NodeEntry entry;
        entry.node = "n" + std::to_string(i);
        entry.shard = i;
        list.entries.push_back(entry);
    }
    std::vector<Attempt> open;
    double nowMs = 1000;
    const auto run = [&](std::vector<Event> events) {
        for (const auto& action : scheduler.step(nowMs, events))
            if (const auto* attempt = std::get_if<Attempt>(&action)) open.push_back(*attempt);
    };
    std::uint64_t nextId = 0;
    const auto makeRequest = [&] {
        Request request;
        request.id = std::to_string(nextId);
        request.requestClass = "view";
        request.plan = "open";
        request.ttlMs = 1e9;
        request.volume = static_cast<std::int64_t>(nextId % 20);
        request.shard = static_cast<int>(nextId % 10);
        ++nextId;
        return request;
    };
    run({list});
    for (std::int64_t i = 0; i < state.range(0) + 40; ++i) run({makeRequest()});
    for (auto _ : state) {
        nowMs += 1;
        AttemptEnded ended;
        ended.id = open.front().id;
        ended.node = open.front().node;
        ended.durationMs = 20;
        ended.requestEnded = true;
        open.erase(open.begin());
        run({ended});
        run({makeRequest()});
    }
    state.counters["events"] = benchmark::Counter(2, benchmark::Counter::kIsIterationInvariantRate);
}
BENCHMARK(step)->Arg(10)->Arg(100)->Arg(500)->Arg(1000)->Arg(10000)->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
