// Uploads and downloads one file of 4 GiB and a tree of 100,000 files with the stock rsync client. The exit
// status is 0 if the copies are identical and the daemon's peak memory stays below 200 MiB. Uses about 9 GiB
// of disk space temporarily.
#include <unistd.h>

#include <cstdio>
#include <filesystem>

#include "kit/fleet.hpp"
#include "kit/rsync_client.hpp"

namespace {

using namespace spokewheel::kit;
namespace fs = std::filesystem;
constexpr long kMaxMemoryKiB = 200 * 1024;

// Uploads `work`/up, downloads it and compares; then removes both copies. Whether all went well.
bool copyThereAndBack(Fleet& fleet, const std::string& work, const char* what) {
    const auto timed = [&](const std::vector<std::string>& args) {  // seconds; -1: rsync failed
        const auto startUs = monotonicUs();
        const auto run = fleet.rsync(args, 250);
        if (run.status != 0) std::printf("%s", run.output.c_str());
        return run.status == 0 ? static_cast<double>(monotonicUs() - startUs) / 1e6 : -1;
    };
    const double up = timed({"-rt", work + "/up/", fleet.url(0, "maps/")});
    const double down = timed({"-rt", fleet.url(0, "maps/"), work + "/down/"});
    const bool same = runCommand({"diff", "-r", work + "/up", work + "/down"}, 250).status == 0;
    const long peakKiB = fleet.residentPeakKiB(0);
    std::printf("%s: up %.1f s, down %.1f s, %s, peak memory %ld KiB\n", what, up, down,
                same ? "identical" : "NOT identical", peakKiB);
    fs::remove_all(work + "/up");
    fs::remove_all(work + "/down");
    return up >= 0 && down >= 0 && same && peakKiB < kMaxMemoryKiB;
}

}  // namespace

int main() {
    const auto binDir = fs::read_symlink("/proc/self/exe").parent_path().string();
    const auto work = (fs::temp_directory_path() / ("spokewheel-sizes-" + std::to_string(getpid()))).string();
    bool passed = true;
    for (const bool large : {true, false}) {
        Fleet fleet(binDir, work + "/fleet");
        for (int n = 0; n < 3; ++n) fleet.startNode(n, {n, {}});
        fleet.writeNodeList();
        HostOptions options;
        options.logLevel = "info";
        fleet.startHost(0, 1, options);
        fs::create_directories(work + "/up");
        if (large) {
            // Each offset that is a multiple of 100,003 holds itself as text, which exposes misplaced pieces.
            // The rest is a hole that reads as zeros.
            writeFile(work + "/up/large", "begin");
            fs::resize_file(work + "/up/large", std::uint64_t(4) << 30);
            std::FILE* file = std::fopen((work + "/up/large").c_str(), "r+b");
            for (long offset = 0; file && offset < (4L << 30); offset += 100003)
                if (std::fseek(file, offset, SEEK_SET) == 0) std::fprintf(file, "%ld", offset);
            if (file) std::fclose(file);
        }
        for (int i = 0; !large && i < 100000; ++i) {
            const auto dir = work + "/up/d" + std::to_string(i / 1000);
            fs::create_directories(dir);
            writeFile(dir + "/f" + std::to_string(i), std::to_string(i));
        }
        passed = copyThereAndBack(fleet, work, large ? "one file of 4 GiB" : "100,000 files") && passed;
    }
    fs::remove_all(work);
    return passed ? 0 : 1;
}
