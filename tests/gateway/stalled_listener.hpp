// A disk server whose backlog is full: connections to it are established only once the test accepts them.
// While the backlog is full the kernel drops SYN packets, and the client's kernel retransmits them.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

namespace spokewheel::platform::testing {

class StalledListener {
  public:
    StalledListener() : listener_(createSocket()) {
        sockaddr_in loopback{};
        loopback.sin_family = AF_INET;
        loopback.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&loopback), sizeof loopback), 0);
        EXPECT_EQ(listen(listener_, 0), 0);
        socklen_t length = sizeof address_;
        EXPECT_EQ(getsockname(listener_, reinterpret_cast<sockaddr*>(&address_), &length), 0);
        // The backlog holds one connection; the second of these already fails to connect, like all later
        // ones.
        for (int i = 0; i < 2; ++i) {
            backlogFillers_.push_back(createSocket());
            connect(backlogFillers_.back(), reinterpret_cast<sockaddr*>(&address_), sizeof address_);
        }
    }
    ~StalledListener() {
        for (const int fd : backlogFillers_) close(fd);
        for (const auto& c : connections_) close(c.fd);
        close(listener_);
    }
    StalledListener(const StalledListener&) = delete;
    StalledListener& operator=(const StalledListener&) = delete;
    std::string address() const { return "127.0.0.1:" + std::to_string(ntohs(address_.sin_port)); }
    // Accepts all waiting connections and reads what they have received. To be called repeatedly, as the
    // backlog fills again.
    void acceptConnections() {
        for (int fd; (fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
            connections_.push_back({fd, {}});
        for (auto& c : connections_) {
            char buffer[65536];
            for (ssize_t n; (n = recv(c.fd, buffer, sizeof buffer, 0)) > 0;)
                c.received.append(buffer, static_cast<std::size_t>(n));
        }
    }
    // Whether a request with this id has been received, even in part.
    bool received(const std::string& id) const {
        for (const auto& c : connections_)
            if (c.received.find("X-Request-ID: " + id + "\r\n") != std::string::npos) return true;
        return false;
    }
    // Answers on each connection that has received a complete head.
    void answerAll(const std::string& text) {
        for (auto& c : connections_)
            if (c.received.find("\r\n\r\n") != std::string::npos) {
                EXPECT_GT(::send(c.fd, text.data(), text.size(), MSG_NOSIGNAL), 0);
                c.received.clear();
            }
    }

  private:
    struct Accepted {
        int fd;
        std::string received;
    };
    static int createSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }
    int listener_;
    sockaddr_in address_{};
    std::vector<int> backlogFillers_;
    std::vector<Accepted> connections_;
};

}  // namespace spokewheel::platform::testing
