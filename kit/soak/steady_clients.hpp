// Closed-loop clients of one limited volume at one scheduler. Each keeps its connection and sends its next
// request a fixed pause after the response to the last one, which keeps the volume's demand steady. Records
// what they observe.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kit/soak/reactor.hpp"
#include "kit/soak/scheduler_process.hpp"
#include "kit/soak/setting.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::soak {

class SteadyClients {
  public:
    // All arguments but `volume` must outlive this object. Nothing is sent before start().
    SteadyClients(Reactor& reactor, Random& random, EventSink record, SchedulerProcess& process, int rank,
                  const Options& options, BusyVolume volume);
    ~SteadyClients();
    SteadyClients(const SteadyClients&) = delete;
    SteadyClients& operator=(const SteadyClients&) = delete;

    void start();
    // Clients with a pending request wait for its response, then close their connections.
    void stop();
    // The number of schedulers that the volume's requests come through, which each request states.
    void setHosts(int hosts) { volume_.hosts = hosts; }

  private:
    struct Request {
        std::string id, requestClass;
        double sentAt = 0, timeoutMs = 0;
        int units = 1, cell = 0;
        std::uint64_t endOffset = 0;  // number of bytes written to the connection up to its end
    };
    struct Client {
        int connectionNumber = 0, incarnation = 0, port = 0;
        TcpConnectionPtr connection;
        wire::http::Parser parser{wire::http::Parser::Kind::Response};
        std::string body;
        std::optional<Request> pending;
        std::uint64_t bytesWritten = 0;
        bool responding = false, finishing = false;
    };
    using ClientPtr = std::shared_ptr<Client>;
    bool mayDial() const;
    void dialAfter(const ClientPtr& client, double delayMs);
    void dial(const ClientPtr& client);
    void sendRequestAfter(const ClientPtr& client, double delayMs);
    void sendRequest(const ClientPtr& client);
    void onData(const ClientPtr& client, std::string_view bytes);
    void onResponse(const ClientPtr& client);
    void onEnd(const ClientPtr& client);
    Event makeEvent(EventKind kind, const Client& client, const Request& request) const;

    Reactor& reactor_;
    Random& random_;
    EventSink record_;
    SchedulerProcess& process_;
    int rank_;
    const Options& options_;
    BusyVolume volume_;
    bool sending_ = false;
    std::vector<ClientPtr> clients_, finishing_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::soak
