#include "fuzz/driver.hpp"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

namespace {

// Applies one to six random mutations.
std::string mutate(std::string text, const std::vector<std::string>& seeds, std::mt19937_64& random) {
    const auto pick = [&random](std::size_t n) { return n ? static_cast<std::size_t>(random() % n) : 0; };
    for (auto count = 1 + pick(6); count > 0; --count) switch (pick(7)) {
            case 0:
                if (!text.empty()) text[pick(text.size())] = static_cast<char>(random());
                break;
            case 1:
                if (!text.empty()) text[pick(text.size())] ^= static_cast<char>(1 << pick(8));
                break;
            case 2:
                text.insert(pick(text.size() + 1), 1 + pick(4), static_cast<char>(random()));
                break;
            case 3:
                text.erase(pick(text.size() + 1), 1 + pick(8));
                break;
            case 4:
                text.resize(pick(text.size() + 1));
                break;
            case 5: {
                const auto& other = seeds[pick(seeds.size())];
                const auto at = pick(other.size() + 1);
                text.insert(pick(text.size() + 1), other, at, 1 + pick(64));
                break;
            }
            case 6: {  // bytes at the bounds of length encodings
                const char bounds[] = {'\0', '\x7f', '\xff', '\xfe', '\x80'};
                if (!text.empty()) text[pick(text.size())] = bounds[pick(5)];
                break;
            }
        }
    return text;
}

}  // namespace

// Arguments: directory of the seed inputs, number of mutated inputs, seed of the random generator.
int main(int argc, char** argv) {
    if (argc < 3) return std::fprintf(stderr, "usage: %s SEEDS RUNS [SEED]\n", argv[0]), 2;
    std::vector<std::string> seeds;
    for (const auto& file : std::filesystem::directory_iterator(argv[1])) {
        std::ifstream in(file.path(), std::ios::binary);
        seeds.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    }
    if (seeds.empty()) return std::fprintf(stderr, "no seeds in %s\n", argv[1]), 2;
    const auto run = [](const std::string& text) {
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
    };
    for (const auto& seed : seeds) run(seed);
    std::mt19937_64 random(argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 1);
    const long runs = std::atol(argv[2]);
    for (long i = 0; i < runs; ++i)
        run(mutate(seeds[static_cast<std::size_t>(random() % seeds.size())], seeds, random));
    std::printf("%zu seeds and %ld mutated inputs\n", seeds.size(), runs);
    return 0;
}
