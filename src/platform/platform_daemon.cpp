#include "platform/platform_daemon.hpp"

#include <limits>
#include <stdexcept>
#include <utility>

#include "platform/decide_budget.hpp"
#include "platform/decide_reload.hpp"
#include "platform/decide_start.hpp"
#include "platform/decide_stop.hpp"
#include "platform/dialect.hpp"
#include "platform/report.hpp"

namespace spokewheel::platform {

using log::Level;

namespace {

constexpr double kCounterLogIntervalMs = 10000;

// Throws std::runtime_error naming the file and the setting if the settings are inconsistent.
std::unique_ptr<host::Host> createHost(const std::string& file, const Configuration& configuration,
                                       host::Host::Dependencies dependencies) {
    // All requests wait in the scheduling module; their number is bounded by the connections.
    constexpr auto kUnlimited = std::numeric_limits<std::size_t>::max();
    try {
        return std::make_unique<host::Host>(configuration.schedulerSettings, configuration.seed, kUnlimited,
                                            std::move(dependencies));
    } catch (const std::invalid_argument& error) {
        throw std::runtime_error(file + ": settings: " + error.what());
    }
}

}  // namespace

PlatformDaemon::PlatformDaemon(std::string file, Environment environment, io::Loop& loop)
    : file_(std::move(file)),
      environment_(std::move(environment)),
      loop_(loop),
      configuration_(readConfiguration(file_, environment_)),
      log_("", "info", configuration_.name),
      memory_(requestMemory(configuration_.sockets, configuration_.memoryMb)) {
    const auto& c = configuration_;
    nodes_ =
        std::make_unique<nodes::NodeClient>(poolLimits(c.sockets, c.connIdleMs, c.dialTimeoutMs),
                                            platformDialect(
                                                [this](const std::string& node, io::Address& out) {
                                                    const auto* address = nodeTable_.address(node);
                                                    return address && io::parseNumericAddress(*address, out);
                                                },
                                                true),
                                            &memory_);
    host::Host::Dependencies dependencies;
    dependencies.nodes = nodes_.get();
    dependencies.sendToPeers = [this](int to, const std::string& bytes) {
        if (peers_) peers_->send(to, bytes);
    };
    if (environment_.trace)
        dependencies.logEvent = [this](const char* event, const std::string& request, const std::string& node,
                                       const std::string& words) {
            log_.event(Level::Info, event, {{"request", request}, {"node", node}, {"words", words}},
                       io::nowMs());
        };
    dependencies.onRequestNote = [this](const host::RequestNote& note) { logRequestNote(log_, note); };
    dependencies.onLimitAccount = [this](const LimitAccount& account) { logLimitAccount(log_, account); };
    host_ = createHost(file_, c, std::move(dependencies));
    startPeerLink();
    host_->monitor().reportTo(
        [this](invariants::Violation violation, const std::string& request, const std::string& detail) {
            log_.event(Level::Error, "invariant_violated",
                       {{"kind", nameOf(violation)}, {"request", request}, {"words", detail}}, io::nowMs());
        });
    server_ = std::make_unique<fronts::http::Server>(*host_, configuration_.schedulerSettings, c.listen,
                                                     c.sockets, memory_);
    server_->onClose([this](const fronts::http::Server::ClosedConnection& closed) {
        logClosedConnection(log_, closed, environment_.trace);
    });
    server_->onRejected([this](const fronts::http::Server::RejectedRequest& rejected) {
        logRejectedRequest(log_, rejected);
    });
    startWatch();
    readyTimer_.arm(kReadyDeadlineMs, [this] { becomeReady("not heard"); });
    log_.event(Level::Info, "started",
               {{"listen", c.listen.text()},
                {"sockets", std::to_string(c.sockets)},
                {"conn_idle_ms", std::to_string(c.connIdleMs)},
                {"nodes", std::to_string(c.known.entries.size())}},
               io::nowMs());
    counterTimer_.arm(kCounterLogIntervalMs, [this] { reportCounters(); });
}

PlatformDaemon::~PlatformDaemon() = default;

void PlatformDaemon::startPeerLink() {
    const auto& c = configuration_;
    StartupNodeList::Callbacks callbacks;
    callbacks.onConfirmed = [this](registry::Endpoints list) { onConfirmed(std::move(list)); };
    if (c.schedulerSettings.maySendToPeers && c.peerListen.port > 0) {
        peers_ = std::make_unique<peers::PlainLink>(
            c.schedulerSettings.rank, c.peerListen, c.peers, c.peersAll,
            [this](int from, std::string bytes) { onPeerDatagram(from, std::move(bytes)); });
        callbacks.sendToPeer = [this](int rank, const std::string& bytes) { peers_->send(rank, bytes); };
        const auto witnesses =
            registry::witnessesOf(c.schedulerSettings.rank, static_cast<int>(c.peers.size()));
        announcer_ = std::make_unique<ChangeAnnouncer>(witnesses, callbacks.sendToPeer);
        startLifeSigns(witnesses, callbacks);
    }
    startupList_ =
        std::make_unique<StartupNodeList>(configuration_.known, nodeTable_, static_cast<int>(c.peers.size()),
                                          c.schedulerSettings.rank, c.seed, std::move(callbacks));
}

void PlatformDaemon::startLifeSigns(std::vector<int> witnesses, const StartupNodeList::Callbacks& callbacks) {
    LifeSigns::Callbacks own;
    own.sendToPeer = callbacks.sendToPeer;
    own.ownListService = [this] {
        return registry::OwnListService{agentContactAt_,
                                        watch_ ? watch_->unansweredSince() : std::optional<double>(),
                                        nodeTable_.revision()};
    };
    own.askListService = [this] { watch_->check(); };
    own.onDecided = [this](int rank, registry::VouchRefusal refusal) {
        const bool vouched = refusal == registry::VouchRefusal::None;
        log_.event(Level::Info, vouched ? "peer_vouched_for" : "peer_not_vouched_for",
                   {{"peer", std::to_string(rank)}, {"reason", nameOf(refusal)}}, io::nowMs());
    };
    lifeSigns_ = std::make_unique<LifeSigns>(std::move(witnesses), std::move(own));
}

void PlatformDaemon::onPeerDatagram(int from, std::string bytes) {
    if (const auto notice = wire::peer::readNotice(bytes)) return onNotice(from, *notice);
    if (lifeSigns_->onPeerMessage(from, bytes) || startupList_->onPeerMessage(from, bytes)) return;
    host_->onPeerMessage(from, std::move(bytes));
}

void PlatformDaemon::startWatch() {
    watch_ = std::make_unique<registry::EndpointWatcher>(
        configuration_.discovery, configuration_.known.revision, configuration_.seed,
        [this](registry::Endpoints list) {
            const auto form = list.complete ? ListForm::Full : ListForm::Delta;
            if (form == ListForm::Delta) applyConfiguredList();  // the base of the delta
            else configuredListApplied_ = true;
            onEndpoints(std::move(list), form);
        },
        [this](registry::WatchFault fault, const std::string& words) {
            log_.event(Level::Warn, "node_list_fault", {{"reason", nameOf(fault)}, {"words", words}},
                       io::nowMs());
            nodeTable_.observeClocks({io::nowMs(), io::wallMs()});
            if (configuration_.schedulerSettings.subscribe) host_->onList({ListForm::Failed, {}});
        },
        [this] { onAgentAnswered(); });
}

// The discovery agent has sent something. Its first message confirms the configured list, together with the
// changes that it has sent itself.
void PlatformDaemon::onAgentAnswered() {
    agentContactAt_ = io::nowMs();
    nodeTable_.noteContact({io::nowMs(), io::wallMs()});
    if (startupList_->agentAnswered()) return startupList_->onAgentAnswered();
    startupList_->onAgentAnswered();
    applyConfiguredList();
    becomeReady("heard");
}

void PlatformDaemon::onConfirmed(registry::Endpoints list) {
    onEndpoints(std::move(list), ListForm::Cached);
    becomeReady("confirmed by peers");
}

// Applies the configured list once, as the base for the agent's changes. Not needed after a complete list.
void PlatformDaemon::applyConfiguredList() {
    if (std::exchange(configuredListApplied_, true) || configuration_.known.revision < 0) return;
    onEndpoints(std::exchange(configuration_.known, {}), ListForm::Cached);
}

// Reports ready to clients: with a node list, or without one at the deadline of decide_start.hpp. In the
// latter case no request is sent to a node until a list arrives.
void PlatformDaemon::becomeReady(const char* why) {
    if (std::exchange(readyAnnounced_, true)) return;
    readyTimer_.cancel();
    using invariants::Violation;
    const bool hasList = startupList_->agentAnswered() || nodeTable_.revision() >= 0;
    const bool timedOut = io::nowMs() >= startedAt_ + kReadyDeadlineMs;
    host_->monitor().check(hasList || timedOut, Violation::ReadyBeforeNodeList, "");
    if (!stopping_) server_->markReady();
    log_.event(Level::Info, "ready",
               {{"list", why},
                {"nodes", std::to_string(nodeTable_.size())},
                {"after_ms", std::to_string(io::nowMs() - startedAt_)}},
               io::nowMs());
}

void PlatformDaemon::onEndpoints(registry::Endpoints list, ListForm form) {
    if (list.unreadable)
        log_.event(Level::Warn, "node_list_entries_unreadable", {{"count", std::to_string(list.unreadable)}},
                   io::nowMs());
    auto change = nodeTable_.apply(std::move(list), form, {io::nowMs(), io::wallMs()});
    if (!change.applied) return;
    announce(change.news);
    passOn(std::move(change));
}

void PlatformDaemon::announce(const std::vector<wire::peer::ChangedNode>& news) {
    if (!announcer_) return;
    announcer_->announce(news);
    for (const auto& node : news) lifeSigns_->onNoticeSent(node.revision);
}

// A peer's list service has reported changes that this one may not have reported yet.
void PlatformDaemon::onNotice(int from, const std::vector<wire::peer::ChangedNode>& nodes) {
    for (const auto& node : nodes) lifeSigns_->onNotice(from, node.revision);
    auto change = nodeTable_.applyNotice(nodes, {io::nowMs(), io::wallMs()});
    if (change.applied) passOn(std::move(change));
}

void PlatformDaemon::passOn(registry::NodeTable::Change change) {
    // The scheduling module is updated first, so that it decides on attempts to retired nodes with the new
    // list.
    host_->onList(std::move(change.update));
    for (const auto& node : change.nodesToDisconnect) nodes_->retire(node);
}

void PlatformDaemon::reload() {
    reloadRetryUntil_ = io::nowMs() + kReloadRetryForMs;
    tryReload();
}

void PlatformDaemon::tryReload() {
    Configuration read;
    try {
        read = readConfiguration(file_, environment_);
    } catch (const std::exception& e) {
        if (io::nowMs() < reloadRetryUntil_)
            return reloadTimer_.arm(kReloadRetryIntervalMs, [this] { tryReload(); });
        log_.event(Level::Error, "configuration_kept", {{"words", e.what()}}, io::nowMs());
        return;
    }
    reloadTimer_.cancel();
    log_.event(Level::Info, "configuration_read", {{"discovery", read.discovery.text()}}, io::nowMs());
    if (read.discovery.text() == configuration_.discovery.text()) return;
    configuration_.discovery = read.discovery;
    agentContactAt_.reset();  // what the new one has may be something else
    watch_->moveTo(read.discovery);
}

void PlatformDaemon::stop() {
    if (std::exchange(stopping_, true)) {
        server_->stopListening();
        return drain();
    }
    log_.event(Level::Info, "stopping", {{"open", std::to_string(host_->open())}}, io::nowMs());
    const auto plan = shutdownPlan(configuration_.schedulerSettings.classes);
    server_->markNotReady();
    host_->setShutdownDeadline(io::nowMs() + plan.answerByMs);
    closeTimer_.arm(plan.closeFromMs, [this] { drain(); });
    listenTimer_.arm(plan.listenUntilMs, [this] { server_->stopListening(); });
}

void PlatformDaemon::drain() {
    closeTimer_.cancel();
    server_->drain([this] {
        reportCounters();
        for (const auto& account : host_->limitAccounts()) logLimitAccount(log_, account);
        log_.event(Level::Info, "stopped",
                   {{"open", std::to_string(host_->open())},
                    {"violations", std::to_string(host_->monitor().total())}},
                   io::nowMs());
        loop_.stop();
    });
}

void PlatformDaemon::reportCounters() {
    logCounters(log_, {*host_, *server_, *nodes_, *watch_, peers_.get(), memory_, host_->monitor().total()});
    counterTimer_.arm(kCounterLogIntervalMs, [this] { reportCounters(); });
}

std::unique_ptr<PlatformDaemon> startPlatform(const std::string& file, const Environment& environment,
                                              io::Loop& loop) {
    const double until = io::nowMs() + kListenRetryForMs;
    for (;;) try {
            return std::make_unique<PlatformDaemon>(file, environment, loop);
        } catch (const io::ListenError&) {
            if (io::nowMs() >= until) throw;
            g_usleep(static_cast<gulong>(1000 * kListenRetryIntervalMs));
        }
}

}  // namespace spokewheel::platform
