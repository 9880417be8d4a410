// Follows the platform's list over HTTP: a chunked answer that stays open, one JSON object after another, an
// empty line now and then while nothing changes. A connection that is silent is not let go of before another
// speaks. Goes on from the last revision for as long as it lives.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "io/connection.hpp"
#include "io/loop.hpp"
#include "registry/decide_watch.hpp"
#include "registry/endpoints.hpp"
#include "registry/json_frames.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::registry {

class EndpointWatcher {
  public:
    using Update = std::function<void(Endpoints)>;
    using Fault = std::function<void(WatchFault fault, const std::string& words)>;
    // `heard` comes with each whole line of the list service that is followed now, the empty ones too, after
    // what the line says was given to `update`. No callback may destroy the watch.
    EndpointWatcher(const io::Address& at, std::int64_t revision, std::uint64_t seed, Update update,
                    Fault fault, std::function<void()> heard);
    ~EndpointWatcher();
    EndpointWatcher(const EndpointWatcher&) = delete;
    EndpointWatcher& operator=(const EndpointWatcher&) = delete;
    // The list service is elsewhere from now on. What is open to the old place is read until the new one
    // speaks, but is not opened again.
    void moveTo(const io::Address& at);
    std::size_t connections() const { return open_.size(); }
    const std::array<std::uint64_t, static_cast<std::size_t>(WatchFault::Count)>& faults() const {
        return faults_;
    }

  private:
    struct Stream {
        io::Address at;
        std::shared_ptr<io::Connection> connection;
        wire::http::Parser parser{wire::http::Parser::Kind::Response};
        JsonFrames frames{Watch::kMostValue};
        double dueAt = 0;                 // without a word until then another is opened beside it
        double openedAt = 0, wordAt = 0;  // when it was opened, and when a whole line came last
        std::size_t progress = 0;         // bytes of a list since dueAt was last set
    };
    using StreamPtr = std::shared_ptr<Stream>;
    void connect();
    void armNext();
    void makeRoom();
    void noteProgress(const StreamPtr& s, std::size_t bytes);
    void onData(const StreamPtr& s, std::string_view bytes);
    bool onBody(const StreamPtr& s, std::string_view part);  // false where the stream has ended by it
    void spoke(const StreamPtr& s);
    void drop(const StreamPtr& s);
    void failed(const StreamPtr& s, WatchFault fault, const std::string& words);
    void tellFault(WatchFault fault, const std::string& words);
    bool current(const Stream& s) const { return s.at.text() == at_.text(); }

    io::Address at_;
    Watch watch_;
    Update update_;
    Fault fault_;
    std::function<void()> heard_;
    std::vector<StreamPtr> open_;  // the oldest first
    double againAt_ = 0;           // where none is open
    std::array<std::uint64_t, static_cast<std::size_t>(WatchFault::Count)> faults_{};
    io::Timer next_;
};

}  // namespace spokewheel::registry
