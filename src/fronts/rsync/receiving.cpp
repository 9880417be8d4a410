#include "fronts/rsync/receiving.hpp"

#include <glib.h>

#include <algorithm>
#include <set>
#include <utility>

namespace spokewheel::fronts::rsync {

using namespace wire::rsync;
using catalogue::FileVersion;
using catalogue::Kind;
using catalogue::Layout;

namespace {

constexpr std::uint64_t kLeastForDelta = 16 * 1024;
constexpr std::uint32_t kDeleteLimit = 1 << 2;  // of the error bits a client ends by (exit 25)
constexpr std::size_t kLeastLease = 4096, kListStep = 1000;

std::string join(const std::string& directory, const std::string& name) {
    if (name == ".") return directory;
    return directory.empty() ? name : directory + "/" + name;
}

}  // namespace

Receiving::Receiving(Context& context, Agreed agreed, Channel& channel, std::function<void()> wake)
    : Half(std::move(wake)),
      context_(context),
      agreed_(std::move(agreed)),
      channel_(channel),
      filter_(wire::rsync::Filter::Side::Receiver),
      tokens_(agreed_.options.compress) {
    const auto& o = agreed_.options;
    listReader_ = std::make_unique<ListReader>(listForm(agreed_));
    // The client sends its rules where something here may need them.
    if (!o.remove && !o.pruneEmpty) state_ = State::List;
    target_ = parseModulePath(agreed_.volume->name, o.paths.empty() ? "" : o.paths.back());
    if (!target_.fault.empty()) broken("path " + target_.fault);
    if (o.backupDir.empty()) return;
    const auto dir = parseModulePath("", o.backupDir);
    if (!dir.fault.empty()) broken("--backup-dir " + dir.fault);
    backupDir_ = o.backupDir[0] == '/' ? dir.path : join(target_.path, dir.path.empty() ? "." : dir.path);
}

Receiving::~Receiving() {
    if (moving_) --context_.moving;
    for (const auto& [ticket, id] : open_) agreed_.store->abandon(id);
}

bool Receiving::broken(std::string why) {
    fault_ = std::move(why);
    state_ = State::Over;
    return false;
}

void Receiving::tell(const std::string& path, const std::string& words) {
    // A client that sends a million symlinks and reads nothing must not fill the queue to it: what can't go
    // out is counted and told as a number.
    if (channel_.blocked()) {
        ++untold_;
        return;
    }
    channel_.message(Message::ErrorXfer,
                     "spokewheel: \"" + path + "\" (in " + agreed_.volume->name + "): " + words + "\n");
    context_.note("file_not_stored", "", path + ": " + words);
}

// The answer of a request, for as long as this session lives; it is open until then.
template <class Result, class Then>
std::function<void(Result)> Receiving::track(std::uint64_t ticket, Then then) {
    return [weak = weak_from_this(), ticket, then = std::move(then)](Result r) mutable {
        const auto self = weak.lock();
        if (!self) return;
        self->open_.erase(ticket);
        then(std::move(r));
        self->wake_();
    };
}

std::size_t Receiving::allowed() const {
    return host::maxPiecesInFlight(context_.memory.free(), context_.moving, context_.settings.pieceBytes,
                                   context_.settings.piecesAhead);
}

bool Receiving::advance() {
    turn_ = false;
    for (bool more = true; more;) {
        switch (state_) {
            case State::Filter:
                more = readFilter();
                break;
            case State::List:
                more = readList();
                break;
            case State::Sort:
                more = sort();
                break;
            case State::Plan:
                more = plan();
                break;
            case State::Transfer: {
                const bool a = request(), b = chores(), c = state_ == State::Transfer && read();
                more = state_ == State::Transfer && rounds();
                more = more || a || b || c;
                break;
            }
            case State::Goodbye:
                more = goodbye();
                break;
            case State::Over:
                more = false;
        }
    }
    channel_.flush();
    return state_ != State::Over;
}

Waits Receiving::waits() const {
    const auto answer = [this](bool open) { return open ? Waits::Answer : Waits::Nothing; };
    switch (state_) {
        case State::Filter:
        case State::List:
        case State::Goodbye:
            return Waits::Client;
        case State::Sort:
        case State::Plan:
            return turn_ ? Waits::Timer : Waits::Nothing;
        case State::Transfer:
            break;
        case State::Over:
            return Waits::Nothing;
    }
    // A file on its way in comes first: it holds what the client sends behind it.
    if (current_) {
        if (copying_ >= 0 && current_->basis->loading()) return Waits::Answer;
        const bool room = !current_->piece.empty() || !current_->fault.empty() || open_.size() < allowed();
        if (wantsSum_ || (copying_ < 0 && room)) return Waits::Client;
        return answer(!room && !open_.empty());
    }
    if (channel_.blocked()) return Waits::Room;
    if (preparing_) return answer(preparing_->loading());
    if (!chores_.empty()) return answer(!open_.empty());
    // Either the client has files to send and rounds to end, or what it sent is still being stored.
    if (doneSeen_ < doneSent_ || asked_.size() >= context_.settings.filesAhead) return Waits::Client;
    return answer(!open_.empty());
}

bool Receiving::readFilter() {
    std::string why;
    switch (readFilterRule(channel_, filter_, why)) {
        case FilterStep::More:
            return false;
        case FilterStep::Bad:
            return broken(std::move(why));
        case FilterStep::End:
            state_ = State::List;
            break;
        case FilterStep::Rule:
            break;
    }
    return true;
}

bool Receiving::readList() {
    for (;;) {
        auto in = channel_.input();
        const auto before = in.size();
        FileEntry entry;
        switch (listReader_->next(in, entry)) {
            case ListReader::Got::More:
                return false;
            case ListReader::Got::Bad:
                return broken("file list: " + listReader_->error());
            case ListReader::Got::Entry:
                channel_.took(before - in.size());
                if (list_.size() >= context_.settings.listEntries)
                    return broken("more than " + std::to_string(context_.settings.listEntries) + " files");
                if (list_.size() % kListStep == 0) {
                    // To wait here could wait for ever: two lists half-way in would hold what both need.
                    const auto bytes = kListStep * kListEntryBytes;
                    if (!host::mayHoldFileList(bytes, context_.memory.free(), context_.memory.used()) &&
                        !list_.empty())
                        return broken("no memory for a file list this long now, try again later");
                    listLeases_.push_back(context_.memory.acquire(bytes));
                }
                sorter_.add(entry);
                list_.push_back(std::move(entry));
                break;
            case ListReader::Got::End:
                channel_.took(before - in.size());
                sorted_.reserve(list_.size());
                state_ = State::Sort;
                return true;
        }
    }
}

// ---------------------------------------------------------------- what is wanted
std::string Receiving::pathOf(const FileEntry& entry) const {
    return renamed_ ? target_.path : join(target_.path, entry.name);
}

FileVersion Receiving::draft(const FileEntry& e, const std::string& path) const {
    FileVersion v;
    v.path = path;
    v.kind = e.isDirectory() ? Kind::Directory : Kind::File;
    const auto& o = agreed_.options;
    const auto shown = agreed_.store->catalogue().find(agreed_.volume->name, path);
    v.mode = modeFor(e.mode, shown.get(), o);
    const bool times = o.times && !(o.omitDirTimes && e.isDirectory());
    v.mtime = times ? e.mtime : g_get_real_time() / 1000000;
    v.nsec = times ? e.nsec : 0;
    v.version = agreed_.store->catalogue().baseVersion(agreed_.volume->name, path) + 1;
    return v;
}

// Sorting and planning go slice by slice, so that other sessions go on meanwhile.
bool Receiving::sort() {
    bool whole = sorter_.step(ListSorter::kMovesAnEntry * context_.listSlice);
    if (whole) {
        const auto& order = sorter_.order();
        for (std::size_t n = 0; n < context_.listSlice && sorted_.size() < order.size(); ++n)
            putSorted(sorted_, kept_, std::move(list_[order[sorted_.size()]]));
        whole = sorted_.size() == order.size();
    }
    if (!whole) return nextTurn();
    list_ = std::move(sorted_);
    sorter_ = {};
    startPlan();
    return state_ != State::Over;
}

void Receiving::startPlan() {
    ++context_.moving;
    moving_ = true;
    const auto& known = agreed_.store->catalogue();
    const auto& volume = agreed_.volume->name;
    renamed_ = list_.size() == 1 && !list_[0].isDirectory() && !target_.trailingSlash &&
               !known.isDirectory(volume, target_.path);
    if (!renamed_ && !target_.path.empty() && !known.isDirectory(volume, target_.path)) {
        auto chore = std::make_shared<Chore>();
        FileEntry e;
        e.mode = kDirectory | 0755;
        e.mtime = g_get_real_time() / 1000000;
        chore->version = draft(e, target_.path);
        if (!agreed_.options.dryRun) chores_.push_back(std::move(chore));
    }
    state_ = State::Plan;
    if (agreed_.options.pruneEmpty) {
        const auto empty = emptyDirectories();
        for (auto& e : list_)
            if (e.isDirectory() && empty.count(e.name)) e.dropped = true;
    }
}

bool Receiving::plan() {
    for (std::size_t n = 0; planned_ < list_.size(); ++planned_, ++n) {
        if (n == context_.listSlice) return nextTurn();
        const auto& e = list_[planned_];
        if (e.dropped) continue;
        if (const auto why = faultOfName(e.name); !why.empty()) tell(e.name, "name " + why);
        else if (!e.isDirectory() && !e.isFile())
            tell(e.name, (e.mode & kTypeMask) == kSymlink ? "symlinks are not stored"
                                                          : "devices and special files are not stored");
        else planEntry(static_cast<std::int32_t>(planned_), pathOf(e));
    }
    if (agreed_.options.remove) planDeletions();
    state_ = State::Transfer;
    return true;
}

// Directories of the list below which no file of it lies; the top is never one.
std::set<std::string> Receiving::emptyDirectories() const {
    std::set<std::string> out;
    for (const auto& e : list_)
        if (e.isDirectory() && e.name != ".") out.insert(e.name);
    for (const auto& e : list_) {
        if (e.isDirectory()) continue;
        for (auto slash = e.name.rfind('/'); slash != e.name.npos && slash > 0;
             slash = e.name.rfind('/', slash - 1))
            out.erase(e.name.substr(0, slash));
    }
    return out;
}

// Where what the path shows now is kept when it is replaced or goes; empty: nowhere.
std::string Receiving::backupOf(const std::string& path) const {
    const auto& o = agreed_.options;
    if (!o.backup) return "";
    if (backupDir_.empty()) return path + o.backupSuffix;
    const auto skip = target_.path.empty() ? 0 : target_.path.size() + 1;
    return join(backupDir_, path.substr(std::min(skip, path.size()))) + o.backupSuffix;
}

void Receiving::keepBackup(const catalogue::FileVersionPtr& shown, const std::string& path) {
    if (!shown || shown->kind != Kind::File) return;
    const auto to = backupOf(path);
    if (to.empty() || to == path || agreed_.options.dryRun) return;
    if (const auto why = faultOfName(to); !why.empty()) return tell(to, "name " + why);
    auto chore = std::make_shared<Chore>();
    chore->version = *shown;
    chore->version.path = to;
    chore->version.version = agreed_.store->catalogue().baseVersion(agreed_.volume->name, to) + 1;
    chore->contentOf = shown;
    chores_.push_back(std::move(chore));
}

void Receiving::planEntry(std::int32_t index, const std::string& path) {
    const auto& e = list_[static_cast<std::size_t>(index)];
    const auto& known = agreed_.store->catalogue();
    const auto& volume = agreed_.volume->name;
    const auto shown = known.find(volume, path);
    if (e.isDirectory()) {
        if (path.empty()) return;
        const bool there = known.isDirectory(volume, path);
        const auto& o = agreed_.options;
        if (!there && o.existing) return;
        if (there && shown && shown->kind == Kind::File) return tell(path, "is a file");
        const bool sameTimes = !o.times || o.omitDirTimes || (shown && shown->mtime == e.mtime);
        const bool sameMode = !o.perms || (shown && shown->mode == (e.mode & 07777));
        const bool same = there && sameTimes && sameMode;
        if (same || o.dryRun) return;
        if (!there) {
            out_.put(channel_.out(), index);
            putU16(channel_.out(), kIsNew | kLocalChange);
        }
        auto chore = std::make_shared<Chore>();
        chore->version = draft(e, path);
        return chores_.push_back(std::move(chore));
    }
    if (known.isDirectory(volume, path)) return tell(path, "is a directory");
    const auto& o = agreed_.options;
    const bool sums = shown && o.checksum && agreed_.listSums == SumKind::Xxh128;
    switch (wanted(e, shown.get(), sums ? sumOf(shown->digest) : "", o)) {
        case Wanted::Skip:
            return;
        case Wanted::Transfer:
            return todo_.push_back(index);
        case Wanted::Same:
            break;
    }
    sameAsShown(index, shown);
}

// The content is there: only times and modes may have to follow.
void Receiving::sameAsShown(std::int32_t index, const catalogue::FileVersionPtr& shown) {
    const auto& o = agreed_.options;
    const auto& e = list_[static_cast<std::size_t>(index)];
    if (o.removeSource) succeeded(index);
    // A time within the window is left as it is; where content was compared (-c) it is set to the second.
    const int window = o.checksum ? 0 : o.modifyWindow;
    const bool times = o.times && !sameTime(e.mtime, e.nsec, shown->mtime, shown->nsec, window);
    const bool mode = modeFor(e.mode, shown.get(), o) != shown->mode;
    if (!(times || mode) || o.dryRun) return;
    auto chore = std::make_shared<Chore>();
    chore->version = draft(e, shown->path);
    chore->version.size = shown->size;
    chore->version.digest = shown->digest;
    if (!times) chore->version.mtime = shown->mtime, chore->version.nsec = shown->nsec;
    chore->contentOf = shown;
    chores_.push_back(std::move(chore));
}

// What lies in a directory of the list and is not in the list goes, unless a rule excludes it; nothing goes
// where the client could not read all it has, or where this host does not know all that is stored.
void Receiving::planDeletions() {
    if (listReader_->ioError() && !agreed_.options.ignoreErrors)
        return tell(target_.path, "the client had errors: nothing is deleted");
    if (!context_.complete()) return tell(target_.path, "not all nodes have been read: nothing is deleted");
    std::set<std::string> named, content;
    for (const auto& e : list_) {
        // One that is there twice is named by the other; one that was pruned is not wanted.
        if (e.dropped) continue;
        named.insert(pathOf(e));
        if (e.isDirectory() && e.content) content.insert(pathOf(e));
    }
    const auto skip = target_.path.empty() ? 0 : target_.path.size() + 1;
    const auto shown = agreed_.store->catalogue().entriesBelow(agreed_.volume->name, target_.path);
    std::vector<ExistingEntry> lying;
    for (const auto& v : shown) lying.push_back({v->path, v->kind == Kind::Directory});
    const auto mayGo = [&](const ExistingEntry& one) {
        return !inBackups(one.path) &&
               !filter_.excluded(std::string_view(one.path).substr(skip), one.directory);
    };
    const auto leavesBackup = [&](const ExistingEntry& one) {
        return agreed_.options.backup && backupDir_.empty() && !isBackup(one.path);
    };
    const auto found = selectDeletions(lying, named, content, mayGo, leavesBackup, agreed_.options.maxDelete);
    for (const auto i : found.toDelete) {
        const auto& v = shown[i];
        auto chore = std::make_shared<Chore>();
        chore->version.path = v->path;
        chore->version.kind = Kind::Deleted;
        chore->version.version = v->version + 1;
        chore->version.mtime = g_get_real_time() / 1000000;
        chore->removed = v->path.substr(skip);
        if (v->kind == Kind::Directory) chore->removed += '\0';  // how the client knows a directory
        ++(v->kind == Kind::Directory ? deletedDirectories_ : deleted_);
        if (!isBackup(v->path)) keepBackup(v, v->path);
        chores_.push_back(std::move(chore));
    }
    const auto over = found.skipped;
    if (over == 0) return;
    channel_.message(Message::Warning,
                     "Deletions stopped due to --max-delete limit (" + std::to_string(over) + " skipped)\n");
    std::string code;
    putU32(code, kDeleteLimit);
    channel_.message(Message::IoError, code);
}

// Backups lie within what is uploaded to: they are not what the client left out.
bool Receiving::inBackups(const std::string& path) const {
    return !backupDir_.empty() && backupDir_ != target_.path &&
           (path == backupDir_ || path.rfind(backupDir_ + "/", 0) == 0 ||
            backupDir_.rfind(path + "/", 0) == 0);
}
bool Receiving::isBackup(const std::string& path) const {
    const auto& suffix = agreed_.options.backupSuffix;
    return backupDir_.empty() && path.size() > suffix.size() &&
           path.compare(path.size() - suffix.size(), suffix.size(), suffix) == 0;
}

// The client takes its own away only once it is told.
void Receiving::succeeded(std::int32_t index) {
    if (agreed_.options.dryRun) return;
    std::string text;
    putU32(text, static_cast<std::uint32_t>(index));
    channel_.message(Message::Success, text);
}

// ---------------------------------------------------------------- small writes
bool Receiving::chores() {
    bool any = false;
    while (!chores_.empty() && choresOpen_ < context_.settings.piecesAhead && !channel_.blocked()) {
        auto chore = std::move(chores_.front());
        chores_.pop_front();
        ++choresOpen_;
        any = true;
        runChore(std::move(chore));
    }
    return any;
}

void Receiving::runChore(std::shared_ptr<Chore> chore) {
    const auto& of = chore->contentOf;
    auto& v = chore->version;
    if (!chore->removed.empty()) channel_.message(Message::Deleted, chore->removed);
    if (agreed_.options.dryRun) {
        --choresOpen_;
        return;
    }
    if (!of || of->size == 0) return writeChore(chore, std::make_shared<const std::string>());
    v.layout = Layout::Manifest;
    if (of->layout == Layout::Inline)
        return writeChore(
            chore, std::make_shared<const std::string>(catalogue::encode(
                       std::vector<catalogue::Piece>{{of->shard, "o/" + of->id, of->size, of->digest}})));
    const auto ticket = ++nextTicket_;
    open_[ticket] = agreed_.store->read(
        *agreed_.volume, of->shard, "o/" + of->id, kMaxManifestBytes, of->size, "",
        track<ReadResult>(ticket, [this, chore](ReadResult r) {
            if (r.ok) return writeChore(chore, std::make_shared<const std::string>(std::move(r.body)));
            --choresOpen_;
            tell(chore->version.path, r.error);
        }));
}

void Receiving::writeChore(const std::shared_ptr<Chore>& chore, std::shared_ptr<const std::string> body) {
    const auto ticket = ++nextTicket_;
    open_[ticket] = agreed_.store->writeVersion(
        *agreed_.volume, chore->version, body, track<WriteResult>(ticket, [this, chore, body](WriteResult r) {
            if (!r.ok) tell(chore->version.path, r.error);
            --choresOpen_;
        }));
}

// ---------------------------------------------------------------- asking for files
void Receiving::requestOne(std::int32_t index, const BlockSums* sums) {
    auto& out = channel_.out();
    const auto& e = list_[static_cast<std::size_t>(index)];
    const bool fresh = !agreed_.store->catalogue().find(agreed_.volume->name, pathOf(e));
    out_.put(out, index);
    putU16(out, static_cast<std::uint16_t>(kTransfer | (fresh ? kIsNew : 0)));
    asked_.insert(index);
    if (agreed_.options.dryRun) return;
    putSumHead(out, sums ? sums->head : SumHead{});
    if (!sums) return;
    const auto n = static_cast<std::size_t>(sums->head.sumBytes);
    for (std::size_t i = 0; i < sums->rolling.size(); ++i) {
        putU32(out, sums->rolling[i]);
        out.append(sums->strong, i * n, n);
    }
}

bool Receiving::request() {
    bool any = false;
    while (!todo_.empty() && asked_.size() < context_.settings.filesAhead && !channel_.blocked()) {
        const auto index = todo_.front();
        const auto& e = list_[static_cast<std::size_t>(index)];
        const auto shown = agreed_.store->catalogue().find(agreed_.volume->name, pathOf(e));
        const bool delta = shown && shown->kind == Kind::File && shown->size >= kLeastForDelta &&
                           doneSeen_ == 0 && e.size >= kLeastForDelta && !agreed_.options.wholeFile &&
                           !agreed_.options.dryRun;
        if (delta && !preparing_) {
            preparing_ = std::make_shared<Basis>(context_, agreed_, shown, wake_);
            preparing_->prepare();
        }
        if (delta && !preparing_->ready() && !preparing_->failed()) break;
        const bool use = delta && preparing_->ready();
        requestOne(index, use ? &preparing_->sums() : nullptr);
        if (use) {
            preparing_->dropCache();
            bases_[index] = preparing_;
        }
        preparing_ = nullptr;
        todo_.pop_front();
        channel_.flush();
        any = true;
    }
    return any;
}

void Receiving::beside(const Demux::Beside& message) {
    if (message.kind != Message::NoSend) return;
    Reader r(message.payload);
    const auto index = r.i32();
    if (r.enough()) asked_.erase(index), bases_.erase(index);
}

// ---------------------------------------------------------------- taking files
bool Receiving::read() {
    bool any = false;
    while (state_ == State::Transfer && (current_ ? readContent() : readHead())) any = true;
    return any;
}

bool Receiving::readHead() {
    if (channel_.input().empty() || doneSeen_ >= 3) return false;
    auto coder = in_;
    Reader r(channel_.input());
    const auto index = coder.get(r);
    if (!r.enough()) return false;
    if (index == kDone) {
        in_ = coder;
        channel_.took(r.used());
        if (++doneSeen_ > doneSent_) return broken("a round ended that was not");
        asked_.clear();
        return true;
    }
    const auto flags = r.u16();
    if (flags & kBasisFollows) r.byte();
    if (flags & kNameFollows) r.vstring(kMostName);
    const bool content = (flags & kTransfer) && !agreed_.options.dryRun;
    if (content) getSumHead(r);
    if (r.bad()) return broken(r.why());
    if (!r.enough()) return false;
    if (index < 0 || static_cast<std::size_t>(index) >= list_.size())
        return broken("file index " + std::to_string(index) + " out of range");
    if (content && !asked_.count(index)) return broken("a file came that was not asked for");
    in_ = coder;
    channel_.took(r.used());
    if (!content) {
        asked_.erase(index);
        return true;
    }
    current_ = std::make_shared<Incoming>(agreed_.sums);
    current_->index = index;
    current_->round = doneSeen_;
    const auto& e = list_[static_cast<std::size_t>(index)];
    current_->version = draft(e, pathOf(e));
    if (const auto b = bases_.find(index); b != bases_.end()) current_->basis = b->second;
    return true;
}

// A new piece starts only where the window and the memory have room for it: until then nothing more is read
// from the client, and its own sends come to a stop.
bool Receiving::startPiece() {
    if (!current_->piece.empty() || !current_->fault.empty()) return true;
    if (open_.size() >= allowed()) return false;
    const auto expected = list_[static_cast<std::size_t>(current_->index)].size;
    const auto rest = expected > current_->size ? expected - current_->size : 0;
    current_->lease =
        context_.memory.acquire(std::clamp<std::uint64_t>(rest, kLeastLease, context_.settings.pieceBytes));
    return true;
}

bool Receiving::copyBlock() {
    auto& f = *current_;
    if (!f.fault.empty()) {
        copying_ = -1;
        return true;
    }
    if (!startPiece()) return false;
    // A block may lie over two pieces, of which one is held at a time: what was copied is kept meanwhile.
    if (!f.basis->copy(copying_, copied_, copiedBytes_)) {
        if (!f.basis->failed()) return false;
        f.fault = "reading what it is based on: " + f.basis->fault();
    } else f.add(copiedBytes_);
    copying_ = -1;
    copied_ = 0;
    copiedBytes_.clear();
    if (f.piece.size() >= context_.settings.pieceBytes) flushPiece(current_);
    return true;
}

bool Receiving::readContent() {
    auto& f = *current_;
    if (copying_ >= 0) return copyBlock();
    auto in = channel_.input();
    const auto before = in.size();
    if (wantsSum_) {
        const auto n = sizeOf(agreed_.sums);
        if (in.size() < n) return false;
        const std::string sum(in.substr(0, n));
        channel_.took(n);
        ended(sum);
        return true;
    }
    if (!startPiece()) return false;
    const auto token = tokens_.next(in);
    if (token.kind == Token::Kind::Bad) return broken("file content: " + tokens_.error());
    if (token.kind == Token::Kind::Literal && f.fault.empty()) {
        f.add(token.literal);
        if (f.piece.size() >= context_.settings.pieceBytes) flushPiece(current_);
    }
    if (token.kind == Token::Kind::Block) {
        if (!f.basis || !f.basis->has(token.block)) return broken("a block that is not there was named");
        copying_ = token.block;
    }
    if (token.kind == Token::Kind::End) wantsSum_ = true;
    channel_.took(before - in.size());
    return token.kind != Token::Kind::More || before != in.size();
}

void Receiving::flushPiece(const std::shared_ptr<Incoming>& f) {
    const auto most = static_cast<std::size_t>(context_.settings.pieceBytes);
    while (f->piece.size() >= most || (f->ended && !f->piece.empty())) {
        if (f->pieces.size() >= catalogue::kMaxPieces) {
            f->fault = "has more than " + std::to_string(catalogue::kMaxPieces) + " pieces";
            f->piece.clear();
            return;
        }
        auto body = std::make_shared<std::string>(f->piece.substr(0, most));
        f->piece.erase(0, most);
        auto lease = std::make_shared<host::MemoryBudget::Lease>(std::move(f->lease));
        catalogue::Piece p;
        p.size = body->size();
        p.digest = catalogue::xxh128Hex(*body);
        p.object = "p/" + catalogue::pieceId(agreed_.volume->name, f->version.path, f->version.version,
                                             f->pieces.size(), p.digest);
        f->pieces.push_back(std::move(p));
        ++f->piecesOpen;
        putPiece(f, f->pieces.size() - 1, std::move(body), std::move(lease));
    }
}

void Receiving::putPiece(const std::shared_ptr<Incoming>& f, std::size_t i,
                         std::shared_ptr<const std::string> body,
                         std::shared_ptr<host::MemoryBudget::Lease> lease) {
    const auto ticket = ++nextTicket_;
    const auto expected = list_[static_cast<std::size_t>(f->index)].size;
    open_[ticket] =
        agreed_.store->writePiece(*agreed_.volume, f->version.path, f->pieces[i].object.substr(2), body,
                                  expected, track<WriteResult>(ticket, [this, f, i, lease](WriteResult r) {
                                      if (!r.ok && f->fault.empty()) f->fault = r.error;
                                      f->pieces[i].shard = r.shard;
                                      --f->piecesOpen;
                                      settle(f);
                                  }));
}

void Receiving::ended(std::string_view sum) {
    auto& f = *current_;
    f.ended = true;
    f.verified = f.whole.wire() == sum;
    f.version.size = f.size;
    f.version.digest = f.stored.hex();
    wantsSum_ = false;
    asked_.erase(f.index);
    bases_.erase(f.index);
    // What is shown only at the end must not fill the memory until then: all of it goes out as pieces.
    if (!f.pieces.empty() || (agreed_.options.delayUpdates && f.size > 0)) flushPiece(current_);
    const auto file = std::exchange(current_, nullptr);
    settle(file);
}

// Once all of a file came and each piece has its answer: shown, asked for again, or told as failed.
void Receiving::settle(const std::shared_ptr<Incoming>& f) {
    if (!f->ended || f->piecesOpen > 0) return;
    if (f->fault.empty() && !f->verified) {
        if (f->round == 0) return redo_.push_back(f->index);
        f->fault = "its content did not match its checksum, twice";
    }
    if (!f->fault.empty()) return tell(f->version.path, f->fault);
    // -c by a checksum that is not stored: only now is it known that nothing has changed.
    const auto shown = agreed_.store->catalogue().find(agreed_.volume->name, f->version.path);
    if (agreed_.options.checksum && shown && shown->kind == Kind::File && shown->size == f->size &&
        shown->digest == f->version.digest)
        return sameAsShown(f->index, shown);
    if (agreed_.options.delayUpdates) delayed_.push_back({f->index, f->version, std::move(f->pieces)});
    else commit({f->index, f->version, std::move(f->pieces)}, std::move(f->piece), f);
}

// `keep` holds the memory that the content has, until the answer.
void Receiving::commit(Whole whole, std::string content, std::shared_ptr<void> keep) {
    if (!whole.pieces.empty()) {
        whole.version.layout = Layout::Manifest;
        content = catalogue::encode(whole.pieces);
    }
    const auto& path = whole.version.path;
    keepBackup(agreed_.store->catalogue().find(agreed_.volume->name, path), path);
    const auto ticket = ++nextTicket_;
    open_[ticket] = agreed_.store->writeVersion(
        *agreed_.volume, whole.version, std::make_shared<const std::string>(std::move(content)),
        track<WriteResult>(ticket, [this, path, index = whole.index, keep](WriteResult r) {
            if (!r.ok) tell(path, r.error);
            else if (agreed_.options.removeSource) succeeded(index);
        }));
}

// --delay-updates: all are shown once the last has come.
bool Receiving::showDelayed() {
    while (!delayed_.empty() && open_.size() < allowed()) {
        auto whole = std::move(delayed_.front());
        delayed_.pop_front();
        commit(std::move(whole), "", nullptr);
    }
    return delayed_.empty();
}

// ---------------------------------------------------------------- rounds
// First the files, then those whose checksum failed, then (nothing here) delayed renames. A round's end is
// sent once nothing of it is open, so that what the client prints last is true.
bool Receiving::rounds() {
    if (!todo_.empty() || preparing_) return false;
    if (doneSent_ == 0) {
        out_.put(channel_.out(), kDone);
        doneSent_ = 1;
        return true;
    }
    if (doneSeen_ < doneSent_ || current_ || !quiet()) return false;
    if (doneSent_ < 3) {
        if (doneSent_ == 1 && !redo_.empty()) {
            todo_.assign(redo_.begin(), redo_.end());
            redo_.clear();
            request();
            if (!todo_.empty()) return false;
        }
        if (doneSent_ == 2 && (!showDelayed() || !quiet())) return false;
        out_.put(channel_.out(), kDone);
        ++doneSent_;
        return true;
    }
    if (untold_ > 0) {
        const auto n = std::to_string(std::exchange(untold_, 0));
        channel_.message(Message::ErrorXfer, "spokewheel: " + n + " more files were not stored\n");
    }
    if (agreed_.options.remove && agreed_.options.deleteStats && agreed_.protocol >= 31) {
        out_.put(channel_.out(), kDeleteStats);
        for (const int n : {deleted_, deletedDirectories_, 0, 0, 0}) putVarint(channel_.out(), n);
    }
    out_.put(channel_.out(), kDone);
    state_ = agreed_.protocol >= 31 ? State::Goodbye : State::Over;
    return state_ != State::Over;
}

bool Receiving::goodbye() {
    Reader r(channel_.input());
    auto coder = in_;
    const auto index = coder.get(r);
    if (!r.enough()) return false;
    if (r.bad() || index != kDone) return broken("unexpected index at the end");
    in_ = coder;
    channel_.took(r.used());
    out_.put(channel_.out(), kDone);
    state_ = State::Over;
    return false;
}

}  // namespace spokewheel::fronts::rsync
