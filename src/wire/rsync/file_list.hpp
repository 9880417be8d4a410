// The file list of the rsync protocol (30 and later, without incremental recursion): entries encoded relative
// to the previous one, the order into which both sides sort them, and the owner names that follow the list.
// Free of I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wire/rsync/bytes.hpp"

namespace spokewheel::wire::rsync {

constexpr std::uint32_t kTypeMask = 0170000, kRegular = 0100000, kDirectory = 0040000, kSymlink = 0120000;
constexpr std::size_t kMaxPathBytes = 4095;  // of a whole path, as in the stock client

struct FileEntry {
    std::string name;
    std::uint64_t size = 0;
    std::int64_t mtime = 0;  // seconds
    std::uint32_t nsec = 0, mode = 0;
    std::string sum;            // of the whole file, if the session's list carries checksums
    bool contentListed = true;  // a directory whose content is in the list
    bool topDirectory = false;  // a directory named by an argument
    bool dropped = false;       // a duplicate name: keeps its index but is not used
    bool isFile() const { return (mode & kTypeMask) == kRegular; }
    bool isDirectory() const { return (mode & kTypeMask) == kDirectory; }
};

// Which fields the entries have, as the options and the protocol version of the session determine.
struct ListForm {
    int protocol = 31;
    // varintFlags: entry flags are varints. safeFileList: the end of the list can carry an I/O error.
    // idNames: owner names follow the list; idZeroName: that of id 0 ends them.
    bool varintFlags = true, safeFileList = true, uids = false, gids = false, links = false, devices = false,
         specials = false, hardLinks = false, idZeroName = false, idNames = true;
    std::size_t sumBytes = 0;  // 0: no checksums in the list
};

// Decodes untrusted bytes into the entries of one list.
class ListReader {
  public:
    explicit ListReader(const ListForm& form) : form_(form) {}
    enum class Result {
        NeedMore,  // the input ends before the next result; nothing was consumed
        Entry,     // `entry` is the next entry
        End,       // the list and its owner names are complete; ioError() is set
        Invalid    // error() holds the reason; the session is unusable
    };
    // Consumes one entry, or the end of the list with the owner names after it, from the front of `in`.
    Result next(std::string_view& in, FileEntry& entry);
    const std::string& error() const { return error_; }
    // The sender's I/O error bits; not 0 if the list may be incomplete.
    int ioError() const { return ioError_; }

  private:
    void readEntry(Reader& r, std::uint32_t flags, FileEntry& e) const;
    bool skipOwnerNames(Reader& r) const;
    ListForm form_;
    FileEntry last_;
    // The fields of the first entry of a group of hard links; the others of the group refer to it by its
    // index.
    struct LinkTarget {
        std::uint64_t size;
        std::int64_t mtime;
        std::uint32_t nsec, mode;
        std::string sum;
    };
    std::map<std::int32_t, LinkTarget> linkTargets_;
    std::int32_t entryCount_ = 0;
    std::string error_;
    int ioError_ = 0;
    bool ended_ = false, anyDevice_ = false;
};

// Encodes a list. All entries belong to owner 0.
class ListWriter {
  public:
    explicit ListWriter(const ListForm& form) : form_(form) {}
    void put(std::string& out, const FileEntry& entry);
    void end(std::string& out, int ioError);

  private:
    ListForm form_;
    FileEntry last_;
    bool first_ = true;
};

// A key whose byte order is the order in which both sides number the entries (protocol 29 and later): within
// a directory its files come first, then its directories, each followed by its content.
std::string sortKey(const FileEntry& entry);
// Sorts entries in steps of bounded work, so that a long list does not block its thread. Equal entries stay
// in the order in which they were added.
class ListSorter {
  public:
    // Moves per list entry that take about as long as the other work on that entry.
    static constexpr std::size_t kMovesPerEntry = 4;
    void add(const FileEntry& entry);
    // Continues for about `moves` moves of a key; returns true once the list is sorted.
    bool step(std::size_t moves);
    // The positions of the sorted entries in the order of add(); valid once step() has returned true.
    const std::vector<std::uint32_t>& order() const { return sorted_; }

  private:
    // The keys are stored back to back in blocks: freeing a hundred thousand separate strings takes longer
    // than a step may last.
    std::deque<std::string> blocks_;
    std::vector<std::string_view> keys_;
    // sorted_ consists of sorted runs of `runLength_`; merged_ takes the runs of the next pass.
    std::vector<std::uint32_t> sorted_, merged_;
    // nextUnsorted_: first key not in a run yet; left_, right_: next elements of the two runs being merged
    std::size_t runLength_ = 0, nextUnsorted_ = 0, left_ = 0, right_ = 0;
};
// Appends the entry to a list built in sort order. Of entries with the same name, one stays and the others
// are marked as dropped: a directory wins, else the first. `keptIndex` is that of the last entry that stayed.
void appendSorted(std::vector<FileEntry>& sorted, std::size_t& keptIndex, FileEntry entry);
// Sorts the list and marks duplicate names as dropped, as appendSorted() does.
void sortList(std::vector<FileEntry>& list);

// Why a name from a client is refused; empty if it is valid: relative, no "..", no empty or "." components (a
// lone "." is the top directory), no NUL, components of at most 255 bytes.
std::string invalidNameReason(std::string_view name);

}  // namespace spokewheel::wire::rsync
