// The stored version of a file that a delta upload is based on: computes the block checksums for the client
// and supplies the content of the blocks that the client matched. Reads through the store, so these reads are
// scheduled like any other request.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "catalogue/catalogue.hpp"
#include "fronts/rsync/context.hpp"
#include "wire/rsync/delta.hpp"

namespace spokewheel::fronts::rsync {

class Basis : public std::enable_shared_from_this<Basis> {
  public:
    Basis(Context& context, const TransferParameters& parameters, catalogue::FileVersionPtr version,
          std::function<void()> wake);
    ~Basis();
    // Reads the whole file and computes its block checksums. Calls `wake` when ready() or failed().
    void prepare();
    bool loading() const { return loading_; }  // a read has no response yet
    bool ready() const { return ready_; }
    bool failed() const { return !error_.empty(); }
    const std::string& error() const { return error_; }
    const wire::rsync::BlockSums& sums() const { return sums_; }
    // Appends the rest of a block to `out`, from its byte `done` on, and advances `done`. Returns false if it
    // failed() or if a piece must be read first: the read is then started, and `wake` is called when it is
    // done. At most one piece is held at a time.
    bool appendBlock(std::int32_t block, std::size_t& done, std::string& out);
    std::size_t lengthOfBlock(std::int32_t block) const;
    bool hasBlock(std::int32_t block) const { return block >= 0 && block < sums_.head.count; }
    // Releases the piece that is held in memory.
    void dropCache();

  private:
    void checksumNextPiece();
    void loadPiece(std::size_t piece, std::function<void()> then);
    void addBlockSums(std::string_view bytes);

    Context& context_;
    TransferParameters parameters_;
    catalogue::FileVersionPtr version_;
    std::function<void()> wake_;
    std::vector<catalogue::Piece> pieces_;
    std::vector<std::uint64_t> pieceOffsets_;
    wire::rsync::BlockSums sums_;
    std::string partialBlock_, cachedBytes_, error_, openRequest_;
    std::size_t cachedPiece_ = SIZE_MAX, nextPiece_ = 0;
    host::MemoryBudget::Lease lease_;
    bool ready_ = false, loading_ = false;
};

}  // namespace spokewheel::fronts::rsync
