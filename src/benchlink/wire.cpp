#include "wire.hpp"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <istream>
#include <map>
#include <memory>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "settings/flat_settings.hpp"
#include "spokewheel/scheduler.hpp"

namespace spokewheel::benchlink {
namespace {

// Input that breaks the protocol; ends the program.
struct MalformedInput : std::runtime_error {
    using std::runtime_error::runtime_error;
};

template <class T>
bool parseNumber(std::string_view text, T& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}

// One line, split at its tabs. The getters throw MalformedInput with the line's number and the field's name;
// those with a fallback return it for "-" or a missing field.
class Line {
  public:
    Line(std::string text, std::size_t number) : text_(std::move(text)), number_(number) {
        std::string_view rest = text_;
        for (std::size_t tab; (tab = rest.find('\t')) != rest.npos; rest.remove_prefix(tab + 1))
            fields_.push_back(rest.substr(0, tab));
        fields_.push_back(rest);
    }
    std::string_view name() const { return fields_[0]; }
    std::size_t size() const { return fields_.size(); }
    std::string_view raw(std::size_t index) const { return index < fields_.size() ? fields_[index] : "-"; }
    [[noreturn]] void fail(const std::string& field, const std::string& expected) const {
        throw MalformedInput("line " + std::to_string(number_) + " (" + std::string(name()) + "): field '" +
                             field + "': expected " + expected);
    }
    std::string text(std::size_t index, const char* field) const {
        if (index >= fields_.size() || fields_[index].empty()) fail(field, "text");
        return std::string(fields_[index]);
    }
    std::int64_t integer(std::size_t index, const char* field) const {
        std::int64_t value = 0;
        if (index >= fields_.size() || !parseNumber(fields_[index], value)) fail(field, "a whole number");
        return value;
    }
    std::int64_t integerOr(std::size_t index, const char* field, std::int64_t fallback) const {
        return raw(index) == "-" ? fallback : integer(index, field);
    }
    double number(std::size_t index, const char* field) const {
        double value = 0;
        if (index >= fields_.size() || !parseNumber(fields_[index], value) || !std::isfinite(value))
            fail(field, "a number");
        return value;
    }
    double numberOr(std::size_t index, const char* field, double fallback) const {
        return raw(index) == "-" ? fallback : number(index, field);
    }
    bool flag(std::size_t index, const char* field) const {
        if (raw(index) != "0" && raw(index) != "1") fail(field, "1 or 0");
        return raw(index) == "1";
    }
    Outcome outcome(std::size_t index, const char* field) const {
        static const std::map<std::string_view, Outcome> words = {
            {"served", Outcome::Served},        {"server_error", Outcome::ServerError},
            {"turned_away", Outcome::Rejected}, {"no_answer", Outcome::NoAnswer},
            {"called_off", Outcome::Cancelled}, {"no_connection", Outcome::NoConnection},
            {"not_sent", Outcome::NotSent},     {"connection_lost", Outcome::ConnectionLost}};
        const auto found = words.find(raw(index));
        if (found == words.end()) fail(field, "an outcome");
        return found->second;
    }

  private:
    std::string text_;
    std::size_t number_;
    std::vector<std::string_view> fields_;
};

constexpr std::string_view kBase64 = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string& bytes) {
    if (bytes.empty()) return "-";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= bytes.size() ? kBase64[bits >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

// Appends to `bytes`; false if `text` is not base64. "-" stands for no bytes.
bool decodeBase64(std::string_view text, std::string& bytes) {
    if (text == "-") return true;
    if (text.size() % 4 != 0) return false;
    for (int pad = 0; pad < 2 && !text.empty() && text.back() == '='; ++pad) text.remove_suffix(1);
    unsigned bits = 0, bitCount = 0;
    for (const char c : text) {
        const auto at = kBase64.find(c);
        if (at == kBase64.npos) return false;
        bits = bits << 6 | static_cast<unsigned>(at);
        if ((bitCount += 6) >= 8) bytes += static_cast<char>(bits >> (bitCount -= 8) & 255);
    }
    return true;
}

// Reads the settings from the line's fourth field on: path=value. Throws MalformedInput with the line's
// number.
Settings settingsFrom(const Line& line) {
    settings::FlatSettings::Values values;
    for (std::size_t i = 3; i < line.size(); ++i) {
        const auto pair = line.raw(i);
        const auto equals = pair.find('=');
        if (equals == pair.npos) line.fail(std::string(pair), "path=value");
        values[std::string(pair.substr(0, equals))] = std::string(pair.substr(equals + 1));
    }
    try {
        return settings::settingsFrom(settings::FlatSettings(std::move(values)));
    } catch (const settings::SettingError& fault) {
        line.fail(fault.path, fault.expected);
    }
}

NodeEntry nodeFrom(const Line& line) {
    NodeEntry entry;
    entry.shard = static_cast<int>(line.integerOr(1, "group", -1));
    entry.sizeHint = line.numberOr(2, "power-hint", 1);
    switch (line.integer(3, "lifecycle")) {
        case 0:
            entry.lifecycle = Lifecycle::Gone;
            break;
        case 1:
            entry.lifecycle = Lifecycle::Ready;
            break;
        case 2:
            entry.lifecycle = Lifecycle::Draining;
            break;
        default:
            line.fail("lifecycle", "0, 1 or 2");
    }
    entry.startedMs = line.numberOr(5, "came-up-ms", 0);
    entry.node = line.text(6, "server");
    entry.zone = line.raw(7);
    return entry;
}

Request requestFrom(const Line& line) {
    Request request;
    request.id = line.text(2, "xid");
    request.requestClass = line.text(3, "class");
    request.plan = line.text(4, "grade");
    request.key = line.integerOr(5, "item", -1);
    request.ttlMs = line.number(6, "ttl-ms");
    request.volume = line.integerOr(7, "disk", 0);
    request.units = line.numberOr(8, "size-units", 1);
    request.shard = static_cast<int>(line.numberOr(9, "slot-no", -1));
    request.hosts = static_cast<int>(line.numberOr(10, "hosts", 1));
    return request;
}

AttemptEnded attemptEndedFrom(const Line& line) {
    AttemptEnded result;
    result.id = line.text(2, "xid");
    result.outcome = line.outcome(3, "verdict");
    result.durationMs = line.numberOr(4, "cost-time-ms", 0);
    result.attempt = static_cast<int>(line.integer(5, "shot"));
    result.requestEnded = line.flag(6, "terminal");
    result.servedElsewhere = line.numberOr(7, "others-got", 0);
    result.usage = line.numberOr(8, "usage", 0);
    result.node = line.text(9, "server");
    return result;
}

// Prints the actions of one scheduler.
class Printer {
  public:
    Printer(std::ostream& out, std::int64_t instance) : out_(out), instance_(instance) {}
    void operator()(const Attempt& action) {
        head("ATTEMPT") << action.id << '\t' << action.node << '\t' << ms(action.expireAtMs) << '\n';
    }
    void operator()(const Refuse& action) {
        head("TURN_AWAY") << action.id << '\t' << ms(action.retryAfterMs) << '\n';
    }
    void operator()(const Fail& action) { head("GIVE_UP") << action.id << '\n'; }
    void operator()(const Cancel& action) { head("RECALL") << action.id << '\t' << action.attempt << '\n'; }
    void operator()(const Probe& action) { head("SOUND_OUT") << action.node << '\n'; }
    void operator()(const SendToPeers& action) {
        head("ANNOUNCE") << action.to << '\t' << encodeBase64(action.bytes) << '\n';
    }
    void operator()(const SetTimer& action) { head("REMIND") << ms(action.afterMs) << '\t' << 1 << '\n'; }
    void operator()(const Subscribe&) { head("KEEP_INFORMED") << 1 << '\n'; }
    void operator()(const FetchList&) { out_ << "GET_LIST\t" << instance_ << '\n'; }
    void operator()(const LimitAccount&) {}  // not requested by these settings
    void exception(const std::string& message) { head("EXCEPTION") << message << '\n'; }

  private:
    std::ostream& head(const char* verb) { return out_ << verb << '\t' << instance_ << '\t'; }
    static std::string ms(double value) {
        char text[48];
        std::snprintf(text, sizeof text, "%.3f", value);
        return text;
    }
    std::ostream& out_;
    std::int64_t instance_;
};

// Runs the schedulers of one connection, by their number.
class Server {
  public:
    Server(std::istream& in, std::ostream& out) : in_(in), out_(out) {}
    // Handles the events of one FRAME and prints the resulting actions; false at the end of the input.
    bool batch() {
        std::string text;
        if (!next(text)) return false;
        if (text.empty()) return true;
        const Line frame(text, number_);
        if (frame.name() != "FRAME") frame.fail("message", "FRAME");
        now_ = frame.number(1, "clock");
        for (;;) {
            if (!next(text)) throw MalformedInput("line " + std::to_string(number_) + ": expected FLUSH");
            const Line line(text, number_);
            if (line.name() == "FLUSH") break;
            dispatch(line);
        }
        for (auto& [instance, events] : pending_)
            if (!events.empty()) run(instance, events);
        pending_.clear();
        out_ << "OK\n" << std::flush;
        return true;
    }

  private:
    bool next(std::string& text) {
        if (!std::getline(in_, text)) return false;
        ++number_;
        if (!text.empty() && text.back() == '\r') text.pop_back();
        return true;
    }
    void run(std::int64_t instance, const std::vector<Event>& events) {
        const auto found = schedulers_.find(instance);
        if (found == schedulers_.end()) return;
        Printer print(out_, instance);
        try {
            for (const auto& action : found->second->step(now_, events)) std::visit(print, action);
        } catch (const std::exception& e) {
            print.exception(e.what());
        }
    }
    void dispatch(const Line& line) {
        const auto name = line.name();
        const auto instance = line.integer(1, "scheduler");
        if (name == "ENLIST") {
            std::uint64_t seed = 0;
            if (!parseNumber(line.raw(2), seed)) line.fail("seed", "a whole number");
            pending_[instance].clear();
            try {
                schedulers_[instance] = std::make_unique<Scheduler>(settingsFrom(line), seed);
            } catch (const std::invalid_argument& e) {
                line.fail("profile-data", e.what());
            }
            return;
        }
        if (name == "KILL") {
            schedulers_.erase(instance);
            pending_[instance].clear();
            return;
        }
        auto& events = pending_[instance];
        if (name == "UPDATE") {
            ListUpdate update;
            const auto form = line.integer(2, "form");
            if (form < 0 || form > 3) line.fail("form", "0 to 3");
            update.form = static_cast<ListForm>(form);
            line.integer(3, "rev");
            const auto entries = line.integer(4, "items");
            if (entries < 0) line.fail("items", "a count");
            for (std::int64_t i = 0; i < entries; ++i) {
                std::string text;
                if (!next(text)) line.fail("items", "as many M lines as it counts");
                const Line entry(text, number_);
                if (entry.name() != "M") entry.fail("message", "M");
                update.entries.push_back(nodeFrom(entry));
            }
            events.emplace_back(std::move(update));
        } else if (name == "INBOUND") {
            events.emplace_back(requestFrom(line));
        } else if (name == "VERDICT") {
            events.emplace_back(attemptEndedFrom(line));
        } else if (name == "SAMPLED") {
            events.emplace_back(ProbeResult{line.text(3, "server"), line.outcome(4, "verdict"),
                                            line.numberOr(2, "cost-time-ms", 0)});
        } else if (name == "WAKE") {
            line.integer(2, "label");
            events.emplace_back(Wake{});
        } else if (name == "STREAMING") {
            events.emplace_back(ResponseStarted{line.text(2, "xid")});
        } else if (name == "CLIENT_GONE") {
            events.emplace_back(ClientGone{line.text(2, "xid")});
        } else if (name == "MEMO") {
            PeerMessage message{static_cast<int>(line.integer(2, "from")), {}};
            if (!decodeBase64(line.raw(3), message.bytes)) line.fail("data", "base64");
            events.emplace_back(std::move(message));
        } else {
            line.fail("message", "a known message");
        }
    }

    std::istream& in_;
    std::ostream& out_;
    std::size_t number_ = 0;
    double now_ = 0;
    std::map<std::int64_t, std::unique_ptr<Scheduler>> schedulers_;
    std::map<std::int64_t, std::vector<Event>> pending_;
};

}  // namespace

int serve(std::istream& in, std::ostream& out, std::ostream& err) {
    Server server(in, out);
    try {
        while (server.batch()) {
        }
    } catch (const MalformedInput& e) {
        err << e.what() << std::endl;
        return 1;
    }
    return 0;
}

}  // namespace spokewheel::benchlink
