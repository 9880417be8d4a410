// One file on its way in: the piece being filled, checksums of the whole, what has been stored so far.
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

struct Incoming {
    std::int32_t index = 0;
    int round = 0;                   // in which it came
    catalogue::FileVersion version;  // what it becomes once all of it is stored
    std::shared_ptr<Basis> basis;
    std::string piece;
    host::MemoryBudget::Lease lease;
    std::vector<catalogue::Piece> pieces;
    std::uint64_t size = 0;
    std::size_t piecesOpen = 0;
    bool ended = false, verified = false;
    std::string fault;

    FileSum whole, stored;  // as the session carries it; as the catalogue keeps it

    explicit Incoming(wire::rsync::SumKind kind) : whole(kind), stored(wire::rsync::SumKind::Xxh128) {}
    void add(std::string_view bytes) {
        whole.add(bytes);
        stored.add(bytes);
        piece += bytes;
        size += bytes.size();
    }
};

}  // namespace spokewheel::fronts::rsync
