#include "wire/http/request_rule.hpp"

#include <iterator>

namespace spokewheel::wire::http {
namespace {

// In the order of the enumerators.
constexpr RequestRuleInfo kRules[] = {
    {"request_line", 400, "malformed start line",
     "RFC 9112, 3: recipients of an invalid request-line SHOULD respond with a 400 (Bad Request) error"},
    {"version", 400, "the version is neither 1.0 nor 1.1",
     "RFC 9112, 2.3: HTTP-version is case-sensitive; PROTOCOL: everything is HTTP/1.1"},
    {"method", 405, "another method than GET or PUT",
     "PROTOCOL: a read is a GET with no body; a write is a PUT"},
    {"target", 400, "the target is no path and query",
     "RFC 9112, 3.2.1: origin-form = absolute-path [ \"?\" query ]; RFC 3986, 3.3: pchar"},
    {"host", 400, "Host is missing, comes twice or names no host",
     "RFC 9112, 3.2: a server MUST respond with a 400 to a request that lacks a Host, has more than one Host "
     "field "
     "line or a Host with an invalid value"},
    {"field_line", 400, "malformed field line",
     "RFC 9112, 5.1: a server MUST reject a request that contains whitespace between a field name and colon; "
     "5.2: "
     "a server that receives an obs-fold MUST reject it or replace it; 5: field-name is a token"},
    {"field_value", 400, "control bytes in a field value",
     "RFC 9110, 5.5: field values containing CR, LF, or NUL are invalid and dangerous; other CTL characters "
     "are "
     "also invalid"},
    {"head_size", 431, "head larger than the limit",
     "RFC 9110, 5.4: a server that receives a set of fields larger than it wishes to process MUST respond "
     "with an "
     "appropriate 4xx"},
    {"field_count", 431, "too many fields",
     "RFC 9110, 5.4: a server that receives a set of fields larger than it wishes to process MUST respond "
     "with an "
     "appropriate 4xx"},
    {"repeated_field", 400, "a field of one value comes twice",
     "RFC 9110, 5.3: a sender MUST NOT generate multiple field lines with the same name unless that field's "
     "definition allows a list; RFC 6265, 5.4: not more than one Cookie"},
    {"content_length", 400, "Content-Length is not one number",
     "RFC 9110, 8.6: Content-Length = 1*DIGIT; RFC 9112, 6.3: an invalid Content-Length is an unrecoverable "
     "error"},
    {"transfer_coding", 400, "another transfer coding than chunked",
     "RFC 9112, 6.1: a server that receives a transfer coding it does not understand SHOULD respond with an "
     "error; "
     "7.1: parameters of chunked SHOULD be treated as an error"},
    {"coding_of_old_version", 400, "a transfer coding in HTTP/1.0",
     "RFC 9112, 6.1: a Transfer-Encoding in an HTTP/1.0 message MUST be treated as if the framing is faulty"},
    {"length_and_coding", 400, "both Content-Length and Transfer-Encoding",
     "RFC 9112, 6.3: ought to be handled as an error; DAYS: it may hide another request in its body"},
    {"body_size", 413, "the body is too long", "PROTOCOL: a body holds no more than 64 KiB"},
    {"chunk", 400, "malformed chunk", "RFC 9112, 7.1: chunk = chunk-size [ chunk-ext ] CRLF chunk-data CRLF"},
    {"chunk_extension", 400, "malformed chunk extension",
     "RFC 9112, 7.1.1: chunk-ext = *( BWS \";\" BWS chunk-ext-name [ BWS \"=\" BWS chunk-ext-val ] )"},
    {"trailer", 400, "malformed trailer", "RFC 9112, 7.1.2: trailer-section = *( field-line CRLF )"},
    {"body_of_read", 400, "a GET with a body",
     "PROTOCOL: a read is a GET with no body; RFC 9112, 6: a Content-Length or Transfer-Encoding signals a "
     "body"},
    {"method_of_class", 400, "the class is not of this method",
     "PROTOCOL: a read is a GET with no body; a write is a PUT"},
    {"unknown_class", 404, "the class is not known", "PROTOCOL: the class is the first part of the path"},
    {"class_of_path", 400, "X-Priority-Class differs from the path",
     "PROTOCOL: the class also stands in X-Priority-Class"},
    {"unknown_plan", 400, "X-Plan is not known", "PROTOCOL: X-Plan: with its name as the settings give it"},
    {"request_id", 400, "X-Request-ID: 1 to 128 visible characters are wanted",
     "PROTOCOL: every request gets a new one"},
    {"timeout", 400, "X-Timeout-Ms: whole milliseconds are wanted",
     "PROTOCOL: X-Timeout-Ms: in whole milliseconds"},
    {"io", 400, "X-IO: volume, units, shard and hosts are wanted, each once",
     "PROTOCOL: X-IO: the volume (16 hex digits), the size in units, the shard and how many hosts"},
    {"key", 400, "Cookie: block is 16 hex digits, once", "PROTOCOL: the cookie block: 16 hex digits"},
    {"id_in_use", 409, "X-Request-ID is of another request",
     "PROTOCOL: every request gets a new one, a client's retry too"},
    {"not_whole_in_time", 408, "the request did not come whole in time",
     "DAYS: an error or a close within 3 s of connecting; STANDING: clients that stop in the middle of a "
     "request"},
};
static_assert(std::size(kRules) == static_cast<std::size_t>(RequestRule::Count));

}  // namespace

const RequestRuleInfo& infoOf(RequestRule rule) { return kRules[static_cast<std::size_t>(rule)]; }

}  // namespace spokewheel::wire::http
