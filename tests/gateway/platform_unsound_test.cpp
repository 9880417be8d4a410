// Requests that are not sound, by RFC 9110, RFC 9112, RFC 3986, RFC 6265 or the platform's protocol page:
// each is answered with an error, its connection is closed, and nothing reaches a disk server. And forms that
// these pages allow, however unusual: each is served.
//
// The fault that this guards against: the reader accepted forms of which the pages say that a server must
// refuse them, so a request that another reader understands differently was passed on.
#include "platform_support.hpp"

namespace spokewheel::platform::testing {
namespace {

// One request, with `ID` for its id; a usual one is made by read() and upload().
struct Form {
    const char* name;
    const char* source;  // of what it violates, or of what allows it
    std::string text;
};

struct Parts {
    std::string line = "GET /read/object HTTP/1.1";
    std::string host = "Host: service.internal\r\n";
    std::string fields =
        "X-Request-ID: ID\r\nX-Priority-Class: read\r\nX-Plan: open\r\nCookie: block=7f3a9c21e0b4d655\r\n"
        "X-Timeout-Ms: 900\r\nX-IO: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n";
    std::string more = "", body = "";
    std::string text() const { return line + "\r\n" + host + fields + more + "\r\n" + body; }
};
std::string read(Parts parts) { return parts.text(); }
// A write of the class `once`. `more` holds its framing.
std::string upload(Parts parts) {
    if (parts.line == Parts().line) parts.line = "PUT /once/object HTTP/1.1";
    parts.fields.replace(parts.fields.find("Class: read"), 11, "Class: once");
    return parts.text();
}
std::string with(const std::string& field) { return read({.more = field + "\r\n"}); }
std::string target(const std::string& path) { return read({.line = "GET " + path + " HTTP/1.1"}); }
std::string host(const std::string& value) { return read({.host = "Host: " + value + "\r\n"}); }
std::string chunked(const std::string& body) {
    return upload({.more = "Transfer-Encoding: chunked\r\n", .body = body});
}
std::string replaced(const std::string& before, const std::string& after) {
    auto text = read({});
    return text.replace(text.find(before), before.size(), after);
}

const std::string kControl = std::string(1, '\x01');

std::vector<Form> unsoundForms() {
    return {
        // Start line
        {"SpaceBeforeTheMethod", "RFC 9112, 3", " " + read({})},
        {"TwoSpaces", "RFC 9112, 3", read({.line = "GET  /read/object HTTP/1.1"})},
        {"TabAsSeparator", "RFC 9112, 3", read({.line = "GET\t/read/object HTTP/1.1"})},
        {"SpaceAfterTheVersion", "RFC 9112, 3", read({.line = "GET /read/object HTTP/1.1 "})},
        {"NoVersion", "RFC 9112, 3", read({.line = "GET /read/object"})},
        {"VersionInLowerCase", "RFC 9112, 2.3", read({.line = "GET /read/object http/1.1"})},
        {"VersionTwo", "RFC 9112, 2.3", read({.line = "GET /read/object HTTP/2.0"})},
        {"MethodIsNoToken", "RFC 9112, 3.1", read({.line = "GE(T /read/object HTTP/1.1"})},
        {"MethodInLowerCase", "RFC 9110, 9.1", read({.line = "get /read/object HTTP/1.1"})},
        {"OtherMethod", "PROTOCOL: a read is a GET, a write is a PUT",
         read({.line = "POST /read/object HTTP/1.1"})},
        {"ControlByteInTheTarget", "RFC 9112, 3.2", target("/read/" + kControl)},
        {"ByteOver127InTheTarget", "RFC 9112, 3.2", target("/read/\xc3\xa9")},
        {"FragmentInTheTarget", "RFC 9112, 3.2", target("/read/object#part")},
        {"BrokenEscapeInTheTarget", "RFC 3986, 2.1", target("/read/%4")},
        {"EscapeOfNoHexInTheTarget", "RFC 3986, 2.1", target("/read/%zz")},
        {"QuoteInTheTarget", "RFC 3986, 3.3", target("/read/\"x\"")},
        {"BackslashInTheTarget", "RFC 3986, 3.3", target("/read\\object")},
        {"BraceInTheQuery", "RFC 3986, 3.4", target("/read/object?{x}")},
        {"TargetOfAnAsterisk", "RFC 9112, 3.2.4", target("*")},
        // Host
        {"NoHost", "RFC 9112, 3.2", read({.host = ""})},
        {"TwoHosts", "RFC 9112, 3.2", read({.more = "Host: service.internal\r\n"})},
        {"TwoHostsThatDiffer", "RFC 9112, 3.2", read({.more = "host: other.internal\r\n"})},
        {"EmptyHost", "RFC 9110, 4.2.1", host("")},
        {"HostWithASpace", "RFC 9112, 3.2", host("service internal")},
        {"HostWithAPath", "RFC 9112, 3.2", host("service.internal/x")},
        {"HostWithUserInformation", "RFC 9110, 4.2.4", host("user@service.internal")},
        {"HostList", "RFC 9112, 3.2", host("service.internal, other.internal")},
        {"HostWithAPortOfNoDigits", "RFC 9112, 3.2", host("service.internal:8a")},
        {"HostWithTwoPorts", "RFC 9112, 3.2", host("service.internal:80:80")},
        {"HostOfAnOpenBracket", "RFC 9112, 3.2", host("[::1")},
        {"HostWithABrokenEscape", "RFC 3986, 2.1", host("service%2.internal")},
        // Field lines
        {"SpaceBeforeTheColon", "RFC 9112, 5.1", with("X-More : 1")},
        {"NoColon", "RFC 9112, 5", with("X-More")},
        {"EmptyName", "RFC 9110, 5.1", with(": 1")},
        {"NameIsNoToken", "RFC 9110, 5.1", with("X(More: 1")},
        {"FoldedLine", "RFC 9112, 5.2", with("X-More: 1\r\n 2")},
        {"LineOfSpaceAfterTheStartLine", "RFC 9112, 2.2", read({.host = " Host: service.internal\r\n"})},
        {"BareReturnInAValue", "RFC 9112, 2.2", with("X-More: a\rb")},
        {"NulInAValue", "RFC 9110, 5.5", with("X-More: a" + std::string(1, '\0') + "b")},
        {"ControlByteInAValue", "RFC 9110, 5.5", with("X-More: a" + kControl + "b")},
        {"DeleteInAValue", "RFC 9110, 5.5", with("X-More: a\x7f")},
        {"TooManyFields", "RFC 9110, 5.4",
         [] {
             std::string fields;
             for (int i = 0; i < 80; ++i) fields += "a:b\r\n";
             return read({.more = fields});
         }()},
        {"HeadTooLong", "RFC 9110, 5.4", with("X-More: " + std::string(17000, 'a'))},
        // Fields of one value
        {"IdTwice", "RFC 9110, 5.3", with("X-Request-ID: ID")},
        {"ClassTwice", "RFC 9110, 5.3", with("X-Priority-Class: read")},
        {"PlanTwice", "RFC 9110, 5.3", with("x-plan: open")},
        {"TimeoutTwice", "RFC 9110, 5.3", with("X-Timeout-Ms: 900")},
        {"IoTwice", "RFC 9110, 5.3", with("X-IO: volume=00000003b4d60021,units=2,shard=0,hosts=1")},
        {"CookieTwice", "RFC 6265, 5.4", with("Cookie: block=7f3a9c21e0b4d655")},
        {"RetriedTwice", "RFC 9110, 5.3", with("X-Retried: 1\r\nX-Retried: 1")},
        {"ContentTypeTwice", "RFC 9110, 8.3", with("Content-Type: a/b\r\nContent-Type: a/b")},
        {"UserAgentTwice", "RFC 9110, 10.1.5", with("User-Agent: a\r\nUser-Agent: a")},
        {"LengthTwice", "RFC 9110, 8.6",
         upload({.more = "Content-Length: 1\r\nContent-Length: 1\r\n", .body = "b"})},
        // Values of the protocol page
        {"NoId", "PROTOCOL: every request gets a new one", replaced("X-Request-ID: ID\r\n", "")},
        {"EmptyId", "PROTOCOL: every request gets a new one", replaced("X-Request-ID: ID", "X-Request-ID:")},
        {"IdWithASpace", "PROTOCOL: X-Request-ID", replaced("X-Request-ID: ID", "X-Request-ID: I D")},
        {"UnknownClass", "PROTOCOL: the class", target("/other/object")},
        {"ClassDiffersFromThePath", "PROTOCOL: the class also stands in X-Priority-Class",
         replaced("Class: read", "Class: once")},
        {"UnknownPlan", "PROTOCOL: with its name as the settings give it",
         replaced("Plan: open", "Plan: none")},
        {"TimeoutIsNoNumber", "PROTOCOL: in whole milliseconds", replaced("Ms: 900", "Ms: soon")},
        {"TimeoutWithAFraction", "PROTOCOL: in whole milliseconds", replaced("Ms: 900", "Ms: 900.5")},
        {"TimeoutBelowZero", "PROTOCOL: in whole milliseconds", replaced("Ms: 900", "Ms: -900")},
        {"KeyIsNoHex", "PROTOCOL: 16 hex digits", replaced("7f3a9c21e0b4d655", "7f3a9c21e0b4d65z")},
        {"VolumeTooShort", "PROTOCOL: 16 hex digits", replaced("00000003b4d60021", "3b4d60021")},
        {"IoWithoutUnits", "PROTOCOL: X-IO", replaced("units=2,", "")},
        {"IoWithUnitsTwice", "PROTOCOL: X-IO", replaced("units=2,", "units=2,units=2,")},
        // Bodies
        {"ReadWithABody", "PROTOCOL: a read is a GET with no body",
         read({.more = "Content-Length: 3\r\n", .body = "abc"})},
        {"ReadWithChunks", "PROTOCOL: a read is a GET with no body",
         read({.more = "Transfer-Encoding: chunked\r\n", .body = "0\r\n\r\n"})},
        {"ReadOfAWritingClass", "PROTOCOL: a read is a GET, a write is a PUT",
         upload({.line = "GET /once/object HTTP/1.1"})},
        {"WriteOfAReadingClass", "PROTOCOL: a read is a GET, a write is a PUT",
         read({.line = "PUT /read/object HTTP/1.1", .more = "Content-Length: 1\r\n", .body = "b"})},
        {"LengthIsNoNumber", "RFC 9110, 8.6", upload({.more = "Content-Length: x\r\n"})},
        {"LengthWithASign", "RFC 9110, 8.6", upload({.more = "Content-Length: +1\r\n", .body = "b"})},
        {"LengthBelowZero", "RFC 9110, 8.6", upload({.more = "Content-Length: -1\r\n"})},
        {"LengthList", "RFC 9110, 8.6", upload({.more = "Content-Length: 1, 1\r\n", .body = "b"})},
        {"EmptyLength", "RFC 9110, 8.6", upload({.more = "Content-Length:\r\n"})},
        {"LengthOver64Bits", "RFC 9110, 8.6",
         upload({.more = "Content-Length: 99999999999999999999999\r\n"})},
        {"BodyTooLong", "PROTOCOL: a body holds no more than 64 KiB",
         upload({.more = "Content-Length: 65537\r\n"})},
        {"LengthAndCoding", "RFC 9112, 6.3",
         upload(
             {.more = "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", .body = "1\r\nb\r\n0\r\n\r\n"})},
        {"OtherCoding", "RFC 9112, 6.1", upload({.more = "Transfer-Encoding: gzip\r\n"})},
        {"OtherCodingBeforeChunked", "RFC 9112, 6.1",
         upload({.more = "Transfer-Encoding: gzip, chunked\r\n"})},
        {"ChunkedTwice", "RFC 9112, 6.1",
         upload({.more = "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                 .body = "1\r\nb\r\n0\r\n\r\n"})},
        {"ChunkedWithAParameter", "RFC 9112, 7.1",
         upload({.more = "Transfer-Encoding: chunked;q=1\r\n", .body = "1\r\nb\r\n0\r\n\r\n"})},
        {"CodingInVersionOneZero", "RFC 9112, 6.1",
         upload({.line = "PUT /once/object HTTP/1.0",
                 .more = "Transfer-Encoding: chunked\r\n",
                 .body = "1\r\nb\r\n0\r\n\r\n"})},
        {"ChunkSizeOfNoHex", "RFC 9112, 7.1", chunked("x\r\nb\r\n0\r\n\r\n")},
        {"ChunkSizeWithAPrefix", "RFC 9112, 7.1", chunked("0x1\r\nb\r\n0\r\n\r\n")},
        {"ChunkSizeWithASign", "RFC 9112, 7.1", chunked("+1\r\nb\r\n0\r\n\r\n")},
        {"SpaceBeforeAChunkSize", "RFC 9112, 7.1", chunked(" 1\r\nb\r\n0\r\n\r\n")},
        {"SpaceAfterAChunkSize", "RFC 9112, 7.1", chunked("1 \r\nb\r\n0\r\n\r\n")},
        {"EmptyChunkSize", "RFC 9112, 7.1", chunked("\r\nb\r\n0\r\n\r\n")},
        {"ChunkSizeOver64Bits", "RFC 9112, 7.1", chunked("10000000000000001\r\nb\r\n0\r\n\r\n")},
        {"ChunkLongerThanItsSize", "RFC 9112, 7.1", chunked("1\r\nbb\r\n0\r\n\r\n")},
        {"ChunkExtensionOfNoToken", "RFC 9112, 7.1.1", chunked("1;(\r\nb\r\n0\r\n\r\n")},
        {"ChunkExtensionWithAControlByte", "RFC 9112, 7.1.1",
         chunked("1;a=" + kControl + "\r\nb\r\n0\r\n\r\n")},
        {"ChunkExtensionWithAnOpenQuote", "RFC 9112, 7.1.1", chunked("1;a=\"b\r\nb\r\n0\r\n\r\n")},
        {"TrailerWithoutAColon", "RFC 9112, 7.1.2", chunked("1\r\nb\r\n0\r\nX-More\r\n\r\n")},
        {"TrailerWithASpaceBeforeTheColon", "RFC 9112, 7.1.2", chunked("1\r\nb\r\n0\r\nX-More : 1\r\n\r\n")},
        {"TrailerWithAControlByte", "RFC 9110, 5.5",
         chunked("1\r\nb\r\n0\r\nX-More: " + kControl + "\r\n\r\n")},
        // Readiness
        {"ReadinessWithABody", "PROTOCOL: GET /ready",
         "GET /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nb"},
        {"ReadinessWithChunks", "PROTOCOL: GET /ready",
         "GET /ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        {"ReadinessWithoutAHost", "RFC 9112, 3.2", "GET /ready HTTP/1.1\r\n\r\n"},
        {"ReadinessWithTwoHosts", "RFC 9112, 3.2", "GET /ready HTTP/1.1\r\nHost: x\r\nHost: x\r\n\r\n"},
        {"ReadinessWithAControlByte", "RFC 9110, 5.5",
         "GET /ready HTTP/1.1\r\nHost: x\r\nX-More: " + kControl + "\r\n\r\n"},
    };
}

std::string bareLineFeeds(std::string text) {
    for (std::size_t at = 0; (at = text.find("\r\n", at)) != text.npos; ++at) text.erase(at, 1);
    return text;
}

std::vector<Form> allowedForms() {
    return {
        {"UsualRead", "PROTOCOL", read({})},
        {"UsualWrite", "PROTOCOL", upload({.more = "Content-Length: 1\r\n", .body = "b"})},
        {"BareLineFeeds", "RFC 9112, 2.2", bareLineFeeds(read({}))},
        {"EmptyLinesBeforeTheRequest", "RFC 9112, 2.2", "\r\n\r\n" + read({})},
        {"NamesInOtherCase", "RFC 9110, 5.1", replaced("X-Plan", "x-pLAN")},
        {"NoSpaceAfterTheColon", "RFC 9112, 5.1", replaced("X-Plan: open", "X-Plan:open")},
        {"SpacesAndTabsAroundAValue", "RFC 9112, 5.1", replaced("Plan: open", "Plan: \t open \t ")},
        {"TabWithinAValue", "RFC 9110, 5.5", with("X-More: a\tb")},
        {"BytesOver127InAValue", "RFC 9110, 5.5", with("X-More: \xc3\xa9")},
        {"EmptyValue", "RFC 9110, 5.5", with("X-More:")},
        {"ListFieldTwice", "RFC 9110, 5.3", with("Accept: a/b\r\nAccept: c/d")},
        {"UnknownFieldTwice", "RFC 9110, 5.3", with("X-More: 1\r\nX-More: 1")},
        {"HostWithAPort", "RFC 9112, 3.2", host("service.internal:8080")},
        {"HostWithAnEmptyPort", "RFC 3986, 3.2.3", host("service.internal:")},
        {"HostOfVersionSix", "RFC 9112, 3.2", host("[::1]:8080")},
        {"HostWithAnEscape", "RFC 3986, 3.2.2", host("service%2dinternal")},
        {"QueryInTheTarget", "RFC 9112, 3.2.1", target("/read/object?a=1&b=/c?d")},
        {"EscapesAndMarksInTheTarget", "RFC 3986, 3.3", target("/read/%20a:b@c!$&'()*+,;=~-._")},
        {"ClassAloneInTheTarget", "PROTOCOL: the first part of the path", target("/read")},
        {"VersionOneZero", "RFC 9112, 2.3", read({.line = "GET /read/object HTTP/1.0"})},
        {"ReadOfLengthZero", "RFC 9110, 8.6", read({.more = "Content-Length: 0\r\n"})},
        {"IoInOtherOrder", "PROTOCOL: X-IO",
         replaced("volume=00000003b4d60021,units=2,shard=0,hosts=1",
                  "hosts=1, shard=0, units=2, volume=00000003B4D60021")},
        {"MarkedAsRetried", "PROTOCOL: X-Retried", with("X-Retried: 1")},
        {"OtherCookies", "RFC 6265, 4.2",
         replaced("block=7f3a9c21e0b4d655", "a=b; block=7f3a9c21e0b4d655; c=d")},
        {"Chunks", "RFC 9112, 7.1", chunked("1\r\nb\r\n2\r\ncd\r\n0\r\n\r\n")},
        {"ChunkedInOtherCase", "RFC 9112, 7",
         upload({.more = "transfer-encoding: Chunked\r\n", .body = "1\r\nb\r\n0\r\n\r\n"})},
        {"ChunkSizeWithZeros", "RFC 9112, 7.1", chunked("0001\r\nb\r\n000\r\n\r\n")},
        {"ChunkExtensions", "RFC 9112, 7.1.1", chunked("1;a;b=c ; d = \"e;\\\"f\"\r\nb\r\n0;last\r\n\r\n")},
        {"Trailer", "RFC 9112, 7.1.2", chunked("1\r\nb\r\n0\r\nX-More: 1\r\n\r\n")},
        {"WriteOfNoLength", "RFC 9112, 6.3", upload({})},
        {"ExpectationOfAnotherKind", "RFC 9110, 10.1.1", with("Expect: other")},
    };
}

// One scheduler for all forms: what one leaves behind would show at the next.
class RequestForms : public PlatformTest {
  protected:
    static std::string withId(std::string text, std::size_t number) {
        for (std::size_t at = 0; (at = text.find(": ID\r", at)) != text.npos; ++at)
            text.replace(at, 4, ": id-" + std::to_string(number));
        for (std::size_t at = 0; (at = text.find(": ID\n", at)) != text.npos; ++at)
            text.replace(at, 4, ": id-" + std::to_string(number));
        return text;
    }
};

TEST_F(RequestForms, NoneThatIsUnsoundIsPassedOn) {
    startUntilReady();
    disk->onRequest = [](AcceptedConnection& t) { t.send(okResponse("x")); };
    std::size_t number = 0;
    for (const auto& form : unsoundForms()) {
        const auto passedOn = disk->requests();
        auto c = client();
        c->send(withId(form.text, ++number));
        runLoopUntil([&] { return c->closed || c->status() == 200; });
        EXPECT_TRUE(c->closed) << form.name << ": " << form.source;
        EXPECT_GE(c->status(), 400) << form.name << ": " << form.source;
        EXPECT_LT(c->status(), 500) << form.name << ": " << form.source;
        EXPECT_EQ(disk->requests(), passedOn) << form.name << ": " << form.source;
    }
}

TEST_F(RequestForms, EachThatIsAllowedIsServed) {
    startUntilReady();
    disk->onRequest = [](AcceptedConnection& t) { t.send(okResponse("x")); };
    std::size_t number = 0;
    for (const auto& form : allowedForms()) {
        auto c = client();
        c->send(withId(form.text, ++number));
        EXPECT_TRUE(runLoopUntil([&] { return c->answered(); })) << form.name << ": " << form.source;
        EXPECT_EQ(c->status(), 200) << form.name << ": " << form.source << "\n" << c->got;
    }
}

}  // namespace
}  // namespace spokewheel::platform::testing
