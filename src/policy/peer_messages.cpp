#include "peer_messages.hpp"

#include <algorithm>
#include <cmath>

#include "limit_parts.hpp"

namespace spokewheel {
namespace {

constexpr std::size_t kMaxMessageBytes = 256;  // as a datagram between peers may carry
// First byte of a message; 5 and 6 are those of wire/peer/membership.hpp.
constexpr unsigned char kCreditReport = 2, kPermits = 3, kIntroductions = 4, kQuota = 7;
// Resolutions of the encoding: milliseconds of a step, and steps of a whole or a unit.
constexpr double kTimeStepMs = 8, kAgeStepMs = 100, kPartSteps = 15, kUnitSteps = 10;
constexpr unsigned char kQuotaRequest = 1, kQuotaResponse = 2;
constexpr int kMaxHosts = 100000;
constexpr std::uint64_t kMaxFigure = 10000000;  // of all but volume numbers and totals
constexpr std::uint64_t kMaxTotal = std::uint64_t{1} << 53;

// Writes numbers as little-endian base-128 variable-length integers.
class Writer {
  public:
    explicit Writer(int first = -1) {
        if (first >= 0) bytes += static_cast<char>(first);
    }
    Writer& varint(std::uint64_t value) {
        for (; value >= 128; value >>= 7) bytes += static_cast<char>(value | 128);
        bytes += static_cast<char>(value);
        return *this;
    }
    Writer& number(double value) {
        return varint(static_cast<std::uint64_t>(std::clamp(value, 0.0, static_cast<double>(kMaxFigure))));
    }
    std::string bytes;
};

// Reads what Writer writes. `valid` turns false at the first number that cannot be read.
class Reader {
  public:
    explicit Reader(const std::string& bytes) : bytes_(bytes) {}
    std::uint64_t byte() {
        if (position_ >= bytes_.size()) return valid = false, 0;
        return static_cast<unsigned char>(bytes_[position_++]);
    }
    std::uint64_t varint() {
        std::uint64_t value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            const auto next = byte();
            if (shift == 63 && next > 1) break;  // more than 64 bits
            value |= (next & 127) << shift;
            if (next < 128) return value;
        }
        return valid = false, 0;
    }
    double number() {
        const auto value = varint();
        valid = valid && value <= kMaxFigure;
        return static_cast<double>(value);
    }
    bool hasMore() const { return valid && position_ < bytes_.size(); }
    bool valid = true;

  private:
    const std::string& bytes_;
    std::size_t position_ = 0;
};

// Packs entries into as few messages as hold them; each message starts with `head`.
std::vector<std::string> splitMessages(const std::string& head, const std::vector<std::string>& entries) {
    std::vector<std::string> messages = {head};
    for (const auto& entry : entries) {
        if (messages.back().size() + entry.size() > kMaxMessageBytes) messages.push_back(head);
        messages.back() += entry;
    }
    return messages;
}

std::string pack(const PermitMessage& message) {
    Writer out(static_cast<int>(message.kind));
    if (message.kind != PermitKind::Load) out.varint(message.seq);
    if (message.kind == PermitKind::Request) {
        out.number(message.shard).varint(message.requestClass).varint(message.plan);
        out.number(std::round(kPartSteps * message.reservedPart) * (kPartSteps + 1) +
                   std::floor(kPartSteps * message.fairPart));
        out.number(std::round(kUnitSteps * message.units))
            .number(message.latencyTargetMs / kTimeStepMs)
            .number(message.ttlMs / kTimeStepMs);
        out.number(static_cast<double>(message.key))
            .number(message.coldAgeMs < 0 ? 0 : 1 + message.coldAgeMs / kAgeStepMs);
    } else if (message.kind == PermitKind::Done) {
        out.number(message.outcome).number(std::round(message.durationMs));
    } else if (message.kind == PermitKind::Load) {
        out.number(message.shard).number(message.load);
    }
    return out.bytes;
}

// Whether all figures are ones that the settings allow.
bool inRange(const PermitMessage& message, const Settings& settings) {
    constexpr double kMaxLoad = 255;
    return message.requestClass < settings.classes.size() && message.plan < settings.plans.size() &&
           message.units <= settings.maxUnits &&
           message.ttlMs <= 2 * settings.classes[message.requestClass].deadlineMs &&
           message.latencyTargetMs <= message.ttlMs + settings.coldMs &&
           message.coldAgeMs <= settings.coldMs && message.outcome <= static_cast<int>(Outcome::NotSent) &&
           message.load <= kMaxLoad;
}

}  // namespace

std::vector<std::string> pack(const CreditReport& report) {
    Writer head(kCreditReport);
    head.varint(report.incarnation).varint(report.subperiod);
    std::vector<std::string> entries;
    for (const auto& figures : report.figures) {
        Writer out;
        out.varint(static_cast<std::uint64_t>(figures.volume))
            .number(std::round(figures.sentUnits))
            .number(std::round(figures.queuedUnits));
        out.varint(static_cast<std::uint64_t>(figures.totalSent))
            .number(std::floor(kUnitSteps * figures.lentUnits));
        entries.push_back(out.bytes);
    }
    return splitMessages(head.bytes, entries);
}

std::vector<std::string> pack(const std::vector<VolumeIntroduction>& introductions) {
    std::vector<std::string> entries;
    for (const auto& introduction : introductions)
        entries.push_back(
            Writer().varint(static_cast<std::uint64_t>(introduction.volume)).varint(introduction.plan).bytes);
    return entries.empty() ? entries : splitMessages(Writer(kIntroductions).bytes, entries);
}

std::vector<std::string> pack(const std::vector<PermitMessage>& messages) {
    std::vector<std::string> entries;
    for (const auto& message : messages) entries.push_back(pack(message));
    return splitMessages(Writer(kPermits).bytes, entries);
}

std::vector<std::string> pack(const QuotaMessage& message) {
    std::vector<std::string> entries;
    for (const auto& request : message.requests) {
        Writer out(kQuotaRequest);
        out.varint(static_cast<std::uint64_t>(request.volume))
            .varint(request.seq)
            .varint(request.plan)
            .varint(request.pool);
        out.number(request.hosts)
            .number(std::ceil(kUnitSteps * request.minUnits))
            .number(std::ceil(kUnitSteps * request.maxUnits));
        entries.push_back(out.bytes);
    }
    for (const auto& response : message.responses) {
        Writer out(kQuotaResponse);
        out.varint(static_cast<std::uint64_t>(response.volume)).varint(response.seq);
        out.number(std::floor(kUnitSteps * response.units)).number(std::ceil(response.retryAfterMs));
        entries.push_back(out.bytes);
    }
    return entries.empty() ? entries : splitMessages(Writer(kQuota).bytes, entries);
}

std::optional<QuotaMessage> readQuotaMessage(const std::string& bytes, const Settings& settings) {
    Reader in(bytes);
    if (bytes.size() > kMaxMessageBytes || in.byte() != kQuota) return std::nullopt;
    QuotaMessage message;
    while (in.hasMore()) {
        const auto kind = in.byte();
        const auto volume = static_cast<std::int64_t>(in.varint());
        const auto seq = in.varint();
        if (kind == kQuotaRequest) {
            QuotaRequest request{volume, seq};
            request.plan = in.varint();
            request.pool = in.varint();
            request.hosts = static_cast<int>(in.number());
            request.minUnits = in.number() / kUnitSteps;
            request.maxUnits = in.number() / kUnitSteps;
            const bool hasLimit =
                request.plan < settings.plans.size() && settings.plans[request.plan].limit > 0;
            if (!hasLimit || request.pool >= kPoolsPerVolume || request.hosts < 1 ||
                request.hosts > kMaxHosts)
                return std::nullopt;
            if (request.minUnits > settings.maxUnits || request.maxUnits < request.minUnits)
                return std::nullopt;
            message.requests.push_back(request);
        } else if (kind == kQuotaResponse) {
            QuotaResponse response{volume, seq};
            response.units = in.number() / kUnitSteps;
            response.retryAfterMs = in.number();
            message.responses.push_back(response);
        } else {
            return std::nullopt;
        }
    }
    if (!in.valid) return std::nullopt;
    return message;
}

std::optional<CreditReport> readCreditReport(const std::string& bytes) {
    Reader in(bytes);
    if (bytes.size() > kMaxMessageBytes || in.byte() != kCreditReport) return std::nullopt;
    CreditReport report;
    report.incarnation = static_cast<std::uint32_t>(in.number());
    report.subperiod = in.varint();
    while (in.hasMore()) {
        CreditFigures figures;
        figures.volume = static_cast<std::int64_t>(in.varint());
        figures.sentUnits = in.number();
        figures.queuedUnits = in.number();
        const auto total = in.varint();
        if (total > kMaxTotal) return std::nullopt;
        figures.totalSent = static_cast<double>(total);
        figures.lentUnits = in.number() / kUnitSteps;
        report.figures.push_back(figures);
    }
    if (!in.valid) return std::nullopt;
    return report;
}

std::optional<std::vector<VolumeIntroduction>> readIntroductions(const std::string& bytes,
                                                                 const Settings& settings) {
    Reader in(bytes);
    if (bytes.size() > kMaxMessageBytes || in.byte() != kIntroductions) return std::nullopt;
    std::vector<VolumeIntroduction> introductions;
    while (in.hasMore()) {
        VolumeIntroduction introduction;
        introduction.volume = static_cast<std::int64_t>(in.varint());
        introduction.plan = in.varint();
        if (introduction.plan >= settings.plans.size()) return std::nullopt;
        introductions.push_back(introduction);
    }
    if (!in.valid) return std::nullopt;
    return introductions;
}

std::optional<std::vector<PermitMessage>> readPermits(const std::string& bytes, const Settings& settings) {
    Reader in(bytes);
    if (bytes.size() > kMaxMessageBytes || in.byte() != kPermits) return std::nullopt;
    std::vector<PermitMessage> messages;
    while (in.hasMore()) {
        PermitMessage message;
        const auto kind = in.byte();
        if (kind < 1 || kind > static_cast<std::uint64_t>(PermitKind::Load)) return std::nullopt;
        message.kind = static_cast<PermitKind>(kind);
        if (message.kind != PermitKind::Load) message.seq = in.varint();
        if (message.kind == PermitKind::Request) {
            message.shard = static_cast<int>(in.number());
            message.requestClass = static_cast<std::size_t>(in.number());
            message.plan = static_cast<std::size_t>(in.number());
            const auto parts = static_cast<int>(in.number());
            message.reservedPart = parts / static_cast<int>(kPartSteps + 1) / kPartSteps;
            message.fairPart = parts % static_cast<int>(kPartSteps + 1) / kPartSteps;
            if (message.reservedPart > 1) return std::nullopt;
            message.units = in.number() / kUnitSteps;
            message.latencyTargetMs = in.number() * kTimeStepMs;
            message.ttlMs = in.number() * kTimeStepMs;
            message.key = static_cast<std::int64_t>(in.number());
            const double age = in.number();
            message.coldAgeMs = age > 0 ? (age - 1) * kAgeStepMs : -1;
        } else if (message.kind == PermitKind::Done) {
            message.outcome = static_cast<int>(in.number());
            message.durationMs = in.number();
        } else if (message.kind == PermitKind::Load) {
            message.shard = static_cast<int>(in.number());
            message.load = in.number();
        }
        if (!inRange(message, settings)) return std::nullopt;
        messages.push_back(message);
    }
    if (!in.valid) return std::nullopt;
    return messages;
}

}  // namespace spokewheel
