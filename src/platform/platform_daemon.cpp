#include "platform/platform_daemon.hpp"

#include <limits>
#include <utility>

#include "platform/decide_budget.hpp"
#include "platform/decide_stop.hpp"
#include "platform/dialect.hpp"

namespace spokewheel::platform {

using log::Level;

namespace {

constexpr double kPulseMs = 10000;

}  // namespace

PlatformDaemon::PlatformDaemon(std::string file, Environment environment, io::Loop& loop)
    : file_(std::move(file)),
      environment_(std::move(environment)),
      loop_(loop),
      configuration_(readConfiguration(file_, environment_)),
      log_("", "info", configuration_.name) {
    const auto& c = configuration_;
    nodes_ = std::make_unique<nodes::NodeClient>(
        poolCaps(c.sockets, c.memoryMb, c.connIdleMs, c.dialTimeoutMs),
        platformDialect(
            [this](const std::string& node, io::Address& out) {
                const auto found = addresses_.find(node);
                return found != addresses_.end() && io::parseNumericAddress(found->second, out);
            },
            true));
    host::Host::Edges edges;
    edges.nodes = nodes_.get();
    edges.tellPeers = [this](int to, const std::string& bytes) {
        if (peers_) peers_->tell(to, bytes);
    };
    if (environment_.trace)
        edges.note = [this](const char* event, const std::string& request, const std::string& node,
                            const std::string& words) {
            log_.event(Level::Info, event, {{"request", request}, {"node", node}, {"words", words}},
                       io::nowMs());
        };
    // Requests wait in the module alone: how many there can be is bounded by the connections.
    host_ = std::make_unique<host::Host>(c.module, c.seed, std::numeric_limits<std::size_t>::max(),
                                         std::move(edges));
    if (c.module.mayTellPeers && c.peerListen.port > 0)
        peers_ = std::make_unique<peers::PlainLink>(
            c.module.rank, c.peerListen, c.peers, c.peersAll,
            [this](int from, std::string bytes) { host_->onPeer(from, std::move(bytes)); });
    if (c.known.revision >= 0) onEndpoints(c.known, ListForm::Cached);
    follow(c.discovery);
    server_ = std::make_unique<fronts::http::Server>(*host_, configuration_.module, c.listen, c.sockets);
    log_.event(Level::Info, "started",
               {{"listen", c.listen.text()},
                {"sockets", std::to_string(c.sockets)},
                {"conn_idle_ms", std::to_string(c.connIdleMs)},
                {"nodes", std::to_string(addresses_.size())}},
               io::nowMs());
    pulseTimer_.arm(kPulseMs, [this] { pulse(); });
}

PlatformDaemon::~PlatformDaemon() = default;

// A watch from the last revision; the one before is let go of once the new one speaks.
void PlatformDaemon::follow(const io::Address& discovery) {
    auto made = std::make_unique<registry::WatchHttp>(
        discovery, revision_, configuration_.seed,
        [this](registry::Endpoints list) {
            const auto form = list.complete ? ListForm::Full : ListForm::Delta;
            onEndpoints(std::move(list), form);
        },
        [this](const std::string& words) {
            log_.event(Level::Warn, "node_list_fault", {{"words", words}}, io::nowMs());
            if (configuration_.module.subscribe) host_->onList({ListForm::Failed, {}});
        },
        [this, discovery] {
            if (!nextWatch_ || switch_.armed() || discovery.text() != configuration_.discovery.text()) return;
            switch_.arm(0, [this] { watch_ = std::move(nextWatch_); });
        });
    (watch_ ? nextWatch_ : watch_) = std::move(made);
}

void PlatformDaemon::onEndpoints(registry::Endpoints list, ListForm form) {
    if (form == ListForm::Delta && list.revision <= revision_) return;  // two watches told the same
    revision_ = list.revision;
    if (form != ListForm::Delta)
        for (auto it = addresses_.begin(); it != addresses_.end();) {
            if (!list.addresses.count(it->first)) nodes_->retire(it->first);
            it = list.addresses.count(it->first) ? std::next(it) : addresses_.erase(it);
        }
    for (const auto& e : list.entries)
        if (e.lifecycle == Lifecycle::Gone) {
            nodes_->retire(e.node);
            addresses_.erase(e.node);
        }
    for (const auto& [node, address] : list.addresses) {
        auto& known = addresses_[node];
        if (!known.empty() && known != address) nodes_->retire(node);
        known = address;
    }
    host_->onList({form, std::move(list.entries)});
}

void PlatformDaemon::reload() {
    Configuration read;
    try {
        read = readConfiguration(file_, environment_);
    } catch (const std::exception& e) {
        log_.event(Level::Error, "configuration_kept", {{"words", e.what()}}, io::nowMs());
        return;
    }
    log_.event(Level::Info, "configuration_read", {{"discovery", read.discovery.text()}}, io::nowMs());
    if (read.discovery.text() == configuration_.discovery.text()) return;
    configuration_.discovery = read.discovery;
    switch_.cancel();
    nextWatch_.reset();
    follow(read.discovery);
}

void PlatformDaemon::stop() {
    if (std::exchange(stopping_, true)) return loop_.stop();
    log_.event(Level::Info, "stopping", {{"open", std::to_string(host_->open())}}, io::nowMs());
    const auto plan = stopPlan(configuration_.module.classes);
    server_->unready();
    host_->answerBy(io::nowMs() + plan.answerByMs);
    stopTimer_.arm(plan.closeFromMs, [this] {
        server_->drain([this] {
            log_.event(Level::Info, "stopped", {{"open", std::to_string(host_->open())}}, io::nowMs());
            loop_.stop();
        });
    });
}

// A pulse in the log, so that counts can be followed without asking.
void PlatformDaemon::pulse() {
    const auto& c = host_->counters();
    const auto text = [](auto n) { return std::to_string(n); };
    std::string outcomes;
    for (const auto& [outcome, n] : c.outcomes)
        outcomes += (outcomes.empty() ? "" : " ") + text(static_cast<int>(outcome)) + "=" + text(n);
    log_.event(Level::Info, "pulse",
               {{"clients", text(server_->connections())},
                {"most", text(server_->counts().most)},
                {"errors", text(server_->counts().errors)},
                {"gave_way", text(server_->counts().gaveWay)},
                {"open", text(host_->open())},
                {"taken", text(c.taken)},
                {"served", text(c.served)},
                {"refused", text(c.refused)},
                {"failed", text(c.failed)},
                {"attempts", text(c.attempts)},
                {"outcomes", outcomes},
                {"steps", text(c.steps)},
                {"step_ms", text(c.stepMs)},
                {"node_links", text(nodes_->connections())},
                {"peers_received", peers_ ? text(peers_->counts().received) : ""},
                {"peers_unknown", peers_ ? text(peers_->counts().unknown) : ""}},
               io::nowMs());
    pulseTimer_.arm(kPulseMs, [this] { pulse(); });
}

}  // namespace spokewheel::platform
