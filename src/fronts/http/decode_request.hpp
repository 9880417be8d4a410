// What a request of the platform asks for: its head read into host::RequestSpec, or the status it is answered
// with. Free of I/O and clocks; nothing here is a matter of load, which is the module's alone.
#pragma once

#include <string>

#include "host/host.hpp"
#include "spokewheel/scheduler.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::fronts::http {

struct DecodedRequest {
    int status = 0;          // 0: it can be worked on; else a 4xx, with `words` for people
    std::string error;       // what is wrong, naming the field
    std::string id;          // X-Request-ID as it came
    host::RequestSpec work;  // the exchange has no body yet; arrivedMs is not set
};

// The most that a body may hold, in bytes. Answers of the platform are longer than its page says: 350 KB were
// seen. One that is said to be longer than this is not waited for.
constexpr std::uint64_t kMostBody = 64 * 1024, kMostAnswer = 2 * 1024 * 1024;

// Checks all that would make two readers disagree, and that class, plan and figures are ones the settings
// know.
DecodedRequest decodeRequest(const wire::http::Head& head, const Settings& settings);

}  // namespace spokewheel::fronts::http
