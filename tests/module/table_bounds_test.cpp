// Everything that the scheduler keeps under names that clients choose (volumes, keys, ids) takes a bounded
// number of bytes, at the host that is asked and at its peers, and is dropped in the end.
//
// The fault that these tests guard against: a volume stayed for 30 s after its last request and any number of
// them was kept, so a client that named a new one with each request took the process over its memory.
#include <gtest/gtest.h>
#include <malloc.h>

#include <cmath>

#include "support.hpp"

namespace spokewheel::testing {
namespace {

constexpr double kStart = 100000;
constexpr std::size_t kTableBytes = 8 * 1024 * 1024;  // Settings::stateBytes
constexpr std::size_t kNames = 10000;

// Bytes that the program has allocated. AddressSanitizer's allocator tells nothing here.
std::size_t allocatedBytes() { return mallinfo2().uordblks; }

// A host whose attempts all end at once, with the given outcome.
class BoundedHost {
  public:
    explicit BoundedHost(Settings settings, std::uint64_t seed = 1)
        : settings_(std::move(settings)), scheduler_(settings_, seed) {
        std::vector<NodeEntry> nodes;
        for (int i = 0; i < 4; ++i) nodes.push_back(node("n" + std::to_string(i), i));
        step(now, {list(nodes)});
    }
    void step(double at, std::vector<Event> events) {
        now = at;
        while (!events.empty()) {
            const auto actions = scheduler_.step(now, events);
            events.clear();
            for (const auto& action : actions) perform(action, events);
        }
    }
    void serve(const Request& request) { step(now + 1, {request}); }
    void idle(double ms) {
        for (const double until = now + ms; now < until;) step(now + 50, {Wake{}});
    }
    TableSizes sizes() const { return scheduler_.tableSizes(); }

    double now = kStart;
    Outcome outcome = Outcome::Served;
    std::size_t refused = 0;
    std::vector<SendToPeers> outgoing;

  private:
    void perform(const Action& action, std::vector<Event>& results) {
        refused += std::holds_alternative<Refuse>(action);
        if (const auto* message = std::get_if<SendToPeers>(&action)) outgoing.push_back(*message);
        const auto* attempt = std::get_if<Attempt>(&action);
        if (!attempt) return;
        results.push_back(AttemptBegun{attempt->id});
        results.push_back(AttemptEnded{attempt->id, attempt->node, outcome, attempts_[attempt->id]++, 1,
                                       outcome == Outcome::Served, 0, 0});
        if (outcome == Outcome::Served) attempts_.erase(attempt->id);
    }
    Settings settings_;
    Scheduler scheduler_;
    std::map<std::string, int> attempts_;  // so far, by request
};

Request named(std::size_t number, const std::string& requestClass, const std::string& plan) {
    auto r = request("id-" + std::to_string(number), requestClass, static_cast<int>(number % 4));
    r.plan = plan;
    r.volume = static_cast<std::int64_t>(number * 7919 + 1);
    r.key = static_cast<std::int64_t>(number * 104729 + 1);
    return r;
}

Settings settingsOfHost(int hosts, int rank) {
    auto settings = testSettings();
    settings.hosts = hosts;
    settings.rank = rank;
    settings.stateBytes = kTableBytes;
    return settings;
}

struct Case {
    const char* name;
    int hosts;
    const char *requestClass, *plan;
    Outcome outcome;
};
void PrintTo(const Case& one, std::ostream* out) { *out << one.name; }

class TableBounds : public ::testing::TestWithParam<Case> {};

TEST_P(TableBounds, EverNewNamesTakeABoundedNumberOfBytes) {
    const auto& param = GetParam();
    BoundedHost host(settingsOfHost(param.hosts, 0));
    host.outcome = param.outcome;
    const auto before = allocatedBytes();
    std::size_t most = 0;
    for (std::size_t i = 0; i < kNames; ++i) {
        host.serve(named(i, param.requestClass, param.plan));
        host.outgoing.clear();
        if (i % 100 == 0 && allocatedBytes() > before) most = std::max(most, allocatedBytes() - before);
    }
    EXPECT_LT(most, kTableBytes);
    EXPECT_LT(host.sizes().volumes, kNames / 2);
    EXPECT_LT(host.sizes().keys, kNames / 2);
    RecordProperty("most_bytes", std::to_string(most));
    RecordProperty("volumes", std::to_string(host.sizes().volumes));
    // Nothing of it is left after a while.
    host.idle(100000);
    EXPECT_EQ(host.sizes().volumes, 0u);
    EXPECT_EQ(host.sizes().keys, 0u);
    EXPECT_EQ(host.sizes().requests, 0u);
    EXPECT_EQ(host.sizes().deadlines, 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, TableBounds,
    ::testing::Values(Case{"OpenVolumes", 1, "read", "open", Outcome::Served},
                      Case{"OpenVolumesOfManyHosts", 4, "read", "open", Outcome::Served},
                      Case{"LimitedVolumes", 1, "read", "limited", Outcome::Served},
                      Case{"LimitedVolumesOfManyHosts", 4, "read", "limited", Outcome::Served},
                      Case{"OrderedKeys", 1, "ordered", "open", Outcome::Served},
                      Case{"OrderedKeysInDoubt", 1, "ordered", "open", Outcome::ConnectionLost}),
    [](const auto& info) { return std::string(info.param.name); });

// What a host is told of volumes that its peers were asked for.
TEST(TableBoundsOfPeers, MessagesOnEverNewVolumesTakeABoundedNumberOfBytes) {
    constexpr int kHosts = 4;
    BoundedHost asked(settingsOfHost(kHosts, 0)), peer(settingsOfHost(kHosts, 1), 2);
    std::size_t most = 0;
    const auto before = allocatedBytes();
    for (std::size_t i = 0; i < kNames; ++i) {
        auto one = named(i, "read", "limited");
        one.hosts = kHosts;
        asked.serve(one);
        for (const auto& message : std::exchange(asked.outgoing, {}))
            if (message.to < 0 || message.to == 1) peer.step(asked.now, {PeerMessage{0, message.bytes}});
        for (const auto& message : std::exchange(peer.outgoing, {}))
            if (message.to <= 0) asked.step(asked.now, {PeerMessage{1, message.bytes}});
        if (i % 100 == 0 && allocatedBytes() > before) most = std::max(most, allocatedBytes() - before);
    }
    EXPECT_LT(most, 2 * kTableBytes);  // of both hosts
    peer.idle(150000);
    const auto left = peer.sizes();
    EXPECT_EQ(left.volumes, 0u);
    EXPECT_EQ(left.pools, 0u);
    EXPECT_EQ(left.activeHosts, 0u);
}

// Guards against the time of a request that is kept long after the request has ended.
TEST(TableBoundsOfDeadlines, AServedRequestLeavesNoneHoweverLongItsClientWouldHaveWaited) {
    BoundedHost host(settingsOfHost(1, 0));
    for (std::size_t i = 0; i < 1000; ++i) {
        auto one = request("id-" + std::to_string(i), "read", 0);
        one.ttlMs = 3600000;
        host.serve(one);
    }
    EXPECT_EQ(host.sizes().requests, 0u);
    EXPECT_EQ(host.sizes().deadlines, 0u);
}

// Guards against one client's long time-out that makes all other requests of its class look late: their
// latency target counted as long past, and with many requests open they were refused at once.
TEST(LongTimeouts, OfOneClientDoNotMakeTheRequestsOfOthersLate) {
    const auto refusedOf = [](bool withLongTimeout) {
        auto settings = settingsOfHost(1, 0);
        settings.maxOpen = 10;
        BoundedHost host(settings);
        auto longOne = request("long", "read", 0);
        longOne.ttlMs = 3600000;
        if (withLongTimeout) host.serve(longOne);
        std::vector<Event> events;
        for (std::size_t i = 0; i < 8; ++i) {
            auto one = request("usual-" + std::to_string(i), "read", 0);
            one.plan = "limited";
            one.volume = 8;
            events.push_back(one);
        }
        host.step(host.now + 5000, events);
        return host.refused;
    };
    EXPECT_EQ(refusedOf(true), refusedOf(false));
}

}  // namespace
}  // namespace spokewheel::testing
