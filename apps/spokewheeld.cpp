// The daemon: one gateway host. Argument parsing and wiring only.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "config/settings.hpp"
#include "daemon/daemon.hpp"

int main(int argc, char** argv) {
    CLI::App app{"spokewheeld: a storage gateway host"};
    std::string file;
    app.add_option("--config", file, "settings (YAML)")->required();
    app.set_version_flag("--version", SPOKEWHEEL_VERSION);
    CLI11_PARSE(app, argc, argv);

    spokewheel::config::Mistakes mistakes;
    auto settings = spokewheel::config::readSettings(file, mistakes);
    for (const auto& m : mistakes) std::fprintf(stderr, "%s\n", m.text().c_str());
    if (!mistakes.empty()) return 2;
    std::signal(SIGPIPE, SIG_IGN);
    try {
        spokewheel::io::Loop loop;
        spokewheel::Daemon daemon(std::move(settings), loop);
        loop.onSignal(SIGTERM, [&daemon] { daemon.stop(); });
        loop.onSignal(SIGINT, [&daemon] { daemon.stop(); });
        loop.run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "spokewheeld: %s\n", e.what());
        return 1;
    }
    return 0;
}
