// Runs one scheduler of a soak run as a real process: writes its configuration, starts it with the fault shim
// preloaded, sends signals, reads its log and holds the memory that controls the shim.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "kit/soak/fault_control.hpp"
#include "kit/soak/reactor.hpp"
#include "kit/soak/setting.hpp"

namespace spokewheel::soak {

// The ports that a scheduler listens on.
struct Ports {
    int clients = 0, peers = 0;
};

class SchedulerProcess {
  public:
    // `allPorts` holds the ports of all schedulers by rank. Throws std::runtime_error.
    SchedulerProcess(Reactor& reactor, const Options& options, EventSink record, int rank,
                     const std::vector<Ports>& allPorts);
    ~SchedulerProcess();
    SchedulerProcess(const SchedulerProcess&) = delete;
    SchedulerProcess& operator=(const SchedulerProcess&) = delete;

    // Writes the configuration file with the node list to start from; cut off after `maxBytes`.
    void writeConfiguration(int discoveryPort, const std::string& nodeList,
                            std::size_t maxBytes = std::string::npos);
    void start();       // throws std::runtime_error
    void reload();      // SIGHUP
    void stop();        // SIGTERM, and SIGKILL once the platform's time to stop is over
    void repeatStop();  // another SIGTERM to a process that is stopping
    void kill();        // SIGKILL
    bool running() const { return pid_ > 0; }
    bool stopping() const { return stopping_; }
    bool ready() const { return ready_; }
    double startedAt() const { return startedAt_; }
    double stopRequestedAt() const { return stopRequestedAt_; }  // of the last stop()
    int incarnation() const { return incarnation_; }             // number of starts so far
    int port() const { return ports_.clients; }
    FaultControl& control() { return *control_; }
    void setLogReading(bool reading);  // false: the log pipe fills up
    // Lines logged at level error, and lines that are not JSON objects.
    const std::vector<std::string>& unexpectedLogLines() const { return unexpectedLogLines_; }
    // Resources that the process has used so far, according to /proc.
    struct Usage {
        double cpuSeconds = 0, peakMb = 0;
        std::size_t descriptors = 0;
    };
    Usage usage() const;
    // Memory that the process shares with nobody and that no file backs, in MiB; 0 if it does not run. The
    // platform kills a process that has more of it than its limit.
    double anonymousMb() const;

  private:
    void pollExit();
    void pollReady();
    void onLogData();
    void recordEvent(EventKind kind, int status = 0, const std::string& detail = {});
    std::string path(const char* extension) const;

    Reactor& reactor_;
    const Options& options_;
    EventSink record_;
    int rank_;
    Ports ports_;
    std::vector<Ports> allPorts_;
    FaultControl* control_ = nullptr;
    pid_t pid_ = -1;
    int logPipe_ = -1, incarnation_ = 0;
    bool stopping_ = false, ready_ = false, readingLog_ = true;
    double startedAt_ = 0, stopRequestedAt_ = 0;
    std::string logBuffer_;  // the incomplete last line
    std::vector<std::string> unexpectedLogLines_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::soak
