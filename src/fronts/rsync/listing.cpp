#include "fronts/rsync/listing.hpp"

#include <algorithm>
#include <set>

#include "fronts/rsync/context.hpp"

namespace spokewheel::fronts::rsync {

using catalogue::Kind;
using wire::rsync::FileEntry;

ListBuilder::ListBuilder(const catalogue::Catalogue& catalogue, const std::string& volume,
                         const wire::rsync::Options& options, std::vector<ModulePath> paths,
                         const wire::rsync::Filter& filter, std::size_t most)
    : catalogue_(catalogue), volume_(volume), options_(options), filter_(filter), most_(most) {
    for (auto& p : paths) tasks_.push_back({What::Argument, std::move(p), "", "", {}});
}

bool ListBuilder::step(std::size_t entries) {
    while (!tasks_.empty()) {
        if (entries == 0) return false;
        auto task = std::move(tasks_.front());
        tasks_.pop_front();
        if (task.what == What::Argument) {
            --entries;
            argument(task.path);
            continue;
        }
        const auto& below = task.what == What::Pattern ? std::string() : task.path.path;
        const auto part = catalogue_.pageBelow(volume_, below, task.after, entries);
        entries -= std::min(entries, part.entries.size() + 1);
        for (const auto& v : part.entries) walk(task, v);
        task.after = part.last;
        if (!part.more) {
            over(std::move(task));
            continue;
        }
        tasks_.push_front(std::move(task));
        return false;
    }
    if (entries == 0 || !sorter_.step(wire::rsync::ListSorter::kMovesAnEntry * entries)) return false;
    for (; moved_ < found_.size(); --entries) {
        if (entries == 0) return false;
        auto& next = found_[sorter_.order()[moved_++]];
        // Named by two arguments: once is enough.
        if (sorted_.files.empty() || sorted_.files.back().entry.name != next.entry.name)
            sorted_.files.push_back(std::move(next));
    }
    return true;
}

void ListBuilder::put(Listed listed) {
    sorter_.add(listed.entry);
    found_.push_back(std::move(listed));
}

void ListBuilder::file(const catalogue::FileVersionPtr& v, const std::string& name) {
    if (filter_.excluded(name, false) || full()) return;
    Listed l;
    l.entry.name = name;
    l.entry.size = v->size;
    l.entry.mtime = v->mtime;
    l.entry.nsec = v->nsec;
    l.entry.mode = wire::rsync::kRegular | (v->mode & 07777);
    if (options_.checksum) l.entry.sum = sumOf(v->digest);
    l.version = v;
    put(std::move(l));
}

void ListBuilder::directory(const std::string& path, const std::string& name, bool top, bool content) {
    if (!named_.insert(name).second || (name != "." && filter_.excluded(name, true)) || full()) return;
    const auto own = catalogue_.find(volume_, path);
    Listed l;
    l.entry.name = name;
    l.entry.mode = wire::rsync::kDirectory | (own ? own->mode & 07777 : 0755);
    l.entry.mtime = own ? own->mtime : 0;
    l.entry.top = top;
    l.entry.content = content;
    put(std::move(l));
}

void ListBuilder::argument(const ModulePath& p) {
    if (!p.fault.empty()) return fault("path " + p.fault);
    if (const auto v = catalogue_.find(volume_, p.path); v && v->kind == Kind::File) {
        if (options_.relative) parents(p);
        return file(v, p.path.substr(options_.relative ? p.base : p.path.rfind('/') + 1));
    }
    if (!catalogue_.isDirectory(volume_, p.path)) {
        Task task{What::Pattern, p, "", "", {}};
        if (p.path.find_first_of("*?[") != p.path.npos) return tasks_.push_front(std::move(task));
        return over(std::move(task));
    }
    if (!options_.recurse && !options_.directories) return fault("skipping directory " + p.path);
    const bool inside = p.path.empty() || p.trailingSlash;
    const auto name = p.path.substr(options_.relative ? p.base : p.path.rfind('/') + 1);
    if (options_.relative) parents(p);
    const bool atTop = options_.relative ? name.empty() : inside;
    directory(p.path, atTop ? "." : name, options_.recurse || inside, options_.recurse || inside);
    if (options_.recurse || inside)
        tasks_.push_front({options_.recurse ? What::Tree : What::Level, p, atTop ? "" : name + "/", "", {}});
}

// One of what lies below the task's path.
void ListBuilder::walk(Task& task, const catalogue::FileVersionPtr& v) {
    const auto& path = task.path.path;
    if (task.what == What::Pattern) {
        // A shell pattern over whole paths of as many parts.
        const auto depth = std::count(path.begin(), path.end(), '/');
        std::size_t end = 0;
        for (long i = 0; i <= depth && end != v->path.npos; ++i) end = v->path.find('/', end + (i > 0));
        if (std::count(v->path.begin(), v->path.end(), '/') < depth) return;
        const auto head = v->path.substr(0, end);
        if (wire::rsync::wildMatch(path, head)) task.hits.insert(head);
        return;
    }
    const bool tree = task.what == What::Tree;
    const auto skip = path.empty() ? 0 : path.size() + 1;
    const auto rest = v->path.substr(skip);
    // Directories that nobody stored as such exist by what they hold. Without -r one level is listed.
    for (auto slash = rest.find('/'); slash != rest.npos; slash = rest.find('/', slash + 1)) {
        directory(v->path.substr(0, skip + slash), task.prefix + rest.substr(0, slash), false, tree);
        if (!tree) return;
    }
    if (v->kind == Kind::Directory) directory(v->path, task.prefix + rest, false, tree);
    else file(v, task.prefix + rest);
}

void ListBuilder::over(Task task) {
    if (task.what != What::Pattern) return;
    for (auto hit = task.hits.rbegin(); hit != task.hits.rend(); ++hit)
        tasks_.push_front({What::Argument, {*hit, false, 0, ""}, "", "", {}});
    if (task.hits.empty() && !options_.ignoreMissing)
        fault("\"" + task.path.path + "\" is not there (in " + volume_ + ")");
}

// The directories on the way, from the base on.
void ListBuilder::parents(const ModulePath& p) {
    for (auto slash = p.path.find('/', p.base); slash != p.path.npos; slash = p.path.find('/', slash + 1))
        directory(p.path.substr(0, slash), p.path.substr(p.base, slash - p.base), false, false);
}

void ListBuilder::fault(std::string words) {
    if (sorted_.errors.size() < 100) sorted_.errors.push_back(std::move(words));
}

bool ListBuilder::full() {
    if (found_.size() < most_) return false;
    if (!told_) fault("more than " + std::to_string(most_) + " files: list is cut off");
    told_ = true;
    return true;
}

ModulePath parseModulePath(const std::string& volume, const std::string& argument) {
    ModulePath out;
    std::string path = argument;
    if (path == volume) path.clear();
    else if (path.rfind(volume + "/", 0) == 0) path.erase(0, volume.size() + 1);
    out.trailingSlash = path.empty() || path.back() == '/';
    // Slashes at the ends and doubled ones, and "." parts, mean nothing; ".." is refused.
    std::string plain;
    for (std::size_t at = 0; at <= path.size();) {
        const auto slash = std::min(path.find('/', at), path.size());
        const auto part = path.substr(at, slash - at);
        if (part == "." && at > 0 && slash < path.size()) out.base = plain.empty() ? 0 : plain.size() + 1;
        if (!part.empty() && part != ".") plain += (plain.empty() ? "" : "/") + part;
        at = slash + 1;
    }
    out.path = plain;
    if (out.base > plain.size())
        out.base = plain.size();  // all of it: the list's top is the directory itself
    if (!plain.empty()) {
        const auto why = wire::rsync::faultOfName(plain);
        if (!why.empty()) out.fault = "\"" + plain.substr(0, 200) + "\" " + why;
    }
    return out;
}

}  // namespace spokewheel::fronts::rsync
