// Which of two versions of one path is the one that all hosts show. Free of I/O and clocks.
#pragma once

#include "catalogue/file_version.hpp"

namespace spokewheel::catalogue {

// Whether `a` is shown rather than `b`. A total order over versions of a path, so that hosts which have heard
// the same, in whatever order, show the same: the higher version; of two uploads on one base, the higher id;
// of one upload that landed on two nodes, the copy on the lower shard.
inline bool supersedes(const FileVersion& a, const FileVersion& b) {
    if (a.version != b.version) return a.version > b.version;
    if (a.id != b.id) return a.id > b.id;
    return a.shard < b.shard;
}

}  // namespace spokewheel::catalogue
