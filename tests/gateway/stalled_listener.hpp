// A disk server whose door can be held shut: connections to it come up only once the test lets them in. The
// kernel drops what asks while the queue of connections not yet taken is full, and the caller asks again.
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
    StalledListener() : door_(make()) {
        sockaddr_in a{};
        a.sin_family = AF_INET;
        a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(bind(door_, reinterpret_cast<sockaddr*>(&a), sizeof a), 0);
        EXPECT_EQ(listen(door_, 0), 0);
        socklen_t n = sizeof at_;
        EXPECT_EQ(getsockname(door_, reinterpret_cast<sockaddr*>(&at_), &n), 0);
        // The queue holds one; the second of these waits outside like all that come after it.
        for (int i = 0; i < 2; ++i) {
            fillers_.push_back(make());
            connect(fillers_.back(), reinterpret_cast<sockaddr*>(&at_), sizeof at_);
        }
    }
    ~StalledListener() {
        for (const int fd : fillers_) close(fd);
        for (const auto& p : peers_) close(p.fd);
        close(door_);
    }
    StalledListener(const StalledListener&) = delete;
    StalledListener& operator=(const StalledListener&) = delete;
    std::string address() const { return "127.0.0.1:" + std::to_string(ntohs(at_.sin_port)); }
    // Takes who has come meanwhile, and from now on whoever comes; call again and again.
    void acceptConnections() {
        for (int fd; (fd = accept4(door_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
            peers_.push_back({fd, {}});
        for (auto& p : peers_) {
            char buffer[65536];
            for (ssize_t n; (n = recv(p.fd, buffer, sizeof buffer, 0)) > 0;)
                p.got.append(buffer, static_cast<std::size_t>(n));
        }
    }
    // Whether any byte of a request with this id has come.
    bool received(const std::string& id) const {
        for (const auto& p : peers_)
            if (p.got.find("X-Request-ID: " + id + "\r\n") != std::string::npos) return true;
        return false;
    }
    // Answers each connection on which a whole head has come.
    void answerAll(const std::string& text) {
        for (auto& p : peers_)
            if (p.got.find("\r\n\r\n") != std::string::npos) {
                EXPECT_GT(::send(p.fd, text.data(), text.size(), MSG_NOSIGNAL), 0);
                p.got.clear();
            }
    }

  private:
    struct Peer {
        int fd;
        std::string got;
    };
    static int make() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }
    int door_;
    sockaddr_in at_{};
    std::vector<int> fillers_;
    std::vector<Peer> peers_;
};

}  // namespace spokewheel::platform::testing
