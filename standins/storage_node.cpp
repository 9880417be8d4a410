#include "standins/storage_node.hpp"

#include <glib.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <stdexcept>
#include <utility>

#include "wire/http/digest.hpp"

namespace spokewheel::standins {
namespace {

// Header of a record in the data file; target, metadata and body follow it, with these lengths in bytes.
struct RecordHeader {
    char magic[4];
    std::uint32_t targetBytes, metaBytes;
    std::uint64_t bodyBytes;
};
// A longer target or longer metadata is refused, and marks a record that is read as corrupt.
constexpr std::uint32_t kMaxTargetBytes = 4096, kMaxMetaBytes = 65536;
constexpr char kMagic[4] = {'S', 'P', 'O', '1'};
constexpr std::size_t kMaxFeedBytes = 1 << 20;  // of one response

// Parses the whole text as a number; false, with `value` unchanged, if it is not one.
template <class T>
bool parseNumber(const std::string& text, T& value) {
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    return !text.empty() && error == std::errc() && end == last;
}
// A JSON string literal; drops control characters.
std::string jsonString(const std::string& text) {
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') out += '\\';
        if (static_cast<unsigned char>(c) >= 0x20) out += c;
    }
    return out + "\"";
}

}  // namespace

StorageNode::StorageNode(const io::Address& at, const io::Address& control, NodeSettings settings)
    : settings_(std::move(settings)) {
    open();
    if (!settings_.trace.empty()) trace_ = std::fopen(settings_.trace.c_str(), "a");
    startedMs_ = lastFlushMs_ = io::nowMs();
    server_ =
        std::make_unique<HttpServer>(at, HttpServer::Handler{[this](Request r) { onRequest(std::move(r)); },
                                                             [this](std::uint64_t c) { onDisconnected(c); }});
    control_ = std::make_unique<HttpServer>(
        control, HttpServer::Handler{[this](Request r) { onControl(std::move(r)); }, {}});
    name_ = at.host + ":" + std::to_string(server_->port());
    if (!settings_.meter.directory.empty())
        meter_ = std::make_unique<Meter>(settings_.meter, std::to_string(server_->port()));
    trace("start", {});
}

StorageNode::~StorageNode() {
    trace("end", {});  // a trace without it is incomplete
    if (data_) std::fclose(data_);
    if (trace_) std::fclose(trace_);
}

void StorageNode::open() {
    std::filesystem::create_directories(settings_.directory);
    const auto path = settings_.directory + "/objects";
    data_ = std::fopen(path.c_str(), "a+b");
    if (!data_) throw std::runtime_error("cannot open " + path);
    const auto epochPath = settings_.directory + "/epoch";
    gchar* text = nullptr;
    if (g_file_get_contents(epochPath.c_str(), &text, nullptr, nullptr)) epoch_ = text;
    g_free(text);
    if (epoch_.empty()) {
        gchar* uuid = g_uuid_string_random();
        epoch_ = uuid;
        g_free(uuid);
        g_file_set_contents(epochPath.c_str(), epoch_.c_str(), -1, nullptr);
    }
    std::fseek(data_, 0, SEEK_END);
    const auto size = static_cast<std::uint64_t>(std::ftell(data_));
    std::rewind(data_);
    for (;;) {
        RecordHeader header;
        if (std::fread(&header, sizeof header, 1, data_) != 1 || std::memcmp(header.magic, kMagic, 4) != 0)
            break;
        const auto bodyOffset = dataEnd_ + sizeof header + header.targetBytes + header.metaBytes;
        if (header.targetBytes > kMaxTargetBytes || header.metaBytes > kMaxMetaBytes ||
            bodyOffset + header.bodyBytes > size)
            break;
        std::string target(header.targetBytes, '\0'), meta(header.metaBytes, '\0');
        if (std::fread(target.data(), 1, target.size(), data_) != target.size() ||
            std::fread(meta.data(), 1, meta.size(), data_) != meta.size())
            break;
        std::fseek(data_, static_cast<long>(header.bodyBytes), SEEK_CUR);
        objects_[target] = {bodyOffset, header.bodyBytes, ++sequence_, meta};
        if (!meta.empty()) feed_.push_back(target);
        dataEnd_ = bodyOffset + header.bodyBytes;
    }
    if (dataEnd_ < size && ftruncate(fileno(data_), static_cast<off_t>(dataEnd_)) != 0)
        throw std::runtime_error("cannot truncate the incomplete last record of " + path);
    std::fseek(data_, 0, SEEK_END);
}

void StorageNode::trace(const char* event, const Request& request, int status) {
    if (!trace_) return;
    const auto* host = request.head.find("Spokewheel-Host");
    const auto* attempt = request.head.find("Spokewheel-Attempt");
    std::fprintf(trace_,
                 "{\"line\":%llu,\"us\":%lld,\"node\":%s,\"event\":\"%s\",\"method\":%s,"
                 "\"target\":%s,\"host\":%s,\"attempt\":%s,\"connection\":%llu,\"bytes\":%zu,"
                 "\"status\":%d}\n",
                 static_cast<unsigned long long>(++traceLines_),
                 static_cast<long long>(g_get_monotonic_time()), jsonString(name_).c_str(), event,
                 jsonString(request.head.method).c_str(), jsonString(request.path).c_str(),
                 jsonString(host ? *host : "").c_str(), jsonString(attempt ? *attempt : "").c_str(),
                 static_cast<unsigned long long>(request.connection), request.body.size(), status);
    std::fflush(trace_);
}

double StorageNode::capacity() const {
    if (settings_.coldMs <= 0) return 1;
    const double age = std::min(1.0, (io::nowMs() - startedMs_) / settings_.coldMs);
    return settings_.coldShare + (1 - settings_.coldShare) * age;
}

double StorageNode::workMs(const Request& request) {
    std::uint64_t bytes = request.body.size();
    if (const auto found = objects_.find(request.path); found != objects_.end()) bytes = found->second.size;
    double work = settings_.baseMs + settings_.perMiBMs * static_cast<double>(bytes) / (1 << 20);
    if (request.head.method == "PUT") {
        deferredMs_ += work * settings_.deferShare;
        work *= 1 - settings_.deferShare;
    }
    const double now = io::nowMs();
    if (now > lastFlushMs_ + settings_.deferEveryMs) {  // this request does all the deferred work
        work += std::exchange(deferredMs_, 0);
        lastFlushMs_ = now;
    }
    return work * faults_.slow / capacity();
}

void StorageNode::onRequest(Request request) {
    if (request.path == "/changes") return onChanges(request);
    if (request.path == "/load")
        return server_->answer(request.connection, 200, {},
                               "waiting " + std::to_string(waiting_.size()) + "\n");
    ++arrived_;
    trace("arrive", request);
    const bool full = waiting_.size() >= settings_.queue;
    if (full || (faults_.refuse && consumeFault())) {
        ++refused_;
        trace("refuse", request, 503);
        return server_->answer(request.connection, 503, {{"Retry-After", "1"}}, "");
    }
    if (!request.body.empty() && faults_.damage && consumeFault())
        request.body[request.body.size() / 2] = static_cast<char>(request.body[request.body.size() / 2] ^ 1);
    auto task = std::make_shared<Task>();
    task->request = std::move(request);
    if (faults_.deaf && consumeFault()) return;
    waiting_.push_back(std::move(task));
    startQueued();
}

void StorageNode::onDisconnected(std::uint64_t connection) {
    feedQueries_.erase(connection);
    // Queued requests of a client that has disconnected are dropped; running ones are finished.
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if ((*it)->request.connection != connection) ++it;
        else {
            trace("dropped", (*it)->request);
            it = waiting_.erase(it);
        }
    }
}

void StorageNode::startQueued() {
    while (!waiting_.empty() && running_.size() < static_cast<std::size_t>(settings_.cores)) {
        auto task = std::move(waiting_.front());
        waiting_.pop_front();
        const double work = workMs(task->request);
        if (work <= 0) {
            execute(task);
            continue;
        }
        running_.insert(task);
        auto timer = std::make_shared<io::Timer>();
        timer->arm(work, [this, task, timer] {
            running_.erase(task);
            execute(task);
            startQueued();
        });
    }
}

void StorageNode::execute(const std::shared_ptr<Task>& task) {
    const auto& request = task->request;
    const bool write = request.head.method == "PUT",
               read = request.head.method == "GET" || request.head.method == "HEAD";
    if (write) put(request);
    else if (read) get(request);
    else reply(request, 405, {}, "");
}

bool StorageNode::consumeFault() {
    if (faults_.times < 0) return true;
    if (faults_.times == 0) return false;
    --faults_.times;
    return true;
}

void StorageNode::reply(const Request& request, int status, wire::http::Fields fields, std::string body) {
    const auto connection = request.connection;
    if (const auto* label = request.head.find("Spokewheel-Attempt"); meter_ && label && status < 300) {
        meter_->recordServed(*label);
        if (const auto usage = meter_->usage(*label); usage > 0)
            fields.emplace_back("Spokewheel-Usage", std::to_string(usage));
    }
    const bool anyFault = faults_.silent || faults_.cutBeforeAnswer || faults_.cutIdle || faults_.flip ||
                          faults_.cutBody >= 0 || faults_.lateMs > 0;
    const bool injectFault = anyFault && consumeFault();
    if (injectFault && faults_.silent) return trace("silent", request, status);
    if (injectFault && faults_.cutBeforeAnswer) {
        trace("cut", request, status);
        return server_->close(connection);
    }
    if (injectFault && faults_.flip && !body.empty())
        body[body.size() / 2] = static_cast<char>(body[body.size() / 2] ^ 1);
    if (injectFault && faults_.cutBody >= 0 && status == 200 && !body.empty()) {
        trace("cut", request, status);
        return server_->answerTruncated(connection, status, std::move(body),
                                        static_cast<std::size_t>(faults_.cutBody));
    }
    if (injectFault && faults_.lateMs > 0) {
        auto timer = std::make_shared<io::Timer>();
        timer->arm(faults_.lateMs, [this, request, status, fields, body, timer] {
            trace("answer", request, status);
            server_->answer(request.connection, status, fields, body);
        });
        return;
    }
    trace("answer", request, status);
    server_->answer(connection, status, fields, std::move(body));
    if (injectFault && faults_.cutIdle) server_->closeIdle();
}

void StorageNode::put(const Request& request) {
    if (const auto* digest = request.head.find("Repr-Digest")) {
        const auto check = wire::http::checkDigest(*digest, request.body);
        if (check == wire::http::DigestCheck::Differs || check == wire::http::DigestCheck::Malformed) {
            trace("damaged", request, 400);
            return reply(request, 400, {{"Want-Repr-Digest", "sha-256=10"}}, "");
        }
    }
    const auto* condition = request.head.find("If-None-Match");
    const auto found = objects_.find(request.path);
    if (found != objects_.end() && condition && *condition == "*") {
        trace("kept", request, 412);
        return reply(request, 412, {}, "");
    }
    const auto* meta = request.head.find("Spokewheel-Meta");
    RecordHeader header;
    std::memcpy(header.magic, kMagic, 4);
    header.targetBytes = static_cast<std::uint32_t>(request.path.size());
    header.metaBytes = static_cast<std::uint32_t>(meta ? meta->size() : 0);
    header.bodyBytes = request.body.size();
    if (request.path.size() > kMaxTargetBytes || header.metaBytes > kMaxMetaBytes)
        return reply(request, 400, {}, "");
    bool written = std::fwrite(&header, sizeof header, 1, data_) == 1;
    written =
        std::fwrite(request.path.data(), 1, request.path.size(), data_) == request.path.size() && written;
    if (meta) written = std::fwrite(meta->data(), 1, meta->size(), data_) == meta->size() && written;
    written =
        std::fwrite(request.body.data(), 1, request.body.size(), data_) == request.body.size() && written;
    written = std::fflush(data_) == 0 && written;
    if (!written) return reply(request, 500, {}, "");
    const auto bodyOffset = dataEnd_ + sizeof header + header.targetBytes + header.metaBytes;
    dataEnd_ = bodyOffset + header.bodyBytes;
    objects_[request.path] = {bodyOffset, header.bodyBytes, ++sequence_, meta ? *meta : ""};
    ++executed_;
    trace("execute", request, 201);
    if (meta) {
        feed_.push_back(request.path);
        // Sent from the event loop, so that one response carries all changes of the same iteration.
        for (auto& [connection, query] : feedQueries_)
            query.timer->arm(0, [this, c = connection, after = query.after] { sendChanges(c, after); });
    }
    reply(request, 201, {}, "");
}

void StorageNode::get(const Request& request) {
    const auto found = objects_.find(request.path);
    if (found == objects_.end()) return reply(request, 404, {}, "");
    const auto& object = found->second;
    wire::http::Range range{0, object.size ? object.size - 1 : 0};
    int status = 200;
    if (const auto* text = request.head.find("Range")) {
        const auto requested = wire::http::parseRange(*text);
        if (requested && requested->first >= object.size) return reply(request, 416, {}, "");
        if (requested) range = {requested->first, std::min(requested->last, object.size - 1)}, status = 206;
    }
    std::string body(object.size ? range.last - range.first + 1 : 0, '\0');
    const auto bytesRead =
        pread(fileno(data_), body.data(), body.size(), static_cast<off_t>(object.offset + range.first));
    if (bytesRead != static_cast<ssize_t>(body.size())) return reply(request, 500, {}, "");
    ++executed_;
    trace("execute", request, status);
    reply(request, status, {}, std::move(body));
}

// ---------------------------------------------------------------- change feed
void StorageNode::onChanges(const Request& request) {
    const auto parameter = [&request](const char* name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    };
    std::uint64_t after = 0;
    int wait = 0;
    if (parameter("epoch") == epoch_) parseNumber(parameter("after"), after);
    parseNumber(parameter("wait"), wait);
    const bool hasChanges = !feed_.empty() && objects_.at(feed_.back()).sequence > after;
    if (hasChanges || wait <= 0) return sendChanges(request.connection, after);
    auto& query = feedQueries_[request.connection];
    query.after = after;
    query.timer = std::make_unique<io::Timer>();
    query.timer->arm(std::min(wait, 60000), [this, c = request.connection, after] { sendChanges(c, after); });
}

void StorageNode::sendChanges(std::uint64_t connection, std::uint64_t after) {
    if (const auto query = feedQueries_.find(connection); query != feedQueries_.end()) {
        const auto keepAlive = std::move(query->second);  // this function may run from its timer
        feedQueries_.erase(query);
    }
    auto target = std::partition_point(
        feed_.begin(), feed_.end(), [&](const std::string& t) { return objects_.at(t).sequence <= after; });
    std::string lines;
    std::uint64_t lastSequence = after;
    for (; target != feed_.end() && lines.size() < kMaxFeedBytes; ++target) {
        const auto& object = objects_.at(*target);
        // Targets are "/VOLUME/o/ID".
        const auto volumeEnd = target->find('/', 1), lastSlash = target->rfind('/');
        if (volumeEnd == target->npos || volumeEnd == lastSlash) continue;
        lines += std::to_string(object.sequence) + " " + target->substr(1, volumeEnd - 1) + " " +
                 target->substr(lastSlash + 1) + " " + object.meta + "\n";
        lastSequence = object.sequence;
    }
    const bool more = target != feed_.end();
    server_->answer(
        connection, 200, {},
        "epoch " + epoch_ + " " + std::to_string(lastSequence) + " " + (more ? "1" : "0") + "\n" + lines);
}

// ---------------------------------------------------------------- control
bool StorageNode::setFault(const std::string& name, const std::string& value) {
    const std::map<std::string, bool*> flags = {
        {"silent", &faults_.silent},      {"deaf", &faults_.deaf},
        {"refuse", &faults_.refuse},      {"cut-before-answer", &faults_.cutBeforeAnswer},
        {"cut-idle", &faults_.cutIdle},   {"flip", &faults_.flip},
        {"half-open", &faults_.halfOpen}, {"damage", &faults_.damage}};
    if (const auto flag = flags.find(name); flag != flags.end()) *flag->second = value == "1";
    else if (name == "cut-body") return parseNumber(value, faults_.cutBody);
    else if (name == "late-ms") return parseNumber(value, faults_.lateMs);
    else if (name == "slow") return parseNumber(value, faults_.slow) && faults_.slow > 0;
    else if (name == "times") return parseNumber(value, faults_.times);
    else return false;
    if (name == "half-open") server_->pauseAll(faults_.halfOpen);
    return value == "0" || value == "1";
}

// POST /faults?silent=1&times=3 sets faults, POST /clear clears all of them, POST /cut-idle closes idle
// connections, GET /counts returns the counters.
void StorageNode::onControl(Request request) {
    int status = 200;
    if (request.path == "/clear") {
        server_->pauseAll(false);
        faults_ = {};
    } else if (request.path == "/faults") {
        for (const auto& [name, value] : request.query)
            if (!setFault(name, value)) status = 400;
    } else if (request.path == "/cut-idle") server_->closeIdle();
    else if (request.path != "/counts") status = 404;
    control_->answer(request.connection, status, {},
                     "arrived " + std::to_string(arrived_) + "\nexecuted " + std::to_string(executed_) +
                         "\nrefused " + std::to_string(refused_) + "\nwaiting " +
                         std::to_string(waiting_.size()) + "\nrunning " + std::to_string(running_.size()) +
                         "\nobjects " + std::to_string(objects_.size()) + "\nconnections " +
                         std::to_string(server_->connections()) + "\n");
}

}  // namespace spokewheel::standins
