// What the sessions of the rsync front share, and what the two halves of a session need of it.
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

// Entries of a list that a session works on in one go, about a millisecond, before the others' turn.
constexpr std::size_t kListSlice = 1000;

struct Context {
    const config::DaemonSettings& settings;
    host::MemoryBudget& memory;
    // Whether the catalogue has read all nodes at least once.
    std::function<bool()> complete;
    std::function<void(const char* event, const std::string& session, const std::string& words)> note;
    // A session's own way to the stored objects; the daemon's paces what the volume can't serve yet.
    std::function<std::unique_ptr<Store>(const RequestPacer::WaitLimits&)> open;
    std::function<double()> now;  // milliseconds, never going back
    // Calls back once after the time, unless what it returns is let go before.
    std::function<std::shared_ptr<void>(double ms, std::function<void()>)> after;
    std::size_t listSlice = kListSlice;
    std::size_t moving = 0;  // sessions that move data, for the parts of memory
};

// What stands beside a file's index in requests and answers.
constexpr std::uint16_t kTransfer = 1 << 15, kIsNew = 1 << 13, kLocalChange = 1 << 14,
                        kBasisFollows = 1 << 11, kNameFollows = 1 << 12;

// About what an entry of a file list costs while a session holds it.
constexpr std::uint64_t kListEntryBytes = 200;

// What was agreed before the stream starts.
struct Agreed {
    Store* store = nullptr;  // outlives the half
    const config::VolumeSettings* volume = nullptr;
    wire::rsync::Options options;
    int protocol = 0;
    std::uint32_t flags = 0;
    wire::rsync::SumKind sums = wire::rsync::SumKind::Md5;
    wire::rsync::SumKind listSums = wire::rsync::SumKind::Md5;  // of -c
    std::int32_t seed = 0;
    bool seedFirst() const { return flags & wire::rsync::kSeedFix; }
};

std::string md5(std::string_view first, std::string_view second);
// A digest kept in hex as the protocol writes it: low half first, each half little endian.
std::string sumOf(const std::string& hex);

// How both halves write and read lists in this session.
wire::rsync::ListForm listForm(const Agreed& agreed);

// One rule of the client's filter list, taken off its input.
enum class FilterStep { More, Rule, End, Bad };
FilterStep readFilterRule(Channel& channel, wire::rsync::Filter& filter, std::string& fault);

enum class Waits { Nothing, Client, Room, Answer, Memory, Timer };
const char* nameOf(Waits waits);

// One direction of a transfer. advance() goes on as far as input, output and answers allow; it is called
// again whenever one of them changed.
class Half {
  public:
    // `wake` has advance() called from the loop, once, in a turn of its own.
    explicit Half(std::function<void()> wake) : wake_(std::move(wake)) {}
    virtual ~Half() = default;
    // False once the session is over; fault() is then empty or says why it broke.
    virtual bool advance() = 0;
    virtual void beside(const wire::rsync::Demux::Beside& message) { (void)message; }
    // Whether requests are open for it: a session is idle only where none are.
    virtual bool working() const = 0;
    // The one thing without which advance() can't go on, once it has returned true. Nothing means stuck:
    // no happening would ever call it again.
    virtual Waits waits() const = 0;
    const std::string& fault() const { return fault_; }

  protected:
    // For work that goes slice by slice: the rest comes in the next turn. advance() takes it back.
    bool nextTurn() {
        turn_ = true;
        wake_();
        return false;
    }
    std::function<void()> wake_;
    bool turn_ = false;
    std::string fault_;
};

}  // namespace spokewheel::fronts::rsync
