#include "registry/endpoint_watcher.hpp"

#include <algorithm>
#include <utility>

namespace spokewheel::registry {

EndpointWatcher::EndpointWatcher(const io::Address& at, std::int64_t revision, std::uint64_t seed,
                                 Update update, Fault fault, std::function<void()> heard)
    : at_(at),
      watch_(revision, seed),
      update_(std::move(update)),
      fault_(std::move(fault)),
      heard_(std::move(heard)) {
    connect();
}

EndpointWatcher::~EndpointWatcher() {
    for (const auto& s : open_) s->connection->close();
}

void EndpointWatcher::moveTo(const io::Address& at) {
    at_ = at;
    watch_.heard();  // the new place has not failed yet
    connect();
}

void EndpointWatcher::connect() {
    if (open_.size() >= Watch::kMostOpen) makeRoom();
    const auto s = std::make_shared<Stream>();
    s->at = at_;
    s->connection = io::Connection::dial(at_);
    s->openedAt = s->wordAt = io::nowMs();
    s->dueAt = s->openedAt + watch_.tryMs();
    open_.push_back(s);
    if (!s->connection->open()) return failed(s, WatchFault::Unreachable, "cannot be reached");
    const std::weak_ptr<Stream> weak = s;
    s->connection->setHandler({[this, weak] {
                                   const auto l = weak.lock();
                                   if (!l) return;
                                   std::string target = "/v1/endpoints?stream=1";
                                   if (watch_.from() >= 0)
                                       target += "&index=" + std::to_string(watch_.from());
                                   l->connection->write(
                                       wire::http::writeRequest("GET", target, l->at.text(), {}, {}));
                                   l->connection->flush();
                               },
                               [this, weak](std::string_view bytes) {
                                   if (const auto l = weak.lock()) onData(l, bytes);
                               },
                               {},
                               [this, weak](io::DisconnectReason) {
                                   if (const auto l = weak.lock())
                                       failed(l, WatchFault::Closed, "closed the connection");
                               }});
    armNext();
}

// Another is opened once all that are open to the present place are overdue; none: after a wait.
void EndpointWatcher::armNext() {
    double at = againAt_;
    for (const auto& s : open_)
        if (current(*s)) at = std::max(at, s->dueAt);
    next_.arm(at - io::nowMs(), [this] {
        if (std::any_of(open_.begin(), open_.end(), [this](const auto& s) { return current(*s); }))
            tellFault(WatchFault::Silent, "discovery at " + at_.text() + " says nothing");
        connect();
    });
}

void EndpointWatcher::makeRoom() {
    const double now = io::nowMs();
    std::vector<Watch::Candidate> candidates;
    for (const auto& s : open_) candidates.push_back({s->openedAt, s->frames.pending(), s->dueAt > now});
    drop(open_[Watch::victim(candidates, now)]);
}

void EndpointWatcher::noteProgress(const StreamPtr& s, std::size_t bytes) {
    s->progress += bytes;
    if (s->progress < Watch::kProgressBytes || s->frames.pending() < Watch::kProgressBytes) return;
    s->progress = 0;
    s->dueAt = std::min(io::nowMs() + Watch::kSilentMs, s->wordAt + Watch::kSlowListMs);
    armNext();
}

void EndpointWatcher::drop(const StreamPtr& s) {
    s->connection->close();
    open_.erase(std::remove(open_.begin(), open_.end(), s), open_.end());
}

void EndpointWatcher::tellFault(WatchFault fault, const std::string& words) {
    ++faults_[static_cast<std::size_t>(fault)];
    fault_(fault, words);
}

void EndpointWatcher::failed(const StreamPtr& stream, WatchFault fault, const std::string& words) {
    const auto s = stream;  // may be the last to hold it
    if (std::find(open_.begin(), open_.end(), s) == open_.end()) return;
    drop(s);
    tellFault(fault, "discovery at " + s->at.text() + " " + words);
    if (!std::any_of(open_.begin(), open_.end(), [this](const auto& o) { return current(*o); }))
        againAt_ = io::nowMs() + watch_.againMs();
    armNext();
}

void EndpointWatcher::onData(const StreamPtr& s, std::string_view bytes) {
    using Got = wire::http::Parser::Got;
    std::string_view part;
    for (;;) switch (s->parser.next(bytes, part)) {
            case Got::More:
                return;
            case Got::Head:
                if (s->parser.head().status != 200)
                    return failed(s, WatchFault::Status,
                                  "answered with status " + std::to_string(s->parser.head().status));
                s->dueAt = io::nowMs() + Watch::kSilentMs;
                armNext();
                break;
            case Got::Body: {
                const auto size = part.size();
                if (!onBody(s, part)) return;
                noteProgress(s, size);
                break;
            }
            case Got::End:
                return failed(s, WatchFault::Closed, "ended the watch");
            case Got::Bad:
                return failed(s, WatchFault::Unreadable, "sent what can't be read: " + s->parser.error());
        }
}

bool EndpointWatcher::onBody(const StreamPtr& s, std::string_view part) {
    using Event = JsonFrames::Event;
    for (;;) switch (s->frames.next(part)) {
            case Event::NeedMore:
                return true;
            case Event::BlankLine:
                spoke(s);
                break;
            case Event::Object: {
                Endpoints list;
                std::string words;
                if (!parseEndpoints(s->frames.object(), list, words)) {
                    watch_.lost();
                    failed(s, WatchFault::Unreadable, "sent a list that can't be read: " + words);
                    return false;
                }
                if (watch_.take(list.revision, list.complete)) update_(std::move(list));
                spoke(s);
                break;
            }
            case Event::Invalid:
                watch_.lost();
                failed(s, WatchFault::Unreadable, "sent what is no list");
                return false;
        }
}

// Only whole lines and whole objects count: half a line that drips for ever says nothing.
void EndpointWatcher::spoke(const StreamPtr& s) {
    s->wordAt = io::nowMs();
    s->dueAt = s->wordAt + Watch::kSilentMs;
    s->progress = 0;
    if (!current(*s)) return;
    const auto others = open_;
    for (const auto& other : others)
        if (other != s) drop(other);
    watch_.heard();
    armNext();
    if (heard_) heard_();
}

}  // namespace spokewheel::registry
