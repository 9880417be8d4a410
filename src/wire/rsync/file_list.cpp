#include "wire/rsync/file_list.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace spokewheel::wire::rsync {
namespace {

// Flags of an entry (XMIT_* in rsync).
enum Flag : std::uint32_t {
    kTopDirectory = 1 << 0,
    kSameMode = 1 << 1,
    kExtendedFlags = 1 << 2,
    kSameUid = 1 << 3,
    kSameGid = 1 << 4,
    kSharedPrefix = 1 << 5,
    kLongName = 1 << 6,
    kSameTime = 1 << 7,
    kSameDeviceMajor = 1 << 8,  // devices
    kNoContent = 1 << 8,        // directories
    kHardLinked = 1 << 9,
    kUserNameFollows = 1 << 10,
    kGroupNameFollows = 1 << 11,
    kIoErrorEndList = 1 << 12,  // with kExtendedFlags alone
    kHardLinkFirst = 1 << 12,   // with kHardLinked
    kHasNsec = 1 << 13,
};

bool isDevice(std::uint32_t mode) {
    const auto t = mode & kTypeMask;
    return t == 0020000 || t == 0060000;
}
bool isSpecial(std::uint32_t mode) {
    const auto t = mode & kTypeMask;
    return t == 0010000 || t == 0140000;
}

}  // namespace

void ListReader::readEntry(Reader& r, std::uint32_t flags, FileEntry& e) const {
    const std::size_t shared = flags & kSharedPrefix ? r.byte() : 0;
    const auto rest = flags & kLongName ? static_cast<std::uint32_t>(r.varint()) : r.byte();
    if (shared > last_.name.size() || shared + rest > kMaxPathBytes) return r.fail("file name too long");
    e.name = last_.name.substr(0, shared);
    e.name += r.bytes(rest);
    if (r.complete() && (e.name.empty() || e.name.find('\0') != e.name.npos))
        return r.fail("empty file name, or one with a NUL");
    if ((flags & kHardLinked) && !form_.hardLinks) return r.fail("hard links were not asked for");
    if ((flags & kHardLinked) && !(flags & kHardLinkFirst)) {
        // All other fields equal those of the first entry of the group, which is given by its index.
        const auto firstIndex = r.varint();
        const auto first = linkTargets_.find(firstIndex);
        if (!r.complete()) return;
        if (first == linkTargets_.end()) return r.fail("a hard link to what is not there");
        const auto& target = first->second;
        e.size = target.size, e.mtime = target.mtime, e.nsec = target.nsec, e.mode = target.mode,
        e.sum = target.sum;
        return;
    }
    const auto size = r.varlong(3);
    if (size < 0) return r.fail("negative file size");
    e.size = static_cast<std::uint64_t>(size);
    e.mtime = flags & kSameTime ? last_.mtime : r.varlong(4);
    e.nsec = flags & kHasNsec ? static_cast<std::uint32_t>(r.varint()) : 0;
    e.mode = flags & kSameMode ? last_.mode : r.u32();
    if (form_.uids && !(flags & kSameUid)) {
        r.varint();
        if (flags & kUserNameFollows) r.bytes(r.byte());
    }
    if (form_.gids && !(flags & kSameGid)) {
        r.varint();
        if (flags & kGroupNameFollows) r.bytes(r.byte());
    }
    const bool device = form_.devices && isDevice(e.mode);
    const bool special = form_.specials && isSpecial(e.mode) && form_.protocol < 31;
    if (device || special) {
        if (!(flags & kSameDeviceMajor)) r.varint();
        r.varint();
    }
    if (form_.links && (e.mode & kTypeMask) == kSymlink) {
        const auto n = static_cast<std::uint32_t>(r.varint());
        if (n > kMaxPathBytes) return r.fail("symlink target too long");
        r.bytes(n);
    }
    if (form_.sumBytes && (e.mode & kTypeMask) == kRegular) e.sum = r.bytes(form_.sumBytes);
    e.topDirectory = flags & kTopDirectory;
    e.contentListed = e.isDirectory() && !(flags & kNoContent);
}

// The owner names after the list: id and name of each, ended by id 0, with its name if both sides support
// that.
bool ListReader::skipOwnerNames(Reader& r) const {
    for (int i = 0; form_.idNames && i < (form_.uids ? 1 : 0) + (form_.gids ? 1 : 0); ++i) {
        while (r.complete() && !r.failed() && r.varint() != 0 && r.complete()) r.bytes(r.byte());
        if (form_.idZeroName) r.bytes(r.byte());
    }
    return r.complete() && !r.failed();
}

ListReader::Result ListReader::next(std::string_view& in, FileEntry& entry) {
    if (!error_.empty()) return Result::Invalid;
    Reader r(in);
    const auto finish = [&](Result result) {
        if (r.failed()) {
            error_ = r.error();
            return Result::Invalid;
        }
        if (!r.complete()) return Result::NeedMore;
        in.remove_prefix(r.consumed());
        return result;
    };
    std::uint32_t flags = 0;
    int error = 0;
    bool end = false;
    if (form_.varintFlags) {
        flags = static_cast<std::uint32_t>(r.varint());
        if ((end = flags == 0)) error = r.varint();
    } else {
        flags = r.byte();
        end = flags == 0;
        if (flags & kExtendedFlags) flags |= static_cast<std::uint32_t>(r.byte()) << 8;
        if (form_.safeFileList && flags == (kExtendedFlags | kIoErrorEndList)) {
            error = r.varint();
            end = true;
        }
    }
    if (!r.complete() || r.failed()) return finish(Result::NeedMore);
    if (end) {
        skipOwnerNames(r);
        const auto result = finish(Result::End);
        if (result == Result::End) ioError_ = error;
        return result;
    }
    entry = {};
    readEntry(r, flags, entry);
    const auto result = finish(Result::Entry);
    if (result == Result::Entry) {
        if ((flags & kHardLinked) && (flags & kHardLinkFirst))
            linkTargets_[entryCount_] = {entry.size, entry.mtime, entry.nsec, entry.mode, entry.sum};
        ++entryCount_;
        last_ = entry;
    }
    return result;
}

void ListWriter::put(std::string& out, const FileEntry& e) {
    std::uint32_t flags = kSameUid | kSameGid;  // all belong to 0, the initial value of both sides
    std::size_t shared = 0;
    const std::size_t maxShared = std::min<std::size_t>({last_.name.size(), e.name.size(), 255});
    while (shared < maxShared && last_.name[shared] == e.name[shared]) ++shared;
    const auto rest = e.name.size() - shared;
    if (shared > 0) flags |= kSharedPrefix;
    if (rest > 255) flags |= kLongName;
    if (!first_ && e.mode == last_.mode) flags |= kSameMode;
    if (!first_ && e.mtime == last_.mtime) flags |= kSameTime;
    if (e.nsec && form_.protocol >= 31) flags |= kHasNsec;
    if (e.isDirectory() && e.topDirectory) flags |= kTopDirectory;
    if (e.isDirectory() && !e.contentListed) flags |= kNoContent;
    if (form_.varintFlags) putVarint(out, static_cast<std::int32_t>(flags ? flags : kExtendedFlags));
    else if (flags & 0xff00) putU16(out, static_cast<std::uint16_t>(flags | kExtendedFlags));
    else out += static_cast<char>(flags);
    if (flags & kSharedPrefix) out += static_cast<char>(shared);
    if (flags & kLongName) putVarint(out, static_cast<std::int32_t>(rest));
    else out += static_cast<char>(rest);
    out.append(e.name, shared);
    putVarlong(out, static_cast<std::int64_t>(e.size), 3);
    if (!(flags & kSameTime)) putVarlong(out, e.mtime, 4);
    if (flags & kHasNsec) putVarint(out, static_cast<std::int32_t>(e.nsec));
    if (!(flags & kSameMode)) putU32(out, e.mode);
    if (form_.sumBytes && e.isFile()) {
        std::string sum = e.sum;
        sum.resize(form_.sumBytes);
        out += sum;
    }
    last_ = e;
    first_ = false;
}

void ListWriter::end(std::string& out, int ioError) {
    if (form_.varintFlags) {
        putVarint(out, 0);
        putVarint(out, ioError);
    } else if (form_.safeFileList && ioError) {
        putU16(out, kExtendedFlags | kIoErrorEndList);
        putVarint(out, ioError);
    } else out += '\0';
    for (int i = 0; form_.idNames && i < (form_.uids ? 1 : 0) + (form_.gids ? 1 : 0); ++i) {
        putVarint(out, 0);
        if (form_.idZeroName) out += '\0';
    }
}

std::string sortKey(const FileEntry& entry) {
    // Each component is preceded by 1 for a file and 2 for a directory, and a directory's ends in '/'; the
    // top directory "." is an empty file name. Compared as bytes, this is the order of the reference
    // implementation (f_name_cmp).
    std::string key;
    std::string_view rest = entry.name;
    for (auto slash = rest.find('/'); slash != rest.npos; slash = rest.find('/')) {
        key += '\2';
        key += rest.substr(0, slash + 1);
        rest.remove_prefix(slash + 1);
    }
    if (entry.isDirectory() && rest == ".") return key + '\1';
    key += entry.isDirectory() ? '\2' : '\1';
    key += rest;
    if (entry.isDirectory()) key += '/';
    return key;
}

void ListSorter::add(const FileEntry& entry) {
    constexpr std::size_t kBlockBytes = 64 * 1024;
    const auto key = sortKey(entry);
    if (blocks_.empty() || blocks_.back().capacity() - blocks_.back().size() < key.size())
        blocks_.emplace_back().reserve(std::max(kBlockBytes, key.size()));
    auto& block = blocks_.back();
    const auto at = block.size();
    block += key;  // fits the capacity: views of the block stay valid
    keys_.push_back(std::string_view(block).substr(at));
}

bool ListSorter::step(std::size_t moves) {
    // kRunMoves: cost of sorting a run, in moves per key.
    constexpr std::size_t kRunLength = 256, kRunMoves = 8;
    const auto n = keys_.size();
    const auto before = [this](std::uint32_t a, std::uint32_t b) {
        const int order = keys_[a].compare(keys_[b]);
        return order < 0 || (order == 0 && a < b);
    };
    while (runLength_ == 0 && nextUnsorted_ < n) {
        if (moves == 0) return false;
        const auto first = nextUnsorted_;
        for (nextUnsorted_ = std::min(n, nextUnsorted_ + kRunLength); sorted_.size() < nextUnsorted_;)
            sorted_.push_back(static_cast<std::uint32_t>(sorted_.size()));
        std::sort(sorted_.begin() + static_cast<std::ptrdiff_t>(first), sorted_.end(), before);
        moves -= std::min(moves, kRunMoves * (nextUnsorted_ - first));
    }
    if (runLength_ == 0) runLength_ = kRunLength;
    for (; runLength_ < n; runLength_ *= 2) {
        merged_.reserve(n);
        while (merged_.size() < n) {
            const auto base = merged_.size() / (2 * runLength_) * (2 * runLength_);
            const auto middle = std::min(n, base + runLength_), end = std::min(n, base + 2 * runLength_);
            if (merged_.size() == base) left_ = base, right_ = middle;
            for (; merged_.size() < end; --moves) {
                if (moves == 0) return false;
                const bool right =
                    left_ == middle || (right_ < end && before(sorted_[right_], sorted_[left_]));
                merged_.push_back(sorted_[right ? right_++ : left_++]);
            }
        }
        sorted_.swap(merged_);
        merged_.clear();
    }
    blocks_.clear();
    keys_ = {};
    merged_ = {};
    return true;
}

void appendSorted(std::vector<FileEntry>& sorted, std::size_t& keptIndex, FileEntry entry) {
    sorted.push_back(std::move(entry));
    const auto last = sorted.size() - 1;
    auto& e = sorted[last];
    if (last == 0 || e.name != sorted[keptIndex].name) keptIndex = last;
    else if (e.isDirectory() && !sorted[keptIndex].isDirectory())
        sorted[keptIndex].dropped = true, keptIndex = last;
    else e.dropped = true;
}

void sortList(std::vector<FileEntry>& list) {
    ListSorter sorter;
    for (const auto& e : list) sorter.add(e);
    sorter.step(std::numeric_limits<std::size_t>::max());
    std::vector<FileEntry> sorted;
    sorted.reserve(list.size());
    std::size_t keptIndex = 0;
    for (const auto i : sorter.order()) appendSorted(sorted, keptIndex, std::move(list[i]));
    list = std::move(sorted);
}

std::string invalidNameReason(std::string_view name) {
    if (name.empty()) return "is empty";
    if (name == ".") return "";
    if (name.size() > kMaxPathBytes) return "is longer than " + std::to_string(kMaxPathBytes) + " bytes";
    if (name.find('\0') != name.npos) return "holds a NUL";
    if (name.front() == '/') return "is absolute";
    for (std::size_t at = 0; at <= name.size();) {
        const auto slash = std::min(name.find('/', at), name.size());
        const auto component = name.substr(at, slash - at);
        if (component.empty()) return "has an empty part";
        if (component == "..") return "holds '..'";
        if (component == ".") return "holds '.'";
        if (component.size() > 255) return "has a part longer than 255 bytes";
        at = slash + 1;
    }
    return "";
}

}  // namespace spokewheel::wire::rsync
