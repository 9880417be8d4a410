// Checks that the head of a request is sound by RFC 9110, RFC 9112 and the platform's protocol page, beyond
// what the parser needs to find its end. Free of I/O and clocks.
#pragma once

#include <optional>

#include "wire/http/message.hpp"

namespace spokewheel::fronts::http {

// The rule that the head violates, whatever the request is for; nothing if there is none.
std::optional<wire::http::RequestRule> violatedRule(const wire::http::Head& head);
// Whether the head says that a body follows. A Content-Length of 0 says that there is none.
bool announcesBody(const wire::http::Head& head);

}  // namespace spokewheel::fronts::http
