// HTTP/1.1 messages (RFC 9110, RFC 9112): an incremental parser for requests and responses, and formatting of
// their heads. Free of I/O and clocks. Memory is bounded by Limits; body data is passed on as it arrives and
// never buffered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wire/http/request_rule.hpp"

namespace spokewheel::wire::http {

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Head {
    std::string method, target;  // of a request
    int status = 0;              // of a response
    std::string reason;          // of a response
    Fields fields;               // names spelled as received
    // Value of the first field with this name, compared without case (RFC 9110, 5.1); nullptr if absent.
    const std::string* find(std::string_view name) const;
};

// Bytes that the fields take: each is two strings, however short its text.
std::size_t memoryOf(const Fields& fields);

struct Limits {
    std::size_t maxHeadBytes = 16 * 1024;  // start line and fields
    std::size_t maxFields = 64;
    std::uint64_t maxBodyBytes = std::uint64_t(1) << 40;
};

class Parser {
  public:
    enum class Kind { Request, Response };
    enum class Result {
        NeedMore,  // all input was consumed
        Head,      // head() is complete
        Body,      // `body` is the next part of the body, a view into the input
        End,       // the message is complete; the rest of the input belongs to the next one
        Invalid    // rule() holds the reason; the connection is unusable
    };
    explicit Parser(Kind kind, Limits limits = {}) : kind_(kind), limits_(limits) {}
    // Consumes input from the front of `in` up to the next result. The results do not depend on how the input
    // is split into chunks.
    Result next(std::string_view& in, std::string_view& body);
    const Head& head() const { return head_; }
    // What an invalid message violates. Of a response the rule of the same part of a request.
    RequestRule rule() const { return rule_; }
    std::string error() const { return infoOf(rule_).words; }
    // To be called for the response to a HEAD request, which has no body whatever its fields say
    // (RFC 9112, 6.3).
    void expectNoBody() { noBody_ = true; }
    // To be called when the peer closed the connection in order, never after a reset. Returns End if the
    // message is complete, which the close itself causes for a response with neither a length nor chunks
    // (RFC 9112, 6.3), else NeedMore or Invalid.
    Result onEndOfStream();
    // Bytes of the body still to come, if it has a Content-Length.
    std::uint64_t remainingBodyBytes() const { return bodyBytesLeft_; }
    // Size of the start line and fields received so far, trailers included.
    std::size_t headBytes() const { return headBytes_; }
    // Bytes that the parser holds of the start line and fields received so far.
    std::size_t headMemory() const { return line_.capacity() + memoryOf(head_.fields); }
    bool atMessageStart() const { return state_ == State::StartLine && line_.empty(); }
    // Whether the connection closes after this message, by its version, framing and Connection field.
    bool closesConnection() const { return closesConnection_; }
    // Prepares for the next message of the connection.
    void reset();

  private:
    enum class State {
        StartLine,
        Fields,
        Body,
        UntilClose,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailer,
        Done,
        Failed
    };
    bool readLine(std::string_view& in);
    Result fail(RequestRule rule);
    // These return false and have called fail(), but for parseVersion().
    bool parseVersion(std::string_view version);
    bool parseRequestLine();
    bool parseStatusLine();
    bool splitField(std::string_view& name, std::string_view& value);
    bool parseField();
    bool parseTrailerField();
    bool parseChunkSize();
    Result determineBodyFraming();

    Kind kind_;
    Limits limits_;
    State state_ = State::StartLine;
    Head head_;
    std::string line_;  // the part received of the current line
    RequestRule rule_ = RequestRule::RequestLine;
    std::size_t headBytes_ = 0;
    // bodyBytesLeft_: of the body or the chunk; bodyBytesSeen_: in chunks or until the connection closes
    std::uint64_t bodyBytesLeft_ = 0, bodyBytesSeen_ = 0;
    bool noBody_ = false, closesConnection_ = false, isOldVersion_ = false;
};

// Compares ASCII text such as field names (RFC 9110, 5.1) without case.
bool equalsIgnoreCase(std::string_view a, std::string_view b);
// Start line and fields of a message, with the empty line that ends them. `length` is sent as Content-Length;
// a response with status 204 has none.
std::string requestHead(std::string_view method, std::string_view target, std::string_view host,
                        const Fields& fields, std::optional<std::uint64_t> length);
std::string responseHead(int status, const Fields& fields, std::uint64_t length);
// Percent-encodes all but unreserved characters (RFC 3986, 2.1) and, with `keepSlash`, '/'.
std::string percentEncode(std::string_view text, bool keepSlash = false);
// Nothing if an escape sequence is malformed.
std::optional<std::string> percentDecode(std::string_view text);

struct Range {
    std::uint64_t first = 0, last = 0;  // offsets of bytes, both inclusive
};
// Parses "bytes=a-b" with both ends given, the only form that this project sends (RFC 9110, 14.1.2).
std::optional<Range> parseRange(std::string_view text);

}  // namespace spokewheel::wire::http
