// The stand-in storage node and registry as a program. Parses arguments only.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "standins/registry.hpp"
#include "standins/storage_node.hpp"

int main(int argc, char** argv) {
    CLI::App app{"spokewheel-standin: stand-ins for a storage node and the registry"};
    app.require_subcommand(1);
    auto* node = app.add_subcommand("node", "a storage node");
    std::string listen = "127.0.0.1:0", control = "127.0.0.1:0", portFile;
    spokewheel::standins::NodeSettings s;
    double lifeS = 3600;
    auto* registry = app.add_subcommand("registry", "the node list over HTTP");
    for (auto* command : {node, registry}) {
        command->add_option("--listen", listen, "address and port; port 0 selects a free port");
        command->add_option("--control", control, "address and port for fault injection and counters");
        command->add_option("--port-file", portFile, "file to write both ports to once it listens");
        command->add_option("--life-s", lifeS, "exits after this many seconds");
    }
    node->add_option("--data", s.directory, "directory for the stored objects")->required();
    node->add_option("--trace", s.trace, "file for a trace of all events");
    node->add_option("--cores", s.cores)->check(CLI::Range(1, 1024));
    node->add_option("--queue", s.queue)->check(CLI::Range(0, 1000000));
    node->add_option("--base-ms", s.baseMs);
    node->add_option("--per-mib-ms", s.perMiBMs);
    node->add_option("--cold-ms", s.coldMs);
    node->add_option("--cold-share", s.coldShare)->check(CLI::Range(0.01, 1.0));
    node->add_option("--defer-share", s.deferShare)->check(CLI::Range(0.0, 1.0));
    node->add_option("--defer-every-ms", s.deferEveryMs);
    node->add_option("--meter", s.meter.directory, "directory through which nodes share their usage");
    node->add_option("--meter-ms", s.meter.periodMs, "usage period in ms")->check(CLI::Range(10.0, 3.6e6));
    std::vector<std::string> nominal;
    node->add_option("--nominal", nominal, "VOLUME=UNITS: units per second that count as full usage");
    CLI11_PARSE(app, argc, argv);
    for (const auto& one : nominal) {
        long long volume = 0;
        double units = 0;
        if (std::sscanf(one.c_str(), "%lld=%lf", &volume, &units) != 2 || volume < 0 || units <= 0) {
            std::fprintf(stderr, "--nominal %s: expected VOLUME=UNITS\n", one.c_str());
            return 2;
        }
        s.meter.nominal[volume] = units;
    }

    using spokewheel::io::Address;
    Address at, controlAt;
    if (!spokewheel::io::parseAddress(listen, at, true) ||
        !spokewheel::io::parseAddress(control, controlAt, true)) {
        std::fprintf(stderr, "--listen and --control must be loopback addresses with a port\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        spokewheel::io::Loop loop;
        std::unique_ptr<spokewheel::standins::StorageNode> store;
        std::unique_ptr<spokewheel::standins::Registry> list;
        if (*registry) list = std::make_unique<spokewheel::standins::Registry>(at, controlAt);
        else store = std::make_unique<spokewheel::standins::StorageNode>(at, controlAt, s);
        if (!portFile.empty()) {
            std::FILE* f = std::fopen((portFile + ".new").c_str(), "w");
            if (!f) throw std::runtime_error("cannot write " + portFile);
            std::fprintf(f, "%d %d\n", store ? store->port() : list->port(),
                         store ? store->controlPort() : list->controlPort());
            std::fclose(f);
            std::rename((portFile + ".new").c_str(), portFile.c_str());
        }
        spokewheel::io::Timer lifeTimer;
        lifeTimer.arm(lifeS * 1000, [&loop] { loop.stop(); });
        loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
        loop.onSignal(SIGINT, [&loop] { loop.stop(); });
        loop.run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "spokewheel-standin: %s\n", e.what());
        return 1;
    }
    return 0;
}
