// Decides what an upload does with each file of the client's list, from the options and the stored version.
// Pure: no I/O, no clocks. Checks are made in the order of the rsync manual: size bounds, --existing,
// --ignore-existing, --update, then the quick check.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "catalogue/file_version.hpp"
#include "wire/rsync/file_list.hpp"
#include "wire/rsync/options.hpp"
#include "wire/rsync/tokens.hpp"

namespace spokewheel::fronts::rsync {

// UpToDate keeps the stored content, but attributes may still change.
enum class FileAction { Skip, UpToDate, Transfer };

// Whether two modification times count as equal: to within `window` seconds, or to the nanosecond if
// `window` is negative (--modify-window=-1).
inline bool sameTime(std::int64_t aSeconds, std::uint32_t aNanoseconds, std::int64_t bSeconds,
                     std::uint32_t bNanoseconds, int window) {
    if (window < 0) return aSeconds == bSeconds && aNanoseconds == bNanoseconds;
    return aSeconds - bSeconds <= window && bSeconds - aSeconds <= window;
}

// Whether the entry's content counts as equal to the stored version's under the quick-check options. `sum` is
// the stored content's checksum of the kind that the list carries, empty if not known.
inline bool sameContent(const wire::rsync::FileEntry& entry, const catalogue::FileVersion& existing,
                        const std::string& sum, const wire::rsync::Options& options) {
    if (existing.kind != catalogue::Kind::File || entry.size != existing.size) return false;
    if (options.checksum) return !sum.empty() && entry.sum == sum;
    if (options.sizeOnly) return true;
    return !options.ignoreTimes &&
           sameTime(entry.mtime, entry.nsec, existing.mtime, existing.nsec, options.modifyWindow);
}

inline FileAction decideFileAction(const wire::rsync::FileEntry& entry,
                                   const catalogue::FileVersion* existing, const std::string& sum,
                                   const wire::rsync::Options& options) {
    if ((options.maxSize && entry.size > *options.maxSize) ||
        (options.minSize && entry.size < *options.minSize))
        return FileAction::Skip;
    if (!existing) return options.existingOnly ? FileAction::Skip : FileAction::Transfer;
    if (options.ignoreExisting) return FileAction::Skip;
    if (options.update && entry.mtime - existing->mtime < std::max(options.modifyWindow, 0))
        return FileAction::Skip;
    return sameContent(entry, *existing, sum, options) ? FileAction::UpToDate : FileAction::Transfer;
}

constexpr std::uint32_t kNewFileUmask = 022;
// The permission bits that a file or directory gets: the client's with --perms; otherwise those of the
// existing version, or for a new one the client's under the umask.
inline std::uint32_t resultingMode(std::uint32_t clientMode, const catalogue::FileVersion* existing,
                                   const wire::rsync::Options& options) {
    clientMode &= 07777;
    if (options.perms) return clientMode;
    if (!existing) return clientMode & 0777 & ~kNewFileUmask;
    if (!options.executability || existing->kind != catalogue::Kind::File) return existing->mode;
    // --executability: executable by everyone who may read the file, or by nobody.
    const auto withoutExecute = existing->mode & ~0111u;
    return clientMode & 0111 ? withoutExecute | ((withoutExecute & 0444) >> 2) : withoutExecute;
}

}  // namespace spokewheel::fronts::rsync
