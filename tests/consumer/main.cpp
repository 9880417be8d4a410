#include <spokewheel/scheduler.hpp>

int main() {
    spokewheel::Settings settings;
    settings.classes.resize(1);
    settings.classes[0].name = "read";
    settings.classes[0].effect = spokewheel::Effect::Repeatable;
    settings.classes[0].latencyTargetMs = 500;
    settings.plans.resize(1);
    settings.plans[0].name = "basic";
    spokewheel::Scheduler scheduler(settings, 1);

    spokewheel::ListUpdate list;
    list.entries.resize(1);
    list.entries[0].node = "node-a";
    list.entries[0].shard = 0;
    spokewheel::Request request;
    request.id = "r1";
    request.requestClass = "read";
    request.plan = "basic";
    request.ttlMs = 2500;
    request.shard = 0;
    for (const auto& action : scheduler.step(1000, {list, request}))
        if (const auto* attempt = std::get_if<spokewheel::Attempt>(&action))
            return attempt->node == "node-a" ? 0 : 1;
    return 1;
}
