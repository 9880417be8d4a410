// The byte stream between a session and its client: multiplexes and demultiplexes frames, with bounded
// buffers.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "io/byte_stream.hpp"
#include "wire/rsync/mux.hpp"

namespace spokewheel::fronts::rsync {

class Channel {
  public:
    explicit Channel(std::shared_ptr<io::ByteStream> stream) : stream_(std::move(stream)) {}

    // ---- input ----
    // Returns false if the stream is malformed; error() holds the reason. Pauses reading from the connection
    // while too many bytes wait to be consumed.
    bool receive(std::string_view bytes);
    // Bytes not consumed yet; valid until the next call of a non-const function.
    std::string_view input() const { return std::string_view(input_).substr(consumed_); }
    void consume(std::size_t n);
    // Treats all input not consumed yet, and what follows, as frames.
    void startMultiplexIn();
    // Clients of protocol 30 send the names of --files-from unframed in the middle of the multiplexed stream.
    // To find where the frames end, each frame is decoded only after the previous one has been consumed.
    void startFrameByFrame() { frameByFrame_ = true; }
    // Start and end of the unframed part.
    void suspendMultiplexIn();
    void resumeMultiplexIn();
    std::vector<wire::rsync::Demux::Message> takeMessages() { return std::exchange(messages_, {}); }
    const std::string& error() const { return error_; }

    // ---- output ----
    void writeRaw(std::string_view bytes);  // before multiplexing starts
    void startMultiplexOut() { multiplexedOut_ = true; }
    std::string& output() { return output_; }  // stream data, sent by flush()
    // Sends uncompressed literal tokens, copying the bytes only once. Flushes output() first.
    void writeLiteral(std::string_view bytes);
    // Flushes output() first, so that messages keep their place in the stream.
    void sendMessage(wire::rsync::MessageTag kind, std::string_view payload);
    void flush();
    // Whether the caller should stop producing output.
    bool blocked() const { return stream_->backlogged() || output_.size() >= kMaxPendingBytes; }

  private:
    static constexpr std::size_t kMaxUnreadBytes = 512 * 1024, kMaxPendingBytes = 128 * 1024,
                                 kFrameBytes = 32 * 1024, kLiteralBytes = 128 * 1024;
    std::shared_ptr<io::ByteStream> stream_;
    wire::rsync::Demux demux_;
    std::vector<wire::rsync::Demux::Message> messages_;
    bool demuxFrames();
    std::string input_, output_, undecoded_, error_;
    std::size_t consumed_ = 0;
    bool frameByFrame_ = false, multiplexedIn_ = false, multiplexedOut_ = false, readingPaused_ = false;
};

}  // namespace spokewheel::fronts::rsync
