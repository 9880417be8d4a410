#include "registry/watch_http.hpp"

#include <utility>

namespace spokewheel::registry {

WatchHttp::WatchHttp(const io::Address& at, std::int64_t revision, std::uint64_t seed, Update update,
                     Fault fault, std::function<void()> heard)
    : at_(at),
      watch_(revision, seed),
      update_(std::move(update)),
      fault_(std::move(fault)),
      heard_(std::move(heard)) {
    connect();
}

WatchHttp::~WatchHttp() {
    if (connection_) connection_->close();
}

void WatchHttp::connect() {
    parser_ = wire::http::Parser(wire::http::Parser::Kind::Response);
    line_.clear();
    connection_ = io::Connection::dial(at_);
    if (!connection_->open()) return failed("cannot be reached");
    connection_->handle({[this] {
                             std::string target = "/v1/endpoints?stream=1";
                             if (watch_.from() >= 0) target += "&index=" + std::to_string(watch_.from());
                             connection_->write(wire::http::writeRequest("GET", target, at_.text(), {}, {}));
                             connection_->flush();
                             timer_.arm(Watch::kSilentMs, [this] { failed("says nothing"); });
                         },
                         [this](std::string_view bytes) { onData(bytes); },
                         {},
                         [this](io::Closed) { failed("closed the connection"); }});
    timer_.arm(Watch::kConnectMs, [this] { failed("does not take the connection"); });
}

void WatchHttp::failed(const std::string& words) {
    if (connection_) connection_->close();
    connection_.reset();
    fault_("discovery at " + at_.text() + " " + words);
    timer_.arm(watch_.againMs(), [this] { connect(); });
}

void WatchHttp::onData(std::string_view bytes) {
    using Got = wire::http::Parser::Got;
    timer_.arm(Watch::kSilentMs, [this] { failed("says nothing"); });
    std::string_view part;
    for (;;) switch (parser_.next(bytes, part)) {
            case Got::More:
                return;
            case Got::Head:
                if (parser_.head().status != 200)
                    return failed("answered with status " + std::to_string(parser_.head().status));
                break;
            case Got::Body:
                while (!part.empty()) {
                    const auto end = part.find('\n');
                    line_.append(part.substr(0, end));
                    if (line_.size() > Watch::kMostLine) {
                        watch_.lost();
                        return failed("sent a line that is too long");
                    }
                    if (end == part.npos) break;
                    part.remove_prefix(end + 1);
                    const auto line = std::exchange(line_, {});
                    if (!onLine(line)) return;
                }
                break;
            case Got::End:
                return failed("ended the watch");
            case Got::Bad:
                return failed("sent what can't be read: " + parser_.error());
        }
}

bool WatchHttp::onLine(std::string_view line) {
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) line.remove_suffix(1);
    watch_.heard();
    if (heard_) heard_();
    if (line.empty()) return true;
    Endpoints list;
    std::string words;
    if (!readEndpoints(line, list, words)) {
        watch_.lost();
        failed("sent a list that can't be read: " + words);
        return false;
    }
    if (watch_.take(list.revision, list.complete)) update_(std::move(list));
    return true;
}

}  // namespace spokewheel::registry
