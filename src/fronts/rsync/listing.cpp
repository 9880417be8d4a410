#include "fronts/rsync/listing.hpp"

#include <algorithm>
#include <set>

#include "fronts/rsync/context.hpp"

namespace spokewheel::fronts::rsync {

using catalogue::Kind;
using wire::rsync::FileEntry;

namespace {

class Builder {
  public:
    Builder(const catalogue::Catalogue& catalogue, const std::string& volume,
            const wire::rsync::Options& options, const wire::rsync::Filter& filter, std::size_t most)
        : catalogue_(catalogue), volume_(volume), options_(options), filter_(filter), most_(most) {}

    void file(const catalogue::Shown& v, const std::string& name) {
        if (filter_.excluded(name, false) || full()) return;
        Listed l;
        l.entry.name = name;
        l.entry.size = v->size;
        l.entry.mtime = v->mtime;
        l.entry.nsec = v->nsec;
        l.entry.mode = wire::rsync::kRegular | (v->mode & 07777);
        if (options_.checksum) l.entry.sum = sumOf(v->digest);
        l.version = v;
        out.files.push_back(std::move(l));
    }
    void directory(const std::string& path, const std::string& name, bool top, bool content) {
        if (!named_.insert(name).second || (name != "." && filter_.excluded(name, true)) || full()) return;
        const auto own = catalogue_.find(volume_, path);
        Listed l;
        l.entry.name = name;
        l.entry.mode = wire::rsync::kDirectory | (own ? own->mode & 07777 : 0755);
        l.entry.mtime = own ? own->mtime : 0;
        l.entry.top = top;
        l.entry.content = content;
        out.files.push_back(std::move(l));
    }
    // All below `path`, named from `prefix` on ("" or with a slash at its end).
    void tree(const std::string& path, const std::string& prefix) {
        const auto skip = path.empty() ? 0 : path.size() + 1;
        for (const auto& v : catalogue_.below(volume_, path)) {
            const auto rest = v->path.substr(skip);
            // Directories that nobody stored as such exist by what they hold.
            for (auto slash = rest.find('/'); slash != rest.npos; slash = rest.find('/', slash + 1))
                directory(v->path.substr(0, skip + slash), prefix + rest.substr(0, slash), false, true);
            if (v->kind == Kind::Directory) directory(v->path, prefix + rest, false, true);
            else file(v, prefix + rest);
        }
    }
    void argument(const ModulePath& p) {
        if (!p.fault.empty()) return fault("path " + p.fault);
        if (const auto v = catalogue_.find(volume_, p.path); v && v->kind == Kind::File)
            return named(p, [&](const std::string& name) { file(v, name); });
        if (!catalogue_.isDirectory(volume_, p.path)) {
            if ((p.path.find_first_of("*?[") == p.path.npos || !pattern(p)) && !options_.ignoreMissing)
                fault("\"" + p.path + "\" is not there (in " + volume_ + ")");
            return;
        }
        if (!options_.recurse && !options_.directories) return fault("skipping directory " + p.path);
        const bool inside = p.path.empty() || p.trailingSlash;
        if (options_.relative) {
            const auto name = p.path.substr(p.base);
            parents(p);
            directory(p.path, name.empty() ? "." : name, true, options_.recurse || inside);
            const auto prefix = name.empty() ? "" : name + "/";
            if (options_.recurse) tree(p.path, prefix);
            else if (inside) shallow(p.path, prefix);
            return;
        }
        const auto base = p.path.substr(p.path.rfind('/') + 1);
        directory(p.path, inside ? "." : base, true, options_.recurse || inside);
        if (options_.recurse) tree(p.path, inside ? "" : base + "/");
        else if (inside) shallow(p.path, "");
    }
    void fault(std::string words) {
        if (out.faults.size() < 100) out.faults.push_back(std::move(words));
    }
    Listing out;

  private:
    bool full() {
        if (out.files.size() < most_) return false;
        if (!told_) fault("more than " + std::to_string(most_) + " files: list is cut off");
        told_ = true;
        return true;
    }
    template <class Then>
    void named(const ModulePath& p, Then then) {
        if (options_.relative) parents(p), then(p.path.substr(p.base));
        else then(p.path.substr(p.path.rfind('/') + 1));
    }
    // The directories on the way, from the base on.
    void parents(const ModulePath& p) {
        for (auto slash = p.path.find('/', p.base); slash != p.path.npos; slash = p.path.find('/', slash + 1))
            directory(p.path.substr(0, slash), p.path.substr(p.base, slash - p.base), false, false);
    }
    // One level, for a plain listing without -r.
    void shallow(const std::string& path, const std::string& prefix) {
        const auto skip = path.empty() ? 0 : path.size() + 1;
        for (const auto& v : catalogue_.below(volume_, path)) {
            const auto rest = v->path.substr(skip);
            const auto slash = rest.find('/');
            if (slash != rest.npos)
                directory(v->path.substr(0, skip + slash), prefix + rest.substr(0, slash), false, false);
            else if (v->kind == Kind::Directory) directory(v->path, prefix + rest, false, false);
            else file(v, prefix + rest);
        }
    }
    // A shell pattern over whole paths of as many parts.
    bool pattern(const ModulePath& p) {
        const auto depth = std::count(p.path.begin(), p.path.end(), '/');
        std::set<std::string> hits;
        for (const auto& v : catalogue_.below(volume_, "")) {
            std::size_t end = 0;
            for (long i = 0; i <= depth && end != v->path.npos; ++i) end = v->path.find('/', end + (i > 0));
            if (std::count(v->path.begin(), v->path.end(), '/') < depth) continue;
            const auto head = v->path.substr(0, end);
            if (wire::rsync::wildMatch(p.path, head)) hits.insert(head);
        }
        for (const auto& hit : hits) argument({hit, false, 0, ""});
        return !hits.empty();
    }

    const catalogue::Catalogue& catalogue_;
    const std::string& volume_;
    const wire::rsync::Options& options_;
    const wire::rsync::Filter& filter_;
    std::size_t most_;
    std::set<std::string> named_;
    bool told_ = false;
};

}  // namespace

ModulePath modulePath(const std::string& volume, const std::string& argument) {
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

Listing listFiles(const catalogue::Catalogue& catalogue, const std::string& volume,
                  const wire::rsync::Options& options, const std::vector<ModulePath>& paths,
                  const wire::rsync::Filter& filter, std::size_t most) {
    Builder build(catalogue, volume, options, filter, most);
    for (const auto& p : paths) build.argument(p);
    auto out = std::move(build.out);
    std::vector<std::pair<std::string, std::size_t>> keys(out.files.size());
    for (std::size_t i = 0; i < keys.size(); ++i) keys[i] = {wire::rsync::sortKey(out.files[i].entry), i};
    std::sort(keys.begin(), keys.end());
    std::vector<Listed> sorted;
    sorted.reserve(keys.size());
    for (const auto& [key, i] : keys) {
        // Named by two arguments: once is enough.
        if (!sorted.empty() && sorted.back().entry.name == out.files[i].entry.name) continue;
        sorted.push_back(std::move(out.files[i]));
    }
    out.files = std::move(sorted);
    return out;
}

}  // namespace spokewheel::fronts::rsync
