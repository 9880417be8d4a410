// Assembles a platform scheduler from its configuration: HTTP server, host, node connections, peer messages
// and the watch on the node list. Wiring only; decisions are made in the decide_*.hpp headers.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "fronts/http/server.hpp"
#include "host/host.hpp"
#include "host/memory_budget.hpp"
#include "log/log.hpp"
#include "nodes/node_client.hpp"
#include "peers/plain_link.hpp"
#include "platform/change_announcer.hpp"
#include "platform/configuration.hpp"
#include "platform/life_signs.hpp"
#include "platform/startup_node_list.hpp"
#include "registry/endpoint_watcher.hpp"
#include "registry/node_table.hpp"

namespace spokewheel::platform {

class PlatformDaemon {
  public:
    // Throws std::runtime_error or std::invalid_argument if it can't start.
    PlatformDaemon(std::string file, Environment environment, io::Loop& loop);
    ~PlatformDaemon();
    // Reads the configuration again and applies a changed discovery address. An invalid file is logged and
    // changes nothing.
    void reload();
    // First call: shuts down as planned in decide_stop.hpp, then stops the loop. Second call: stops as soon
    // as all open requests are answered.
    void stop();
    const invariants::Monitor& monitor() const { return host_->monitor(); }
    const host::MemoryBudget& memory() const { return memory_; }

  private:
    void startWatch();
    void startPeerLink();
    void onAgentAnswered();
    void onConfirmed(registry::Endpoints list);
    void becomeReady(const char* why);
    void applyConfiguredList();
    void onEndpoints(registry::Endpoints list, ListForm form);
    void onPeerDatagram(int from, std::string bytes);
    void onNotice(int from, const std::vector<wire::peer::ChangedNode>& nodes);
    void announce(const std::vector<wire::peer::ChangedNode>& news);
    void startLifeSigns(std::vector<int> witnesses, const StartupNodeList::Callbacks& callbacks);
    void passOn(registry::NodeTable::Change change);
    void tryReload();
    void drain();
    void reportCounters();

    std::string file_;
    Environment environment_;
    io::Loop& loop_;
    Configuration configuration_;
    log::Log log_;
    registry::NodeTable nodeTable_;
    double startedAt_ = io::nowMs();
    host::MemoryBudget memory_;  // of requests and their answers
    std::unique_ptr<nodes::NodeClient> nodes_;
    std::unique_ptr<host::Host> host_;
    std::unique_ptr<peers::PlainLink> peers_;
    std::unique_ptr<ChangeAnnouncer> announcer_;  // null without messages to peers
    std::unique_ptr<LifeSigns> lifeSigns_;        // likewise
    std::unique_ptr<StartupNodeList> startupList_;
    std::optional<double> agentContactAt_;  // when the current list service last sent something
    std::unique_ptr<registry::EndpointWatcher> watch_;
    io::Timer readyTimer_, counterTimer_, closeTimer_, listenTimer_, reloadTimer_;
    double reloadRetryUntil_ = 0;  // on io::nowMs(); until then an unreadable configuration is read again
    std::unique_ptr<fronts::http::Server> server_;
    bool readyAnnounced_ = false, configuredListApplied_ = false, stopping_ = false;
};

// Creates a daemon. While it can't listen, blocks and tries again for as long as decide_start.hpp says; then
// throws as the constructor does.
std::unique_ptr<PlatformDaemon> startPlatform(const std::string& file, const Environment& environment,
                                              io::Loop& loop);

}  // namespace spokewheel::platform
