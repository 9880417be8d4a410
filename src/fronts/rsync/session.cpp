#include "fronts/rsync/session.hpp"

#include <glib.h>

#include <algorithm>

#include "fronts/rsync/receiving.hpp"
#include "fronts/rsync/sending.hpp"

namespace spokewheel::fronts::rsync {

using namespace wire::rsync;

namespace {

const std::vector<std::string> kAuthDigests = {"sha512", "sha256", "sha1", "md5"};
const std::vector<std::string> kChecksums = {"xxh128", "xxh3", "xxh64", "md5"};
const std::vector<std::string> kCompressors = {"zstd"};
constexpr double kStallMs = 30000;
// Exit codes of the rsync client.
constexpr int kExitSyntax = 1, kExitUnsupported = 4, kExitProtocol = 2, kExitTimeout = 30;

GChecksumType typeOf(const std::string& digest) {
    if (digest == "sha512") return G_CHECKSUM_SHA512;
    if (digest == "sha256") return G_CHECKSUM_SHA256;
    if (digest == "sha1") return G_CHECKSUM_SHA1;
    return G_CHECKSUM_MD5;
}
std::string unpaddedBase64(const guint8* bytes, gsize n) {
    gchar* text = g_base64_encode(bytes, n);
    std::string out(text);
    g_free(text);
    while (!out.empty() && out.back() == '=') out.pop_back();
    return out;
}
// The response to a challenge that proves knowledge of the password.
std::string challengeResponse(const std::string& digest, const std::string& password,
                              const std::string& challenge) {
    GChecksum* sum = g_checksum_new(typeOf(digest));
    for (const auto* part : {&password, &challenge})
        g_checksum_update(sum, reinterpret_cast<const guchar*>(part->data()),
                          static_cast<gssize>(part->size()));
    guint8 bytes[64];
    gsize n = sizeof bytes;
    g_checksum_get_digest(sum, bytes, &n);
    g_checksum_free(sum);
    return unpaddedBase64(bytes, n);
}
bool equalInConstantTime(const std::string& a, const std::string& b) {
    unsigned differ = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i)
        differ |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    return differ == 0;
}

}  // namespace

Session::Session(Context& context, std::shared_ptr<io::Connection> connection, std::string name,
                 Admission admission, std::function<void()> onClosed)
    : context_(context),
      connection_(std::move(connection)),
      channel_(std::make_unique<Channel>(connection_)),
      name_(std::move(name)),
      admission_(std::move(admission)),
      onClosed_(std::move(onClosed)) {}

void Session::start() {
    const std::weak_ptr<Session> weak = weak_from_this();
    connection_->setHandler({{},
                             [weak](std::string_view bytes) {
                                 if (const auto s = weak.lock()) s->onData(bytes);
                             },
                             [weak] {
                                 if (const auto s = weak.lock()) {
                                     s->lastProgressMs_ = io::nowMs();
                                     s->advance();
                                 }
                             },
                             [weak](io::DisconnectReason) {
                                 if (const auto s = weak.lock()) s->teardown();
                             }});
    startedMs_ = lastProgressMs_ = io::nowMs();
    channel_->writeRaw(formatGreeting(kAuthDigests));
    watchIdle();
}

// Detects a transfer that has not ended and that no event would resume, which is a defect. Test builds abort;
// in production the client gets an error and can repeat the transfer instead of hanging.
void Session::checkForStall() {
    if (transfer_->waitReason() != WaitReason::None || advanceTimer_.armed()) return;
    context_.logEvent("session_stuck", name_, "the transfer waits for no event");
#ifdef SPOKEWHEEL_CHECKS
    g_error("session %s waits for no event", name_.c_str());
#endif
    fail("this session can't go on, an error of the gateway", kExitProtocol);
}

// Disconnects idle clients: those that neither send nor read although this host waits for them.
void Session::watchIdle() {
    idleTimer_.arm(1000, [this] {
        const double now = io::nowMs();
        const auto& s = context_.settings;
        const bool inHandshake = state_ < State::Stream;
        if (transfer_ && now - lastProgressMs_ > kStallMs && now - stallLoggedMs_ > kStallMs) {
            // Store responses and memory normally come within a request's deadline; longer waits are logged.
            stallLoggedMs_ = now;
            context_.logEvent("session_waits", name_, nameOf(transfer_->waitReason()));
        }
        const double handshakeS =
            state_ == State::Greeting ? std::min(s.greetingS, s.handshakeS) : s.handshakeS;
        const bool expired = inHandshake ? now - startedMs_ > 1000 * handshakeS
                                         : now - lastProgressMs_ > 1000 * s.clientIdleS &&
                                               !(transfer_ && transfer_->hasPendingWork());
        if (!expired) return watchIdle();
        context_.logEvent("client_idle", name_, inHandshake ? "during the handshake" : "");
        teardown();
    });
}

void Session::onData(std::string_view bytes) {
    if (state_ == State::Closing) return;  // input after the end is discarded
    lastProgressMs_ = io::nowMs();
    if (!channel_->receive(bytes)) {
        context_.logEvent("client_garbled", name_, channel_->error());
        return fail("protocol error: " + channel_->error(), kExitProtocol);
    }
    advance();
}

void Session::scheduleAdvance() {
    if (!advanceTimer_.armed()) advanceTimer_.arm(0, [this] { advance(); });
}

void Session::advance() {
    const auto keep = shared_from_this();
    while (connection_->open() && state_ != State::Closing && step()) {
    }
}

bool Session::takeLine(std::string& line, char end) {
    const auto in = channel_->input();
    const auto at = in.find(end);
    const auto maxLength = end == '\0' ? kMaxArgumentBytes : kMaxLineBytes;
    if (at == in.npos || at > maxLength) {
        if (in.size() > maxLength) refuse("line too long");
        return false;
    }
    line = in.substr(0, at);
    channel_->consume(at + 1);
    return true;
}

bool Session::step() {
    std::string line;
    switch (state_) {
        case State::Greeting: {
            if (!takeLine(line, '\n')) return false;
            const auto g = parseGreeting(line);
            if (!g) return refuse("protocol startup error"), false;
            if (g->protocol < kOldestProtocol)
                return refuse("protocol " + std::to_string(g->protocol) + " is too old, " +
                              std::to_string(kOldestProtocol) + " is needed"),
                       false;
            parameters_.protocol = std::min(g->protocol, kNewestProtocol);
            digests_ = g->digests.empty() ? std::vector<std::string>{"md5"} : g->digests;
            state_ = State::Module;
            admission_.greeted();
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
        case State::AuthDelay:
            return false;
        case State::Arguments:
            if (!takeLine(line, '\0')) return false;
            argumentBytes_ += line.size() + 1;
            if (line.empty()) onArguments();
            else if (arguments_.size() + secluded_.size() >= kMaxArguments ||
                     argumentBytes_ > kMaxTotalArgumentBytes)
                refuse("too many arguments");
            else (inSecluded_ ? secluded_ : arguments_).push_back(line);
            return true;
        case State::Negotiation:
            return readNegotiation();
        case State::Stream: {
            for (const auto& m : channel_->takeMessages()) {
                // The client reported an error and waits for this side to close the connection.
                if (m.tag == MessageTag::ErrorExit) {
                    context_.logEvent("client_gave_up", name_, "");
                    return close(), false;
                }
                transfer_->onMessage(m);
            }
            if (transfer_->advance()) {
                checkForStall();
                return false;
            }
            if (!transfer_->error().empty()) {
                context_.logEvent("session_broken", name_, transfer_->error());
                fail(transfer_->error(), kExitProtocol);
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
            channel_->writeRaw(text);
            g_free(text);
        }
        channel_->writeRaw("@RSYNCD: EXIT\n");
        return close();
    }
    if (draining_) return refuse("this host is stopping, try another");
    const auto* v = context_.settings.volume(line);
    if (!v) return refuse("Unknown module '" + line.substr(0, 64) + "'");
    if (const auto why = admission_.refusalReason(*v); !why.empty())
        return refuse(why + " -- try again later");
    parameters_.volume = v;
    if (v->secretsFile.empty()) return beginArguments();
    guint8 bytes[24];
    for (auto& b : bytes) b = static_cast<guint8>(g_random_int_range(0, 256));
    const auto time = g_get_monotonic_time();
    std::copy_n(reinterpret_cast<const guint8*>(&time), sizeof time, bytes);
    challenge_ = unpaddedBase64(bytes, sizeof bytes);
    channel_->writeRaw("@RSYNCD: AUTHREQD " + challenge_ + "\n");
    state_ = State::Auth;
}

// The client gets the same message for every kind of failed login; only the log tells them apart.
void Session::onAuth(const std::string& line) {
    const auto digest = chooseCommon(digests_, kAuthDigests);
    const auto space = line.find(' ');
    const auto user = line.substr(0, space);
    const auto given = space == line.npos ? "" : line.substr(space + 1);
    const auto secret = parameters_.volume->secrets.find(user);
    const bool known = secret != parameters_.volume->secrets.end();
    const auto expected = challengeResponse(digest, known ? secret->second : challenge_, challenge_);
    if (digest.empty() || !equalInConstantTime(expected, given) || !known) {
        context_.logEvent("auth_failed", name_,
                          digest.empty() ? "no digest in common"
                          : known        ? "wrong password"
                                         : "unknown user");
        state_ = State::AuthDelay;
        keepAliveTimer_.arm(admission_.authFailureDelayMs(),
                            [this] { refuse("auth failed on module " + parameters_.volume->name); });
        return;
    }
    beginArguments();
}

void Session::beginArguments() {
    channel_->writeRaw("@RSYNCD: OK\n");
    state_ = State::Arguments;
}

void Session::onArguments() {
    if (!secluded_.empty()) secluded_.erase(secluded_.begin());  // the program name
    auto parsed = parseOptions(arguments_, secluded_);
    if (parsed.options.secludedArguments && !std::exchange(inSecluded_, true))
        return;  // the rest follows in a second list
    parameters_.options = std::move(parsed.options);
    optionError_ = parsed.error.empty() ? "" : "not supported: " + parsed.error;
    parameters_.compatFlags = compatFlags(parameters_.options);
    // Takes a connection slot. A refusal is reported once the stream has started.
    if (const auto why = admission_.admit(*parameters_.volume); !why.empty())
        optionError_ = why + ", try again later";
    sendNegotiation();
}

// Sends the compatibility flags and the lists of algorithm names without waiting for the client's. Errors are
// held back until the multiplexed stream can carry them, since the client accepts nothing but this exchange
// before.
void Session::sendNegotiation() {
    std::string out;
    putVarint(out, static_cast<std::int32_t>(parameters_.compatFlags));
    if (parameters_.compatFlags & kCompatVarintFlags) {
        // If an option names the algorithm, neither side sends a list.
        if (negotiatesChecksum()) putVstring(out, "xxh128 xxh3 xxh64 md5");
        if (negotiatesCompression()) putVstring(out, "zstd");
    }
    channel_->writeRaw(out);
    state_ = State::Negotiation;
}

bool Session::readNegotiation() {
    if (parameters_.compatFlags & kCompatVarintFlags) {
        Reader r(channel_->input());
        const auto checksums = negotiatesChecksum() ? splitWords(r.vstring(512)) : kChecksums;
        const auto compressors = negotiatesCompression() ? splitWords(r.vstring(512)) : kCompressors;
        if (r.failed()) return refuse("malformed negotiation"), false;
        if (!r.complete()) return false;
        channel_->consume(r.consumed());
        const auto sum = chooseCommon(checksums, kChecksums);
        if (negotiatesChecksum())
            parameters_.checksumKind = parameters_.listChecksumKind =
                parseSumKind(sum).value_or(SumKind::Md5);
        if (sum.empty()) optionError_ = "no checksum in common: xxh128 or md5 is needed";
        if (chooseCommon(compressors, kCompressors).empty())
            optionError_ = "no compression in common: zstd is needed";
    } else if (negotiatesCompression())
        optionError_ = "not supported: option -z without zstd (an older client)";
    applyChecksumChoice();
    parameters_.checksumSeed = parameters_.options.checksumSeed;
    if (parameters_.checksumSeed == 0) parameters_.checksumSeed = static_cast<std::int32_t>(g_random_int());
    if (parameters_.checksumSeed == 0) parameters_.checksumSeed = 1;
    std::string out;
    putU32(out, static_cast<std::uint32_t>(parameters_.checksumSeed));
    channel_->writeRaw(out);
    channel_->startMultiplexOut();
    if (parameters_.protocol < 31 && parameters_.options.filesFrom) channel_->startFrameByFrame();
    channel_->startMultiplexIn();
    const auto& o = parameters_.options;
    if (optionError_.empty() && !o.sender && parameters_.volume->readOnly)
        optionError_ = "volume " + parameters_.volume->name + " is read-only";
    if (optionError_.empty() && o.sender && o.checksum && parameters_.listChecksumKind != SumKind::Xxh128)
        optionError_ =
            "not supported: option -c by any checksum but xxh128, which is what is stored (leave "
            "--checksum-choice out; an older client: leave -c out)";
    if (!optionError_.empty()) {
        context_.logEvent("options_refused", name_, optionError_);
        fail(optionError_, kExitUnsupported);
        return false;
    }
    startTransfer();
    return true;
}

bool Session::negotiatesChecksum() const { return parameters_.options.checksumChoice.empty(); }
bool Session::negotiatesCompression() const {
    return parameters_.options.compress && parameters_.options.compressChoice.empty();
}

// Applies --checksum-choice: "NAME", or "NAME,NAME" for the transfer and for the file list.
void Session::applyChecksumChoice() {
    const auto& choice = parameters_.options.checksumChoice;
    if (choice.empty()) return;
    const auto comma = std::min(choice.find(','), choice.size());
    const auto first = parseSumKind(choice.substr(0, comma));
    const auto second = comma == choice.size() ? first : parseSumKind(choice.substr(comma + 1));
    if (first && second) parameters_.checksumKind = *first, parameters_.listChecksumKind = *second;
    else if (optionError_.empty())
        optionError_ = "not supported: option --checksum-choice=" + choice.substr(0, 100) +
                       " (xxh128, xxh3, xxh64 and md5 are spoken)";
}

void Session::startTransfer() {
    const std::weak_ptr<Session> weak = weak_from_this();
    const auto wake = [weak] {
        if (const auto s = weak.lock()) s->scheduleAdvance();
    };
    context_.logEvent("session_started", name_,
                      parameters_.volume->name + (parameters_.options.sender ? " pull" : " push"));
    // A client with --timeout gives up when it receives nothing for that long. Keep-alives prevent this from
    // protocol 31 on; older clients must have the response earlier.
    const double timeoutShare = parameters_.protocol < 31 ? 0.8 : 1;
    store_ = context_.openStore(
        {1000 * context_.settings.refusedWaitS, 1000 * timeoutShare * parameters_.options.timeoutS});
    parameters_.store = store_.get();
    if (parameters_.options.sender)
        transfer_ = std::make_shared<SendingSide>(context_, parameters_, *channel_, wake);
    else transfer_ = std::make_shared<ReceivingSide>(context_, parameters_, *channel_, wake);
    state_ = State::Stream;
    if (parameters_.options.timeoutS > 0 && parameters_.protocol >= 31) {
        // The response of a storage node may take longer than the client's --timeout.
        const double intervalMs = std::max(200.0, parameters_.options.timeoutS * 1000.0 / 3);
        auto keepAlive = std::make_shared<std::function<void()>>();
        *keepAlive = [this, intervalMs, weakKeepAlive = std::weak_ptr(keepAlive)] {
            if (state_ != State::Stream) return;
            if (!channel_->blocked()) channel_->sendMessage(MessageTag::Noop, "");
            if (const auto again = weakKeepAlive.lock())
                keepAliveTimer_.arm(intervalMs, [again] { (*again)(); });
        };
        keepAliveTimer_.arm(intervalMs, [keepAlive] { (*keepAlive)(); });
    }
}

void Session::refuse(const std::string& message) {
    context_.logEvent("client_refused", name_, message);
    channel_->writeRaw("@ERROR: " + message + "\n");
    close();
}

void Session::fail(const std::string& message, int code) {
    if (state_ < State::Stream && state_ != State::Negotiation) return refuse(message);
    channel_->sendMessage(MessageTag::Error, "spokewheel: " + message + "\n");
    if (parameters_.protocol >= 31) {
        std::string text;
        putU32(text, static_cast<std::uint32_t>(code));
        channel_->sendMessage(MessageTag::ErrorExit, text);
    }
    close();
}

// Sends pending output, then gives the client a few seconds to close its side.
void Session::close() {
    transfer_.reset();
    store_.reset();
    keepAliveTimer_.cancel();
    state_ = State::Closing;
    channel_->flush();
    connection_->shutdownWrite();
    connection_->resumeReading();
    idleTimer_.arm(1000 * std::min(5.0, context_.settings.clientIdleS), [this] { teardown(); });
}

void Session::drain() {
    draining_ = true;
    if (state_ < State::Arguments) refuse("this host is stopping, try another");
}

void Session::abort() { teardown(); }

void Session::evict() {
    context_.logEvent("gave_way", name_, "handshake limit reached: oldest handshake of its address");
    teardown();
}

void Session::teardown() {
    const auto keep = shared_from_this();
    transfer_.reset();
    store_.reset();
    advanceTimer_.cancel();
    idleTimer_.cancel();
    keepAliveTimer_.cancel();
    connection_->close();
    state_ = State::Closing;
    if (const auto onClosed = std::exchange(onClosed_, nullptr)) onClosed();
}

}  // namespace spokewheel::fronts::rsync
