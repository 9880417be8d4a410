#include "catalogue/file_version.hpp"

#include <xxhash.h>

#include <charconv>
#include <cstdio>

#include "catalogue/fields.hpp"
#include "wire/http/message.hpp"

namespace spokewheel::catalogue {
namespace {

using wire::http::escape;
using wire::http::unescape;

template <class T>
bool number(std::string_view text, T& value) {
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
    return out + "&path=" + escape(v.path, true);
}

std::optional<FileVersion> decode(std::string_view text) {
    FileVersion v;
    bool form = false;
    while (!text.empty()) {
        auto value = nextField(text, '&');
        const auto name = nextField(value, '=');
        bool fine = true;
        if (name == "f") form = value == "1", fine = form;
        else if (name == "kind") {
            fine = value == "file" || value == "directory" || value == "gone";
            v.kind = value == "file" ? Kind::File : value == "gone" ? Kind::Deleted : Kind::Directory;
        } else if (name == "layout") {
            fine = value == "manifest";
            v.layout = Layout::Manifest;
        } else if (name == "size") fine = number(value, v.size);
        else if (name == "mtime") fine = number(value, v.mtime);
        else if (name == "nsec") fine = number(value, v.nsec) && v.nsec < 1000000000;
        else if (name == "mode") fine = number(value, v.mode);
        else if (name == "version") fine = number(value, v.version);
        else if (name == "digest") fine = isHex(value, 32), v.digest = value;
        else if (name == "path") {
            const auto path = unescape(value);
            fine = path.has_value();
            if (fine) v.path = *path;
        }  // others: of a later form of this version, passed over
        if (!fine) return std::nullopt;
    }
    if (!form || v.path.empty() || v.version == 0) return std::nullopt;
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
        const bool shard = number(nextField(line, ' '), p.shard);
        p.object = nextField(line, ' ');
        const bool known = (p.object.rfind("p/", 0) == 0 || p.object.rfind("o/", 0) == 0) &&
                           isHex(std::string_view(p.object).substr(2), 32);
        const bool fine = shard && known && number(nextField(line, ' '), p.size) && isHex(line, 32);
        if (!fine || out.size() >= kMaxPieces || p.size > size - sum) return std::nullopt;
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
