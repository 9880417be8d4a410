// The platform's list of disk servers in all its forms, and watches that fall silent. What the agent has
// published binds a scheduler 6 s after its watch fell silent, 4 s after a new configuration, and from the
// start of a process.
#include "platform_support.hpp"
#include "registry/json_frames.hpp"
#include "registry/node_table.hpp"

namespace spokewheel::platform::testing {
namespace {

using registry::JsonFrames;

// The objects and blank lines ('|') found in `text`, which is fed in chunks of `size` bytes; '!' if it is
// invalid.
std::string framed(const std::string& text, std::size_t size, std::size_t maxObjectBytes = 1000) {
    JsonFrames frames(maxObjectBytes);
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += size) {
        std::string_view in = std::string_view(text).substr(at, size);
        for (auto got = frames.next(in); got != JsonFrames::Event::NeedMore; got = frames.next(in)) {
            if (got == JsonFrames::Event::Invalid) return out + "!";
            out += got == JsonFrames::Event::BlankLine ? "|" : frames.object();
        }
    }
    return out;
}

TEST(JsonFrames, ValuesComeWholeHoweverTheyAreWrittenAndSplit) {
    const std::string indented = "{\n  \"a\": [\n    \"}\\\"]\\\\\",\n    {}\n  ]\n}";
    const std::string text = indented + "\n\r\n" + "{\"b\":1}{\"c\":2} \n";
    for (std::size_t size = 1; size <= text.size(); ++size)
        EXPECT_EQ(framed(text, size), indented + "||{\"b\":1}{\"c\":2}|") << size;
    EXPECT_EQ(framed("\nnoise", 1), "|!");
    EXPECT_EQ(framed("{}]", 3), "{}!");
    EXPECT_EQ(framed("{\"a\":\"" + std::string(50, 'x'), 7, 40),
              "!");  // an object that never ends is limited in size
}

registry::Endpoints parsed(std::int64_t revision, bool complete, const std::string& members) {
    registry::Endpoints out;
    std::string error;
    EXPECT_TRUE(registry::parseEndpoints(listJson(static_cast<int>(revision), complete, members), out, error))
        << error;
    return out;
}

constexpr registry::ClockReading kClock{1000000, 1000000};

// An agent that lags behind must not make a node usable again that is known to be draining or removed.
TEST(NodeBook, AnOlderListUndoesNoDrain) {
    registry::NodeTable table;
    table.apply(
        parsed(50, true,
               memberJson("a", "127.0.0.1:1", 0) + "," + memberJson("b", "127.0.0.1:2", 1, "draining") + "," +
                   memberJson("c", "127.0.0.1:3", 2)),
        ListForm::Full, kClock);
    table.apply(parsed(51, false, memberJson("c", "127.0.0.1:3", 2, "removed")), ListForm::Delta, kClock);
    const auto phases = [](const registry::NodeTable::Change& change) {
        std::map<std::string, Lifecycle> out;
        for (const auto& e : change.update.entries) out[e.node] = e.lifecycle;
        return out;
    };
    const auto all = memberJson("a", "127.0.0.1:1", 0) + "," + memberJson("b", "127.0.0.1:2", 1) + "," +
                     memberJson("c", "127.0.0.1:3", 2);
    const auto lagging = phases(table.apply(parsed(45, true, all), ListForm::Full, kClock));
    EXPECT_EQ(lagging.at("a"), Lifecycle::Ready);
    EXPECT_EQ(lagging.at("b"), Lifecycle::Draining);
    EXPECT_EQ(lagging.at("c"), Lifecycle::Gone);
    // Neither do changes with a revision before the known one; a later change does.
    EXPECT_EQ(
        phases(table.apply(parsed(46, false, memberJson("b", "127.0.0.1:2", 1)), ListForm::Delta, kClock))
            .at("b"),
        Lifecycle::Draining);
    EXPECT_FALSE(
        table.apply(parsed(46, false, memberJson("b", "127.0.0.1:2", 1)), ListForm::Delta, kClock).applied);
    EXPECT_EQ(
        phases(table.apply(parsed(52, false, memberJson("b", "127.0.0.1:2", 1)), ListForm::Delta, kClock))
            .at("b"),
        Lifecycle::Ready);
}

TEST(NodeBook, WhatStartedAnewMovedDrainsOrGoesIsRetired) {
    const auto retired = [](const std::string& members, bool complete) {
        registry::NodeTable table;
        table.apply(parsed(1, true, memberJson("a", "127.0.0.1:1", 0)), ListForm::Full, kClock);
        return table.apply(parsed(2, complete, members), complete ? ListForm::Full : ListForm::Delta, kClock)
            .nodesToDisconnect.size();
    };
    auto restarted = memberJson("a", "127.0.0.1:1", 0);
    restarted.replace(restarted.find("up_since_ms\":0"), 14, "up_since_ms\":77");
    EXPECT_EQ(retired(memberJson("a", "127.0.0.1:1", 0), false), 0u);
    EXPECT_EQ(retired(restarted, false), 1u);
    EXPECT_EQ(retired(memberJson("a", "127.0.0.1:2", 0), false), 1u);
    EXPECT_EQ(retired(memberJson("a", "127.0.0.1:1", 0, "draining"), false), 1u);
    EXPECT_EQ(retired("", true), 1u);
}

// Lists state start times by a wall clock that may be stepped, while ages are spans of real time.
TEST(StartTimes, AStartIsAsOldAsItIsWhicheverWayTheWallClockWent) {
    constexpr double kWall = 1.8e12;
    for (const double step : {0.0, 3600e3, -3600e3, 5000.0, -5000.0}) {
        registry::StartTimes starts;
        starts.onList({1000, kWall});
        EXPECT_EQ(starts.localStart("a", 0), 0);
        EXPECT_EQ(starts.localStart("b", kWall - 1000),
                  0);  // the first list is judged by the wall clock alone
        EXPECT_FALSE(starts.isNewStart("b", kWall - 1000));
        // Both restart 200 ms before the next list; "a" reports the time after the step, "b" before it.
        starts.onList({9000, kWall + 8000 + step});
        EXPECT_TRUE(starts.isNewStart("a", kWall + 7800 + step));
        const double heard = starts.localStart("a", kWall + 7800 + step);
        EXPECT_GE(heard, 8800);
        EXPECT_LE(heard, 9000);
        EXPECT_GE(starts.localStart("b", kWall + 7800), 8800);
        EXPECT_LE(starts.localStart("b", kWall + 7800), 9000);
        // The same time reported again is the same start; a restart after the step gets its true age.
        starts.onList({9500, kWall + 8500 + step});
        EXPECT_EQ(starts.localStart("a", kWall + 7800 + step), heard);
        EXPECT_EQ(starts.localStart("a", kWall + 8300 + step), 9300);
    }
}

// A restart that the list service did not know at its last contact is not older than that contact, whatever
// start time is reported.
TEST(StartTimes, AStartIsNoOlderThanTheLastWordThatDidNotKnowIt) {
    constexpr double kWall = 1.8e12;
    const auto at = [](double nowMs) { return registry::ClockReading{nowMs, kWall + nowMs}; };
    for (const double reported : {-3600e3, -60e3, -5000.0, 3600e3, -600e3 - 1000}) {
        registry::StartTimes starts;
        starts.onList(at(1000));
        starts.localStart("a", kWall - 600e3);
        starts.noteContact(at(9000));  // an empty line
        starts.onList(at(9500));
        EXPECT_EQ(starts.localStart("a", kWall + 9500 + reported), 9500) << reported;
        EXPECT_EQ(starts.localStart("new", kWall + 9500 + reported), 9500) << reported;
    }
    // A plausible start time keeps its age.
    registry::StartTimes starts;
    starts.onList(at(1000));
    starts.localStart("a", 0);
    starts.noteContact(at(9000));
    starts.onList(at(9500));
    EXPECT_EQ(starts.localStart("a", kWall + 9200), 9200);
}

// After an outage of the list service a restart lies within the outage, so the node is not counted as
// younger.
TEST(StartTimes, AfterASilenceAStartIsNoOlderThanTheSilence) {
    constexpr double kWall = 1.8e12;
    registry::StartTimes starts;
    starts.onList({1000, kWall + 1000});
    starts.localStart("a", 0);
    starts.noteContact({9000, kWall + 9000});
    starts.onList({39000, kWall + 39000});
    EXPECT_EQ(starts.localStart("true", kWall + 20000), 20000);
    EXPECT_EQ(starts.localStart("a", kWall - 3600e3), 9000);
    // Two clock steps that cancel each other are detected if the clocks were read between them; the start
    // time is then the time of the report.
    registry::StartTimes stepped;
    stepped.onList({1000, kWall + 1000});
    stepped.noteContact({9000, kWall + 9000});
    stepped.observeClocks({20000, kWall + 20000 - 3600e3});
    stepped.observeClocks({21000, kWall + 21000});
    stepped.onList({39000, kWall + 39000});
    EXPECT_EQ(stepped.localStart("a", kWall + 15000), 39000);
}

// A cached or configured list does not count as contact with the list service.
TEST(StartTimes, TheFirstListIsJudgedByTheWallClockThoughAnotherWasRemembered) {
    constexpr double kWall = 1.8e12;
    registry::StartTimes starts;
    starts.onList({101000, kWall + 101000}, false);
    starts.localStart("a", kWall - 600e3);
    starts.onList({101200, kWall + 101200});
    EXPECT_EQ(starts.localStart("a", kWall + 80000), 80000);
}

// An invalid entry does not affect the valid ones; its node counts as draining.
TEST(NodeBook, AnEntryThatCantBeReadIsNotSentTo) {
    const auto list = parsed(2, true,
                             memberJson("a", "127.0.0.1:1", 0) + "," +
                                 memberJson("b", "127.0.0.1:2", 1, "odd") + R"(,7,{"phase":"up"})");
    EXPECT_EQ(list.unreadable, 3u);
    ASSERT_EQ(list.entries.size(), 2u);
    EXPECT_EQ(list.entries[0].lifecycle, Lifecycle::Ready);
    EXPECT_EQ(list.entries[1].lifecycle, Lifecycle::Draining);
}

class ListTest : public PlatformTest {
  protected:
    std::string drained() { return listJson(43, false, memberJson("s-1", disk->address(), 0, "draining")); }
    // Sends a request and returns whether it reaches the disk server.
    bool goesOut(const std::string& id) {
        auto c = client();
        const auto before = disk->requests();
        c->send(requestText({.id = id, .timeout = "200"}));
        EXPECT_TRUE(runLoopUntil([&] { return disk->requests() > before || c->answered(); }));
        return disk->requests() > before;
    }
    std::size_t watches() const { return discovery->requests(); }
};

TEST_F(ListTest, ListsMayComeIndentedAndInPieces) {
    startUntilReady();
    EXPECT_TRUE(goesOut("a"));
    std::string indented = drained();
    for (std::size_t at = 0; (at = indented.find_first_of(",{", at)) != indented.npos; at += 4)
        indented.insert(at + 1, "\n  ");
    for (std::size_t at = 0; at < indented.size(); at += 11)
        discovery->last().send(httpChunk(indented.substr(at, 11)));
    ASSERT_TRUE(runLoopUntil([&] { return !goesOut("b"); }));
    runLoopFor(50);
    EXPECT_EQ(watches(), 1u);  // no reconnect was needed
}

// Guards against changes missed by a watch that fell silent: they must be known within 6 s even if two
// attempts fail. Bytes of an incomplete line do not count as a sign of life.
TEST_F(ListTest, ASilentWatchIsOpenedAnewInTimeThoughTwoTriesFail) {
    startUntilReady();
    auto& silent = discovery->last();
    const double from = io::nowMs();
    double lastByteAt = 0;
    ASSERT_TRUE(runLoopUntil(
        [&] {
            if (io::nowMs() > lastByteAt + 100) silent.send(httpChunk(" ")), lastByteAt = io::nowMs();
            return watches() == 4;
        },
        6000));
    EXPECT_LT(io::nowMs() - from, 5500);
    EXPECT_FALSE(silent.closed && discovery->accepted.size() < 4);
    discovery->last().send(std::string(kWatchResponseHead) + lineChunk(drained()));
    ASSERT_TRUE(runLoopUntil([&] { return !goesOut("a"); }));
    EXPECT_LT(io::nowMs() - from, 6000);
    // The other connections are closed.
    ASSERT_TRUE(runLoopUntil([&] {
        std::size_t open = 0;
        for (const auto& t : discovery->accepted) open += !t->closed;
        return open <= 1 + 3;  // connections to /ready are the scheduler's own
    }));
}

// A list service that recovers may send on the old connection first; that data must be used at once.
TEST_F(ListTest, AnOldConnectionThatSpeaksAgainCounts) {
    startUntilReady();
    auto& old = discovery->last();
    ASSERT_TRUE(runLoopUntil([&] { return watches() == 3; }, 5000));
    EXPECT_FALSE(old.closed);
    old.send(lineChunk(drained()));
    ASSERT_TRUE(runLoopUntil([&] { return !goesOut("a"); }, 500));
    const auto* tried = &discovery->last();
    EXPECT_TRUE(runLoopUntil([&] { return tried->closed; }));
}

// A list at a new address must be known within 4 s of the new configuration, even if the first attempt there
// gets no answer while the old connection still sends lines.
TEST_F(ListTest, AMoveIsHeardInTimeThoughTheFirstTryFails) {
    startUntilReady();
    auto& old = discovery->last();
    FakeServer moved;
    write(configuration(moved.address()));
    daemon->reload();
    const double from = io::nowMs();
    ASSERT_TRUE(runLoopUntil(
        [&] {
            old.send(lineChunk(""));
            return moved.requests() == 2;
        },
        4000));
    moved.last().send(std::string(kWatchResponseHead) + lineChunk(drained()));
    ASSERT_TRUE(runLoopUntil([&] { return !goesOut("a"); }));
    EXPECT_LT(io::nowMs() - from, 3500);
    EXPECT_TRUE(old.closed);
}

// The configured list of a starting process may be older than the agent's: the process must send nothing and
// not report ready before the agent has answered.
TEST_F(ListTest, AStartedSchedulerHearsTheListFirst) {
    startDaemon();
    ASSERT_TRUE(runLoopUntil([&] { return watches() == 1; }));
    EXPECT_EQ(readyStatus(), 503);
    auto early = client();
    early->send(requestText({.id = "early", .timeout = "900"}));
    runLoopFor(50);
    EXPECT_EQ(disk->requests(), 0u);
    discovery->last().send(std::string(kWatchResponseHead) + lineChunk(drained()));
    ASSERT_TRUE(runLoopUntil([&] { return readyStatus() == 200; }));
    ASSERT_TRUE(runLoopUntil([&] { return early->answered(); }));
    EXPECT_EQ(disk->requests(), 0u);
}

// The agent is silent and there is no peer to query. The process must be ready in time, because nine of ten
// restarted processes have to be ready within 6 s if the run ends soon. It must not send by the configured
// list, which may miss a drain: requests are refused with a promise of no effect or wait for the agent's
// answer. (Using that list after 2.5 s broke the drain rule, see
// docs/incidents/2026-12-03-start-in-an-outage.md.)
TEST_F(ListTest, AStartDuringAnOutageIsReadyInTimeAndSendsNothingWithoutAWord) {
    startDaemon();
    const double from = io::nowMs();
    ASSERT_TRUE(runLoopUntil([&] { return readyStatus() == 200; }, 6500));
    EXPECT_LT(io::nowMs() - from, 6000);
    auto refused = client();
    refused->send(requestText({.id = "refused", .timeout = "600"}));
    ASSERT_TRUE(runLoopUntil([&] { return refused->answered(); }));
    EXPECT_EQ(refused->status(), 503);
    EXPECT_EQ(disk->requests(), 0u);
    auto waiting = client();
    waiting->send(requestText({.id = "waiting", .timeout = "2500"}));
    runLoopFor(200);
    EXPECT_EQ(disk->requests(), 0u);
    discovery->onRequest = [](AcceptedConnection& t) {
        t.send(std::string(kWatchResponseHead) + lineChunk(""));
    };
    discovery->last().send(std::string(kWatchResponseHead) + lineChunk(""));
    EXPECT_TRUE(runLoopUntil([&] { return disk->requests() == 1; }));
}

// A slow list service: each connection receives a long list from its beginning over 9 s. The list must be
// used.
TEST_F(ListTest, ALongListThatArrivesSlowlyIsTaken) {
    startUntilReady();
    disk->onRequest = [](AcceptedConnection& t) { t.send(okResponse("x")); };
    struct Transfer {
        AcceptedConnection* to;
        std::size_t next;
        double at;
    };
    std::vector<Transfer> transfers;
    discovery->onRequest = [&](AcceptedConnection& t) {
        t.send(kWatchResponseHead);
        transfers.push_back({&t, 0, io::nowMs()});
    };
    std::string members = memberJson("s-1", disk->address(), 0, "draining");
    for (int i = 0; i < 4000; ++i)
        members += "," + memberJson("x-" + std::to_string(i), disk->address(), 9 + i);
    const auto list = listJson(43, true, members) + "\n";
    const std::size_t pieceSize = list.size() / 90 + 1;
    const double from = io::nowMs();
    bool drained = false;
    double checkedAt = from;
    ASSERT_TRUE(runLoopUntil(
        [&] {
            for (auto& f : transfers)
                if (!f.to->closed && f.next < list.size() && io::nowMs() >= f.at) {
                    f.to->send(httpChunk(list.substr(f.next, pieceSize)));
                    f.next += pieceSize;
                    f.at += 100;
                }
            if (io::nowMs() < checkedAt + 500) return drained;
            checkedAt = io::nowMs();
            return drained = !goesOut("q" + std::to_string(static_cast<long>(checkedAt)));
        },
        16000));
}

// An overloaded list service: each connection gets its answer 5.6 s after the request.
TEST_F(ListTest, AListServiceThatAnswersLateIsHeard) {
    startUntilReady();
    disk->onRequest = [](AcceptedConnection& t) { t.send(okResponse("x")); };
    std::vector<std::pair<AcceptedConnection*, double>> late;
    discovery->onRequest = [&](AcceptedConnection& t) { late.emplace_back(&t, io::nowMs() + 5600); };
    double checkedAt = io::nowMs();
    ASSERT_TRUE(runLoopUntil(
        [&] {
            for (auto& [t, at] : late)
                if (at > 0 && io::nowMs() >= at && !t->closed) {
                    t->send(std::string(kWatchResponseHead) + lineChunk(drained()));
                    at = 0;
                }
            if (io::nowMs() < checkedAt + 500) return false;
            checkedAt = io::nowMs();
            return !goesOut("q" + std::to_string(static_cast<long>(checkedAt)));
        },
        14000));
}

}  // namespace
}  // namespace spokewheel::platform::testing
