// A fleet on loopback: hosts (spokewheeld), stand-in storage nodes and their list, with what can go wrong.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kit/process.hpp"

namespace spokewheel::kit {

struct NodeOptions {
    int shard = 0;
    std::vector<std::string> arguments;  // for spokewheel-standin node
};
struct HostOptions {
    std::string classes, plans, volumes, extra;  // YAML; empty: the fleet's own
    std::string logLevel = "debug";
};

class Fleet {
  public:
    // `bin` holds the programs; all files go below `directory`, which must not exist yet.
    Fleet(std::string bin, std::string directory);
    ~Fleet();

    void startNode(int n, const NodeOptions& options = {});
    // In order: it ends its record first. Its work and connections are lost all the same.
    void killNode(int n, bool inOrder = false);
    int nodePort(int n) const { return nodes_.at(n).port; }
    std::string nodeAddress(int n) const { return "127.0.0.1:" + std::to_string(nodePort(n)); }
    bool controlNode(int n, const std::string& target);  // POST to the node's control port
    long nodeCounter(int n, const std::string& what);    // of its counts
    std::string tracePath(int n) const { return directory_ + "/node" + std::to_string(n) + ".trace"; }
    // Lines of the node's trace that hold all of the words.
    std::size_t countTraceLines(int n, const std::vector<std::string>& words) const;
    std::size_t countTraceLinesOfAllNodes(const std::vector<std::string>& words) const;
    // From then on hosts are started with the list over HTTP and a state directory of their own.
    void startRegistry();
    void killRegistry() { registry_.process.kill(); }
    bool controlRegistry(const std::string& target) {
        return http(registry_.controlPort, "POST", target).first == 200;
    }
    // Writes the list; states other than "ready" by node number. Nodes not started are left out.
    void writeNodeList(const std::map<int, std::string>& states = {});

    // Puts a relay between the hosts that loses this share of their messages, by seed. Before the first host.
    void setPeerMessageLoss(int hosts, std::uint64_t seed, double share);
    void startHost(int rank, int hosts = 1, const HostOptions& options = {});
    void killHost(int rank) { hosts_.at(rank).process.kill(); }
    int stopHost(int rank, double seconds = 15);
    Process& host(int rank) { return hosts_.at(rank).process; }
    int rsyncPort(int rank) const { return hosts_.at(rank).port; }
    std::string logPath(int rank) const { return directory_ + "/host" + std::to_string(rank) + ".log"; }
    std::string url(int rank, const std::string& path) const;
    long residentPeakKiB(int rank) const;
    CommandResult rsync(std::vector<std::string> arguments, double seconds = 30) const;
    const std::string& directory() const { return directory_; }

  private:
    struct Node {
        Process process;
        int port = 0, controlPort = 0, shard = 0;
        long long startedMs = 0;
        NodeOptions options;
    };
    struct Host {
        Process process;
        int port = 0;
    };
    std::string bin_, directory_;
    std::map<int, Node> nodes_;
    std::map<int, Host> hosts_;
    Node registry_;
    struct Relay;
    std::map<int, int> peerPorts_;
    std::unique_ptr<Relay> relay_;
    int listVersion_ = 0;
};

}  // namespace spokewheel::kit
