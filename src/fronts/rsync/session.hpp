// One client of the rsync front: greeting, module, authentication, arguments and agreement, then one half.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fronts/rsync/context.hpp"
#include "io/connection.hpp"
#include "io/loop.hpp"

namespace spokewheel::fronts::rsync {

// What a session asks of those who keep the places.
struct Doorman {
    std::function<void()> spoke;
    // Why there is no place for a client of this volume; empty where there is one. sit() takes it.
    std::function<std::string(const config::VolumeSettings&)> why, sit;
    std::function<double()> wrongPassword;  // how long to hold back the answer, in milliseconds
};

class Session : public std::enable_shared_from_this<Session> {
  public:
    Session(Context& context, std::shared_ptr<io::Connection> connection, std::string name, Doorman doorman,
            std::function<void()> over);
    void start();
    // Nothing new is begun: one still in its handshake ends with an error; one that moves files goes on.
    void drain();
    void abort();
    void giveWay();  // its place in the hall is needed
    const std::string& name() const { return name_; }

  private:
    enum class State { Greeting, Module, Auth, Penalty, Arguments, Agree, Stream, Closing };
    void onData(std::string_view bytes);
    void advance();
    bool step();
    bool takeLine(std::string& line, char end);
    void onModule(const std::string& line);
    void onAuth(const std::string& line);
    void beginArguments();
    void onArguments();
    void agree();
    bool readAgreement();
    bool listsSums() const;
    bool listsPackers() const;
    void chooseSums();
    void startHalf();
    void error(const std::string& words);  // before the stream: a line
    void fail(const std::string& words, int code);
    void close();
    void end();
    void later();
    void watchIdle();
    void checkWait();

    Context& context_;
    std::shared_ptr<io::Connection> connection_;
    std::unique_ptr<Channel> channel_;
    std::string name_;
    Doorman doorman_;
    std::function<void()> over_;
    State state_ = State::Greeting;
    Agreed agreed_;
    std::vector<std::string> digests_, arguments_, secluded_;
    bool inSecluded_ = false;
    std::string challenge_, optionError_;
    std::size_t argumentBytes_ = 0;
    std::unique_ptr<Store> store_;  // let go after the half, which uses it
    std::shared_ptr<Half> half_;
    io::Timer later_, idle_, keepAlive_;
    double progressAt_ = 0, startedAt_ = 0, stuckToldAt_ = 0;
    bool draining_ = false;
};

}  // namespace spokewheel::fronts::rsync
