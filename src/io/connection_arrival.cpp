// The part of Connection that finds out when what it reads arrived.
#include <algorithm>

#include "io/connection.hpp"
#include "io/receive_stamps.hpp"

namespace spokewheel::io {
namespace {

// Of all accepted connections, so that what arrives on them can be compared.
ArrivalClock& arrivalClock() {
    static ArrivalClock clock;
    return clock;
}

// Points that are closer are taken as one: on the way here their order is up to the network anyway.
constexpr double kSameTimeMs = 1;

// The arrival of a byte between the two points.
Arrival between(const ArrivalPoint& earliest, const ArrivalPoint& latest, double toleranceMs = kSameTimeMs) {
    const bool close = earliest.epoch == latest.epoch && latest.stampMs - earliest.stampMs <= toleranceMs;
    return close || earliest > latest ? Arrival{latest, latest} : Arrival{earliest, latest};
}

// The arrival of a byte that the kernel has not stamped: like what arrivedAtMs() tells.
Arrival withoutStamp(double earliestMs) {
    return between({0, earliestMs}, {0, nowMs()}, kArrivalToleranceMs);
}

}  // namespace

// Notes when the bytes arrived that the next read returns, at most `most` of them.
void Connection::noteReadArrival(std::size_t most) {
    const int descriptor = g_socket_get_fd(socket_);
    const auto last = hasStamps_ ? peekStamp(descriptor, most) : PeekedStamp();
    if (hasStamps_ && last.available == 0) return;
    if (!last.stampMs) {
        const auto arrival = withoutStamp(arrivedNotBeforeMs_);
        readArrival_ = {arrival, arrival};
        return;
    }
    segmentsSeen_ = dataSegmentsReceived(descriptor);
    const auto latest = arrivalClock().pointOf(*last.stampMs, arrivedNotBeforeMs_, nowMs());
    const bool oneSegment = segmentsSeen_ - segmentsRead_ == 1;
    const bool endsRun = last.available < most || peekStamp(descriptor, most + 1).stampMs != last.stampMs;
    readArrival_.earlierBytes = oneSegment ? Arrival{latest, latest} : between(earliestUnread(), latest);
    readArrival_.lastByte = endsRun ? Arrival{latest, latest} : readArrival_.earlierBytes;
    // A run begins after the one before it has arrived.
    if (endsRun) lastRun_ = latest;
    else if (lastRead_ && *lastRead_ < latest) lastRun_ = lastRead_;
    lastRead_ = latest;
}

ArrivalPoint Connection::earliestUnread() const {
    return lastRun_ ? *lastRun_ : arrivalClock().notAfter(arrivedNotBeforeMs_);
}

std::optional<Arrival> Connection::arrivalOfUnread(std::size_t count) const {
    if (!socket_ || count == 0 || count >= kMaxPeekBytes || unreadBytes() < count) return std::nullopt;
    const int descriptor = g_socket_get_fd(socket_);
    const auto byte = hasStamps_ ? peekStamp(descriptor, count) : PeekedStamp();
    if (!byte.stampMs) return withoutStamp(arrivedNotBeforeMs_);
    const auto latest = arrivalClock().pointOf(*byte.stampMs, arrivedNotBeforeMs_, nowMs());
    const auto next = peekStamp(descriptor, count + 1);
    const bool endsRun = next.available == count || next.stampMs != byte.stampMs;
    return endsRun ? Arrival{latest, latest} : between(earliestUnread(), latest);
}

}  // namespace spokewheel::io
