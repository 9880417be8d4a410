// How long one session's list holds up the thread: a list of 100,000 entries built from the catalogue in
// slices, and in one go. Told: the longest step and the sum of steps of each, and their ratios; in one run,
// turn about, the middle of the rounds.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <limits>

#include "fronts/rsync/context.hpp"
#include "fronts/rsync/listing.hpp"

namespace {

using namespace spokewheel;
constexpr int kEntries = 100000, kDirectories = 1000, kRounds = 9;

struct Took {
    double longest = 0, sum = 0;
    std::size_t listed = 0;
};

Took build(const catalogue::Catalogue& known, std::size_t slice) {
    using Clock = std::chrono::steady_clock;
    const std::string volume = "maps";
    wire::rsync::Options options;
    options.recurse = true;
    wire::rsync::Filter filter(wire::rsync::Filter::Side::Sender);
    fronts::rsync::ListBuilder builder(known, volume, options,
                                       {fronts::rsync::parseModulePath(volume, "maps/")}, filter, 1000000);
    Took out;
    for (bool done = false; !done;) {
        const auto from = Clock::now();
        done = builder.step(slice);
        const double ms = std::chrono::duration<double, std::milli>(Clock::now() - from).count();
        out.longest = std::max(out.longest, ms);
        out.sum += ms;
    }
    out.listed = builder.take().files.size();
    return out;
}

double middle(std::vector<double> all) {
    std::sort(all.begin(), all.end());
    return all[all.size() / 2];
}

}  // namespace

int main() {
    catalogue::Catalogue known;
    for (int i = 0; i < kEntries; ++i) {
        catalogue::FileVersion v;
        v.path = "d" + std::to_string(i * 7919 % kDirectories) + "/some-file-name-" + std::to_string(i);
        v.id = std::to_string(i);
        v.version = 1;
        v.size = 1000;
        known.addVersion("maps", std::move(v));
    }
    std::vector<double> longest[2], sum[2];
    bool same = true;
    for (int round = 0; round < kRounds; ++round)
        for (int whole = 0; whole < 2; ++whole) {
            const auto t =
                build(known, whole ? std::numeric_limits<std::size_t>::max() / 8 : fronts::rsync::kListSlice);
            longest[whole].push_back(t.longest);
            sum[whole].push_back(t.sum);
            same = same && t.listed == kEntries + kDirectories + 1;
        }
    std::printf(
        "%d entries: in slices longest %.2f ms (%.2f at most), sum %.1f ms; in one go %.1f ms; longest step "
        "%.3f of it, sum %.2f\n",
        kEntries, middle(longest[0]), *std::max_element(longest[0].begin(), longest[0].end()), middle(sum[0]),
        middle(sum[1]), middle(longest[0]) / middle(longest[1]), middle(sum[0]) / middle(sum[1]));
    return same ? 0 : 1;
}
