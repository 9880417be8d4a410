#include "wire/rsync/options.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <map>
#include <set>
#include <utility>

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

namespace {

// Where an option can't be served, what to do instead.
const char* const kNoOwners = "owners are not kept here: leave it out";
const std::map<std::string_view, const char*> kInstead = {
    {"--append", "files are replaced whole here: leave it out, a changed file goes as a delta"},
    {"--append-verify", "files are replaced whole here: leave it out, a changed file goes as a delta"},
    {"--iconv", "names are kept as the bytes they are: convert them before, or leave it out"},
    {"--old-compress", "zlib is not spoken: use --compress-choice=zstd"},
    {"--new-compress", "zlibx is not spoken: use --compress-choice=zstd"},
    {"--usermap", kNoOwners},
    {"--groupmap", kNoOwners},
    {"--copy-as", kNoOwners},
    {"--fake-super", kNoOwners},
    {"--compare-dest", "there is no second directory to compare with: compare with what is stored"},
    {"--copy-dest", "there is no second directory to copy from: leave it out"},
    {"--link-dest", "hard links are not kept: leave it out, unchanged files are not sent again"},
    {"--write-devices", "there are no devices here"},
    {"--copy-devices", "there are no devices here"},
    {"--delete-missing-args", "name what is to go with --delete"},
    {"-A", "access lists are not kept: leave it out"},
    {"-X", "extended attributes are not kept: leave it out"},
    {"-U", "access times are not kept: leave it out"},
    {"-N", "creation times are not kept: leave it out"},
    {"-C", "write the rules out with --exclude"},
};

// Options that ask for nothing this side would do otherwise: there are no links, owners, devices or holes
// here, new content is shown whole whatever the way, and directories on the way exist by what they hold.
const std::set<std::string_view> kNothingToDo = {"--inplace",    "--mkpath",      "--force",
                                                 "--fsync",      "--preallocate", "--open-noatime",
                                                 "--safe-links", "--use-qsort",   "--copy-unsafe-links",
                                                 "--super",      "--munge-links", "--trust-sender"};

std::string refusal(std::string_view option) {
    const auto name = option.substr(0, std::min(option.find('='), option.size()));
    const auto found = kInstead.find(name);
    const auto shown = std::string(option.substr(0, 100));
    return "option " + shown + (found == kInstead.end() ? "" : " (" + std::string(found->second) + ")");
}

std::string withoutBackslashes(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '\\' && i + 1 < text.size()) ++i;
        out += text[i];
    }
    return out;
}

class OptionParser {
  public:
    ParsedOptions out;
    bool server = false, dot = false;

    void argument(const std::string& a) {
        if (!next_.empty()) return value(std::exchange(next_, ""), a);
        if (dot) return out.options.paths.push_back(a);
        if (a == "--server") server = true;
        else if (a == ".") dot = true;
        else if (a.rfind("--", 0) == 0) longOption(a);
        else if (a.size() < 2 || a[0] != '-') fail(a);
        else letters(a);
    }
    // What depends on more than one option.
    void finish() {
        auto& o = out.options;
        if (!next_.empty()) fail(next_);
        if (o.filesFrom) o.directories = true;
        if (o.backup && o.backupSuffix.empty() && o.backupDir.empty()) o.backupSuffix = "~";
        if (o.compressChoice == "none") o.compress = false;
        else if (!o.compressChoice.empty()) {
            o.compress = true;
            if (o.compressChoice != "zstd")
                fail("--compress-choice=" + o.compressChoice + " (zstd is spoken, or none)");
        }
        if (o.removeSource && o.sender) fail("--remove-source-files (nothing is deleted by a download)");
        if (o.backupSuffix.find('/') != std::string::npos) fail("--suffix=" + o.backupSuffix);
        if (!server || !dot) out.error = "arguments that are not a server's";
    }

  private:
    // The rest is read all the same: what follows in the stream depends on it.
    void fail(std::string_view option) {
        if (out.error.empty()) out.error = refusal(option);
    }
    void longOption(const std::string& a) {
        auto& o = out.options;
        const std::map<std::string_view, bool*> flags = {{"--sender", &o.sender},
                                                         {"--list-only", &o.listOnly},
                                                         {"--size-only", &o.sizeOnly},
                                                         {"--whole-file", &o.wholeFile},
                                                         {"--partial", &o.partial},
                                                         {"--delete", &o.remove},
                                                         {"--delete-during", &o.remove},
                                                         {"--delete-before", &o.remove},
                                                         {"--delete-after", &o.remove},
                                                         {"--delete-delay", &o.remove},
                                                         {"--delete-excluded", &o.removeExcluded},
                                                         {"--ignore-errors", &o.ignoreErrors},
                                                         {"--remove-source-files", &o.removeSource},
                                                         {"--ignore-missing-args", &o.ignoreMissing},
                                                         {"--stats", &o.deleteStats},
                                                         {"--from0", &o.from0},
                                                         {"--numeric-ids", &o.numericIds},
                                                         {"--existing", &o.existing},
                                                         {"--ignore-existing", &o.ignoreExisting},
                                                         {"--delay-updates", &o.delayUpdates},
                                                         {"--ignore-times", &o.ignoreTimes}};
        if (const auto found = flags.find(a); found != flags.end()) {
            *found->second = true;
            if (a == "--delete-excluded") o.remove = true;
            return;
        }
        if (kNothingToDo.count(a)) return;
        const std::map<std::string_view, bool*> off = {
            {"--no-r", &o.recurse},         {"--no-recursive", &o.recurse}, {"--no-R", &o.relative},
            {"--no-relative", &o.relative}, {"--no-d", &o.directories},     {"--no-dirs", &o.directories}};
        if (const auto found = off.find(a); found != off.end()) {
            *found->second = false;
            return;
        }
        // These two have their value in the next argument.
        if (a == "--partial-dir" || a == "--backup-dir" || a == "--temp-dir") {
            next_ = a;
            return;
        }
        const auto equals = a.find('=');
        if (equals == a.npos) return fail(a);
        value(a.substr(0, equals), a.substr(equals + 1));
    }
    void value(const std::string& name, const std::string& text) {
        auto& o = out.options;
        const auto whole = name + "=" + text;
        const auto number = [&](long long least, long long most) {
            long long x = 0;
            const char* last = text.data() + text.size();
            const auto [end, error] = std::from_chars(text.data(), last, x);
            if (error != std::errc() || end != last || x < least || x > most) fail(whole);
            return std::clamp(x, least, most);
        };
        constexpr long long kMost = std::numeric_limits<long long>::max();
        if (name == "--timeout") o.timeoutS = static_cast<int>(number(0, 1 << 30));
        else if (name == "--files-from" && text == "-") o.filesFrom = true;
        else if (name == "--max-size") o.maxSize = static_cast<std::uint64_t>(number(0, kMost));
        else if (name == "--min-size") o.minSize = static_cast<std::uint64_t>(number(0, kMost));
        else if (name == "--max-delete")  // -1 stands for none at all
            o.maxDelete = static_cast<std::uint64_t>(std::max<long long>(0, number(-1, kMost)));
        else if (name == "--modify-window") o.modifyWindow = static_cast<int>(number(-1, 1 << 30));
        else if (name == "--checksum-seed")
            o.checksumSeed = static_cast<std::int32_t>(number(INT32_MIN, INT32_MAX));
        else if (name == "--compress-level")
            o.compressLevel = static_cast<int>(number(-1 << 17, 22)), o.compress = true;
        else if (name == "--bwlimit") o.bytesPerS = static_cast<std::uint64_t>(number(0, 1 << 30)) * 1024;
        else if (name == "--checksum-choice") o.checksumChoice = text;
        else if (name == "--compress-choice") o.compressChoice = text;
        else if (name == "--suffix") o.backupSuffix = text;
        else if (name == "--backup-dir") o.backupDir = text;
        else if (name == "--partial-dir" || name == "--temp-dir" || name == "--skip-compress" ||
                 name == "--log-format" || name == "--out-format" || name == "--stop-after" ||
                 name == "--stop-at") {
            // The client's own affair, or a place for what is not kept in parts here.
        } else fail(whole);
    }
    void letters(const std::string& a) {
        auto& o = out.options;
        const std::map<char, bool*> flags = {
            {'r', &o.recurse},  {'d', &o.directories}, {'t', &o.times},        {'n', &o.dryRun},
            {'c', &o.checksum}, {'I', &o.ignoreTimes}, {'z', &o.compress},     {'W', &o.wholeFile},
            {'R', &o.relative}, {'o', &o.uids},        {'g', &o.gids},         {'l', &o.links},
            {'p', &o.perms},    {'u', &o.update},      {'m', &o.pruneEmpty},   {'H', &o.hardLinks},
            {'b', &o.backup},   {'s', &o.secluded},    {'O', &o.omitDirTimes}, {'E', &o.executability}};
        for (std::size_t i = 1; i < a.size(); ++i) {
            const char c = a[i];
            if (c == 'e') {  // the rest are capabilities: "e31.14iLsfx" or "e.iLsfx"
                o.capabilities = a.substr(i + 1);
                return;
            }
            if (c == 'B') {
                const char *first = a.data() + i + 1, *last = a.data() + a.size();
                const auto [end, error] = std::from_chars(first, last, o.blockSize);
                if (error != std::errc() || end != last || o.blockSize < 0 || o.blockSize > kMostBlockSize)
                    fail(a);
                return;
            }
            if (c == 'v') ++o.verbose;
            else if (c == 'D') o.devices = o.specials = true;
            // Said by the client, or about links, holes, file systems and similar names: nothing to do here.
            else if (std::string_view("iqLkKJxSyh").find(c) != std::string_view::npos) continue;
            else if (const auto found = flags.find(c); found != flags.end()) *found->second = true;
            else fail(std::string("-") + c);
        }
    }
    std::string next_;  // option whose value comes next
};

}  // namespace

ParsedOptions parseOptions(const std::vector<std::string>& arguments, const std::vector<std::string>& more) {
    OptionParser parser;
    for (const auto& a : arguments) parser.argument(parser.dot ? a : withoutBackslashes(a));
    for (const auto& a : more) parser.argument(a);
    parser.finish();
    return std::move(parser.out);
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
    const std::string whole = "filter rule '" + std::string(text.substr(0, 200)) + "'";
    if (text == "!") {
        rules_.clear();
        return "";
    }
    if (!text.empty() && (text[0] == ':' || text[0] == '.'))
        return whole + " (merge files are not read here: write the rules out with --exclude)";
    if (text.size() < 3 || (text[0] != '+' && text[0] != '-')) return whole;
    Rule rule;
    rule.include = text[0] == '+';
    text.remove_prefix(1);
    bool sender = false, receiver = false, attributes = false;
    while (!text.empty() && text.front() != ' ' && text.front() != '_') {
        switch (text.front()) {
            case '/':
                rule.anchored = true;
                break;
            case '!':
                rule.negated = true;
                break;
            case 's':
                sender = true;
                break;
            case 'r':
                receiver = true;
                break;
            case 'x':
                attributes = true;
                break;
            case 'p':  // for directories that go: nothing here asks
            case ',':
                break;
            default:
                return whole;
        }
        text.remove_prefix(1);
    }
    if (text.size() < 2) return whole;
    text.remove_prefix(1);
    // A rule for the other side alone, or for attributes, that this side has no use for.
    if (attributes || (sender != receiver && sender != (side_ == Side::Sender))) return "";
    if (text.front() == '/') rule.anchored = true, text.remove_prefix(1);
    if (!text.empty() && text.back() == '/') rule.directoryOnly = true, text.remove_suffix(1);
    if (text.empty()) {
        // "/" alone names the top, which no rule takes away.
        return rule.anchored ? "" : whole;
    }
    rule.pattern = text;
    rule.slashes = static_cast<std::size_t>(std::count(text.begin(), text.end(), '/'));
    rule.wild = text.find_first_of("*?[") != text.npos;
    rule.deep = text.find("**") != text.npos;
    rule.deepFirst = text.substr(0, 2) == "**";
    rule.tree = text.size() > 3 && text.substr(text.size() - 3) == "***";
    rules_.push_back(std::move(rule));
    return "";
}

// As the manual has it: without a slash or "**" a pattern is held against the last part of the name; with a
// leading slash against the whole; with slashes inside against as many parts at the end; with "**" inside
// against the end from any part on; one that begins with "**" against the whole.
bool Filter::matches(const Rule& r, std::string_view name, bool directory) const {
    if (r.directoryOnly && !directory) return false;
    std::string text(name);
    if (r.slashes == 0 && !r.deep && !r.anchored) text.erase(0, text.rfind('/') + 1);
    else if (r.deepFirst && !r.anchored) text.insert(0, "/");
    if (directory && r.tree) text += '/';  // "dir/***" is the directory, too
    const auto hit = [&r](std::string_view part) {
        return r.wild ? wildMatch(r.pattern, part) : part == r.pattern;
    };
    if (hit(text)) return true;
    if (r.anchored || r.deepFirst || (r.slashes == 0 && !r.deep)) return false;
    std::size_t parts = r.deep ? 0 : r.slashes + 1;
    if (parts == 0) {
        for (auto at = text.find('/'); at != text.npos; at = text.find('/', at + 1))
            if (hit(std::string_view(text).substr(at + 1))) return true;
        return false;
    }
    auto at = text.size();
    for (; parts > 0 && at != text.npos && at > 0; --parts) at = text.rfind('/', at - 1);
    return parts == 0 && at != text.npos && hit(std::string_view(text).substr(at + 1));
}

bool Filter::excludedItself(std::string_view name, bool directory) const {
    for (const auto& r : rules_)
        if (matches(r, name, directory) != r.negated) return !r.include;
    return false;
}

bool Filter::excluded(std::string_view name, bool directory) const {
    if (rules_.empty() || name == ".") return false;
    for (auto slash = name.find('/'); slash != name.npos; slash = name.find('/', slash + 1))
        if (excludedItself(name.substr(0, slash), true)) return true;
    return excludedItself(name, directory);
}

}  // namespace spokewheel::wire::rsync
