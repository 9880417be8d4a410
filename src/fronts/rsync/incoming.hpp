// A file that is being received: the piece being filled, whole-file checksums, and the pieces stored so far.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "catalogue/file_version.hpp"
#include "fronts/rsync/basis.hpp"
#include "fronts/rsync/file_sum.hpp"
#include "host/memory_budget.hpp"
#include "wire/rsync/tokens.hpp"

namespace spokewheel::fronts::rsync {

struct IncomingFile {
    std::int32_t index = 0;
    int phase = 0;                   // the transfer phase that it was sent in; 0 is the first attempt
    catalogue::FileVersion version;  // stored once all pieces are
    std::shared_ptr<Basis> basis;    // null if sent without delta
    std::string pieceBuffer;         // content not handed to the store yet
    host::MemoryBudget::Lease pieceLease;
    std::vector<catalogue::Piece> pieces;
    std::uint64_t size = 0;
    std::size_t openPieces = 0;               // writes without a response
    bool received = false, verified = false;  // all content came; it matches the client's checksum
    std::string error;                        // first error; the rest of the content is read and dropped

    FileSum transferChecksum, storedChecksum;  // of the negotiated kind; of the catalogue's

    explicit IncomingFile(wire::rsync::SumKind kind)
        : transferChecksum(kind), storedChecksum(wire::rsync::SumKind::Xxh128) {}
    void add(std::string_view bytes) {
        transferChecksum.add(bytes);
        storedChecksum.add(bytes);
        pieceBuffer += bytes;
        size += bytes.size();
    }
};

}  // namespace spokewheel::fronts::rsync
