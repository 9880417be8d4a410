#include "fronts/http/check_request.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include "wire/http/grammar.hpp"

namespace spokewheel::fronts::http {
namespace {

using wire::http::Head;
using wire::http::RequestRule;

// Fields of requests whose definition allows one value: of RFC 9110, RFC 6265 and the protocol page.
constexpr std::array<std::string_view, 20> kSingleFields = {"Authorization",
                                                            "Content-Location",
                                                            "Content-Type",
                                                            "Cookie",
                                                            "Date",
                                                            "From",
                                                            "If-Modified-Since",
                                                            "If-Range",
                                                            "If-Unmodified-Since",
                                                            "Max-Forwards",
                                                            "Proxy-Authorization",
                                                            "Range",
                                                            "Referer",
                                                            "User-Agent",
                                                            "X-IO",
                                                            "X-Plan",
                                                            "X-Priority-Class",
                                                            "X-Request-ID",
                                                            "X-Timeout-Ms",
                                                            "X-Retried"};

std::size_t countOf(const Head& head, std::string_view name) {
    return static_cast<std::size_t>(
        std::count_if(head.fields.begin(), head.fields.end(),
                      [name](const auto& field) { return wire::http::equalsIgnoreCase(field.first, name); }));
}

bool repeatsSingleField(const Head& head) {
    return std::any_of(kSingleFields.begin(), kSingleFields.end(),
                       [&head](std::string_view name) { return countOf(head, name) > 1; });
}

}  // namespace

std::optional<RequestRule> violatedRule(const Head& head) {
    if (head.method != "GET" && head.method != "PUT") return RequestRule::Method;
    if (!wire::http::isOriginForm(head.target)) return RequestRule::Target;
    const auto* host = head.find("Host");
    if (!host || countOf(head, "Host") > 1 || !wire::http::isHost(*host)) return RequestRule::Host;
    if (repeatsSingleField(head)) return RequestRule::RepeatedField;
    if (head.method == "GET" && announcesBody(head)) return RequestRule::BodyOfRead;
    return std::nullopt;
}

bool announcesBody(const Head& head) {
    if (head.find("Transfer-Encoding")) return true;
    const auto* length = head.find("Content-Length");
    return length && length->find_first_not_of('0') != std::string::npos;
}

}  // namespace spokewheel::fronts::http
