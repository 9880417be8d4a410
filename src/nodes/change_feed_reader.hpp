// Reads each node's feed of changes into the catalogue by long polling.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "catalogue/catalogue.hpp"
#include "host/node_transport.hpp"
#include "io/loop.hpp"
#include "nodes/node_client.hpp"
#include "spokewheel/scheduler.hpp"

namespace spokewheel::nodes {

struct ChangeFeedSettings {
    double waitMs = 10000;      // how long a node may hold a query while it has no changes
    double retryDelayMs = 300;  // until the next query after a failure
    std::size_t maxResponseBytes = 4 * 1024 * 1024;
};

class ChangeFeedReader {
  public:
    using LogEvent =
        std::function<void(const char* event, const std::string& node, const std::string& words)>;
    ChangeFeedReader(ChangeFeedSettings settings, catalogue::Catalogue& catalogue, LogEvent logEvent);
    // Reads the feeds of the nodes that are ready or draining, and drops those of the others.
    void onList(const ListUpdate& update);
    // Whether the feed of each listed node has been read to its end at least once.
    bool complete() const;
    // Number of listed nodes whose feed has not been read to its end yet.
    std::size_t unreadNodes() const;

  private:
    struct Feed {
        int shard = -1;
        std::uint64_t sequence = 0;  // of the last change that was read
        std::string epoch;           // changes when the node starts a new feed
        bool caughtUp = false, open = false, listed = true;
        bool restart = false;  // read from the start once the open query has been answered
        io::Timer retryTimer;
    };
    void query(const std::string& node);
    void onAnswer(const std::string& node, host::AttemptResult result);
    // Takes in an answer; false if it can't be read. `epochChanged`: the feed must be read from the start.
    bool apply(Feed& feed, const std::string& text, bool& epochChanged);

    ChangeFeedSettings settings_;
    catalogue::Catalogue& catalogue_;
    LogEvent logEvent_;
    NodeClient client_;  // its own pool: held queries must not use up the connections for requests
    std::map<std::string, std::unique_ptr<Feed>> feeds_;
};

}  // namespace spokewheel::nodes
