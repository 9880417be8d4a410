// The version of a file that is already stored, as the base of a delta upload: its block checksums for the
// client, and its bytes for the blocks that the client says are the same. Read by requests like any other.
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
    Basis(Context& context, const Agreed& agreed, catalogue::FileVersionPtr version,
          std::function<void()> wake);
    ~Basis();
    // Reads the whole and makes the sums; ready() or failed() afterwards.
    void prepare();
    bool loading() const { return loading_; }  // an answer is on its way
    bool ready() const { return ready_; }
    bool failed() const { return !fault_.empty(); }
    const std::string& fault() const { return fault_; }
    const wire::rsync::BlockSums& sums() const { return sums_; }
    // Appends what is there of a block from `done` bytes on; false where a piece must be loaded first (it
    // is being loaded; the wake tells) or where failed().
    bool copy(std::int32_t block, std::size_t& done, std::string& out);
    std::size_t lengthOf(std::int32_t block) const;
    bool has(std::int32_t block) const { return block >= 0 && block < sums_.head.count; }
    void dropCache();

  private:
    void next();
    void load(std::size_t piece, std::function<void()> then);
    void addSums(std::string_view bytes);

    Context& context_;
    Agreed agreed_;
    catalogue::FileVersionPtr version_;
    std::function<void()> wake_;
    std::vector<catalogue::Piece> pieces_;
    std::vector<std::uint64_t> starts_;
    wire::rsync::BlockSums sums_;
    std::string tail_, cache_, fault_, request_;
    std::size_t cached_ = SIZE_MAX, at_ = 0;
    host::MemoryBudget::Lease lease_;
    bool ready_ = false, loading_ = false;
};

}  // namespace spokewheel::fronts::rsync
