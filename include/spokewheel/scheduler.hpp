// Interface of the scheduler: events in, actions out, all plain structs, no I/O. The decisions themselves are
// in src/policy/policy.cpp. Times are milliseconds on the caller's clock. Sizes of requests, rates and limits
// are in units, the cost measure of the nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace spokewheel {

// What it does to a request if it runs more than once. Repeatable: no harm. ByKey: nodes of a group recognise
// a repeat by its key and do not run it again. Once: it must not be sent again once it may have run.
enum class Effect { Repeatable, ByKey, Once };
// The nodes that share their memory of the keys of ByKey requests: all, those of a zone, those of a shard.
enum class Group { All, Zone, Cell };
enum class Lifecycle { Gone, Ready, Draining };
// Delta: changed entries only. Full: the whole list. Cached: a whole list that may be out of date. Failed:
// the list could not be fetched.
enum class ListForm { Delta, Full, Cached, Failed };
// How an attempt ended.
enum class Outcome {
    Served,
    ServerError,
    Rejected,        // the node refused it and did not run it
    NoAnswer,        // nothing until it expired; it may have run
    NoConnection,    // the connection could not be made; it did not run
    ConnectionLost,  // the connection ended before the response; it may have run
    Cancelled,       // by a Cancel action; it may have run
    NotSent          // no byte was sent
};

struct RequestClass {
    std::string name;
    Effect effect = Effect::Once;
    Group group = Group::All;
    double points = 1, lateWorth = 0;  // value when served in time; the fraction of it when served late
    double latencyTargetMs = 0, deadlineMs = 0;
    double keyRetentionMs = 0;  // how long nodes recognise the key of a ByKey request
    bool inOrder = false;       // requests of one key are sent one at a time, in order of arrival
    bool stream = false;        // no deadline once the response has started
    bool writes = false;
};

// The figures hold for each volume of the plan, over all hosts and nodes. Rates are units per second, bursts
// and slack units.
struct Plan {
    std::string name;
    double limit = 0;  // 0: none
    double limitBurst = 0, slack = 0;
    double nominal = 0;  // the rate that usage reports are a percentage of
    double reservation = 0, weight = 1, worthFactor = 1;
};

struct Settings {
    std::vector<RequestClass> classes;
    bool classesTellWrites = false;  // RequestClass::writes is known
    std::vector<Plan> plans;
    int hosts = 1, rank = 0;
    bool subscribe = false;  // the node list is sent only on a Subscribe action
    bool mayProbe = false, maySendToPeers = false, mayCancel = false, maySecondCopy = false;
    int maxAttempts = 1;         // of one request
    int maxOpen = 0;             // requests that can be open at this host at once; 0: not known
    double maxRetryAfterMs = 0;  // upper bound of Refuse::retryAfterMs
    double tickMs = 1;           // resolution of the caller's timers
    // Cold nodes, i.e. for coldMs after their start: all hosts together may send coldUnits in overloadSpanMs.
    // The capacity grows from coldShare to 1; overloadFactor times what the node completes overloads it.
    double coldUnits = 0, coldMs = 0, coldShare = 1, overloadFactor = 1, overloadSpanMs = 0;
    double drainGraceMs = 0, answerGraceMs = 0, askWithinMs = 0;  // not used by the scheduler
    double settleAfterDoubtMs = 0;  // pause of a key of an inOrder class after an attempt that may still run
    // Retry budget: attempts beyond the first of their request, in the span, are at most the floor plus the
    // share of the requests accepted in the span. A span of 0: no budget.
    double retryBudgetFloor = 0, retryBudgetShare = 0, retryBudgetSpanMs = 0;
    double meanUnits = 1, maxUnits = 1;  // of one request
    // The value of work within a volume's share by weight and beyond it, as fractions of reserved work.
    double fairWorth = 1, spareWorth = 1;
    double usagePeriodMs = 0;  // of the nodes' usage meter; 0: there is none
    std::string zone;
    bool reportLimitAccounts = false;  // emit LimitAccount actions
    bool reportsAttemptBegun = false;  // the caller sends AttemptBegun events
    // Bytes that all that is kept of volumes and keys may take, however many of them clients name. Volumes
    // that are idle are forgotten for new ones, and requests without room are refused (EndReason::NoRoom).
    std::size_t stateBytes = 32 * 1024 * 1024;
};

// ---- events ----
struct NodeEntry {
    std::string node, zone;
    Lifecycle lifecycle = Lifecycle::Ready;
    int shard = -1;
    double sizeHint = 1, startedMs = 0;
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
    int hosts = 1;   // the number of hosts that the volume's requests come through
};
// The first byte of an attempt is about to be written. Sent if Settings::reportsAttemptBegun; otherwise an
// attempt counts as begun with its Attempt action.
struct AttemptBegun {
    std::string id;
};
struct AttemptEnded {
    std::string id, node;
    Outcome outcome = Outcome::Served;
    int attempt = 0;  // the number of the request's attempt, from 0
    double durationMs = 0;
    bool requestEnded = false;  // the request has its answer and needs no further attempt
    // As the node reported. `usage`: the volume's rate in per cent of Plan::nominal, plus 1; 0 if not
    // reported. `servedElsewhere`: what it served through other hosts; not used by the scheduler.
    double usage = 0, servedElsewhere = 0;
};
// The first byte of the response has been sent to the client.
struct ResponseStarted {
    std::string id;
};
struct ClientGone {
    std::string id;
};
struct ProbeResult {
    std::string node;
    Outcome outcome = Outcome::Served;
    double durationMs = 0;
};
// A timer of a SetTimer action fired.
struct Wake {};
struct PeerMessage {
    int from = 0;  // rank of the sender
    std::string bytes;
};
// This host is stopping: every open request must have its answer by then.
struct ShutdownDeadline {
    double atMs = 0;
};
using Event = std::variant<ListUpdate, Request, AttemptBegun, AttemptEnded, ResponseStarted, ClientGone,
                           ProbeResult, Wake, PeerMessage, ShutdownDeadline>;

// ---- actions ----
// Send the request to the node; the attempt ends as NoAnswer at `expireAtMs`.
struct Attempt {
    std::string id, node;
    double expireAtMs = 0;
};
// Why a request ends without being served; for logs and counters.
enum class EndReason {
    UnknownKind,    // its class or plan is not in the settings
    BeyondLimit,    // its volume's limit does not reach it in time
    NotSentInTime,  // no node took it before it had to be given up
    AttemptsUsed,   // the last attempt failed and may not be repeated
    TimeOver,       // an attempt was in flight at its deadline
    NoRoom,         // no room for its volume or key (Settings::stateBytes)
    Count
};
// Tell the client that it may send the request again: it was not done, or doing it again does no harm.
struct Refuse {
    std::string id;
    double retryAfterMs = 0;  // 0: not known
    EndReason reason = EndReason::UnknownKind;
};
// Tell the client that the request failed and may have been done.
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
    int to = -1;  // rank of the receiver; -1: every peer
    std::string bytes;
};
// Send a Wake event after `afterMs`. Earlier timers stay set.
struct SetTimer {
    double afterMs = 0;
};
struct Subscribe {};
struct FetchList {};
// What this host holds of one volume's limit; for the log only. In units, except for `hosts`.
struct LimitAccount {
    enum class Moment {
        FirstSight,  // first request, or the first one after it was forgotten
        Short,       // a request had to wait for the limit; at most once in a credit period
        Forgotten,   // dropped after it was idle
        Asked        // by Scheduler::limitAccounts
    };
    Moment moment = Moment::Asked;
    std::int64_t volume = 0;
    int hosts = 1;
    double own = 0, leased = 0;    // the parts that this host may draw from
    double reserved = 0;           // drawn for attempts that have not begun
    double level = 0, credit = 0;  // of the volume's bucket over all hosts, as estimated; unused credit
    double sent = 0;               // units sent for the first time since the first request
};
using Action = std::variant<Attempt, Refuse, Fail, Cancel, Probe, SendToPeers, SetTimer, Subscribe, FetchList,
                            LimitAccount>;

// How many entries the scheduler's tables hold; for the log only.
struct TableSizes {
    std::size_t requests = 0;   // without an answer, or with an attempt in flight
    std::size_t deadlines = 0;  // of requests
    std::size_t keys = 0;       // of classes that run in order
    std::size_t volumes = 0;
    std::size_t pools = 0;        // of volumes' limits, that this host leases to others
    std::size_t activeHosts = 0;  // volumes with hosts that recently reported work
};

class Scheduler {
  public:
    // Throws std::invalid_argument that names the setting if the settings are out of range or contradictory.
    Scheduler(const Settings& settings, std::uint64_t seed);
    ~Scheduler();
    Scheduler(Scheduler&&) noexcept;
    Scheduler& operator=(Scheduler&&) noexcept;

    // Handles everything that happened at one instant, in order of arrival. The actions take effect in order.
    std::vector<Action> step(double nowMs, const std::vector<Event>& events);
    // Whether an attempt may still begin. The caller asks directly before the first byte if time has passed
    // since the step that returned the attempt, e.g. for a new connection. If it may not begin, the caller
    // sends nothing and reports NotSent. `attempt` numbers the request's attempts from 0.
    bool mayBegin(double nowMs, const std::string& id, int attempt) const;
    // The accounts of all known volumes with a limit, as of the last step.
    std::vector<LimitAccount> limitAccounts() const;
    // The number of peer messages dropped because they could not be read or held a figure out of range.
    std::uint64_t unreadableMessages() const;
    TableSizes tableSizes() const;

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace spokewheel
