// Stand-ins for the cases of the review: clients, disk servers, a discovery agent, and the control of the
// scheduler's process. They follow PROTOCOL.md and use loopback addresses only. Each connection has a thread
// of its own; a mutex guards the record.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

inline double nowMs() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}
inline void sleepMs(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleepUntil(double at) { sleepMs(at - nowMs()); }

// The record of a case: one line for each event, with its time in milliseconds.
class Record {
  public:
    explicit Record(const std::string& path) : out_(path) {}
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        char at[32];
        std::snprintf(at, sizeof at, "%10.1f ", nowMs());
        const std::lock_guard<std::mutex> lock(mutex_);
        out_ << at << text << "\n" << std::flush;
    }

  private:
    std::mutex mutex_;
    std::ofstream out_;
};

// A listening socket on a free port of 127.0.0.1; -1 if there is none.
inline int listenLoopback(int& port, int type = SOCK_STREAM) {
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        (type == SOCK_STREAM && listen(fd, 512) != 0)) {
        close(fd);
        return -1;
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}
// A port that is free now, for a process that will listen on it.
inline int freePort(int type = SOCK_STREAM) {
    int port = 0;
    const int fd = listenLoopback(port, type);
    if (fd >= 0) close(fd);
    return port;
}
inline std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int dialLoopback(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return fd;
    close(fd);
    return -1;
}
inline bool sendAll(int fd, const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// One HTTP/1.1 message: a request (method, target) or a response (status). Field names are in lower case.
struct Message {
    std::string method, target, body;
    int status = 0;
    std::map<std::string, std::string> fields;
    std::string field(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
    // An entry of X-IO, such as "shard".
    std::string entry(const std::string& name) const {
        const auto text = "," + field("x-io");
        const auto at = text.find("," + name + "=");
        if (at == text.npos) return "";
        const auto from = at + name.size() + 2;
        return text.substr(from, text.find(',', from) - from);
    }
};

enum class ReadResult { Message, End, Reset, TimeOut };

// Reads one message with Content-Length (or without a body) from `fd`; `rest` keeps what comes behind it.
inline ReadResult readMessage(int fd, std::string& rest, Message& out, double untilMs = 1e18) {
    out = {};
    for (;;) {
        const auto headEnd = rest.find("\r\n\r\n");
        if (headEnd != rest.npos) {
            std::istringstream head(rest.substr(0, headEnd));
            std::string line, first, second;
            std::getline(head, line);
            std::istringstream start(line);
            start >> first >> second;
            if (first.rfind("HTTP/", 0) == 0) out.status = std::atoi(second.c_str());
            else out.method = first, out.target = second;
            out.fields.clear();
            while (std::getline(head, line)) {
                if (!line.empty() && line.back() == '\r') line.pop_back();
                const auto colon = line.find(':');
                if (colon == line.npos) continue;
                auto name = line.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(),
                               [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
                const auto from = line.find_first_not_of(" \t", colon + 1);
                out.fields[name] = from == line.npos ? "" : line.substr(from);
            }
            const auto length = static_cast<std::size_t>(std::atol(out.field("content-length").c_str()));
            if (rest.size() >= headEnd + 4 + length) {
                out.body = rest.substr(headEnd + 4, length);
                rest.erase(0, headEnd + 4 + length);
                return ReadResult::Message;
            }
        }
        const double left = untilMs - nowMs();
        if (left <= 0) return ReadResult::TimeOut;
        pollfd wait{fd, POLLIN, 0};
        if (poll(&wait, 1, static_cast<int>(std::min(left, 1000.0)) + 1) <= 0) continue;
        char buffer[65536];
        const auto n = recv(fd, buffer, sizeof buffer, 0);
        if (n == 0) return ReadResult::End;
        if (n < 0) return ReadResult::Reset;
        rest.append(buffer, static_cast<std::size_t>(n));
    }
}

// Whether the other side has closed or reset the connection.
inline bool hasEnded(int fd) {
    char byte;
    const auto n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

inline std::string response(int status, const std::string& body, const std::string& fields = "") {
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error") + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A disk server. `handle` runs in the thread of the connection once a request has come whole; it may sleep,
// and returns the bytes to send, or nothing to leave the request without an answer.
class DiskServer {
  public:
    using Handle = std::function<std::string(const Message& request, int fd)>;
    DiskServer(std::string id, int cell, Handle handle)
        : id_(std::move(id)), cell_(cell), handle_(std::move(handle)) {
        const int listener = listenLoopback(port_);
        std::thread([this, listener] {
            for (;;) {
                const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
            }
        }).detach();
    }
    const std::string& id() const { return id_; }
    int cell() const { return cell_; }
    std::string member(const std::string& phase = "up", double upSinceMs = 0) const {
        std::ostringstream out;
        out << std::fixed;
        out.precision(0);
        out << R"({"id":")" << id_ << R"(","host_port":")" << loopback(port_)
            << R"(","locality":"room-a","flavor":"small-2c","cell":)" << cell_ << R"(,"phase":")" << phase
            << R"(","size":1.0,"up_since_ms":)" << upSinceMs << "}";
        return out.str();
    }

  private:
    void serve(int fd) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string rest;
        Message request;
        while (readMessage(fd, rest, request) == ReadResult::Message) {
            const auto answer =
                request.entry("shard") != "-1" && request.entry("shard") != std::to_string(cell_)
                    ? response(503, "", "X-Not-Processed: 1\r\n")
                    : handle_(request, fd);
            if (!answer.empty() && !sendAll(fd, answer)) break;
        }
        close(fd);
    }
    std::string id_;
    int cell_, port_ = 0;
    Handle handle_;
};

// The discovery agent of one scheduler. A watch begins with the whole list; then comes each change, and an
// empty line every 2 s.
class Agent {
  public:
    Agent() {
        const int listener = listenLoopback(port_);
        std::thread([this, listener] {
            for (;;) {
                const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }
    // While discovery is down the agent takes connections and says nothing.
    void setSilent(bool silent) { silent_ = silent; }
    // Adds or changes a member; `member` is its JSON.
    void set(const std::string& id, const std::string& member) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++revision_;
        members_[id] = member;
        changes_.push_back({revision_, member});
    }
    // The object `known` of a configuration, in discovery's form.
    std::string list() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return listText();
    }

  private:
    struct Change {
        int revision;
        std::string member;
    };
    std::string listText() const {
        std::string members;
        for (const auto& [id, member] : members_) members += (members.empty() ? "" : ",") + member;
        return R"({"revision":)" + std::to_string(revision_) + R"(,"complete":true,"members":[)" + members +
               "]}";
    }
    static std::string chunk(const std::string& text) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        return size + text + "\r\n";
    }
    void serve(int fd) {
        std::string rest;
        Message request;
        if (readMessage(fd, rest, request) == ReadResult::Message) {
            while (silent_ && !hasEnded(fd)) sleepMs(5);
            std::size_t told;
            std::string first;
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                first = listText() + "\n";
                told = changes_.size();
            }
            if (request.target.find("stream=1") == request.target.npos) sendAll(fd, response(200, first));
            else if (sendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(first)))
                follow(fd, told);
        }
        close(fd);
    }
    void follow(int fd, std::size_t told) {
        for (double lastLine = nowMs(); !hasEnded(fd); sleepMs(5)) {
            std::string text;
            if (silent_) continue;
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                for (; told < changes_.size(); ++told)
                    text += R"({"revision":)" + std::to_string(changes_[told].revision) +
                            R"(,"complete":false,"members":[)" + changes_[told].member + "]}\n";
            }
            if (text.empty() && nowMs() > lastLine + 2000) text = "\n";
            if (text.empty()) continue;
            lastLine = nowMs();
            if (!sendAll(fd, chunk(text))) return;
        }
    }
    std::atomic<bool> silent_{false};
    std::mutex mutex_;
    int port_ = 0, revision_ = 40;
    std::map<std::string, std::string> members_;
    std::vector<Change> changes_;
};

// One scheduler, started by the `run` line of the deploy file. `settings`: the JSON object of that name.
class Scheduler {
  public:
    Scheduler(Record& record, std::string folder, std::string settings, std::string name = "n0")
        : record_(record),
          folder_(std::move(folder)),
          settings_(std::move(settings)),
          name_(std::move(name)) {
        port_ = freePort();
        peerPort_ = freePort(SOCK_DGRAM);
    }
    ~Scheduler() { kill(); }
    int port() const { return port_; }
    pid_t process() const { return pid_; }
    int peerPort() const { return peerPort_; }
    std::string configPath() const { return folder_ + "/" + name_ + ".json"; }
    // `peers`: the addresses of all schedulers as a JSON list; empty: this one alone.
    void configure(Agent& agent, int memoryMb = 192, int sockets = 256, const std::string& peers = "") {
        const auto path = configPath();
        std::ofstream out(path + ".new");
        out << R"({"name":")" << name_ << R"(","listen":")" << loopback(port_) << R"(","discovery":")"
            << loopback(agent.port()) << R"(","seed":"8c1f30d27a5be964",)"
            << R"("limits":{"cores":1.0,"memory_mb":)" << memoryMb << R"(,"sockets":)" << sockets
            << R"(},"peer_listen":")" << loopback(peerPort_) << R"(","peers":)"
            << (peers.empty() ? "[\"" + loopback(peerPort_) + "\"]" : peers) << R"(,"known":)" << agent.list()
            << R"(,"settings":)" << settings_ << "}\n";
        out.close();
        std::rename((path + ".new").c_str(), path.c_str());
    }
    // Starts the process and waits until it is ready; false if it is not within 10 s.
    bool start() {
        const char* run = std::getenv("RUN");
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case, whatever ends that
            setenv("LB_CONFIG", configPath().c_str(), 1);
            const auto log = folder_ + "/" + name_ + ".log";
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            execl("/bin/sh", "sh", "-c", run ? run : "exec build/bin/spokewheeld --platform", nullptr);
            _exit(127);
        }
        record_.line("scheduler %s started, process %d", name_.c_str(), pid_);
        for (const double until = nowMs() + 10000; nowMs() < until; sleepMs(50)) {
            const int fd = dialLoopback(port_);
            if (fd < 0) continue;
            std::string rest;
            Message answer;
            sendAll(fd, "GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n");
            const auto result = readMessage(fd, rest, answer, nowMs() + 1000);
            close(fd);
            if (result != ReadResult::Message || answer.status != 200) continue;
            record_.line("scheduler %s ready", name_.c_str());
            return true;
        }
        return false;
    }
    void signal(int number) {
        if (pid_ <= 0) return;
        record_.line("scheduler %s gets %s", name_.c_str(), strsignal(number));
        ::kill(pid_, number);
    }
    // Whether the process has ended on its own.
    bool ended() {
        if (pid_ <= 0) return true;
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
        record_.line("scheduler %s ended, status %d", name_.c_str(), status);
        pid_ = -1;
        return true;
    }
    void kill() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }

  private:
    Record& record_;
    std::string folder_, settings_, name_;
    int port_ = 0, peerPort_ = 0;
    pid_t pid_ = -1;
};

// The text of a client's request.
struct ClientRequest {
    std::string method = "GET", requestClass, plan, id, key = "0000000000000001", volume = "00000003b4d60021",
                body;
    int timeoutMs = 1000, units = 1, shard = 0, hosts = 1;
    std::string text() const {
        std::ostringstream out;
        out << method << " /" << requestClass << " HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " << id
            << "\r\nX-Priority-Class: " << requestClass << "\r\nX-Plan: " << plan
            << "\r\nCookie: block=" << key << "\r\nX-Timeout-Ms: " << timeoutMs << "\r\n";
        if (method == "PUT") out << "Content-Length: " << body.size() << "\r\n";
        out << "X-IO: volume=" << volume << ",units=" << units << ",shard=" << shard << ",hosts=" << hosts
            << "\r\n\r\n"
            << body;
        return out.str();
    }
};
inline std::string newId() {
    static std::atomic<unsigned> next{0x4c5e2d41};
    char text[20];
    std::snprintf(text, sizeof text, "9b1f03aa%08x", next++);
    return text;
}

// Whether the case plays its disruption: always, unless TROUBLE is 0.
inline bool withTrouble() {
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::strcmp(trouble, "0") != 0;
}
// Ends the case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
[[noreturn]] inline void finish(Record& record, Scheduler& scheduler, int code, const char* verdict) {
    scheduler.kill();
    record.line("%s", verdict);
    std::printf("%s\n", verdict);
    std::fflush(stdout);
    _exit(code);
}

// Settings of a small deployment: the values of the site files, one plan without a limit and one with.
struct SettingsText {
    std::string classes, writes, rules;
    int hosts = 1, rank = 0, sendCap = 3;
    std::string text() const {
        std::ostringstream out;
        out << R"({"classes":[)" << classes << R"(],"contracts":[)"
            << R"({"name":"basic","limit":10.0,"limit-burst":36.0,"slack":6.0,"nominal":2.6,)"
            << R"("reservation":1.3,)"
            << R"("shares":1.0,"worth-factor":0.96},{"name":"premium","limit":0.0,"limit-burst":0.0,)"
            << R"("slack":0.0,"nominal":10.0,"reservation":8.0,"shares":4.0,"worth-factor":1.8}],)"
            << R"("ceilings":{"cancel":true,"conn-idle-ms":30000.0,"dial-timeout-ms":250.0,"peers":true,)"
            << R"("probes":false,"retry-after":true,"max-retry-after-ms":1000.0,"second-copies":true,)"
            << R"("send-cap":)" << sendCap << R"(},"domain":{"class-writes":[)" << writes
            << R"(],"cold-units":32.0,"fair-worth":0.35,"spare-worth":0.05,"mean-units":2.05,"units-top":6,)"
            << R"("shards":3,"use-period-ms":0.0},"peers-total":)" << hosts << R"(,"rank":)" << rank
            << R"(,"registry-mode":"automatic","rules":{)" << rules
            << R"("cold-ms":17000.0,"cold-share":0.2,"drain-grace-ms":2000.0,"fall-ms":3000.0,)"
            << R"("grace-to-answer-ms":8.0,"tip-multiple":4.0},"tick-ms":2.0,"tier":0,"zone":"room-a"})";
        return out.str();
    }
};

// The archive's classes: reads, uploads that must never run twice, and exports.
inline SettingsText archiveSettings() {
    SettingsText settings;
    settings.classes =
        R"({"name":"tile-read","effect":"repeatable","group":"all","points":2.0,"on-time-ms":500.0,)"
        R"("deadline-ms":2500.0,"late-worth":0.1,"memory-span-ms":5000.0,"stream":false},)"
        R"({"name":"scan-upload","effect":"once","group":"all","points":3.0,"on-time-ms":500.0,)"
        R"("deadline-ms":4000.0,"late-worth":0.15,"memory-span-ms":5000.0,"stream":false},)"
        R"({"name":"bulk-export","effect":"repeatable","group":"all","points":1.0,"on-time-ms":2500.0,)"
        R"("deadline-ms":7500.0,"late-worth":0.25,"memory-span-ms":5000.0,"stream":false})";
    settings.writes = "false,true,false";
    return settings;
}
inline ClientRequest archiveUpload(std::string body) {
    ClientRequest request;
    request.method = "PUT", request.requestClass = "scan-upload", request.plan = "premium";
    request.id = newId(), request.timeoutMs = 4000, request.shard = -1, request.body = std::move(body);
    return request;
}
// The restaurants' classes: reads, and bookings that carry a key and keep their order.
inline SettingsText bookingSettings() {
    SettingsText settings;
    settings.sendCap = 4;
    settings.classes =
        R"({"name":"table-read","effect":"repeatable","group":"all","points":2.0,"on-time-ms":300.0,)"
        R"("deadline-ms":2500.0,"late-worth":0.2,"memory-span-ms":1500.0,"stream":false},)"
        R"({"name":"new-booking","effect":"by_key","group":"zone","points":3.0,"on-time-ms":250.0,)"
        R"("deadline-ms":1500.0,"late-worth":0.2,"memory-span-ms":1500.0,"in-order":true,"stream":false})";
    settings.writes = "false,true";
    settings.rules = R"("settle-after-doubt-ms":100.0,)";
    return settings;
}
inline ClientRequest booking(const std::string& method, const std::string& key, const std::string& body) {
    ClientRequest request;
    request.method = method, request.requestClass = method == "PUT" ? "new-booking" : "table-read";
    request.plan = "premium", request.id = newId(), request.key = key, request.body = body;
    request.timeoutMs = method == "PUT" ? 1500 : 2500;
    return request;
}

}  // namespace review
