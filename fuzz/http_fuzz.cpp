// The HTTP parser, whole and byte by byte: both must find the same.
#include <cstdlib>

#include "fuzz/driver.hpp"
#include "wire/http/digest.hpp"
#include "wire/http/message.hpp"

using namespace spokewheel::wire::http;

namespace {
std::string found(Parser::Kind kind, std::string_view all, std::size_t step) {
    Limits limits;
    limits.head = 2048;
    limits.body = 1 << 16;
    Parser p(kind, limits);
    std::string out;
    for (std::size_t at = 0; at < all.size(); at += step) {
        auto in = all.substr(at, step);
        std::string_view body;
        for (bool more = true; more;) switch (p.next(in, body)) {
                case Parser::Got::More:
                    more = false;
                    break;
                case Parser::Got::Head:
                    out += "\nH " + p.head().target + std::to_string(p.head().fields.size());
                    break;
                case Parser::Got::Body:
                    out += body;
                    break;
                case Parser::Got::End:
                    out += "\nE", p.reset();
                    break;
                case Parser::Got::Bad:
                    return out + "\nB";
            }
    }
    return out;
}
}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    for (const auto kind : {Parser::Kind::Request, Parser::Kind::Response})
        if (found(kind, text, size + 1) != found(kind, text, 1)) std::abort();
    if (const auto plain = unescape(text); plain && unescape(escape(*plain)) != plain) std::abort();
    parseRange(text);
    // A value is taken as matching only where it holds the digest of the content.
    const auto cut = text.substr(0, text.size() / 2), rest = text.substr(text.size() / 2);
    const auto own = reprDigest(rest);
    if (checkDigest(cut, rest) == Digest::Matches && cut.find(own.substr(9, 42)) == cut.npos) std::abort();
    if (checkDigest(own, rest) != Digest::Matches) std::abort();
    return 0;
}
