// Time of the module for one event while it holds many requests: what decides how many a gateway may hold.
#include <benchmark/benchmark.h>

#include "spokewheel/scheduler.hpp"

namespace {

using namespace spokewheel;

Settings settings() {
    Settings s;
    s.maxAttempts = 3;
    s.meanUnits = 2;
    s.maxUnits = 8;
    RequestClass c;
    c.name = "view";
    c.effect = Effect::Repeatable;
    c.latencyTargetMs = 500;
    c.deadlineMs = 1e9;
    s.classes.push_back(c);
    Plan p;
    p.name = "open";
    p.nominal = p.reservation = 10;
    s.plans.push_back(p);
    return s;
}

// `held` requests over 20 volumes and 10 nodes whose windows are full; then one is answered and one comes.
void step(benchmark::State& state) {
    Scheduler scheduler(settings(), 1);
    ListUpdate list;
    for (int i = 0; i < 10; ++i) {
        NodeEntry e;
        e.node = "n" + std::to_string(i);
        e.shard = i;
        list.entries.push_back(e);
    }
    std::vector<Attempt> out;
    double now = 1000;
    const auto run = [&](std::vector<Event> events) {
        for (const auto& a : scheduler.step(now, events))
            if (const auto* attempt = std::get_if<Attempt>(&a)) out.push_back(*attempt);
    };
    std::uint64_t next = 0;
    const auto request = [&] {
        Request r;
        r.id = std::to_string(next);
        r.requestClass = "view";
        r.plan = "open";
        r.ttlMs = 1e9;
        r.volume = static_cast<std::int64_t>(next % 20);
        r.shard = static_cast<int>(next % 10);
        ++next;
        return r;
    };
    run({list});
    for (std::int64_t i = 0; i < state.range(0) + 40; ++i) run({request()});
    for (auto _ : state) {
        now += 1;
        AttemptEnded v;
        v.id = out.front().id;
        v.node = out.front().node;
        v.tookMs = 20;
        v.requestEnded = true;
        out.erase(out.begin());
        run({v});
        run({request()});
    }
    state.counters["events"] = benchmark::Counter(2, benchmark::Counter::kIsIterationInvariantRate);
}
BENCHMARK(step)->Arg(10)->Arg(100)->Arg(500)->Arg(1000)->Arg(10000)->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
