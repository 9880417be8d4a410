// The stand-ins as programs. Argument parsing and wiring only.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "standins/registry.hpp"
#include "standins/storage_node.hpp"

int main(int argc, char** argv) {
    CLI::App app{"spokewheel-standin: stand-ins for what the gateway talks to"};
    app.require_subcommand(1);
    auto* node = app.add_subcommand("node", "a storage node");
    std::string listen = "127.0.0.1:0", control = "127.0.0.1:0", portFile;
    spokewheel::standins::NodeSettings s;
    double lifeS = 3600;
    auto* registry = app.add_subcommand("registry", "the node list over HTTP");
    for (auto* each : {node, registry}) {
        each->add_option("--listen", listen, "address and port; port 0 takes a free one");
        each->add_option("--control", control, "address and port for faults and counts");
        each->add_option("--port-file", portFile, "written with both ports once it listens");
        each->add_option("--life-s", lifeS, "ends by itself after this");
    }
    node->add_option("--data", s.directory, "directory of the store")->required();
    node->add_option("--trace", s.trace, "file for a record of each happening");
    node->add_option("--cores", s.cores)->check(CLI::Range(1, 1024));
    node->add_option("--queue", s.queue)->check(CLI::Range(0, 1000000));
    node->add_option("--base-ms", s.baseMs);
    node->add_option("--per-mib-ms", s.perMiBMs);
    node->add_option("--cold-ms", s.coldMs);
    node->add_option("--cold-share", s.coldShare)->check(CLI::Range(0.01, 1.0));
    node->add_option("--defer-share", s.deferShare)->check(CLI::Range(0.0, 1.0));
    node->add_option("--defer-every-ms", s.deferEveryMs);
    node->add_option("--meter", s.meter.directory, "directory that nodes share for the usage they tell");
    node->add_option("--meter-ms", s.meter.periodMs, "a period of it")->check(CLI::Range(10.0, 3.6e6));
    std::vector<std::string> nominal;
    node->add_option("--nominal", nominal, "VOLUME=UNITS a second: what its usage is a part of");
    CLI11_PARSE(app, argc, argv);
    for (const auto& one : nominal) {
        long long volume = 0;
        double units = 0;
        if (std::sscanf(one.c_str(), "%lld=%lf", &volume, &units) != 2 || volume < 0 || units <= 0) {
            std::fprintf(stderr, "--nominal %s: is not VOLUME=UNITS\n", one.c_str());
            return 2;
        }
        s.meter.nominal[volume] = units;
    }

    using spokewheel::io::Address;
    Address at, controlAt;
    if (!spokewheel::io::parseAddress(listen, at, true) ||
        !spokewheel::io::parseAddress(control, controlAt, true)) {
        std::fprintf(stderr, "only loopback addresses with a port\n");
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
        spokewheel::io::Timer life;
        life.arm(lifeS * 1000, [&loop] { loop.stop(); });
        loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
        loop.onSignal(SIGINT, [&loop] { loop.stop(); });
        loop.run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "spokewheel-standin: %s\n", e.what());
        return 1;
    }
    return 0;
}
