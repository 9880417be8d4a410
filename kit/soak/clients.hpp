// The clients of one scheduler: usual ones that ask, wait, leave and rest, and such that send what can't be
// read. Records what each saw on its socket.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kit/soak/reactor.hpp"
#include "kit/soak/scheduler_process.hpp"
#include "kit/soak/setting.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::soak {

class Clients {
  public:
    Clients(Reactor& reactor, Random& random, EventSink record, SchedulerProcess& process, int rank,
            const Options& options);
    ~Clients();
    Clients(const Clients&) = delete;
    Clients& operator=(const Clients&) = delete;

    // Asks at the options' rate until stop().
    void start();
    void stop() { asking_ = false; }
    void sendMalformedRequests(int count);
    // Idle connections beside the usual ones, which fill the scheduler's descriptors, for a while.
    void openIdleConnections(int count, double lastsMs);
    void closeIdleConnections();

  private:
    struct Asked {
        std::string id, requestClass, text;
        double at = 0, timeoutMs = 0;
        std::uint64_t endOffset = 0;  // of its last byte among those written to the connection
        int cell = -1;
        bool limited = false;
    };
    struct Connection {
        int number = 0, life = 0, port = 0;  // port: of the client's side
        TcpConnectionPtr link;
        wire::http::Parser parser{wire::http::Parser::Kind::Response};
        std::string body;
        bool ready = false, left = false, malformed = false, busyWriting = false, answering = false;
        std::uint64_t written = 0;
        int answered = 0;
        std::deque<Asked> open;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;
    void arrive();
    Asked make();
    ConnectionPtr idleOrNew();
    ConnectionPtr dial();
    void ask(const ConnectionPtr& c, Asked asked);
    void writeSlowly(const ConnectionPtr& c, std::string rest, std::function<void()> then);
    void sent(const ConnectionPtr& c, Asked asked);
    void onData(const ConnectionPtr& c, std::string_view bytes);
    void onAnswer(const ConnectionPtr& c);
    void onEnd(const ConnectionPtr& c, TcpConnection::End how);
    void leave(const ConnectionPtr& c);
    void malformed(const ConnectionPtr& c);
    void drop(const ConnectionPtr& c);
    void note(EventKind kind, const ConnectionPtr& c, const Asked* asked, int status = 0, bool flag = false);

    Reactor& reactor_;
    Random& random_;
    EventSink record_;
    SchedulerProcess& process_;
    int rank_;
    const Options& options_;
    bool asking_ = false;
    std::vector<ConnectionPtr> connections_;
    std::vector<TcpConnectionPtr> crowd_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::soak
