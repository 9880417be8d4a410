// Builds the file list of a download from the client's path arguments. Reads the catalogue; no I/O.
#pragma once

#include <deque>
#include <set>
#include <string>
#include <vector>

#include "catalogue/catalogue.hpp"
#include "wire/rsync/file_list.hpp"
#include "wire/rsync/options.hpp"

namespace spokewheel::fronts::rsync {

struct ListedFile {
    wire::rsync::FileEntry entry;
    catalogue::FileVersionPtr version;  // served even if the path is overwritten meanwhile
};
struct Listing {
    std::deque<ListedFile> files;     // in index order; a deque, so that growing moves nothing
    std::vector<std::string> errors;  // messages for the client
};

// A client's path argument relative to its module, without the module name and redundant slashes. "" is the
// module's top. The part before "/./" is left out of the names of a --relative list.
struct ModulePath {
    std::string path;
    bool trailingSlash = false;
    std::size_t baseLength = 0;  // of the part before "/./", with its slash
    std::string error;           // why the path is refused (invalidNameReason()); empty if it is valid
};
ModulePath parseModulePath(const std::string& volume, const std::string& argument);

// Builds a listing in steps of bounded work: walks the catalogue, then sorts. The referenced arguments must
// outlive the builder. A path that changes during the walk is listed in either its old or its new state.
class ListBuilder {
  public:
    ListBuilder(const catalogue::Catalogue& catalogue, const std::string& volume,
                const wire::rsync::Options& options, std::vector<ModulePath> paths,
                const wire::rsync::Filter& filter, std::size_t maxEntries);
    // Processes about `entries` entries; returns true once the listing is complete.
    bool step(std::size_t entries);
    Listing take() { return std::move(listing_); }

  private:
    // A path argument not looked up yet, a recursive walk, a walk of one directory level, a shell pattern.
    enum class TaskKind { Argument, Tree, Level, Pattern };
    struct Task {
        TaskKind kind = TaskKind::Argument;
        ModulePath path;
        std::string prefix;             // of listed names: empty or with a trailing slash
        std::string resumeAfter;        // last path visited
        std::set<std::string> matches;  // paths that match the pattern
    };
    void addFile(const catalogue::FileVersionPtr& v, const std::string& name);
    void addDirectory(const std::string& path, const std::string& name, bool top, bool content);
    void resolveArgument(const ModulePath& p);
    void visit(Task& task, const catalogue::FileVersionPtr& v);
    void finishTask(Task task);
    void addParents(const ModulePath& p);
    void add(ListedFile listed);
    void addError(std::string message);
    bool limitReached();

    const catalogue::Catalogue& catalogue_;
    const std::string& volume_;
    const wire::rsync::Options& options_;
    const wire::rsync::Filter& filter_;
    std::size_t maxEntries_;
    std::deque<Task> tasks_;
    std::set<std::string> listedDirectories_;  // names of directories in the list
    std::deque<ListedFile> found_;
    wire::rsync::ListSorter sorter_;
    std::size_t movedCount_ = 0;
    bool limitReported_ = false;
    Listing listing_;
};

}  // namespace spokewheel::fronts::rsync
