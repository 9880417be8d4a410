// The multiplexed stream of the rsync protocol: frames with a header of four bytes (tag and length) and a
// payload. Data frames carry the byte stream of the session; the others are out-of-band messages. Free of
// I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace spokewheel::wire::rsync {

// Tags of frames (MSG_* in rsync).
enum class MessageTag : std::uint8_t {
    Data = 0,
    ErrorXfer = 1,  // an error that makes the client exit with "some files were not transferred" (23)
    Info = 2,
    Error = 3,
    Warning = 4,
    ErrorSocket = 5,
    Log = 6,
    Client = 7,
    ErrorUtf8 = 8,
    Redo = 9,
    Stats = 10,
    IoError = 22,
    IoTimeout = 33,
    Noop = 42,
    ErrorExit = 86,
    Success = 100,
    Deleted = 101,
    NoSend = 102
};

void putFrameHeader(std::string& out, MessageTag tag, std::size_t length);  // length: below 16 MiB
// Splits the payload into several frames if it is too long for one.
void putFrame(std::string& out, MessageTag tag, std::string_view payload);

// Demultiplexes a stream. Data is appended to the caller's buffer at once, however the input is split; other
// messages are buffered until they are complete.
class Demux {
  public:
    struct Message {
        MessageTag tag;
        std::string payload;
    };
    // Consumes all of `in`. Returns false if the stream is malformed; error() holds the reason.
    bool feed(std::string_view in, std::string& data, std::vector<Message>& messages);
    const std::string& error() const { return error_; }
    static constexpr std::size_t kMaxMessageBytes = 64 * 1024;  // longer messages are refused

  private:
    std::string header_, payload_, error_;
    MessageTag tag_ = MessageTag::Data;
    std::size_t payloadBytesLeft_ = 0;
    bool inPayload_ = false;
};

}  // namespace spokewheel::wire::rsync
