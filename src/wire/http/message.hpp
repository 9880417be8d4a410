// HTTP/1.1 messages (RFC 9110, RFC 9112): an incremental parser for both directions and the writing of heads.
// No I/O, no clock. Memory is bounded by Limits; bodies are handed on as they come and never kept.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace spokewheel::wire::http {

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Head {
    std::string method, target;  // of a request
    int status = 0;              // of a response
    std::string reason;
    Fields fields;  // names as they came; compare by find()
    // First value of the name, compared without case (RFC 9110, 5.1); nullptr where it is absent.
    const std::string* find(std::string_view name) const;
};

struct Limits {
    std::size_t head = 16 * 1024;  // bytes of start line and fields
    std::size_t fields = 64;
    std::uint64_t body = std::uint64_t(1) << 40;
};

class Parser {
  public:
    enum class Kind { Request, Response };
    enum class Got {
        More,  // all input was taken; feed on
        Head,  // head() is complete
        Body,  // `body` holds the next part of the body, pointing into the input
        End,   // the message is complete; what remains of the input belongs to the next one
        Bad    // error() says why; the connection can't be used further
    };
    explicit Parser(Kind kind, Limits limits = {}) : kind_(kind), limits_(limits) {}
    // Takes from the front of `in` and tells what was found. Any split of the input finds the same.
    Got next(std::string_view& in, std::string_view& body);
    const Head& head() const { return head_; }
    const std::string& error() const { return error_; }
    // The answer to HEAD has no body whatever its fields say (RFC 9112, 6.3).
    void expectNoBody() { noBody_ = true; }
    // The other side ended in order: End where that is how the body ends (a response with neither length nor
    // chunks; RFC 9112, 6.3), else More or Bad. A reset is never an end, and not to be told here.
    Got ended();
    // Bytes of the body still to come, where a length was given.
    std::uint64_t remaining() const { return left_; }
    bool atStart() const { return state_ == State::Start && line_.empty(); }
    // Whether the other side wants the connection closed after this message.
    bool closes() const { return closes_; }
    void reset();

  private:
    enum class State { Start, Fields, Body, UntilEnd, ChunkSize, Chunk, ChunkEnd, Trailer, Done, Broken };
    bool takeLine(std::string_view& in);
    Got bad(std::string why);
    bool startLine();
    bool field(std::string_view line);
    Got headDone();

    Kind kind_;
    Limits limits_;
    State state_ = State::Start;
    Head head_;
    std::string line_, error_;
    std::size_t headBytes_ = 0;
    std::uint64_t left_ = 0, seen_ = 0;
    bool noBody_ = false, closes_ = false;
};

// Names of fields compare without case (RFC 9110, 5.1).
bool sameName(std::string_view a, std::string_view b);
std::string writeRequest(std::string_view method, std::string_view target, std::string_view host,
                         const Fields& fields, std::optional<std::uint64_t> length);
std::string writeResponse(int status, const Fields& fields, std::uint64_t length);
// Percent-encoding (RFC 3986, 2.1): all but unreserved characters and, where asked, '/'.
std::string escape(std::string_view text, bool keepSlash = false);
std::optional<std::string> unescape(std::string_view text);

struct Range {
    std::uint64_t from = 0, to = 0;  // both included
};
// "bytes=a-b" with both ends, as this project sends it (RFC 9110, 14.1.2).
std::optional<Range> parseRange(std::string_view text);

}  // namespace spokewheel::wire::http
