// What lies where: for each volume the shown version of each path, built from the nodes' feeds of changes.
// In memory only: a started host reads all feeds anew. Nothing here blocks or does I/O.
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
    // A version found at a node, or stored just now by this host. Older ones than the shown change nothing.
    void addVersion(const std::string& volume, FileVersion version);
    // A node lost or changed its store: all that was known of the shard is dropped; the feeds are read anew.
    void forgetShard(int shard);

    // nullptr where the path is not there or is gone.
    FileVersionPtr find(const std::string& volume, const std::string& path) const;
    // The version a new upload to the path replaces: also that of a deleted one; 0 where there was none.
    std::uint64_t baseVersion(const std::string& volume, const std::string& path) const;
    // All shown below `directory` ("" for the top), in the order of paths; the directory itself is left out.
    std::vector<FileVersionPtr> entriesBelow(const std::string& volume, const std::string& directory) const;
    // A part of the same, for walks in steps: of the `most` paths behind `after` ("": from the first) those
    // that are shown. What changes meanwhile behind the place reached is seen, what lies before it is not.
    struct Page {
        std::vector<FileVersionPtr> entries;
        std::string last;  // path looked at last: `after` of the next part
        bool more = false;
    };
    Page pageBelow(const std::string& volume, const std::string& directory, const std::string& after,
                   std::size_t most) const;
    // How many are shown below it, gone ones counted too: an upper bound that costs no copies.
    std::size_t countBelow(const std::string& volume, const std::string& directory) const;
    // Whether something lies below the path, or it is a directory of its own.
    bool isDirectory(const std::string& volume, const std::string& path) const;
    std::size_t size() const { return count_; }
    // Versions found twice with one id, at two shards (an upload made again that landed on another node).
    std::uint64_t duplicates() const { return duplicates_; }

  private:
    std::map<std::string, std::map<std::string, FileVersionPtr>> volumes_;
    std::size_t count_ = 0;
    std::uint64_t duplicates_ = 0;
};

}  // namespace spokewheel::catalogue
