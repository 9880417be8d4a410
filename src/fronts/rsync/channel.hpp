// The byte stream between a session and its client: frames taken apart and made, bounded on both sides.
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
    explicit Channel(std::shared_ptr<io::ByteStream> pipe) : pipe_(std::move(pipe)) {}

    // ---- in ----
    // False where the stream is broken; error() tells. Reading stops by itself while much waits unread.
    bool receive(std::string_view bytes);
    std::string_view input() const { return std::string_view(in_).substr(at_); }
    void took(std::size_t n);
    void startMultiplexIn();
    // Clients of protocol 30 send the names of --files-from without frames, amid a stream of frames. So that
    // the frames before end exactly there, they are taken apart one by one, each once the last was used up.
    void frameByFrame() { stepwise_ = true; }
    void unframe();
    void reframe();
    std::vector<wire::rsync::Demux::Beside> takeBeside() { return std::exchange(beside_, {}); }
    const std::string& error() const { return error_; }

    // ---- out ----
    void raw(std::string_view bytes);  // before multiplexing starts
    void startMultiplexOut() { framed_ = true; }
    std::string& out() { return out_; }  // data of the stream; flush() sends it
    // Literal bytes of a file without compression: framed with one copy, whatever waits in out() goes first.
    void literal(std::string_view bytes);
    void message(wire::rsync::Message kind, std::string_view payload);
    void flush();
    bool blocked() const { return pipe_->backlogged() || out_.size() >= kMostPending; }

  private:
    static constexpr std::size_t kMostUnread = 512 * 1024, kMostPending = 128 * 1024, kFrame = 32 * 1024,
                                 kLiteral = 128 * 1024;
    std::shared_ptr<io::ByteStream> pipe_;
    wire::rsync::Demux demux_;
    std::vector<wire::rsync::Demux::Beside> beside_;
    bool step();
    std::string in_, out_, raw_, error_;
    std::size_t at_ = 0;
    bool stepwise_ = false, muxed_ = false, framed_ = false, paused_ = false;
};

}  // namespace spokewheel::fronts::rsync
