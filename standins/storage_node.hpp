// A stand-in for a storage node: an object store over HTTP/1.1 (RFC 9110: PUT with If-None-Match, GET with
// Range, 503 with Retry-After for requests that were not executed). Simulates a limited number of cores, a
// bounded queue, a cold start and deferred writes, and injects faults on request. Stores its objects in an
// append-only file; an incomplete record at the file's end is truncated on start.
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
    std::string directory;            // of the object store and its epoch
    std::string trace;                // file to which each event is appended as a line of JSON; empty: none
    int cores = 2;                    // requests that run at once
    std::size_t queue = 64;           // requests that wait for a core; 503 beyond
    double baseMs = 0, perMiBMs = 0;  // work of a request on a warm core
    // For coldMs after its start the node is cold: its capacity grows linearly from coldShare to 1.
    double coldMs = 0, coldShare = 0.2;
    // The fraction of each write's work that is deferred; every deferEveryMs one request does all of it.
    double deferShare = 0, deferEveryMs = 2000;
    MeterSettings meter;
};

// The injected faults; changed at any time by requests to the control port. Each stays set until cleared.
struct Faults {
    bool silent = false;           // executes requests, never answers
    bool deaf = false;             // accepts requests, neither executes nor answers them
    bool halfOpen = false;         // accepts connections, never reads from them
    bool refuse = false;           // answers every request with 503
    bool cutBeforeAnswer = false;  // executes the request, then closes the connection
    bool cutIdle = false;          // closes all idle connections after each answer
    bool flip = false;             // flips one bit in the body of each answer
    bool damage = false;           // flips one bit in the body of each request before it is processed
    long cutBody = -1;             // closes the connection after this many bytes of a body; -1: off
    double lateMs = 0;             // delay of each answer
    double slow = 1;               // factor on the work of each request
    int times = -1;                // how many more requests are affected; -1: no limit
};

class StorageNode {
  public:
    // Listens for requests on `at` and for fault injection on `control`. Throws io::ListenError, or
    // std::runtime_error if the data file can't be opened.
    StorageNode(const io::Address& at, const io::Address& control, NodeSettings settings);
    ~StorageNode();
    int port() const { return server_->port(); }
    int controlPort() const { return control_->port(); }

  private:
    struct Object {
        std::uint64_t offset = 0, size = 0, sequence = 0;  // of the body in the data file; of its change
        std::string meta;  // value of Spokewheel-Meta; objects with metadata are in the change feed
    };
    struct Task {
        Request request;
        bool abandoned = false;
    };
    // A long poll of the change feed that waits for changes beyond `after`.
    struct FeedQuery {
        std::uint64_t connection = 0, after = 0;
        std::unique_ptr<io::Timer> timer;
    };
    void open();  // reads the data file and the epoch
    void onRequest(Request request);
    void onDisconnected(std::uint64_t connection);
    void startQueued();  // while cores are free
    void execute(const std::shared_ptr<Task>& task);
    void reply(const Request& request, int status, wire::http::Fields fields, std::string body);
    void put(const Request& request);
    void get(const Request& request);
    void onChanges(const Request& request);
    void sendChanges(std::uint64_t connection, std::uint64_t after);
    void onControl(Request request);
    bool setFault(const std::string& name, const std::string& value);
    void trace(const char* event, const Request& request, int status = 0);
    // The work of the request, with the deferred work of earlier ones if that is due.
    double workMs(const Request& request);
    double capacity() const;  // 1 for a warm node
    // Whether the injected faults apply to this request; counts it against Faults::times.
    bool consumeFault();

    NodeSettings settings_;
    Faults faults_;
    std::string name_, epoch_;
    std::FILE *data_ = nullptr, *trace_ = nullptr;
    std::uint64_t dataEnd_ = 0, sequence_ = 0;
    std::map<std::string, Object> objects_;
    std::vector<std::string> feed_;  // targets of the objects with metadata, in order of their sequence
    std::deque<std::shared_ptr<Task>> waiting_;
    std::set<std::shared_ptr<Task>> running_;
    std::map<std::uint64_t, FeedQuery> feedQueries_;
    std::uint64_t executed_ = 0, refused_ = 0, arrived_ = 0, traceLines_ = 0;
    double startedMs_ = 0, deferredMs_ = 0, lastFlushMs_ = 0;
    std::unique_ptr<HttpServer> server_, control_;
    std::unique_ptr<Meter> meter_;
};

}  // namespace spokewheel::standins
