// LD_PRELOAD library for the scheduler processes of the soak. Makes system calls fail in ways that Linux
// documents, at the rates set in the shared FaultControl, and counts the bytes that the process reads. Passes
// all calls through if no control file is given.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>

#include "kit/soak/fault_control.hpp"

namespace {

using spokewheel::soak::Fault;
using spokewheel::soak::FaultControl;

constexpr int kMaxDescriptors = 4096;
constexpr int kReadErrorEvery = 50;  // only one of 50 selected reads fails, so that most connections survive

// A poll without time-out on at most this many descriptors is the check of one socket before a write.
constexpr nfds_t kMaxSocketsOfWriteCheck = 2;
constexpr useconds_t kPollAgainUs = 500;

FaultControl* control = nullptr;
std::uint64_t randomState = 0;
// By descriptor. When a delayed outgoing connection is reported as established; 0: not delayed.
double establishedAtMs[kMaxDescriptors];
// By descriptor. The remote port of an accepted connection; 0: not an accepted connection.
std::uint16_t acceptedPeerPort[kMaxDescriptors];

// The function that this library's function of the same name replaces.
template <class Function>
Function nextSymbol(const char* name) {
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

__attribute__((constructor)) void mapControl() {
    const char* path = std::getenv(spokewheel::soak::kControlVariable);
    if (!path) return;
    const int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void* memory = mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (memory == MAP_FAILED) return;
    const char* seed = std::getenv(spokewheel::soak::kSeedVariable);
    randomState = (seed ? std::strtoull(seed, nullptr, 10) : 1) * 0x9e3779b97f4a7c15ULL + 1;
    control = static_cast<FaultControl*>(memory);
}

std::uint32_t randomBelow(std::uint32_t bound) {
    randomState ^= randomState << 13;
    randomState ^= randomState >> 7;
    randomState ^= randomState << 17;
    return static_cast<std::uint32_t>((randomState >> 11) % bound);
}

// Draws whether the fault is injected into this call, and counts it if so.
bool shouldInject(Fault fault) {
    if (!control) return false;
    const auto i = static_cast<std::size_t>(fault);
    const auto rate = control->ratePermille[i].load(std::memory_order_relaxed);
    if (rate == 0 || randomBelow(1000) >= rate) return false;
    control->injected[i].fetch_add(1, std::memory_order_relaxed);
    return true;
}

// Sets errno to one of the errors, drawn at random, and returns -1.
template <std::size_t N>
int failWith(const int (&errors)[N]) {
    errno = errors[randomBelow(N)];
    return -1;
}

constexpr int kAcceptErrors[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE};
constexpr int kSocketErrors[] = {ENFILE, ENOBUFS, EMFILE};
constexpr int kConnectErrors[] = {ENOBUFS, EADDRNOTAVAIL, ENETUNREACH};
constexpr int kReadErrors[] = {ETIMEDOUT, EHOSTUNREACH};

void trackAccepted(int fd) {
    if (!control || fd < 0 || fd >= kMaxDescriptors) return;
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0 || peer.sin_family != AF_INET) return;
    acceptedPeerPort[fd] = ntohs(peer.sin_port);
    control->bytesReadByPort[acceptedPeerPort[fd]].store(0);
}

void countRead(int fd, ssize_t bytes, int flags) {
    if (!control || bytes <= 0 || (flags & MSG_PEEK) || fd < 0 || fd >= kMaxDescriptors) return;
    if (acceptedPeerPort[fd])
        control->bytesReadByPort[acceptedPeerPort[fd]].fetch_add(static_cast<std::uint64_t>(bytes));
}

double monotonicMs() {
    timespec now{};
    static const auto real = nextSymbol<int (*)(clockid_t, timespec*)>("clock_gettime");
    real(CLOCK_MONOTONIC, &now);
    return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

// Removes the events of connections whose establishment is still delayed from the result of poll().
int hideDelayedConnections(pollfd* descriptors, nfds_t count, int ready) {
    const double nowMs = monotonicMs();
    for (nfds_t i = 0; i < count && ready > 0; ++i) {
        auto& entry = descriptors[i];
        if (entry.fd < 0 || entry.fd >= kMaxDescriptors || establishedAtMs[entry.fd] <= nowMs ||
            entry.revents == 0)
            continue;
        entry.revents = 0;
        --ready;
    }
    return ready;
}

bool hasType(int fd, int wanted) {
    int type = 0;
    socklen_t size = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == wanted;
}
bool isStream(int fd) { return hasType(fd, SOCK_STREAM); }

bool shouldDropDatagram(int fd) { return shouldInject(Fault::DatagramLoss) && hasType(fd, SOCK_DGRAM); }

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
    static const auto real = nextSymbol<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
    if (shouldInject(Fault::AcceptError)) return failWith(kAcceptErrors);
    const int accepted = real(fd, address, size, flags);
    trackAccepted(accepted);
    return accepted;
}

int accept(int fd, sockaddr* address, socklen_t* size) { return accept4(fd, address, size, 0); }

int socket(int domain, int type, int protocol) {
    static const auto real = nextSymbol<int (*)(int, int, int)>("socket");
    if (shouldInject(Fault::SocketError)) return failWith(kSocketErrors);
    return real(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
    static const auto real = nextSymbol<int (*)(int, const sockaddr*, socklen_t)>("connect");
    if (shouldInject(Fault::ConnectError)) return failWith(kConnectErrors);
    const int result = real(fd, address, size);
    if ((result != 0 && errno != EINPROGRESS) || !shouldInject(Fault::ConnectDelay)) return result;
    if (fd < kMaxDescriptors) {
        const auto maxMs = std::max(2u, control->connectDelayMs.load());
        establishedAtMs[fd] = monotonicMs() + maxMs / 2 + randomBelow(maxMs / 2);
    }
    errno = EINPROGRESS;
    return -1;
}

int close(int fd) {
    static const auto real = nextSymbol<int (*)(int)>("close");
    if (fd >= 0 && fd < kMaxDescriptors) acceptedPeerPort[fd] = 0, establishedAtMs[fd] = 0;
    return real(fd);
}

ssize_t recv(int fd, void* buffer, size_t size, int flags) {
    static const auto real = nextSymbol<ssize_t (*)(int, void*, size_t, int)>("recv");
    const bool fromClient = fd >= 0 && fd < kMaxDescriptors && acceptedPeerPort[fd];
    if (!fromClient && !(flags & MSG_PEEK) && shouldInject(Fault::ReadError) &&
        randomBelow(kReadErrorEvery) == 0 && isStream(fd))
        return failWith(kReadErrors);
    if (size > 1 && shouldInject(Fault::ShortRead))
        size = 1 + randomBelow(static_cast<std::uint32_t>(std::min<size_t>(size, 64)));
    const ssize_t got = real(fd, buffer, size, flags);
    countRead(fd, got, flags);
    return got;
}

ssize_t send(int fd, const void* buffer, size_t size, int flags) {
    static const auto real = nextSymbol<ssize_t (*)(int, const void*, size_t, int)>("send");
    if (size > 1 && shouldInject(Fault::ShortWrite)) {
        if (randomBelow(4) == 0) {
            errno = EAGAIN;
            return -1;
        }
        size = 1 + randomBelow(static_cast<std::uint32_t>(std::min<size_t>(size, 200)));
    }
    return real(fd, buffer, size, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    static const auto real = nextSymbol<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
    if (!shouldDropDatagram(fd)) return real(fd, message, flags);
    size_t size = 0;
    for (size_t i = 0; i < message->msg_iovlen; ++i) size += message->msg_iov[i].iov_len;
    return static_cast<ssize_t>(size);
}

ssize_t sendto(int fd, const void* buffer, size_t size, int flags, const sockaddr* to, socklen_t length) {
    static const auto real =
        nextSymbol<ssize_t (*)(int, const void*, size_t, int, const sockaddr*, socklen_t)>("sendto");
    return shouldDropDatagram(fd) ? static_cast<ssize_t>(size) : real(fd, buffer, size, flags, to, length);
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
    static const auto real = nextSymbol<int (*)(pollfd*, nfds_t, int)>("poll");
    if (timeout != 0 && shouldInject(Fault::PollInterrupted)) {
        errno = EINTR;
        return -1;
    }
    const double deadlineMs = timeout < 0 ? 1e18 : monotonicMs() + timeout;
    int ready = hideDelayedConnections(descriptors, count, real(descriptors, count, timeout));
    // A hidden connection makes each poll() return at once, so the rest of the wait is done in short sleeps.
    while (ready == 0 && monotonicMs() < deadlineMs) {
        usleep(kPollAgainUs);
        ready = hideDelayedConnections(descriptors, count, real(descriptors, count, 0));
    }
    // A poll of the main loop, with or without a time-out, but not the check of one socket before a write.
    const bool ofMainLoop = timeout != 0 || count > kMaxSocketsOfWriteCheck;
    if (ready > 0 && ofMainLoop && shouldInject(Fault::PollDelay)) {
        const auto maxMs = std::max(1u, control->pollDelayMs.load());
        usleep(1000 * (maxMs / 2 + randomBelow(maxMs / 2 + 1)));
    }
    return ready;
}

int clock_gettime(clockid_t clock, timespec* out) {
    static const auto real = nextSymbol<int (*)(clockid_t, timespec*)>("clock_gettime");
    const int result = real(clock, out);
    if (result != 0 || clock != CLOCK_REALTIME || !control) return result;
    const std::int64_t us = out->tv_sec * 1000000LL + out->tv_nsec / 1000 + control->wallOffsetUs.load();
    out->tv_sec = us / 1000000;
    out->tv_nsec = us % 1000000 * 1000;
    return 0;
}

int gettimeofday(timeval* out, void*) {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    *out = {now.tv_sec, now.tv_nsec / 1000};
    return 0;
}

time_t time(time_t* out) {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    if (out) *out = now.tv_sec;
    return now.tv_sec;
}
}
