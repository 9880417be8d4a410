// The half of a session that takes files from a client (it pushes): list, what is wanted, content in pieces
// to the nodes, versions shown whole or not at all, deletion, the rounds and the goodbye.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "fronts/rsync/basis.hpp"
#include "fronts/rsync/context.hpp"
#include "fronts/rsync/decide_deletions.hpp"
#include "fronts/rsync/decide_wanted.hpp"
#include "fronts/rsync/incoming.hpp"
#include "fronts/rsync/listing.hpp"

namespace spokewheel::fronts::rsync {

class Receiving : public Half, public std::enable_shared_from_this<Receiving> {
  public:
    Receiving(Context& context, Agreed agreed, Channel& channel, std::function<void()> wake);
    ~Receiving() override;
    bool advance() override;
    void beside(const wire::rsync::Demux::Beside& message) override;
    bool working() const override {
        return !open_.empty() || preparing_ || state_ == State::Sort || state_ == State::Plan;
    }
    Waits waits() const override;

  private:
    enum class State { Filter, List, Sort, Plan, Transfer, Goodbye, Over };
    // A small write that is not content: a directory, a deletion, new times of known content.
    struct Chore {
        catalogue::FileVersion version;
        catalogue::FileVersionPtr contentOf;  // metadata only: whose content the version keeps
        std::string removed;                  // a deletion: what the client is told
    };

    bool readFilter();
    bool readList();
    bool sort();
    void startPlan();
    bool plan();
    void planEntry(std::int32_t index, const std::string& path);
    void planDeletions();
    std::string pathOf(const wire::rsync::FileEntry& entry) const;
    catalogue::FileVersion draft(const wire::rsync::FileEntry& entry, const std::string& path) const;

    bool request();  // the generator's part: asks the client for files
    void requestOne(std::int32_t index, const wire::rsync::BlockSums* sums);
    bool read();  // the receiver's part: takes what the client sends
    bool readHead();
    bool readContent();
    bool startPiece();
    bool copyBlock();
    void flushPiece(const std::shared_ptr<Incoming>& file);
    void putPiece(const std::shared_ptr<Incoming>& file, std::size_t i,
                  std::shared_ptr<const std::string> body, std::shared_ptr<host::MemoryBudget::Lease> lease);
    void ended(std::string_view sum);
    void settle(const std::shared_ptr<Incoming>& file);
    // A file of which all is stored but what shows it.
    struct Whole {
        std::int32_t index = 0;
        catalogue::FileVersion version;
        std::vector<catalogue::Piece> pieces;
    };
    void commit(Whole whole, std::string content, std::shared_ptr<void> keep);
    bool showDelayed();
    std::set<std::string> emptyDirectories() const;
    std::string backupOf(const std::string& path) const;
    void keepBackup(const catalogue::FileVersionPtr& shown, const std::string& path);
    bool inBackups(const std::string& path) const;
    bool isBackup(const std::string& path) const;
    void sameAsShown(std::int32_t index, const catalogue::FileVersionPtr& shown);
    void succeeded(std::int32_t index);
    bool chores();
    void runChore(std::shared_ptr<Chore> chore);
    void writeChore(const std::shared_ptr<Chore>& chore, std::shared_ptr<const std::string> body);
    bool rounds();
    bool goodbye();
    bool quiet() const { return open_.empty() && chores_.empty(); }
    void tell(const std::string& path, const std::string& words);
    bool broken(std::string why);
    std::size_t allowed() const;
    template <class Result, class Then>
    std::function<void(Result)> track(std::uint64_t ticket, Then then);

    Context& context_;
    Agreed agreed_;
    Channel& channel_;
    State state_ = State::Filter;
    wire::rsync::Filter filter_;
    ModulePath target_;
    bool renamed_ = false;                      // the one file takes the target's name
    std::vector<wire::rsync::FileEntry> list_;  // in the client's order until it is sorted
    wire::rsync::ListSorter sorter_;
    std::vector<wire::rsync::FileEntry> sorted_;
    std::size_t kept_ = 0, planned_ = 0;
    std::unique_ptr<wire::rsync::ListReader> listReader_;
    wire::rsync::IndexCoder in_, out_;
    wire::rsync::TokenReader tokens_;

    std::deque<std::int32_t> todo_;
    std::set<std::int32_t> asked_;
    std::vector<std::int32_t> redo_;
    std::map<std::int32_t, std::shared_ptr<Basis>> bases_;  // of files asked for
    std::shared_ptr<Basis> preparing_;
    std::shared_ptr<Incoming> current_;
    bool wantsSum_ = false;
    std::int32_t copying_ = -1;  // a block that is being copied from the basis
    std::size_t copied_ = 0;
    std::string copiedBytes_;
    std::deque<std::shared_ptr<Chore>> chores_;
    std::map<std::uint64_t, std::string> open_;  // tickets of requests without an answer, with their ids
    std::uint64_t nextTicket_ = 0;
    std::deque<Whole> delayed_;
    std::string backupDir_;
    std::size_t choresOpen_ = 0;
    std::size_t untold_ = 0;  // faults that the client was not told by name
    int doneSent_ = 0, doneSeen_ = 0, deleted_ = 0, deletedDirectories_ = 0;
    bool moving_ = false;
    std::vector<host::MemoryBudget::Lease> listLeases_;
};

}  // namespace spokewheel::fronts::rsync
