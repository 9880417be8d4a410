#include "standins/registry.hpp"

#include <algorithm>
#include <cstdlib>

namespace spokewheel::standins {

Registry::Registry(const io::Address& at, const io::Address& control) {
    server_ =
        std::make_unique<HttpServer>(at, HttpServer::Handler{[this](Request r) { onRequest(r); },
                                                             [this](std::uint64_t c) { waiting_.erase(c); }});
    control_ = std::make_unique<HttpServer>(
        control, HttpServer::Handler{[this](Request r) { onControl(std::move(r)); }, {}});
}

void Registry::onRequest(const Request& request) {
    ++queries_;
    if (down_) return server_->close(request.connection);
    if (silent_) return;
    if (request.path != "/nodes") return server_->answer(request.connection, 404, {}, "");
    const auto parameter = [&request](const char* name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? 0ULL : std::strtoull(found->second.c_str(), nullptr, 10);
    };
    if (parameter("index") != index_) return sendList(request.connection);
    auto& query = waiting_[request.connection];
    query.index = index_;
    query.timer = std::make_unique<io::Timer>();
    query.timer->arm(std::min<double>(static_cast<double>(parameter("wait")), 60000),
                     [this, c = request.connection] { sendList(c); });
}

void Registry::sendList(std::uint64_t connection) {
    if (const auto query = waiting_.find(connection); query != waiting_.end()) {
        const auto keepAlive = std::move(query->second);  // this function may run from its timer
        waiting_.erase(query);
    }
    server_->answer(connection, 200, {{"X-Index", std::to_string(index_)}}, published_);
}
void Registry::sendListToAll() {
    while (!waiting_.empty()) sendList(waiting_.begin()->first);
}

// PUT /nodes sets the list, POST /faults?down=1&silent=1&behind-ms=500 sets faults, POST /clear clears them,
// POST /reset resets the index, GET /counts returns the counters.
void Registry::onControl(Request request) {
    int status = 200;
    if (request.path == "/nodes" && request.head.method == "PUT") {
        list_ = request.body;
        auto publish = [this, text = list_] {
            published_ = text;
            ++index_;
            sendListToAll();
        };
        if (behindMs_ <= 0) publish();
        else {
            delayedUpdates_.push_back(std::make_unique<io::Timer>());
            delayedUpdates_.back()->arm(behindMs_, publish);
        }
    } else if (request.path == "/faults") {
        for (const auto& [name, value] : request.query) {
            if (name == "down") down_ = value == "1";
            else if (name == "silent") silent_ = value == "1";
            else if (name == "behind-ms") behindMs_ = std::atof(value.c_str());
            else status = 400;
        }
        if (down_) server_->closeAll(), waiting_.clear();
    } else if (request.path == "/reset") {
        index_ = 1;
        sendListToAll();
    } else if (request.path == "/clear") {
        down_ = silent_ = false;
        behindMs_ = 0;
    } else if (request.path != "/counts") status = 404;
    control_->answer(
        request.connection, status, {},
        "queries " + std::to_string(queries_) + "\nwaiting " + std::to_string(waiting_.size()) + "\n");
}

}  // namespace spokewheel::standins
