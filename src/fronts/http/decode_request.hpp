// Decodes the head of a platform request into host::RequestSpec, or into the status and text of the error
// response. Free of I/O and clocks. Independent of load: refusing requests under load is up to the scheduling
// module.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "host/host.hpp"
#include "spokewheel/scheduler.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::fronts::http {

struct DecodedRequest {
    std::optional<wire::http::RequestRule> violated;  // nothing: a valid request
    std::string id;                                   // X-Request-ID as received; empty where it is none
    std::optional<std::int64_t> orderedKey;           // of a class whose requests of one key run in order
    host::RequestSpec work;  // its node request has no body yet; arrivedMs is not set
};

// Maximum sizes of request and answer bodies. The platform's answers can be longer than it documents: 350 KB
// were observed. An answer that announces more than this is not waited for.
constexpr std::uint64_t kMaxBodyBytes = 64 * 1024, kMaxAnswerBytes = 2 * 1024 * 1024;

// Refuses requests that are not sound (wire/http/request_rule.hpp), which two implementations could interpret
// differently, and such with unknown classes and plans or with numbers out of range.
DecodedRequest decodeRequest(const wire::http::Head& head, const Settings& settings);

}  // namespace spokewheel::fronts::http
