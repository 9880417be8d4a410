#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "wire/rsync/delta.hpp"
#include "wire/rsync/file_list.hpp"
#include "wire/rsync/mux.hpp"
#include "wire/rsync/options.hpp"

namespace spokewheel::wire::rsync {
namespace {

// Stands in where the checksum in use is not MD5.
std::string unusedMd5(std::string_view, std::string_view) { return std::string(16, '\0'); }

TEST(RsyncBytes, IntegersComeBack) {
    for (const std::int64_t x :
         {0LL, 1LL, 127LL, 128LL, 255LL, 16383LL, 16384LL, 1LL << 21, 1LL << 28, 0x7fffffffLL}) {
        std::string out;
        putVarint(out, static_cast<std::int32_t>(x));
        EXPECT_EQ(Reader(out).varint(), x);
        for (const std::size_t minBytes : {3u, 4u}) {
            std::string wide;
            putVarlong(wide, x << 20, minBytes);
            Reader r(wide);
            EXPECT_EQ(r.varlong(minBytes), x << 20);
            EXPECT_EQ(r.consumed(), wide.size());
        }
    }
    std::string out;
    putVarint(out, -7);
    EXPECT_EQ(Reader(out).varint(), -7);
    Reader invalid("\xfe\1\1\1\1\1\1\1");
    invalid.varint();
    EXPECT_TRUE(invalid.failed());
}

TEST(RsyncBytes, IndexesComeBack) {
    const std::vector<std::int32_t> list = {
        0, 1, 2, 300, 301, 40000, 5, kIndexDone, 6, kIndexDeleteStats, 2000000000, kIndexDone, 7};
    IndexCoder encoder, decoder;
    std::string out;
    for (const auto i : list) encoder.put(out, i);
    std::string_view in = out;
    for (const auto i : list) {
        Reader r(in);
        EXPECT_EQ(decoder.get(r), i);
        in.remove_prefix(r.consumed());
    }
    EXPECT_TRUE(in.empty());
}

TEST(RsyncMux, EverySplitFindsTheSame) {
    std::string stream;
    putFrame(stream, MessageTag::Data, "hello ");
    putFrame(stream, MessageTag::ErrorXfer, "words");
    putFrame(stream, MessageTag::Data, "");
    putFrame(stream, MessageTag::Data, "world");
    for (std::size_t step = 1; step <= stream.size(); ++step) {
        Demux demux;
        std::string data;
        std::vector<Demux::Message> messages;
        for (std::size_t at = 0; at < stream.size(); at += step)
            ASSERT_TRUE(demux.feed(std::string_view(stream).substr(at, step), data, messages));
        EXPECT_EQ(data, "hello world");
        ASSERT_EQ(messages.size(), 1u);
        EXPECT_EQ(messages[0].payload, "words");
    }
    Demux demux;
    std::string data;
    std::vector<Demux::Message> messages;
    EXPECT_FALSE(demux.feed(std::string("\0\0\0\1", 4), data, messages));
    EXPECT_FALSE(Demux().feed(std::string("\xff\xff\xff\x08", 4), data, messages));  // a message of 16 MiB
}

std::vector<FileEntry> sample() {
    std::vector<FileEntry> entries;
    for (const auto* name : {".", "b", "b.c", "a", "a/x", "a-b", "a-b/z", "a/y/q", "a/y", "zz"}) {
        FileEntry entry;
        entry.name = name;
        const bool directory = std::string(";.;a;a-b;a/y;").find(";" + entry.name + ";") != std::string::npos;
        entry.mode = directory ? kDirectory | 0755 : kRegular | 0644;
        entry.size = directory ? 0 : 1234567890123;
        entry.mtime = 1700000000 + static_cast<std::int64_t>(entries.size() / 3);
        entry.nsec = entries.size() % 2 ? 5000 : 0;
        entry.contentListed = directory;
        if (!directory) entry.sum = std::string(16, static_cast<char>('a' + entries.size()));
        entries.push_back(entry);
    }
    FileEntry longName;
    longName.name = "long/" + std::string(300, 'n');
    longName.mode = kRegular | 0600;
    longName.sum = std::string(16, 's');
    entries.push_back(longName);
    return entries;
}

TEST(RsyncList, ComesBackWhateverTheSplit) {
    for (const bool varint : {true, false}) {
        ListForm form;
        form.varintFlags = varint;
        form.sumBytes = 16;
        form.uids = form.gids = true;
        std::string stream;
        ListWriter writer(form);
        for (const auto& entry : sample()) writer.put(stream, entry);
        writer.end(stream, varint ? 1 : 0);
        for (const std::size_t step : {std::size_t(1), std::size_t(5), stream.size()}) {
            ListReader reader(form);
            std::vector<FileEntry> decoded;
            std::string pending;
            bool ended = false;
            for (std::size_t at = 0; at < stream.size(); at += step) {
                pending += stream.substr(at, step);
                std::string_view in = pending;
                FileEntry entry;
                for (auto result = reader.next(in, entry); result != ListReader::Result::NeedMore && !ended;
                     result = reader.next(in, entry)) {
                    ASSERT_NE(result, ListReader::Result::Invalid) << reader.error();
                    ended = result == ListReader::Result::End;
                    if (!ended) decoded.push_back(entry);
                }
                pending = std::string(in);
            }
            ASSERT_TRUE(ended);
            EXPECT_EQ(reader.ioError(), varint ? 1 : 0);
            ASSERT_EQ(decoded.size(), sample().size());
            for (std::size_t i = 0; i < decoded.size(); ++i) {
                EXPECT_EQ(decoded[i].name, sample()[i].name);
                EXPECT_EQ(decoded[i].size, sample()[i].size);
                EXPECT_EQ(decoded[i].mtime, sample()[i].mtime);
                EXPECT_EQ(decoded[i].nsec, sample()[i].nsec);
                EXPECT_EQ(decoded[i].mode, sample()[i].mode);
                EXPECT_EQ(decoded[i].sum, sample()[i].sum);
            }
        }
    }
}

TEST(RsyncList, OrderPutsFilesFirstAndComparesDirectoriesWithTheirSlash) {
    auto list = sample();
    sortList(list);
    std::vector<std::string> names;
    for (const auto& e : list) names.push_back(e.name.substr(0, 6));
    const std::vector<std::string> expected = {".", "b",   "b.c", "zz",    "a-b",   "a-b/z",
                                               "a", "a/x", "a/y", "a/y/q", "long/n"};
    EXPECT_EQ(names, expected);
    list.push_back(list[1]);
    sortList(list);
    EXPECT_FALSE(list[1].dropped);
    EXPECT_TRUE(list[2].dropped);
}

// Compared with std::sort, for list lengths around multiples of the sorter's run length and for different
// sizes of a step.
TEST(RsyncList, SortedInStepsIsSortedInOneGo) {
    std::mt19937 random(3);
    for (const std::size_t n : {0, 1, 2, 255, 256, 257, 511, 512, 513, 1300, 3000}) {
        std::vector<std::pair<std::string, std::uint32_t>> expected;
        std::vector<FileEntry> list(n);
        for (std::size_t i = 0; i < n; ++i) {
            list[i].mode = random() % 5 ? kRegular : kDirectory;
            for (auto parts = 1 + random() % 3; parts-- > 0;)
                list[i].name += (list[i].name.empty() ? "" : "/") + std::to_string(random() % 40);
            expected.emplace_back(sortKey(list[i]), static_cast<std::uint32_t>(i));
        }
        std::sort(expected.begin(), expected.end());
        for (const std::size_t step : {std::size_t(1), std::size_t(97), std::size_t(1) << 40}) {
            ListSorter sorter;
            for (const auto& e : list) sorter.add(e);
            std::size_t steps = 1;
            while (!sorter.step(step)) ASSERT_LT(++steps, 100 * n + 10);
            ASSERT_EQ(sorter.order().size(), n);
            for (std::size_t i = 0; i < n; ++i) ASSERT_EQ(sorter.order()[i], expected[i].second);
            EXPECT_TRUE(sorter.step(1));  // further calls change nothing
        }
    }
}

TEST(RsyncList, NamesThatLeaveTheVolumeAreRefused) {
    for (const std::string& name :
         std::vector<std::string>{"", "/etc/passwd", "../x", "a/../b", "a//b", "a/", "a/./b",
                                  std::string("a\0b", 3), std::string(256, 'x'), std::string(5000, 'x')})
        EXPECT_NE(invalidNameReason(name), "") << name;
    for (const std::string& name :
         std::vector<std::string>{".", "a", "a/b c", "..a", "a..", std::string(255, 'x')})
        EXPECT_EQ(invalidNameReason(name), "");
}

// Reads the tokens of `stream` in chunks of `step` bytes and returns the content that they describe, with
// block numbers resolved against `basis` and "|" at the end of each file.
std::string rebuild(const std::string& stream, bool zstd, std::size_t step, const std::string& basis,
                    std::size_t blockBytes) {
    TokenReader reader(zstd);
    std::string out, pending;
    for (std::size_t at = 0; at < stream.size(); at += step) {
        pending += stream.substr(at, step);
        std::string_view in = pending;
        for (;;) {
            const auto token = reader.next(in);
            if (token.kind == Token::Kind::Literal) out += token.literal;
            if (token.kind == Token::Kind::Block)
                out += basis.substr(static_cast<std::size_t>(token.block) * blockBytes, blockBytes);
            if (token.kind == Token::Kind::End) out += "|";
            if (token.kind == Token::Kind::Invalid) return "BAD " + reader.error();
            if (token.kind == Token::Kind::NeedMore) break;
        }
        pending = std::string(in);
    }
    return out;
}

// Guards against the sum of a block number and a distance or run that overflows.
TEST(RsyncTokens, BlockNumbersBeyondTheLargestAreRefused) {
    const std::string largest("\x20\xff\xff\xff\x7f", 5);                 // block 2^31 - 1
    const std::string runFromLargest("\x21\xff\xff\xff\x7f\x01\x00", 7);  // and one that follows
    for (const auto& stream : {largest + "\x81", largest + std::string("\xc1\x05\x00", 3), runFromLargest}) {
        TokenReader reader(true);
        std::string_view in = stream;
        auto token = reader.next(in);
        if (token.kind == Token::Kind::Block) token = reader.next(in);
        EXPECT_EQ(token.kind, Token::Kind::Invalid);
        EXPECT_EQ(reader.error(), "block number out of range");
    }
}

TEST(RsyncTokens, DeltaRebuildsTheFileWhateverTheSplit) {
    std::mt19937 random(3);
    std::string basis(50000, '\0');
    for (auto& c : basis) c = static_cast<char>(random() % 7);
    // A file with parts removed and inserted that keeps runs of blocks. The files below also include one with
    // nothing in common, an empty one and an unchanged one.
    const auto text =
        basis.substr(0, 20011) + "something new" + basis.substr(21000, 9000) + basis.substr(49000);
    BlockSums sums;
    constexpr std::int32_t kBlock = 700;
    sums.head = {static_cast<std::int32_t>((basis.size() + kBlock - 1) / kBlock), kBlock, 16,
                 static_cast<std::int32_t>(basis.size() % kBlock)};
    for (std::size_t at = 0; at < basis.size(); at += kBlock) {
        RollingSum sum;
        sum.start(std::string_view(basis).substr(at, kBlock));
        sums.rolling.push_back(sum.value());
        sums.strong +=
            blockSum(SumKind::Xxh128, unusedMd5, std::string_view(basis).substr(at, kBlock), 77, true);
    }
    for (const bool zstd : {false, true}) {
        TokenWriter writer(zstd);
        std::string stream;
        std::uint64_t matched = 0;
        for (const auto& file : {text, std::string(30000, 'z'), std::string(), basis}) {
            BlockMatcher matcher(sums, SumKind::Xxh128, unusedMd5, 77, true);
            for (std::size_t at = 0; at < file.size(); at += 1001)
                matcher.feed(std::string_view(file).substr(at, 1001), writer, stream);
            matcher.finish(writer, stream);
            writer.end(stream);
            matched += matcher.matchedBytes();
        }
        EXPECT_GT(matched, 28000u + 50000u - 1);
        const auto expected = text + "|" + std::string(30000, 'z') + "||" + basis + "|";
        for (const std::size_t step : {std::size_t(1), std::size_t(13), stream.size()})
            EXPECT_TRUE(rebuild(stream, zstd, step, basis, kBlock) == expected)
                << zstd << " in chunks of " << step;
    }
}

TEST(RsyncTokens, SumsOutOfRangeAreRefused) {
    for (const SumHead& h :
         {SumHead{-1, 700, 16, 0}, {1, 1 << 18, 16, 0}, {1, 700, 17, 0}, {1, 700, 16, 701}, {5, 0, 16, 0}}) {
        std::string out;
        putSumHead(out, h);
        Reader r(out);
        getSumHead(r);
        EXPECT_TRUE(r.failed());
    }
}

TEST(RsyncOptions, UnknownOnesAreNamedAndTheRestIsStillRead) {
    const auto parsed = parseOptions({"--server", "--sender", "-rXtze.iLsfxCIvu", "--delete", ".", "maps/"});
    EXPECT_EQ(parsed.error, "option -X (extended attributes are not kept: leave it out)");
    EXPECT_TRUE(parsed.options.compress && parsed.options.deleteExtraneous && parsed.options.times &&
                parsed.options.hasCapability('v'));
    EXPECT_EQ(parsed.options.paths, std::vector<std::string>{"maps/"});
    EXPECT_EQ(
        parseOptions({"--server", "--append", ".", "x"}).error,
        "option --append (files are replaced whole here: leave it out, a changed file goes as a delta)");
    EXPECT_NE(parseOptions({"-r", "x"}).error, "");
    EXPECT_EQ(chooseCommon({"md5", "sha256"}, {"sha256", "md5"}), "md5");
    EXPECT_FALSE(parseGreeting("SSH-2.0"));
    EXPECT_EQ(parseGreeting("@RSYNCD: 31.0 sha512 md5")->digests.size(), 2u);
}

TEST(RsyncFilter, FirstMatchDecides) {
    Filter sender(Filter::Side::Sender);
    for (const auto* rule : {"+ /keep/*.tmp", "- *.tmp", "- /top/", "- deep/x?y", "- [a-c]*.log"})
        EXPECT_EQ(sender.add(rule), "");
    EXPECT_FALSE(sender.excluded("keep/a.tmp", false));
    EXPECT_TRUE(sender.excluded("other/a.tmp", false));
    EXPECT_TRUE(sender.excluded("top", true));
    EXPECT_FALSE(sender.excluded("top", false));
    EXPECT_TRUE(sender.excluded("top/inside/it", false));
    EXPECT_FALSE(sender.excluded("sub/top", true));
    EXPECT_TRUE(sender.excluded("a/deep/xzy", false));
    EXPECT_TRUE(sender.excluded("q/b1.log", false));
    EXPECT_FALSE(sender.excluded("q/d1.log", false));
    EXPECT_NE(sender.add(": .rules"), "");
    Filter receiver(Filter::Side::Receiver);
    for (const auto* rule : {"-s hidden", "-r kept", "+ dir/***", "-! *.keep"})
        EXPECT_EQ(receiver.add(rule), "");
    EXPECT_TRUE(receiver.excluded("kept", false));  // "r": protects on the receiver
    EXPECT_FALSE(receiver.excluded("dir", true));   // "dir/***" also matches the directory itself
    EXPECT_FALSE(receiver.excluded("dir/a/b", false));
    EXPECT_FALSE(receiver.excluded("x.keep", false));
    EXPECT_TRUE(receiver.excluded("x.other", false));
    EXPECT_TRUE(wildMatch("a/**/z", "a/b/c/z"));
    EXPECT_FALSE(wildMatch("a/*/z", "a/b/c/z"));
    // A pattern that would take exponential time does not match.
    EXPECT_FALSE(wildMatch(std::string(60, '*') + "a*a*a*a*b", std::string(3000, 'a')));
}

}  // namespace
}  // namespace spokewheel::wire::rsync
