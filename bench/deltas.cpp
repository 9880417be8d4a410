// The download that once hung, made over and over: two files of which the client has slightly older copies.
// `deltas ROUNDS` (1,000). Each run is bounded; told: how many ended, hung or came out different.
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
constexpr double kMostS = 30;
}  // namespace

int main(int argc, char** argv) {
    const int rounds = argc > 1 ? std::atoi(argv[1]) : 1000;
    const auto bin = fs::read_symlink("/proc/self/exe").parent_path().string();
    const auto directory = fs::temp_directory_path() / ("spokewheel-deltas-" + std::to_string(getpid()));
    int fine = 0, hung = 0, failed = 0, different = 0;
    {
        Fleet fleet(bin, (directory / "fleet").string());
        fleet.startNode(0, {});
        fleet.writeNodeList();
        fleet.startHost(0);
        std::mt19937 random(1);
        std::string noise(9000001, '\0'), lines;
        for (auto& c : noise) c = static_cast<char>(random());
        for (int i = 1; i <= 200000; ++i) lines += std::to_string(i) + "\n";
        fs::create_directories(directory / "up");
        const auto put = [&](const char* to, const char* name, const std::string& text, int second) {
            const auto file = directory / to / name;
            fs::create_directories(file.parent_path());
            writeFile(file.string(), text);
            fs::last_write_time(file, fs::file_time_type::clock::now() - std::chrono::seconds(second));
        };
        put("up", "noise", noise + "tail", 1000);
        put("up", "lines", "head" + lines, 1000);
        if (fleet.rsync({"-rt", (directory / "up/").string(), fleet.url(0, "maps/")}, 60).status != 0)
            return 1;
        for (int i = 0; i < rounds; ++i) {
            put("down", "noise", noise, 500000);
            put("down", "lines", lines, 500000);
            const auto r =
                fleet.rsync({"-rt", fleet.url(0, "maps/"), (directory / "down/").string()}, kMostS);
            const bool same = readFile((directory / "down/noise").string()) == noise + "tail" &&
                              readFile((directory / "down/lines").string()) == "head" + lines;
            if (r.status < 0) ++hung;
            else if (r.status != 0) ++failed;
            else if (!same) ++different;
            else ++fine;
            if ((i + 1) % 100 == 0) std::fprintf(stderr, "%d of %d\n", i + 1, rounds);
        }
    }
    fs::remove_all(directory);
    std::printf("%d runs: %d fine, %d hung, %d failed, %d different\n", rounds, fine, hung, failed,
                different);
    return fine == rounds && rounds > 0 ? 0 : 1;
}
