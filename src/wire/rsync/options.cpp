#include "wire/rsync/options.hpp"

#include <algorithm>
#include <charconv>
#include <map>

namespace spokewheel::wire::rsync {

std::vector<std::string> words(std::string_view text) {
    std::vector<std::string> out;
    while (!text.empty()) {
        const auto space = std::min(text.find(' '), text.size());
        if (space) out.emplace_back(text.substr(0, space));
        text.remove_prefix(std::min(space + 1, text.size()));
    }
    return out;
}

std::optional<Greeting> parseGreeting(std::string_view line) {
    constexpr std::string_view kMark = "@RSYNCD: ";
    if (line.substr(0, kMark.size()) != kMark) return std::nullopt;
    auto parts = words(line.substr(kMark.size()));
    if (parts.empty()) return std::nullopt;
    Greeting g;
    const auto& v = parts[0];
    const auto [end, error] = std::from_chars(v.data(), v.data() + v.size(), g.protocol);
    if (error != std::errc() || (end != v.data() + v.size() && *end != '.')) return std::nullopt;
    parts.erase(parts.begin());
    g.digests = std::move(parts);
    return g;
}

std::string greeting(const std::vector<std::string>& digests) {
    std::string out = "@RSYNCD: " + std::to_string(kNewestProtocol) + ".0";
    for (const auto& d : digests) out += " " + d;
    return out + "\n";
}

std::string choose(const std::vector<std::string>& theirs, const std::vector<std::string>& ours) {
    for (const auto& t : theirs)
        if (std::find(ours.begin(), ours.end(), t) != ours.end()) return t;
    return "";
}

ParsedOptions parseOptions(const std::vector<std::string>& arguments) {
    ParsedOptions out;
    auto& o = out.options;
    const std::map<std::string_view, bool*> flags = {
        {"--sender", &o.sender},           {"--list-only", &o.listOnly},   {"--size-only", &o.sizeOnly},
        {"--whole-file", &o.wholeFile},    {"--partial", &o.partial},      {"--delete", &o.remove},
        {"--delete-during", &o.remove},    {"--delete-before", &o.remove}, {"--delete-after", &o.remove},
        {"--delete-delay", &o.remove},     {"--stats", &o.deleteStats},    {"--from0", &o.from0},
        {"--ignore-times", &o.ignoreTimes}};
    const std::map<char, bool*> letters = {{'r', &o.recurse},  {'d', &o.directories}, {'t', &o.times},
                                           {'n', &o.dryRun},   {'c', &o.checksum},    {'I', &o.ignoreTimes},
                                           {'z', &o.compress}, {'W', &o.wholeFile},   {'R', &o.relative},
                                           {'o', &o.uids},     {'g', &o.gids},        {'l', &o.links},
                                           {'p', &o.perms}};
    bool server = false, dot = false;
    std::string first;
    for (const auto& a : arguments) {
        if (dot) {
            o.paths.push_back(a);
            continue;
        }
        if (a == "--server") server = true;
        else if (a == ".") dot = true;
        else if (const auto found = flags.find(a); found != flags.end()) *found->second = true;
        else if (a == "--files-from=-") o.filesFrom = true;
        else if (a.rfind("--timeout=", 0) == 0) {
            const char* last = a.data() + a.size();
            const auto [end, error] = std::from_chars(a.data() + 10, last, o.timeoutS);
            if (error != std::errc() || end != last || o.timeoutS < 0) out.error = "option " + a;
        } else if (a.rfind("--log-format=", 0) == 0 || a.rfind("--out-format=", 0) == 0) {
            // What the client prints of each file; nothing to do on this side.
        } else if (a.rfind("--", 0) == 0 || a.size() < 2 || a[0] != '-') out.error = "option " + a;
        else
            for (std::size_t i = 1; i < a.size(); ++i) {
                const char c = a[i];
                if (c == 'e') {  // the rest are capabilities: "e31.14iLsfx" or "e.iLsfx"
                    o.capabilities = a.substr(i + 1);
                    break;
                }
                if (c == 'v') ++o.verbose;
                else if (c == 'i') continue;  // itemize: printed by the client
                else if (c == 'D') o.devices = o.specials = true;
                else if (const auto found = letters.find(c); found != letters.end()) *found->second = true;
                else if (out.error.empty()) out.error = std::string("option -") + c;
            }
        // The rest is read all the same: what follows in the stream depends on it.
        if (!out.error.empty() && first.empty()) first = std::move(out.error);
        out.error.clear();
    }
    out.error = std::move(first);
    if (!server || !dot) out.error = "arguments that are not a server's";
    return out;
}

std::uint32_t compatFlags(const Options& o) {
    return (o.can('f') ? kSafeList : 0) | (o.can('C') ? kSeedFix : 0) | (o.can('v') ? kVarintFlags : 0);
}

// ---------------------------------------------------------------- filter rules
namespace {

bool inSet(std::string_view& pattern, char c, bool& hit) {  // pattern is behind '['; false: no end
    bool negate = false;
    hit = false;
    std::size_t i = 0;
    if (i < pattern.size() && (pattern[i] == '!' || pattern[i] == '^')) negate = true, ++i;
    for (bool first = true; i < pattern.size(); first = false, ++i) {
        if (pattern[i] == ']' && !first) {
            pattern.remove_prefix(i + 1);
            hit = hit != negate;
            return true;
        }
        if (pattern[i] == '\\' && i + 1 < pattern.size()) ++i;
        const char low = pattern[i];
        char high = low;
        if (i + 2 < pattern.size() && pattern[i + 1] == '-' && pattern[i + 2] != ']') {
            high = pattern[i + 2];
            i += 2;
        }
        if (c >= low && c <= high) hit = true;
    }
    return false;
}

bool wild(std::string_view p, std::string_view t, int& steps) {
    while (!p.empty()) {
        if (--steps < 0) return false;  // a pattern made to run for long matches nothing
        const char c = p.front();
        if (c == '*') {
            const bool deep = p.size() > 1 && p[1] == '*';
            while (!p.empty() && p.front() == '*') p.remove_prefix(1);
            for (std::size_t i = 0;; ++i) {
                if (wild(p, t.substr(i), steps)) return true;
                if (steps < 0 || i >= t.size() || (!deep && t[i] == '/')) return false;
            }
        }
        if (t.empty()) return false;
        p.remove_prefix(1);
        if (c == '?') {
            if (t.front() == '/') return false;
        } else if (c == '[') {
            bool hit = false;
            if (t.front() == '/' || !inSet(p, t.front(), hit) || !hit) return false;
        } else {
            char want = c;
            if (c == '\\' && !p.empty()) want = p.front(), p.remove_prefix(1);
            if (want != t.front()) return false;
        }
        t.remove_prefix(1);
    }
    return t.empty();
}

}  // namespace

bool wildMatch(std::string_view pattern, std::string_view text) {
    int steps = 100000;
    return wild(pattern, text, steps);
}

std::string Filter::add(std::string_view text) {
    if (rules_.size() >= kMostRules) return "more than " + std::to_string(kMostRules) + " filter rules";
    if ((bytes_ += text.size()) > kMostBytes) return "filter rules of more than 1 MiB";
    const std::string whole(text);
    if (text == "!") {
        rules_.clear();
        return "";
    }
    if (text.size() < 3 || (text[0] != '+' && text[0] != '-')) return "filter rule '" + whole + "'";
    Rule rule;
    rule.include = text[0] == '+';
    text.remove_prefix(1);
    while (!text.empty() && text.front() != ' ' && text.front() != '_') {
        const char modifier = text.front();
        if (modifier == '/') rule.anchored = true;
        else if (modifier != 's' && modifier != 'r' && modifier != 'p' && modifier != ',')
            return "filter rule '" + whole + "'";
        text.remove_prefix(1);
    }
    if (text.size() < 2) return "filter rule '" + whole + "'";
    text.remove_prefix(1);
    if (text.front() == '/') rule.anchored = true, text.remove_prefix(1);
    if (!text.empty() && text.back() == '/') rule.directoryOnly = true, text.remove_suffix(1);
    if (text.empty()) return "filter rule '" + whole + "'";
    rule.pattern = text;
    rule.path = text.find('/') != text.npos || text.find("**") != text.npos;
    rules_.push_back(std::move(rule));
    return "";
}

bool Filter::excludedItself(std::string_view name, bool directory) const {
    const auto base = name.substr(name.rfind('/') + 1);
    for (const auto& r : rules_) {
        if (r.directoryOnly && !directory) continue;
        bool hit = false;
        if (r.anchored) hit = wildMatch(r.pattern, name);
        else if (!r.path) hit = wildMatch(r.pattern, base);
        else  // the pattern may begin at any part of the name
            for (std::size_t at = 0; !hit && at != name.npos;) {
                hit = wildMatch(r.pattern, name.substr(at));
                const auto slash = name.find('/', at);
                at = slash == name.npos ? name.npos : slash + 1;
            }
        if (hit) return !r.include;
    }
    return false;
}

bool Filter::excluded(std::string_view name, bool directory) const {
    if (rules_.empty() || name == ".") return false;
    for (auto slash = name.find('/'); slash != name.npos; slash = name.find('/', slash + 1))
        if (excludedItself(name.substr(0, slash), true)) return true;
    return excludedItself(name, directory);
}

}  // namespace spokewheel::wire::rsync
