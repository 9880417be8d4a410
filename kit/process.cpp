#include "kit/process.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>

namespace spokewheel::kit {
namespace {

double now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
void nap() { std::this_thread::sleep_for(std::chrono::milliseconds(2)); }

}  // namespace

Process::Process(const std::vector<std::string>& command, const std::string& output) {
    std::vector<char*> args;
    for (const auto& a : command) args.push_back(const_cast<char*>(a.c_str()));
    args.push_back(nullptr);
    const int out = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("fork failed");
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) _exit(127);
        if (out >= 0) dup2(out, 1), dup2(out, 2);
        const int none = open("/dev/null", O_RDONLY);
        if (none >= 0) dup2(none, 0);
        execvp(args[0], args.data());
        _exit(127);
    }
    if (out >= 0) close(out);
}
Process::~Process() { kill(); }
Process::Process(Process&& o) noexcept
    : pid_(std::exchange(o.pid_, -1)), status_(std::exchange(o.status_, -1)) {}
Process& Process::operator=(Process&& o) noexcept {
    if (this != &o) {
        kill();
        pid_ = std::exchange(o.pid_, -1);
        status_ = std::exchange(o.status_, -1);
    }
    return *this;
}
void Process::signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
}
void Process::kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    wait(10);
}
int Process::wait(double seconds) {
    if (pid_ <= 0) return status_;
    const double until = now() + seconds;
    for (;;) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            return status_;
        }
        if (now() >= until) return -1;
        nap();
    }
}
bool Process::running() { return pid_ > 0 && wait(0) == -1; }

bool waitUntil(double seconds, const std::function<bool()>& condition) {
    for (const double until = now() + seconds; !condition(); nap())
        if (now() >= until) return condition();
    return true;
}

CommandResult runCommand(const std::vector<std::string>& command, double seconds) {
    char name[] = "/tmp/spokewheel-run-XXXXXX";
    const int fd = mkstemp(name);
    if (fd >= 0) close(fd);
    CommandResult out;
    {
        Process p(command, name);
        out.status = p.wait(seconds);
    }
    out.output = readFile(name);
    unlink(name);
    return out;
}

std::string readFile(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}
void writeFile(const std::string& path, const std::string& text, int mode) {
    const auto next = path + ".new";
    {
        std::ofstream out(next, std::ios::binary | std::ios::trunc);
        out << text;
    }
    chmod(next.c_str(), static_cast<mode_t>(mode));
    if (std::rename(next.c_str(), path.c_str()) != 0) throw std::runtime_error("cannot write " + path);
}

Socket::Socket(int port, double seconds) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    timeval t{static_cast<time_t>(seconds),
              static_cast<suseconds_t>((seconds - static_cast<long>(seconds)) * 1e6)};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<uint16_t>(port));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
        close(fd_);
        throw std::runtime_error("cannot connect to port " + std::to_string(port));
    }
}
Socket::~Socket() { close(fd_); }
bool Socket::send(const std::string& bytes) {
    for (std::size_t at = 0; at < bytes.size();) {
        const auto n = ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (n <= 0) return false;
        at += static_cast<std::size_t>(n);
    }
    return true;
}
std::string Socket::read(std::size_t n) {
    std::string out(n, '\0');
    std::size_t at = 0;
    while (at < n) {
        const auto got = recv(fd_, out.data() + at, n - at, 0);
        if (got <= 0) break;
        at += static_cast<std::size_t>(got);
    }
    out.resize(at);
    return out;
}
bool Socket::waitForClose() {
    char buffer[4096];
    ssize_t n = 1;
    while (n > 0) n = recv(fd_, buffer, sizeof buffer, 0);
    return n == 0;
}
std::string Socket::readSome(std::size_t most) {
    std::string out(most, '\0');
    const auto got = recv(fd_, out.data(), most, 0);
    out.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return out;
}
std::string Socket::readLine() {
    std::string out;
    for (std::string c = read(1); !c.empty() && c != "\n"; c = read(1)) out += c;
    return out;
}
std::string Socket::readAll(std::size_t most) { return read(most); }
void Socket::shutdownWrite() { shutdown(fd_, SHUT_WR); }

std::pair<int, std::string> http(int port, const std::string& method, const std::string& target,
                                 const std::string& body) {
    Socket s(port);
    s.send(method + " " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto text = s.readAll();
    const auto end = text.find("\r\n\r\n");
    if (text.size() < 12 || end == text.npos) return {0, ""};
    return {std::atoi(text.substr(9, 3).c_str()), text.substr(end + 4)};
}

}  // namespace spokewheel::kit
