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

constexpr int kMostEvents = 256;
constexpr int kBindTries = 200, kBindAgainUs = 1000;
constexpr std::size_t kReadBytes = 256 * 1024;

sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    return at;
}
int streamSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }
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

void TcpConnection::watch() {
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
        if (n < 0) break;  // a break is told by reading
        out_.erase(0, static_cast<std::size_t>(n));
    }
    if (finish_ && out_.empty() && fd_ >= 0) ::shutdown(fd_, SHUT_WR);
    watch();
}

void TcpConnection::shutdownWrite() {
    finish_ = true;
    flush();
}

void TcpConnection::pauseReading(bool paused) {
    paused_ = paused;
    if (!paused && std::exchange(endedWhilePaused_, false) && fd_ >= 0) {
        epoll_event event{};
        event.data.fd = fd_;
        epoll_ctl(reactor_.epoll_, EPOLL_CTL_ADD, fd_, &event);
    }
    watch();
}

void TcpConnection::close() {
    if (fd_ < 0) return;
    const auto found = reactor_.links_.find(fd_);
    if (found != reactor_.links_.end()) {
        reactor_.closed_.push_back(found->second);
        reactor_.links_.erase(found);
    }
    ::close(fd_);
    fd_ = -1;
}

void TcpConnection::reset() {
    const linger none{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    close();
}

// The other side ended. The own side stays open until close(), so that a client can go on resting.
void TcpConnection::end(End how) {
    if (ended_) return;
    ended_ = true;
    watch();
    const auto keep = shared_from_this();
    if (how == End::Reset) close();
    if (onEnd) onEnd(how);
}

void TcpConnection::ready(std::uint32_t events) {
    const auto keep = shared_from_this();
    if (ended_) {  // nothing more can come: without this a closed connection would wake each turn
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
        if (error != 0) return end(End::Reset);
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
    } else if (n == 0) end(End::Orderly);
    else if (errno != EAGAIN && errno != EINTR) end(End::Reset);
}

Reactor::Reactor() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
    if (epoll_ < 0) throw std::runtime_error("epoll_create1 failed");
}
Reactor::~Reactor() {
    for (auto& [port, door] : doors_) ::close(door.fd);
    links_.clear();
    closed_.clear();
    ::close(epoll_);
}

double Reactor::now() const {
    timespec at{};
    clock_gettime(CLOCK_MONOTONIC, &at);
    return static_cast<double>(at.tv_sec) * 1e3 + static_cast<double>(at.tv_nsec) / 1e6;
}

TcpConnectionPtr Reactor::dial(int port) {
    const int fd = streamSocket();
    if (fd < 0) throw std::runtime_error("no socket for the harness");
    noDelay(fd);
    const auto at = loopback(port);
    connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    TcpConnectionPtr link(new TcpConnection(*this, fd, true));
    links_[fd] = link;
    epoll_event event{};
    event.data.fd = fd;
    event.events = EPOLLOUT;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    return link;
}

int Reactor::listen(int port, Accepted accepted) {
    const int fd = streamSocket();
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = loopback(port);
    socklen_t size = sizeof at;
    // A child that was forked a moment ago holds a copy of the door that was here before, until its exec.
    int failed = -1;
    for (int tries = 0; tries < kBindTries && failed != 0; ++tries) {
        if (tries > 0) usleep(kBindAgainUs);
        failed = bind(fd, reinterpret_cast<sockaddr*>(&at), size);
        if (failed == 0) failed = ::listen(fd, 256);
    }
    if (failed != 0 || getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
        ::close(fd);
        throw std::runtime_error("the harness can't listen on port " + std::to_string(port));
    }
    const int bound = ntohs(at.sin_port);
    doors_[bound] = {fd, std::move(accepted)};
    portOfDoor_[fd] = bound;
    epoll_event event{};
    event.data.fd = fd;
    event.events = EPOLLIN;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    return bound;
}

void Reactor::stopListening(int port) {
    const auto found = doors_.find(port);
    if (found == doors_.end()) return;
    portOfDoor_.erase(found->second.fd);
    ::close(found->second.fd);
    doors_.erase(found);
}

void Reactor::pauseAccepting(int port, bool held) {
    const auto found = doors_.find(port);
    if (found == doors_.end()) return;
    epoll_event event{};
    event.data.fd = found->second.fd;
    event.events = held ? 0u : static_cast<std::uint32_t>(EPOLLIN);
    epoll_ctl(epoll_, EPOLL_CTL_MOD, found->second.fd, &event);
}

void Reactor::setBacklog(int port, int most) {
    const auto found = doors_.find(port);
    if (found != doors_.end()) ::listen(found->second.fd, most);
}

void Reactor::after(double ms, std::function<void()> then) { timers_.emplace(now() + ms, std::move(then)); }

void Reactor::watchPipe(int fd, std::function<void()> readable) {
    pipes_[fd] = std::move(readable);
    epoll_event event{};
    event.data.fd = fd;
    event.events = EPOLLIN;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
}
void Reactor::unwatchPipe(int fd) {
    if (pipes_.erase(fd)) epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
}

void Reactor::turn(int waitMs) {
    epoll_event events[kMostEvents];
    const int n = epoll_wait(epoll_, events, kMostEvents, waitMs);
    const double began = now();
    for (int i = 0; i < n; ++i) {
        const int fd = events[i].data.fd;
        if (const auto pipe = pipes_.find(fd); pipe != pipes_.end()) {
            const auto readable = pipe->second;
            readable();
            continue;
        }
        if (const auto door = portOfDoor_.find(fd); door != portOfDoor_.end()) {
            const int taken = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (taken < 0) continue;
            noDelay(taken);
            TcpConnectionPtr link(new TcpConnection(*this, taken, false));
            links_[taken] = link;
            epoll_event event{};
            event.data.fd = taken;
            event.events = EPOLLIN;
            epoll_ctl(epoll_, EPOLL_CTL_ADD, taken, &event);
            const auto accepted = doors_.at(door->second).accepted;
            accepted(link);
            continue;
        }
        if (const auto link = links_.find(fd); link != links_.end()) {
            const auto keep = link->second;
            keep->ready(events[i].events);
        }
    }
    while (!timers_.empty() && timers_.begin()->first <= now()) {
        const auto then = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        then();
    }
    closed_.clear();
    worstLag_ = std::max(worstLag_, now() - began);
}

void Reactor::runUntil(double ms) {
    for (;;) {
        const double left = ms - now();
        if (left <= 0) return;
        double wait = left;
        if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first - now());
        turn(static_cast<int>(std::ceil(std::max(0.0, wait))));
    }
}

}  // namespace spokewheel::soak
