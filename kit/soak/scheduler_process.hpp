// One real scheduler process of the soak: configuration, start with the fault shim, signals, its log and its
// control memory.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "kit/soak/fault_control.hpp"
#include "kit/soak/reactor.hpp"
#include "kit/soak/setting.hpp"

namespace spokewheel::soak {

struct Ports {
    int clients = 0, peers = 0;
};

class SchedulerProcess {
  public:
    SchedulerProcess(Reactor& reactor, const Options& options, EventSink record, int rank,
                     const std::vector<Ports>& all);
    ~SchedulerProcess();
    SchedulerProcess(const SchedulerProcess&) = delete;
    SchedulerProcess& operator=(const SchedulerProcess&) = delete;

    // The configuration file, whole or cut off after `most` bytes.
    void writeConfiguration(int discoveryPort, const std::string& known,
                            std::size_t most = std::string::npos);
    void start();
    void reload();      // SIGHUP
    void stop();        // SIGTERM, and SIGKILL as the platform does
    void repeatStop();  // another SIGTERM while it stops
    void kill();
    bool running() const { return pid_ > 0; }
    bool stopping() const { return stopping_; }
    bool ready() const { return ready_; }
    double startedAt() const { return startedAt_; }
    double stopRequestedAt() const { return stopRequestedAt_; }  // when it was last told to stop
    int incarnation() const { return incarnation_; }             // counts the starts
    int port() const { return ports_.clients; }
    FaultControl& control() { return *control_; }
    void readLog(bool reads);  // false: its pipe fills up
    const std::vector<std::string>& unexpectedLogLines() const { return unexpectedLogLines_; }
    // What the process has used so far, by the system's accounts.
    struct Usage {
        double cpuSeconds = 0, peakMb = 0;
        std::size_t descriptors = 0;
    };
    Usage usage() const;

  private:
    void reap();
    void askReady();
    void onLog();
    void note(EventKind kind, int status = 0, const std::string& words = {});
    std::string path(const char* what) const;

    Reactor& reactor_;
    const Options& options_;
    EventSink record_;
    int rank_;
    Ports ports_;
    std::vector<Ports> all_;
    FaultControl* control_ = nullptr;
    pid_t pid_ = -1;
    int logPipe_ = -1, incarnation_ = 0;
    bool stopping_ = false, ready_ = false, reads_ = true;
    double startedAt_ = 0, stopRequestedAt_ = 0;
    std::string log_;
    std::vector<std::string> unexpectedLogLines_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace spokewheel::soak
