#include "wire/http/message.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "wire/http/grammar.hpp"

namespace spokewheel::wire::http {
namespace {

char toLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }
bool caseInsensitiveEqual(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return toLower(x) == toLower(y); });
}
std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}
// Whether a comma-separated list holds the token, compared without case.
bool listContains(std::string_view list, std::string_view token) {
    for (std::size_t at = 0; at <= list.size();) {
        const auto end = std::min(list.find(',', at), list.size());
        if (caseInsensitiveEqual(trimmed(list.substr(at, end - at)), token)) return true;
        at = end + 1;
    }
    return false;
}
template <class T>
bool parseNumber(std::string_view text, T& value, int base = 10) {
    if (text.empty()) return false;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return error == std::errc() && end == text.data() + text.size();
}
const char* reasonPhrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 201:
            return "Created";
        case 204:
            return "No Content";
        case 206:
            return "Partial Content";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 409:
            return "Conflict";
        case 412:
            return "Precondition Failed";
        case 413:
            return "Content Too Large";
        case 416:
            return "Range Not Satisfiable";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 502:
            return "Bad Gateway";
        case 500:
            return "Internal Server Error";
        case 503:
            return "Service Unavailable";
        default:
            return "Status";
    }
}
void appendFields(std::string& out, const Fields& fields) {
    for (const auto& [name, value] : fields) out.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

const std::string* Head::find(std::string_view name) const {
    for (const auto& [key, value] : fields)
        if (caseInsensitiveEqual(key, name)) return &value;
    return nullptr;
}

std::size_t memoryOf(const Fields& fields) {
    static const std::size_t kInPlace = std::string().capacity();  // characters without an allocation
    std::size_t bytes = fields.capacity() * sizeof(Fields::value_type);
    for (const auto& [name, value] : fields)
        for (const auto* text : {&name, &value})
            if (text->capacity() > kInPlace) bytes += text->capacity();
    return bytes;
}

void Parser::reset() {
    state_ = State::StartLine;
    head_ = {};
    line_.clear();
    headBytes_ = 0;
    bodyBytesLeft_ = bodyBytesSeen_ = 0;
    noBody_ = closesConnection_ = false;
}

Parser::Result Parser::fail(RequestRule rule) {
    rule_ = rule;
    state_ = State::Failed;
    return Result::Invalid;
}

// Returns true once line_ holds a complete line, without its end: CRLF, or a bare LF (RFC 9112, 2.2). All
// lines of a message, trailers included, together count against the limit of the head. Lines between chunks
// do not; each of them may be that long.
bool Parser::readLine(std::string_view& in) {
    const auto end = in.find('\n');
    const auto take = end == std::string_view::npos ? in.size() : end + 1;
    const bool chunkLine = state_ == State::ChunkSize || state_ == State::ChunkEnd;
    if (!chunkLine) headBytes_ += take;
    if (headBytes_ > limits_.maxHeadBytes || line_.size() + take > limits_.maxHeadBytes) {
        fail(RequestRule::HeadSize);
        return false;
    }
    line_.append(in.substr(0, take));
    in.remove_prefix(take);
    if (end == std::string_view::npos) return false;
    line_.pop_back();
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    return true;
}

bool Parser::parseVersion(std::string_view version) {
    isOldVersion_ = closesConnection_ = version == "HTTP/1.0";
    return isOldVersion_ || version == "HTTP/1.1";
}

bool Parser::parseRequestLine() {
    const std::string_view line = line_;
    const auto firstSpace = line.find(' '), secondSpace = line.find(' ', firstSpace + 1);
    if (firstSpace == line.npos || secondSpace == line.npos || line.find(' ', secondSpace + 1) != line.npos)
        return fail(RequestRule::RequestLine), false;
    head_.method = line.substr(0, firstSpace);
    head_.target = line.substr(firstSpace + 1, secondSpace - firstSpace - 1);
    if (!isToken(head_.method) || head_.target.empty()) return fail(RequestRule::RequestLine), false;
    if (!parseVersion(line.substr(secondSpace + 1))) return fail(RequestRule::Version), false;
    return true;
}

bool Parser::parseStatusLine() {
    const std::string_view line = line_;
    const auto firstSpace = line.find(' ');
    const auto version = line.substr(0, std::min(firstSpace, line.size()));
    if (!parseVersion(version)) return fail(RequestRule::Version), false;
    if (firstSpace == line.npos || line.size() < firstSpace + 4 ||
        (line.size() > firstSpace + 4 && line[firstSpace + 4] != ' '))
        return fail(RequestRule::RequestLine), false;
    if (line.size() > firstSpace + 5) head_.reason = line.substr(firstSpace + 5);
    if (parseNumber(line.substr(firstSpace + 1, 3), head_.status) && head_.status >= 100) return true;
    return fail(RequestRule::RequestLine), false;
}

// Checks the field line in line_ and splits it. Responses may hold control characters in values, which are
// only passed over; RFC 9110, 5.5 allows to retain them.
bool Parser::splitField(std::string_view& name, std::string_view& value) {
    const std::string_view line = line_;
    const auto colon = line.find(':');
    name = line.substr(0, std::min(colon, line.size()));
    if (colon == line.npos || !isToken(name)) return fail(RequestRule::FieldLine), false;
    value = trimmed(line.substr(colon + 1));
    const bool valid = kind_ == Kind::Request
                           ? isFieldValue(value)
                           : value.find('\0') == value.npos && value.find('\r') == value.npos;
    return valid || (fail(RequestRule::FieldValue), false);
}

bool Parser::parseField() {
    std::string_view name, value;
    if (!splitField(name, value)) return false;
    if (head_.fields.size() >= limits_.maxFields) return fail(RequestRule::FieldCount), false;
    head_.fields.emplace_back(name, value);
    return true;
}

bool Parser::parseTrailerField() {
    std::string_view name, value;
    return kind_ == Kind::Response || splitField(name, value) || (fail(RequestRule::Trailer), false);
}

// Reads "chunk-size [ chunk-ext ]" into bodyBytesLeft_. In responses spaces around the size are passed over.
bool Parser::parseChunkSize() {
    const std::string_view line = line_;
    const auto digits = std::min(line.find_first_not_of("0123456789abcdefABCDEF"), line.size());
    const auto size =
        kind_ == Kind::Request ? line.substr(0, digits) : trimmed(line.substr(0, line.find(';')));
    if (!parseNumber(size, bodyBytesLeft_, 16)) return fail(RequestRule::Chunk), false;
    if (kind_ == Kind::Request && !isChunkExtensions(line.substr(digits))) {
        const bool hasExtension = line.find(';') != line.npos;
        return fail(hasExtension ? RequestRule::ChunkExtension : RequestRule::Chunk), false;
    }
    bodyBytesSeen_ += bodyBytesLeft_;
    if (bodyBytesLeft_ <= limits_.maxBodyBytes && bodyBytesSeen_ <= limits_.maxBodyBytes) return true;
    return fail(RequestRule::BodySize), false;
}

// Determines the length of the body (RFC 9112, 6.3). A message with both Content-Length and
// Transfer-Encoding, or with lengths that differ, is refused: two parsers could disagree where the next
// message starts.
Parser::Result Parser::determineBodyFraming() {
    bool chunked = false, lengthKnown = false, close = false, keepAlive = false;
    for (const auto& [name, value] : head_.fields) {
        // Connection is a list of tokens, of which "close" overrides the others, in whichever field line it
        // is (RFC 9110, 5.3; RFC 9112, 9.3).
        if (caseInsensitiveEqual(name, "connection")) {
            close = close || listContains(value, "close");
            keepAlive = keepAlive || listContains(value, "keep-alive");
        }
        if (caseInsensitiveEqual(name, "transfer-encoding")) {
            if (!caseInsensitiveEqual(value, "chunked") || chunked) return fail(RequestRule::TransferCoding);
            chunked = true;
        }
        if (!caseInsensitiveEqual(name, "content-length")) continue;
        std::uint64_t length = 0;
        if (!parseNumber(value, length)) return fail(RequestRule::ContentLength);
        if (lengthKnown && (kind_ == Kind::Request || length != bodyBytesLeft_))
            return fail(RequestRule::ContentLength);
        bodyBytesLeft_ = length;
        lengthKnown = true;
    }
    closesConnection_ = close || (isOldVersion_ && !keepAlive);
    if (chunked && lengthKnown) return fail(RequestRule::LengthAndCoding);
    if (chunked && kind_ == Kind::Request && isOldVersion_) return fail(RequestRule::CodingOfOldVersion);
    if (bodyBytesLeft_ > limits_.maxBodyBytes) return fail(RequestRule::BodySize);
    const bool empty = kind_ == Kind::Response &&
                       (noBody_ || head_.status < 200 || head_.status == 204 || head_.status == 304);
    if (empty) bodyBytesLeft_ = 0, chunked = false, lengthKnown = true;
    if (kind_ == Kind::Response && !chunked && !lengthKnown) {
        closesConnection_ = true;
        state_ = State::UntilClose;
        return Result::Head;
    }
    state_ = chunked ? State::ChunkSize : bodyBytesLeft_ > 0 ? State::Body : State::Done;
    return Result::Head;
}

Parser::Result Parser::onEndOfStream() {
    if (state_ == State::UntilClose) state_ = State::Done;
    return state_ == State::Done ? Result::End : state_ == State::Failed ? Result::Invalid : Result::NeedMore;
}

Parser::Result Parser::next(std::string_view& in, std::string_view& body) {
    for (;;) switch (state_) {
            case State::Failed:
                return Result::Invalid;
            case State::Done:
                return Result::End;
            case State::StartLine:
                if (!readLine(in)) return state_ == State::Failed ? Result::Invalid : Result::NeedMore;
                if (line_.empty()) break;  // empty lines before the start line are skipped (RFC 9112, 2.2)
                if (!(kind_ == Kind::Request ? parseRequestLine() : parseStatusLine()))
                    return Result::Invalid;
                line_.clear();
                state_ = State::Fields;
                break;
            case State::Fields:
                if (!readLine(in)) return state_ == State::Failed ? Result::Invalid : Result::NeedMore;
                if (line_.empty()) return determineBodyFraming();
                if (!parseField()) return Result::Invalid;
                line_.clear();
                break;
            case State::UntilClose:
                if (in.empty()) return Result::NeedMore;
                bodyBytesSeen_ += in.size();
                if (bodyBytesSeen_ > limits_.maxBodyBytes) return fail(RequestRule::BodySize);
                body = std::exchange(in, {});
                return Result::Body;
            case State::Body:
            case State::ChunkData: {
                if (in.empty()) return Result::NeedMore;
                const auto size =
                    static_cast<std::size_t>(std::min<std::uint64_t>(in.size(), bodyBytesLeft_));
                body = in.substr(0, size);
                in.remove_prefix(size);
                bodyBytesLeft_ -= size;
                if (bodyBytesLeft_ == 0) state_ = state_ == State::Body ? State::Done : State::ChunkEnd;
                return Result::Body;
            }
            case State::ChunkSize: {
                if (!readLine(in)) return state_ == State::Failed ? Result::Invalid : Result::NeedMore;
                if (!parseChunkSize()) return Result::Invalid;
                line_.clear();
                state_ = bodyBytesLeft_ > 0 ? State::ChunkData : State::Trailer;
                break;
            }
            case State::ChunkEnd:
                if (!readLine(in)) return state_ == State::Failed ? Result::Invalid : Result::NeedMore;
                if (!line_.empty()) return fail(RequestRule::Chunk);
                state_ = State::ChunkSize;
                break;
            case State::Trailer:
                if (!readLine(in)) return state_ == State::Failed ? Result::Invalid : Result::NeedMore;
                if (line_.empty()) state_ = State::Done;
                else if (!parseTrailerField()) return Result::Invalid;
                line_.clear();
                break;
        }
}

bool equalsIgnoreCase(std::string_view a, std::string_view b) { return caseInsensitiveEqual(a, b); }
std::string requestHead(std::string_view method, std::string_view target, std::string_view host,
                        const Fields& fields, std::optional<std::uint64_t> length) {
    std::string out;
    out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
    appendFields(out, fields);
    if (length) out.append("Content-Length: ").append(std::to_string(*length)).append("\r\n");
    return out.append("\r\n");
}
std::string responseHead(int status, const Fields& fields, std::uint64_t length) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    appendFields(out, fields);
    if (status != 204) out.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
    return out.append("\r\n");
}

std::string percentEncode(std::string_view text, bool keepSlash) {
    static constexpr char kHex[] = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const bool unreserved = (c >= '0' && c <= '9') || (toLower(c) >= 'a' && toLower(c) <= 'z') ||
                                c == '-' || c == '.' || c == '_' || c == '~' || (keepSlash && c == '/');
        if (unreserved) out += c;
        else {
            const auto u = static_cast<unsigned char>(c);
            out += {'%', kHex[u >> 4], kHex[u & 15]};
        }
    }
    return out;
}
std::optional<std::string> percentDecode(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out += text[i];
            continue;
        }
        unsigned value = 0;
        if (i + 2 >= text.size()) return std::nullopt;
        if (!parseNumber(text.substr(i + 1, 2), value, 16)) return std::nullopt;
        out += static_cast<char>(value);
        i += 2;
    }
    return out;
}
std::optional<Range> parseRange(std::string_view text) {
    Range range;
    if (text.substr(0, 6) != "bytes=") return std::nullopt;
    text.remove_prefix(6);
    const auto dash = text.find('-');
    if (dash == text.npos || !parseNumber(text.substr(0, dash), range.first) ||
        !parseNumber(text.substr(dash + 1), range.last))
        return std::nullopt;
    if (range.last < range.first) return std::nullopt;
    return range;
}

}  // namespace spokewheel::wire::http
