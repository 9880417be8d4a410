// State that all sessions of the rsync front share, and the base class of the two directions of a transfer.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "catalogue/catalogue.hpp"
#include "config/settings.hpp"
#include "fronts/request_pacer.hpp"
#include "fronts/rsync/channel.hpp"
#include "fronts/store.hpp"
#include "host/memory_budget.hpp"
#include "io/loop.hpp"
#include "wire/rsync/file_list.hpp"
#include "wire/rsync/options.hpp"
#include "wire/rsync/tokens.hpp"

namespace spokewheel::fronts::rsync {

// List entries that a session processes per turn of the event loop (about a millisecond) before it yields to
// other sessions.
constexpr std::size_t kListSlice = 1000;

// Shared by all sessions of a server; must outlive them.
struct Context {
    const config::DaemonSettings& settings;
    host::MemoryBudget& memory;
    // Whether the catalogue has read the change feeds of all nodes at least once.
    std::function<bool()> catalogueComplete;
    // Writes a log event; `session` is empty where the event belongs to a file rather than a session.
    std::function<void(const char* event, const std::string& session, const std::string& detail)> logEvent;
    // Opens the session's own access to stored objects. The daemon's implementation queues requests that the
    // volume cannot serve yet.
    std::function<std::unique_ptr<Store>(const RequestPacer::WaitLimits&)> openStore;
    std::function<double()> nowMs;  // monotonic
    // Calls back once after `ms`, unless the returned handle is released before.
    std::function<std::shared_ptr<void>(double ms, std::function<void()>)> callAfter;
    std::size_t listSlice = kListSlice;
    std::size_t activeTransfers = 0;  // sessions past the file list; they share the memory
};

// Item flags that follow a file index in requests and responses (ITEM_* in rsync).
constexpr std::uint16_t kItemTransfer = 1 << 15, kItemIsNew = 1 << 13, kItemLocalChange = 1 << 14,
                        kItemBasisTypeFollows = 1 << 11, kItemNameFollows = 1 << 12;

// Approximate memory of a file list entry that a session holds.
constexpr std::uint64_t kListEntryBytes = 200;

// What the client and the session negotiated before the multiplexed stream starts.
struct TransferParameters {
    Store* store = nullptr;  // outlives the transfer
    const config::VolumeSettings* volume = nullptr;
    wire::rsync::Options options;
    int protocol = 0;
    std::uint32_t compatFlags = 0;
    wire::rsync::SumKind checksumKind = wire::rsync::SumKind::Md5;
    wire::rsync::SumKind listChecksumKind = wire::rsync::SumKind::Md5;  // of file lists with --checksum
    std::int32_t checksumSeed = 0;
    // Whether block checksums hash the seed before the block.
    bool seedFirst() const { return compatFlags & wire::rsync::kCompatChecksumSeedFix; }
};

// Binary MD5 of the concatenation.
std::string md5(std::string_view first, std::string_view second);
// Converts an xxh128 digest from the catalogue's hex form to the protocol's binary form: low half first, each
// half little endian. Empty if `hex` is not 32 digits long.
std::string checksumFromHex(const std::string& hex);

// The encoding of file lists in this session, for both directions.
wire::rsync::ListForm listForm(const TransferParameters& parameters);

// Reads one rule of the client's filter list from the channel. `error` is set with Invalid.
enum class FilterRuleResult { NeedInput, Rule, End, Invalid };
FilterRuleResult readFilterRule(Channel& channel, wire::rsync::Filter& filter, std::string& error);

// The event that a transfer needs before it can continue.
enum class WaitReason { None, Client, OutputSpace, StoreResponse, Memory, Timer };
const char* nameOf(WaitReason reason);  // for log lines

// This host's side of a transfer, in one direction. advance() proceeds as far as input, output buffers and
// store responses allow; the session calls it again whenever one of them has changed.
class TransferSide {
  public:
    // `wake` schedules one call of advance() in a later turn of the event loop.
    explicit TransferSide(std::function<void()> wake) : wake_(std::move(wake)) {}
    virtual ~TransferSide() = default;
    // Returns false once the transfer has ended; error() is then empty or holds the reason of a failure.
    virtual bool advance() = 0;
    // A non-data message of the multiplexed stream.
    virtual void onMessage(const wire::rsync::Demux::Message& message) { (void)message; }
    // Whether the transfer waits for this host; the client does not count as idle meanwhile.
    virtual bool hasPendingWork() const = 0;
    // What the transfer waits for after advance() returned true. None means that it is stuck: no event would
    // call advance() again.
    virtual WaitReason waitReason() const = 0;
    const std::string& error() const { return error_; }

  protected:
    // Ends a slice of long work: schedules the next one and returns false, so that callers can return it.
    // advance() resets the flag.
    bool resumeNextTurn() {
        resumeScheduled_ = true;
        wake_();
        return false;
    }
    std::function<void()> wake_;
    bool resumeScheduled_ = false;
    std::string error_;
};

}  // namespace spokewheel::fronts::rsync
