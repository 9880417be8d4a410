// Fuzzes the rsync decoders; the first byte selects one. For streams, the results for the whole input and for
// single bytes must be equal.
#include <cstdlib>

#include "fuzz/driver.hpp"
#include "wire/rsync/delta.hpp"
#include "wire/rsync/file_list.hpp"
#include "wire/rsync/mux.hpp"
#include "wire/rsync/options.hpp"

using namespace spokewheel::wire::rsync;

namespace {

std::string demultiplex(std::string_view text, std::size_t step) {
    Demux demux;
    std::string data;
    std::vector<Demux::Message> messages;
    for (std::size_t at = 0; at < text.size(); at += step)
        if (!demux.feed(text.substr(at, step), data, messages)) return data + "!" + demux.error();
    for (const auto& message : messages) data += "|" + message.payload;
    return data;
}
std::string readFileList(std::string_view text, std::size_t step, bool varint) {
    ListForm form;
    form.varintFlags = varint;
    form.uids = form.gids = form.links = form.devices = form.specials = true;
    form.sumBytes = varint ? 16 : 0;
    ListReader reader(form);
    std::string out, pending;
    for (std::size_t at = 0; at < text.size(); at += step) {
        pending += text.substr(at, step);
        std::string_view in = pending;
        for (;;) {
            FileEntry entry;
            const auto result = reader.next(in, entry);
            if (result == ListReader::Result::Invalid) return out + "!";
            if (result == ListReader::Result::End) return out + "." + std::to_string(reader.ioError());
            if (result == ListReader::Result::NeedMore) break;
            if (entry.name.empty() || entry.name.size() > kMaxPathBytes) std::abort();
            invalidNameReason(entry.name);
            sortKey(entry);
            out += entry.name + std::to_string(entry.size) + "," + std::to_string(entry.mode) + ";";
        }
        pending = std::string(in);
    }
    return out;
}
std::string readTokens(std::string_view text, std::size_t step, bool zstd) {
    TokenReader reader(zstd);
    std::string out, pending;
    for (std::size_t at = 0; at < text.size(); at += step) {
        pending += text.substr(at, step);
        std::string_view in = pending;
        for (;;) {
            const auto token = reader.next(in);
            if (token.kind == Token::Kind::Invalid) return out + "!";
            if (token.kind == Token::Kind::NeedMore) break;
            if (token.kind == Token::Kind::Literal) out += token.literal;
            else if (token.kind == Token::Kind::Block) out += "#" + std::to_string(token.block);
            else out += "|";
            if (out.size() > (16u << 20))
                return out;  // zeros decompress to a lot of output, which is not what is tested
        }
        pending = std::string(in);
    }
    return out;
}
void requireEqual(const std::string& a, const std::string& b) {
    if (a != b) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) return 0;
    const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
    const auto whole = text.size() + 1;
    switch (data[0] % 6) {
        case 0:
            requireEqual(demultiplex(text, whole), demultiplex(text, 1));
            break;
        case 1:
            requireEqual(readFileList(text, whole, true), readFileList(text, 1, true));
            break;
        case 2:
            requireEqual(readFileList(text, whole, false), readFileList(text, 1, false));
            break;
        case 3:
            requireEqual(readTokens(text, whole, false), readTokens(text, 1, false));
            break;
        case 4:
            requireEqual(readTokens(text, whole, true), readTokens(text, 1, true));
            break;
        case 5: {
            std::vector<std::string> arguments;
            for (std::size_t at = 0; at < text.size();) {
                const auto end = std::min(text.find('\0', at), text.size());
                arguments.emplace_back(text.substr(at, end - at));
                at = end + 1;
            }
            parseOptions(arguments);
            parseGreeting(text);
            Filter filter(Filter::Side::Receiver);
            for (const auto& a : arguments) filter.add(a);
            filter.excluded(text.substr(0, 200), false);
            Reader reader(text);
            getSumHead(reader);
            IndexCoder coder;
            for (int i = 0; i < 50 && reader.complete() && !reader.failed(); ++i) coder.get(reader);
        }
    }
    return 0;
}
