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

constexpr double kPulseMs = 10000;

// Throws std::runtime_error that names the file and the setting where they contradict each other.
std::unique_ptr<host::Host> raiseHost(const std::string& file, const Configuration& configuration,
                                      host::Host::Dependencies edges) {
    // Requests wait in the module alone: how many there can be is bounded by the connections.
    constexpr auto kAll = std::numeric_limits<std::size_t>::max();
    try {
        return std::make_unique<host::Host>(configuration.module, configuration.seed, kAll, std::move(edges));
    } catch (const std::invalid_argument& fault) {
        throw std::runtime_error(file + ": settings: " + fault.what());
    }
}

}  // namespace

PlatformDaemon::PlatformDaemon(std::string file, Environment environment, io::Loop& loop)
    : file_(std::move(file)),
      environment_(std::move(environment)),
      loop_(loop),
      configuration_(readConfiguration(file_, environment_)),
      log_("", "info", configuration_.name) {
    const auto& c = configuration_;
    nodes_ =
        std::make_unique<nodes::NodeClient>(poolCaps(c.sockets, c.memoryMb, c.connIdleMs, c.dialTimeoutMs),
                                            platformDialect(
                                                [this](const std::string& node, io::Address& out) {
                                                    const auto* address = book_.address(node);
                                                    return address && io::parseNumericAddress(*address, out);
                                                },
                                                true));
    host::Host::Dependencies edges;
    edges.nodes = nodes_.get();
    edges.sendToPeers = [this](int to, const std::string& bytes) {
        if (peers_) peers_->send(to, bytes);
    };
    if (environment_.trace)
        edges.logEvent = [this](const char* event, const std::string& request, const std::string& node,
                                const std::string& words) {
            log_.event(Level::Info, event, {{"request", request}, {"node", node}, {"words", words}},
                       io::nowMs());
        };
    edges.onLimitNote = [this](const LimitAccount& note) { logLimit(log_, note); };
    host_ = raiseHost(file_, c, std::move(edges));
    raisePeers();
    host_->monitor().reportTo(
        [this](invariants::Violation violation, const std::string& request, const std::string& detail) {
            log_.event(Level::Error, "invariant_violated",
                       {{"kind", nameOf(violation)}, {"request", request}, {"words", detail}}, io::nowMs());
        });
    server_ = std::make_unique<fronts::http::Server>(*host_, configuration_.module, c.listen,
                                                     serverCaps(c.sockets, c.memoryMb));
    if (environment_.trace)
        server_->noteCloses([this](fronts::http::CloseReason reason, const std::string& request) {
            log_.event(Level::Info, "client_closed", {{"reason", nameOf(reason)}, {"request", request}},
                       io::nowMs());
        });
    follow();
    startTimer_.arm(kReadyAtLatestMs, [this] { begin("not heard"); });
    log_.event(Level::Info, "started",
               {{"listen", c.listen.text()},
                {"sockets", std::to_string(c.sockets)},
                {"conn_idle_ms", std::to_string(c.connIdleMs)},
                {"nodes", std::to_string(c.known.entries.size())}},
               io::nowMs());
    pulseTimer_.arm(kPulseMs, [this] { pulse(); });
}

PlatformDaemon::~PlatformDaemon() = default;

void PlatformDaemon::raisePeers() {
    const auto& c = configuration_;
    StartList::Edges edges;
    edges.confirmed = [this](registry::Endpoints list) { onConfirmed(std::move(list)); };
    if (c.module.maySendToPeers && c.peerListen.port > 0) {
        peers_ = std::make_unique<peers::PlainLink>(c.module.rank, c.peerListen, c.peers, c.peersAll,
                                                    [this](int from, std::string bytes) {
                                                        if (!startList_->onPeer(from, bytes))
                                                            host_->onPeerMessage(from, std::move(bytes));
                                                    });
        edges.tell = [this](int rank, const std::string& bytes) { peers_->send(rank, bytes); };
    }
    startList_ = std::make_unique<StartList>(configuration_.known, book_, static_cast<int>(c.peers.size()),
                                             c.module.rank, c.seed, std::move(edges));
}

void PlatformDaemon::follow() {
    watch_ = std::make_unique<registry::EndpointWatcher>(
        configuration_.discovery, configuration_.known.revision, configuration_.seed,
        [this](registry::Endpoints list) {
            const auto form = list.complete ? ListForm::Full : ListForm::Delta;
            if (form == ListForm::Delta) recall();  // what changed since then
            else recalled_ = true;
            onEndpoints(std::move(list), form);
        },
        [this](registry::WatchFault fault, const std::string& words) {
            log_.event(Level::Warn, "node_list_fault", {{"reason", nameOf(fault)}, {"words", words}},
                       io::nowMs());
            book_.observeClocks({io::nowMs(), io::wallMs()});
            if (configuration_.module.subscribe) host_->onList({ListForm::Failed, {}});
        },
        [this] { onHeard(); });
}

// The agent spoke: what the configuration's list says holds, with what the agent told besides.
void PlatformDaemon::onHeard() {
    book_.noteContact({io::nowMs(), io::wallMs()});
    if (startList_->heardFromAgent()) return startList_->heard();
    startList_->heard();
    recall();
    begin("heard");
}

void PlatformDaemon::onConfirmed(registry::Endpoints list) {
    onEndpoints(std::move(list), ListForm::Cached);
    begin("confirmed by peers");
}

// The list of the configuration, on which the agent's word builds; whole lists of the agent need none.
void PlatformDaemon::recall() {
    if (std::exchange(recalled_, true) || configuration_.known.revision < 0) return;
    onEndpoints(std::exchange(configuration_.known, {}), ListForm::Cached);
}

// Clients are sent here from now on, with a list or, at the latest moment that decide_start.hpp allows,
// without one: then nothing is sent on until one comes.
void PlatformDaemon::begin(const char* why) {
    if (std::exchange(begun_, true)) return;
    startTimer_.cancel();
    using invariants::Violation;
    const bool listed = startList_->heardFromAgent() || book_.revision() >= 0;
    const bool waited = io::nowMs() >= startedAt_ + kReadyAtLatestMs;
    host_->monitor().check(listed || waited, Violation::ReadyBeforeNodeList, "");
    if (!stopping_) server_->ready();
    log_.event(Level::Info, "ready",
               {{"list", why},
                {"nodes", std::to_string(book_.size())},
                {"after_ms", std::to_string(io::nowMs() - startedAt_)}},
               io::nowMs());
}

void PlatformDaemon::onEndpoints(registry::Endpoints list, ListForm form) {
    if (list.unreadable)
        log_.event(Level::Warn, "node_list_entries_unreadable", {{"count", std::to_string(list.unreadable)}},
                   io::nowMs());
    auto change = book_.apply(std::move(list), form, {io::nowMs(), io::wallMs()});
    if (!change.applied) return;
    // The module hears first, so that what is retired is asked about with the new word known.
    host_->onList(std::move(change.update));
    for (const auto& node : change.nodesToDisconnect) nodes_->retire(node);
}

void PlatformDaemon::reload() {
    reloadUntil_ = io::nowMs() + kReadAgainForMs;
    readAgain();
}

void PlatformDaemon::readAgain() {
    Configuration read;
    try {
        read = readConfiguration(file_, environment_);
    } catch (const std::exception& e) {
        if (io::nowMs() < reloadUntil_) return reloadTimer_.arm(kReadAgainMs, [this] { readAgain(); });
        log_.event(Level::Error, "configuration_kept", {{"words", e.what()}}, io::nowMs());
        return;
    }
    reloadTimer_.cancel();
    log_.event(Level::Info, "configuration_read", {{"discovery", read.discovery.text()}}, io::nowMs());
    if (read.discovery.text() == configuration_.discovery.text()) return;
    configuration_.discovery = read.discovery;
    watch_->moveTo(read.discovery);
}

void PlatformDaemon::stop() {
    if (std::exchange(stopping_, true)) {
        server_->stopListening();
        return drain();
    }
    log_.event(Level::Info, "stopping", {{"open", std::to_string(host_->open())}}, io::nowMs());
    const auto plan = stopPlan(configuration_.module.classes);
    server_->unready();
    host_->answerBy(io::nowMs() + plan.answerByMs);
    stopTimer_.arm(plan.closeFromMs, [this] { drain(); });
    listenTimer_.arm(plan.listenUntilMs, [this] { server_->stopListening(); });
}

void PlatformDaemon::drain() {
    stopTimer_.cancel();
    server_->drain([this] {
        pulse();
        for (const auto& note : host_->limitNotes()) logLimit(log_, note);
        log_.event(Level::Info, "stopped",
                   {{"open", std::to_string(host_->open())},
                    {"violations", std::to_string(host_->monitor().total())}},
                   io::nowMs());
        loop_.stop();
    });
}

void PlatformDaemon::pulse() {
    logPulse(log_, {*host_, *server_, *nodes_, *watch_, peers_.get(), host_->monitor().total()});
    pulseTimer_.arm(kPulseMs, [this] { pulse(); });
}

std::unique_ptr<PlatformDaemon> startPlatform(const std::string& file, const Environment& environment,
                                              io::Loop& loop) {
    const double until = io::nowMs() + kListenAgainForMs;
    for (;;) try {
            return std::make_unique<PlatformDaemon>(file, environment, loop);
        } catch (const io::ListenError&) {
            if (io::nowMs() >= until) throw;
            g_usleep(static_cast<gulong>(1000 * kListenAgainMs));
        }
}

}  // namespace spokewheel::platform
