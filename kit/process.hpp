// Processes, waiting for conditions, and small blocking clients, for the rehearsal kit and the tests.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace spokewheel::kit {

// Ends with its owner: killed by the destructor, and by the kernel should the owner die.
class Process {
  public:
    Process() = default;
    // Throws std::runtime_error where it can't be started. Output goes to `output` (appended).
    Process(const std::vector<std::string>& command, const std::string& output);
    ~Process();
    Process(Process&& o) noexcept;
    Process& operator=(Process&& o) noexcept;
    void signal(int number) const;
    void kill();  // SIGKILL, and waits
    // Exit status (128 + signal where one ended it), or -1 where it still runs after the time.
    int wait(double seconds);
    bool running();
    pid_t pid() const { return pid_; }

  private:
    pid_t pid_ = -1;
    int status_ = -1;
};

// Tries until it is true; false after the time. The only way in which tests wait.
bool waitUntil(double seconds, const std::function<bool()>& condition);

struct CommandResult {
    int status = -1;
    std::string output;
};
CommandResult runCommand(const std::vector<std::string>& command, double seconds);

std::string readFile(const std::string& path);
void writeFile(const std::string& path, const std::string& text, int mode = 0644);  // whole or not at all

// A blocking connection to loopback with a time-out on each call.
class Socket {
  public:
    explicit Socket(int port, double seconds = 10);
    ~Socket();
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    bool send(const std::string& bytes);
    std::string read(std::size_t n);         // fewer where the other side ended
    std::string readSome(std::size_t most);  // what is there; empty at the end
    std::string readLine();                  // without its end
    std::string readAll(std::size_t most = 1 << 20);
    bool waitForClose();  // reads on until the other side ends; false where it does not in time
    void shutdownWrite();

  private:
    int fd_;
};
// One HTTP exchange: status and body.
std::pair<int, std::string> http(int port, const std::string& method, const std::string& target,
                                 const std::string& body = "");

}  // namespace spokewheel::kit
