#include "kit/soak/disk_server.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace spokewheel::soak {

namespace {

constexpr double kToldToleranceMs = 50;
constexpr int kBacklog = 512;
int nextAttempt = 0;

std::string valueIn(const std::string& list, const std::string& name) {
    const auto at = list.find(name + "=");
    if (at == list.npos) return "";
    const auto from = at + name.size() + 1;
    return list.substr(from, list.find_first_of(",;", from) - from);
}
std::string fieldOf(const wire::http::Head& head, const char* name) {
    const auto* value = head.find(name);
    return value ? *value : std::string();
}
std::string withLength(const std::string& status, const std::string& body, const std::string& fields = "") {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

}  // namespace

struct DiskServer::Session {
    int scheduler = -1;
    LinkPtr link;
    wire::http::Parser parser{wire::http::Parser::Kind::Request};
    double firstByteAt = -1;
    bool begun = false;  // the first byte of the present attempt was recorded
    Attempt attempt;
    bool out = false;  // an attempt is not finished
};

DiskServer::DiskServer(Reactor& reactor, Random& random, Record record, Place place, std::vector<int> ports,
                       Setting setting)
    : reactor_(reactor),
      random_(random),
      record_(std::move(record)),
      place_(std::move(place)),
      ports_(std::move(ports)),
      setting_(std::move(setting)) {
    openDoors();
}

DiskServer::~DiskServer() {
    *alive_ = false;
    for (const int port : ports_) reactor_.unlisten(port);
    for (const auto& session : sessions_) session->link->reset();
}

void DiskServer::openDoors() {
    for (std::size_t i = 0; i < ports_.size(); ++i)
        reactor_.listen(ports_[i], [this, i](LinkPtr link) { accept(static_cast<int>(i), std::move(link)); });
}

void DiskServer::setMode(Mode mode) {
    if (mode == mode_) return;
    const auto before = std::exchange(mode_, mode);
    if (before == Mode::Vanished) {
        // Connections were never taken, and are reset once the machine is back.
        for (const int port : ports_) reactor_.unlisten(port);
        resetConnections(1);
    }
    if (before == Mode::Crashed || before == Mode::Vanished) openDoors();
    if (mode == Mode::Crashed) {
        for (const int port : ports_) reactor_.unlisten(port);
        resetConnections(1);
    }
    holdDoors();
}

void DiskServer::holdDoors() {
    for (std::size_t i = 0; i < ports_.size(); ++i)
        reactor_.holdListener(ports_[i], mode_ != Mode::Crashed && cut(static_cast<int>(i)));
    for (const auto& session : sessions_) session->link->pauseReading(cut(session->scheduler));
}

void DiskServer::cutOff(int scheduler, bool isCut) {
    if ((cutOff_.count(scheduler) > 0) == isCut) return;
    if (isCut) cutOff_.insert(scheduler);
    else cutOff_.erase(scheduler);
    if (mode_ == Mode::Vanished || mode_ == Mode::Crashed) return;
    if (!isCut) {
        resetConnectionsOf(scheduler);
        // What waits to be taken came over the cut: it goes with the door.
        const int port = portFor(scheduler);
        reactor_.unlisten(port);
        reactor_.listen(port, [this, scheduler](LinkPtr link) { accept(scheduler, std::move(link)); });
    }
    holdDoors();
}

void DiskServer::resetConnectionsOf(int scheduler) {
    const auto sessions = sessions_;
    for (const auto& session : sessions) {
        if (session->scheduler != scheduler) continue;
        if (session->out) finish(session, session->attempt, "reset");
        session->link->reset();
        sessions_.erase(std::remove(sessions_.begin(), sessions_.end(), session), sessions_.end());
    }
}

void DiskServer::loseFirstTries(bool lose) {
    if (mode_ != Mode::Serving) lose = false;
    for (std::size_t i = 0; i < ports_.size(); ++i) {
        reactor_.setBacklog(ports_[i], lose ? 0 : kBacklog);
        if (!cut(static_cast<int>(i)) && mode_ != Mode::Crashed) reactor_.holdListener(ports_[i], lose);
        // A queue of length 0 holds one connection; those who come after it are not heard.
        if (lose)
            for (int n = 0; n < 2; ++n) fillers_.push_back(reactor_.dial(ports_[i]));
    }
    if (lose) return;
    for (const auto& filler : fillers_) filler->close();
    fillers_.clear();
}

void DiskServer::restart() {
    setMode(Mode::Crashed);
    setMode(Mode::Serving);
    startCold();
}

void DiskServer::startCold() {
    startedAt_ = freeAt_ = reactor_.now();
    ++starts_;
    toldAt_.clear();
    Event event;
    event.kind = EventKind::ServerStarted;
    event.at = startedAt_;
    event.server = place_.id;
    record_(event);
}

void DiskServer::schedulerTold(int scheduler) { toldAt_.emplace(scheduler, reactor_.now()); }

void DiskServer::resetConnections(double share) {
    const auto sessions = sessions_;
    for (const auto& session : sessions) {
        if (share < 1 && !chance(random_, share)) continue;
        if (session->out) finish(session, session->attempt, "reset");
        session->link->reset();
        sessions_.erase(std::remove(sessions_.begin(), sessions_.end(), session), sessions_.end());
    }
}

void DiskServer::closeIdle(bool usedOnly) {
    const auto sessions = sessions_;
    for (const auto& session : sessions) {
        if (session->out || session->begun || (usedOnly && session->attempt.number == 0)) continue;
        session->link->close();
        sessions_.erase(std::remove(sessions_.begin(), sessions_.end(), session), sessions_.end());
    }
}

void DiskServer::accept(int scheduler, LinkPtr link) {
    auto session = std::make_shared<Session>();
    session->scheduler = scheduler;
    session->link = link;
    sessions_.push_back(session);
    const std::weak_ptr<Session> weak = session;
    link->onData = [this, weak](std::string_view bytes) {
        if (const auto s = weak.lock()) onData(s, bytes);
    };
    link->onEnd = [this, weak](Link::End) {
        const auto s = weak.lock();
        if (!s) return;
        if (s->out) finish(s, s->attempt, "called off");
        s->link->close();
        sessions_.erase(std::remove(sessions_.begin(), sessions_.end(), s), sessions_.end());
    };
    // Nothing passes a cut, but the scheduler's own end of the attempt is when it gave it up.
    link->onEndWhilePaused = [this, weak] {
        if (const auto s = weak.lock(); s && s->out) finish(s, s->attempt, "called off");
    };
    if (cut(scheduler)) link->pauseReading(true);
}

void DiskServer::onData(const SessionPtr& s, std::string_view bytes) {
    using Result = wire::http::Parser::Result;
    std::string_view part;
    if (!s->begun) s->firstByteAt = reactor_.now();
    for (;;) switch (s->parser.next(bytes, part)) {
            case Result::NeedMore:
                if (!s->begun || breakUploads_ == 0) return;
                --breakUploads_;
                s->link->reset();
                sessions_.erase(std::remove(sessions_.begin(), sessions_.end(), s), sessions_.end());
                return;
            case Result::Body:
                break;
            case Result::Head: {
                const auto& head = s->parser.head();
                s->begun = true;
                auto& a = s->attempt;
                a = {};
                a.number = ++nextAttempt;
                a.scheduler = s->scheduler;
                a.beganAt = s->firstByteAt;
                a.request = fieldOf(head, "X-Request-ID");
                a.requestClass = fieldOf(head, "X-Priority-Class");
                a.limited = fieldOf(head, "X-Plan") != "open";
                a.volume = valueIn(fieldOf(head, "X-IO"), "volume");
                a.units = std::atof(valueIn(fieldOf(head, "X-IO"), "units").c_str());
                a.key = valueIn(fieldOf(head, "Cookie"), "block");
                a.timeoutMs = std::atof(fieldOf(head, "X-Timeout-Ms").c_str());
                note(EventKind::AttemptBegan, a);
                break;
            }
            case Result::End:
                s->attempt.wholeAt = reactor_.now();
                s->parser.reset();
                s->begun = false;
                onWhole(s);
                if (bytes.empty()) return;
                s->firstByteAt = reactor_.now();
                break;
            case Result::Invalid:
                s->link->reset();
                return;
        }
}

void DiskServer::note(EventKind kind, const Attempt& attempt, const std::string& words) {
    Event event;
    event.kind = kind;
    event.at = kind == EventKind::AttemptBegan   ? attempt.beganAt
               : kind == EventKind::AttemptWhole ? attempt.wholeAt
                                                 : reactor_.now();
    event.scheduler = attempt.scheduler;
    event.server = place_.id;
    event.zone = place_.zone;
    event.request = attempt.request;
    event.requestClass = attempt.requestClass;
    event.key = attempt.key;
    event.attempt = attempt.number;
    event.units = attempt.units;
    event.timeoutMs = attempt.timeoutMs;
    if (attempt.limited) event.volume = attempt.volume;
    const auto told = toldAt_.find(attempt.scheduler);
    event.cold = cold() && told != toldAt_.end() && event.at > told->second + kToldToleranceMs;
    event.ageMs = event.at - startedAt_;
    event.words = words;
    record_(event);
}

void DiskServer::onWhole(const SessionPtr& s) {
    s->out = true;
    const Attempt attempt = s->attempt;
    note(EventKind::AttemptWhole, attempt);
    if (mode_ == Mode::Hanging) return;
    const bool full = freeAt_ > reactor_.now() + attempt.timeoutMs;
    if (full || chance(random_, draining_ ? 0.5 : faulty_ ? 0.03 : 0)) {
        note(EventKind::NotExecuted, attempt);
        finish(s, attempt, "answered");
        return say(s, withLength("503 Full", "", "X-Not-Processed: 1\r\n"));
    }
    const double share =
        std::min(1.0, setting_.coldShare + (1 - setting_.coldShare) * ageMs() / setting_.coldMs);
    const double takes = instant_ ? 0 : 1000 * attempt.units / (setting_.serverUnitsPerS * share);
    freeAt_ = std::max(freeAt_, reactor_.now()) + takes;
    const std::weak_ptr<Session> weak = s;
    reactor_.after(freeAt_ - reactor_.now(), [this, alive = alive_, weak, attempt, start = starts_] {
        if (!*alive || start != starts_ || mode_ == Mode::Hanging || mode_ == Mode::Crashed) return;
        if (const auto session = weak.lock();
            session && session->out && session->attempt.number == attempt.number)
            work(session, attempt);
        else if (attempt.number % 2) note(EventKind::Executed, attempt);  // called off too late
    });
}

void DiskServer::work(const SessionPtr& s, const Attempt& attempt) {
    note(EventKind::Executed, attempt);
    answer(s, attempt);
}

// Passes bytes on as the network would: at times in two parts.
void DiskServer::say(const SessionPtr& s, const std::string& bytes) {
    if (cut(s->scheduler)) return;
    if (bytes.size() < 2 || !chance(random_, 0.15)) return s->link->write(bytes);
    const auto cut = 1 + static_cast<std::size_t>(drawBelow(random_, static_cast<int>(bytes.size()) - 1));
    s->link->write(bytes.substr(0, cut));
    const std::weak_ptr<Link> weak = s->link;
    reactor_.after(drawReal(random_) * 8, [weak, rest = bytes.substr(cut)] {
        if (const auto link = weak.lock()) link->write(rest);
    });
}

void DiskServer::finish(const SessionPtr& s, const Attempt& attempt, const char* how) {
    if (!std::exchange(s->out, false)) return;
    note(EventKind::AttemptEnded, attempt, how);
}

void DiskServer::answer(const SessionPtr& s, const Attempt& attempt) {
    const std::string body = "id:" + attempt.request + ":" + place_.id + ":" +
                             std::string(static_cast<std::size_t>(drawBelow(random_, 3000)), 'x');
    const std::string good = withLength("200 OK", body);
    const std::weak_ptr<Link> weak = s->link;
    const int what = faulty_ ? drawBelow(random_, 100) : 99;
    if (what < 2) {
        finish(s, attempt, "answered");
        return say(s, withLength("500 Oops", ""));
    }
    if (what < 6) {  // cut without an answer, in it, or noise
        finish(s, attempt, what == 4 ? "answered" : "cut");
        if (what == 3) s->link->write(good.substr(0, good.size() / 2));
        if (what == 4) return s->link->write("noise\r\n\r\n");
        return what == 5 ? s->link->close() : s->link->reset();
    }
    finish(s, attempt, "answered");
    if (what < 9) {  // without a length: the end of the connection is its end
        s->link->write("HTTP/1.1 200 OK\r\n\r\n" + body);
        return s->link->shutdownWrite();
    }
    if (what < 12) {  // a second copy, at once or some milliseconds late
        s->link->write(good);
        return reactor_.after(what == 9 ? 0 : 4 * drawReal(random_), [weak, good] {
            if (const auto link = weak.lock()) link->write(good);
        });
    }
    if (what < 14) return say(s, "HTTP/1.1 102 Processing\r\n\r\n" + good);
    say(s, good);
    if (what < 17) s->link->shutdownWrite();  // closes without having said so
}

}  // namespace spokewheel::soak
