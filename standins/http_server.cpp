#include "standins/http_server.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace spokewheel::standins {

using wire::http::Parser;

HttpServer::HttpServer(const io::Address& at, Handler handler, std::uint64_t mostBody)
    : handler_(std::move(handler)), mostBody_(mostBody) {
    listener_ = std::make_unique<io::Listener>(
        at, [this](std::shared_ptr<io::Connection> c) { accept(std::move(c)); });
}
HttpServer::~HttpServer() { cutAll(); }

void HttpServer::accept(std::shared_ptr<io::Connection> connection) {
    const auto id = ++next_;
    auto& c = clients_[id];
    c = std::make_unique<Client>();
    wire::http::Limits limits;
    limits.maxBodyBytes = mostBody_;
    c->parser = Parser(Parser::Kind::Request, limits);
    c->connection = std::move(connection);
    c->connection->setHandler({{},
                               [this, id](std::string_view bytes) { onData(id, bytes); },
                               {},
                               [this, id](io::DisconnectReason) {
                                   clients_.erase(id);
                                   if (handler_.gone) handler_.gone(id);
                               }});
    if (paused_) c->connection->pauseReading();
}

void HttpServer::onData(std::uint64_t id, std::string_view bytes) {
    auto& c = *clients_.at(id);
    if (c.busy) {
        c.pending += bytes;
        if (c.pending.size() > 64 * 1024) drop(id);  // pipelined further than anybody here does
        return;
    }
    std::string_view body;
    for (;;) switch (c.parser.next(bytes, body)) {
            case Parser::Result::NeedMore:
                return;
            case Parser::Result::Head: {
                c.request = {};
                c.request.connection = id;
                c.request.head = c.parser.head();
                std::string_view target = c.request.head.target;
                const auto mark = std::min(target.find('?'), target.size());
                c.request.path = wire::http::percentDecode(target.substr(0, mark)).value_or("");
                target.remove_prefix(std::min(mark + 1, target.size()));
                while (!target.empty()) {
                    const auto end = std::min(target.find('&'), target.size());
                    const auto pair = target.substr(0, end);
                    const auto equals = std::min(pair.find('='), pair.size());
                    c.request.query[std::string(pair.substr(0, equals))] =
                        wire::http::percentDecode(pair.substr(std::min(equals + 1, pair.size())))
                            .value_or("");
                    target.remove_prefix(std::min(end + 1, target.size()));
                }
                break;
            }
            case Parser::Result::Body:
                c.request.body += body;
                break;
            case Parser::Result::End:
                c.busy = true;
                c.closing = c.parser.closesConnection();
                c.pending = bytes;
                c.parser.reset();
                return handler_.request(std::move(c.request));
            case Parser::Result::Invalid:
                c.connection->write(wire::http::responseHead(400, {{"Connection", "close"}}, 0));
                c.connection->shutdownWrite();
                c.busy = true;
                return;
        }
}

void HttpServer::answer(std::uint64_t id, int status, const wire::http::Fields& fields, std::string body) {
    const auto found = clients_.find(id);
    if (found == clients_.end()) return;
    auto& c = *found->second;
    const bool headOnly = c.request.head.method == "HEAD";
    c.connection->write(wire::http::responseHead(status, fields, body.size()));
    if (!headOnly && !body.empty()) c.connection->write(std::move(body));
    c.busy = false;
    if (c.closing) return c.connection->shutdownWrite();
    const auto rest = std::exchange(c.pending, {});
    if (!rest.empty()) onData(id, rest);
}

void HttpServer::answerCut(std::uint64_t id, int status, std::string body, std::size_t bodyBytes) {
    const auto found = clients_.find(id);
    if (found == clients_.end()) return;
    auto& c = *found->second;
    c.connection->write(wire::http::responseHead(status, {}, body.size()));
    c.connection->write(body.substr(0, std::min(bodyBytes, body.size() - 1)));
    c.connection->shutdownWrite();
}

void HttpServer::drop(std::uint64_t id) {
    const auto found = clients_.find(id);
    if (found == clients_.end()) return;
    const auto client = std::move(found->second);
    clients_.erase(found);
    client->connection->close();
    if (handler_.gone) handler_.gone(id);
}
void HttpServer::cut(std::uint64_t id) { drop(id); }
void HttpServer::cutAll() {
    const auto all = std::exchange(clients_, {});
    for (const auto& [id, c] : all) c->connection->close();
}
void HttpServer::cutIdle() {
    std::vector<std::uint64_t> idle;
    for (const auto& [id, c] : clients_)
        if (!c->busy && c->parser.atMessageStart()) idle.push_back(id);
    for (const auto id : idle) drop(id);
}
void HttpServer::pauseAll(bool paused) {
    paused_ = paused;
    for (const auto& [id, c] : clients_)
        paused ? c->connection->pauseReading() : c->connection->resumeReading();
}

}  // namespace spokewheel::standins
