// The node list over HTTP with blocking queries, as service catalogues publish it: GET /nodes with the index
// last seen is held until something changed; the answer is the whole list in the file's form, its index in
// X-Index. Whole lists, changes and failures are told apart; the last good list is kept on disk, so that a
// started host knows something while the registry is out of reach.
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
    using Fault = std::function<void(const std::string& words)>;
    // `cacheFile` empty: nothing is kept. The cached list, if there is one, is told before this returns.
    // `heard` comes after each good answer of the registry, whether or not it had news.
    NodeListPoller(const io::Address& registry, std::string cacheFile, std::uint64_t seed, Update update,
                   Fault fault, std::function<void()> heard = {});
    ~NodeListPoller();
    // The module asks anew: at once where no query is out.
    void ask();

  private:
    void query();
    void onData(std::string_view bytes);
    void onAnswer();
    void failed(const std::string& words);
    void keep(const std::string& text) const;

    io::Address registry_;
    std::string cacheFile_;
    Update update_;
    Fault fault_;
    std::function<void()> heard_;
    Poll poll_;
    std::shared_ptr<io::Connection> connection_;
    wire::http::Parser parser_{wire::http::Parser::Kind::Response};
    std::string body_;
    io::Timer timer_;
    std::vector<NodeEntry> known_;
};

// What changed from one whole list to the next; entries that are gone come with that state.
std::vector<NodeEntry> diffNodeLists(const std::vector<NodeEntry>& before,
                                     const std::vector<NodeEntry>& after);

}  // namespace spokewheel::registry
