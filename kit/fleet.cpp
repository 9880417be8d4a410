#include "kit/fleet.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace spokewheel::kit {
namespace {

const char* kDefaultClasses = R"(
  - {name: view, effect: repeatable, aim-ms: 500, deadline-ms: 2500, points: 2}
  - {name: upload, effect: once, writes: true, aim-ms: 500, deadline-ms: 4000, points: 3}
)";
const char* kDefaultPlans = R"(
  - {name: open, nominal: 1000, reservation: 500, weight: 2}
  - {name: limited, nominal: 50, reservation: 20, limit: 100, limit-burst: 400, slack: 8}
)";

sockaddr_in loopbackAddress(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    return address;
}

// Returns a UDP port that is free now: all ports must be known before the first host starts, since each
// host's settings contain those of its peers.
int freeUdpPort() {
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    const bool ok = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
                    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    close(fd);
    if (!ok) throw std::runtime_error("no free UDP port");
    return ntohs(address.sin_port);
}

}  // namespace

// Receives the messages for each host on a socket of its own and forwards them to the host or drops them.
struct Fleet::Relay {
    std::map<int, int> ports;                  // by rank: the port to which the other hosts send
    std::vector<std::pair<int, int>> sockets;  // descriptor, port of the host
    std::mt19937_64 random;
    std::atomic<double> lossShare{0};
    std::atomic<bool> stopping{false};
    std::thread thread;
    explicit Relay(std::uint64_t seed) : random(seed) {}
    ~Relay() {
        stopping = true;
        if (thread.joinable()) thread.join();
        for (const auto& [fd, hostPort] : sockets) close(fd);
    }
    void run() {
        std::vector<pollfd> polled;
        for (const auto& [fd, hostPort] : sockets) polled.push_back({fd, POLLIN, 0});
        char buffer[2048];
        while (!stopping) {
            if (poll(polled.data(), polled.size(), 20) <= 0) continue;
            for (std::size_t i = 0; i < polled.size(); ++i) {
                if (!(polled[i].revents & POLLIN)) continue;
                const auto length = recv(polled[i].fd, buffer, sizeof buffer, 0);
                const double drawn = static_cast<double>(random() >> 11) / 9007199254740992.0;
                if (length <= 0 || drawn < lossShare) continue;
                const auto address = loopbackAddress(sockets[i].second);
                sendto(polled[i].fd, buffer, static_cast<std::size_t>(length), 0,
                       reinterpret_cast<const sockaddr*>(&address), sizeof address);
            }
        }
    }
};

void Fleet::setPeerMessageLoss(int hosts, std::uint64_t seed, double share) {
    if (!relay_) {
        relay_ = std::make_unique<Relay>(seed);
        for (int rank = 0; rank < hosts; ++rank) {
            if (!peerPorts_.count(rank)) peerPorts_[rank] = freeUdpPort();
            relay_->ports[rank] = freeUdpPort();
            const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            const auto address = loopbackAddress(relay_->ports[rank]);
            if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
                throw std::runtime_error("cannot bind the port of the relay");
            relay_->sockets.emplace_back(fd, peerPorts_[rank]);
        }
        relay_->thread = std::thread([this] { relay_->run(); });
    }
    relay_->lossShare = share;
}

void Fleet::killNode(int node, bool graceful) {
    auto& process = nodes_.at(node).process;
    if (graceful) {
        process.signal(SIGTERM);
        process.wait(5);
    }
    process.kill();
}

Fleet::Fleet(std::string bin, std::string directory)
    : bin_(std::move(bin)), directory_(std::move(directory)) {
    std::filesystem::create_directories(directory_);
    writeFile(directory_ + "/peers.key", "a key of the test fleet only, for loopback\n", 0600);
}
Fleet::~Fleet() {
    hosts_.clear();
    nodes_.clear();
    std::filesystem::remove_all(directory_);
}

void Fleet::startNode(int node, const NodeOptions& options) {
    auto& entry = nodes_[node];
    const bool restarted = entry.port != 0;
    if (!restarted) entry.options = options, entry.shard = options.shard;
    else if (!options.arguments.empty()) entry.options.arguments = options.arguments;
    const auto name = directory_ + "/node" + std::to_string(node);
    std::filesystem::remove(name + ".port");
    std::vector<std::string> command = {bin_ + "/spokewheel-standin",
                                        "node",
                                        "--data",
                                        name,
                                        "--trace",
                                        tracePath(node),
                                        "--port-file",
                                        name + ".port"};
    if (restarted) command.insert(command.end(), {"--listen", "127.0.0.1:" + std::to_string(entry.port)});
    command.insert(command.end(), entry.options.arguments.begin(), entry.options.arguments.end());
    entry.process = Process(command, name + ".out");
    if (!waitUntil(20, [&] { return std::filesystem::exists(name + ".port") || !entry.process.running(); }) ||
        !entry.process.running())
        throw std::runtime_error("storage node did not start: " + readFile(name + ".out"));
    std::istringstream(readFile(name + ".port")) >> entry.port >> entry.controlPort;
    const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
    entry.startedMs = restarted ? std::chrono::duration_cast<std::chrono::milliseconds>(wallTime).count() : 0;
}

void Fleet::startRegistry() {
    const auto name = directory_ + "/registry";
    std::filesystem::remove(name + ".port");
    std::vector<std::string> command = {bin_ + "/spokewheel-standin", "registry", "--port-file",
                                        name + ".port"};
    if (registry_.port)
        command.insert(command.end(), {"--listen", "127.0.0.1:" + std::to_string(registry_.port)});
    registry_.process = Process(command, name + ".out");
    if (!waitUntil(20, [&] { return std::filesystem::exists(name + ".port"); }))
        throw std::runtime_error("registry did not start: " + readFile(name + ".out"));
    std::istringstream(readFile(name + ".port")) >> registry_.port >> registry_.controlPort;
}

bool Fleet::controlNode(int node, const std::string& target) {
    return httpRequest(nodes_.at(node).controlPort, "POST", target).first == 200;
}
long Fleet::nodeCounter(int node, const std::string& name) {
    std::istringstream in(httpRequest(nodes_.at(node).controlPort, "GET", "/counts").second);
    std::string counter;
    long value = 0;
    while (in >> counter >> value)
        if (counter == name) return value;
    return -1;
}
std::size_t Fleet::countTraceLines(int node, const std::vector<std::string>& texts) const {
    std::istringstream in(readFile(tracePath(node)));
    std::size_t count = 0;
    for (std::string line; std::getline(in, line);) {
        bool all = true;
        for (const auto& text : texts) all = all && line.find(text) != line.npos;
        count += all;
    }
    return count;
}
std::size_t Fleet::countTraceLinesOfAllNodes(const std::vector<std::string>& texts) const {
    std::size_t total = 0;
    for (const auto& [number, node] : nodes_) total += countTraceLines(number, texts);
    return total;
}

void Fleet::writeNodeList(const std::map<int, std::string>& states) {
    std::string text = "version: " + std::to_string(++listVersion_) + "\nnodes:\n";
    for (const auto& [number, node] : nodes_) {
        const auto state = states.find(number);
        if (state != states.end() && state->second == "absent") continue;
        text += "  - {node: \"127.0.0.1:" + std::to_string(node.port) +
                "\", shard: " + std::to_string(node.shard) +
                ", state: " + (state == states.end() ? "ready" : state->second);
        if (node.startedMs) text += ", started-ms: " + std::to_string(node.startedMs);
        text += "}\n";
    }
    writeFile(directory_ + "/nodes.yaml", text);
    if (registry_.process.running()) httpRequest(registry_.controlPort, "PUT", "/nodes", text);
}

void Fleet::startHost(int rank, int hosts, const HostOptions& options) {
    for (int peer = 0; hosts > 1 && peer < hosts; ++peer)
        if (!peerPorts_.count(peer)) peerPorts_[peer] = freeUdpPort();
    auto& host = hosts_[rank];
    std::string text = "host: {hosts: " + std::to_string(hosts) + ", rank: " + std::to_string(rank) + "}\n";
    text += "listen: {rsync: \"127.0.0.1:" + std::to_string(host.port) + "\"";
    if (hosts > 1) text += ", peers: \"127.0.0.1:" + std::to_string(peerPorts_[rank]) + "\"";
    text += "}\nnodes: " +
            (registry_.port ? "{http: \"127.0.0.1:" + std::to_string(registry_.port) +
                                  "\"}\nstate-dir: state" + std::to_string(rank)
                            : std::string("{file: nodes.yaml}")) +
            "\nclasses:" + (options.classes.empty() ? kDefaultClasses : options.classes);
    text += "\noperations: {read: view, write: upload, unit: 64KiB, piece: 256KiB}\nplans:";
    text += options.plans.empty() ? kDefaultPlans : options.plans;
    text += "\nvolumes:";
    text += options.volumes.empty() ? "\n  - {name: maps, number: 1, plan: open}"
                                      "\n  - {name: narrow, number: 2, plan: limited}\n"
                                    : options.volumes;
    if (hosts > 1) {
        text += "\npeers:\n  key-file: peers.key\n  hosts:\n";
        for (const auto& [peer, port] : peerPorts_) {
            const int peerPort = relay_ ? relay_->ports.at(peer) : port;
            text += "    - {rank: " + std::to_string(peer) +
                    ", address: \"127.0.0.1:" + std::to_string(peerPort) + "\"}\n";
        }
    }
    text += "\nlog: {file: host" + std::to_string(rank) + ".log, level: " + options.logLevel + "}\n" +
            options.extra;
    const auto settingsFile = directory_ + "/host" + std::to_string(rank) + ".yaml";
    writeFile(settingsFile, text);
    std::filesystem::remove(logPath(rank));
    host.process = Process({bin_ + "/spokewheeld", "--config", settingsFile}, logPath(rank) + ".out");
    const std::string portField = "\"rsync_port\":\"";
    std::string log;
    waitUntil(20, [&] {
        log = readFile(logPath(rank));
        return log.find(portField) != log.npos || !host.process.running();
    });
    const auto found = log.find(portField);
    if (found == log.npos)
        throw std::runtime_error("host did not start: " + readFile(logPath(rank) + ".out"));
    host.port = std::atoi(log.c_str() + found + portField.size());
}

int Fleet::stopHost(int rank, double seconds) {
    hosts_.at(rank).process.signal(SIGTERM);
    return hosts_.at(rank).process.wait(seconds);
}
std::string Fleet::url(int rank, const std::string& path) const {
    return "rsync://127.0.0.1:" + std::to_string(rsyncPort(rank)) + "/" + path;
}
long Fleet::residentPeakKiB(int rank) const {
    std::istringstream in(readFile("/proc/" + std::to_string(hosts_.at(rank).process.pid()) + "/status"));
    for (std::string line; std::getline(in, line);)
        if (line.rfind("VmHWM:", 0) == 0) return std::atol(line.c_str() + 6);
    return -1;
}
CommandResult Fleet::rsync(std::vector<std::string> arguments, double seconds) const {
    arguments.insert(arguments.begin(), "rsync");
    return runCommand(arguments, seconds);
}

}  // namespace spokewheel::kit
