// Child processes, files, bounded waiting and small blocking clients for the test kit, the tests and the
// benchmarks.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace spokewheel::kit {

// A child process that does not outlive its owner: the destructor kills it, and the kernel does so if the
// owning process dies.
class Process {
  public:
    Process() = default;
    // Runs the command with standard output and error appended to the file `output`. Throws
    // std::runtime_error if fork() fails; a command that can't be executed exits with status 127.
    Process(const std::vector<std::string>& command, const std::string& output);
    ~Process();
    Process(Process&& other) noexcept;
    Process& operator=(Process&& other) noexcept;
    void signal(int number) const;
    void kill();  // sends SIGKILL and waits for the exit
    // The exit status (128 + the signal's number if a signal ended it); -1 if it still runs after `seconds`.
    int wait(double seconds);
    bool running();
    pid_t pid() const { return pid_; }

  private:
    pid_t pid_ = -1;
    int status_ = -1;
};

// Polls the condition until it is true; returns false if it is not after `seconds`. Tests wait in no other
// way.
bool waitUntil(double seconds, const std::function<bool()>& condition);

struct CommandResult {
    int status = -1;  // as Process::wait() returns it; -1: it was killed after the time-out
    std::string output;
};
// Runs a command to its end, at most for `seconds`.
CommandResult runCommand(const std::vector<std::string>& command, double seconds);

std::string readFile(const std::string& path);
// Replaces the file atomically. Throws std::runtime_error if it can't be replaced.
void writeFile(const std::string& path, const std::string& text, int mode = 0644);

// A blocking TCP connection to a loopback port with a time-out on each call. The constructor throws
// std::runtime_error if the connection is refused.
class Socket {
  public:
    explicit Socket(int port, double seconds = 10);
    ~Socket();
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    bool send(const std::string& bytes);
    std::string read(std::size_t count);        // fewer bytes if the peer closes or the time runs out
    std::string readSome(std::size_t maximum);  // what has arrived; empty once the peer has closed
    std::string readLine();                     // without the newline
    std::string readAll(std::size_t maximum = 1 << 20);
    bool waitForClose();  // discards input until the peer closes; false if it does not in time
    void shutdownWrite();

  private:
    int fd_;
};
// One HTTP exchange on a connection of its own: status and body. The status is 0 without a valid response.
std::pair<int, std::string> httpRequest(int port, const std::string& method, const std::string& target,
                                        const std::string& body = "");

}  // namespace spokewheel::kit
