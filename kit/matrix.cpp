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
constexpr double kSeconds = 8;  // of one run of the client; longer is a hang

struct Entry {
    bool directory = false;
    std::string content;
    std::int64_t mtime = 0;
    std::uint32_t nsec = 0;
    mode_t mode = 0644;
};
using Tree = std::map<std::string, Entry>;

std::string bytesOf(std::mt19937_64& r, std::size_t n) {
    std::string s(n, '\0');
    std::uint64_t word = 0;
    for (std::size_t i = 0; i < n; ++i) {
        if (i % 8 == 0) word = r();
        s[i] = static_cast<char>(word >> (8 * (i % 8)));
    }
    return s;
}

// Sizes around the bounds of blocks, deltas, frames, pieces and spools.
std::size_t sizeOf(std::mt19937_64& r) {
    static const std::size_t sizes[] = {0,     1,     5,     699,   700,    701,    16383,  16384,
                                        16385, 32767, 32768, 65537, 131072, 262143, 262144, 262145};
    if (r() % 40 == 0) return 262144 * 2 + r() % 300000;
    return r() % 4 ? sizes[r() % std::size(sizes)] : r() % 3000;
}
std::int64_t timeOf(std::mt19937_64& r) {
    static const std::int64_t times[] = {-86400,     -1,         0,          1,         1000000000,
                                         1700000000, 2147483647, 2147483648, 4300000000};
    return r() % 3 ? times[r() % std::size(times)] : 1600000000 + static_cast<std::int64_t>(r() % 1000);
}
const char* const kNames[] = {"plain",    "with space", "quo'te\"s",   "-dash",
                              "st*ar",    "br[a]cket",  "back\\slash", "\xc3\xa9t\xc3\xa9",
                              "\xff\xfe", "tab\there",  "a.o",         "b.tmp",
                              "keep.txt", "old~",       "#hash",       ";semi",
                              "%41",      "q?mark",     "new\nline"};

Tree sourceTree(std::uint64_t seed, std::size_t entries) {
    std::mt19937_64 r(seed);
    Tree t;
    std::vector<std::string> directories = {""};
    const auto n = 1 + r() % 24;
    for (std::size_t i = 0; i < n && i < entries; ++i) {
        std::string name = kNames[r() % std::size(kNames)];
        if (r() % 2) name += std::to_string(r() % 10);
        const auto path = directories[r() % directories.size()] + name;
        Entry e;
        e.directory = r() % 5 == 0;
        e.mtime = timeOf(r);
        e.nsec = r() % 2 ? static_cast<std::uint32_t>(r() % 1000000000) : 0;
        static const mode_t modes[] = {0644, 0600, 0755, 0444, 0640, 0777, 0711};
        e.mode = e.directory ? (r() % 2 ? 0755 : 0700) : modes[r() % std::size(modes)];
        if (!e.directory) e.content = bytesOf(r, sizeOf(r));
        if (t.count(path)) continue;
        if (e.directory) directories.push_back(path + "/");
        t[path] = std::move(e);
    }
    return t;
}

// What lies at the destination before: parts of the source, same, changed or older, and some that it lacks.
Tree destinationTree(std::uint64_t seed, const Tree& source) {
    std::mt19937_64 r(seed ^ 0x5eed);
    Tree t;
    const auto kind = r() % 4;  // 0: nothing there
    if (kind == 0) return t;
    for (const auto& [path, entry] : source) {
        const auto slash = path.rfind('/');
        if (slash != path.npos && !t.count(path.substr(0, slash))) continue;
        auto e = entry;
        switch (r() % 6) {
            case 0:
                continue;
            case 1:
                e.content += "tail";
                break;
            case 2:
                e.content.insert(0, "head");
                break;
            case 3:
                e.mtime += r() % 2 ? 3 : -3;
                break;
            case 4:
                if (!e.content.empty()) e.content[e.content.size() / 2] ^= 1;
                break;
        }
        if (e.directory) e.content.clear();
        else if (r() % 4 == 0) e.mode = 0644;
        t[path] = std::move(e);
    }
    for (std::size_t i = 0, n = r() % 4; i < n; ++i) {
        Entry e;
        e.mtime = timeOf(r);
        e.content = bytesOf(r, r() % 2000);
        const auto dir = r() % 2 ? "extra" + std::to_string(i) + "/" : std::string();
        if (!dir.empty()) {
            Entry d;
            d.directory = true;
            d.mode = 0755;
            d.mtime = 1600000000;
            t[dir.substr(0, dir.size() - 1)] = d;
        }
        t[dir + "more" + std::to_string(i) + (r() % 2 ? ".o" : "")] = e;
    }
    return t;
}

void setTimes(const std::string& path, const Entry& e) {
    const timespec times[2] = {{e.mtime, e.nsec}, {e.mtime, e.nsec}};
    utimensat(AT_FDCWD, path.c_str(), times, AT_SYMLINK_NOFOLLOW);
}
void lay(const Tree& t, const std::string& directory) {
    fs::remove_all(directory);
    fs::create_directories(directory);
    for (const auto& [path, e] : t) {
        const auto full = directory + "/" + path;
        if (e.directory) fs::create_directories(full);
        else {
            const int fd = open(full.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
            if (fd < 0 ||
                write(fd, e.content.data(), e.content.size()) != static_cast<ssize_t>(e.content.size()))
                throw std::runtime_error("cannot write " + full);
            close(fd);
        }
    }
    // From the deepest up: what is written below a directory sets its time.
    for (auto it = t.rbegin(); it != t.rend(); ++it) {
        const auto full = directory + "/" + it->first;
        chmod(full.c_str(), it->second.mode);
        setTimes(full, it->second);
    }
    setTimes(directory, {true, "", 1500000000, 0, 0755});
}

struct View {
    bool times = false, modes = false;
};
std::map<std::string, std::string> look(const std::string& directory, const View& view,
                                        std::string_view apart) {
    std::map<std::string, std::string> out;
    std::error_code ignored;
    if (!fs::exists(directory, ignored)) return out;
    for (const auto& f : fs::recursive_directory_iterator(directory)) {
        struct stat st;
        if (lstat(f.path().c_str(), &st) != 0) continue;
        const bool dir = S_ISDIR(st.st_mode);
        std::ostringstream words;
        words << (dir ? "directory" : "file of " + std::to_string(st.st_size));
        if (!dir) words << " #" << std::hash<std::string>()(readFile(f.path().string()));
        if (view.times && !dir) words << " at " << st.st_mtim.tv_sec;
        if (view.modes && !dir) words << " mode " << std::oct << (st.st_mode & 07777);
        const auto name = f.path().string().substr(directory.size());
        if (apart.empty() || name.rfind(apart, 0) != 0) out[name] = words.str();
    }
    return out;
}

std::string differences(const std::map<std::string, std::string>& oracle,
                        const std::map<std::string, std::string>& got) {
    std::ostringstream out;
    int told = 0;
    for (const auto& [path, words] : oracle) {
        const auto found = got.find(path);
        if (found != got.end() && found->second == words) continue;
        if (++told < 6)
            out << "\n  " << path << ": " << words << ", through the gateway "
                << (found == got.end() ? "nothing" : found->second);
    }
    for (const auto& [path, words] : got)
        if (!oracle.count(path) && ++told < 6)
            out << "\n  " << path << ": nothing, through the gateway " << words;
    return out.str();
}

bool has(const Mix& m, const std::string& option) {
    return std::any_of(m.options.begin(), m.options.end(),
                       [&](const std::string& o) { return o == option || o.rfind(option + "=", 0) == 0; });
}
// A letter among the short options.
bool letter(const Mix& m, char c) {
    return std::any_of(m.options.begin(), m.options.end(), [&](const std::string& o) {
        return o.size() > 1 && o[0] == '-' && o[1] != '-' && o.find(c) != o.npos && o[1] != 'B';
    });
}

bool deletes(const Mix& m) {
    return std::any_of(m.options.begin(), m.options.end(),
                       [](const std::string& o) { return o.rfind("--delete", 0) == 0; });
}

// Whether rules leave out parts of the source.
bool ruled(const Mix& m) { return has(m, "--exclude") || has(m, "--filter") || has(m, "--include"); }

// Where the subset differs by intent, and how: the exit status that the gateway gives instead.
// Or the part of the tree that is not compared ("extra": what the source lacks; "empty": directories with
// nothing in them); all else must be the same.
struct Intent {
    const char* words;
    int status;
    std::string_view apart;
    bool (*is)(const Mix&);  // and the oracle ended with 0, or as this does
};
const Intent kIntents[] = {
    {"-c on a download by another checksum than the stored xxh128 is refused", 4, "",
     [](const Mix& m) {
         const bool other = has(m, "--cc") && !has(m, "--cc=xxh128");
         return !m.push && letter(m, 'c') && other && !has(m, "--protocol=30");
     }},
    {"the same at protocol 30, which has no word for an exit status", 12, "",
     [](const Mix& m) {
         const bool other = has(m, "--cc") && !has(m, "--cc=xxh128");
         return !m.push && letter(m, 'c') && other && has(m, "--protocol=30");
     }},
    {"what lies below an excluded directory is left out though it was named: the client refuses such a "
     "directory "
     "from any server",
     0, "all", [](const Mix& m) { return !m.push && ruled(m) && (m.filesFrom || !m.relative.empty()); }},
    {"and so they do not count against --max-delete", 0, "all",
     [](const Mix& m) { return m.push && has(m, "--max-delete") && has(m, "--backup-dir"); }},
    {"-m with --files-from on a download: the stock sender lists a directory twice that is named and lies on "
     "the way to another name, and its client then keeps it empty; this one lists it once",
     0, "empty", [](const Mix& m) { return !m.push && m.filesFrom && letter(m, 'm'); }},
    {"which files go before --max-delete is reached, each side orders in its own way", 25, "extra",
     [](const Mix& m) { return m.push && has(m, "--max-delete"); }},
    {"backups of an upload are no part of what --delete looks at (the stock client moves them into "
     "themselves)",
     0, "/kept", [](const Mix& m) { return m.push && has(m, "--backup-dir") && deletes(m); }},
};

}  // namespace

Mix drawMix(std::uint64_t seed) {
    std::mt19937_64 r(seed * 7919 + 13);
    Mix m;
    m.seed = seed;
    m.push = r() % 2;
    const auto chance = [&r](unsigned in) { return r() % in == 0; };
    const auto add = [&m](std::string o) { m.options.push_back(std::move(o)); };
    const char* const bases[] = {"-r", "-rt", "-rt", "-rtp", "-a"};
    add(bases[r() % std::size(bases)]);
    if (chance(5)) add("-c");
    if (chance(8)) add("-I");
    if (chance(8)) add("--size-only");
    if (chance(8)) add("-W");
    if (chance(8)) add("-u");
    if (chance(10)) add("-m");
    if (chance(12)) add("--existing");
    if (chance(12)) add("--ignore-existing");
    if (chance(12)) add("--max-size=" + std::to_string(r() % 40000));
    if (chance(12)) add("--min-size=" + std::to_string(r() % 2000));
    if (chance(10)) add("--modify-window=" + std::to_string(r() % 5));
    if (chance(3)) {
        const char* const ways[] = {"--delete",       "--delete-before", "--delete-during",
                                    "--delete-after", "--delete-delay",  "--delete-excluded"};
        add(ways[r() % std::size(ways)]);
        if (chance(4)) add("--max-delete=" + std::to_string(r() % 5));
    }
    if (chance(4)) {
        const char* const rules[] = {"--exclude=*.o",       "--exclude=plain*", "--include=a.o",
                                     "--exclude=/plain",    "--exclude=old~",   "--filter=P more*",
                                     "--filter=H *.tmp",    "--exclude=*/*.o",  "--exclude=**/b.*",
                                     "--exclude=keep.txt/", "--filter=-! *",    "--exclude=with space*/***"};
        for (std::size_t i = 0, n = 1 + r() % 3; i < n; ++i) add(rules[r() % std::size(rules)]);
    }
    if (chance(3)) add("-z");
    if (chance(6)) add("--zc=zstd");
    if (chance(10)) add("--zl=" + std::to_string(1 + r() % 9));
    if (chance(4)) {
        const char* const sums[] = {"--cc=xxh128", "--cc=xxh3", "--cc=xxh64", "--cc=md5", "--cc=md5,xxh128"};
        add(sums[r() % std::size(sums)]);
    }
    if (chance(10)) add("--checksum-seed=" + std::to_string(1 + r() % 100000));
    if (chance(10)) add("-B" + std::to_string(700 + r() % 3000));
    if (chance(12)) add("--partial-dir=.part");
    if (chance(12)) add("--delay-updates");
    if (chance(12)) add("--inplace");
    if (chance(12)) add("--bwlimit=200000");
    if (chance(8)) {
        add("-b");
        if (chance(2)) add("--suffix=.bak");
        if (chance(2)) add("--backup-dir=kept");
    }
    for (const char* o : {"-S", "-H", "-x", "-L", "--safe-links", "-s", "-E", "-O", "-q", "--numeric-ids",
                          "-n", "--mkpath", "--ignore-errors", "--no-i-r", "--partial"})
        if (chance(14)) add(o);
    if (m.push && chance(14)) add("--remove-source-files");
    if (chance(3)) add("--protocol=" + std::to_string(30 + r() % 3));
    if (chance(8)) m.filesFrom = true;
    else if (chance(8)) m.relative = "*";
    return m;
}

std::string commandOf(const Mix& mix) {
    std::string out = "spokewheel matrix --seed " + std::to_string(mix.seed) + " --entries " +
                      std::to_string(mix.entries) + (mix.push ? " --push" : " --pull");
    if (mix.filesFrom) out += " --files-from";
    if (!mix.relative.empty()) out += " --relative";
    out += " --options '";
    for (std::size_t i = 0; i < mix.options.size(); ++i) out += (i ? "|" : "") + mix.options[i];
    return out + "'";
}

Matrix::Matrix(Fleet& fleet, std::string directory) : fleet_(fleet), directory_(std::move(directory)) {
    fs::create_directories(directory_);
}

std::string Matrix::play(const Mix& mix, bool& byTable, bool& hung) {
    byTable = hung = false;
    const auto source = sourceTree(mix.seed, mix.entries);
    const auto before = destinationTree(mix.seed, source);
    const auto url = fleet_.url(0, "maps/m" + std::to_string(++plays_) + "/");
    const auto at = place("p" + std::to_string(plays_));
    fs::create_directories(at);
    struct Clean {
        std::string path;
        ~Clean() {
            std::error_code ignored;
            fs::remove_all(path, ignored);
        }
    } clean{at};
    const auto rsync = [](std::vector<std::string> a) {
        a.insert(a.begin(), "rsync");
        return runCommand(a, kSeconds);
    };
    std::string part;
    if (!mix.relative.empty())
        for (const auto& [path, e] : source)
            if (e.directory && path.find_first_of("*[?\\\n") == path.npos) part = path + "/";
    if (!part.empty()) part = "./" + part;
    auto options = mix.options;
    if (!part.empty()) options.push_back("-R");
    if (mix.filesFrom) {
        std::string names;
        std::size_t i = mix.seed;
        for (const auto& [path, e] : source)
            if (i++ % 2 && path.find('\n') == path.npos && path[0] != '#' && path[0] != ';')
                names += path + "\n";
        writeFile(at + "/names", names);
        options.push_back("--files-from=" + at + "/names");
    }
    const auto with = [&options](std::vector<std::string> paths) {
        auto all = options;
        all.insert(all.end(), paths.begin(), paths.end());
        return all;
    };

    // The oracle: folder to folder.
    lay(source, at + "/source");
    lay(before, at + "/oracle");
    const auto oracle = rsync(with({at + "/source/" + part, at + "/oracle/"}));
    // Through the gateway: the one side of it is put there and taken from there with -a.
    lay(source, at + "/source");
    lay(before, at + "/got");
    const auto put = rsync({"-a", at + (mix.push ? "/got/" : "/source/"), url});
    if (put.status != 0)
        return "the first upload ended with " + std::to_string(put.status) + "\n" + put.output;
    CommandResult run;
    if (mix.push) {
        run = rsync(with({at + "/source/" + part, url}));
        fs::remove_all(at + "/got");
        const auto back = rsync({"-a", url, at + "/got/"});
        if (back.status != 0) return "the last download ended with " + std::to_string(back.status);
    } else run = rsync(with({url + part, at + "/got/"}));
    hung = run.status < 0;
    if (hung) return "hung";
    std::string_view apart;
    for (const auto& intent : kIntents) {
        if (!intent.is(mix) || run.status != intent.status) continue;
        byTable = true;
        if (intent.apart.empty() || intent.apart == "all") return "";
        apart = intent.apart;
    }
    std::string out;
    if (run.status != oracle.status)
        out += "exit status " + std::to_string(oracle.status) + ", through the gateway " +
               std::to_string(run.status) + "\n" + run.output;
    View view;
    view.times = letter(mix, 't') || letter(mix, 'a');
    view.modes = letter(mix, 'p') || letter(mix, 'a');
    auto wanted = look(at + "/oracle", view, apart), got = look(at + "/got", view, apart);
    if (apart == "empty")
        for (auto* tree : {&wanted, &got})
            for (auto it = tree->rbegin(); it != tree->rend();) {
                const auto below = tree->upper_bound(it->first + "/");
                const bool holds = below != tree->end() && below->first.rfind(it->first + "/", 0) == 0;
                if (it->second != "directory" || holds) ++it;
                else it = std::make_reverse_iterator(tree->erase(std::next(it).base()));
            }
    if (apart == "extra")
        for (auto* tree : {&wanted, &got})
            std::erase_if(*tree,
                          [&](const auto& e) { return ruled(mix) || !source.count(e.first.substr(1)); });
    out += differences(wanted, got);
    return out;
}

Mix Matrix::shrink(Mix mix) {
    bool table, hung;
    int left = 60;  // trials
    const auto differs = [&](const Mix& m) { return left-- > 0 && !play(m, table, hung).empty() && !hung; };
    for (bool smaller = true; smaller;) {
        smaller = false;
        for (std::size_t i = 1; i < mix.options.size(); ++i) {
            auto less = mix;
            less.options.erase(less.options.begin() + static_cast<long>(i));
            if (!differs(less)) continue;
            mix = less;
            smaller = true;
            break;
        }
    }
    for (auto n = mix.entries; n > 1; --n) {
        auto less = mix;
        less.entries = n - 1;
        if (differs(less)) mix = less;
        else if (n < mix.entries) break;
    }
    return mix;
}

MatrixResult Matrix::run(std::uint64_t seed, std::size_t rounds,
                         const std::function<void(const std::string&)>& told) {
    MatrixResult out;
    for (std::size_t i = 0; i < rounds; ++i) {
        const auto mix = drawMix(seed + i);
        bool table = false, hung = false;
        const auto words = play(mix, table, hung);
        ++out.tried;
        out.hung += hung;
        out.byTable += table;
        out.same += words.empty() && !table;
        if (!words.empty()) {
            // A hang takes its whole time at each trial: it is told as it was drawn.
            out.differences.push_back({hung ? mix : shrink(mix), words});
            told(commandOf(out.differences.back().least) + ": " + words);
        } else if ((i + 1) % 100 == 0)
            told(std::to_string(i + 1) + " of " + std::to_string(rounds) + " tried, " +
                 std::to_string(out.differences.size()) + " differ");
        if (out.differences.size() >= 20) break;
    }
    return out;
}

}  // namespace spokewheel::kit
