// What clients, disk servers, discovery agents and the process table record during a soak run. The judge sees
// nothing else. Times are milliseconds of the harness's monotonic clock.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace spokewheel::soak {

enum class EventKind {
    RequestSent,      // the last byte of a request was handed to the client's socket
    Answered,         // the last byte of an answer came
    AnswerBroken,     // an answer began and its connection ended before it was whole
    ConnectionEnded,  // the scheduler ended the connection; `read` tells whether it had read the request
    ClientLeft,       // the client closed its connection
    Malformed,        // the last byte of something that is no request, or half a request, was sent
    MalformedEnded,   // an error or the end of the connection followed it
    AttemptBegan,     // the first byte of an attempt came to a disk server
    AttemptWhole,     // its last byte came
    Executed,         // the server did the work
    NotExecuted,      // the server said that it will not
    AttemptEnded,     // the server has nothing more to do with the attempt
    Notified,         // a scheduler counts as told that a server drains or is gone
    ServerStarted,    // a server came up cold
    ProcessStarted,
    ProcessReady,    // answered 200 to GET /ready
    StopRequested,   // SIGTERM
    Killed,          // SIGKILL
    Exited,          // ended by itself, with `status`
    CellState,       // of the servers of `server` (a cell's number), from now on: `status` 1 well, 0 not
    SchedulerState,  // of what surrounds a scheduler, from now on: `status` 1 well, 0 troubled
    Violation        // a scheduler logged a violated invariant
};

const char* nameOf(EventKind kind);

struct Event {
    EventKind kind = EventKind::RequestSent;
    double at = 0;
    int scheduler = -1;
    int process = 0;  // counts the scheduler's starts
    std::string server, request;
    std::string requestClass, volume, key, zone;  // volume: where it has a limit
    int connection = 0;                           // of the client, or of the scheduler at the server
    int attempt = 0;                              // identifies an attempt at the servers
    int status = 0;                               // of an answer, or of a process that exited
    double units = 0;
    double timeoutMs = 0;  // what the client allows, or what the attempt told its server
    int cell = -1;         // in which a request's data lies
    bool limited = false;  // of a request: its volume has a limit
    bool read = false;
    bool genuine = false;  // of an answer 200: a server made it for this request
    bool cold = false;     // of an attempt: its server was within the cold time
    double ageMs = 0;      // of that server
    std::string detail;
};

struct ClassSemantics {
    std::string name;
    bool once = false, byKey = false, inOrder = false;
    double keyRetentionMs = 0;
};

// Of one volume: units per second, units, units.
struct VolumeLimit {
    double rate = 0, burst = 0, slack = 0;
    int hosts = 1;  // schedulers that its requests come through at a time
};

// The terms that the record is held to; figures as in the settings given to the schedulers.
struct Requirements {
    std::vector<ClassSemantics> classes;
    double answerGraceMs = 500, clientGoneGraceMs = 100, timeoutSlackMs = 150, drainGraceMs = 2000;
    double malformedTimeoutMs = 3000, readyTimeoutMs = 10000;
    double limit = 0, burst = 0, slack = 0;      // of each limited volume that `volumes` does not name
    std::map<std::string, VolumeLimit> volumes;  // asked for without pause
    double coldMs = 0, coldUnits = 0, coldShare = 1, overloadFactor = 1, overloadSpanMs = 0, meanUnits = 1,
           serverUnitsPerS = 0;
    double settleAfterDoubtMs = 0, retryBudgetFloor = 0, retryBudgetShare = 0, retryBudgetSpanMs = 0;
    // Of what could be served to a class by servers that were well, outside limits, so much has to be.
    double minServedFraction = 1.0 / 3, minTimeoutMs = 300;
    std::size_t minRequests = 60;
    double minUnits = 30;     // due to a volume, from which its service is judged
    double toleranceMs = 50;  // of every time limit
};

}  // namespace spokewheel::soak
