// The node list over HTTP with blocking queries, as service catalogues publish it. The registry holds GET
// /nodes, which carries the last known index, until something changes; the answer is the full list in the
// format of the list file, with its index in X-Index. Reports full lists, changes and failures. Keeps the
// last valid list on disk, so that a restarted host has a list while the registry is unreachable.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "config/settings.hpp"
#include "io/connection.hpp"
#include "io/loop.hpp"
#include "registry/decide_poll.hpp"
#include "spokewheel/scheduler.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::registry {

class NodeListPoller {
  public:
    using Update = std::function<void(ListUpdate)>;
    using Fault = std::function<void(const std::string& message)>;
    // An empty `cacheFile` disables the cache. A cached list, if there is one, is passed to `update` before
    // the constructor returns. `onContact` is called after each valid answer of the registry, changed or not.
    NodeListPoller(const io::Address& registry, std::string cacheFile, std::uint64_t seed, Update update,
                   Fault fault, std::function<void()> onContact = {});
    ~NodeListPoller();
    // Starts a query now unless one is in progress.
    void pollNow();

  private:
    void query();
    void onData(std::string_view bytes);
    void onAnswer();
    void failed(const std::string& message);
    void writeCache(const std::string& text) const;

    io::Address registry_;
    std::string cacheFile_;
    Update update_;
    Fault fault_;
    std::function<void()> onContact_;
    PollState poll_;
    std::shared_ptr<io::Connection> connection_;
    wire::http::Parser parser_{wire::http::Parser::Kind::Response};
    std::string body_;
    io::Timer timer_;
    std::vector<NodeEntry> known_;
};

// Returns the entries that changed from one full list to the next; removed ones with lifecycle Gone.
std::vector<NodeEntry> diffNodeLists(const std::vector<NodeEntry>& before,
                                     const std::vector<NodeEntry>& after);

}  // namespace spokewheel::registry
