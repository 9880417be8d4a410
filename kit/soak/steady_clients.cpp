#include "kit/soak/steady_clients.hpp"

#include <utility>

#include "kit/soak/request.hpp"

namespace spokewheel::soak {
namespace {

constexpr double kRedialMs = 20;

}  // namespace

SteadyClients::SteadyClients(Reactor& reactor, Random& random, EventSink record, SchedulerProcess& process,
                             int rank, const Options& options, BusyVolume volume)
    : reactor_(reactor),
      random_(random),
      record_(std::move(record)),
      process_(process),
      rank_(rank),
      options_(options),
      volume_(std::move(volume)) {}

SteadyClients::~SteadyClients() {
    *alive_ = false;
    for (const auto* list : {&clients_, &finishing_})
        for (const auto& client : *list)
            if (client->connection) client->connection->close();
}

void SteadyClients::start() {
    if (std::exchange(sending_, true)) return;
    for (int i = 0; i < volume_.clients; ++i) {
        clients_.push_back(std::make_shared<Client>());
        dialAfter(clients_.back(), volume_.pauseMs * drawReal(random_));
    }
}

void SteadyClients::stop() {
    sending_ = false;
    for (const auto& client : std::exchange(clients_, {})) {
        client->finishing = true;
        if (client->pending) finishing_.push_back(client);
        else if (client->connection) client->connection->close();
    }
}

bool SteadyClients::mayDial() const {
    if (process_.stopping()) return reactor_.now() <= process_.stopRequestedAt() + kNewConnectionsAfterStopMs;
    return process_.ready();
}

void SteadyClients::dialAfter(const ClientPtr& client, double delayMs) {
    reactor_.after(delayMs, [this, alive = alive_, client] {
        if (!*alive || client->finishing) return;
        if (process_.running() && mayDial()) dial(client);
        else dialAfter(client, kRedialMs);
    });
}

void SteadyClients::dial(const ClientPtr& client) {
    client->connectionNumber = newConnectionNumber();
    client->incarnation = process_.incarnation();
    client->connection = reactor_.dial(process_.port());
    client->port = client->connection->localPort();
    client->parser.reset();
    client->body.clear();
    client->bytesWritten = 0;
    client->responding = false;
    const std::weak_ptr<Client> weak = client;
    client->connection->onConnected = [this, weak] {
        if (const auto c = weak.lock()) sendRequest(c);
    };
    client->connection->onData = [this, weak](std::string_view bytes) {
        if (const auto c = weak.lock()) onData(c, bytes);
    };
    client->connection->onEnd = [this, weak](TcpConnection::End) {
        if (const auto c = weak.lock()) onEnd(c);
    };
}

void SteadyClients::sendRequestAfter(const ClientPtr& client, double delayMs) {
    reactor_.after(delayMs, [this, alive = alive_, client, connectionNumber = client->connectionNumber] {
        if (*alive && client->connectionNumber == connectionNumber && client->connection->open())
            sendRequest(client);
    });
}

void SteadyClients::sendRequest(const ClientPtr& client) {
    if (client->finishing) return client->connection->close();
    const auto& classes = options_.settings.classes;
    const auto& requestClass =
        classes[static_cast<std::size_t>(drawBelow(random_, static_cast<int>(classes.size())))];
    char key[20];
    std::snprintf(key, sizeof key, "%016x", 100 + drawBelow(random_, 4000));
    ClientRequest fields;
    fields.method = requestClass.method;
    fields.requestClass = requestClass.name;
    fields.id = newRequestId();
    fields.plan = volume_.planName();
    fields.key = key;
    fields.timeoutMs = requestClass.deadlineMs;
    fields.volume = volume_.id;
    fields.units = 1 + drawBelow(random_, volume_.maxUnits);
    fields.cell = drawBelow(random_, options_.servers);
    fields.hosts = volume_.hosts;
    const auto bytes = formatRequest(fields);
    client->connection->write(bytes);
    client->bytesWritten += bytes.size();
    client->pending = Request{fields.id,    requestClass.name, reactor_.now(),      fields.timeoutMs,
                              fields.units, fields.cell,       client->bytesWritten};
    record_(makeEvent(EventKind::RequestSent, *client, *client->pending));
}

Event SteadyClients::makeEvent(EventKind kind, const Client& client, const Request& request) const {
    Event event;
    event.kind = kind;
    event.at = reactor_.now();
    event.scheduler = rank_;
    event.process = client.incarnation;
    event.connection = client.connectionNumber;
    event.request = request.id;
    event.requestClass = request.requestClass;
    event.timeoutMs = request.timeoutMs;
    event.cell = request.cell;
    event.units = request.units;
    event.limited = true;
    if (kind == EventKind::RequestSent) event.volume = volume_.id;
    return event;
}

void SteadyClients::onData(const ClientPtr& client, std::string_view bytes) {
    using Got = wire::http::Parser::Got;
    std::string_view part;
    for (;;) switch (client->parser.next(bytes, part)) {
            case Got::More:
                return;
            case Got::Head:
                client->responding = true;
                break;
            case Got::Body:
                client->body += part;
                break;
            case Got::End:
                onResponse(client);
                if (bytes.empty()) return;
                break;
            case Got::Bad:
                client->connection->close();
                return onEnd(client);
        }
}

void SteadyClients::onResponse(const ClientPtr& client) {
    const int status = client->parser.head().status;
    const bool closes = client->parser.closes();
    const auto body = std::exchange(client->body, {});
    client->parser.reset();
    client->responding = false;
    if (!client->pending) return;
    const auto request = *std::exchange(client->pending, std::nullopt);
    auto event = makeEvent(EventKind::Answered, *client, request);
    event.status = status;
    event.genuine = body.rfind("id:" + request.id + ":", 0) == 0;
    record_(event);
    if (closes) return;  // the scheduler closes the connection
    sendRequestAfter(client, status == 200 ? volume_.pauseMs : volume_.refusedPauseMs);
}

void SteadyClients::onEnd(const ClientPtr& client) {
    client->connection->close();
    if (client->pending) {
        const auto request = *std::exchange(client->pending, std::nullopt);
        if (client->responding) {
            record_(makeEvent(EventKind::AnswerBroken, *client, request));
        } else {
            auto event = makeEvent(EventKind::ConnectionEnded, *client, request);
            reactor_.after(kLastReadWaitMs, [this, alive = alive_, event, port = client->port,
                                             offset = request.endOffset]() mutable {
                if (!*alive) return;
                event.read = port > 0 && process_.control().bytesReadByPort[port].load() >= offset;
                record_(event);
            });
        }
    }
    dialAfter(client, kRedialMs);
}

}  // namespace spokewheel::soak
