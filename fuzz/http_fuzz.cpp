// Fuzzes the HTTP parser: its results for the whole input and for single bytes must be equal. Also
// percent-encoding, ranges and digests.
#include <cstdlib>

#include "fuzz/driver.hpp"
#include "wire/http/digest.hpp"
#include "wire/http/message.hpp"

using namespace spokewheel::wire::http;

namespace {
// Parses the input in chunks of `step` bytes and returns the results as text.
std::string parseInChunks(Parser::Kind kind, std::string_view all, std::size_t step) {
    Limits limits;
    limits.maxHeadBytes = 2048;
    limits.maxBodyBytes = 1 << 16;
    Parser parser(kind, limits);
    std::string out;
    for (std::size_t at = 0; at < all.size(); at += step) {
        auto in = all.substr(at, step);
        std::string_view body;
        for (bool more = true; more;) switch (parser.next(in, body)) {
                case Parser::Result::NeedMore:
                    more = false;
                    break;
                case Parser::Result::Head:
                    out += "\nH " + parser.head().target + std::to_string(parser.head().fields.size());
                    break;
                case Parser::Result::Body:
                    out += body;
                    break;
                case Parser::Result::End:
                    out += "\nE", parser.reset();
                    break;
                case Parser::Result::Invalid:
                    return out + "\nB";
            }
    }
    return out;
}
}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    for (const auto kind : {Parser::Kind::Request, Parser::Kind::Response})
        if (parseInChunks(kind, text, size + 1) != parseInChunks(kind, text, 1)) std::abort();
    if (const auto decoded = percentDecode(text);
        decoded && percentDecode(percentEncode(*decoded)) != decoded)
        std::abort();
    parseRange(text);
    // A value matches only if it holds the digest of the content.
    const auto value = text.substr(0, text.size() / 2), content = text.substr(text.size() / 2);
    const auto own = reprDigest(content);
    if (checkDigest(value, content) == DigestCheck::Matches && value.find(own.substr(9, 42)) == value.npos)
        std::abort();
    if (checkDigest(own, content) != DigestCheck::Matches) std::abort();
    return 0;
}
