// Requests that a scheduler has to refuse, made from sound ones.
#pragma once

#include <string>

#include "kit/soak/setting.hpp"

namespace spokewheel::soak {

// A variant of the sound request `text` that violates RFC 9110, RFC 9112 or the platform's protocol page.
std::string makeUnsound(std::string text, Random& random);

}  // namespace spokewheel::soak
