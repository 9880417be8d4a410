// The rsync codecs: the first byte picks one. What is read in parts must be what is read whole; what is read
// back after writing must be the same.
#include <cstdlib>

#include "fuzz/driver.hpp"
#include "wire/rsync/delta.hpp"
#include "wire/rsync/file_list.hpp"
#include "wire/rsync/mux.hpp"
#include "wire/rsync/options.hpp"

using namespace spokewheel::wire::rsync;

namespace {

std::string demuxed(std::string_view text, std::size_t step) {
    Demux d;
    std::string data;
    std::vector<Demux::Beside> beside;
    for (std::size_t at = 0; at < text.size(); at += step)
        if (!d.feed(text.substr(at, step), data, beside)) return data + "!" + d.error();
    for (const auto& b : beside) data += "|" + b.payload;
    return data;
}
std::string listed(std::string_view text, std::size_t step, bool varint) {
    ListForm form;
    form.varintFlags = varint;
    form.uids = form.gids = form.links = form.devices = form.specials = true;
    form.sumBytes = varint ? 16 : 0;
    ListReader r(form);
    std::string out, held;
    for (std::size_t at = 0; at < text.size(); at += step) {
        held += text.substr(at, step);
        std::string_view in = held;
        for (;;) {
            FileEntry e;
            const auto got = r.next(in, e);
            if (got == ListReader::Got::Bad) return out + "!";
            if (got == ListReader::Got::End) return out + "." + std::to_string(r.ioError());
            if (got == ListReader::Got::More) break;
            if (e.name.empty() || e.name.size() > kMostName) std::abort();
            faultOfName(e.name);
            sortKey(e);
            out += e.name + std::to_string(e.size) + "," + std::to_string(e.mode) + ";";
        }
        held = std::string(in);
    }
    return out;
}
std::string tokens(std::string_view text, std::size_t step, bool zstd) {
    TokenReader r(zstd);
    std::string out, held;
    for (std::size_t at = 0; at < text.size(); at += step) {
        held += text.substr(at, step);
        std::string_view in = held;
        for (;;) {
            const auto t = r.next(in);
            if (t.kind == Token::Kind::Bad) return out + "!";
            if (t.kind == Token::Kind::More) break;
            if (t.kind == Token::Kind::Literal) out += t.literal;
            else if (t.kind == Token::Kind::Block) out += "#" + std::to_string(t.block);
            else out += "|";
            if (out.size() > (16u << 20))
                return out;  // packed zeros unpack to much; that is not the matter here
        }
        held = std::string(in);
    }
    return out;
}
void same(const std::string& a, const std::string& b) {
    if (a != b) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) return 0;
    const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
    const auto whole = text.size() + 1;
    switch (data[0] % 6) {
        case 0:
            same(demuxed(text, whole), demuxed(text, 1));
            break;
        case 1:
            same(listed(text, whole, true), listed(text, 1, true));
            break;
        case 2:
            same(listed(text, whole, false), listed(text, 1, false));
            break;
        case 3:
            same(tokens(text, whole, false), tokens(text, 1, false));
            break;
        case 4:
            same(tokens(text, whole, true), tokens(text, 1, true));
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
            Filter f(Filter::Side::Receiver);
            for (const auto& a : arguments) f.add(a);
            f.excluded(text.substr(0, 200), false);
            Reader r(text);
            getSumHead(r);
            IndexCoder coder;
            for (int i = 0; i < 50 && r.enough() && !r.bad(); ++i) coder.get(r);
        }
    }
    return 0;
}
