// Decides which of two versions of a path is the current one, on all hosts alike. Free of I/O and clocks.
#pragma once

#include "catalogue/file_version.hpp"

namespace spokewheel::catalogue {

// Whether `a` takes precedence over `b`, another version of the same path. A total order, so that hosts which
// have received the same versions in any order show the same one: the higher version number; of two uploads
// that replace the same version, the higher id; of one upload stored on two nodes, the copy on the lower
// shard.
inline bool supersedes(const FileVersion& a, const FileVersion& b) {
    if (a.version != b.version) return a.version > b.version;
    if (a.id != b.id) return a.id > b.id;
    return a.shard < b.shard;
}

}  // namespace spokewheel::catalogue
