#include "kit/soak/clients.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "kit/soak/request.hpp"
#include "kit/soak/unsound_request.hpp"

namespace spokewheel::soak {
namespace {

constexpr std::size_t kMaxConnections = 24;
constexpr double kConnectTimeoutMs = 1500;
// A slow link, and how often its client reads: some 300 KB a second at most.
constexpr ClientLink kSlowLink = {16 * 1024, 1460};
constexpr double kSlowReadMs = 50;

}  // namespace

Clients::Clients(Reactor& reactor, Random& random, EventSink record, SchedulerProcess& process, int rank,
                 const Options& options)
    : reactor_(reactor),
      random_(random),
      record_(std::move(record)),
      process_(process),
      rank_(rank),
      options_(options) {}

Clients::~Clients() {
    *alive_ = false;
    closeIdleConnections();
    for (const auto& connection : connections_) connection->tcp->close();
}

void Clients::recordEvent(EventKind kind, const ConnectionPtr& connection, const Request* request, int status,
                          bool flag) {
    Event event;
    event.kind = kind;
    event.at = kind == EventKind::RequestSent ? request->sentAt : reactor_.now();
    event.scheduler = rank_;
    event.process = connection->incarnation;
    event.connection = connection->number;
    if (request) {
        event.request = request->id;
        event.requestClass = request->requestClass;
        event.timeoutMs = request->timeoutMs;
        event.cell = request->cell;
        event.limited = request->limited;
    }
    event.status = status;
    (kind == EventKind::ConnectionEnded ? event.read : event.genuine) = flag;
    record_(event);
}

void Clients::start() {
    sending_ = true;
    scheduleArrivals();
}

void Clients::scheduleArrivals() {
    if (!sending_) return;
    const double gapMs = -std::log(1 - drawReal(random_)) * 1000 / options_.requestsPerSecond;
    reactor_.after(gapMs, [this, alive = alive_] {
        if (*alive) scheduleArrivals();
    });
    if (!process_.running() || process_.startedAt() + 50 > reactor_.now()) return;
    if (!process_.ready() && !process_.stopping()) return;
    const auto connection = pickConnection();
    if (!connection) return;
    if (options_.injectFaults && chance(random_, 0.02)) return sendMalformedRequest(connection);
    sendRequest(connection, makeRequest());
    if (!options_.injectFaults || connection->pending.empty() || !chance(random_, 0.05)) return;
    auto pipelined = makeRequest();  // is answered after the first request, so it needs at least as much time
    if (pipelined.timeoutMs >= connection->pending.back().timeoutMs)
        sendRequest(connection, std::move(pipelined));
}

Clients::Request Clients::makeRequest() {
    const auto& classes = options_.settings.classes;
    double draw = drawReal(random_);
    const ClassSettings* requestClass = &classes.front();
    for (const auto& candidate : classes) {
        requestClass = &candidate;
        if ((draw -= candidate.trafficShare) < 0) break;
    }
    Request request;
    char key[20];
    std::snprintf(key, sizeof key, "%016x", 1 + drawBelow(random_, 40));
    request.id = newRequestId();
    request.requestClass = requestClass->name;
    const int timeoutDraw = drawBelow(random_, 50);  // one of 50 requests has hardly any time
    request.timeoutMs = options_.injectFaults && timeoutDraw == 0
                            ? drawBelow(random_, 20)
                            : std::floor(requestClass->deadlineMs * (0.5 + 0.5 * drawReal(random_)));
    const bool limited = chance(random_, 0.3);
    const int cell = drawBelow(random_, options_.servers);
    request.cell = cell;
    request.limited = limited;
    ClientRequest fields;
    fields.method = requestClass->method;
    if (requestClass->method == "PUT")
        fields.body.assign(static_cast<std::size_t>(drawBelow(random_, 6000)), 'b');
    fields.requestClass = requestClass->name;
    fields.id = request.id;
    fields.plan = limited ? "limited" : "open";
    fields.key = key;
    fields.timeoutMs = request.timeoutMs;
    fields.volume =
        std::string("00000000000000") + (limited ? "f" : "0") + std::to_string(1 + drawBelow(random_, 2));
    fields.units = 1 + drawBelow(random_, 3);
    fields.cell = cell;
    fields.hosts = options_.schedulers;
    request.text = formatRequest(fields);
    return request;
}

Clients::ConnectionPtr Clients::pickConnection() {
    std::vector<ConnectionPtr> idle;
    for (const auto& connection : connections_)
        if (connection->ready && connection->pending.empty() && !connection->disconnected &&
            !connection->malformed && !connection->writingSlowly && !connection->slow)
            idle.push_back(connection);
    if (!idle.empty() && !chance(random_, 0.1))
        return idle[static_cast<std::size_t>(drawBelow(random_, static_cast<int>(idle.size())))];
    if (process_.stopping() && reactor_.now() > process_.stopRequestedAt() + kNewConnectionsAfterStopMs) {
        if (idle.empty()) return nullptr;
        return idle[static_cast<std::size_t>(drawBelow(random_, static_cast<int>(idle.size())))];
    }
    return connections_.size() < kMaxConnections ? dial() : nullptr;
}

Clients::ConnectionPtr Clients::dial(const ClientLink& link) {
    auto connection = std::make_shared<Connection>();
    connection->number = newConnectionNumber();
    connection->incarnation = process_.incarnation();
    connection->tcp = reactor_.dial(process_.port(), link);
    connection->port = connection->tcp->localPort();
    connections_.push_back(connection);
    const std::weak_ptr<Connection> weak = connection;
    connection->tcp->onConnected = [weak] {
        if (const auto connection = weak.lock()) connection->ready = true;
    };
    connection->tcp->onData = [this, weak](std::string_view bytes) {
        if (const auto connection = weak.lock()) onData(connection, bytes);
    };
    connection->tcp->onEnd = [this, weak](TcpConnection::End how) {
        if (const auto connection = weak.lock()) onEnd(connection, how);
    };
    reactor_.after(kConnectTimeoutMs, [this, alive = alive_, weak] {
        const auto connection = weak.lock();
        if (!*alive || !connection || connection->ready) return;
        connection->tcp->close();
        remove(connection);
    });
    return connection;
}

void Clients::sendRequest(const ConnectionPtr& connection, Request request) {
    if (connection->writingSlowly || connection->disconnected) return;
    if (options_.injectFaults && connection->pending.empty() && chance(random_, 0.04)) {
        const auto text = request.text;
        connection->writingSlowly = true;
        return writeInPieces(connection, text, [this, connection, request = std::move(request)]() mutable {
            connection->writingSlowly = false;
            connection->bytesWritten -= request.text.size();  // onRequestSent() counts them
            onRequestSent(connection, std::move(request));
        });
    }
    connection->tcp->write(request.text);
    onRequestSent(connection, std::move(request));
}

void Clients::writeInPieces(const ConnectionPtr& connection, std::string rest, std::function<void()> onDone) {
    if (!connection->tcp->open() || connection->disconnected) return;
    const auto count =
        std::min<std::size_t>(rest.size(), 1 + static_cast<std::size_t>(drawBelow(random_, 300)));
    connection->tcp->write(rest.substr(0, count));
    connection->bytesWritten += count;
    if (count == rest.size()) return onDone();
    reactor_.after(drawReal(random_) * 60,
                   [this, alive = alive_, connection, rest = rest.substr(count), onDone = std::move(onDone)] {
                       if (*alive) writeInPieces(connection, rest, onDone);
                   });
}

void Clients::onRequestSent(const ConnectionPtr& connection, Request request) {
    request.sentAt = reactor_.now();
    connection->bytesWritten += request.text.size();
    request.endOffset = connection->bytesWritten;
    recordEvent(EventKind::RequestSent, connection, &request);
    connection->pending.push_back(std::move(request));
    if (options_.injectFaults && chance(random_, 0.06))
        reactor_.after(2 + drawReal(random_) * 400, [this, alive = alive_, connection] {
            if (*alive && !connection->pending.empty()) disconnect(connection);
        });
}

void Clients::onData(const ConnectionPtr& connection, std::string_view bytes) {
    using Result = wire::http::Parser::Result;
    if (connection->disconnected) return;
    if (connection->slow) connection->tcp->pauseReading(true);
    std::string_view part;
    for (;;) switch (connection->parser.next(bytes, part)) {
            case Result::NeedMore:
                return;
            case Result::Head:
                connection->answering = true;
                break;
            case Result::Body:
                connection->body += part;
                break;
            case Result::End:
                onResponse(connection);
                if (bytes.empty()) return;
                break;
            case Result::Invalid:
                return onEnd(connection, TcpConnection::End::Reset);
        }
}

void Clients::onResponse(const ConnectionPtr& connection) {
    const int status = connection->parser.head().status;
    const auto body = std::exchange(connection->body, {});
    connection->parser.reset();
    connection->answering = false;
    if (connection->malformed) {
        recordEvent(EventKind::MalformedEnded, connection, nullptr, status);
        return;
    }
    if (connection->pending.empty()) return;
    const auto request = std::move(connection->pending.front());
    connection->pending.pop_front();
    ++connection->answered;
    recordEvent(EventKind::Answered, connection, &request, status,
                body.rfind("id:" + request.id + ":", 0) == 0);
}

void Clients::onEnd(const ConnectionPtr& connection, TcpConnection::End how) {
    if (connection->disconnected) return remove(connection);
    if (connection->malformed) recordEvent(EventKind::MalformedEnded, connection, nullptr);
    if (connection->answering && !connection->pending.empty()) {
        recordEvent(EventKind::AnswerBroken, connection, &connection->pending.front());
        connection->pending.pop_front();
    }
    const int port = connection->port;
    connection->disconnected = true;
    const auto pending = std::exchange(connection->pending, {});
    // The number of bytes that the process has read is final once it can't read any more.
    reactor_.after(kLastReadWaitMs, [this, alive = alive_, connection, pending, port] {
        if (!*alive) return;
        const auto bytesRead = process_.control().bytesReadByPort[port].load();
        for (const auto& request : pending)
            recordEvent(EventKind::ConnectionEnded, connection, &request, 0,
                        port > 0 && bytesRead >= request.endOffset);
    });
    // After an orderly end a client may keep its side of the connection open for a while.
    reactor_.after(how == TcpConnection::End::Reset ? 0 : drawReal(random_) * 300,
                   [this, alive = alive_, connection] {
                       if (*alive) remove(connection);
                   });
}

void Clients::disconnect(const ConnectionPtr& connection) {
    if (connection->disconnected) return;
    connection->disconnected = true;
    for (const auto& request : connection->pending) recordEvent(EventKind::ClientLeft, connection, &request);
    connection->pending.clear();
    connection->tcp->close();
    remove(connection);
}

void Clients::remove(const ConnectionPtr& connection) {
    connection->tcp->close();
    connections_.erase(std::remove(connections_.begin(), connections_.end(), connection), connections_.end());
}

void Clients::sendMalformedRequest(const ConnectionPtr& connection) {
    const auto validRequest = makeRequest();
    std::string text;
    switch (drawBelow(random_, 6)) {
        case 0:
            text = "GARBAGE\r\n\r\n";
            break;
        case 1:
            text = "GET /read HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n";
            break;
        case 2:
            text = "PUT /once HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n";
            break;
        case 3:
            text = "GET /nothing/known HTTP/1.1\r\nHost: x\r\nX-Request-ID: bad\r\n\r\n";
            break;
        default:  // half a request on a connection that stays open
            text = validRequest.text.substr(0, 20 + static_cast<std::size_t>(drawBelow(random_, 60)));
    }
    connection->malformed = true;
    connection->tcp->write(text);
    connection->bytesWritten += text.size();
    recordEvent(EventKind::Malformed, connection, nullptr);
}

ClientRequest Clients::extraRequest(double timeoutMs) {
    ClientRequest request;
    request.method = "GET";
    request.requestClass = "read";
    request.id = newRequestId();
    request.plan = "open";
    request.key = "00000000000000aa";
    request.timeoutMs = timeoutMs;
    request.volume = "f000" + request.id.substr(4);
    return request;
}

void Clients::sendBurst(int count, double leavesAfterMs, Random& random) {
    if (!process_.running() || !process_.ready()) return;
    const auto connection = dial();
    const double timeoutMs = options_.settings.classes.front().deadlineMs;
    const bool limited = chance(random, 0.3);
    for (int i = 0; i < count; ++i) {
        auto fields = extraRequest(timeoutMs);
        if (limited) fields.plan = "limited";
        fields.cell = drawBelow(random, options_.servers);
        Request request;
        request.id = fields.id;
        request.requestClass = fields.requestClass;
        request.timeoutMs = timeoutMs;
        request.cell = fields.cell;
        request.limited = limited;
        request.text = formatRequest(fields);
        connection->tcp->write(request.text);
        request.sentAt = reactor_.now();
        connection->bytesWritten += request.text.size();
        request.endOffset = connection->bytesWritten;
        recordEvent(EventKind::RequestSent, connection, &request);
        connection->pending.push_back(std::move(request));
    }
    if (leavesAfterMs < 0) return;
    reactor_.after(leavesAfterMs, [this, alive = alive_, connection] {
        if (*alive) disconnect(connection);
    });
}

void Clients::sendUnsoundRequests(int count, Random& random) {
    for (int i = 0; i < count && process_.running(); ++i) {
        const auto connection = dial();
        auto fields = extraRequest(options_.settings.classes.front().deadlineMs);
        Request request;
        request.id = fields.id;
        request.text = makeUnsound(formatRequest(fields), random);
        connection->malformed = true;
        connection->tcp->write(request.text);
        connection->bytesWritten += request.text.size();
        recordEvent(EventKind::Malformed, connection, &request);
    }
}

void Clients::readSlowly(int answerBytes, double timeoutMs, int cell) {
    if (!process_.running() || !process_.ready()) return;
    const auto connection = dial(kSlowLink);
    connection->slow = true;
    auto fields = extraRequest(timeoutMs);
    fields.cell = cell;
    fields.answerBytes = answerBytes;
    Request request;
    request.id = fields.id;
    request.requestClass = fields.requestClass;
    request.timeoutMs = timeoutMs;
    request.cell = cell;
    request.text = formatRequest(fields);
    connection->tcp->write(request.text);
    onRequestSent(connection, std::move(request));
    readNow(connection);
}

// Reads once on a slow link, and again a moment later.
void Clients::readNow(const ConnectionPtr& connection) {
    if (connection->disconnected || connection->pending.empty()) return;
    connection->tcp->pauseReading(false);
    reactor_.after(kSlowReadMs, [this, alive = alive_, connection] {
        if (*alive) readNow(connection);
    });
}

void Clients::openStalledConnections(int count, double durationMs) {
    auto upload = extraRequest(options_.settings.longestDeadlineMs());
    upload.method = "PUT";
    upload.requestClass = "once";
    upload.body.assign(32 * 1024, 's');
    auto half = formatRequest(upload);
    half.resize(half.size() / 2);
    std::string head = "GET /read/object HTTP/1.1\r\nHost: service.internal\r\n";
    for (int i = 0; i < 55; ++i) head += "a:b\r\n";
    for (int i = 0; i < count; ++i) {
        const auto connection = reactor_.dial(process_.port());
        const std::weak_ptr<TcpConnection> weak = connection;
        connection->onConnected = [weak, text = i % 2 ? head : half] {
            if (const auto connected = weak.lock()) connected->write(text);
        };
        connection->onEnd = [weak](TcpConnection::End) {
            if (const auto ended = weak.lock()) ended->close();
        };
        idleConnections_.push_back(connection);
    }
    reactor_.after(durationMs, [this, alive = alive_] {
        if (*alive) closeIdleConnections();
    });
}

void Clients::openIdleConnections(int count, double durationMs) {
    for (int i = 0; i < count; ++i) {
        const auto connection = reactor_.dial(process_.port());
        const std::weak_ptr<TcpConnection> weak = connection;
        // Every other connection sends one request first, the rest send nothing.
        if (i % 2)
            connection->onConnected = [weak] {
                if (const auto connection = weak.lock())
                    connection->write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
            };
        connection->onEnd = [weak](TcpConnection::End) {
            if (const auto connection = weak.lock()) connection->close();
        };
        idleConnections_.push_back(connection);
    }
    reactor_.after(durationMs, [this, alive = alive_] {
        if (*alive) closeIdleConnections();
    });
}

void Clients::closeIdleConnections() {
    for (const auto& connection : idleConnections_) connection->close();
    idleConnections_.clear();
}

void Clients::sendMalformedRequests(int count) {
    for (int i = 0; i < count && process_.running(); ++i) sendMalformedRequest(dial());
}

}  // namespace spokewheel::soak
