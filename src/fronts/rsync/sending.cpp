#include "fronts/rsync/sending.hpp"

#include <glib.h>

#include <algorithm>

namespace spokewheel::fronts::rsync {

using namespace wire::rsync;

namespace {

constexpr std::int32_t kMostBlocks = 1 << 18;  // of a file of 32 GiB in the largest blocks
constexpr std::size_t kMostSums = 8 << 20;     // bytes of block sums that wait in one session
constexpr std::size_t kMostNames = 1000000, kMostNameBytes = 32 << 20;
constexpr int kGeneralError = 1;
constexpr double kRetryMs = 20;

}  // namespace

const char* nameOf(Waits waits) {
    switch (waits) {
        case Waits::Nothing:
            break;
        case Waits::Client:
            return "the client";
        case Waits::Room:
            return "room to the client";
        case Waits::Answer:
            return "an answer";
        case Waits::Memory:
            return "memory";
        case Waits::Timer:
            return "a timer";
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

std::string sumOf(const std::string& hex) {
    std::string out;
    for (std::size_t i = 16; hex.size() == 32 && i-- > 0;)
        out += static_cast<char>(std::stoi(hex.substr(i * 2, 2), nullptr, 16));
    return out;
}

wire::rsync::ListForm listForm(const Agreed& agreed) {
    const auto& o = agreed.options;
    wire::rsync::ListForm form;
    form.protocol = agreed.protocol;
    form.varintFlags = agreed.flags & kVarintFlags;
    form.safeEnd = agreed.flags & kSafeList;
    form.uids = o.uids;
    form.gids = o.gids;
    form.idNames = !o.numericIds;
    form.links = o.links;
    form.devices = o.devices;
    form.specials = o.specials;
    form.hardLinks = o.hardLinks;
    form.sumBytes = o.checksum ? sizeOf(agreed.listSums) : 0;
    return form;
}

FilterStep readFilterRule(Channel& channel, Filter& filter, std::string& fault) {
    Reader r(channel.input());
    const auto n = r.u32();
    if (r.enough() && n > kMostName + 16) {
        fault = "filter rule too long";
        return FilterStep::Bad;
    }
    const auto rule = r.bytes(n);
    if (!r.enough()) return FilterStep::More;
    fault = n ? filter.add(rule) : "";
    channel.took(r.used());
    if (fault.empty()) return n ? FilterStep::Rule : FilterStep::End;
    fault = "not supported: " + fault;
    return FilterStep::Bad;
}

Sending::Sending(Context& context, Agreed agreed, Channel& channel, std::function<void()> wake)
    : Half(std::move(wake)),
      context_(context),
      agreed_(std::move(agreed)),
      channel_(channel),
      filter_(wire::rsync::Filter::Side::Sender),
      tokens_(agreed_.options.compress, agreed_.options.compressLevel),
      throttle_(agreed_.options.bytesPerS) {
    for (const auto& p : agreed_.options.paths) paths_.push_back(parseModulePath(agreed_.volume->name, p));
}

Sending::~Sending() {
    if (moving_) --context_.moving;
    for (const auto& job : jobs_)
        for (const auto& [i, slot] : job->slots)
            if (!slot.ready) agreed_.store->abandon(slot.request);
}

bool Sending::broken(std::string why) {
    fault_ = std::move(why);
    state_ = State::Over;
    return false;
}

bool Sending::advance() {
    turn_ = false;
    for (bool more = true; more;) {
        switch (state_) {
            case State::Filter:
                more = readFilter();
                break;
            case State::Names:
                more = readNames();
                break;
            case State::Wait:
                more = mayList();
                break;
            case State::Build:
                more = buildList();
                break;
            case State::List:
                more = writeList();
                break;
            case State::Serve: {
                const bool read = readRequests();
                fetch();
                // What was passed on makes room to ask for more. A delta passes many pieces without ever
                // filling the queue to the client, so that no other happening would call this again.
                const auto before = passed_;
                const bool wrote = state_ == State::Serve && serve();
                more = read || wrote || passed_ != before;
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

Waits Sending::waits() const {
    switch (state_) {
        case State::Filter:
        case State::Names:
        case State::Goodbye:
            return Waits::Client;
        case State::Wait:
            return retry_ ? Waits::Memory : Waits::Nothing;
        case State::Build:
            return turn_ ? Waits::Timer : Waits::Nothing;
        case State::List:
            return channel_.blocked() ? Waits::Room : turn_ ? Waits::Timer : Waits::Nothing;
        case State::Serve: {
            if (channel_.blocked()) return Waits::Room;
            if (pause_) return Waits::Timer;
            if (jobs_.empty()) return Waits::Client;
            // The first job stands still only for content that was asked for and has not come.
            const auto& job = *jobs_.front();
            const auto slot = job.slots.find(job.wantsManifest ? 0 : job.sent);
            return slot != job.slots.end() && !slot->second.ready ? Waits::Answer : Waits::Nothing;
        }
        case State::Over:
            break;
    }
    return Waits::Nothing;
}

bool Sending::readFilter() {
    std::string why;
    switch (readFilterRule(channel_, filter_, why)) {
        case FilterStep::More:
            return false;
        case FilterStep::Bad:
            return broken(std::move(why));
        case FilterStep::End:
            state_ = agreed_.options.filesFrom ? State::Names : State::Wait;
            if (state_ == State::Names && agreed_.protocol < 31) channel_.unframe();
            break;
        case FilterStep::Rule:
            break;
    }
    return true;
}

// Names below the one argument, each ended by a NUL (or a line end), an empty one last.
bool Sending::readNames() {
    const auto in = channel_.input();
    const auto end = agreed_.options.from0 ? in.find('\0') : in.find_first_of(std::string_view("\0\n\r", 3));
    if (end == in.npos) return in.size() > kMostName ? broken("name in --files-from too long") : false;
    const std::string name(in.substr(0, end));
    channel_.took(end + 1);
    if (!name.empty()) {
        nameBytes_ += name.size();
        if (names_.size() >= kMostNames || nameBytes_ > kMostNameBytes)
            return broken("too many names in --files-from");
        names_.push_back(name);
        return true;
    }
    if (agreed_.protocol < 31) channel_.reframe();
    const auto base = paths_.empty() ? ModulePath() : paths_.front();
    paths_.clear();
    for (const auto& n : names_) {
        auto p = parseModulePath("", n);
        p.trailingSlash = n.back() == '/';
        // Names in the list are those that the client gave: what it asked below is their base.
        if (p.fault.empty() && !base.path.empty()) {
            p.base += base.path.size() + (p.path.empty() ? 0 : 1);
            p.path = base.path + (p.path.empty() ? "" : "/" + p.path);
        }
        paths_.push_back(std::move(p));
    }
    names_.clear();
    state_ = State::Wait;
    return true;
}

// Lists are the largest thing a session holds: each takes its part of the memory, and waits for it.
bool Sending::mayList() {
    std::uint64_t entries = paths_.size();
    if (agreed_.options.recurse)
        for (const auto& p : paths_)
            entries += agreed_.store->catalogue().countBelow(agreed_.volume->name, p.path);
    const auto bytes = kListEntryBytes * std::min<std::uint64_t>(entries, context_.settings.listEntries);
    if (!host::mayHoldFileList(bytes, context_.memory.free(), context_.memory.used())) {
        retry_ = context_.after(kRetryMs, [wake = wake_] { wake(); });
        return false;
    }
    retry_.reset();
    listLease_ = context_.memory.acquire(bytes);
    builder_ = std::make_unique<ListBuilder>(agreed_.store->catalogue(), agreed_.volume->name,
                                             agreed_.options, paths_, filter_, context_.settings.listEntries);
    state_ = State::Build;
    return true;
}

// Slice by slice, so that other sessions go on meanwhile.
bool Sending::buildList() {
    if (!builder_->step(context_.listSlice)) return nextTurn();
    listing_ = builder_->take();
    builder_.reset();
    startList();
    return true;
}

void Sending::startList() {
    // A list that may lack files must not make a client delete its own.
    if (!context_.complete()) listing_.errors.emplace_back("not all storage nodes have been read yet");
    for (const auto& fault : listing_.errors) {
        ioError_ = kGeneralError;
        channel_.message(Message::ErrorXfer, "spokewheel: " + fault + "\n");
    }
    listWriter_ = std::make_unique<ListWriter>(listForm(agreed_));
    state_ = State::List;
}

bool Sending::writeList() {
    for (std::size_t n = 0; listAt_ < listing_.files.size(); ++listAt_, ++n) {
        if (n == context_.listSlice) {
            channel_.flush();
            return nextTurn();
        }
        if (channel_.blocked()) {
            channel_.flush();
            if (channel_.blocked()) return false;
        }
        listWriter_->put(channel_.out(), listing_.files[listAt_].entry);
    }
    listWriter_->end(channel_.out(), ioError_);
    listWriter_.reset();
    // The client ends where it was told of nothing at all; so does this side.
    if (listing_.files.empty()) {
        state_ = State::Over;
        return false;
    }
    ++context_.moving;
    moving_ = true;
    state_ = State::Serve;
    return true;
}

bool Sending::readSums(Job& job) {
    const auto each = 4 + static_cast<std::size_t>(job.sums.head.sumBytes);
    const auto in = channel_.input();
    const auto n = std::min<std::size_t>(in.size() / each, static_cast<std::size_t>(sumsLeft_));
    for (std::size_t i = 0; i < n; ++i) {
        Reader r(in.substr(i * each, each));
        job.sums.rolling.push_back(r.u32());
        job.sums.strong += r.bytes(each - 4);
    }
    channel_.took(n * each);
    sumsLeft_ -= static_cast<std::int32_t>(n);
    return sumsLeft_ == 0;
}

// Takes the client's requests while few wait, so that a client which asks for a million files costs no more
// memory than one that asks for a handful.
bool Sending::readRequests() {
    bool any = false;
    while (state_ == State::Serve && rounds_ < 3) {
        if (summing_) {
            if (!readSums(*summing_)) break;
            jobs_.push_back(std::move(summing_));
            any = true;
        }
        if (jobs_.size() >= context_.settings.filesAhead || channel_.input().empty()) break;
        if (sumsHeld_ > kMostSums && !jobs_.empty()) break;
        auto coder = in_;
        Reader r(channel_.input());
        auto job = std::make_shared<Job>();
        job->index = coder.get(r);
        if (!r.enough()) break;
        if (r.bad()) return broken(r.why());
        if (job->index == kDone) {
            job->marker = job->done = true;
            ++rounds_;
        } else if (job->index == kDeleteStats) {
            job->marker = true;
            for (int i = 0; i < 5; ++i) putVarint(job->echo, r.varint());
        } else {
            if (job->index < 0 || static_cast<std::size_t>(job->index) >= listing_.files.size())
                return broken("file index " + std::to_string(job->index) + " out of range");
            job->flags = r.u16();
            if (job->flags & kBasisFollows) job->extras += static_cast<char>(r.byte());
            if (job->flags & kNameFollows) putVstring(job->extras, r.vstring(kMostName));
            job->transfer = job->flags & kTransfer;
            if (job->transfer && !agreed_.options.dryRun) job->sums.head = getSumHead(r);
        }
        if (r.bad()) return broken(r.why());
        if (!r.enough()) break;
        in_ = coder;
        channel_.took(r.used());
        any = true;
        if (job->marker) {
            jobs_.push_back(std::move(job));
            continue;
        }
        if (job->sums.head.count > kMostBlocks) return broken("too many blocks for one file");
        prepare(*job);
        sumsLeft_ = job->sums.head.count;
        job->sumBytes = static_cast<std::size_t>(sumsLeft_) * (4 + kSumBytes);
        sumsHeld_ += job->sumBytes;
        if (sumsLeft_ > 0) summing_ = std::move(job);
        else jobs_.push_back(std::move(job));
    }
    return any;
}

void Sending::prepare(Job& job) {
    const auto& listed = listing_.files[static_cast<std::size_t>(job.index)];
    job.version = listed.version;
    if (agreed_.options.dryRun) job.transfer = false;
    if (!job.transfer) return;
    if (!job.version) job.fault = "is not a regular file";
    else if (job.version->size > 0 && job.version->layout == catalogue::Layout::Manifest)
        job.wantsManifest = true;
    else if (job.version->size > 0)
        job.pieces = {{job.version->shard, "o/" + job.version->id, job.version->size, job.version->digest}};
}

// Asks for content ahead of what can be written, in the order in which it will be: within the window of the
// session and its part of the memory.
void Sending::fetch() {
    const auto piece = context_.settings.pieceBytes;
    for (const auto& job : jobs_) {
        if (!job->transfer || !job->fault.empty()) continue;
        for (;;) {
            const bool manifest = job->wantsManifest;
            if (manifest ? job->asked > 0 : job->asked >= job->pieces.size()) break;
            const auto most = host::maxPiecesInFlight(context_.memory.free(), context_.moving, piece,
                                                      context_.settings.piecesAhead);
            // The first job may always have one piece out: what later ones hold ready waits for it, and the
            // window may have shrunk below what they hold.
            if (ahead_ >= most && !(job == jobs_.front() && job->slots.empty())) return;
            ++ahead_;
            ask(job, job->asked++);
        }
    }
}

void Sending::ask(const JobPtr& job, std::size_t i) {
    auto& slot = job->slots[i];
    const auto& v = *job->version;
    const std::weak_ptr<Job> weak = job;
    const auto done = [self = weak_from_this(), weak, i](ReadResult r) {
        if (const auto s = self.lock()) s->onPiece(weak, i, std::move(r));
    };
    ++open_;
    if (job->wantsManifest) {
        slot.request =
            agreed_.store->read(*agreed_.volume, v.shard, "o/" + v.id, kMaxManifestBytes, v.size, "", done);
        return;
    }
    const auto& p = job->pieces[i];
    slot.lease = context_.memory.acquire(p.size);
    slot.request = agreed_.store->read(*agreed_.volume, p.shard, p.object, p.size, v.size, p.digest, done);
}

void Sending::onPiece(const std::weak_ptr<Job>& weak, std::size_t i, ReadResult result) {
    --open_;
    const auto job = weak.lock();
    if (!job) return;
    auto& slot = job->slots[i];
    if (result.ok && job->wantsManifest) {
        const auto pieces = catalogue::decodePieces(result.body, job->version->size);
        job->wantsManifest = false;
        job->slots.clear();
        job->asked = 0;
        --ahead_;
        if (pieces) job->pieces = *pieces;
        else job->fault = "its list of pieces can't be read";
    } else if (result.ok) {
        slot.body = std::move(result.body);
        slot.ready = true;
    } else {
        slot.ready = true;
        if (job->fault.empty()) job->fault = result.error;
    }
    wake_();
}

bool Sending::serve() {
    bool any = false;
    while (!jobs_.empty() && !channel_.blocked()) {
        auto& job = *jobs_.front();
        if (job.marker) {
            if (job.done) {
                out_.put(channel_.out(), kDone);
                if (rounds_ >= 3 && jobs_.size() == 1) {
                    const auto total = [this] {
                        std::int64_t sum = 0;
                        for (const auto& f : listing_.files) sum += static_cast<std::int64_t>(f.entry.size);
                        return sum;
                    }();
                    for (const auto x : {std::int64_t(0), static_cast<std::int64_t>(written_), total,
                                         std::int64_t(1), std::int64_t(0)})
                        putVarlong(channel_.out(), x, 3);
                    state_ = State::Goodbye;
                }
            } else {
                out_.put(channel_.out(), kDeleteStats);
                channel_.out() += job.echo;
            }
        } else if (!serveFront(job)) break;
        sumsHeld_ -= jobs_.front()->sumBytes;
        jobs_.pop_front();
        any = true;
        channel_.flush();
        if (state_ != State::Serve) break;
    }
    return any;
}

// Writes of the first job what is there; true once it is complete.
bool Sending::serveFront(Job& job) {
    auto& out = channel_.out();
    if (job.transfer && !job.headSent) {
        if (!job.fault.empty()) {
            refuse(job);
            return true;
        }
        // The head goes out only with the first content: until then the file can be refused cleanly.
        if (job.wantsManifest) return false;
        if (!job.pieces.empty() && !(job.slots.count(0) && job.slots[0].ready)) return false;
    }
    if (!job.headSent) {
        out_.put(out, job.index);
        putU16(out, job.flags);
        out += job.extras;
        job.headSent = true;
        if (!job.transfer) return true;
        putSumHead(out, job.sums.head);
        job.matcher = std::make_unique<Matcher>(std::move(job.sums), agreed_.sums, md5, agreed_.seed,
                                                agreed_.seedFirst());
        // The sum that is stored needs no counting.
        if (agreed_.sums != SumKind::Xxh128) job.sum = std::make_unique<FileSum>(agreed_.sums);
    }
    while (job.sent < job.pieces.size() && job.fault.empty()) {
        const auto found = job.slots.find(job.sent);
        if (found == job.slots.end() || !found->second.ready) return false;
        auto& slot = found->second;
        if (throttle_.enabled()) {
            const double wait = throttle_.waitMs(context_.now());
            if (wait > 0) {
                pause_ = context_.after(wait, [this] {
                    pause_.reset();
                    wake_();
                });
                return false;
            }
            const auto part = std::string_view(slot.body).substr(slot.passed, throttle_.maxWriteBytes());
            throttle_.onWritten(part.size(), context_.now());
            slot.passed += part.size();
            pass(job, part);
            if (slot.passed < slot.body.size()) continue;
        } else pass(job, slot.body);
        job.slots.erase(found);
        ++job.sent;
        ++passed_;
        --ahead_;
        channel_.flush();
        if (channel_.blocked() && job.sent < job.pieces.size()) return false;
    }
    finishFile(job);
    return true;
}

void Sending::pass(Job& job, std::string_view bytes) {
    written_ += bytes.size();
    if (job.sum) job.sum->add(bytes);
    // Nothing to match and nothing to pack: the bytes go out as they are.
    if (!job.matcher->matches() && !agreed_.options.compress) channel_.literal(bytes);
    else job.matcher->feed(bytes, tokens_, channel_.out());
}

// What is still asked for it is of no use any more.
void Sending::finishFile(Job& job) {
    auto& out = channel_.out();
    job.matcher->finish(tokens_, out);
    tokens_.end(out);
    std::string sum;
    if (job.sum) sum = job.sum->wire();
    else sum = sumOf(job.version->digest.empty() ? catalogue::xxh128Hex("") : job.version->digest);
    if (!job.fault.empty()) {
        // Failed half-way: a checksum that can't match makes the client throw away what it has, as the
        // stock sender does on a read error; it asks again in the second round.
        for (auto& c : sum) c = static_cast<char>(~c);
        channel_.message(Message::ErrorXfer, "spokewheel: reading \"" + job.version->path + "\" (in " +
                                                 agreed_.volume->name + ") broke off: " + job.fault + "\n");
        context_.note("file_broken_off", "", job.version->path + ": " + job.fault);
    }
    out += sum;
    for (auto& [i, slot] : job.slots) {
        if (!slot.ready) agreed_.store->abandon(slot.request), --open_;
        --ahead_;
    }
    job.slots.clear();
}

void Sending::refuse(Job& job) {
    const auto path = listing_.files[static_cast<std::size_t>(job.index)].entry.name;
    channel_.message(Message::ErrorXfer, "spokewheel: \"" + path + "\" (in " + agreed_.volume->name +
                                             ") was not sent: " + job.fault + "\n");
    std::string index;
    putU32(index, static_cast<std::uint32_t>(job.index));
    channel_.message(Message::NoSend, index);
    context_.note("file_not_sent", "", path + ": " + job.fault);
    for (auto& [i, slot] : job.slots) {
        if (!slot.ready) agreed_.store->abandon(slot.request), --open_;
        --ahead_;
    }
    job.slots.clear();
}

// One done mark at protocol 30; from 31 on it is answered, and one more comes.
bool Sending::goodbye() {
    Reader r(channel_.input());
    auto coder = in_;
    const auto index = coder.get(r);
    if (index == kDeleteStats)
        for (int i = 0; i < 5; ++i) r.varint();
    if (!r.enough()) return false;
    if (r.bad() || (index != kDone && index != kDeleteStats)) return broken("unexpected index at the end");
    in_ = coder;
    channel_.took(r.used());
    if (index == kDeleteStats) return true;
    if (++goodbyes_ == 1 && agreed_.protocol >= 31) {
        out_.put(channel_.out(), kDone);
        return true;
    }
    state_ = State::Over;
    return false;
}

}  // namespace spokewheel::fronts::rsync
