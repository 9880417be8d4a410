// A stand-in for a storage node: an object store over HTTP/1.1 (RFC 9110: PUT with If-None-Match, GET with
// Range, 503 with Retry-After for "not executed"), with cores, a queue, a cold start, put-off writes, and
// faults on command. Keeps its objects in an append-only file; a half-written tail is cut on start.
#pragma once

#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "io/loop.hpp"
#include "standins/http_server.hpp"
#include "standins/meter.hpp"

namespace spokewheel::standins {

struct NodeSettings {
    std::string directory;  // of the store
    std::string trace;      // file of JSON lines; empty: none
    int cores = 2;
    std::size_t queue = 64;
    double baseMs = 0, perMiBMs = 0;  // work of a request on a warm core
    double coldMs = 0, coldShare = 0.2;
    double deferShare = 0, deferEveryMs = 2000;  // part of a write's work that is done later in one go
    MeterSettings meter;
};

// What goes wrong, changed at any time through control(). Each holds until it is taken back.
struct Faults {
    bool silent = false;           // takes and executes, answers nothing
    bool deaf = false;             // takes, executes nothing, answers nothing
    bool halfOpen = false;         // accepts, never reads
    bool refuse = false;           // answers 503 to all
    bool cutBeforeAnswer = false;  // executes, then closes
    bool cutIdle = false;          // closes each kept connection as soon as it has answered
    bool flip = false;             // one bit of each answer's body is wrong
    bool damage = false;           // one bit of each body that comes is turned over on its way here
    long cutBody = -1;             // an answer's body is cut after so many bytes
    double lateMs = 0;             // answers so much later
    double slow = 1;               // work takes so many times as long
    int times = -1;                // how many requests the faults are for; -1: until taken back
};

class StorageNode {
  public:
    StorageNode(const io::Address& at, const io::Address& control, NodeSettings settings);
    ~StorageNode();
    int port() const { return server_->port(); }
    int controlPort() const { return control_->port(); }

  private:
    struct Object {
        std::uint64_t offset = 0, size = 0, sequence = 0;
        std::string meta;
    };
    struct Task {
        Request request;
        bool abandoned = false;
    };
    struct Watcher {
        std::uint64_t connection = 0, after = 0;
        std::unique_ptr<io::Timer> timer;
    };
    void open();
    void onRequest(Request request);
    void onGone(std::uint64_t connection);
    void run();
    void execute(const std::shared_ptr<Task>& task);
    void reply(const Request& request, int status, wire::http::Fields fields, std::string body);
    void put(const Request& request);
    void get(const Request& request);
    void changes(const Request& request);
    void tellChanges(std::uint64_t connection, std::uint64_t after);
    void onControl(Request request);
    bool setFault(const std::string& name, const std::string& value);
    void trace(const char* event, const Request& request, int status = 0);
    double workMs(const Request& request);
    double capacity() const;
    bool faulty();

    NodeSettings settings_;
    Faults faults_;
    std::string name_, epoch_;
    std::FILE *data_ = nullptr, *trace_ = nullptr;
    std::uint64_t end_ = 0, sequence_ = 0;
    std::map<std::string, Object> objects_;
    std::vector<std::string> feed_;  // targets of those with metadata, in order of their sequence
    std::deque<std::shared_ptr<Task>> waiting_;
    std::set<std::shared_ptr<Task>> running_;
    std::map<std::uint64_t, Watcher> watchers_;
    std::uint64_t executed_ = 0, refused_ = 0, arrived_ = 0, traced_ = 0;
    double startedAt_ = 0, deferredMs_ = 0, flushedAt_ = 0;
    std::unique_ptr<HttpServer> server_, control_;
    std::unique_ptr<Meter> meter_;
};

}  // namespace spokewheel::standins
