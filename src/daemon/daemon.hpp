// One gateway host assembled from its settings and sockets. Wiring only; no decisions are made here.
#pragma once

#include <memory>

#include "catalogue/catalogue.hpp"
#include "config/settings.hpp"
#include "fronts/request_pacer.hpp"
#include "fronts/rsync/server.hpp"
#include "fronts/store.hpp"
#include "host/host.hpp"
#include "log/log.hpp"
#include "nodes/change_feed_reader.hpp"
#include "nodes/node_client.hpp"
#include "peers/peer_link.hpp"
#include "registry/decide_start_times.hpp"
#include "registry/node_list_file.hpp"
#include "registry/node_list_poller.hpp"

namespace spokewheel {

class Daemon {
  public:
    // Throws std::runtime_error or std::invalid_argument if the daemon cannot start.
    Daemon(config::DaemonSettings settings, io::Loop& loop);
    // First call: accepts no new sessions, completes the open ones, then stops the loop. Second call: stops
    // at once.
    void stop();
    int rsyncPort() const { return rsync_->port(); }

  private:
    void onList(ListUpdate update);
    void finish();
    void logPulse();

    config::DaemonSettings settings_;
    io::Loop& loop_;
    log::Log log_;
    host::MemoryBudget memory_;
    catalogue::Catalogue catalogue_;
    nodes::NodeClient nodes_;
    std::unique_ptr<host::Host> host_;
    std::unique_ptr<nodes::ChangeFeedReader> feed_;
    std::unique_ptr<peers::PeerLink> peers_;
    std::unique_ptr<fronts::Store> store_;
    std::unique_ptr<fronts::RequestPacer> patience_;
    std::unique_ptr<fronts::rsync::Context> context_;
    std::unique_ptr<fronts::rsync::Server> rsync_;
    registry::StartTimes starts_{registry::PollState::kBlockMs + registry::PollState::kAnswerGraceMs};
    std::unique_ptr<registry::NodeListFile> listFile_;
    std::unique_ptr<registry::NodeListPoller> listPoller_;
    io::Timer stopTimer_, pulseTimer_;
    double stoppingSince_ = -1;
};

}  // namespace spokewheel
