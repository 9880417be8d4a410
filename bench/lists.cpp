// How long building one session's file list blocks the thread: a list of 100,000 entries built from the
// catalogue in slices, compared with the same list built in a single step. Both are built in alternating
// rounds; prints the medians of the longest step and of the sum of all steps, and their ratios.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <limits>

#include "fronts/rsync/context.hpp"
#include "fronts/rsync/listing.hpp"

namespace {

using namespace spokewheel;
constexpr int kEntries = 100000, kDirectories = 1000, kRounds = 9;

struct BuildTimes {
    double longestMs = 0, sumMs = 0;  // of the steps
    std::size_t listed = 0;           // number of entries
};

BuildTimes build(const catalogue::Catalogue& catalogue, std::size_t slice) {
    using Clock = std::chrono::steady_clock;
    const std::string volume = "maps";
    wire::rsync::Options options;
    options.recurse = true;
    wire::rsync::Filter filter(wire::rsync::Filter::Side::Sender);
    fronts::rsync::ListBuilder builder(catalogue, volume, options,
                                       {fronts::rsync::parseModulePath(volume, "maps/")}, filter, 1000000);
    BuildTimes times;
    for (bool done = false; !done;) {
        const auto start = Clock::now();
        done = builder.step(slice);
        const double ms = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
        times.longestMs = std::max(times.longestMs, ms);
        times.sumMs += ms;
    }
    times.listed = builder.take().files.size();
    return times;
}

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

}  // namespace

int main() {
    catalogue::Catalogue catalogue;
    for (int i = 0; i < kEntries; ++i) {
        catalogue::FileVersion file;
        file.path = "d" + std::to_string(i * 7919 % kDirectories) + "/some-file-name-" + std::to_string(i);
        file.id = std::to_string(i);
        file.version = 1;
        file.size = 1000;
        catalogue.addVersion("maps", std::move(file));
    }
    std::vector<double> longestMs[2], sumMs[2];  // in slices; in a single step
    bool complete = true;
    for (int round = 0; round < kRounds; ++round)
        for (int singleStep = 0; singleStep < 2; ++singleStep) {
            const auto times = build(catalogue, singleStep ? std::numeric_limits<std::size_t>::max() / 8
                                                           : fronts::rsync::kListSlice);
            longestMs[singleStep].push_back(times.longestMs);
            sumMs[singleStep].push_back(times.sumMs);
            complete = complete && times.listed == kEntries + kDirectories + 1;
        }
    std::printf(
        "%d entries: in slices longest step %.2f ms (max %.2f), sum %.1f ms; in a single step %.1f ms; ratio "
        "of "
        "the longest steps %.3f, of the sums %.2f\n",
        kEntries, median(longestMs[0]), *std::max_element(longestMs[0].begin(), longestMs[0].end()),
        median(sumMs[0]), median(sumMs[1]), median(longestMs[0]) / median(longestMs[1]),
        median(sumMs[0]) / median(sumMs[1]));
    return complete ? 0 : 1;
}
