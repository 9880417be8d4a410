// The rules by which a request is refused as not sound, each with the sentence that it rests on. No request
// is refused for its form without one of them. PROTOCOL is the page "Protocol" of the platform's operators.
#pragma once

#include <cstddef>

namespace spokewheel::wire::http {

enum class RequestRule {
    RequestLine,
    Version,
    Method,
    Target,
    Host,
    FieldLine,
    FieldValue,
    HeadSize,
    FieldCount,
    RepeatedField,
    ContentLength,
    TransferCoding,
    CodingOfOldVersion,
    LengthAndCoding,
    BodySize,
    Chunk,
    ChunkExtension,
    Trailer,
    BodyOfRead,
    MethodOfClass,
    UnknownClass,
    ClassOfPath,
    UnknownPlan,
    RequestId,
    Timeout,
    Io,
    Key,
    IdInUse,
    NotWholeInTime,
    Count
};

struct RequestRuleInfo {
    const char* name;    // in the log
    int status;          // of the answer
    const char* words;   // what is wrong, for the answer's body
    const char* source;  // of the sentence
};

const RequestRuleInfo& infoOf(RequestRule rule);
inline const char* nameOf(RequestRule rule) { return infoOf(rule).name; }

}  // namespace spokewheel::wire::http
