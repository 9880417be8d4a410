// Finds the blocks of the receiver's old version in the content of a file: the sender's half of the delta
// algorithm. Free of I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wire/rsync/tokens.hpp"

namespace spokewheel::wire::rsync {

// The block checksums that the receiver sent.
struct BlockSums {
    SumHead head;
    std::vector<std::uint32_t> rolling;
    std::string strong;  // head.sumBytes for each block
};

// Takes the content of a file in order and writes it as literals and block numbers. Holds at most one block
// and one literal run.
class BlockMatcher {
  public:
    BlockMatcher(BlockSums sums, SumKind kind, Md5 md5, std::int32_t seed, bool seedFirst);
    void feed(std::string_view bytes, TokenWriter& writer, std::string& out);
    // Writes what is still held, without the end token.
    void finish(TokenWriter& writer, std::string& out);
    // Whether the receiver has any blocks; without them all content is sent as literals.
    bool hasBlocks() const { return sums_.head.count > 0; }
    std::uint64_t matchedBytes() const { return matchedBytes_; }

  private:
    void scan(bool atEnd, TokenWriter& writer, std::string& out);
    std::int32_t findBlock(std::string_view window);
    std::size_t lengthOf(std::int32_t block) const;

    BlockSums sums_;
    SumKind kind_;
    Md5 md5_;
    std::int32_t seed_, expectedBlock_ = 0;  // expectedBlock_: the one after the last match
    bool seedFirst_, windowSummed_ = false;  // windowSummed_: rollingSum_ is that of the window
    std::unordered_multimap<std::uint32_t, std::int32_t> blocksByRollingSum_;
    std::string buffer_;           // bytes not yet written
    std::size_t windowStart_ = 0;  // in buffer_; the bytes before it are literals
    RollingSum rollingSum_;
    std::uint64_t matchedBytes_ = 0;
};

// The block length for a file: about the square root of its size, at least 700 bytes and at most what the
// protocol allows.
std::int32_t blockLength(std::uint64_t size);

}  // namespace spokewheel::wire::rsync
