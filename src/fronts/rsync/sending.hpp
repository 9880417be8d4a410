// The sending side of a session, for downloads: sends the file list, takes the client's requests, reads
// content ahead and sends it as a delta against the client's blocks; ends the phases of the protocol.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "fronts/decide_throttle.hpp"
#include "fronts/rsync/context.hpp"
#include "fronts/rsync/file_sum.hpp"
#include "fronts/rsync/listing.hpp"
#include "wire/rsync/delta.hpp"

namespace spokewheel::fronts::rsync {

class SendingSide : public TransferSide, public std::enable_shared_from_this<SendingSide> {
  public:
    SendingSide(Context& context, TransferParameters parameters, Channel& channel,
                std::function<void()> wake);
    ~SendingSide() override;
    bool advance() override;
    bool hasPendingWork() const override {
        return openReads_ > 0 || state_ == State::WaitForMemory || state_ == State::BuildList;
    }
    WaitReason waitReason() const override;

  private:
    enum class State { Filter, FilesFrom, WaitForMemory, BuildList, SendList, Serve, Goodbye, Finished };
    struct PieceRead {  // a read of one stored object
        std::string body, requestId;
        std::size_t bytesWritten = 0;  // bytes of `body` already written
        bool ready = false;
        host::MemoryBudget::Lease lease;
    };
    struct ClientRequest {  // one item of the client's request stream, handled in order
        std::int32_t index = 0;
        std::uint16_t flags = 0;
        std::string echoedFields;  // basis type and name, returned as received
        std::string echo;          // deletion statistics, returned as received
        // `marker`: not a file, but a phase end (`done`) or deletion statistics.
        bool marker = false, done = false, transfer = false, headerSent = false;
        wire::rsync::BlockSums sums;
        std::size_t sumBytes = 0;
        catalogue::FileVersionPtr version;
        std::vector<catalogue::Piece> pieces;
        bool needsManifest = false;  // `pieces` is known only after reading the manifest
        std::map<std::size_t, PieceRead> reads;
        std::size_t piecesRequested = 0, piecesWritten = 0;
        std::string error;
        std::unique_ptr<wire::rsync::BlockMatcher> matcher;
        std::unique_ptr<FileSum> checksum;
    };
    using ClientRequestPtr = std::shared_ptr<ClientRequest>;

    bool readFilter();
    bool readFilesFrom();
    bool reserveListMemory();
    bool buildList();
    void startList();
    bool writeList();
    bool readRequests();
    bool readSums(ClientRequest& request);
    bool goodbye();
    void preparePieces(ClientRequest& request);
    void readAhead();
    void requestPiece(const ClientRequestPtr& request, std::size_t piece);
    void onReadDone(const std::weak_ptr<ClientRequest>& weak, std::size_t piece, ReadResult result);
    bool writeResponses();
    bool writeResponse(ClientRequest& request);
    void writeContent(ClientRequest& request, std::string_view bytes);
    void finishFile(ClientRequest& request);
    void refuseFile(ClientRequest& request);
    bool fail(std::string why);

    Context& context_;
    TransferParameters parameters_;
    Channel& channel_;
    State state_ = State::Filter;
    wire::rsync::Filter filter_;
    std::vector<ModulePath> paths_;
    std::vector<std::string> names_;
    std::unique_ptr<ListBuilder> builder_;
    Listing listing_;
    std::size_t nextListEntry_ = 0;
    std::unique_ptr<wire::rsync::ListWriter> listWriter_;
    wire::rsync::IndexCoder indexIn_, indexOut_;
    wire::rsync::TokenWriter tokenWriter_;
    std::deque<ClientRequestPtr> requests_;
    ClientRequestPtr awaitingSums_;  // its block checksums have not all arrived
    std::int32_t sumsLeft_ = 0;
    // Reads without a response; reads whose content is not written yet; block checksums held, in bytes.
    std::size_t openReads_ = 0, readsAhead_ = 0, heldSumBytes_ = 0, nameBytes_ = 0;
    int phasesSeen_ = 0, goodbyesSeen_ = 0, ioError_ = 0;
    std::uint64_t contentBytesWritten_ = 0, piecesWritten_ = 0;  // in bytes; in pieces
    bool countedActive_ = false;
    host::MemoryBudget::Lease listLease_;
    std::shared_ptr<void> memoryRetryTimer_, throttleTimer_;
    Throttle throttle_;
};

}  // namespace spokewheel::fronts::rsync
