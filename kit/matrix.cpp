#include "kit/matrix.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <random>
#include <sstream>
#include <string_view>

namespace spokewheel::kit {
namespace {

namespace fs = std::filesystem;
constexpr double kRunTimeoutS = 8;  // of one run of the client; a longer one counts as hung

struct Entry {
    bool directory = false;
    std::string content;
    std::int64_t mtime = 0;
    std::uint32_t mtimeNs = 0;
    mode_t mode = 0644;
};
using Tree = std::map<std::string, Entry>;

std::string randomBytes(std::mt19937_64& random, std::size_t count) {
    std::string bytes(count, '\0');
    std::uint64_t word = 0;
    for (std::size_t i = 0; i < count; ++i) {
        if (i % 8 == 0) word = random();
        bytes[i] = static_cast<char>(word >> (8 * (i % 8)));
    }
    return bytes;
}

// Mostly sizes next to the limits of blocks, deltas, frames, pieces and spools.
std::size_t randomSize(std::mt19937_64& random) {
    static const std::size_t sizes[] = {0,     1,     5,     699,   700,    701,    16383,  16384,
                                        16385, 32767, 32768, 65537, 131072, 262143, 262144, 262145};
    if (random() % 40 == 0) return 262144 * 2 + random() % 300000;
    return random() % 4 ? sizes[random() % std::size(sizes)] : random() % 3000;
}
std::int64_t randomTime(std::mt19937_64& random) {
    static const std::int64_t times[] = {-86400,     -1,         0,          1,         1000000000,
                                         1700000000, 2147483647, 2147483648, 4300000000};
    return random() % 3 ? times[random() % std::size(times)]
                        : 1600000000 + static_cast<std::int64_t>(random() % 1000);
}
const char* const kFileNames[] = {"plain",    "with space", "quo'te\"s",   "-dash",
                                  "st*ar",    "br[a]cket",  "back\\slash", "\xc3\xa9t\xc3\xa9",
                                  "\xff\xfe", "tab\there",  "a.o",         "b.tmp",
                                  "keep.txt", "old~",       "#hash",       ";semi",
                                  "%41",      "q?mark",     "new\nline"};

Tree sourceTree(std::uint64_t seed, std::size_t entries) {
    std::mt19937_64 random(seed);
    Tree tree;
    std::vector<std::string> directories = {""};
    const auto count = 1 + random() % 24;
    for (std::size_t i = 0; i < count && i < entries; ++i) {
        std::string name = kFileNames[random() % std::size(kFileNames)];
        if (random() % 2) name += std::to_string(random() % 10);
        const auto path = directories[random() % directories.size()] + name;
        Entry entry;
        entry.directory = random() % 5 == 0;
        entry.mtime = randomTime(random);
        entry.mtimeNs = random() % 2 ? static_cast<std::uint32_t>(random() % 1000000000) : 0;
        static const mode_t modes[] = {0644, 0600, 0755, 0444, 0640, 0777, 0711};
        entry.mode = entry.directory ? (random() % 2 ? 0755 : 0700) : modes[random() % std::size(modes)];
        if (!entry.directory) entry.content = randomBytes(random, randomSize(random));
        if (tree.count(path)) continue;
        if (entry.directory) directories.push_back(path + "/");
        tree[path] = std::move(entry);
    }
    return tree;
}

// The destination before the run: parts of the source, unchanged or with other content or times, and some
// entries that the source lacks.
Tree destinationTree(std::uint64_t seed, const Tree& source) {
    std::mt19937_64 random(seed ^ 0x5eed);
    Tree tree;
    const auto kind = random() % 4;  // 0: empty
    if (kind == 0) return tree;
    for (const auto& [path, sourceEntry] : source) {
        const auto slash = path.rfind('/');
        if (slash != path.npos && !tree.count(path.substr(0, slash))) continue;
        auto entry = sourceEntry;
        switch (random() % 6) {
            case 0:
                continue;
            case 1:
                entry.content += "tail";
                break;
            case 2:
                entry.content.insert(0, "head");
                break;
            case 3:
                entry.mtime += random() % 2 ? 3 : -3;
                break;
            case 4:
                if (!entry.content.empty()) entry.content[entry.content.size() / 2] ^= 1;
                break;
        }
        if (entry.directory) entry.content.clear();
        else if (random() % 4 == 0) entry.mode = 0644;
        tree[path] = std::move(entry);
    }
    for (std::size_t i = 0, count = random() % 4; i < count; ++i) {
        Entry entry;
        entry.mtime = randomTime(random);
        entry.content = randomBytes(random, random() % 2000);
        const auto folder = random() % 2 ? "extra" + std::to_string(i) + "/" : std::string();
        if (!folder.empty()) {
            Entry folderEntry;
            folderEntry.directory = true;
            folderEntry.mode = 0755;
            folderEntry.mtime = 1600000000;
            tree[folder.substr(0, folder.size() - 1)] = folderEntry;
        }
        tree[folder + "more" + std::to_string(i) + (random() % 2 ? ".o" : "")] = entry;
    }
    return tree;
}

void setTimes(const std::string& path, const Entry& entry) {
    const timespec times[2] = {{entry.mtime, entry.mtimeNs}, {entry.mtime, entry.mtimeNs}};
    utimensat(AT_FDCWD, path.c_str(), times, AT_SYMLINK_NOFOLLOW);
}
void writeTree(const Tree& tree, const std::string& directory) {
    fs::remove_all(directory);
    fs::create_directories(directory);
    for (const auto& [path, entry] : tree) {
        const auto full = directory + "/" + path;
        if (entry.directory) fs::create_directories(full);
        else {
            const int fd = open(full.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
            if (fd < 0 || write(fd, entry.content.data(), entry.content.size()) !=
                              static_cast<ssize_t>(entry.content.size()))
                throw std::runtime_error("cannot write " + full);
            close(fd);
        }
    }
    // Deepest entries first, since writing into a directory changes its time.
    for (auto it = tree.rbegin(); it != tree.rend(); ++it) {
        const auto full = directory + "/" + it->first;
        chmod(full.c_str(), it->second.mode);
        setTimes(full, it->second);
    }
    setTimes(directory, {true, "", 1500000000, 0, 0755});
}

// What is compared besides names, kinds and contents.
struct ComparedAttributes {
    bool times = false, modes = false;
};
// A description of each entry below the directory, by path. Leaves out paths that start with `ignoredPrefix`.
std::map<std::string, std::string> snapshot(const std::string& directory, const ComparedAttributes& compared,
                                            std::string_view ignoredPrefix) {
    std::map<std::string, std::string> entries;
    std::error_code ignoredError;
    if (!fs::exists(directory, ignoredError)) return entries;
    for (const auto& item : fs::recursive_directory_iterator(directory)) {
        struct stat status;
        if (lstat(item.path().c_str(), &status) != 0) continue;
        const bool isDirectory = S_ISDIR(status.st_mode);
        std::ostringstream description;
        description << (isDirectory ? "directory" : "file of " + std::to_string(status.st_size));
        if (!isDirectory) description << " #" << std::hash<std::string>()(readFile(item.path().string()));
        if (compared.times && !isDirectory) description << " at " << status.st_mtim.tv_sec;
        if (compared.modes && !isDirectory) description << " mode " << std::oct << (status.st_mode & 07777);
        const auto name = item.path().string().substr(directory.size());
        if (ignoredPrefix.empty() || name.rfind(ignoredPrefix, 0) != 0) entries[name] = description.str();
    }
    return entries;
}

std::string describeDifferences(const std::map<std::string, std::string>& expected,
                                const std::map<std::string, std::string>& actual) {
    std::ostringstream out;
    int reported = 0;
    for (const auto& [path, description] : expected) {
        const auto found = actual.find(path);
        if (found != actual.end() && found->second == description) continue;
        if (++reported < 6)
            out << "\n  " << path << ": " << description << ", through the gateway "
                << (found == actual.end() ? "nothing" : found->second);
    }
    for (const auto& [path, description] : actual)
        if (!expected.count(path) && ++reported < 6)
            out << "\n  " << path << ": nothing, through the gateway " << description;
    return out.str();
}

bool hasOption(const OptionMix& mix, const std::string& option) {
    return std::any_of(mix.options.begin(), mix.options.end(),
                       [&](const std::string& o) { return o == option || o.rfind(option + "=", 0) == 0; });
}
// Whether the letter is among the short options. -B is skipped: a number follows it.
bool hasShortOption(const OptionMix& mix, char letter) {
    return std::any_of(mix.options.begin(), mix.options.end(), [&](const std::string& o) {
        return o.size() > 1 && o[0] == '-' && o[1] != '-' && o.find(letter) != o.npos && o[1] != 'B';
    });
}

bool hasDeleteOption(const OptionMix& mix) {
    return std::any_of(mix.options.begin(), mix.options.end(),
                       [](const std::string& o) { return o.rfind("--delete", 0) == 0; });
}

// Whether filter rules leave out parts of the source.
bool hasFilterRules(const OptionMix& mix) {
    return hasOption(mix, "--exclude") || hasOption(mix, "--filter") || hasOption(mix, "--include");
}

// An intended difference between the gateway and the stock server. It applies to a mix if `matches` is true
// and the client ends with `exitStatus` through the gateway. If `ignored` is "" or "all", nothing else is
// compared. Otherwise the exit status of the local run must be the same, and the trees too except for:
// "extra": entries that the source lacks (with filter rules all entries); "empty": empty directories; else:
// paths that start with this text.
struct KnownDifference {
    const char* description;
    int exitStatus;
    std::string_view ignored;
    bool (*matches)(const OptionMix&);
};
const KnownDifference kKnownDifferences[] = {
    {"a download with -c and a checksum other than the stored xxh128 is refused", 4, "",
     [](const OptionMix& mix) {
         const bool otherChecksum = hasOption(mix, "--cc") && !hasOption(mix, "--cc=xxh128");
         return !mix.push && hasShortOption(mix, 'c') && otherChecksum && !hasOption(mix, "--protocol=30");
     }},
    {"the same with protocol 30, which can't transmit the exit status", 12, "",
     [](const OptionMix& mix) {
         const bool otherChecksum = hasOption(mix, "--cc") && !hasOption(mix, "--cc=xxh128");
         return !mix.push && hasShortOption(mix, 'c') && otherChecksum && hasOption(mix, "--protocol=30");
     }},
    {"entries below an excluded directory are left out even if they are named: the client rejects such a "
     "directory from any server",
     0, "all",
     [](const OptionMix& mix) {
         return !mix.push && hasFilterRules(mix) && (mix.filesFrom || !mix.relative.empty());
     }},
    {"--delete does not look at the backups of an upload, so they do not count against --max-delete", 0,
     "all",
     [](const OptionMix& mix) {
         return mix.push && hasOption(mix, "--max-delete") && hasOption(mix, "--backup-dir");
     }},
    {"-m with --files-from on a download: the stock sender lists a directory twice that is named and also "
     "lies "
     "on the path of another name, and its client then keeps it although it is empty; the gateway lists it "
     "once",
     0, "empty", [](const OptionMix& mix) { return !mix.push && mix.filesFrom && hasShortOption(mix, 'm'); }},
    {"which files are deleted before --max-delete is reached depends on the order, which each server chooses",
     25, "extra", [](const OptionMix& mix) { return mix.push && hasOption(mix, "--max-delete"); }},
    {"--delete does not look at the backups of an upload (the stock client moves them into themselves)", 0,
     "/kept",
     [](const OptionMix& mix) { return mix.push && hasOption(mix, "--backup-dir") && hasDeleteOption(mix); }},
};

}  // namespace

OptionMix randomMix(std::uint64_t seed) {
    std::mt19937_64 random(seed * 7919 + 13);
    OptionMix mix;
    mix.seed = seed;
    mix.push = random() % 2;
    const auto chance = [&random](unsigned oneIn) { return random() % oneIn == 0; };
    const auto add = [&mix](std::string option) { mix.options.push_back(std::move(option)); };
    const char* const bases[] = {"-r", "-rt", "-rt", "-rtp", "-a"};
    add(bases[random() % std::size(bases)]);
    if (chance(5)) add("-c");
    if (chance(8)) add("-I");
    if (chance(8)) add("--size-only");
    if (chance(8)) add("-W");
    if (chance(8)) add("-u");
    if (chance(10)) add("-m");
    if (chance(12)) add("--existing");
    if (chance(12)) add("--ignore-existing");
    if (chance(12)) add("--max-size=" + std::to_string(random() % 40000));
    if (chance(12)) add("--min-size=" + std::to_string(random() % 2000));
    if (chance(10)) add("--modify-window=" + std::to_string(random() % 5));
    if (chance(3)) {
        const char* const deleteOptions[] = {"--delete",       "--delete-before", "--delete-during",
                                             "--delete-after", "--delete-delay",  "--delete-excluded"};
        add(deleteOptions[random() % std::size(deleteOptions)]);
        if (chance(4)) add("--max-delete=" + std::to_string(random() % 5));
    }
    if (chance(4)) {
        const char* const rules[] = {"--exclude=*.o",       "--exclude=plain*", "--include=a.o",
                                     "--exclude=/plain",    "--exclude=old~",   "--filter=P more*",
                                     "--filter=H *.tmp",    "--exclude=*/*.o",  "--exclude=**/b.*",
                                     "--exclude=keep.txt/", "--filter=-! *",    "--exclude=with space*/***"};
        for (std::size_t i = 0, count = 1 + random() % 3; i < count; ++i)
            add(rules[random() % std::size(rules)]);
    }
    if (chance(3)) add("-z");
    if (chance(6)) add("--zc=zstd");
    if (chance(10)) add("--zl=" + std::to_string(1 + random() % 9));
    if (chance(4)) {
        const char* const checksums[] = {"--cc=xxh128", "--cc=xxh3", "--cc=xxh64", "--cc=md5",
                                         "--cc=md5,xxh128"};
        add(checksums[random() % std::size(checksums)]);
    }
    if (chance(10)) add("--checksum-seed=" + std::to_string(1 + random() % 100000));
    if (chance(10)) add("-B" + std::to_string(700 + random() % 3000));
    if (chance(12)) add("--partial-dir=.part");
    if (chance(12)) add("--delay-updates");
    if (chance(12)) add("--inplace");
    if (chance(12)) add("--bwlimit=200000");
    if (chance(8)) {
        add("-b");
        if (chance(2)) add("--suffix=.bak");
        if (chance(2)) add("--backup-dir=kept");
    }
    for (const char* option : {"-S", "-H", "-x", "-L", "--safe-links", "-s", "-E", "-O", "-q",
                               "--numeric-ids", "-n", "--mkpath", "--ignore-errors", "--no-i-r", "--partial"})
        if (chance(14)) add(option);
    if (mix.push && chance(14)) add("--remove-source-files");
    if (chance(3)) add("--protocol=" + std::to_string(30 + random() % 3));
    if (chance(8)) mix.filesFrom = true;
    else if (chance(8)) mix.relative = "*";
    return mix;
}

std::string commandLineOf(const OptionMix& mix) {
    std::string command = "spokewheel matrix --seed " + std::to_string(mix.seed) + " --entries " +
                          std::to_string(mix.entries) + (mix.push ? " --push" : " --pull");
    if (mix.filesFrom) command += " --files-from";
    if (!mix.relative.empty()) command += " --relative";
    command += " --options '";
    for (std::size_t i = 0; i < mix.options.size(); ++i) command += (i ? "|" : "") + mix.options[i];
    return command + "'";
}

OptionMatrix::OptionMatrix(Fleet& fleet, std::string directory)
    : fleet_(fleet), directory_(std::move(directory)) {
    fs::create_directories(directory_);
}

std::string OptionMatrix::compare(const OptionMix& mix, bool& known, bool& hung) {
    known = hung = false;
    const auto source = sourceTree(mix.seed, mix.entries);
    const auto before = destinationTree(mix.seed, source);
    const auto url = fleet_.url(0, "maps/m" + std::to_string(++comparisons_) + "/");
    const auto work = pathOf("p" + std::to_string(comparisons_));
    fs::create_directories(work);
    struct RemoveAtEnd {
        std::string path;
        ~RemoveAtEnd() {
            std::error_code ignoredError;
            fs::remove_all(path, ignoredError);
        }
    } removeAtEnd{work};
    const auto rsync = [](std::vector<std::string> arguments) {
        arguments.insert(arguments.begin(), "rsync");
        return runCommand(arguments, kRunTimeoutS);
    };
    std::string subfolder;
    if (!mix.relative.empty())
        for (const auto& [path, entry] : source)
            if (entry.directory && path.find_first_of("*[?\\\n") == path.npos) subfolder = path + "/";
    if (!subfolder.empty()) subfolder = "./" + subfolder;
    auto options = mix.options;
    if (!subfolder.empty()) options.push_back("-R");
    if (mix.filesFrom) {
        std::string names;
        std::size_t i = mix.seed;
        for (const auto& [path, entry] : source)
            if (i++ % 2 && path.find('\n') == path.npos && path[0] != '#' && path[0] != ';')
                names += path + "\n";
        writeFile(work + "/names", names);
        options.push_back("--files-from=" + work + "/names");
    }
    const auto withOptions = [&options](std::vector<std::string> paths) {
        auto arguments = options;
        arguments.insert(arguments.end(), paths.begin(), paths.end());
        return arguments;
    };

    // The expected result: from folder to folder.
    writeTree(source, work + "/source");
    writeTree(before, work + "/oracle");
    const auto expectedRun = rsync(withOptions({work + "/source/" + subfolder, work + "/oracle/"}));
    // Through the gateway: its side of the run is uploaded before, and downloaded after, with -a.
    writeTree(source, work + "/source");
    writeTree(before, work + "/got");
    const auto upload = rsync({"-a", work + (mix.push ? "/got/" : "/source/"), url});
    if (upload.status != 0)
        return "the preparing upload ended with exit status " + std::to_string(upload.status) + "\n" +
               upload.output;
    CommandResult run;
    if (mix.push) {
        run = rsync(withOptions({work + "/source/" + subfolder, url}));
        fs::remove_all(work + "/got");
        const auto download = rsync({"-a", url, work + "/got/"});
        if (download.status != 0)
            return "the final download ended with exit status " + std::to_string(download.status);
    } else run = rsync(withOptions({url + subfolder, work + "/got/"}));
    hung = run.status < 0;
    if (hung) return "hung";
    std::string_view ignored;
    for (const auto& difference : kKnownDifferences) {
        if (!difference.matches(mix) || run.status != difference.exitStatus) continue;
        known = true;
        if (difference.ignored.empty() || difference.ignored == "all") return "";
        ignored = difference.ignored;
    }
    std::string description;
    if (run.status != expectedRun.status)
        description += "exit status " + std::to_string(expectedRun.status) + ", through the gateway " +
                       std::to_string(run.status) + "\n" + run.output;
    ComparedAttributes compared;
    compared.times = hasShortOption(mix, 't') || hasShortOption(mix, 'a');
    compared.modes = hasShortOption(mix, 'p') || hasShortOption(mix, 'a');
    auto expected = snapshot(work + "/oracle", compared, ignored),
         actual = snapshot(work + "/got", compared, ignored);
    if (ignored == "empty")
        for (auto* tree : {&expected, &actual})
            for (auto it = tree->rbegin(); it != tree->rend();) {
                const auto below = tree->upper_bound(it->first + "/");
                const bool hasEntries = below != tree->end() && below->first.rfind(it->first + "/", 0) == 0;
                if (it->second != "directory" || hasEntries) ++it;
                else it = std::make_reverse_iterator(tree->erase(std::next(it).base()));
            }
    if (ignored == "extra")
        for (auto* tree : {&expected, &actual})
            std::erase_if(*tree, [&](const auto& entry) {
                return hasFilterRules(mix) || !source.count(entry.first.substr(1));
            });
    description += describeDifferences(expected, actual);
    return description;
}

OptionMix OptionMatrix::shrink(OptionMix mix) {
    bool known, hung;
    int trialsLeft = 60;
    const auto differs = [&](const OptionMix& candidate) {
        return trialsLeft-- > 0 && !compare(candidate, known, hung).empty() && !hung;
    };
    for (bool shrunk = true; shrunk;) {
        shrunk = false;
        for (std::size_t i = 1; i < mix.options.size(); ++i) {
            auto candidate = mix;
            candidate.options.erase(candidate.options.begin() + static_cast<long>(i));
            if (!differs(candidate)) continue;
            mix = candidate;
            shrunk = true;
            break;
        }
    }
    for (auto entries = mix.entries; entries > 1; --entries) {
        auto candidate = mix;
        candidate.entries = entries - 1;
        if (differs(candidate)) mix = candidate;
        else if (entries < mix.entries) break;
    }
    return mix;
}

MatrixResult OptionMatrix::run(std::uint64_t seed, std::size_t rounds,
                               const std::function<void(const std::string&)>& progress) {
    MatrixResult result;
    for (std::size_t i = 0; i < rounds; ++i) {
        const auto mix = randomMix(seed + i);
        bool known = false, hung = false;
        const auto description = compare(mix, known, hung);
        ++result.mixes;
        result.hung += hung;
        result.known += known;
        result.same += description.empty() && !known;
        if (!description.empty()) {
            // A mix that hangs is not shrunk, since each trial would take the whole time-out.
            result.differences.push_back({hung ? mix : shrink(mix), description});
            progress(commandLineOf(result.differences.back().smallestMix) + ": " + description);
        } else if ((i + 1) % 100 == 0)
            progress(std::to_string(i + 1) + " of " + std::to_string(rounds) + " mixes run, " +
                     std::to_string(result.differences.size()) + " differ");
        if (result.differences.size() >= 20) break;
    }
    return result;
}

}  // namespace spokewheel::kit
