// spokewheel-soak: plays soak runs over a range of seeds and tells the verdict; exit 1 where a rule broke.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <string>

#include "kit/soak/limit_scenario.hpp"
#include "kit/soak/soak.hpp"

namespace {

namespace soak = spokewheel::soak;

// What a run of the seed plays: its own settings, volumes at their limits and, on each third seed, crowds.
soak::Options optionsOf(const soak::Options& options, std::uint64_t seed, bool fixed, bool limits) {
    soak::Options out = options;
    out.seed = seed;
    out.folder = options.folder + "/seed-" + std::to_string(seed);
    if (fixed) return out;
    out.setting = soak::drawSetting(seed);
    if (limits) soak::drawLimitScenario(out.setting, seed, out.schedulers);
    out.crowds = out.crowds || seed % 3 == 0;
    return out;
}

// Plays one seed. Where a rule broke, its folder keeps record, report and logs, and the report names it.
bool play(const soak::Options& options) {
    std::filesystem::remove_all(options.folder);
    std::filesystem::create_directories(options.folder);
    const auto result = soak::run(options);
    auto report = soak::report(result, options);
    const bool kept = result.breaches.empty();
    if (kept) std::filesystem::remove_all(options.folder);
    else {
        report += "  record, script and logs are in " + options.folder + "\n";
        std::ofstream(options.folder + "/record.txt") << soak::recordText(result);
        std::ofstream(options.folder + "/report.txt") << report;
    }
    std::fputs(report.c_str(), stdout);
    std::fflush(stdout);
    return kept;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"spokewheel-soak: real schedulers under overlapping troubles, judged by their traffic"};
    soak::Options options;
    std::uint64_t seeds = 1;
    bool calm = false, fixed = false, noLimits = false;
    app.add_option("--scheduler", options.scheduler, "the daemon")->required()->check(CLI::ExistingFile);
    app.add_option("--shim", options.shim, "the fault shim")->check(CLI::ExistingFile);
    app.add_option("--folder", options.folder,
                   "for configurations, and for records of seeds that broke a rule")
        ->required();
    app.add_option("--seconds", options.seconds, "of each run")->check(CLI::Range(1.0, 3600.0));
    app.add_option("--seed", options.seed, "the first seed");
    app.add_option("--seeds", seeds, "how many seeds")->check(CLI::Range(1, 10000));
    app.add_option("--schedulers", options.schedulers, "processes")->check(CLI::Range(1, 64));
    app.add_option("--servers", options.servers, "disk servers")->check(CLI::Range(1, 64));
    app.add_option("--rate", options.requestsPerSecond, "requests a second to each scheduler")
        ->check(CLI::Range(0.1, 1000.0));
    app.add_flag("--calm", calm, "no troubles");
    app.add_flag("--fixed", fixed, "the same settings for each seed, and no crowds of its own");
    app.add_flag("--no-limits", noLimits, "no volumes that are asked for without pause");
    app.add_flag("--crowds", options.crowds, "idle clients fill the descriptors now and then");
    app.add_option("--members", options.extraMembers, "listed servers beside those that are used")
        ->check(CLI::Range(0, 10000));
    app.add_option("--churn", options.churnPerSecond, "of those, replaced each second")
        ->check(CLI::Range(0.0, 1000.0));
    CLI11_PARSE(app, argc, argv);
    options.troubles = !calm;
    std::uint64_t broken = 0;
    for (std::uint64_t seed = options.seed; seed < options.seed + seeds; ++seed) try {
            broken += !play(optionsOf(options, seed, fixed || calm, !noLimits));
        } catch (const std::exception& e) {
            std::fprintf(stderr, "spokewheel-soak: seed %llu: %s\n", static_cast<unsigned long long>(seed),
                         e.what());
            return 2;
        }
    std::printf("%llu seeds, %llu broke a rule\n", static_cast<unsigned long long>(seeds),
                static_cast<unsigned long long>(broken));
    return broken == 0 ? 0 : 1;
}
