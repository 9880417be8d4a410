#include "io/connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace spokewheel::io {
namespace {

constexpr std::size_t kReadChunk = 256 * 1024, kJoined = 16 * 1024;
constexpr double kAcceptAgainMs = 20;
constexpr int kAcceptFailures = 4;  // in a row, after which a cause is taken to last
constexpr int kReadsAtOnce = 4;     // of one connection, so that one that sends without end holds nothing up
constexpr int kAcceptsAtOnce = 32;  // of one turn of the loop, so that a flood leaves room for others

struct ErrorHolder {
    GError* e = nullptr;
    ~ErrorHolder() { g_clear_error(&e); }
    bool wouldBlock() const {
        return e && (g_error_matches(e, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) ||
                     g_error_matches(e, G_IO_ERROR, G_IO_ERROR_PENDING));
    }
};

GSocketAddress* socketAddress(const Address& a) {
    return g_inet_socket_address_new_from_string(a.host.c_str(), static_cast<guint>(a.port));
}

Address addressOf(GInetSocketAddress* address) {
    gchar* text = g_inet_address_to_string(g_inet_socket_address_get_address(address));
    Address out{text, g_inet_socket_address_get_port(address)};
    g_free(text);
    return out;
}

GSocket* bound(const Address& at, GSocketType type, GSocketProtocol protocol) {
    ErrorHolder error;
    const auto family = at.host.find(':') == std::string::npos ? G_SOCKET_FAMILY_IPV4 : G_SOCKET_FAMILY_IPV6;
    GSocket* s = g_socket_new(family, type, protocol, &error.e);
    GSocketAddress* address = socketAddress(at);
    const bool fine = s && address && g_socket_bind(s, address, TRUE, &error.e) &&
                      (type != G_SOCKET_TYPE_STREAM || (g_socket_set_listen_backlog(s, 512), true)) &&
                      (type != G_SOCKET_TYPE_STREAM || g_socket_listen(s, &error.e));
    if (address) g_object_unref(address);
    if (!fine) {
        const std::string words = error.e ? error.e->message : "no such address";
        if (s) g_object_unref(s);
        throw ListenError("cannot listen on " + at.text() + ": " + words);
    }
    g_socket_set_blocking(s, FALSE);
    return s;
}

}  // namespace

namespace {

// The address in `text`, to be let go of; nullptr where it has none.
GInetAddress* numeric(const std::string& text, Address& a, bool anyPort) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return nullptr;
    a = {text.substr(0, colon), 0};
    if (a.host.size() > 2 && a.host.front() == '[' && a.host.back() == ']')
        a.host = a.host.substr(1, a.host.size() - 2);
    const char *first = text.data() + colon + 1, *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(first, last, a.port);
    if (error != std::errc() || end != last || a.port < (anyPort ? 0 : 1) || a.port > 65535) return nullptr;
    return g_inet_address_new_from_string(a.host.c_str());
}

}  // namespace

bool parseAddress(const std::string& text, Address& out, bool anyPort) {
    Address a;
    GInetAddress* inet = numeric(text, a, anyPort);
    const bool loopback = inet && g_inet_address_get_is_loopback(inet);
    if (inet) g_object_unref(inet);
    if (loopback) out = a;
    return loopback;
}
bool parseNumericAddress(const std::string& text, Address& out) {
    Address a;
    GInetAddress* inet = numeric(text, a, false);
    if (!inet) return false;
    g_object_unref(inet);
    out = a;
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
        // A refusal is the other machine's word; all else that is known at once is of this one.
        c->failedLocally_ = address && !g_error_matches(error.e, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
        g_object_unref(s);
        c->socket_ = nullptr;
    }
    if (address) g_object_unref(address);
    c->connecting_ = true;
    // The outcome comes from the loop, never from within dial().
    if (c->open()) c->watchOut();
    return c;
}

std::shared_ptr<Connection> Connection::adopt(GSocket* socket, double waitingSinceMs) {
    std::shared_ptr<Connection> c(new Connection(socket));
    c->timesArrivals_ = true;
    c->arrivedNotBeforeMs_ = waitingSinceMs;
    c->moreWaits_ = c->readable();
    g_socket_set_blocking(socket, FALSE);
    g_socket_set_option(socket, 6, 1, 1, nullptr);
    c->watch();
    return c;
}

Connection::~Connection() { close(); }

void Connection::watch() {
    if (paused_ || connecting_ || !socket_ || in_) return;
    GSource* source = g_socket_create_source(socket_, G_IO_IN, nullptr);
    g_source_set_callback(source, G_SOURCE_FUNC(+[](GSocket*, GIOCondition condition, gpointer self) {
                              const auto keep = static_cast<Connection*>(self)->shared_from_this();
                              return keep->onReady(condition) ? TRUE : FALSE;
                          }),
                          this, nullptr);
    in_ = Source(g_source_attach(source, nullptr));
    g_source_unref(source);
}

void Connection::watchOut() {
    if (!socket_ || out_) return;
    GSource* source = g_socket_create_source(socket_, G_IO_OUT, nullptr);
    g_source_set_callback(source, G_SOURCE_FUNC(+[](GSocket*, GIOCondition, gpointer self) {
                              const auto keep = static_cast<Connection*>(self)->shared_from_this();
                              return keep->onWritable() ? TRUE : FALSE;
                          }),
                          this, nullptr);
    out_ = Source(g_source_attach(source, nullptr));
    g_source_unref(source);
}

bool Connection::onReady(GIOCondition) {
    static thread_local char buffer[kReadChunk];
    ErrorHolder error;
    if (!moreWaits_) arrivedNotBeforeMs_ = earliestArrivalMs();
    const gssize n = g_socket_receive(socket_, buffer, sizeof buffer, nullptr, &error.e);
    if (n > 0) {
        moreWaits_ = timesArrivals_ && readable();
        if (handler_.data) handler_.data({buffer, static_cast<std::size_t>(n)});
        return static_cast<bool>(in_);
    }
    if (n < 0 && error.wouldBlock()) return true;
    fail(n == 0 ? DisconnectReason::ByPeer : DisconnectReason::Reset);
    return false;
}

double Connection::arrivedAtMs() const {
    const double now = nowMs();
    return now - arrivedNotBeforeMs_ <= kOrdinaryWaitMs ? now : arrivedNotBeforeMs_;
}

void Connection::readPending() {
    const auto keep = shared_from_this();
    for (int i = 0; i < kReadsAtOnce && in_ && readable(); ++i) onReady(G_IO_IN);
}

bool Connection::onWritable() {
    ErrorHolder error;
    if (connecting_) {
        if (!g_socket_check_connect_result(socket_, &error.e)) {
            fail(DisconnectReason::ConnectFailed);
            return false;
        }
        connecting_ = false;
        watch();
        if (handler_.connected) handler_.connected();
        if (!socket_) return false;
    }
    const bool was = queued_ >= kHighWater / 2;
    if (!sendSome(&error.e)) {
        if (error.wouldBlock()) {
            if (was && queued_ < kHighWater / 2 && handler_.drained) handler_.drained();
            return static_cast<bool>(out_);
        }
        fail(DisconnectReason::Reset);
        return false;
    }
    if (was && handler_.drained) {
        handler_.drained();
        if (!socket_ || !queue_.empty()) return static_cast<bool>(out_);
    }
    out_.reset();
    if (finish_) g_socket_shutdown(socket_, FALSE, TRUE, nullptr);
    return false;
}

// False where the kernel takes no more, or with an error.
bool Connection::sendSome(GError** error) {
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
    if (!sendSome(&error.e)) return;
    out_.reset();
    if (finish_) g_socket_shutdown(socket_, FALSE, TRUE, nullptr);
}

void Connection::write(std::string bytes) {
    if (!socket_ || bytes.empty()) return;
    queued_ += bytes.size();
    // Small pieces are joined, so that a queue of many frames costs few calls.
    if (!queue_.empty() && bytes.size() <= kJoined && queue_.back().size() + bytes.size() <= kReadChunk)
        queue_.back() += bytes;
    else queue_.push_back(std::move(bytes));
    watchOut();
}

void Connection::pauseReading() {
    paused_ = true;
    in_.reset();
}
void Connection::resumeReading() {
    paused_ = false;
    watch();
}
bool Connection::readable() const {
    return !socket_ || (g_socket_condition_check(socket_, GIOCondition(G_IO_IN | G_IO_HUP | G_IO_ERR)) != 0);
}
bool Connection::hungUp() const {
    return !socket_ || (g_socket_condition_check(socket_, GIOCondition(G_IO_HUP | G_IO_ERR)) &
                        (G_IO_HUP | G_IO_ERR)) != 0;
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
    finish_ = true;
    if (socket_ && queue_.empty()) g_socket_shutdown(socket_, FALSE, TRUE, nullptr);
}
void Connection::close() {
    in_.reset();
    out_.reset();
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
    const linger none{1, 0};
    if (socket_) setsockopt(g_socket_get_fd(socket_), SOL_SOCKET, SO_LINGER, &none, sizeof none);
    close();
}
void Connection::fail(DisconnectReason why) {
    const auto keep = shared_from_this();
    close();
    if (handler_.closed) {
        const auto closed = std::move(handler_.closed);
        handler_.closed = nullptr;
        closed(why);
    }
}

Listener::Listener(const Address& at, std::function<void(std::shared_ptr<Connection>)> accepted)
    : accepted_(std::move(accepted)) {
    socket_ = bound(at, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP);
    GSocketAddress* local = g_socket_get_local_address(socket_, nullptr);
    port_ = local ? g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(local)) : at.port;
    if (local) g_object_unref(local);
    watch();
}
void Listener::watch() {
    if (!socket_ || source_) return;
    GSource* source = g_socket_create_source(socket_, G_IO_IN, nullptr);
    g_source_set_callback(source, G_SOURCE_FUNC(+[](GSocket*, GIOCondition, gpointer self) -> gboolean {
                              return static_cast<Listener*>(self)->onReady() ? TRUE : FALSE;
                          }),
                          this, nullptr);
    source_ = Source(g_source_attach(source, nullptr));
    g_source_unref(source);
}
bool Listener::onReady() {
    if (!othersWait_) waitingSinceMs_ = earliestArrivalMs();
    othersWait_ = true;
    return acceptSome();
}
bool Listener::acceptSome() {
    int failures = 0;
    for (int i = 0; i < kAcceptsAtOnce; ++i) {
        ErrorHolder error;
        GSocket* taken = g_socket_accept(socket_, nullptr, &error.e);
        if (!taken) {
            if (error.wouldBlock() || !error.e) {
                othersWait_ = false;
                return true;
            }
            if (++failures < kAcceptFailures) continue;
            // Out of descriptors, say: who waits stays in the queue, so the socket stays readable, and
            // without a rest the loop would turn for nothing.
            pause();
            again_.arm(kAcceptAgainMs, [this] { resume(); });
            return false;
        }
        failures = 0;
        accepted_(Connection::adopt(taken, waitingSinceMs_));
        if (!source_) return false;
    }
    return true;
}
void Listener::pause() {
    source_.reset();
    othersWait_ = true;
    observeQueue();
}
void Listener::observeQueue() {
    if (!source_ && !pending()) waitingSinceMs_ = nowMs();
}
void Listener::resume() {
    again_.cancel();
    watch();
}
bool Listener::pending() const { return socket_ && g_socket_condition_check(socket_, G_IO_IN) != 0; }
void Listener::finish() {
    while (source_ && pending())
        if (!onReady()) return;
    if (!pending()) stop();
}
Listener::~Listener() { stop(); }
void Listener::stop() {
    again_.cancel();
    source_.reset();
    if (!socket_) return;
    g_socket_close(socket_, nullptr);
    g_object_unref(socket_);
    socket_ = nullptr;
}

DatagramSocket::DatagramSocket(const Address& at, Received received) : received_(std::move(received)) {
    socket_ = bound(at, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP);
    GSource* source = g_socket_create_source(socket_, G_IO_IN, nullptr);
    g_source_set_callback(
        source, G_SOURCE_FUNC(+[](GSocket* s, GIOCondition, gpointer self) -> gboolean {
            char buffer[2048];
            for (int i = 0; i < kAcceptsAtOnce; ++i) {
                GSocketAddress* sender = nullptr;
                const gssize n = g_socket_receive_from(s, &sender, buffer, sizeof buffer, nullptr, nullptr);
                Address from;
                if (sender && G_IS_INET_SOCKET_ADDRESS(sender))
                    from = addressOf(G_INET_SOCKET_ADDRESS(sender));
                if (sender) g_object_unref(sender);
                if (n < 0) break;
                static_cast<DatagramSocket*>(self)->received_(from, {buffer, static_cast<std::size_t>(n)});
            }
            return TRUE;
        }),
        this, nullptr);
    source_ = Source(g_source_attach(source, nullptr));
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
