// The daemon: runs one gateway host, or one scheduler of the platform. Parses arguments only.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>

#include "config/settings.hpp"
#include "daemon/daemon.hpp"
#include "log/log.hpp"
#include "platform/platform_daemon.hpp"

namespace {

std::string fromEnvironment(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

// Writes a line with the cause before an uncaught exception ends the process.
[[noreturn]] void reportAndAbort() {
    const char* cause = "no exception";
    std::string text;
    try {
        if (const auto current = std::current_exception()) std::rethrow_exception(current);
    } catch (const std::exception& error) {
        text = error.what();
        cause = text.c_str();
    } catch (...) {
        cause = "an exception of another type";
    }
    std::fprintf(stderr, "{\"level\":\"error\",\"event\":\"terminated\",\"words\":%s}\n",
                 spokewheel::log::Log::quoted(cause).c_str());
    std::abort();
}

int runPlatform() {
    spokewheel::io::Loop loop;
    std::unique_ptr<spokewheel::platform::PlatformDaemon> daemon;
    // Installed first, so that a signal during start-up is queued for the loop instead of ending the process.
    loop.onSignal(SIGTERM, [&daemon] { daemon->stop(); });
    loop.onSignal(SIGINT, [&daemon] { daemon->stop(); });
    loop.onSignal(SIGHUP, [&daemon] { daemon->reload(); });
    daemon = spokewheel::platform::startPlatform(
        fromEnvironment("LB_CONFIG"),
        {fromEnvironment("LB_NAME"), fromEnvironment("LB_LISTEN"), fromEnvironment("LB_DISCOVERY"),
         !fromEnvironment("SPOKEWHEEL_TRACE").empty()},
        loop);
    loop.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"spokewheeld: a storage gateway host"};
    std::string file;
    bool platform = false;
    auto* config = app.add_option("--config", file, "settings (YAML)");
    app.add_flag("--platform", platform, "run as a scheduler of the platform, configured by LB_CONFIG")
        ->excludes(config);
    app.set_version_flag("--version", SPOKEWHEEL_VERSION);
    CLI11_PARSE(app, argc, argv);

    std::signal(SIGPIPE, SIG_IGN);
    std::set_terminate(reportAndAbort);
    if (platform) try {
            return runPlatform();
        } catch (const std::exception& e) {
            std::fprintf(stderr, "spokewheeld: %s\n", e.what());
            return 2;
        }
    if (file.empty()) {
        std::fprintf(stderr, "spokewheeld: either --config FILE or --platform is required\n");
        return 2;
    }
    spokewheel::config::ConfigErrors errors;
    auto settings = spokewheel::config::readSettings(file, errors);
    for (const auto& e : errors) std::fprintf(stderr, "%s\n", e.text().c_str());
    if (!errors.empty()) return 2;
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
