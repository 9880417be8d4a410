// What kind of request an operation on some bytes is: class and units. Free of I/O and clocks.
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
    std::uint64_t largeFromBytes = 0;  // reads of files from this size on are large; 0: none is
    std::uint64_t unitBytes = 65536;
    double topUnits = 1;
};
struct ClassAndUnits {
    std::string requestClass;
    double units = 1;
};

// `fileBytes` is the whole file's size, `bytes` what this request moves: a large file is read by a class of
// its own whichever piece it is, and each piece costs what it moves.
inline ClassAndUnits classifyOperation(const ClassificationRules& rules, Operation op,
                                       std::uint64_t fileBytes, std::uint64_t bytes) {
    ClassAndUnits out;
    const bool large = rules.largeFromBytes > 0 && fileBytes >= rules.largeFromBytes;
    out.requestClass = op == Operation::Write ? rules.writeClass
                       : large                ? rules.largeReadClass
                                              : rules.readClass;
    const auto units = std::ceil(static_cast<double>(bytes) / static_cast<double>(rules.unitBytes));
    out.units = std::clamp(units, 1.0, std::max(1.0, rules.topUnits));
    return out;
}

// How many pieces a session may have asked for and not yet passed on. The memory left is shared evenly among
// the sessions that move data; one piece is always allowed, else a session could never go on.
inline std::size_t maxPiecesInFlight(std::uint64_t freeBytes, std::size_t sessions, std::uint64_t pieceBytes,
                                     std::size_t most) {
    const auto share =
        freeBytes / std::max<std::size_t>(1, sessions) / std::max<std::uint64_t>(1, pieceBytes);
    return std::clamp<std::size_t>(static_cast<std::size_t>(share), 1, std::max<std::size_t>(1, most));
}

// Whether a file list of so many bytes may be made or kept now. One alone always may, however large, else it
// could never be served; small ones always may, for what all clients could hold of them is little; others
// wait, so that many large lists at once stay within the memory.
constexpr std::uint64_t kSmallList = 256 * 1024;
inline bool mayHoldFileList(std::uint64_t bytes, std::uint64_t freeBytes, std::uint64_t usedBytes) {
    return bytes <= kSmallList || usedBytes == 0 || bytes <= freeBytes;
}

}  // namespace spokewheel::host
