// Shares each iteration of the event loop among client connections, so that one that sends without end, or
// hundreds that send much at once, hold up no other. Each connection gets one share of an iteration; when the
// iteration's requests are used up, the rest waits in order for the next one. Connections on which no request
// is open go first: behind an open request nothing can be answered yet. Free of I/O and clocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>

namespace spokewheel::fronts::http {

// What is read of one connection at a time: bytes, and requests after which no more is read or answered.
struct ReadShare {
    std::size_t bytes = 0, requests = 0;
};
constexpr std::size_t kRequestsPerShare = 8;
constexpr ReadShare kShareOfTurn = {16 * 1024, kRequestsPerShare};
// Directly before an attempt, to find out whether its client has left: there is one at a time on a
// connection.
constexpr ReadShare kShareBeforeAttempt = {1024 * 1024, 128};
// Of all connections in one iteration. Reading, checking and answering a request takes some 20 microseconds,
// and a request of another client takes about five iterations on its way through the process.
constexpr std::size_t kRequestsPerTurn = 64;

class ReadTurns {
  public:
    using ConnectionNumber = std::uint64_t;
    enum class Priority { Answers, ReadsBehindOpen };

    // Begins an iteration of that number, unless it has begun.
    void enterTurn(std::uint64_t turn);
    // Whether the requests of the iteration are used up.
    bool exhausted() const { return used_ >= kRequestsPerTurn; }
    // A connection has bytes to be read or requests to be answered. `turn`: the number of the iteration.
    // Returns whether it gets its share now; if not, it waits until next() names it.
    bool mayServe(ConnectionNumber connection, Priority priority, std::uint64_t turn);
    // Lets a connection wait that has had its share and needs another.
    void wait(ConnectionNumber connection, Priority priority);
    // Begins an iteration that serves those that wait.
    void startTurn();
    // The next connection that gets a share of this iteration. It may have ended since.
    std::optional<ConnectionNumber> next();
    // A share was used, for so many requests.
    void onServed(std::size_t requests) { used_ += requests > 0 ? requests : 1; }
    bool anyWaits() const { return !answers_.empty() || !reads_.empty(); }

  private:
    // In order of arrival, each connection once.
    class Queue {
      public:
        void push(ConnectionNumber connection);
        ConnectionNumber pop();
        bool empty() const { return order_.empty(); }

      private:
        std::deque<ConnectionNumber> order_;
        std::unordered_set<ConnectionNumber> members_;
    };

    Queue answers_, reads_;
    std::unordered_set<ConnectionNumber> served_;  // in this iteration
    std::uint64_t turn_ = 0;
    std::size_t used_ = 0;  // requests of this iteration
    bool readServed_ = false;
};

}  // namespace spokewheel::fronts::http
