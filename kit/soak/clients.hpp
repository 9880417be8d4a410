// The clients of one scheduler: clients that send requests at random times, wait, disconnect or stay idle,
// and clients that send malformed requests. Records what each of them observes on its connection.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kit/soak/reactor.hpp"
#include "kit/soak/request.hpp"
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

    // Sends requests at the rate of the options, with exponentially distributed gaps, until stop().
    void start();
    void stop() { sending_ = false; }
    void sendMalformedRequests(int count);
    // Sends valid reads at once on one connection, each of a volume never named before. The client closes the
    // connection after `leavesAfterMs`, unless that is negative.
    void sendBurst(int count, double leavesAfterMs, Random& random);
    // Sends requests that are not sound, each on a connection of its own. Recorded with their ids.
    void sendUnsoundRequests(int count, Random& random);
    // Sends a read of a long answer on a connection with a slow link, and reads it as it comes for as long as
    // it has time.
    void readSlowly(int answerBytes, double timeoutMs, int cell);
    // Opens connections with half a head of many short fields, or half an upload, and closes them after
    // `durationMs`.
    void openStalledConnections(int count, double durationMs);
    // Opens idle connections beside the others, to use up the scheduler's descriptors, and closes them after
    // `durationMs`.
    void openIdleConnections(int count, double durationMs);
    void closeIdleConnections();

  private:
    struct Request {
        std::string id, requestClass, text;
        double sentAt = 0, timeoutMs = 0;
        std::uint64_t endOffset = 0;  // number of bytes written to the connection up to its end
        int cell = -1;
        bool limited = false;
    };
    struct Connection {
        int number = 0, incarnation = 0,
            port = 0;  // incarnation: of the scheduler process; port: the local one
        TcpConnectionPtr tcp;
        wire::http::Parser parser{wire::http::Parser::Kind::Response};
        std::string body;
        bool ready = false, disconnected = false, malformed = false, writingSlowly = false, answering = false;
        bool slow = false;  // a slow link: for one long answer
        std::uint64_t bytesWritten = 0;
        int answered = 0;
        std::deque<Request> pending;  // sent, without a response so far; oldest first
    };
    using ConnectionPtr = std::shared_ptr<Connection>;
    void scheduleArrivals();
    Request makeRequest();
    ConnectionPtr pickConnection();
    ConnectionPtr dial(const ClientLink& link = {});
    void readNow(const ConnectionPtr& connection);
    void sendRequest(const ConnectionPtr& connection, Request request);
    void writeInPieces(const ConnectionPtr& connection, std::string rest, std::function<void()> onDone);
    void onRequestSent(const ConnectionPtr& connection, Request request);
    void onData(const ConnectionPtr& connection, std::string_view bytes);
    void onResponse(const ConnectionPtr& connection);
    void onEnd(const ConnectionPtr& connection, TcpConnection::End how);
    void disconnect(const ConnectionPtr& connection);
    void sendMalformedRequest(const ConnectionPtr& connection);
    // The request of a client outside the usual traffic.
    static ClientRequest extraRequest(double timeoutMs);
    void remove(const ConnectionPtr& connection);
    // `flag`: Event::read of ConnectionEnded, Event::genuine of the other kinds.
    void recordEvent(EventKind kind, const ConnectionPtr& connection, const Request* request, int status = 0,
                     bool flag = false);

    Reactor& reactor_;
    Random& random_;
    EventSink record_;
    SchedulerProcess& process_;
    int rank_;
    const Options& options_;
    bool sending_ = false;
    std::vector<ConnectionPtr> connections_;
    std::vector<TcpConnectionPtr> idleConnections_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::soak
