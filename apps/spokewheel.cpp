// The command-line tool for operators. Parses arguments and runs the subcommands.
#include <sys/stat.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <sstream>

#include "config/settings.hpp"
#include "kit/bad_day.hpp"
#include "kit/matrix.hpp"

namespace {

int check(const std::string& file) {
    spokewheel::config::ConfigErrors errors;
    const auto settings = spokewheel::config::readSettings(file, errors);
    if (errors.empty() && !settings.nodesFile.empty())
        spokewheel::config::readNodeList(settings.nodesFile, errors);
    for (const auto& e : errors) std::fprintf(stderr, "%s\n", e.text().c_str());
    if (!errors.empty()) {
        std::fprintf(stderr, "%zu error%s\n", errors.size(), errors.size() == 1 ? "" : "s");
        return 1;
    }
    std::printf("%s: valid (%zu volumes, %zu plans, %zu classes)\n", file.c_str(), settings.volumes.size(),
                settings.module.plans.size(), settings.module.classes.size());
    return 0;
}

int runBadDay(const std::string& script, std::uint64_t seed, int rounds, const std::string& bin) {
    spokewheel::config::ConfigErrors errors;
    spokewheel::kit::BadDaySettings settings;
    settings.bin = bin;
    settings.script = spokewheel::kit::readFaultScript(script, errors);
    for (const auto& e : errors) std::fprintf(stderr, "%s\n", e.text().c_str());
    if (!errors.empty()) return 2;
    const auto name = "spokewheel-bad-day-" + std::to_string(getpid());
    settings.directory = (std::filesystem::temp_directory_path() / name).string();
    settings.seed = seed;
    settings.rounds = rounds;
    settings.progress = [](const std::string& message) {
        std::printf("  %s\n", message.c_str());
        std::fflush(stdout);
    };
    const auto result = spokewheel::kit::runBadDay(settings);
    std::printf("%s", spokewheel::kit::formatResults(result.rules, result.startUs).c_str());
    std::printf(
        "uploads: %zu of %zu ok, downloads: %zu of %zu, single reads: %zu of %zu; files with wrong content: "
        "%zu\n",
        result.uploadsOk, result.uploads, result.downloadsOk, result.downloads, result.singleReadsOk,
        result.singleReads, result.filesWithWrongContent);
    if (!result.error.empty()) std::printf("records incomplete: %s\n", result.error.c_str());
    return result.error.empty() && result.filesWithWrongContent == 0 &&
                   !spokewheel::kit::anyViolated(result.rules)
               ? 0
               : 1;
}

struct MatrixArguments {
    std::uint64_t seed = 1;
    std::size_t rounds = 0, entries = 0;
    std::string options;
    bool push = false, filesFrom = false, relative = false, oneMix = false;
};

int runMatrix(const MatrixArguments& a, const std::string& bin) {
    namespace kit = spokewheel::kit;
    umask(022);
    const auto directory =
        (std::filesystem::temp_directory_path() / ("spokewheel-matrix-" + std::to_string(getpid()))).string();
    kit::Fleet fleet(bin, directory);
    for (int n = 0; n < 3; ++n) fleet.startNode(n, {n, {}});
    fleet.writeNodeList();
    kit::HostOptions quiet;
    quiet.logLevel = "info";
    fleet.startHost(0, 1, quiet);
    kit::OptionMatrix matrix(fleet, directory + "/trees");
    const auto print = [](const std::string& message) {
        std::printf("%s\n", message.c_str());
        std::fflush(stdout);
    };
    if (a.oneMix) {
        kit::OptionMix mix;
        mix.seed = a.seed;
        mix.entries = a.entries;
        mix.push = a.push;
        mix.filesFrom = a.filesFrom;
        if (a.relative) mix.relative = "*";
        std::istringstream parts(a.options);
        for (std::string o; std::getline(parts, o, '|');) mix.options.push_back(o);
        bool known = false, hung = false;
        const auto difference = matrix.compare(mix, known, hung);
        print(!difference.empty() ? "differs: " + difference
              : known             ? "differs as listed in the table of known differences"
                                  : "same result");
        return difference.empty() ? 0 : 1;
    }
    const auto result = matrix.run(a.seed, a.rounds, print);
    std::printf(
        "run: %zu, same result: %zu, known differences: %zu, unexpected differences: %zu, hung: %zu\n",
        result.mixes, result.same, result.known, result.differences.size(), result.hung);
    return result.differences.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"spokewheel: tools of the storage gateway"};
    app.set_version_flag("--version", SPOKEWHEEL_VERSION);
    app.require_subcommand(1);
    std::string file;
    auto* checkCommand =
        app.add_subcommand("check", "checks the settings and the node list and reports all errors");
    checkCommand->add_option("file", file, "settings (YAML)")->required();
    std::uint64_t seed = 1;
    int rounds = 1;
    auto* badDay = app.add_subcommand(
        "bad-day", "runs a fault script against a fleet and evaluates the recorded traffic");
    std::string script;
    badDay->add_option("script", script, "fault script (YAML; see kit/scripts)")->required();
    badDay->add_option("--seed", seed);
    badDay->add_option("--rounds", rounds, "how often to run the script")->check(CLI::Range(1, 100));
    MatrixArguments m;
    auto* matrix = app.add_subcommand(
        "matrix", "compares random option mixes of the rsync client through the gateway with local copies");
    matrix->add_option("--seed", m.seed);
    matrix->add_option("--rounds", m.rounds, "number of mixes")
        ->default_val(200)
        ->check(CLI::Range(1, 100000));
    auto* options = matrix->add_option("--options", m.options, "run only this mix: options separated by '|'");
    matrix->add_option("--entries", m.entries, "single mix: maximum number of entries in the tree")
        ->default_val(24);
    matrix->add_flag("--push,!--pull", m.push, "single mix: direction");
    matrix->add_flag("--files-from", m.filesFrom, "single mix");
    matrix->add_flag("--relative", m.relative, "single mix");
    CLI11_PARSE(app, argc, argv);
    m.oneMix = !options->empty();
    if (*checkCommand) return check(file);
    try {
        const auto bin = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
        return *matrix ? runMatrix(m, bin) : runBadDay(script, seed, rounds, bin);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "spokewheel: %s\n", e.what());
        return 1;
    }
}
