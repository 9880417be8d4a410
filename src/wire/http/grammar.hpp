// Character classes and small productions of HTTP and URIs (RFC 9110, RFC 9112, RFC 3986).
#pragma once

#include <string_view>

namespace spokewheel::wire::http {

// token (RFC 9110, 5.6.2): field names, methods.
bool isToken(std::string_view text);
// Without control characters other than HTAB (RFC 9110, 5.5).
bool isFieldValue(std::string_view text);
// absolute-path [ "?" query ] (RFC 9112, 3.2.1).
bool isOriginForm(std::string_view target);
// uri-host [ ":" port ] with a host that is not empty (RFC 9112, 3.2; RFC 9110, 4.2.1).
bool isHost(std::string_view value);
// *( BWS ";" BWS chunk-ext-name [ BWS "=" BWS chunk-ext-val ] ) (RFC 9112, 7.1.1).
bool isChunkExtensions(std::string_view text);

}  // namespace spokewheel::wire::http
