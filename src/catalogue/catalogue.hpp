// The catalogue: the current version of each path of each volume, built from the change feeds of the nodes.
// Kept in memory only; a restarted host reads all feeds from the start. Nothing here blocks or does I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "catalogue/file_version.hpp"

namespace spokewheel::catalogue {

using FileVersionPtr = std::shared_ptr<const FileVersion>;

class Catalogue {
  public:
    // Adds a version found on a node or just stored by this host. It replaces the current version of its path
    // only if it supersedes it.
    void addVersion(const std::string& volume, FileVersion version);
    // Drops all versions of a shard whose node lost or replaced its store. Versions of other shards that they
    // superseded are current again, so the caller must read all feeds from the start.
    void forgetShard(int shard);

    // Returns nullptr if the path does not exist or was deleted.
    FileVersionPtr find(const std::string& volume, const std::string& path) const;
    // The version number that a new upload to the path replaces, also if the path was deleted; 0 if there is
    // none.
    std::uint64_t baseVersion(const std::string& volume, const std::string& path) const;
    // All existing entries below `directory` ("" for the root of the volume), sorted by path, without the
    // directory itself.
    std::vector<FileVersionPtr> entriesBelow(const std::string& volume, const std::string& directory) const;
    // One page of entriesBelow(), for iteration in bounded steps.
    struct Page {
        std::vector<FileVersionPtr> entries;
        std::string last;  // the path examined last: `after` of the next call
        bool more = false;
    };
    // Examines up to `maxPaths` paths that follow `after` ("" to begin) and returns those that exist. Changes
    // made between two calls are seen if they lie behind `after`, and missed if they lie before it.
    Page pageBelow(const std::string& volume, const std::string& directory, const std::string& after,
                   std::size_t maxPaths) const;
    // The number of paths below a directory, deleted ones included: an upper bound of the existing entries
    // that needs no copies.
    std::size_t countBelow(const std::string& volume, const std::string& directory) const;
    // Whether the path is a directory entry or any entry exists below it.
    bool isDirectory(const std::string& volume, const std::string& path) const;
    // The number of paths, deleted ones included.
    std::size_t size() const { return count_; }
    // How often a version was found with the same id on another shard (a repeated upload that went to another
    // node).
    std::uint64_t duplicates() const { return duplicates_; }

  private:
    std::map<std::string, std::map<std::string, FileVersionPtr>> volumes_;
    std::size_t count_ = 0;
    std::uint64_t duplicates_ = 0;
};

}  // namespace spokewheel::catalogue
