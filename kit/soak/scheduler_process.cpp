#include "kit/soak/scheduler_process.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace spokewheel::soak {
namespace {

constexpr double kExitPollMs = 20, kReadyPollMs = 30;

std::string addressText(int port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

SchedulerProcess::SchedulerProcess(Reactor& reactor, const Options& options, EventSink record, int rank,
                                   const std::vector<Ports>& allPorts)
    : reactor_(reactor),
      options_(options),
      record_(std::move(record)),
      rank_(rank),
      ports_(allPorts[static_cast<std::size_t>(rank)]),
      allPorts_(allPorts) {
    const int fd = open(path("control").c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0 || ftruncate(fd, sizeof(FaultControl)) != 0)
        throw std::runtime_error("cannot create the fault control file");
    void* memory = mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    if (memory == MAP_FAILED) throw std::runtime_error("cannot map the fault control file");
    control_ = static_cast<FaultControl*>(memory);
}

SchedulerProcess::~SchedulerProcess() {
    *alive_ = false;
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
    if (logPipe_ >= 0) {
        reactor_.unwatchPipe(logPipe_);
        ::close(logPipe_);
    }
    munmap(control_, sizeof(FaultControl));
}

std::string SchedulerProcess::path(const char* extension) const {
    return options_.folder + "/n" + std::to_string(rank_) + "." + extension;
}

void SchedulerProcess::recordEvent(EventKind kind, int status, const std::string& detail) {
    Event event;
    event.kind = kind;
    event.at = reactor_.now();
    event.scheduler = rank_;
    event.process = incarnation_;
    event.status = status;
    event.detail = detail;
    record_(event);
}

void SchedulerProcess::writeConfiguration(int discoveryPort, const std::string& nodeList,
                                          std::size_t maxBytes) {
    std::string peers;
    for (const auto& ports : allPorts_)
        peers += (peers.empty() ? "\"" : ",\"") + addressText(ports.peers) + "\"";
    char seed[32];
    std::snprintf(seed, sizeof seed, "%016llx",
                  static_cast<unsigned long long>(options_.seed * 1000003 +
                                                  static_cast<unsigned>(incarnation_ * 997 + rank_)));
    const auto text = R"({"name":"n)" + std::to_string(rank_) + R"(","listen":")" +
                      addressText(ports_.clients) + R"(","discovery":")" + addressText(discoveryPort) +
                      R"(","seed":")" + seed + R"(","limits":{"cores":1.0,"memory_mb":)" +
                      std::to_string(options_.settings.memoryMb) + R"(,"sockets":)" +
                      std::to_string(options_.settings.sockets) + R"(},"peer_listen":")" +
                      addressText(ports_.peers) + R"(","peers":[)" + peers + R"(],"known":)" + nodeList +
                      R"(,"settings":)" + settingsJson(options_, rank_) + "}";
    std::ofstream(path("json"), std::ios::binary | std::ios::trunc) << text.substr(0, maxBytes);
}

void SchedulerProcess::start() {
    int pipeEnds[2];
    if (pipe2(pipeEnds, O_CLOEXEC) != 0) throw std::runtime_error("cannot create the log pipe");
    fcntl(pipeEnds[1], F_SETPIPE_SZ, options_.logPipeBytes);
    fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
    ++incarnation_;
    startedAt_ = reactor_.now();
    stopping_ = ready_ = false;
    const std::string configuration = path("json"), controlFile = path("control");
    const std::string seed =
        std::to_string(options_.seed * 131 + static_cast<unsigned>(incarnation_ * 17 + rank_));
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("cannot fork the scheduler process");
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) _exit(127);
        dup2(pipeEnds[1], 1);
        dup2(pipeEnds[1], 2);
        setenv("LB_CONFIG", configuration.c_str(), 1);
        setenv(kControlVariable, controlFile.c_str(), 1);
        setenv(kSeedVariable, seed.c_str(), 1);
        if (!options_.shimLibrary.empty()) {
            setenv("LD_PRELOAD", options_.shimLibrary.c_str(), 1);
            // Allows the preloaded shim in a daemon that is built with AddressSanitizer.
            setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
        }
        execl(options_.schedulerBinary.c_str(), options_.schedulerBinary.c_str(), "--platform", nullptr);
        _exit(127);
    }
    ::close(pipeEnds[1]);
    if (logPipe_ >= 0) {
        reactor_.unwatchPipe(logPipe_);
        ::close(logPipe_);
    }
    logPipe_ = pipeEnds[0];
    readingLog_ = false;
    setLogReading(true);
    recordEvent(EventKind::ProcessStarted);
    pollExit();
    pollReady();
}

void SchedulerProcess::setLogReading(bool reading) {
    if (logPipe_ < 0 || reading == readingLog_) return;
    readingLog_ = reading;
    if (reading) reactor_.watchPipe(logPipe_, [this] { onLogData(); });
    else reactor_.unwatchPipe(logPipe_);
}

void SchedulerProcess::onLogData() {
    char buffer[8192];
    const ssize_t n = read(logPipe_, buffer, sizeof buffer);
    if (n <= 0) {
        if (n == 0) setLogReading(false);
        return;
    }
    logBuffer_.append(buffer, static_cast<std::size_t>(n));
    std::ofstream(path("log"), std::ios::binary | std::ios::app).write(buffer, n);
    for (std::size_t end; (end = logBuffer_.find('\n')) != std::string::npos; logBuffer_.erase(0, end + 1)) {
        const auto line = logBuffer_.substr(0, end);
        if (line.find("invariant_violated") != std::string::npos) recordEvent(EventKind::Violation, 0, line);
        if (line.find("\"level\":\"error\"") != std::string::npos || line.empty() || line[0] != '{')
            unexpectedLogLines_.push_back("n" + std::to_string(rank_) + ": " + line);
    }
}

void SchedulerProcess::pollExit() {
    if (pid_ <= 0) return;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        ready_ = false;
        const bool byKill = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
        if (!byKill)
            recordEvent(EventKind::Exited, WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status));
        return;
    }
    reactor_.after(kExitPollMs, [this, alive = alive_, incarnation = incarnation_] {
        if (*alive && incarnation == incarnation_) pollExit();
    });
}

void SchedulerProcess::pollReady() {
    if (pid_ <= 0 || ready_ || stopping_) return;
    const auto connection = reactor_.dial(ports_.clients);
    auto response = std::make_shared<std::string>();
    const std::weak_ptr<TcpConnection> weak = connection;
    connection->onConnected = [weak] {
        if (const auto open = weak.lock())
            open->write("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    };
    connection->onData = [this, alive = alive_, response,
                          incarnation = incarnation_](std::string_view bytes) {
        *response += bytes;
        if (!*alive || ready_ || incarnation != incarnation_ || response->find("HTTP/1.1 200") != 0) return;
        ready_ = true;
        recordEvent(EventKind::ProcessReady);
    };
    connection->onEnd = [weak](TcpConnection::End) {
        if (const auto open = weak.lock()) open->close();
    };
    reactor_.after(kReadyPollMs, [this, alive = alive_, weak, incarnation = incarnation_] {
        if (const auto open = weak.lock()) open->close();
        if (*alive && incarnation == incarnation_) pollReady();
    });
}

void SchedulerProcess::reload() {
    if (pid_ > 0) ::kill(pid_, SIGHUP);
}

void SchedulerProcess::stop() {
    if (pid_ <= 0 || stopping_) return;
    stopping_ = true;
    stopRequestedAt_ = reactor_.now();
    recordEvent(EventKind::StopRequested);
    ::kill(pid_, SIGTERM);
    reactor_.after(options_.settings.killAfterMs(), [this, alive = alive_, incarnation = incarnation_] {
        if (*alive && incarnation == incarnation_) kill();
    });
}

void SchedulerProcess::repeatStop() {
    if (pid_ > 0 && stopping_) ::kill(pid_, SIGTERM);
}

void SchedulerProcess::kill() {
    if (pid_ <= 0) return;
    recordEvent(EventKind::Killed);
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
    ready_ = false;
}

SchedulerProcess::Usage SchedulerProcess::usage() const {
    Usage out;
    if (pid_ <= 0) return out;
    const auto folder = "/proc/" + std::to_string(pid_);
    std::ifstream stat(folder + "/stat"), status(folder + "/status");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    double user = 0, system = 0;
    for (int i = 0; i < 11; ++i) fields >> skipped;  // utime is the 12th field after the name
    fields >> user >> system;
    out.cpuSeconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    for (std::string line; std::getline(status, line);)
        if (line.rfind("VmHWM:", 0) == 0) out.peakMb = std::atof(line.c_str() + 6) / 1024;
    std::error_code error;
    for (auto at = std::filesystem::directory_iterator(folder + "/fd", error);
         !error && at != std::filesystem::directory_iterator(); ++at)
        ++out.descriptors;
    return out;
}

double SchedulerProcess::anonymousMb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.rfind("RssAnon:", 0) == 0) return std::atof(line.c_str() + 8) / 1024;
    return 0;
}

}  // namespace spokewheel::soak
