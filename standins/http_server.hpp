// A small HTTP/1.1 server for the stand-ins: whole requests in, answers out, one at a time a connection.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "io/connection.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::standins {

struct Request {
    std::uint64_t connection = 0;
    wire::http::Head head;
    std::string body;
    std::string path;  // of the target, unescaped
    std::map<std::string, std::string> query;
};

class HttpServer {
  public:
    struct Handler {
        // Answered later by answer() with the request's connection, or never.
        std::function<void(Request)> request;
        std::function<void(std::uint64_t connection)> gone;
    };
    HttpServer(const io::Address& at, Handler handler, std::uint64_t mostBody = 64 << 20);
    ~HttpServer();
    int port() const { return listener_->port(); }
    void answer(std::uint64_t connection, int status, const wire::http::Fields& fields, std::string body);
    // Writes only this much of an answer, then cuts the connection.
    void answerCut(std::uint64_t connection, int status, std::string body, std::size_t bodyBytes);
    void cut(std::uint64_t connection);
    void cutAll();
    void pauseAll(bool paused);  // half-open: accepted, never read
    // Closes connections that wait for a request, without a word (RFC 9112, 9.5 allows it at any time).
    void cutIdle();
    std::size_t connections() const { return clients_.size(); }

  private:
    struct Client {
        std::shared_ptr<io::Connection> connection;
        wire::http::Parser parser{wire::http::Parser::Kind::Request};
        Request request;
        std::string pending;  // bytes behind a request that is not answered yet
        bool busy = false, closing = false;
    };
    void accept(std::shared_ptr<io::Connection> connection);
    void onData(std::uint64_t id, std::string_view bytes);
    void drop(std::uint64_t id);

    Handler handler_;
    std::uint64_t mostBody_, next_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Client>> clients_;
    bool paused_ = false;
    std::unique_ptr<io::Listener> listener_;
};

}  // namespace spokewheel::standins
