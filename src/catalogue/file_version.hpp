// One version of a path in a volume, as stored on a storage node: the metadata of its object, and the pieces
// that hold the content of a large file. Plain data and its text formats; no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spokewheel::catalogue {

// Deleted marks a path that was removed.
enum class Kind { File, Directory, Deleted };
// Inline: the body of the object is the file content. Manifest: the body lists the pieces.
enum class Layout { Inline, Manifest };

struct FileVersion {
    std::string path;
    Kind kind = Kind::File;
    Layout layout = Layout::Inline;
    std::uint64_t size = 0;
    std::int64_t mtime = 0;  // seconds since the Unix epoch
    std::uint32_t nsec = 0, mode = 0644;
    std::uint64_t version = 0;  // one more than the version it replaces
    std::string digest;         // xxh128 of the content, 32 hex digits; empty if there is no content
    // Not part of the metadata: the id of its object and the shard that it is stored on.
    std::string id;  // 32 hex digits
    int shard = -1;
};

// The text format of the metadata: form-encoded pairs, the value of one header field. decode() ignores
// unknown names and returns nullopt for invalid text.
std::string encode(const FileVersion& v);
std::optional<FileVersion> decode(std::string_view text);

struct Piece {
    int shard = -1;
    std::string object;  // object name within the volume: "p/<id>" or "o/<id>"
    std::uint64_t size = 0;
    std::string digest;
};
constexpr std::size_t kMaxPieces = 1 << 18;
// The text format of a manifest.
std::string encode(const std::vector<Piece>& pieces);
// Returns nullopt if the text is invalid or the sizes of the pieces do not add up to `size`.
std::optional<std::vector<Piece>> decodePieces(std::string_view text, std::uint64_t size);

std::string xxh128Hex(std::string_view bytes);  // 32 hex digits, high half first
// Object ids derived from what they identify, so that a repeated upload gets the same id.
std::string versionId(std::string_view volume, const FileVersion& v);
std::string pieceId(std::string_view volume, std::string_view path, std::uint64_t version, std::size_t index,
                    std::string_view digest);

}  // namespace spokewheel::catalogue
