// Follows the platform's list over HTTP: a chunked answer that stays open, one JSON object a line, an empty
// line now and then while nothing changes. Reconnects from the last revision for as long as it lives.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "io/connection.hpp"
#include "io/loop.hpp"
#include "registry/decide_watch.hpp"
#include "registry/endpoints.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::registry {

class WatchHttp {
  public:
    using Update = std::function<void(Endpoints)>;
    using Fault = std::function<void(const std::string& words)>;
    // `heard` comes with each line, the empty ones too; it may destroy another watch, never this one.
    WatchHttp(const io::Address& at, std::int64_t revision, std::uint64_t seed, Update update, Fault fault,
              std::function<void()> heard);
    ~WatchHttp();
    WatchHttp(const WatchHttp&) = delete;
    WatchHttp& operator=(const WatchHttp&) = delete;

  private:
    void connect();
    void onData(std::string_view bytes);
    bool onLine(std::string_view line);
    void failed(const std::string& words);

    io::Address at_;
    Watch watch_;
    Update update_;
    Fault fault_;
    std::function<void()> heard_;
    std::shared_ptr<io::Connection> connection_;
    wire::http::Parser parser_{wire::http::Parser::Kind::Response};
    std::string line_;
    io::Timer timer_;
};

}  // namespace spokewheel::registry
