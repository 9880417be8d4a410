// The receiving side of a session, for uploads: reads the file list, decides which files to request, stores
// their content in pieces on the nodes and commits each file as a new version, all of it or nothing; deletes
// extraneous files; ends the phases of the protocol. Does the work of rsync's generator and receiver.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "fronts/rsync/basis.hpp"
#include "fronts/rsync/context.hpp"
#include "fronts/rsync/decide_deletions.hpp"
#include "fronts/rsync/decide_file_action.hpp"
#include "fronts/rsync/incoming.hpp"
#include "fronts/rsync/listing.hpp"

namespace spokewheel::fronts::rsync {

class ReceivingSide : public TransferSide, public std::enable_shared_from_this<ReceivingSide> {
  public:
    ReceivingSide(Context& context, TransferParameters parameters, Channel& channel,
                  std::function<void()> wake);
    ~ReceivingSide() override;
    bool advance() override;
    void onMessage(const wire::rsync::Demux::Message& message) override;
    bool hasPendingWork() const override {
        return !openRequests_.empty() || preparingBasis_ || state_ == State::Sort || state_ == State::Plan;
    }
    WaitReason waitReason() const override;

  private:
    enum class State { Filter, List, Sort, Plan, Transfer, Goodbye, Finished };
    // A version written without transferring content: a directory, a deletion, a backup, or new attributes.
    struct MetadataWrite {
        catalogue::FileVersion version;
        catalogue::FileVersionPtr contentSource;  // the version whose content it keeps; null if it has none
        std::string deletedName;                  // of a deletion: the name reported to the client
    };

    bool readFilter();
    bool readList();
    bool sortStep();
    void startPlan();
    bool planStep();
    void planEntry(std::int32_t index, const std::string& path);
    void planDeletions();
    std::string pathOf(const wire::rsync::FileEntry& entry) const;
    catalogue::FileVersion draftVersion(const wire::rsync::FileEntry& entry, const std::string& path) const;

    bool requestFiles();  // rsync's generator: requests files from the client
    void requestFile(std::int32_t index, const wire::rsync::BlockSums* sums);
    bool readFiles();  // rsync's receiver: processes what the client sends
    bool readItemHeader();
    bool readContent();
    bool reservePiece();
    bool copyBlock();
    void storeFullPieces(const std::shared_ptr<IncomingFile>& file);
    void storePiece(const std::shared_ptr<IncomingFile>& file, std::size_t i,
                    std::shared_ptr<const std::string> body,
                    std::shared_ptr<host::MemoryBudget::Lease> lease);
    void finishContent(std::string_view sum);
    void finishFile(const std::shared_ptr<IncomingFile>& file);
    // A file whose pieces are stored, before its version is committed.
    struct StoredFile {
        std::int32_t index = 0;
        catalogue::FileVersion version;
        std::vector<catalogue::Piece> pieces;
    };
    void commit(StoredFile file, std::string content, std::shared_ptr<void> contentOwner);
    bool commitDelayed();
    std::set<std::string> emptyDirectories() const;
    std::string backupPathFor(const std::string& path) const;
    void scheduleBackup(const catalogue::FileVersionPtr& existing, const std::string& path);
    bool inBackupDirectory(const std::string& path) const;
    bool hasBackupSuffix(const std::string& path) const;
    void updateAttributes(std::int32_t index, const catalogue::FileVersionPtr& existing);
    void reportSuccess(std::int32_t index);
    bool runMetadataWrites();
    void runMetadataWrite(std::shared_ptr<MetadataWrite> write);
    void storeMetadataWrite(const std::shared_ptr<MetadataWrite>& write,
                            std::shared_ptr<const std::string> body);
    bool advancePhase();
    bool goodbye();
    bool writesDone() const { return openRequests_.empty() && metadataWrites_.empty(); }
    void reportFileError(const std::string& path, const std::string& reason);
    bool fail(std::string why);
    std::size_t maxOpenRequests() const;
    template <class Result, class Then>
    std::function<void(Result)> trackRequest(std::uint64_t ticket, Then then);

    Context& context_;
    TransferParameters parameters_;
    Channel& channel_;
    State state_ = State::Filter;
    wire::rsync::Filter filter_;
    ModulePath target_;
    bool targetIsFile_ = false;                 // a single file is uploaded under the target's name
    std::vector<wire::rsync::FileEntry> list_;  // in the client's order until it is sorted
    wire::rsync::ListSorter sorter_;
    std::vector<wire::rsync::FileEntry> sorted_;
    std::size_t keptCount_ = 0, plannedCount_ = 0;  // entries sorted and not dropped; entries planned
    std::unique_ptr<wire::rsync::ListReader> listReader_;
    wire::rsync::IndexCoder indexIn_, indexOut_;
    wire::rsync::TokenReader tokenReader_;

    std::deque<std::int32_t> requestQueue_;
    std::set<std::int32_t> requested_;
    std::vector<std::int32_t> retryQueue_;
    std::map<std::int32_t, std::shared_ptr<Basis>> basisByIndex_;  // of requested files
    std::shared_ptr<Basis> preparingBasis_;
    std::shared_ptr<IncomingFile> currentFile_;
    bool expectsChecksum_ = false;
    std::int32_t copyingBlock_ = -1;  // block being copied from the basis, or -1
    std::size_t copiedLength_ = 0;
    std::string copiedBytes_;
    std::deque<std::shared_ptr<MetadataWrite>> metadataWrites_;
    std::map<std::uint64_t, std::string> openRequests_;  // store requests without a response: ids by ticket
    std::uint64_t nextTicket_ = 0;
    std::deque<StoredFile> delayedFiles_;
    std::string backupDir_;
    std::size_t openMetadataWrites_ = 0;
    std::size_t unreportedErrors_ = 0;  // errors not sent to the client while its output was full
    // Phase ends sent and received; deletion statistics.
    int doneSent_ = 0, doneReceived_ = 0, deleted_ = 0, deletedDirectories_ = 0;
    bool countedActive_ = false;
    std::vector<host::MemoryBudget::Lease> listLeases_;
};

}  // namespace spokewheel::fronts::rsync
