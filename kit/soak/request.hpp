// Client requests in the platform's HTTP dialect, ids of requests and connections, and times that both kinds
// of clients share.
#pragma once

#include <string>

namespace spokewheel::soak {

struct ClientRequest {
    std::string method, requestClass, id, plan, key;
    double timeoutMs = 0;
    std::string volume;  // 16 hex digits
    int units = 1, cell = 0, hosts = 1;
    std::string body;     // only sent with a PUT
    int answerBytes = 0;  // that the disk servers of the soak are asked for; 0: as they like
};
// The whole HTTP request, head and body.
std::string formatRequest(const ClientRequest& request);

// Both are unique within this process.
std::string newRequestId();
int newConnectionNumber();

// How long after the end of a connection the scheduler may still read from it. The count of bytes read is
// final afterwards.
constexpr double kLastReadWaitMs = 750;
// Clients open new connections for this long after SIGTERM.
constexpr double kNewConnectionsAfterStopMs = 400;

}  // namespace spokewheel::soak
