// What a client asks for in the lines and arguments before the stream: greeting, module, options, negotiated
// names. No I/O; each refusal names what it refuses.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spokewheel::wire::rsync {

constexpr int kNewestProtocol = 32, kOldestProtocol = 30;
constexpr int kMostBlockSize = 1 << 17;
constexpr std::size_t kMostLine = 1024, kMostArgument = 8192, kMostArguments = 256,
                      kMostArgumentBytes = 64 * 1024;

struct Greeting {
    int protocol = 0;
    std::vector<std::string> digests;  // for authentication, best first; empty: an older client
};
// "@RSYNCD: 31.0 sha512 md5"; nothing where it is none.
std::optional<Greeting> parseGreeting(std::string_view line);
std::string greeting(const std::vector<std::string>& digests);
// The first of theirs that is one of ours; empty where there is none.
std::string choose(const std::vector<std::string>& theirs, const std::vector<std::string>& ours);
std::vector<std::string> words(std::string_view text);

struct Options {
    bool sender = false;    // this side sends: the client pulls
    bool secluded = false;  // more arguments follow in a list of their own
    // What is transferred.
    bool recurse = false, directories = false, relative = false, filesFrom = false, from0 = false,
         listOnly = false, pruneEmpty = false, ignoreMissing = false;
    // Which of it is wanted where something is there already.
    bool checksum = false, ignoreTimes = false, sizeOnly = false, update = false, existing = false,
         ignoreExisting = false;
    int modifyWindow = 0;  // seconds; -1: nanoseconds count
    std::optional<std::uint64_t> minSize, maxSize;
    // How.
    bool dryRun = false, compress = false, wholeFile = false, partial = false, delayUpdates = false;
    int compressLevel = 3, blockSize = 0;
    std::uint64_t bytesPerS = 0;                 // 0: as fast as it goes
    std::string checksumChoice, compressChoice;  // named by the client, so that neither side sends a list
    std::int32_t checksumSeed = 0;
    // What is kept of it.
    bool times = false, omitDirTimes = false, perms = false, executability = false, uids = false,
         gids = false, links = false, devices = false, specials = false, hardLinks = false,
         numericIds = false;  // no names of owners follow the list
    // What goes.
    bool remove = false, removeExcluded = false, ignoreErrors = false, removeSource = false,
         deleteStats = false;
    std::optional<std::uint64_t> maxDelete;
    bool backup = false;
    std::string backupSuffix, backupDir;

    int verbose = 0;
    int timeoutS = 0;
    std::string capabilities;  // letters the client sent with -e.
    std::vector<std::string> paths;
    bool can(char letter) const { return capabilities.find(letter) != std::string::npos; }
};
struct ParsedOptions {
    Options options;
    std::string error;  // names the option; empty where all is understood
};
// `arguments` as they came; those of a secluded list (`more`, without its first, the program's name) are
// taken as they are, the others lose the backslashes that the client puts before what a shell would read.
ParsedOptions parseOptions(const std::vector<std::string>& arguments,
                           const std::vector<std::string>& more = {});

// What this side answers to the capabilities (compat flags), and what follows from it.
constexpr std::uint32_t kSafeList = 1u << 3, kSeedFix = 1u << 5, kVarintFlags = 1u << 7;
std::uint32_t compatFlags(const Options& options);

// Include and exclude rules as a client sends them; the first that matches decides. A rule may be for one
// side alone: what the sender hides, or what the receiver protects from deletion.
class Filter {
  public:
    enum class Side { Sender, Receiver };
    explicit Filter(Side side) : side_(side) {}
    // Empty, or why the rule can't be used.
    std::string add(std::string_view rule);
    // Names are relative to the top of the transfer. A directory above that is excluded excludes too.
    bool excluded(std::string_view name, bool directory) const;
    std::size_t size() const { return rules_.size(); }
    static constexpr std::size_t kMostRules = 10000, kMostBytes = 1 << 20;

  private:
    struct Rule {
        std::string pattern;
        bool include = false, anchored = false, directoryOnly = false, negated = false;
        bool wild = false, deep = false;       // has wildcards; has "**"
        bool deepFirst = false, tree = false;  // begins with "**"; ends with "/***"
        std::size_t slashes = 0;
    };
    bool matches(const Rule& rule, std::string_view name, bool directory) const;
    bool excludedItself(std::string_view name, bool directory) const;
    Side side_;
    std::vector<Rule> rules_;
    std::size_t bytes_ = 0;
};
// Shell pattern as rsync has it: '*' and '?' and sets stop at '/', '**' does not.
bool wildMatch(std::string_view pattern, std::string_view text);

}  // namespace spokewheel::wire::rsync
