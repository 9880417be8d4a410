// A second reader of requests, for fuzzing only: written from the grammars of RFC 9110, RFC 9112 and RFC 3986
// and the platform's protocol page, and independent of the one under test. Works on the whole text at once.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace spokewheel::fuzz {

class StrictReader {
  public:
    enum class Verdict { Sound, Unsound, Incomplete };
    // The first request of the text, for a scheduler with one reading class "read", one writing class "once"
    // and the plan "open".
    Verdict read(std::string_view text);

  private:
    using Field = std::pair<std::string, std::string>;  // name in lower case, value
    // The next line without its end; nothing if the text ends before.
    std::optional<std::string> line();
    bool requestLine(const std::string& text);
    std::optional<Field> field(const std::string& text) const;
    bool head() const;
    bool meaning() const;
    Verdict body();
    Verdict chunks();
    std::optional<std::string> one(const std::string& name) const;
    std::size_t count(const std::string& name) const;

    std::string_view rest_;
    std::string method_, target_;
    bool old_ = false;
    std::vector<Field> fields_;
};

}  // namespace spokewheel::fuzz
