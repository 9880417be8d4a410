// Splits lines and headers of the text formats of the catalogue into fields. No I/O.
#pragma once

#include <algorithm>
#include <string_view>

namespace spokewheel::catalogue {

// Removes and returns the front of `text` up to `separator` (or the end); the separator is removed too.
inline std::string_view nextField(std::string_view& text, char separator) {
    const auto end = std::min(text.find(separator), text.size());
    const auto field = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return field;
}

}  // namespace spokewheel::catalogue
