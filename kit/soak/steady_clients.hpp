// Clients of one limited volume at one scheduler, each on a connection that it keeps: it asks again as soon
// as it is answered, so that the volume's demand stays at or over its limit. Records what they saw.
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
    // All but `volume` outlive this object. Nobody asks before start().
    SteadyClients(Reactor& reactor, Random& random, EventSink record, SchedulerProcess& process, int rank,
                  const Options& options, BusyVolume volume);
    ~SteadyClients();
    SteadyClients(const SteadyClients&) = delete;
    SteadyClients& operator=(const SteadyClients&) = delete;

    void start();
    // What is out is waited for; then each closes its connection.
    void stop();
    // How many schedulers the volume's requests come through, as each request tells.
    void setHosts(int hosts) { volume_.hosts = hosts; }

  private:
    struct Asked {
        std::string id, requestClass;
        double at = 0, timeoutMs = 0;
        int units = 1, cell = 0;
        std::uint64_t endOffset = 0;  // of its last byte among those written to the connection
    };
    struct Client {
        int connection = 0, life = 0, port = 0;
        TcpConnectionPtr link;
        wire::http::Parser parser{wire::http::Parser::Kind::Response};
        std::string body;
        std::optional<Asked> open;
        std::uint64_t written = 0;
        bool answering = false, leaving = false;
    };
    using ClientPtr = std::shared_ptr<Client>;
    bool mayDial() const;
    void dialSoon(const ClientPtr& client, double afterMs);
    void dial(const ClientPtr& client);
    void askAfter(const ClientPtr& client, double afterMs);
    void ask(const ClientPtr& client);
    void onData(const ClientPtr& client, std::string_view bytes);
    void onAnswer(const ClientPtr& client);
    void onEnd(const ClientPtr& client);
    Event eventOf(EventKind kind, const Client& client, const Asked& asked) const;

    Reactor& reactor_;
    Random& random_;
    EventSink record_;
    SchedulerProcess& process_;
    int rank_;
    const Options& options_;
    BusyVolume volume_;
    bool asking_ = false;
    std::vector<ClientPtr> clients_, leaving_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::soak
