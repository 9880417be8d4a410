#include <gtest/gtest.h>

#include "wire/http/digest.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::wire::http {
namespace {

// What a parser finds, with the input handed over in parts of `step` bytes.
std::string found(Parser::Kind kind, std::string_view all, std::size_t step) {
    Limits limits;
    limits.head = 512;
    limits.body = 1000;
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
                    out += "H(" + p.head().method + std::to_string(p.head().status) + ")";
                    for (const auto& [k, v] : p.head().fields) out += k + "=" + v + ";";
                    break;
                case Parser::Got::Body:
                    out += body;
                    break;
                case Parser::Got::End:
                    out += p.closes() ? "E!" : "E";
                    p.reset();
                    break;
                case Parser::Got::Bad:
                    return out + "BAD:" + p.error();
            }
    }
    return out;
}
void same(Parser::Kind kind, const std::string& text, const std::string& expected) {
    for (std::size_t step = 1; step <= text.size(); ++step)
        ASSERT_EQ(found(kind, text, step), expected) << "in parts of " << step;
}

TEST(Http, EverySplitFindsTheSame) {
    same(Parser::Kind::Request,
         "PUT /a/b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\n\r\n",
         "H(PUT0)Host=x;Content-Length=5;helloEH(GET0)E");
    same(Parser::Kind::Response,
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
        EXPECT_NE(found(Parser::Kind::Request, head + fields + "\r\nabc", 1000).find("BAD"),
                  std::string::npos)
            << fields;
    same(Parser::Kind::Response, "HTTP/1.1 200 OK\r\nConnection: x , Close\r\nContent-Length: 0\r\n\r\n",
         "H(200)Connection=x , Close;Content-Length=0;E!");
    // An answer without a length has no end among its bytes, and is bounded.
    same(Parser::Kind::Response, "HTTP/1.1 200 OK\r\n\r\nabc", "H(200)abc");
    EXPECT_NE(
        found(Parser::Kind::Response, "HTTP/1.1 200 OK\r\n\r\n" + std::string(1001, 'x'), 99).find("BAD"),
        std::string::npos);
}

TEST(Http, HeadsAndChunkLinesAreBounded) {
    const auto head = "GET / HTTP/1.1\r\nX: " + std::string(2000, 'a');
    for (const std::size_t step : {std::size_t(1), std::size_t(7), head.size()})
        EXPECT_NE(found(Parser::Kind::Request, head, step).find("BAD:head larger"), std::string::npos);
    const auto chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(2000, '0');
    for (const std::size_t step : {std::size_t(1), std::size_t(7), chunk.size()})
        EXPECT_NE(found(Parser::Kind::Response, chunk, step).find("BAD"), std::string::npos);
}

TEST(Http, EscapesAndRanges) {
    const std::string text("a b/\xff%\0z", 9);
    EXPECT_EQ(unescape(escape(text)), text);
    EXPECT_EQ(escape("a/b", true), "a/b");
    EXPECT_FALSE(unescape("%4"));
    EXPECT_FALSE(unescape("%zz"));
    EXPECT_EQ(parseRange("bytes=2-9")->to, 9u);
    EXPECT_FALSE(parseRange("bytes=9-2"));
}

// The digest of "hello" is known from elsewhere (sha256sum).
TEST(Http, DigestsAreFoundAmongOthersAndBadOnesAreTold) {
    const std::string own = "sha-256=:LPJNul+wow4m6DsqxbninhsWHlwfp0JecwQzYpOLmCQ=:";
    EXPECT_EQ(reprDigest("hello"), own);
    EXPECT_EQ(checkDigest(own, "hello"), Digest::Matches);
    EXPECT_EQ(checkDigest(own, "hellp"), Digest::Differs);
    EXPECT_EQ(checkDigest("md5=:abc=:,\t" + own + ", x=:YQ==:", "hello"), Digest::Matches);
    EXPECT_EQ(checkDigest("sha-256=:AAAA:, " + own, "hello"), Digest::Matches);  // the last one counts
    EXPECT_EQ(checkDigest("sha-512=:abc=:", "hello"), Digest::Absent);
    EXPECT_EQ(checkDigest("", "hello"), Digest::Absent);
    for (const std::string bad : {"sha-256", "sha-256=abc", "sha-256=:LPJN", "sha-256=:LPJN:", "SHA-256=:a:",
                                  "sha-256=:????????????????????????????????????????????:", "=:a:"})
        EXPECT_EQ(checkDigest(bad, "hello"), Digest::Bad) << bad;
    EXPECT_EQ(checkDigest(own + ",", "hello"), Digest::Bad);
    EXPECT_EQ(checkDigest(own + std::string(5000, ' '), "hello"), Digest::Bad);
}

}  // namespace
}  // namespace spokewheel::wire::http
