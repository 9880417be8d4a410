#include "kit/soak/unsound_request.hpp"

#include <iterator>

namespace spokewheel::soak {
namespace {

struct Replacement {
    const char *before, *after;
};
// The first occurrence of `before` is replaced; each request has all of them.
constexpr Replacement kReplacements[] = {
    {"Host: service.internal\r\n", ""},
    {"Host: service.internal\r\n", "Host: service.internal\r\nHost: service.internal\r\n"},
    {"Host: service.internal", "Host: service internal"},
    {"Host: service.internal", "Host:"},
    {"Host: service.internal", "Host : service.internal"},
    {"/object HTTP/1.1", "/obj%zect HTTP/1.1"},
    {"/object HTTP/1.1", "/object#x HTTP/1.1"},
    {"/object HTTP/1.1", "/object HTTP/1.2"},
    {"/object HTTP/1.1", "/object  HTTP/1.1"},
    {"/object HTTP/1.1\r\n", "/object HTTP/1.0\r\nTransfer-Encoding: chunked\r\n"},
    {"/object HTTP/1.1\r\n", "/object HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n"},
    {"/object HTTP/1.1\r\n", "/object HTTP/1.1\r\nContent-Length: +1\r\n"},
    {"X-Timeout-Ms: ", "X-Timeout-Ms: x"},
    {"X-Timeout-Ms: ", "X-Timeout-Ms: 500\r\nX-Timeout-Ms: "},
    {"Cookie: block=", "Cookie: block=0000000000000001\r\nCookie: block="},
    {"X-Plan: ", "X-Plan: \x01"},
    {"X-Plan: ", "X-Plan: none\r\nX-More: "},
    {"X-IO: volume=", "X-IO: units=1,volume="},
    {"X-Priority-Class: ", "X-Priority-Class: other\r\nX-More: "},
};

}  // namespace

std::string makeUnsound(std::string text, Random& random) {
    const auto& chosen = kReplacements[drawBelow(random, static_cast<int>(std::size(kReplacements)))];
    const std::string before = chosen.before;
    const auto at = text.find(before);
    if (at != std::string::npos) text.replace(at, before.size(), chosen.after);
    return text;
}

}  // namespace spokewheel::soak
