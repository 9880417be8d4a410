// Starts of real scheduler processes while discovery is down, in fleets and in outages of several lengths.
//
// The fault that these tests guard against: a server drained, discovery went down, and a process was killed
// and restarted. Its agent knew of the drain but did not answer; after 2.5 s the process used the node list
// in its configuration and sent to the drained server for as long as the outage lasted, up to 5251 ms after
// the drain notice. Such a list is often out of date: in a release on the platform, 42 of 42 restarted
// processes were given a list two changes behind what their agents reported milliseconds later. See
// docs/incidents/2026-12-03-start-in-an-outage.md.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <memory>
#include <ostream>

#include "kit/soak/agent.hpp"
#include "kit/soak/clients.hpp"
#include "kit/soak/disk_server.hpp"
#include "kit/soak/port_source.hpp"
#include "kit/soak/record_checker.hpp"
#include "kit/soak/scheduler_process.hpp"

namespace spokewheel::soak {
namespace {

// Schedulers with their agents, and two disk servers: one in cell 0, which will drain, and one in cell 1,
// which stays up.
class StartFleet : public ::testing::Test {
  protected:
    void startFleet(int schedulers, bool peers) {
        std::signal(SIGPIPE, SIG_IGN);
        options.schedulerBinary = SPOKEWHEEL_BIN "/spokewheeld";
        options.shimLibrary = SPOKEWHEEL_BIN "/spokewheel_faults.so";
        options.folder = ::testing::TempDir() + "start-" + std::to_string(getpid());
        options.schedulers = schedulers;
        options.servers = 2;
        options.requestsPerSecond = 30;
        options.injectFaults = false;
        options.settings.peers = peers;
        std::filesystem::create_directories(options.folder);
        record = [this](Event event) {
            if (event.process == 0 && event.scheduler >= 0)
                event.process = processes[static_cast<std::size_t>(event.scheduler)]->incarnation();
            events.push_back(std::move(event));
        };
        std::vector<Ports> ports;
        for (int i = 0; i < schedulers; ++i) ports.push_back({port(), port()});
        for (int i = 0; i < schedulers; ++i) {
            agents.push_back(
                std::make_unique<Agent>(reactor, random, record, i, port(), [](const Member&) {}));
            processes.push_back(std::make_unique<SchedulerProcess>(reactor, options, record, i, ports));
            clients.push_back(
                std::make_unique<Clients>(reactor, random, record, *processes.back(), i, options));
        }
        for (int cell = 0; cell < 2; ++cell) addServer(cell);
        for (std::size_t i = 0; i < processes.size(); ++i) start(i);
        ASSERT_TRUE(runUntil(8000, [&] {
            return std::all_of(processes.begin(), processes.end(), [](auto& p) { return p->ready(); });
        }));
        for (const auto& group : clients) group->start();
        runFor(500);
    }
    void TearDown() override {
        clients.clear();
        processes.clear();
        agents.clear();
        servers.clear();
        if (!HasFailure()) std::filesystem::remove_all(options.folder);  // logs of failed tests are kept
    }
    int port() { return portSource.take(); }
    void addServer(int cell) {
        std::vector<int> ports;
        for (int i = 0; i < options.schedulers; ++i) ports.push_back(port());
        servers.push_back(std::make_unique<DiskServer>(
            reactor, random, record, DiskServer::Identity{"s-" + std::to_string(servers.size()), "a", cell},
            ports));
        servers.back()->setRandomFaults(false);
        announce(*servers.back(), "up");
    }
    void announce(const DiskServer& server, const std::string& phase) {
        for (int i = 0; i < options.schedulers; ++i) announceTo(i, server, phase);
    }
    void announceTo(int scheduler, const DiskServer& server, const std::string& phase) {
        agents[static_cast<std::size_t>(scheduler)]->updateMember(
            {server.identity().id, "a", phase, server.identity().cell, server.portFor(scheduler), 0, 0});
    }
    void start(std::size_t i, const std::string& nodeList = {}) {
        processes[i]->writeConfiguration(agents[i]->port(),
                                         nodeList.empty() ? agents[i]->fullListJson(0) : nodeList);
        processes[i]->start();
    }
    // Records the health of a cell or of a scheduler's environment; service is required only while it is
    // healthy.
    void recordState(EventKind kind, int index, bool healthy) {
        Event event;
        event.kind = kind;
        event.at = reactor.now();
        event.status = healthy;
        if (kind == EventKind::CellState) event.server = std::to_string(index);
        else event.scheduler = index;
        record(event);
    }
    // Starts a process that cannot learn which servers it may use until the outage is over.
    void startUninformed(std::size_t i, const std::string& nodeList) {
        recordState(EventKind::SchedulerState, static_cast<int>(i), false);
        uninformed.push_back(static_cast<int>(i));
        start(i, nodeList);
    }
    void setDiscoveryDown(bool down) {
        for (const auto& agent : agents) agent->setDown(down);
    }
    // The server of cell 0 drains, all schedulers learn of it, and then discovery goes down.
    void drainThenOutage() {
        for (const auto& agent : agents) oldNodeLists.push_back(agent->fullListJson(0));
        recordState(EventKind::CellState, 0, false);  // for the rest of the test: it is not replaced
        servers[0]->setDraining(true);
        announce(*servers[0], "draining");
        runFor(300);
        setDiscoveryDown(true);
    }
    void endOutageAndCheck(double afterOutageMs = 2500) {
        setDiscoveryDown(false);
        runFor(500);
        for (const int i : uninformed) recordState(EventKind::SchedulerState, i, true);
        runFor(afterOutageMs - 500);
        for (const auto& group : clients) group->stop();
        runFor(1500);
        for (const auto& violation : checkRecord(events, defaultRequirements()))
            ADD_FAILURE() << nameOf(violation.rule) << " n" << violation.scheduler << " " << violation.request
                          << ": " << violation.detail;
    }
    // Answers of the scheduler's current process only: an answer of the previous one may be read after its
    // end.
    std::size_t served(int scheduler, double from, double until = 1e18) const {
        const int incarnation = processes[static_cast<std::size_t>(scheduler)]->incarnation();
        return static_cast<std::size_t>(std::count_if(events.begin(), events.end(), [&](const Event& e) {
            return e.kind == EventKind::Answered && e.status == 200 && e.scheduler == scheduler &&
                   e.process == incarnation && e.at >= from && e.at < until;
        }));
    }
    // Attempts of the scheduler at the server of a cell.
    std::size_t attempts(int scheduler, int cell, double from) const {
        const auto server = servers[static_cast<std::size_t>(cell)]->identity().id;
        return static_cast<std::size_t>(std::count_if(events.begin(), events.end(), [&](const Event& e) {
            return e.kind == EventKind::AttemptBegan && e.scheduler == scheduler && e.server == server &&
                   e.at >= from;
        }));
    }
    template <class Condition>
    bool runUntil(double ms, Condition condition) {
        for (const double until = reactor.now() + ms; !condition();) {
            if (reactor.now() >= until) return false;
            reactor.runUntil(reactor.now() + 5);
        }
        return true;
    }
    void runFor(double ms) { reactor.runUntil(reactor.now() + ms); }

    Options options;
    Reactor reactor;
    PortSource portSource{1};
    Random random{11};
    EventSink record;
    std::vector<Event> events;
    std::vector<std::string> oldNodeLists;
    std::vector<int> uninformed;
    std::vector<std::unique_ptr<DiskServer>> servers;
    std::vector<std::unique_ptr<Agent>> agents;
    std::vector<std::unique_ptr<SchedulerProcess>> processes;
    std::vector<std::unique_ptr<Clients>> clients;
};

// A scheduler without peers, in outages shorter and longer than its waiting times: nothing is sent to the
// drained server, the process is ready in time, and it serves from the other server once discovery is back.
class OutageAlone : public StartFleet, public ::testing::WithParamInterface<double> {};
TEST_P(OutageAlone, SendsToNoServerThatDrainedBefore) {
    startFleet(1, true);
    drainThenOutage();
    processes[0]->kill();
    startUninformed(0, oldNodeLists[0]);
    const double started = reactor.now();
    runFor(GetParam());
    EXPECT_TRUE(processes[0]->ready() || GetParam() < 6000);
    const double outageEnd = reactor.now();
    endOutageAndCheck();
    EXPECT_GT(served(0, outageEnd), 10u);
    EXPECT_LT(outageEnd - started, 30000);
}
INSTANTIATE_TEST_SUITE_P(Milliseconds, OutageAlone, ::testing::Values(1000.0, 4000.0, 12000.0));

// Most schedulers are killed at once and restarted with node lists that miss the drain. Peers that stayed up
// tell them which servers are usable, and they serve from these while the outage lasts.
TEST_F(StartFleet, PeersThatStayedUpTellWhatIsStillUsable) {
    startFleet(6, true);
    drainThenOutage();
    for (std::size_t i = 0; i < 4; ++i) processes[i]->kill();
    for (std::size_t i = 0; i < 4; ++i) start(i, oldNodeLists[i]);
    const double started = reactor.now();
    for (std::size_t i = 0; i < 4; ++i)
        EXPECT_TRUE(runUntil(3000, [&] { return processes[i]->ready(); })) << "n" << i;
    runFor(5000);
    for (int i = 0; i < 4; ++i) EXPECT_GT(served(i, started), 10u) << "n" << i;
    endOutageAndCheck();
}

// A server drains, one agent reports it, discovery goes down before the others do, and that agent's process
// is killed and restarted. The fault: its next process took the word of peers, which had never heard of the
// drain, and sent to the server for as long as the outage lasted (review/3, and soak_short_8).
TEST_F(StartFleet, ADrainThatOnlyTheKilledProcessHadHeardOfBindsItsNext) {
    startFleet(3, true);
    const auto oldNodeList = agents[0]->fullListJson(0);
    recordState(EventKind::CellState, 0, false);
    servers[0]->setDraining(true);
    announceTo(0, *servers[0], "draining");
    runFor(200);
    setDiscoveryDown(true);
    runFor(100);
    processes[0]->kill();
    runFor(1600);
    start(0, oldNodeList);
    const double started = reactor.now();
    runFor(7000);
    EXPECT_GT(served(0, started), 10u);  // from the server that stays up
    for (int i = 1; i < 3; ++i) announceTo(i, *servers[0], "draining");
    endOutageAndCheck();
}

// A change reaches the agent of a process that is not running, and discovery goes down before the other
// agents have it.
struct LoneChange {
    const char* name;
    int schedulers, killed;  // the first `killed` of the schedulers are restarted
    double deadMs;           // from the kill to the change
    double outageAfterMs;    // from the change to the outage
    const char* phase;
    double outageMs;
};
void PrintTo(const LoneChange& change, std::ostream* out) { *out << change.name; }

// The fault: the next process took the word of peers, which had not heard of the change, and sent to the
// server for as long as the outage lasted, against what its own agent had (review/10).
class AgentKnowsMore : public StartFleet, public ::testing::WithParamInterface<LoneChange> {};
TEST_P(AgentKnowsMore, ThanAnybodyWhomTheNextProcessCanAsk) {
    const auto& play = GetParam();
    startFleet(play.schedulers, true);
    const auto nodeList = agents[0]->fullListJson(0);
    recordState(EventKind::CellState, 0, false);
    for (int i = 0; i < play.killed; ++i) processes[static_cast<std::size_t>(i)]->kill();
    runFor(play.deadMs);
    servers[0]->setDraining(true);
    announceTo(0, *servers[0], play.phase);
    runFor(play.outageAfterMs);
    setDiscoveryDown(true);
    runFor(500);
    for (int i = 0; i < play.killed; ++i) startUninformed(static_cast<std::size_t>(i), nodeList);
    runFor(play.outageMs - 500);
    for (int i = 1; i < play.schedulers; ++i) announceTo(i, *servers[0], play.phase);
    const double outageEnd = reactor.now();
    endOutageAndCheck();
    for (int i = 0; i < play.killed; ++i) EXPECT_GT(served(i, outageEnd), 10u) << "n" << i;
}
INSTANTIATE_TEST_SUITE_P(Plays, AgentKnowsMore,
                         ::testing::Values(LoneChange{"OneOfThree", 3, 1, 1000, 500, "draining", 8000},
                                           LoneChange{"Removed", 3, 1, 700, 20, "removed", 5000},
                                           LoneChange{"TwoOfThree", 3, 2, 1000, 500, "draining", 8000},
                                           LoneChange{"LongOutage", 3, 1, 300, 3000, "draining", 14000},
                                           LoneChange{"FiveOfEight", 8, 5, 600, 200, "draining", 6000}),
                         [](const auto& info) { return info.param.name; });

// Discovery is down already when processes are killed: their agents can have learned of nothing since, so
// peers' word is as good as theirs, and the next processes serve while the outage lasts.
class KilledInAnOutage : public StartFleet, public ::testing::WithParamInterface<double> {};
TEST_P(KilledInAnOutage, IsServedByPeersWord) {
    startFleet(3, true);
    const auto nodeList = agents[0]->fullListJson(0);
    setDiscoveryDown(true);
    runFor(GetParam());
    processes[0]->kill();
    runFor(1500);
    start(0, nodeList);
    const double started = reactor.now();
    runFor(5000);
    EXPECT_GT(served(0, started, started + 2500), 10u);
    // A second kill in the same outage changes nothing.
    processes[0]->kill();
    start(0, nodeList);
    const double startedAgain = reactor.now();
    runFor(3000);
    EXPECT_GT(served(0, startedAgain), 10u);
    endOutageAndCheck();
}
INSTANTIATE_TEST_SUITE_P(MillisecondsAfterItsBegin, KilledInAnOutage,
                         ::testing::Values(0.0, 200.0, 1500.0, 4000.0));

// The agents of the peers were cut off long before, so their silence says nothing of the killed process's
// agent, which learns of a drain after the kill.
TEST_F(StartFleet, PeersWhoseOwnAgentsWereCutOffVouchForNobody) {
    startFleet(3, true);
    const auto nodeList = agents[0]->fullListJson(0);
    recordState(EventKind::CellState, 0, false);
    for (int i = 1; i < 3; ++i) agents[static_cast<std::size_t>(i)]->setDown(true);
    runFor(4000);
    processes[0]->kill();
    runFor(1000);
    servers[0]->setDraining(true);
    announceTo(0, *servers[0], "draining");
    runFor(200);
    agents[0]->setDown(true);
    startUninformed(0, nodeList);
    const double started = reactor.now();
    runFor(6000);
    EXPECT_EQ(attempts(0, 0, started + 2000), 0u);
    for (int i = 1; i < 3; ++i) announceTo(i, *servers[0], "draining");
    endOutageAndCheck();
}

// A process was told to use another discovery, which has not answered it: what it knows is not what the
// agent there has.
TEST_F(StartFleet, AProcessThatHasMovedToASilentDiscoveryIsVouchedForByNobody) {
    startFleet(3, true);
    const auto nodeList = agents[0]->fullListJson(0);
    Agent elsewhere(reactor, random, record, 0, port(), [](const Member&) {});
    elsewhere.setDown(true);
    processes[0]->writeConfiguration(elsewhere.port(), nodeList);
    processes[0]->reload();
    runFor(1500);
    setDiscoveryDown(true);
    runFor(1000);
    processes[0]->kill();
    runFor(500);
    processes[0]->start();
    const double started = reactor.now();
    runFor(5000);
    EXPECT_TRUE(runUntil(6000, [&] { return processes[0]->ready(); }));
    EXPECT_EQ(served(0, started), 0u);
}

// A watch falls silent, a server drains, and discovery goes down before the silence can be noticed. The
// fault: its process never heard of the drain, which counts as told 6 s after the silence began (soak, seed
// 30).
TEST_F(StartFleet, ADrainBehindASilentWatchIsHeardOfFromPeers) {
    startFleet(3, true);
    recordState(EventKind::CellState, 0, false);
    agents[0]->silenceWatches();
    runFor(100);
    servers[0]->setDraining(true);
    announce(*servers[0], "draining");
    runFor(300);
    setDiscoveryDown(true);
    const double outage = reactor.now();
    runFor(11000);
    EXPECT_GT(served(0, outage + 1000), 10u);
    endOutageAndCheck();
}

// All schedulers are killed at once: no peer knows the current state, so none sends before discovery is back.
TEST_F(StartFleet, AFleetThatIsKilledWholeSendsNothingBeforeAWord) {
    startFleet(4, true);
    drainThenOutage();
    for (const auto& process : processes) process->kill();
    for (std::size_t i = 0; i < processes.size(); ++i) startUninformed(i, oldNodeLists[i]);
    const double started = reactor.now();
    runFor(7000);
    for (int i = 0; i < 4; ++i) {
        EXPECT_TRUE(processes[static_cast<std::size_t>(i)]->ready()) << "n" << i;
        EXPECT_EQ(served(i, started), 0u) << "n" << i;
    }
    const double outageEnd = reactor.now();
    endOutageAndCheck();
    for (int i = 0; i < 4; ++i) EXPECT_GT(served(i, outageEnd), 10u) << "n" << i;
}

// If peer messages are disabled, a restarted scheduler sends nothing before discovery is back.
TEST_F(StartFleet, WithoutPeersASchedulerWaitsForItsOwnAgent) {
    startFleet(2, false);
    drainThenOutage();
    processes[0]->kill();
    startUninformed(0, oldNodeLists[0]);
    const double started = reactor.now();
    runFor(6500);
    EXPECT_EQ(served(0, started), 0u);
    EXPECT_GT(served(1, started), 10u);
    endOutageAndCheck();
}

// A process is started with an empty node list: peers cannot add entries to it, discovery can.
TEST_F(StartFleet, AnEmptyListIsFilledByDiscoveryAlone) {
    startFleet(3, true);
    drainThenOutage();
    processes[0]->kill();
    startUninformed(0, R"({"revision":0,"complete":true,"members":[]})");
    const double started = reactor.now();
    runFor(6000);
    EXPECT_EQ(served(0, started), 0u);
    const double outageEnd = reactor.now();
    endOutageAndCheck();
    EXPECT_GT(served(0, outageEnd), 10u);
}

}  // namespace
}  // namespace spokewheel::soak
