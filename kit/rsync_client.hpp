// An rsync client that requests one file at a time and records when it sent the request and how it was
// answered, which the stock client does not report. Blocking; connects to loopback.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "kit/process.hpp"
#include "wire/rsync/file_list.hpp"
#include "wire/rsync/mux.hpp"
#include "wire/rsync/tokens.hpp"

namespace spokewheel::kit {

// CLOCK_MONOTONIC in microseconds, the clock of all trace records.
std::int64_t monotonicUs();

class RsyncClient {
  public:
    // Connects, negotiates and reads the list of all files below `path` ("volume/..."). Check ready()
    // afterwards. Throws std::runtime_error if the connection is refused. `seconds`: time-out of each socket
    // call.
    RsyncClient(int port, const std::string& path, double seconds);
    bool ready() const { return ready_; }  // the file list was received
    const std::vector<wire::rsync::FileEntry>& files() const { return files_; }
    struct FetchResult {
        enum class Outcome {
            Content,
            NotSent,
            BadChecksum,
            ConnectionLost
        } outcome = Outcome::ConnectionLost;
        std::int64_t requestedUs = 0, answeredUs = 0;  // on monotonicUs()
        std::string content;
        bool fetchedBefore = false;  // an earlier fetch() of the same file had ended
    };
    // Requests the file at this index of files() and waits for the answer.
    FetchResult fetch(std::int32_t index);

  private:
    bool receive();
    Socket socket_;
    wire::rsync::Demux demux_;
    std::vector<wire::rsync::Demux::Beside> messages_;
    std::string input_;
    std::vector<wire::rsync::FileEntry> files_;
    std::vector<bool> answered_;  // by index
    wire::rsync::IndexCoder sentIndexes_, receivedIndexes_;
    wire::rsync::TokenReader tokens_{false};
    bool ready_ = false;
};

}  // namespace spokewheel::kit
