#include "kit/soak/reactor.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <ctime>
#include <stdexcept>
#include <utility>

namespace spokewheel::soak {
namespace {

constexpr int kMaxEvents = 256;
constexpr int kBindAttempts = 200, kBindRetryUs = 1000;
constexpr std::size_t kReadBytes = 256 * 1024;

sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    return at;
}
int makeTcpSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }
void noDelay(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

TcpConnection::TcpConnection(Reactor& reactor, int fd, bool connecting)
    : reactor_(reactor), fd_(fd), connecting_(connecting) {}
TcpConnection::~TcpConnection() {
    if (fd_ >= 0) ::close(fd_);
}

int TcpConnection::localPort() const {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    return fd_ >= 0 && getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) == 0 ? ntohs(at.sin_port)
                                                                                      : 0;
}

void TcpConnection::updateEvents() {
    if (fd_ < 0) return;
    epoll_event event{};
    event.data.fd = fd_;
    if (!paused_ && !ended_) event.events |= EPOLLIN;
    if (paused_) event.events |= EPOLLRDHUP;
    if (connecting_ || !out_.empty()) event.events |= EPOLLOUT;
    epoll_ctl(reactor_.epoll_, EPOLL_CTL_MOD, fd_, &event);
}

void TcpConnection::write(std::string_view bytes) {
    if (fd_ < 0) return;
    out_ += bytes;
    flush();
}

void TcpConnection::flush() {
    while (!connecting_ && !out_.empty() && fd_ >= 0) {
        const ssize_t n = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
        if (n < 0) break;  // a broken connection is reported by the next read
        out_.erase(0, static_cast<std::size_t>(n));
    }
    if (shutdownPending_ && out_.empty() && fd_ >= 0) ::shutdown(fd_, SHUT_WR);
    updateEvents();
}

void TcpConnection::shutdownWrite() {
    shutdownPending_ = true;
    flush();
}

void TcpConnection::pauseReading(bool paused) {
    paused_ = paused;
    if (!paused && std::exchange(endedWhilePaused_, false) && fd_ >= 0) {
        epoll_event event{};
        event.data.fd = fd_;
        epoll_ctl(reactor_.epoll_, EPOLL_CTL_ADD, fd_, &event);
    }
    updateEvents();
}

void TcpConnection::close() {
    if (fd_ < 0) return;
    const auto found = reactor_.connections_.find(fd_);
    if (found != reactor_.connections_.end()) {
        reactor_.closed_.push_back(found->second);
        reactor_.connections_.erase(found);
    }
    ::close(fd_);
    fd_ = -1;
}

void TcpConnection::reset() {
    const linger none{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    close();
}

// The peer ended the connection. After an orderly end this side stays open until close(), so that a client
// can keep an idle connection half-open.
void TcpConnection::handleEnd(End how) {
    if (ended_) return;
    ended_ = true;
    updateEvents();
    const auto keepAlive = shared_from_this();
    if (how == End::Reset) close();
    if (onEnd) onEnd(how);
}

void TcpConnection::handleEvents(std::uint32_t events) {
    const auto keepAlive = shared_from_this();
    if (ended_) {  // no more events are expected, and epoll would report the hang-up on each iteration
        epoll_ctl(reactor_.epoll_, EPOLL_CTL_DEL, fd_, nullptr);
        return;
    }
    if (paused_ && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))) {
        endedWhilePaused_ = true;
        epoll_ctl(reactor_.epoll_, EPOLL_CTL_DEL, fd_, nullptr);
        if (onEndWhilePaused) onEndWhilePaused();
        return;
    }
    if (connecting_ && !(events & (EPOLLOUT | EPOLLHUP | EPOLLERR))) return;
    if (connecting_) {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) return handleEnd(End::Reset);
        connecting_ = false;
        flush();
        if (onConnected) onConnected();
        if (fd_ < 0) return;
    }
    if (events & EPOLLOUT) flush();
    if (paused_ || !(events & (EPOLLIN | EPOLLHUP | EPOLLERR))) return;
    static thread_local char buffer[kReadBytes];
    const ssize_t n = ::recv(fd_, buffer, sizeof buffer, 0);
    if (n > 0) {
        if (onData) onData({buffer, static_cast<std::size_t>(n)});
    } else if (n == 0) handleEnd(End::Orderly);
    else if (errno != EAGAIN && errno != EINTR) handleEnd(End::Reset);
}

Reactor::Reactor() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
    if (epoll_ < 0) throw std::runtime_error("epoll_create1 failed");
}
Reactor::~Reactor() {
    for (auto& [port, listener] : listeners_) ::close(listener.fd);
    connections_.clear();
    closed_.clear();
    ::close(epoll_);
}

double Reactor::now() const {
    timespec at{};
    clock_gettime(CLOCK_MONOTONIC, &at);
    return static_cast<double>(at.tv_sec) * 1e3 + static_cast<double>(at.tv_nsec) / 1e6;
}

TcpConnectionPtr Reactor::dial(int port, const ClientLink& link) {
    const int fd = makeTcpSocket();
    if (fd < 0) throw std::runtime_error("socket() failed");
    if (link.receiveBuffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &link.receiveBuffer, sizeof link.receiveBuffer);
    if (link.segmentSize > 0)
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &link.segmentSize, sizeof link.segmentSize);
    noDelay(fd);
    const auto at = loopback(port);
    connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    TcpConnectionPtr connection(new TcpConnection(*this, fd, true));
    connections_[fd] = connection;
    epoll_event event{};
    event.data.fd = fd;
    event.events = EPOLLOUT;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    return connection;
}

int Reactor::listen(int port, AcceptHandler onAccepted) {
    const int fd = makeTcpSocket();
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = loopback(port);
    socklen_t size = sizeof at;
    // A child that was just forked holds a copy of a former listener on this port until it calls exec.
    int failed = -1;
    for (int attempt = 0; attempt < kBindAttempts && failed != 0; ++attempt) {
        if (attempt > 0) usleep(kBindRetryUs);
        failed = bind(fd, reinterpret_cast<sockaddr*>(&at), size);
        if (failed == 0) failed = ::listen(fd, 256);
    }
    if (failed != 0 || getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
        ::close(fd);
        throw std::runtime_error("can't listen on port " + std::to_string(port));
    }
    const int bound = ntohs(at.sin_port);
    listeners_[bound] = {fd, std::move(onAccepted)};
    listenerPorts_[fd] = bound;
    epoll_event event{};
    event.data.fd = fd;
    event.events = EPOLLIN;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    return bound;
}

void Reactor::stopListening(int port) {
    const auto found = listeners_.find(port);
    if (found == listeners_.end()) return;
    listenerPorts_.erase(found->second.fd);
    ::close(found->second.fd);
    listeners_.erase(found);
}

void Reactor::pauseAccepting(int port, bool paused) {
    const auto found = listeners_.find(port);
    if (found == listeners_.end()) return;
    epoll_event event{};
    event.data.fd = found->second.fd;
    event.events = paused ? 0u : static_cast<std::uint32_t>(EPOLLIN);
    epoll_ctl(epoll_, EPOLL_CTL_MOD, found->second.fd, &event);
}

void Reactor::setBacklog(int port, int length) {
    const auto found = listeners_.find(port);
    if (found != listeners_.end()) ::listen(found->second.fd, length);
}

void Reactor::after(double delayMs, std::function<void()> callback) {
    timers_.emplace(now() + delayMs, std::move(callback));
}

void Reactor::watchPipe(int fd, std::function<void()> onReadable) {
    pipeCallbacks_[fd] = std::move(onReadable);
    epoll_event event{};
    event.data.fd = fd;
    event.events = EPOLLIN;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
}
void Reactor::unwatchPipe(int fd) {
    if (pipeCallbacks_.erase(fd)) epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
}

void Reactor::runOnce(int waitMs) {
    epoll_event events[kMaxEvents];
    const int n = epoll_wait(epoll_, events, kMaxEvents, waitMs);
    const double startedAt = now();
    for (int i = 0; i < n; ++i) {
        const int fd = events[i].data.fd;
        if (const auto pipe = pipeCallbacks_.find(fd); pipe != pipeCallbacks_.end()) {
            const auto onReadable = pipe->second;
            onReadable();
            continue;
        }
        if (const auto listener = listenerPorts_.find(fd); listener != listenerPorts_.end()) {
            const int accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (accepted < 0) continue;
            noDelay(accepted);
            TcpConnectionPtr connection(new TcpConnection(*this, accepted, false));
            connections_[accepted] = connection;
            epoll_event event{};
            event.data.fd = accepted;
            event.events = EPOLLIN;
            epoll_ctl(epoll_, EPOLL_CTL_ADD, accepted, &event);
            const auto onAccepted = listeners_.at(listener->second).onAccepted;
            onAccepted(connection);
            continue;
        }
        if (const auto connection = connections_.find(fd); connection != connections_.end()) {
            const auto keepAlive = connection->second;
            keepAlive->handleEvents(events[i].events);
        }
    }
    while (!timers_.empty() && timers_.begin()->first <= now()) {
        const auto callback = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        callback();
    }
    closed_.clear();
    worstLagMs_ = std::max(worstLagMs_, now() - startedAt);
}

void Reactor::runUntil(double timeMs) {
    for (;;) {
        const double remainingMs = timeMs - now();
        if (remainingMs <= 0) return;
        double waitMs = remainingMs;
        if (!timers_.empty()) waitMs = std::min(waitMs, timers_.begin()->first - now());
        runOnce(static_cast<int>(std::ceil(std::max(0.0, waitMs))));
    }
}

}  // namespace spokewheel::soak
