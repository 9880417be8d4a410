#include "wire/rsync/delta.hpp"

#include <algorithm>
#include <cmath>

namespace spokewheel::wire::rsync {
namespace {

constexpr std::size_t kMaxLiteralBytes = 32 * 1024;
// Blocks considered per rolling sum: many equal blocks (of zeros) must not cost a long search per byte.
constexpr int kMaxCandidates = 32;

}  // namespace

std::int32_t blockLength(std::uint64_t size) {
    const auto root = static_cast<std::int32_t>(std::sqrt(static_cast<double>(size)));
    return std::clamp((root + 7) / 8 * 8, 700, kMaxBlockBytes);
}

BlockMatcher::BlockMatcher(BlockSums sums, SumKind kind, Md5 md5, std::int32_t seed, bool seedFirst)
    : sums_(std::move(sums)), kind_(kind), md5_(md5), seed_(seed), seedFirst_(seedFirst) {
    for (std::size_t i = sums_.rolling.size(); i-- > 0;)
        blocksByRollingSum_.emplace(sums_.rolling[i], static_cast<std::int32_t>(i));
}

std::size_t BlockMatcher::lengthOf(std::int32_t block) const {
    const auto& h = sums_.head;
    return static_cast<std::size_t>(block == h.count - 1 && h.remainder ? h.remainder : h.length);
}

std::int32_t BlockMatcher::findBlock(std::string_view window) {
    const auto [first, last] = blocksByRollingSum_.equal_range(rollingSum_.value());
    if (first == last) return -1;
    std::string strong;
    std::int32_t found = -1;
    int candidates = 0;
    for (auto it = first; it != last && candidates < kMaxCandidates; ++it, ++candidates) {
        const auto block = it->second;
        if (lengthOf(block) != window.size()) continue;
        if (strong.empty()) strong = blockSum(kind_, md5_, window, seed_, seedFirst_);
        const auto n = static_cast<std::size_t>(sums_.head.sumBytes);
        if (sums_.strong.compare(static_cast<std::size_t>(block) * n, n, strong, 0, n) != 0) continue;
        found = block;
        if (block == expectedBlock_) break;  // consecutive blocks have the shortest encoding
    }
    return found;
}

void BlockMatcher::scan(bool atEnd, TokenWriter& writer, std::string& out) {
    const auto full = static_cast<std::size_t>(std::max(1, sums_.head.length));
    for (;;) {
        const std::size_t left = buffer_.size() - windowStart_;
        if (left == 0 || (left < full && !atEnd)) break;
        const auto length = std::min(left, full);
        const auto window = std::string_view(buffer_).substr(windowStart_, length);
        if (!windowSummed_) rollingSum_.start(window);
        windowSummed_ = true;
        const auto block = findBlock(window);
        if (block >= 0) {
            writer.literal(out, std::string_view(buffer_).substr(0, windowStart_));
            writer.block(out, block);
            matchedBytes_ += length;
            expectedBlock_ = block + 1;
            buffer_.erase(0, windowStart_ + length);
            windowStart_ = 0;
            windowSummed_ = false;
            continue;
        }
        if (left > full) rollingSum_.roll(buffer_[windowStart_], buffer_[windowStart_ + full], full);
        else if (atEnd) rollingSum_.shrink(buffer_[windowStart_], length);
        else break;  // rolling needs the next byte
        ++windowStart_;
        if (windowStart_ >= kMaxLiteralBytes) {
            writer.literal(out, std::string_view(buffer_).substr(0, windowStart_));
            buffer_.erase(0, windowStart_);
            windowStart_ = 0;
        }
    }
}

void BlockMatcher::feed(std::string_view bytes, TokenWriter& writer, std::string& out) {
    if (sums_.head.count == 0) return writer.literal(out, bytes);
    buffer_ += bytes;
    scan(false, writer, out);
}

void BlockMatcher::finish(TokenWriter& writer, std::string& out) {
    scan(true, writer, out);
    writer.literal(out, buffer_);
    buffer_.clear();
    windowStart_ = 0;
}

}  // namespace spokewheel::wire::rsync
