#include "io/connection.hpp"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

#include "io/receive_stamps.hpp"

namespace spokewheel::io {
namespace {

constexpr std::size_t kReadChunkBytes = 256 * 1024, kMaxCoalescedBytes = 16 * 1024;
constexpr double kAcceptRetryMs = 20;
constexpr int kMaxAcceptFailures = 4;  // in a row; beyond this the cause is assumed to persist
constexpr int kMaxEventsPerTurn = 32;  // accepts or datagrams per loop iteration, so that other sources run

struct ErrorHolder {
    GError* e = nullptr;
    ~ErrorHolder() { g_clear_error(&e); }
    bool wouldBlock() const {
        return e && (g_error_matches(e, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) ||
                     g_error_matches(e, G_IO_ERROR, G_IO_ERROR_PENDING));
    }
};

// Owned by the caller; nullptr if the host is not a numeric address.
GSocketAddress* socketAddress(const Address& address) {
    return g_inet_socket_address_new_from_string(address.host.c_str(), static_cast<guint>(address.port));
}

Address addressOf(GInetSocketAddress* address) {
    gchar* text = g_inet_address_to_string(g_inet_socket_address_get_address(address));
    Address out{text, g_inet_socket_address_get_port(address)};
    g_free(text);
    return out;
}

// A non-blocking socket bound to `endpoint`, listening if it is a stream socket. Owned by the caller. Throws
// ListenError.
GSocket* createBoundSocket(const Address& endpoint, GSocketType type, GSocketProtocol protocol) {
    ErrorHolder error;
    const auto family =
        endpoint.host.find(':') == std::string::npos ? G_SOCKET_FAMILY_IPV4 : G_SOCKET_FAMILY_IPV6;
    GSocket* s = g_socket_new(family, type, protocol, &error.e);
    GSocketAddress* address = socketAddress(endpoint);
    const bool listening = s && address && g_socket_bind(s, address, TRUE, &error.e) &&
                           (type != G_SOCKET_TYPE_STREAM || (g_socket_set_listen_backlog(s, 512), true)) &&
                           (type != G_SOCKET_TYPE_STREAM || g_socket_listen(s, &error.e));
    if (address) g_object_unref(address);
    if (!listening) {
        const std::string reason = error.e ? error.e->message : "no such address";
        if (s) g_object_unref(s);
        throw ListenError("cannot listen on " + endpoint.text() + ": " + reason);
    }
    g_socket_set_blocking(s, FALSE);
    return s;
}

}  // namespace

namespace {

// Parses a numeric host and port. Returns the inet address, owned by the caller, or nullptr if invalid.
GInetAddress* parseHostAndPort(const std::string& text, Address& out, bool anyPort) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return nullptr;
    out = {text.substr(0, colon), 0};
    if (out.host.size() > 2 && out.host.front() == '[' && out.host.back() == ']')
        out.host = out.host.substr(1, out.host.size() - 2);
    const char *first = text.data() + colon + 1, *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(first, last, out.port);
    if (error != std::errc() || end != last || out.port < (anyPort ? 0 : 1) || out.port > 65535)
        return nullptr;
    return g_inet_address_new_from_string(out.host.c_str());
}

}  // namespace

bool parseAddress(const std::string& text, Address& out, bool anyPort) {
    Address parsed;
    GInetAddress* inet = parseHostAndPort(text, parsed, anyPort);
    const bool loopback = inet && g_inet_address_get_is_loopback(inet);
    if (inet) g_object_unref(inet);
    if (loopback) out = parsed;
    return loopback;
}
bool parseNumericAddress(const std::string& text, Address& out) {
    Address parsed;
    GInetAddress* inet = parseHostAndPort(text, parsed, false);
    if (!inet) return false;
    g_object_unref(inet);
    out = parsed;
    return true;
}

std::shared_ptr<Connection> Connection::dial(const Address& to) {
    ErrorHolder error;
    const auto family = to.host.find(':') == std::string::npos ? G_SOCKET_FAMILY_IPV4 : G_SOCKET_FAMILY_IPV6;
    GSocket* s = g_socket_new(family, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error.e);
    std::shared_ptr<Connection> c(new Connection(s));
    c->failedLocally_ = !s;
    if (!s) return c;
    g_socket_set_blocking(s, FALSE);
    g_socket_set_option(s, 6 /* IPPROTO_TCP */, 1 /* TCP_NODELAY */, 1, nullptr);
    GSocketAddress* address = socketAddress(to);
    if (!address || (!g_socket_connect(s, address, nullptr, &error.e) && !error.wouldBlock())) {
        // A refused connection is the remote host's answer; any other immediate error is local.
        c->failedLocally_ = address && !g_error_matches(error.e, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
        g_object_unref(s);
        c->socket_ = nullptr;
    }
    if (address) g_object_unref(address);
    c->connecting_ = true;
    // The result is reported from the loop, never from within dial().
    if (c->open()) c->watchWritable();
    return c;
}

std::shared_ptr<Connection> Connection::adopt(GSocket* socket, double waitingSinceMs) {
    std::shared_ptr<Connection> c(new Connection(socket));
    c->tracksArrivals_ = true;
    c->hasStamps_ = requestReceiveStamps(g_socket_get_fd(socket));
    c->arrivedNotBeforeMs_ = waitingSinceMs;
    c->moreUnread_ = c->readable();
    g_socket_set_blocking(socket, FALSE);
    g_socket_set_option(socket, 6, 1, 1, nullptr);
    c->watchReadable();
    return c;
}

Connection::Connection(GSocket* socket) : socket_(socket), readChunk_(kReadChunkBytes) {}
Connection::~Connection() { close(); }

void Connection::watchReadable() {
    if (paused_ || connecting_ || !socket_ || readSource_) return;
    GSource* source = g_socket_create_source(socket_, G_IO_IN, nullptr);
    g_source_set_callback(source, G_SOURCE_FUNC(+[](GSocket*, GIOCondition, gpointer self) {
                              const auto keep = static_cast<Connection*>(self)->shared_from_this();
                              return keep->onReadable() ? TRUE : FALSE;
                          }),
                          this, nullptr);
    readSource_ = EventSource(g_source_attach(source, nullptr));
    g_source_unref(source);
}

void Connection::watchWritable() {
    if (!socket_ || writeSource_) return;
    GSource* source = g_socket_create_source(socket_, G_IO_OUT, nullptr);
    g_source_set_callback(source, G_SOURCE_FUNC(+[](GSocket*, GIOCondition, gpointer self) {
                              const auto keep = static_cast<Connection*>(self)->shared_from_this();
                              return keep->onWritable() ? TRUE : FALSE;
                          }),
                          this, nullptr);
    writeSource_ = EventSource(g_source_attach(source, nullptr));
    g_source_unref(source);
}

// Returns whether the connection's source stays in the loop.
bool Connection::onReadable() {
    noteArrival();
    if (deferredRead_) deferredRead_();
    else readOnce();
    return static_cast<bool>(readSource_);
}

void Connection::noteArrival() {
    if (!moreUnread_) arrivedNotBeforeMs_ = earliestArrivalMs();
    moreUnread_ = moreUnread_ || tracksArrivals_;
}

std::size_t Connection::readOnce() {
    static thread_local char buffer[kReadChunkBytes];
    if (!socket_ || paused_ || connecting_) return 0;
    const auto keep = shared_from_this();
    noteArrival();
    if (tracksArrivals_) noteReadArrival(readChunk_);
    ErrorHolder error;
    const gssize n = g_socket_receive(socket_, buffer, readChunk_, nullptr, &error.e);
    if (n > 0) {
        moreUnread_ = tracksArrivals_ && readable();
        if (!moreUnread_) {
            lastRun_.reset();
            lastRead_.reset();
            segmentsRead_ = segmentsSeen_;
        }
        if (handler_.data) handler_.data({buffer, static_cast<std::size_t>(n)});
        return static_cast<std::size_t>(n);
    }
    moreUnread_ = false;
    if (n == 0 || !error.wouldBlock()) fail(n == 0 ? DisconnectReason::ByPeer : DisconnectReason::Reset);
    return 0;
}

double Connection::arrivedAtMs() const {
    const double now = nowMs();
    return now - arrivedNotBeforeMs_ <= kArrivalToleranceMs ? now : arrivedNotBeforeMs_;
}

bool Connection::onWritable() {
    ErrorHolder error;
    if (connecting_) {
        if (!g_socket_check_connect_result(socket_, &error.e)) {
            fail(DisconnectReason::ConnectFailed);
            return false;
        }
        connecting_ = false;
        watchReadable();
        if (handler_.connected) handler_.connected();
        if (!socket_) return false;
    }
    const bool wasOverHalf = queued_ >= kHighWaterBytes / 2;
    if (!sendQueued(&error.e)) {
        if (error.wouldBlock()) {
            if (wasOverHalf && queued_ < kHighWaterBytes / 2 && handler_.drained) handler_.drained();
            return static_cast<bool>(writeSource_);
        }
        fail(DisconnectReason::Reset);
        return false;
    }
    if (wasOverHalf && handler_.drained) {
        handler_.drained();
        if (!socket_ || !queue_.empty()) return static_cast<bool>(writeSource_);
    }
    writeSource_.reset();
    if (shutdownPending_) g_socket_shutdown(socket_, FALSE, TRUE, nullptr);
    return false;
}

// False if the kernel accepts no more for now or the send fails; `error` tells which.
bool Connection::sendQueued(GError** error) {
    while (!queue_.empty()) {
        auto& front = queue_.front();
        const gssize n =
            g_socket_send(socket_, front.data() + offset_, front.size() - offset_, nullptr, error);
        if (n < 0) return false;
        offset_ += static_cast<std::size_t>(n);
        queued_ -= static_cast<std::size_t>(n);
        bytesSent_ += static_cast<std::uint64_t>(n);
        if (offset_ == front.size()) queue_.pop_front(), offset_ = 0;
    }
    return true;
}

void Connection::flush() {
    if (!socket_ || connecting_) return;
    ErrorHolder error;
    if (!sendQueued(&error.e)) return;
    writeSource_.reset();
    if (shutdownPending_) g_socket_shutdown(socket_, FALSE, TRUE, nullptr);
}

void Connection::write(std::string bytes) {
    if (!socket_ || bytes.empty()) return;
    queued_ += bytes.size();
    // Small writes are coalesced, so that a queue of many frames costs few system calls.
    if (!queue_.empty() && bytes.size() <= kMaxCoalescedBytes &&
        queue_.back().size() + bytes.size() <= kReadChunkBytes)
        queue_.back() += bytes;
    else queue_.push_back(std::move(bytes));
    watchWritable();
}

void Connection::pauseReading() {
    if (!paused_ && !moreUnread_) {
        arrivedNotBeforeMs_ = nowMs();
        moreUnread_ = tracksArrivals_;
    }
    paused_ = true;
    readSource_.reset();
}
void Connection::observeUnread() {
    if (paused_ && !readable()) arrivedNotBeforeMs_ = nowMs();
}
void Connection::setReadChunk(std::size_t bytes) {
    readChunk_ = std::clamp<std::size_t>(bytes, 1, kReadChunkBytes);
}
void Connection::resumeReading() {
    paused_ = false;
    watchReadable();
}
bool Connection::readable() const {
    return !socket_ || (g_socket_condition_check(socket_, GIOCondition(G_IO_IN | G_IO_HUP | G_IO_ERR)) != 0);
}
bool Connection::hungUp() const {
    return !socket_ || (g_socket_condition_check(socket_, GIOCondition(G_IO_HUP | G_IO_ERR)) &
                        (G_IO_HUP | G_IO_ERR)) != 0;
}
bool Connection::peerEnded() const {
    if (!socket_) return true;
    pollfd ended{g_socket_get_fd(socket_), POLLRDHUP, 0};
    return poll(&ended, 1, 0) > 0 && (ended.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
std::size_t Connection::unreadBytes() const {
    return socket_ ? static_cast<std::size_t>(std::max<gssize>(0, g_socket_get_available_bytes(socket_))) : 0;
}
std::uint64_t Connection::bytesAcknowledged() const {
    int inKernel = 0;
    if (!socket_ || ioctl(g_socket_get_fd(socket_), SIOCOUTQ, &inKernel) != 0) return bytesSent_;
    return bytesSent_ - std::min(bytesSent_, static_cast<std::uint64_t>(inKernel));
}
std::string Connection::remoteHost() const {
    std::string out;
    GSocketAddress* remote = socket_ ? g_socket_get_remote_address(socket_, nullptr) : nullptr;
    if (!remote) return out;
    if (G_IS_INET_SOCKET_ADDRESS(remote)) out = addressOf(G_INET_SOCKET_ADDRESS(remote)).host;
    g_object_unref(remote);
    return out;
}
void Connection::shutdownWrite() {
    shutdownPending_ = true;
    if (socket_ && queue_.empty()) g_socket_shutdown(socket_, FALSE, TRUE, nullptr);
}
void Connection::close() {
    readSource_.reset();
    writeSource_.reset();
    if (socket_) {
        g_socket_close(socket_, nullptr);
        g_object_unref(socket_);
    }
    socket_ = nullptr;
    droppedUnsentBytes_ = droppedUnsentBytes_ || queued_ > 0;
    queue_.clear();
    queued_ = 0;
}
void Connection::reset() {
    const linger abort{1, 0};
    if (socket_) setsockopt(g_socket_get_fd(socket_), SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close();
}
void Connection::fail(DisconnectReason reason) {
    const auto keep = shared_from_this();
    close();
    if (handler_.closed) {
        const auto closed = std::move(handler_.closed);
        handler_.closed = nullptr;
        closed(reason);
    }
}

Listener::Listener(const Address& address, std::function<void(std::shared_ptr<Connection>)> onAccepted)
    : onAccepted_(std::move(onAccepted)) {
    socket_ = createBoundSocket(address, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP);
    requestReceiveStamps(g_socket_get_fd(socket_));
    GSocketAddress* local = g_socket_get_local_address(socket_, nullptr);
    port_ = local ? g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local)) : address.port;
    if (local) g_object_unref(local);
    watch();
}
void Listener::watch() {
    if (!socket_ || source_) return;
    GSource* source = g_socket_create_source(socket_, G_IO_IN, nullptr);
    g_source_set_callback(source, G_SOURCE_FUNC(+[](GSocket*, GIOCondition, gpointer self) -> gboolean {
                              return static_cast<Listener*>(self)->onReadable() ? TRUE : FALSE;
                          }),
                          this, nullptr);
    source_ = EventSource(g_source_attach(source, nullptr));
    g_source_unref(source);
}
bool Listener::onReadable() {
    if (!moreWaiting_) waitingSinceMs_ = earliestArrivalMs();
    moreWaiting_ = true;
    return acceptSome();
}
bool Listener::acceptSome() {
    int failures = 0;
    for (int i = 0; i < kMaxEventsPerTurn; ++i) {
        ErrorHolder error;
        GSocket* accepted = g_socket_accept(socket_, nullptr, &error.e);
        if (!accepted) {
            if (error.wouldBlock() || !error.e) {
                moreWaiting_ = false;
                return true;
            }
            if (++failures < kMaxAcceptFailures) continue;
            // For example out of descriptors: the connections stay in the backlog and the socket stays
            // readable, so without a pause the loop would spin.
            pause();
            retryTimer_.arm(kAcceptRetryMs, [this] { resume(); });
            return false;
        }
        failures = 0;
        onAccepted_(Connection::adopt(accepted, waitingSinceMs_));
        if (!source_) return false;
    }
    return true;
}
void Listener::pause() {
    source_.reset();
    moreWaiting_ = true;
    observeBacklog();
}
void Listener::observeBacklog() {
    if (!source_ && !hasPending()) waitingSinceMs_ = nowMs();
}
void Listener::resume() {
    retryTimer_.cancel();
    watch();
}
bool Listener::hasPending() const { return socket_ && g_socket_condition_check(socket_, G_IO_IN) != 0; }
bool Listener::acceptPending() {
    while (source_ && hasPending())
        if (!onReadable()) return false;
    return true;
}
void Listener::acceptPendingThenStop() {
    if (!acceptPending()) return;
    if (!hasPending()) stop();
}
Listener::~Listener() { stop(); }
void Listener::stop() {
    retryTimer_.cancel();
    source_.reset();
    if (!socket_) return;
    g_socket_close(socket_, nullptr);
    g_object_unref(socket_);
    socket_ = nullptr;
}

DatagramSocket::DatagramSocket(const Address& address, Received onReceived)
    : onReceived_(std::move(onReceived)) {
    socket_ = createBoundSocket(address, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP);
    GSource* source = g_socket_create_source(socket_, G_IO_IN, nullptr);
    g_source_set_callback(
        source, G_SOURCE_FUNC(+[](GSocket* s, GIOCondition, gpointer self) -> gboolean {
            char buffer[2048];
            for (int i = 0; i < kMaxEventsPerTurn; ++i) {
                GSocketAddress* sender = nullptr;
                const gssize n = g_socket_receive_from(s, &sender, buffer, sizeof buffer, nullptr, nullptr);
                Address from;
                if (sender && G_IS_INET_SOCKET_ADDRESS(sender))
                    from = addressOf(G_INET_SOCKET_ADDRESS(sender));
                if (sender) g_object_unref(sender);
                if (n < 0) break;
                static_cast<DatagramSocket*>(self)->onReceived_(from, {buffer, static_cast<std::size_t>(n)});
            }
            return TRUE;
        }),
        this, nullptr);
    source_ = EventSource(g_source_attach(source, nullptr));
    g_source_unref(source);
}
DatagramSocket::~DatagramSocket() {
    source_.reset();
    g_socket_close(socket_, nullptr);
    g_object_unref(socket_);
}
void DatagramSocket::send(const Address& to, std::string_view bytes) {
    GSocketAddress* address = socketAddress(to);
    if (!address) return;
    g_socket_send_to(socket_, address, bytes.data(), bytes.size(), nullptr, nullptr);
    g_object_unref(address);
}

}  // namespace spokewheel::io
