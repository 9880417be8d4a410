// spokewheel-soak: runs soak tests over a range of seeds and reports the results. Exits with 1 if a rule was
// violated, and with 2 if a run could not be carried out.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <string>

#include "kit/soak/answer_fault_injector.hpp"
#include "kit/soak/limit_scenario.hpp"
#include "kit/soak/soak.hpp"

namespace {

namespace soak = spokewheel::soak;

// The options of the run of one seed: its own settings, busy volumes at their limits and, for some seeds,
// connection floods, busy clients or unsound answers.
soak::Options optionsOf(const soak::Options& options, std::uint64_t seed, bool fixed, bool limits) {
    soak::Options out = options;
    out.seed = seed;
    out.folder = options.folder + "/seed-" + std::to_string(seed);
    if (fixed) return out;
    out.settings = soak::drawSettings(seed);
    out.unsoundAnswers = out.unsoundAnswers || seed % 10 == 1;
    if (out.unsoundAnswers) soak::setUpForUnsoundAnswers(out);
    if (limits) soak::drawLimitScenario(out.settings, seed, out.schedulers);
    out.connectionFloods = out.connectionFloods || seed % 3 == 0;
    out.busyClients = out.busyClients || seed % 5 == 2 || seed % 5 == 4;
    return out;
}

// Runs one seed; true if no rule was violated. Otherwise its folder keeps the record, the report and the
// logs.
bool runSeed(const soak::Options& options) {
    std::filesystem::remove_all(options.folder);
    std::filesystem::create_directories(options.folder);
    const auto result = soak::run(options);
    auto report = soak::report(result, options);
    const bool passed = result.violations.empty();
    if (passed) std::filesystem::remove_all(options.folder);
    else {
        report += "  record, report and logs are in " + options.folder + "\n";
        std::ofstream(options.folder + "/record.txt") << soak::recordText(result);
        std::ofstream(options.folder + "/report.txt") << report;
    }
    std::fputs(report.c_str(), stdout);
    std::fflush(stdout);
    return passed;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"spokewheel-soak: tests real schedulers under overlapping faults and checks their traffic"};
    soak::Options options;
    std::uint64_t seeds = 1;
    bool noFaults = false, fixed = false, noLimits = false;
    app.add_option("--scheduler", options.schedulerBinary, "path of the daemon")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--shim", options.shimLibrary, "path of the fault shim")->check(CLI::ExistingFile);
    app.add_option("--folder", options.folder,
                   "for configurations, and for the records of seeds that violated a rule")
        ->required();
    app.add_option("--seconds", options.seconds, "duration of each run")->check(CLI::Range(1.0, 3600.0));
    app.add_option("--seed", options.seed, "the first seed");
    app.add_option("--seeds", seeds, "number of seeds")->check(CLI::Range(1, 10000));
    app.add_option("--schedulers", options.schedulers, "processes")->check(CLI::Range(1, 64));
    app.add_option("--servers", options.servers, "disk servers")->check(CLI::Range(1, 64));
    app.add_option("--rate", options.requestsPerSecond, "requests per second to each scheduler")
        ->check(CLI::Range(0.1, 1000.0));
    app.add_flag("--calm", noFaults, "inject no faults");
    app.add_flag("--fixed", fixed,
                 "the same settings for every seed, and connection floods only with --crowds");
    app.add_flag("--no-limits", noLimits, "no busy volumes at their limits");
    app.add_flag("--crowds", options.connectionFloods,
                 "inject floods of idle connections that use up the descriptors");
    app.add_flag("--busy-clients", options.busyClients,
                 "clients that send much at once, or what is not sound");
    app.add_flag("--unsound-answers", options.unsoundAnswers,
                 "answers that come twice or never end, and clients that read long ones slowly");
    app.add_option("--members", options.extraMembers, "listed servers that no request uses")
        ->check(CLI::Range(0, 10000));
    app.add_option("--churn", options.churnPerSecond, "of those, replaced per second")
        ->check(CLI::Range(0.0, 1000.0));
    CLI11_PARSE(app, argc, argv);
    options.injectFaults = !noFaults;
    std::uint64_t failed = 0;
    for (std::uint64_t seed = options.seed; seed < options.seed + seeds; ++seed) try {
            failed += !runSeed(optionsOf(options, seed, fixed || noFaults, !noLimits));
        } catch (const std::exception& error) {
            std::fprintf(stderr, "spokewheel-soak: seed %llu: %s\n", static_cast<unsigned long long>(seed),
                         error.what());
            return 2;
        }
    std::printf("%llu seeds, %llu violated a rule\n", static_cast<unsigned long long>(seeds),
                static_cast<unsigned long long>(failed));
    return failed == 0 ? 0 : 1;
}
