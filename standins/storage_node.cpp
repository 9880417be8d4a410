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

// A record of the data file: this head, target, metadata, body.
struct RecordHead {
    char magic[4];
    std::uint32_t target, meta;
    std::uint64_t body;
};
constexpr char kMagic[4] = {'S', 'P', 'O', '1'};
constexpr std::size_t kMostFeedBytes = 1 << 20;

template <class T>
bool number(const std::string& text, T& value) {
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    return !text.empty() && error == std::errc() && end == last;
}
std::string json(const std::string& text) {
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
    startedAt_ = flushedAt_ = io::nowMs();
    server_ =
        std::make_unique<HttpServer>(at, HttpServer::Handler{[this](Request r) { onRequest(std::move(r)); },
                                                             [this](std::uint64_t c) { onGone(c); }});
    control_ = std::make_unique<HttpServer>(
        control, HttpServer::Handler{[this](Request r) { onControl(std::move(r)); }, {}});
    name_ = at.host + ":" + std::to_string(server_->port());
    if (!settings_.meter.directory.empty())
        meter_ = std::make_unique<Meter>(settings_.meter, std::to_string(server_->port()));
    trace("start", {});
}

StorageNode::~StorageNode() {
    trace("end", {});  // a record without it was cut off
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
        RecordHead head;
        if (std::fread(&head, sizeof head, 1, data_) != 1 || std::memcmp(head.magic, kMagic, 4) != 0) break;
        const auto bodyAt = end_ + sizeof head + head.target + head.meta;
        if (head.target > 4096 || head.meta > 65536 || bodyAt + head.body > size) break;
        std::string target(head.target, '\0'), meta(head.meta, '\0');
        if (std::fread(target.data(), 1, target.size(), data_) != target.size() ||
            std::fread(meta.data(), 1, meta.size(), data_) != meta.size())
            break;
        std::fseek(data_, static_cast<long>(head.body), SEEK_CUR);
        objects_[target] = {bodyAt, head.body, ++sequence_, meta};
        if (!meta.empty()) feed_.push_back(target);
        end_ = bodyAt + head.body;
    }
    if (end_ < size && ftruncate(fileno(data_), static_cast<off_t>(end_)) != 0)
        throw std::runtime_error("cannot cut the torn end of " + path);
    std::fseek(data_, 0, SEEK_END);
}

void StorageNode::trace(const char* event, const Request& r, int status) {
    if (!trace_) return;
    const auto* host = r.head.find("Spokewheel-Host");
    const auto* attempt = r.head.find("Spokewheel-Attempt");
    std::fprintf(trace_,
                 "{\"line\":%llu,\"us\":%lld,\"node\":%s,\"event\":\"%s\",\"method\":%s,"
                 "\"target\":%s,\"host\":%s,\"attempt\":%s,\"connection\":%llu,\"bytes\":%zu,"
                 "\"status\":%d}\n",
                 static_cast<unsigned long long>(++traced_), static_cast<long long>(g_get_monotonic_time()),
                 json(name_).c_str(), event, json(r.head.method).c_str(), json(r.path).c_str(),
                 json(host ? *host : "").c_str(), json(attempt ? *attempt : "").c_str(),
                 static_cast<unsigned long long>(r.connection), r.body.size(), status);
    std::fflush(trace_);
}

double StorageNode::capacity() const {
    if (settings_.coldMs <= 0) return 1;
    const double age = std::min(1.0, (io::nowMs() - startedAt_) / settings_.coldMs);
    return settings_.coldShare + (1 - settings_.coldShare) * age;
}

double StorageNode::workMs(const Request& r) {
    std::uint64_t bytes = r.body.size();
    if (const auto found = objects_.find(r.path); found != objects_.end()) bytes = found->second.size;
    double work = settings_.baseMs + settings_.perMiBMs * static_cast<double>(bytes) / (1 << 20);
    if (r.head.method == "PUT") {
        deferredMs_ += work * settings_.deferShare;
        work *= 1 - settings_.deferShare;
    }
    const double now = io::nowMs();
    if (now > flushedAt_ + settings_.deferEveryMs) {  // the put-off work falls to whoever comes now
        work += std::exchange(deferredMs_, 0);
        flushedAt_ = now;
    }
    return work * faults_.slow / capacity();
}

void StorageNode::onRequest(Request r) {
    if (r.path == "/changes") return changes(r);
    if (r.path == "/load")
        return server_->answer(r.connection, 200, {}, "waiting " + std::to_string(waiting_.size()) + "\n");
    ++arrived_;
    trace("arrive", r);
    const bool full = waiting_.size() >= settings_.queue;
    if (full || (faults_.refuse && faulty())) {
        ++refused_;
        trace("refuse", r, 503);
        return server_->answer(r.connection, 503, {{"Retry-After", "1"}}, "");
    }
    if (!r.body.empty() && faults_.damage && faulty())
        r.body[r.body.size() / 2] = static_cast<char>(r.body[r.body.size() / 2] ^ 1);
    auto task = std::make_shared<Task>();
    task->request = std::move(r);
    if (faults_.deaf && faulty()) return;
    waiting_.push_back(std::move(task));
    run();
}

void StorageNode::onGone(std::uint64_t connection) {
    watchers_.erase(connection);
    // Waiting work of a client that is gone is dropped; running work goes on.
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if ((*it)->request.connection != connection) ++it;
        else {
            trace("dropped", (*it)->request);
            it = waiting_.erase(it);
        }
    }
}

void StorageNode::run() {
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
            run();
        });
    }
}

void StorageNode::execute(const std::shared_ptr<Task>& task) {
    const auto& r = task->request;
    const bool write = r.head.method == "PUT", read = r.head.method == "GET" || r.head.method == "HEAD";
    if (write) put(r);
    else if (read) get(r);
    else reply(r, 405, {}, "");
}

bool StorageNode::faulty() {
    if (faults_.times < 0) return true;
    if (faults_.times == 0) return false;
    --faults_.times;
    return true;
}

void StorageNode::reply(const Request& r, int status, wire::http::Fields fields, std::string body) {
    const auto connection = r.connection;
    if (const auto* label = r.head.find("Spokewheel-Attempt"); meter_ && label && status < 300) {
        meter_->served(*label);
        if (const auto usage = meter_->usage(*label); usage > 0)
            fields.emplace_back("Spokewheel-Usage", std::to_string(usage));
    }
    const bool any = faults_.silent || faults_.cutBeforeAnswer || faults_.cutIdle || faults_.flip ||
                     faults_.cutBody >= 0 || faults_.lateMs > 0;
    const bool now = any && faulty();
    if (now && faults_.silent) return trace("silent", r, status);
    if (now && faults_.cutBeforeAnswer) {
        trace("cut", r, status);
        return server_->cut(connection);
    }
    if (now && faults_.flip && !body.empty())
        body[body.size() / 2] = static_cast<char>(body[body.size() / 2] ^ 1);
    if (now && faults_.cutBody >= 0 && status == 200 && !body.empty()) {
        trace("cut", r, status);
        return server_->answerCut(connection, status, std::move(body),
                                  static_cast<std::size_t>(faults_.cutBody));
    }
    if (now && faults_.lateMs > 0) {
        auto timer = std::make_shared<io::Timer>();
        timer->arm(faults_.lateMs, [this, r, status, fields, body, timer] {
            trace("answer", r, status);
            server_->answer(r.connection, status, fields, body);
        });
        return;
    }
    trace("answer", r, status);
    server_->answer(connection, status, fields, std::move(body));
    if (now && faults_.cutIdle) server_->cutIdle();
}

void StorageNode::put(const Request& r) {
    if (const auto* told = r.head.find("Repr-Digest")) {
        const auto found = wire::http::checkDigest(*told, r.body);
        if (found == wire::http::DigestCheck::Differs || found == wire::http::DigestCheck::Malformed) {
            trace("damaged", r, 400);
            return reply(r, 400, {{"Want-Repr-Digest", "sha-256=10"}}, "");
        }
    }
    const auto* condition = r.head.find("If-None-Match");
    const auto found = objects_.find(r.path);
    if (found != objects_.end() && condition && *condition == "*") {
        trace("kept", r, 412);
        return reply(r, 412, {}, "");
    }
    const auto* meta = r.head.find("Spokewheel-Meta");
    RecordHead head;
    std::memcpy(head.magic, kMagic, 4);
    head.target = static_cast<std::uint32_t>(r.path.size());
    head.meta = static_cast<std::uint32_t>(meta ? meta->size() : 0);
    head.body = r.body.size();
    if (r.path.size() > 4096 || head.meta > 65536) return reply(r, 400, {}, "");
    bool fine = std::fwrite(&head, sizeof head, 1, data_) == 1;
    fine = std::fwrite(r.path.data(), 1, r.path.size(), data_) == r.path.size() && fine;
    if (meta) fine = std::fwrite(meta->data(), 1, meta->size(), data_) == meta->size() && fine;
    fine = std::fwrite(r.body.data(), 1, r.body.size(), data_) == r.body.size() && fine;
    fine = std::fflush(data_) == 0 && fine;
    if (!fine) return reply(r, 500, {}, "");
    const auto bodyAt = end_ + sizeof head + head.target + head.meta;
    end_ = bodyAt + head.body;
    objects_[r.path] = {bodyAt, head.body, ++sequence_, meta ? *meta : ""};
    ++executed_;
    trace("execute", r, 201);
    if (meta) {
        feed_.push_back(r.path);
        // Told from the loop, so that changes of one turn go out together.
        for (auto& [connection, w] : watchers_)
            w.timer->arm(0, [this, c = connection, after = w.after] { tellChanges(c, after); });
    }
    reply(r, 201, {}, "");
}

void StorageNode::get(const Request& r) {
    const auto found = objects_.find(r.path);
    if (found == objects_.end()) return reply(r, 404, {}, "");
    const auto& o = found->second;
    wire::http::Range range{0, o.size ? o.size - 1 : 0};
    int status = 200;
    if (const auto* text = r.head.find("Range")) {
        const auto asked = wire::http::parseRange(*text);
        if (asked && asked->first >= o.size) return reply(r, 416, {}, "");
        if (asked) range = {asked->first, std::min(asked->last, o.size - 1)}, status = 206;
    }
    std::string body(o.size ? range.last - range.first + 1 : 0, '\0');
    const auto n = pread(fileno(data_), body.data(), body.size(), static_cast<off_t>(o.offset + range.first));
    if (n != static_cast<ssize_t>(body.size())) return reply(r, 500, {}, "");
    ++executed_;
    trace("execute", r, status);
    reply(r, status, {}, std::move(body));
}

// ---------------------------------------------------------------- feed of changes
void StorageNode::changes(const Request& r) {
    const auto text = [&r](const char* name) {
        const auto found = r.query.find(name);
        return found == r.query.end() ? std::string() : found->second;
    };
    std::uint64_t after = 0;
    int wait = 0;
    if (text("epoch") == epoch_) number(text("after"), after);
    number(text("wait"), wait);
    const bool news = !feed_.empty() && objects_.at(feed_.back()).sequence > after;
    if (news || wait <= 0) return tellChanges(r.connection, after);
    auto& w = watchers_[r.connection];
    w.after = after;
    w.timer = std::make_unique<io::Timer>();
    w.timer->arm(std::min(wait, 60000), [this, c = r.connection, after] { tellChanges(c, after); });
}

void StorageNode::tellChanges(std::uint64_t connection, std::uint64_t after) {
    if (const auto w = watchers_.find(connection); w != watchers_.end()) {
        const auto keep = std::move(w->second);  // this may run from its timer
        watchers_.erase(w);
    }
    auto at = std::partition_point(feed_.begin(), feed_.end(),
                                   [&](const std::string& t) { return objects_.at(t).sequence <= after; });
    std::string lines;
    std::uint64_t upTo = after;
    for (; at != feed_.end() && lines.size() < kMostFeedBytes; ++at) {
        const auto& o = objects_.at(*at);
        // "/volume/o/id"
        const auto slash = at->find('/', 1), last = at->rfind('/');
        if (slash == at->npos || slash == last) continue;
        lines += std::to_string(o.sequence) + " " + at->substr(1, slash - 1) + " " + at->substr(last + 1) +
                 " " + o.meta + "\n";
        upTo = o.sequence;
    }
    const bool more = at != feed_.end();
    server_->answer(connection, 200, {},
                    "epoch " + epoch_ + " " + std::to_string(upTo) + " " + (more ? "1" : "0") + "\n" + lines);
}

// ---------------------------------------------------------------- control
bool StorageNode::setFault(const std::string& name, const std::string& value) {
    const std::map<std::string, bool*> flags = {
        {"silent", &faults_.silent},      {"deaf", &faults_.deaf},
        {"refuse", &faults_.refuse},      {"cut-before-answer", &faults_.cutBeforeAnswer},
        {"cut-idle", &faults_.cutIdle},   {"flip", &faults_.flip},
        {"half-open", &faults_.halfOpen}, {"damage", &faults_.damage}};
    if (const auto f = flags.find(name); f != flags.end()) *f->second = value == "1";
    else if (name == "cut-body") return number(value, faults_.cutBody);
    else if (name == "late-ms") return number(value, faults_.lateMs);
    else if (name == "slow") return number(value, faults_.slow) && faults_.slow > 0;
    else if (name == "times") return number(value, faults_.times);
    else return false;
    if (name == "half-open") server_->pauseAll(faults_.halfOpen);
    return value == "0" || value == "1";
}

// POST /faults?silent=1&times=3 sets, POST /clear takes all back, GET /counts tells, POST /cut-idle acts.
void StorageNode::onControl(Request r) {
    int status = 200;
    if (r.path == "/clear") {
        server_->pauseAll(false);
        faults_ = {};
    } else if (r.path == "/faults") {
        for (const auto& [name, value] : r.query)
            if (!setFault(name, value)) status = 400;
    } else if (r.path == "/cut-idle") server_->cutIdle();
    else if (r.path != "/counts") status = 404;
    control_->answer(r.connection, status, {},
                     "arrived " + std::to_string(arrived_) + "\nexecuted " + std::to_string(executed_) +
                         "\nrefused " + std::to_string(refused_) + "\nwaiting " +
                         std::to_string(waiting_.size()) + "\nrunning " + std::to_string(running_.size()) +
                         "\nobjects " + std::to_string(objects_.size()) + "\nconnections " +
                         std::to_string(server_->connections()) + "\n");
}

}  // namespace spokewheel::standins
