// Finds blocks that the other side has in a stream of bytes (the sender's half of the delta). No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wire/rsync/tokens.hpp"

namespace spokewheel::wire::rsync {

struct BlockSums {
    SumHead head;
    std::vector<std::uint32_t> rolling;
    std::string strong;  // head.sumBytes for each block
};

// Fed a file's bytes in order, it writes literals and blocks. Holds at most one block and one literal run.
class Matcher {
  public:
    Matcher(BlockSums sums, SumKind kind, Md5 md5, std::int32_t seed, bool seedFirst);
    void feed(std::string_view bytes, TokenWriter& writer, std::string& out);
    void finish(TokenWriter& writer, std::string& out);    // without the end token
    bool matches() const { return sums_.head.count > 0; }  // whether there is anything to find
    std::uint64_t matched() const { return matched_; }

  private:
    void scan(bool last, TokenWriter& writer, std::string& out);
    std::int32_t lookUp(std::string_view window);
    std::size_t lengthOf(std::int32_t block) const;

    BlockSums sums_;
    SumKind kind_;
    Md5 md5_;
    std::int32_t seed_, next_ = 0;
    bool seedFirst_, rolling_ = false;
    std::unordered_multimap<std::uint32_t, std::int32_t> index_;
    std::string held_;        // bytes not yet written
    std::size_t window_ = 0;  // where the window starts in held_; before it are literals
    Rolling sum_;
    std::uint64_t matched_ = 0;
};

// The block length for a file: about the square root of its size, between 700 bytes and the protocol's most.
std::int32_t blockLength(std::uint64_t size);

}  // namespace spokewheel::wire::rsync
