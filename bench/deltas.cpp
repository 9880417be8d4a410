// Regression check for a download that used to hang: two files of which the client has slightly older copies,
// so that both are sent as deltas. Usage: deltas [ROUNDS], 1,000 by default. Each download has a time limit.
// Prints how many succeeded, hung, failed or produced different content; the exit status is 0 if all
// succeeded.
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>

#include "kit/fleet.hpp"
#include "kit/rsync_client.hpp"

namespace {
using namespace spokewheel::kit;
namespace fs = std::filesystem;
constexpr double kTimeoutS = 30;  // of one download; one that takes longer counts as hung
}  // namespace

int main(int argc, char** argv) {
    const int rounds = argc > 1 ? std::atoi(argv[1]) : 1000;
    const auto binDir = fs::read_symlink("/proc/self/exe").parent_path().string();
    const auto directory = fs::temp_directory_path() / ("spokewheel-deltas-" + std::to_string(getpid()));
    int succeeded = 0, hung = 0, failed = 0, different = 0;
    {
        Fleet fleet(binDir, (directory / "fleet").string());
        fleet.startNode(0, {});
        fleet.writeNodeList();
        fleet.startHost(0);
        std::mt19937 random(1);
        std::string noise(9000001, '\0'), lines;
        for (auto& byte : noise) byte = static_cast<char>(random());
        for (int i = 1; i <= 200000; ++i) lines += std::to_string(i) + "\n";
        fs::create_directories(directory / "up");
        const auto put = [&](const char* to, const char* name, const std::string& text, int ageS) {
            const auto file = directory / to / name;
            fs::create_directories(file.parent_path());
            writeFile(file.string(), text);
            fs::last_write_time(file, fs::file_time_type::clock::now() - std::chrono::seconds(ageS));
        };
        put("up", "noise", noise + "tail", 1000);
        put("up", "lines", "head" + lines, 1000);
        if (fleet.rsync({"-rt", (directory / "up/").string(), fleet.url(0, "maps/")}, 60).status != 0)
            return 1;
        for (int i = 0; i < rounds; ++i) {
            put("down", "noise", noise, 500000);
            put("down", "lines", lines, 500000);
            const auto download =
                fleet.rsync({"-rt", fleet.url(0, "maps/"), (directory / "down/").string()}, kTimeoutS);
            const bool same = readFile((directory / "down/noise").string()) == noise + "tail" &&
                              readFile((directory / "down/lines").string()) == "head" + lines;
            if (download.status < 0) ++hung;
            else if (download.status != 0) ++failed;
            else if (!same) ++different;
            else ++succeeded;
            if ((i + 1) % 100 == 0) std::fprintf(stderr, "%d of %d\n", i + 1, rounds);
        }
    }
    fs::remove_all(directory);
    std::printf("%d downloads: %d succeeded, %d hung, %d failed, %d with different content\n", rounds,
                succeeded, hung, failed, different);
    return succeeded == rounds && rounds > 0 ? 0 : 1;
}
