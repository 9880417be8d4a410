// A client on a thread of its own that sends as fast as the scheduler takes it, so that the test's event
// loop, which measures other clients, is not held up.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace spokewheel::soak {

class FloodClient {
  public:
    struct Behaviour {
        std::function<std::string()> nextBytes;  // called on the client's thread
        bool newConnectionEach = false;          // opens a new connection for each call of nextBytes
        bool reads = true;                       // whether it reads what is sent to it
    };
    FloodClient(int port, Behaviour behaviour)
        : port_(port), behaviour_(std::move(behaviour)), thread_([this] { run(); }) {}
    ~FloodClient() { stop(); }
    FloodClient(const FloodClient&) = delete;
    FloodClient& operator=(const FloodClient&) = delete;

    void stop() {
        stopping_ = true;
        if (thread_.joinable()) thread_.join();
    }
    std::uint64_t bytesSent() const { return bytesSent_; }
    std::uint64_t connections() const { return connections_; }

  private:
    static constexpr int kWaitMs = 50;
    static constexpr std::size_t kBatchBytes = 64 * 1024;

    int dial() const {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port_));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return fd;
        close(fd);
        return -1;
    }
    void run() {
        while (!stopping_) {
            const int fd = dial();
            if (fd < 0) {
                usleep(1000);
                continue;
            }
            ++connections_;
            serve(fd);
            close(fd);
        }
    }
    // Until the connection ends.
    void serve(int fd) {
        std::string out;
        bool complete = false;
        while (!stopping_) {
            while (!complete && out.size() < kBatchBytes) {
                out += behaviour_.nextBytes();
                complete = behaviour_.newConnectionEach;
            }
            pollfd state{
                fd, static_cast<short>((behaviour_.reads ? POLLIN : 0) | (out.empty() ? 0 : POLLOUT)), 0};
            poll(&state, 1, kWaitMs);
            if (state.revents & (POLLERR | POLLNVAL)) return;
            if ((state.revents & (POLLIN | POLLHUP)) && !readSome(fd)) return;
            if (state.revents & POLLOUT) writeSome(fd, out);
        }
    }
    static bool readSome(int fd) {
        char buffer[65536];
        return recv(fd, buffer, sizeof buffer, MSG_DONTWAIT) != 0;
    }
    void writeSome(int fd, std::string& out) {
        const auto n = send(fd, out.data(), out.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n <= 0) return;
        bytesSent_ += static_cast<std::uint64_t>(n);
        out.erase(0, static_cast<std::size_t>(n));
    }

    int port_;
    Behaviour behaviour_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::uint64_t> bytesSent_ = 0, connections_ = 0;
    std::thread thread_;
};

}  // namespace spokewheel::soak
