// What goes of that which lies at the destination and is not in the client's list. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spokewheel::fronts::rsync {

struct ExistingEntry {
    std::string path;
    bool directory = false;
};
struct DeletionPlan {
    std::vector<std::size_t> toDelete;  // places in what lies there; what a directory holds comes before it
    std::uint64_t skipped = 0;          // that only the most allowed keeps
};

// `lying` is in the order of paths. What goes is not `named`, lies in a directory of which the list has the
// `content` or that goes itself, and may go by the client's rules. A directory stays while something in it
// stays, or is kept there as a backup.
inline DeletionPlan selectDeletions(const std::vector<ExistingEntry>& lying,
                                    const std::set<std::string>& named, const std::set<std::string>& content,
                                    const std::function<bool(const ExistingEntry&)>& mayGo,
                                    const std::function<bool(const ExistingEntry&)>& leavesBackup,
                                    std::optional<std::uint64_t> most) {
    std::set<std::string> gone, holds;
    std::vector<std::size_t> candidates;
    const auto parentOf = [](const std::string& path) {
        const auto slash = path.rfind('/');
        return slash == path.npos ? std::string() : path.substr(0, slash);
    };
    for (std::size_t i = 0; i < lying.size(); ++i) {
        const auto& one = lying[i];
        const auto parent = parentOf(one.path);
        const bool goes =
            !named.count(one.path) && (content.count(parent) || gone.count(parent)) && mayGo(one);
        if (goes) candidates.push_back(i);
        if (goes && one.directory) gone.insert(one.path);
        if (goes && (one.directory || !leavesBackup(one))) continue;
        for (auto up = parent; !up.empty(); up = parentOf(up))
            if (!holds.insert(up).second) break;
    }
    DeletionPlan out;
    for (auto it = candidates.rbegin(); it != candidates.rend(); ++it) {
        const auto& one = lying[*it];
        if (one.directory && holds.count(one.path)) continue;
        if (most && out.toDelete.size() >= *most) ++out.skipped;
        else out.toDelete.push_back(*it);
    }
    return out;
}

}  // namespace spokewheel::fronts::rsync
