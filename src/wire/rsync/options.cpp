#include "wire/rsync/options.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace spokewheel::wire::rsync {

std::vector<std::string> splitWords(std::string_view text) {
    std::vector<std::string> out;
    while (!text.empty()) {
        const auto space = std::min(text.find(' '), text.size());
        if (space) out.emplace_back(text.substr(0, space));
        text.remove_prefix(std::min(space + 1, text.size()));
    }
    return out;
}

std::optional<Greeting> parseGreeting(std::string_view line) {
    constexpr std::string_view kPrefix = "@RSYNCD: ";
    if (line.substr(0, kPrefix.size()) != kPrefix) return std::nullopt;
    auto parts = splitWords(line.substr(kPrefix.size()));
    if (parts.empty()) return std::nullopt;
    Greeting greeting;
    const auto& version = parts[0];
    const auto [end, error] =
        std::from_chars(version.data(), version.data() + version.size(), greeting.protocol);
    if (error != std::errc() || (end != version.data() + version.size() && *end != '.')) return std::nullopt;
    parts.erase(parts.begin());
    greeting.digests = std::move(parts);
    return greeting;
}

std::string formatGreeting(const std::vector<std::string>& digests) {
    std::string out = "@RSYNCD: " + std::to_string(kNewestProtocol) + ".0";
    for (const auto& d : digests) out += " " + d;
    return out + "\n";
}

std::string chooseCommon(const std::vector<std::string>& theirs, const std::vector<std::string>& ours) {
    for (const auto& t : theirs)
        if (std::find(ours.begin(), ours.end(), t) != ours.end()) return t;
    return "";
}

namespace {

// For options that cannot be served: the reason and what to do instead.
const char* const kOwnersNotKept = "owners are not kept here: leave it out";
const std::map<std::string_view, const char*> kAlternatives = {
    {"--append", "files are replaced whole here: leave it out, a changed file goes as a delta"},
    {"--append-verify", "files are replaced whole here: leave it out, a changed file goes as a delta"},
    {"--iconv", "names are kept as the bytes they are: convert them before, or leave it out"},
    {"--old-compress", "zlib is not spoken: use --compress-choice=zstd"},
    {"--new-compress", "zlibx is not spoken: use --compress-choice=zstd"},
    {"--usermap", kOwnersNotKept},
    {"--groupmap", kOwnersNotKept},
    {"--copy-as", kOwnersNotKept},
    {"--fake-super", kOwnersNotKept},
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

// Options that make no difference on this side: it stores no links, owners, devices or holes, new content
// always replaces a file at once, and parent directories exist through their content.
const std::set<std::string_view> kIgnoredOptions = {"--inplace",    "--mkpath",      "--force",
                                                    "--fsync",      "--preallocate", "--open-noatime",
                                                    "--safe-links", "--use-qsort",   "--copy-unsafe-links",
                                                    "--super",      "--munge-links", "--trust-sender"};

std::string describeRefusal(std::string_view option) {
    const auto name = option.substr(0, std::min(option.find('='), option.size()));
    const auto found = kAlternatives.find(name);
    const auto shown = std::string(option.substr(0, 100));
    return "option " + shown + (found == kAlternatives.end() ? "" : " (" + std::string(found->second) + ")");
}

std::string removeBackslashes(std::string_view text) {
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
    bool serverSeen = false, dotSeen = false;

    void parseArgument(const std::string& argument) {
        if (!pendingOption_.empty()) return parseValue(std::exchange(pendingOption_, ""), argument);
        if (dotSeen) return out.options.paths.push_back(argument);
        if (argument == "--server") serverSeen = true;
        else if (argument == ".") dotSeen = true;
        else if (argument.rfind("--", 0) == 0) parseLongOption(argument);
        else if (argument.size() < 2 || argument[0] != '-') fail(argument);
        else parseShortOptions(argument);
    }
    // Applies what depends on more than one option.
    void finish() {
        auto& o = out.options;
        if (!pendingOption_.empty()) fail(pendingOption_);
        if (o.filesFrom) o.directories = true;
        if (o.backup && o.backupSuffix.empty() && o.backupDir.empty()) o.backupSuffix = "~";
        if (o.compressChoice == "none") o.compress = false;
        else if (!o.compressChoice.empty()) {
            o.compress = true;
            if (o.compressChoice != "zstd")
                fail("--compress-choice=" + o.compressChoice + " (zstd is spoken, or none)");
        }
        if (o.removeSourceFiles && o.sender) fail("--remove-source-files (nothing is deleted by a download)");
        if (o.backupSuffix.find('/') != std::string::npos) fail("--suffix=" + o.backupSuffix);
        if (!serverSeen || !dotSeen) out.error = "arguments that are not a server's";
    }

  private:
    // Records the first refused option. The others are still parsed, since the format of the stream depends
    // on them.
    void fail(std::string_view option) {
        if (out.error.empty()) out.error = describeRefusal(option);
    }
    void parseLongOption(const std::string& argument) {
        auto& o = out.options;
        const std::map<std::string_view, bool*> flags = {{"--sender", &o.sender},
                                                         {"--list-only", &o.listOnly},
                                                         {"--size-only", &o.sizeOnly},
                                                         {"--whole-file", &o.wholeFile},
                                                         {"--partial", &o.partial},
                                                         {"--delete", &o.deleteExtraneous},
                                                         {"--delete-during", &o.deleteExtraneous},
                                                         {"--delete-before", &o.deleteExtraneous},
                                                         {"--delete-after", &o.deleteExtraneous},
                                                         {"--delete-delay", &o.deleteExtraneous},
                                                         {"--delete-excluded", &o.deleteExcluded},
                                                         {"--ignore-errors", &o.ignoreErrors},
                                                         {"--remove-source-files", &o.removeSourceFiles},
                                                         {"--ignore-missing-args", &o.ignoreMissingArguments},
                                                         {"--stats", &o.deleteStats},
                                                         {"--from0", &o.from0},
                                                         {"--numeric-ids", &o.numericIds},
                                                         {"--existing", &o.existingOnly},
                                                         {"--ignore-existing", &o.ignoreExisting},
                                                         {"--delay-updates", &o.delayUpdates},
                                                         {"--ignore-times", &o.ignoreTimes}};
        if (const auto found = flags.find(argument); found != flags.end()) {
            *found->second = true;
            if (argument == "--delete-excluded") o.deleteExtraneous = true;
            return;
        }
        if (kIgnoredOptions.count(argument)) return;
        const std::map<std::string_view, bool*> disabling = {
            {"--no-r", &o.recurse},         {"--no-recursive", &o.recurse}, {"--no-R", &o.relative},
            {"--no-relative", &o.relative}, {"--no-d", &o.directories},     {"--no-dirs", &o.directories}};
        if (const auto found = disabling.find(argument); found != disabling.end()) {
            *found->second = false;
            return;
        }
        // The value of these is the next argument.
        if (argument == "--partial-dir" || argument == "--backup-dir" || argument == "--temp-dir") {
            pendingOption_ = argument;
            return;
        }
        const auto equals = argument.find('=');
        if (equals == argument.npos) return fail(argument);
        parseValue(argument.substr(0, equals), argument.substr(equals + 1));
    }
    void parseValue(const std::string& name, const std::string& text) {
        auto& o = out.options;
        const auto whole = name + "=" + text;
        const auto number = [&](long long min, long long max) {
            long long x = 0;
            const char* last = text.data() + text.size();
            const auto [end, error] = std::from_chars(text.data(), last, x);
            if (error != std::errc() || end != last || x < min || x > max) fail(whole);
            return std::clamp(x, min, max);
        };
        constexpr long long kMax = std::numeric_limits<long long>::max();
        if (name == "--timeout") o.timeoutS = static_cast<int>(number(0, 1 << 30));
        else if (name == "--files-from" && text == "-") o.filesFrom = true;
        else if (name == "--max-size") o.maxSize = static_cast<std::uint64_t>(number(0, kMax));
        else if (name == "--min-size") o.minSize = static_cast<std::uint64_t>(number(0, kMax));
        else if (name == "--max-delete")  // -1: delete nothing
            o.maxDelete = static_cast<std::uint64_t>(std::max<long long>(0, number(-1, kMax)));
        else if (name == "--modify-window") o.modifyWindow = static_cast<int>(number(-1, 1 << 30));
        else if (name == "--checksum-seed")
            o.checksumSeed = static_cast<std::int32_t>(number(INT32_MIN, INT32_MAX));
        else if (name == "--compress-level")
            o.compressLevel = static_cast<int>(number(-1 << 17, 22)), o.compress = true;
        else if (name == "--bwlimit")
            o.bytesPerSecond = static_cast<std::uint64_t>(number(0, 1 << 30)) * 1024;
        else if (name == "--checksum-choice") o.checksumChoice = text;
        else if (name == "--compress-choice") o.compressChoice = text;
        else if (name == "--suffix") o.backupSuffix = text;
        else if (name == "--backup-dir") o.backupDir = text;
        else if (name == "--partial-dir" || name == "--temp-dir" || name == "--skip-compress" ||
                 name == "--log-format" || name == "--out-format" || name == "--stop-after" ||
                 name == "--stop-at") {
            // Concerns only the client, or where to keep partial files, which are not kept here.
        } else fail(whole);
    }
    void parseShortOptions(const std::string& argument) {
        auto& o = out.options;
        const std::map<char, bool*> flags = {
            {'r', &o.recurse},      {'d', &o.directories},  {'t', &o.times},
            {'n', &o.dryRun},       {'c', &o.checksum},     {'I', &o.ignoreTimes},
            {'z', &o.compress},     {'W', &o.wholeFile},    {'R', &o.relative},
            {'o', &o.uids},         {'g', &o.gids},         {'l', &o.links},
            {'p', &o.perms},        {'u', &o.update},       {'m', &o.pruneEmptyDirectories},
            {'H', &o.hardLinks},    {'b', &o.backup},       {'s', &o.secludedArguments},
            {'O', &o.omitDirTimes}, {'E', &o.executability}};
        for (std::size_t i = 1; i < argument.size(); ++i) {
            const char c = argument[i];
            if (c == 'e') {  // the rest are capabilities: "e31.14iLsfx" or "e.iLsfx"
                o.capabilities = argument.substr(i + 1);
                return;
            }
            if (c == 'B') {
                const char *first = argument.data() + i + 1, *last = argument.data() + argument.size();
                const auto [end, error] = std::from_chars(first, last, o.blockSize);
                if (error != std::errc() || end != last || o.blockSize < 0 || o.blockSize > kMaxBlockSize)
                    fail(argument);
                return;
            }
            if (c == 'v') ++o.verbose;
            else if (c == 'D') o.devices = o.specials = true;
            // Concerns only the client, or links, holes, file systems and fuzzy matching: ignored.
            else if (std::string_view("iqLkKJxSyh").find(c) != std::string_view::npos) continue;
            else if (const auto found = flags.find(c); found != flags.end()) *found->second = true;
            else fail(std::string("-") + c);
        }
    }
    std::string pendingOption_;  // the option whose value is the next argument
};

}  // namespace

ParsedOptions parseOptions(const std::vector<std::string>& arguments,
                           const std::vector<std::string>& secluded) {
    OptionParser parser;
    for (const auto& a : arguments) parser.parseArgument(parser.dotSeen ? a : removeBackslashes(a));
    for (const auto& a : secluded) parser.parseArgument(a);
    parser.finish();
    return std::move(parser.out);
}

std::uint32_t compatFlags(const Options& o) {
    return (o.hasCapability('f') ? kCompatSafeFileList : 0) |
           (o.hasCapability('C') ? kCompatChecksumSeedFix : 0) |
           (o.hasCapability('v') ? kCompatVarintFlags : 0);
}

// ---------------------------------------------------------------- filter rules
namespace {

// Matches `c` against a bracket expression whose '[' has been consumed, and consumes the rest of it. Returns
// false if it has no end.
bool matchBracket(std::string_view& pattern, char c, bool& hit) {
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

bool wildMatchBounded(std::string_view pattern, std::string_view text, int& stepsLeft) {
    while (!pattern.empty()) {
        if (--stepsLeft < 0) return false;  // a pattern that takes too long matches nothing
        const char c = pattern.front();
        if (c == '*') {
            const bool doubleStar = pattern.size() > 1 && pattern[1] == '*';
            while (!pattern.empty() && pattern.front() == '*') pattern.remove_prefix(1);
            for (std::size_t i = 0;; ++i) {
                if (wildMatchBounded(pattern, text.substr(i), stepsLeft)) return true;
                if (stepsLeft < 0 || i >= text.size() || (!doubleStar && text[i] == '/')) return false;
            }
        }
        if (text.empty()) return false;
        pattern.remove_prefix(1);
        if (c == '?') {
            if (text.front() == '/') return false;
        } else if (c == '[') {
            bool hit = false;
            if (text.front() == '/' || !matchBracket(pattern, text.front(), hit) || !hit) return false;
        } else {
            char expected = c;
            if (c == '\\' && !pattern.empty()) expected = pattern.front(), pattern.remove_prefix(1);
            if (expected != text.front()) return false;
        }
        text.remove_prefix(1);
    }
    return text.empty();
}

}  // namespace

bool wildMatch(std::string_view pattern, std::string_view text) {
    int stepsLeft = 100000;
    return wildMatchBounded(pattern, text, stepsLeft);
}

std::string Filter::add(std::string_view text) {
    if (rules_.size() >= kMaxRules) return "more than " + std::to_string(kMaxRules) + " filter rules";
    if ((totalRuleBytes_ += text.size()) > kMaxRuleBytes) return "filter rules of more than 1 MiB";
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
            case 'p':  // about the content of deleted directories: not used here
            case ',':
                break;
            default:
                return whole;
        }
        text.remove_prefix(1);
    }
    if (text.size() < 2) return whole;
    text.remove_prefix(1);
    // Rules for the other side only, or for extended attributes, are ignored.
    if (attributes || (sender != receiver && sender != (side_ == Side::Sender))) return "";
    if (text.front() == '/') rule.anchored = true, text.remove_prefix(1);
    if (!text.empty() && text.back() == '/') rule.directoryOnly = true, text.remove_suffix(1);
    if (text.empty()) {
        // "/" alone is the top directory, which is never excluded.
        return rule.anchored ? "" : whole;
    }
    rule.pattern = text;
    rule.slashes = static_cast<std::size_t>(std::count(text.begin(), text.end(), '/'));
    rule.hasWildcards = text.find_first_of("*?[") != text.npos;
    rule.hasDoubleStar = text.find("**") != text.npos;
    rule.startsWithDoubleStar = text.substr(0, 2) == "**";
    rule.matchesTree = text.size() > 3 && text.substr(text.size() - 3) == "***";
    rules_.push_back(std::move(rule));
    return "";
}

// Follows the rsync manual: a pattern without a slash or "**" is matched against the last component of the
// name; one with a leading slash against the whole name; one with inner slashes against as many components at
// the end; one with an inner "**" against every trailing part that starts at a component; one that starts
// with "**" against the whole name.
bool Filter::matches(const Rule& rule, std::string_view name, bool directory) const {
    if (rule.directoryOnly && !directory) return false;
    std::string text(name);
    if (rule.slashes == 0 && !rule.hasDoubleStar && !rule.anchored) text.erase(0, text.rfind('/') + 1);
    else if (rule.startsWithDoubleStar && !rule.anchored) text.insert(0, "/");
    if (directory && rule.matchesTree) text += '/';  // "dir/***" also matches the directory itself
    const auto matchesPattern = [&rule](std::string_view candidate) {
        return rule.hasWildcards ? wildMatch(rule.pattern, candidate) : candidate == rule.pattern;
    };
    if (matchesPattern(text)) return true;
    if (rule.anchored || rule.startsWithDoubleStar || (rule.slashes == 0 && !rule.hasDoubleStar))
        return false;
    std::size_t components = rule.hasDoubleStar ? 0 : rule.slashes + 1;
    if (components == 0) {
        for (auto at = text.find('/'); at != text.npos; at = text.find('/', at + 1))
            if (matchesPattern(std::string_view(text).substr(at + 1))) return true;
        return false;
    }
    auto at = text.size();
    for (; components > 0 && at != text.npos && at > 0; --components) at = text.rfind('/', at - 1);
    return components == 0 && at != text.npos && matchesPattern(std::string_view(text).substr(at + 1));
}

bool Filter::excludedByRule(std::string_view name, bool directory) const {
    for (const auto& rule : rules_)
        if (matches(rule, name, directory) != rule.negated) return !rule.include;
    return false;
}

bool Filter::excluded(std::string_view name, bool directory) const {
    if (rules_.empty() || name == ".") return false;
    for (auto slash = name.find('/'); slash != name.npos; slash = name.find('/', slash + 1))
        if (excludedByRule(name.substr(0, slash), true)) return true;
    return excludedByRule(name, directory);
}

}  // namespace spokewheel::wire::rsync
