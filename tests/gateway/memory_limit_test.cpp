// Real scheduler processes whose clients together send more than the memory limit holds.
//
// The fault that these tests guard against: bodies that were being read and those of open requests were in no
// account of memory, and each connection could always keep 32 KiB more behind its open request. So memory
// grew with the number of descriptors whatever the limit was: 222 clients with uploads of 64 KiB took a
// scheduler over 32 MiB, and the platform killed it. See docs/incidents/2026-12-04-memory-of-uploads.md.
#include "single_scheduler.hpp"

namespace spokewheel::soak {
namespace {

struct Limits {
    std::size_t memoryMb, sockets;
    std::size_t uploadBytes;  // of each body
    int uploads;              // that each client sends at once
    bool whole;               // whether the last one is sent to its end
};
void PrintTo(const Limits& limits, std::ostream* out) {
    *out << limits.memoryMb << "MiB_" << limits.sockets << "sockets_" << limits.uploads << "x"
         << limits.uploadBytes << (limits.whole ? "" : "_cut");
}

class MemoryLimit : public SingleScheduler, public ::testing::WithParamInterface<Limits> {
  protected:
    void SetUp() override {
        options.settings.memoryMb = GetParam().memoryMb;
        options.settings.sockets = GetParam().sockets;
        for (auto& requestClass : options.settings.classes) requestClass.deadlineMs = 4000;
        startProcess("memory");
    }
};

// Clients that hold a third of the descriptors send uploads at once, and a usual client sends small ones
// meanwhile: the process stays within its limit, and each of the usual client's uploads is answered in time.
TEST_P(MemoryLimit, HoldsWhateverClientsSendAtOnce) {
    const auto& param = GetParam();
    server->setMode(DiskServer::Mode::Hanging);  // nothing is answered before its time is up
    auto usual = connect();
    std::size_t sent = 0;
    const auto sendSmall = [&] {
        usual->connection->write(upload(2000));
        ++sent;
    };
    const auto answers = [&] { return usual->answers(); };
    for (std::size_t i = 0; i + 1 < param.sockets / 3 && process->running(); ++i) {
        std::string text;
        for (int n = 0; n < param.uploads; ++n) text += upload(param.uploadBytes);
        if (!param.whole) text.resize(text.size() - 100);
        clients.push_back(connect());
        clients.back()->connection->write(text);
        runFor(2);
    }
    server->setMode(DiskServer::Mode::Serving);
    server->setInstant(true);
    for (int i = 0; i < 10 && process->running(); ++i) {
        sendSmall();
        runUntil(4500, [&] { return answers() == sent || usual->ended; });
        if (usual->ended) usual = connect(), sent = answers();
    }
    EXPECT_EQ(answers(), sent) << "answers of the usual client";
    ASSERT_TRUE(process->running());
    RecordProperty("taken_mb", std::to_string(takenMb()));
    EXPECT_LT(takenMb(), static_cast<double>(param.memoryMb));
}

INSTANTIATE_TEST_SUITE_P(Sizes, MemoryLimit,
                         ::testing::Values(Limits{32, 672, 64 * 1024, 8, false},
                                           Limits{32, 1024, 64 * 1024, 8, false},
                                           Limits{48, 1024, 64 * 1024, 8, true},
                                           Limits{32, 1024, 64 * 1024, 1, false},
                                           Limits{32, 1024, 12000, 40, true}),
                         ::testing::PrintToStringParamName());

}  // namespace
}  // namespace spokewheel::soak
