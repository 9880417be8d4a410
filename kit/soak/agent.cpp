#include "kit/soak/agent.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace spokewheel::soak {
namespace {

constexpr double kBeatMs = 2000, kOldPlaceMs = 1500, kSilenceMs = 6000, kMovedMs = 4000;
constexpr std::size_t kPiece = 120;
constexpr double kPieceMs = 3;

std::string chunkOf(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx", bytes.size());
    return std::string(size) + "\r\n" + bytes + "\r\n";
}

}  // namespace

Agent::Agent(Reactor& reactor, Random& random, EventSink record, int scheduler, int port, Written written)
    : reactor_(reactor),
      random_(random),
      record_(std::move(record)),
      scheduler_(scheduler),
      port_(port),
      written_(std::move(written)) {
    openPlace();
    reactor_.after(kBeatMs, [this, alive = alive_] {
        if (*alive) beat();
    });
}

Agent::~Agent() {
    *alive_ = false;
    reactor_.stopListening(port_);
    for (const auto& watch : watches_) watch->link->close();
}

void Agent::openPlace() {
    reactor_.listen(port_, [this](TcpConnectionPtr link) { accept(std::move(link)); });
}

std::string Agent::listJson(int sinceRevision, bool complete, bool indented) const {
    const std::string gap = indented ? "\n    " : "";
    std::ostringstream out;
    out << "{" << gap << "\"revision\":" << revision_ << "," << gap
        << "\"complete\":" << (complete ? "true" : "false") << "," << gap << "\"members\":[";
    const char* comma = "";
    for (const auto& m : members_) {
        if (complete ? m.phase == "removed" : m.revision <= sinceRevision) continue;
        char upSince[32];
        std::snprintf(upSince, sizeof upSince, "%.0f", m.upSinceMs);
        out << comma << gap << "{" << gap << R"("id":")" << m.id << R"(","host_port":"127.0.0.1:)" << m.port
            << R"(","locality":")" << m.zone << R"(","flavor":"m2","cell":)" << m.cell << R"(,"phase":")"
            << m.phase << R"(","size":1.0,"up_since_ms":)" << upSince << "}";
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
    for (const auto& m : members_) {
        if (m.phase == "removed" && m.revision <= revision) continue;
        if (m.revision > revision && m.upSinceMs > 0) continue;  // not there yet
        char upSince[32];
        std::snprintf(upSince, sizeof upSince, "%.0f", m.upSinceMs);
        out << comma << R"({"id":")" << m.id << R"(","host_port":"127.0.0.1:)" << m.port
            << R"(","locality":")" << m.zone << R"(","flavor":"m2","cell":)" << m.cell << R"(,"phase":")"
            << (m.revision > revision ? "up" : m.phase) << R"(","size":1.0,"up_since_ms":)" << upSince << "}";
        comma = ",";
    }
    out << "]}";
    return out.str();
}

void Agent::updateMember(const Member& member) {
    if (down_) return pending_.push_back(member);
    const auto found =
        std::find_if(members_.begin(), members_.end(), [&](const Member& m) { return m.id == member.id; });
    auto& held = found == members_.end() ? members_.emplace_back(member) : *found;
    held = member;
    held.revision = ++revision_;
    if (member.phase != "up") notify(held, toldAtLatest());
    for (const auto& watch : watches_)
        if (watch->asked && !watch->silenced && !watch->old) writeChanges(watch, false);
}

// When a change that the agent has now counts as told at the latest.
double Agent::toldAtLatest() const {
    const double now = reactor_.now();
    const bool speaks = std::any_of(watches_.begin(), watches_.end(),
                                    [](const WatchPtr& w) { return w->asked && !w->silenced && !w->old; });
    if (speaks) return now;
    return std::max({now, silencedAt_ + kSilenceMs, movedAt_ + kMovedMs});
}

void Agent::notify(const Member& member, double at) {
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
        if (!watch->got.empty() && !watch->asked) onRequest(watch);
}

void Agent::silenceWatches() {
    silencedAt_ = reactor_.now();
    for (const auto& watch : watches_) watch->silenced = true;
}

void Agent::resetWatches() {
    const auto watches = watches_;
    for (const auto& watch : watches) {
        watch->link->reset();
        drop(watch);
    }
}

void Agent::moveTo(int port) {
    const int before = std::exchange(port_, port);
    reactor_.stopListening(before);
    openPlace();
    movedAt_ = reactor_.now();
    for (const auto& watch : watches_) watch->old = true;
    reactor_.after(kOldPlaceMs, [this, alive = alive_] {
        if (!*alive) return;
        const auto watches = watches_;
        for (const auto& watch : watches) {
            if (!watch->old) continue;
            watch->link->close();
            drop(watch);
        }
    });
}

void Agent::accept(TcpConnectionPtr link) {
    auto watch = std::make_shared<Watch>();
    watch->link = link;
    watches_.push_back(watch);
    const std::weak_ptr<Watch> weak = watch;
    link->onData = [this, weak](std::string_view bytes) {
        const auto w = weak.lock();
        if (!w) return;
        w->got += bytes;
        if (!down_ && !w->asked) onRequest(w);
    };
    link->onEnd = [this, weak](TcpConnection::End) {
        const auto w = weak.lock();
        if (!w) return;
        w->link->close();
        drop(w);
    };
}

void Agent::drop(const WatchPtr& watch) {
    watches_.erase(std::remove(watches_.begin(), watches_.end(), watch), watches_.end());
}

void Agent::onRequest(const WatchPtr& watch) {
    if (watch->got.find("\r\n\r\n") == std::string::npos) return;
    watch->asked = true;
    const auto at = watch->got.find("index=");
    const int index = at == std::string::npos ? -1 : std::atoi(watch->got.c_str() + at + 6);
    write(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const bool complete = index < 0 || chance(random_, 0.3);
    watch->writtenUpTo = index;
    if (!complete && index >= revision_) return write(watch, chunkOf("\n"));
    writeChanges(watch, complete);
}

void Agent::write(const WatchPtr& watch, const std::string& bytes) {
    if (!slow_) return watch->link->write(bytes);
    const std::weak_ptr<Watch> weak = watch;
    watch->queuedUntil = std::max(watch->queuedUntil, reactor_.now());
    for (std::size_t at = 0; at < bytes.size(); at += kPiece) {
        watch->queuedUntil += kPieceMs;
        reactor_.after(watch->queuedUntil - reactor_.now(), [weak, part = bytes.substr(at, kPiece)] {
            if (const auto w = weak.lock()) w->link->write(part);
        });
    }
}

void Agent::writeChanges(const WatchPtr& watch, bool complete) {
    const int since = complete ? 0 : watch->writtenUpTo;
    const auto text = listJson(since, complete, chance(random_, 0.3));
    write(watch, chunkOf(text + "\n"));
    const double now = reactor_.now();
    for (const auto& m : members_) {
        if (m.revision <= watch->writtenUpTo && !complete) continue;
        if (m.phase != "up" && m.revision > watch->writtenUpTo) notify(m, now);
        if (m.phase == "up") written_(m);
    }
    watch->writtenUpTo = revision_;
}

void Agent::beat() {
    if (!down_)
        for (const auto& watch : watches_)
            if (watch->asked && !watch->silenced) write(watch, chunkOf("\n"));
    reactor_.after(kBeatMs, [this, alive = alive_] {
        if (*alive) beat();
    });
}

}  // namespace spokewheel::soak
