#include "fronts/rsync/server.hpp"

#include <utility>
#include <vector>

namespace spokewheel::fronts::rsync {

Server::Server(Context& context, const io::Address& address)
    : context_(context),
      admission_({context.settings.handshakes, context.settings.connections,
                  context.settings.connectionsByAddress}) {
    listener_ = std::make_unique<io::Listener>(
        address, [this](std::shared_ptr<io::Connection> c) { accept(std::move(c)); });
}
Server::~Server() { abort(); }

void Server::accept(std::shared_ptr<io::Connection> connection) {
    const auto id = ++nextId_;
    const auto address = connection->remoteHost();
    if (const auto oldest = admission_.addPending(id, address)) {
        ++evictions_;
        if (const auto found = sessions_.find(*oldest); found != sessions_.end()) {
            const auto session = found->second;
            session->evict();
        } else admission_.remove(*oldest);
    }
    Admission admission;
    admission.greeted = [this, id] { admission_.onProgress(id); };
    admission.refusalReason = [this, id](const config::VolumeSettings& v) {
        return admission_.refusalReason(id, v.name, v.connections);
    };
    admission.admit = [this, id](const config::VolumeSettings& v) {
        return admission_.admit(id, v.name, v.connections);
    };
    admission.authFailureDelayMs = [this, address] {
        return admission_.wrongPasswordDelayMs(address, context_.nowMs());
    };
    auto session = std::make_shared<Session>(
        context_, std::move(connection), "c" + std::to_string(id), std::move(admission), [this, id] {
            admission_.remove(id);
            sessions_.erase(id);
            if (sessions_.empty())
                if (const auto onEmpty = std::exchange(onEmpty_, nullptr)) onEmpty();
        });
    sessions_[id] = session;
    session->start();
}

void Server::drain(std::function<void()> onEmpty) {
    listener_->stop();
    onEmpty_ = std::move(onEmpty);
    std::vector<std::shared_ptr<Session>> all;
    for (const auto& [id, s] : sessions_) all.push_back(s);
    for (const auto& s : all) s->drain();
    if (sessions_.empty())
        if (const auto done = std::exchange(onEmpty_, nullptr)) done();
}

void Server::abort() {
    const auto all = std::exchange(sessions_, {});
    for (const auto& [id, s] : all) s->abort();
}

}  // namespace spokewheel::fronts::rsync
