// The session of one rsync client: greeting, module, authentication, arguments and negotiation, then a
// transfer.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fronts/rsync/context.hpp"
#include "io/connection.hpp"
#include "io/loop.hpp"

namespace spokewheel::fronts::rsync {

// Callbacks to the server's connection limits.
struct Admission {
    std::function<void()> greeted;  // the client sent a valid greeting
    // Why the limits refuse a client of this volume; empty if they admit it. `admit` also takes the slot.
    std::function<std::string(const config::VolumeSettings&)> refusalReason, admit;
    std::function<double()> authFailureDelayMs;  // delay of the response to a failed login
};

class Session : public std::enable_shared_from_this<Session> {
  public:
    Session(Context& context, std::shared_ptr<io::Connection> connection, std::string name,
            Admission admission, std::function<void()> onClosed);
    void start();
    // Refuses a client that is still in its handshake; lets a running transfer finish.
    void drain();
    void abort();  // closes the connection at once
    void evict();  // closes the connection to make room for another handshake
    const std::string& name() const { return name_; }

  private:
    enum class State { Greeting, Module, Auth, AuthDelay, Arguments, Negotiation, Stream, Closing };
    void onData(std::string_view bytes);
    void advance();
    bool step();
    bool takeLine(std::string& line, char end);
    void onModule(const std::string& line);
    void onAuth(const std::string& line);
    void beginArguments();
    void onArguments();
    void sendNegotiation();
    bool readNegotiation();
    bool negotiatesChecksum() const;
    bool negotiatesCompression() const;
    void applyChecksumChoice();
    void startTransfer();
    // Sends an @ERROR line and closes; only before the multiplexed stream.
    void refuse(const std::string& message);
    // Reports an error that ends the session; `code` is the client's exit code.
    void fail(const std::string& message, int code);
    void close();     // gracefully, after pending output
    void teardown();  // immediately
    void scheduleAdvance();
    void watchIdle();
    void checkForStall();

    Context& context_;
    std::shared_ptr<io::Connection> connection_;
    std::unique_ptr<Channel> channel_;
    std::string name_;
    Admission admission_;
    std::function<void()> onClosed_;
    State state_ = State::Greeting;
    TransferParameters parameters_;
    std::vector<std::string> digests_, arguments_, secluded_;
    bool inSecluded_ = false;
    std::string challenge_, optionError_;
    std::size_t argumentBytes_ = 0;
    std::unique_ptr<Store> store_;  // destroyed after transfer_, which uses it
    std::shared_ptr<TransferSide> transfer_;
    // keepAliveTimer_ also delays the response to a failed login.
    io::Timer advanceTimer_, idleTimer_, keepAliveTimer_;
    double lastProgressMs_ = 0, startedMs_ = 0, stallLoggedMs_ = 0;
    bool draining_ = false;
};

}  // namespace spokewheel::fronts::rsync
