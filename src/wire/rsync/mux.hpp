// The multiplexed stream of the rsync protocol: frames of a four-byte head (tag and length) and a payload.
// Data frames make up the byte stream of the session; the others are messages beside it. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace spokewheel::wire::rsync {

enum class Message : std::uint8_t {
    Data = 0,
    ErrorXfer = 1,  // an error that ends in the client's "some files were not transferred" (23)
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

void putFrameHead(std::string& out, Message kind, std::size_t length);  // of at most 16 MiB
void putFrame(std::string& out, Message kind, std::string_view payload);

// Takes frames apart. Data is appended to the caller's buffer at once, however the input is split; other
// messages are kept until they are whole and are at most `mostMessage` bytes long.
class Demux {
  public:
    struct Beside {
        Message kind;
        std::string payload;
    };
    // False where the stream is not made of frames; error() tells.
    bool feed(std::string_view in, std::string& data, std::vector<Beside>& beside);
    const std::string& error() const { return error_; }
    static constexpr std::size_t mostMessage = 64 * 1024;

  private:
    std::string head_, payload_, error_;
    Message kind_ = Message::Data;
    std::size_t left_ = 0;
    bool inside_ = false;
};

}  // namespace spokewheel::wire::rsync
