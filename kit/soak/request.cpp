#include "kit/soak/request.hpp"

#include <cstdio>

namespace spokewheel::soak {

std::string formatRequest(const ClientRequest& r) {
    const bool put = r.method == "PUT";
    std::string text = r.method + " /" + r.requestClass + "/object HTTP/1.1\r\nHost: service.internal\r\n";
    text += "X-Request-ID: " + r.id + "\r\n";
    text += "X-Priority-Class: " + r.requestClass + "\r\n";
    text += "X-Plan: " + r.plan + "\r\n";
    text += "Cookie: block=" + r.key + "\r\n";
    text += "X-Timeout-Ms: " + std::to_string(static_cast<int>(r.timeoutMs)) + "\r\n";
    text += "X-IO: volume=" + r.volume + ",units=" + std::to_string(r.units) +
            ",shard=" + std::to_string(r.cell) + ",hosts=" + std::to_string(r.hosts) + "\r\n";
    if (put) text += "Content-Length: " + std::to_string(r.body.size()) + "\r\n";
    return text + "\r\n" + (put ? r.body : std::string());
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
