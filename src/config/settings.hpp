// The checked settings of a gateway daemon. Units are in the names; docs/operators.md describes each key.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/checker.hpp"
#include "spokewheel/scheduler.hpp"

namespace spokewheel::config {

struct VolumeSettings {
    std::string name, plan, comment;
    std::int64_t number = 0;
    int hosts = 1;
    std::string secretsFile;                     // empty: no authentication
    std::map<std::string, std::string> secrets;  // password by user, read from secretsFile
    std::size_t connections = 0;                 // per host; 0: no limit for this volume
    bool readOnly = false, listed = true;  // listed: shown in the list of modules that clients can request
};
struct PeerSettings {
    int rank = 0;
    std::string address;
};
struct DaemonSettings {
    Settings module;  // of the scheduler
    std::string listenRsync, listenPeers;
    std::string nodesFile, nodesHttp;  // exactly one is set
    std::string stateDir;
    std::string peerKey;  // read from the key file
    std::vector<PeerSettings> peers;
    std::vector<VolumeSettings> volumes;
    std::string readClass, largeReadClass, writeClass;
    bool digests = true;  // each write carries a Repr-Digest
    std::uint64_t largeFromBytes = 0, unitBytes = 64 * 1024;
    std::uint64_t pieceBytes = 512 * 1024, memoryBytes = 96 << 20;
    std::size_t piecesAhead = 8, filesAhead = 32, connections = 256, connectionsByAddress = 0,
                handshakes = 128, requests = 500, listEntries = 1000000;
    double clientIdleS = 60, handshakeS = 20, greetingS = 5, stopS = 10, refusedWaitS = 600;
    std::size_t nodeConnections = 64;
    std::string logFile, logLevel = "info";
    const VolumeSettings* volume(const std::string& name) const;
};

// Reads and checks the settings and the secret files that they name. The result must not be used if `errors`
// is not empty afterwards.
DaemonSettings readSettings(const std::string& file, ConfigErrors& errors);

struct NodeList {
    std::uint64_t version = 0;
    std::vector<NodeEntry> entries;
};
// Parse a node list from a text or file; `source` names the text in errors.
NodeList parseNodeList(const std::string& text, const std::string& source, ConfigErrors& errors);
NodeList readNodeList(const std::string& file, ConfigErrors& errors);

}  // namespace spokewheel::config
