// TCP connections, listeners and UDP sockets on the event loop. A connection reads a bounded amount at a
// time, counts its write queue and applies back-pressure in both directions.
#pragma once

#include <gio/gio.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "io/arrival_clock.hpp"
#include "io/byte_stream.hpp"
#include "io/loop.hpp"

namespace spokewheel::io {

struct Address {
    std::string host;
    int port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};
// Parses "127.0.0.1:8080". False, with `out` unchanged, unless it is a loopback address with a port from 1 to
// 65535; `anyPort` also allows port 0. Loopback only: the gateway neither listens nor connects elsewhere.
bool parseAddress(const std::string& text, Address& out, bool anyPort = false);
// The same for any numeric address. For the platform, whose configuration names addresses in its own network;
// must not be used on input from clients.
bool parseNumericAddress(const std::string& text, Address& out);

enum class DisconnectReason { ByPeer, Reset, ConnectFailed };

// When the bytes of one read arrived. The kernel stamps what arrives, and joins what waits in a socket under
// its latest stamp: so the time of the last byte of such a run is known, and that of those before it only if
// the run came in one segment.
struct ReadArrival {
    Arrival lastByte, earlierBytes;
};

class Connection : public ByteStream, public std::enable_shared_from_this<Connection> {
  public:
    struct Handler {
        std::function<void()> connected;
        std::function<void(std::string_view)> data;    // at most 256 KiB at a time
        std::function<void()> drained;                 // the write queue fell below half of kHighWaterBytes
        std::function<void(DisconnectReason)> closed;  // at most once, never after close()
    };
    static constexpr std::size_t kHighWaterBytes = 256 * 1024;

    // Starts to connect. The result comes through the handler's `connected` or `closed`, from the loop; if
    // the attempt failed at once, open() is false and no callback follows.
    static std::shared_ptr<Connection> dial(const Address& to);
    // Wraps an accepted socket and takes over the caller's reference. Data that is already waiting in it
    // arrived at `waitingSinceMs` (on nowMs()) at the earliest.
    static std::shared_ptr<Connection> adopt(GSocket* socket, double waitingSinceMs);
    ~Connection() override;
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void setHandler(Handler handler) { handler_ = std::move(handler); }
    // Leaves reading to the owner: `onReadable` is called in each iteration of the loop in which bytes or an
    // end of stream are waiting, until readOnce() has read them.
    void deferReading(std::function<void()> onReadable) { deferredRead_ = std::move(onReadable); }
    // Queues all of it; callers check backlogged() and wait for `drained` before they produce more.
    void write(std::string bytes) override;
    // Sends as much of the queue as the kernel accepts now instead of waiting for the loop. Runs no callback,
    // not even `drained`; the loop meets a send error again and reports it then.
    void flush();
    bool backlogged() const override { return queued_ >= kHighWaterBytes; }
    std::size_t queued() const { return queued_; }
    // Whether the connection ended, or was closed, with written bytes still in the queue.
    bool droppedUnsentBytes() const { return droppedUnsentBytes_; }
    // The peer's address without its port; empty once the connection is gone.
    std::string remoteHost() const;
    // Bytes that the kernel has accepted since the connection was made.
    std::uint64_t bytesSent() const { return bytesSent_; }
    // Those of them that the peer's machine has acknowledged.
    std::uint64_t bytesAcknowledged() const;
    // What arrives while reading is paused counts as having arrived at the pause (arrivedAtMs()), or at the
    // latest observeUnread() that found nothing.
    void pauseReading() override;
    void resumeReading() override;
    bool readingPaused() const { return paused_; }
    void observeUnread();
    // The most bytes that one call of the handler's `data` gets; at most 256 KiB.
    void setReadChunk(std::size_t bytes);
    // Reads once, at most setReadChunk() bytes, and runs the callback `data` or `closed` before it returns.
    // Returns the number of bytes; 0: nothing was waiting, reading is paused, or the connection has ended.
    // Must not be called from `data`.
    std::size_t readOnce();
    // Whether something was still unread after the latest read, or may have arrived since a pause.
    bool hasUnread() const { return moreUnread_; }
    // During `data` on an accepted connection: when the bytes arrived, on nowMs(). The current time, unless
    // the process was delayed; then the earliest time at which they can have arrived.
    double arrivedAtMs() const;
    // The same as points in the order in which the input of all accepted connections arrived.
    const ReadArrival& readArrival() const { return readArrival_; }
    // Nothing that is unread arrived before this point.
    ArrivalPoint earliestUnread() const;
    // When the byte arrived that is the `count`-th of those unread; nothing if it has not arrived.
    std::optional<Arrival> arrivalOfUnread(std::size_t count) const;
    // Unread bytes or an end of stream are waiting. Also finds idle connections that the peer has closed.
    bool readable() const;
    bool hungUp() const;  // both directions have ended, or an error occurred; unread data may remain
    // The peer has shut down its side or the connection broke; unread data may remain. Works while reading is
    // paused, but can't see an end of stream for which the socket's receive buffer has no room.
    bool peerEnded() const;
    std::size_t unreadBytes() const;  // in the socket's receive buffer
    void shutdownWrite();             // once the queue has been sent
    void close();                     // at once: drops the queue, no callback follows
    void reset();                     // like close(), but sends a TCP RST (SO_LINGER of 0)
    bool open() const { return socket_ != nullptr; }
    // After dial(): it failed at once for a local reason (no descriptor, port, buffer space or route).
    bool failedLocally() const { return failedLocally_; }

  private:
    explicit Connection(GSocket* socket);
    void watchReadable();
    void watchWritable();
    bool onReadable();
    void noteArrival();
    void noteReadArrival(std::size_t most);
    bool onWritable();
    bool sendQueued(GError** error);
    void fail(DisconnectReason reason);

    GSocket* socket_;
    Handler handler_;
    std::function<void()> deferredRead_;
    EventSource readSource_, writeSource_;
    std::size_t readChunk_;
    std::deque<std::string> queue_;
    std::size_t queued_ = 0, offset_ = 0;  // bytes in the queue; bytes of its front that have been sent
    std::uint64_t bytesSent_ = 0;
    // Earliest possible arrival of the data being read. Holds for as long as data from the same poll remains
    // unread in the socket (moreUnread_).
    double arrivedNotBeforeMs_ = 0;
    bool tracksArrivals_ = false, moreUnread_ = false;
    bool hasStamps_ = false;  // the kernel stamps what arrives
    ReadArrival readArrival_;
    // Since the socket was last seen empty: the last run of which all was read, and the last byte.
    std::optional<ArrivalPoint> lastRun_, lastRead_;
    std::uint32_t segmentsRead_ = 0, segmentsSeen_ = 0;  // when it was last empty; at the latest read
    bool connecting_ = false, paused_ = false, shutdownPending_ = false, failedLocally_ = false,
         droppedUnsentBytes_ = false;
};

// A socket could not be bound or put into listening state: the address and the system's error message.
class ListenError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// A listening TCP socket. Each accepted connection is passed to `onAccepted`.
class Listener {
  public:
    // Throws ListenError.
    Listener(const Address& address, std::function<void(std::shared_ptr<Connection>)> onAccepted);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    int port() const { return port_; }
    // Closes the listening socket; connections that were not accepted are refused.
    void stop();
    // Stops accepting. New connections wait in the kernel's backlog until resume().
    void pause();
    void resume();
    bool hasPending() const;  // connections wait to be accepted
    // Accepts the connections that wait. Returns false if this paused or stopped the listener.
    bool acceptPending();
    // Accepts the waiting connections, then stops. Keeps listening if some can't be accepted now; the caller
    // then has to call again later.
    void acceptPendingThenStop();
    // To be called regularly while paused. An empty backlog shows that connections accepted later have not
    // been waiting since before this call.
    void observeBacklog();

  private:
    void watch();
    bool onReadable();  // false if this paused or stopped the listener
    bool acceptSome();  // likewise

    GSocket* socket_ = nullptr;
    int port_ = 0;
    // Connections accepted now were made at this time at the earliest. Holds for as long as connections from
    // the same poll may remain in the backlog (moreWaiting_).
    double waitingSinceMs_ = nowMs();
    bool moreWaiting_ = false;
    EventSource source_;
    Timer retryTimer_;
    std::function<void(std::shared_ptr<Connection>)> onAccepted_;
};

// A bound UDP socket.
class DatagramSocket {
  public:
    using Received = std::function<void(const Address& from, std::string_view bytes)>;
    // Throws ListenError.
    DatagramSocket(const Address& address, Received onReceived);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket&) = delete;
    DatagramSocket& operator=(const DatagramSocket&) = delete;
    void send(const Address& to, std::string_view bytes);  // dropped if the kernel has no buffer space

  private:
    GSocket* socket_ = nullptr;
    EventSource source_;
    Received onReceived_;
};

}  // namespace spokewheel::io
