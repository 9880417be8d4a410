#include "kit/soak/steady_clients.hpp"

#include <utility>

#include "kit/soak/request.hpp"

namespace spokewheel::soak {
namespace {

constexpr double kDialAgainMs = 20;

}  // namespace

SteadyClients::SteadyClients(Reactor& reactor, Random& random, Record record, SchedulerProcess& process,
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
    for (const auto* list : {&clients_, &leaving_})
        for (const auto& client : *list)
            if (client->link) client->link->close();
}

void SteadyClients::start() {
    if (std::exchange(asking_, true)) return;
    for (int i = 0; i < volume_.clients; ++i) {
        clients_.push_back(std::make_shared<Client>());
        dialSoon(clients_.back(), volume_.pauseMs * drawReal(random_));
    }
}

void SteadyClients::stop() {
    asking_ = false;
    for (const auto& client : std::exchange(clients_, {})) {
        client->leaving = true;
        if (client->open) leaving_.push_back(client);
        else if (client->link) client->link->close();
    }
}

bool SteadyClients::mayDial() const {
    if (process_.stopping()) return reactor_.now() <= process_.stoppedAt() + kNewWhileStoppingMs;
    return process_.ready();
}

void SteadyClients::dialSoon(const ClientPtr& client, double afterMs) {
    reactor_.after(afterMs, [this, alive = alive_, client] {
        if (!*alive || client->leaving) return;
        if (process_.running() && mayDial()) dial(client);
        else dialSoon(client, kDialAgainMs);
    });
}

void SteadyClients::dial(const ClientPtr& client) {
    client->connection = newConnectionNumber();
    client->life = process_.life();
    client->link = reactor_.dial(process_.port());
    client->port = client->link->localPort();
    client->parser.reset();
    client->body.clear();
    client->written = 0;
    client->answering = false;
    const std::weak_ptr<Client> weak = client;
    client->link->onConnected = [this, weak] {
        if (const auto l = weak.lock()) ask(l);
    };
    client->link->onData = [this, weak](std::string_view bytes) {
        if (const auto l = weak.lock()) onData(l, bytes);
    };
    client->link->onEnd = [this, weak](Link::End) {
        if (const auto l = weak.lock()) onEnd(l);
    };
}

void SteadyClients::askAfter(const ClientPtr& client, double afterMs) {
    reactor_.after(afterMs, [this, alive = alive_, client, connection = client->connection] {
        if (*alive && client->connection == connection && client->link->open()) ask(client);
    });
}

void SteadyClients::ask(const ClientPtr& client) {
    if (client->leaving) return client->link->close();
    const auto& plans = options_.setting.classes;
    const auto& plan = plans[static_cast<std::size_t>(drawBelow(random_, static_cast<int>(plans.size())))];
    char key[20];
    std::snprintf(key, sizeof key, "%016x", 100 + drawBelow(random_, 4000));
    RequestText text;
    text.method = plan.method;
    text.requestClass = plan.name;
    text.id = newRequestId();
    text.plan = volume_.planName();
    text.key = key;
    text.timeoutMs = plan.deadlineMs;
    text.volume = volume_.id;
    text.units = 1 + drawBelow(random_, volume_.mostUnits);
    text.cell = drawBelow(random_, options_.servers);
    text.hosts = volume_.hosts;
    const auto bytes = textOf(text);
    client->link->write(bytes);
    client->written += bytes.size();
    client->open =
        Asked{text.id, plan.name, reactor_.now(), text.timeoutMs, text.units, text.cell, client->written};
    record_(eventOf(EventKind::RequestSent, *client, *client->open));
}

Event SteadyClients::eventOf(EventKind kind, const Client& client, const Asked& asked) const {
    Event event;
    event.kind = kind;
    event.at = reactor_.now();
    event.scheduler = rank_;
    event.process = client.life;
    event.connection = client.connection;
    event.request = asked.id;
    event.requestClass = asked.requestClass;
    event.timeoutMs = asked.timeoutMs;
    event.cell = asked.cell;
    event.units = asked.units;
    event.limited = true;
    if (kind == EventKind::RequestSent) event.volume = volume_.id;
    return event;
}

void SteadyClients::onData(const ClientPtr& client, std::string_view bytes) {
    using Result = wire::http::Parser::Result;
    std::string_view part;
    for (;;) switch (client->parser.next(bytes, part)) {
            case Result::NeedMore:
                return;
            case Result::Head:
                client->answering = true;
                break;
            case Result::Body:
                client->body += part;
                break;
            case Result::End:
                onAnswer(client);
                if (bytes.empty()) return;
                break;
            case Result::Invalid:
                client->link->close();
                return onEnd(client);
        }
}

void SteadyClients::onAnswer(const ClientPtr& client) {
    const int status = client->parser.head().status;
    const bool closes = client->parser.closesConnection();
    const auto body = std::exchange(client->body, {});
    client->parser.reset();
    client->answering = false;
    if (!client->open) return;
    const auto asked = *std::exchange(client->open, std::nullopt);
    auto event = eventOf(EventKind::Answered, *client, asked);
    event.status = status;
    event.genuine = body.rfind("id:" + asked.id + ":", 0) == 0;
    record_(event);
    if (closes) return;  // the scheduler ends the connection
    askAfter(client, status == 200 ? volume_.pauseMs : volume_.refusedPauseMs);
}

void SteadyClients::onEnd(const ClientPtr& client) {
    client->link->close();
    if (client->open) {
        const auto asked = *std::exchange(client->open, std::nullopt);
        if (client->answering) {
            record_(eventOf(EventKind::AnswerBroken, *client, asked));
        } else {
            auto event = eventOf(EventKind::ConnectionEnded, *client, asked);
            reactor_.after(kReadSnapshotMs, [this, alive = alive_, event, port = client->port,
                                             offset = asked.endOffset]() mutable {
                if (!*alive) return;
                event.read = port > 0 && process_.control().readFromPort[port].load() >= offset;
                record_(event);
            });
        }
    }
    dialSoon(client, kDialAgainMs);
}

}  // namespace spokewheel::soak
