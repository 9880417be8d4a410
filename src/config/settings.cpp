#include "config/settings.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <set>

namespace spokewheel::config {
namespace {

constexpr double kMostMs = 3.6e6, kMostRate = 1e9;
constexpr std::uint64_t kKiB = 1024, kGiB = std::uint64_t(1) << 30;

std::string beside(const std::string& file, const std::string& path) {
    if (path.empty() || path[0] == '/') return path;
    return (std::filesystem::path(file).parent_path() / path).string();
}
template <class T>
const T* named(const std::vector<T>& list, const std::string& name) {
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

// A file with secrets: readable by its owner alone.
bool readSecret(const std::string& path, std::string& out, std::string& fault) {
    struct stat st;
    std::ifstream in(path, std::ios::binary);
    if (!in || stat(path.c_str(), &st) != 0) fault = "'" + path + "' cannot be read";
    else if (st.st_mode & 077) fault = "'" + path + "' may be read by others; its mode must be 600 or 400";
    else out.assign(std::istreambuf_iterator<char>(in), {});
    return fault.empty();
}

void readModule(Section& top, Settings& s) {
    auto host = top.section("host", true);
    s.hosts = static_cast<int>(host.integer("hosts", 1, 1, 10000, true));
    s.rank = static_cast<int>(host.integer("rank", 0, 0, 9999, true));
    if (s.rank >= s.hosts) host.addError("rank", "must be less than 'hosts'");
    s.zone = host.text("zone", false);
    host.rejectUnknownKeys();

    auto r = top.section("rules");
    s.maxAttempts = static_cast<int>(r.integer("attempts", 3, 1, 20));
    s.answerGraceMs = r.number("answer-grace-ms", 20, 0, kMostMs);
    s.drainGraceMs = r.number("drain-grace-ms", 1000, 0, kMostMs);
    s.settleAfterDoubtMs = r.number("settle-ms", 100, 0, kMostMs);
    auto cold = r.section("cold");
    s.coldUnits = cold.number("units", 32, 0, kMostRate);
    s.coldMs = cold.number("ms", 15000, 0, kMostMs);
    s.coldShare = cold.number("share", 0.2, 0, 1);
    s.overloadFactor = cold.number("multiple", 2, 1, 1000);
    s.overloadSpanMs = cold.number("fall-ms", 1000, 0, kMostMs);
    cold.rejectUnknownKeys();
    auto budget = r.section("budget");
    s.retryBudgetFloor = budget.number("floor", 3, 0, 1e6);
    s.retryBudgetShare = budget.number("share", 0.1, 0, 1);
    s.retryBudgetSpanMs = budget.number("span-ms", 0, 0, kMostMs);
    budget.rejectUnknownKeys();
    s.usagePeriodMs = r.number("meter-ms", 0, 0, kMostMs);
    r.rejectUnknownKeys();

    auto w = top.section("worth");
    s.fairWorth = w.number("fair", 0.35, 0, 1);
    s.spareWorth = w.number("spare", 0.05, 0, 1);
    w.rejectUnknownKeys();
    s.maySendToPeers = s.hosts > 1;
    s.mayCancel = true;
    s.tickMs = 1;
}

void readClasses(Section& top, Settings& s) {
    top.forEach("classes", true, [&s](Section& c) {
        RequestClass k;
        k.name = c.text("name", true);
        k.effect = c.choice(
            "effect", Effect::Once,
            {{"repeatable", Effect::Repeatable}, {"keyed", Effect::ByKey}, {"once", Effect::Once}}, true);
        k.group = c.choice("group", Group::Cell,
                           {{"all", Group::All}, {"zone", Group::Zone}, {"cell", Group::Cell}});
        k.latencyTargetMs = c.number("aim-ms", 500, 1, kMostMs, true);
        k.deadlineMs = c.number("deadline-ms", 2500, 1, kMostMs, true);
        if (k.deadlineMs < k.latencyTargetMs) c.addError("deadline-ms", "must not be less than 'aim-ms'");
        k.keyRetentionMs = c.number("memory-ms", 0, 0, kMostMs);
        if (k.effect == Effect::ByKey && k.keyRetentionMs <= 0)
            c.addError("memory-ms", "a keyed class needs the time that nodes remember keys");
        k.points = c.number("points", 1, 0, 1e6);
        k.lateWorth = c.number("late-worth", 0.1, 0, 1);
        k.inOrder = c.boolean("in-order", false);
        k.writes = c.boolean("writes", false);
        if (named(s.classes, k.name)) c.addError("name", "'" + k.name + "' is there twice");
        s.classes.push_back(k);
    });
}

void readPlans(Section& top, Settings& s) {
    top.forEach("plans", true, [&s](Section& p) {
        Plan plan;
        plan.name = p.text("name", true);
        plan.nominal = p.number("nominal", 1, 0, kMostRate, true);
        plan.reservation = p.number("reservation", 0, 0, kMostRate);
        plan.weight = p.number("weight", 1, 0, 1e6);
        plan.worthFactor = p.number("worth-factor", 1, 0, 1e6);
        plan.limit = p.number("limit", 0, 0, kMostRate);
        plan.limitBurst = p.number("limit-burst", 0, 0, kMostRate);
        plan.slack = p.number("slack", 0, 0, kMostRate);
        if (plan.limit > 0 && plan.limitBurst <= 0)
            p.addError("limit-burst", "a plan with a limit needs a burst above 0");
        if (plan.limit > 0 && plan.reservation > plan.limit)
            p.addError("reservation", "must not be above 'limit'");
        if (named(s.plans, plan.name)) p.addError("name", "'" + plan.name + "' is there twice");
        s.plans.push_back(plan);
    });
}

void readOperations(Section& top, DaemonSettings& d) {
    auto o = top.section("operations", true);
    const auto classOf = [&](const char* key, bool required, bool writes) {
        const auto name = o.text(key, required);
        const auto* k = named(d.module.classes, name);
        if (!name.empty() && !k) o.addError(key, "no class is named '" + name + "'");
        if (k && k->writes != writes)
            o.addError(key, writes ? "needs a class that writes" : "must not write");
        return name;
    };
    d.readClass = classOf("read", true, false);
    d.largeReadClass = classOf("large-read", false, false);
    d.writeClass = classOf("write", true, true);
    d.largeFromBytes = o.bytes("large-from", 0, 0, 1024 * kGiB);
    if (d.largeReadClass.empty()) d.largeFromBytes = 0;
    d.unitBytes = o.bytes("unit", 64 * kKiB, 1, kGiB);
    d.digests = o.boolean("digest", true);
    d.pieceBytes = o.bytes("piece", 512 * kKiB, 4 * kKiB, kGiB / 16);
    auto& m = d.module;
    m.maxUnits =
        std::max(1.0, std::ceil(static_cast<double>(d.pieceBytes) / static_cast<double>(d.unitBytes)));
    m.meanUnits = o.number("mean-units", std::max(1.0, m.maxUnits / 4), 0.001, kMostRate);
    o.rejectUnknownKeys();
}

void readVolumes(Section& top, DaemonSettings& d, const std::string& file) {
    std::set<std::string> names;
    std::set<std::int64_t> numbers;
    top.forEach("volumes", true, [&](Section& v) {
        VolumeSettings out;
        out.name = v.text("name", true);
        const bool plain = !out.name.empty() && out.name.size() <= 64 &&
                           out.name.find_first_not_of(
                               "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                               "0123456789-_.") == std::string::npos &&
                           out.name[0] != '.';
        if (!plain) v.addError("name", "must be 1 to 64 letters, digits, '-', '_' or '.'");
        if (!names.insert(out.name).second) v.addError("name", "'" + out.name + "' is there twice");
        out.number = v.integer("number", 0, 0, (std::int64_t(1) << 53) - 1, true);
        if (!numbers.insert(out.number).second) v.addError("number", "is there twice");
        out.plan = v.text("plan", true);
        if (!out.plan.empty() && !named(d.module.plans, out.plan))
            v.addError("plan", "no plan is named '" + out.plan + "'");
        out.hosts = static_cast<int>(v.integer("hosts", d.module.hosts, 1, d.module.hosts));
        // Credits are parts of the burst by host, in whole units: a host's even half must bear the largest
        // request.
        const auto* plan = named(d.module.plans, out.plan);
        const double least = 2 * d.module.maxUnits * out.hosts;
        if (plan && plan->limit > 0 && plan->limitBurst < least)
            v.addError("plan", "limit-burst of plan '" + out.plan + "' must be at least " +
                                   std::to_string(static_cast<long>(least)) +
                                   " units: two of the largest requests for each host of the volume");
        out.comment = v.text("comment", false);
        out.readOnly = v.boolean("read-only", false);
        out.connections = static_cast<std::size_t>(v.integer("connections", 0, 0, 10000));
        out.listed = v.boolean("listed", true);
        out.secretsFile = beside(file, v.text("secrets-file", false));
        std::string text, fault;
        if (!out.secretsFile.empty() && !readSecret(out.secretsFile, text, fault))
            v.addError("secrets-file", fault);
        int line = 0;
        for (std::size_t at = 0; at < text.size(); ++line) {
            const auto end = std::min(text.find('\n', at), text.size());
            const auto one = text.substr(at, end - at);
            at = end + 1;
            if (one.empty() || one[0] == '#') continue;
            const auto colon = one.find(':');
            if (colon == std::string::npos || colon == 0 || colon + 1 == one.size())
                v.addError("secrets-file", "'" + out.secretsFile + "' line " + std::to_string(line + 1) +
                                               ": wants user:password");
            else out.secrets[one.substr(0, colon)] = one.substr(colon + 1);
        }
        d.volumes.push_back(std::move(out));
    });
}

}  // namespace

const VolumeSettings* DaemonSettings::volume(const std::string& name) const {
    for (const auto& v : volumes)
        if (v.name == name) return &v;
    return nullptr;
}

DaemonSettings readSettings(const std::string& file, ConfigErrors& mistakes) {
    DaemonSettings d;
    auto top = loadYamlFile(file, mistakes);
    if (!mistakes.empty()) return d;
    readModule(top, d.module);
    readClasses(top, d.module);
    readPlans(top, d.module);
    readOperations(top, d);
    readVolumes(top, d, file);

    auto listen = top.section("listen", true);
    d.listenRsync = listen.text("rsync", true);
    if (!d.listenRsync.empty() && !isLoopback(d.listenRsync, false))
        listen.addError("rsync",
                        "'" + d.listenRsync + "' is not a loopback address with a port (127.0.0.1:873)");
    d.listenPeers = listen.text("peers", d.module.hosts > 1);
    if (!d.listenPeers.empty() && !isLoopback(d.listenPeers, true))
        listen.addError("peers", "'" + d.listenPeers + "' is not a loopback address with a port");
    listen.rejectUnknownKeys();

    auto nodes = top.section("nodes", true);
    d.nodesFile = beside(file, nodes.text("file", false));
    d.nodesHttp = nodes.text("http", false);
    if (d.nodesFile.empty() == d.nodesHttp.empty()) nodes.addError("file", "give one of 'file' and 'http'");
    if (!d.nodesHttp.empty() && !isLoopback(d.nodesHttp, true))
        nodes.addError("http", "'" + d.nodesHttp + "' is not a loopback address with a port");
    d.nodeConnections = static_cast<std::size_t>(nodes.integer("connections", 64, 1, 10000));
    nodes.rejectUnknownKeys();

    auto peers = top.section("peers", d.module.hosts > 1);
    const auto keyFile = beside(file, peers.text("key-file", d.module.hosts > 1));
    std::string fault;
    if (!keyFile.empty() && !readSecret(keyFile, d.peerKey, fault)) peers.addError("key-file", fault);
    else if (!keyFile.empty() && d.peerKey.size() < 16) peers.addError("key-file", "needs 16 bytes or more");
    std::set<int> ranks;
    peers.forEach("hosts", d.module.hosts > 1, [&](Section& p) {
        PeerSettings one;
        one.rank = static_cast<int>(p.integer("rank", 0, 0, d.module.hosts - 1, true));
        one.address = p.text("address", true);
        if (!one.address.empty() && !isLoopback(one.address, true))
            p.addError("address", "'" + one.address + "' is not a loopback address with a port");
        if (!ranks.insert(one.rank).second) p.addError("rank", "is there twice");
        d.peers.push_back(one);
    });
    peers.rejectUnknownKeys();

    auto caps = top.section("caps");
    d.connections = static_cast<std::size_t>(caps.integer("connections", 256, 1, 10000));
    const auto most = static_cast<std::int64_t>(d.connections);
    d.connectionsByAddress = static_cast<std::size_t>(caps.integer("connections-by-address", most, 1, 10000));
    d.handshakes = static_cast<std::size_t>(caps.integer("handshakes", 128, 1, 10000));
    d.requests = static_cast<std::size_t>(caps.integer("requests", 500, 1, 20000));
    d.memoryBytes = caps.bytes("memory", 96 << 20, 1 << 20, 64 * kGiB);
    if (d.memoryBytes < d.pieceBytes) caps.addError("memory", "is less than one piece");
    d.listEntries = static_cast<std::size_t>(caps.integer("list-entries", 1000000, 1, 10000000));
    d.piecesAhead = static_cast<std::size_t>(caps.integer("pieces-ahead", 8, 1, 1000));
    d.filesAhead = static_cast<std::size_t>(caps.integer("files-ahead", 32, 1, 10000));
    d.clientIdleS = caps.number("client-idle-s", 60, 1, 86400);
    d.handshakeS = caps.number("handshake-s", 20, 1, 3600);
    d.refusedWaitS = caps.number("refused-wait-s", 600, 0, 86400);
    d.greetingS = caps.number("greeting-s", 5, 0.1, 3600);
    d.stopS = caps.number("stop-s", 10, 0.1, 3600);
    caps.rejectUnknownKeys();

    auto log = top.section("log");
    d.logFile = beside(file, log.text("file", false));
    d.logLevel = log.choice<std::string>(
        "level", "info", {{"debug", "debug"}, {"info", "info"}, {"warn", "warn"}, {"error", "error"}});
    log.rejectUnknownKeys();
    d.stateDir = beside(file, top.text("state-dir", false));
    top.rejectUnknownKeys();
    return d;
}

namespace {
NodeList listFrom(Section top) {
    NodeList list;
    list.version = static_cast<std::uint64_t>(top.integer("version", 0, 0, INT64_MAX));
    std::set<std::string> seen;
    top.forEach("nodes", true, [&](Section& n) {
        NodeEntry e;
        e.node = n.text("node", true);
        if (!e.node.empty() && !isLoopback(e.node, true))
            n.addError("node", "'" + e.node + "' is not a loopback address with a port");
        if (!seen.insert(e.node).second) n.addError("node", "is there twice");
        e.shard = static_cast<int>(n.integer("shard", 0, 0, 100000, true));
        e.zone = n.text("zone", false);
        e.lifecycle = n.choice(
            "state", Lifecycle::Ready,
            {{"ready", Lifecycle::Ready}, {"draining", Lifecycle::Draining}, {"gone", Lifecycle::Gone}});
        e.cameUpMs = n.number("started-ms", 0, 0, 1e15);
        list.entries.push_back(e);
    });
    top.rejectUnknownKeys();
    return list;
}
}  // namespace

NodeList readNodeList(const std::string& file, ConfigErrors& mistakes) {
    auto top = loadYamlFile(file, mistakes);
    return mistakes.empty() ? listFrom(std::move(top)) : NodeList();
}
NodeList parseNodeList(const std::string& text, const std::string& source, ConfigErrors& mistakes) {
    auto top = parseYaml(text, source, mistakes);
    return mistakes.empty() ? listFrom(std::move(top)) : NodeList();
}

}  // namespace spokewheel::config
