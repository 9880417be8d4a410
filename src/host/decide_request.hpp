// Which class and how many units an operation on a file has, and how much memory its session may use. Free of
// I/O and clocks.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>

namespace spokewheel::host {

enum class Operation { Read, Write };

struct ClassificationRules {
    std::string readClass, largeReadClass, writeClass;
    std::uint64_t largeFromBytes = 0;  // reads of files of at least this size are large; 0: none
    std::uint64_t unitBytes = 65536;
    double maxUnits = 1;
};
struct ClassAndUnits {
    std::string requestClass;
    double units = 1;
};

// `fileBytes` is the size of the whole file and decides the class; `bytes` is what this request transfers and
// decides the units. So all pieces of a large file are read with the class for large reads.
inline ClassAndUnits classifyOperation(const ClassificationRules& rules, Operation op,
                                       std::uint64_t fileBytes, std::uint64_t bytes) {
    ClassAndUnits out;
    const bool large = rules.largeFromBytes > 0 && fileBytes >= rules.largeFromBytes;
    out.requestClass = op == Operation::Write ? rules.writeClass
                       : large                ? rules.largeReadClass
                                              : rules.readClass;
    const auto units = std::ceil(static_cast<double>(bytes) / static_cast<double>(rules.unitBytes));
    out.units = std::clamp(units, 1.0, std::max(1.0, rules.maxUnits));
    return out;
}

// How many pieces a session may have requested and not yet passed on, at most `most`. The free memory is
// divided evenly among the sessions that transfer data. One piece is always allowed, or a session could never
// make progress.
inline std::size_t maxPiecesInFlight(std::uint64_t freeBytes, std::size_t sessions, std::uint64_t pieceBytes,
                                     std::size_t most) {
    const auto share =
        freeBytes / std::max<std::size_t>(1, sessions) / std::max<std::uint64_t>(1, pieceBytes);
    return std::clamp<std::size_t>(static_cast<std::size_t>(share), 1, std::max<std::size_t>(1, most));
}

// Whether a file list of `bytes` may be built or held now. It always may where no memory is in use, however
// large it is, or it could never be served; small lists always may, as those of all clients together need
// little. Others wait, so that many large lists at once stay within the memory.
constexpr std::uint64_t kSmallListBytes = 256 * 1024;
inline bool mayHoldFileList(std::uint64_t bytes, std::uint64_t freeBytes, std::uint64_t usedBytes) {
    return bytes <= kSmallListBytes || usedBytes == 0 || bytes <= freeBytes;
}

}  // namespace spokewheel::host
