// One scheduler of the platform put together: configuration in, sockets out. Wiring only; nothing here
// decides.
#pragma once

#include <memory>
#include <string>

#include "fronts/http/server.hpp"
#include "host/host.hpp"
#include "log/log.hpp"
#include "nodes/node_client.hpp"
#include "peers/plain_link.hpp"
#include "platform/configuration.hpp"
#include "platform/start_list.hpp"
#include "registry/endpoint_watcher.hpp"
#include "registry/node_table.hpp"

namespace spokewheel::platform {

class PlatformDaemon {
  public:
    // Throws std::runtime_error or std::invalid_argument where it can't start.
    PlatformDaemon(std::string file, Environment environment, io::Loop& loop);
    ~PlatformDaemon();
    // The configuration was replaced: read whole; a bad one is told and changes nothing.
    void reload();
    // First call: goes on as decide_stop.hpp tells, then the loop stops. Second: ends as soon as all that is
    // open has its answer.
    void stop();
    const invariants::Monitor& monitor() const { return host_->monitor(); }

  private:
    void follow();
    void raisePeers();
    void onHeard();
    void onConfirmed(registry::Endpoints list);
    void begin(const char* why);
    void recall();
    void onEndpoints(registry::Endpoints list, ListForm form);
    void readAgain();
    void drain();
    void pulse();

    std::string file_;
    Environment environment_;
    io::Loop& loop_;
    Configuration configuration_;
    log::Log log_;
    registry::NodeTable book_;
    double startedAt_ = io::nowMs();
    std::unique_ptr<nodes::NodeClient> nodes_;
    std::unique_ptr<host::Host> host_;
    std::unique_ptr<peers::PlainLink> peers_;
    std::unique_ptr<StartList> startList_;
    std::unique_ptr<registry::EndpointWatcher> watch_;
    io::Timer startTimer_, pulseTimer_, stopTimer_, listenTimer_, reloadTimer_;
    double reloadUntil_ = 0;  // while a configuration that could not be read is read again
    std::unique_ptr<fronts::http::Server> server_;
    bool begun_ = false, recalled_ = false, stopping_ = false;
};

// Makes one, waiting as decide_start.hpp says where it can't listen yet. Blocks; nothing runs yet. Throws as
// the constructor does.
std::unique_ptr<PlatformDaemon> startPlatform(const std::string& file, const Environment& environment,
                                              io::Loop& loop);

}  // namespace spokewheel::platform
