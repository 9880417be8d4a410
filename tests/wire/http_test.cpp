#include <gtest/gtest.h>

#include "wire/http/digest.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::wire::http {
namespace {

// Parses the input in chunks of `step` bytes. Returns the results as text: heads as "H(method status)" with
// their fields, body data, "E" for the end of a message ("E!" if the connection closes after it), "BAD:" and
// the error.
std::string parseInChunks(Parser::Kind kind, std::string_view all, std::size_t step) {
    Limits limits;
    limits.maxHeadBytes = 512;
    limits.maxBodyBytes = 1000;
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
                    out += "H(" + parser.head().method + std::to_string(parser.head().status) + ")";
                    for (const auto& [name, value] : parser.head().fields) out += name + "=" + value + ";";
                    break;
                case Parser::Result::Body:
                    out += body;
                    break;
                case Parser::Result::End:
                    out += parser.closesConnection() ? "E!" : "E";
                    parser.reset();
                    break;
                case Parser::Result::Invalid:
                    return out + "BAD:" + parser.error();
            }
    }
    return out;
}
// Expects the same results whatever the size of the chunks.
void expectResults(Parser::Kind kind, const std::string& text, const std::string& expected) {
    for (std::size_t step = 1; step <= text.size(); ++step)
        ASSERT_EQ(parseInChunks(kind, text, step), expected) << "in chunks of " << step;
}

TEST(Http, EverySplitFindsTheSame) {
    expectResults(Parser::Kind::Request,
                  "PUT /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\n\r\n",
                  "H(PUT0)Host=x;Content-Length=5;helloEH(GET0)E");
    expectResults(
        Parser::Kind::Response,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: z\r\n\r\n"
        "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
        "H(200)Transfer-Encoding=chunked;abcdeEH(204)Connection=close;E!");
}

TEST(Http, MessagesThatTwoReadersCouldCutDifferentlyAreRefused) {
    const std::string head = "PUT / HTTP/1.1\r\n";
    for (const std::string fields :
         {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 3\r\nContent-Length: 4\r\n",
          "Content-Length: +3\r\n", "Content-Length: 3, 3\r\n", "Transfer-Encoding: gzip, chunked\r\n",
          "Content-Length : 3\r\n", " folded: x\r\n", "Content-Length: 2000\r\n"})
        EXPECT_NE(parseInChunks(Parser::Kind::Request, head + fields + "\r\nabc", 1000).find("BAD"),
                  std::string::npos)
            << fields;
    expectResults(Parser::Kind::Response,
                  "HTTP/1.1 200 OK\r\nConnection: x , Close\r\nContent-Length: 0\r\n\r\n",
                  "H(200)Connection=x , Close;Content-Length=0;E!");
    for (const std::string fields :
         {"Connection: close\r\nConnection: keep-alive\r\n",
          "Connection: keep-alive\r\nConnection: x, close\r\n", "Connection: keep-alive, close\r\n"}) {
        const auto result =
            parseInChunks(Parser::Kind::Request, "GET / HTTP/1.1\r\n" + fields + "\r\n", 1000);
        EXPECT_EQ(result.substr(result.size() - 2), "E!") << fields;
    }
    // A response without a length ends only with the connection, and its size is limited.
    expectResults(Parser::Kind::Response, "HTTP/1.1 200 OK\r\n\r\nabc", "H(200)abc");
    EXPECT_NE(parseInChunks(Parser::Kind::Response, "HTTP/1.1 200 OK\r\n\r\n" + std::string(1001, 'x'), 99)
                  .find("BAD"),
              std::string::npos);
}

TEST(Http, HeadsAndChunkLinesAreBounded) {
    const auto head = "GET / HTTP/1.1\r\nX: " + std::string(2000, 'a');
    for (const std::size_t step : {std::size_t(1), std::size_t(7), head.size()})
        EXPECT_NE(parseInChunks(Parser::Kind::Request, head, step).find("BAD:head larger"),
                  std::string::npos);
    const auto chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(2000, '0');
    for (const std::size_t step : {std::size_t(1), std::size_t(7), chunk.size()})
        EXPECT_NE(parseInChunks(Parser::Kind::Response, chunk, step).find("BAD"), std::string::npos);
}

TEST(Http, EscapesAndRanges) {
    const std::string text("a b/\xff%\0z", 9);
    EXPECT_EQ(percentDecode(percentEncode(text)), text);
    EXPECT_EQ(percentEncode("a/b", true), "a/b");
    EXPECT_FALSE(percentDecode("%4"));
    EXPECT_FALSE(percentDecode("%zz"));
    EXPECT_EQ(parseRange("bytes=2-9")->last, 9u);
    EXPECT_FALSE(parseRange("bytes=9-2"));
}

// The digest of "hello" was computed with sha256sum.
TEST(Http, DigestsAreFoundAmongOthersAndBadOnesAreTold) {
    const std::string own = "sha-256=:LPJNul+wow4m6DsqxbninhsWHlwfp0JecwQzYpOLmCQ=:";
    EXPECT_EQ(reprDigest("hello"), own);
    EXPECT_EQ(checkDigest(own, "hello"), DigestCheck::Matches);
    EXPECT_EQ(checkDigest(own, "hellp"), DigestCheck::Differs);
    EXPECT_EQ(checkDigest("md5=:abc=:,\t" + own + ", x=:YQ==:", "hello"), DigestCheck::Matches);
    EXPECT_EQ(checkDigest("sha-256=:AAAA:, " + own, "hello"), DigestCheck::Matches);  // the last one counts
    EXPECT_EQ(checkDigest("sha-512=:abc=:", "hello"), DigestCheck::Absent);
    EXPECT_EQ(checkDigest("", "hello"), DigestCheck::Absent);
    for (const std::string bad : {"sha-256", "sha-256=abc", "sha-256=:LPJN", "sha-256=:LPJN:", "SHA-256=:a:",
                                  "sha-256=:????????????????????????????????????????????:", "=:a:"})
        EXPECT_EQ(checkDigest(bad, "hello"), DigestCheck::Malformed) << bad;
    EXPECT_EQ(checkDigest(own + ",", "hello"), DigestCheck::Malformed);
    EXPECT_EQ(checkDigest(own + std::string(5000, ' '), "hello"), DigestCheck::Malformed);
}

}  // namespace
}  // namespace spokewheel::wire::http
