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

void Registry::onRequest(const Request& r) {
    ++queries_;
    if (down_) return server_->cut(r.connection);
    if (silent_) return;
    if (r.path != "/nodes") return server_->answer(r.connection, 404, {}, "");
    const auto number = [&r](const char* name) {
        const auto q = r.query.find(name);
        return q == r.query.end() ? 0ULL : std::strtoull(q->second.c_str(), nullptr, 10);
    };
    if (number("index") != index_) return tell(r.connection);
    auto& w = waiting_[r.connection];
    w.index = index_;
    w.timer = std::make_unique<io::Timer>();
    w.timer->arm(std::min<double>(static_cast<double>(number("wait")), 60000),
                 [this, c = r.connection] { tell(c); });
}

void Registry::tell(std::uint64_t connection) {
    if (const auto w = waiting_.find(connection); w != waiting_.end()) {
        const auto keep = std::move(w->second);  // this may run from its timer
        waiting_.erase(w);
    }
    server_->answer(connection, 200, {{"X-Index", std::to_string(index_)}}, told_);
}
void Registry::tellAll() {
    while (!waiting_.empty()) tell(waiting_.begin()->first);
}

// PUT /nodes sets the list; POST /faults?down=1&silent=1&behind-ms=500, /reset, /clear; GET /counts.
void Registry::onControl(Request r) {
    int status = 200;
    if (r.path == "/nodes" && r.head.method == "PUT") {
        list_ = r.body;
        auto apply = [this, text = list_] {
            told_ = text;
            ++index_;
            tellAll();
        };
        if (behindMs_ <= 0) apply();
        else {
            late_.push_back(std::make_unique<io::Timer>());
            late_.back()->arm(behindMs_, apply);
        }
    } else if (r.path == "/faults") {
        for (const auto& [name, value] : r.query) {
            if (name == "down") down_ = value == "1";
            else if (name == "silent") silent_ = value == "1";
            else if (name == "behind-ms") behindMs_ = std::atof(value.c_str());
            else status = 400;
        }
        if (down_) server_->cutAll(), waiting_.clear();
    } else if (r.path == "/reset") {
        index_ = 1;
        tellAll();
    } else if (r.path == "/clear") {
        down_ = silent_ = false;
        behindMs_ = 0;
    } else if (r.path != "/counts") status = 404;
    control_->answer(
        r.connection, status, {},
        "queries " + std::to_string(queries_) + "\nwaiting " + std::to_string(waiting_.size()) + "\n");
}

}  // namespace spokewheel::standins
