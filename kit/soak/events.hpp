// Events that clients, disk servers, discovery agents and scheduler processes produce during a soak run, and
// the requirements that they are checked against (record_checker.hpp). Times are milliseconds on the
// harness's monotonic clock.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace spokewheel::soak {

enum class EventKind {
    RequestSent,      // the last byte of a request was handed to the client's socket
    Answered,         // the client received the last byte of an answer
    AnswerBroken,     // the connection ended in the middle of an answer
    ConnectionEnded,  // the scheduler closed the connection; `read`: it had read the whole request
    ClientLeft,       // the client closed its connection before the answer
    Malformed,        // the last byte of an unparsable or incomplete request was sent
    MalformedEnded,   // the scheduler answered it with an error or closed the connection
    AttemptBegan,     // a disk server received the first byte of an attempt
    AttemptWhole,     // a disk server received the last byte of an attempt
    Executed,         // the disk server executed it
    NotExecuted,      // the disk server rejected it without executing it
    AttemptEnded,     // the disk server is done with the attempt; `detail` tells how
    Notified,         // the scheduler is expected to know that a disk server is draining or removed
    ServerStarted,    // a disk server started cold
    ProcessStarted,   // a scheduler process was started
    ProcessReady,     // it answered 200 to GET /ready
    StopRequested,    // it was sent SIGTERM
    Killed,           // it was sent SIGKILL
    Exited,           // it exited without SIGKILL, with `status`
    CellState,       // health of a cell's servers from now on; `server`: the cell, `status`: 1 healthy, 0 not
    SchedulerState,  // health of a scheduler's environment from now on; `status`: 1 healthy, 0 impaired
    Violation        // a scheduler logged a violated invariant
};

// The name of the event in the written record.
const char* nameOf(EventKind kind);

// One event. Fields that do not apply to its kind keep their defaults.
struct Event {
    EventKind kind = EventKind::RequestSent;
    double at = 0;
    int scheduler = -1;
    int process = 0;  // incarnation of the scheduler, from 1
    std::string server, request;
    std::string requestClass, volume, key, zone;  // volume: only if it has a limit
    int connection = 0;                           // number of the client's connection
    int attempt = 0;                              // number of the attempt, unique over all disk servers
    int status = 0;  // HTTP status, exit status, or health (CellState, SchedulerState)
    double units = 0;
    double timeoutMs = 0;  // of the request, or as stated in the attempt
    int cell = -1;         // that holds the request's data
    bool limited = false;  // of a request: its volume has a limit
    bool read = false;     // of ConnectionEnded: the scheduler had read the whole request
    bool genuine = false;  // of a 200 answer: a disk server produced it for this request
    bool cold = false;     // of an attempt: its server was cold, and the scheduler knew
    double ageMs = 0;      // of an attempt: time since its server started
    std::string detail;
};

// How the requests of a class may be repeated and ordered.
struct ClassSemantics {
    std::string name;
    bool once = false, byKey = false, inOrder = false;
    double keyRetentionMs = 0;  // how long servers recognise the key of a byKey request
};

// The limit of one volume: rate in units per second, burst and slack in units.
struct VolumeLimit {
    double rate = 0, burst = 0, slack = 0;
    int hosts = 1;  // number of schedulers that its requests come through at a time
};

// Bounds that a record has to satisfy. Values that are also scheduler settings have the same value there.
struct Requirements {
    std::vector<ClassSemantics> classes;
    double answerGraceMs = 500, clientGoneGraceMs = 100, timeoutSlackMs = 150, drainGraceMs = 2000;
    double malformedTimeoutMs = 3000, readyTimeoutMs = 10000;
    double limit = 0, burst = 0, slack = 0;      // of each limited volume that is not in `volumes`
    std::map<std::string, VolumeLimit> volumes;  // volumes with constant load
    double coldMs = 0, coldUnits = 0, coldShare = 1, overloadFactor = 1, overloadSpanMs = 0, meanUnits = 1,
           serverUnitsPerS = 0;
    double settleAfterDoubtMs = 0, retryBudgetFloor = 0, retryBudgetShare = 0, retryBudgetSpanMs = 0;
    // Of the requests of a class that healthy servers could have served, at least this fraction has to be
    // served. Requests of limited volumes and with a shorter timeout than minTimeoutMs are not counted.
    double minServedFraction = 1.0 / 3, minTimeoutMs = 300;
    std::size_t minRequests = 60;  // a class with fewer such requests is not checked
    double minUnits = 30;          // a volume that was entitled to fewer units is not checked
    double toleranceMs = 50;       // measuring error, added to every time limit
};

}  // namespace spokewheel::soak
