// One file of 4 GiB and a tree of 100,000 files, up and down by the stock client: equal byte for byte, and
// the daemon's peak memory under 200 MiB. Takes some 9 GiB of disk for a while. Exit status tells the
// verdict.
#include <unistd.h>

#include <cstdio>
#include <filesystem>

#include "kit/fleet.hpp"
#include "kit/rsync_client.hpp"

namespace {

using namespace spokewheel::kit;
namespace fs = std::filesystem;
constexpr long kMostKiB = 200 * 1024;

bool there(Fleet& fleet, const std::string& work, const char* what) {
    const auto timed = [&](const std::vector<std::string>& args) {
        const auto from = monotonicUs();
        const auto r = fleet.rsync(args, 250);
        if (r.status != 0) std::printf("%s", r.output.c_str());
        return r.status == 0 ? static_cast<double>(monotonicUs() - from) / 1e6 : -1;
    };
    const double up = timed({"-rt", work + "/up/", fleet.url(0, "maps/")});
    const double down = timed({"-rt", fleet.url(0, "maps/"), work + "/down/"});
    const bool same = runCommand({"diff", "-r", work + "/up", work + "/down"}, 250).status == 0;
    const long peak = fleet.residentPeakKiB(0);
    std::printf("%s: up %.1f s, down %.1f s, %s, peak memory %ld KiB\n", what, up, down,
                same ? "the same" : "NOT the same", peak);
    fs::remove_all(work + "/up");
    fs::remove_all(work + "/down");
    return up >= 0 && down >= 0 && same && peak < kMostKiB;
}

}  // namespace

int main() {
    const auto bin = fs::read_symlink("/proc/self/exe").parent_path().string();
    const auto work = (fs::temp_directory_path() / ("spokewheel-sizes-" + std::to_string(getpid()))).string();
    bool fine = true;
    for (const bool large : {true, false}) {
        Fleet fleet(bin, work + "/fleet");
        for (int n = 0; n < 3; ++n) fleet.startNode(n, {n, {}});
        fleet.writeNodeList();
        HostOptions o;
        o.logLevel = "info";
        fleet.startHost(0, 1, o);
        fs::create_directories(work + "/up");
        if (large) {
            // Numbers all along, so that a piece in the wrong place shows; the rest is a hole that reads as
            // zeros.
            writeFile(work + "/up/large", "begin");
            fs::resize_file(work + "/up/large", std::uint64_t(4) << 30);
            std::FILE* f = std::fopen((work + "/up/large").c_str(), "r+b");
            for (long at = 0; f && at < (4L << 30); at += 100003)
                if (std::fseek(f, at, SEEK_SET) == 0) std::fprintf(f, "%ld", at);
            if (f) std::fclose(f);
        }
        for (int i = 0; !large && i < 100000; ++i) {
            const auto dir = work + "/up/d" + std::to_string(i / 1000);
            fs::create_directories(dir);
            writeFile(dir + "/f" + std::to_string(i), std::to_string(i));
        }
        fine = there(fleet, work, large ? "one file of 4 GiB" : "100,000 files") && fine;
    }
    fs::remove_all(work);
    return fine ? 0 : 1;
}
