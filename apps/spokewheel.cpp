// The command: subcommands for operators. Argument parsing and wiring only.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>

#include "config/settings.hpp"
#include "kit/bad_day.hpp"

namespace {

int check(const std::string& file) {
    spokewheel::config::Mistakes mistakes;
    const auto settings = spokewheel::config::readSettings(file, mistakes);
    if (mistakes.empty() && !settings.nodesFile.empty())
        spokewheel::config::readNodeList(settings.nodesFile, mistakes);
    for (const auto& m : mistakes) std::fprintf(stderr, "%s\n", m.text().c_str());
    if (!mistakes.empty()) {
        std::fprintf(stderr, "%zu mistake%s\n", mistakes.size(), mistakes.size() == 1 ? "" : "s");
        return 1;
    }
    std::printf("%s: fine (%zu volumes, %zu plans, %zu classes)\n", file.c_str(), settings.volumes.size(),
                settings.module.plans.size(), settings.module.classes.size());
    return 0;
}

int playBadDay(const std::string& script, std::uint64_t seed, int rounds, const std::string& bin) {
    spokewheel::config::Mistakes mistakes;
    spokewheel::kit::BadDaySettings s;
    s.bin = bin;
    s.script = spokewheel::kit::readScript(script, mistakes);
    for (const auto& m : mistakes) std::fprintf(stderr, "%s\n", m.text().c_str());
    if (!mistakes.empty()) return 2;
    const auto name = "spokewheel-bad-day-" + std::to_string(getpid());
    s.directory = (std::filesystem::temp_directory_path() / name).string();
    s.seed = seed;
    s.rounds = rounds;
    s.progress = [](const std::string& words) {
        std::printf("  %s\n", words.c_str());
        std::fflush(stdout);
    };
    const auto r = spokewheel::kit::badDay(s);
    std::printf("%s", spokewheel::kit::tell(r.verdicts, r.fromUs).c_str());
    std::printf("uploads %zu of %zu fine, downloads %zu of %zu, single reads %zu of %zu; wrong files %zu\n",
                r.pushesFine, r.pushes, r.pullsFine, r.pulls, r.fetchesFine, r.fetches, r.halfFiles);
    if (!r.fault.empty()) std::printf("not judged: %s\n", r.fault.c_str());
    return r.fault.empty() && r.halfFiles == 0 && !spokewheel::kit::anyBroken(r.verdicts) ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"spokewheel: tools of the storage gateway"};
    app.set_version_flag("--version", SPOKEWHEEL_VERSION);
    app.require_subcommand(1);
    std::string file;
    auto* checking = app.add_subcommand("check", "reads settings and the node list, and tells every mistake");
    checking->add_option("file", file, "settings (YAML)")->required();
    std::uint64_t seed = 1;
    int rounds = 1;
    auto* badDay = app.add_subcommand("bad-day", "plays a script on a fleet and judges it by the traffic");
    std::string script;
    badDay->add_option("script", script, "what happens (YAML; kit/scripts has some)")->required();
    badDay->add_option("--seed", seed);
    badDay->add_option("--rounds", rounds, "how often the script is played")->check(CLI::Range(1, 100));
    CLI11_PARSE(app, argc, argv);
    if (!*badDay) return check(file);
    try {
        return playBadDay(script, seed, rounds,
                          std::filesystem::read_symlink("/proc/self/exe").parent_path().string());
    } catch (const std::exception& e) {
        std::fprintf(stderr, "spokewheel: %s\n", e.what());
        return 1;
    }
}
