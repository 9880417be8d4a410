// What a client requests in the lines and arguments before the multiplexed stream: greeting, options, filter
// rules and negotiated names. Free of I/O. Error messages are for the client and name what is refused.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spokewheel::wire::rsync {

constexpr int kNewestProtocol = 32, kOldestProtocol = 30;
constexpr int kMaxBlockSize = 1 << 17;
constexpr std::size_t kMaxLineBytes = 1024, kMaxArgumentBytes = 8192, kMaxArguments = 256,
                      kMaxTotalArgumentBytes = 64 * 1024;

struct Greeting {
    int protocol = 0;
    std::vector<std::string> digests;  // for authentication, best first; empty from older clients
};
// Parses a line such as "@RSYNCD: 31.0 sha512 md5"; nothing if it is no greeting.
std::optional<Greeting> parseGreeting(std::string_view line);
// This side's greeting, with its line end.
std::string formatGreeting(const std::vector<std::string>& digests);
// The first of the client's names that this side supports as well; empty if there is none.
std::string chooseCommon(const std::vector<std::string>& theirs, const std::vector<std::string>& ours);
// Splits at spaces; repeated spaces yield no empty words.
std::vector<std::string> splitWords(std::string_view text);

struct Options {
    bool sender = false;             // this side sends: the client downloads
    bool secludedArguments = false;  // --secluded-args: a second list of arguments follows
    // What is transferred.
    bool recurse = false, directories = false, relative = false, filesFrom = false, from0 = false,
         listOnly = false, pruneEmptyDirectories = false, ignoreMissingArguments = false;
    // Which files are skipped.
    bool checksum = false, ignoreTimes = false, sizeOnly = false, update = false, existingOnly = false,
         ignoreExisting = false;
    int modifyWindow = 0;  // seconds; -1: times are compared to the nanosecond
    std::optional<std::uint64_t> minSize, maxSize;
    // How files are transferred.
    bool dryRun = false, compress = false, wholeFile = false, partial = false, delayUpdates = false;
    int compressLevel = 3, blockSize = 0;        // blockSize 0: blockLength() of the file's size
    std::uint64_t bytesPerSecond = 0;            // 0: unlimited
    std::string checksumChoice, compressChoice;  // chosen by the client; empty: negotiated
    std::int32_t checksumSeed = 0;
    // Which attributes are kept.
    bool times = false, omitDirTimes = false, perms = false, executability = false, uids = false,
         gids = false, links = false, devices = false, specials = false, hardLinks = false,
         numericIds = false;  // no owner names follow the list
    // What is deleted or backed up.
    bool deleteExtraneous = false, deleteExcluded = false, ignoreErrors = false, removeSourceFiles = false,
         deleteStats = false;
    std::optional<std::uint64_t> maxDelete;
    bool backup = false;
    std::string backupSuffix, backupDir;

    int verbose = 0;
    int timeoutS = 0;
    std::string capabilities;  // the client's letters after "-e."
    std::vector<std::string> paths;
    bool hasCapability(char letter) const { return capabilities.find(letter) != std::string::npos; }
};
struct ParsedOptions {
    Options options;
    std::string error;  // names the first option that is refused; empty if there is none
};
// Parses the arguments of "rsync --server" as received. In `arguments` the backslashes are removed that the
// client adds before characters special to a shell; `secluded`, the second list without its program name, is
// taken verbatim.
ParsedOptions parseOptions(const std::vector<std::string>& arguments,
                           const std::vector<std::string>& secluded = {});

// Compatibility flags (CF_* in rsync) that this side sends for the client's capabilities.
constexpr std::uint32_t kCompatSafeFileList = 1u << 3, kCompatChecksumSeedFix = 1u << 5,
                        kCompatVarintFlags = 1u << 7;
std::uint32_t compatFlags(const Options& options);

// Include and exclude rules as a client sends them; the first that matches decides. A rule can apply to one
// side only: to what the sender hides, or to what the receiver protects from deletion.
class Filter {
  public:
    enum class Side { Sender, Receiver };
    explicit Filter(Side side) : side_(side) {}
    // Returns why the rule is refused, or an empty string.
    std::string add(std::string_view rule);
    // `name` is relative to the top of the transfer. A name below an excluded directory is excluded too.
    bool excluded(std::string_view name, bool directory) const;
    std::size_t size() const { return rules_.size(); }
    static constexpr std::size_t kMaxRules = 10000, kMaxRuleBytes = 1 << 20;

  private:
    struct Rule {
        std::string pattern;
        bool include = false, anchored = false, directoryOnly = false, negated = false;
        bool hasWildcards = false, hasDoubleStar = false;
        bool startsWithDoubleStar = false, matchesTree = false;  // matchesTree: ends with "/***"
        std::size_t slashes = 0;
    };
    bool matches(const Rule& rule, std::string_view name, bool directory) const;
    bool excludedByRule(std::string_view name, bool directory) const;
    Side side_;
    std::vector<Rule> rules_;
    std::size_t totalRuleBytes_ = 0;
};
// Matches a shell pattern in rsync's dialect: '*', '?' and bracket expressions do not match '/', "**" does.
bool wildMatch(std::string_view pattern, std::string_view text);

}  // namespace spokewheel::wire::rsync
