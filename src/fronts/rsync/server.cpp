#include "fronts/rsync/server.hpp"

#include <utility>
#include <vector>

namespace spokewheel::fronts::rsync {

Server::Server(Context& context, const io::Address& at) : context_(context) {
    listener_ = std::make_unique<io::Listener>(
        at, [this](std::shared_ptr<io::Connection> c) { accept(std::move(c)); });
}
Server::~Server() { abort(); }

void Server::accept(std::shared_ptr<io::Connection> connection) {
    if (sessions_.size() >= context_.settings.connections) {
        // Told in the protocol's own words, which the client prints; the queue of one line can't block.
        ++turnedAway_;
        connection->write("@ERROR: max connections (" + std::to_string(context_.settings.connections) +
                          ") reached -- try again later\n");
        connection->shutdownWrite();
        const auto id = ++next_;
        auto timer = std::make_shared<io::Timer>();
        connection->handle({{}, [](std::string_view) {}, {}, [timer](io::Closed) { timer->cancel(); }});
        timer->arm(500, [connection, timer, id] {
            (void)id;
            connection->close();
        });
        return;
    }
    const auto id = ++next_;
    auto session =
        std::make_shared<Session>(context_, std::move(connection), "c" + std::to_string(id), [this, id] {
            sessions_.erase(id);
            if (sessions_.empty())
                if (const auto empty = std::exchange(empty_, nullptr)) empty();
        });
    sessions_[id] = session;
    session->start();
}

void Server::drain(std::function<void()> empty) {
    listener_->stop();
    empty_ = std::move(empty);
    std::vector<std::shared_ptr<Session>> all;
    for (const auto& [id, s] : sessions_) all.push_back(s);
    for (const auto& s : all) s->drain();
    if (sessions_.empty())
        if (const auto done = std::exchange(empty_, nullptr)) done();
}

void Server::abort() {
    const auto all = std::exchange(sessions_, {});
    for (const auto& [id, s] : all) s->abort();
}

}  // namespace spokewheel::fronts::rsync
