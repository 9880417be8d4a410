#include "wire/rsync/file_list.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace spokewheel::wire::rsync {
namespace {

enum Flag : std::uint32_t {
    kTopDir = 1 << 0,
    kSameMode = 1 << 1,
    kExtended = 1 << 2,
    kSameUid = 1 << 3,
    kSameGid = 1 << 4,
    kSameName = 1 << 5,
    kLongName = 1 << 6,
    kSameTime = 1 << 7,
    kSameMajor = 1 << 8,  // of devices
    kNoContent = 1 << 8,  // of directories
    kHardLinked = 1 << 9,
    kUserName = 1 << 10,
    kGroupName = 1 << 11,
    kErrorEnd = 1 << 12,
    kLinkFirst = 1 << 12,  // of hard links
    kNsec = 1 << 13,
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

void ListReader::read(Reader& r, std::uint32_t flags, FileEntry& e) const {
    const std::size_t shared = flags & kSameName ? r.byte() : 0;
    const auto rest = flags & kLongName ? static_cast<std::uint32_t>(r.varint()) : r.byte();
    if (shared > last_.name.size() || shared + rest > kMostName) return r.fail("file name too long");
    e.name = last_.name.substr(0, shared);
    e.name += r.bytes(rest);
    if (r.enough() && (e.name.empty() || e.name.find('\0') != e.name.npos))
        return r.fail("empty file name, or one with a NUL");
    if ((flags & kHardLinked) && !form_.hardLinks) return r.fail("hard links were not asked for");
    if ((flags & kHardLinked) && !(flags & kLinkFirst)) {
        // All else is as with the first of its group, which is named by its place.
        const auto place = r.varint();
        const auto first = firsts_.find(place);
        if (!r.enough()) return;
        if (first == firsts_.end()) return r.fail("a hard link to what is not there");
        const auto& b = first->second;
        e.size = b.size, e.mtime = b.mtime, e.nsec = b.nsec, e.mode = b.mode, e.sum = b.sum;
        return;
    }
    const auto size = r.varlong(3);
    if (size < 0) return r.fail("negative file size");
    e.size = static_cast<std::uint64_t>(size);
    e.mtime = flags & kSameTime ? last_.mtime : r.varlong(4);
    e.nsec = flags & kNsec ? static_cast<std::uint32_t>(r.varint()) : 0;
    e.mode = flags & kSameMode ? last_.mode : r.u32();
    if (form_.uids && !(flags & kSameUid)) {
        r.varint();
        if (flags & kUserName) r.bytes(r.byte());
    }
    if (form_.gids && !(flags & kSameGid)) {
        r.varint();
        if (flags & kGroupName) r.bytes(r.byte());
    }
    const bool device = form_.devices && isDevice(e.mode);
    const bool special = form_.specials && isSpecial(e.mode) && form_.protocol < 31;
    if (device || special) {
        if (!(flags & kSameMajor)) r.varint();
        r.varint();
    }
    if (form_.links && (e.mode & kTypeMask) == kSymlink) {
        const auto n = static_cast<std::uint32_t>(r.varint());
        if (n > kMostName) return r.fail("symlink target too long");
        r.bytes(n);
    }
    if (form_.sumBytes && (e.mode & kTypeMask) == kRegular) e.sum = r.bytes(form_.sumBytes);
    e.top = flags & kTopDir;
    e.content = e.isDirectory() && !(flags & kNoContent);
}

// After the list: number and name of each owner, ended by 0 (and the name of 0 where both sides know that).
bool ListReader::names(Reader& r) const {
    for (int i = 0; form_.idNames && i < (form_.uids ? 1 : 0) + (form_.gids ? 1 : 0); ++i) {
        while (r.enough() && !r.bad() && r.varint() != 0 && r.enough()) r.bytes(r.byte());
        if (form_.idNames0) r.bytes(r.byte());
    }
    return r.enough() && !r.bad();
}

ListReader::Got ListReader::next(std::string_view& in, FileEntry& entry) {
    if (!error_.empty()) return Got::Bad;
    Reader r(in);
    const auto finish = [&](Got got) {
        if (r.bad()) {
            error_ = r.why();
            return Got::Bad;
        }
        if (!r.enough()) return Got::More;
        in.remove_prefix(r.used());
        return got;
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
        if (flags & kExtended) flags |= static_cast<std::uint32_t>(r.byte()) << 8;
        if (form_.safeEnd && flags == (kExtended | kErrorEnd)) {
            error = r.varint();
            end = true;
        }
    }
    if (!r.enough() || r.bad()) return finish(Got::More);
    if (end) {
        names(r);
        const auto got = finish(Got::End);
        if (got == Got::End) ioError_ = error;
        return got;
    }
    entry = {};
    read(r, flags, entry);
    const auto got = finish(Got::Entry);
    if (got == Got::Entry) {
        if ((flags & kHardLinked) && (flags & kLinkFirst))
            firsts_[count_] = {entry.size, entry.mtime, entry.nsec, entry.mode, entry.sum};
        ++count_;
        last_ = entry;
    }
    return got;
}

void ListWriter::put(std::string& out, const FileEntry& e) {
    std::uint32_t flags = kSameUid | kSameGid;  // all belong to 0, where both sides start from
    std::size_t shared = 0;
    const std::size_t most = std::min<std::size_t>({last_.name.size(), e.name.size(), 255});
    while (shared < most && last_.name[shared] == e.name[shared]) ++shared;
    const auto rest = e.name.size() - shared;
    if (shared > 0) flags |= kSameName;
    if (rest > 255) flags |= kLongName;
    if (!first_ && e.mode == last_.mode) flags |= kSameMode;
    if (!first_ && e.mtime == last_.mtime) flags |= kSameTime;
    if (e.nsec && form_.protocol >= 31) flags |= kNsec;
    if (e.isDirectory() && e.top) flags |= kTopDir;
    if (e.isDirectory() && !e.content) flags |= kNoContent;
    if (form_.varintFlags) putVarint(out, static_cast<std::int32_t>(flags ? flags : kExtended));
    else if (flags & 0xff00) putU16(out, static_cast<std::uint16_t>(flags | kExtended));
    else out += static_cast<char>(flags);
    if (flags & kSameName) out += static_cast<char>(shared);
    if (flags & kLongName) putVarint(out, static_cast<std::int32_t>(rest));
    else out += static_cast<char>(rest);
    out.append(e.name, shared);
    putVarlong(out, static_cast<std::int64_t>(e.size), 3);
    if (!(flags & kSameTime)) putVarlong(out, e.mtime, 4);
    if (flags & kNsec) putVarint(out, static_cast<std::int32_t>(e.nsec));
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
    } else if (form_.safeEnd && ioError) {
        putU16(out, kExtended | kErrorEnd);
        putVarint(out, ioError);
    } else out += '\0';
    for (int i = 0; form_.idNames && i < (form_.uids ? 1 : 0) + (form_.gids ? 1 : 0); ++i) {
        putVarint(out, 0);
        if (form_.idNames0) out += '\0';
    }
}

std::string sortKey(const FileEntry& entry) {
    // Each part has a mark before it, 1 for a file and 2 for a directory, and a directory's ends in '/'; the
    // top directory "." is an empty file name. Compared as bytes this is the order of the public
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
    constexpr std::size_t kBlock = 64 * 1024;
    const auto key = sortKey(entry);
    if (blocks_.empty() || blocks_.back().capacity() - blocks_.back().size() < key.size())
        blocks_.emplace_back().reserve(std::max(kBlock, key.size()));
    auto& block = blocks_.back();
    const auto at = block.size();
    block += key;  // fits: what was handed out before stays where it is
    keys_.push_back(std::string_view(block).substr(at));
}

bool ListSorter::step(std::size_t moves) {
    constexpr std::size_t kRun = 256, kRunMoves = 8;  // about what sorting a run costs for each key
    const auto n = keys_.size();
    const auto before = [this](std::uint32_t a, std::uint32_t b) {
        const int order = keys_[a].compare(keys_[b]);
        return order < 0 || (order == 0 && a < b);
    };
    while (width_ == 0 && at_ < n) {
        if (moves == 0) return false;
        const auto first = at_;
        for (at_ = std::min(n, at_ + kRun); from_.size() < at_;)
            from_.push_back(static_cast<std::uint32_t>(from_.size()));
        std::sort(from_.begin() + static_cast<std::ptrdiff_t>(first), from_.end(), before);
        moves -= std::min(moves, kRunMoves * (at_ - first));
    }
    if (width_ == 0) width_ = kRun;
    for (; width_ < n; width_ *= 2) {
        to_.reserve(n);
        while (to_.size() < n) {
            const auto base = to_.size() / (2 * width_) * (2 * width_);
            const auto middle = std::min(n, base + width_), end = std::min(n, base + 2 * width_);
            if (to_.size() == base) left_ = base, right_ = middle;
            for (; to_.size() < end; --moves) {
                if (moves == 0) return false;
                const bool right = left_ == middle || (right_ < end && before(from_[right_], from_[left_]));
                to_.push_back(from_[right ? right_++ : left_++]);
            }
        }
        from_.swap(to_);
        to_.clear();
    }
    blocks_.clear();
    keys_ = {};
    to_ = {};
    return true;
}

void putSorted(std::vector<FileEntry>& sorted, std::size_t& kept, FileEntry entry) {
    sorted.push_back(std::move(entry));
    const auto last = sorted.size() - 1;
    auto& e = sorted[last];
    if (last == 0 || e.name != sorted[kept].name) kept = last;
    else if (e.isDirectory() && !sorted[kept].isDirectory()) sorted[kept].dropped = true, kept = last;
    else e.dropped = true;
}

void sortList(std::vector<FileEntry>& list) {
    ListSorter sorter;
    for (const auto& e : list) sorter.add(e);
    sorter.step(std::numeric_limits<std::size_t>::max());
    std::vector<FileEntry> sorted;
    sorted.reserve(list.size());
    std::size_t kept = 0;
    for (const auto i : sorter.order()) putSorted(sorted, kept, std::move(list[i]));
    list = std::move(sorted);
}

std::string faultOfName(std::string_view name) {
    if (name.empty()) return "is empty";
    if (name == ".") return "";
    if (name.size() > kMostName) return "is longer than " + std::to_string(kMostName) + " bytes";
    if (name.find('\0') != name.npos) return "holds a NUL";
    if (name.front() == '/') return "is absolute";
    for (std::size_t at = 0; at <= name.size();) {
        const auto slash = std::min(name.find('/', at), name.size());
        const auto part = name.substr(at, slash - at);
        if (part.empty()) return "has an empty part";
        if (part == "..") return "holds '..'";
        if (part == ".") return "holds '.'";
        if (part.size() > 255) return "has a part longer than 255 bytes";
        at = slash + 1;
    }
    return "";
}

}  // namespace spokewheel::wire::rsync
