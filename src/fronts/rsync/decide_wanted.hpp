// What an upload does with each file of the client's list, by its options and what is shown already; and how
// many of the files that lie here too much may go. Free of I/O and clocks. Order and meaning as the manual of
// the stock client has them: size bounds, --existing, --ignore-existing, --update, then the quick check.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "catalogue/file_version.hpp"
#include "wire/rsync/file_list.hpp"
#include "wire/rsync/options.hpp"
#include "wire/rsync/tokens.hpp"

namespace spokewheel::fronts::rsync {

enum class Wanted { Skip, Same, Transfer };

// Whether two times are taken for the same: by whole seconds, within a window of them, or (-1) to the
// nanosecond.
inline bool sameTime(std::int64_t aS, std::uint32_t aNs, std::int64_t bS, std::uint32_t bNs, int window) {
    if (window < 0) return aS == bS && aNs == bNs;
    return aS - bS <= window && bS - aS <= window;
}

// `sum` is the shown content's checksum in the list's form; empty where it is not known in that form.
inline bool sameContent(const wire::rsync::FileEntry& e, const catalogue::FileVersion& shown,
                        const std::string& sum, const wire::rsync::Options& o) {
    if (shown.kind != catalogue::Kind::File || e.size != shown.size) return false;
    if (o.checksum) return !sum.empty() && e.sum == sum;
    if (o.sizeOnly) return true;
    return !o.ignoreTimes && sameTime(e.mtime, e.nsec, shown.mtime, shown.nsec, o.modifyWindow);
}

inline Wanted wanted(const wire::rsync::FileEntry& e, const catalogue::FileVersion* shown,
                     const std::string& sum, const wire::rsync::Options& o) {
    if ((o.maxSize && e.size > *o.maxSize) || (o.minSize && e.size < *o.minSize)) return Wanted::Skip;
    if (!shown) return o.existing ? Wanted::Skip : Wanted::Transfer;
    if (o.ignoreExisting) return Wanted::Skip;
    if (o.update && e.mtime - shown->mtime < std::max(o.modifyWindow, 0)) return Wanted::Skip;
    return sameContent(e, *shown, sum, o) ? Wanted::Same : Wanted::Transfer;
}

// The mode that a file or directory gets: the client's with -p; else what it has, or as a new one would have
// it.
constexpr std::uint32_t kNewMask = 022;
inline std::uint32_t modeFor(std::uint32_t client, const catalogue::FileVersion* shown,
                             const wire::rsync::Options& o) {
    client &= 07777;
    if (o.perms) return client;
    if (!shown) return client & 0777 & ~kNewMask;
    if (!o.executability || shown->kind != catalogue::Kind::File) return shown->mode;
    // -E: executable by whoever may read it, or by nobody.
    const auto kept = shown->mode & ~0111u;
    return client & 0111 ? kept | ((kept & 0444) >> 2) : kept;
}

}  // namespace spokewheel::fronts::rsync
