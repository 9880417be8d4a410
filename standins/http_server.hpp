// A minimal HTTP/1.1 server for the stand-ins. Requests are passed on once their body is complete; each
// connection handles one request at a time.
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
    std::string path;                          // of the target, percent-decoded
    std::map<std::string, std::string> query;  // of the target; values are percent-decoded
};

class HttpServer {
  public:
    struct Handler {
        // Answered at any time through answer() with the request's connection, or never.
        std::function<void(Request)> request;
        // The client closed the connection, or this server did. Not called by closeAll().
        std::function<void(std::uint64_t connection)> disconnected;
    };
    // Throws io::ListenError. A request with a larger body is answered with 400.
    HttpServer(const io::Address& at, Handler handler, std::uint64_t maxBodyBytes = 64 << 20);
    ~HttpServer();
    int port() const { return listener_->port(); }
    void answer(std::uint64_t connection, int status, const wire::http::Fields& fields, std::string body);
    // Sends the head and only the first `bodyBytes` of the body, then shuts the connection down.
    void answerTruncated(std::uint64_t connection, int status, std::string body, std::size_t bodyBytes);
    void close(std::uint64_t connection);
    void closeAll();
    void pauseAll(bool paused);  // stops reading from all connections, later ones included; or resumes
    // Closes the connections that wait for a request (RFC 9112, 9.5 allows this at any time).
    void closeIdle();
    std::size_t connections() const { return clients_.size(); }

  private:
    struct Client {
        std::shared_ptr<io::Connection> connection;
        wire::http::Parser parser{wire::http::Parser::Kind::Request};
        Request request;
        std::string pipelined;  // bytes that followed a request that has not been answered yet
        bool awaitingAnswer = false, closeAfterAnswer = false;
    };
    void accept(std::shared_ptr<io::Connection> connection);
    void onData(std::uint64_t id, std::string_view bytes);
    void drop(std::uint64_t id);

    Handler handler_;
    std::uint64_t maxBodyBytes_, nextId_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Client>> clients_;
    bool paused_ = false;
    std::unique_ptr<io::Listener> listener_;
};

}  // namespace spokewheel::standins
