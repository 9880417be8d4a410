// Unit tests of the components that decide or keep state, without sockets.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <random>

#include "catalogue/catalogue.hpp"
#include "catalogue/decide_winner.hpp"
#include "config/settings.hpp"
#include "fronts/decide_admission.hpp"
#include "fronts/decide_pace.hpp"
#include "fronts/rsync/decide_deletions.hpp"
#include "fronts/rsync/listing.hpp"
#include "host/decide_request.hpp"
#include "host/memory_budget.hpp"
#include "host/reminders.hpp"
#include "kit/process.hpp"
#include "registry/node_list_poller.hpp"
#include "wire/peer/datagram.hpp"

namespace spokewheel {
namespace {

TEST(Reminders, ALaterOneOutlivesAnEarlier) {
    host::Reminders r;
    r.add(10);
    r.add(20);
    EXPECT_FALSE(r.removeDue(9));
    EXPECT_TRUE(r.removeDue(10.4));
    ASSERT_FALSE(r.empty());
    EXPECT_EQ(r.earliest(), 20);
}

TEST(RegistryPoll, LossesAreTakenWholeAndFailuresWaitEverLonger) {
    registry::PollState p(5);
    EXPECT_TRUE(p.onAnswer(7));
    EXPECT_FALSE(p.onAnswer(8));
    EXPECT_TRUE(p.onAnswer(3));  // the registry lost its state
    EXPECT_EQ(p.index(), 0u);
    EXPECT_EQ(p.nextDelayMs(false), 0);
    double before = 0;
    for (int i = 0; i < 5; ++i) {
        const double wait = p.nextDelayMs(true), full = registry::PollState::kFirstRetryMs * (1 << i);
        EXPECT_GE(wait, std::min(registry::PollState::kMaxRetryMs, full) / 2);
        EXPECT_LE(wait, std::min(registry::PollState::kMaxRetryMs, full));
        before = wait;
    }
    EXPECT_GT(before, 1000);
    EXPECT_TRUE(p.onAnswer(9));  // changes may have been missed meanwhile
    registry::PollState q(6);
    EXPECT_NE(registry::PollState(5).nextDelayMs(true), q.nextDelayMs(true));
}

TEST(RegistryList, ChangesNameWhatIsGone) {
    NodeEntry a, b, c;
    a.node = "a", b.node = "b", c.node = "c";
    auto drained = b;
    drained.lifecycle = Lifecycle::Draining;
    const auto found = registry::diffNodeLists({a, b}, {drained, c});
    ASSERT_EQ(found.size(), 3u);
    EXPECT_EQ(found[0].lifecycle, Lifecycle::Draining);
    EXPECT_EQ(found[1].node, "c");
    EXPECT_EQ(found[2].node, "a");
    EXPECT_EQ(found[2].lifecycle, Lifecycle::Gone);
    EXPECT_TRUE(registry::diffNodeLists({a, b}, {b, a}).empty());
}

// The window is a host's part of the limit; a refusal halves it.
TEST(Pace, StartsAtThePartOfTheLimitAndHalvesOncePerSign) {
    fronts::VolumeWindow p({400, 2, 8, 500, 4000});
    EXPECT_EQ(p.window(), 100.0);  // 400 a second over two hosts, within an aim of half a second
    for (int i = 0; i < 12; ++i) {
        EXPECT_TRUE(p.maySend(8, 0));
        p.onSent(8);
    }
    EXPECT_FALSE(p.maySend(8, 0));
    EXPECT_TRUE(p.onRefused(8, -1, 0, 10, 0, 10));
    EXPECT_EQ(p.window(), 48.0);
    EXPECT_TRUE(p.onRefused(8, -1, 0, 10, 0, 11));  // refusals of requests sent together count once
    EXPECT_EQ(p.window(), 48.0);
    for (int i = 0; i < 10; ++i) p.onEnded(8);
    EXPECT_FALSE(p.maySend(8, 12));  // pauses after a refusal
    EXPECT_GT(p.resumeAtMs(), 12);
    EXPECT_TRUE(p.maySend(8, p.resumeAtMs()));
}

TEST(Pace, WithoutALimitNothingIsHeldBackUntilARefusalAndAfterALongCalm) {
    fronts::VolumeWindow p({0, 1, 8, 500, 1000});
    for (int i = 0; i < 1000; ++i) p.onSent(8);
    EXPECT_TRUE(p.maySend(8, 0));
    EXPECT_FALSE(
        p.onRefused(8, -1, 0, 2, 0, 2));  // nothing was served, so waiting does not help and the window stays
    EXPECT_TRUE(p.maySend(8, 2));
    p.onServed(8, 0, 3);
    EXPECT_FALSE(
        p.onRefused(8, 1, 0, 4, 0, 4));  // the shard of this request serves nothing, though another does
    EXPECT_TRUE(p.onRefused(8, 0, 0, 4, 0, 4));
    EXPECT_FALSE(p.maySend(8, 5000));
    p.onServed(8, 0, 20000);
    EXPECT_TRUE(p.maySend(8, 20000));
}

TEST(Pace, GivesUpWhereTheShardServesNothing) {
    fronts::VolumeWindow p({100, 1, 8, 500, 1000});
    p.onSent(1);
    EXPECT_TRUE(p.onRefused(1, 3, 0, 0, 0, 1500));
    p.onSent(1);
    p.onServed(1, 4, 2500);  // what another shard serves does not count for this one
    p.onSent(1);
    EXPECT_FALSE(p.onRefused(1, 3, 2500, 0, 0, 2600));
    p.onSent(1);
    EXPECT_TRUE(p.onRefused(1, -1, 2500, 0, 0, 2600));  // a new object may be stored on any shard
}

TEST(FairLine, SessionsTakeTurnsByUnitsAndALateOneGetsNoArrears) {
    fronts::FairQueue line;
    for (std::uint64_t i = 0; i < 4; ++i) line.add(1, 10 + i);
    line.pop(8);
    line.pop(8);
    line.add(2, 20);
    line.add(2, 21);
    EXPECT_EQ(line.front(), 12u);  // equal shares: the earlier session is first
    line.pop(8);
    EXPECT_EQ(line.front(), 20u);
    line.pop(8);
    EXPECT_EQ(line.front(), 13u);
    line.remove(1, 13);
    EXPECT_EQ(line.front(), 21u);
    line.removeSession(2);
    EXPECT_TRUE(line.empty());
}

// A directory that keeps an entry is not deleted. Counting it against --max-delete would end the client with
// exit code 25.
TEST(Deletions, DirectoriesGoLastAndOnlyWhereNothingIsLeftInThem) {
    using fronts::rsync::ExistingEntry;
    const std::vector<ExistingEntry> lying = {{"a", true},      {"a/keep", false}, {"a/x", false},
                                              {"b", true},      {"b/y", false},    {"c", true},
                                              {"named", false}, {"out/z", false}};
    const auto mayGo = [](const ExistingEntry& one) { return one.path != "a/keep"; };
    const auto none = [](const ExistingEntry&) { return false; };
    const auto names = [&](const fronts::rsync::DeletionPlan& d) {
        std::string out;
        for (const auto i : d.toDelete) out += lying[i].path + " ";
        return out;
    };
    const auto all = fronts::rsync::selectDeletions(lying, {"named"}, {""}, mayGo, none, {});
    EXPECT_EQ(names(all), "c b/y b a/x ");
    const auto some = fronts::rsync::selectDeletions(lying, {"named"}, {""}, mayGo, none, 3);
    EXPECT_EQ(names(some), "c b/y b ");
    EXPECT_EQ(some.skipped, 1u);
    const auto kept = fronts::rsync::selectDeletions(
        lying, {"named"}, {""}, mayGo, [](const ExistingEntry& one) { return one.path == "b/y"; }, {});
    EXPECT_EQ(names(kept), "c b/y a/x ");
}

TEST(Places, TheOldestOfTheAddressThatCrowdsTheHallGivesWay) {
    fronts::ConnectionAdmission p({3, 2, 1});
    EXPECT_FALSE(p.addPending(1, "a"));
    EXPECT_FALSE(p.addPending(2, "b"));
    EXPECT_FALSE(p.addPending(3, "b"));
    p.onProgress(2);
    EXPECT_EQ(p.addPending(4, "c"), 3u);  // of "b", the connection that has been idle longest
    p.remove(3);
    EXPECT_EQ(p.pending(), 3u);
    EXPECT_EQ(p.admit(1, "maps", 1), "");
    EXPECT_EQ(p.admit(1, "maps", 1), "");  // repeating has no effect
    EXPECT_EQ(p.admitted(), 1u);
    EXPECT_NE(p.refusalReason(2, "maps", 1).find("module maps"), std::string::npos);
    EXPECT_EQ(p.refusalReason(2, "other", 1), "");
    EXPECT_FALSE(p.addPending(5, "a"));
    EXPECT_NE(p.admit(5, "other", 0).find("your address"), std::string::npos);
    EXPECT_EQ(p.admit(2, "other", 0), "");
    EXPECT_EQ(p.admit(4, "other", 0), "max connections (2) reached");
    p.remove(1);
    EXPECT_EQ(p.admit(4, "other", 0), "");
    for (const auto id : {2, 4, 5}) p.remove(static_cast<std::uint64_t>(id));
    EXPECT_EQ(p.pending() + p.admitted(), 0u);
}

TEST(Places, WrongPasswordsCostAnAddressEverMore) {
    fronts::ConnectionAdmission p({1, 1, 1});
    EXPECT_EQ(p.wrongPasswordDelayMs("a", 0), 250);
    EXPECT_EQ(p.wrongPasswordDelayMs("a", 300), 500);
    EXPECT_EQ(p.wrongPasswordDelayMs("b", 300), 250);
    for (int i = 0; i < 20; ++i) EXPECT_LE(p.wrongPasswordDelayMs("a", 400), 8000);
    EXPECT_EQ(p.wrongPasswordDelayMs("a", 400), 8000);
    EXPECT_EQ(p.wrongPasswordDelayMs("a", 100000), 250);  // forgotten
}

TEST(RequestShape, ClassBySizeOfFileUnitsByWhatMoves) {
    host::ClassificationRules r;
    r.readClass = "view", r.largeReadClass = "export", r.writeClass = "upload";
    r.largeFromBytes = 1000, r.unitBytes = 100, r.maxUnits = 8;
    using host::Operation;
    EXPECT_EQ(host::classifyOperation(r, Operation::Read, 999, 999).requestClass, "view");
    EXPECT_EQ(host::classifyOperation(r, Operation::Read, 1000, 10).requestClass, "export");
    EXPECT_EQ(host::classifyOperation(r, Operation::Write, 5000, 10).requestClass, "upload");
    EXPECT_EQ(host::classifyOperation(r, Operation::Read, 0, 0).units, 1);
    EXPECT_EQ(host::classifyOperation(r, Operation::Read, 0, 101).units, 2);
    EXPECT_EQ(host::classifyOperation(r, Operation::Read, 0, 100000).units, 8);
    EXPECT_EQ(host::maxPiecesInFlight(100, 4, 10, 8), 2u);
    EXPECT_EQ(host::maxPiecesInFlight(0, 4, 10, 8), 1u);
    EXPECT_EQ(host::maxPiecesInFlight(1000, 1, 10, 8), 8u);
    EXPECT_TRUE(host::mayHoldFileList(1 << 30, 0, 0));
    EXPECT_FALSE(host::mayHoldFileList(1 << 30, 1000, 1000));
    EXPECT_TRUE(host::mayHoldFileList(1000, 0, 1 << 30));
}

TEST(Memory, LeasesGiveBackOnce) {
    host::MemoryBudget m(100);
    {
        auto a = m.acquire(60);
        auto b = std::move(a);
        a.release();
        EXPECT_EQ(m.free(), 40u);
        b = m.acquire(10);
        EXPECT_EQ(m.free(), 90u);
    }
    EXPECT_EQ(m.used(), 0u);
}

TEST(Catalogue, HostsThatHeardTheSameShowTheSame) {
    std::mt19937 random(11);
    std::vector<catalogue::FileVersion> versions;
    for (int i = 0; i < 60; ++i) {
        catalogue::FileVersion v;
        v.path = "p" + std::to_string(random() % 4);
        v.version = 1 + random() % 3;
        v.kind = random() % 4 ? catalogue::Kind::File : catalogue::Kind::Deleted;
        v.id = catalogue::xxh128Hex(std::to_string(random() % 20));
        v.shard = static_cast<int>(random() % 3);
        versions.push_back(v);
    }
    std::vector<std::string> shown;
    for (int order = 0; order < 30; ++order) {
        std::shuffle(versions.begin(), versions.end(), random);
        catalogue::Catalogue c;
        for (const auto& v : versions) c.addVersion("maps", v);
        std::string all;
        for (const auto& f : c.entriesBelow("maps", ""))
            all += f->path + f->id + std::to_string(f->shard) + " ";
        shown.push_back(all);
    }
    EXPECT_EQ(std::count(shown.begin(), shown.end(), shown[0]), 30);
}

TEST(Catalogue, DirectoriesExistByWhatTheyHold) {
    catalogue::Catalogue c;
    catalogue::FileVersion v;
    v.path = "a/b/f", v.version = 1, v.id = "1", v.shard = 0;
    c.addVersion("maps", v);
    EXPECT_TRUE(c.isDirectory("maps", "a/b"));
    EXPECT_FALSE(c.isDirectory("maps", "a/bb"));
    v.kind = catalogue::Kind::Deleted, v.version = 2, v.id = "2";
    c.addVersion("maps", v);
    EXPECT_FALSE(c.isDirectory("maps", "a/b"));
    EXPECT_EQ(c.baseVersion("maps", "a/b/f"), 2u);  // the next upload follows the deletion
    EXPECT_EQ(c.find("maps", "a/b/f"), nullptr);
}

// The list does not depend on the size of the slices it is built in, even if the volume changes between them:
// what exists before and after is listed exactly once.
TEST(Listing, InSlicesIsTheSameAsInOneGo) {
    using namespace fronts::rsync;
    catalogue::Catalogue known;
    const std::string volume = "v";
    const auto learn = [&](const std::string& path, catalogue::Kind kind, std::uint64_t version) {
        catalogue::FileVersion v;
        v.path = path;
        v.id = path + std::to_string(version);
        v.kind = kind;
        v.version = version;
        known.addVersion(volume, v);
    };
    for (int i = 0; i < 300; ++i)
        learn("d" + std::to_string(i % 7) + "/e" + std::to_string(i % 3) + "/f" + std::to_string(i),
              i % 11 ? catalogue::Kind::File : catalogue::Kind::Deleted, 1);
    learn("d1", catalogue::Kind::Directory, 1);
    wire::rsync::Filter filter(wire::rsync::Filter::Side::Sender);
    filter.add("- f*5");
    const std::vector<std::vector<std::string>> cases = {
        {"v/"}, {"v/d1", "v/d1/"}, {"v/d*/e1"}, {"v/d2/e2/f2", "v/none", "v/x*"}, {"v/d3/./e0/"}};
    for (std::size_t c = 0; c < cases.size(); ++c)
        for (const bool recurse : {true, false}) {
            wire::rsync::Options options;
            options.recurse = recurse;
            options.directories = true;
            options.relative = c == 4;
            std::vector<std::string> whole;
            for (const std::size_t slice : {std::size_t(100000), std::size_t(1), std::size_t(17)}) {
                std::vector<ModulePath> paths;
                for (const auto& a : cases[c]) paths.push_back(parseModulePath(volume, a));
                ListBuilder builder(known, volume, options, paths, filter, 1000);
                for (int i = 0; !builder.step(slice); ++i) {
                    ASSERT_LT(i, 100000);
                    learn("gone" + std::to_string(i % 50), catalogue::Kind::Deleted, 1);  // adds no entry
                }
                std::vector<std::string> names;
                const auto got = builder.take();
                for (const auto& l : got.files) names.push_back(l.entry.name);
                for (const auto& f : got.errors) names.push_back(f);
                if (whole.empty()) whole = names;
                EXPECT_EQ(names, whole) << "case " << c << " slice " << slice;
            }
            EXPECT_FALSE(whole.empty());
        }
}

TEST(FileVersion, MetadataAndPiecesComeBack) {
    catalogue::FileVersion v;
    v.path = "a dir/\xc3\xa9&=%";
    v.size = 77, v.mtime = -5, v.nsec = 9, v.mode = 0600, v.version = 3;
    v.digest = catalogue::xxh128Hex("x");
    v.layout = catalogue::Layout::Manifest;
    const auto back = catalogue::decode(catalogue::encode(v));
    ASSERT_TRUE(back);
    EXPECT_EQ(catalogue::encode(*back), catalogue::encode(v));
    EXPECT_EQ(back->path, v.path);
    for (const auto* text : {"", "f=2&path=x&version=1", "f=1&path=x", "f=1&path=x&version=1&size=-1",
                             "f=1&path=%zz&version=1", "f=1&version=1&kind=socket&path=x"})
        EXPECT_FALSE(catalogue::decode(text)) << text;
    const std::vector<catalogue::Piece> pieces = {{1, "p/" + v.digest, 50, v.digest},
                                                  {0, "o/" + v.digest, 27, v.digest}};
    const auto text = catalogue::encode(pieces);
    ASSERT_TRUE(catalogue::decodePieces(text, 77));
    EXPECT_FALSE(catalogue::decodePieces(text, 78));
    EXPECT_FALSE(catalogue::decodePieces(text.substr(0, text.size() - 3), 77));
    EXPECT_FALSE(catalogue::decodePieces("pieces 1\n0 p/../../x 77 " + v.digest, 77));
}

TEST(PeerDatagram, ForgedGarbledAndRepeatedOnesAreDropped) {
    const wire::peer::KeyedDigest digest = [](std::string_view bytes) {
        return catalogue::xxh128Hex("key" + std::string(bytes));
    };
    const auto text = wire::peer::pack({3, 100, 5, "credits"}, digest);
    wire::peer::Fault fault;
    ASSERT_EQ(wire::peer::unpack(text, digest, fault)->payload, "credits");
    for (std::size_t i = 0; i < text.size(); ++i) {
        auto altered = text;
        altered[i] = static_cast<char>(altered[i] ^ 4);
        EXPECT_FALSE(wire::peer::unpack(altered, digest, fault)) << i;
        EXPECT_FALSE(wire::peer::unpack(std::string_view(text).substr(0, i), digest, fault)) << i;
    }
    wire::peer::ReplayGuard guard;
    const auto take = [&guard](std::uint64_t incarnation, std::uint64_t sequence) {
        return guard.accept({3, incarnation, sequence, ""});
    };
    EXPECT_TRUE(take(100, 5));
    EXPECT_FALSE(take(100, 5));
    EXPECT_TRUE(take(100, 70));
    EXPECT_TRUE(take(100, 7));  // out of order, within the window
    EXPECT_FALSE(take(100, 7));
    EXPECT_FALSE(take(100, 6));   // older than the window
    EXPECT_TRUE(take(101, 1));    // restarted
    EXPECT_FALSE(take(100, 71));  // from before the restart
}

class Config : public ::testing::Test {
  protected:
    void SetUp() override {
        dir_ = std::filesystem::temp_directory_path() / ("spokewheel-config-" + std::to_string(getpid()));
        std::filesystem::remove_all(dir_);
        std::filesystem::copy(SPOKEWHEEL_SOURCE "/deploy/example", dir_,
                              std::filesystem::copy_options::recursive);
        text_ = kit::readFile((dir_ / "gateway.yaml").string());
    }
    void TearDown() override { std::filesystem::remove_all(dir_); }
    std::string errorsFor(const std::string& from, const std::string& to) {
        auto text = text_;
        const auto at = text.find(from);
        EXPECT_NE(at, std::string::npos) << from;
        text.replace(at, from.size(), to);
        kit::writeFile((dir_ / "gateway.yaml").string(), text);
        config::ConfigErrors found;
        config::readSettings((dir_ / "gateway.yaml").string(), found);
        std::string out;
        for (const auto& m : found)
            out += std::filesystem::path(m.file).filename().string() + m.text().substr(m.file.size()) + "\n";
        return out;
    }
    std::filesystem::path dir_;
    std::string text_;
};

TEST_F(Config, TheExampleIsFineAndEachMistakeIsToldWithItsPlace) {
    EXPECT_EQ(errorsFor("rank: 0", "rank: 0"), "");
    EXPECT_EQ(errorsFor("rank: 0", "rank: 1"), "gateway.yaml:2: host.rank: must be less than 'hosts'\n");
    EXPECT_EQ(errorsFor("127.0.0.1:8730", "0.0.0.0:8730"),
              "gateway.yaml:3: listen.rsync: '0.0.0.0:8730' is not a loopback address with a port "
              "(127.0.0.1:873)\n");
    EXPECT_NE(errorsFor("effect: once", "effect: twice")
                  .find("classes[2].effect: 'twice' is not one of: keyed, once, "
                        "repeatable"),
              std::string::npos);
    EXPECT_NE(errorsFor("plan: basic", "plan: gold").find("volumes[1].plan: no plan is named 'gold'"),
              std::string::npos);
    EXPECT_NE(errorsFor("limit-burst: 4000", "limit-burst: 3").find("must be at least 16 units"),
              std::string::npos);
    EXPECT_NE(
        errorsFor("connections: 256", "conections: 256").find("unknown key; allowed keys: client-idle-s"),
        std::string::npos);
    EXPECT_NE(errorsFor("memory: 96MiB", "memory: lots").find("caps.memory: 'lots' is not a size"),
              std::string::npos);
    EXPECT_NE(
        errorsFor("write: upload", "write: view").find("operations.write: must name a class that writes"),
        std::string::npos);
    EXPECT_NE(errorsFor("number: 2", "number: 1").find("volumes[1].number: is defined twice"),
              std::string::npos);
    EXPECT_NE(errorsFor("host: {", "host: [").find("gateway.yaml:"), std::string::npos);
    const auto both = errorsFor("read: view, large-read: export", "read: vew, large-read: exprt");
    EXPECT_EQ(std::count(both.begin(), both.end(), '\n'), 2);  // both are reported
}

TEST_F(Config, SecretsThatOthersMayReadAreRefused) {
    kit::writeFile((dir_ / "secrets").string(), "ann:word\n", 0644);
    const auto out = errorsFor("plan: basic, ", "plan: basic, secrets-file: secrets, ");
    EXPECT_NE(out.find("its mode must be 600 or 400"), std::string::npos) << out;
    kit::writeFile((dir_ / "secrets").string(), "ann word\n", 0600);
    EXPECT_NE(errorsFor("plan: basic, ", "plan: basic, secrets-file: secrets, ")
                  .find("line 1: must be user:password"),
              std::string::npos);
}

}  // namespace
}  // namespace spokewheel
