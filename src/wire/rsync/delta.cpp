#include "wire/rsync/delta.hpp"

#include <algorithm>
#include <cmath>

namespace spokewheel::wire::rsync {
namespace {

constexpr std::size_t kMostLiteral = 32 * 1024;
constexpr int kMostTried =
    32;  // blocks with one rolling sum: many the same (zeros) must not cost a search each

}  // namespace

std::int32_t blockLength(std::uint64_t size) {
    const auto root = static_cast<std::int32_t>(std::sqrt(static_cast<double>(size)));
    return std::clamp((root + 7) / 8 * 8, 700, kMostBlock);
}

Matcher::Matcher(BlockSums sums, SumKind kind, Md5 md5, std::int32_t seed, bool seedFirst)
    : sums_(std::move(sums)), kind_(kind), md5_(md5), seed_(seed), seedFirst_(seedFirst) {
    for (std::size_t i = sums_.rolling.size(); i-- > 0;)
        index_.emplace(sums_.rolling[i], static_cast<std::int32_t>(i));
}

std::size_t Matcher::lengthOf(std::int32_t block) const {
    const auto& h = sums_.head;
    return static_cast<std::size_t>(block == h.count - 1 && h.remainder ? h.remainder : h.length);
}

std::int32_t Matcher::lookUp(std::string_view window) {
    const auto [first, last] = index_.equal_range(sum_.value());
    if (first == last) return -1;
    std::string strong;
    std::int32_t found = -1;
    int tried = 0;
    for (auto it = first; it != last && tried < kMostTried; ++it, ++tried) {
        const auto block = it->second;
        if (lengthOf(block) != window.size()) continue;
        if (strong.empty()) strong = blockSum(kind_, md5_, window, seed_, seedFirst_);
        const auto n = static_cast<std::size_t>(sums_.head.sumBytes);
        if (sums_.strong.compare(static_cast<std::size_t>(block) * n, n, strong, 0, n) != 0) continue;
        found = block;
        if (block == next_) break;  // runs of blocks in order are sent shortest
    }
    return found;
}

void Matcher::scan(bool last, TokenWriter& writer, std::string& out) {
    const auto full = static_cast<std::size_t>(std::max(1, sums_.head.length));
    for (;;) {
        const std::size_t left = held_.size() - window_;
        if (left == 0 || (left < full && !last)) break;
        const auto length = std::min(left, full);
        const auto window = std::string_view(held_).substr(window_, length);
        if (!rolling_) sum_.start(window);
        rolling_ = true;
        const auto block = lookUp(window);
        if (block >= 0) {
            writer.literal(out, std::string_view(held_).substr(0, window_));
            writer.block(out, block);
            matched_ += length;
            next_ = block + 1;
            held_.erase(0, window_ + length);
            window_ = 0;
            rolling_ = false;
            continue;
        }
        if (left > full) sum_.roll(held_[window_], held_[window_ + full], full);
        else if (last) sum_.drop(held_[window_], length);
        else break;  // the next byte is needed to roll on
        ++window_;
        if (window_ >= kMostLiteral) {
            writer.literal(out, std::string_view(held_).substr(0, window_));
            held_.erase(0, window_);
            window_ = 0;
        }
    }
}

void Matcher::feed(std::string_view bytes, TokenWriter& writer, std::string& out) {
    if (sums_.head.count == 0) return writer.literal(out, bytes);
    held_ += bytes;
    scan(false, writer, out);
}

void Matcher::finish(TokenWriter& writer, std::string& out) {
    scan(true, writer, out);
    writer.literal(out, held_);
    held_.clear();
    window_ = 0;
}

}  // namespace spokewheel::wire::rsync
