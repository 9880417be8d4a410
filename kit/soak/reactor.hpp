// A small epoll loop for the clients, disk servers and discovery agents of the soak. Independent of io::Loop,
// so that a fault in the gateway's event loop can't hide itself. Single-threaded; callbacks may close any
// connection.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace spokewheel::soak {

class Reactor;

// A TCP connection on loopback. The reactor keeps it alive until it is closed.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
  public:
    enum class End { Orderly, Reset };
    ~TcpConnection();
    std::function<void()> onConnected;
    std::function<void(std::string_view)> onData;
    std::function<void(End)> onEnd;  // the peer ended the connection; at most once, never after close()
    // The peer ended the connection while reading was paused; at most once. Data sent before is still unread.
    std::function<void()> onEndWhilePaused;
    void write(std::string_view bytes);  // queues what the kernel does not accept now
    void shutdownWrite();                // once the queue has been sent
    void close();                        // at once: drops the queue, no callback follows
    void reset();                        // like close(), but sends a TCP RST (SO_LINGER of 0)
    void pauseReading(bool paused);
    bool open() const { return fd_ >= 0; }
    int localPort() const;

  private:
    friend class Reactor;
    TcpConnection(Reactor& reactor, int fd, bool connecting);
    void handleEvents(std::uint32_t events);
    void flush();
    void updateEvents();
    void handleEnd(End how);

    Reactor& reactor_;
    int fd_;
    bool connecting_, shutdownPending_ = false, paused_ = false, ended_ = false;
    bool endedWhilePaused_ = false;  // and was removed from the epoll set
    std::string out_;
};
using TcpConnectionPtr = std::shared_ptr<TcpConnection>;

// The machine of a client on a slow link: sizes in bytes of the receive buffer and of the segments that it
// takes; 0: as the system has them.
struct ClientLink {
    int receiveBuffer = 0, segmentSize = 0;
};

class Reactor {
  public:
    using AcceptHandler = std::function<void(TcpConnectionPtr)>;
    Reactor();
    ~Reactor();
    Reactor(const Reactor&) = delete;
    Reactor& operator=(const Reactor&) = delete;

    double now() const;  // milliseconds by CLOCK_MONOTONIC
    // Starts to connect. The result comes through the connection's onConnected or onEnd. Throws
    // std::runtime_error if there is no socket.
    TcpConnectionPtr dial(int port, const ClientLink& link = {});
    // Listens on `port` (0: any free one) and returns the port. Throws std::runtime_error.
    int listen(int port, AcceptHandler onAccepted);
    void stopListening(int port);
    // While paused, new connections wait in the kernel's backlog.
    void pauseAccepting(int port, bool paused);
    // Sets the length of the kernel's queue of connections that wait to be accepted (listen(2)).
    void setBacklog(int port, int length);
    void after(double delayMs, std::function<void()> callback);
    // Calls `onReadable` while the descriptor has data. The caller keeps ownership of the descriptor.
    void watchPipe(int fd, std::function<void()> onReadable);
    void unwatchPipe(int fd);
    // Runs the loop until now() reaches `timeMs`.
    void runUntil(double timeMs);
    // The longest iteration of the loop: recorded times are late by at most this.
    double worstLagMs() const { return worstLagMs_; }

  private:
    friend class TcpConnection;
    struct Listener {
        int fd = -1;
        AcceptHandler onAccepted;
    };
    void runOnce(int waitMs);

    int epoll_;
    std::unordered_map<int, TcpConnectionPtr> connections_;
    std::map<int, Listener> listeners_;           // by port
    std::unordered_map<int, int> listenerPorts_;  // by descriptor
    std::unordered_map<int, std::function<void()>> pipeCallbacks_;
    std::multimap<double, std::function<void()>> timers_;
    std::vector<TcpConnectionPtr> closed_;  // kept alive until the end of the iteration
    double worstLagMs_ = 0;
};

}  // namespace spokewheel::soak
