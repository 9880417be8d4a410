// Follows the platform's list of disk servers over HTTP: a chunked response that stays open and delivers one
// JSON object after another, with an empty line now and then while nothing changes. A silent connection is
// kept until another one delivers data. Each new connection continues from the last revision received.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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
    using Fault = std::function<void(WatchFault fault, const std::string& message)>;
    // `onContact` is called for each complete line from the current list service, also an empty one, after
    // `update` has been called with its content. No callback may destroy the watcher.
    EndpointWatcher(const io::Address& at, std::int64_t revision, std::uint64_t seed, Update update,
                    Fault fault, std::function<void()> onContact);
    ~EndpointWatcher();
    EndpointWatcher(const EndpointWatcher&) = delete;
    EndpointWatcher& operator=(const EndpointWatcher&) = delete;
    // Follows the list service at another address from now on. Connections to the old address are read until
    // the new one delivers data, but are not reopened.
    void moveTo(const io::Address& at);
    // Opens a new connection beside the others to find out whether the list service still speaks, unless one
    // is without an answer already.
    void check();
    // Since when a connection that was opened to the current address, or the attempt to open one, is without
    // an answer; nothing if the list service has sent something since.
    std::optional<double> unansweredSince() const { return unansweredSince_; }
    std::size_t connections() const { return open_.size(); }
    const std::array<std::uint64_t, static_cast<std::size_t>(WatchFault::Count)>& faults() const {
        return faults_;
    }

  private:
    struct Stream {
        io::Address at;
        std::shared_ptr<io::Connection> connection;
        wire::http::Parser parser{wire::http::Parser::Kind::Response};
        JsonFrames frames{WatchState::kMaxObjectBytes};
        double timeoutAt = 0;  // if it is silent until then, another connection is opened beside it
        double openedAt = 0, lastLineAt = 0;
        std::size_t progress = 0;  // bytes of a list received since timeoutAt was last set
    };
    using StreamPtr = std::shared_ptr<Stream>;
    void connect();
    void armNextAttempt();
    void makeRoom();
    void onProgress(const StreamPtr& stream, std::size_t bytes);
    void onData(const StreamPtr& stream, std::string_view bytes);
    bool onBody(const StreamPtr& stream, std::string_view part);  // false if it ended the stream
    void onLine(const StreamPtr& stream);
    void drop(const StreamPtr& stream);
    void failed(const StreamPtr& stream, WatchFault fault, const std::string& message);
    void reportFault(WatchFault fault, const std::string& message);
    bool toCurrentAddress(const Stream& stream) const { return stream.at.text() == at_.text(); }

    io::Address at_;
    WatchState watch_;
    Update update_;
    Fault fault_;
    std::function<void()> onContact_;
    std::vector<StreamPtr> open_;  // sorted by age, oldest first
    std::optional<double> unansweredSince_;
    double reconnectAt_ = 0;  // when to reconnect if no connection is open
    std::array<std::uint64_t, static_cast<std::size_t>(WatchFault::Count)> faults_{};
    io::Timer attemptTimer_;
};

}  // namespace spokewheel::registry
