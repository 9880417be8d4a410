#include "config/settings.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <set>

namespace spokewheel::config {
namespace {

constexpr double kMaxMs = 3.6e6, kMaxRate = 1e9;
constexpr std::uint64_t kKiB = 1024, kGiB = std::uint64_t(1) << 30;

std::string resolvePath(const std::string& file, const std::string& path) {
    if (path.empty() || path[0] == '/') return path;
    return (std::filesystem::path(file).parent_path() / path).string();
}
template <class T>
const T* findByName(const std::vector<T>& list, const std::string& name) {
    const auto found = std::find_if(list.begin(), list.end(), [&name](const T& x) { return x.name == name; });
    return found == list.end() ? nullptr : &*found;
}
bool isLoopback(const std::string& address, bool withPort) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) return false;
    const auto host = address.substr(0, colon), port = address.substr(colon + 1);
    if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != port.npos) return false;
    const int number = std::stoi(port);
    if (number > 65535 || (withPort && number == 0)) return false;
    return host.rfind("127.", 0) == 0 || host == "[::1]";
}

// Reads a secret file, which must be accessible to its owner only.
bool readSecret(const std::string& path, std::string& out, std::string& fault) {
    struct stat st;
    std::ifstream in(path, std::ios::binary);
    if (!in || stat(path.c_str(), &st) != 0) fault = "'" + path + "' cannot be read";
    else if (st.st_mode & 077)
        fault = "'" + path + "' is accessible to other users; its mode must be 600 or 400";
    else out.assign(std::istreambuf_iterator<char>(in), {});
    return fault.empty();
}

void readScheduler(Section& top, Settings& settings) {
    auto host = top.section("host", true);
    settings.hosts = static_cast<int>(host.integer("hosts", 1, 1, 10000, true));
    settings.rank = static_cast<int>(host.integer("rank", 0, 0, 9999, true));
    if (settings.rank >= settings.hosts) host.addError("rank", "must be less than 'hosts'");
    settings.zone = host.text("zone", false);
    host.rejectUnknownKeys();

    auto rules = top.section("rules");
    settings.maxAttempts = static_cast<int>(rules.integer("attempts", 3, 1, 20));
    settings.answerGraceMs = rules.number("answer-grace-ms", 20, 0, kMaxMs);
    settings.drainGraceMs = rules.number("drain-grace-ms", 1000, 0, kMaxMs);
    settings.settleAfterDoubtMs = rules.number("settle-ms", 100, 0, kMaxMs);
    auto cold = rules.section("cold");
    settings.coldUnits = cold.number("units", 32, 0, kMaxRate);
    settings.coldMs = cold.number("ms", 15000, 0, kMaxMs);
    settings.coldShare = cold.number("share", 0.2, 0, 1);
    settings.overloadFactor = cold.number("multiple", 2, 1, 1000);
    settings.overloadSpanMs = cold.number("fall-ms", 1000, 0, kMaxMs);
    cold.rejectUnknownKeys();
    auto budget = rules.section("budget");
    settings.retryBudgetFloor = budget.number("floor", 3, 0, 1e6);
    settings.retryBudgetShare = budget.number("share", 0.1, 0, 1);
    settings.retryBudgetSpanMs = budget.number("span-ms", 0, 0, kMaxMs);
    budget.rejectUnknownKeys();
    settings.usagePeriodMs = rules.number("meter-ms", 0, 0, kMaxMs);
    rules.rejectUnknownKeys();

    auto worth = top.section("worth");
    settings.fairWorth = worth.number("fair", 0.35, 0, 1);
    settings.spareWorth = worth.number("spare", 0.05, 0, 1);
    worth.rejectUnknownKeys();
    settings.maySendToPeers = settings.hosts > 1;
    settings.mayCancel = true;
    settings.tickMs = 1;
}

void readClasses(Section& top, Settings& settings) {
    top.forEach("classes", true, [&settings](Section& section) {
        RequestClass requestClass;
        requestClass.name = section.text("name", true);
        requestClass.effect = section.choice(
            "effect", Effect::Once,
            {{"repeatable", Effect::Repeatable}, {"keyed", Effect::ByKey}, {"once", Effect::Once}}, true);
        requestClass.group = section.choice(
            "group", Group::Cell, {{"all", Group::All}, {"zone", Group::Zone}, {"cell", Group::Cell}});
        requestClass.latencyTargetMs = section.number("aim-ms", 500, 1, kMaxMs, true);
        requestClass.deadlineMs = section.number("deadline-ms", 2500, 1, kMaxMs, true);
        if (requestClass.deadlineMs < requestClass.latencyTargetMs)
            section.addError("deadline-ms", "must not be less than 'aim-ms'");
        requestClass.keyRetentionMs = section.number("memory-ms", 0, 0, kMaxMs);
        if (requestClass.effect == Effect::ByKey && requestClass.keyRetentionMs <= 0)
            section.addError("memory-ms",
                             "must be set for a keyed class: the time for which nodes remember keys");
        requestClass.points = section.number("points", 1, 0, 1e6);
        requestClass.lateWorth = section.number("late-worth", 0.1, 0, 1);
        requestClass.inOrder = section.boolean("in-order", false);
        requestClass.writes = section.boolean("writes", false);
        if (findByName(settings.classes, requestClass.name))
            section.addError("name", "'" + requestClass.name + "' is defined twice");
        settings.classes.push_back(requestClass);
    });
}

void readPlans(Section& top, Settings& settings) {
    top.forEach("plans", true, [&settings](Section& section) {
        Plan plan;
        plan.name = section.text("name", true);
        plan.nominal = section.number("nominal", 1, 0, kMaxRate, true);
        plan.reservation = section.number("reservation", 0, 0, kMaxRate);
        plan.weight = section.number("weight", 1, 0, 1e6);
        plan.worthFactor = section.number("worth-factor", 1, 0, 1e6);
        plan.limit = section.number("limit", 0, 0, kMaxRate);
        plan.limitBurst = section.number("limit-burst", 0, 0, kMaxRate);
        plan.slack = section.number("slack", 0, 0, kMaxRate);
        if (plan.limit > 0 && plan.limitBurst <= 0)
            section.addError("limit-burst", "must be above 0 for a plan with a limit");
        if (plan.limit > 0 && plan.reservation > plan.limit)
            section.addError("reservation", "must not be above 'limit'");
        if (findByName(settings.plans, plan.name))
            section.addError("name", "'" + plan.name + "' is defined twice");
        settings.plans.push_back(plan);
    });
}

void readOperations(Section& top, DaemonSettings& settings) {
    auto operations = top.section("operations", true);
    const auto classOf = [&](const char* key, bool required, bool writes) {
        const auto name = operations.text(key, required);
        const auto* requestClass = findByName(settings.module.classes, name);
        if (!name.empty() && !requestClass) operations.addError(key, "no class is named '" + name + "'");
        if (requestClass && requestClass->writes != writes)
            operations.addError(
                key, writes ? "must name a class that writes" : "must name a class that does not write");
        return name;
    };
    settings.readClass = classOf("read", true, false);
    settings.largeReadClass = classOf("large-read", false, false);
    settings.writeClass = classOf("write", true, true);
    settings.largeFromBytes = operations.bytes("large-from", 0, 0, 1024 * kGiB);
    if (settings.largeReadClass.empty()) settings.largeFromBytes = 0;
    settings.unitBytes = operations.bytes("unit", 64 * kKiB, 1, kGiB);
    settings.digests = operations.boolean("digest", true);
    settings.pieceBytes = operations.bytes("piece", 512 * kKiB, 4 * kKiB, kGiB / 16);
    auto& scheduler = settings.module;
    scheduler.maxUnits = std::max(
        1.0, std::ceil(static_cast<double>(settings.pieceBytes) / static_cast<double>(settings.unitBytes)));
    scheduler.meanUnits =
        operations.number("mean-units", std::max(1.0, scheduler.maxUnits / 4), 0.001, kMaxRate);
    operations.rejectUnknownKeys();
}

void readVolumes(Section& top, DaemonSettings& settings, const std::string& file) {
    std::set<std::string> names;
    std::set<std::int64_t> numbers;
    top.forEach("volumes", true, [&](Section& section) {
        VolumeSettings volume;
        volume.name = section.text("name", true);
        const bool validName = !volume.name.empty() && volume.name.size() <= 64 &&
                               volume.name.find_first_not_of(
                                   "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                   "0123456789-_.") == std::string::npos &&
                               volume.name[0] != '.';
        if (!validName) section.addError("name", "must be 1 to 64 letters, digits, '-', '_' or '.'");
        if (!names.insert(volume.name).second)
            section.addError("name", "'" + volume.name + "' is defined twice");
        volume.number = section.integer("number", 0, 0, (std::int64_t(1) << 53) - 1, true);
        if (!numbers.insert(volume.number).second) section.addError("number", "is defined twice");
        volume.plan = section.text("plan", true);
        if (!volume.plan.empty() && !findByName(settings.module.plans, volume.plan))
            section.addError("plan", "no plan is named '" + volume.plan + "'");
        volume.hosts =
            static_cast<int>(section.integer("hosts", settings.module.hosts, 1, settings.module.hosts));
        // The credits of a host are a part of the burst in whole units, and half of a host's equal part must
        // suffice for the largest request.
        const auto* plan = findByName(settings.module.plans, volume.plan);
        const double minBurst = 2 * settings.module.maxUnits * volume.hosts;
        if (plan && plan->limit > 0 && plan->limitBurst < minBurst)
            section.addError("plan", "limit-burst of plan '" + volume.plan + "' must be at least " +
                                         std::to_string(static_cast<long>(minBurst)) +
                                         " units: two of the largest requests for each host of the volume");
        volume.comment = section.text("comment", false);
        volume.readOnly = section.boolean("read-only", false);
        volume.connections = static_cast<std::size_t>(section.integer("connections", 0, 0, 10000));
        volume.listed = section.boolean("listed", true);
        volume.secretsFile = resolvePath(file, section.text("secrets-file", false));
        std::string text, fault;
        if (!volume.secretsFile.empty() && !readSecret(volume.secretsFile, text, fault))
            section.addError("secrets-file", fault);
        int line = 0;
        for (std::size_t at = 0; at < text.size(); ++line) {
            const auto end = std::min(text.find('\n', at), text.size());
            const auto entry = text.substr(at, end - at);
            at = end + 1;
            if (entry.empty() || entry[0] == '#') continue;
            const auto colon = entry.find(':');
            if (colon == std::string::npos || colon == 0 || colon + 1 == entry.size())
                section.addError("secrets-file", "'" + volume.secretsFile + "' line " +
                                                     std::to_string(line + 1) + ": must be user:password");
            else volume.secrets[entry.substr(0, colon)] = entry.substr(colon + 1);
        }
        settings.volumes.push_back(std::move(volume));
    });
}

}  // namespace

const VolumeSettings* DaemonSettings::volume(const std::string& name) const {
    for (const auto& v : volumes)
        if (v.name == name) return &v;
    return nullptr;
}

DaemonSettings readSettings(const std::string& file, ConfigErrors& errors) {
    DaemonSettings settings;
    auto top = loadYamlFile(file, errors);
    if (!errors.empty()) return settings;
    readScheduler(top, settings.module);
    readClasses(top, settings.module);
    readPlans(top, settings.module);
    readOperations(top, settings);
    readVolumes(top, settings, file);

    auto listen = top.section("listen", true);
    settings.listenRsync = listen.text("rsync", true);
    if (!settings.listenRsync.empty() && !isLoopback(settings.listenRsync, false))
        listen.addError(
            "rsync", "'" + settings.listenRsync + "' is not a loopback address with a port (127.0.0.1:873)");
    settings.listenPeers = listen.text("peers", settings.module.hosts > 1);
    if (!settings.listenPeers.empty() && !isLoopback(settings.listenPeers, true))
        listen.addError("peers", "'" + settings.listenPeers + "' is not a loopback address with a port");
    listen.rejectUnknownKeys();

    auto nodes = top.section("nodes", true);
    settings.nodesFile = resolvePath(file, nodes.text("file", false));
    settings.nodesHttp = nodes.text("http", false);
    if (settings.nodesFile.empty() == settings.nodesHttp.empty())
        nodes.addError("file", "exactly one of 'file' and 'http' must be set");
    if (!settings.nodesHttp.empty() && !isLoopback(settings.nodesHttp, true))
        nodes.addError("http", "'" + settings.nodesHttp + "' is not a loopback address with a port");
    settings.nodeConnections = static_cast<std::size_t>(nodes.integer("connections", 64, 1, 10000));
    nodes.rejectUnknownKeys();

    auto peers = top.section("peers", settings.module.hosts > 1);
    const auto keyFile = resolvePath(file, peers.text("key-file", settings.module.hosts > 1));
    std::string fault;
    if (!keyFile.empty() && !readSecret(keyFile, settings.peerKey, fault)) peers.addError("key-file", fault);
    else if (!keyFile.empty() && settings.peerKey.size() < 16)
        peers.addError("key-file", "must have at least 16 bytes");
    std::set<int> ranks;
    peers.forEach("hosts", settings.module.hosts > 1, [&](Section& section) {
        PeerSettings peer;
        peer.rank = static_cast<int>(section.integer("rank", 0, 0, settings.module.hosts - 1, true));
        peer.address = section.text("address", true);
        if (!peer.address.empty() && !isLoopback(peer.address, true))
            section.addError("address", "'" + peer.address + "' is not a loopback address with a port");
        if (!ranks.insert(peer.rank).second) section.addError("rank", "is defined twice");
        settings.peers.push_back(peer);
    });
    peers.rejectUnknownKeys();

    auto caps = top.section("caps");
    settings.connections = static_cast<std::size_t>(caps.integer("connections", 256, 1, 10000));
    const auto defaultByAddress = static_cast<std::int64_t>(settings.connections);
    settings.connectionsByAddress =
        static_cast<std::size_t>(caps.integer("connections-by-address", defaultByAddress, 1, 10000));
    settings.handshakes = static_cast<std::size_t>(caps.integer("handshakes", 128, 1, 10000));
    settings.requests = static_cast<std::size_t>(caps.integer("requests", 500, 1, 20000));
    settings.memoryBytes = caps.bytes("memory", 96 << 20, 1 << 20, 64 * kGiB);
    if (settings.memoryBytes < settings.pieceBytes)
        caps.addError("memory", "must not be less than 'operations.piece'");
    settings.listEntries = static_cast<std::size_t>(caps.integer("list-entries", 1000000, 1, 10000000));
    settings.piecesAhead = static_cast<std::size_t>(caps.integer("pieces-ahead", 8, 1, 1000));
    settings.filesAhead = static_cast<std::size_t>(caps.integer("files-ahead", 32, 1, 10000));
    settings.clientIdleS = caps.number("client-idle-s", 60, 1, 86400);
    settings.handshakeS = caps.number("handshake-s", 20, 1, 3600);
    settings.refusedWaitS = caps.number("refused-wait-s", 600, 0, 86400);
    settings.greetingS = caps.number("greeting-s", 5, 0.1, 3600);
    settings.stopS = caps.number("stop-s", 10, 0.1, 3600);
    caps.rejectUnknownKeys();

    auto log = top.section("log");
    settings.logFile = resolvePath(file, log.text("file", false));
    settings.logLevel = log.choice<std::string>(
        "level", "info", {{"debug", "debug"}, {"info", "info"}, {"warn", "warn"}, {"error", "error"}});
    log.rejectUnknownKeys();
    settings.stateDir = resolvePath(file, top.text("state-dir", false));
    top.rejectUnknownKeys();
    return settings;
}

namespace {
NodeList readEntries(Section top) {
    NodeList list;
    list.version = static_cast<std::uint64_t>(top.integer("version", 0, 0, INT64_MAX));
    std::set<std::string> seen;
    top.forEach("nodes", true, [&](Section& section) {
        NodeEntry entry;
        entry.node = section.text("node", true);
        if (!entry.node.empty() && !isLoopback(entry.node, true))
            section.addError("node", "'" + entry.node + "' is not a loopback address with a port");
        if (!seen.insert(entry.node).second) section.addError("node", "is defined twice");
        entry.shard = static_cast<int>(section.integer("shard", 0, 0, 100000, true));
        entry.zone = section.text("zone", false);
        entry.lifecycle = section.choice(
            "state", Lifecycle::Ready,
            {{"ready", Lifecycle::Ready}, {"draining", Lifecycle::Draining}, {"gone", Lifecycle::Gone}});
        entry.startedMs = section.number("started-ms", 0, 0, 1e15);
        list.entries.push_back(entry);
    });
    top.rejectUnknownKeys();
    return list;
}
}  // namespace

NodeList readNodeList(const std::string& file, ConfigErrors& errors) {
    auto top = loadYamlFile(file, errors);
    return errors.empty() ? readEntries(std::move(top)) : NodeList();
}
NodeList parseNodeList(const std::string& text, const std::string& source, ConfigErrors& errors) {
    auto top = parseYaml(text, source, errors);
    return errors.empty() ? readEntries(std::move(top)) : NodeList();
}

}  // namespace spokewheel::config
