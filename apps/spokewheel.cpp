// The command: subcommands for operators. Argument parsing and wiring only.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "config/settings.hpp"

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

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"spokewheel: tools of the storage gateway"};
    app.set_version_flag("--version", SPOKEWHEEL_VERSION);
    app.require_subcommand(1);
    std::string file;
    auto* checking = app.add_subcommand("check", "reads settings and the node list, and tells every mistake");
    checking->add_option("file", file, "settings (YAML)")->required();
    CLI11_PARSE(app, argc, argv);
    return check(file);
}
