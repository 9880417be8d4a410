// A TCP connection on the main loop with a bounded read, a counted write queue and back-pressure both ways.
#pragma once

#include <gio/gio.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include "io/byte_stream.hpp"
#include "io/loop.hpp"

namespace spokewheel::io {

struct Address {
    std::string host;
    int port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};
// "127.0.0.1:8080"; false where it is not a loopback address with a port between 1 (or 0, where `anyPort`)
// and 65535. Loopback only: the program neither listens nor connects elsewhere.
bool parseAddress(const std::string& text, Address& out, bool anyPort = false);
// The same for any numeric address. For the platform, whose configuration names addresses of its own network;
// nothing that comes from a client may be given to it.
bool parseNumericAddress(const std::string& text, Address& out);

enum class DisconnectReason { ByPeer, Reset, ConnectFailed };

class Connection : public ByteStream, public std::enable_shared_from_this<Connection> {
  public:
    struct Handler {
        std::function<void()> connected;
        std::function<void(std::string_view)> data;    // at most 256 KiB at a time
        std::function<void()> drained;                 // the write queue fell under half of its mark
        std::function<void(DisconnectReason)> closed;  // once, not after close()
    };
    static constexpr std::size_t kHighWater = 256 * 1024;

    static std::shared_ptr<Connection> dial(const Address& to);
    // Takes the reference. What waits to be read already came no earlier than `waitingSinceMs`.
    static std::shared_ptr<Connection> adopt(GSocket* socket, double waitingSinceMs);
    ~Connection() override;
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void setHandler(Handler handler) { handler_ = std::move(handler); }
    // Queues all of it; callers look at backlogged() and wait for drained before they make more.
    void write(std::string bytes) override;
    // Gives the kernel now what it takes of the queue, where the rest would wait for the loop. No callback
    // comes from within, `drained` neither; an error is found again, and told, by the loop.
    void flush();
    bool backlogged() const override { return queued_ >= kHighWater; }
    std::size_t queued() const { return queued_; }
    // It ended, or was closed, while some of what was written was still in the queue.
    bool droppedUnsentBytes() const { return droppedUnsentBytes_; }
    // Address of the other side without its port; empty where it is gone.
    std::string remoteHost() const;
    // Bytes of the queue that the kernel has taken since the start.
    std::uint64_t bytesSent() const { return bytesSent_; }
    void pauseReading() override;
    void resumeReading() override;
    // Hands over now what waits to be read, an end included; not from within a callback of this connection.
    void readPending();
    // In `data`, of an adopted connection: when the bytes came, on nowMs(). Now, unless the process was held
    // up: then the earliest moment at which they can have come.
    double arrivedAtMs() const;
    bool readable() const;  // bytes or an end wait unread (used to find a kept connection that has ended)
    bool hungUp() const;    // both sides have ended, or it broke; what came may still be unread
    void shutdownWrite();   // after what is queued has gone out
    void close();           // at once; what is queued is dropped, no callback follows
    void reset();           // the same, and the other side sees a reset (SO_LINGER of 0)
    bool open() const { return socket_ != nullptr; }
    // After dial(): it failed at once for a reason of this machine (no descriptor, port, buffer or route).
    bool failedLocally() const { return failedLocally_; }

  private:
    explicit Connection(GSocket* socket) : socket_(socket) {}
    void watch();
    void watchOut();
    bool onReady(GIOCondition condition);
    bool onWritable();
    bool sendSome(GError** error);
    void fail(DisconnectReason why);

    GSocket* socket_;
    Handler handler_;
    Source in_, out_;
    std::deque<std::string> queue_;
    std::size_t queued_ = 0, offset_ = 0;
    std::uint64_t bytesSent_ = 0;
    // Of what is read now: it came no earlier. More of the same may wait in the socket.
    double arrivedNotBeforeMs_ = 0;
    bool timesArrivals_ = false, moreWaits_ = false;
    bool connecting_ = false, paused_ = false, finish_ = false, failedLocally_ = false,
         droppedUnsentBytes_ = false;
};

// A listening socket can't be had: the address and the system's words.
class ListenError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// Listens on loopback; each accepted connection goes to `accepted`.
class Listener {
  public:
    // Throws ListenError.
    Listener(const Address& at, std::function<void(std::shared_ptr<Connection>)> accepted);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    int port() const { return port_; }
    void stop();
    // What asks to connect waits in the system's queue meanwhile.
    void pause();
    void resume();
    bool pending() const;  // somebody waits to be taken
    // Takes who waits, then stops. Who can't be taken now keeps waiting: to be called again then.
    void finish();
    // To be called now and then while paused: who finds the queue empty knows that nobody has waited so far.
    void observeQueue();

  private:
    void watch();
    bool onReady();  // false where it is paused or stopped by it
    bool acceptSome();

    GSocket* socket_ = nullptr;
    int port_ = 0;
    // Who is taken now has waited no longer; and whether others may have waited as long.
    double waitingSinceMs_ = nowMs();
    bool othersWait_ = false;
    Source source_;
    Timer again_;
    std::function<void(std::shared_ptr<Connection>)> accepted_;
};

// UDP on loopback.
class DatagramSocket {
  public:
    using Received = std::function<void(const Address& from, std::string_view bytes)>;
    DatagramSocket(const Address& at, Received received);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket&) = delete;
    DatagramSocket& operator=(const DatagramSocket&) = delete;
    void send(const Address& to, std::string_view bytes);  // lost where the kernel has no room

  private:
    GSocket* socket_ = nullptr;
    Source source_;
    Received received_;
};

}  // namespace spokewheel::io
