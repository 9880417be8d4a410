#include "fronts/rsync/listing.hpp"

#include <algorithm>
#include <set>

#include "fronts/rsync/context.hpp"

namespace spokewheel::fronts::rsync {

using catalogue::Kind;
using wire::rsync::FileEntry;

ListBuilder::ListBuilder(const catalogue::Catalogue& catalogue, const std::string& volume,
                         const wire::rsync::Options& options, std::vector<ModulePath> paths,
                         const wire::rsync::Filter& filter, std::size_t maxEntries)
    : catalogue_(catalogue), volume_(volume), options_(options), filter_(filter), maxEntries_(maxEntries) {
    for (auto& p : paths) tasks_.push_back({TaskKind::Argument, std::move(p), "", "", {}});
}

bool ListBuilder::step(std::size_t entries) {
    while (!tasks_.empty()) {
        if (entries == 0) return false;
        auto task = std::move(tasks_.front());
        tasks_.pop_front();
        if (task.kind == TaskKind::Argument) {
            --entries;
            resolveArgument(task.path);
            continue;
        }
        const auto& below = task.kind == TaskKind::Pattern ? std::string() : task.path.path;
        const auto page = catalogue_.pageBelow(volume_, below, task.resumeAfter, entries);
        entries -= std::min(entries, page.entries.size() + 1);
        for (const auto& v : page.entries) visit(task, v);
        task.resumeAfter = page.last;
        if (!page.more) {
            finishTask(std::move(task));
            continue;
        }
        tasks_.push_front(std::move(task));
        return false;
    }
    if (entries == 0 || !sorter_.step(wire::rsync::ListSorter::kMovesPerEntry * entries)) return false;
    for (; movedCount_ < found_.size(); --entries) {
        if (entries == 0) return false;
        auto& next = found_[sorter_.order()[movedCount_++]];
        // A file named by two arguments is listed once.
        if (listing_.files.empty() || listing_.files.back().entry.name != next.entry.name)
            listing_.files.push_back(std::move(next));
    }
    return true;
}

void ListBuilder::add(ListedFile listed) {
    sorter_.add(listed.entry);
    found_.push_back(std::move(listed));
}

void ListBuilder::addFile(const catalogue::FileVersionPtr& v, const std::string& name) {
    if (filter_.excluded(name, false) || limitReached()) return;
    ListedFile l;
    l.entry.name = name;
    l.entry.size = v->size;
    l.entry.mtime = v->mtime;
    l.entry.nsec = v->nsec;
    l.entry.mode = wire::rsync::kRegular | (v->mode & 07777);
    if (options_.checksum) l.entry.sum = checksumFromHex(v->digest);
    l.version = v;
    add(std::move(l));
}

void ListBuilder::addDirectory(const std::string& path, const std::string& name, bool top, bool content) {
    if (!listedDirectories_.insert(name).second || (name != "." && filter_.excluded(name, true)) ||
        limitReached())
        return;
    const auto stored = catalogue_.find(volume_, path);
    ListedFile l;
    l.entry.name = name;
    l.entry.mode = wire::rsync::kDirectory | (stored ? stored->mode & 07777 : 0755);
    l.entry.mtime = stored ? stored->mtime : 0;
    l.entry.topDirectory = top;
    l.entry.contentListed = content;
    add(std::move(l));
}

void ListBuilder::resolveArgument(const ModulePath& p) {
    if (!p.error.empty()) return addError("path " + p.error);
    if (const auto v = catalogue_.find(volume_, p.path); v && v->kind == Kind::File) {
        if (options_.relative) addParents(p);
        return addFile(v, p.path.substr(options_.relative ? p.baseLength : p.path.rfind('/') + 1));
    }
    if (!catalogue_.isDirectory(volume_, p.path)) {
        Task task{TaskKind::Pattern, p, "", "", {}};
        if (p.path.find_first_of("*?[") != p.path.npos) return tasks_.push_front(std::move(task));
        return finishTask(std::move(task));
    }
    if (!options_.recurse && !options_.directories) return addError("skipping directory " + p.path);
    const bool contentOnly = p.path.empty() || p.trailingSlash;
    const auto name = p.path.substr(options_.relative ? p.baseLength : p.path.rfind('/') + 1);
    if (options_.relative) addParents(p);
    const bool atTop = options_.relative ? name.empty() : contentOnly;
    addDirectory(p.path, atTop ? "." : name, options_.recurse || contentOnly,
                 options_.recurse || contentOnly);
    if (options_.recurse || contentOnly)
        tasks_.push_front(
            {options_.recurse ? TaskKind::Tree : TaskKind::Level, p, atTop ? "" : name + "/", "", {}});
}

// Handles one catalogue entry below the task's path.
void ListBuilder::visit(Task& task, const catalogue::FileVersionPtr& v) {
    const auto& path = task.path.path;
    if (task.kind == TaskKind::Pattern) {
        // The pattern is matched against the leading part of the path with as many components.
        const auto depth = std::count(path.begin(), path.end(), '/');
        std::size_t end = 0;
        for (long i = 0; i <= depth && end != v->path.npos; ++i) end = v->path.find('/', end + (i > 0));
        if (std::count(v->path.begin(), v->path.end(), '/') < depth) return;
        const auto head = v->path.substr(0, end);
        if (wire::rsync::wildMatch(path, head)) task.matches.insert(head);
        return;
    }
    const bool tree = task.kind == TaskKind::Tree;
    const auto skip = path.empty() ? 0 : path.size() + 1;
    const auto rest = v->path.substr(skip);
    // Directories without an entry of their own exist through their content. Without --recursive only one
    // level is listed.
    for (auto slash = rest.find('/'); slash != rest.npos; slash = rest.find('/', slash + 1)) {
        addDirectory(v->path.substr(0, skip + slash), task.prefix + rest.substr(0, slash), false, tree);
        if (!tree) return;
    }
    if (v->kind == Kind::Directory) addDirectory(v->path, task.prefix + rest, false, tree);
    else addFile(v, task.prefix + rest);
}

void ListBuilder::finishTask(Task task) {
    if (task.kind != TaskKind::Pattern) return;
    for (auto match = task.matches.rbegin(); match != task.matches.rend(); ++match)
        tasks_.push_front({TaskKind::Argument, {*match, false, 0, ""}, "", "", {}});
    if (task.matches.empty() && !options_.ignoreMissingArguments)
        addError("\"" + task.path.path + "\" is not there (in " + volume_ + ")");
}

// Adds the parent directories of a --relative path, below its base.
void ListBuilder::addParents(const ModulePath& p) {
    for (auto slash = p.path.find('/', p.baseLength); slash != p.path.npos;
         slash = p.path.find('/', slash + 1))
        addDirectory(p.path.substr(0, slash), p.path.substr(p.baseLength, slash - p.baseLength), false,
                     false);
}

void ListBuilder::addError(std::string message) {
    if (listing_.errors.size() < 100) listing_.errors.push_back(std::move(message));
}

bool ListBuilder::limitReached() {
    if (found_.size() < maxEntries_) return false;
    if (!limitReported_) addError("more than " + std::to_string(maxEntries_) + " files: list is cut off");
    limitReported_ = true;
    return true;
}

ModulePath parseModulePath(const std::string& volume, const std::string& argument) {
    ModulePath out;
    std::string path = argument;
    if (path == volume) path.clear();
    else if (path.rfind(volume + "/", 0) == 0) path.erase(0, volume.size() + 1);
    out.trailingSlash = path.empty() || path.back() == '/';
    // Drops empty and "." components; ".." is rejected by invalidNameReason() below.
    std::string normalized;
    for (std::size_t at = 0; at <= path.size();) {
        const auto slash = std::min(path.find('/', at), path.size());
        const auto part = path.substr(at, slash - at);
        if (part == "." && at > 0 && slash < path.size())
            out.baseLength = normalized.empty() ? 0 : normalized.size() + 1;
        if (!part.empty() && part != ".") normalized += (normalized.empty() ? "" : "/") + part;
        at = slash + 1;
    }
    out.path = normalized;
    if (out.baseLength > normalized.size())
        out.baseLength = normalized.size();  // the whole path: the directory itself is the list's top
    if (!normalized.empty()) {
        const auto why = wire::rsync::invalidNameReason(normalized);
        if (!why.empty()) out.error = "\"" + normalized.substr(0, 200) + "\" " + why;
    }
    return out;
}

}  // namespace spokewheel::fronts::rsync
