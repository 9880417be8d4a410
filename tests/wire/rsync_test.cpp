#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "wire/rsync/delta.hpp"
#include "wire/rsync/file_list.hpp"
#include "wire/rsync/mux.hpp"
#include "wire/rsync/options.hpp"

namespace spokewheel::wire::rsync {
namespace {

std::string noMd5(std::string_view, std::string_view) { return std::string(16, '\0'); }

TEST(RsyncBytes, IntegersComeBack) {
    for (const std::int64_t x :
         {0LL, 1LL, 127LL, 128LL, 255LL, 16383LL, 16384LL, 1LL << 21, 1LL << 28, 0x7fffffffLL}) {
        std::string out;
        putVarint(out, static_cast<std::int32_t>(x));
        EXPECT_EQ(Reader(out).varint(), x);
        for (const std::size_t least : {3u, 4u}) {
            std::string wide;
            putVarlong(wide, x << 20, least);
            Reader r(wide);
            EXPECT_EQ(r.varlong(least), x << 20);
            EXPECT_EQ(r.used(), wide.size());
        }
    }
    std::string out;
    putVarint(out, -7);
    EXPECT_EQ(Reader(out).varint(), -7);
    Reader wrong("\xfe\1\1\1\1\1\1\1");
    wrong.varint();
    EXPECT_TRUE(wrong.bad());
}

TEST(RsyncBytes, IndexesComeBack) {
    const std::vector<std::int32_t> list = {0,          1,     2, 300, 301, 40000, 5, kDone, 6, kDeleteStats,
                                            2000000000, kDone, 7};
    IndexCoder put, get;
    std::string out;
    for (const auto i : list) put.put(out, i);
    std::string_view in = out;
    for (const auto i : list) {
        Reader r(in);
        EXPECT_EQ(get.get(r), i);
        in.remove_prefix(r.used());
    }
    EXPECT_TRUE(in.empty());
}

TEST(RsyncMux, EverySplitFindsTheSame) {
    std::string all;
    putFrame(all, Message::Data, "hello ");
    putFrame(all, Message::ErrorXfer, "words");
    putFrame(all, Message::Data, "");
    putFrame(all, Message::Data, "world");
    for (std::size_t step = 1; step <= all.size(); ++step) {
        Demux d;
        std::string data;
        std::vector<Demux::Beside> beside;
        for (std::size_t at = 0; at < all.size(); at += step)
            ASSERT_TRUE(d.feed(std::string_view(all).substr(at, step), data, beside));
        EXPECT_EQ(data, "hello world");
        ASSERT_EQ(beside.size(), 1u);
        EXPECT_EQ(beside[0].payload, "words");
    }
    Demux d;
    std::string data;
    std::vector<Demux::Beside> beside;
    EXPECT_FALSE(d.feed(std::string("\0\0\0\1", 4), data, beside));
    EXPECT_FALSE(Demux().feed(std::string("\xff\xff\xff\x08", 4), data, beside));  // a message of 16 MiB
}

std::vector<FileEntry> sample() {
    std::vector<FileEntry> out;
    for (const auto* name : {".", "b", "b.c", "a", "a/x", "a-b", "a-b/z", "a/y/q", "a/y", "zz"}) {
        FileEntry e;
        e.name = name;
        const bool dir = std::string(";.;a;a-b;a/y;").find(";" + e.name + ";") != std::string::npos;
        e.mode = dir ? kDirectory | 0755 : kRegular | 0644;
        e.size = dir ? 0 : 1234567890123;
        e.mtime = 1700000000 + static_cast<std::int64_t>(out.size() / 3);
        e.nsec = out.size() % 2 ? 5000 : 0;
        e.content = dir;
        if (!dir) e.sum = std::string(16, static_cast<char>('a' + out.size()));
        out.push_back(e);
    }
    FileEntry l;
    l.name = "long/" + std::string(300, 'n');
    l.mode = kRegular | 0600;
    l.sum = std::string(16, 's');
    out.push_back(l);
    return out;
}

TEST(RsyncList, ComesBackWhateverTheSplit) {
    for (const bool varint : {true, false}) {
        ListForm form;
        form.varintFlags = varint;
        form.sumBytes = 16;
        form.uids = form.gids = true;
        std::string all;
        ListWriter w(form);
        for (const auto& e : sample()) w.put(all, e);
        w.end(all, varint ? 1 : 0);
        for (const std::size_t step : {std::size_t(1), std::size_t(5), all.size()}) {
            ListReader r(form);
            std::vector<FileEntry> back;
            std::string held;
            bool ended = false;
            for (std::size_t at = 0; at < all.size(); at += step) {
                held += all.substr(at, step);
                std::string_view in = held;
                FileEntry e;
                for (auto got = r.next(in, e); got != ListReader::Got::More && !ended; got = r.next(in, e)) {
                    ASSERT_NE(got, ListReader::Got::Bad) << r.error();
                    ended = got == ListReader::Got::End;
                    if (!ended) back.push_back(e);
                }
                held = std::string(in);
            }
            ASSERT_TRUE(ended);
            EXPECT_EQ(r.ioError(), varint ? 1 : 0);
            ASSERT_EQ(back.size(), sample().size());
            for (std::size_t i = 0; i < back.size(); ++i) {
                EXPECT_EQ(back[i].name, sample()[i].name);
                EXPECT_EQ(back[i].size, sample()[i].size);
                EXPECT_EQ(back[i].mtime, sample()[i].mtime);
                EXPECT_EQ(back[i].nsec, sample()[i].nsec);
                EXPECT_EQ(back[i].mode, sample()[i].mode);
                EXPECT_EQ(back[i].sum, sample()[i].sum);
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

// Against the library's sort of the whole, for lists around the bounds of runs and steps of any size.
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
            EXPECT_TRUE(sorter.step(1));  // and stays so
        }
    }
}

TEST(RsyncList, NamesThatLeaveTheVolumeAreRefused) {
    for (const std::string& name :
         std::vector<std::string>{"", "/etc/passwd", "../x", "a/../b", "a//b", "a/", "a/./b",
                                  std::string("a\0b", 3), std::string(256, 'x'), std::string(5000, 'x')})
        EXPECT_NE(faultOfName(name), "") << name;
    for (const std::string& name :
         std::vector<std::string>{".", "a", "a/b c", "..a", "a..", std::string(255, 'x')})
        EXPECT_EQ(faultOfName(name), "");
}

std::string carry(const std::string& stream, bool zstd, std::size_t step, const std::string& basis,
                  std::size_t block) {
    TokenReader r(zstd);
    std::string out, held;
    for (std::size_t at = 0; at < stream.size(); at += step) {
        held += stream.substr(at, step);
        std::string_view in = held;
        for (;;) {
            const auto t = r.next(in);
            if (t.kind == Token::Kind::Literal) out += t.literal;
            if (t.kind == Token::Kind::Block)
                out += basis.substr(static_cast<std::size_t>(t.block) * block, block);
            if (t.kind == Token::Kind::End) out += "|";
            if (t.kind == Token::Kind::Bad) return "BAD " + r.error();
            if (t.kind == Token::Kind::More) break;
        }
        held = std::string(in);
    }
    return out;
}

TEST(RsyncTokens, DeltaRebuildsTheFileWhateverTheSplit) {
    std::mt19937 random(3);
    std::string basis(50000, '\0');
    for (auto& c : basis) c = static_cast<char>(random() % 7);
    // The same with a piece cut out, one put in, and runs of blocks kept; then a file with nothing in common.
    const auto text =
        basis.substr(0, 20011) + "something new" + basis.substr(21000, 9000) + basis.substr(49000);
    BlockSums sums;
    constexpr std::int32_t kBlock = 700;
    sums.head = {static_cast<std::int32_t>((basis.size() + kBlock - 1) / kBlock), kBlock, 16,
                 static_cast<std::int32_t>(basis.size() % kBlock)};
    for (std::size_t at = 0; at < basis.size(); at += kBlock) {
        Rolling r;
        r.start(std::string_view(basis).substr(at, kBlock));
        sums.rolling.push_back(r.value());
        sums.strong += blockSum(SumKind::Xxh128, noMd5, std::string_view(basis).substr(at, kBlock), 77, true);
    }
    for (const bool zstd : {false, true}) {
        TokenWriter w(zstd);
        std::string stream;
        std::uint64_t matched = 0;
        for (const auto& file : {text, std::string(30000, 'z'), std::string(), basis}) {
            Matcher m(sums, SumKind::Xxh128, noMd5, 77, true);
            for (std::size_t at = 0; at < file.size(); at += 1001)
                m.feed(std::string_view(file).substr(at, 1001), w, stream);
            m.finish(w, stream);
            w.end(stream);
            matched += m.matched();
        }
        EXPECT_GT(matched, 28000u + 50000u - 1);
        const auto expected = text + "|" + std::string(30000, 'z') + "||" + basis + "|";
        for (const std::size_t step : {std::size_t(1), std::size_t(13), stream.size()})
            EXPECT_TRUE(carry(stream, zstd, step, basis, kBlock) == expected)
                << zstd << " in parts of " << step;
    }
}

TEST(RsyncTokens, SumsOutOfRangeAreRefused) {
    for (const SumHead& h :
         {SumHead{-1, 700, 16, 0}, {1, 1 << 18, 16, 0}, {1, 700, 17, 0}, {1, 700, 16, 701}, {5, 0, 16, 0}}) {
        std::string out;
        putSumHead(out, h);
        Reader r(out);
        getSumHead(r);
        EXPECT_TRUE(r.bad());
    }
}

TEST(RsyncOptions, UnknownOnesAreNamedAndTheRestIsStillRead) {
    const auto p = parseOptions({"--server", "--sender", "-rXtze.iLsfxCIvu", "--delete", ".", "maps/"});
    EXPECT_EQ(p.error, "option -X (extended attributes are not kept: leave it out)");
    EXPECT_TRUE(p.options.compress && p.options.remove && p.options.times && p.options.can('v'));
    EXPECT_EQ(p.options.paths, std::vector<std::string>{"maps/"});
    EXPECT_EQ(
        parseOptions({"--server", "--append", ".", "x"}).error,
        "option --append (files are replaced whole here: leave it out, a changed file goes as a delta)");
    EXPECT_NE(parseOptions({"-r", "x"}).error, "");
    EXPECT_EQ(choose({"md5", "sha256"}, {"sha256", "md5"}), "md5");
    EXPECT_FALSE(parseGreeting("SSH-2.0"));
    EXPECT_EQ(parseGreeting("@RSYNCD: 31.0 sha512 md5")->digests.size(), 2u);
}

TEST(RsyncFilter, FirstMatchDecides) {
    Filter f(Filter::Side::Sender);
    for (const auto* rule : {"+ /keep/*.tmp", "- *.tmp", "- /top/", "- deep/x?y", "- [a-c]*.log"})
        EXPECT_EQ(f.add(rule), "");
    EXPECT_FALSE(f.excluded("keep/a.tmp", false));
    EXPECT_TRUE(f.excluded("other/a.tmp", false));
    EXPECT_TRUE(f.excluded("top", true));
    EXPECT_FALSE(f.excluded("top", false));
    EXPECT_TRUE(f.excluded("top/inside/it", false));
    EXPECT_FALSE(f.excluded("sub/top", true));
    EXPECT_TRUE(f.excluded("a/deep/xzy", false));
    EXPECT_TRUE(f.excluded("q/b1.log", false));
    EXPECT_FALSE(f.excluded("q/d1.log", false));
    EXPECT_NE(f.add(": .rules"), "");
    Filter g(Filter::Side::Receiver);
    for (const auto* rule : {"-s hidden", "-r kept", "+ dir/***", "-! *.keep"}) EXPECT_EQ(g.add(rule), "");
    EXPECT_TRUE(g.excluded("kept", false));  // protected: this side's own
    EXPECT_FALSE(g.excluded("dir", true));   // "dir/***" is the directory, too
    EXPECT_FALSE(g.excluded("dir/a/b", false));
    EXPECT_FALSE(g.excluded("x.keep", false));
    EXPECT_TRUE(g.excluded("x.other", false));
    EXPECT_TRUE(wildMatch("a/**/z", "a/b/c/z"));
    EXPECT_FALSE(wildMatch("a/*/z", "a/b/c/z"));
    EXPECT_FALSE(wildMatch(std::string(60, '*') + "a*a*a*a*b", std::string(3000, 'a')));  // and ends
}

}  // namespace
}  // namespace spokewheel::wire::rsync
