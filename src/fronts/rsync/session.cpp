#include "fronts/rsync/session.hpp"

#include <glib.h>

#include <algorithm>

#include "fronts/rsync/receiving.hpp"
#include "fronts/rsync/sending.hpp"

namespace spokewheel::fronts::rsync {

using namespace wire::rsync;

namespace {

const std::vector<std::string> kDigests = {"sha512", "sha256", "sha1", "md5"};
const std::vector<std::string> kSums = {"xxh128", "xxh3", "xxh64", "md5"};
const std::vector<std::string> kPackers = {"zstd"};
constexpr double kStuckMs = 30000;
constexpr int kSyntax = 1, kUnsupported = 4, kProtocol = 2, kTimeout = 30;

GChecksumType typeOf(const std::string& digest) {
    if (digest == "sha512") return G_CHECKSUM_SHA512;
    if (digest == "sha256") return G_CHECKSUM_SHA256;
    if (digest == "sha1") return G_CHECKSUM_SHA1;
    return G_CHECKSUM_MD5;
}
std::string unpadded64(const guint8* bytes, gsize n) {
    gchar* text = g_base64_encode(bytes, n);
    std::string out(text);
    g_free(text);
    while (!out.empty() && out.back() == '=') out.pop_back();
    return out;
}
// What a client must answer to a challenge.
std::string response(const std::string& digest, const std::string& password, const std::string& challenge) {
    GChecksum* sum = g_checksum_new(typeOf(digest));
    for (const auto* part : {&password, &challenge})
        g_checksum_update(sum, reinterpret_cast<const guchar*>(part->data()),
                          static_cast<gssize>(part->size()));
    guint8 bytes[64];
    gsize n = sizeof bytes;
    g_checksum_get_digest(sum, bytes, &n);
    g_checksum_free(sum);
    return unpadded64(bytes, n);
}
bool equalInConstantTime(const std::string& a, const std::string& b) {
    unsigned differ = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i)
        differ |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    return differ == 0;
}

}  // namespace

Session::Session(Context& context, std::shared_ptr<io::Connection> connection, std::string name,
                 Doorman doorman, std::function<void()> over)
    : context_(context),
      connection_(std::move(connection)),
      channel_(std::make_unique<Channel>(connection_)),
      name_(std::move(name)),
      doorman_(std::move(doorman)),
      over_(std::move(over)) {}

void Session::start() {
    const std::weak_ptr<Session> weak = weak_from_this();
    connection_->setHandler({{},
                             [weak](std::string_view bytes) {
                                 if (const auto s = weak.lock()) s->onData(bytes);
                             },
                             [weak] {
                                 if (const auto s = weak.lock()) {
                                     s->progressAt_ = io::nowMs();
                                     s->advance();
                                 }
                             },
                             [weak](io::DisconnectReason) {
                                 if (const auto s = weak.lock()) s->end();
                             }});
    startedAt_ = progressAt_ = io::nowMs();
    channel_->raw(greeting(kDigests));
    watchIdle();
}

// A session that is not over always waits for one thing that will call it again. Where it does not, that is
// a defect: told at once under the tests; in service the client is told, and repeats, instead of hanging.
void Session::checkWait() {
    if (half_->waits() != Waits::Nothing || later_.armed()) return;
    context_.note("session_stuck", name_, "waits for nothing");
#ifdef SPOKEWHEEL_CHECKS
    g_error("session %s waits for nothing", name_.c_str());
#endif
    fail("this session can't go on, an error of the gateway", kProtocol);
}

// A client is idle where it is its turn and it does nothing: it neither sends nor takes what waits for it.
void Session::watchIdle() {
    idle_.arm(1000, [this] {
        const double now = io::nowMs();
        const auto& s = context_.settings;
        const bool shaking = state_ < State::Stream;
        if (half_ && now - progressAt_ > kStuckMs && now - stuckToldAt_ > kStuckMs) {
            // Answers and memory come within a request's time; longer is worth a line in the log.
            stuckToldAt_ = now;
            context_.note("session_waits", name_, nameOf(half_->waits()));
        }
        const double handshakeS =
            state_ == State::Greeting ? std::min(s.greetingS, s.handshakeS) : s.handshakeS;
        const bool late = shaking ? now - startedAt_ > 1000 * handshakeS
                                  : now - progressAt_ > 1000 * s.clientIdleS && !(half_ && half_->working());
        if (!late) return watchIdle();
        context_.note("client_idle", name_, shaking ? "in its handshake" : "");
        end();
    });
}

void Session::onData(std::string_view bytes) {
    if (state_ == State::Closing) return;  // what a client still sends after the end is thrown away
    progressAt_ = io::nowMs();
    if (!channel_->receive(bytes)) {
        context_.note("client_garbled", name_, channel_->error());
        return fail("protocol error: " + channel_->error(), kProtocol);
    }
    advance();
}

void Session::later() {
    if (!later_.armed()) later_.arm(0, [this] { advance(); });
}

void Session::advance() {
    const auto keep = shared_from_this();
    while (connection_->open() && state_ != State::Closing && step()) {
    }
}

bool Session::takeLine(std::string& line, char end) {
    const auto in = channel_->input();
    const auto at = in.find(end);
    const auto most = end == '\0' ? kMostArgument : kMostLine;
    if (at == in.npos || at > most) {
        if (in.size() > most) error("line too long");
        return false;
    }
    line = in.substr(0, at);
    channel_->took(at + 1);
    return true;
}

bool Session::step() {
    std::string line;
    switch (state_) {
        case State::Greeting: {
            if (!takeLine(line, '\n')) return false;
            const auto g = parseGreeting(line);
            if (!g) return error("protocol startup error"), false;
            if (g->protocol < kOldestProtocol)
                return error("protocol " + std::to_string(g->protocol) + " is too old, " +
                             std::to_string(kOldestProtocol) + " is needed"),
                       false;
            agreed_.protocol = std::min(g->protocol, kNewestProtocol);
            digests_ = g->digests.empty() ? std::vector<std::string>{"md5"} : g->digests;
            state_ = State::Module;
            doorman_.spoke();
            return true;
        }
        case State::Module:
            if (!takeLine(line, '\n')) return false;
            onModule(line);
            return true;
        case State::Auth:
            if (!takeLine(line, '\n')) return false;
            onAuth(line);
            return true;
        case State::Penalty:
            return false;
        case State::Arguments:
            if (!takeLine(line, '\0')) return false;
            argumentBytes_ += line.size() + 1;
            if (line.empty()) onArguments();
            else if (arguments_.size() + secluded_.size() >= kMostArguments ||
                     argumentBytes_ > kMostArgumentBytes)
                error("too many arguments");
            else (inSecluded_ ? secluded_ : arguments_).push_back(line);
            return true;
        case State::Agree:
            return readAgreement();
        case State::Stream: {
            for (const auto& m : channel_->takeBeside()) {
                // The client ends with an error and waits for this side to end, too.
                if (m.kind == Message::ErrorExit) {
                    context_.note("client_gave_up", name_, "");
                    return close(), false;
                }
                half_->beside(m);
            }
            if (half_->advance()) {
                checkWait();
                return false;
            }
            if (!half_->fault().empty()) {
                context_.note("session_broken", name_, half_->fault());
                fail(half_->fault(), kProtocol);
            } else close();
            return false;
        }
        case State::Closing:
            return false;
    }
    return false;
}

void Session::onModule(const std::string& line) {
    if (line.empty() || line == "#list") {
        for (const auto& v : context_.settings.volumes) {
            if (!v.listed) continue;
            gchar* text = g_strdup_printf("%-15s\t%s\n", v.name.c_str(), v.comment.c_str());
            channel_->raw(text);
            g_free(text);
        }
        channel_->raw("@RSYNCD: EXIT\n");
        return close();
    }
    if (draining_) return error("this host is stopping, try another");
    const auto* v = context_.settings.volume(line);
    if (!v) return error("Unknown module '" + line.substr(0, 64) + "'");
    if (const auto why = doorman_.why(*v); !why.empty()) return error(why + " -- try again later");
    agreed_.volume = v;
    if (v->secretsFile.empty()) return beginArguments();
    guint8 bytes[24];
    for (auto& b : bytes) b = static_cast<guint8>(g_random_int_range(0, 256));
    const auto time = g_get_monotonic_time();
    std::copy_n(reinterpret_cast<const guint8*>(&time), sizeof time, bytes);
    challenge_ = unpadded64(bytes, sizeof bytes);
    channel_->raw("@RSYNCD: AUTHREQD " + challenge_ + "\n");
    state_ = State::Auth;
}

// One message for all that can be wrong: which of them it was is for the log alone.
void Session::onAuth(const std::string& line) {
    const auto digest = choose(digests_, kDigests);
    const auto space = line.find(' ');
    const auto user = line.substr(0, space);
    const auto given = space == line.npos ? "" : line.substr(space + 1);
    const auto secret = agreed_.volume->secrets.find(user);
    const bool known = secret != agreed_.volume->secrets.end();
    const auto expected = response(digest, known ? secret->second : challenge_, challenge_);
    if (digest.empty() || !equalInConstantTime(expected, given) || !known) {
        context_.note("auth_failed", name_,
                      digest.empty() ? "no digest in common"
                      : known        ? "wrong password"
                                     : "unknown user");
        state_ = State::Penalty;
        keepAlive_.arm(doorman_.wrongPassword(),
                       [this] { error("auth failed on module " + agreed_.volume->name); });
        return;
    }
    beginArguments();
}

void Session::beginArguments() {
    channel_->raw("@RSYNCD: OK\n");
    state_ = State::Arguments;
}

void Session::onArguments() {
    if (!secluded_.empty()) secluded_.erase(secluded_.begin());  // the program's name
    auto parsed = parseOptions(arguments_, secluded_);
    if (parsed.options.secluded && !std::exchange(inSecluded_, true)) return;  // the rest is in a second list
    agreed_.options = std::move(parsed.options);
    optionError_ = parsed.error.empty() ? "" : "not supported: " + parsed.error;
    agreed_.flags = compatFlags(agreed_.options);
    // From here on it moves data. That the last place went to another meanwhile is told once it can be.
    if (const auto why = doorman_.sit(*agreed_.volume); !why.empty())
        optionError_ = why + ", try again later";
    agree();
}

// The flags and the lists of names go out before the client's are read; what can't be had is told only once
// the stream can carry it, for until then the client takes nothing but this exchange.
void Session::agree() {
    std::string out;
    putVarint(out, static_cast<std::int32_t>(agreed_.flags));
    if (agreed_.flags & kVarintFlags) {
        // A side that was told which one to use sends no list of them, nor does the other.
        if (listsSums()) putVstring(out, "xxh128 xxh3 xxh64 md5");
        if (listsPackers()) putVstring(out, "zstd");
    }
    channel_->raw(out);
    state_ = State::Agree;
}

bool Session::readAgreement() {
    if (agreed_.flags & kVarintFlags) {
        Reader r(channel_->input());
        const auto sums = listsSums() ? words(r.vstring(512)) : kSums;
        const auto packers = listsPackers() ? words(r.vstring(512)) : kPackers;
        if (r.bad()) return error("malformed negotiation"), false;
        if (!r.enough()) return false;
        channel_->took(r.used());
        const auto sum = choose(sums, kSums);
        if (listsSums()) agreed_.sums = agreed_.listSums = sumKind(sum).value_or(SumKind::Md5);
        if (sum.empty()) optionError_ = "no checksum in common: xxh128 or md5 is needed";
        if (choose(packers, kPackers).empty()) optionError_ = "no compression in common: zstd is needed";
    } else if (listsPackers()) optionError_ = "not supported: option -z without zstd (an older client)";
    chooseSums();
    agreed_.seed = agreed_.options.checksumSeed;
    if (agreed_.seed == 0) agreed_.seed = static_cast<std::int32_t>(g_random_int());
    if (agreed_.seed == 0) agreed_.seed = 1;
    std::string out;
    putU32(out, static_cast<std::uint32_t>(agreed_.seed));
    channel_->raw(out);
    channel_->startMultiplexOut();
    if (agreed_.protocol < 31 && agreed_.options.filesFrom) channel_->frameByFrame();
    channel_->startMultiplexIn();
    const auto& o = agreed_.options;
    if (optionError_.empty() && !o.sender && agreed_.volume->readOnly)
        optionError_ = "volume " + agreed_.volume->name + " is read-only";
    if (optionError_.empty() && o.sender && o.checksum && agreed_.listSums != SumKind::Xxh128)
        optionError_ =
            "not supported: option -c by any checksum but xxh128, which is what is stored (leave "
            "--checksum-choice out; an older client: leave -c out)";
    if (!optionError_.empty()) {
        context_.note("options_refused", name_, optionError_);
        fail(optionError_, kUnsupported);
        return false;
    }
    startHalf();
    return true;
}

bool Session::listsSums() const { return agreed_.options.checksumChoice.empty(); }
bool Session::listsPackers() const {
    return agreed_.options.compress && agreed_.options.compressChoice.empty();
}

// "NAME", or "NAME,NAME": for the transfer, and for -c.
void Session::chooseSums() {
    const auto& choice = agreed_.options.checksumChoice;
    if (choice.empty()) return;
    const auto comma = std::min(choice.find(','), choice.size());
    const auto first = sumKind(choice.substr(0, comma));
    const auto second = comma == choice.size() ? first : sumKind(choice.substr(comma + 1));
    if (first && second) agreed_.sums = *first, agreed_.listSums = *second;
    else if (optionError_.empty())
        optionError_ = "not supported: option --checksum-choice=" + choice.substr(0, 100) +
                       " (xxh128, xxh3, xxh64 and md5 are spoken)";
}

void Session::startHalf() {
    const std::weak_ptr<Session> weak = weak_from_this();
    const auto wake = [weak] {
        if (const auto s = weak.lock()) s->later();
    };
    context_.note("session_started", name_,
                  agreed_.volume->name + (agreed_.options.sender ? " pull" : " push"));
    // A client with a --timeout gives up where nothing moves for so long. It is told that this side lives
    // meanwhile, which one of protocol 30 can't be: that one must have its answer before.
    const double part = agreed_.protocol < 31 ? 0.8 : 1;
    store_ = context_.open({1000 * context_.settings.refusedWaitS, 1000 * part * agreed_.options.timeoutS});
    agreed_.store = store_.get();
    if (agreed_.options.sender) half_ = std::make_shared<Sending>(context_, agreed_, *channel_, wake);
    else half_ = std::make_shared<Receiving>(context_, agreed_, *channel_, wake);
    state_ = State::Stream;
    if (agreed_.options.timeoutS > 0 && agreed_.protocol >= 31) {
        // The client gives up after its --timeout without a byte; an answer of a node may take longer.
        const double every = std::max(200.0, agreed_.options.timeoutS * 1000.0 / 3);
        auto beat = std::make_shared<std::function<void()>>();
        *beat = [this, every, weakBeat = std::weak_ptr(beat)] {
            if (state_ != State::Stream) return;
            if (!channel_->blocked()) channel_->message(Message::Noop, "");
            if (const auto again = weakBeat.lock()) keepAlive_.arm(every, [again] { (*again)(); });
        };
        keepAlive_.arm(every, [beat] { (*beat)(); });
    }
}

void Session::error(const std::string& words) {
    context_.note("client_refused", name_, words);
    channel_->raw("@ERROR: " + words + "\n");
    close();
}

void Session::fail(const std::string& words, int code) {
    if (state_ < State::Stream && state_ != State::Agree) return error(words);
    channel_->message(Message::Error, "spokewheel: " + words + "\n");
    if (agreed_.protocol >= 31) {
        std::string text;
        putU32(text, static_cast<std::uint32_t>(code));
        channel_->message(Message::ErrorExit, text);
    }
    close();
}

// What was written still goes out; then the client has a moment to close its side.
void Session::close() {
    half_.reset();
    store_.reset();
    keepAlive_.cancel();
    state_ = State::Closing;
    channel_->flush();
    connection_->shutdownWrite();
    connection_->resumeReading();
    idle_.arm(1000 * std::min(5.0, context_.settings.clientIdleS), [this] { end(); });
}

void Session::drain() {
    draining_ = true;
    if (state_ < State::Arguments) error("this host is stopping, try another");
}

void Session::abort() { end(); }

void Session::giveWay() {
    context_.note("gave_way", name_, "the oldest of its address in a full hall");
    end();
}

void Session::end() {
    const auto keep = shared_from_this();
    half_.reset();
    store_.reset();
    later_.cancel();
    idle_.cancel();
    keepAlive_.cancel();
    connection_->close();
    state_ = State::Closing;
    if (const auto over = std::exchange(over_, nullptr)) over();
}

}  // namespace spokewheel::fronts::rsync
