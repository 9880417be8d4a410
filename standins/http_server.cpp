#include "standins/http_server.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace spokewheel::standins {
namespace {

// Pipelined bytes that a connection may hold while its request is unanswered; it is closed beyond that.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;

}  // namespace

using wire::http::Parser;

HttpServer::HttpServer(const io::Address& at, Handler handler, std::uint64_t maxBodyBytes)
    : handler_(std::move(handler)), maxBodyBytes_(maxBodyBytes) {
    listener_ = std::make_unique<io::Listener>(
        at, [this](std::shared_ptr<io::Connection> c) { accept(std::move(c)); });
}
HttpServer::~HttpServer() { closeAll(); }

void HttpServer::accept(std::shared_ptr<io::Connection> connection) {
    const auto id = ++nextId_;
    auto& client = clients_[id];
    client = std::make_unique<Client>();
    wire::http::Limits limits;
    limits.maxBodyBytes = maxBodyBytes_;
    client->parser = Parser(Parser::Kind::Request, limits);
    client->connection = std::move(connection);
    client->connection->setHandler({{},
                                    [this, id](std::string_view bytes) { onData(id, bytes); },
                                    {},
                                    [this, id](io::DisconnectReason) {
                                        clients_.erase(id);
                                        if (handler_.disconnected) handler_.disconnected(id);
                                    }});
    if (paused_) client->connection->pauseReading();
}

void HttpServer::onData(std::uint64_t id, std::string_view bytes) {
    auto& client = *clients_.at(id);
    if (client.awaitingAnswer) {
        client.pipelined += bytes;
        if (client.pipelined.size() > kMaxPipelinedBytes) drop(id);
        return;
    }
    std::string_view body;
    for (;;) switch (client.parser.next(bytes, body)) {
            case Parser::Result::NeedMore:
                return;
            case Parser::Result::Head: {
                client.request = {};
                client.request.connection = id;
                client.request.head = client.parser.head();
                std::string_view target = client.request.head.target;
                const auto queryStart = std::min(target.find('?'), target.size());
                client.request.path = wire::http::percentDecode(target.substr(0, queryStart)).value_or("");
                target.remove_prefix(std::min(queryStart + 1, target.size()));
                while (!target.empty()) {
                    const auto end = std::min(target.find('&'), target.size());
                    const auto pair = target.substr(0, end);
                    const auto equals = std::min(pair.find('='), pair.size());
                    client.request.query[std::string(pair.substr(0, equals))] =
                        wire::http::percentDecode(pair.substr(std::min(equals + 1, pair.size())))
                            .value_or("");
                    target.remove_prefix(std::min(end + 1, target.size()));
                }
                break;
            }
            case Parser::Result::Body:
                client.request.body += body;
                break;
            case Parser::Result::End:
                client.awaitingAnswer = true;
                client.closeAfterAnswer = client.parser.closesConnection();
                client.pipelined = bytes;
                client.parser.reset();
                return handler_.request(std::move(client.request));
            case Parser::Result::Invalid:
                client.connection->write(wire::http::responseHead(400, {{"Connection", "close"}}, 0));
                client.connection->shutdownWrite();
                client.awaitingAnswer = true;
                return;
        }
}

void HttpServer::answer(std::uint64_t id, int status, const wire::http::Fields& fields, std::string body) {
    const auto found = clients_.find(id);
    if (found == clients_.end()) return;
    auto& client = *found->second;
    const bool headOnly = client.request.head.method == "HEAD";
    client.connection->write(wire::http::responseHead(status, fields, body.size()));
    if (!headOnly && !body.empty()) client.connection->write(std::move(body));
    client.awaitingAnswer = false;
    if (client.closeAfterAnswer) return client.connection->shutdownWrite();
    const auto pipelined = std::exchange(client.pipelined, {});
    if (!pipelined.empty()) onData(id, pipelined);
}

void HttpServer::answerTruncated(std::uint64_t id, int status, std::string body, std::size_t bodyBytes) {
    const auto found = clients_.find(id);
    if (found == clients_.end()) return;
    auto& client = *found->second;
    client.connection->write(wire::http::responseHead(status, {}, body.size()));
    client.connection->write(body.substr(0, std::min(bodyBytes, body.size() - 1)));
    client.connection->shutdownWrite();
}

void HttpServer::drop(std::uint64_t id) {
    const auto found = clients_.find(id);
    if (found == clients_.end()) return;
    const auto client = std::move(found->second);
    clients_.erase(found);
    client->connection->close();
    if (handler_.disconnected) handler_.disconnected(id);
}
void HttpServer::close(std::uint64_t id) { drop(id); }
void HttpServer::closeAll() {
    const auto clients = std::exchange(clients_, {});
    for (const auto& [id, client] : clients) client->connection->close();
}
void HttpServer::closeIdle() {
    std::vector<std::uint64_t> idle;
    for (const auto& [id, client] : clients_)
        if (!client->awaitingAnswer && client->parser.atMessageStart()) idle.push_back(id);
    for (const auto id : idle) drop(id);
}
void HttpServer::pauseAll(bool paused) {
    paused_ = paused;
    for (const auto& [id, client] : clients_)
        paused ? client->connection->pauseReading() : client->connection->resumeReading();
}

}  // namespace spokewheel::standins
