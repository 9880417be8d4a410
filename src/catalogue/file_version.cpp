#include "catalogue/file_version.hpp"

#include <xxhash.h>

#include <charconv>
#include <cstdio>

#include "catalogue/fields.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::catalogue {
namespace {

using wire::http::percentDecode;
using wire::http::percentEncode;

template <class T>
bool parseNumber(std::string_view text, T& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && error == std::errc() && end == text.data() + text.size();
}
bool isHex(std::string_view text, std::size_t n) {
    return text.size() == n && text.find_first_not_of("0123456789abcdef") == text.npos;
}
std::string hexOf(XXH128_hash_t h) {
    char out[33];
    std::snprintf(out, sizeof out, "%016llx%016llx", static_cast<unsigned long long>(h.high64),
                  static_cast<unsigned long long>(h.low64));
    return out;
}

}  // namespace

std::string encode(const FileVersion& v) {
    const char* kinds[] = {"file", "directory", "gone"};
    std::string out = "f=1&kind=";
    out += kinds[static_cast<int>(v.kind)];
    if (v.layout == Layout::Manifest) out += "&layout=manifest";
    out += "&size=" + std::to_string(v.size) + "&mtime=" + std::to_string(v.mtime);
    if (v.nsec) out += "&nsec=" + std::to_string(v.nsec);
    out += "&mode=" + std::to_string(v.mode) + "&version=" + std::to_string(v.version);
    if (!v.digest.empty()) out += "&digest=" + v.digest;
    return out + "&path=" + percentEncode(v.path, true);
}

std::optional<FileVersion> decode(std::string_view text) {
    FileVersion v;
    bool supported = false;
    while (!text.empty()) {
        auto value = nextField(text, '&');
        const auto name = nextField(value, '=');
        bool valid = true;
        if (name == "f") supported = value == "1", valid = supported;
        else if (name == "kind") {
            valid = value == "file" || value == "directory" || value == "gone";
            v.kind = value == "file" ? Kind::File : value == "gone" ? Kind::Deleted : Kind::Directory;
        } else if (name == "layout") {
            valid = value == "manifest";
            v.layout = Layout::Manifest;
        } else if (name == "size") valid = parseNumber(value, v.size);
        else if (name == "mtime") valid = parseNumber(value, v.mtime);
        else if (name == "nsec") valid = parseNumber(value, v.nsec) && v.nsec < 1000000000;
        else if (name == "mode") valid = parseNumber(value, v.mode);
        else if (name == "version") valid = parseNumber(value, v.version);
        else if (name == "digest") valid = isHex(value, 32), v.digest = value;
        else if (name == "path") {
            const auto path = percentDecode(value);
            valid = path.has_value();
            if (valid) v.path = *path;
        }  // unknown names come from later extensions of this format and are ignored
        if (!valid) return std::nullopt;
    }
    if (!supported || v.path.empty() || v.version == 0) return std::nullopt;
    return v;
}

std::string encode(const std::vector<Piece>& pieces) {
    std::string out = "pieces 1\n";
    for (const auto& p : pieces)
        out +=
            std::to_string(p.shard) + " " + p.object + " " + std::to_string(p.size) + " " + p.digest + "\n";
    return out;
}

std::optional<std::vector<Piece>> decodePieces(std::string_view text, std::uint64_t size) {
    if (nextField(text, '\n') != "pieces 1") return std::nullopt;
    std::vector<Piece> out;
    std::uint64_t sum = 0;
    while (!text.empty()) {
        auto line = nextField(text, '\n');
        Piece p;
        const bool shard = parseNumber(nextField(line, ' '), p.shard);
        p.object = nextField(line, ' ');
        const bool validName = (p.object.rfind("p/", 0) == 0 || p.object.rfind("o/", 0) == 0) &&
                               isHex(std::string_view(p.object).substr(2), 32);
        const bool valid = shard && validName && parseNumber(nextField(line, ' '), p.size) && isHex(line, 32);
        if (!valid || out.size() >= kMaxPieces || p.size > size - sum) return std::nullopt;
        p.digest = line;
        sum += p.size;
        out.push_back(std::move(p));
    }
    if (sum != size) return std::nullopt;
    return out;
}

std::string xxh128Hex(std::string_view bytes) { return hexOf(XXH3_128bits(bytes.data(), bytes.size())); }

std::string versionId(std::string_view volume, const FileVersion& v) {
    return xxh128Hex(std::string(volume) + "\n" + encode(v));
}
std::string pieceId(std::string_view volume, std::string_view path, std::uint64_t version, std::size_t index,
                    std::string_view digest) {
    std::string text(volume);
    text.append("\n").append(path).append("\n").append(std::to_string(version));
    text.append("\n").append(std::to_string(index)).append("\n").append(digest);
    return xxh128Hex(text);
}

}  // namespace spokewheel::catalogue
