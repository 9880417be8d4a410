#include "fronts/rsync/sending.hpp"

#include <glib.h>

#include <algorithm>

namespace spokewheel::fronts::rsync {

using namespace wire::rsync;

namespace {

constexpr std::int32_t kMaxBlocks = 1 << 18;   // a file of 32 GiB in blocks of the largest size
constexpr std::size_t kMaxSumBytes = 8 << 20;  // block checksums held per session, in bytes
constexpr std::size_t kMaxNames = 1000000, kMaxNameBytes = 32 << 20;
constexpr int kIoErrorGeneral = 1;
constexpr double kMemoryRetryMs = 20;

}  // namespace

const char* nameOf(WaitReason reason) {
    switch (reason) {
        case WaitReason::None:
            break;
        case WaitReason::Client:
            return "client input";
        case WaitReason::OutputSpace:
            return "space in the output queue";
        case WaitReason::StoreResponse:
            return "storage response";
        case WaitReason::Memory:
            return "memory";
        case WaitReason::Timer:
            return "timer";
    }
    return "nothing";
}

std::string md5(std::string_view first, std::string_view second) {
    GChecksum* sum = g_checksum_new(G_CHECKSUM_MD5);
    for (const auto part : {first, second})
        g_checksum_update(sum, reinterpret_cast<const guchar*>(part.data()),
                          static_cast<gssize>(part.size()));
    guint8 out[16];
    gsize n = sizeof out;
    g_checksum_get_digest(sum, out, &n);
    g_checksum_free(sum);
    return {reinterpret_cast<char*>(out), n};
}

std::string checksumFromHex(const std::string& hex) {
    std::string out;
    for (std::size_t i = 16; hex.size() == 32 && i-- > 0;)
        out += static_cast<char>(std::stoi(hex.substr(i * 2, 2), nullptr, 16));
    return out;
}

wire::rsync::ListForm listForm(const TransferParameters& parameters) {
    const auto& o = parameters.options;
    wire::rsync::ListForm form;
    form.protocol = parameters.protocol;
    form.varintFlags = parameters.compatFlags & kCompatVarintFlags;
    form.safeFileList = parameters.compatFlags & kCompatSafeFileList;
    form.uids = o.uids;
    form.gids = o.gids;
    form.idNames = !o.numericIds;
    form.links = o.links;
    form.devices = o.devices;
    form.specials = o.specials;
    form.hardLinks = o.hardLinks;
    form.sumBytes = o.checksum ? sumSize(parameters.listChecksumKind) : 0;
    return form;
}

FilterRuleResult readFilterRule(Channel& channel, Filter& filter, std::string& error) {
    Reader r(channel.input());
    const auto n = r.u32();
    if (r.complete() && n > kMaxPathBytes + 16) {
        error = "filter rule too long";
        return FilterRuleResult::Invalid;
    }
    const auto rule = r.bytes(n);
    if (!r.complete()) return FilterRuleResult::NeedInput;
    error = n ? filter.add(rule) : "";
    channel.consume(r.consumed());
    if (error.empty()) return n ? FilterRuleResult::Rule : FilterRuleResult::End;
    error = "not supported: " + error;
    return FilterRuleResult::Invalid;
}

SendingSide::SendingSide(Context& context, TransferParameters parameters, Channel& channel,
                         std::function<void()> wake)
    : TransferSide(std::move(wake)),
      context_(context),
      parameters_(std::move(parameters)),
      channel_(channel),
      filter_(wire::rsync::Filter::Side::Sender),
      tokenWriter_(parameters_.options.compress, parameters_.options.compressLevel),
      throttle_(parameters_.options.bytesPerSecond) {
    for (const auto& p : parameters_.options.paths)
        paths_.push_back(parseModulePath(parameters_.volume->name, p));
}

SendingSide::~SendingSide() {
    if (countedActive_) --context_.activeTransfers;
    for (const auto& request : requests_)
        for (const auto& [i, read] : request->reads)
            if (!read.ready) parameters_.store->abandon(read.requestId);
}

bool SendingSide::fail(std::string why) {
    error_ = std::move(why);
    state_ = State::Finished;
    return false;
}

bool SendingSide::advance() {
    resumeScheduled_ = false;
    for (bool more = true; more;) {
        switch (state_) {
            case State::Filter:
                more = readFilter();
                break;
            case State::FilesFrom:
                more = readFilesFrom();
                break;
            case State::WaitForMemory:
                more = reserveListMemory();
                break;
            case State::BuildList:
                more = buildList();
                break;
            case State::SendList:
                more = writeList();
                break;
            case State::Serve: {
                const bool read = readRequests();
                readAhead();
                // Written pieces make room for more reads, so the loop runs again. A delta can consume many
                // pieces without filling the output queue; no other event would then call advance().
                const auto before = piecesWritten_;
                const bool wrote = state_ == State::Serve && writeResponses();
                more = read || wrote || piecesWritten_ != before;
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

WaitReason SendingSide::waitReason() const {
    switch (state_) {
        case State::Filter:
        case State::FilesFrom:
        case State::Goodbye:
            return WaitReason::Client;
        case State::WaitForMemory:
            return memoryRetryTimer_ ? WaitReason::Memory : WaitReason::None;
        case State::BuildList:
            return resumeScheduled_ ? WaitReason::Timer : WaitReason::None;
        case State::SendList:
            return channel_.blocked() ? WaitReason::OutputSpace
                   : resumeScheduled_ ? WaitReason::Timer
                                      : WaitReason::None;
        case State::Serve: {
            if (channel_.blocked()) return WaitReason::OutputSpace;
            if (throttleTimer_) return WaitReason::Timer;
            if (requests_.empty()) return WaitReason::Client;
            // The first request can only wait for content that is being read.
            const auto& request = *requests_.front();
            const auto read = request.reads.find(request.needsManifest ? 0 : request.piecesWritten);
            return read != request.reads.end() && !read->second.ready ? WaitReason::StoreResponse
                                                                      : WaitReason::None;
        }
        case State::Finished:
            break;
    }
    return WaitReason::None;
}

bool SendingSide::readFilter() {
    std::string why;
    switch (readFilterRule(channel_, filter_, why)) {
        case FilterRuleResult::NeedInput:
            return false;
        case FilterRuleResult::Invalid:
            return fail(std::move(why));
        case FilterRuleResult::End:
            state_ = parameters_.options.filesFrom ? State::FilesFrom : State::WaitForMemory;
            if (state_ == State::FilesFrom && parameters_.protocol < 31) channel_.suspendMultiplexIn();
            break;
        case FilterRuleResult::Rule:
            break;
    }
    return true;
}

// Reads the names of --files-from, relative to the one path argument; each ends with a NUL (or a line end),
// and an empty one ends the list.
bool SendingSide::readFilesFrom() {
    const auto in = channel_.input();
    const auto end =
        parameters_.options.from0 ? in.find('\0') : in.find_first_of(std::string_view("\0\n\r", 3));
    if (end == in.npos) return in.size() > kMaxPathBytes ? fail("name in --files-from too long") : false;
    const std::string name(in.substr(0, end));
    channel_.consume(end + 1);
    if (!name.empty()) {
        nameBytes_ += name.size();
        if (names_.size() >= kMaxNames || nameBytes_ > kMaxNameBytes)
            return fail("too many names in --files-from");
        names_.push_back(name);
        return true;
    }
    if (parameters_.protocol < 31) channel_.resumeMultiplexIn();
    const auto base = paths_.empty() ? ModulePath() : paths_.front();
    paths_.clear();
    for (const auto& n : names_) {
        auto p = parseModulePath("", n);
        p.trailingSlash = n.back() == '/';
        // The list shows the names as the client gave them, so the path argument becomes their base.
        if (p.error.empty() && !base.path.empty()) {
            p.baseLength += base.path.size() + (p.path.empty() ? 0 : 1);
            p.path = base.path + (p.path.empty() ? "" : "/" + p.path);
        }
        paths_.push_back(std::move(p));
    }
    names_.clear();
    state_ = State::WaitForMemory;
    return true;
}

// Reserves memory for the file list, the largest thing a session holds; retries until there is enough.
bool SendingSide::reserveListMemory() {
    std::uint64_t entries = paths_.size();
    if (parameters_.options.recurse)
        for (const auto& p : paths_)
            entries += parameters_.store->catalogue().countBelow(parameters_.volume->name, p.path);
    const auto bytes = kListEntryBytes * std::min<std::uint64_t>(entries, context_.settings.listEntries);
    if (!host::mayHoldFileList(bytes, context_.memory.free(), context_.memory.used())) {
        memoryRetryTimer_ = context_.callAfter(kMemoryRetryMs, [wake = wake_] { wake(); });
        return false;
    }
    memoryRetryTimer_.reset();
    listLease_ = context_.memory.acquire(bytes);
    builder_ =
        std::make_unique<ListBuilder>(parameters_.store->catalogue(), parameters_.volume->name,
                                      parameters_.options, paths_, filter_, context_.settings.listEntries);
    state_ = State::BuildList;
    return true;
}

// Runs in slices, so that other sessions can proceed in between.
bool SendingSide::buildList() {
    if (!builder_->step(context_.listSlice)) return resumeNextTurn();
    listing_ = builder_->take();
    builder_.reset();
    startList();
    return true;
}

void SendingSide::startList() {
    // The error keeps a client from deleting files that an incomplete list lacks.
    if (!context_.catalogueComplete())
        listing_.errors.emplace_back("not all storage nodes have been read yet");
    for (const auto& error : listing_.errors) {
        ioError_ = kIoErrorGeneral;
        channel_.sendMessage(MessageTag::ErrorXfer, "spokewheel: " + error + "\n");
    }
    listWriter_ = std::make_unique<ListWriter>(listForm(parameters_));
    state_ = State::SendList;
}

bool SendingSide::writeList() {
    for (std::size_t n = 0; nextListEntry_ < listing_.files.size(); ++nextListEntry_, ++n) {
        if (n == context_.listSlice) {
            channel_.flush();
            return resumeNextTurn();
        }
        if (channel_.blocked()) {
            channel_.flush();
            if (channel_.blocked()) return false;
        }
        listWriter_->put(channel_.output(), listing_.files[nextListEntry_].entry);
    }
    listWriter_->end(channel_.output(), ioError_);
    listWriter_.reset();
    // The client ends the session after an empty list.
    if (listing_.files.empty()) {
        state_ = State::Finished;
        return false;
    }
    ++context_.activeTransfers;
    countedActive_ = true;
    state_ = State::Serve;
    return true;
}

bool SendingSide::readSums(ClientRequest& request) {
    const auto bytesPerBlock = 4 + static_cast<std::size_t>(request.sums.head.sumBytes);
    const auto in = channel_.input();
    const auto n = std::min<std::size_t>(in.size() / bytesPerBlock, static_cast<std::size_t>(sumsLeft_));
    for (std::size_t i = 0; i < n; ++i) {
        Reader r(in.substr(i * bytesPerBlock, bytesPerBlock));
        request.sums.rolling.push_back(r.u32());
        request.sums.strong += r.bytes(bytesPerBlock - 4);
    }
    channel_.consume(n * bytesPerBlock);
    sumsLeft_ -= static_cast<std::int32_t>(n);
    return sumsLeft_ == 0;
}

// Reads the client's requests, but only up to a limit of unanswered ones, so that a client that requests a
// million files costs no more memory than one that requests a few.
bool SendingSide::readRequests() {
    bool any = false;
    while (state_ == State::Serve && phasesSeen_ < 3) {
        if (awaitingSums_) {
            if (!readSums(*awaitingSums_)) break;
            requests_.push_back(std::move(awaitingSums_));
            any = true;
        }
        if (requests_.size() >= context_.settings.filesAhead || channel_.input().empty()) break;
        if (heldSumBytes_ > kMaxSumBytes && !requests_.empty()) break;
        auto coder = indexIn_;
        Reader r(channel_.input());
        auto request = std::make_shared<ClientRequest>();
        request->index = coder.get(r);
        if (!r.complete()) break;
        if (r.failed()) return fail(r.error());
        if (request->index == kIndexDone) {
            request->marker = request->done = true;
            ++phasesSeen_;
        } else if (request->index == kIndexDeleteStats) {
            request->marker = true;
            for (int i = 0; i < 5; ++i) putVarint(request->echo, r.varint());
        } else {
            if (request->index < 0 || static_cast<std::size_t>(request->index) >= listing_.files.size())
                return fail("file index " + std::to_string(request->index) + " out of range");
            request->flags = r.u16();
            if (request->flags & kItemBasisTypeFollows) request->echoedFields += static_cast<char>(r.byte());
            if (request->flags & kItemNameFollows)
                putVstring(request->echoedFields, r.vstring(kMaxPathBytes));
            request->transfer = request->flags & kItemTransfer;
            if (request->transfer && !parameters_.options.dryRun) request->sums.head = getSumHead(r);
        }
        if (r.failed()) return fail(r.error());
        if (!r.complete()) break;
        indexIn_ = coder;
        channel_.consume(r.consumed());
        any = true;
        if (request->marker) {
            requests_.push_back(std::move(request));
            continue;
        }
        if (request->sums.head.count > kMaxBlocks) return fail("too many blocks for one file");
        preparePieces(*request);
        sumsLeft_ = request->sums.head.count;
        request->sumBytes = static_cast<std::size_t>(sumsLeft_) * (4 + kMaxStrongSumBytes);
        heldSumBytes_ += request->sumBytes;
        if (sumsLeft_ > 0) awaitingSums_ = std::move(request);
        else requests_.push_back(std::move(request));
    }
    return any;
}

void SendingSide::preparePieces(ClientRequest& request) {
    const auto& listed = listing_.files[static_cast<std::size_t>(request.index)];
    request.version = listed.version;
    if (parameters_.options.dryRun) request.transfer = false;
    if (!request.transfer) return;
    if (!request.version) request.error = "is not a regular file";
    else if (request.version->size > 0 && request.version->layout == catalogue::Layout::Manifest)
        request.needsManifest = true;
    else if (request.version->size > 0)
        request.pieces = {{request.version->shard, "o/" + request.version->id, request.version->size,
                           request.version->digest}};
}

// Reads content ahead of the output, in output order, within the session's window and its share of memory.
void SendingSide::readAhead() {
    const auto piece = context_.settings.pieceBytes;
    for (const auto& request : requests_) {
        if (!request->transfer || !request->error.empty()) continue;
        for (;;) {
            const bool manifest = request->needsManifest;
            if (manifest ? request->piecesRequested > 0 : request->piecesRequested >= request->pieces.size())
                break;
            const auto maxReads = host::maxPiecesInFlight(context_.memory.free(), context_.activeTransfers,
                                                          piece, context_.settings.piecesAhead);
            // The first request may always have one open read: later requests wait for it with the pieces
            // that they hold, and the window may have shrunk below that number.
            if (readsAhead_ >= maxReads && !(request == requests_.front() && request->reads.empty())) return;
            ++readsAhead_;
            requestPiece(request, request->piecesRequested++);
        }
    }
}

void SendingSide::requestPiece(const ClientRequestPtr& request, std::size_t i) {
    auto& read = request->reads[i];
    const auto& v = *request->version;
    const std::weak_ptr<ClientRequest> weak = request;
    const auto done = [self = weak_from_this(), weak, i](ReadResult r) {
        if (const auto s = self.lock()) s->onReadDone(weak, i, std::move(r));
    };
    ++openReads_;
    if (request->needsManifest) {
        read.requestId = parameters_.store->read(*parameters_.volume, v.shard, "o/" + v.id, kMaxManifestBytes,
                                                 v.size, "", done);
        return;
    }
    const auto& p = request->pieces[i];
    read.lease = context_.memory.acquire(p.size);
    read.requestId =
        parameters_.store->read(*parameters_.volume, p.shard, p.object, p.size, v.size, p.digest, done);
}

void SendingSide::onReadDone(const std::weak_ptr<ClientRequest>& weak, std::size_t i, ReadResult result) {
    --openReads_;
    const auto request = weak.lock();
    if (!request) return;
    auto& read = request->reads[i];
    if (result.ok && request->needsManifest) {
        const auto pieces = catalogue::decodePieces(result.body, request->version->size);
        request->needsManifest = false;
        request->reads.clear();
        request->piecesRequested = 0;
        --readsAhead_;
        if (pieces) request->pieces = *pieces;
        else request->error = "its list of pieces can't be read";
    } else if (result.ok) {
        read.body = std::move(result.body);
        read.ready = true;
    } else {
        read.ready = true;
        if (request->error.empty()) request->error = result.error;
    }
    wake_();
}

bool SendingSide::writeResponses() {
    bool any = false;
    while (!requests_.empty() && !channel_.blocked()) {
        auto& request = *requests_.front();
        if (request.marker) {
            if (request.done) {
                indexOut_.put(channel_.output(), kIndexDone);
                if (phasesSeen_ >= 3 && requests_.size() == 1) {
                    const auto totalSize = [this] {
                        std::int64_t sum = 0;
                        for (const auto& f : listing_.files) sum += static_cast<std::int64_t>(f.entry.size);
                        return sum;
                    }();
                    for (const auto x : {std::int64_t(0), static_cast<std::int64_t>(contentBytesWritten_),
                                         totalSize, std::int64_t(1), std::int64_t(0)})
                        putVarlong(channel_.output(), x, 3);
                    state_ = State::Goodbye;
                }
            } else {
                indexOut_.put(channel_.output(), kIndexDeleteStats);
                channel_.output() += request.echo;
            }
        } else if (!writeResponse(request)) break;
        heldSumBytes_ -= requests_.front()->sumBytes;
        requests_.pop_front();
        any = true;
        channel_.flush();
        if (state_ != State::Serve) break;
    }
    return any;
}

// Writes the available part of the response to the first request; returns true once it is complete.
bool SendingSide::writeResponse(ClientRequest& request) {
    auto& out = channel_.output();
    if (request.transfer && !request.headerSent) {
        if (!request.error.empty()) {
            refuseFile(request);
            return true;
        }
        // The header is sent only with the first content: until then the file can be refused cleanly.
        if (request.needsManifest) return false;
        if (!request.pieces.empty() && !(request.reads.count(0) && request.reads[0].ready)) return false;
    }
    if (!request.headerSent) {
        indexOut_.put(out, request.index);
        putU16(out, request.flags);
        out += request.echoedFields;
        request.headerSent = true;
        if (!request.transfer) return true;
        putSumHead(out, request.sums.head);
        request.matcher =
            std::make_unique<BlockMatcher>(std::move(request.sums), parameters_.checksumKind, md5,
                                           parameters_.checksumSeed, parameters_.seedFirst());
        // For xxh128 the stored digest is sent, so nothing is computed.
        if (parameters_.checksumKind != SumKind::Xxh128)
            request.checksum = std::make_unique<FileSum>(parameters_.checksumKind);
    }
    while (request.piecesWritten < request.pieces.size() && request.error.empty()) {
        const auto found = request.reads.find(request.piecesWritten);
        if (found == request.reads.end() || !found->second.ready) return false;
        auto& read = found->second;
        if (throttle_.enabled()) {
            const double wait = throttle_.waitMs(context_.nowMs());
            if (wait > 0) {
                throttleTimer_ = context_.callAfter(wait, [this] {
                    throttleTimer_.reset();
                    wake_();
                });
                return false;
            }
            const auto part =
                std::string_view(read.body).substr(read.bytesWritten, throttle_.maxWriteBytes());
            throttle_.onWritten(part.size(), context_.nowMs());
            read.bytesWritten += part.size();
            writeContent(request, part);
            if (read.bytesWritten < read.body.size()) continue;
        } else writeContent(request, read.body);
        request.reads.erase(found);
        ++request.piecesWritten;
        ++piecesWritten_;
        --readsAhead_;
        channel_.flush();
        if (channel_.blocked() && request.piecesWritten < request.pieces.size()) return false;
    }
    finishFile(request);
    return true;
}

void SendingSide::writeContent(ClientRequest& request, std::string_view bytes) {
    contentBytesWritten_ += bytes.size();
    if (request.checksum) request.checksum->add(bytes);
    // Without blocks to match and without compression the bytes are sent as they are.
    if (!request.matcher->hasBlocks() && !parameters_.options.compress) channel_.writeLiteral(bytes);
    else request.matcher->feed(bytes, tokenWriter_, channel_.output());
}

// Ends the content of a file and sends its checksum; abandons reads that are still open after an error.
void SendingSide::finishFile(ClientRequest& request) {
    auto& out = channel_.output();
    request.matcher->finish(tokenWriter_, out);
    tokenWriter_.end(out);
    std::string sum;
    if (request.checksum) sum = request.checksum->wireDigest();
    else
        sum = checksumFromHex(request.version->digest.empty() ? catalogue::xxh128Hex("")
                                                              : request.version->digest);
    if (!request.error.empty()) {
        // Failed half-way: a checksum that cannot match makes the client discard the content and request the
        // file again in the second phase, as the original sender does on a read error.
        for (auto& c : sum) c = static_cast<char>(~c);
        channel_.sendMessage(MessageTag::ErrorXfer, "spokewheel: reading \"" + request.version->path +
                                                        "\" (in " + parameters_.volume->name +
                                                        ") broke off: " + request.error + "\n");
        context_.logEvent("file_broken_off", "", request.version->path + ": " + request.error);
    }
    out += sum;
    for (auto& [i, read] : request.reads) {
        if (!read.ready) parameters_.store->abandon(read.requestId), --openReads_;
        --readsAhead_;
    }
    request.reads.clear();
}

// Reports a file that cannot be sent at all.
void SendingSide::refuseFile(ClientRequest& request) {
    const auto path = listing_.files[static_cast<std::size_t>(request.index)].entry.name;
    channel_.sendMessage(MessageTag::ErrorXfer, "spokewheel: \"" + path + "\" (in " +
                                                    parameters_.volume->name +
                                                    ") was not sent: " + request.error + "\n");
    std::string index;
    putU32(index, static_cast<std::uint32_t>(request.index));
    channel_.sendMessage(MessageTag::NoSend, index);
    context_.logEvent("file_not_sent", "", path + ": " + request.error);
    for (auto& [i, read] : request.reads) {
        if (!read.ready) parameters_.store->abandon(read.requestId), --openReads_;
        --readsAhead_;
    }
    request.reads.clear();
}

// At protocol 30 the client sends one final mark; from 31 on the first is answered and a second one follows.
bool SendingSide::goodbye() {
    Reader r(channel_.input());
    auto coder = indexIn_;
    const auto index = coder.get(r);
    if (index == kIndexDeleteStats)
        for (int i = 0; i < 5; ++i) r.varint();
    if (!r.complete()) return false;
    if (r.failed() || (index != kIndexDone && index != kIndexDeleteStats))
        return fail("unexpected index at the end");
    indexIn_ = coder;
    channel_.consume(r.consumed());
    if (index == kIndexDeleteStats) return true;
    if (++goodbyesSeen_ == 1 && parameters_.protocol >= 31) {
        indexOut_.put(channel_.output(), kIndexDone);
        return true;
    }
    state_ = State::Finished;
    return false;
}

}  // namespace spokewheel::fronts::rsync
