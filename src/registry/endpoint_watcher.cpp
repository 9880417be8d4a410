#include "registry/endpoint_watcher.hpp"

#include <algorithm>
#include <utility>

namespace spokewheel::registry {

EndpointWatcher::EndpointWatcher(const io::Address& at, std::int64_t revision, std::uint64_t seed,
                                 Update update, Fault fault, std::function<void()> onContact)
    : at_(at),
      watch_(revision, seed),
      update_(std::move(update)),
      fault_(std::move(fault)),
      onContact_(std::move(onContact)) {
    connect();
}

EndpointWatcher::~EndpointWatcher() {
    for (const auto& stream : open_) stream->connection->close();
}

void EndpointWatcher::moveTo(const io::Address& at) {
    at_ = at;
    watch_.resetDelays();  // no attempt at the new address has failed yet
    connect();
}

void EndpointWatcher::check() {
    if (!unansweredSince_) connect();
}

void EndpointWatcher::connect() {
    if (open_.size() >= WatchState::kMaxConnections) makeRoom();
    const auto stream = std::make_shared<Stream>();
    stream->at = at_;
    stream->connection = io::Connection::dial(at_);
    stream->openedAt = stream->lastLineAt = io::nowMs();
    stream->timeoutAt = stream->openedAt + watch_.nextAttemptTimeoutMs();
    open_.push_back(stream);
    if (!unansweredSince_) unansweredSince_ = stream->openedAt;
    if (!stream->connection->open()) return failed(stream, WatchFault::Unreachable, "cannot be reached");
    const std::weak_ptr<Stream> weak = stream;
    stream->connection->setHandler(
        {[this, weak] {
             const auto locked = weak.lock();
             if (!locked) return;
             std::string target = "/v1/endpoints?stream=1";
             if (watch_.resumeRevision() >= 0) target += "&index=" + std::to_string(watch_.resumeRevision());
             locked->connection->write(wire::http::requestHead("GET", target, locked->at.text(), {}, {}));
             locked->connection->flush();
         },
         [this, weak](std::string_view bytes) {
             if (const auto locked = weak.lock()) onData(locked, bytes);
         },
         {},
         [this, weak](io::DisconnectReason) {
             if (const auto locked = weak.lock()) failed(locked, WatchFault::Closed, "closed the connection");
         }});
    armNextAttempt();
}

// Opens another connection once all open connections to the current address are overdue, or after the
// reconnect delay if there is none.
void EndpointWatcher::armNextAttempt() {
    double at = reconnectAt_;
    for (const auto& stream : open_)
        if (toCurrentAddress(*stream)) at = std::max(at, stream->timeoutAt);
    attemptTimer_.arm(at - io::nowMs(), [this] {
        if (std::any_of(open_.begin(), open_.end(),
                        [this](const auto& stream) { return toCurrentAddress(*stream); }))
            reportFault(WatchFault::Silent, "discovery at " + at_.text() + " is silent");
        connect();
    });
}

void EndpointWatcher::makeRoom() {
    const double now = io::nowMs();
    std::vector<WatchState::Candidate> candidates;
    for (const auto& stream : open_)
        candidates.push_back({stream->openedAt, stream->frames.pending(), stream->timeoutAt > now});
    drop(open_[WatchState::connectionToClose(candidates, now)]);
}

void EndpointWatcher::onProgress(const StreamPtr& stream, std::size_t bytes) {
    stream->progress += bytes;
    if (stream->progress < WatchState::kProgressBytes ||
        stream->frames.pending() < WatchState::kProgressBytes)
        return;
    stream->progress = 0;
    stream->timeoutAt =
        std::min(io::nowMs() + WatchState::kSilentMs, stream->lastLineAt + WatchState::kSlowListMs);
    armNextAttempt();
}

void EndpointWatcher::drop(const StreamPtr& stream) {
    stream->connection->close();
    open_.erase(std::remove(open_.begin(), open_.end(), stream), open_.end());
}

void EndpointWatcher::reportFault(WatchFault fault, const std::string& message) {
    ++faults_[static_cast<std::size_t>(fault)];
    fault_(fault, message);
}

void EndpointWatcher::failed(const StreamPtr& given, WatchFault fault, const std::string& message) {
    const auto stream = given;  // `given` may be the last reference
    if (std::find(open_.begin(), open_.end(), stream) == open_.end()) return;
    drop(stream);
    reportFault(fault, "discovery at " + stream->at.text() + " " + message);
    if (!std::any_of(open_.begin(), open_.end(), [this](const auto& o) { return toCurrentAddress(*o); }))
        reconnectAt_ = io::nowMs() + watch_.nextReconnectDelayMs();
    armNextAttempt();
}

void EndpointWatcher::onData(const StreamPtr& stream, std::string_view bytes) {
    using Result = wire::http::Parser::Result;
    if (toCurrentAddress(*stream)) unansweredSince_.reset();
    std::string_view part;
    for (;;) switch (stream->parser.next(bytes, part)) {
            case Result::NeedMore:
                return;
            case Result::Head:
                if (stream->parser.head().status != 200)
                    return failed(stream, WatchFault::Status,
                                  "answered with status " + std::to_string(stream->parser.head().status));
                stream->timeoutAt = io::nowMs() + WatchState::kSilentMs;
                armNextAttempt();
                break;
            case Result::Body: {
                const auto size = part.size();
                if (!onBody(stream, part)) return;
                onProgress(stream, size);
                break;
            }
            case Result::End:
                return failed(stream, WatchFault::Closed, "ended the watch");
            case Result::Invalid:
                return failed(stream, WatchFault::Unreadable,
                              "sent an invalid HTTP response: " + stream->parser.error());
        }
}

bool EndpointWatcher::onBody(const StreamPtr& stream, std::string_view part) {
    using Event = JsonFrames::Event;
    for (;;) switch (stream->frames.next(part)) {
            case Event::NeedMore:
                return true;
            case Event::BlankLine:
                onLine(stream);
                break;
            case Event::Object: {
                Endpoints list;
                std::string error;
                if (!parseEndpoints(stream->frames.object(), list, error)) {
                    watch_.requestFullList();
                    failed(stream, WatchFault::Unreadable, "sent an unreadable list: " + error);
                    return false;
                }
                if (watch_.accept(list.revision, list.complete)) update_(std::move(list));
                onLine(stream);
                break;
            }
            case Event::Invalid:
                watch_.requestFullList();
                failed(stream, WatchFault::Unreadable, "sent something other than a list");
                return false;
        }
}

// Only complete lines and objects count as contact; bytes of an incomplete line may arrive for ever.
void EndpointWatcher::onLine(const StreamPtr& stream) {
    stream->lastLineAt = io::nowMs();
    stream->timeoutAt = stream->lastLineAt + WatchState::kSilentMs;
    stream->progress = 0;
    if (!toCurrentAddress(*stream)) return;
    const auto others = open_;
    for (const auto& other : others)
        if (other != stream) drop(other);
    watch_.resetDelays();
    armNextAttempt();
    if (onContact_) onContact_();
}

}  // namespace spokewheel::registry
