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

double nowSeconds() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
void sleepPollInterval() { std::this_thread::sleep_for(std::chrono::milliseconds(2)); }

}  // namespace

Process::Process(const std::vector<std::string>& command, const std::string& output) {
    std::vector<char*> args;
    for (const auto& argument : command) args.push_back(const_cast<char*>(argument.c_str()));
    args.push_back(nullptr);
    const int out = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("fork failed");
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) _exit(127);
        if (out >= 0) dup2(out, 1), dup2(out, 2);
        const int input = open("/dev/null", O_RDONLY);
        if (input >= 0) dup2(input, 0);
        execvp(args[0], args.data());
        _exit(127);
    }
    if (out >= 0) close(out);
}
Process::~Process() { kill(); }
Process::Process(Process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), status_(std::exchange(other.status_, -1)) {}
Process& Process::operator=(Process&& other) noexcept {
    if (this != &other) {
        kill();
        pid_ = std::exchange(other.pid_, -1);
        status_ = std::exchange(other.status_, -1);
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
    const double until = nowSeconds() + seconds;
    for (;;) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            return status_;
        }
        if (nowSeconds() >= until) return -1;
        sleepPollInterval();
    }
}
bool Process::running() { return pid_ > 0 && wait(0) == -1; }

bool waitUntil(double seconds, const std::function<bool()>& condition) {
    for (const double until = nowSeconds() + seconds; !condition(); sleepPollInterval())
        if (nowSeconds() >= until) return condition();
    return true;
}

CommandResult runCommand(const std::vector<std::string>& command, double seconds) {
    char name[] = "/tmp/spokewheel-run-XXXXXX";
    const int fd = mkstemp(name);
    if (fd >= 0) close(fd);
    CommandResult result;
    {
        Process process(command, name);
        result.status = process.wait(seconds);
    }
    result.output = readFile(name);
    unlink(name);
    return result;
}

std::string readFile(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}
void writeFile(const std::string& path, const std::string& text, int mode) {
    const auto temporary = path + ".new";
    {
        std::ofstream out(temporary, std::ios::binary | std::ios::trunc);
        out << text;
    }
    chmod(temporary.c_str(), static_cast<mode_t>(mode));
    if (std::rename(temporary.c_str(), path.c_str()) != 0) throw std::runtime_error("cannot write " + path);
}

Socket::Socket(int port, double seconds) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    timeval timeout{static_cast<time_t>(seconds),
                    static_cast<suseconds_t>((seconds - static_cast<long>(seconds)) * 1e6)};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        close(fd_);
        throw std::runtime_error("cannot connect to port " + std::to_string(port));
    }
}
Socket::~Socket() { close(fd_); }
bool Socket::send(const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto written = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (written <= 0) return false;
        sent += static_cast<std::size_t>(written);
    }
    return true;
}
std::string Socket::read(std::size_t count) {
    std::string out(count, '\0');
    std::size_t filled = 0;
    while (filled < count) {
        const auto got = recv(fd_, out.data() + filled, count - filled, 0);
        if (got <= 0) break;
        filled += static_cast<std::size_t>(got);
    }
    out.resize(filled);
    return out;
}
bool Socket::waitForClose() {
    char buffer[4096];
    ssize_t n = 1;
    while (n > 0) n = recv(fd_, buffer, sizeof buffer, 0);
    return n == 0;
}
std::string Socket::readSome(std::size_t maximum) {
    std::string out(maximum, '\0');
    const auto got = recv(fd_, out.data(), maximum, 0);
    out.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return out;
}
std::string Socket::readLine() {
    std::string out;
    for (std::string c = read(1); !c.empty() && c != "\n"; c = read(1)) out += c;
    return out;
}
std::string Socket::readAll(std::size_t maximum) { return read(maximum); }
void Socket::shutdownWrite() { shutdown(fd_, SHUT_WR); }

std::pair<int, std::string> httpRequest(int port, const std::string& method, const std::string& target,
                                        const std::string& body) {
    Socket socket(port);
    socket.send(method + " " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto response = socket.readAll();
    const auto headerEnd = response.find("\r\n\r\n");
    if (response.size() < 12 || headerEnd == response.npos) return {0, ""};
    return {std::atoi(response.substr(9, 3).c_str()), response.substr(headerEnd + 4)};
}

}  // namespace spokewheel::kit
