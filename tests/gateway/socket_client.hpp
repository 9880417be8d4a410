// A client on a plain socket, independent of the event loop under test.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <string>

namespace spokewheel::platform::testing {

// A client on a plain socket that reads only when told to.
class SocketClient {
  public:
    // With sizes in bytes of its receive buffer and of the segments that its link takes; 0: as the system has
    // it.
    explicit SocketClient(int port, int receiveBuffer = 0, int segmentSize = 0)
        : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        if (receiveBuffer) setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        if (segmentSize) setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &segmentSize, sizeof segmentSize);
        const int on = 1;  // what is sent in small parts arrives in them
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    }
    ~SocketClient() { disconnect(); }
    void send(const std::string& text) {
        EXPECT_EQ(::send(fd_, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
    }
    // Sends what the kernel accepts now; returns the number of bytes.
    std::size_t trySend(const std::string& text) {
        const auto n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    void halfClose() { shutdown(fd_, SHUT_WR); }
    void disconnect() {
        if (fd_ >= 0) close(fd_);
        fd_ = -1;
    }
    // Reads what has arrived. Sets `ended` at the end of the stream and `reset` on an error.
    void read() {
        char buffer[65536];
        for (;;) {
            const auto n = recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
            if (n > 0) {
                got.append(buffer, static_cast<std::size_t>(n));
                continue;
            }
            ended = ended || n == 0;
            reset = reset || (n < 0 && errno != EAGAIN);
            return;
        }
    }
    // Reads up to so many bytes of what has arrived.
    void readUpTo(std::size_t bytes) {
        std::string buffer(bytes, '\0');
        const auto n = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (n > 0) got.append(buffer, 0, static_cast<std::size_t>(n));
        ended = ended || n == 0;
        reset = reset || (n < 0 && errno != EAGAIN);
    }
    int answers() const {
        int n = 0;
        for (std::size_t at = 0; (at = got.find("HTTP/1.1 ", at)) != got.npos; at += 9) ++n;
        return n;
    }
    std::string got;
    bool ended = false, reset = false;

  private:
    int fd_;
};

}  // namespace spokewheel::platform::testing
