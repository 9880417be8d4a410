#include "kit/soak/agent.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace spokewheel::soak {
namespace {

constexpr double kHeartbeatMs = 2000, kFormerPortOpenMs = 1500, kNoticeAfterSilenceMs = 6000,
                 kNoticeAfterMoveMs = 4000;
constexpr std::size_t kSlowPieceBytes = 120;
constexpr double kSlowPieceGapMs = 3;

std::string httpChunk(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx", bytes.size());
    return std::string(size) + "\r\n" + bytes + "\r\n";
}

}  // namespace

Agent::Agent(Reactor& reactor, Random& random, EventSink record, int scheduler, int port,
             MemberSent onMemberSent)
    : reactor_(reactor),
      random_(random),
      record_(std::move(record)),
      scheduler_(scheduler),
      port_(port),
      onMemberSent_(std::move(onMemberSent)) {
    startListening();
    reactor_.after(kHeartbeatMs, [this, alive = alive_] {
        if (*alive) sendHeartbeat();
    });
}

Agent::~Agent() {
    *alive_ = false;
    reactor_.stopListening(port_);
    for (const auto& watch : watches_) watch->connection->close();
}

void Agent::startListening() {
    reactor_.listen(port_, [this](TcpConnectionPtr connection) { accept(std::move(connection)); });
}

std::string Agent::listJson(int sinceRevision, bool complete, bool indented) const {
    const std::string separator = indented ? "\n    " : "";
    std::ostringstream out;
    out << "{" << separator << "\"revision\":" << revision_ << "," << separator
        << "\"complete\":" << (complete ? "true" : "false") << "," << separator << "\"members\":[";
    const char* comma = "";
    for (const auto& member : members_) {
        if (complete ? member.phase == "removed" : member.revision <= sinceRevision) continue;
        char upSince[32];
        std::snprintf(upSince, sizeof upSince, "%.0f", member.upSinceMs);
        out << comma << separator << "{" << separator << R"("id":")" << member.id
            << R"(","host_port":"127.0.0.1:)" << member.port << R"(","locality":")" << member.zone
            << R"(","flavor":"m2","cell":)" << member.cell << R"(,"phase":")" << member.phase
            << R"(","size":1.0,"up_since_ms":)" << upSince << "}";
        comma = ",";
    }
    out << "]" << (indented ? "\n" : "") << "}";
    return out.str();
}

std::string Agent::fullListJson(int revisionsBack) const {
    Agent const& self = *this;
    std::ostringstream out;
    const int revision = std::max(1, self.revision_ - revisionsBack);
    out << "{\"revision\":" << revision << ",\"complete\":true,\"members\":[";
    const char* comma = "";
    for (const auto& member : members_) {
        if (member.phase == "removed" && member.revision <= revision) continue;
        if (member.revision > revision && member.upSinceMs > 0) continue;  // not listed yet at that revision
        char upSince[32];
        std::snprintf(upSince, sizeof upSince, "%.0f", member.upSinceMs);
        out << comma << R"({"id":")" << member.id << R"(","host_port":"127.0.0.1:)" << member.port
            << R"(","locality":")" << member.zone << R"(","flavor":"m2","cell":)" << member.cell
            << R"(,"phase":")" << (member.revision > revision ? "up" : member.phase)
            << R"(","size":1.0,"up_since_ms":)" << upSince << "}";
        comma = ",";
    }
    out << "]}";
    return out.str();
}

void Agent::updateMember(const Member& member) {
    if (down_) return pending_.push_back(member);
    const auto found =
        std::find_if(members_.begin(), members_.end(), [&](const Member& m) { return m.id == member.id; });
    auto& stored = found == members_.end() ? members_.emplace_back(member) : *found;
    stored = member;
    stored.revision = ++revision_;
    if (member.phase != "up") recordNotified(stored, notifiedBy());
    for (const auto& watch : watches_)
        if (watch->requested && !watch->silenced && !watch->onFormerPort) sendChanges(watch, false);
}

// The time by which the scheduler counts as notified of a change that reaches the agent now: at once if a
// watch is active, otherwise after the time that it has to notice silent watches or a moved agent.
double Agent::notifiedBy() const {
    const double now = reactor_.now();
    const bool anyActive = std::any_of(watches_.begin(), watches_.end(), [](const WatchPtr& w) {
        return w->requested && !w->silenced && !w->onFormerPort;
    });
    if (anyActive) return now;
    return std::max({now, silencedAt_ + kNoticeAfterSilenceMs, movedAt_ + kNoticeAfterMoveMs});
}

void Agent::recordNotified(const Member& member, double at) {
    Event event;
    event.kind = EventKind::Notified;
    event.at = at;
    event.scheduler = scheduler_;
    event.server = member.id;
    record_(event);
}

void Agent::setDown(bool down) {
    if (down == down_) return;
    down_ = down;
    if (down) {
        downSince_ = reactor_.now();
        return;
    }
    for (const auto& member : std::exchange(pending_, {})) updateMember(member);
    for (const auto& watch : watches_)
        if (!watch->request.empty() && !watch->requested) onRequest(watch);
}

void Agent::silenceWatches() {
    silencedAt_ = reactor_.now();
    for (const auto& watch : watches_) watch->silenced = true;
}

void Agent::resetWatches() {
    const auto watches = watches_;
    for (const auto& watch : watches) {
        watch->connection->reset();
        remove(watch);
    }
}

void Agent::moveTo(int port) {
    const int formerPort = std::exchange(port_, port);
    reactor_.stopListening(formerPort);
    startListening();
    movedAt_ = reactor_.now();
    for (const auto& watch : watches_) watch->onFormerPort = true;
    reactor_.after(kFormerPortOpenMs, [this, alive = alive_] {
        if (!*alive) return;
        const auto watches = watches_;
        for (const auto& watch : watches) {
            if (!watch->onFormerPort) continue;
            watch->connection->close();
            remove(watch);
        }
    });
}

void Agent::accept(TcpConnectionPtr connection) {
    auto watch = std::make_shared<Watch>();
    watch->connection = connection;
    watches_.push_back(watch);
    const std::weak_ptr<Watch> weak = watch;
    connection->onData = [this, weak](std::string_view bytes) {
        const auto w = weak.lock();
        if (!w) return;
        w->request += bytes;
        if (!down_ && !w->requested) onRequest(w);
    };
    connection->onEnd = [this, weak](TcpConnection::End) {
        const auto w = weak.lock();
        if (!w) return;
        w->connection->close();
        remove(w);
    };
}

void Agent::remove(const WatchPtr& watch) {
    watches_.erase(std::remove(watches_.begin(), watches_.end(), watch), watches_.end());
}

void Agent::onRequest(const WatchPtr& watch) {
    if (watch->request.find("\r\n\r\n") == std::string::npos) return;
    watch->requested = true;
    const auto indexAt = watch->request.find("index=");
    const int index = indexAt == std::string::npos ? -1 : std::atoi(watch->request.c_str() + indexAt + 6);
    send(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const bool complete = index < 0 || chance(random_, 0.3);
    watch->sentRevision = index;
    if (!complete && index >= revision_) return send(watch, httpChunk("\n"));
    sendChanges(watch, complete);
}

void Agent::send(const WatchPtr& watch, const std::string& bytes) {
    // What was sent slowly before goes first, also once the agent is no longer slow.
    if (!slow_ && watch->queuedUntilMs < reactor_.now()) return watch->connection->write(bytes);
    const std::weak_ptr<Watch> weak = watch;
    const std::size_t pieceBytes = slow_ ? kSlowPieceBytes : bytes.size();
    watch->queuedUntilMs = std::max(watch->queuedUntilMs, reactor_.now());
    for (std::size_t at = 0; at < bytes.size(); at += pieceBytes) {
        watch->queuedUntilMs += kSlowPieceGapMs;
        reactor_.after(watch->queuedUntilMs - reactor_.now(), [weak, part = bytes.substr(at, pieceBytes)] {
            if (const auto w = weak.lock()) w->connection->write(part);
        });
    }
}

void Agent::sendChanges(const WatchPtr& watch, bool complete) {
    const int sinceRevision = complete ? 0 : watch->sentRevision;
    const auto text = listJson(sinceRevision, complete, chance(random_, 0.3));
    send(watch, httpChunk(text + "\n"));
    const double now = reactor_.now();
    for (const auto& member : members_) {
        if (member.revision <= watch->sentRevision && !complete) continue;
        if (member.phase != "up" && member.revision > watch->sentRevision) recordNotified(member, now);
        if (member.phase == "up") onMemberSent_(member);
    }
    watch->sentRevision = revision_;
}

void Agent::sendHeartbeat() {
    if (!down_)
        for (const auto& watch : watches_)
            if (watch->requested && !watch->silenced) send(watch, httpChunk("\n"));
    reactor_.after(kHeartbeatMs, [this, alive = alive_] {
        if (*alive) sendHeartbeat();
    });
}

}  // namespace spokewheel::soak
