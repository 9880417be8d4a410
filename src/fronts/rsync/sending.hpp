// The half of a session that sends files to a client (it pulls): list, requests, content ahead of need,
// delta against the client's blocks, the three rounds and the goodbye.
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

class Sending : public Half, public std::enable_shared_from_this<Sending> {
  public:
    Sending(Context& context, Agreed agreed, Channel& channel, std::function<void()> wake);
    ~Sending() override;
    bool advance() override;
    bool working() const override { return open_ > 0 || state_ == State::Wait || state_ == State::Build; }
    Waits waits() const override;

  private:
    enum class State { Filter, Names, Wait, Build, List, Serve, Goodbye, Over };
    struct Slot {  // one object asked for
        std::string body, request;
        std::size_t passed = 0;  // bytes of the body that went out
        bool ready = false;
        host::MemoryBudget::Lease lease;
    };
    struct Job {  // one request of the client, in order
        std::int32_t index = 0;
        std::uint16_t flags = 0;
        std::string extras;  // basis type and name as they came, echoed
        std::string echo;    // done marks and statistics: written as they are
        bool marker = false, done = false, transfer = false, headSent = false;
        wire::rsync::BlockSums sums;
        std::size_t sumBytes = 0;
        catalogue::FileVersionPtr version;
        std::vector<catalogue::Piece> pieces;
        bool wantsManifest = false;
        std::map<std::size_t, Slot> slots;
        std::size_t asked = 0, sent = 0;
        std::string fault;
        std::unique_ptr<wire::rsync::Matcher> matcher;
        std::unique_ptr<FileSum> sum;
    };
    using JobPtr = std::shared_ptr<Job>;

    bool readFilter();
    bool readNames();
    bool mayList();
    bool buildList();
    void startList();
    bool writeList();
    bool readRequests();
    bool readSums(Job& job);
    bool goodbye();
    void prepare(Job& job);
    void fetch();
    void ask(const JobPtr& job, std::size_t piece);
    void onPiece(const std::weak_ptr<Job>& weak, std::size_t piece, ReadResult result);
    bool serve();
    bool serveFront(Job& job);
    void pass(Job& job, std::string_view bytes);
    void finishFile(Job& job);
    void refuse(Job& job);
    bool broken(std::string why);

    Context& context_;
    Agreed agreed_;
    Channel& channel_;
    State state_ = State::Filter;
    wire::rsync::Filter filter_;
    std::vector<ModulePath> paths_;
    std::vector<std::string> names_;
    std::unique_ptr<ListBuilder> builder_;
    Listing listing_;
    std::size_t listAt_ = 0;
    std::unique_ptr<wire::rsync::ListWriter> listWriter_;
    wire::rsync::IndexCoder in_, out_;
    wire::rsync::TokenWriter tokens_;
    std::deque<JobPtr> jobs_;
    JobPtr summing_;  // its block sums are still coming
    std::int32_t sumsLeft_ = 0;
    std::size_t open_ = 0, ahead_ = 0, sumsHeld_ = 0, nameBytes_ = 0;
    int rounds_ = 0, goodbyes_ = 0, ioError_ = 0;
    std::uint64_t written_ = 0, passed_ = 0;  // bytes; pieces
    bool moving_ = false;
    host::MemoryBudget::Lease listLease_;
    std::shared_ptr<void> retry_, pause_;
    Throttle throttle_;
};

}  // namespace spokewheel::fronts::rsync
