// The text of a client's request, as the platform's protocol has it, and the numbers that a run gives out.
#pragma once

#include <string>

namespace spokewheel::soak {

struct ClientRequest {
    std::string method, requestClass, id, plan, key;
    double timeoutMs = 0;
    std::string volume;  // 16 hex digits
    int units = 1, cell = 0, hosts = 1;
    std::string body;  // of a PUT
};
std::string formatRequest(const ClientRequest& request);

// Never given out before in this process.
std::string newRequestId();
int newConnectionNumber();

// After its end no byte of a connection is read any more, so that what was read of it is known.
constexpr double kLastReadWaitMs = 750;
// After SIGTERM new connections keep coming for so long.
constexpr double kNewConnectionsAfterStopMs = 400;

}  // namespace spokewheel::soak
