#include "peer_messages.hpp"

#include <algorithm>
#include <cmath>

#include "limit_parts.hpp"

namespace spokewheel {
namespace {

constexpr std::size_t kMost = 256;                                        // bytes of a message, by the wire
constexpr unsigned char kReport = 2, kNotes = 3, kWords = 4, kQuota = 7;  // 5 and 6: wire/peer/membership.hpp
constexpr double kStepMs = 8, kAgeStepMs = 100, kParts = 15, kTenths = 10;  // units of the coding
constexpr unsigned char kQuotaAsk = 1, kQuotaAnswer = 2;
constexpr int kMostHosts = 100000;
constexpr std::uint64_t kLargest = 10000000;  // of any figure but a volume's number and a total
constexpr std::uint64_t kMostTotal = std::uint64_t{1} << 53;

class Writer {
  public:
    explicit Writer(int first = -1) {
        if (first >= 0) bytes += static_cast<char>(first);
    }
    Writer& whole(std::uint64_t value) {
        for (; value >= 128; value >>= 7) bytes += static_cast<char>(value | 128);
        bytes += static_cast<char>(value);
        return *this;
    }
    Writer& number(double value) {
        return whole(static_cast<std::uint64_t>(std::clamp(value, 0.0, static_cast<double>(kLargest))));
    }
    std::string bytes;
};

class Reader {
  public:
    explicit Reader(const std::string& bytes) : bytes_(bytes) {}
    std::uint64_t byte() {
        if (at_ >= bytes_.size()) return good = false, 0;
        return static_cast<unsigned char>(bytes_[at_++]);
    }
    std::uint64_t whole() {
        std::uint64_t value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            const auto b = byte();
            if (shift == 63 && b > 1) break;  // a 65th bit
            value |= (b & 127) << shift;
            if (b < 128) return value;
        }
        return good = false, 0;
    }
    double number() {
        const auto value = whole();
        good = good && value <= kLargest;
        return static_cast<double>(value);
    }
    bool more() const { return good && at_ < bytes_.size(); }
    bool good = true;

  private:
    const std::string& bytes_;
    std::size_t at_ = 0;
};

std::vector<std::string> join(const std::string& head, const std::vector<std::string>& entries) {
    std::vector<std::string> messages = {head};
    for (const auto& e : entries) {
        if (messages.back().size() + e.size() > kMost) messages.push_back(head);
        messages.back() += e;
    }
    return messages;
}

std::string pack(const Note& n) {
    Writer out(static_cast<int>(n.kind));
    if (n.kind != NoteKind::Heat) out.whole(n.seq);
    if (n.kind == NoteKind::Ask) {
        out.number(n.shard).whole(n.requestClass).whole(n.plan);
        out.number(std::round(kParts * n.full) * (kParts + 1) + std::floor(kParts * n.fair));
        out.number(std::round(kTenths * n.units))
            .number(n.latencyTargetMs / kStepMs)
            .number(n.ttlMs / kStepMs);
        out.number(static_cast<double>(n.key)).number(n.coldAgeMs < 0 ? 0 : 1 + n.coldAgeMs / kAgeStepMs);
    } else if (n.kind == NoteKind::Done) {
        out.number(n.outcome).number(std::round(n.tookMs));
    } else if (n.kind == NoteKind::Heat) {
        out.number(n.shard).number(n.heat);
    }
    return out.bytes;
}

bool inRange(const Note& n, const Settings& s) {
    constexpr double kHeatMost = 255;
    return n.requestClass < s.classes.size() && n.plan < s.plans.size() && n.units <= s.maxUnits &&
           n.ttlMs <= 2 * s.classes[n.requestClass].deadlineMs && n.latencyTargetMs <= n.ttlMs + s.coldMs &&
           n.coldAgeMs <= s.coldMs && n.outcome <= static_cast<int>(Outcome::NotSent) && n.heat <= kHeatMost;
}

}  // namespace

std::vector<std::string> pack(const Report& report) {
    Writer head(kReport);
    head.whole(report.incarnation).whole(report.subperiod);
    std::vector<std::string> entries;
    for (const auto& f : report.figures) {
        Writer out;
        out.whole(static_cast<std::uint64_t>(f.volume)).number(std::round(f.r)).number(std::round(f.held));
        out.whole(static_cast<std::uint64_t>(f.total)).number(std::floor(kTenths * f.gift));
        entries.push_back(out.bytes);
    }
    return join(head.bytes, entries);
}

std::vector<std::string> pack(const std::vector<Introduction>& words) {
    std::vector<std::string> entries;
    for (const auto& w : words)
        entries.push_back(Writer().whole(static_cast<std::uint64_t>(w.volume)).whole(w.plan).bytes);
    return entries.empty() ? entries : join(Writer(kWords).bytes, entries);
}

std::vector<std::string> pack(const std::vector<Note>& notes) {
    std::vector<std::string> entries;
    for (const auto& n : notes) entries.push_back(pack(n));
    return join(Writer(kNotes).bytes, entries);
}

std::vector<std::string> pack(const QuotaMessage& message) {
    std::vector<std::string> entries;
    for (const auto& ask : message.asks) {
        Writer out(kQuotaAsk);
        out.whole(static_cast<std::uint64_t>(ask.volume)).whole(ask.seq).whole(ask.plan).whole(ask.pool);
        out.number(ask.hosts).number(std::ceil(kTenths * ask.least)).number(std::ceil(kTenths * ask.most));
        entries.push_back(out.bytes);
    }
    for (const auto& answer : message.answers) {
        Writer out(kQuotaAnswer);
        out.whole(static_cast<std::uint64_t>(answer.volume)).whole(answer.seq);
        out.number(std::floor(kTenths * answer.units)).number(std::ceil(answer.retryAfterMs));
        entries.push_back(out.bytes);
    }
    return entries.empty() ? entries : join(Writer(kQuota).bytes, entries);
}

std::optional<QuotaMessage> readQuota(const std::string& bytes, const Settings& settings) {
    Reader in(bytes);
    if (bytes.size() > kMost || in.byte() != kQuota) return std::nullopt;
    QuotaMessage message;
    while (in.more()) {
        const auto kind = in.byte();
        const auto volume = static_cast<std::int64_t>(in.whole());
        const auto seq = in.whole();
        if (kind == kQuotaAsk) {
            QuotaAsk ask{volume, seq};
            ask.plan = in.whole();
            ask.pool = in.whole();
            ask.hosts = static_cast<int>(in.number());
            ask.least = in.number() / kTenths;
            ask.most = in.number() / kTenths;
            const bool known = ask.plan < settings.plans.size() && settings.plans[ask.plan].limit > 0;
            if (!known || ask.pool >= kPools || ask.hosts < 1 || ask.hosts > kMostHosts) return std::nullopt;
            if (ask.least > settings.maxUnits || ask.most < ask.least) return std::nullopt;
            message.asks.push_back(ask);
        } else if (kind == kQuotaAnswer) {
            QuotaAnswer answer{volume, seq};
            answer.units = in.number() / kTenths;
            answer.retryAfterMs = in.number();
            message.answers.push_back(answer);
        } else {
            return std::nullopt;
        }
    }
    if (!in.good) return std::nullopt;
    return message;
}

std::optional<Report> readReport(const std::string& bytes) {
    Reader in(bytes);
    if (bytes.size() > kMost || in.byte() != kReport) return std::nullopt;
    Report report;
    report.incarnation = static_cast<std::uint32_t>(in.number());
    report.subperiod = in.whole();
    while (in.more()) {
        CreditFigures f;
        f.volume = static_cast<std::int64_t>(in.whole());
        f.r = in.number();
        f.held = in.number();
        const auto total = in.whole();
        if (total > kMostTotal) return std::nullopt;
        f.total = static_cast<double>(total);
        f.gift = in.number() / kTenths;
        report.figures.push_back(f);
    }
    if (!in.good) return std::nullopt;
    return report;
}

std::optional<std::vector<Introduction>> readIntroductions(const std::string& bytes,
                                                           const Settings& settings) {
    Reader in(bytes);
    if (bytes.size() > kMost || in.byte() != kWords) return std::nullopt;
    std::vector<Introduction> words;
    while (in.more()) {
        Introduction w;
        w.volume = static_cast<std::int64_t>(in.whole());
        w.plan = in.whole();
        if (w.plan >= settings.plans.size()) return std::nullopt;
        words.push_back(w);
    }
    if (!in.good) return std::nullopt;
    return words;
}

std::optional<std::vector<Note>> readNotes(const std::string& bytes, const Settings& settings) {
    Reader in(bytes);
    if (bytes.size() > kMost || in.byte() != kNotes) return std::nullopt;
    std::vector<Note> notes;
    while (in.more()) {
        Note n;
        const auto kind = in.byte();
        if (kind < 1 || kind > static_cast<std::uint64_t>(NoteKind::Heat)) return std::nullopt;
        n.kind = static_cast<NoteKind>(kind);
        if (n.kind != NoteKind::Heat) n.seq = in.whole();
        if (n.kind == NoteKind::Ask) {
            n.shard = static_cast<int>(in.number());
            n.requestClass = static_cast<std::size_t>(in.number());
            n.plan = static_cast<std::size_t>(in.number());
            const auto parts = static_cast<int>(in.number());
            n.full = parts / static_cast<int>(kParts + 1) / kParts;
            n.fair = parts % static_cast<int>(kParts + 1) / kParts;
            if (n.full > 1) return std::nullopt;
            n.units = in.number() / kTenths;
            n.latencyTargetMs = in.number() * kStepMs;
            n.ttlMs = in.number() * kStepMs;
            n.key = static_cast<std::int64_t>(in.number());
            const double age = in.number();
            n.coldAgeMs = age > 0 ? (age - 1) * kAgeStepMs : -1;
        } else if (n.kind == NoteKind::Done) {
            n.outcome = static_cast<int>(in.number());
            n.tookMs = in.number();
        } else if (n.kind == NoteKind::Heat) {
            n.shard = static_cast<int>(in.number());
            n.heat = in.number();
        }
        if (!inRange(n, settings)) return std::nullopt;
        notes.push_back(n);
    }
    if (!in.good) return std::nullopt;
    return notes;
}

}  // namespace spokewheel
