// One version of one path of a volume, as it lies on a storage node: what is told of it in an object's
// metadata, and the pieces that hold a large one's content. Plain data and its text form; no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spokewheel::catalogue {

enum class Kind { File, Directory, Deleted };
// Inline: the object's body is the content. Manifest: its body lists the pieces.
enum class Layout { Inline, Manifest };

struct FileVersion {
    std::string path;
    Kind kind = Kind::File;
    Layout layout = Layout::Inline;
    std::uint64_t size = 0;
    std::int64_t mtime = 0;  // seconds since the epoch
    std::uint32_t nsec = 0, mode = 0644;
    std::uint64_t version = 0;  // grows by one over what it replaces
    std::string digest;         // xxh128 of the content, 32 hex digits; empty for what has none
    // Not part of the metadata: where it was found.
    std::string id;  // 32 hex digits
    int shard = -1;
};

// The metadata's text: form-encoded pairs in one header field.
std::string encode(const FileVersion& v);
std::optional<FileVersion> decode(std::string_view text);

struct Piece {
    int shard = -1;
    std::string object;  // target below the volume: "p/<id>" or "o/<id>"
    std::uint64_t size = 0;
    std::string digest;
};
constexpr std::size_t kMaxPieces = 1 << 18;
std::string encode(const std::vector<Piece>& pieces);
std::optional<std::vector<Piece>> decodePieces(std::string_view text, std::uint64_t size);

std::string xxh128Hex(std::string_view bytes);  // xxh128, 32 hex digits, high half first
// Names made from what they stand for, so that the same upload made again has the same name.
std::string versionId(std::string_view volume, const FileVersion& v);
std::string pieceId(std::string_view volume, std::string_view path, std::uint64_t version, std::size_t index,
                    std::string_view digest);

}  // namespace spokewheel::catalogue
