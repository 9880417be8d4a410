// Which files of a volume a client's arguments name, as the list it is sent. Reads the catalogue; no I/O.
#pragma once

#include <deque>
#include <set>
#include <string>
#include <vector>

#include "catalogue/catalogue.hpp"
#include "wire/rsync/file_list.hpp"
#include "wire/rsync/options.hpp"

namespace spokewheel::fronts::rsync {

struct Listed {
    wire::rsync::FileEntry entry;
    catalogue::FileVersionPtr version;  // pinned: what is served even where the path is replaced meanwhile
};
struct Listing {
    std::deque<Listed> files;         // in the order both sides number them; never moved to grow
    std::vector<std::string> errors;  // arguments that name nothing, options that can't be met
};

// A path of a client below its module: the module's name and slashes around are taken off, and what
// faultOfName() refuses is refused. "" is the top. What lies before a "/./" part is the base of a relative
// list.
struct ModulePath {
    std::string path;
    bool trailingSlash = false;
    std::size_t base = 0;  // bytes of `path` that names in a relative list leave out, its slash included
    std::string fault;
};
ModulePath parseModulePath(const std::string& volume, const std::string& argument);

// Makes such a list in steps of bounded work: walks the catalogue, then sorts. Everything it is given
// outlives it. A path that changes while it walks is listed as it was or as it is.
class ListBuilder {
  public:
    ListBuilder(const catalogue::Catalogue& catalogue, const std::string& volume,
                const wire::rsync::Options& options, std::vector<ModulePath> paths,
                const wire::rsync::Filter& filter, std::size_t most);
    // Goes on for about so many entries; true once the list is whole.
    bool step(std::size_t entries);
    Listing take() { return std::move(sorted_); }

  private:
    enum class What { Argument, Tree, Level, Pattern };
    struct Task {
        What what = What::Argument;
        ModulePath path;
        std::string prefix;          // of the names: "" or with a slash at its end
        std::string after;           // as far as the walk has come
        std::set<std::string> hits;  // of a pattern
    };
    void file(const catalogue::FileVersionPtr& v, const std::string& name);
    void directory(const std::string& path, const std::string& name, bool top, bool content);
    void argument(const ModulePath& p);
    void walk(Task& task, const catalogue::FileVersionPtr& v);
    void over(Task task);
    void parents(const ModulePath& p);
    void put(Listed listed);
    void fault(std::string words);
    bool full();

    const catalogue::Catalogue& catalogue_;
    const std::string& volume_;
    const wire::rsync::Options& options_;
    const wire::rsync::Filter& filter_;
    std::size_t most_;
    std::deque<Task> tasks_;
    std::set<std::string> named_;  // directories that are listed
    std::deque<Listed> found_;
    wire::rsync::ListSorter sorter_;
    std::size_t moved_ = 0;
    bool told_ = false;
    Listing sorted_;
};

}  // namespace spokewheel::fronts::rsync
