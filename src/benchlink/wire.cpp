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

struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

template <class T>
bool parseNumber(std::string_view text, T& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size();
}

// One line cut at its tabs; the getters complain with the line's number and the field's name.
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
    std::string_view raw(std::size_t i) const { return i < fields_.size() ? fields_[i] : "-"; }
    [[noreturn]] void fail(const std::string& field, const std::string& expected) const {
        throw Malformed("line " + std::to_string(number_) + " (" + std::string(name()) + "): field '" +
                        field + "': expected " + expected);
    }
    std::string text(std::size_t i, const char* field) const {
        if (i >= fields_.size() || fields_[i].empty()) fail(field, "text");
        return std::string(fields_[i]);
    }
    std::int64_t whole(std::size_t i, const char* field) const {
        std::int64_t value = 0;
        if (i >= fields_.size() || !parseNumber(fields_[i], value)) fail(field, "a whole number");
        return value;
    }
    std::int64_t wholeOr(std::size_t i, const char* field, std::int64_t absent) const {
        return raw(i) == "-" ? absent : whole(i, field);
    }
    double number(std::size_t i, const char* field) const {
        double value = 0;
        if (i >= fields_.size() || !parseNumber(fields_[i], value) || !std::isfinite(value))
            fail(field, "a number");
        return value;
    }
    double numberOr(std::size_t i, const char* field, double absent) const {
        return raw(i) == "-" ? absent : number(i, field);
    }
    bool flag(std::size_t i, const char* field) const {
        if (raw(i) != "0" && raw(i) != "1") fail(field, "1 or 0");
        return raw(i) == "1";
    }
    Outcome outcome(std::size_t i, const char* field) const {
        static const std::map<std::string_view, Outcome> words = {
            {"served", Outcome::Served},        {"server_error", Outcome::ServerError},
            {"turned_away", Outcome::Rejected}, {"no_answer", Outcome::NoAnswer},
            {"called_off", Outcome::Cancelled}, {"no_connection", Outcome::NoConnection},
            {"not_sent", Outcome::NotSent},     {"connection_lost", Outcome::ConnectionLost}};
        const auto found = words.find(raw(i));
        if (found == words.end()) fail(field, "an outcome");
        return found->second;
    }

  private:
    std::string text_;
    std::size_t number_;
    std::vector<std::string_view> fields_;
};

constexpr std::string_view kBase64 = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode(const std::string& bytes) {
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

bool decode(std::string_view text, std::string& bytes) {
    if (text == "-") return true;
    if (text.size() % 4 != 0) return false;
    for (int pad = 0; pad < 2 && !text.empty() && text.back() == '='; ++pad) text.remove_suffix(1);
    unsigned bits = 0, have = 0;
    for (const char c : text) {
        const auto at = kBase64.find(c);
        if (at == kBase64.npos) return false;
        bits = bits << 6 | static_cast<unsigned>(at);
        if ((have += 6) >= 8) bytes += static_cast<char>(bits >> (have -= 8) & 255);
    }
    return true;
}

// What the line says from its fourth field on: path=value. A fault is told with the line's number.
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
    entry.shard = static_cast<int>(line.wholeOr(1, "group", -1));
    entry.sizeHint = line.numberOr(2, "power-hint", 1);
    switch (line.whole(3, "lifecycle")) {
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
    entry.cameUpMs = line.numberOr(5, "came-up-ms", 0);
    entry.node = line.text(6, "server");
    entry.zone = line.raw(7);
    return entry;
}

Request requestFrom(const Line& line) {
    Request r;
    r.id = line.text(2, "xid");
    r.requestClass = line.text(3, "class");
    r.plan = line.text(4, "grade");
    r.key = line.wholeOr(5, "item", -1);
    r.ttlMs = line.number(6, "ttl-ms");
    r.volume = line.wholeOr(7, "disk", 0);
    r.units = line.numberOr(8, "size-units", 1);
    r.shard = static_cast<int>(line.numberOr(9, "slot-no", -1));
    r.hosts = static_cast<int>(line.numberOr(10, "hosts", 1));
    return r;
}

AttemptEnded verdictFrom(const Line& line) {
    AttemptEnded v;
    v.id = line.text(2, "xid");
    v.outcome = line.outcome(3, "verdict");
    v.tookMs = line.numberOr(4, "cost-time-ms", 0);
    v.attempt = static_cast<int>(line.whole(5, "shot"));
    v.requestEnded = line.flag(6, "terminal");
    v.servedElsewhere = line.numberOr(7, "others-got", 0);
    v.usage = line.numberOr(8, "usage", 0);
    v.node = line.text(9, "server");
    return v;
}

class Printer {
  public:
    Printer(std::ostream& out, std::int64_t instance) : out_(out), instance_(instance) {}
    void operator()(const Attempt& a) {
        head("ATTEMPT") << a.id << '\t' << a.node << '\t' << ms(a.expireAtMs) << '\n';
    }
    void operator()(const Refuse& a) { head("TURN_AWAY") << a.id << '\t' << ms(a.retryAfterMs) << '\n'; }
    void operator()(const Fail& a) { head("GIVE_UP") << a.id << '\n'; }
    void operator()(const Cancel& a) { head("RECALL") << a.id << '\t' << a.attempt << '\n'; }
    void operator()(const Probe& a) { head("SOUND_OUT") << a.node << '\n'; }
    void operator()(const SendToPeers& a) { head("ANNOUNCE") << a.to << '\t' << encode(a.bytes) << '\n'; }
    void operator()(const SetTimer& a) { head("REMIND") << ms(a.afterMs) << '\t' << 1 << '\n'; }
    void operator()(const Subscribe&) { head("KEEP_INFORMED") << 1 << '\n'; }
    void operator()(const FetchList&) { out_ << "GET_LIST\t" << instance_ << '\n'; }
    void operator()(const LimitAccount&) {}  // never asked for here
    void exception(const std::string& words) { head("EXCEPTION") << words << '\n'; }

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

class Server {
  public:
    Server(std::istream& in, std::ostream& out) : in_(in), out_(out) {}
    bool batch() {
        std::string text;
        if (!next(text)) return false;
        if (text.empty()) return true;
        const Line frame(text, number_);
        if (frame.name() != "FRAME") frame.fail("message", "FRAME");
        now_ = frame.number(1, "clock");
        for (;;) {
            if (!next(text)) throw Malformed("line " + std::to_string(number_) + ": expected FLUSH");
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
        const auto instance = line.whole(1, "scheduler");
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
            const auto form = line.whole(2, "form");
            if (form < 0 || form > 3) line.fail("form", "0 to 3");
            update.form = static_cast<ListForm>(form);
            line.whole(3, "rev");
            const auto entries = line.whole(4, "items");
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
            events.emplace_back(verdictFrom(line));
        } else if (name == "SAMPLED") {
            events.emplace_back(ProbeResult{line.text(3, "server"), line.outcome(4, "verdict"),
                                            line.numberOr(2, "cost-time-ms", 0)});
        } else if (name == "WAKE") {
            line.whole(2, "label");
            events.emplace_back(Wake{});
        } else if (name == "STREAMING") {
            events.emplace_back(ResponseStarted{line.text(2, "xid")});
        } else if (name == "CLIENT_GONE") {
            events.emplace_back(ClientGone{line.text(2, "xid")});
        } else if (name == "MEMO") {
            PeerMessage message{static_cast<int>(line.whole(2, "from")), {}};
            if (!decode(line.raw(3), message.bytes)) line.fail("data", "base64");
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
    } catch (const Malformed& e) {
        err << e.what() << std::endl;
        return 1;
    }
    return 0;
}

}  // namespace spokewheel::benchlink
