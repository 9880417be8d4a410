#include "catalogue/catalogue.hpp"

#include "catalogue/decide_winner.hpp"

namespace spokewheel::catalogue {

void Catalogue::addVersion(const std::string& volume, FileVersion version) {
    auto& current = volumes_[volume][version.path];
    if (current && current->id == version.id && current->shard != version.shard) ++duplicates_;
    if (current && !supersedes(version, *current)) return;
    if (!current) ++count_;
    current = std::make_shared<const FileVersion>(std::move(version));
}

void Catalogue::forgetShard(int shard) {
    for (auto& [name, files] : volumes_)
        for (auto it = files.begin(); it != files.end();)
            if (it->second->shard == shard) it = files.erase(it), --count_;
            else ++it;
}

FileVersionPtr Catalogue::find(const std::string& volume, const std::string& path) const {
    const auto v = volumes_.find(volume);
    if (v == volumes_.end()) return nullptr;
    const auto f = v->second.find(path);
    return f == v->second.end() || f->second->kind == Kind::Deleted ? nullptr : f->second;
}

std::uint64_t Catalogue::baseVersion(const std::string& volume, const std::string& path) const {
    const auto v = volumes_.find(volume);
    if (v == volumes_.end()) return 0;
    const auto f = v->second.find(path);
    return f == v->second.end() ? 0 : f->second->version;
}

std::vector<FileVersionPtr> Catalogue::entriesBelow(const std::string& volume,
                                                    const std::string& directory) const {
    std::vector<FileVersionPtr> out;
    const auto v = volumes_.find(volume);
    if (v == volumes_.end()) return out;
    const auto prefix = directory.empty() ? "" : directory + "/";
    for (auto it = v->second.lower_bound(prefix); it != v->second.end(); ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0) break;
        if (it->second->kind != Kind::Deleted) out.push_back(it->second);
    }
    return out;
}

Catalogue::Page Catalogue::pageBelow(const std::string& volume, const std::string& directory,
                                     const std::string& after, std::size_t maxPaths) const {
    Page out;
    const auto v = volumes_.find(volume);
    if (v == volumes_.end()) return out;
    const auto prefix = directory.empty() ? "" : directory + "/";
    auto it = after.empty() ? v->second.lower_bound(prefix) : v->second.upper_bound(after);
    for (; it != v->second.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        out.more = maxPaths-- == 0;
        if (out.more) return out;
        out.last = it->first;
        if (it->second->kind != Kind::Deleted) out.entries.push_back(it->second);
    }
    return out;
}

std::size_t Catalogue::countBelow(const std::string& volume, const std::string& directory) const {
    const auto v = volumes_.find(volume);
    if (v == volumes_.end()) return 0;
    if (directory.empty()) return v->second.size();
    const auto prefix = directory + "/";
    std::size_t n = 0;
    for (auto it = v->second.lower_bound(prefix); it != v->second.end(); ++it, ++n)
        if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    return n;
}

bool Catalogue::isDirectory(const std::string& volume, const std::string& path) const {
    if (path.empty()) return true;
    if (const auto own = find(volume, path)) return own->kind == Kind::Directory;
    const auto v = volumes_.find(volume);
    if (v == volumes_.end()) return false;
    const auto prefix = path + "/";
    for (auto it = v->second.lower_bound(prefix); it != v->second.end(); ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0) return false;
        if (it->second->kind != Kind::Deleted) return true;
    }
    return false;
}

}  // namespace spokewheel::catalogue
