// The interface of the decision module: plain structs in, plain structs out. The decisions themselves
// are all in src/policy/policy.cpp. Times are milliseconds on the caller's clock; sizes are units.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace spokewheel {

enum class Effect { Repeatable, ByKey, Once };
enum class Group { All, Zone, Cell };
enum class Lifecycle { Gone, Ready, Draining };
enum class ListForm { Delta, Full, Cached, Failed };
enum class Outcome {
    Served,
    ServerError,
    Rejected,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    Cancelled,
    NotSent
};

struct RequestClass {
    std::string name;
    Effect effect = Effect::Once;
    Group group = Group::All;
    double points = 1, lateWorth = 0;
    double latencyTargetMs = 0, deadlineMs = 0, keyRetentionMs = 0;
    bool inOrder = false, stream = false, writes = false;
};

// The figures of a plan hold for each of its volumes over all hosts and nodes; a limit of 0 is none.
struct Plan {
    std::string name;
    double limit = 0, limitBurst = 0, slack = 0;
    double nominal = 0, reservation = 0, weight = 1, worthFactor = 1;
};

struct Settings {
    std::vector<RequestClass> classes;
    std::vector<Plan> plans;
    int hosts = 1, rank = 0;
    bool subscribe = false;  // the node list answers only when asked
    bool mayProbe = false, maySendToPeers = false, mayCancel = false, maySecondCopy = false;
    int maxAttempts = 1;
    int maxOpen = 0;  // requests that can be open at this host at once; 0: not known
    double maxRetryAfterMs = 0, tickMs = 1;
    double coldUnits = 0, coldMs = 0, coldShare = 1, overloadFactor = 1, overloadSpanMs = 0;
    double drainGraceMs = 0, answerGraceMs = 0, askWithinMs = 0, settleAfterDoubtMs = 0;
    double retryBudgetFloor = 0, retryBudgetShare = 0,
           retryBudgetSpanMs = 0;  // a span of 0: no budget on attempts
    double meanUnits = 1, maxUnits = 1, fairWorth = 1, spareWorth = 1, usagePeriodMs = 0;
    std::string zone;
    bool reportLimitAccounts = false;  // LimitAccount actions are wanted
    bool reportsAttemptBegun = false;  // the caller tells AttemptBegun
};

// ---- events ----
struct NodeEntry {
    std::string node, zone;
    Lifecycle lifecycle = Lifecycle::Ready;
    int shard = -1;
    double sizeHint = 1, cameUpMs = 0;
};
struct ListUpdate {
    ListForm form = ListForm::Full;
    std::vector<NodeEntry> entries;
};
struct Request {
    std::string id, requestClass, plan;
    std::int64_t key = -1;  // -1: none
    std::int64_t volume = 0;
    double ttlMs = 0, units = 1;
    int shard = -1;  // -1: a new object, any node may take it
    int hosts = 1;   // through how many hosts the volume works
};
// The first byte of an attempt is about to be written. Told where Settings::reportsAttemptBegun; elsewhere an
// attempt begins as it is asked for.
struct AttemptBegun {
    std::string id;
};
struct AttemptEnded {
    std::string id, node;
    Outcome outcome = Outcome::Served;
    int attempt = 0;
    double tookMs = 0;
    bool requestEnded = false;
    double usage = 0, servedElsewhere = 0;
};
struct ResponseStarted {
    std::string id;
};
struct ClientGone {
    std::string id;
};
struct ProbeResult {
    std::string node;
    Outcome outcome = Outcome::Served;
    double tookMs = 0;
};
struct Wake {};
struct PeerMessage {
    int from = 0;
    std::string bytes;
};
// This host ends: each request that it holds has its answer by then.
struct ShutdownDeadline {
    double atMs = 0;
};
using Event = std::variant<ListUpdate, Request, AttemptBegun, AttemptEnded, ResponseStarted, ClientGone,
                           ProbeResult, Wake, PeerMessage, ShutdownDeadline>;

// ---- actions ----
struct Attempt {
    std::string id, node;
    double expireAtMs = 0;
};
// Why a request ends without being served; for logs and counters.
enum class EndReason {
    UnknownKind,    // its class or plan is not in the settings
    BeyondLimit,    // its volume's limit can't reach it in time
    NotSentInTime,  // no node took it by the time at which it is given up
    AttemptsUsed,   // the last attempt failed and may not be repeated
    TimeOver,       // an attempt was out at its deadline
    Count
};
struct Refuse {
    std::string id;
    double retryAfterMs = 0;
    EndReason reason = EndReason::UnknownKind;
};
struct Fail {
    std::string id;
    EndReason reason = EndReason::AttemptsUsed;
};
struct Cancel {
    std::string id;
    int attempt = 0;
};
struct Probe {
    std::string node;
};
struct SendToPeers {
    int to = -1;  // -1: every peer
    std::string bytes;
};
struct SetTimer {
    double afterMs = 0;
};
struct Subscribe {};
struct FetchList {};
// What this host holds of one volume's limit; for the log alone. Units, but for `hosts`.
struct LimitAccount {
    enum class Moment {
        FirstSight,  // it is met for the first time, or after it was forgotten
        Short,       // a request had to wait for it; at most once in a period of the credits
        Forgotten,   // it was idle for long
        Asked        // by Scheduler::limitAccounts
    };
    Moment moment = Moment::Asked;
    std::int64_t volume = 0;
    int hosts = 1;
    double own = 0, leased = 0;    // the parts that this host may draw from
    double reserved = 0;           // drawn for attempts that have not begun
    double level = 0, credit = 0;  // the store as rebuilt, and what is left of the credit
    double sent = 0;               // first sends since the first sight
};
using Action = std::variant<Attempt, Refuse, Fail, Cancel, Probe, SendToPeers, SetTimer, Subscribe, FetchList,
                            LimitAccount>;

class Scheduler {
  public:
    // Throws std::invalid_argument naming the setting when the settings contradict themselves.
    Scheduler(const Settings& settings, std::uint64_t seed);
    ~Scheduler();
    Scheduler(Scheduler&&) noexcept;
    Scheduler& operator=(Scheduler&&) noexcept;

    // Everything that happened at one instant, in order of arrival; the actions take effect in order.
    std::vector<Action> step(double nowMs, const std::vector<Event>& events);
    // Whether an attempt that was asked for may still begin. To be asked directly before its first byte,
    // where time has passed since the step that asked for it (a connection had to be made); where it may not,
    // nothing is sent and the verdict is NotSent. `attempt` counts the request's attempts from 0.
    bool mayBegin(double nowMs, const std::string& id, int attempt) const;
    // Of each volume with a limit that is known, as of the last step.
    std::vector<LimitAccount> limitAccounts() const;
    // Messages of peers that were dropped, for they could not be read or a figure was out of range.
    std::uint64_t unreadableMessages() const;

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace spokewheel
