// Drives both sides of a transfer without sockets: a scripted client; a store whose responses come late, out
// of order, refused or failed; output that blocks and drains; scarce memory; input split at any byte. A seed
// selects the order of events. A side that has not finished but waits for nothing, or a run that does not
// end, is a hang.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "fronts/rsync/receiving.hpp"
#include "fronts/rsync/sending.hpp"

namespace spokewheel::fronts::rsync {
namespace {

using namespace wire::rsync;
using Random = std::mt19937;

struct ModelStream : io::ByteStream {
    std::string queue;
    std::size_t highWaterMark = 3000;
    void write(std::string bytes) override { queue += bytes; }
    bool backlogged() const override { return queue.size() >= highWaterMark; }
    void pauseReading() override { paused = true; }
    void resumeReading() override { paused = false; }
    bool paused = false;
};

// Holds objects by name; requests stay pending until the model answers them.
struct ModelStore : Store {
    catalogue::Catalogue known;
    std::map<std::string, std::string> objects;
    std::map<std::string, std::function<void(bool fine)>> pending;
    std::uint64_t nextId = 0;
    bool refuseOnFailure = false;
    std::string enqueue(std::function<void(bool)> f) {
        const auto id = "r" + std::to_string(++nextId);
        pending[id] = std::move(f);
        return id;
    }
    std::string read(const config::VolumeSettings&, int, const std::string& object, std::uint64_t,
                     std::uint64_t, const std::string&, std::function<void(ReadResult)> done) override {
        return enqueue([this, object, done](bool fine) {
            ReadResult r;
            r.ok = fine && objects.count(object);
            if (r.ok) r.body = objects.at(object);
            else r.error = "failed by the model", r.refused = refuseOnFailure;
            done(std::move(r));
        });
    }
    std::string writePiece(const config::VolumeSettings&, const std::string&, const std::string& id,
                           std::shared_ptr<const std::string> body, std::uint64_t,
                           std::function<void(WriteResult)> done) override {
        return enqueue([this, id, body, done](bool fine) {
            WriteResult r;
            if ((r.ok = fine)) objects["p/" + id] = *body;
            r.shard = 0;
            done(std::move(r));
        });
    }
    std::string writeVersion(const config::VolumeSettings& volume, catalogue::FileVersion v,
                             std::shared_ptr<const std::string> body,
                             std::function<void(WriteResult)> done) override {
        v.id = catalogue::versionId(volume.name, v);
        v.shard = 0;
        return enqueue([this, v, body, done, name = volume.name](bool fine) {
            WriteResult r;
            r.shard = 0;
            if ((r.ok = fine)) objects["o/" + v.id] = *body, known.addVersion(name, v);
            done(std::move(r));
        });
    }
    void abandon(const std::string& id) override { pending.erase(id); }
    const catalogue::Catalogue& catalogue() const override { return known; }

    // Stores a file as an upload would.
    void store(const std::string& volume, const std::string& path, const std::string& text,
               std::size_t piece) {
        catalogue::FileVersion v;
        v.path = path;
        v.size = text.size();
        v.version = 1;
        v.mtime = 1000;
        v.digest = catalogue::xxh128Hex(text);
        v.shard = 0;
        std::string body = text;
        if (text.size() > piece) {
            std::vector<catalogue::Piece> pieces;
            for (std::size_t at = 0; at < text.size(); at += piece) {
                const auto part = text.substr(at, piece);
                const auto id = "p/" + catalogue::pieceId(volume, path, 1, at, v.digest);
                pieces.push_back({0, id, part.size(), catalogue::xxh128Hex(part)});
                objects[id] = part;
            }
            v.layout = catalogue::Layout::Manifest;
            body = catalogue::encode(pieces);
        }
        v.id = catalogue::versionId(volume, v);
        objects["o/" + v.id] = body;
        known.addVersion(volume, v);
    }
};

std::string randomBytes(Random& r, std::size_t n) {
    std::string s(n, '\0');
    for (auto& c : s) c = static_cast<char>(r());
    return s;
}

struct Model {
    explicit Model(unsigned seed) : random(seed), memory(0) {
        settings.pieceBytes = 1000;
        settings.piecesAhead = 1 + random() % 6;
        settings.filesAhead = 1 + random() % 5;
        settings.memoryBytes = 1000 * (1 + random() % 12);
        memory = host::MemoryBudget(settings.memoryBytes);
        volume.name = "maps";
        settings.volumes = {volume};
        stream->highWaterMark = 500 + random() % 20000;
        const auto callAfter = [this](double ms, std::function<void()> then) {
            auto held = std::make_shared<std::function<void()>>([this, ms, then] {
                clock += ms;
                then();
            });
            timers.push_back(held);
            return std::shared_ptr<void>(held);
        };
        const auto logEvent = [](const char*, const std::string&, const std::string&) {};
        context.reset(new Context{
            settings, memory, [] { return true; }, logEvent, {}, [this] { return clock; }, callAfter});
        context->listSlice = 1 + random() % 4;
        parameters.volume = &settings.volumes[0];
        parameters.store = &store;
        parameters.protocol = 31;
        parameters.compatFlags = kCompatSafeFileList | kCompatChecksumSeedFix | kCompatVarintFlags;
        parameters.checksumKind = SumKind::Xxh128;
        parameters.checksumSeed = 7;
        parameters.options.recurse = parameters.options.times = true;
        parameters.options.paths = {"maps/"};
        channel.startMultiplexIn();
        channel.startMultiplexOut();
        failurePercent = random() % 3 == 0 ? 20 : 0;
    }
    void send(std::string_view data) { putFrame(toServer, MessageTag::Data, data); }
    // Lets the client process the output received so far (`received`, `messages`).
    virtual void onOutput() = 0;
    virtual ~Model() = default;

    // Runs one event, selected at random; returns false if none is possible.
    bool runOneEvent() {
        std::vector<std::function<void()>> events;
        if (!toServer.empty() && !stream->paused)
            events.push_back([this] {
                const auto n = std::min<std::size_t>(toServer.size(), 1 + random() % 3000);
                const auto part = toServer.substr(0, n);
                toServer.erase(0, n);
                EXPECT_TRUE(channel.receive(part)) << channel.error();
            });
        if (!stream->queue.empty())
            events.push_back([this] {
                const auto n = std::min<std::size_t>(stream->queue.size(), 1 + random() % 5000);
                EXPECT_TRUE(demux.feed(stream->queue.substr(0, n), received, messages)) << demux.error();
                stream->queue.erase(0, n);
                onOutput();
            });
        if (!store.pending.empty())
            events.push_back([this] {
                auto it = store.pending.begin();
                std::advance(it, random() % store.pending.size());
                const auto answer = std::move(it->second);
                store.pending.erase(it);
                answer(random() % 100 >= failurePercent);
            });
        timers.erase(std::remove_if(timers.begin(), timers.end(), [](auto& t) { return t.expired(); }),
                     timers.end());
        if (!timers.empty())
            events.push_back([this] {
                const auto i = random() % timers.size();
                const auto t = timers[i].lock();
                timers.erase(timers.begin() + static_cast<long>(i));
                if (t) (*t)();
            });
        // A turn of the event loop that the side requested during advance(). Turns requested by a store
        // response do not count, since runToEnd() calls advance() after each event anyway.
        if (woken && side->waitReason() == WaitReason::Timer && timers.empty()) events.push_back([] {});
        if (events.empty()) return false;
        events[random() % events.size()]();
        return true;
    }
    // Runs until the side has finished. Like a session, it calls advance() only after an event.
    void runToEnd() {
        const auto advance = [this] {
            woken = false;
            return side->advance();
        };
        bool on = advance();
        for (int i = 0; on; ++i) {
            ASSERT_NE(side->waitReason(), WaitReason::None) << "stuck after " << i << " events";
            ASSERT_LT(i, 200000) << "does not end; waits for " << nameOf(side->waitReason());
            ASSERT_TRUE(runOneEvent()) << "no event is possible; waits for " << nameOf(side->waitReason());
            for (const auto& m : channel.takeMessages()) side->onMessage(m);
            on = advance();
        }
        EXPECT_EQ(side->error(), "");
        while (!stream->queue.empty()) runOneEvent();
    }

    Random random;
    config::DaemonSettings settings;
    config::VolumeSettings volume;
    host::MemoryBudget memory;
    ModelStore store;
    std::shared_ptr<ModelStream> stream = std::make_shared<ModelStream>();
    Channel channel{stream};
    std::vector<std::weak_ptr<std::function<void()>>> timers;
    std::unique_ptr<Context> context;
    TransferParameters parameters;
    std::shared_ptr<TransferSide> side;
    std::string toServer, received;
    Demux demux;
    std::vector<Demux::Message> messages;
    unsigned failurePercent = 0;
    bool woken = false;
    double clock = 0;
    IndexCoder in, out;
};

// A client that downloads and has older copies of some files: sends block checksums, receives tokens.
struct DownloadClient : Model {
    std::map<std::string, std::string> expectedFiles, clientFiles;
    std::vector<FileEntry> list;
    std::unique_ptr<ListReader> reader;
    std::unique_ptr<TokenReader> tokens;
    bool listReceived = false, inFile = false, expectsChecksum = false;
    int phaseEnds = 0;
    std::size_t complete = 0, refused = 0, corrupt = 0, currentIndex = 0;
    std::vector<std::int32_t> requestedFiles;
    std::string receivedContent;
    SumHead head;

    explicit DownloadClient(unsigned seed) : Model(seed) {
        parameters.options.sender = true;
        parameters.options.compress = random() % 2;
        if (random() % 4 == 0) parameters.options.bytesPerSecond = 20000;
        const auto files = 1 + random() % 8;
        for (std::size_t i = 0; i < files; ++i) {
            const auto name = "f" + std::to_string(i);
            auto text = randomBytes(random, random() % 30000);
            if (random() % 2) clientFiles[name] = text;
            if (random() % 2) text += "tail";
            if (random() % 2) text = "head" + text;
            expectedFiles[name] = text;
            store.store("maps", name, text, settings.pieceBytes);
        }
        wire::rsync::ListForm form;
        reader = std::make_unique<ListReader>(form);
        tokens = std::make_unique<TokenReader>(parameters.options.compress);
        side = std::make_shared<SendingSide>(*context, parameters, channel, [this] { woken = true; });
        std::string end;
        putU32(end, 0);
        send(end);
    }
    SumHead appendRequest(std::string& text, std::int32_t index) {
        out.put(text, index);
        putU16(text, 1 << 15);
        SumHead h;
        const auto found = clientFiles.find(list[static_cast<std::size_t>(index)].name);
        if (found == clientFiles.end() || found->second.empty()) return putSumHead(text, h), h;
        const auto& old = found->second;
        h.length = 700;
        h.count = static_cast<std::int32_t>((old.size() + 699) / 700);
        h.remainder = static_cast<std::int32_t>(old.size() % 700);
        h.sumBytes = 16;
        putSumHead(text, h);
        for (std::size_t i = 0; i < old.size(); i += 700) {
            const auto block = old.substr(i, 700);
            RollingSum r;
            r.start(block);
            putU32(text, r.value());
            text += blockSum(SumKind::Xxh128, md5, block, parameters.checksumSeed, true);
        }
        return h;
    }
    void onOutput() override {
        while (step()) {
        }
        for (const auto& m : std::exchange(messages, {}))
            if (m.tag == MessageTag::NoSend) ++refused;
    }
    bool step() {
        std::string_view view(received);
        const auto dropRead = [&] { received.erase(0, received.size() - view.size()); };
        if (!listReceived) {
            FileEntry e;
            const auto got = reader->next(view, e);
            if (got == ListReader::Result::NeedMore) return false;
            dropRead();
            if (got == ListReader::Result::Entry) return list.push_back(e), true;
            EXPECT_EQ(got, ListReader::Result::End) << reader->error();
            listReceived = true;
            sortList(list);
            std::string text;
            for (std::size_t i = 0; i < list.size(); ++i)
                if (list[i].isFile())
                    requestedFiles.push_back(static_cast<std::int32_t>(i)),
                        appendRequest(text, requestedFiles.back());
            for (int i = 0; i < 3; ++i) out.put(text, kIndexDone);
            send(text);
            return true;
        }
        if (inFile) return content(view);
        Reader r(view);
        auto coder = in;
        const auto index = coder.get(r);
        if (!r.complete()) return false;
        if (index == kIndexDone) {
            if (phaseEnds == 2) {  // statistics follow the end of the last phase
                for (int i = 0; i < 5; ++i) r.varlong(3);
                if (!r.complete()) return false;
                std::string text;
                out.put(text, kIndexDone);
                send(text);
            }
            if (phaseEnds == 3) {
                std::string text;
                out.put(text, kIndexDone);
                send(text);
            }
            ++phaseEnds;
        } else {
            r.u16();
            head = getSumHead(r);
            if (!r.complete()) return false;
            inFile = true;
            currentIndex = static_cast<std::size_t>(index);
            receivedContent.clear();
        }
        in = coder;
        view.remove_prefix(r.consumed());
        dropRead();
        return true;
    }
    bool content(std::string_view view) {
        const auto before = view.size();
        if (expectsChecksum) {
            if (view.size() < 16) return false;
            const bool fine = view.substr(0, 16) == checksumFromHex(catalogue::xxh128Hex(receivedContent));
            received.erase(0, 16);
            inFile = expectsChecksum = false;
            if (!fine) return ++corrupt, true;
            ++complete;
            EXPECT_EQ(receivedContent, expectedFiles[list[currentIndex].name]);
            return true;
        }
        const auto t = tokens->next(view);
        EXPECT_NE(t.kind, Token::Kind::Invalid) << tokens->error();
        if (t.kind == Token::Kind::Literal) receivedContent += t.literal;
        if (t.kind == Token::Kind::Block)
            receivedContent +=
                clientFiles[list[currentIndex].name].substr(static_cast<std::size_t>(t.block) * 700, 700);
        if (t.kind == Token::Kind::End) expectsChecksum = true;
        received.erase(0, before - view.size());
        return t.kind != Token::Kind::NeedMore && t.kind != Token::Kind::Invalid;
    }
};

TEST(SessionModel, EveryPullEndsWithEachFileWholeOrTold) {
    for (unsigned seed = 1; seed <= 400 && !::testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        DownloadClient p(seed);
        p.runToEnd();
        EXPECT_EQ(p.complete + p.refused + p.corrupt, p.expectedFiles.size())
            << p.complete << " complete, " << p.refused << " refused, " << p.corrupt << " corrupt, of "
            << p.list.size();
        if (p.failurePercent == 0) {
            EXPECT_EQ(p.complete, p.expectedFiles.size());
        }
        EXPECT_TRUE(p.store.pending.empty());
    }
}

// A client that uploads: sends a list, receives requests, sends content as a delta against the stored
// version, sometimes with a wrong checksum on the first attempt.
struct UploadClient : Model {
    std::map<std::string, std::string> expectedFiles;
    std::vector<FileEntry> list;
    TokenWriter writer;
    std::size_t reportedErrors = 0, countedErrors = 0;  // errors received by name; errors received as a count
    int phaseEnds = 0;
    bool corruptNextChecksum = false;

    explicit UploadClient(unsigned seed, std::size_t symlinks = 0) : Model(seed), writer(seed % 2 == 0) {
        parameters.options.compress = seed % 2 == 0;
        parameters.options.deleteExtraneous = random() % 2;
        parameters.options.delayUpdates = random() % 4 == 0;
        parameters.options.backup = random() % 4 == 0;
        if (parameters.options.backup) parameters.options.backupSuffix = "~";
        corruptNextChecksum = random() % 3 == 0;
        store.store("maps", "left-over", "x", settings.pieceBytes);
        FileEntry top;
        top.name = ".";
        top.mode = kDirectory | 0755;
        top.mtime = 5;
        list.push_back(top);
        for (std::size_t i = 0, n = 1 + random() % 8; i < n; ++i) {
            FileEntry e;
            e.name = "f" + std::to_string(i);
            auto text = randomBytes(random, random() % 60000);
            if (random() % 2) store.store("maps", e.name, text, settings.pieceBytes);
            if (random() % 2) text += "tail";
            if (random() % 2) text = "head" + text;
            expectedFiles[e.name] = text;
            e.size = text.size();
            e.mode = kRegular | 0644;
            e.mtime = 2000;
            list.push_back(e);
        }
        for (std::size_t i = 0; i < symlinks; ++i) {
            FileEntry e;
            e.name = "link" + std::to_string(i);
            e.mode = kSymlink | 0777;
            list.push_back(e);
        }
        sortList(list);
        wire::rsync::ListForm form;
        ListWriter w(form);
        std::string text;
        if (parameters.options.deleteExtraneous) putU32(text, 0);
        for (const auto& e : list) w.put(text, e);
        w.end(text, 0);
        send(text);
        side = std::make_shared<ReceivingSide>(*context, parameters, channel, [this] { woken = true; });
    }
    void onOutput() override {
        while (step()) {
        }
        for (const auto& m : std::exchange(messages, {}))
            if (m.tag == MessageTag::ErrorXfer) {
                ++reportedErrors;
                const auto more = m.payload.find(" more files were not stored");
                if (more == m.payload.npos) continue;
                --reportedErrors;
                countedErrors += std::stoul(m.payload.substr(m.payload.find(": ") + 2, more));
            }
    }
    bool step() {
        Reader r(received);
        auto coder = in;
        const auto i = coder.get(r);
        if (!r.complete()) return false;
        std::string text;
        if (i == kIndexDeleteStats) {
            for (int k = 0; k < 5; ++k) r.varint();
            if (!r.complete()) return false;
        } else if (i == kIndexDone) {
            if (++phaseEnds <= 4) out.put(text, kIndexDone);
        } else {
            const auto flags = r.u16();
            if (flags & (1 << 15)) {
                BlockSums b;
                b.head = getSumHead(r);
                for (int k = 0; k < b.head.count && r.complete(); ++k) {
                    b.rolling.push_back(r.u32());
                    b.strong += r.bytes(static_cast<std::size_t>(b.head.sumBytes));
                }
                if (!r.complete()) return false;
                const auto& whole = expectedFiles.at(list[static_cast<std::size_t>(i)].name);
                out.put(text, i);
                putU16(text, flags);
                putSumHead(text, b.head);
                BlockMatcher m(std::move(b), SumKind::Xxh128, md5, parameters.checksumSeed, true);
                m.feed(whole, writer, text);
                m.finish(writer, text);
                writer.end(text);
                auto sum = checksumFromHex(catalogue::xxh128Hex(whole));
                if (std::exchange(corruptNextChecksum, false)) sum[3] = static_cast<char>(~sum[3]);
                text += sum;
            } else if (!r.complete()) return false;
        }
        in = coder;
        received.erase(0, r.consumed());
        if (!text.empty()) send(text);
        return true;
    }
};

TEST(SessionModel, EveryPushEndsWithEachFileShownWholeOrTold) {
    for (unsigned seed = 1; seed <= 400 && !::testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        UploadClient p(seed);
        p.runToEnd();
        EXPECT_EQ(p.phaseEnds, 5);
        for (const auto& [name, text] : p.expectedFiles) {
            const auto v = p.store.known.find("maps", name);
            const bool shown = v && v->digest == catalogue::xxh128Hex(text);
            EXPECT_TRUE(shown || p.reportedErrors > 0) << name;
            if (p.failurePercent == 0) {
                EXPECT_TRUE(shown) << name;
            }
        }
        if (p.failurePercent == 0) {
            EXPECT_EQ(p.store.known.find("maps", "left-over") == nullptr,
                      p.parameters.options.deleteExtraneous);
        }
        EXPECT_TRUE(p.store.pending.empty());
    }
}

// Guards against unbounded output: a client sends thousands of entries that cannot be stored and reads
// nothing until its list is complete. Each error must reach it, by name or in a count, while the queue stays
// bounded.
TEST(SessionModel, FaultsToAClientThatReadsNothingAreCountedNotQueued) {
    constexpr std::size_t kSymlinks = 5000;
    for (unsigned seed = 1; seed <= 6; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        UploadClient p(seed, kSymlinks);
        p.failurePercent = 0;
        p.context->listSlice = 100;
        EXPECT_TRUE(p.channel.receive(std::exchange(p.toServer, "")));
        // The list is read, sorted and planned, one slice per turn.
        std::size_t turns = 0;
        do {
            ASSERT_LT(++turns, 1000u);
            p.woken = false;
            ASSERT_TRUE(p.side->advance());
        } while (p.woken);
        EXPECT_GT(turns, kSymlinks / 100);
        EXPECT_LT(p.stream->queue.size(), p.stream->highWaterMark + 20000);
        p.runToEnd();
        EXPECT_GT(p.reportedErrors, 0u);
        EXPECT_GT(p.countedErrors, 0u);
        EXPECT_EQ(p.reportedErrors + p.countedErrors, kSymlinks);
    }
}

// A refusal at a volume's limit is not passed to the caller: the request is repeated until it is served.
TEST(Patience, ARefusedRequestOfALimitedVolumeIsMadeAnewUntilItIsServed) {
    ModelStore inner;
    inner.objects["o/x"] = "content";
    inner.refuseOnFailure = true;
    config::DaemonSettings settings;
    settings.module.plans = {Plan()};
    settings.module.plans[0].name = "limited";
    settings.module.plans[0].limit = 100;
    config::VolumeSettings volume;
    volume.name = "maps", volume.plan = "limited";
    double clock = 0;
    std::weak_ptr<std::function<void()>> timer;
    RequestPacer patience(
        inner, settings, [&] { return clock; },
        [&](double ms, std::function<void()> then) {
            auto held = std::make_shared<std::function<void()>>([&clock, ms, then] { clock += ms, then(); });
            timer = held;
            return std::shared_ptr<void>(held);
        });
    const auto store = patience.openStore({60000, 0});
    int responses = 0;
    bool fine = false;
    store->read(volume, 0, "o/x", 7, 7, "", [&](ReadResult r) { ++responses, fine = r.ok; });
    for (int i = 0; i < 4; ++i) {
        ASSERT_EQ(inner.pending.size(), 1u) << "round " << i;
        const auto answer = std::move(inner.pending.begin()->second);
        inner.pending.clear();
        answer(i == 3);
        EXPECT_EQ(responses, i == 3);
        if (const auto a = timer.lock()) (*a)();
    }
    EXPECT_TRUE(fine);
    EXPECT_EQ(patience.counters().retried, 3u);
    // A request that has expired by its turn is not sent; its caller gets a refusal.
    settings.module.maxUnits = 1;
    std::vector<bool> refused;
    const auto request = [&] {
        store->read(volume, 0, "o/x", 7, 7, "", [&](ReadResult r) { refused.push_back(r.refused); });
    };
    inner.refuseOnFailure = false;
    std::size_t sent = 0;
    while (request(), inner.pending.size() > sent) ASSERT_LT(++sent, 1000u);
    ASSERT_GT(sent, 0u);
    clock += 61000;
    const auto answer = std::move(inner.pending.begin()->second);
    inner.pending.erase(inner.pending.begin());
    answer(true);
    store->read(volume, 0, "o/x", 7, 7, "", [](ReadResult) {});  // makes the queue advance
    EXPECT_EQ(inner.pending.size(), sent - 1);
    if (const auto a = timer.lock()) (*a)();
    EXPECT_EQ(refused, (std::vector<bool>{false, true}));
}

}  // namespace
}  // namespace spokewheel::fronts::rsync
