// A small epoll loop for the soak's clients, servers and relays. Its own, so that a fault in the gateway's
// loop can't hide itself. Single-threaded; callbacks may close any connection.
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

// A TCP connection on loopback. The reactor holds it until it is closed.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
  public:
    enum class End { Orderly, Reset };
    ~TcpConnection();
    std::function<void()> onConnected;
    std::function<void(std::string_view)> onData;
    std::function<void(End)> onEnd;  // the other side ended; once, not after close()
    // The other side ended while reading is paused; once. What came before it is still unread.
    std::function<void()> onEndWhilePaused;
    void write(std::string_view bytes);
    void shutdownWrite();
    void close();
    void reset();  // SO_LINGER of 0
    void pauseReading(bool paused);
    bool open() const { return fd_ >= 0; }
    int localPort() const;

  private:
    friend class Reactor;
    TcpConnection(Reactor& reactor, int fd, bool connecting);
    void ready(std::uint32_t events);
    void flush();
    void watch();
    void end(End how);

    Reactor& reactor_;
    int fd_;
    bool connecting_, finish_ = false, paused_ = false, ended_ = false;
    bool endedWhilePaused_ = false;  // and the reactor no longer waits for it
    std::string out_;
};
using TcpConnectionPtr = std::shared_ptr<TcpConnection>;

class Reactor {
  public:
    using Accepted = std::function<void(TcpConnectionPtr)>;
    Reactor();
    ~Reactor();
    Reactor(const Reactor&) = delete;
    Reactor& operator=(const Reactor&) = delete;

    double now() const;  // monotonic milliseconds
    TcpConnectionPtr dial(int port);
    // Listens on `port` (0: any); returns the port. Throws std::runtime_error.
    int listen(int port, Accepted accepted);
    void stopListening(int port);
    // Stops taking connections without refusing them.
    void pauseAccepting(int port, bool held);
    // Of connections that wait to be taken (listen(2)).
    void setBacklog(int port, int most);
    void after(double ms, std::function<void()> then);
    // Calls `readable` while the descriptor has data; the caller owns the descriptor.
    void watchPipe(int fd, std::function<void()> readable);
    void unwatchPipe(int fd);
    // Turns until the time has come.
    void runUntil(double ms);
    // The longest time between two turns: how late a record may be.
    double worstLagMs() const { return worstLag_; }

  private:
    friend class TcpConnection;
    struct Door {
        int fd = -1;
        Accepted accepted;
    };
    void turn(int waitMs);

    int epoll_;
    std::unordered_map<int, TcpConnectionPtr> links_;
    std::map<int, Door> doors_;                // by port
    std::unordered_map<int, int> portOfDoor_;  // by descriptor
    std::unordered_map<int, std::function<void()>> pipes_;
    std::multimap<double, std::function<void()>> timers_;
    std::vector<TcpConnectionPtr> closed_;  // kept until the turn is over
    double worstLag_ = 0;
};

}  // namespace spokewheel::soak
