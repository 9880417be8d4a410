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

constexpr std::uint64_t kMinDeltaBytes = 16 * 1024;    // smaller files are transferred whole
constexpr std::uint32_t kIoErrorDeleteLimit = 1 << 2;  // io_error bit that makes the client exit with 25
constexpr std::size_t kMinLeaseBytes = 4096, kEntriesPerLease = 1000;

std::string join(const std::string& directory, const std::string& name) {
    if (name == ".") return directory;
    return directory.empty() ? name : directory + "/" + name;
}

}  // namespace

ReceivingSide::ReceivingSide(Context& context, TransferParameters parameters, Channel& channel,
                             std::function<void()> wake)
    : TransferSide(std::move(wake)),
      context_(context),
      parameters_(std::move(parameters)),
      channel_(channel),
      filter_(wire::rsync::Filter::Side::Receiver),
      tokenReader_(parameters_.options.compress) {
    const auto& o = parameters_.options;
    listReader_ = std::make_unique<ListReader>(listForm(parameters_));
    // The client sends filter rules only with these options.
    if (!o.deleteExtraneous && !o.pruneEmptyDirectories) state_ = State::List;
    target_ = parseModulePath(parameters_.volume->name, o.paths.empty() ? "" : o.paths.back());
    if (!target_.error.empty()) fail("path " + target_.error);
    if (o.backupDir.empty()) return;
    const auto dir = parseModulePath("", o.backupDir);
    if (!dir.error.empty()) fail("--backup-dir " + dir.error);
    backupDir_ = o.backupDir[0] == '/' ? dir.path : join(target_.path, dir.path.empty() ? "." : dir.path);
}

ReceivingSide::~ReceivingSide() {
    if (countedActive_) --context_.activeTransfers;
    for (const auto& [ticket, id] : openRequests_) parameters_.store->abandon(id);
}

bool ReceivingSide::fail(std::string why) {
    error_ = std::move(why);
    state_ = State::Finished;
    return false;
}

void ReceivingSide::reportFileError(const std::string& path, const std::string& reason) {
    // A client that sends a million symlinks and reads nothing must not fill the output queue: errors that
    // cannot be sent now are only counted, and the count is sent at the end.
    if (channel_.blocked()) {
        ++unreportedErrors_;
        return;
    }
    channel_.sendMessage(MessageTag::ErrorXfer, "spokewheel: \"" + path + "\" (in " +
                                                    parameters_.volume->name + "): " + reason + "\n");
    context_.logEvent("file_not_stored", "", path + ": " + reason);
}

// Wraps a store callback: removes the request from openRequests_ and resumes the transfer after `then`. Does
// nothing if the transfer no longer exists.
template <class Result, class Then>
std::function<void(Result)> ReceivingSide::trackRequest(std::uint64_t ticket, Then then) {
    return [weak = weak_from_this(), ticket, then = std::move(then)](Result r) mutable {
        const auto self = weak.lock();
        if (!self) return;
        self->openRequests_.erase(ticket);
        then(std::move(r));
        self->wake_();
    };
}

std::size_t ReceivingSide::maxOpenRequests() const {
    return host::maxPiecesInFlight(context_.memory.free(), context_.activeTransfers,
                                   context_.settings.pieceBytes, context_.settings.piecesAhead);
}

bool ReceivingSide::advance() {
    resumeScheduled_ = false;
    for (bool more = true; more;) {
        switch (state_) {
            case State::Filter:
                more = readFilter();
                break;
            case State::List:
                more = readList();
                break;
            case State::Sort:
                more = sortStep();
                break;
            case State::Plan:
                more = planStep();
                break;
            case State::Transfer: {
                const bool a = requestFiles(), b = runMetadataWrites(),
                           c = state_ == State::Transfer && readFiles();
                more = state_ == State::Transfer && advancePhase();
                more = more || a || b || c;
                break;
            }
            case State::Goodbye:
                more = goodbye();
                break;
            case State::Finished:
                more = false;
        }
    }
    channel_.flush();
    return state_ != State::Finished;
}

WaitReason ReceivingSide::waitReason() const {
    const auto storeResponseIf = [this](bool open) {
        return open ? WaitReason::StoreResponse : WaitReason::None;
    };
    switch (state_) {
        case State::Filter:
        case State::List:
        case State::Goodbye:
            return WaitReason::Client;
        case State::Sort:
        case State::Plan:
            return resumeScheduled_ ? WaitReason::Timer : WaitReason::None;
        case State::Transfer:
            break;
        case State::Finished:
            return WaitReason::None;
    }
    // The file being received comes first: everything the client sends after it waits.
    if (currentFile_) {
        if (copyingBlock_ >= 0 && currentFile_->basis->loading()) return WaitReason::StoreResponse;
        const bool hasRoom = !currentFile_->pieceBuffer.empty() || !currentFile_->error.empty() ||
                             openRequests_.size() < maxOpenRequests();
        if (expectsChecksum_ || (copyingBlock_ < 0 && hasRoom)) return WaitReason::Client;
        return storeResponseIf(!hasRoom && !openRequests_.empty());
    }
    if (channel_.blocked()) return WaitReason::OutputSpace;
    if (preparingBasis_) return storeResponseIf(preparingBasis_->loading());
    if (!metadataWrites_.empty()) return storeResponseIf(!openRequests_.empty());
    // Either the client has files to send or phases to end, or its content is still being stored.
    if (doneReceived_ < doneSent_ || requested_.size() >= context_.settings.filesAhead)
        return WaitReason::Client;
    return storeResponseIf(!openRequests_.empty());
}

bool ReceivingSide::readFilter() {
    std::string why;
    switch (readFilterRule(channel_, filter_, why)) {
        case FilterRuleResult::NeedInput:
            return false;
        case FilterRuleResult::Invalid:
            return fail(std::move(why));
        case FilterRuleResult::End:
            state_ = State::List;
            break;
        case FilterRuleResult::Rule:
            break;
    }
    return true;
}

bool ReceivingSide::readList() {
    for (;;) {
        auto in = channel_.input();
        const auto before = in.size();
        FileEntry entry;
        switch (listReader_->next(in, entry)) {
            case ListReader::Result::NeedMore:
                return false;
            case ListReader::Result::Invalid:
                return fail("file list: " + listReader_->error());
            case ListReader::Result::Entry:
                channel_.consume(before - in.size());
                if (list_.size() >= context_.settings.listEntries)
                    return fail("more than " + std::to_string(context_.settings.listEntries) + " files");
                if (list_.size() % kEntriesPerLease == 0) {
                    // Waiting could deadlock: two half-read lists may hold the memory that both need.
                    const auto bytes = kEntriesPerLease * kListEntryBytes;
                    if (!host::mayHoldFileList(bytes, context_.memory.free(), context_.memory.used()) &&
                        !list_.empty())
                        return fail("no memory for a file list this long now, try again later");
                    listLeases_.push_back(context_.memory.acquire(bytes));
                }
                sorter_.add(entry);
                list_.push_back(std::move(entry));
                break;
            case ListReader::Result::End:
                channel_.consume(before - in.size());
                sorted_.reserve(list_.size());
                state_ = State::Sort;
                return true;
        }
    }
}

// ---------------------------------------------------------------- planning
std::string ReceivingSide::pathOf(const FileEntry& entry) const {
    return targetIsFile_ ? target_.path : join(target_.path, entry.name);
}

// The version that storing the entry creates, except for its content.
FileVersion ReceivingSide::draftVersion(const FileEntry& e, const std::string& path) const {
    FileVersion v;
    v.path = path;
    v.kind = e.isDirectory() ? Kind::Directory : Kind::File;
    const auto& o = parameters_.options;
    const auto existing = parameters_.store->catalogue().find(parameters_.volume->name, path);
    v.mode = resultingMode(e.mode, existing.get(), o);
    const bool times = o.times && !(o.omitDirTimes && e.isDirectory());
    v.mtime = times ? e.mtime : g_get_real_time() / 1000000;
    v.nsec = times ? e.nsec : 0;
    v.version = parameters_.store->catalogue().baseVersion(parameters_.volume->name, path) + 1;
    return v;
}

// Sorting and planning run in slices, so that other sessions can proceed in between.
bool ReceivingSide::sortStep() {
    bool done = sorter_.step(ListSorter::kMovesPerEntry * context_.listSlice);
    if (done) {
        const auto& order = sorter_.order();
        for (std::size_t n = 0; n < context_.listSlice && sorted_.size() < order.size(); ++n)
            appendSorted(sorted_, keptCount_, std::move(list_[order[sorted_.size()]]));
        done = sorted_.size() == order.size();
    }
    if (!done) return resumeNextTurn();
    list_ = std::move(sorted_);
    sorter_ = {};
    startPlan();
    return state_ != State::Finished;
}

void ReceivingSide::startPlan() {
    ++context_.activeTransfers;
    countedActive_ = true;
    const auto& catalogue = parameters_.store->catalogue();
    const auto& volume = parameters_.volume->name;
    targetIsFile_ = list_.size() == 1 && !list_[0].isDirectory() && !target_.trailingSlash &&
                    !catalogue.isDirectory(volume, target_.path);
    if (!targetIsFile_ && !target_.path.empty() && !catalogue.isDirectory(volume, target_.path)) {
        auto write = std::make_shared<MetadataWrite>();
        FileEntry e;
        e.mode = kDirectory | 0755;
        e.mtime = g_get_real_time() / 1000000;
        write->version = draftVersion(e, target_.path);
        if (!parameters_.options.dryRun) metadataWrites_.push_back(std::move(write));
    }
    state_ = State::Plan;
    if (parameters_.options.pruneEmptyDirectories) {
        const auto empty = emptyDirectories();
        for (auto& e : list_)
            if (e.isDirectory() && empty.count(e.name)) e.dropped = true;
    }
}

bool ReceivingSide::planStep() {
    for (std::size_t n = 0; plannedCount_ < list_.size(); ++plannedCount_, ++n) {
        if (n == context_.listSlice) return resumeNextTurn();
        const auto& e = list_[plannedCount_];
        if (e.dropped) continue;
        if (const auto why = invalidNameReason(e.name); !why.empty()) reportFileError(e.name, "name " + why);
        else if (!e.isDirectory() && !e.isFile())
            reportFileError(e.name, (e.mode & kTypeMask) == kSymlink
                                        ? "symlinks are not stored"
                                        : "devices and special files are not stored");
        else planEntry(static_cast<std::int32_t>(plannedCount_), pathOf(e));
    }
    if (parameters_.options.deleteExtraneous) planDeletions();
    state_ = State::Transfer;
    return true;
}

// Names of listed directories without a listed file below them; never the top directory.
std::set<std::string> ReceivingSide::emptyDirectories() const {
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

// Where the current file of `path` is kept when it is replaced or deleted; empty without --backup.
std::string ReceivingSide::backupPathFor(const std::string& path) const {
    const auto& o = parameters_.options;
    if (!o.backup) return "";
    if (backupDir_.empty()) return path + o.backupSuffix;
    const auto skip = target_.path.empty() ? 0 : target_.path.size() + 1;
    return join(backupDir_, path.substr(std::min(skip, path.size()))) + o.backupSuffix;
}

void ReceivingSide::scheduleBackup(const catalogue::FileVersionPtr& existing, const std::string& path) {
    if (!existing || existing->kind != Kind::File) return;
    const auto to = backupPathFor(path);
    if (to.empty() || to == path || parameters_.options.dryRun) return;
    if (const auto why = invalidNameReason(to); !why.empty()) return reportFileError(to, "name " + why);
    auto write = std::make_shared<MetadataWrite>();
    write->version = *existing;
    write->version.path = to;
    write->version.version = parameters_.store->catalogue().baseVersion(parameters_.volume->name, to) + 1;
    write->contentSource = existing;
    metadataWrites_.push_back(std::move(write));
}

void ReceivingSide::planEntry(std::int32_t index, const std::string& path) {
    const auto& e = list_[static_cast<std::size_t>(index)];
    const auto& catalogue = parameters_.store->catalogue();
    const auto& volume = parameters_.volume->name;
    const auto existing = catalogue.find(volume, path);
    if (e.isDirectory()) {
        if (path.empty()) return;
        const bool exists = catalogue.isDirectory(volume, path);
        const auto& o = parameters_.options;
        if (!exists && o.existingOnly) return;
        if (exists && existing && existing->kind == Kind::File) return reportFileError(path, "is a file");
        const bool sameTimes = !o.times || o.omitDirTimes || (existing && existing->mtime == e.mtime);
        const bool sameMode = !o.perms || (existing && existing->mode == (e.mode & 07777));
        const bool same = exists && sameTimes && sameMode;
        if (same || o.dryRun) return;
        if (!exists) {
            indexOut_.put(channel_.output(), index);
            putU16(channel_.output(), kItemIsNew | kItemLocalChange);
        }
        auto write = std::make_shared<MetadataWrite>();
        write->version = draftVersion(e, path);
        return metadataWrites_.push_back(std::move(write));
    }
    if (catalogue.isDirectory(volume, path)) return reportFileError(path, "is a directory");
    const auto& o = parameters_.options;
    const bool compareChecksums = existing && o.checksum && parameters_.listChecksumKind == SumKind::Xxh128;
    switch (
        decideFileAction(e, existing.get(), compareChecksums ? checksumFromHex(existing->digest) : "", o)) {
        case FileAction::Skip:
            return;
        case FileAction::Transfer:
            return requestQueue_.push_back(index);
        case FileAction::UpToDate:
            break;
    }
    updateAttributes(index, existing);
}

// The content is up to date: writes a new version only if the time or mode differs.
void ReceivingSide::updateAttributes(std::int32_t index, const catalogue::FileVersionPtr& existing) {
    const auto& o = parameters_.options;
    const auto& e = list_[static_cast<std::size_t>(index)];
    if (o.removeSourceFiles) reportSuccess(index);
    // A time within the window is kept, but with --checksum it must match to the second.
    const int window = o.checksum ? 0 : o.modifyWindow;
    const bool times = o.times && !sameTime(e.mtime, e.nsec, existing->mtime, existing->nsec, window);
    const bool mode = resultingMode(e.mode, existing.get(), o) != existing->mode;
    if (!(times || mode) || o.dryRun) return;
    auto write = std::make_shared<MetadataWrite>();
    write->version = draftVersion(e, existing->path);
    write->version.size = existing->size;
    write->version.digest = existing->digest;
    if (!times) write->version.mtime = existing->mtime, write->version.nsec = existing->nsec;
    write->contentSource = existing;
    metadataWrites_.push_back(std::move(write));
}

// Schedules the deletion of entries that are missing from the client's list. Deletes nothing if the client
// had read errors, or if this host has not read the feeds of all nodes and may not know all entries.
void ReceivingSide::planDeletions() {
    if (listReader_->ioError() && !parameters_.options.ignoreErrors)
        return reportFileError(target_.path, "the client had errors: nothing is deleted");
    if (!context_.catalogueComplete())
        return reportFileError(target_.path, "not all nodes have been read: nothing is deleted");
    std::set<std::string> listed, completeDirectories;
    for (const auto& e : list_) {
        // Dropped entries are duplicates, which another entry names, or pruned directories.
        if (e.dropped) continue;
        listed.insert(pathOf(e));
        if (e.isDirectory() && e.contentListed) completeDirectories.insert(pathOf(e));
    }
    const auto skip = target_.path.empty() ? 0 : target_.path.size() + 1;
    const auto existing = parameters_.store->catalogue().entriesBelow(parameters_.volume->name, target_.path);
    std::vector<ExistingEntry> entries;
    for (const auto& v : existing) entries.push_back({v->path, v->kind == Kind::Directory});
    const auto mayDelete = [&](const ExistingEntry& entry) {
        return !inBackupDirectory(entry.path) &&
               !filter_.excluded(std::string_view(entry.path).substr(skip), entry.directory);
    };
    const auto leavesBackup = [&](const ExistingEntry& entry) {
        return parameters_.options.backup && backupDir_.empty() && !hasBackupSuffix(entry.path);
    };
    const auto found = selectDeletions(entries, listed, completeDirectories, mayDelete, leavesBackup,
                                       parameters_.options.maxDelete);
    for (const auto i : found.toDelete) {
        const auto& v = existing[i];
        auto write = std::make_shared<MetadataWrite>();
        write->version.path = v->path;
        write->version.kind = Kind::Deleted;
        write->version.version = v->version + 1;
        write->version.mtime = g_get_real_time() / 1000000;
        write->deletedName = v->path.substr(skip);
        if (v->kind == Kind::Directory) write->deletedName += '\0';  // marks a directory for the client
        ++(v->kind == Kind::Directory ? deletedDirectories_ : deleted_);
        if (!hasBackupSuffix(v->path)) scheduleBackup(v, v->path);
        metadataWrites_.push_back(std::move(write));
    }
    const auto skipped = found.skipped;
    if (skipped == 0) return;
    channel_.sendMessage(MessageTag::Warning, "Deletions stopped due to --max-delete limit (" +
                                                  std::to_string(skipped) + " skipped)\n");
    std::string code;
    putU32(code, kIoErrorDeleteLimit);
    channel_.sendMessage(MessageTag::IoError, code);
}

// Whether the path lies in the backup directory or above it. Backups are not in the client's list, but must
// not be deleted.
bool ReceivingSide::inBackupDirectory(const std::string& path) const {
    return !backupDir_.empty() && backupDir_ != target_.path &&
           (path == backupDir_ || path.rfind(backupDir_ + "/", 0) == 0 ||
            backupDir_.rfind(path + "/", 0) == 0);
}
bool ReceivingSide::hasBackupSuffix(const std::string& path) const {
    const auto& suffix = parameters_.options.backupSuffix;
    return backupDir_.empty() && path.size() > suffix.size() &&
           path.compare(path.size() - suffix.size(), suffix.size(), suffix) == 0;
}

// With --remove-source-files the client deletes its file only after this message.
void ReceivingSide::reportSuccess(std::int32_t index) {
    if (parameters_.options.dryRun) return;
    std::string text;
    putU32(text, static_cast<std::uint32_t>(index));
    channel_.sendMessage(MessageTag::Success, text);
}

// ---------------------------------------------------------------- metadata writes
bool ReceivingSide::runMetadataWrites() {
    bool any = false;
    while (!metadataWrites_.empty() && openMetadataWrites_ < context_.settings.piecesAhead &&
           !channel_.blocked()) {
        auto write = std::move(metadataWrites_.front());
        metadataWrites_.pop_front();
        ++openMetadataWrites_;
        any = true;
        runMetadataWrite(std::move(write));
    }
    return any;
}

void ReceivingSide::runMetadataWrite(std::shared_ptr<MetadataWrite> write) {
    const auto& source = write->contentSource;
    auto& v = write->version;
    if (!write->deletedName.empty()) channel_.sendMessage(MessageTag::Deleted, write->deletedName);
    if (parameters_.options.dryRun) {
        --openMetadataWrites_;
        return;
    }
    if (!source || source->size == 0) return storeMetadataWrite(write, std::make_shared<const std::string>());
    v.layout = Layout::Manifest;
    if (source->layout == Layout::Inline)
        return storeMetadataWrite(
            write, std::make_shared<const std::string>(catalogue::encode(std::vector<catalogue::Piece>{
                       {source->shard, "o/" + source->id, source->size, source->digest}})));
    const auto ticket = ++nextTicket_;
    openRequests_[ticket] = parameters_.store->read(
        *parameters_.volume, source->shard, "o/" + source->id, kMaxManifestBytes, source->size, "",
        trackRequest<ReadResult>(ticket, [this, write](ReadResult r) {
            if (r.ok)
                return storeMetadataWrite(write, std::make_shared<const std::string>(std::move(r.body)));
            --openMetadataWrites_;
            reportFileError(write->version.path, r.error);
        }));
}

void ReceivingSide::storeMetadataWrite(const std::shared_ptr<MetadataWrite>& write,
                                       std::shared_ptr<const std::string> body) {
    const auto ticket = ++nextTicket_;
    openRequests_[ticket] =
        parameters_.store->writeVersion(*parameters_.volume, write->version, body,
                                        trackRequest<WriteResult>(ticket, [this, write, body](WriteResult r) {
                                            if (!r.ok) reportFileError(write->version.path, r.error);
                                            --openMetadataWrites_;
                                        }));
}

// ---------------------------------------------------------------- requesting files
void ReceivingSide::requestFile(std::int32_t index, const BlockSums* sums) {
    auto& out = channel_.output();
    const auto& e = list_[static_cast<std::size_t>(index)];
    const bool isNew = !parameters_.store->catalogue().find(parameters_.volume->name, pathOf(e));
    indexOut_.put(out, index);
    putU16(out, static_cast<std::uint16_t>(kItemTransfer | (isNew ? kItemIsNew : 0)));
    requested_.insert(index);
    if (parameters_.options.dryRun) return;
    putSumHead(out, sums ? sums->head : SumHead{});
    if (!sums) return;
    const auto n = static_cast<std::size_t>(sums->head.sumBytes);
    for (std::size_t i = 0; i < sums->rolling.size(); ++i) {
        putU32(out, sums->rolling[i]);
        out.append(sums->strong, i * n, n);
    }
}

bool ReceivingSide::requestFiles() {
    bool any = false;
    while (!requestQueue_.empty() && requested_.size() < context_.settings.filesAhead &&
           !channel_.blocked()) {
        const auto index = requestQueue_.front();
        const auto& e = list_[static_cast<std::size_t>(index)];
        const auto existing = parameters_.store->catalogue().find(parameters_.volume->name, pathOf(e));
        const bool delta = existing && existing->kind == Kind::File && existing->size >= kMinDeltaBytes &&
                           doneReceived_ == 0 && e.size >= kMinDeltaBytes && !parameters_.options.wholeFile &&
                           !parameters_.options.dryRun;
        if (delta && !preparingBasis_) {
            preparingBasis_ = std::make_shared<Basis>(context_, parameters_, existing, wake_);
            preparingBasis_->prepare();
        }
        if (delta && !preparingBasis_->ready() && !preparingBasis_->failed()) break;
        const bool useDelta = delta && preparingBasis_->ready();
        requestFile(index, useDelta ? &preparingBasis_->sums() : nullptr);
        if (useDelta) {
            preparingBasis_->dropCache();
            basisByIndex_[index] = preparingBasis_;
        }
        preparingBasis_ = nullptr;
        requestQueue_.pop_front();
        channel_.flush();
        any = true;
    }
    return any;
}

void ReceivingSide::onMessage(const Demux::Message& message) {
    if (message.tag != MessageTag::NoSend) return;
    Reader r(message.payload);
    const auto index = r.i32();
    if (r.complete()) requested_.erase(index), basisByIndex_.erase(index);
}

// ---------------------------------------------------------------- receiving files
bool ReceivingSide::readFiles() {
    bool any = false;
    while (state_ == State::Transfer && (currentFile_ ? readContent() : readItemHeader())) any = true;
    return any;
}

bool ReceivingSide::readItemHeader() {
    if (channel_.input().empty() || doneReceived_ >= 3) return false;
    auto coder = indexIn_;
    Reader r(channel_.input());
    const auto index = coder.get(r);
    if (!r.complete()) return false;
    if (index == kIndexDone) {
        indexIn_ = coder;
        channel_.consume(r.consumed());
        if (++doneReceived_ > doneSent_) return fail("a round ended that was not");
        requested_.clear();
        return true;
    }
    const auto flags = r.u16();
    if (flags & kItemBasisTypeFollows) r.byte();
    if (flags & kItemNameFollows) r.vstring(kMaxPathBytes);
    const bool content = (flags & kItemTransfer) && !parameters_.options.dryRun;
    if (content) getSumHead(r);
    if (r.failed()) return fail(r.error());
    if (!r.complete()) return false;
    if (index < 0 || static_cast<std::size_t>(index) >= list_.size())
        return fail("file index " + std::to_string(index) + " out of range");
    if (content && !requested_.count(index)) return fail("a file came that was not asked for");
    indexIn_ = coder;
    channel_.consume(r.consumed());
    if (!content) {
        requested_.erase(index);
        return true;
    }
    currentFile_ = std::make_shared<IncomingFile>(parameters_.checksumKind);
    currentFile_->index = index;
    currentFile_->phase = doneReceived_;
    const auto& e = list_[static_cast<std::size_t>(index)];
    currentFile_->version = draftVersion(e, pathOf(e));
    if (const auto b = basisByIndex_.find(index); b != basisByIndex_.end()) currentFile_->basis = b->second;
    return true;
}

// Reserves memory for a new piece if the limits on open requests and memory allow it. Until then no more
// input is read, which stops the client by back-pressure.
bool ReceivingSide::reservePiece() {
    if (!currentFile_->pieceBuffer.empty() || !currentFile_->error.empty()) return true;
    if (openRequests_.size() >= maxOpenRequests()) return false;
    const auto expected = list_[static_cast<std::size_t>(currentFile_->index)].size;
    const auto rest = expected > currentFile_->size ? expected - currentFile_->size : 0;
    currentFile_->pieceLease = context_.memory.acquire(
        std::clamp<std::uint64_t>(rest, kMinLeaseBytes, context_.settings.pieceBytes));
    return true;
}

bool ReceivingSide::copyBlock() {
    auto& f = *currentFile_;
    if (!f.error.empty()) {
        copyingBlock_ = -1;
        return true;
    }
    if (!reservePiece()) return false;
    // A block may span two pieces, and the basis holds one at a time: the first part is kept in copiedBytes_.
    if (!f.basis->appendBlock(copyingBlock_, copiedLength_, copiedBytes_)) {
        if (!f.basis->failed()) return false;
        f.error = "reading what it is based on: " + f.basis->error();
    } else f.add(copiedBytes_);
    copyingBlock_ = -1;
    copiedLength_ = 0;
    copiedBytes_.clear();
    if (f.pieceBuffer.size() >= context_.settings.pieceBytes) storeFullPieces(currentFile_);
    return true;
}

bool ReceivingSide::readContent() {
    auto& f = *currentFile_;
    if (copyingBlock_ >= 0) return copyBlock();
    auto in = channel_.input();
    const auto before = in.size();
    if (expectsChecksum_) {
        const auto n = sumSize(parameters_.checksumKind);
        if (in.size() < n) return false;
        const std::string sum(in.substr(0, n));
        channel_.consume(n);
        finishContent(sum);
        return true;
    }
    if (!reservePiece()) return false;
    const auto token = tokenReader_.next(in);
    if (token.kind == Token::Kind::Invalid) return fail("file content: " + tokenReader_.error());
    if (token.kind == Token::Kind::Literal && f.error.empty()) {
        f.add(token.literal);
        if (f.pieceBuffer.size() >= context_.settings.pieceBytes) storeFullPieces(currentFile_);
    }
    if (token.kind == Token::Kind::Block) {
        if (!f.basis || !f.basis->hasBlock(token.block)) return fail("a block that is not there was named");
        copyingBlock_ = token.block;
    }
    if (token.kind == Token::Kind::End) expectsChecksum_ = true;
    channel_.consume(before - in.size());
    return token.kind != Token::Kind::NeedMore || before != in.size();
}

// Hands full pieces of the buffer to the store, and the rest once all content has come.
void ReceivingSide::storeFullPieces(const std::shared_ptr<IncomingFile>& f) {
    const auto pieceBytes = static_cast<std::size_t>(context_.settings.pieceBytes);
    while (f->pieceBuffer.size() >= pieceBytes || (f->received && !f->pieceBuffer.empty())) {
        if (f->pieces.size() >= catalogue::kMaxPieces) {
            f->error = "has more than " + std::to_string(catalogue::kMaxPieces) + " pieces";
            f->pieceBuffer.clear();
            return;
        }
        auto body = std::make_shared<std::string>(f->pieceBuffer.substr(0, pieceBytes));
        f->pieceBuffer.erase(0, pieceBytes);
        auto lease = std::make_shared<host::MemoryBudget::Lease>(std::move(f->pieceLease));
        catalogue::Piece p;
        p.size = body->size();
        p.digest = catalogue::xxh128Hex(*body);
        p.object = "p/" + catalogue::pieceId(parameters_.volume->name, f->version.path, f->version.version,
                                             f->pieces.size(), p.digest);
        f->pieces.push_back(std::move(p));
        ++f->openPieces;
        storePiece(f, f->pieces.size() - 1, std::move(body), std::move(lease));
    }
}

void ReceivingSide::storePiece(const std::shared_ptr<IncomingFile>& f, std::size_t i,
                               std::shared_ptr<const std::string> body,
                               std::shared_ptr<host::MemoryBudget::Lease> lease) {
    const auto ticket = ++nextTicket_;
    const auto expected = list_[static_cast<std::size_t>(f->index)].size;
    openRequests_[ticket] = parameters_.store->writePiece(
        *parameters_.volume, f->version.path, f->pieces[i].object.substr(2), body, expected,
        trackRequest<WriteResult>(ticket, [this, f, i, lease](WriteResult r) {
            if (!r.ok && f->error.empty()) f->error = r.error;
            f->pieces[i].shard = r.shard;
            --f->openPieces;
            finishFile(f);
        }));
}

void ReceivingSide::finishContent(std::string_view sum) {
    auto& f = *currentFile_;
    f.received = true;
    f.verified = f.transferChecksum.wireDigest() == sum;
    f.version.size = f.size;
    f.version.digest = f.storedChecksum.hex();
    expectsChecksum_ = false;
    requested_.erase(f.index);
    basisByIndex_.erase(f.index);
    // Content that is committed only at the end must not occupy memory until then: store all of it as pieces.
    if (!f.pieces.empty() || (parameters_.options.delayUpdates && f.size > 0)) storeFullPieces(currentFile_);
    const auto file = std::exchange(currentFile_, nullptr);
    finishFile(file);
}

// Once all content has come and all pieces have a response: commits the file, queues a retry, or reports an
// error.
void ReceivingSide::finishFile(const std::shared_ptr<IncomingFile>& f) {
    if (!f->received || f->openPieces > 0) return;
    if (f->error.empty() && !f->verified) {
        if (f->phase == 0) return retryQueue_.push_back(f->index);
        f->error = "its content did not match its checksum, twice";
    }
    if (!f->error.empty()) return reportFileError(f->version.path, f->error);
    // --checksum with a kind that the catalogue lacks: only now is it known whether the content changed.
    const auto existing = parameters_.store->catalogue().find(parameters_.volume->name, f->version.path);
    if (parameters_.options.checksum && existing && existing->kind == Kind::File &&
        existing->size == f->size && existing->digest == f->version.digest)
        return updateAttributes(f->index, existing);
    if (parameters_.options.delayUpdates)
        delayedFiles_.push_back({f->index, f->version, std::move(f->pieces)});
    else commit({f->index, f->version, std::move(f->pieces)}, std::move(f->pieceBuffer), f);
}

// Stores the version that makes the file visible. `contentOwner` holds the memory lease of `content` until
// the response has come.
void ReceivingSide::commit(StoredFile file, std::string content, std::shared_ptr<void> contentOwner) {
    if (!file.pieces.empty()) {
        file.version.layout = Layout::Manifest;
        content = catalogue::encode(file.pieces);
    }
    const auto& path = file.version.path;
    scheduleBackup(parameters_.store->catalogue().find(parameters_.volume->name, path), path);
    const auto ticket = ++nextTicket_;
    openRequests_[ticket] = parameters_.store->writeVersion(
        *parameters_.volume, file.version, std::make_shared<const std::string>(std::move(content)),
        trackRequest<WriteResult>(ticket, [this, path, index = file.index, contentOwner](WriteResult r) {
            if (!r.ok) reportFileError(path, r.error);
            else if (parameters_.options.removeSourceFiles) reportSuccess(index);
        }));
}

// --delay-updates: commits all files after the last one has come. Returns true once none is left.
bool ReceivingSide::commitDelayed() {
    while (!delayedFiles_.empty() && openRequests_.size() < maxOpenRequests()) {
        auto file = std::move(delayedFiles_.front());
        delayedFiles_.pop_front();
        commit(std::move(file), "", nullptr);
    }
    return delayedFiles_.empty();
}

// ---------------------------------------------------------------- phases
// Phases of the protocol: first the files, then those whose checksum did not match, then delayed updates. The
// end of a phase is sent only when no write of it is open, so that the client's final messages are true.
bool ReceivingSide::advancePhase() {
    if (!requestQueue_.empty() || preparingBasis_) return false;
    if (doneSent_ == 0) {
        indexOut_.put(channel_.output(), kIndexDone);
        doneSent_ = 1;
        return true;
    }
    if (doneReceived_ < doneSent_ || currentFile_ || !writesDone()) return false;
    if (doneSent_ < 3) {
        if (doneSent_ == 1 && !retryQueue_.empty()) {
            requestQueue_.assign(retryQueue_.begin(), retryQueue_.end());
            retryQueue_.clear();
            requestFiles();
            if (!requestQueue_.empty()) return false;
        }
        if (doneSent_ == 2 && (!commitDelayed() || !writesDone())) return false;
        indexOut_.put(channel_.output(), kIndexDone);
        ++doneSent_;
        return true;
    }
    if (unreportedErrors_ > 0) {
        const auto n = std::to_string(std::exchange(unreportedErrors_, 0));
        channel_.sendMessage(MessageTag::ErrorXfer, "spokewheel: " + n + " more files were not stored\n");
    }
    if (parameters_.options.deleteExtraneous && parameters_.options.deleteStats &&
        parameters_.protocol >= 31) {
        indexOut_.put(channel_.output(), kIndexDeleteStats);
        for (const int n : {deleted_, deletedDirectories_, 0, 0, 0}) putVarint(channel_.output(), n);
    }
    indexOut_.put(channel_.output(), kIndexDone);
    state_ = parameters_.protocol >= 31 ? State::Goodbye : State::Finished;
    return state_ != State::Finished;
}

bool ReceivingSide::goodbye() {
    Reader r(channel_.input());
    auto coder = indexIn_;
    const auto index = coder.get(r);
    if (!r.complete()) return false;
    if (r.failed() || index != kIndexDone) return fail("unexpected index at the end");
    indexIn_ = coder;
    channel_.consume(r.consumed());
    indexOut_.put(channel_.output(), kIndexDone);
    state_ = State::Finished;
    return false;
}

}  // namespace spokewheel::fronts::rsync
