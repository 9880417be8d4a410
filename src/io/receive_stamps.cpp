#include "io/receive_stamps.hpp"

#include <ctime>
// After ctime, for timespec.
#include <linux/errqueue.h>
#include <linux/net_tstamp.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>

namespace spokewheel::io {

bool requestReceiveStamps(int descriptor) {
    constexpr int kFlags = SOF_TIMESTAMPING_RX_SOFTWARE | SOF_TIMESTAMPING_SOFTWARE;
    int granted = 0;
    socklen_t size = sizeof granted;
    return setsockopt(descriptor, SOL_SOCKET, SO_TIMESTAMPING, &kFlags, sizeof kFlags) == 0 &&
           getsockopt(descriptor, SOL_SOCKET, SO_TIMESTAMPING, &granted, &size) == 0 &&
           (granted & kFlags) == kFlags;
}

PeekedStamp peekStamp(int descriptor, std::size_t bytes) {
    // With MSG_TRUNC the kernel counts the data of a stream and does not copy it.
    static char unused[kMaxPeekBytes];
    alignas(cmsghdr) char control[256];
    iovec part{unused, std::min(bytes, sizeof unused)};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    const auto n = recvmsg(descriptor, &message, MSG_PEEK | MSG_TRUNC | MSG_DONTWAIT);
    PeekedStamp out;
    if (n <= 0) return out;
    out.available = static_cast<std::size_t>(n);
    for (auto* entry = CMSG_FIRSTHDR(&message); entry; entry = CMSG_NXTHDR(&message, entry)) {
        if (entry->cmsg_level != SOL_SOCKET || entry->cmsg_type != SCM_TIMESTAMPING) continue;
        scm_timestamping stamps{};
        std::memcpy(&stamps, CMSG_DATA(entry), sizeof stamps);
        const auto& software = stamps.ts[0];
        if (software.tv_sec == 0 && software.tv_nsec == 0) continue;
        out.stampMs =
            static_cast<double>(software.tv_sec) * 1e3 + static_cast<double>(software.tv_nsec) / 1e6;
    }
    return out;
}

std::uint32_t dataSegmentsReceived(int descriptor) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
    return info.tcpi_data_segs_in;
}

}  // namespace spokewheel::io
