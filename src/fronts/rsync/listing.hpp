// Which files of a volume a client's arguments name, as the list it is sent. Reads the catalogue; no I/O.
#pragma once

#include <string>
#include <vector>

#include "catalogue/catalogue.hpp"
#include "wire/rsync/file_list.hpp"
#include "wire/rsync/options.hpp"

namespace spokewheel::fronts::rsync {

struct Listed {
    wire::rsync::FileEntry entry;
    catalogue::Shown version;  // pinned: what is served even where the path is replaced meanwhile
};
struct Listing {
    std::vector<Listed> files;        // in the order both sides number them
    std::vector<std::string> faults;  // arguments that name nothing, options that can't be met
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
ModulePath modulePath(const std::string& volume, const std::string& argument);

Listing listFiles(const catalogue::Catalogue& catalogue, const std::string& volume,
                  const wire::rsync::Options& options, const std::vector<ModulePath>& paths,
                  const wire::rsync::Filter& filter, std::size_t most);

}  // namespace spokewheel::fronts::rsync
