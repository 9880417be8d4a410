#include "kit/soak/port_source.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstdio>
#include <cstring>
#include <stdexcept>

namespace spokewheel::soak {
namespace {

// Below the ephemeral ports, from which the kernel takes the local ports of outgoing connections.
constexpr int kFirstPort = 10000, kPortsPerBlock = 64, kBlocks = 340;

bool isFree(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const bool free = bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
        close(fd);
        if (!free) return false;
    }
    return true;
}

}  // namespace

PortSource::PortSource(std::uint64_t seed)
    : block_(static_cast<int>((seed * 7919 + static_cast<unsigned>(getpid()) * 131) % kBlocks)),
      portsUsed_(kPortsPerBlock) {}

PortSource::~PortSource() {
    for (const int lock : lockSockets_) close(lock);
}

bool PortSource::reserveBlock(int block) {
    sockaddr_un name{};
    name.sun_family = AF_UNIX;
    const int length =
        std::snprintf(name.sun_path + 1, sizeof name.sun_path - 1, "spokewheel-ports-%d", block);
    const int fd = socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const auto size =
        static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + static_cast<unsigned>(length));
    if (bind(fd, reinterpret_cast<sockaddr*>(&name), size) != 0) {
        close(fd);
        return false;
    }
    lockSockets_.push_back(fd);
    return true;
}

int PortSource::take() {
    for (;;) {
        while (portsUsed_ < kPortsPerBlock) {
            const int port = kFirstPort + block_ * kPortsPerBlock + portsUsed_++;
            if (isFree(port)) return port;
        }
        do {
            if (++blocksTried_ > kBlocks)
                throw std::runtime_error("no free port: all port blocks are reserved or in use");
            block_ = (block_ + 1) % kBlocks;
        } while (!reserveBlock(block_));
        portsUsed_ = 0;
    }
}

}  // namespace spokewheel::soak
