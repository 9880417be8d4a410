#include "fronts/http/server.hpp"

#include <cstdio>
#include <utility>
#include <vector>

namespace spokewheel::fronts::http {

using Phase = Standing::Phase;

struct Server::Session {
    std::uint64_t number = 0;
    std::shared_ptr<io::Connection> connection;
    wire::http::Parser parser{wire::http::Parser::Kind::Request, {16 * 1024, 64, kMostBody}};
    Standing standing;
    Decoded decoded;
    std::string body, ahead;  // ahead: what came behind the open request; unread until that is answered
    std::string hostId;       // of the open request
    std::size_t dropped = 0;  // bytes read while leaving
    bool isReady = false;     // the request is the one for readiness
};

namespace {

constexpr double kSweepMs = 100;
constexpr std::size_t kMostAhead = 64 * 1024;

}  // namespace

Server::Server(host::Host& host, const Settings& settings, const io::Address& at, std::size_t descriptors)
    : host_(host), settings_(settings), descriptors_(descriptors), most_(sharesOf(descriptors).clients) {
    listener_ = std::make_unique<io::Listener>(
        at, [this](std::shared_ptr<io::Connection> c) { onAccepted(std::move(c)); });
    sweep_.arm(kSweepMs, [this] { sweep(); });
}

Server::~Server() {
    *alive_ = false;
    for (auto& [number, s] : sessions_) s->connection->close();
}

void Server::enter(Session& s, Phase phase) { s.standing = {phase, io::nowMs()}; }

void Server::onAccepted(std::shared_ptr<io::Connection> connection) {
    if (sessions_.size() >= most_) makeRoom();
    auto s = std::make_shared<Session>();
    s->number = ++nextSession_;
    s->connection = std::move(connection);
    enter(*s, Phase::Silent);
    sessions_[s->number] = s;
    ++counts_.connections;
    counts_.most = std::max(counts_.most, sessions_.size());
    const std::weak_ptr<Session> weak = s;
    s->connection->handle({{},
                           [this, weak](std::string_view bytes) {
                               if (const auto l = weak.lock()) onData(l, bytes);
                           },
                           {},
                           [this, weak](io::Closed) {
                               if (const auto l = weak.lock()) onClosed(l);
                           }});
}

// The connections are few enough to look at each; this happens only at the cap.
void Server::makeRoom() {
    SessionPtr first;
    for (const auto& [number, s] : sessions_)
        if (s->standing.phase != Phase::Open && (!first || goesBefore(s->standing, first->standing)))
            first = s;
    if (!first) return;
    ++counts_.gaveWay;
    close(first);
}

Room Server::room() const { return ready_ ? roomOf(sessions_.size(), descriptors_) : Room::Plenty; }

void Server::sweep() {
    const double now = io::nowMs();
    const auto room = this->room();
    std::vector<SessionPtr> over;
    for (const auto& [number, s] : sessions_)
        if (decide(s->standing, room, now) != Do::Keep || (draining_ && s->standing.phase == Phase::Idle))
            over.push_back(s);
    for (const auto& s : over)
        if (decide(s->standing, room, now) == Do::TellAndClose)
            error(s, 408, "the request did not come whole in time");
        else close(s);
    if (draining_ && drained_) {
        bool busy = false;
        for (const auto& [number, s] : sessions_)
            busy = busy || s->standing.phase == Phase::Open || s->standing.phase == Phase::Speaking ||
                   s->connection->queued() > 0;
        if (!busy) return std::exchange(drained_, nullptr)();
    }
    sweep_.arm(kSweepMs, [this] { sweep(); });
}

void Server::drain(std::function<void()> done) {
    ready_ = false;
    draining_ = true;
    drained_ = std::move(done);
}

void Server::onData(const SessionPtr& s, std::string_view bytes) {
    switch (s->standing.phase) {
        case Phase::Open:
            s->ahead += bytes;
            if (s->ahead.size() >= kMostAhead) s->connection->pauseReading();
            return;
        case Phase::Leaving:
            if ((s->dropped += bytes.size()) > kLeaveBytes) close(s);
            return;
        default:
            return parse(s, bytes);
    }
}

void Server::parse(const SessionPtr& s, std::string_view bytes) {
    using Got = wire::http::Parser::Got;
    std::string_view body;
    while (s->connection->open()) {
        if (s->standing.phase == Phase::Open) {
            s->ahead += bytes;
            return;
        }
        if (s->standing.phase == Phase::Leaving) return;
        if (!bytes.empty() && s->standing.phase != Phase::Speaking) enter(*s, Phase::Speaking);
        switch (s->parser.next(bytes, body)) {
            case Got::More:
                return;
            case Got::Head:
                if (!onHead(s)) return;
                break;
            case Got::Body:
                s->body += body;
                break;
            case Got::End:
                onWhole(s);
                break;
            case Got::Bad:
                return error(s, 400, s->parser.error());
        }
    }
}

// False where the request has been answered already.
bool Server::onHead(const SessionPtr& s) {
    const auto& head = s->parser.head();
    s->isReady = head.method == "GET" && head.target == "/ready";
    if (s->isReady) return true;
    s->decoded = decodeRequest(head, settings_);
    if (s->decoded.status) {
        error(s, s->decoded.status, s->decoded.words);
        return false;
    }
    if (const auto* expect = head.find("Expect"); expect && wire::http::sameName(*expect, "100-continue")) {
        s->connection->write("HTTP/1.1 100 Continue\r\n\r\n");
        s->connection->flush();
    }
    return true;
}

void Server::onWhole(const SessionPtr& s) {
    const bool last = s->parser.closes();
    if (s->isReady) return answer(s, ready_ ? 200 : 503, {}, "", last);
    if (s->decoded.work.exchange->method == "GET" && !s->body.empty())
        return error(s, 400, "a GET with a body");
    if (!openIds_.insert(s->decoded.id).second) return error(s, 409, "X-Request-ID is of an open request");
    ++counts_.requests;
    auto work = std::move(s->decoded.work);
    if (work.exchange->method == "PUT") {
        auto exchange = std::make_shared<host::Exchange>(*work.exchange);
        exchange->body = std::make_shared<const std::string>(std::exchange(s->body, {}));
        work.exchange = std::move(exchange);
    }
    work.arrivedMs = io::nowMs();
    enter(*s, Phase::Open);
    s->hostId = host_.submit(std::move(work), [this, alive = alive_, s](host::Answer a) {
        if (*alive) onAnswer(s, std::move(a));
    });
}

void Server::onAnswer(const SessionPtr& s, host::Answer a) {
    openIds_.erase(s->decoded.id);
    s->hostId.clear();
    const bool last = s->parser.closes();
    wire::http::Fields fields;
    switch (a.kind) {
        case host::Answer::Kind::Served:
            answer(s, 200, {}, a.body, last);
            break;
        case host::Answer::Kind::Refused:
            if (a.holdOffMs > 0) {
                char seconds[32];
                std::snprintf(seconds, sizeof seconds, "%.3f", a.holdOffMs / 1000);
                fields.emplace_back("Retry-After", seconds);
            }
            answer(s, 503, std::move(fields), "", last);
            break;
        case host::Answer::Kind::Failed:
            answer(s, 502, {}, "", last);
            break;
    }
    if (s->standing.phase != Phase::Idle || s->ahead.empty()) return;
    const auto ahead = std::exchange(s->ahead, {});
    s->connection->resumeReading();
    parse(s, ahead);
}

void Server::answer(const SessionPtr& s, int status, wire::http::Fields fields, const std::string& body,
                    bool last) {
    last = last || draining_ || room() == Room::None;
    if (last) fields.emplace_back("Connection", "close");
    s->connection->write(wire::http::writeResponse(status, fields, body.size()) + body);
    s->connection->flush();
    s->parser.reset();
    s->body.clear();
    s->decoded = {};
    if (last) leave(s);
    else enter(*s, Phase::Idle);
}

void Server::error(const SessionPtr& s, int status, const std::string& words) {
    ++counts_.errors;
    answer(s, status, {{"Content-Type", "text/plain"}}, words + "\n", true);
}

// The write side is closed after what is queued; what still comes is read and dropped for a while, so that
// the answer isn't lost to a reset.
void Server::leave(const SessionPtr& s) {
    enter(*s, Phase::Leaving);
    s->ahead.clear();
    s->connection->resumeReading();
    s->connection->shutdownWrite();
}

void Server::onClosed(const SessionPtr& s) {
    if (!s->hostId.empty()) {
        openIds_.erase(s->decoded.id);
        host_.abandon(std::exchange(s->hostId, {}));
    }
    sessions_.erase(s->number);
}

void Server::close(const SessionPtr& s) {
    s->connection->close();
    onClosed(s);
}

}  // namespace spokewheel::fronts::http
