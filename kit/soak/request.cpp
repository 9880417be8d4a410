#include "kit/soak/request.hpp"

#include <cstdio>

namespace spokewheel::soak {

std::string formatRequest(const ClientRequest& request) {
    const bool hasBody = request.method == "PUT";
    const std::string query =
        request.answerBytes > 0 ? "?bytes=" + std::to_string(request.answerBytes) : std::string();
    std::string text = request.method + " /" + request.requestClass + "/object" + query +
                       " HTTP/1.1\r\nHost: service.internal\r\n";
    text += "X-Request-ID: " + request.id + "\r\n";
    text += "X-Priority-Class: " + request.requestClass + "\r\n";
    text += "X-Plan: " + request.plan + "\r\n";
    text += "Cookie: block=" + request.key + "\r\n";
    text += "X-Timeout-Ms: " + std::to_string(static_cast<int>(request.timeoutMs)) + "\r\n";
    text += "X-IO: volume=" + request.volume + ",units=" + std::to_string(request.units) +
            ",shard=" + std::to_string(request.cell) + ",hosts=" + std::to_string(request.hosts) + "\r\n";
    if (hasBody) text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + (hasBody ? request.body : std::string());
}

std::string newRequestId() {
    static unsigned next = 0;
    char id[32];
    std::snprintf(id, sizeof id, "%016x", ++next);
    return id;
}

int newConnectionNumber() {
    static int next = 0;
    return ++next;
}

}  // namespace spokewheel::soak
