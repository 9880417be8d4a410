// Compares the reader of clients' requests with an independent strict one: what one takes for a sound request
// the other does, however the input is split.
#include <cstdio>
#include <cstdlib>
#include <string>

#include "fronts/http/request_reader.hpp"
#include "fuzz/driver.hpp"
#include "fuzz/strict_reader.hpp"

using namespace spokewheel;
using fronts::http::ReceivedRequest;
using fronts::http::RequestReader;

namespace {

// Longer inputs may pass the limits of heads, which the second reader does not know.
constexpr std::size_t kMaxInputBytes = 8000;

Settings testSettings() {
    Settings settings;
    settings.classes.resize(2);
    settings.classes[0].name = "read";
    settings.classes[1].name = "once";
    settings.classes[1].writes = true;
    settings.classesTellWrites = true;
    settings.plans.resize(1);
    settings.plans[0].name = "open";
    return settings;
}

// The first request of the text, read in steps; nothing if it is not complete.
std::optional<ReceivedRequest::Kind> readFirst(std::string_view text, std::size_t step) {
    static const auto settings = testSettings();
    RequestReader reader(settings);
    for (std::size_t at = 0; at < text.size(); at += step) {
        auto bytes = text.substr(at, step);
        for (;;) {
            const auto result = reader.next(bytes, 0);
            if (result == RequestReader::Result::Complete) return reader.queue().front().kind;
            if (result == RequestReader::Result::NeedMemory) reader.decide(true);
            else if (bytes.empty()) break;
        }
    }
    return std::nullopt;
}

[[noreturn]] void report(const char* what, std::string_view text) {
    std::fprintf(stderr, "%s:\n%.*s\n", what, static_cast<int>(text.size()), text.data());
    std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text(reinterpret_cast<const char*>(data), std::min(size, kMaxInputBytes));
    const auto kind = readFirst(text, text.size() + 1);
    if (readFirst(text, 1) != kind || readFirst(text, 7) != kind) report("depends on how it is split", text);
    const bool accepted =
        kind == ReceivedRequest::Kind::Valid || kind == ReceivedRequest::Kind::ReadinessCheck;
    const auto verdict = fuzz::StrictReader().read(text);
    if (accepted && verdict != fuzz::StrictReader::Verdict::Sound) report("accepted, but unsound", text);
    if (!accepted && verdict == fuzz::StrictReader::Verdict::Sound) report("not accepted, but sound", text);
    return 0;
}
