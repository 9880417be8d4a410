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

const char* kClasses = R"(
  - {name: view, effect: repeatable, aim-ms: 500, deadline-ms: 2500, points: 2}
  - {name: upload, effect: once, writes: true, aim-ms: 500, deadline-ms: 4000, points: 3}
)";
const char* kPlans = R"(
  - {name: open, nominal: 1000, reservation: 500, weight: 2}
  - {name: limited, nominal: 50, reservation: 20, limit: 100, limit-burst: 400, slack: 8}
)";

sockaddr_in loopback(int port) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<uint16_t>(port));
    return a;
}

// A free UDP port of the moment: peers must know each other's before any of them starts.
int freeUdpPort() {
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof a;
    const bool fine = bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0 &&
                      getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n) == 0;
    close(fd);
    if (!fine) throw std::runtime_error("no free port");
    return ntohs(a.sin_port);
}

}  // namespace

// One socket a host: what comes in for it goes on to it, or is lost.
struct Fleet::Relay {
    std::map<int, int> ports;                  // by rank: where the others send
    std::vector<std::pair<int, int>> sockets;  // descriptor, port to pass on to
    std::mt19937_64 random;
    std::atomic<double> share{0};
    std::atomic<bool> stopping{false};
    std::thread thread;
    explicit Relay(std::uint64_t seed) : random(seed) {}
    ~Relay() {
        stopping = true;
        if (thread.joinable()) thread.join();
        for (const auto& [fd, to] : sockets) close(fd);
    }
    void run() {
        std::vector<pollfd> polled;
        for (const auto& [fd, to] : sockets) polled.push_back({fd, POLLIN, 0});
        char buffer[2048];
        while (!stopping) {
            if (poll(polled.data(), polled.size(), 20) <= 0) continue;
            for (std::size_t i = 0; i < polled.size(); ++i) {
                if (!(polled[i].revents & POLLIN)) continue;
                const auto n = recv(polled[i].fd, buffer, sizeof buffer, 0);
                const double drawn = static_cast<double>(random() >> 11) / 9007199254740992.0;
                if (n <= 0 || drawn < share) continue;
                const auto a = loopback(sockets[i].second);
                sendto(polled[i].fd, buffer, static_cast<std::size_t>(n), 0,
                       reinterpret_cast<const sockaddr*>(&a), sizeof a);
            }
        }
    }
};

void Fleet::setPeerMessageLoss(int hosts, std::uint64_t seed, double share) {
    if (!relay_) {
        relay_ = std::make_unique<Relay>(seed);
        for (int r = 0; r < hosts; ++r) {
            if (!peerPorts_.count(r)) peerPorts_[r] = freeUdpPort();
            relay_->ports[r] = freeUdpPort();
            const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            const auto a = loopback(relay_->ports[r]);
            if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0)
                throw std::runtime_error("no port for the relay");
            relay_->sockets.emplace_back(fd, peerPorts_[r]);
        }
        relay_->thread = std::thread([this] { relay_->run(); });
    }
    relay_->share = share;
}

void Fleet::killNode(int n, bool inOrder) {
    auto& p = nodes_.at(n).process;
    if (inOrder) {
        p.signal(SIGTERM);
        p.wait(5);
    }
    p.kill();
}

Fleet::Fleet(std::string bin, std::string directory)
    : bin_(std::move(bin)), directory_(std::move(directory)) {
    std::filesystem::create_directories(directory_);
    writeFile(directory_ + "/peers.key", "a key of the rehearsal's own, for loopback\n", 0600);
}
Fleet::~Fleet() {
    hosts_.clear();
    nodes_.clear();
    std::filesystem::remove_all(directory_);
}

void Fleet::startNode(int n, const NodeOptions& options) {
    auto& node = nodes_[n];
    const bool again = node.port != 0;
    if (!again) node.options = options, node.shard = options.shard;
    else if (!options.arguments.empty()) node.options.arguments = options.arguments;
    const auto name = directory_ + "/node" + std::to_string(n);
    std::filesystem::remove(name + ".port");
    std::vector<std::string> command = {bin_ + "/spokewheel-standin",
                                        "node",
                                        "--data",
                                        name,
                                        "--trace",
                                        tracePath(n),
                                        "--port-file",
                                        name + ".port"};
    if (again) command.insert(command.end(), {"--listen", "127.0.0.1:" + std::to_string(node.port)});
    command.insert(command.end(), node.options.arguments.begin(), node.options.arguments.end());
    node.process = Process(command, name + ".out");
    if (!waitUntil(20, [&] { return std::filesystem::exists(name + ".port") || !node.process.running(); }) ||
        !node.process.running())
        throw std::runtime_error("node did not start: " + readFile(name + ".out"));
    std::istringstream(readFile(name + ".port")) >> node.port >> node.controlPort;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    node.startedMs = again ? std::chrono::duration_cast<std::chrono::milliseconds>(wall).count() : 0;
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

bool Fleet::controlNode(int n, const std::string& target) {
    return http(nodes_.at(n).controlPort, "POST", target).first == 200;
}
long Fleet::nodeCounter(int n, const std::string& what) {
    std::istringstream in(http(nodes_.at(n).controlPort, "GET", "/counts").second);
    std::string name;
    long value = 0;
    while (in >> name >> value)
        if (name == what) return value;
    return -1;
}
std::size_t Fleet::countTraceLines(int n, const std::vector<std::string>& words) const {
    std::istringstream in(readFile(tracePath(n)));
    std::size_t count = 0;
    for (std::string line; std::getline(in, line);) {
        bool all = true;
        for (const auto& w : words) all = all && line.find(w) != line.npos;
        count += all;
    }
    return count;
}
std::size_t Fleet::countTraceLinesOfAllNodes(const std::vector<std::string>& words) const {
    std::size_t sum = 0;
    for (const auto& [n, node] : nodes_) sum += countTraceLines(n, words);
    return sum;
}

void Fleet::writeNodeList(const std::map<int, std::string>& states) {
    std::string text = "version: " + std::to_string(++listVersion_) + "\nnodes:\n";
    for (const auto& [n, node] : nodes_) {
        const auto state = states.find(n);
        if (state != states.end() && state->second == "absent") continue;
        text += "  - {node: \"127.0.0.1:" + std::to_string(node.port) +
                "\", shard: " + std::to_string(node.shard) +
                ", state: " + (state == states.end() ? "ready" : state->second);
        if (node.startedMs) text += ", started-ms: " + std::to_string(node.startedMs);
        text += "}\n";
    }
    writeFile(directory_ + "/nodes.yaml", text);
    if (registry_.process.running()) http(registry_.controlPort, "PUT", "/nodes", text);
}

void Fleet::startHost(int rank, int hosts, const HostOptions& options) {
    for (int r = 0; hosts > 1 && r < hosts; ++r)
        if (!peerPorts_.count(r)) peerPorts_[r] = freeUdpPort();
    auto& host = hosts_[rank];
    std::string text = "host: {hosts: " + std::to_string(hosts) + ", rank: " + std::to_string(rank) + "}\n";
    text += "listen: {rsync: \"127.0.0.1:" + std::to_string(host.port) + "\"";
    if (hosts > 1) text += ", peers: \"127.0.0.1:" + std::to_string(peerPorts_[rank]) + "\"";
    text += "}\nnodes: " +
            (registry_.port ? "{http: \"127.0.0.1:" + std::to_string(registry_.port) +
                                  "\"}\nstate-dir: state" + std::to_string(rank)
                            : std::string("{file: nodes.yaml}")) +
            "\nclasses:" + (options.classes.empty() ? kClasses : options.classes);
    text += "\noperations: {read: view, write: upload, unit: 64KiB, piece: 256KiB}\nplans:";
    text += options.plans.empty() ? kPlans : options.plans;
    text += "\nvolumes:";
    text += options.volumes.empty() ? "\n  - {name: maps, number: 1, plan: open}"
                                      "\n  - {name: narrow, number: 2, plan: limited}\n"
                                    : options.volumes;
    if (hosts > 1) {
        text += "\npeers:\n  key-file: peers.key\n  hosts:\n";
        for (const auto& [r, port] : peerPorts_) {
            const int to = relay_ ? relay_->ports.at(r) : port;
            text += "    - {rank: " + std::to_string(r) + ", address: \"127.0.0.1:" + std::to_string(to) +
                    "\"}\n";
        }
    }
    text += "\nlog: {file: host" + std::to_string(rank) + ".log, level: " + options.logLevel + "}\n" +
            options.extra;
    const auto file = directory_ + "/host" + std::to_string(rank) + ".yaml";
    writeFile(file, text);
    std::filesystem::remove(logPath(rank));
    host.process = Process({bin_ + "/spokewheeld", "--config", file}, logPath(rank) + ".out");
    const std::string mark = "\"rsync_port\":\"";
    std::string log;
    waitUntil(20, [&] {
        log = readFile(logPath(rank));
        return log.find(mark) != log.npos || !host.process.running();
    });
    const auto at = log.find(mark);
    if (at == log.npos) throw std::runtime_error("host did not start: " + readFile(logPath(rank) + ".out"));
    host.port = std::atoi(log.c_str() + at + mark.size());
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
