// Follows each node's feed of changes into the catalogue, by blocking queries, and tells how complete it is.
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
    double waitMs = 10000;  // how long a node may hold a query with nothing to tell
    double againMs = 300;   // after a failure
    std::size_t maxResponseBytes = 4 * 1024 * 1024;
};

class ChangeFeedReader {
  public:
    using Note = std::function<void(const char* event, const std::string& node, const std::string& words)>;
    ChangeFeedReader(ChangeFeedSettings settings, catalogue::Catalogue& into, Note note);
    // Follows the nodes that are ready or draining, and lets go of the others.
    void onList(const ListUpdate& update);
    // Whether each listed node's feed has been read to its end at least once.
    bool complete() const;
    std::size_t unreadNodes() const;

  private:
    struct Follow {
        int shard = -1;
        std::uint64_t after = 0;
        std::string epoch;
        bool caughtUp = false, open = false, listed = true;
        bool restart = false;  // read from the start once the query that is out has been answered
        io::Timer again;
    };
    void ask(const std::string& node);
    void onAnswer(const std::string& node, host::AttemptResult result);
    bool apply(Follow& follow, const std::string& text, bool& anew);

    ChangeFeedSettings settings_;
    catalogue::Catalogue& into_;
    Note note_;
    NodeClient client_;  // connections of its own: held queries must not take the requests' places
    std::map<std::string, std::unique_ptr<Follow>> follows_;
};

}  // namespace spokewheel::nodes
