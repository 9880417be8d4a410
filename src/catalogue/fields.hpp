// Fields of a line or a header as the catalogue's text forms have them. No I/O.
#pragma once

#include <algorithm>
#include <string_view>

namespace spokewheel::catalogue {

// The next part of `text` up to `by`, taken off it.
inline std::string_view nextField(std::string_view& text, char by) {
    const auto at = std::min(text.find(by), text.size());
    const auto part = text.substr(0, at);
    text.remove_prefix(std::min(at + 1, text.size()));
    return part;
}

}  // namespace spokewheel::catalogue
