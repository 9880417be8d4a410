// A scripted rsync client that asks for one file at a time and notes when it asked and what end it got: what
// a stock client can't tell. Blocking; for loopback.
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

std::int64_t monotonicUs();

class RsyncClient {
  public:
    // Connects, agrees and reads the list of all below `path` ("volume/..."). ready() tells.
    RsyncClient(int port, const std::string& path, double seconds);
    bool ready() const { return ready_; }
    const std::vector<wire::rsync::FileEntry>& files() const { return list_; }
    struct FetchResult {
        enum class Outcome {
            Content,
            NotSent,
            BadChecksum,
            ConnectionLost
        } outcome = Outcome::ConnectionLost;
        std::int64_t askedUs = 0, endedUs = 0;
        std::string content;
        bool secondEnd = false;  // it had ended before
    };
    FetchResult fetch(std::int32_t index);

  private:
    bool more();
    Socket socket_;
    wire::rsync::Demux demux_;
    std::vector<wire::rsync::Demux::Beside> beside_;
    std::string in_;
    std::vector<wire::rsync::FileEntry> list_;
    std::vector<bool> ended_;
    wire::rsync::IndexCoder out_, back_;
    wire::rsync::TokenReader tokens_{false};
    bool ready_ = false;
};

}  // namespace spokewheel::kit
