#include "wire/http/message.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace spokewheel::wire::http {
namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }
bool same(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}
// RFC 9110, 5.6.2
bool isToken(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
               std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
    });
}
std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}
bool listed(std::string_view list, std::string_view token) {
    for (std::size_t at = 0; at <= list.size();) {
        const auto end = std::min(list.find(',', at), list.size());
        if (same(trimmed(list.substr(at, end - at)), token)) return true;
        at = end + 1;
    }
    return false;
}
template <class T>
bool number(std::string_view text, T& value, int base = 10) {
    if (text.empty()) return false;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return error == std::errc() && end == text.data() + text.size();
}
const char* reasonOf(int status) {
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
void writeFields(std::string& out, const Fields& fields) {
    for (const auto& [name, value] : fields) out.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

const std::string* Head::find(std::string_view name) const {
    for (const auto& [key, value] : fields)
        if (same(key, name)) return &value;
    return nullptr;
}

void Parser::reset() {
    state_ = State::Start;
    head_ = {};
    line_.clear();
    headBytes_ = 0;
    left_ = seen_ = 0;
    noBody_ = closes_ = false;
}

Parser::Got Parser::bad(std::string why) {
    error_ = std::move(why);
    state_ = State::Broken;
    return Got::Bad;
}

// True once line_ holds a whole line without its end. CRLF only where it closes the line; a bare LF is
// taken too (RFC 9112, 2.2). The bytes of all lines of a message count to the head's limit.
bool Parser::takeLine(std::string_view& in) {
    const auto end = in.find('\n');
    const auto take = end == std::string_view::npos ? in.size() : end + 1;
    const bool chunkLine = state_ == State::ChunkSize || state_ == State::ChunkEnd;
    if (!chunkLine) headBytes_ += take;
    if (headBytes_ > limits_.head || line_.size() + take > limits_.head) {
        bad("head larger than " + std::to_string(limits_.head) + " bytes");
        return false;
    }
    line_.append(in.substr(0, take));
    in.remove_prefix(take);
    if (end == std::string_view::npos) return false;
    line_.pop_back();
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    return true;
}

bool Parser::startLine() {
    const std::string_view line = line_;
    const auto a = line.find(' '), b = line.find(' ', a + 1);
    if (kind_ == Kind::Request) {
        if (a == line.npos || b == line.npos || line.find(' ', b + 1) != line.npos) return false;
        const auto version = line.substr(b + 1);
        if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
        closes_ = version == "HTTP/1.0";
        head_.method = line.substr(0, a);
        head_.target = line.substr(a + 1, b - a - 1);
        return isToken(head_.method) && !head_.target.empty();
    }
    const auto version = line.substr(0, std::min(a, line.size()));
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
    closes_ = version == "HTTP/1.0";
    if (a == line.npos || line.size() < a + 4 || (line.size() > a + 4 && line[a + 4] != ' ')) return false;
    if (line.size() > a + 5) head_.reason = line.substr(a + 5);
    return number(line.substr(a + 1, 3), head_.status) && head_.status >= 100;
}

bool Parser::field(std::string_view line) {
    const auto colon = line.find(':');
    if (colon == line.npos || !isToken(line.substr(0, colon)) || head_.fields.size() >= limits_.fields)
        return false;
    const auto value = trimmed(line.substr(colon + 1));
    if (value.find('\0') != value.npos || value.find('\r') != value.npos) return false;
    head_.fields.emplace_back(line.substr(0, colon), value);
    return true;
}

// How long the body is (RFC 9112, 6.3). A message with both ways of framing, or with lengths that differ, is
// refused: two readers could disagree where the next one starts.
Parser::Got Parser::headDone() {
    bool chunked = false, known = false;
    for (const auto& [name, value] : head_.fields) {
        if (same(name, "connection")) {  // a list of tokens, of which "close" wins (RFC 9110, 7.6.1)
            if (listed(value, "close")) closes_ = true;
            else if (listed(value, "keep-alive")) closes_ = false;
        }
        if (same(name, "transfer-encoding")) {
            if (!same(value, "chunked") || chunked) return bad("transfer-encoding other than chunked");
            chunked = true;
        }
        if (!same(name, "content-length")) continue;
        std::uint64_t n = 0;
        if (!number(value, n) || (known && n != left_)) return bad("content-length is not one number");
        left_ = n;
        known = true;
    }
    if (chunked && known) return bad("both content-length and transfer-encoding");
    if (left_ > limits_.body) return bad("body larger than " + std::to_string(limits_.body) + " bytes");
    const bool empty = kind_ == Kind::Response &&
                       (noBody_ || head_.status < 200 || head_.status == 204 || head_.status == 304);
    if (empty) left_ = 0, chunked = false, known = true;
    if (kind_ == Kind::Response && !chunked && !known) {
        closes_ = true;
        state_ = State::UntilEnd;
        return Got::Head;
    }
    state_ = chunked ? State::ChunkSize : left_ > 0 ? State::Body : State::Done;
    return Got::Head;
}

Parser::Got Parser::ended() {
    if (state_ == State::UntilEnd) state_ = State::Done;
    return state_ == State::Done ? Got::End : state_ == State::Broken ? Got::Bad : Got::More;
}

Parser::Got Parser::next(std::string_view& in, std::string_view& body) {
    for (;;) switch (state_) {
            case State::Broken:
                return Got::Bad;
            case State::Done:
                return Got::End;
            case State::Start:
                if (!takeLine(in)) return state_ == State::Broken ? Got::Bad : Got::More;
                if (line_.empty()) break;  // RFC 9112, 2.2: empty lines before a request are passed over
                if (!startLine()) return bad("malformed start line");
                line_.clear();
                state_ = State::Fields;
                break;
            case State::Fields:
                if (!takeLine(in)) return state_ == State::Broken ? Got::Bad : Got::More;
                if (line_.empty()) return headDone();
                if (!field(line_)) return bad("malformed field line");
                line_.clear();
                break;
            case State::UntilEnd:
                if (in.empty()) return Got::More;
                seen_ += in.size();
                if (seen_ > limits_.body) return bad("body too large");
                body = std::exchange(in, {});
                return Got::Body;
            case State::Body:
            case State::Chunk: {
                if (in.empty()) return Got::More;
                const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(in.size(), left_));
                body = in.substr(0, n);
                in.remove_prefix(n);
                left_ -= n;
                if (left_ == 0) state_ = state_ == State::Body ? State::Done : State::ChunkEnd;
                return Got::Body;
            }
            case State::ChunkSize: {
                if (!takeLine(in)) return state_ == State::Broken ? Got::Bad : Got::More;
                const auto size = trimmed(std::string_view(line_).substr(0, line_.find(';')));
                if (!number(size, left_, 16)) return bad("malformed chunk size");
                seen_ += left_;
                if (left_ > limits_.body || seen_ > limits_.body) return bad("body too large");
                line_.clear();
                state_ = left_ > 0 ? State::Chunk : State::Trailer;
                break;
            }
            case State::ChunkEnd:
                if (!takeLine(in)) return state_ == State::Broken ? Got::Bad : Got::More;
                if (!line_.empty()) return bad("chunk longer than its size");
                state_ = State::ChunkSize;
                break;
            case State::Trailer:
                if (!takeLine(in)) return state_ == State::Broken ? Got::Bad : Got::More;
                if (line_.empty()) state_ = State::Done;
                line_.clear();
                break;
        }
}

bool sameName(std::string_view a, std::string_view b) { return same(a, b); }
std::string writeRequest(std::string_view method, std::string_view target, std::string_view host,
                         const Fields& fields, std::optional<std::uint64_t> length) {
    std::string out;
    out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
    writeFields(out, fields);
    if (length) out.append("Content-Length: ").append(std::to_string(*length)).append("\r\n");
    return out.append("\r\n");
}
std::string writeResponse(int status, const Fields& fields, std::uint64_t length) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n";
    writeFields(out, fields);
    if (status != 204) out.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
    return out.append("\r\n");
}

std::string escape(std::string_view text, bool keepSlash) {
    static constexpr char kHex[] = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const bool plain = (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') || c == '-' ||
                           c == '.' || c == '_' || c == '~' || (keepSlash && c == '/');
        if (plain) out += c;
        else {
            const auto u = static_cast<unsigned char>(c);
            out += {'%', kHex[u >> 4], kHex[u & 15]};
        }
    }
    return out;
}
std::optional<std::string> unescape(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out += text[i];
            continue;
        }
        unsigned value = 0;
        if (i + 2 >= text.size()) return std::nullopt;
        if (!number(text.substr(i + 1, 2), value, 16)) return std::nullopt;
        out += static_cast<char>(value);
        i += 2;
    }
    return out;
}
std::optional<Range> parseRange(std::string_view text) {
    Range r;
    if (text.substr(0, 6) != "bytes=") return std::nullopt;
    text.remove_prefix(6);
    const auto dash = text.find('-');
    if (dash == text.npos || !number(text.substr(0, dash), r.from) || !number(text.substr(dash + 1), r.to))
        return std::nullopt;
    if (r.to < r.from) return std::nullopt;
    return r;
}

}  // namespace spokewheel::wire::http
