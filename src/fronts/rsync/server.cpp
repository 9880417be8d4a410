#include "fronts/rsync/server.hpp"

#include <utility>
#include <vector>

namespace spokewheel::fronts::rsync {

Server::Server(Context& context, const io::Address& at)
    : context_(context),
      places_({context.settings.handshakes, context.settings.connections,
               context.settings.connectionsByAddress}) {
    listener_ = std::make_unique<io::Listener>(
        at, [this](std::shared_ptr<io::Connection> c) { accept(std::move(c)); });
}
Server::~Server() { abort(); }

void Server::accept(std::shared_ptr<io::Connection> connection) {
    const auto id = ++next_;
    const auto address = connection->remoteHost();
    if (const auto oldest = places_.addPending(id, address)) {
        ++evictions_;
        if (const auto found = sessions_.find(*oldest); found != sessions_.end()) {
            const auto session = found->second;
            session->giveWay();
        } else places_.remove(*oldest);
    }
    Doorman doorman;
    doorman.spoke = [this, id] { places_.onProgress(id); };
    doorman.why = [this, id](const config::VolumeSettings& v) {
        return places_.refusalReason(id, v.name, v.connections);
    };
    doorman.sit = [this, id](const config::VolumeSettings& v) {
        return places_.admit(id, v.name, v.connections);
    };
    doorman.wrongPassword = [this, address] { return places_.wrongPasswordDelayMs(address, context_.now()); };
    auto session = std::make_shared<Session>(context_, std::move(connection), "c" + std::to_string(id),
                                             std::move(doorman), [this, id] {
                                                 places_.remove(id);
                                                 sessions_.erase(id);
                                                 if (sessions_.empty())
                                                     if (const auto empty = std::exchange(empty_, nullptr))
                                                         empty();
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
