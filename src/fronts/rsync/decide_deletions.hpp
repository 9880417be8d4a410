// Selects the entries of the destination that an upload with --delete removes. Pure: no I/O, no clocks.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spokewheel::fronts::rsync {

// A file or directory stored at the destination.
struct ExistingEntry {
    std::string path;
    bool directory = false;
};
struct DeletionPlan {
    std::vector<std::size_t> toDelete;  // indices into `existing`; a directory comes after its content
    std::uint64_t skipped = 0;          // entries left only because of --max-delete
};

// `existing` must be sorted by path. An entry is deleted if it is not in `listed`, its parent is one of
// `completeDirectories` (directories whose content the client listed) or is deleted as well, and `mayDelete`
// agrees. A directory stays as long as an entry below it stays or leaves a backup there. At most
// `maxDeletions` entries are selected, if set.
inline DeletionPlan selectDeletions(const std::vector<ExistingEntry>& existing,
                                    const std::set<std::string>& listed,
                                    const std::set<std::string>& completeDirectories,
                                    const std::function<bool(const ExistingEntry&)>& mayDelete,
                                    const std::function<bool(const ExistingEntry&)>& leavesBackup,
                                    std::optional<std::uint64_t> maxDeletions) {
    std::set<std::string> deletedDirectories, nonEmpty;
    std::vector<std::size_t> candidates;
    const auto parentOf = [](const std::string& path) {
        const auto slash = path.rfind('/');
        return slash == path.npos ? std::string() : path.substr(0, slash);
    };
    for (std::size_t i = 0; i < existing.size(); ++i) {
        const auto& entry = existing[i];
        const auto parent = parentOf(entry.path);
        const bool deleted = !listed.count(entry.path) &&
                             (completeDirectories.count(parent) || deletedDirectories.count(parent)) &&
                             mayDelete(entry);
        if (deleted) candidates.push_back(i);
        if (deleted && entry.directory) deletedDirectories.insert(entry.path);
        if (deleted && (entry.directory || !leavesBackup(entry))) continue;
        for (auto ancestor = parent; !ancestor.empty(); ancestor = parentOf(ancestor))
            if (!nonEmpty.insert(ancestor).second) break;
    }
    DeletionPlan plan;
    for (auto it = candidates.rbegin(); it != candidates.rend(); ++it) {
        const auto& entry = existing[*it];
        if (entry.directory && nonEmpty.count(entry.path)) continue;
        if (maxDeletions && plan.toDelete.size() >= *maxDeletions) ++plan.skipped;
        else plan.toDelete.push_back(*it);
    }
    return plan;
}

}  // namespace spokewheel::fronts::rsync
