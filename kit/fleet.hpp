// Starts and controls a fleet on loopback: hosts (spokewheeld), stand-in storage nodes, the registry with
// their list, and the faults of each.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kit/process.hpp"

namespace spokewheel::kit {

struct NodeOptions {
    int shard = 0;
    std::vector<std::string> arguments;  // of `spokewheel-standin node`
};
struct HostOptions {
    std::string classes, plans, volumes, extra;  // YAML of the settings file; empty: the defaults of Fleet
    std::string logLevel = "debug";
};

// Nodes are identified by a number, hosts by their rank. Functions that start a process wait until it serves
// and throw std::runtime_error if it does not. The destructor kills all processes and removes all files.
class Fleet {
  public:
    // `bin`: folder of the programs. All files are created below `directory`, which must not exist yet.
    Fleet(std::string bin, std::string directory);
    ~Fleet();

    // Starts a node, or restarts it at its port: it then counts as started anew and is cold.
    void startNode(int node, const NodeOptions& options = {});
    // Graceful: by SIGTERM first, so that the node completes its trace. Its work and connections are lost
    // either way.
    void killNode(int node, bool graceful = false);
    int nodePort(int node) const { return nodes_.at(node).port; }
    std::string nodeAddress(int node) const { return "127.0.0.1:" + std::to_string(nodePort(node)); }
    // POSTs to the node's control port; true if it answers 200.
    bool controlNode(int node, const std::string& target);
    // A counter from the node's control port; -1 if it has none of this name.
    long nodeCounter(int node, const std::string& name);
    std::string tracePath(int node) const { return directory_ + "/node" + std::to_string(node) + ".trace"; }
    // Number of lines of the node's trace that contain all of the texts.
    std::size_t countTraceLines(int node, const std::vector<std::string>& texts) const;
    std::size_t countTraceLinesOfAllNodes(const std::vector<std::string>& texts) const;
    // Hosts started after this call read the node list over HTTP and have a state directory each.
    void startRegistry();
    void killRegistry() { registry_.process.kill(); }
    bool controlRegistry(const std::string& target) {
        return httpRequest(registry_.controlPort, "POST", target).first == 200;
    }
    // Writes the list of all nodes that were started. `states`: by node number, if not "ready"; "absent"
    // leaves the node out.
    void writeNodeList(const std::map<int, std::string>& states = {});

    // Drops this share of the messages between hosts, drawn by the seed. The first call sets up the relay
    // that does so and must precede startHost().
    void setPeerMessageLoss(int hosts, std::uint64_t seed, double share);
    void startHost(int rank, int hosts = 1, const HostOptions& options = {});
    void killHost(int rank) { hosts_.at(rank).process.kill(); }
    int stopHost(int rank, double seconds = 15);  // by SIGTERM; returns as Process::wait() does
    Process& host(int rank) { return hosts_.at(rank).process; }
    int rsyncPort(int rank) const { return hosts_.at(rank).port; }
    std::string logPath(int rank) const { return directory_ + "/host" + std::to_string(rank) + ".log"; }
    std::string url(int rank, const std::string& path) const;
    long residentPeakKiB(int rank) const;  // -1 if not known
    // Runs the stock rsync client.
    CommandResult rsync(std::vector<std::string> arguments, double seconds = 30) const;
    const std::string& directory() const { return directory_; }

  private:
    struct Node {
        Process process;
        int port = 0, controlPort = 0, shard = 0;
        long long startedMs = 0;  // wall clock, of a restart; 0: never restarted
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
    std::map<int, int> peerPorts_;  // by rank
    std::unique_ptr<Relay> relay_;
    int listVersion_ = 0;
};

}  // namespace spokewheel::kit
