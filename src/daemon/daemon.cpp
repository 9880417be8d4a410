#include "daemon/daemon.hpp"

#include <glib.h>

#include <algorithm>
#include <filesystem>
#include <stdexcept>
#include <utility>

namespace spokewheel {

using log::Level;

namespace {

constexpr double kPulseMs = 10000;

// Returns a number that increases with each start, even if the clock was set back in between: peers drop
// messages that carry an older one.
std::uint64_t nextIncarnation(const std::string& stateDir) {
    auto next = static_cast<std::uint64_t>(g_get_real_time());
    if (stateDir.empty()) return next;
    std::filesystem::create_directories(stateDir);
    const auto path = stateDir + "/incarnation";
    gchar* text = nullptr;
    if (g_file_get_contents(path.c_str(), &text, nullptr, nullptr))
        next = std::max<std::uint64_t>(next, g_ascii_strtoull(text, nullptr, 10) + 1);
    g_free(text);
    GError* error = nullptr;
    if (!g_file_set_contents(path.c_str(), std::to_string(next).c_str(), -1, &error)) {
        const std::string message = error->message;
        g_clear_error(&error);
        throw std::runtime_error(message);
    }
    return next;
}

io::Address addressOf(const std::string& text) {
    io::Address a;
    if (!io::parseAddress(text, a, true)) throw std::runtime_error("not a loopback address: " + text);
    return a;
}

}  // namespace

Daemon::Daemon(config::DaemonSettings settings, io::Loop& loop)
    : settings_(std::move(settings)),
      loop_(loop),
      log_(settings_.logFile, settings_.logLevel, std::to_string(settings_.module.rank)),
      memory_(settings_.memoryBytes),
      nodes_({settings_.nodeConnections, 32, 15000, 250},
             nodes::gatewayDialect(std::to_string(settings_.module.rank))) {
    const auto incarnation = nextIncarnation(settings_.stateDir);
    const std::uint64_t seed = incarnation * 0x9e3779b97f4a7c15ULL ^ g_random_int();
    host::Host::Dependencies edges;
    edges.nodes = &nodes_;
    edges.sendToPeers = [this](int to, const std::string& bytes) {
        if (peers_) peers_->send(to, bytes);
    };
    edges.subscribe = edges.fetchList = [this] {
        if (listFile_) listFile_->read();
        if (listPoller_) listPoller_->pollNow();
    };
    edges.logEvent = [this](const char* event, const std::string& request, const std::string& node,
                            const std::string& message) {
        log_.event(Level::Debug, event, {{"request", request}, {"node", node}, {"words", message}},
                   io::nowMs());
    };
    host_ = std::make_unique<host::Host>(settings_.module, seed, settings_.requests, std::move(edges));
    feed_ = std::make_unique<nodes::ChangeFeedReader>(
        nodes::ChangeFeedSettings{}, catalogue_,
        [this](const char* event, const std::string& node, const std::string& message) {
            log_.event(Level::Warn, event, {{"node", node}, {"words", message}}, io::nowMs());
        });
    if (!settings_.listenPeers.empty()) {
        peers_ = std::make_unique<peers::PeerLink>(
            settings_.module.rank, addressOf(settings_.listenPeers), settings_.peerKey, incarnation,
            [this](int from, std::string bytes) { host_->onPeerMessage(from, std::move(bytes)); });
        for (const auto& p : settings_.peers) peers_->addPeer(p.rank, addressOf(p.address));
    }
    store_ = std::make_unique<fronts::NodeStore>(settings_, *host_, catalogue_);
    const auto after = [](double ms, std::function<void()> then) -> std::shared_ptr<void> {
        auto timer = std::make_shared<io::Timer>();
        timer->arm(ms, std::move(then));
        return timer;
    };
    patience_ = std::make_unique<fronts::RequestPacer>(
        *store_, settings_, [] { return io::nowMs(); }, after);
    context_ = std::make_unique<fronts::rsync::Context>(fronts::rsync::Context{
        settings_, memory_, [this] { return feed_->complete(); },
        [this](const char* event, const std::string& session, const std::string& message) {
            const std::string_view name = event;
            const bool routine = name == "session_started" || name == "client_refused";
            log_.event(routine ? Level::Info : Level::Warn, event, {{"session", session}, {"words", message}},
                       io::nowMs());
        },
        [this](const fronts::RequestPacer::WaitLimits& bounds) { return patience_->openStore(bounds); },
        [] { return io::nowMs(); }, after});
    const auto update = [this](ListUpdate u) { onList(std::move(u)); };
    const auto fault = [this](const std::string& message) {
        log_.event(Level::Error, "node_list_fault", {{"words", message}}, io::nowMs());
    };
    if (!settings_.nodesFile.empty())
        listFile_ = std::make_unique<registry::NodeListFile>(settings_.nodesFile, update, fault);
    else
        listPoller_ = std::make_unique<registry::NodeListPoller>(
            addressOf(settings_.nodesHttp),
            settings_.stateDir.empty() ? "" : settings_.stateDir + "/nodes.yaml", seed, update, fault,
            [this] {
                starts_.noteContact({io::nowMs(), io::wallMs()});
            });
    rsync_ = std::make_unique<fronts::rsync::Server>(*context_, addressOf(settings_.listenRsync));
    log_.event(Level::Info, "started", {{"rsync_port", std::to_string(rsync_->port())}}, io::nowMs());
    log_.flush();
    pulseTimer_.arm(kPulseMs, [this] { logPulse(); });
}

// Logs the counters periodically, so that they can be followed without querying the process.
void Daemon::logPulse() {
    const auto& c = host_->counters();
    log_.event(
        Level::Info, "pulse",
        {{"sessions", std::to_string(rsync_->sessions())},
         {"seated", std::to_string(rsync_->admission().admitted())},
         {"gave_way", std::to_string(rsync_->evictions())},
         {"open", std::to_string(host_->open())},
         {"taken", std::to_string(c.taken)},
         {"served", std::to_string(c.served)},
         {"refused", std::to_string(c.refused)},
         {"failed", std::to_string(c.failed)},
         {"held_back", std::to_string(patience_->waiting())},
         {"made_anew", std::to_string(patience_->counters().retried)},
         {"gave_up", std::to_string(patience_->counters().gaveUp)},
         {"attempts", std::to_string(c.attempts)},
         {"held_most", std::to_string(c.peakInScheduler)},
         {"memory", std::to_string(memory_.used())},
         {"paths", std::to_string(catalogue_.size())},
         {"feeds_unread", std::to_string(feed_->unreadNodes())},
         {"peers_dropped", peers_ ? std::to_string(peers_->counters().forged + peers_->counters().malformed +
                                                   peers_->counters().replayed + peers_->counters().unknown)
                                  : ""}},
        io::nowMs());
    log_.flush();
    pulseTimer_.arm(kPulseMs, [this] { logPulse(); });
}

void Daemon::onList(ListUpdate update) {
    // A change of the file is noticed immediately, so a start that it newly reports has just happened.
    const double now = io::nowMs();
    starts_.onList({now, io::wallMs()}, update.form != ListForm::Cached, listFile_ ? now : -1e18);
    for (auto& entry : update.entries) entry.startedMs = starts_.localStart(entry.node, entry.startedMs);
    const char* forms[] = {"changes", "whole", "cached", "failed"};
    log_.event(
        Level::Info, "node_list",
        {{"form", forms[static_cast<int>(update.form)]}, {"nodes", std::to_string(update.entries.size())}},
        io::nowMs());
    feed_->onList(update);
    host_->onList(std::move(update));
}

void Daemon::stop() {
    if (stoppingSince_ >= 0) {
        log_.event(Level::Warn, "stopped_at_once", {}, io::nowMs());
        return finish();
    }
    stoppingSince_ = io::nowMs();
    log_.event(Level::Info, "stopping", {{"sessions", std::to_string(rsync_->sessions())}}, io::nowMs());
    stopTimer_.arm(1000 * settings_.stopS, [this] {
        log_.event(Level::Warn, "stop_overdue", {{"sessions", std::to_string(rsync_->sessions())}},
                   io::nowMs());
        finish();
    });
    rsync_->drain([this] { finish(); });
}

void Daemon::finish() {
    rsync_->abort();
    log_.event(Level::Info, "stopped", {{"open", std::to_string(host_->open())}}, io::nowMs());
    log_.flush();
    loop_.stop();
}

}  // namespace spokewheel
