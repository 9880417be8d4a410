// Small stand-ins for the cases of this review: discovery agents, disk servers, clients and the scheduler's
// process. They follow the protocol page, use loopback addresses only and one thread for each connection.
// Times are milliseconds since the start of the case.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace stand {

inline double nowMs() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}
inline long long wallMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
inline void sleepMs(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleepUntil(double atMs) { sleepMs(atMs - nowMs()); }

// Ends the case: it could not run.
[[noreturn]] inline void cannotRun(const std::string& why) {
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::_Exit(2);
}

// What was sent, answered and run, one event a line.
class Record {
  public:
    void open(const std::string& path) { file_.open(path, std::ios::trunc); }
    void line(const std::string& text) {
        const std::lock_guard<std::mutex> lock(mutex_);
        char at[32];
        std::snprintf(at, sizeof at, "%10.1f  ", nowMs());
        file_ << at << text << "\n" << std::flush;
    }

  private:
    std::mutex mutex_;
    std::ofstream file_;
};
inline Record& record() {
    static Record one;
    return one;
}

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}
inline int portOf(int socket) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}
// A free port of the type; it is free again when the function returns.
inline int freePort(int type) {
    const int s = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    if (bind(s, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) cannotRun("no free port");
    const int port = portOf(s);
    close(s);
    return port;
}

// A blocking TCP connection. The socket is closed with the object.
class Socket {
  public:
    explicit Socket(int s) : s_(s) {
        const int on = 1;
        if (s_ >= 0) setsockopt(s_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Socket() { shut(); }
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    // `segment`: the largest segment that it takes, 0: the system's.
    static std::shared_ptr<Socket> connect(int port, int segment = 0, int receiveBuffer = 0) {
        const int s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (segment > 0) setsockopt(s, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        if (receiveBuffer > 0) setsockopt(s, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        const auto address = loopback(port);
        if (::connect(s, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            close(s);
            return nullptr;
        }
        return std::make_shared<Socket>(s);
    }
    bool write(const std::string& bytes) {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const auto n = send(s_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (n <= 0) return false;
            done += static_cast<std::size_t>(n);
        }
        return true;
    }
    // Appends what comes to `to`. 1: bytes; 0: the other side has ended; -1: reset; -2: nothing in time.
    int read(std::string& to, double waitMs, std::size_t most = 65536) {
        pollfd readable{s_, POLLIN, 0};
        if (poll(&readable, 1, static_cast<int>(waitMs < 0 ? 0 : waitMs)) <= 0) return -2;
        std::vector<char> buffer(most);
        const auto n = recv(s_, buffer.data(), buffer.size(), 0);
        if (n > 0) to.append(buffer.data(), static_cast<std::size_t>(n));
        return n > 0 ? 1 : n == 0 ? 0 : -1;
    }
    // Closes with a reset.
    void reset() {
        const linger abort{1, 0};
        if (s_ >= 0) setsockopt(s_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        shut();
    }
    void shut() {
        if (s_ >= 0) close(s_);
        s_ = -1;
    }
    int fd() const { return s_; }

  private:
    int s_;
};
using SocketPtr = std::shared_ptr<Socket>;

// Calls `serve` in a thread of its own for each connection. Listens until the process ends.
class Listener {
  public:
    explicit Listener(std::function<void(SocketPtr)> serve) {
        s_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(s_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = loopback(0);
        if (bind(s_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(s_, 512) != 0)
            cannotRun("cannot listen");
        port_ = portOf(s_);
        std::thread([s = s_, serve = std::move(serve)] {
            for (;;) {
                const int accepted = accept4(s, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) return;
                std::thread([serve, socket = std::make_shared<Socket>(accepted)] { serve(socket); }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }

  private:
    int s_ = -1, port_ = 0;
};

// ---- HTTP/1.1 ----
struct Message {
    std::string startLine, body;
    std::map<std::string, std::string> fields;  // names in lower case
    std::string field(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
};
enum class Got { Whole, Ended, Reset, Nothing };
// Reads a message with a Content-Length, or without a body; `rest`: bytes read before and not used yet.
inline Got readMessage(Socket& socket, std::string& rest, Message& out, double waitMs) {
    const double until = nowMs() + waitMs;
    std::size_t headEnd = 0, length = 0;
    bool head = false;
    for (;;) {
        if (!head && (headEnd = rest.find("\r\n\r\n")) != std::string::npos) {
            head = true;
            out = {};
            std::istringstream lines(rest.substr(0, headEnd));
            std::string line;
            while (std::getline(lines, line)) {
                if (!line.empty() && line.back() == '\r') line.pop_back();
                const auto colon = line.find(':');
                if (out.startLine.empty()) out.startLine = line;
                else if (colon != std::string::npos) {
                    std::string name = line.substr(0, colon);
                    for (auto& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                    const auto from = line.find_first_not_of(' ', colon + 1);
                    out.fields[name] = from == std::string::npos ? "" : line.substr(from);
                }
            }
            length = static_cast<std::size_t>(std::atol(out.field("content-length").c_str()));
        }
        if (head && rest.size() >= headEnd + 4 + length) {
            out.body = rest.substr(headEnd + 4, length);
            rest.erase(0, headEnd + 4 + length);
            return Got::Whole;
        }
        const int got = socket.read(rest, until - nowMs());
        if (got == 1) continue;
        if (head) out.body = rest.substr(headEnd + 4);
        return got == 0 ? Got::Ended : got == -1 ? Got::Reset : Got::Nothing;
    }
}

// ---- discovery ----
struct Member {
    std::string id, zone = "a", phase = "up";
    int port = 0, cell = 0;
    long long upSinceMs = 0;
    int revision = 1;
};

// The discovery agent on one scheduler's machine: a watch as the protocol page has it, with an empty line
// every 2 s. While it is down it accepts connections and says nothing.
class Agent {
  public:
    Agent(std::string name, int revision)
        : name_(std::move(name)), revision_(revision), listener_([this](const SocketPtr& s) { serve(s); }) {}
    int port() const { return listener_.port(); }
    void set(Member member, bool isNews = true) {
        const std::lock_guard<std::mutex> lock(mutex_);
        member.revision = isNews ? ++revision_ : revision_;
        members_[member.id] = member;
        if (isNews) record().line("agent of " + name_ + " has learned: " + member.id + " " + member.phase);
    }
    void setDown(bool down) {
        record().line("agent of " + name_ + (down ? " is silent from now on" : " answers again"));
        down_ = down;
    }
    std::string list(int since = -1) {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::ostringstream out;
        out << "{\"revision\":" << revision_ << ",\"complete\":" << (since < 0 ? "true" : "false")
            << ",\"members\":[";
        const char* comma = "";
        for (const auto& [id, m] : members_) {
            if (since >= 0 ? m.revision <= since : m.phase == "removed") continue;
            out << comma << "{\"id\":\"" << id << "\",\"host_port\":\"127.0.0.1:" << m.port
                << "\",\"locality\":\"" << m.zone << "\",\"flavor\":\"m2\",\"cell\":" << m.cell
                << ",\"phase\":\"" << m.phase << "\",\"size\":1.0,\"up_since_ms\":" << m.upSinceMs << "}";
            comma = ",";
        }
        out << "]}";
        return out.str();
    }

  private:
    static std::string chunk(const std::string& text) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx", text.size());
        return std::string(size) + "\r\n" + text + "\r\n";
    }
    int revision() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return revision_;
    }
    void serve(const SocketPtr& socket) {
        std::string rest;
        Message request;
        if (readMessage(*socket, rest, request, 120000) != Got::Whole) return;
        const auto at = request.startLine.find("index=");
        int sent = at == std::string::npos ? -1 : std::atoi(request.startLine.c_str() + at + 6);
        bool begun = false;
        double lastAt = nowMs();
        for (;; sleepMs(5)) {
            std::string unused;
            const int got = socket->read(unused, 0);
            if (got == 0 || got == -1) return;
            if (down_) continue;
            std::string text;
            const int now = revision();
            if (sent < now) text = list(sent) + "\n";
            else if (!begun || nowMs() - lastAt >= 2000) text = "\n";
            if (text.empty()) continue;
            if (!begun) socket->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            if (!socket->write(chunk(text))) return;
            if (text.size() > 1)
                record().line("agent of " + name_ + " tells: " + text.substr(0, text.size() - 1));
            begun = true;
            lastAt = nowMs();
            sent = now;
        }
    }

    std::string name_;
    std::mutex mutex_;
    std::map<std::string, Member> members_;
    int revision_;
    std::atomic<bool> down_{false};
    Listener listener_;
};

// ---- disk servers ----
struct DiskAnswer {
    double afterMs = 5;
    int status = 200;
    std::string body;
    bool notProcessed = false;
};
// Serves one request at a time on a connection. `run` is called once the last byte has come.
class DiskServer {
  public:
    using Run = std::function<DiskAnswer(const Message&)>;
    DiskServer(std::string name, Run run)
        : name_(std::move(name)), run_(std::move(run)), listener_([this](const SocketPtr& s) { serve(s); }) {}
    int port() const { return listener_.port(); }

  private:
    void serve(const SocketPtr& socket) {
        std::string rest;
        Message request;
        while (readMessage(*socket, rest, request, 120000) == Got::Whole) {
            const auto answer = run_(request);
            sleepMs(answer.afterMs);
            const std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " x\r\n" +
                                     (answer.notProcessed ? "X-Not-Processed: 1\r\n" : "") +
                                     "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
            if (!socket->write(head + answer.body)) return;
        }
    }

    std::string name_;
    Run run_;
    Listener listener_;
};

// ---- clients ----
struct RequestSpec {
    std::string id, requestClass = "tile-read", plan = "premium", key = "7f3a9c21e0b4d655",
                    volume = "00000003b4d60021", body;
    int timeoutMs = 2000, units = 1, shard = 0, hosts = 1;
    bool write = false;
};
inline std::string textOf(const RequestSpec& r) {
    std::ostringstream out;
    out << (r.write ? "PUT /" : "GET /") << r.requestClass << " HTTP/1.1\r\nHost: service.internal\r\n"
        << "X-Request-ID: " << r.id << "\r\nX-Priority-Class: " << r.requestClass << "\r\nX-Plan: " << r.plan
        << "\r\nCookie: block=" << r.key << "\r\nX-Timeout-Ms: " << r.timeoutMs << "\r\n";
    if (r.write) out << "Content-Length: " << r.body.size() << "\r\n";
    out << "X-IO: volume=" << r.volume << ",units=" << r.units << ",shard=" << r.shard << ",hosts=" << r.hosts
        << "\r\n\r\n"
        << r.body;
    return out.str();
}
inline std::string newId() {
    static std::atomic<unsigned> next{1};
    char id[24];
    std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(getpid()), next++);
    return id;
}
inline int statusOf(const Message& answer) {
    return answer.startLine.size() > 12 ? std::atoi(answer.startLine.c_str() + 9) : 0;
}

// ---- the scheduler ----
struct Case {
    std::string run, folder;  // the command of the deploy file; a temporary folder
    bool trouble = true;
};
// argv: the run command, the file of the record, a temporary folder. The working directory is the project's
// root.
inline Case readArguments(int argc, char** argv) {
    if (argc != 4) cannotRun("usage: CASE RUN-COMMAND RECORD FOLDER");
    signal(SIGPIPE, SIG_IGN);
    nowMs();
    record().open(argv[2]);
    const char* trouble = std::getenv("TROUBLE");
    return {argv[1], argv[3], !trouble || std::string(trouble) != "0"};
}

// One scheduler of the platform, started by the deploy file's command. It is killed with the object.
class Scheduler {
  public:
    struct Options {
        std::string name = "n0", settings;
        int port = 0, agentPort = 0, sockets = 256, memoryMb = 64, peerPort = 0;
        std::vector<int> peers;
    };
    Scheduler(const Case& parent, Options options) : case_(parent), options_(std::move(options)) {}
    ~Scheduler() { kill(); }
    void start(const std::string& known) {
        const std::string file = case_.folder + "/" + options_.name + ".json";
        {
            std::ofstream out(file, std::ios::trunc);
            out << "{\"name\":\"" << options_.name << "\",\"listen\":\"127.0.0.1:" << options_.port
                << "\",\"discovery\":\"127.0.0.1:" << options_.agentPort << "\",\"seed\":\"" << std::hex
                << (wallMs() ^ (static_cast<long long>(getpid()) << 20)) << std::dec
                << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << options_.memoryMb
                << ",\"sockets\":" << options_.sockets << "}";
            if (options_.peerPort > 0) {
                out << ",\"peer_listen\":\"127.0.0.1:" << options_.peerPort << "\",\"peers\":[";
                const char* comma = "";
                for (const int peer : options_.peers) {
                    out << comma << "\"127.0.0.1:" << peer << "\"";
                    comma = ",";
                }
                out << "]";
            }
            out << ",\"known\":" << known << ",\"settings\":" << options_.settings << "}";
        }
        pid_ = fork();
        if (pid_ < 0) cannotRun("fork");
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however that ends
            setenv("LB_CONFIG", file.c_str(), 1);
            const std::string log = case_.folder + "/" + options_.name + ".log";
            if (!std::freopen(log.c_str(), "a", stderr)) _exit(127);
            execl("/bin/sh", "sh", "-c", case_.run.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
        record().line("scheduler " + options_.name + " started");
    }
    // Waits for a 200 to GET /ready.
    void awaitReady(double waitMs = 20000) {
        for (const double until = nowMs() + waitMs; nowMs() < until; sleepMs(10)) {
            const auto socket = Socket::connect(options_.port);
            std::string rest;
            Message answer;
            if (socket && socket->write("GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n") &&
                readMessage(*socket, rest, answer, 1000) == Got::Whole && statusOf(answer) == 200) {
                record().line("scheduler " + options_.name + " is ready");
                return;
            }
        }
        cannotRun("scheduler " + options_.name + " was not ready");
    }
    void signal(int number) const {
        if (pid_ > 0) ::kill(pid_, number);
    }
    void kill() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
        record().line("scheduler " + options_.name + " was killed");
    }
    bool alive() const { return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0; }
    pid_t pid() const { return pid_; }
    const Options& options() const { return options_; }

  private:
    Case case_;
    Options options_;
    pid_t pid_ = -1;
};

}  // namespace stand
