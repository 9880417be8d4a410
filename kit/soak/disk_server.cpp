#include "kit/soak/disk_server.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace spokewheel::soak {

namespace {

constexpr double kAnnouncementToleranceMs = 50;  // no attempt counts as cold until then
constexpr int kBacklogLength = 512;
// An answer without an end brings so much every so often.
constexpr std::size_t kEndlessPieceBytes = 20000;
constexpr double kEndlessPieceMs = 50;
int lastAttemptNumber = 0;

std::string parameterOf(const std::string& parameters, const std::string& name) {
    const auto at = parameters.find(name + "=");
    if (at == parameters.npos) return "";
    const auto from = at + name.size() + 1;
    return parameters.substr(from, parameters.find_first_of(",;", from) - from);
}
std::string fieldOf(const wire::http::Head& head, const char* name) {
    const auto* value = head.find(name);
    return value ? *value : std::string();
}
std::string responseWithLength(const std::string& status, const std::string& body,
                               const std::string& fields = "") {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

}  // namespace

struct DiskServer::Session {
    int scheduler = -1;
    TcpConnectionPtr connection;
    wire::http::Parser parser{wire::http::Parser::Kind::Request};
    double firstByteAt = -1;
    bool attemptBegun = false;  // the head of a request was received and recorded, but not yet its end
    Attempt attempt;
    bool attemptOpen = false;  // a request was received whole and its attempt is not finished
};

DiskServer::DiskServer(Reactor& reactor, Random& random, EventSink record, Identity identity,
                       std::vector<int> ports, Settings settings)
    : reactor_(reactor),
      random_(random),
      record_(std::move(record)),
      identity_(std::move(identity)),
      ports_(std::move(ports)),
      settings_(std::move(settings)) {
    listenOnAllPorts();
}

DiskServer::~DiskServer() {
    *alive_ = false;
    for (const int port : ports_) reactor_.stopListening(port);
    for (const auto& session : sessions_) session->connection->reset();
}

void DiskServer::listenOnAllPorts() {
    for (std::size_t i = 0; i < ports_.size(); ++i)
        reactor_.listen(ports_[i], [this, i](TcpConnectionPtr connection) {
            accept(static_cast<int>(i), std::move(connection));
        });
}

void DiskServer::setMode(Mode mode) {
    if (mode == mode_) return;
    const auto before = std::exchange(mode_, mode);
    if (before == Mode::Unreachable) {
        // Connections made meanwhile were never accepted; they are reset once the machine is back.
        for (const int port : ports_) reactor_.stopListening(port);
        resetConnections(1);
    }
    if (before == Mode::Crashed || before == Mode::Unreachable) listenOnAllPorts();
    if (mode == Mode::Crashed) {
        for (const int port : ports_) reactor_.stopListening(port);
        resetConnections(1);
    }
    applyPartitions();
}

void DiskServer::applyPartitions() {
    for (std::size_t i = 0; i < ports_.size(); ++i)
        reactor_.pauseAccepting(ports_[i], mode_ != Mode::Crashed && isPartitioned(static_cast<int>(i)));
    for (const auto& session : sessions_)
        session->connection->pauseReading(isPartitioned(session->scheduler));
}

void DiskServer::setPartitioned(int scheduler, bool partitioned) {
    if ((partitioned_.count(scheduler) > 0) == partitioned) return;
    if (partitioned) partitioned_.insert(scheduler);
    else partitioned_.erase(scheduler);
    if (mode_ == Mode::Unreachable || mode_ == Mode::Crashed) return;
    if (!partitioned) {
        resetConnectionsOf(scheduler);
        // Connections that wait to be accepted were made during the partition: closing the listener resets
        // them.
        const int port = portFor(scheduler);
        reactor_.stopListening(port);
        reactor_.listen(port, [this, scheduler](TcpConnectionPtr connection) {
            accept(scheduler, std::move(connection));
        });
    }
    applyPartitions();
}

void DiskServer::resetConnectionsOf(int scheduler) {
    const auto sessions = sessions_;
    for (const auto& session : sessions) {
        if (session->scheduler != scheduler) continue;
        if (session->attemptOpen) finish(session, session->attempt, "reset");
        session->connection->reset();
        sessions_.erase(std::remove(sessions_.begin(), sessions_.end(), session), sessions_.end());
    }
}

void DiskServer::setDropSyns(bool drop) {
    if (mode_ != Mode::Serving) drop = false;
    for (std::size_t i = 0; i < ports_.size(); ++i) {
        reactor_.setBacklog(ports_[i], drop ? 0 : kBacklogLength);
        if (!isPartitioned(static_cast<int>(i)) && mode_ != Mode::Crashed)
            reactor_.pauseAccepting(ports_[i], drop);
        // A backlog of length 0 holds one connection; the kernel drops the SYN of any later one.
        if (drop)
            for (int n = 0; n < 2; ++n) backlogFillers_.push_back(reactor_.dial(ports_[i]));
    }
    if (drop) return;
    for (const auto& filler : backlogFillers_) filler->close();
    backlogFillers_.clear();
}

void DiskServer::restart() {
    setMode(Mode::Crashed);
    setMode(Mode::Serving);
    startCold();
}

void DiskServer::startCold() {
    startedAt_ = busyUntil_ = reactor_.now();
    ++starts_;
    announcedAt_.clear();
    Event event;
    event.kind = EventKind::ServerStarted;
    event.at = startedAt_;
    event.server = identity_.id;
    record_(event);
}

void DiskServer::onStartAnnounced(int scheduler) { announcedAt_.emplace(scheduler, reactor_.now()); }

void DiskServer::resetConnections(double share) {
    const auto sessions = sessions_;
    for (const auto& session : sessions) {
        if (share < 1 && !chance(random_, share)) continue;
        if (session->attemptOpen) finish(session, session->attempt, "reset");
        session->connection->reset();
        sessions_.erase(std::remove(sessions_.begin(), sessions_.end(), session), sessions_.end());
    }
}

void DiskServer::closeIdleConnections(bool usedOnly) {
    const auto sessions = sessions_;
    for (const auto& session : sessions) {
        if (session->attemptOpen || session->attemptBegun || (usedOnly && session->attempt.number == 0))
            continue;
        session->connection->close();
        sessions_.erase(std::remove(sessions_.begin(), sessions_.end(), session), sessions_.end());
    }
}

void DiskServer::accept(int scheduler, TcpConnectionPtr connection) {
    auto session = std::make_shared<Session>();
    session->scheduler = scheduler;
    session->connection = connection;
    sessions_.push_back(session);
    const std::weak_ptr<Session> weak = session;
    connection->onData = [this, weak](std::string_view bytes) {
        if (const auto session = weak.lock()) onArrival(session, bytes);
    };
    connection->onEnd = [this, weak](TcpConnection::End) {
        const auto session = weak.lock();
        if (!session) return;
        if (session->attemptOpen) finish(session, session->attempt, "called off");
        session->connection->close();
        sessions_.erase(std::remove(sessions_.begin(), sessions_.end(), session), sessions_.end());
    };
    // Nothing passes a partition, but the attempt ends when the scheduler gives it up.
    connection->onEndWhilePaused = [this, weak] {
        if (const auto session = weak.lock(); session && session->attemptOpen)
            finish(session, session->attempt, "called off");
    };
    if (isPartitioned(scheduler)) connection->pauseReading(true);
}

void DiskServer::setUnsoundAnswers(const UnsoundAnswers& answers, std::uint64_t seed) {
    unsound_ = answers;
    unsoundRandom_.seed(seed);
}

void DiskServer::onArrival(const SessionPtr& session, std::string_view bytes) {
    if (unsound_.oneWayMs <= 0) return onData(session, bytes);
    const std::weak_ptr<Session> weak = session;
    reactor_.after(unsound_.oneWayMs, [this, alive = alive_, weak, arrived = std::string(bytes)] {
        const auto open = weak.lock();
        if (*alive && open && open->connection->open()) onData(open, arrived);
    });
}

void DiskServer::sendOnItsWay(const SessionPtr& session, const std::string& bytes) {
    const std::weak_ptr<Session> weak = session;
    reactor_.after(unsound_.oneWayMs, [this, alive = alive_, weak, bytes] {
        const auto open = weak.lock();
        if (*alive && open && open->connection->open() && !isPartitioned(open->scheduler))
            open->connection->write(bytes);
    });
}

// Sends the response once more, some milliseconds later, if no other request has come by then.
void DiskServer::sendAgain(const SessionPtr& session, const Attempt& attempt, const std::string& response) {
    const std::weak_ptr<Session> weak = session;
    const double lateMs = 1 + (unsound_.mostLateMs - 1) * drawReal(unsoundRandom_);
    reactor_.after(lateMs, [this, alive = alive_, weak, response, number = attempt.number] {
        const auto open = weak.lock();
        if (!*alive || !open || open->attemptBegun || open->attempt.number != number) return;
        sendOnItsWay(open, response);
    });
}

void DiskServer::sendWithoutEnd(const SessionPtr& session) {
    if (!session->connection->open() || isPartitioned(session->scheduler)) return;
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", kEndlessPieceBytes);
    session->connection->write(size + std::string(kEndlessPieceBytes, 'e') + "\r\n");
    const std::weak_ptr<Session> weak = session;
    reactor_.after(kEndlessPieceMs, [this, alive = alive_, weak] {
        const auto open = weak.lock();
        if (*alive && open) sendWithoutEnd(open);
    });
}

void DiskServer::onData(const SessionPtr& session, std::string_view bytes) {
    using Result = wire::http::Parser::Result;
    std::string_view part;
    if (!session->attemptBegun) session->firstByteAt = reactor_.now();
    for (;;) switch (session->parser.next(bytes, part)) {
            case Result::NeedMore:
                if (!session->attemptBegun || uploadsToReset_ == 0) return;
                --uploadsToReset_;
                session->connection->reset();
                sessions_.erase(std::remove(sessions_.begin(), sessions_.end(), session), sessions_.end());
                return;
            case Result::Body:
                break;
            case Result::Head: {
                const auto& head = session->parser.head();
                session->attemptBegun = true;
                auto& attempt = session->attempt;
                attempt = {};
                attempt.number = ++lastAttemptNumber;
                attempt.scheduler = session->scheduler;
                attempt.beganAt = session->firstByteAt;
                attempt.request = fieldOf(head, "X-Request-ID");
                attempt.requestClass = fieldOf(head, "X-Priority-Class");
                attempt.limited = fieldOf(head, "X-Plan") != "open";
                attempt.volume = parameterOf(fieldOf(head, "X-IO"), "volume");
                attempt.units = std::atof(parameterOf(fieldOf(head, "X-IO"), "units").c_str());
                attempt.key = parameterOf(fieldOf(head, "Cookie"), "block");
                attempt.timeoutMs = std::atof(fieldOf(head, "X-Timeout-Ms").c_str());
                attempt.answerBytes = std::atoi(parameterOf(head.target, "bytes").c_str());
                recordEvent(EventKind::AttemptBegan, attempt);
                break;
            }
            case Result::End:
                session->attempt.receivedAt = reactor_.now();
                session->parser.reset();
                session->attemptBegun = false;
                onRequestComplete(session);
                if (bytes.empty()) return;
                session->firstByteAt = reactor_.now();
                break;
            case Result::Invalid:
                session->connection->reset();
                return;
        }
}

void DiskServer::recordEvent(EventKind kind, const Attempt& attempt, const std::string& detail) {
    Event event;
    event.kind = kind;
    event.at = kind == EventKind::AttemptBegan   ? attempt.beganAt
               : kind == EventKind::AttemptWhole ? attempt.receivedAt
                                                 : reactor_.now();
    event.scheduler = attempt.scheduler;
    event.server = identity_.id;
    event.zone = identity_.zone;
    event.request = attempt.request;
    event.requestClass = attempt.requestClass;
    event.key = attempt.key;
    event.attempt = attempt.number;
    event.units = attempt.units;
    event.timeoutMs = attempt.timeoutMs;
    if (attempt.limited) event.volume = attempt.volume;
    const auto announced = announcedAt_.find(attempt.scheduler);
    event.cold =
        cold() && announced != announcedAt_.end() && event.at > announced->second + kAnnouncementToleranceMs;
    event.ageMs = event.at - startedAt_;
    event.detail = detail;
    record_(event);
}

void DiskServer::onRequestComplete(const SessionPtr& session) {
    session->attemptOpen = true;
    const Attempt attempt = session->attempt;
    recordEvent(EventKind::AttemptWhole, attempt);
    if (mode_ == Mode::Hanging) return;
    const bool overloaded = busyUntil_ > reactor_.now() + attempt.timeoutMs;
    if (overloaded || chance(random_, draining_ ? 0.5 : randomFaults_ ? 0.03 : 0)) {
        recordEvent(EventKind::NotExecuted, attempt);
        finish(session, attempt, "answered");
        return send(session, responseWithLength("503 Full", "", "X-Not-Processed: 1\r\n"));
    }
    const double share =
        std::min(1.0, settings_.coldShare + (1 - settings_.coldShare) * ageMs() / settings_.coldMs);
    const double durationMs = instant_ ? 0 : 1000 * attempt.units / (settings_.serverUnitsPerS * share);
    busyUntil_ = std::max(busyUntil_, reactor_.now()) + durationMs;
    const std::weak_ptr<Session> weak = session;
    reactor_.after(busyUntil_ - reactor_.now(), [this, alive = alive_, weak, attempt, start = starts_] {
        if (!*alive || start != starts_ || mode_ == Mode::Hanging || mode_ == Mode::Crashed) return;
        if (const auto session = weak.lock();
            session && session->attemptOpen && session->attempt.number == attempt.number)
            execute(session, attempt);
        else if (attempt.number % 2)
            recordEvent(EventKind::Executed, attempt);  // half of the cancelled attempts run all the same
    });
}

void DiskServer::execute(const SessionPtr& session, const Attempt& attempt) {
    recordEvent(EventKind::Executed, attempt);
    respond(session, attempt);
}

// Sends bytes as a network may deliver them: sometimes in two parts.
void DiskServer::send(const SessionPtr& session, const std::string& bytes) {
    if (isPartitioned(session->scheduler)) return;
    if (bytes.size() < 2 || !chance(random_, 0.15)) return session->connection->write(bytes);
    const auto split = 1 + static_cast<std::size_t>(drawBelow(random_, static_cast<int>(bytes.size()) - 1));
    session->connection->write(bytes.substr(0, split));
    const std::weak_ptr<TcpConnection> weak = session->connection;
    reactor_.after(drawReal(random_) * 8, [weak, rest = bytes.substr(split)] {
        if (const auto connection = weak.lock()) connection->write(rest);
    });
}

void DiskServer::finish(const SessionPtr& session, const Attempt& attempt, const char* how) {
    if (!std::exchange(session->attemptOpen, false)) return;
    recordEvent(EventKind::AttemptEnded, attempt, how);
}

void DiskServer::respond(const SessionPtr& session, const Attempt& attempt) {
    const auto bodyBytes = static_cast<std::size_t>(drawBelow(random_, 3000));
    const std::string body =
        "id:" + attempt.request + ":" + identity_.id + ":" +
        std::string(std::max(bodyBytes, static_cast<std::size_t>(attempt.answerBytes)), 'x');
    const std::string response = responseWithLength("200 OK", body);
    if (unsound_.oneWayMs > 0 || unsound_.copyShare > 0 || unsound_.endlessShare > 0) {
        finish(session, attempt, "answered");
        if (chance(unsoundRandom_, unsound_.endlessShare)) {
            session->connection->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            return sendWithoutEnd(session);
        }
        sendOnItsWay(session, response);
        if (chance(unsoundRandom_, unsound_.copyShare)) sendAgain(session, attempt, response);
        return;
    }
    const std::weak_ptr<TcpConnection> weak = session->connection;
    const int behaviour = randomFaults_ ? drawBelow(random_, 100) : 99;
    if (behaviour < 2) {
        finish(session, attempt, "answered");
        return send(session, responseWithLength("500 Oops", ""));
    }
    if (behaviour < 6) {  // a reset, a reset after half a response, garbage, or a close
        finish(session, attempt, behaviour == 4 ? "answered" : "cut");
        if (behaviour == 3) session->connection->write(response.substr(0, response.size() / 2));
        if (behaviour == 4) return session->connection->write("noise\r\n\r\n");
        return behaviour == 5 ? session->connection->close() : session->connection->reset();
    }
    finish(session, attempt, "answered");
    if (behaviour < 9) {  // without Content-Length: the body ends with the connection
        session->connection->write("HTTP/1.1 200 OK\r\n\r\n" + body);
        return session->connection->shutdownWrite();
    }
    if (behaviour < 12) {  // a duplicate of the response, at once or a few milliseconds later
        session->connection->write(response);
        return reactor_.after(behaviour == 9 ? 0 : 4 * drawReal(random_), [weak, response] {
            if (const auto connection = weak.lock()) connection->write(response);
        });
    }
    if (behaviour < 14) return send(session, "HTTP/1.1 102 Processing\r\n\r\n" + response);
    send(session, response);
    if (behaviour < 17) session->connection->shutdownWrite();  // closes without a Connection: close field
}

}  // namespace spokewheel::soak
