// Both halves of a session driven without sockets: one scripted client, one store whose answers come late,
// out of order, refused or failed, output that blocks and frees, memory that is short, input split anywhere.
// Every order of these is drawn by a seed. A half that is not over and waits for nothing, or a run that does
// not end, is a hang.
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

struct ModelPipe : io::ByteStream {
    std::string queue;
    std::size_t mark = 3000;
    void write(std::string bytes) override { queue += bytes; }
    bool backlogged() const override { return queue.size() >= mark; }
    void pauseReading() override { paused = true; }
    void resumeReading() override { paused = false; }
    bool paused = false;
};

// Objects by name; answers wait until the model gives them.
struct ModelStore : Store {
    catalogue::Catalogue known;
    std::map<std::string, std::string> objects;
    std::map<std::string, std::function<void(bool fine)>> open;
    std::uint64_t next = 0;
    bool refuses = false;
    std::string add(std::function<void(bool)> f) {
        const auto id = "r" + std::to_string(++next);
        open[id] = std::move(f);
        return id;
    }
    std::string read(const config::VolumeSettings&, int, const std::string& object, std::uint64_t,
                     std::uint64_t, const std::string&, std::function<void(ReadResult)> done) override {
        return add([this, object, done](bool fine) {
            ReadResult r;
            r.ok = fine && objects.count(object);
            if (r.ok) r.body = objects.at(object);
            else r.error = "failed by the model", r.refused = refuses;
            done(std::move(r));
        });
    }
    std::string writePiece(const config::VolumeSettings&, const std::string&, const std::string& id,
                           std::shared_ptr<const std::string> body, std::uint64_t,
                           std::function<void(WriteResult)> done) override {
        return add([this, id, body, done](bool fine) {
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
        return add([this, v, body, done, name = volume.name](bool fine) {
            WriteResult r;
            r.shard = 0;
            if ((r.ok = fine)) objects["o/" + v.id] = *body, known.addVersion(name, v);
            done(std::move(r));
        });
    }
    void abandon(const std::string& id) override { open.erase(id); }
    const catalogue::Catalogue& catalogue() const override { return known; }

    // A file as an upload would have left it.
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

std::string noise(Random& r, std::size_t n) {
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
        pipe->mark = 500 + random() % 20000;
        const auto after = [this](double ms, std::function<void()> then) {
            auto held = std::make_shared<std::function<void()>>([this, ms, then] {
                clock += ms;
                then();
            });
            timers.push_back(held);
            return std::shared_ptr<void>(held);
        };
        const auto note = [](const char*, const std::string&, const std::string&) {};
        context.reset(
            new Context{settings, memory, [] { return true; }, note, {}, [this] { return clock; }, after});
        context->listSlice = 1 + random() % 4;
        agreed.volume = &settings.volumes[0];
        agreed.store = &store;
        agreed.protocol = 31;
        agreed.flags = kSafeList | kSeedFix | kVarintFlags;
        agreed.sums = SumKind::Xxh128;
        agreed.seed = 7;
        agreed.options.recurse = agreed.options.times = true;
        agreed.options.paths = {"maps/"};
        channel.startMultiplexIn();
        channel.startMultiplexOut();
        failShare = random() % 3 == 0 ? 20 : 0;
    }
    void say(std::string_view data) { putFrame(toServer, Message::Data, data); }
    // The client has everything so far: what the server wrote, taken apart.
    virtual void hear() = 0;
    virtual ~Model() = default;

    // One happening, drawn; false where none is left to happen.
    bool happen() {
        std::vector<std::function<void()>> can;
        if (!toServer.empty() && !pipe->paused)
            can.push_back([this] {
                const auto n = std::min<std::size_t>(toServer.size(), 1 + random() % 3000);
                const auto part = toServer.substr(0, n);
                toServer.erase(0, n);
                EXPECT_TRUE(channel.receive(part)) << channel.error();
            });
        if (!pipe->queue.empty())
            can.push_back([this] {
                const auto n = std::min<std::size_t>(pipe->queue.size(), 1 + random() % 5000);
                EXPECT_TRUE(demux.feed(pipe->queue.substr(0, n), heard, beside)) << demux.error();
                pipe->queue.erase(0, n);
                hear();
            });
        if (!store.open.empty())
            can.push_back([this] {
                auto it = store.open.begin();
                std::advance(it, random() % store.open.size());
                const auto answer = std::move(it->second);
                store.open.erase(it);
                answer(random() % 100 >= failShare);
            });
        timers.erase(std::remove_if(timers.begin(), timers.end(), [](auto& t) { return t.expired(); }),
                     timers.end());
        if (!timers.empty())
            can.push_back([this] {
                const auto i = random() % timers.size();
                const auto t = timers[i].lock();
                timers.erase(timers.begin() + static_cast<long>(i));
                if (t) (*t)();
            });
        // A turn of its own that it asked for while it was called; one asked for by an answer counts for
        // nothing here, since that calls it anyway.
        if (woken && half->waits() == Waits::Timer && timers.empty()) can.push_back([] {});
        if (can.empty()) return false;
        can[random() % can.size()]();
        return true;
    }
    // Until the half is over. A half is called again only as a session would: after what happened.
    void play() {
        const auto advance = [this] {
            woken = false;
            return half->advance();
        };
        bool on = advance();
        for (int i = 0; on; ++i) {
            ASSERT_NE(half->waits(), Waits::Nothing) << "stuck after " << i << " happenings";
            ASSERT_LT(i, 200000) << "does not end; waits for " << nameOf(half->waits());
            ASSERT_TRUE(happen()) << "nothing can happen; waits for " << nameOf(half->waits());
            for (const auto& m : channel.takeBeside()) half->beside(m);
            on = advance();
        }
        EXPECT_EQ(half->fault(), "");
        while (!pipe->queue.empty()) happen();
    }

    Random random;
    config::DaemonSettings settings;
    config::VolumeSettings volume;
    host::MemoryBudget memory;
    ModelStore store;
    std::shared_ptr<ModelPipe> pipe = std::make_shared<ModelPipe>();
    Channel channel{pipe};
    std::vector<std::weak_ptr<std::function<void()>>> timers;
    std::unique_ptr<Context> context;
    Agreed agreed;
    std::shared_ptr<Half> half;
    std::string toServer, heard;
    Demux demux;
    std::vector<Demux::Beside> beside;
    unsigned failShare = 0;
    bool woken = false;
    double clock = 0;
    IndexCoder in, out;
};

// A client that pulls, with an older copy of some files: block sums go up, tokens come down.
struct Puller : Model {
    std::map<std::string, std::string> truth, mine;
    std::vector<FileEntry> list;
    std::unique_ptr<ListReader> reader;
    std::unique_ptr<TokenReader> tokens;
    bool listed = false, inFile = false, wantsSum = false;
    int dones = 0;
    std::size_t got = 0, refused = 0, wrong = 0, at = 0;
    std::vector<std::int32_t> wanted;
    std::string built;
    SumHead head;

    explicit Puller(unsigned seed) : Model(seed) {
        agreed.options.sender = true;
        agreed.options.compress = random() % 2;
        if (random() % 4 == 0) agreed.options.bytesPerS = 20000;
        const auto files = 1 + random() % 8;
        for (std::size_t i = 0; i < files; ++i) {
            const auto name = "f" + std::to_string(i);
            auto text = noise(random, random() % 30000);
            if (random() % 2) mine[name] = text;
            if (random() % 2) text += "tail";
            if (random() % 2) text = "head" + text;
            truth[name] = text;
            store.store("maps", name, text, settings.pieceBytes);
        }
        wire::rsync::ListForm form;
        reader = std::make_unique<ListReader>(form);
        tokens = std::make_unique<TokenReader>(agreed.options.compress);
        half = std::make_shared<Sending>(*context, agreed, channel, [this] { woken = true; });
        std::string end;
        putU32(end, 0);
        say(end);
    }
    SumHead ask(std::string& text, std::int32_t index) {
        out.put(text, index);
        putU16(text, 1 << 15);
        SumHead h;
        const auto found = mine.find(list[static_cast<std::size_t>(index)].name);
        if (found == mine.end() || found->second.empty()) return putSumHead(text, h), h;
        const auto& old = found->second;
        h.length = 700;
        h.count = static_cast<std::int32_t>((old.size() + 699) / 700);
        h.remainder = static_cast<std::int32_t>(old.size() % 700);
        h.sumBytes = 16;
        putSumHead(text, h);
        for (std::size_t i = 0; i < old.size(); i += 700) {
            const auto block = old.substr(i, 700);
            Rolling r;
            r.start(block);
            putU32(text, r.value());
            text += blockSum(SumKind::Xxh128, md5, block, agreed.seed, true);
        }
        return h;
    }
    void hear() override {
        while (step()) {
        }
        for (const auto& m : std::exchange(beside, {}))
            if (m.kind == Message::NoSend) ++refused;
    }
    bool step() {
        std::string_view view(heard);
        const auto took = [&] { heard.erase(0, heard.size() - view.size()); };
        if (!listed) {
            FileEntry e;
            const auto got = reader->next(view, e);
            if (got == ListReader::Got::More) return false;
            took();
            if (got == ListReader::Got::Entry) return list.push_back(e), true;
            EXPECT_EQ(got, ListReader::Got::End) << reader->error();
            listed = true;
            sortList(list);
            std::string text;
            for (std::size_t i = 0; i < list.size(); ++i)
                if (list[i].isFile())
                    wanted.push_back(static_cast<std::int32_t>(i)), ask(text, wanted.back());
            for (int i = 0; i < 3; ++i) out.put(text, kDone);
            say(text);
            return true;
        }
        if (inFile) return content(view);
        Reader r(view);
        auto coder = in;
        const auto index = coder.get(r);
        if (!r.enough()) return false;
        if (index == kDone) {
            if (dones == 2) {  // statistics follow the last round's end
                for (int i = 0; i < 5; ++i) r.varlong(3);
                if (!r.enough()) return false;
                std::string text;
                out.put(text, kDone);
                say(text);
            }
            if (dones == 3) {
                std::string text;
                out.put(text, kDone);
                say(text);
            }
            ++dones;
        } else {
            r.u16();
            head = getSumHead(r);
            if (!r.enough()) return false;
            inFile = true;
            at = static_cast<std::size_t>(index);
            built.clear();
        }
        in = coder;
        view.remove_prefix(r.used());
        took();
        return true;
    }
    bool content(std::string_view view) {
        const auto before = view.size();
        if (wantsSum) {
            if (view.size() < 16) return false;
            const bool fine = view.substr(0, 16) == sumOf(catalogue::xxh128Hex(built));
            heard.erase(0, 16);
            inFile = wantsSum = false;
            if (!fine) return ++wrong, true;
            ++got;
            EXPECT_EQ(built, truth[list[at].name]);
            return true;
        }
        const auto t = tokens->next(view);
        EXPECT_NE(t.kind, Token::Kind::Bad) << tokens->error();
        if (t.kind == Token::Kind::Literal) built += t.literal;
        if (t.kind == Token::Kind::Block)
            built += mine[list[at].name].substr(static_cast<std::size_t>(t.block) * 700, 700);
        if (t.kind == Token::Kind::End) wantsSum = true;
        heard.erase(0, before - view.size());
        return t.kind != Token::Kind::More && t.kind != Token::Kind::Bad;
    }
};

TEST(SessionModel, EveryPullEndsWithEachFileWholeOrTold) {
    for (unsigned seed = 1; seed <= 400 && !::testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Puller p(seed);
        p.play();
        EXPECT_EQ(p.got + p.refused + p.wrong, p.truth.size())
            << p.got << " whole, " << p.refused << " told, " << p.wrong << " broken off, of "
            << p.list.size();
        if (p.failShare == 0) {
            EXPECT_EQ(p.got, p.truth.size());
        }
        EXPECT_TRUE(p.store.open.empty());
    }
}

// A client that pushes: a list up, requests down, content up as a delta against what the gateway holds; now
// and then with a checksum that is wrong the first time.
struct Pusher : Model {
    std::map<std::string, std::string> truth;
    std::vector<FileEntry> list;
    TokenWriter writer;
    std::size_t told = 0, untold = 0;  // by name, and as a number
    int dones = 0;
    bool spoil = false;

    explicit Pusher(unsigned seed, std::size_t symlinks = 0) : Model(seed), writer(seed % 2 == 0) {
        agreed.options.compress = seed % 2 == 0;
        agreed.options.remove = random() % 2;
        agreed.options.delayUpdates = random() % 4 == 0;
        agreed.options.backup = random() % 4 == 0;
        if (agreed.options.backup) agreed.options.backupSuffix = "~";
        spoil = random() % 3 == 0;
        store.store("maps", "left-over", "x", settings.pieceBytes);
        FileEntry top;
        top.name = ".";
        top.mode = kDirectory | 0755;
        top.mtime = 5;
        list.push_back(top);
        for (std::size_t i = 0, n = 1 + random() % 8; i < n; ++i) {
            FileEntry e;
            e.name = "f" + std::to_string(i);
            auto text = noise(random, random() % 60000);
            if (random() % 2) store.store("maps", e.name, text, settings.pieceBytes);
            if (random() % 2) text += "tail";
            if (random() % 2) text = "head" + text;
            truth[e.name] = text;
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
        if (agreed.options.remove) putU32(text, 0);
        for (const auto& e : list) w.put(text, e);
        w.end(text, 0);
        say(text);
        half = std::make_shared<Receiving>(*context, agreed, channel, [this] { woken = true; });
    }
    void hear() override {
        while (step()) {
        }
        for (const auto& m : std::exchange(beside, {}))
            if (m.kind == Message::ErrorXfer) {
                ++told;
                const auto more = m.payload.find(" more files were not stored");
                if (more == m.payload.npos) continue;
                --told;
                untold += std::stoul(m.payload.substr(m.payload.find(": ") + 2, more));
            }
    }
    bool step() {
        Reader r(heard);
        auto coder = in;
        const auto i = coder.get(r);
        if (!r.enough()) return false;
        std::string text;
        if (i == kDeleteStats) {
            for (int k = 0; k < 5; ++k) r.varint();
            if (!r.enough()) return false;
        } else if (i == kDone) {
            if (++dones <= 4) out.put(text, kDone);
        } else {
            const auto flags = r.u16();
            if (flags & (1 << 15)) {
                BlockSums b;
                b.head = getSumHead(r);
                for (int k = 0; k < b.head.count && r.enough(); ++k) {
                    b.rolling.push_back(r.u32());
                    b.strong += r.bytes(static_cast<std::size_t>(b.head.sumBytes));
                }
                if (!r.enough()) return false;
                const auto& whole = truth.at(list[static_cast<std::size_t>(i)].name);
                out.put(text, i);
                putU16(text, flags);
                putSumHead(text, b.head);
                Matcher m(std::move(b), SumKind::Xxh128, md5, agreed.seed, true);
                m.feed(whole, writer, text);
                m.finish(writer, text);
                writer.end(text);
                auto sum = sumOf(catalogue::xxh128Hex(whole));
                if (std::exchange(spoil, false)) sum[3] = static_cast<char>(~sum[3]);
                text += sum;
            } else if (!r.enough()) return false;
        }
        in = coder;
        heard.erase(0, r.used());
        if (!text.empty()) say(text);
        return true;
    }
};

TEST(SessionModel, EveryPushEndsWithEachFileShownWholeOrTold) {
    for (unsigned seed = 1; seed <= 400 && !::testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Pusher p(seed);
        p.play();
        EXPECT_EQ(p.dones, 5);
        for (const auto& [name, text] : p.truth) {
            const auto v = p.store.known.find("maps", name);
            const bool shown = v && v->digest == catalogue::xxh128Hex(text);
            EXPECT_TRUE(shown || p.told > 0) << name;
            if (p.failShare == 0) {
                EXPECT_TRUE(shown) << name;
            }
        }
        if (p.failShare == 0) {
            EXPECT_EQ(p.store.known.find("maps", "left-over") == nullptr, p.agreed.options.remove);
        }
        EXPECT_TRUE(p.store.open.empty());
    }
}

// Thousands of entries that can't be stored, from a client that reads nothing until it has sent its list:
// what waits for it stays bounded, and it is told of each, by name or in a number.
TEST(SessionModel, FaultsToAClientThatReadsNothingAreCountedNotQueued) {
    constexpr std::size_t kLinks = 5000;
    for (unsigned seed = 1; seed <= 6; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Pusher p(seed, kLinks);
        p.failShare = 0;
        p.context->listSlice = 100;
        EXPECT_TRUE(p.channel.receive(std::exchange(p.toServer, "")));
        // Its list is read, sorted and planned, a slice a turn.
        std::size_t turns = 0;
        do {
            ASSERT_LT(++turns, 1000u);
            p.woken = false;
            ASSERT_TRUE(p.half->advance());
        } while (p.woken);
        EXPECT_GT(turns, kLinks / 100);
        EXPECT_LT(p.pipe->queue.size(), p.pipe->mark + 20000);
        p.play();
        EXPECT_GT(p.told, 0u);
        EXPECT_GT(p.untold, 0u);
        EXPECT_EQ(p.told + p.untold, kLinks);
    }
}

// At a volume's limit a refusal is not the caller's to hear: the request is made anew until it is served.
TEST(Patience, ARefusedRequestOfALimitedVolumeIsMadeAnewUntilItIsServed) {
    ModelStore inner;
    inner.objects["o/x"] = "content";
    inner.refuses = true;
    config::DaemonSettings settings;
    settings.module.plans = {Plan()};
    settings.module.plans[0].name = "limited";
    settings.module.plans[0].limit = 100;
    config::VolumeSettings volume;
    volume.name = "maps", volume.plan = "limited";
    double clock = 0;
    std::weak_ptr<std::function<void()>> alarm;
    RequestPacer patience(
        inner, settings, [&] { return clock; },
        [&](double ms, std::function<void()> then) {
            auto held = std::make_shared<std::function<void()>>([&clock, ms, then] { clock += ms, then(); });
            alarm = held;
            return std::shared_ptr<void>(held);
        });
    const auto store = patience.openStore({60000, 0});
    int told = 0;
    bool fine = false;
    store->read(volume, 0, "o/x", 7, 7, "", [&](ReadResult r) { ++told, fine = r.ok; });
    for (int i = 0; i < 4; ++i) {
        ASSERT_EQ(inner.open.size(), 1u) << "round " << i;
        const auto answer = std::move(inner.open.begin()->second);
        inner.open.clear();
        answer(i == 3);
        EXPECT_EQ(told, i == 3);
        if (const auto a = alarm.lock()) (*a)();
    }
    EXPECT_TRUE(fine);
    EXPECT_EQ(patience.counters().retried, 3u);
    // One whose time is over when its turn comes does not go out: its caller has been told, or is now.
    settings.module.maxUnits = 1;
    std::vector<bool> refused;
    const auto ask = [&] {
        store->read(volume, 0, "o/x", 7, 7, "", [&](ReadResult r) { refused.push_back(r.refused); });
    };
    inner.refuses = false;
    std::size_t out = 0;
    while (ask(), inner.open.size() > out) ASSERT_LT(++out, 1000u);
    ASSERT_GT(out, 0u);
    clock += 61000;
    const auto answer = std::move(inner.open.begin()->second);
    inner.open.erase(inner.open.begin());
    answer(true);
    store->read(volume, 0, "o/x", 7, 7, "", [](ReadResult) {});  // pumps
    EXPECT_EQ(inner.open.size(), out - 1);
    if (const auto a = alarm.lock()) (*a)();
    EXPECT_EQ(refused, (std::vector<bool>{false, true}));
}

}  // namespace
}  // namespace spokewheel::fronts::rsync
